#include "CallsInProgress.h"

#include <criterion/criterion.h>

using namespace foxtailwheel;
using namespace std::chrono_literals;
using namespace foxtailwheel::serving;

namespace {

constexpr TimePoint start { 1h };
const config::BatchLimits oneSlot { 1, 2, 10, 200ms, 17ms, 4s, 0 };
const config::BackendServer server { BackendServerId("s"), "127.0.0.1", 9000, AvailabilityZoneId("a") };

BatchCall call(TimePoint startsAt)
{
    return { server, {}, startsAt, 200ms };
}

} // namespace

Test(CallsInProgress, nextCallIsAllowedShortlyBeforeTheCurrentOneEnds)
{
    CallsInProgress calls;
    cr_assert(calls.canSendTo(server.id, oneSlot, start));
    calls.add(CallId(1), call(start));
    cr_assert(!calls.canSendTo(server.id, oneSlot, start + 174ms));
    cr_assert_eq(calls.nextAvailabilityChange(start), start + 175ms);
    cr_assert(calls.canSendTo(server.id, oneSlot, start + 175ms));
    cr_assert_eq(calls.countNotEnding(start + 175ms), 0);
    cr_assert(
        !calls.canSendTo(server.id, oneSlot, start + 261ms), "nothing is sent behind a call that is long overdue");
}

Test(CallsInProgress, queuedCallStartsWhenThePreviousOneEnds)
{
    CallsInProgress calls;
    calls.add(CallId(1), call(start));
    cr_assert_eq(calls.nextStartTime(server.id, start + 180ms), start + 200ms);
    calls.add(CallId(2), call(calls.nextStartTime(server.id, start + 180ms)));
    cr_assert_eq(calls.lastEndTimes().at(0).second, start + 400ms);
    cr_assert(calls.remove(CallId(1), start + 230ms));
    cr_assert_eq(calls.lastEndTimes().at(0).second, start + 430ms);
    cr_assert(!calls.remove(CallId(1), start + 230ms));
}

Test(CallsInProgress, serverThatDidNotStartACallIsPaused)
{
    CallsInProgress calls;
    calls.pause(server.id, start);
    cr_assert(!calls.canSendTo(server.id, oneSlot, start + 59ms));
    cr_assert_eq(calls.nextAvailabilityChange(start), start + 60ms);
    cr_assert(calls.canSendTo(server.id, oneSlot, start + 60ms));
}
