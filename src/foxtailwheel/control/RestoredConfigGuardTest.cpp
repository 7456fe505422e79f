#include "foxtailwheel/control/RestoredConfigGuard.h"

#include <criterion/criterion.h>

using namespace foxtailwheel;
using namespace std::chrono_literals;
using control::RestoredConfigGuard;

namespace {

constexpr TimePoint start { 1h };
constexpr store::StoreEpoch restored { 2 };

} // namespace

// An instance that started after the store had lost a configuration accepted a credential that the others refused.
Test(RestoredConfigGuard, configurationThatIsOlderThanThoseOfOthersIsNotTaken)
{
    RestoredConfigGuard guard(start);
    cr_assert(!guard.admits(ConfigVersion(7), restored, start), "the others may know a newer one");
    cr_assert(guard.onPeerVersion(ConfigVersion(12), start));
    cr_assert(!guard.onPeerVersion(ConfigVersion(7), start));
    cr_assert(!guard.admits(ConfigVersion(7), restored, start + 9s));
    cr_assert(guard.admits(ConfigVersion(12), restored, start + 100ms), "the operator has written it again");
    cr_assert(guard.admits(ConfigVersion(13), restored, start + 100ms));
}

// If all instances were stopped, none knows a newer configuration, and all would wait forever.
Test(RestoredConfigGuard, waitForOtherInstancesEnds)
{
    const RestoredConfigGuard guard(start);
    cr_assert(!guard.admits(ConfigVersion(7), restored, start + RestoredConfigGuard::maxWait - 1ms));
    cr_assert(guard.admits(ConfigVersion(7), restored, start + RestoredConfigGuard::maxWait));
}

Test(RestoredConfigGuard, storeThatHasLostNothingIsTrusted)
{
    RestoredConfigGuard guard(start);
    guard.onPeerVersion(ConfigVersion(12), start);
    for (const std::uint64_t epoch : { 0, 1 })
        cr_assert(guard.admits(ConfigVersion(7), store::StoreEpoch(epoch), start));
}
