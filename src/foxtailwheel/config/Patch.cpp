#include "foxtailwheel/config/Patch.h"

#include "foxtailwheel/base/Hash.h"

#include <algorithm>

namespace foxtailwheel::config {

Patch makePatch(ConfigVersion from, const std::string& before, ConfigVersion to, const std::string& after)
{
    Patch patch { from, to, 0, 0, {}, sha256Hex(after) };
    const auto shorterSize = std::min(before.size(), after.size());
    while (patch.head < shorterSize && before[patch.head] == after[patch.head])
        ++patch.head;
    while (patch.tail < shorterSize - patch.head
        && before[before.size() - 1 - patch.tail] == after[after.size() - 1 - patch.tail])
        ++patch.tail;
    patch.middle = after.substr(patch.head, after.size() - patch.head - patch.tail);
    return patch;
}

Result<std::string> applyPatch(const std::string& before, const Patch& patch)
{
    if (patch.head > before.size() || patch.tail > before.size() - patch.head)
        return fail(Errc::Conflict, "the patch was made for a different text");
    auto after = before.substr(0, patch.head) + patch.middle + before.substr(before.size() - patch.tail);
    if (sha256Hex(after) != patch.hash)
        return fail(Errc::Conflict, "the patch was made for a different text");
    return after;
}

} // namespace foxtailwheel::config
