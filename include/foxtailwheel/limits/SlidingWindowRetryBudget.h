#pragma once

#include "foxtailwheel/base/Units.h"

#include <deque>

namespace foxtailwheel::limits {

/// @brief Limits retries over a sliding window to a share of the first calls plus a fixed number.
///
/// The fixed number is divided equally among the instances. Not thread-safe.
class SlidingWindowRetryBudget {
public:
    /// @param share Retries allowed per first call.
    /// @param fixedRetries Additional retries allowed per window, over all instances.
    /// @param window Length of the window.
    SlidingWindowRetryBudget(double share, double fixedRetries, Duration window);

    /// @brief Records a first call.
    void onFirstCall(TimePoint now);
    /// @brief Takes `n` retries from the budget; returns false and takes nothing if fewer remain.
    bool tryAcquire(std::size_t n, TimePoint now);
    /// @brief Sets the number of instances that share the fixed number of retries.
    void setInstanceCount(std::size_t n) { m_instanceCount = n == 0 ? 1 : n; }
    /// @brief Number of retries that remain in the window that ends now; negative if the budget is exceeded.
    double remaining(TimePoint now);

private:
    void evictExpired(TimePoint now);

    double m_share;
    double m_fixedRetries;
    Duration m_window;
    std::size_t m_instanceCount = 1;
    std::deque<TimePoint> m_firstCalls;
    std::deque<TimePoint> m_retries;
};

} // namespace foxtailwheel::limits
