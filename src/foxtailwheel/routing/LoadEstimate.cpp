#include "foxtailwheel/routing/LoadEstimate.h"

#include <algorithm>
#include <chrono>

namespace foxtailwheel::routing {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration minSampleInterval = 100ms;

} // namespace

void LoadEstimate::recordSample(TimePoint now)
{
    if (m_history.empty())
        m_history.resize(historyLength);
    const auto& last = m_history.at((m_nextSample + historyLength - 1) % historyLength);
    if (last.at != TimePoint {} && now - last.at < minSampleInterval)
        return;
    m_history.at(m_nextSample) = { now, m_ownCalls };
    m_nextSample = (m_nextSample + 1) % historyLength;
}

std::uint32_t LoadEstimate::ownCallsAt(TimePoint at) const
{
    std::uint32_t ownCalls = 0;
    TimePoint latest {};
    for (const auto& it : m_history) {
        if (it.at <= at && it.at > latest) {
            latest = it.at;
            ownCalls = it.ownCalls;
        }
    }
    return ownCalls;
}

void LoadEstimate::onCallStarted(TimePoint now)
{
    ++m_ownCalls;
    recordSample(now);
}

void LoadEstimate::onCallEnded(TimePoint now)
{
    if (m_ownCalls > 0)
        --m_ownCalls;
    recordSample(now);
}

void LoadEstimate::onReport(const LoadReport& report)
{
    if (report.measuredAt <= m_reportedAt)
        return;
    m_reportedAt = report.measuredAt;
    m_reportedCalls = static_cast<double>(report.running + report.queued);
    m_otherCalls = std::max(0.0, m_reportedCalls - ownCallsAt(report.measuredAt));
}

} // namespace foxtailwheel::routing
