#pragma once

namespace foxtailwheel::limits {

/// @brief Budget of hedges and retries as a share of the first attempts, not a count for each request.
///
/// The share shrinks as the pool fills, so that a loaded pool gets no retry storm. Not thread-safe.
class ExtraBudget {
public:
    /// @param share Extra attempts allowed for each first attempt of an idle pool.
    /// @param burst Most extra attempts saved up.
    explicit ExtraBudget(double share, double burst = 10);

    /// @brief A first attempt was started while the pool was used to `utilization` (0 idle, 1 full).
    void earn(double utilization);
    /// @brief Takes `n` extra attempts where the budget allows them.
    bool take(double n);

private:
    double m_share;
    double m_burst;
    double m_level;
};

} // namespace foxtailwheel::limits
