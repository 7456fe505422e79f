#include "foxtailwheel/serving/ZoneForecast.h"

#include <algorithm>

namespace foxtailwheel::serving {

void ZoneForecast::addServer(const AvailabilityZoneId& zone, TimePoint availableAt)
{
    auto& times = m_availableAt[zone];
    times.insert(std::upper_bound(times.begin(), times.end(), availableAt), availableAt);
}

TimePoint ZoneForecast::estimateCompletion(const AvailabilityZoneId& zone, std::size_t piecesAhead) const
{
    const auto servers = m_availableAt.find(zone);
    if (servers == m_availableAt.end())
        return TimePoint::max();
    const auto& times = servers->second;
    const auto calls = piecesAhead / m_maxPieces;
    const auto rounds = static_cast<std::int64_t>(calls / times.size());
    const auto piecesInCall = piecesAhead % m_maxPieces + 1;
    return times[calls % times.size()] + rounds * m_forecast.callTime(m_maxPieces) + m_forecast.callTime(piecesInCall);
}

bool ZoneForecast::exceedsNextCalls(const AvailabilityZoneId& zone, std::size_t piecesAhead) const
{
    const auto servers = m_availableAt.find(zone);
    return servers == m_availableAt.end() || piecesAhead >= servers->second.size() * m_maxPieces;
}

} // namespace foxtailwheel::serving
