#include "foxtailwheel/serving/ZoneForecast.h"

#include <algorithm>

namespace foxtailwheel::serving {

void ZoneForecast::addServer(const AvailabilityZoneId& zone, TimePoint freeAt)
{
    auto& times = m_free[zone];
    times.insert(std::upper_bound(times.begin(), times.end(), freeAt), freeAt);
}

TimePoint ZoneForecast::madeBy(const AvailabilityZoneId& zone, std::size_t ahead) const
{
    const auto servers = m_free.find(zone);
    if (servers == m_free.end())
        return TimePoint::max();
    const auto& times = servers->second;
    const auto calls = ahead / m_pieces;
    const auto rounds = static_cast<std::int64_t>(calls / times.size());
    const auto inCall = ahead % m_pieces + 1;
    return times[calls % times.size()] + rounds * m_forecast.callTime(m_pieces) + m_forecast.callTime(inCall);
}

bool ZoneForecast::exceedsNextCalls(const AvailabilityZoneId& zone, std::size_t ahead) const
{
    const auto servers = m_free.find(zone);
    return servers == m_free.end() || ahead >= servers->second.size() * m_pieces;
}

} // namespace foxtailwheel::serving
