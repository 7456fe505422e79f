#include "foxtailwheel/base/Json.h"

#include <criterion/criterion.h>

using namespace foxtailwheel;

namespace {

std::string nestedArrays(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

} // namespace

Test(Json, deeplyNestedTextIsRejected)
{
    for (const auto depth : { maxJsonDepth, maxJsonDepth + 1, std::size_t { 1000000 } }) {
        cr_assert_eq(isJson(nestedArrays(depth)), depth <= maxJsonDepth);
        cr_assert_eq(!parseJson(nestedArrays(depth)).is_discarded(), depth <= maxJsonDepth);
        cr_assert(parseJson(std::string(depth, '[')).is_discarded());
        cr_assert(parseJson(std::string(depth, ']')).is_discarded());
    }
    cr_assert(isJson("[" + nestedArrays(maxJsonDepth - 1) + "," + nestedArrays(maxJsonDepth - 1) + "]"));
}

Test(Json, bracketsInStringsDoNotCount)
{
    const std::string brackets = "\\\"" + std::string(2 * maxJsonDepth, '[') + "\\\\";
    const auto node = parseJson("{\"a\":\"" + brackets + "\",\"b\":" + nestedArrays(maxJsonDepth - 1) + "}");
    cr_assert(node.is_object());
    cr_assert_eq(textAt(node, "a").size(), 2 * maxJsonDepth + 2);
    cr_assert(parseJson("[\"\\").is_discarded());
}

Test(Json, numbersOutOfRangeDoNotThrow)
{
    cr_assert(parseJson("{\"a\":1e400}").is_discarded());
    const auto node = parseJson(R"({"a":18446744073709551616,"b":-1,"c":1.0,"d":18446744073709551615,"d":7})");
    cr_assert_eq(unsignedAt(node, "a", 3), 3);
    cr_assert_eq(unsignedAt(node, "b", 3), 3);
    cr_assert_eq(unsignedAt(node, "c", 3), 3);
    cr_assert_eq(unsignedAt(node, "d", 3), 7);
}
