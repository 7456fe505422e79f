#include "foxtailwheel/limits/RateMeter.h"

#include <algorithm>
#include <cmath>

namespace foxtailwheel::limits {

RateMeter::RateMeter(Duration window)
    : m_windowSeconds(toSeconds(window))
{
}

double RateMeter::perSecond(TimePoint now) const
{
    return m_rate * std::exp(-std::max(0.0, toSeconds(now - m_updatedAt)) / m_windowSeconds);
}

void RateMeter::add(double n, TimePoint now)
{
    m_rate = perSecond(now) + n / m_windowSeconds;
    m_updatedAt = now;
}

} // namespace foxtailwheel::limits
