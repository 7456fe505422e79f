#pragma once

#include "foxtailwheel/base/Ids.h"
#include "foxtailwheel/base/Units.h"
#include "foxtailwheel/config/Settings.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailwheel::membership {

/// @brief What is believed of an instance. Within one incarnation a later value overrides an earlier one.
enum class MemberState : std::uint8_t { Alive, Suspect, Leaving, Dead };

std::string_view toString(MemberState state);

/// @brief One instance as the others know it.
struct Member {
    InstanceId id;
    config::Endpoint peers; ///< Where other instances reach it.
    AvailabilityZoneId zone;
    Incarnation incarnation; ///< Grows with each life and with each refuted suspicion.
    MemberState state = MemberState::Alive;
    ConfigVersion config; ///< Version in force there, as last heard.
    float cores = 0; ///< Processor time that it may use; 0 where it is not told.

    friend bool operator==(const Member&, const Member&) = default;
};

/// @brief True where `a` is to replace `b`, which has the same id.
bool supersedes(const Member& a, const Member& b);

/// @brief What is known of a backend server that leaves or came back; the highest `sequence` counts.
struct ServerNotice {
    BackendServerId server;
    bool leaving = false;
    std::uint64_t sequence = 0; ///< Milliseconds of calendar time when it was noticed.

    friend bool operator==(const ServerNotice&, const ServerNotice&) = default;
};

/// @brief What rides on every message between instances.
struct Digest {
    Member sender;
    std::vector<Member> members;
    std::vector<ServerNotice> servers;

    friend bool operator==(const Digest&, const Digest&) = default;
};

/// @brief Are you there? With a target: ask it for me.
struct Ping {
    std::uint64_t sequence = 0;
    InstanceId target; ///< Empty for the receiver itself.
    Digest digest;

    friend bool operator==(const Ping&, const Ping&) = default;
};

/// @brief Answer to a ping, or to one asked on another's behalf.
struct Ack {
    std::uint64_t sequence = 0;
    InstanceId target; ///< The instance that was reached.
    Digest digest;

    friend bool operator==(const Ack&, const Ack&) = default;
};

} // namespace foxtailwheel::membership
