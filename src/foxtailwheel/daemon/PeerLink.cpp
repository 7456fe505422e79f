#include "foxtailwheel/daemon/PeerLink.h"

#include "foxtailwheel/membership/Membership.h"
#include "foxtailwheel/peer/Network.h"
#include "foxtailwheel/telemetry/Log.h"

#include <algorithm>

namespace foxtailwheel::daemon {

namespace {

    using namespace std::chrono_literals;

    /// Membership lets time pass in steps of this length; its own shortest limit is 200 ms.
    constexpr Duration tickPeriod = 100ms;
    /// Instances of a zone that ask the store; the others are told by them.
    constexpr std::size_t pollersPerZone = 1;
    /// Instances with this share of the strongest one's processor may own services.
    constexpr float strongShare = 0.75F;

    /// Owners gather the pieces of all instances, so only the strongest ones are drawn.
    std::vector<InstanceId> strongest(const std::vector<membership::Member>& alive)
    {
        float most = 0;
        for (const auto& it : alive)
            most = std::max(most, it.cores);
        std::vector<InstanceId> strong;
        for (const auto& it : alive) {
            if (it.cores >= most * strongShare)
                strong.push_back(it.id);
        }
        return strong;
    }

} // namespace

struct PeerLink::Impl : std::enable_shared_from_this<PeerLink::Impl> {
    Impl(http::IoPool& p, const Clock& c, membership::Member self, std::uint64_t seed, PeerLinkEvents e)
        : pool(p)
        , clock(c)
        , membership(std::move(self), {}, seed)
        , events(std::move(e))
    {
    }

    void tick();
    void perform(const membership::MembershipActions& actions);
    void receive(const peer::Message& message);
    void tellMembers();
    void choosePoller();
    void connectionClosed(const config::Endpoint& address);

    http::IoPool& pool;
    const Clock& clock;
    membership::Membership membership;
    PeerLinkEvents events;
    std::unique_ptr<peer::Network> network;
    std::vector<InstanceId> live;
    std::vector<InstanceId> owners;
    std::set<InstanceId> gone;
    bool poller = true;
};

void PeerLink::Impl::tick()
{
    membership::MembershipActions actions;
    membership.tick(clock.now(), actions);
    perform(actions);
    pool.after(tickPeriod, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->tick();
    });
}

void PeerLink::Impl::perform(const membership::MembershipActions& actions)
{
    bool changed = false;
    for (const auto& it : actions) {
        if (const auto* send = std::get_if<membership::SendMessage>(&it))
            std::visit(
                [this, send](const auto& message) { network->send(send->to, peer::Message(message)); }, send->message);
        else
            changed = true;
    }
    if (changed)
        tellMembers();
}

void PeerLink::Impl::tellMembers()
{
    std::vector<membership::Member> alive;
    std::vector<InstanceId> nowLive;
    std::set<InstanceId> nowGone;
    for (const auto& it : membership.members()) {
        if (it.state == membership::MemberState::Alive) {
            alive.push_back(it);
            nowLive.push_back(it.id);
        } else if (it.state != membership::MemberState::Leaving) {
            nowGone.insert(it.id);
        }
    }
    const auto nowOwners = strongest(alive);
    if (nowLive == live && nowOwners == owners && nowGone == gone)
        return;
    live = nowLive;
    owners = nowOwners;
    gone = nowGone;
    telemetry::logInfo(
        "members_changed", { { "live", std::to_string(live.size()) }, { "gone", std::to_string(gone.size()) } });
    events.members(live, owners, gone);
    choosePoller();
}

void PeerLink::Impl::choosePoller()
{
    const auto& self = membership.self();
    std::vector<membership::Member> here;
    for (const auto& it : membership.members()) {
        if (it.state == membership::MemberState::Alive && it.zone == self.zone)
            here.push_back(it);
    }
    const auto pollers = membership::owners("poller/" + self.zone.value(), here, pollersPerZone);
    const bool now = pollers.empty() || std::find(pollers.begin(), pollers.end(), self.id) != pollers.end();
    if (std::exchange(poller, now) == now)
        return;
    telemetry::logInfo("poller_changed", { { "asking", now ? "1" : "0" } });
    events.pollerChanged(now);
}

void PeerLink::Impl::connectionClosed(const config::Endpoint& address)
{
    for (const auto& it : membership.members()) {
        if (it.peers == address)
            events.connectionLost(it.id);
    }
}

void PeerLink::Impl::receive(const peer::Message& message)
{
    membership::MembershipActions actions;
    if (const auto* ping = std::get_if<membership::Ping>(&message))
        membership.onPing(*ping, clock.now(), actions);
    else if (const auto* ack = std::get_if<membership::Ack>(&message))
        membership.onAck(*ack, clock.now(), actions);
    else if (const auto* news = std::get_if<peer::PieceNews>(&message))
        events.pieces(news->sender.id, news->news);
    else if (const auto* table = std::get_if<peer::TableNews>(&message))
        events.tableNews({ table->table, table->after, table->answer });
    perform(actions);
}

PeerLink::PeerLink(std::shared_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

PeerLink::~PeerLink()
{
    m_impl->network->close();
}

Result<std::unique_ptr<PeerLink>> PeerLink::open(http::IoPool& pool, const Clock& clock, membership::Member self,
    std::string key, std::uint64_t seed, PeerLinkEvents events)
{
    self.incarnation = Incarnation(static_cast<std::uint64_t>(clock.wallNow().time_since_epoch().count()));
    const auto address = self.peers;
    auto impl = std::make_shared<Impl>(pool, clock, std::move(self), seed, std::move(events));
    // Frames come in on strands of the pool's one thread.
    auto network = peer::Network::listen(
        pool, address, std::move(key), [impl = impl.get()](const peer::Message& message) { impl->receive(message); });
    if (!network)
        return network.error();
    impl->network = std::move(network.value());
    pool.post([impl] { impl->tick(); });
    return std::unique_ptr<PeerLink>(new PeerLink(std::move(impl)));
}

void PeerLink::introduce(const std::vector<membership::Member>& members)
{
    for (const auto& it : members)
        m_impl->membership.introduce(it, m_impl->clock.now());
    m_impl->tellMembers();
}

void PeerLink::tell(const InstanceId& to, const serving::PieceMessage& message)
{
    for (const auto& it : m_impl->membership.members()) {
        if (it.id == to)
            m_impl->network->send(it.peers, peer::PieceNews { m_impl->membership.self(), message });
    }
}

void PeerLink::tellZone(const control::TableNews& news)
{
    const auto& self = m_impl->membership.self();
    const peer::TableNews message { self, news.table, news.after, news.answer };
    for (const auto& it : m_impl->membership.members()) {
        const bool live = it.state == membership::MemberState::Alive || it.state == membership::MemberState::Suspect;
        if (live && it.zone == self.zone && it.id != self.id)
            m_impl->network->send(it.peers, message);
    }
}

void PeerLink::leave()
{
    membership::MembershipActions actions;
    m_impl->membership.leave(m_impl->clock.now(), actions);
    m_impl->perform(actions);
}

std::vector<membership::Member> PeerLink::members() const
{
    return m_impl->membership.members();
}

} // namespace foxtailwheel::daemon
