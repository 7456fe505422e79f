#include "foxtailwheel/routing/ServerHealth.h"

#include <algorithm>

namespace foxtailwheel::routing {

namespace {

    using namespace std::chrono_literals;

    constexpr std::uint32_t failuresToSuspect = 2;
    constexpr std::uint32_t successesToRecover = 2;
    constexpr Duration initialBackoff = 500ms;
    constexpr Duration maxBackoff = 16s;
    /// Minimum interval between calls to a server that was paused, so that waiting calls do not arrive all at once.
    constexpr Duration returnInterval = 50ms;

} // namespace

void ServerHealth::markSuspected(TimePoint now)
{
    m_backoff = m_suspected ? std::min(m_backoff * 2, maxBackoff) : initialBackoff;
    m_suspected = true;
    m_checkPassed = false;
    m_consecutiveSuccesses = 0;
    m_nextProbeAt = now + m_backoff;
}

bool ServerHealth::needsCheck(TimePoint now) const
{
    return !isTrusted() && !isPaused(now) && now >= std::max(m_nextProbeAt, m_checkEndsBy);
}

void ServerHealth::onCheckEnded(bool passed, TimePoint now)
{
    m_checkEndsBy = {};
    if (!m_suspected)
        return;
    if (passed)
        m_checkPassed = true;
    else
        markSuspected(now);
}

void ServerHealth::onRestart()
{
    ServerHealth restarted;
    restarted.m_pausedUntil = m_pausedUntil;
    restarted.m_returning = m_returning;
    *this = restarted;
}

HealthChange ServerHealth::onCallEnded(CallOutcome outcome, TimePoint now)
{
    switch (outcome) {
    case CallOutcome::Success:
        m_consecutiveFailures = 0;
        // Calls from before the pause may still succeed during it.
        m_returning = m_returning && isPaused(now);
        if (!m_suspected || ++m_consecutiveSuccesses < successesToRecover)
            return HealthChange::None;
        m_suspected = false;
        return HealthChange::Recovered;
    case CallOutcome::Unreachable:
        if (m_suspected && now < m_nextProbeAt)
            return HealthChange::None;
        break;
    case CallOutcome::Failed:
        ++m_consecutiveFailures;
        if (m_suspected ? now < m_nextProbeAt : m_consecutiveFailures < failuresToSuspect)
            return HealthChange::None;
        break;
    case CallOutcome::Rejected:
        return HealthChange::None;
    }
    markSuspected(now);
    return HealthChange::Suspected;
}

void ServerHealth::onCallStarted(TimePoint now)
{
    if (m_returning)
        m_pausedUntil = now + returnInterval;
}

void ServerHealth::pause(TimePoint until)
{
    m_pausedUntil = std::max(m_pausedUntil, until);
    m_returning = true;
}

bool ServerHealth::isUsable(TimePoint now, std::uint32_t ownCalls) const
{
    return !isPaused(now) && (!m_suspected || (now >= m_nextProbeAt && ownCalls == 0));
}

} // namespace foxtailwheel::routing
