// Runs a pipeline without I/O: passes events to the state machine, executes the returned actions and supplies the time.
#include "foxtailwheel/pipeline/Run.h"

#include <iostream>

using namespace foxtailwheel;
using namespace std::chrono_literals;

namespace {

class NoHedgingPolicy final : public pipeline::RunPolicy {
public:
    Duration expectedTime(const pipeline::Stage& stage) const override { return stage.typicalTime; }
    std::optional<Duration> hedgeDelay(const pipeline::Stage& /*stage*/) const override { return std::nullopt; }
    Duration progressTimeout(const pipeline::Stage& /*stage*/) const override { return 1s; }
    bool tryAcquireRetry(const pipeline::Stage& /*stage*/, bool /*costly*/) override { return true; }
};

} // namespace

int main()
{
    config::Declarations declarations;
    declarations.services.resize(2);
    declarations.services[0].id = ServiceId("encode");
    declarations.services[1].id = ServiceId("rerank");
    declarations.services[1].dependsOn = { ServiceId("encode") };
    declarations.pipelines.push_back({ PipelineId("find"), ServiceId("rerank"), 1s, 0 });
    const auto plan
        = std::make_shared<const pipeline::Plan>(pipeline::makePlan(declarations, PipelineId("find")).value());

    NoHedgingPolicy policy;
    const TimePoint now(1h);
    pipeline::Run run({ RunId(1), plan, pipeline::makePayload("{}"), now + 1s, false }, policy);
    pipeline::Actions actions;
    run.start(now, actions);
    for (std::size_t i = 0; i < actions.size(); ++i) {
        if (const auto* call = std::get_if<pipeline::StartCall>(&actions[i])) {
            std::cout << "call " << call->stage->service << "\n";
            const auto id = call->id;
            run.onAnswer(id, pipeline::makePayload("\"done\""), now, actions);
        }
    }
    std::cout << (run.finished() ? "finished\n" : "still open\n");
    return run.finished() ? 0 : 1;
}
