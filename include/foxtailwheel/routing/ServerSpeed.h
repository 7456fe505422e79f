#pragma once

#include "foxtailwheel/base/Units.h"

#include <cstdint>

namespace foxtailwheel::routing {

/// @brief How long work takes on one server relative to the mean of its service: a lasting factor, measured from
/// response times, and a passing one, which the server reports.
class ServerSpeed {
public:
    /// @brief Records a measured time, without the passing slowdown, divided by the time expected on a mean server.
    void onMeasured(double ratio, TimePoint now);
    /// @brief Records the slowdown that the server reported; 1 is usual.
    void onSlowdown(double slowdown, TimePoint measuredAt);
    /// @brief Returns the lasting factor; above 1 for a slow server. It ages towards 1 without new measurements.
    double lastingFactor(Duration halfLife, TimePoint now) const;
    /// @brief Returns the passing slowdown, which ages towards 1.
    double slowdown(Duration halfLife, TimePoint now) const;

private:
    double m_logRatio = 0; ///< Smoothed natural logarithm of the measured ratios.
    double m_samples = 0;
    TimePoint m_measuredAt {};
    double m_slowdown = 1;
    TimePoint m_slowdownAt {};
};

} // namespace foxtailwheel::routing
