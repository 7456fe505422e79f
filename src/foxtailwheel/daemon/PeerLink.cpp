#include "foxtailwheel/daemon/PeerLink.h"

#include "foxtailwheel/base/Random.h"
#include "foxtailwheel/membership/Membership.h"
#include "foxtailwheel/peer/Transport.h"
#include "foxtailwheel/telemetry/Log.h"

#include <algorithm>
#include <map>

namespace foxtailwheel::daemon {

namespace {

    using namespace std::chrono_literals;

    /// Resolution of the membership timers; the shortest membership timeout is 200 ms.
    constexpr Duration tickPeriod = 100ms;
    /// Instances of a zone that poll the store and forward its responses to the others.
    constexpr std::size_t pollersPerZone = 1;
    /// Instances with at least this share of the cores of the largest one may own services.
    constexpr float minOwnerCoresRatio = 0.75F;

    /// Instances that are asked for their copy of a table at a time.
    constexpr std::size_t askedInstances = 2;

    /// Servers that leave are gone after this time, or announced anew.
    constexpr Duration serverNoticeRetention = 10min;

    membership::MembershipOptions membershipOptions()
    {
        membership::MembershipOptions options;
        options.serverNoticeRetention = serverNoticeRetention;
        return options;
    }

    /// Owners batch the pieces of all instances, so only the instances with the most cores are candidates.
    std::vector<InstanceId> ownerCandidates(const std::vector<membership::Member>& alive)
    {
        float maxCores = 0;
        for (const auto& it : alive)
            maxCores = std::max(maxCores, it.cores);
        std::vector<InstanceId> candidates;
        for (const auto& it : alive) {
            if (it.cores >= maxCores * minOwnerCoresRatio)
                candidates.push_back(it.id);
        }
        return candidates;
    }

} // namespace

struct PeerLink::Impl : std::enable_shared_from_this<PeerLink::Impl> {
    Impl(http::IoPool& p, const Clock& c, membership::Member self, const PeerLinkOptions& options, PeerLinkCallbacks cb)
        : pool(p)
        , clock(c)
        , membership(std::move(self), membershipOptions(), options.seed)
        , maxForwardedBytes(options.maxForwardedBytes)
        , random(options.seed)
        , callbacks(std::move(cb))
    {
    }

    void tick();
    void execute(const membership::MembershipActions& actions);
    void onMessage(const peer::Message& message);
    void onTableRequest(const peer::TableRequest& request);
    void onConfigRequest(const peer::ConfigRequest& request);
    void addReports(membership::Digest& digest) const;
    void takeReports(const membership::Digest& digest);
    void updateMembers();
    void updatePoller();
    void reportServerNotices();
    void onDisconnect(const config::Endpoint& address, peer::DisconnectReason reason);

    http::IoPool& pool;
    const Clock& clock;
    membership::Membership membership;
    std::size_t maxForwardedBytes;
    Random random;
    PeerLinkCallbacks callbacks;
    std::unique_ptr<peer::Transport> transport;
    std::vector<InstanceId> live;
    std::vector<InstanceId> owners;
    std::set<InstanceId> unavailable;
    bool isPoller = true;
    bool hasHeardPeers = false;
    std::map<BackendServerId, std::uint64_t> reportedNotices; ///< Sequence of each.
};

void PeerLink::Impl::tick()
{
    membership::MembershipActions actions;
    membership.tick(clock.now(), actions);
    execute(actions);
    pool.postAfter(tickPeriod, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->tick();
    });
}

void PeerLink::Impl::execute(const membership::MembershipActions& actions)
{
    bool changed = false;
    membership::Digest reports;
    if (!actions.empty())
        addReports(reports);
    for (const auto& it : actions) {
        if (const auto* send = std::get_if<membership::SendMessage>(&it))
            std::visit(
                [this, send, &reports](auto message) {
                    message.digest.loads = reports.loads;
                    message.digest.coldServers = reports.coldServers;
                    message.digest.configVersion = reports.configVersion;
                    transport->send(send->to, peer::Message(std::move(message)));
                },
                send->message);
        else
            changed = true;
    }
    if (!changed)
        return;
    updateMembers();
    reportServerNotices();
}

void PeerLink::Impl::reportServerNotices()
{
    std::map<BackendServerId, std::uint64_t> notices;
    for (const auto& it : membership.leavingServerNotices()) {
        const auto known = reportedNotices.find(it.server);
        notices[it.server] = it.sequence;
        if (known == reportedNotices.end() || known->second != it.sequence)
            callbacks.onServerNotice(it);
    }
    reportedNotices = std::move(notices);
}

