#pragma once

#include "foxtailwheel/base/Ids.h"
#include "foxtailwheel/base/Units.h"
#include "foxtailwheel/config/Settings.h"
#include "foxtailwheel/routing/ColdNotices.h"
#include "foxtailwheel/routing/LoadExchange.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailwheel::membership {

/// @brief State of an instance. Within one incarnation a state overrides the states declared before it.
enum class MemberState : std::uint8_t { Alive, Suspect, Leaving, Dead };

std::string_view toString(MemberState state);

/// @brief An instance as known to the other instances.
struct Member {
    InstanceId id;
    config::Endpoint endpoint; ///< Address for messages from other instances.
    AvailabilityZoneId zone;
    Incarnation incarnation; ///< Increases with each restart and with each refuted suspicion.
    MemberState state = MemberState::Alive;
    ConfigVersion configVersion; ///< Version in force on the instance, as last received.
    float cores = 0; ///< Processor cores available to the instance; 0 if unknown.

    friend bool operator==(const Member&, const Member&) = default;
};

/// @brief Returns true if `a` is a newer record than `b`, which has the same id.
bool supersedes(const Member& a, const Member& b);

/// @brief Record of a backend server that is leaving or has returned; the record with the highest `sequence` wins.
struct ServerNotice {
    BackendServerId server;
    bool leaving = false;
    std::uint64_t sequence = 0; ///< Time of the change in milliseconds since the Unix epoch.

    friend bool operator==(const ServerNotice&, const ServerNotice&) = default;
};

/// @brief Membership updates that are piggybacked on pings and acknowledgements.
struct Digest {
    Member sender;
    std::vector<Member> members;
    std::vector<ServerNotice> servers;
    std::vector<routing::SharedLoad> loads; ///< Newest first; empty where load is not shared.
    std::vector<routing::ColdNotice> coldServers {}; ///< Known to the sender itself.
    ConfigVersion
        configVersion {}; ///< In force on the sender; 0 if it has none, or its version isn't gossiped this way.

    friend bool operator==(const Digest&, const Digest&) = default;
};

/// @brief Probe of the receiver, or a request to the receiver to probe another instance.
struct Ping {
    std::uint64_t sequence = 0;
    InstanceId target; ///< Instance to probe; empty for the receiver itself.
    Digest digest;

    friend bool operator==(const Ping&, const Ping&) = default;
};

/// @brief Acknowledgement of a direct or an indirect ping.
struct Ack {
    std::uint64_t sequence = 0;
    InstanceId target; ///< The instance that acknowledged the ping.
    Digest digest;

    friend bool operator==(const Ack&, const Ack&) = default;
};

} // namespace foxtailwheel::membership
