#include "foxtailwheel/limits/SlidingWindowRetryBudget.h"

namespace foxtailwheel::limits {

namespace {

    /// Fraction of the budget that is spent. The margin covers windows other than the one that is counted here: such a
    /// window can contain a retry without the first calls that paid for it.
    constexpr double spendableShare = 0.8;

    void evictBefore(std::deque<TimePoint>& times, TimePoint start)
    {
        while (!times.empty() && times.front() < start)
            times.pop_front();
    }

} // namespace

SlidingWindowRetryBudget::SlidingWindowRetryBudget(double share, double fixedRetries, Duration window)
    : m_share(share)
    , m_fixedRetries(fixedRetries)
    , m_window(window)
{
}

void SlidingWindowRetryBudget::evictExpired(TimePoint now)
{
    evictBefore(m_firstCalls, now - m_window);
    evictBefore(m_retries, now - m_window);
}

void SlidingWindowRetryBudget::onFirstCall(TimePoint now)
{
    evictExpired(now);
    m_firstCalls.push_back(now);
}

double SlidingWindowRetryBudget::remaining(TimePoint now)
{
    evictExpired(now);
    const double allowed
        = m_share * static_cast<double>(m_firstCalls.size()) + m_fixedRetries / static_cast<double>(m_instanceCount);
    return spendableShare * allowed - static_cast<double>(m_retries.size());
}

bool SlidingWindowRetryBudget::tryAcquire(std::size_t n, TimePoint now)
{
    if (remaining(now) < static_cast<double>(n))
        return false;
    m_retries.insert(m_retries.end(), n, now);
    return true;
}

} // namespace foxtailwheel::limits
