#include "foxtailwheel/store/CircuitBreaker.h"

#include <algorithm>

namespace foxtailwheel::store {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration initialBackoff = 200ms;
    constexpr Duration maxBackoff = 5s;

} // namespace

CircuitBreaker::CircuitBreaker(std::uint32_t maxConcurrentCalls, std::uint64_t seed)
    : m_maxConcurrentCalls(maxConcurrentCalls)
    , m_random(seed)
{
}

bool CircuitBreaker::tryAcquire(TimePoint now)
{
    const std::uint32_t limit = isOpen() ? 1 : m_maxConcurrentCalls;
    if (m_callsInProgress >= limit || (isOpen() && now < m_retryAt))
        return false;
    ++m_callsInProgress;
    return true;
}

void CircuitBreaker::onCallEnded(bool succeeded, TimePoint now)
{
    --m_callsInProgress;
    if (succeeded) {
        m_consecutiveFailures = 0;
        m_backoff = Duration {};
        return;
    }
    ++m_consecutiveFailures;
    // Calls that started before the breaker opened fail together with the one that opened it.
    if (!isOpen() || now < m_retryAt)
        return;
    m_backoff = m_backoff == Duration {} ? initialBackoff : std::min(m_backoff * 2, maxBackoff);
    m_retryAt = now + fromSeconds(toSeconds(m_backoff) * (0.5 + m_random.uniform() / 2));
}

} // namespace foxtailwheel::store
