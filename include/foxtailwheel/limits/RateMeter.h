#pragma once

#include "foxtailwheel/base/Units.h"

namespace foxtailwheel::limits {

/// @brief Rate of events, smoothed by an exponential window. Not thread-safe.
class RateMeter {
public:
    /// @param window Time constant of the smoothing.
    explicit RateMeter(Duration window = std::chrono::seconds(1));

    /// @brief `n` events happened.
    void add(double n, TimePoint now);
    /// @brief Events per second.
    double perSecond(TimePoint now) const;

private:
    double m_windowSeconds;
    double m_level = 0; ///< Events per second at `m_at`.
    TimePoint m_at {};
};

} // namespace foxtailwheel::limits
