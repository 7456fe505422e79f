#pragma once

#include "foxtailwheel/limits/ExtraBudget.h"
#include "foxtailwheel/pipeline/Run.h"
#include "foxtailwheel/serving/Catalog.h"

#include <functional>
#include <memory>
#include <mutex>

namespace foxtailwheel::serving {

/// @brief What runs ask about times and extra attempts, answered from the pools of the configuration in force.
///
/// Thread-safe; takes locks of pools only.
class PoolPolicy final : public pipeline::RunPolicy {
public:
    /// @param catalog Gives the configuration in force.
    /// @param extraShare Hedges and costly retries for each first attempt; 0 for none.
    PoolPolicy(std::function<std::shared_ptr<const Catalog>()> catalog, bool hedging, double retryRatio);

    Duration expectedTime(const pipeline::Stage& stage) const override;
    std::optional<Duration> hedgeDelay(const pipeline::Stage& stage) const override;
    Duration progressLimit(const pipeline::Stage& stage) const override;
    bool takeExtra(const pipeline::Stage& stage, bool costly) override;
    /// @brief A first attempt was sent while its pool was used to `utilization`.
    void earn(double utilization);

private:
    std::function<std::shared_ptr<const Catalog>()> m_catalog;
    bool m_hedging;
    std::mutex m_mutex;
    limits::ExtraBudget m_retryBudget;
};

} // namespace foxtailwheel::serving
