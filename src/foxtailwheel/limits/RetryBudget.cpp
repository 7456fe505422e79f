#include "foxtailwheel/limits/RetryBudget.h"

#include <algorithm>

namespace foxtailwheel::limits {

RetryBudget::RetryBudget(double share, double burst)
    : m_share(share)
    , m_burst(burst)
    , m_balance(burst)
{
}

void RetryBudget::onFirstAttempt(double utilization)
{
    constexpr double noCreditUtilization = 1.25; // first attempts at or above it add nothing to the budget
    const double credit = std::clamp(noCreditUtilization - utilization, 0.0, 1.0);
    m_balance = std::min(m_burst, m_balance + m_share * credit);
}

bool RetryBudget::tryAcquire(double n)
{
    if (m_balance < n)
        return false;
    m_balance -= n;
    return true;
}

} // namespace foxtailwheel::limits
