#pragma once

#include "foxtailwheel/base/Random.h"
#include "foxtailwheel/membership/Member.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace foxtailwheel::membership {

/// @brief Requests that a ping or an acknowledgement is sent to an instance.
struct SendMessage {
    config::Endpoint to;
    std::variant<Ping, Ack> message;
};

/// @brief Reports that the set of members or of leaving servers has changed.
struct ViewChanged { };

using MembershipAction = std::variant<SendMessage, ViewChanged>;
using MembershipActions = std::vector<MembershipAction>;

/// @brief Timeouts and limits of the gossip protocol.
struct MembershipOptions {
    Duration probeInterval = std::chrono::milliseconds(500); ///< Time between two probes by this instance.
    Duration ackTimeout
        = std::chrono::milliseconds(200); ///< Time without an acknowledgement until indirect probes are sent.
    Duration suspicionTimeout = std::chrono::seconds(
        3); ///< Time until a suspected member is declared dead, for up to 16 members; grows logarithmically beyond.
    std::size_t fanout = 3; ///< Random members that receive indirect probe requests or urgent updates.
    std::size_t updatesPerMessage = 12;
    std::size_t maxUpdatesPerMessage
        = 36; ///< Limit while many updates are pending, such as when all instances start at once.
    Duration deadMemberRetention
        = std::chrono::seconds(60); ///< Time until the record of a dead or leaving member is removed.
    /// @brief Time until the notice of a server is removed; 0 keeps it until the server returns.
    Duration serverNoticeRetention {};
};

/// @brief SWIM-style gossip membership of the instances of one region, without a coordinator. Not thread-safe.
///
/// Each probe interval one random member is pinged, through other members if it does not acknowledge, and is suspected
/// only if that fails too. A suspected instance refutes the suspicion with a higher incarnation. Updates are
/// piggybacked on pings and acknowledgements a limited number of times each, so that the message rate of an instance
/// does not grow with the number of instances.
class Membership {
public:
    /// @param self This instance; its incarnation is its start time in milliseconds since the Unix epoch.
    Membership(Member self, MembershipOptions options, std::uint64_t seed);

    /// @brief Runs the timers; call several times in each probe interval.
    void tick(TimePoint now, MembershipActions& out);
    /// @brief Handles a received ping.
    void onPing(const Ping& ping, TimePoint now, MembershipActions& out);
    /// @brief Handles a received acknowledgement.
    void onAck(const Ack& ack, TimePoint now, MembershipActions& out);
    /// @brief Adds an instance from the instance list or from a peer, unless it is already known.
    void addIfUnknown(const Member& member, TimePoint now);
    /// @brief Sets the configuration version in force on this instance and gossips it immediately.
    void setConfigVersion(ConfigVersion version, TimePoint now, MembershipActions& out);
    /// @brief Marks this instance as leaving and gossips it immediately.
    void leave(TimePoint now, MembershipActions& out);
    /// @brief Records that a backend server is leaving or has returned and gossips it immediately.
    void publishServerNotice(const ServerNotice& notice, TimePoint now, MembershipActions& out);

    /// @brief Returns this instance and all known members, including dead ones.
    std::vector<Member> members() const;
    /// @brief Returns the instances that receive work: alive or suspected, including this one unless it is leaving.
    std::vector<Member> activeMembers() const;
    /// @brief Returns the backend servers that are leaving.
    std::set<BackendServerId> leavingServers() const;
    /// @brief Returns their notices.
    std::vector<ServerNotice> leavingServerNotices() const;
    const Member& self() const { return m_self; }

private:
    struct MemberEntry {
        Member member;
        TimePoint stateSince;
    };
    struct Probe {
        InstanceId target;
        std::uint64_t sequence = 0;
        TimePoint indirectProbeAt;
        TimePoint timeoutAt;
        bool indirectProbesSent = false;
    };
    struct RelayedPing {
        config::Endpoint requester;
        std::uint64_t sequence = 0;
        TimePoint expiresAt;
    };
    struct NoticeEntry {
        ServerNotice notice;
        TimePoint learnedAt;
        bool isSpread = false; ///< Not repeated any more, so that no member learns it again after it was removed.
    };
    template <class T> struct PendingUpdate {
        T value;
        std::size_t transmissions = 0;
    };

    void startProbe(TimePoint now, MembershipActions& out);
    void pingDeadMember(MembershipActions& out);
    Digest makeNewMemberDigest();
    bool isNewIncarnation(const Member& member) const;
    void advanceProbe(TimePoint now, MembershipActions& out);
    void expireMembers(TimePoint now, MembershipActions& out);
    void applyDigest(const Digest& digest, TimePoint now, MembershipActions& out);
    bool applyMember(const Member& member, TimePoint now);
    bool refute(const Member& update);
    bool applyServerNotice(const ServerNotice& notice, TimePoint now);
    void expireServerNotices(TimePoint now);
    void queueUpdate(const Member& member);
    void gossipToRandomMembers(MembershipActions& out);
    Digest makeDigest();
    std::vector<InstanceId> pickRandomMembers(std::size_t n, const InstanceId& except);
    std::size_t maxTransmissions() const;
    Duration currentSuspicionTimeout() const;

    Member m_self;
    MembershipOptions m_options;
    Random m_random;
    std::map<InstanceId, MemberEntry> m_members;
    std::map<BackendServerId, NoticeEntry> m_serverNotices;
    std::map<InstanceId, PendingUpdate<Member>> m_memberUpdates;
    std::map<BackendServerId, PendingUpdate<ServerNotice>> m_serverUpdates;
    std::vector<InstanceId> m_probeOrder; ///< Members that remain to be probed in this round, last first.
    std::optional<Probe> m_probe;
    std::map<std::uint64_t, RelayedPing> m_relayedPings;
    std::uint64_t m_sequence = 0;
    TimePoint m_nextProbeAt {};
};

/// @brief Returns the `n` members with the greatest rendezvous hash weight for `key`, greatest first.
std::vector<InstanceId> owners(const std::string& key, const std::vector<Member>& members, std::size_t n);

} // namespace foxtailwheel::membership
