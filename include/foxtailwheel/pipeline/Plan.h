#pragma once

#include "foxtailwheel/base/Error.h"
#include "foxtailwheel/base/Ids.h"
#include "foxtailwheel/config/Declarations.h"

#include <functional>
#include <vector>

namespace foxtailwheel::pipeline {

/// @brief One stage of a plan.
struct Stage {
    ServiceId service;
    config::ServiceKind kind = config::ServiceKind::Plain;
    bool idempotent = true;
    Duration typicalTime {};
    std::vector<StageIndex> needs; ///< Stages whose results this one takes; all have a lower index.
};

/// @brief Expected time of one call to a service.
using ExpectedTime = std::function<Duration(const Stage&)>;

/// @brief The stages of one pipeline in an order that respects their dependencies.
struct Plan {
    PipelineId id;
    std::vector<Stage> stages;
    Duration deadline {};
    std::uint32_t priority = 0;

    /// @brief The stage whose result is the caller's answer.
    StageIndex result() const { return stages.size() - 1; }
    /// @brief True where some stage is not idempotent.
    bool hasEffect() const;
    /// @brief Longest expected time from the start of `stage` to the end of the plan.
    Duration criticalPath(StageIndex stage, const ExpectedTime& expected) const;
    /// @brief Longest expected time of the whole plan.
    Duration criticalPath(const ExpectedTime& expected) const;
};

/// @brief Makes the plan of a declared pipeline.
/// @return `Errc::NotFound` where the pipeline is not declared.
Result<Plan> makePlan(const config::Declarations& declarations, const PipelineId& id);

} // namespace foxtailwheel::pipeline
