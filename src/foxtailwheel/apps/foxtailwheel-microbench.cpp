#include "foxtailwheel/base/Hash.h"
#include "foxtailwheel/limits/FairQueue.h"
#include "foxtailwheel/serving/Dispatcher.h"

#include <benchmark/benchmark.h>

namespace {

using namespace foxtailwheel;
using namespace std::chrono_literals;

constexpr TimePoint startTime { 1h };

config::Service makeService(std::int64_t servers)
{
    config::Service service;
    service.id = ServiceId("generate");
    service.kind = config::ServiceKind::ModelEngine;
    service.typicalTime = 400ms;
    service.concurrency = 8;
    for (std::int64_t i = 0; i < servers; ++i)
        service.servers.push_back({ BackendServerId("g" + std::to_string(i)), "127.0.0.1", 9000,
            AvailabilityZoneId(i % 4 == 0 ? "a" : "b") });
    return service;
}

std::shared_ptr<config::Declarations> makeDeclarations(std::int64_t servers, std::int64_t accounts)
{
    auto declarations = std::make_shared<config::Declarations>();
    declarations->zones = { { AvailabilityZoneId("a"), "r" }, { AvailabilityZoneId("b"), "r" } };
    declarations->links = { { AvailabilityZoneId("a"), AvailabilityZoneId("b"), 3ms, { 8 } } };
    declarations->services.push_back(makeService(servers));
    declarations->pipelines.push_back({ PipelineId("answer"), ServiceId("generate"), 9s, 0 });
    for (std::int64_t i = 0; i < accounts; ++i)
        declarations->accounts.push_back(
            { ClientAccountId("account-" + std::to_string(i)), 1, 0, sha256Hex(std::to_string(i)) });
    return declarations;
}

/// Selects a server and records the completion of the call.
void placeCall(benchmark::State& state)
{
    routing::PoolOptions options;
    options.self = InstanceId("instance-0");
    options.zone = AvailabilityZoneId("a");
    const auto pool = routing::ServerPool::create(makeService(state.range(0)), *makeDeclarations(1, 1), options);
    TimePoint now = startTime;
    std::uint64_t prefix = 0;
    for (auto _ : state) {
        now += 1us;
        const auto placement = pool->place({ ++prefix % 1000, {}, false }, now);
        pool->onCallEnded(placement->server.id, { routing::CallOutcome::Success, 400ms, {} }, now);
    }
}
BENCHMARK(placeCall)->Arg(10)->Arg(100)->Arg(1000)->Arg(10000);

/// One complete run of a single-stage pipeline: admission, placement, response, reply.
void wholeRun(benchmark::State& state)
{
    serving::DispatcherOptions options;
    options.pools.self = InstanceId("instance-0");
    options.pools.zone = AvailabilityZoneId("a");
    options.hedging = false;
    const auto dispatcher = serving::makeDispatcher(options);
    dispatcher->configure(ConfigVersion(1), makeDeclarations(state.range(0), state.range(1)));
    TimePoint now = startTime;
    std::int64_t n = 0;
    const auto body = pipeline::makePayload("{}");
    for (auto _ : state) {
        now += 1us;
        serving::SubmitRequest request;
        request.pipeline = PipelineId("answer");
        request.account = ClientAccountId("account-" + std::to_string(++n % state.range(1)));
        request.body = body;
        serving::Actions actions;
        dispatcher->submit(dispatcher->allocateRunId(), std::move(request), now, actions);
        // With hedging off, SendCall is the last action.
        const auto id = std::get<serving::SendCall>(actions.back()).call.id;
        dispatcher->onStreamEnd(id, 0, now, actions);
        benchmark::DoNotOptimize(actions);
    }
}
BENCHMARK(wholeRun)
    ->Args({ 20, 5 })
    ->Args({ 10000, 5 })
    ->Args({ 20, 1000 })
    ->Args({ 20, 46000 })
    ->Args({ 10000, 46000 });

/// Enqueues and dequeues one run while each of `state.range(0)` accounts has a queued run.
void fairQueue(benchmark::State& state)
{
    limits::FairQueue queue;
    std::uint64_t n = 0;
    const auto push = [&] {
        ++n;
        queue.push(ClientAccountId("account-" + std::to_string(n % static_cast<std::uint64_t>(state.range(0)))), 1,
            { RunId(n), 0.4, 0, startTime });
    };
    for (std::int64_t i = 0; i < state.range(0); ++i)
        push();
    for (auto _ : state) {
        push();
        benchmark::DoNotOptimize(queue.costAhead(ClientAccountId("account-1"), 1));
        benchmark::DoNotOptimize(queue.pop());
    }
}
BENCHMARK(fairQueue)->Arg(5)->Arg(1000)->Arg(46000);

} // namespace

BENCHMARK_MAIN();
