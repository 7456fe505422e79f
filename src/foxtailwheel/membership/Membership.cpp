#include "foxtailwheel/membership/Membership.h"

#include "foxtailwheel/base/Hash.h"

#include <algorithm>
#include <cmath>

namespace foxtailwheel::membership {

namespace {

    using namespace std::chrono_literals;

    constexpr double spreadFactor = 3;
    constexpr double smallGroup = 16;
    constexpr Duration relayLife = 2s;
    /// Chance in each period that a dead member is called, so that the sides of a healed cut find each other.
    constexpr double callDeadChance = 0.3;
    /// Members told to one that has just appeared.
    constexpr std::size_t toldToNewcomer = 64;

    bool isWorking(const Member& member)
    {
        // An instance that was only read from the list has incarnation 0 until it was heard of.
        const bool heard = member.incarnation.value() > 0;
        return heard && (member.state == MemberState::Alive || member.state == MemberState::Suspect);
    }

} // namespace

Membership::Membership(Member self, MembershipOptions options, std::uint64_t seed)
    : m_self(std::move(self))
    , m_options(options)
    , m_random(seed)
{
    spread(m_self);
}

std::size_t Membership::spreadLimit() const
{
    return static_cast<std::size_t>(std::ceil(spreadFactor * std::log2(static_cast<double>(m_known.size() + 2))));
}

Duration Membership::suspicionTime() const
{
    const double factor = std::max(1.0, std::log2(static_cast<double>(m_known.size() + 1)) / std::log2(smallGroup));
    return fromSeconds(toSeconds(m_options.suspicion) * factor);
}

void Membership::spread(const Member& member)
{
    m_memberNews[member.id] = { member, 0 };
}

Digest Membership::digest()
{
    Digest digest { m_self, {}, {} };
    const auto limit = spreadLimit();
    const auto take = [this, limit](auto& news, auto& into) {
        const auto most = std::clamp(news.size() / 3, m_options.updatesPerMessage, m_options.mostUpdatesPerMessage);
        for (auto it = news.begin(); it != news.end() && into.size() < most;) {
            into.push_back(it->second.value);
            it = ++it->second.sent >= limit ? news.erase(it) : std::next(it);
        }
    };
    take(m_memberNews, digest.members);
    take(m_serverNews, digest.servers);
    // A quiet time is used to mend what was missed: some member is told anew.
    if (digest.members.empty() && !m_known.empty()) {
        auto it = m_known.begin();
        std::advance(it, static_cast<std::ptrdiff_t>(m_random.below(m_known.size())));
        digest.members.push_back(it->second.member);
    }
    if (digest.servers.empty() && !m_servers.empty()) {
        auto it = m_servers.begin();
        std::advance(it, static_cast<std::ptrdiff_t>(m_random.below(m_servers.size())));
        digest.servers.push_back(it->second);
    }
    return digest;
}

std::vector<InstanceId> Membership::pickOthers(std::size_t n, const InstanceId& except)
{
    std::vector<InstanceId> ids;
    for (const auto& it : m_known) {
        if (it.second.member.state != MemberState::Dead && it.first != except)
            ids.push_back(it.first);
    }
    for (std::size_t i = 0; i < std::min(n, ids.size()); ++i)
        std::swap(ids[i], ids[i + m_random.below(ids.size() - i)]);
    ids.resize(std::min(n, ids.size()));
    return ids;
}

void Membership::tellSome(MembershipActions& out)
{
    for (const auto& it : pickOthers(m_options.helpers, m_self.id))
        out.emplace_back(SendMessage { m_known.at(it).member.peers, Ping { ++m_sequence, {}, digest() } });
}

void Membership::tick(TimePoint now, MembershipActions& out)
{
    advanceProbe(now, out);
    expire(now, out);
    if (!m_probe && now >= m_probeAt)
        startProbe(now, out);
}

void Membership::startProbe(TimePoint now, MembershipActions& out)
{
    m_probeAt = now + m_options.period;
    while (!m_order.empty()
        && (!m_known.contains(m_order.back()) || m_known.at(m_order.back()).member.state == MemberState::Dead))
        m_order.pop_back();
    if (m_order.empty())
        m_order = pickOthers(m_known.size(), m_self.id);
    if (m_order.empty())
        return;
    callDead(out);
    const auto target = m_order.back();
    m_order.pop_back();
    m_probe = Probe { target, ++m_sequence, now + m_options.ackTimeout, now + m_options.period, false };
    out.emplace_back(SendMessage { m_known.at(target).member.peers, Ping { m_sequence, {}, digest() } });
}

void Membership::callDead(MembershipActions& out)
{
    std::vector<const Member*> dead;
    for (const auto& it : m_known) {
        if (it.second.member.state == MemberState::Dead)
            dead.push_back(&it.second.member);
    }
    if (dead.empty() || !m_random.chance(callDeadChance))
        return;
    const auto& member = *dead[m_random.below(dead.size())];
    Ping ping { ++m_sequence, {}, digest() };
    // It hears that it is thought dead, and refutes.
    ping.digest.members.push_back(member);
    out.emplace_back(SendMessage { member.peers, std::move(ping) });
}

void Membership::advanceProbe(TimePoint now, MembershipActions& out)
{
    if (!m_probe || !m_known.contains(m_probe->target)) {
        m_probe.reset();
        return;
    }
    if (now >= m_probe->giveUpAt) {
        auto suspect = m_known.at(m_probe->target).member;
        m_probe.reset();
        if (suspect.state == MemberState::Alive) {
            suspect.state = MemberState::Suspect;
            takeMember(suspect, now);
            out.emplace_back(ViewChanged {});
        }
        return;
    }
    if (m_probe->askedOthers || now < m_probe->askOthersAt)
        return;
    m_probe->askedOthers = true;
    for (const auto& it : pickOthers(m_options.helpers, m_probe->target))
        out.emplace_back(
            SendMessage { m_known.at(it).member.peers, Ping { m_probe->sequence, m_probe->target, digest() } });
}

void Membership::expire(TimePoint now, MembershipActions& out)
{
    for (auto it = m_known.begin(); it != m_known.end();) {
        auto& known = it->second;
        const bool gone = known.member.state == MemberState::Dead || known.member.state == MemberState::Leaving;
        if (gone && now - known.since > m_options.deadKept) {
            it = m_known.erase(it);
            continue;
        }
        if (known.member.state == MemberState::Suspect && now - known.since > suspicionTime()) {
            known.member.state = MemberState::Dead;
            known.since = now;
            spread(known.member);
            out.emplace_back(ViewChanged {});
        }
        ++it;
    }
    std::erase_if(m_relays, [now](const auto& it) { return it.second.until < now; });
}

bool Membership::refute(const Member& rumour)
{
    const bool wrong = rumour.incarnation >= m_self.incarnation && rumour.state != m_self.state
        && rumour.state != MemberState::Alive;
    if (!wrong)
        return false;
    m_self.incarnation = rumour.incarnation.next();
    spread(m_self);
    return true;
}

bool Membership::takeMember(const Member& member, TimePoint now)
{
    if (member.id == m_self.id)
        return refute(member);
    const auto it = m_known.find(member.id);
    if (it != m_known.end() && !supersedes(member, it->second.member))
        return false;
    if (it == m_known.end() && member.state == MemberState::Dead)
        return false;
    const bool sameState = it != m_known.end() && it->second.member.state == member.state;
    const auto since = sameState ? it->second.since : now;
    m_known[member.id] = { member, since };
    spread(member);
    return true;
}

bool Membership::takeNotice(const ServerNotice& notice)
{
    const auto it = m_servers.find(notice.server);
    if (it != m_servers.end() && it->second.sequence >= notice.sequence)
        return false;
    m_servers[notice.server] = notice;
    m_serverNews[notice.server] = { notice, 0 };
    return true;
}

void Membership::take(const Digest& digest, TimePoint now, MembershipActions& out)
{
    bool changed = takeMember(digest.sender, now);
    for (const auto& it : digest.members)
        changed = takeMember(it, now) || changed;
    for (const auto& it : digest.servers)
        changed = takeNotice(it) || changed;
    if (changed)
        out.emplace_back(ViewChanged {});
}

Digest Membership::welcome()
{
    auto all = digest();
    for (const auto& it : pickOthers(toldToNewcomer, m_self.id))
        all.members.push_back(m_known.at(it).member);
    return all;
}

bool Membership::isNew(const Member& member) const
{
    const auto it = m_known.find(member.id);
    return it == m_known.end() || it->second.member.incarnation < member.incarnation;
}

void Membership::onPing(const Ping& ping, TimePoint now, MembershipActions& out)
{
    const bool appeared = isNew(ping.digest.sender);
    take(ping.digest, now, out);
    const auto& asker = ping.digest.sender.peers;
    if (appeared)
        tellSome(out);
    if (ping.target.empty() || ping.target == m_self.id) {
        out.emplace_back(SendMessage { asker, Ack { ping.sequence, m_self.id, appeared ? welcome() : digest() } });
        return;
    }
    const auto it = m_known.find(ping.target);
    if (it == m_known.end())
        return;
    m_relays[++m_sequence] = { asker, ping.sequence, now + relayLife };
    out.emplace_back(SendMessage { it->second.member.peers, Ping { m_sequence, {}, digest() } });
}

void Membership::onAck(const Ack& ack, TimePoint now, MembershipActions& out)
{
    take(ack.digest, now, out);
    const auto relay = m_relays.find(ack.sequence);
    if (relay != m_relays.end()) {
        out.emplace_back(SendMessage { relay->second.asker, Ack { relay->second.sequence, ack.target, digest() } });
        m_relays.erase(relay);
    }
    if (m_probe && m_probe->sequence == ack.sequence && m_probe->target == ack.target)
        m_probe.reset();
}

void Membership::introduce(const Member& member, TimePoint now)
{
    if (member.id != m_self.id && !m_known.contains(member.id))
        takeMember(member, now);
}

void Membership::setConfig(ConfigVersion version, TimePoint /*now*/, MembershipActions& out)
{
    if (version <= m_self.config)
        return;
    m_self.config = version;
    spread(m_self);
    tellSome(out);
}

void Membership::leave(TimePoint /*now*/, MembershipActions& out)
{
    m_self.state = MemberState::Leaving;
    spread(m_self);
    tellSome(out);
}

void Membership::notice(const ServerNotice& notice, TimePoint /*now*/, MembershipActions& out)
{
    if (!takeNotice(notice))
        return;
    out.emplace_back(ViewChanged {});
    tellSome(out);
}

std::vector<Member> Membership::members() const
{
    std::vector<Member> all { m_self };
    for (const auto& it : m_known)
        all.push_back(it.second.member);
    return all;
}

std::vector<Member> Membership::working() const
{
    auto all = members();
    std::erase_if(all, [](const Member& it) { return !isWorking(it); });
    return all;
}

std::set<BackendServerId> Membership::leavingServers() const
{
    std::set<BackendServerId> leaving;
    for (const auto& it : m_servers) {
        if (it.second.leaving)
            leaving.insert(it.first);
    }
    return leaving;
}

std::vector<InstanceId> owners(const std::string& key, const std::vector<Member>& members, std::size_t n)
{
    std::vector<std::pair<std::uint64_t, InstanceId>> weighed;
    for (const auto& it : members)
        weighed.emplace_back(rendezvousWeight(key, it.id.value()), it.id);
    n = std::min(n, weighed.size());
    std::partial_sort(
        weighed.begin(), weighed.begin() + static_cast<std::ptrdiff_t>(n), weighed.end(), std::greater<> {});
    std::vector<InstanceId> ids;
    for (std::size_t i = 0; i < n; ++i)
        ids.push_back(weighed[i].second);
    return ids;
}

} // namespace foxtailwheel::membership
