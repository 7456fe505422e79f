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
    std::vector<StageIndex> dependsOn; ///< Stages whose results are inputs of this one; all have a lower index.
};

/// @brief Returns the expected duration of one call of a stage.
using ExpectedTime = std::function<Duration(const Stage&)>;

/// @brief The stages of one pipeline in topological order.
struct Plan {
    PipelineId id;
    std::vector<Stage> stages;
    Duration deadline {};
    std::uint32_t priority = 0;

    /// @brief Index of the stage whose result is the answer to the caller.
    StageIndex resultStage() const { return stages.size() - 1; }
    /// @brief True if any stage is not idempotent.
    bool hasSideEffects() const;
    /// @brief Longest expected time from the start of `stage` to the end of the plan.
    Duration criticalPath(StageIndex stage, const ExpectedTime& expected) const;
    /// @brief Longest expected time of the whole plan.
    Duration criticalPath(const ExpectedTime& expected) const;
};

/// @brief Builds the plan of a declared pipeline.
/// @return `Errc::NotFound` if the pipeline is not declared or has no stage.
Result<Plan> makePlan(const config::Declarations& declarations, const PipelineId& id);

} // namespace foxtailwheel::pipeline
