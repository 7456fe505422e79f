#pragma once

#include "foxtailwheel/base/Ids.h"
#include "foxtailwheel/base/Units.h"
#include "foxtailwheel/serving/Forwarder.h"

#include <map>
#include <optional>
#include <vector>

namespace foxtailwheel::control {

/// @brief Decides which backend servers count as announced, from their entries in the store.
///
/// Entries lapse while the store is away, also those of servers that live; after its return a missing entry is kept
/// for a short while, since a living server announces itself again.
class ServerWatch {
public:
    /// @brief Takes the entries as they stand in the store now.
    /// @param lostAt When the store was last found unavailable.
    /// @param regainedAt When it answered again.
    void update(const std::map<BackendServerId, serving::AnnouncedServer>& entries, TimePoint lostAt,
        TimePoint regainedAt, TimePoint now);
    /// @brief Drops kept servers whose time is over; true where the set changed.
    bool expire(TimePoint now);
    /// @brief When `expire` is next needed.
    std::optional<TimePoint> nextExpiry() const;
    std::vector<serving::AnnouncedServer> servers() const;

    /// @brief Time after the store's return within which lapsed entries are back; the operators' figure.
    static constexpr Duration returnTime = std::chrono::milliseconds(2200);
    /// @brief An outage that ended this long ago may still have cost entries.
    static constexpr Duration outageMemory = std::chrono::milliseconds(2500);

private:
    struct Entry {
        serving::AnnouncedServer server;
        std::optional<TimePoint> missingUntil; ///< The entry lapsed; the server is dropped then.
    };

    std::map<BackendServerId, Entry> m_entries;
};

} // namespace foxtailwheel::control
