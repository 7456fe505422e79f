#include "foxtailwheel/serving/BatchForecast.h"
#include "foxtailwheel/serving/BatchQueue.h"
#include "foxtailwheel/serving/ResultCapacity.h"

#include <criterion/criterion.h>

using namespace foxtailwheel;
using namespace std::chrono_literals;
using namespace foxtailwheel::serving;

namespace {

constexpr TimePoint start { 1h };

/// A service whose servers store few results: 143 of 60 kB.
constexpr config::BatchLimits smallStore { 1, 2, 66, 200ms, 2600us, 4s, 8'600'000 };
constexpr std::uint64_t resultBytes = 60'000;

/// One server that is busy with calls that never end.
struct BusyQueue {
    BusyQueue()
    {
        config::Service service;
        service.id = ServiceId("store");
        service.typicalTime = smallStore.callTime;
        service.servers.push_back({ BackendServerId("s"), "127.0.0.1", 9000, AvailabilityZoneId("a") });
        routing::PoolOptions options;
        options.self = InstanceId("i");
        pool = routing::ServerPool::create(service, {}, options);
        queue = std::make_unique<BatchQueue>(service.id, smallStore, *pool,
            BatchQueueCallbacks {
                [this] { return CallId(++lastCall); }, [](std::size_t, TimePoint) { return false; } });
    }

    void add(std::uint32_t priority, std::size_t pieces, Duration target)
    {
        PieceGroup group { PieceGroupId(++lastGroup), {}, priority, start + target, start + 60s, {}, start + target,
            resultBytes };
        for (std::uint32_t i = 0; i < pieces; ++i)
            group.pieces.push_back({ "r" + std::to_string(lastGroup), 0, i, "k", {} });
        std::vector<BatchAction> actions;
        queue->add(std::move(group), start, actions);
    }

    std::unique_ptr<routing::ServerPool> pool;
    std::unique_ptr<BatchQueue> queue;
    std::uint64_t lastCall = 0;
    std::uint64_t lastGroup = 0;
};

} // namespace

// A burst of a stage whose servers store few results: a forecast that assumes full calls admits requests that then time
// out while they wait.
Test(OverloadForecast, throughputIsLimitedByTheCapacityForResults)
{
    BatchForecast forecast(smallStore);
    const auto full = forecast.throughput(15);
    cr_assert_float_eq(full, 15 * 66 / 0.3716, 1);
    forecast.setResultsPerServer(ResultCapacity::Usage { 143, 750ms });
    // Calls of 41.5 pieces take 0.308 s, and 41.5 x (0.308 + 0.75) / 0.308 = 143 results are stored.
    cr_assert_float_eq(forecast.throughput(15), 15 * 41.5 / 0.308, 10, "%g", forecast.throughput(15));
    forecast.setResultsPerServer(ResultCapacity::Usage { 143, 100ms });
    cr_assert_float_eq(forecast.throughput(15), full, 1, "results that are released soon don't limit the calls");
    forecast.setResultsPerServer(ResultCapacity::Usage { 0.5, 10s });
    cr_assert_gt(forecast.throughput(1), 0);
}

// A burst of four seconds: requests that could be answered after it must not be refused because its rate is expected to
// last for ever.
Test(OverloadForecast, burstIsExpectedToEnd)
{
    const auto expectedAfter = [](bool expects, double burstRate) {
        BatchForecast forecast(smallStore);
        forecast.setExpectsBurstsToEnd(expects);
        const auto throughput = forecast.throughput(15);
        for (int i = 0; i < 3000; ++i) {
            const double rate = i < 2600 ? 0.4 * throughput : burstRate * throughput;
            forecast.recordArrival(0, static_cast<std::size_t>(rate / 100), start + i * 10ms);
        }
        return forecast.expectedWait(0, true, 1500, 15, start + 30s);
    };
    cr_assert_gt(expectedAfter(false, 1), 10s);
    const auto wait = expectedAfter(true, 1);
    cr_assert(wait > 1s && wait < 4s, "%g ms", toMilliseconds(wait));
    cr_assert_lt(expectedAfter(true, 0.4), 1500ms, "usual load");
    // More urgent pieces than can be processed wait themselves, and are sent before.
    cr_assert_gt(expectedAfter(true, 1.5), wait);
}

// Pieces that fit into the next call must not be refused because arrivals exceed the throughput.
Test(OverloadForecast, emptyQueueIsNotWaitedFor)
{
    BatchForecast forecast(smallStore);
    forecast.setExpectsBurstsToEnd(true);
    const auto throughput = forecast.throughput(15);
    for (int i = 0; i < 3000; ++i)
        forecast.recordArrival(0, static_cast<std::size_t>((i < 2600 ? 1 : 3) * throughput / 100), start + i * 10ms);
    cr_assert_lt(forecast.expectedWait(0, true, 6, 15, start + 30s), 500ms);
}

// The usual rate must not be taken for zero within the first seconds of an instance.
Test(OverloadForecast, usualRateIsKnownSoonAfterTheStart)
{
    BatchForecast forecast(smallStore);
    forecast.setExpectsBurstsToEnd(true);
    const auto throughput = forecast.throughput(15);
    for (int i = 0; i < 200; ++i)
        forecast.recordArrival(0, static_cast<std::size_t>(0.9 * throughput / 100), start + i * 10ms);
    cr_assert_gt(forecast.expectedWait(0, true, 1500, 15, start + 2s), 2s);
}

// The retention that is measured must be that of the results, and none must be reported before the first release.
Test(OverloadForecast, usageIsMeasuredFromReleases)
{
    ResultCapacity capacity;
    capacity.setLimits(1000, 4s);
    const BackendServerId server("s");
    cr_assert(!capacity.usage());
    for (int i = 0; i < 5; ++i) {
        const auto handle = std::to_string(i);
        capacity.addResult(server, handle, 100, start + i * 1s);
        capacity.release(server, handle, start + i * 1s + 500ms);
    }
    cr_assert(capacity.usage().has_value());
    cr_assert_float_eq(capacity.usage()->resultsPerServer, 10, 1e-9);
    cr_assert(capacity.usage()->retention >= 500ms && capacity.usage()->retention <= 550ms);
}

// A burst in which a less urgent kind of request with a long deadline queues up: an urgent request that has become late
// must not be refused because of pieces that are sent after its own.
Test(OverloadForecast, lateRequestDoesNotWaitForLessUrgentLateOnes)
{
    BusyQueue fixture;
    fixture.add(2, 2000, 0s);
    const auto before = fixture.queue->expectedWait(0, true, 6, start);
    cr_assert_gt(before, 5s, "%g ms", toMilliseconds(before));
    fixture.queue->setOverloadForecast(true);
    const auto urgent = fixture.queue->expectedWait(0, true, 6, start);
    cr_assert_lt(urgent, 1s, "%g ms", toMilliseconds(urgent));
    cr_assert_geq(fixture.queue->expectedWait(2, true, 6, start), before, "less urgent ones wait for all");
    fixture.add(1, 2000, 30s);
    cr_assert_gt(fixture.queue->expectedWait(0, true, 6, start), 5s, "pieces that can be timely are sent before");
}
