#include "foxtailwheel/routing/ColdCallLimiter.h"

#include "foxtailwheel/base/Hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace foxtailwheel::routing {

namespace {

    /// Factor of the interval between calls of a holder. Without it, the delay of connections, which varies, would let
    /// two calls of a holder arrive within one second.
    constexpr double intervalMargin = 1.05;

    /// Time for which the last call to a server that is no longer cold is remembered.
    constexpr Duration stateRetention = std::chrono::minutes(1);

    std::uint64_t weightOf(const BackendServerId& server, std::uint64_t instanceHash)
    {
        return hashOf(server.value(), instanceHash);
    }

} // namespace

ColdCallLimiter::ColdCallLimiter(InstanceId self)
    : m_self(std::move(self))
{
    m_live.emplace(m_self, hashOf(m_self.value()));
}

void ColdCallLimiter::setLimits(const ColdLimits& limits)
{
    if (std::exchange(m_limits, limits) == limits)
        return;
    for (auto& [id, state] : m_servers)
        state.isHolder = isHolder(id);
}

void ColdCallLimiter::setLiveInstances(const std::vector<InstanceId>& live, TimePoint now)
{
    noteTime(now);
    std::map<InstanceId, std::uint64_t> current { { m_self, hashOf(m_self.value()) } };
    m_isLeaving = !live.empty() && std::find(live.begin(), live.end(), m_self) == live.end();
    for (const auto& it : live)
        current.emplace(it, hashOf(it.value()));
    for (const auto& it : m_live) {
        if (!current.contains(it.first))
            m_lostAt[it.first] = now;
    }
    std::erase_if(m_lostAt, [&](const auto& it) { return current.contains(it.first) || now - it.second > liveMemory; });
    m_live = std::move(current);
    for (auto& [id, state] : m_servers) {
        if (!std::exchange(state.isHolder, isHolder(id)) && state.isHolder)
            state.notBefore = now + handoverTime;
    }
}

/// Returns the state of a server that becomes cold, as a holder without delay: no other instance has sent it calls as
/// a holder.
ColdCallLimiter::State& ColdCallLimiter::stateOf(const BackendServerId& server, TimePoint now)
{
    noteTime(now);
    if (!m_servers.contains(server))
        std::erase_if(m_servers, [now](const auto& it) { return now - it.second.coldUntil() > stateRetention; });
    const auto [found, isNew] = m_servers.try_emplace(server);
    auto& state = found->second;
    if (isNew)
        state.isHolder = isHolder(server);
    if (now >= state.coldUntil())
        state.heldBefore = false;
    return state;
}

void ColdCallLimiter::setColdByEntry(const BackendServerId& server, TimePoint until, TimePoint now)
{
    if (m_servers.contains(server) || until > now)
        stateOf(server, now).coldByEntry = until;
}

void ColdCallLimiter::markCold(const BackendServerId& server, Duration time, TimePoint now)
{
    if (time <= Duration {})
        return;
    auto& state = stateOf(server, now);
    state.coldByEvent = std::max(state.coldByEvent, now + time);
}

void ColdCallLimiter::suspectCold(const BackendServerId& server, TimePoint now)
{
    if (m_limits.time <= Duration {})
        return;
    auto& state = stateOf(server, now);
    state.coldBySuspicion = std::max(state.coldBySuspicion, now + m_limits.time);
}

void ColdCallLimiter::setColdByNotice(const BackendServerId& server, TimePoint until, TimePoint now)
{
    if (until <= now)
        return;
    auto& state = stateOf(server, now);
    state.coldByNotice = std::max(state.coldByNotice, until);
}

void ColdCallLimiter::addNotices(std::vector<ColdNotice>& out, TimePoint now) const
{
    if (m_limits.perSecond <= 0)
        return;
    for (const auto& [id, state] : m_servers) {
        if (state.knownColdUntil() > now)
            out.push_back({ hashOf(id.value()), state.knownColdUntil() - now });
    }
}

/// With too few instances, each holder sends several calls per second: a whole number, since calls of many holders that
/// begin at the same time would otherwise exceed the limit in some seconds.
ColdCallLimiter::Shares ColdCallLimiter::shares() const
{
    const std::uint64_t n = m_live.size();
    const auto calls = wholeCallsPerSecond();
    if (n >= calls)
        return { calls, 1 };
    const Shares all { n, calls / n };
    const Shares some { calls / (all.callsEach + 1), all.callsEach + 1 };
    return some.holders * some.callsEach > all.holders * all.callsEach ? some : all;
}

Duration ColdCallLimiter::interval() const
{
    const double seconds
        = m_limits.perSecond < 1 ? 1 / m_limits.perSecond : 1.0 / static_cast<double>(shares().callsEach);
    return fromSeconds(seconds * intervalMargin);
}

bool ColdCallLimiter::isHolder(const BackendServerId& server) const
{
    const auto n = shares().holders;
    const auto own = weightOf(server, m_live.at(m_self));
    std::size_t higher = 0;
    for (const auto& [id, hash] : m_live) {
        const auto weight = weightOf(server, hash);
        if (id != m_self && std::pair(weight, id) > std::pair(own, m_self) && ++higher >= n)
            return false;
    }
    return true;
}

bool ColdCallLimiter::mayBeCutOff(TimePoint now) const
{
    const auto isRemembered = [now](const auto& it) { return now - it.second <= liveMemory; };
    const auto lost = static_cast<std::size_t>(std::count_if(m_lostAt.begin(), m_lostAt.end(), isRemembered));
    if (m_live.size() != lost)
        return m_live.size() < lost;
    // Of two equal halves, the one with the lowest id goes on.
    return std::find_if(m_lostAt.begin(), m_lostAt.end(), isRemembered)->first < m_live.begin()->first;
}

/// An instance that is alone has nobody to ask, and the first of several that start together would wait in vain.
bool ColdCallLimiter::awaitsNotices(TimePoint now) const
{
    return m_limits.perSecond > 0 && !m_hasHeardNotices && m_live.size() > 1 && now - m_startedAt < startTime;
}

bool ColdCallLimiter::isCold(const BackendServerId& server, TimePoint now) const
{
    if (m_limits.perSecond <= 0)
        return false;
    const auto found = m_servers.find(server);
    return found != m_servers.end() && now < found->second.coldUntil();
}

bool ColdCallLimiter::admits(const BackendServerId& server, TimePoint now) const
{
    if (!isCold(server, now))
        return !awaitsNotices(now);
    const auto& state = m_servers.at(server);
    return !m_isLeaving && now - m_startedAt >= startTime && state.isHolder && now >= state.notBefore
        && (!state.called || now - state.lastCallAt >= interval()) && !mayBeCutOff(now);
}

void ColdCallLimiter::onCall(const BackendServerId& server, TimePoint now)
{
    const auto found = m_servers.find(server);
    if (found == m_servers.end())
        return;
    found->second.lastCallAt = now;
    found->second.called = true;
}

bool ColdCallLimiter::onCallHeld(const BackendServerId& server)
{
    const auto found = m_servers.find(server);
    return found != m_servers.end() && !std::exchange(found->second.heldBefore, true);
}

} // namespace foxtailwheel::routing
