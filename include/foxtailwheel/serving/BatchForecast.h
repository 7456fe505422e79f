#pragma once

#include "foxtailwheel/base/Units.h"
#include "foxtailwheel/config/Routes.h"
#include "foxtailwheel/limits/RateMeter.h"

#include <cstdint>
#include <map>

namespace foxtailwheel::serving {

/// @brief Foretells how long pieces wait, from what comes in and from what calls take.
///
/// More urgent pieces that are still to come go ahead, so a piece only gets what they leave of the servers. Not
/// thread-safe.
class BatchForecast {
public:
    explicit BatchForecast(const config::BatchLimits& limits);

    void setLimits(const config::BatchLimits& limits) { m_limits = limits; }
    /// @brief Pieces of one priority came in that can meet their goal.
    void arrived(std::uint32_t priority, std::size_t pieces, TimePoint now);
    /// @brief A call was answered.
    void answered(std::size_t pieces, Duration time);
    /// @brief Time of a call with so many pieces, as calls took of late.
    Duration callTime(std::size_t pieces) const;
    /// @brief Pieces that so many busy servers make in a second, with full calls.
    double capacity(double servers) const;
    /// @brief Time until pieces are made that have `ahead` others before them.
    /// @param late Their goal cannot be met any more, so that all others go first.
    /// @param ahead Pieces that wait and go first, the asked ones included.
    /// @param servers Calls in progress at once.
    Duration wait(std::uint32_t priority, bool late, std::size_t ahead, double servers, TimePoint now) const;

private:
    config::BatchLimits m_limits;
    std::map<std::uint32_t, limits::RateMeter> m_arrivals; ///< By priority.
    double m_slowness = 1; ///< Measured time of calls against the declared time, smoothed.
};

} // namespace foxtailwheel::serving
