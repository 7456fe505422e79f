#include "foxtailwheel/base/SmoothedTime.h"

#include <criterion/criterion.h>

using namespace foxtailwheel;
using namespace std::chrono_literals;

Test(SmoothedLatency, returnsInitialTimeBeforeFirstMeasurement)
{
    cr_assert_eq(SmoothedTime(150ms).usual(), 150ms);
}

Test(SmoothedLatency, convergesToConstantTime)
{
    SmoothedTime time(150ms);
    for (int i = 0; i < 60; ++i)
        time.add(400ms);
    cr_assert_geq(time.usual(), 395ms);
    cr_assert_leq(time.usual(), 410ms);
}

Test(SmoothedLatency, exceedsMeanWhenTimesVary)
{
    SmoothedTime time(150ms);
    for (int i = 0; i < 100; ++i)
        time.add(i % 2 == 0 ? 100ms : 300ms);
    cr_assert_gt(time.usual(), 260ms);
    cr_assert_lt(time.usual(), 360ms);
}
