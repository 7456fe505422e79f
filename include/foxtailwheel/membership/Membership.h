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

/// @brief Send a ping or an answer to an instance.
struct SendMessage {
    config::Endpoint to;
    std::variant<Ping, Ack> message;
};

/// @brief The view of the members or of the leaving servers has changed.
struct ViewChanged { };

using MembershipAction = std::variant<SendMessage, ViewChanged>;
using MembershipActions = std::vector<MembershipAction>;

/// @brief Times and sizes of the gossip.
struct MembershipOptions {
    Duration period = std::chrono::milliseconds(500); ///< Between two pings of one instance.
    Duration ackTimeout = std::chrono::milliseconds(200); ///< Until others are asked to ping.
    Duration suspicion
        = std::chrono::seconds(3); ///< From suspicion to death, for up to 16 members; grows by logarithm.
    std::size_t helpers = 3; ///< Members asked to ping on this one's behalf, and told of news at once.
    std::size_t updatesPerMessage = 12;
    std::size_t mostUpdatesPerMessage = 36; ///< While much is new, as when all start at once.
    Duration deadKept = std::chrono::seconds(60); ///< Time that a dead or left member is remembered.
};

/// @brief Membership of the instances of one region by gossip with suspicion; no coordinator. Not thread-safe.
///
/// One random member is pinged in each period, through others where it does not answer, and is suspected only then. A
/// suspected instance refutes with a higher incarnation. News ride on pings and answers, each a few times, so that the
/// cost of an instance does not grow with their number.
class Membership {
public:
    /// @param self This instance; its incarnation is the calendar time of its start in milliseconds.
    Membership(Member self, MembershipOptions options, std::uint64_t seed);

    /// @brief Lets time pass; called some times in each period.
    void tick(TimePoint now, MembershipActions& out);
    /// @brief A ping came.
    void onPing(const Ping& ping, TimePoint now, MembershipActions& out);
    /// @brief An answer came.
    void onAck(const Ack& ack, TimePoint now, MembershipActions& out);
    /// @brief The platform's list, or a peer, named an instance; used only where it is not known yet.
    void introduce(const Member& member, TimePoint now);
    /// @brief The version in force on this instance has changed; tells some members at once.
    void setConfig(ConfigVersion version, TimePoint now, MembershipActions& out);
    /// @brief This instance is leaving; tells some members at once.
    void leave(TimePoint now, MembershipActions& out);
    /// @brief This instance noticed that a backend server leaves or came back; tells some members at once.
    void notice(const ServerNotice& notice, TimePoint now, MembershipActions& out);

    /// @brief This instance and all it knows, dead ones included.
    std::vector<Member> members() const;
    /// @brief Instances that share the work: alive or suspected, this one included unless it leaves.
    std::vector<Member> working() const;
    /// @brief Backend servers that are leaving.
    std::set<BackendServerId> leavingServers() const;
    const Member& self() const { return m_self; }

private:
    struct Known {
        Member member;
        TimePoint since; ///< Of its present state.
    };
    struct Probe {
        InstanceId target;
        std::uint64_t sequence = 0;
        TimePoint askOthersAt;
        TimePoint giveUpAt;
        bool askedOthers = false;
    };
    struct Relay {
        config::Endpoint asker;
        std::uint64_t sequence = 0;
        TimePoint until;
    };
    template <class T> struct News {
        T value;
        std::size_t sent = 0;
    };

    void startProbe(TimePoint now, MembershipActions& out);
    void callDead(MembershipActions& out);
    Digest welcome();
    bool isNew(const Member& member) const;
    void advanceProbe(TimePoint now, MembershipActions& out);
    void expire(TimePoint now, MembershipActions& out);
    void take(const Digest& digest, TimePoint now, MembershipActions& out);
    bool takeMember(const Member& member, TimePoint now);
    bool refute(const Member& rumour);
    bool takeNotice(const ServerNotice& notice);
    void spread(const Member& member);
    void tellSome(MembershipActions& out);
    Digest digest();
    std::vector<InstanceId> pickOthers(std::size_t n, const InstanceId& except);
    std::size_t spreadLimit() const;
    Duration suspicionTime() const;

    Member m_self;
    MembershipOptions m_options;
    Random m_random;
    std::map<InstanceId, Known> m_known;
    std::map<BackendServerId, ServerNotice> m_servers;
    std::map<InstanceId, News<Member>> m_memberNews;
    std::map<BackendServerId, News<ServerNotice>> m_serverNews;
    std::vector<InstanceId> m_order; ///< Members still to be pinged in this round.
    std::optional<Probe> m_probe;
    std::map<std::uint64_t, Relay> m_relays;
    std::uint64_t m_sequence = 0;
    TimePoint m_probeAt {};
};

/// @brief The `n` members that weigh most for `key` by rendezvous hash, heaviest first.
std::vector<InstanceId> owners(const std::string& key, const std::vector<Member>& members, std::size_t n);

} // namespace foxtailwheel::membership
