#include "foxtailwheel/limits/WindowBudget.h"
#include "foxtailwheel/limits/RateMeter.h"

#include <criterion/criterion.h>

using namespace foxtailwheel;
using namespace std::chrono_literals;

namespace {
constexpr TimePoint start { 1h };
} // namespace

Test(WindowBudget, instancesTogetherStayWithinAnyWindow)
{
    constexpr double share = 0.2;
    constexpr double extra = 58;
    constexpr std::size_t instances = 9;
    std::vector<limits::WindowBudget> budgets(instances, limits::WindowBudget(share, extra, 10s));
    std::deque<TimePoint> first;
    std::deque<TimePoint> repeated;
    for (auto& it : budgets)
        it.setInstances(instances);
    for (int tick = 0; tick < 4000; ++tick) {
        const auto now = start + tick * 10ms;
        auto& budget = budgets[static_cast<std::size_t>(tick) % instances];
        budget.earn(now);
        first.push_back(now);
        if (budget.take(1, now))
            repeated.push_back(now);
        while (first.front() < now - 10s)
            first.pop_front();
        while (!repeated.empty() && repeated.front() < now - 10s)
            repeated.pop_front();
        cr_assert_leq(static_cast<double>(repeated.size()), share * static_cast<double>(first.size()) + extra);
    }
    cr_assert_gt(repeated.size(), 100);
}

Test(WindowBudget, nothingIsTakenInPart)
{
    limits::WindowBudget budget(0, 10, 10s);
    cr_assert(!budget.take(9, start));
    cr_assert(budget.take(8, start));
    cr_assert(!budget.take(1, start + 9s));
    cr_assert(budget.take(8, start + 11s));
}

Test(RateMeter, followsTheRate)
{
    limits::RateMeter meter(1s);
    for (int i = 0; i < 500; ++i)
        meter.add(1, start + i * 20ms);
    cr_assert_float_eq(meter.perSecond(start + 10s), 50, 5);
    cr_assert_lt(meter.perSecond(start + 15s), 1);
}
