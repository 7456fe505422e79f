#include "foxtailwheel/serving/Dispatcher.h"

#include "foxtailwheel/testing/TestDeclarations.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <deque>
#include <set>

using namespace foxtailwheel;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { 1h };

std::unique_ptr<serving::Dispatcher> makeTestDispatcher(std::size_t servers)
{
    serving::DispatcherOptions options;
    options.pools.self = InstanceId("instance-0");
    options.pools.zone = AvailabilityZoneId("a");
    auto dispatcher = serving::makeDispatcher(options);
    dispatcher->configure(ConfigVersion(1), testing::smallDeployment(servers));
    return dispatcher;
}

void submit(serving::Dispatcher& dispatcher, serving::Actions& out)
{
    serving::SubmitRequest request;
    request.pipeline = PipelineId("answer");
    request.account = ClientAccountId("coop");
    request.body = pipeline::makePayload("{}");
    dispatcher.submit(dispatcher.allocateRunId(), std::move(request), start, out);
}

/// Submits a booking whose claim is granted. Returns its call; nothing if no server was found.
std::optional<pipeline::AttemptId> book(serving::Dispatcher& dispatcher, TimePoint now)
{
    static int keys = 0;
    serving::SubmitRequest request;
    request.pipeline = PipelineId("book");
    request.account = ClientAccountId("coop");
    request.key = IdempotencyKey(std::to_string(++keys));
    request.body = pipeline::makePayload("{}");
    serving::Actions actions;
    const auto run = dispatcher.allocateRunId();
    dispatcher.submit(run, std::move(request), now, actions);
    std::optional<pipeline::AttemptId> call;
    for (std::size_t i = 0; i < actions.size(); ++i) {
        const auto action = actions[i];
        if (const auto* claim = std::get_if<serving::AcquireClaim>(&action))
            dispatcher.onClaim(run, claim->stage, { pipeline::ClaimState::Granted, {} }, now, actions);
        else if (const auto* send = std::get_if<serving::SendCall>(&action))
            call = send->call.id;
    }
    return call;
}

} // namespace

Test(Dispatcher, runsInProgressAtTheEndOfAPlannedStopAreEnded)
{
    const auto dispatcher = makeTestDispatcher(1);
    serving::Actions actions;
    for (int i = 0; i < 100; ++i)
        submit(*dispatcher, actions);
    cr_assert_gt(dispatcher->status().queued, 0U);
    dispatcher->stopAccepting();
    dispatcher->endAll(start, actions);
    std::size_t rejected = 0;
    std::size_t replies = 0;
    for (const auto& it : actions) {
        const auto* reply = std::get_if<serving::Reply>(&it);
        replies += reply != nullptr ? 1 : 0;
        rejected += reply != nullptr && reply->outcome.reason == pipeline::Reason::ShuttingDown ? 1 : 0;
    }
    cr_assert_eq(replies, 100U);
    cr_assert_gt(rejected, 0U, "queued runs have not run");
    cr_assert_eq(dispatcher->status().queued, 0U);
}

Test(Dispatcher, answersAllRunsWhileAFifthOfTheEnginesFail)
{
    const auto dispatcher = makeTestDispatcher(20);
    const std::set<BackendServerId> failing { BackendServerId("generate-0"), BackendServerId("generate-1"),
        BackendServerId("generate-2"), BackendServerId("generate-3") };
    serving::Actions actions;
    for (int i = 0; i < 100; ++i)
        submit(*dispatcher, actions);
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

Test(Dispatcher, serverThatAskedForAPauseGetsNoCalls)
{
    const auto dispatcher = makeTestDispatcher(2);
    const BackendServerId paused("encode-0");
    cr_assert_eq(dispatcher->onServerPaused(ServiceId("encode"), paused, 30s, start), 30s);
    cr_assert_eq(dispatcher->onServerPaused(ServiceId("encode"), paused, 9h, start), 10min, "limited");
    serving::Actions actions;
    for (int i = 0; i < 6; ++i)
        submit(*dispatcher, actions);
    std::size_t calls = 0;
    for (const auto& it : actions) {
        const auto* call = std::get_if<serving::SendCall>(&it);
        calls += call != nullptr ? 1 : 0;
        cr_assert(call == nullptr || call->server.id != paused);
    }
    cr_assert_gt(calls, 0U);
}

Test(Dispatcher, runIsRejectedAtOnceIfAStageFindsOnlyPausedServers)
{
    const auto pauseAll = [](serving::Dispatcher& dispatcher, Duration time) {
        for (const auto* it : { "generate-0", "generate-1" })
            dispatcher.onServerPaused(ServiceId("generate"), BackendServerId(it), time, start);
    };
    const auto dispatcher = makeTestDispatcher(2);
    pauseAll(*dispatcher, 15ms);
    serving::Actions actions;
    submit(*dispatcher, actions);
    const bool isSent = std::any_of(actions.begin(), actions.end(),
        [](const serving::Action& it) { return std::holds_alternative<serving::SendCall>(it); });
    cr_assert(isSent, "the pause ends before the stage is reached");
    pauseAll(*dispatcher, 3s);
    actions.clear();
    submit(*dispatcher, actions);
    const auto& outcome = std::get<serving::Reply>(actions.at(0)).outcome;
    cr_assert_eq(outcome.kind, pipeline::OutcomeKind::NotRun);
    cr_assert_eq(outcome.reason, pipeline::Reason::NoServer);
    cr_assert_eq(outcome.retryAfter, 3s);
}

Test(Dispatcher, streamThatEndsBeforeItsLastTokenIsWasted)
{
    const auto dispatcher = makeTestDispatcher(2);
    serving::Actions actions;
    submit(*dispatcher, actions);
    std::size_t streams = 0;
    for (std::size_t i = 0; i < actions.size(); ++i) {
        const auto action = actions[i];
        if (const auto* call = std::get_if<serving::SendCall>(&action)) {
            const auto& id = call->call.id;
            if (call->call.stage->kind != config::ServiceKind::ModelEngine)
                dispatcher->onAnswer(id, pipeline::makePayload("1"), start, actions);
            else
                dispatcher->onStreamEnd(id, ++streams == 1 ? 5 : 0, start, actions);
        } else if (const auto* reply = std::get_if<serving::Reply>(&action)) {
            cr_assert_eq(reply->outcome.kind, pipeline::OutcomeKind::Answered);
            cr_assert_eq(reply->costs.back().attempts, 2);
            cr_assert_eq(reply->costs.back().wasted.microCredits, reply->costs.front().calls.microCredits);
        }
    }
    cr_assert_eq(streams, 2);
    cr_assert(std::holds_alternative<serving::Reply>(actions.back()));
}

// A service with an effect was refused for good after its servers had failed once: nothing else is sent there.
Test(Dispatcher, serverOfCallsWithAnEffectIsUsedAgainAfterItHasBeenPolled)
{
    const auto dispatcher = makeTestDispatcher(1);
    const ServiceId service("booking");
    serving::Actions actions;
    for (int i = 0; i < 2; ++i) {
        const auto call = book(*dispatcher, start);
        cr_assert(call.has_value());
        dispatcher->onSent(*call, start);
        dispatcher->onFailure(*call, pipeline::CallFailure::ConnectionLost, start, actions);
    }
    cr_assert(!book(*dispatcher, start + 1s).has_value());
    dispatcher->onServerChecked(service, dispatcher->snapshot()->pools.at(service)->status().at(0).server, start + 1s);
    const auto call = book(*dispatcher, start + 1s);
    cr_assert(call.has_value());
    dispatcher->onAnswer(*call, pipeline::makePayload("1"), start + 1s, actions);
}
