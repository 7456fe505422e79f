#pragma once

#include "foxtailwheel/base/Ids.h"
#include "foxtailwheel/base/Units.h"
#include "foxtailwheel/serving/BatchForecast.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace foxtailwheel::serving {

/// @brief Foretells when pieces would be made by the servers of their own zone, so that a queue can tell which of them
/// to send to another zone. Made anew for each decision; not thread-safe.
class ZoneForecast {
public:
    /// @param forecast Outlives this object.
    /// @param pieces Most pieces of one call.
    ZoneForecast(const BatchForecast& forecast, std::uint32_t pieces)
        : m_forecast(forecast)
        , m_pieces(pieces)
    {
    }

    /// @brief A server takes its next call at `freeAt`.
    void addServer(const AvailabilityZoneId& zone, TimePoint freeAt);
    /// @brief When a piece would be made in a zone that has `ahead` others before it.
    /// @return The end of time where the zone has no server.
    TimePoint madeBy(const AvailabilityZoneId& zone, std::size_t ahead) const;
    /// @brief True where a piece would not leave with the next call of any server of the zone.
    bool exceedsNextCalls(const AvailabilityZoneId& zone, std::size_t ahead) const;

private:
    const BatchForecast& m_forecast;
    std::uint32_t m_pieces;
    std::map<AvailabilityZoneId, std::vector<TimePoint>> m_free; ///< In ascending order.
};

} // namespace foxtailwheel::serving
