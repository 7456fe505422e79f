#pragma once

#include "foxtailwheel/serving/Forwarder.h"

#include <map>
#include <optional>
#include <vector>

namespace foxtailwheel::serving {

/// @brief Tracks which servers are cold by their entries. Not thread-safe.
class ColdStarts {
public:
    /// @brief Applies the entries that were read at `now`.
    void update(const std::vector<AnnouncedServer>& servers, TimePoint now, WallTime wallNow);
    /// @brief Returns until when a server is cold by its entries; in the past if it is not.
    /// @param coldTime Time for which a server of its service is cold after its start.
    TimePoint coldUntil(const BackendServerId& server, Duration coldTime) const;

    /// @brief Time for which servers without an entry are remembered: their entries expire while the store is
    /// unavailable, and do not mean a start when they are there again.
    static constexpr Duration memory = std::chrono::minutes(10);
    /// @brief Difference of the clocks of a server and of this instance that is allowed for.
    static constexpr Duration clockTolerance = std::chrono::seconds(5);

private:
    struct Known {
        AnnouncedServer entry;
        TimePoint seenAt {};
        TimePoint coldByEntry {};
        std::optional<TimePoint> startedAt; ///< Time at which a start was seen of which the entry does not say more.
        Duration ageAtStart {}; ///< Age of the process by its entry at that time, if it has a start.
    };

    std::map<BackendServerId, Known> m_known;
    bool m_hasRead = false;
};

} // namespace foxtailwheel::serving
