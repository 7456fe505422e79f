#pragma once

#include "foxtailwheel/base/Ids.h"
#include "foxtailwheel/base/Units.h"
#include "foxtailwheel/serving/Forwarder.h"

#include <map>
#include <optional>
#include <vector>

namespace foxtailwheel::control {

/// @brief Tracks the announced backend servers by their entries in the store.
///
/// Entries expire while the store is unavailable, even those of healthy servers. After the store has recovered, a
/// missing entry is retained for a grace period, because a healthy server announces itself again. Not thread-safe.
class ServerRegistry {
public:
    /// @param maxRetention Longest time for which a server is retained after its entry was found missing: it may have
    /// left, and then has to get no more calls.
    explicit ServerRegistry(Duration maxRetention = reannounceGracePeriod)
        : m_maxRetention(maxRetention)
    {
    }

    /// @brief Applies the current entries of the store.
    /// @param lastUnavailableAt Time at which the store was last found unavailable; unset for never.
    /// @param recoveredAt Time at which the store last recovered.
    void update(const std::map<BackendServerId, serving::AnnouncedServer>& entries, TimePoint lastUnavailableAt,
        TimePoint recoveredAt, TimePoint now);
    /// @brief Removes retained servers whose grace period has ended; true if the set changed.
    bool expire(TimePoint now);
    /// @brief Time at which `expire` is next due; empty if no server is retained.
    std::optional<TimePoint> nextExpiry() const;
    std::vector<serving::AnnouncedServer> servers() const;

    /// @brief Time after the store's recovery within which servers announce themselves again, as given by the
    /// operators.
    static constexpr Duration reannounceGracePeriod = std::chrono::milliseconds(2200);
    /// @brief Time after the store's recovery in which a missing entry is attributed to the outage.
    static constexpr Duration outageEffectPeriod = std::chrono::milliseconds(2500);

private:
    struct Entry {
        serving::AnnouncedServer server;
        std::optional<TimePoint> expiresAt; ///< Set if the entry is missing; the server is removed then.
    };

    Duration m_maxRetention;
    std::map<BackendServerId, Entry> m_entries;
};

} // namespace foxtailwheel::control
