#include "foxtailwheel/limits/TokenBucket.h"

#include <algorithm>

namespace foxtailwheel::limits {

TokenBucket::TokenBucket(double rate, double burst, TimePoint now)
    : m_rate(rate)
    , m_burst(burst)
    , m_tokens(burst)
    , m_updatedAt(now)
{
}

double TokenBucket::tokensAt(TimePoint now) const
{
    const double elapsed = std::max(0.0, toSeconds(now - m_updatedAt));
    return std::min(m_burst, m_tokens + elapsed * m_rate);
}

bool TokenBucket::tryAcquire(double n, TimePoint now)
{
    m_tokens = tokensAt(now);
    m_updatedAt = std::max(m_updatedAt, now);
    if (m_tokens < n)
        return false;
    m_tokens -= n;
    return true;
}

void TokenBucket::setRate(double rate, double burst, TimePoint now)
{
    m_tokens = std::min(tokensAt(now), burst);
    m_updatedAt = std::max(m_updatedAt, now);
    m_rate = rate;
    m_burst = burst;
}

Duration TokenBucket::timeUntilAvailable(double n, TimePoint now) const
{
    const double missing = n - tokensAt(now);
    return missing <= 0 || m_rate <= 0 ? Duration {} : fromSeconds(missing / m_rate);
}

} // namespace foxtailwheel::limits
