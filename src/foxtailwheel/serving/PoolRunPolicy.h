#pragma once

#include "foxtailwheel/limits/RetryBudget.h"
#include "foxtailwheel/pipeline/Run.h"
#include "foxtailwheel/serving/ConfigSnapshot.h"

#include <functional>
#include <memory>
#include <mutex>

namespace foxtailwheel::serving {

/// @brief Timeouts, hedging delays and the retry budget of runs, based on the server pools of the active configuration.
///
/// Thread-safe; acquires no locks other than its own and those of pools.
class PoolRunPolicy final : public pipeline::RunPolicy {
public:
    /// @param currentSnapshot Returns the active configuration.
    /// @param hedging False disables hedging.
    /// @param retryBudgetFraction Hedges and costly retries allowed per first attempt; 0 for none.
    PoolRunPolicy(std::function<std::shared_ptr<const ConfigSnapshot>()> currentSnapshot, bool hedging,
        double retryBudgetFraction);

    Duration expectedTime(const pipeline::Stage& stage) const override;
    std::optional<Duration> hedgeDelay(const pipeline::Stage& stage) const override;
    Duration progressTimeout(const pipeline::Stage& stage) const override;
    bool tryAcquireRetry(const pipeline::Stage& stage, bool costly) override;
    /// @brief Credits the retry budget for a first attempt, sent at the given utilization of its pool.
    void recordFirstAttempt(double utilization);

private:
    std::function<std::shared_ptr<const ConfigSnapshot>()> m_currentSnapshot;
    bool m_hedging;
    std::mutex m_mutex;
    limits::RetryBudget m_retryBudget;
};

} // namespace foxtailwheel::serving
