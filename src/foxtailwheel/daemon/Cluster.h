#pragma once

#include "ConfigService.h"
#include "foxtailwheel/base/Clock.h"
#include "foxtailwheel/config/Settings.h"
#include "foxtailwheel/http/IoPool.h"
#include "foxtailwheel/limits/RateAllocator.h"
#include "foxtailwheel/membership/Membership.h"
#include "foxtailwheel/peer/Transport.h"
#include "foxtailwheel/serving/Dispatcher.h"
#include "foxtailwheel/store/InstanceList.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

namespace foxtailwheel::daemon {

/// @brief Coordination with the other instances: membership, gossip of configuration versions and leaving backend
/// servers, transfer of configuration texts, and sharing of account rates.
class Cluster {
public:
    Cluster(const config::Settings& settings, const Clock& clock, serving::Dispatcher& dispatcher, std::uint64_t seed);

    /// @brief Starts listening for peers.
    Result<void> open(http::IoPool& pool, ConfigService& configs);
    /// @brief Runs the periodic work; called several times a second.
    void tick();
    /// @brief Sends the local demand to the instances that own the accounts' rates, and allocates the rates that this
    /// instance owns; called once a second.
    void exchangeRates();
    /// @brief Applies the platform's instance list.
    void onInstanceList(const store::InstanceListResult& list);
    /// @brief Handles a backend server's announcement that it is leaving.
    void onServerLeaving(const BackendServerId& server);
    /// @brief Announces to the other instances that this one is leaving.
    void leave();
    void close();
    /// @brief Fetches the text of `version` from a peer; `done` gets an empty reply if the peer is unknown.
    void fetchConfigText(const InstanceId& peer, ConfigVersion version, ConfigVersion currentVersion,
        std::function<void(peer::ConfigReply)> done);
    std::vector<membership::Member> members() const;
    std::vector<membership::Member> activeMembers() const;
    peer::TransportCounts transportCounts() const
    {
        return m_transport ? m_transport->counts() : peer::TransportCounts();
    }

private:
    void execute(const membership::MembershipActions& actions);
    void onMessage(const peer::Message& message);
    void onMembershipChanged();
    void onConfigRequest(const peer::ConfigRequest& request);
    void onConfigReply(const peer::ConfigReply& reply);
    void onDemand(const peer::Demand& demand);
    void onAllowance(const peer::Allowance& allowance);
    void allocateRates(const std::vector<membership::Member>& activeMembers);
    config::Endpoint endpointOf(const InstanceId& id) const;

    /// Calls `operation` with the membership under the lock, then executes the resulting actions without it.
    template <class Operation> void withMembership(Operation operation)
    {
        membership::MembershipActions actions;
        {
            const std::lock_guard lock(m_mutex);
            operation(m_membership, actions);
        }
        execute(actions);
    }

    const config::Settings& m_settings;
    const Clock& m_clock;
    serving::Dispatcher& m_dispatcher;
    ConfigService* m_configs = nullptr;
    std::unique_ptr<peer::Transport> m_transport;
    mutable std::mutex m_mutex;
    membership::Membership m_membership;
    limits::RateAllocator m_rateAllocator;
    std::set<BackendServerId> m_listedLeavingServers;
    std::map<ConfigVersion, std::function<void(peer::ConfigReply)>> m_pendingFetches;
};

} // namespace foxtailwheel::daemon
