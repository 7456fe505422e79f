#include "foxtailwheel/serving/Dispatcher.h"

#include "foxtailwheel/testing/TestDeclarations.h"

#include <criterion/criterion.h>
#include <deque>
#include <set>

using namespace foxtailwheel;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { 1h };

} // namespace

Test(Dispatcher, answersAllRunsWhileAFifthOfTheEnginesFail)
{
    serving::DispatcherOptions options;
    options.pools.self = InstanceId("instance-0");
    options.pools.zone = AvailabilityZoneId("a");
    const auto dispatcher = serving::makeDispatcher(options);
    dispatcher->configure(ConfigVersion(1), testing::smallDeployment(20));
    const std::set<BackendServerId> failing { BackendServerId("generate-0"), BackendServerId("generate-1"),
        BackendServerId("generate-2"), BackendServerId("generate-3") };
    serving::Actions actions;
    for (int i = 0; i < 100; ++i) {
        serving::SubmitRequest request;
        request.pipeline = PipelineId("answer");
        request.account = ClientAccountId("coop");
        request.body = pipeline::makePayload("{}");
        dispatcher->submit(dispatcher->allocateRunId(), std::move(request), start, actions);
    }
    std::size_t answered = 0;
    std::deque<serving::Action> pending(actions.begin(), actions.end());
    while (!pending.empty()) {
        const auto action = std::move(pending.front());
        pending.pop_front();
        serving::Actions followUps;
        if (const auto* call = std::get_if<serving::SendCall>(&action)) {
            const auto id = call->call.id;
            if (failing.contains(call->server.id))
                dispatcher->onFailure(id, pipeline::CallFailure::ConnectionLost, start, followUps);
            else if (call->call.stage->kind == config::ServiceKind::ModelEngine)
                dispatcher->onStreamEnd(id, 0, start, followUps);
            else
                dispatcher->onAnswer(id, pipeline::makePayload("1"), start, followUps);
        } else if (const auto* reply = std::get_if<serving::Reply>(&action)) {
            answered += reply->outcome.kind == pipeline::OutcomeKind::Answered ? 1 : 0;
        }
        pending.insert(pending.end(), followUps.begin(), followUps.end());
    }
    cr_assert_eq(answered, 100U);
    cr_assert_eq(dispatcher->status().runs, 0U);
}
