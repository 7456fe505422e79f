#pragma once

#include "foxtailwheel/base/Ids.h"
#include "foxtailwheel/base/Units.h"
#include "foxtailwheel/serving/BatchForecast.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace foxtailwheel::serving {

/// @brief Estimates when the servers of a zone would complete queued pieces, so that a queue can decide which pieces to
/// send to another zone. Built for a single decision; not thread-safe.
class ZoneForecast {
public:
    /// @param forecast Must outlive this object.
    /// @param maxPieces Maximum number of pieces in one call.
    ZoneForecast(const BatchForecast& forecast, std::uint32_t maxPieces)
        : m_forecast(forecast)
        , m_maxPieces(maxPieces)
    {
    }

    /// @brief Adds a server that can start its next call at `availableAt`.
    void addServer(const AvailabilityZoneId& zone, TimePoint availableAt);
    /// @brief Estimated completion time of a piece in a zone with `piecesAhead` pieces queued before it.
    /// @return `TimePoint::max()` if the zone has no server.
    TimePoint estimateCompletion(const AvailabilityZoneId& zone, std::size_t piecesAhead) const;
    /// @brief True if the next call of each server in the zone would be full before this piece is sent.
    bool exceedsNextCalls(const AvailabilityZoneId& zone, std::size_t piecesAhead) const;

private:
    const BatchForecast& m_forecast;
    std::uint32_t m_maxPieces;
    std::map<AvailabilityZoneId, std::vector<TimePoint>>
        m_availableAt; ///< Start of the next call of each server, in ascending order.
};

} // namespace foxtailwheel::serving
