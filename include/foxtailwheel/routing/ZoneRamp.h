#pragma once

#include "foxtailwheel/base/Ids.h"
#include "foxtailwheel/base/Units.h"

#include <cstdint>
#include <map>

namespace foxtailwheel::routing {

/// @brief Gives restored zones their traffic in steps: the share of requests for which their servers are candidates
/// grows evenly. Not thread-safe.
class ZoneRamp {
public:
    /// @brief Sets when zones were restored; replaces the previous ones. Zones without a time get all their traffic.
    void setRestored(std::map<AvailabilityZoneId, TimePoint> restoredAt) { m_restoredAt = std::move(restoredAt); }
    /// @brief Sets when one more zone was restored.
    void addRestored(const AvailabilityZoneId& zone, TimePoint at) { m_restoredAt[zone] = at; }
    /// @brief Returns true if a zone gets only a part of its traffic.
    bool isActive(TimePoint now) const;
    /// @brief Returns the share of requests for which the servers of a zone are candidates, from above 0 to 1.
    double share(const AvailabilityZoneId& zone, TimePoint now) const;
    /// @brief Returns whether the servers of a zone are candidates for requests with this hash key. Once they are, they
    /// remain so, so a key moves to the zone once.
    bool admits(const AvailabilityZoneId& zone, std::uint64_t key, TimePoint now) const;

    static constexpr Duration rampTime = std::chrono::seconds(4);
    static constexpr int steps = 16;

private:
    std::map<AvailabilityZoneId, TimePoint> m_restoredAt;
};

} // namespace foxtailwheel::routing
