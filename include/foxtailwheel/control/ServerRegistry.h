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
/// missing entry is retained for a grace period, because a healthy server announces itself again. A store that returns
/// from an older copy has entries of servers that have left since: these are ignored until the server writes again.
/// Not thread-safe.
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
    /// @brief The store has returned from an older copy, so the next entries may be older than the ones before.
    void onStoreRestored() { m_wasRestored = true; }
    /// @brief Removes retained servers whose grace period has ended, and no longer ignores entries that persist; true
    /// if the set changed.
    bool expire(TimePoint now);
    /// @brief Time at which `expire` is next due; empty if no server is retained and no entry ignored.
    std::optional<TimePoint> nextExpiry() const;
    std::vector<serving::AnnouncedServer> servers() const;
    /// @brief Number of entries that are ignored because they are older than what is known of their servers.
    std::size_t outdatedEntries() const { return m_outdated.size(); }

    /// @brief Time after the store's recovery within which servers announce themselves again, as given by the
    /// operators.
    static constexpr Duration reannounceGracePeriod = std::chrono::milliseconds(2200);
    /// @brief Time after the store's recovery in which a missing entry is attributed to the outage.
    static constexpr Duration outageEffectPeriod = std::chrono::milliseconds(2500);
    /// @brief Time after which an entry that is older than what is known is taken all the same: the store has removed
    /// the entries of servers that are gone by then.
    static constexpr Duration outdatedEntryPeriod = std::chrono::seconds(10);
    /// @brief Age of the oldest copy from which the store may return: servers that left longer ago are forgotten.
    static constexpr Duration departureMemory = std::chrono::seconds(60);
    static constexpr std::size_t maxDepartures = 4096;

private:
    struct Entry {
        serving::AnnouncedServer server;
        std::optional<TimePoint> expiresAt; ///< Set if the entry is missing; the server is removed then.
    };

    /// Last entry of a server that has left.
    struct Departure {
        serving::AnnouncedServer last;
        TimePoint at;
    };
    /// Entry of an older copy of the store, ignored as long as it does not change.
    struct OutdatedEntry {
        serving::AnnouncedServer entry;
        TimePoint ignoredUntil;
    };

    void markOutdated(const std::map<BackendServerId, serving::AnnouncedServer>& entries, TimePoint now);
    void rememberDeparture(const serving::AnnouncedServer& server, TimePoint now);

    Duration m_maxRetention;
    bool m_wasRestored = false;
    std::map<BackendServerId, Entry> m_entries;
    std::map<BackendServerId, Departure> m_departures;
    std::map<BackendServerId, OutdatedEntry> m_outdated;
};

} // namespace foxtailwheel::control
