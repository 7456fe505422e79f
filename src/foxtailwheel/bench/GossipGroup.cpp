#include "foxtailwheel/bench/GossipGroup.h"

#include "foxtailwheel/peer/Message.h"

#include <algorithm>

namespace foxtailwheel::bench {

using namespace std::chrono_literals;

namespace {

    constexpr Duration step = 50ms;

    membership::Member makeMember(std::size_t index)
    {
        membership::Member member;
        member.id = InstanceId("instance-" + std::to_string(index));
        member.endpoint = { "127.0.0.1", static_cast<std::uint16_t>(index + 1) };
        member.zone = AvailabilityZoneId(index % 2 == 0 ? "a" : "b");
        return member;
    }

} // namespace

GossipGroup::GossipGroup(
    std::size_t count, double lossProbability, std::uint64_t seed, membership::MembershipOptions options)
    : m_random(seed)
    , m_lossProbability(lossProbability)
    , m_options(options)
{
    m_clock.set(TimePoint(1h));
    for (std::size_t i = 0; i < count; ++i)
        start(i);
}

void GossipGroup::start(std::size_t index)
{
    auto self = makeMember(index);
    self.incarnation = Incarnation(static_cast<std::uint64_t>(m_clock.wallNow().time_since_epoch().count()));
    auto member = std::make_unique<membership::Membership>(self, m_options, m_random.next());
    // The instance list of the platform contains at most three other instances.
    std::size_t knownPeers = 0;
    for (const auto& it : m_members) {
        if (it.first != index && knownPeers++ < 3)
            member->addIfUnknown(makeMember(it.first), m_clock.now());
    }
    m_members[index] = std::move(member);
}

void GossipGroup::shareLoads()
{
    for (const auto& it : m_members)
        m_loads.try_emplace(it.first);
}

void GossipGroup::attachLoads(std::size_t from, std::variant<membership::Ping, membership::Ack>& message)
{
    if (const auto it = m_loads.find(from); it != m_loads.end())
        std::visit([&](auto& sent) { sent.digest.loads = it->second.newest(m_clock.now()); }, message);
}

void GossipGroup::takeLoads(std::size_t to, const membership::Digest& digest)
{
    for (const auto& it : digest.loads)
        m_loads.at(to).add(it, m_clock.now());
}

void GossipGroup::enqueueMessages(std::size_t from, const membership::MembershipActions& actions)
{
    for (const auto& it : actions) {
        const auto* send = std::get_if<membership::SendMessage>(&it);
        if (send == nullptr)
            continue;
        ++m_sentMessages;
        auto message = send->message;
        attachLoads(from, message);
        if (m_countBytes)
            m_sentBytes += std::visit(
                [](const auto& sent) { return peer::encodeMessage(peer::Message(sent)).size(); }, message);
        const std::size_t to = send->to.port - 1U;
        const bool partitioned = !m_partition.empty() && m_partition.contains(from) != m_partition.contains(to);
        if (!partitioned && !m_random.chance(m_lossProbability))
            m_queue.push_back(
                { m_clock.now() + fromSeconds(m_random.exponential(0.005)), from, to, std::move(message) });
    }
}

void GossipGroup::deliverDue()
{
    std::deque<QueuedMessage> waiting;
    std::swap(waiting, m_queue);
    for (auto& it : waiting) {
        if (it.due > m_clock.now() || m_paused.contains(it.to)) {
            m_queue.push_back(std::move(it));
            continue;
        }
        const auto member = m_members.find(it.to);
        if (member == m_members.end())
            continue;
        membership::MembershipActions actions;
        std::visit([&](const auto& received) { takeLoads(it.to, received.digest); }, it.message);
        if (const auto* ping = std::get_if<membership::Ping>(&it.message))
            member->second->onPing(*ping, m_clock.now(), actions);
        else
            member->second->onAck(std::get<membership::Ack>(it.message), m_clock.now(), actions);
        enqueueMessages(it.to, actions);
    }
}

void GossipGroup::run(Duration duration)
{
    const auto until = m_clock.now() + duration;
    while (m_clock.now() < until) {
        m_clock.advance(step);
        deliverDue();
        for (auto& it : m_members) {
            if (m_paused.contains(it.first))
                continue;
            membership::MembershipActions actions;
            it.second->tick(m_clock.now(), actions);
            enqueueMessages(it.first, actions);
        }
    }
}

void GossipGroup::leave(std::size_t index)
{
    membership::MembershipActions actions;
    m_members.at(index)->leave(m_clock.now(), actions);
    enqueueMessages(index, actions);
}

void GossipGroup::setConfigVersion(std::size_t index, ConfigVersion version)
{
    membership::MembershipActions actions;
    m_members.at(index)->setConfigVersion(version, m_clock.now(), actions);
    enqueueMessages(index, actions);
}

void GossipGroup::announceLeaving(std::size_t index, const BackendServerId& server)
{
    membership::MembershipActions actions;
    const auto sequence = static_cast<std::uint64_t>(m_clock.wallNow().time_since_epoch().count());
    m_members.at(index)->publishServerNotice({ server, true, sequence }, m_clock.now(), actions);
    enqueueMessages(index, actions);
}

bool GossipGroup::allKnowLeaving(const BackendServerId& server) const
{
    return std::all_of(m_members.begin(), m_members.end(),
        [&](const auto& it) { return it.second->leavingServers().contains(server); });
}

bool GossipGroup::hasConverged() const
{
    return std::all_of(m_members.begin(), m_members.end(),
        [this](const auto& it) { return it.second->activeMembers().size() == m_members.size(); });
}

ConfigVersion GossipGroup::lowestKnownConfigVersion() const
{
    ConfigVersion lowest(~std::uint64_t { 0 });
    for (const auto& it : m_members) {
        for (const auto& member : it.second->activeMembers())
            lowest = std::min(lowest, member.configVersion);
    }
    return lowest;
}

} // namespace foxtailwheel::bench