void PeerLink::Impl::updateMembers()
{
    std::vector<membership::Member> alive;
    std::vector<InstanceId> newLive;
    std::set<InstanceId> newUnavailable;
    for (const auto& it : membership.members()) {
        if (it.state == membership::MemberState::Alive) {
            alive.push_back(it);
            newLive.push_back(it.id);
        } else if (it.state != membership::MemberState::Leaving) {
            newUnavailable.insert(it.id);
        }
    }
    const auto newOwners = ownerCandidates(alive);
    if (newLive == live && newOwners == owners && newUnavailable == unavailable)
        return;
    live = newLive;
    owners = newOwners;
    unavailable = newUnavailable;
    telemetry::logInfo(
        "members_changed", { { "live", std::to_string(live.size()) }, { "gone", std::to_string(unavailable.size()) } });
    callbacks.onMembersChanged(live, owners, unavailable);
    updatePoller();
}

void PeerLink::Impl::updatePoller()
{
    const auto& self = membership.self();
    std::vector<membership::Member> zoneMembers;
    for (const auto& it : membership.members()) {
        if (it.state == membership::MemberState::Alive && it.zone == self.zone)
            zoneMembers.push_back(it);
    }
    const auto pollers = membership::owners("poller/" + self.zone.value(), zoneMembers, pollersPerZone);
    const bool shouldPoll = pollers.empty() || std::find(pollers.begin(), pollers.end(), self.id) != pollers.end();
    if (std::exchange(isPoller, shouldPoll) == shouldPoll)
        return;
    telemetry::logInfo("poller_changed", { { "asking", shouldPoll ? "1" : "0" } });
    callbacks.onPollerChanged(shouldPoll);
}

void PeerLink::Impl::onDisconnect(const config::Endpoint& address, peer::DisconnectReason reason)
{
    const auto& handler
        = reason == peer::DisconnectReason::Refused ? callbacks.onUnreachable : callbacks.onConnectionLost;
    for (const auto& it : membership.members()) {
        if (it.endpoint == address)
            handler(it.id);
    }
}

void PeerLink::Impl::addReports(membership::Digest& digest) const
{
    if (callbacks.loadReports)
        digest.loads = callbacks.loadReports();
    if (callbacks.coldServers)
        digest.coldServers = callbacks.coldServers();
    if (callbacks.configVersion)
        digest.configVersion = callbacks.configVersion();
}

void PeerLink::Impl::takeReports(const membership::Digest& digest)
{
    if (callbacks.onLoadReports && !digest.loads.empty())
        callbacks.onLoadReports(digest.loads);
    // That a peer knows of no cold server is news for an instance that has just started.
    const bool isFirst = !std::exchange(hasHeardPeers, true);
    if (callbacks.onColdServers && (isFirst || !digest.coldServers.empty()))
        callbacks.onColdServers(digest.coldServers);
    if (callbacks.onConfigVersion && digest.configVersion > ConfigVersion())
        callbacks.onConfigVersion(digest.sender.id, digest.configVersion);
}

void PeerLink::Impl::onMessage(const peer::Message& message)
{
    membership::MembershipActions actions;
    if (const auto* ping = std::get_if<membership::Ping>(&message)) {
        takeReports(ping->digest);
        membership.onPing(*ping, clock.now(), actions);
    } else if (const auto* ack = std::get_if<membership::Ack>(&message)) {
        takeReports(ack->digest);
        membership.onAck(*ack, clock.now(), actions);
    } else if (const auto* piece = std::get_if<peer::PieceUpdate>(&message))
        callbacks.onPieceMessage(piece->sender.id, piece->message);
    else if (const auto* table = std::get_if<peer::TableUpdate>(&message))
        callbacks.onTableUpdate(
            { table->table, table->baseVersion, table->changes, table->answered, table->age, table->complete });
    else if (const auto* request = std::get_if<peer::TableRequest>(&message))
        onTableRequest(*request);
    else if (const auto* wanted = std::get_if<peer::ConfigRequest>(&message))
        onConfigRequest(*wanted);
    else if (const auto* reply = std::get_if<peer::ConfigReply>(&message)) {
        if (callbacks.onConfigText && !reply->text.empty())
            callbacks.onConfigText(reply->text);
    }
    execute(actions);
}

void PeerLink::Impl::onTableRequest(const peer::TableRequest& request)
{
    const auto answer
        = callbacks.onTableRequest({ request.table, request.version, request.epoch, request.sequence, request.age });
    // A larger one would hold up heartbeats; the sender reads it from the store.
    if (answer && control::limitUpdate(*answer, 1, maxForwardedBytes) == *answer)
        transport->send(request.sender.endpoint,
            peer::TableUpdate { membership.self(), answer->table, answer->baseVersion, answer->changes,
                answer->answered, answer->age, answer->complete });
}

