#include "foxtailwheel/limits/ExtraBudget.h"

#include <algorithm>

namespace foxtailwheel::limits {

ExtraBudget::ExtraBudget(double share, double burst)
    : m_share(share)
    , m_burst(burst)
    , m_level(burst)
{
}

void ExtraBudget::earn(double utilization)
{
    const double room = std::clamp(1.25 - utilization, 0.0, 1.0);
    m_level = std::min(m_burst, m_level + m_share * room);
}

bool ExtraBudget::take(double n)
{
    if (m_level < n)
        return false;
    m_level -= n;
    return true;
}

} // namespace foxtailwheel::limits
