#include "foxtailwheel/config/Patch.h"

#include "foxtailwheel/base/Random.h"

#include <criterion/criterion.h>

using namespace foxtailwheel;

namespace {

std::string withRandomEdit(std::string text, Random& random)
{
    const auto at = random.below(text.size() + 1);
    const auto n = random.below(text.size() - at + 1);
    return text.replace(at, n, std::string(random.below(8), static_cast<char>('a' + random.below(3))));
}

} // namespace

Test(Patch, transformsOldTextIntoNewText)
{
    Random random(5);
    std::string before = "zones";
    for (int i = 0; i < 5000; ++i) {
        const auto after = withRandomEdit(before, random);
        const auto patch = config::makePatch(ConfigVersion(1), before, ConfigVersion(2), after);
        const auto result = config::applyPatch(before, patch);
        cr_assert(result.has_value() && result.value() == after);
        before = after.size() > 200 ? std::string("zones") : after;
    }
}

Test(Patch, isRejectedForDifferentText)
{
    const auto patch = config::makePatch(ConfigVersion(1), "a: 1\nb: 2\n", ConfigVersion(2), "a: 1\nb: 3\n");
    cr_assert(!config::applyPatch("a: 2\nb: 2\n", patch).has_value());
    cr_assert(!config::applyPatch("", patch).has_value());
}

Test(Patch, containsOnlyChangedBytes)
{
    const std::string line = "  - { name: account, weight: 1 }\n";
    std::string before;
    for (int i = 0; i < 46000; ++i)
        before += line;
    auto after = before;
    after.replace(before.size() / 2, 1, "X");
    cr_assert_leq(config::makePatch(ConfigVersion(1), before, ConfigVersion(2), after).middle.size(), 2U);
}
