#include "Cluster.h"

#include "foxtailwheel/telemetry/Log.h"

#include <algorithm>

namespace foxtailwheel::daemon {

namespace {

    constexpr std::size_t pollersPerZone = 2;

    std::uint64_t wallClockSequence(const Clock& clock)
    {
        return static_cast<std::uint64_t>(clock.wallNow().time_since_epoch().count());
    }

    membership::Member makeSelf(const config::Settings& settings, const Clock& clock)
    {
        membership::Member self;
        self.id = settings.instance;
        self.endpoint = settings.peers;
        self.zone = settings.zone;
        self.incarnation = Incarnation(wallClockSequence(clock));
        return self;
    }

} // namespace

Cluster::Cluster(
    const config::Settings& settings, const Clock& clock, serving::Dispatcher& dispatcher, std::uint64_t seed)
    : m_settings(settings)
    , m_clock(clock)
    , m_dispatcher(dispatcher)
    , m_membership(makeSelf(settings, clock), {}, seed)
{
}

Result<void> Cluster::open(http::IoPool& pool, ConfigService& configs)
{
    m_configs = &configs;
    BOOST_OUTCOME_TRY(m_transport,
        peer::Transport::listen(
            pool, m_settings.peers, m_settings.peerKey, [this](const peer::Message& message) { onMessage(message); }));
    return ok();
}

void Cluster::tick()
{
    const auto version = m_configs->version();
    withMembership([this, version](membership::Membership& it, membership::MembershipActions& actions) {
        it.setConfigVersion(version, m_clock.now(), actions);
        it.tick(m_clock.now(), actions);
    });
}

void Cluster::execute(const membership::MembershipActions& actions)
{
    bool changed = false;
    for (const auto& it : actions) {
        if (const auto* send = std::get_if<membership::SendMessage>(&it))
            std::visit([this, send](const auto& message) { m_transport->send(send->to, peer::Message(message)); },
                send->message);
        else
            changed = true;
    }
    if (changed)
        onMembershipChanged();
}

void Cluster::onMembershipChanged()
{
    std::set<BackendServerId> leaving;
    std::vector<membership::Member> activeMembers;
    {
        const std::lock_guard lock(m_mutex);
        leaving = m_membership.leavingServers();
        activeMembers = m_membership.activeMembers();
    }
    m_dispatcher.setLeavingServers(leaving);
    m_dispatcher.setInstanceCount(activeMembers.size());
    std::erase_if(activeMembers, [this](const membership::Member& it) { return it.zone != m_settings.zone; });
    const auto pollers = membership::owners("poller/" + m_settings.zone.value(), activeMembers, pollersPerZone);
    m_configs->setPoller(std::find(pollers.begin(), pollers.end(), m_settings.instance) != pollers.end());
}

void Cluster::onMessage(const peer::Message& message)
{
    if (const auto* ping = std::get_if<membership::Ping>(&message)) {
        withMembership([this, ping](membership::Membership& it, membership::MembershipActions& actions) {
            it.onPing(*ping, m_clock.now(), actions);
        });
        m_configs->onPeerVersion(ping->digest.sender.id, ping->digest.sender.configVersion);
    } else if (const auto* ack = std::get_if<membership::Ack>(&message)) {
        withMembership([this, ack](membership::Membership& it, membership::MembershipActions& actions) {
            it.onAck(*ack, m_clock.now(), actions);
        });
        m_configs->onPeerVersion(ack->digest.sender.id, ack->digest.sender.configVersion);
    } else if (const auto* request = std::get_if<peer::ConfigRequest>(&message)) {
        onConfigRequest(*request);
    } else if (const auto* reply = std::get_if<peer::ConfigReply>(&message)) {
        onConfigReply(*reply);
    } else if (const auto* demand = std::get_if<peer::Demand>(&message)) {
        onDemand(*demand);
    } else if (const auto* allowance = std::get_if<peer::Allowance>(&message)) {
        onAllowance(*allowance);
    }
}

void Cluster::onInstanceList(const store::InstanceListResult& list)
{
    const std::set<BackendServerId> leaving(list.leavingServers.begin(), list.leavingServers.end());
    withMembership([&](membership::Membership& it, membership::MembershipActions& actions) {
        for (const auto& listed : list.instances) {
            if (listed.region == m_settings.region && !listed.leaving)
                it.addIfUnknown(
                    { listed.id, listed.endpoint, listed.zone, {}, membership::MemberState::Alive, {} }, m_clock.now());
        }
        for (const auto& server : leaving) {
            if (!m_listedLeavingServers.contains(server))
                it.publishServerNotice({ server, true, wallClockSequence(m_clock) }, m_clock.now(), actions);
        }
        // Only an instance that saw the server as leaving in the list may announce that it has recovered.
        for (const auto& server : m_listedLeavingServers) {
            if (!leaving.contains(server))
                it.publishServerNotice({ server, false, wallClockSequence(m_clock) }, m_clock.now(), actions);
        }
        m_listedLeavingServers = leaving;
    });
}

void Cluster::onServerLeaving(const BackendServerId& server)
{
    withMembership([&](membership::Membership& it, membership::MembershipActions& actions) {
        if (!it.leavingServers().contains(server))
            it.publishServerNotice({ server, true, wallClockSequence(m_clock) }, m_clock.now(), actions);
    });
}

void Cluster::leave()
{
    withMembership([this](membership::Membership& it, membership::MembershipActions& actions) {
        it.leave(m_clock.now(), actions);
    });
}

void Cluster::close()
{
    if (m_transport)
        m_transport->close();
}

config::Endpoint Cluster::endpointOf(const InstanceId& id) const
{
    for (const auto& it : members()) {
        if (it.id == id)
            return it.endpoint;
    }
    return {};
}

void Cluster::fetchConfigText(const InstanceId& peer, ConfigVersion version, ConfigVersion currentVersion,
    std::function<void(peer::ConfigReply)> done)
{
    const auto endpoint = endpointOf(peer);
    if (endpoint.port == 0) {
        done({});
        return;
    }
    {
        const std::lock_guard lock(m_mutex);
        m_pendingFetches[version] = std::move(done);
    }
    m_transport->send(endpoint, peer::ConfigRequest { members().front(), version, currentVersion });
}

void Cluster::onConfigRequest(const peer::ConfigRequest& request)
{
    m_transport->send(request.sender.endpoint, m_configs->makeReply(request.version, request.currentVersion));
}

void Cluster::onConfigReply(const peer::ConfigReply& reply)
{
    std::function<void(peer::ConfigReply)> done;
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_pendingFetches.find(reply.version);
        if (it == m_pendingFetches.end())
            return;
        done = std::move(it->second);
        m_pendingFetches.erase(it);
    }
    done(reply);
}

