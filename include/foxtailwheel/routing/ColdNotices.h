#pragma once

#include "foxtailwheel/base/Ids.h"
#include "foxtailwheel/base/Units.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace foxtailwheel::routing {

/// @brief A cold server, for other instances.
struct ColdNotice {
    std::uint64_t server = 0; ///< Hash of the id of the server.
    Duration remaining {}; ///< Time for which it remains cold.

    friend bool operator==(const ColdNotice&, const ColdNotice&) = default;
};

/// @brief Cold servers as other instances know them.
///
/// Answers an instance that starts while servers are cold: it can't know of restored zones or health responses
/// from before its start. An instance sends only what it found out itself, so a notice is not passed on and
/// the delay of messages does not add up. Not thread-safe.
class ColdNotices {
public:
    /// @brief Keeps the notices of another instance; of two about the same server, the later end counts.
    void add(const std::vector<ColdNotice>& notices, TimePoint now);
    /// @brief Returns until when a server is cold according to other instances; in the past if it is not.
    TimePoint coldUntil(const BackendServerId& server) const;
    /// @brief Returns true once another instance has said which servers are cold, if any.
    bool hasHeard() const { return m_hasHeard; }

    /// @brief Notices in one message; 16 bytes each. A restored zone has some tens of servers.
    static constexpr std::size_t maxNotices = 128;
    /// @brief Servers for which a notice is kept.
    static constexpr std::size_t maxServers = 4096;

private:
    std::unordered_map<std::uint64_t, TimePoint> m_coldUntil;
    bool m_hasHeard = false;
};

/// @brief Returns the notices for one message: those that remain the longest.
std::vector<ColdNotice> selectForMessage(std::vector<ColdNotice> notices);

} // namespace foxtailwheel::routing
