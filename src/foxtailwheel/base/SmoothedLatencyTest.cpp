#include "foxtailwheel/base/SmoothedLatency.h"

#include <criterion/criterion.h>

using namespace foxtailwheel;
using namespace std::chrono_literals;

Test(SmoothedLatency, returnsInitialTimeBeforeFirstMeasurement)
{
    cr_assert_eq(SmoothedLatency(150ms).meanPlusDeviation(), 150ms);
}

Test(SmoothedLatency, convergesToConstantTime)
{
    SmoothedLatency time(150ms);
    for (int i = 0; i < 60; ++i)
        time.add(400ms);
    cr_assert_geq(time.meanPlusDeviation(), 395ms);
    cr_assert_leq(time.meanPlusDeviation(), 410ms);
}

Test(SmoothedLatency, exceedsMeanWhenTimesVary)
{
    SmoothedLatency time(150ms);
    for (int i = 0; i < 100; ++i)
        time.add(i % 2 == 0 ? 100ms : 300ms);
    cr_assert_gt(time.meanPlusDeviation(), 260ms);
    cr_assert_lt(time.meanPlusDeviation(), 360ms);
}
