#pragma once

#include "foxtailwheel/base/Units.h"

namespace foxtailwheel::limits {

/// @brief Measures the rate of events as an exponentially weighted moving average. Not thread-safe.
class RateMeter {
public:
    /// @param window Time constant of the smoothing.
    explicit RateMeter(Duration window = std::chrono::seconds(1));

    /// @brief Records `n` events.
    void add(double n, TimePoint now);
    /// @brief Smoothed rate, in events per second.
    double perSecond(TimePoint now) const;

private:
    double m_windowSeconds;
    double m_rate = 0; ///< Events per second at `m_updatedAt`.
    TimePoint m_updatedAt {};
};

} // namespace foxtailwheel::limits
