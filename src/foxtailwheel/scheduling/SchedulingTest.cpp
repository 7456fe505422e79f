#include "foxtailwheel/scheduling/AccountShares.h"
#include "foxtailwheel/scheduling/OverloadPolicy.h"
#include "foxtailwheel/scheduling/ReturnSchedule.h"

#include <criterion/criterion.h>
#include <map>

using namespace foxtailwheel;
using namespace foxtailwheel::scheduling;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { 1h };

} // namespace

// Callers that are refused in one burst and told the same delay return together and are refused again.
Test(ReturnSchedule, retriesOfABurstAreSpreadEvenly)
{
    ReturnSchedule schedule(1);
    std::map<std::int64_t, int> returns;
    for (int i = 0; i < 200; ++i)
        ++returns[schedule.assign(1, 1s, 2s, start) / ReturnSchedule::slotLength];
    cr_assert_eq(returns.size(), 10);
    for (const auto& it : returns)
        cr_assert_leq(it.second, 22);
}

// A delay that the caller does not observe is as good as none, also if the forecast has no room before.
Test(ReturnSchedule, delayStaysWithinWhatTheCallerObserves)
{
    ReturnSchedule schedule(1);
    for (int i = 0; i < 50; ++i) {
        cr_assert_leq(schedule.assign(1, 5s, 2s, start), 2s);
        const auto delay = schedule.assign(1, 300ms, 700ms, start + 30ms);
        cr_assert(delay >= 300ms && delay <= 700ms);
    }
}

// Work that was promised for the past must not be kept room for.
Test(ReturnSchedule, pastRetriesAreNotExpected)
{
    ReturnSchedule schedule(1);
    schedule.assign(3, 500ms, 600ms, start);
    cr_assert_float_eq(schedule.expectedCost(1s, start), 3, 1e-9);
    cr_assert_float_eq(schedule.expectedCost(200ms, start), 0, 1e-9);
    cr_assert_float_eq(schedule.expectedCost(1s, start + 2s), 0, 1e-9);
}

// A request that can't complete must be refused at once, with a delay after which there may be room.
Test(OverloadPolicy, requestThatWouldTimeOutIsRefusedWithAUsefulDelay)
{
    const auto window = decideAdmission({ 3s, 6s, 100ms }, { 1900ms, 6s, false, false });
    cr_assert(window.has_value());
    cr_assert_eq(window->latest, 2s);
    cr_assert_geq(window->earliest, 1s);
    cr_assert_leq(window->earliest, window->latest);
}

// Being refused twice costs a caller most, so its retry has a smaller margin than a first attempt.
Test(OverloadPolicy, retryIsAdmittedWhereAFirstAttemptIsNot)
{
    const RequestForecast forecast { 4s, 4500ms, 100ms };
    cr_assert(decideAdmission(forecast, { 1s, 6s, false, false }).has_value());
    cr_assert(!decideAdmission(forecast, { 1s, 6s, true, false }).has_value());
}

// While there is room, neither the share of an account nor an earlier refusal matters.
Test(OverloadPolicy, timelyRequestIsAdmittedWhateverItsAccountUsed)
{
    cr_assert(!decideAdmission({ 500ms, 6s, 100ms }, { 1s, 6s, false, true }).has_value());
    cr_assert(decideAdmission({ 2s, 3500ms, 100ms }, { 1s, 6s, false, true }).has_value());
    cr_assert(!decideAdmission({ 2s, 3500ms, 100ms }, { 1s, 6s, false, false }).has_value());
}

// The burst of one account must not count against the others, and its own past must be forgotten.
Test(AccountShares, burstOfOneAccountExceedsItsShareForAWhile)
{
    AccountShares shares;
    const ClientAccountId large("large");
    const ClientAccountId small("small");
    for (int i = 0; i < 4; ++i)
        shares.add(ClientAccountId("other" + std::to_string(i)), 1, start);
    shares.add(small, 1, start);
    cr_assert(!shares.isOverShare(small, start));
    for (int i = 0; i < 10; ++i)
        shares.add(large, 1, start);
    cr_assert(shares.isOverShare(large, start));
    cr_assert(!shares.isOverShare(small, start));
    for (int i = 0; i < 20; ++i) {
        shares.add(small, 1, start + 31s);
        shares.add(large, 1, start + 31s);
    }
    cr_assert(!shares.isOverShare(large, start + 31s));
}

// An account that is alone may use all capacity: the shares of idle accounts are lent.
Test(AccountShares, accountThatIsAloneIsNeverOverItsShare)
{
    AccountShares shares;
    shares.add(ClientAccountId("idle"), 1, start);
    for (int i = 0; i < 100; ++i)
        shares.add(ClientAccountId("busy"), 1, start + 60s + i * 100ms);
    cr_assert(!shares.isOverShare(ClientAccountId("busy"), start + 70s));
}
