#include "foxtailwheel/serving/ZoneForecast.h"

#include <criterion/criterion.h>

using namespace foxtailwheel;
using namespace std::chrono_literals;
using namespace foxtailwheel::serving;

namespace {

constexpr TimePoint start { 1h };
const config::BatchLimits tenPieces { 1, 2, 10, 200ms, 10ms, 4s, 0 };
const AvailabilityZoneId zoneA("a");

} // namespace

Test(ZoneForecast, assignsFullCallsInOrderOfServerAvailability)
{
    const BatchForecast forecast(tenPieces);
    ZoneForecast zones(forecast, tenPieces.maxPieces);
    zones.addServer(zoneA, start + 100ms);
    zones.addServer(zoneA, start);
    cr_assert_eq(zones.estimateCompletion(zoneA, 0), start + 210ms);
    cr_assert_eq(zones.estimateCompletion(zoneA, 10), start + 100ms + 210ms);
    cr_assert_eq(zones.estimateCompletion(zoneA, 20), start + 300ms + 210ms,
        "the third call starts after a full call of the first server");
}

Test(ZoneForecast, neverCompletesPiecesInAZoneWithoutServers)
{
    const BatchForecast forecast(tenPieces);
    const ZoneForecast zones(forecast, tenPieces.maxPieces);
    cr_assert_eq(zones.estimateCompletion(zoneA, 0), TimePoint::max());
    cr_assert(zones.exceedsNextCalls(zoneA, 0));
}

Test(ZoneForecast, nextCallsHoldOneFullBatchPerServer)
{
    const BatchForecast forecast(tenPieces);
    ZoneForecast zones(forecast, tenPieces.maxPieces);
    zones.addServer(zoneA, start);
    zones.addServer(zoneA, start + 1s);
    cr_assert(!zones.exceedsNextCalls(zoneA, 19));
    cr_assert(zones.exceedsNextCalls(zoneA, 20));
}
