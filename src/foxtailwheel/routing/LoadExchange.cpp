#include "foxtailwheel/routing/LoadExchange.h"

#include <algorithm>
#include <cmath>

namespace foxtailwheel::routing {

namespace {

    /// Time on the network does not count in the age of a report, so a copy that took a longer way seems to be newer.
    /// It must not count as another measurement.
    constexpr Duration sameReportTolerance = std::chrono::milliseconds(100);

    bool isSameMeasurement(const SharedLoad& known, const SharedLoad& report)
    {
        return known.running == report.running && known.queued == report.queued
            && std::abs(known.slowdown - report.slowdown) < 0.01;
    }

} // namespace

LoadExchange::LoadExchange(LoadExchangeOptions options)
    : m_options(options)
{
}

void LoadExchange::dropOldest()
{
    m_reports.erase(m_byTime.begin()->second);
    m_byTime.erase(m_byTime.begin());
}

bool LoadExchange::add(const SharedLoad& report, TimePoint now)
{
    if (report.age < Duration {} || report.age > m_options.maxAge)
        return false;
    const auto measuredAt = now - report.age;
    const auto known = m_reports.find(report.server);
    if (known != m_reports.end()) {
        if (known->second.position->first >= measuredAt)
            return false;
        if (isSameMeasurement(known->second.report, report)
            && measuredAt - known->second.position->first < sameReportTolerance) {
            // The ratio is measured after the report, and may arrive later.
            const bool isNew = known->second.report.timeRatio <= 0 && report.timeRatio > 0;
            known->second.report.timeRatio = std::max(known->second.report.timeRatio, report.timeRatio);
            return isNew;
        }
        m_byTime.erase(known->second.position);
    } else if (m_reports.size() >= m_options.maxServers)
        dropOldest();
    m_reports[report.server] = { report, m_byTime.emplace(measuredAt, report.server) };
    return true;
}

void LoadExchange::setTimeRatio(std::uint64_t server, double ratio)
{
    if (const auto known = m_reports.find(server); known != m_reports.end())
        known->second.report.timeRatio = ratio;
}

std::vector<SharedLoad> LoadExchange::newest(TimePoint now)
{
    while (!m_byTime.empty() && now - m_byTime.begin()->first > m_options.maxAge)
        dropOldest();
    std::vector<SharedLoad> reports;
    for (auto it = m_byTime.rbegin(); it != m_byTime.rend() && reports.size() < m_options.maxReports; ++it) {
        auto report = m_reports.at(it->second).report;
        report.age = now - it->first;
        reports.push_back(report);
    }
    return reports;
}

Duration LoadExchange::meanAge(TimePoint now) const
{
    Duration sum {};
    for (const auto& it : m_byTime)
        sum += now - it.first;
    return m_byTime.empty() ? sum : sum / static_cast<long>(m_byTime.size());
}

} // namespace foxtailwheel::routing
