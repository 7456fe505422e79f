#include "CallsInProgress.h"

#include <algorithm>

namespace foxtailwheel::serving {

namespace {

    using namespace std::chrono_literals;

    /// Time before the expected end of a call at which the next one is sent to its server. Otherwise the server would
    /// be idle for about four one-way delays between zones: the response, the connection setup and the call.
    constexpr Duration nextCallLeadTime = 25ms;
    /// Nothing is sent behind a call that is overdue by more than this, since it may take much longer.
    constexpr Duration maxOverdue = 60ms;
    /// Pause after a server did not start a call. Other callers' calls fill its queue for about this long.
    constexpr Duration busyBackoff = 60ms;

} // namespace

bool BatchCall::isEnding(TimePoint now) const
{
    return endsAt() - now <= nextCallLeadTime && now - endsAt() <= maxOverdue;
}

std::optional<BatchCall> CallsInProgress::remove(CallId id, TimePoint now)
{
    const auto it = m_calls.find(id);
    if (it == m_calls.end())
        return std::nullopt;
    auto call = std::move(it->second);
    m_calls.erase(it);
    for (auto& other : m_calls) {
        if (other.second.server.id == call.server.id)
            other.second.startsAt = now;
    }
    return call;
}

void CallsInProgress::pause(const BackendServerId& server, TimePoint now)
{
    std::erase_if(m_pausedUntil, [now](const auto& it) { return it.second <= now; });
    m_pausedUntil[server] = now + busyBackoff;
}

bool CallsInProgress::canSendTo(const BackendServerId& server, const config::BatchLimits& limits, TimePoint now) const
{
    const auto paused = m_pausedUntil.find(server);
    if (paused != m_pausedUntil.end() && paused->second > now)
        return false;
    const auto occupied = std::count_if(m_calls.begin(), m_calls.end(), [&](const auto& it) {
        const bool endsInTime = limits.queueCapacity > 0 && it.second.isEnding(now);
        return it.second.server.id == server && !endsInTime;
    });
    return static_cast<std::size_t>(occupied) < limits.slots;
}

TimePoint CallsInProgress::nextStartTime(const BackendServerId& server, TimePoint now) const
{
    auto free = now;
    for (const auto& it : m_calls) {
        if (it.second.server.id == server)
            free = std::max(free, it.second.endsAt());
    }
    return free;
}

std::vector<std::pair<config::BackendServer, TimePoint>> CallsInProgress::lastEndTimes() const
{
    std::map<BackendServerId, std::pair<config::BackendServer, TimePoint>> last;
    for (const auto& it : m_calls) {
        const auto& call = it.second;
        auto& entry = last.try_emplace(call.server.id, call.server, call.endsAt()).first->second;
        entry.second = std::max(entry.second, call.endsAt());
    }
    std::vector<std::pair<config::BackendServer, TimePoint>> out;
    for (auto& it : last)
        out.push_back(std::move(it.second));
    return out;
}

std::size_t CallsInProgress::countNotEnding(TimePoint now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_calls.begin(), m_calls.end(), [now](const auto& it) { return !it.second.isEnding(now); }));
}

TimePoint CallsInProgress::nextAvailabilityChange(TimePoint after) const
{
    auto next = TimePoint::max();
    const auto consider = [&](TimePoint at) {
        if (at > after)
            next = std::min(next, at);
    };
    for (const auto& it : m_pausedUntil)
        consider(it.second);
    for (const auto& it : m_calls)
        consider(it.second.endsAt() - nextCallLeadTime);
    return next;
}

} // namespace foxtailwheel::serving
