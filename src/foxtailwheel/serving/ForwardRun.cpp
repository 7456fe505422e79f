#include "ForwardRun.h"

#include <algorithm>

namespace foxtailwheel::serving {

bool ForwardRun::allStagesDone() const
{
    return std::all_of(stages.begin(), stages.end(), [](const StageProgress& it) { return it.done(); });
}

std::vector<std::string> ForwardRun::inputs() const
{
    std::vector<bool> consumed(stages.size(), false);
    for (const auto& it : route->stages) {
        for (const auto needed : it.dependsOn)
            consumed[needed] = true;
    }
    std::vector<std::string> handles;
    for (StageIndex i = 0; i < stages.size(); ++i) {
        if (consumed[i])
            continue;
        for (const auto& it : stages[i].results)
            handles.push_back(it->value);
    }
    return handles;
}

OpenCall* ForwardRun::findCall(CallId call)
{
    const auto it = std::find_if(calls.begin(), calls.end(), [call](const OpenCall& c) { return c.id == call; });
    return it == calls.end() ? nullptr : &*it;
}

} // namespace foxtailwheel::serving
