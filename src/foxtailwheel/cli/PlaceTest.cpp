#include "foxtailwheel/cli/Place.h"

#include <criterion/criterion.h>
#include <sstream>

using namespace foxtailwheel;

// Separators of the query in a path must not change which request is asked about.
Test(Place, queryIsPercentEncoded)
{
    cr_assert_eq(cli::placeTarget({ "h.example", "/a?b&c=d", "5c:800,91:4", "2,0" }),
        "/placement?host=h.example&path=/a%3Fb%26c%3Dd&prompt=5c%3A800%2C91%3A4&pieces=2%2C0");
}

Test(Place, decisionAndServersArePrinted)
{
    std::ostringstream out;
    cli::printPlacement(out, nlohmann::json::parse(R"({"route":"plan","service":"model","admitted":false,
        "retry_after":"900ms","stages_if_timely":"1s","stages_if_late":"5s","time_to_first_byte":"150ms",
        "latency_target":"1s","candidates":[{"server":"m1","zone":"a","state":"cold"}]})"));
    cr_assert(out.str().find("refused, retry after 900ms") != std::string::npos);
    cr_assert(out.str().find("cold") != std::string::npos);
    std::ostringstream none;
    cli::printPlacement(none, nlohmann::json::parse(R"({"route":""})"));
    cr_assert_eq(none.str(), "no route matches\n");
}
