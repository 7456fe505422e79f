#pragma once

#include "foxtailwheel/base/Units.h"

#include <deque>

namespace foxtailwheel::limits {

/// @brief Budget of repeated calls in any sliding window: a share of the first calls and a fixed part.
///
/// All instances share the budget, so each takes its part by the number of instances. Not thread-safe.
class WindowBudget {
public:
    /// @param share Repeated calls allowed for each first call.
    /// @param extra Repeated calls allowed besides, over all instances.
    /// @param window Length of the window.
    WindowBudget(double share, double extra, Duration window);

    /// @brief A first call was sent.
    void earn(TimePoint now);
    /// @brief Takes `n` repeated calls where the window still has room.
    bool take(std::size_t n, TimePoint now);
    /// @brief Sets the number of instances that share the fixed part.
    void setInstances(std::size_t n) { m_instances = n == 0 ? 1 : n; }
    /// @brief Repeated calls that may still be made now.
    double left(TimePoint now);

private:
    void expire(TimePoint now);

    double m_share;
    double m_extra;
    Duration m_window;
    std::size_t m_instances = 1;
    std::deque<TimePoint> m_first;
    std::deque<TimePoint> m_repeated;
};

} // namespace foxtailwheel::limits
