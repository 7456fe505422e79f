#include "foxtailwheel/routing/LoadExchange.h"

namespace foxtailwheel::routing {

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
