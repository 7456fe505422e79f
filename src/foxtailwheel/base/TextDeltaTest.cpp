#include "foxtailwheel/base/TextDelta.h"
#include "foxtailwheel/base/Random.h"

#include <criterion/criterion.h>

using namespace foxtailwheel;

namespace {

std::string routes(std::size_t n, const std::string& version)
{
    std::string text = R"({"version":)" + version + R"(,"routes":[)";
    for (std::size_t i = 0; i < n; ++i)
        text += R"({"name":"route-)" + std::to_string(i) + R"(","host":"h.example","prefix":"/)"
            + std::to_string(i * 7919)
            + R"(/","kind":"safe","timeout":600,"goal":150,"attempts":2,"priority":2,"service":"desk"},)";
    return text + "]}";
}

} // namespace

Test(TextDelta, changesAtSeveralPlacesOfALargeTextAreSmall)
{
    const auto before = routes(1500, "12");
    auto after = routes(1500, "13");
    after.replace(after.find("route-700"), 9, "route-new-and-longer");
    after.insert(after.find(R"({"name":"route-900")"), R"({"name":"added","host":"h.example"},)");
    after += R"("tenants":[])";
    const auto delta = makeDelta(before, after);
    cr_assert_lt(delta.encodedSize(), 2000);
    cr_assert_eq(applyDelta(before, delta).value(), after);
}

Test(TextDelta, randomEditsAreRestored)
{
    Random random(7);
    for (int round = 0; round < 300; ++round) {
        auto before = routes(random.below(20), std::to_string(round));
        auto after = before;
        for (auto edits = random.below(6); edits > 0; --edits) {
            const auto at = random.below(after.size() + 1);
            after.replace(at, random.below(300), std::string(random.below(300), static_cast<char>('a' + edits)));
        }
        cr_assert_eq(applyDelta(before, makeDelta(before, after)).value(), after);
    }
}

Test(TextDelta, deltaForAnotherTextIsAnError)
{
    const auto delta = makeDelta(routes(20, "1"), routes(20, "2"));
    auto other = routes(20, "1");
    other.replace(other.find("route-5"), 7, "route-x");
    cr_assert(!applyDelta(other, delta));
    cr_assert(!applyDelta("", delta));
    cr_assert(!applyDelta("abc", { { { 2, 5, 0 } }, {}, 0 }));
    cr_assert(!applyDelta("abc", { { { 0, 1, 9 } }, "x", 0 }));
}
