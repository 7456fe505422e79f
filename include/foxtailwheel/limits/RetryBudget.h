#pragma once

namespace foxtailwheel::limits {

/// @brief Limits retries and hedges to a share of the first attempts, rather than to a count per request.
///
/// The share shrinks as the pool's utilization grows, which prevents retry storms. Not thread-safe.
class RetryBudget {
public:
    /// @param share Retries and hedges allowed per first attempt while the pool is idle.
    /// @param burst Maximum number of retries and hedges that can accumulate.
    explicit RetryBudget(double share, double burst = 10);

    /// @brief Records a first attempt that started at the given pool utilization (0 idle, 1 full).
    void onFirstAttempt(double utilization);
    /// @brief Takes `n` retries or hedges from the budget; returns false and takes nothing if fewer remain.
    bool tryAcquire(double n);

private:
    double m_share;
    double m_burst;
    double m_balance;
};

} // namespace foxtailwheel::limits
