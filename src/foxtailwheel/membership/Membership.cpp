#include "foxtailwheel/membership/Membership.h"

#include "foxtailwheel/base/Hash.h"

#include <algorithm>
#include <cmath>

namespace foxtailwheel::membership {

namespace {

    using namespace std::chrono_literals;

    /// An update is sent this many times the binary logarithm of the number of members.
    constexpr double transmissionFactor = 3;
    /// Number of members up to which the suspicion timeout is not extended.
    constexpr double suspicionBaseMembers = 16;
    /// Time for which a relayed ping waits for its acknowledgement.
    constexpr Duration relayTimeout = 2s;
    /// Probability in each probe interval of a ping to a dead member. These pings reconnect the two sides of a network
    /// partition after it heals.
    constexpr double deadMemberPingProbability = 0.3;
    /// Maximum number of members added to the acknowledgement to a new member.
    constexpr std::size_t maxMembersForNewMember = 64;

    bool isActive(const Member& member)
    {
        // An instance that is known only from the instance list has incarnation 0 until a message confirms it.
        const bool isConfirmed = member.incarnation.value() > 0;
        return isConfirmed && (member.state == MemberState::Alive || member.state == MemberState::Suspect);
    }

} // namespace

Membership::Membership(Member self, MembershipOptions options, std::uint64_t seed)
    : m_self(std::move(self))
    , m_options(options)
    , m_random(seed)
{
    queueUpdate(m_self);
}

std::size_t Membership::maxTransmissions() const
{
    return static_cast<std::size_t>(
        std::ceil(transmissionFactor * std::log2(static_cast<double>(m_members.size() + 2))));
}

Duration Membership::currentSuspicionTimeout() const
{
    const double factor
        = std::max(1.0, std::log2(static_cast<double>(m_members.size() + 1)) / std::log2(suspicionBaseMembers));
    return fromSeconds(toSeconds(m_options.suspicionTimeout) * factor);
}

void Membership::queueUpdate(const Member& member)
{
    m_memberUpdates[member.id] = { member, 0 };
}

Digest Membership::makeDigest()
{
    Digest digest { m_self, {}, {}, {} };
    const auto transmissionLimit = maxTransmissions();
    const auto takeUpdates = [this, transmissionLimit](auto& updates, auto& selected) {
        const auto maxCount
            = std::clamp(updates.size() / 3, m_options.updatesPerMessage, m_options.maxUpdatesPerMessage);
        for (auto it = updates.begin(); it != updates.end() && selected.size() < maxCount;) {
            selected.push_back(it->second.value);
            it = ++it->second.transmissions >= transmissionLimit ? updates.erase(it) : std::next(it);
        }
    };
    takeUpdates(m_memberUpdates, digest.members);
    takeUpdates(m_serverUpdates, digest.servers);
    // Without pending updates a random record is sent again, which repairs updates that were lost.
    if (digest.members.empty() && !m_members.empty()) {
        auto it = m_members.begin();
        std::advance(it, static_cast<std::ptrdiff_t>(m_random.below(m_members.size())));
        digest.members.push_back(it->second.member);
    }
    if (digest.servers.empty() && !m_serverNotices.empty()) {
        auto it = m_serverNotices.begin();
        std::advance(it, static_cast<std::ptrdiff_t>(m_random.below(m_serverNotices.size())));
        if (!it->second.isSpread)
            digest.servers.push_back(it->second.notice);
    }
    return digest;
}

std::vector<InstanceId> Membership::pickRandomMembers(std::size_t n, const InstanceId& except)
{
    std::vector<InstanceId> ids;
    for (const auto& it : m_members) {
        if (it.second.member.state != MemberState::Dead && it.first != except)
            ids.push_back(it.first);
    }
    for (std::size_t i = 0; i < std::min(n, ids.size()); ++i)
        std::swap(ids[i], ids[i + m_random.below(ids.size() - i)]);
    ids.resize(std::min(n, ids.size()));
    return ids;
}

void Membership::gossipToRandomMembers(MembershipActions& out)
{
    for (const auto& it : pickRandomMembers(m_options.fanout, m_self.id))
        out.emplace_back(SendMessage { m_members.at(it).member.endpoint, Ping { ++m_sequence, {}, makeDigest() } });
}

void Membership::tick(TimePoint now, MembershipActions& out)
{
    advanceProbe(now, out);
    expireMembers(now, out);
    expireServerNotices(now);
    if (!m_probe && now >= m_nextProbeAt)
        startProbe(now, out);
}

void Membership::expireServerNotices(TimePoint now)
{
    const auto retention = m_options.serverNoticeRetention;
    if (retention == Duration {})
        return;
    std::erase_if(m_serverNotices, [&](const auto& it) { return now - it.second.learnedAt > retention; });
    for (auto& [server, entry] : m_serverNotices)
        entry.isSpread = now - entry.learnedAt > retention / 2;
}

void Membership::startProbe(TimePoint now, MembershipActions& out)
{
    m_nextProbeAt = now + m_options.probeInterval;
    while (!m_probeOrder.empty()
        && (!m_members.contains(m_probeOrder.back())
            || m_members.at(m_probeOrder.back()).member.state == MemberState::Dead))
        m_probeOrder.pop_back();
    if (m_probeOrder.empty())
        m_probeOrder = pickRandomMembers(m_members.size(), m_self.id);
    if (m_probeOrder.empty())
        return;
    pingDeadMember(out);
    const auto target = m_probeOrder.back();
    m_probeOrder.pop_back();
    m_probe = Probe { target, ++m_sequence, now + m_options.ackTimeout, now + m_options.probeInterval, false };
    out.emplace_back(SendMessage { m_members.at(target).member.endpoint, Ping { m_sequence, {}, makeDigest() } });
}

void Membership::pingDeadMember(MembershipActions& out)
{
    std::vector<const Member*> deadMembers;
    for (const auto& it : m_members) {
        if (it.second.member.state == MemberState::Dead)
            deadMembers.push_back(&it.second.member);
    }
    if (deadMembers.empty() || !m_random.chance(deadMemberPingProbability))
        return;
    const auto& member = *deadMembers[m_random.below(deadMembers.size())];
    Ping ping { ++m_sequence, {}, makeDigest() };
    // A member that is still alive refutes its own dead record.
    ping.digest.members.push_back(member);
    out.emplace_back(SendMessage { member.endpoint, std::move(ping) });
}

void Membership::advanceProbe(TimePoint now, MembershipActions& out)
{
    if (!m_probe || !m_members.contains(m_probe->target)) {
        m_probe.reset();
        return;
    }
    if (now >= m_probe->timeoutAt) {
        auto suspect = m_members.at(m_probe->target).member;
        m_probe.reset();
        if (suspect.state == MemberState::Alive) {
            suspect.state = MemberState::Suspect;
            applyMember(suspect, now);
            out.emplace_back(ViewChanged {});
        }
        return;
    }
    if (m_probe->indirectProbesSent || now < m_probe->indirectProbeAt)
        return;
    m_probe->indirectProbesSent = true;
    for (const auto& it : pickRandomMembers(m_options.fanout, m_probe->target))
        out.emplace_back(SendMessage {
            m_members.at(it).member.endpoint, Ping { m_probe->sequence, m_probe->target, makeDigest() } });
}

void Membership::expireMembers(TimePoint now, MembershipActions& out)
{
    for (auto it = m_members.begin(); it != m_members.end();) {
        auto& entry = it->second;
        const bool isInactive = entry.member.state == MemberState::Dead || entry.member.state == MemberState::Leaving;
        if (isInactive && now - entry.stateSince > m_options.deadMemberRetention) {
            it = m_members.erase(it);
            continue;
        }
        if (entry.member.state == MemberState::Suspect && now - entry.stateSince > currentSuspicionTimeout()) {
            entry.member.state = MemberState::Dead;
            entry.stateSince = now;
            queueUpdate(entry.member);
            out.emplace_back(ViewChanged {});
        }
        ++it;
    }
    std::erase_if(m_relayedPings, [now](const auto& it) { return it.second.expiresAt < now; });
}

bool Membership::refute(const Member& update)
{
    const bool mustRefute = update.incarnation >= m_self.incarnation && update.state != m_self.state
        && update.state != MemberState::Alive;
    if (!mustRefute)
        return false;
    m_self.incarnation = update.incarnation.next();
    queueUpdate(m_self);
    return true;
}

bool Membership::applyMember(const Member& member, TimePoint now)
{
    if (member.id == m_self.id)
        return refute(member);
    const auto it = m_members.find(member.id);
    if (it != m_members.end() && !supersedes(member, it->second.member))
        return false;
    if (it == m_members.end() && member.state == MemberState::Dead)
        return false;
    const bool sameState = it != m_members.end() && it->second.member.state == member.state;
    const auto stateSince = sameState ? it->second.stateSince : now;
    m_members[member.id] = { member, stateSince };
    queueUpdate(member);
    return true;
}

bool Membership::applyServerNotice(const ServerNotice& notice, TimePoint now)
{
    const auto it = m_serverNotices.find(notice.server);
    if (it != m_serverNotices.end() && it->second.notice.sequence >= notice.sequence)
        return false;
    m_serverNotices[notice.server] = { notice, now };
    m_serverUpdates[notice.server] = { notice, 0 };
    return true;
}

void Membership::applyDigest(const Digest& digest, TimePoint now, MembershipActions& out)
{
    bool changed = applyMember(digest.sender, now);
    for (const auto& it : digest.members)
        changed = applyMember(it, now) || changed;
    for (const auto& it : digest.servers)
        changed = applyServerNotice(it, now) || changed;
    if (changed)
        out.emplace_back(ViewChanged {});
}

Digest Membership::makeNewMemberDigest()
{
    auto digest = makeDigest();
    for (const auto& it : pickRandomMembers(maxMembersForNewMember, m_self.id))
        digest.members.push_back(m_members.at(it).member);
    return digest;
}

bool Membership::isNewIncarnation(const Member& member) const
{
    const auto it = m_members.find(member.id);
    return it == m_members.end() || it->second.member.incarnation < member.incarnation;
}

void Membership::onPing(const Ping& ping, TimePoint now, MembershipActions& out)
{
    const bool isNewSender = isNewIncarnation(ping.digest.sender);
    applyDigest(ping.digest, now, out);
    const auto& requester = ping.digest.sender.endpoint;
    if (isNewSender)
        gossipToRandomMembers(out);
    if (ping.target.empty() || ping.target == m_self.id) {
        out.emplace_back(SendMessage {
            requester, Ack { ping.sequence, m_self.id, isNewSender ? makeNewMemberDigest() : makeDigest() } });
        return;
    }
    const auto it = m_members.find(ping.target);
    if (it == m_members.end())
        return;
    m_relayedPings[++m_sequence] = { requester, ping.sequence, now + relayTimeout };
    out.emplace_back(SendMessage { it->second.member.endpoint, Ping { m_sequence, {}, makeDigest() } });
}

void Membership::onAck(const Ack& ack, TimePoint now, MembershipActions& out)
{
    applyDigest(ack.digest, now, out);
    const auto relay = m_relayedPings.find(ack.sequence);
    if (relay != m_relayedPings.end()) {
        out.emplace_back(
            SendMessage { relay->second.requester, Ack { relay->second.sequence, ack.target, makeDigest() } });
        m_relayedPings.erase(relay);
    }
    if (m_probe && m_probe->sequence == ack.sequence && m_probe->target == ack.target)
        m_probe.reset();
}

void Membership::addIfUnknown(const Member& member, TimePoint now)
{
    if (member.id != m_self.id && !m_members.contains(member.id))
        applyMember(member, now);
}

void Membership::setConfigVersion(ConfigVersion version, TimePoint /*now*/, MembershipActions& out)
{
    if (version <= m_self.configVersion)
        return;
    m_self.configVersion = version;
    queueUpdate(m_self);
    gossipToRandomMembers(out);
}

void Membership::leave(TimePoint /*now*/, MembershipActions& out)
{
    m_self.state = MemberState::Leaving;
    queueUpdate(m_self);
    gossipToRandomMembers(out);
}

void Membership::publishServerNotice(const ServerNotice& notice, TimePoint now, MembershipActions& out)
{
    if (!applyServerNotice(notice, now))
        return;
    out.emplace_back(ViewChanged {});
    gossipToRandomMembers(out);
}

std::vector<Member> Membership::members() const
{
    std::vector<Member> all { m_self };
    for (const auto& it : m_members)
        all.push_back(it.second.member);
    return all;
}

std::vector<Member> Membership::activeMembers() const
{
    auto all = members();
    std::erase_if(all, [](const Member& it) { return !isActive(it); });
    return all;
}

std::set<BackendServerId> Membership::leavingServers() const
{
    std::set<BackendServerId> leaving;
    for (const auto& it : leavingServerNotices())
        leaving.insert(it.server);
    return leaving;
}

std::vector<ServerNotice> Membership::leavingServerNotices() const
{
    std::vector<ServerNotice> leaving;
    for (const auto& [server, entry] : m_serverNotices) {
        if (entry.notice.leaving)
            leaving.push_back(entry.notice);
    }
    return leaving;
}

std::vector<InstanceId> owners(const std::string& key, const std::vector<Member>& members, std::size_t n)
{
    std::vector<std::pair<std::uint64_t, InstanceId>> weightedIds;
    for (const auto& it : members)
        weightedIds.emplace_back(rendezvousWeight(key, it.id.value()), it.id);
    n = std::min(n, weightedIds.size());
    std::partial_sort(weightedIds.begin(), weightedIds.begin() + static_cast<std::ptrdiff_t>(n), weightedIds.end(),
        std::greater<> {});
    std::vector<InstanceId> ids;
    for (std::size_t i = 0; i < n; ++i)
        ids.push_back(weightedIds[i].second);
    return ids;
}

} // namespace foxtailwheel::membership
