#include "foxtailwheel/pipeline/Plan.h"

#include <algorithm>
#include <map>

namespace foxtailwheel::pipeline {

bool Plan::hasSideEffects() const
{
    return std::any_of(stages.begin(), stages.end(), [](const Stage& it) { return !it.idempotent; });
}

Duration Plan::criticalPath(StageIndex stage, const ExpectedTime& expected) const
{
    std::vector<Duration> longest(stages.size());
    for (StageIndex i = stages.size(); i-- > stage;) {
        longest[i] += expected(stages[i]);
        for (const auto dependency : stages[i].dependsOn)
            longest[dependency] = std::max(longest[dependency], longest[i]);
    }
    return longest[stage];
}

Duration Plan::criticalPath(const ExpectedTime& expected) const
{
    std::vector<Duration> finish(stages.size());
    for (StageIndex i = 0; i < stages.size(); ++i) {
        for (const auto dependency : stages[i].dependsOn)
            finish[i] = std::max(finish[i], finish[dependency]);
        finish[i] += expected(stages[i]);
    }
    return finish.back();
}

Result<Plan> makePlan(const config::Declarations& declarations, const PipelineId& id)
{
    const auto* pipeline = declarations.findPipeline(id);
    if (pipeline == nullptr)
        return fail(Errc::NotFound, "no pipeline '" + id.value() + "' is declared");
    Plan plan;
    plan.id = id;
    plan.deadline = pipeline->deadline;
    plan.priority = pipeline->priority;
    std::map<ServiceId, StageIndex> indices;
    for (const auto& name : config::dependencyOrder(declarations, pipeline->result)) {
        const auto& service = *declarations.findService(name);
        Stage stage { name, service.kind, service.idempotent, service.typicalTime, {} };
        for (const auto& it : service.dependsOn)
            stage.dependsOn.push_back(indices.at(it));
        indices.emplace(name, plan.stages.size());
        plan.stages.push_back(std::move(stage));
    }
    if (plan.stages.empty())
        return fail(Errc::NotFound, "pipeline '" + id.value() + "' has no stage");
    return plan;
}

} // namespace foxtailwheel::pipeline
