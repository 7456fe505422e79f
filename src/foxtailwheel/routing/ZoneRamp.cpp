#include "foxtailwheel/routing/ZoneRamp.h"

#include "foxtailwheel/base/Hash.h"

#include <algorithm>

namespace foxtailwheel::routing {

bool ZoneRamp::isActive(TimePoint now) const
{
    return std::any_of(
        m_restoredAt.begin(), m_restoredAt.end(), [now](const auto& it) { return now - it.second < rampTime; });
}

double ZoneRamp::share(const AvailabilityZoneId& zone, TimePoint now) const
{
    const auto found = m_restoredAt.find(zone);
    if (found == m_restoredAt.end())
        return 1;
    const auto step = std::max<Duration>(now - found->second, Duration {}) / (rampTime / steps) + 1;
    return std::min(1.0, static_cast<double>(step) / steps);
}

bool ZoneRamp::admits(const AvailabilityZoneId& zone, std::uint64_t key, TimePoint now) const
{
    const double admitted = share(zone, now);
    if (admitted >= 1)
        return true;
    // Other hashes of zone and key choose the zone and the server of a key, so this one differs from them.
    const auto hash = hashOf("ramp/" + zone.value(), key);
    return static_cast<double>(hash >> 11U) * 0x1.0p-53 < admitted;
}

} // namespace foxtailwheel::routing
