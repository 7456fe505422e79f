#include "foxtailwheel/serving/Prompt.h"

#include <criterion/criterion.h>
#include <set>
#include <string>

using namespace foxtailwheel::serving;

// Instances of different builds send prompts with the same part to different servers, where it is read again.
Test(Prompt, partsWithANumberAreWhereEarlierBuildsPlaceThem)
{
    cr_assert_eq(affinityKeyOf(makePromptPartId("5c1e07a2")), 0x5c1e07a2);
    cr_assert_eq(affinityKeyOf(makePromptPartId("ffffffffffffffff")), UINT64_MAX);
}

// Parts with long IDs had no key, so their prompts were spread over all servers.
Test(Prompt, partsOfAnyTextHaveAKeyOfTheirOwn)
{
    std::set<std::uint64_t> keys;
    const std::string text = "9c41d07be2a35f689c41d07be2a35f68";
    for (std::size_t n = 0; n <= text.size(); ++n)
        keys.insert(affinityKeyOf(makePromptPartId(text.substr(0, n))));
    cr_assert_eq(keys.size(), text.size() + 1);
}
