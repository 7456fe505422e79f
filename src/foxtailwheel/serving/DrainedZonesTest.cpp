#include "foxtailwheel/serving/DrainedZones.h"

#include <criterion/criterion.h>

using namespace foxtailwheel;
using namespace std::chrono_literals;
using serving::DrainedZones;
using store::StoreEpoch;
using Zones = std::set<AvailabilityZoneId>;

namespace {

constexpr TimePoint start { 1h };
const AvailabilityZoneId zoneA("a");

} // namespace

// Fails if a row that is written or deleted takes effect late, or the time of the restore is lost.
Test(DrainedZones, rowsTakeEffectAtOnce)
{
    DrainedZones zones;
    zones.update({ zoneA }, StoreEpoch(1), start);
    cr_assert(zones.zones() == Zones({ zoneA }));
    cr_assert(!zones.restoredAt(zoneA));
    zones.update({}, StoreEpoch(1), start + 1s);
    cr_assert(zones.zones().empty());
    cr_assert(zones.restoredAt(zoneA) == start + 1s);
}

// Fails if a store that lost the row sends traffic to a zone that operators took out of service.
Test(DrainedZones, zoneStaysDrainedWhenAnOlderCopyOfTheStoreLacksItsRow)
{
    DrainedZones zones;
    zones.update({ zoneA }, StoreEpoch(1), start);
    zones.update({}, StoreEpoch(2), start + 1s);
    zones.update({}, StoreEpoch(2), start + 5s);
    cr_assert(zones.zones().contains(zoneA));
    cr_assert(zones.nextExpiry() == start + 11s);
    zones.expire(start + 11s);
    cr_assert(zones.zones().empty());
    cr_assert(zones.restoredAt(zoneA) == start + 11s);
}

// Fails if the retention outlasts a deletion that was seen in the new epoch, or ends although the row is there again.
Test(DrainedZones, rowOfTheNewEpochReplacesTheRetention)
{
    DrainedZones zones;
    zones.update({ zoneA }, StoreEpoch(1), start);
    zones.update({}, StoreEpoch(2), start + 1s);
    zones.update({ zoneA }, StoreEpoch(2), start + 2s);
    zones.expire(start + 20s);
    cr_assert(zones.zones().contains(zoneA));
    zones.update({}, StoreEpoch(2), start + 21s);
    cr_assert(zones.zones().empty());
}

// Fails if an older copy of the store drains a zone again that was restored, or if a row that stays has no effect.
Test(DrainedZones, rowThatWasDeletedIsIgnoredForAWhileInAnOlderCopy)
{
    DrainedZones zones;
    zones.update({ zoneA }, StoreEpoch(1), start);
    zones.update({}, StoreEpoch(1), start + 1s);
    zones.update({ zoneA }, StoreEpoch(2), start + 2s);
    cr_assert(zones.zones().empty());
    zones.expire(start + 5s);
    cr_assert(zones.zones().contains(zoneA), "an operator may have written it again");
}
