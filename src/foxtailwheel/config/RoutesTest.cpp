#include "foxtailwheel/config/Routes.h"

#include <criterion/criterion.h>

using namespace foxtailwheel;
using config::Route;
using config::RouteTable;

namespace {

Route route(const std::string& name, const std::string& host, const std::string& prefix)
{
    Route out;
    out.name = name;
    out.host = host;
    out.prefix = prefix;
    return out;
}

} // namespace

Test(RouteTable, selectsLongestPrefixOfHost)
{
    RouteTable table;
    table.routes = { route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"),
        route("other", "b.example", "/x/y/z/") };
    table.buildIndex();
    cr_assert_eq(table.findRoute("a.example", "/x/y/q")->name, "long");
    cr_assert_eq(table.findRoute("a.example", "/x/q")->name, "short");
    cr_assert_eq(table.findRoute("a.example", "/x/y/z/q")->name, "long");
}

Test(RouteTable, returnsNullForOtherHostOrMissingSlash)
{
    RouteTable table;
    table.routes = { route("only", "a.example", "/x/") };
    table.buildIndex();
    cr_assert_null(table.findRoute("c.example", "/x/"));
    cr_assert_null(table.findRoute("a.example", "/xy"));
    cr_assert_null(table.findRoute("a.example", "/x"));
}
