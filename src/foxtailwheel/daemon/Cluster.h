#pragma once

#include "ConfigService.h"
#include "foxtailwheel/base/Clock.h"
#include "foxtailwheel/config/Settings.h"
#include "foxtailwheel/http/IoPool.h"
#include "foxtailwheel/limits/RateLedger.h"
#include "foxtailwheel/membership/Membership.h"
#include "foxtailwheel/peer/Network.h"
#include "foxtailwheel/serving/Dispatcher.h"
#include "foxtailwheel/store/InstanceList.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

namespace foxtailwheel::daemon {

/// @brief What this instance does together with the others: membership, news of versions and of leaving servers,
/// texts from peer to peer, and shared rates.
class Cluster {
public:
    Cluster(const config::Settings& settings, const Clock& clock, serving::Dispatcher& dispatcher, std::uint64_t seed);

    /// @brief Starts to listen.
    Result<void> open(http::IoPool& pool, ConfigService& configs);
    /// @brief Lets time pass; called some times a second.
    void tick();
    /// @brief Exchanges demands and allowances; called once a second.
    void shareRates();
    /// @brief Takes the platform's list.
    void onList(const store::ListResult& list);
    /// @brief A backend server said that it is leaving.
    void serverLeaving(const BackendServerId& server);
    /// @brief Tells the others that this instance leaves.
    void leave();
    void close();
    /// @brief Gets a text from a peer.
    void fetchText(
        const InstanceId& peer, ConfigVersion version, ConfigVersion have, std::function<void(peer::ConfigReply)> done);
    std::vector<membership::Member> members() const;
    std::vector<membership::Member> working() const;
    peer::NetworkCounts counts() const { return m_network ? m_network->counts() : peer::NetworkCounts(); }

private:
    void perform(const membership::MembershipActions& actions);
    void receive(const peer::Message& message);
    void viewChanged();
    void answerConfig(const peer::ConfigRequest& request);
    void onConfigReply(const peer::ConfigReply& reply);
    void onDemand(const peer::Demand& demand);
    void onAllowance(const peer::Allowance& allowance);
    void divideRates(const std::vector<membership::Member>& working);
    config::Endpoint endpointOf(const InstanceId& id) const;

    /// Calls the membership under its lock, and carries out what follows.
    template <class Event> void withMembership(Event event)
    {
        membership::MembershipActions actions;
        {
            const std::lock_guard lock(m_mutex);
            event(m_membership, actions);
        }
        perform(actions);
    }

    const config::Settings& m_settings;
    const Clock& m_clock;
    serving::Dispatcher& m_dispatcher;
    ConfigService* m_configs = nullptr;
    std::unique_ptr<peer::Network> m_network;
    mutable std::mutex m_mutex;
    membership::Membership m_membership;
    limits::RateLedger m_ledger;
    std::set<BackendServerId> m_listedLeaving;
    std::map<ConfigVersion, std::function<void(peer::ConfigReply)>> m_fetches;
};

} // namespace foxtailwheel::daemon
