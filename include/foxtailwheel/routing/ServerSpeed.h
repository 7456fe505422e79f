#pragma once

#include "foxtailwheel/base/Units.h"

#include <cstdint>

namespace foxtailwheel::routing {

/// @brief How long work takes on one server relative to the mean of its service: a lasting factor, measured from
/// response times, and the slowdown that the server reports. The reported slowdown has a usual level, which differs
/// between servers of unequal speed, and phases of some hundred milliseconds.
class ServerSpeed {
public:
    /// @brief Records a measured time, without the passing slowdown, divided by the time expected on a mean server.
    void onMeasured(double ratio, TimePoint now);
    /// @brief Records the slowdown that the server reported; 1 is usual.
    void onSlowdown(double slowdown, TimePoint measuredAt);
    /// @brief Returns the lasting factor; above 1 for a slow server. It ages towards 1 without new measurements.
    double lastingFactor(Duration halfLife, TimePoint now) const;
    /// @brief Returns the usual level of the reported slowdown over some seconds; it ages towards 1 without reports.
    double usualSlowdown(TimePoint now) const;
    /// @brief Returns the reported slowdown, which ages towards its usual level.
    double slowdown(Duration halfLife, TimePoint now) const;

private:
    double m_logRatio = 0; ///< Smoothed natural logarithm of the measured ratios.
    double m_samples = 0;
    TimePoint m_measuredAt {};
    double m_slowdown = 1;
    double m_slowdownSum = 0; ///< Sum of the natural logarithms of the reported slowdowns, weighted by time.
    double m_slowdownWeight = 0; ///< Sum of these weights.
    TimePoint m_slowdownAt {};
};

} // namespace foxtailwheel::routing