void PeerLink::Impl::onConfigRequest(const peer::ConfigRequest& request)
{
    auto text = callbacks.configText ? callbacks.configText(request.version) : std::nullopt;
    // A larger one would hold up heartbeats.
    if (text && text->size() <= maxForwardedBytes)
        transport->send(request.sender.endpoint, peer::ConfigReply { request.version, std::move(*text), {}, {} });
}

PeerLink::PeerLink(std::shared_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

PeerLink::~PeerLink()
{
    m_impl->transport->close();
}

Result<std::unique_ptr<PeerLink>> PeerLink::open(http::IoPool& pool, const Clock& clock, membership::Member self,
    const PeerLinkOptions& options, PeerLinkCallbacks callbacks)
{
    self.incarnation = Incarnation(static_cast<std::uint64_t>(clock.wallNow().time_since_epoch().count()));
    const auto address = self.endpoint;
    auto impl = std::make_shared<Impl>(pool, clock, std::move(self), options, std::move(callbacks));
    // Both handlers run on strands of the pool's single thread.
    auto transport = peer::Transport::listen(
        pool, address, options.key, [impl = impl.get()](const peer::Message& message) { impl->onMessage(message); },
        [impl = impl.get()](const config::Endpoint& peerAddress, peer::DisconnectReason reason) {
            impl->onDisconnect(peerAddress, reason);
        });
    if (!transport)
        return transport.error();
    impl->transport = std::move(transport.value());
    pool.post([impl] { impl->tick(); });
    return std::unique_ptr<PeerLink>(new PeerLink(std::move(impl)));
}

void PeerLink::addIfUnknown(const std::vector<membership::Member>& members)
{
    for (const auto& it : members)
        m_impl->membership.addIfUnknown(it, m_impl->clock.now());
    m_impl->updateMembers();
}

void PeerLink::send(const InstanceId& to, const serving::PieceMessage& message)
{
    for (const auto& it : m_impl->membership.members()) {
        if (it.id == to)
            m_impl->transport->send(it.endpoint, peer::PieceUpdate { m_impl->membership.self(), message });
    }
}

void PeerLink::sendToZone(const control::TableUpdate& update)
{
    const auto& self = m_impl->membership.self();
    std::vector<config::Endpoint> receivers;
    for (const auto& it : m_impl->membership.members()) {
        const bool isLive = it.state == membership::MemberState::Alive || it.state == membership::MemberState::Suspect;
        if (isLive && it.zone == self.zone && it.id != self.id)
            receivers.push_back(it.endpoint);
    }
    const auto limited = control::limitUpdate(update, receivers.size(), m_impl->maxForwardedBytes);
    const peer::TableUpdate message { self, limited.table, limited.baseVersion, limited.changes, 0, {}, false };
    for (const auto& it : receivers)
        m_impl->transport->send(it, message);
}

void PeerLink::askForTable(const control::TableRequest& request)
{
    const auto& self = m_impl->membership.self();
    std::vector<std::pair<double, config::Endpoint>> others;
    for (const auto& it : m_impl->membership.members()) {
        if (it.state == membership::MemberState::Alive && it.id != self.id)
            others.emplace_back(m_impl->random.uniform() + (it.zone == self.zone ? 1 : 0), it.endpoint);
    }
    const auto n = std::min(askedInstances, others.size());
    std::partial_sort(others.begin(), others.begin() + static_cast<std::ptrdiff_t>(n), others.end());
    const peer::TableRequest message { self, request.table, request.version, request.epoch, request.sequence,
        request.age };
    for (std::size_t i = 0; i < n; ++i)
        m_impl->transport->send(others[i].second, message);
}

void PeerLink::askForConfig(const InstanceId& instance, ConfigVersion version)
{
    for (const auto& it : m_impl->membership.members()) {
        if (it.id == instance)
            m_impl->transport->send(
                it.endpoint, peer::ConfigRequest { m_impl->membership.self(), version, ConfigVersion() });
    }
}

void PeerLink::publishServerNotice(const membership::ServerNotice& notice)
{
    membership::MembershipActions actions;
    m_impl->membership.publishServerNotice(notice, m_impl->clock.now(), actions);
    m_impl->execute(actions);
}

void PeerLink::leave()
{
    membership::MembershipActions actions;
    m_impl->membership.leave(m_impl->clock.now(), actions);
    m_impl->execute(actions);
}

std::vector<membership::Member> PeerLink::members() const
{
    return m_impl->membership.members();
}

} // namespace foxtailwheel::daemon