void Cluster::exchangeRates()
{
    const auto activeMembers = this->activeMembers();
    std::map<InstanceId, peer::Demand> demands;
    for (const auto& it : m_dispatcher.drainDemand(m_clock.now())) {
        const auto owner = membership::owners("rate/" + it.account.value(), activeMembers, 1);
        if (!owner.empty())
            demands[owner.front()].rates.push_back({ it.account, it.perSecond });
    }
    for (auto& it : demands) {
        it.second.sender = members().front();
        if (it.first == m_settings.instance)
            onDemand(it.second);
        else
            m_transport->send(endpointOf(it.first), it.second);
    }
    allocateRates(activeMembers);
}

void Cluster::onDemand(const peer::Demand& demand)
{
    const std::lock_guard lock(m_mutex);
    for (const auto& it : demand.rates)
        m_rateAllocator.setDemand(it.account, demand.sender.id, it.perSecond, m_clock.now());
}

void Cluster::allocateRates(const std::vector<membership::Member>& activeMembers)
{
    const auto snapshot = m_dispatcher.snapshot();
    if (!snapshot)
        return;
    std::vector<InstanceId> ids;
    for (const auto& it : activeMembers)
        ids.push_back(it.id);
    std::map<InstanceId, peer::Allowance> allowances;
    {
        const std::lock_guard lock(m_mutex);
        m_rateAllocator.evictExpired(m_clock.now());
        for (const auto& account : m_rateAllocator.accounts()) {
            const auto declared = snapshot->accounts.find(account);
            if (declared == snapshot->accounts.end())
                continue;
            for (const auto& share :
                m_rateAllocator.allocate(account, declared->second->ratePerSecond, ids, m_clock.now())) {
                if (share.hasDemand)
                    allowances[share.instance].rates.push_back({ account, share.perSecond });
            }
        }
    }
    for (const auto& it : allowances) {
        if (it.first == m_settings.instance)
            onAllowance(it.second);
        else
            m_transport->send(endpointOf(it.first), it.second);
    }
}

void Cluster::onAllowance(const peer::Allowance& allowance)
{
    for (const auto& it : allowance.rates)
        m_dispatcher.setRateShare(it.account, it.perSecond, m_clock.now());
}

std::vector<membership::Member> Cluster::members() const
{
    const std::lock_guard lock(m_mutex);
    return m_membership.members();
}

std::vector<membership::Member> Cluster::activeMembers() const
{
    const std::lock_guard lock(m_mutex);
    return m_membership.activeMembers();
}

} // namespace foxtailwheel::daemon
