#pragma once

#include "foxtailwheel/base/Ids.h"
#include "foxtailwheel/base/Units.h"
#include "foxtailwheel/store/ChangeFeed.h"

#include <map>
#include <optional>
#include <set>

namespace foxtailwheel::serving {

/// @brief Decides which zones are drained, by the rows that operators write for them.
///
/// A store that returns from an older copy may lack a row, or have one that was deleted since. Neither takes effect at
/// once: operators write their rows again. Not thread-safe.
class DrainedZones {
public:
    /// @brief Applies the zones that have a row in the copy of the store that was read last.
    /// @param epoch Epoch of the rows.
    void update(const std::set<AvailabilityZoneId>& rows, store::StoreEpoch epoch, TimePoint now);
    /// @brief Ends the periods that are over.
    void expire(TimePoint now);
    /// @brief Time at which `expire` is next due; empty if never.
    std::optional<TimePoint> nextExpiry() const;
    /// @brief Returns the drained zones.
    const std::set<AvailabilityZoneId>& zones() const { return m_zones; }
    /// @brief Returns the time since which a zone is restored; empty if it is drained or was never drained.
    std::optional<TimePoint> restoredAt(const AvailabilityZoneId& zone) const;

    /// @brief Time for which a zone stays drained whose row is missing in an older copy of the store.
    static constexpr Duration missingRowPeriod = std::chrono::seconds(10);
    /// @brief Time for which a row of an older copy is ignored if it had been deleted. A row that an operator has just
    /// written again can't be told from it, and has to take effect within 5 s.
    static constexpr Duration outdatedRowPeriod = std::chrono::seconds(3);
    /// @brief Age of the oldest copy from which the store may return.
    static constexpr Duration restoreMemory = std::chrono::seconds(60);

private:
    void rebuild(TimePoint now);

    std::set<AvailabilityZoneId> m_rows;
    std::set<AvailabilityZoneId> m_zones;
    std::optional<store::StoreEpoch> m_epoch;
    std::map<AvailabilityZoneId, TimePoint> m_missing; ///< End of the retention of zones without a row.
    std::map<AvailabilityZoneId, TimePoint> m_outdated; ///< End of the time for which a row is ignored.
    std::map<AvailabilityZoneId, TimePoint> m_restoredAt;
};

} // namespace foxtailwheel::serving
