#include "foxtailwheel/routing/ColdNotices.h"

#include "foxtailwheel/base/Hash.h"
#include "foxtailwheel/routing/ColdCallLimiter.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace foxtailwheel;
using namespace std::chrono_literals;
using namespace foxtailwheel::routing;

namespace {

constexpr TimePoint start { 1h };
const BackendServerId server("s");
const InstanceId self("i");
const InstanceId other("j");

} // namespace

// A later message with a shorter time, from an instance that learned of another cause, must not warm up a server.
Test(ColdNotices, laterEndCountsAndNoticesExpire)
{
    ColdNotices notices;
    cr_assert(!notices.hasHeard());
    notices.add({}, start);
    cr_assert(notices.hasHeard(), "that no server is cold is known, too");
    notices.add({ { hashOf(server.value()), 3s } }, start);
    notices.add({ { hashOf(server.value()), 1s } }, start + 500ms);
    cr_assert_eq(notices.coldUntil(server), start + 3s);
    notices.add({}, start + 3s);
    cr_assert_eq(notices.coldUntil(server), TimePoint {});
}

// A message must not grow with the number of cold servers, and must hold those that matter for the longest time.
Test(ColdNotices, messageHoldsTheLongestTimes)
{
    std::vector<ColdNotice> notices;
    for (std::uint64_t i = 0; i < 500; ++i)
        notices.push_back({ i, std::chrono::milliseconds(i * 37 % 500) });
    const auto selected = selectForMessage(notices);
    cr_assert_eq(selected.size(), ColdNotices::maxNotices);
    cr_assert(std::all_of(selected.begin(), selected.end(), [](const auto& it) { return it.remaining >= 372ms; }));
}

// An instance must not pass on what it only suspects or heard, or a notice would never end.
Test(ColdNotices, onlyOwnKnowledgeIsPassedOn)
{
    ColdCallLimiter limiter(self);
    limiter.setLimits({ 8, 10s });
    limiter.suspectCold(server, start);
    limiter.setColdByNotice(server, start + 20s, start);
    std::vector<ColdNotice> notices;
    limiter.addNotices(notices, start);
    cr_assert(notices.empty());
    cr_assert(limiter.isCold(server, start + 19s));
    limiter.markCold(server, 5s, start);
    limiter.addNotices(notices, start + 1s);
    const std::vector<ColdNotice> expected { { hashOf(server.value()), 4s } };
    cr_assert(notices == expected);
    limiter.setLimits({ 0, 10s });
    notices.clear();
    limiter.addNotices(notices, start);
    cr_assert(notices.empty(), "no limit");
}

// An instance that starts while servers are cold must not send them calls before it has heard of that.
Test(ColdNotices, startingInstanceSendsNoCallsBeforeItHasHeardFromAnother)
{
    ColdCallLimiter limiter(self);
    limiter.setLimits({ 8, 10s });
    limiter.setLiveInstances({ self }, start);
    cr_assert(limiter.admits(server, start), "it knows nobody to ask");
    limiter.setLiveInstances({ self, other }, start);
    cr_assert(!limiter.admits(server, start + 100ms));
    cr_assert(limiter.admits(server, start + ColdCallLimiter::startTime), "nobody answers");
    limiter.onNoticesHeard();
    limiter.setColdByNotice(server, start + 5s, start + 100ms);
    cr_assert(!limiter.admits(server, start + 200ms));
    cr_assert(limiter.admits(BackendServerId("warm"), start + 200ms));
}

// A service without a cold limit must not wait for other instances.
Test(ColdNotices, serviceWithoutLimitDoesNotWait)
{
    ColdCallLimiter limiter(self);
    limiter.setLiveInstances({ self, other }, start);
    cr_assert(limiter.admits(server, start));
}
