#include "ForwardRun.h"

#include <algorithm>

namespace foxtailwheel::serving {

bool ForwardRun::allStagesDone() const
{
    return std::all_of(stages.begin(), stages.end(), [](const StageProgress& it) { return it.done(); });
}

std::vector<StageIndex> ForwardRun::consumersOf(StageIndex stage) const
{
    std::vector<StageIndex> found;
    for (StageIndex i = 0; i < stages.size(); ++i) {
        const auto& needs = route->stages[i].dependsOn;
        if (!stages[i].results.empty() && std::find(needs.begin(), needs.end(), stage) != needs.end())
            found.push_back(i);
    }
    return found;
}

std::vector<StageIndex> ForwardRun::finalStages() const
{
    std::vector<StageIndex> found;
    for (StageIndex i = 0; i < stages.size(); ++i) {
        if (consumersOf(i).empty())
            found.push_back(i);
    }
    return found;
}

std::vector<std::string> ForwardRun::inputs() const
{
    std::vector<std::string> handles;
    for (const auto i : finalStages()) {
        for (const auto& it : stages[i].results)
            handles.push_back(it->value);
    }
    return handles;
}

bool ForwardRun::inputsReleased() const
{
    const auto found = finalStages();
    return std::any_of(found.begin(), found.end(), [this](StageIndex i) { return stages[i].released; });
}

OpenCall* ForwardRun::findCall(CallId call)
{
    const auto it = std::find_if(calls.begin(), calls.end(), [call](const OpenCall& c) { return c.id == call; });
    return it == calls.end() ? nullptr : &*it;
}

} // namespace foxtailwheel::serving
