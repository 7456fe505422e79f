#include "foxtailwheel/limits/TokenBucket.h"

#include <algorithm>

namespace foxtailwheel::limits {

TokenBucket::TokenBucket(double rate, double burst, TimePoint now)
    : m_rate(rate)
    , m_burst(burst)
    , m_level(burst)
    , m_at(now)
{
}

double TokenBucket::levelAt(TimePoint now) const
{
    const double elapsed = std::max(0.0, toSeconds(now - m_at));
    return std::min(m_burst, m_level + elapsed * m_rate);
}

bool TokenBucket::take(double n, TimePoint now)
{
    m_level = levelAt(now);
    m_at = std::max(m_at, now);
    if (m_level < n)
        return false;
    m_level -= n;
    return true;
}

void TokenBucket::setRate(double rate, double burst, TimePoint now)
{
    m_level = std::min(levelAt(now), burst);
    m_at = std::max(m_at, now);
    m_rate = rate;
    m_burst = burst;
}

Duration TokenBucket::wait(double n, TimePoint now) const
{
    const double missing = n - levelAt(now);
    return missing <= 0 || m_rate <= 0 ? Duration {} : fromSeconds(missing / m_rate);
}

} // namespace foxtailwheel::limits
