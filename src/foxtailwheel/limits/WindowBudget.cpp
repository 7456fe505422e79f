#include "foxtailwheel/limits/WindowBudget.h"

namespace foxtailwheel::limits {

namespace {

    /// Part of the budget that is used, so that windows which straddle an instance's count stay within it.
    constexpr double usedShare = 0.8;

    void dropBefore(std::deque<TimePoint>& times, TimePoint start)
    {
        while (!times.empty() && times.front() < start)
            times.pop_front();
    }

} // namespace

WindowBudget::WindowBudget(double share, double extra, Duration window)
    : m_share(share)
    , m_extra(extra)
    , m_window(window)
{
}

void WindowBudget::expire(TimePoint now)
{
    dropBefore(m_first, now - m_window);
    dropBefore(m_repeated, now - m_window);
}

void WindowBudget::earn(TimePoint now)
{
    expire(now);
    m_first.push_back(now);
}

double WindowBudget::left(TimePoint now)
{
    expire(now);
    const double allowed = m_share * static_cast<double>(m_first.size()) + m_extra / static_cast<double>(m_instances);
    return usedShare * allowed - static_cast<double>(m_repeated.size());
}

bool WindowBudget::take(std::size_t n, TimePoint now)
{
    if (left(now) < static_cast<double>(n))
        return false;
    m_repeated.insert(m_repeated.end(), n, now);
    return true;
}

} // namespace foxtailwheel::limits
