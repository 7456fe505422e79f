#include "foxtailwheel/membership/Member.h"

#include <array>

namespace foxtailwheel::membership {

std::string_view toString(MemberState state)
{
    constexpr std::array<std::string_view, 4> names { "alive", "suspect", "leaving", "dead" };
    return names.at(static_cast<std::size_t>(state));
}

bool supersedes(const Member& a, const Member& b)
{
    if (a.incarnation != b.incarnation)
        return a.incarnation > b.incarnation;
    if (a.state != b.state)
        return a.state > b.state;
    return a.configVersion > b.configVersion;
}

} // namespace foxtailwheel::membership
