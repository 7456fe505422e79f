#include "foxtailwheel/routing/LoadEstimate.h"

#include <algorithm>
#include <chrono>

namespace foxtailwheel::routing {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration sampleSpacing = 100ms;

} // namespace

void LoadEstimate::remember(TimePoint now)
{
    if (m_history.empty())
        m_history.resize(historyLength);
    const auto& last = m_history.at((m_next + historyLength - 1) % historyLength);
    if (last.at != TimePoint {} && now - last.at < sampleSpacing)
        return;
    m_history.at(m_next) = { now, m_own };
    m_next = (m_next + 1) % historyLength;
}

std::uint32_t LoadEstimate::ownAt(TimePoint at) const
{
    std::uint32_t own = 0;
    TimePoint nearest {};
    for (const auto& it : m_history) {
        if (it.at <= at && it.at > nearest) {
            nearest = it.at;
            own = it.own;
        }
    }
    return own;
}

void LoadEstimate::started(TimePoint now)
{
    ++m_own;
    remember(now);
}

void LoadEstimate::finished(TimePoint now)
{
    if (m_own > 0)
        --m_own;
    remember(now);
}

void LoadEstimate::report(const LoadReport& report)
{
    if (report.measuredAt <= m_reportedAt)
        return;
    m_reportedAt = report.measuredAt;
    m_reported = static_cast<double>(report.running + report.queued);
    m_others = std::max(0.0, m_reported - ownAt(report.measuredAt));
}

} // namespace foxtailwheel::routing
