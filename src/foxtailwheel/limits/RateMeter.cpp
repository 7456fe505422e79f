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
    return m_level * std::exp(-std::max(0.0, toSeconds(now - m_at)) / m_windowSeconds);
}

void RateMeter::add(double n, TimePoint now)
{
    m_level = perSecond(now) + n / m_windowSeconds;
    m_at = now;
}

} // namespace foxtailwheel::limits
