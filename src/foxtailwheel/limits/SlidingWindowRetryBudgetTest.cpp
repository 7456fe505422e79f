#include "foxtailwheel/limits/SlidingWindowRetryBudget.h"
#include "foxtailwheel/limits/RateMeter.h"

#include <criterion/criterion.h>

using namespace foxtailwheel;
using namespace std::chrono_literals;

namespace {
constexpr TimePoint start { 1h };
} // namespace

Test(SlidingWindowRetryBudget, allInstancesStayWithinTheBudgetOfEveryWindow)
{
    constexpr double share = 0.2;
    constexpr double fixedRetries = 58;
    constexpr std::size_t instances = 9;
    std::vector<limits::SlidingWindowRetryBudget> budgets(
        instances, limits::SlidingWindowRetryBudget(share, fixedRetries, 10s));
    std::deque<TimePoint> firstCalls;
    std::deque<TimePoint> retries;
    for (auto& it : budgets)
        it.setInstanceCount(instances);
    for (int tick = 0; tick < 4000; ++tick) {
        const auto now = start + tick * 10ms;
        auto& budget = budgets[static_cast<std::size_t>(tick) % instances];
        budget.onFirstCall(now);
        firstCalls.push_back(now);
        if (budget.tryAcquire(1, now))
            retries.push_back(now);
        while (firstCalls.front() < now - 10s)
            firstCalls.pop_front();
        while (!retries.empty() && retries.front() < now - 10s)
            retries.pop_front();
        cr_assert_leq(
            static_cast<double>(retries.size()), share * static_cast<double>(firstCalls.size()) + fixedRetries);
    }
    cr_assert_gt(retries.size(), 100);
}

Test(SlidingWindowRetryBudget, rejectsARequestThatFitsOnlyInPart)
{
    limits::SlidingWindowRetryBudget budget(0, 10, 10s);
    cr_assert(!budget.tryAcquire(9, start));
    cr_assert(budget.tryAcquire(8, start));
    cr_assert(!budget.tryAcquire(1, start + 9s));
    cr_assert(budget.tryAcquire(8, start + 11s));
}

Test(RateMeter, measuresRateAndDecays)
{
    limits::RateMeter meter(1s);
    for (int i = 0; i < 500; ++i)
        meter.add(1, start + i * 20ms);
    cr_assert_float_eq(meter.perSecond(start + 10s), 50, 5);
    cr_assert_lt(meter.perSecond(start + 15s), 1);
}
