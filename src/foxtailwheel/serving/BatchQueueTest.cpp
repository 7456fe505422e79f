#include "foxtailwheel/serving/BatchQueue.h"

#include "foxtailwheel/serving/BatchForecast.h"
#include "foxtailwheel/serving/ResultCapacity.h"

#include <criterion/criterion.h>

using namespace foxtailwheel;
using namespace std::chrono_literals;
using namespace foxtailwheel::serving;

namespace {

constexpr TimePoint start { 1h };

config::BatchLimits tenPieces()
{
    return { 1, 2, 10, 200ms, 17ms, 4s, 22'000'000 };
}

/// A queue in front of servers with one slot each. The test ends the calls.
struct QueueFixture {
    explicit QueueFixture(const std::vector<std::string>& zones, config::BatchLimits limits = tenPieces())
    {
        config::Service service;
        service.id = ServiceId("portal");
        service.typicalTime = limits.callTime + limits.pieceTime;
        for (std::size_t i = 0; i < zones.size(); ++i)
            service.servers.push_back({ BackendServerId("s" + std::to_string(i)), "127.0.0.1",
                static_cast<std::uint16_t>(9000 + i), AvailabilityZoneId(zones[i]) });
        routing::PoolOptions options;
        options.self = InstanceId("i");
        options.zone = AvailabilityZoneId(zones.front());
        pool = routing::ServerPool::create(service, {}, options);
        queue = std::make_unique<BatchQueue>(service.id, limits, *pool,
            BatchQueueCallbacks { [this] { return CallId(++lastCall); },
                [this](std::size_t n, TimePoint) { return n <= retryBudget && (retryBudget -= n, true); } });
    }

    /// Adds a group of pieces and collects the resulting actions.
    void add(std::uint64_t group, std::size_t pieces, TimePoint now, std::uint32_t priority = 0, Duration target = 2s,
        Duration deadline = 8s, const std::string& zone = {}, std::uint64_t bytes = 1000)
    {
        PieceGroup request { PieceGroupId(group), {}, priority, now + target, now + deadline, {}, now + target, bytes };
        if (!zone.empty())
            request.preferredZone = AvailabilityZoneId(zone);
        for (std::uint32_t i = 0; i < pieces; ++i)
            request.pieces.push_back({ "r" + std::to_string(group), 0, i, "k", {} });
        collect([&](auto& actions) { queue->add(std::move(request), now, actions); });
    }

    /// Ends a call with a result for each piece.
    void finishCall(const SendBatch& call, TimePoint now, BatchOutcome outcome = BatchOutcome::Answered)
    {
        std::vector<PieceResult> results;
        for (const auto& it : call.pieces)
            results.emplace_back(ResultHandle { it.request + "/" + std::to_string(it.index), call.server });
        collect([&](auto& actions) { queue->onCallEnd(call.call, outcome, results, now, actions); });
    }

    void dispatch(TimePoint now)
    {
        collect([&](auto& actions) { queue->dispatch(now, actions); });
    }

    template <class Work> void collect(Work work)
    {
        std::vector<BatchAction> actions;
        work(actions);
        for (const auto& it : actions) {
            if (const auto* send = std::get_if<SendBatch>(&it))
                sent.push_back(*send);
            else
                done.push_back(std::get<PieceDone>(it));
        }
    }

    std::unique_ptr<routing::ServerPool> pool;
    std::unique_ptr<BatchQueue> queue;
    std::uint64_t lastCall = 0;
    std::size_t retryBudget = 100;
    std::vector<SendBatch> sent;
    std::vector<PieceDone> done;
};

} // namespace

Test(BatchQueue, idleServerReceivesAPieceImmediately)
{
    QueueFixture fixture({ "a" });
    fixture.add(1, 1, start);
    cr_assert_eq(fixture.sent.size(), 1);
    cr_assert_eq(fixture.sent[0].pieces.size(), 1);
}

Test(BatchQueue, piecesOfManyRequestsFillTheNextCallWhileAllServersAreBusy)
{
    QueueFixture fixture({ "a" });
    fixture.add(1, 1, start);
    for (std::uint64_t i = 2; i < 16; ++i)
        fixture.add(i, 1, start + 10ms);
    cr_assert_eq(fixture.sent.size(), 1);
    fixture.finishCall(fixture.sent[0], start + 217ms);
    cr_assert_eq(fixture.sent.size(), 2);
    cr_assert_eq(fixture.sent[1].pieces.size(), 10);
    cr_assert_eq(fixture.queue->waitingCount(), 4);
}

Test(BatchQueue, piecesThatCanMeetTheirTargetAreSentFirstThenByPriority)
{
    QueueFixture fixture({ "a" });
    fixture.add(1, 1, start);
    fixture.add(2, 6, start, 0, 50ms); // Cannot meet its latency target.
    fixture.add(3, 6, start, 2);
    fixture.add(4, 3, start, 1);
    fixture.finishCall(fixture.sent[0], start + 217ms);
    const auto& pieces = fixture.sent[1].pieces;
    cr_assert_eq(pieces.size(), 10);
    for (std::size_t i = 0; i < 3; ++i)
        cr_assert_eq(pieces[i].request, "r4");
    for (std::size_t i = 3; i < 9; ++i)
        cr_assert_eq(pieces[i].request, "r3");
    cr_assert_eq(pieces[9].request, "r2");
}

Test(BatchQueue, piecesStayInTheirZoneWhileTheTargetAllows)
{
    QueueFixture fixture({ "a", "b" });
    fixture.add(1, 1, start, 0, 2s, 8s, "a");
    fixture.add(2, 1, start, 0, 2s, 8s, "a");
    cr_assert_eq(fixture.sent.size(), 1);
    cr_assert_eq(fixture.sent[0].server.zone.value(), "a");
    fixture.add(3, 1, start, 0, 400ms, 8s, "a");
    cr_assert_eq(fixture.sent.size(), 2);
    cr_assert_eq(fixture.sent[1].server.zone.value(), "b");
    cr_assert_eq(fixture.sent[1].pieces.front().request, "r3");
}

Test(BatchQueue, piecesBeyondTheNextCallsOfAZoneCrossZones)
{
    QueueFixture fixture({ "a", "b" });
    fixture.add(1, 5, start, 0, 2s, 8s, "a");
    fixture.add(2, 1, start, 0, 2s, 8s, "b");
    fixture.add(3, 14, start, 0, 2s, 8s, "a");
    fixture.finishCall(fixture.sent[1], start + 217ms);
    cr_assert_eq(fixture.sent.size(), 3);
    cr_assert_eq(fixture.sent[2].server.zone.value(), "b");
    cr_assert_eq(fixture.sent[2].pieces.size(), 4, "the next call in the preferred zone has space for ten");
    fixture.finishCall(fixture.sent[0], start + 285ms);
    cr_assert_eq(fixture.sent.size(), 4);
    cr_assert_eq(fixture.sent[3].server.zone.value(), "a");
    cr_assert_eq(fixture.sent[3].pieces.size(), 10);
}

Test(BatchQueue, piecesOfABusyZoneStayWhileItsNextCallHasSpace)
{
    QueueFixture fixture({ "a", "b" });
    fixture.add(1, 1, start, 0, 2s, 8s, "a");
    fixture.add(2, 9, start + 10ms, 0, 2s, 8s, "a");
    cr_assert_eq(fixture.sent.size(), 1, "no piece crosses zones");
    fixture.finishCall(fixture.sent[0], start + 217ms);
    cr_assert_eq(fixture.sent.size(), 2);
    cr_assert_eq(fixture.sent[1].pieces.size(), 9);
}

Test(BatchQueue, remainingPiecesOfAGroupUseTheZoneOfTheFirst)
{
    QueueFixture fixture({ "a", "b" });
    fixture.add(1, 5, start, 0, 2s, 8s, "a");
    fixture.add(2, 1, start, 0, 2s, 8s, "b");
    fixture.add(3, 14, start + 10ms);
    fixture.finishCall(fixture.sent[1], start + 217ms);
    cr_assert_eq(fixture.sent.size(), 3);
    cr_assert_eq(fixture.sent[2].pieces.size(), 10);
    fixture.finishCall(fixture.sent[0], start + 285ms);
    cr_assert_eq(fixture.sent.size(), 3, "the other four pieces wait for the same zone");
    fixture.finishCall(fixture.sent[2], start + 590ms);
    cr_assert_eq(fixture.sent.at(3).server.zone.value(), "b");
    cr_assert_eq(fixture.sent[3].pieces.size(), 4);
}

Test(BatchQueue, largeResultWithoutCapacityDoesNotBlockOtherPieces)
{
    QueueFixture fixture({ "a", "b" });
    fixture.add(1, 1, start, 0, 2s, 8s, "a", 5'000'000);
    const auto call = fixture.sent.at(0);
    fixture.add(2, 1, start, 0, 2s, 8s, "b", 5'000'000);
    fixture.collect([&](auto& actions) {
        fixture.queue->onCallEnd(
            call.call, BatchOutcome::Answered, { PieceFailure::NoCapacity }, start + 200ms, actions);
    });
    fixture.finishCall(fixture.sent[1], start + 201ms);
    cr_assert_eq(fixture.sent.size(), 3);
    cr_assert_eq(fixture.sent[2].server.zone.value(), "b", "the large result goes to a server with enough capacity");
    fixture.add(3, 1, start + 202ms, 0, 2s, 8s, "a", 8000);
    cr_assert_eq(fixture.sent.size(), 4, "a small result fits where a large one does not");
    cr_assert_eq(fixture.sent[3].server.zone.value(), "a");
}

Test(BatchQueue, groupIsSentInOneCall)
{
    QueueFixture fixture({ "a" });
    fixture.add(1, 4, start);
    for (std::uint64_t i = 2; i < 5; ++i)
        fixture.add(i, 4, start + 10ms);
    fixture.finishCall(fixture.sent[0], start + 268ms);
    cr_assert_eq(fixture.sent[1].pieces.size(), 8, "half of a group would occupy capacity until the rest is processed");
    fixture.finishCall(fixture.sent[1], start + 600ms);
    cr_assert_eq(fixture.sent[2].pieces.size(), 4);
}

Test(BatchQueue, groupThatBarelyMeetsItsTargetIsNotSplit)
{
    QueueFixture fixture({ "a" });
    fixture.add(1, 4, start);
    fixture.add(2, 5, start + 10ms, 0, 260ms + 410ms); // Nine pieces take 353 ms.
    fixture.add(3, 4, start + 10ms, 1, 260ms + 355ms);
    fixture.add(4, 1, start + 10ms, 2);
    fixture.finishCall(fixture.sent[0], start + 268ms);
    std::map<std::string, std::size_t> piecesByRequest;
    for (const auto& it : fixture.sent.at(1).pieces)
        ++piecesByRequest[it.request];
    cr_assert_eq(piecesByRequest["r2"], 5);
    cr_assert_eq(piecesByRequest["r3"], 4, "a group is sent as a whole or not at all");
}

Test(BatchQueue, smallerGroupsOvertakeAGroupThatDoesNotFit)
{
    QueueFixture fixture({ "a" });
    fixture.add(1, 3, start, 0, 2s, 8s, {}, 5'000'000);
    fixture.add(2, 2, start + 10ms, 0, 2s, 8s, {}, 3'600'000);
    fixture.add(3, 1, start + 10ms, 0, 2s, 8s, {}, 3'600'000);
    fixture.finishCall(fixture.sent[0], start + 251ms);
    cr_assert_eq(fixture.sent.at(1).pieces.size(), 1);
    cr_assert_eq(fixture.sent[1].pieces[0].request, "r3");
}

Test(BatchQueue, largeGroupIsSplitToPreventStarvation)
{
    QueueFixture fixture({ "a" });
    fixture.add(1, 1, start);
    fixture.add(2, 6, start + 10ms, 0, 2s, 8s, {}, 4'000'000);
    fixture.finishCall(fixture.sent[0], start + 217ms);
    cr_assert_eq(fixture.sent.at(1).pieces.size(), 5);
}

Test(BatchQueue, resultsNeverExceedTheCapacityOfTheirProducer)
{
    QueueFixture fixture({ "a" });
    fixture.add(1, 10, start, 0, 2s, 8s, {}, 5'000'000);
    cr_assert_eq(fixture.sent[0].pieces.size(), 4);
    fixture.finishCall(fixture.sent[0], start + 300ms);
    cr_assert_eq(fixture.sent.size(), 1, "no capacity until a result is released");
    ReleaseResults release { ServiceId("portal"), fixture.sent[0].server, { "r1/0", "r1/1" } };
    cr_assert(fixture.queue->onRelease(release, start + 310ms));
    cr_assert_eq(fixture.sent.size(), 1, "the release has not reached the server");
    cr_assert_eq(*fixture.queue->nextDispatch(), start + 340ms);
    fixture.dispatch(start + 340ms);
    cr_assert_eq(fixture.sent.size(), 2);
    cr_assert_eq(fixture.sent[1].pieces.size(), 2);
}

Test(BatchQueue, nextCallIsSentShortlyBeforeThePreviousOneEnds)
{
    QueueFixture fixture({ "a" });
    fixture.add(1, 1, start);
    fixture.add(2, 3, start + 10ms);
    cr_assert_eq(fixture.sent.size(), 1);
    cr_assert_eq(*fixture.queue->nextDispatch(), start + 100ms);
    fixture.dispatch(start + 180ms);
    cr_assert_eq(fixture.sent.size(), 1);
    cr_assert_eq(*fixture.queue->nextDispatch(), start + 192ms, "25 ms before the end of a call of 217 ms");
    fixture.dispatch(start + 192ms);
    cr_assert_eq(fixture.sent.size(), 2);
    fixture.add(3, 1, start + 200ms);
    cr_assert_eq(fixture.sent.size(), 2, "at most one call is queued at the server");
}

Test(BatchQueue, noCallIsQueuedAtAServerWithoutAQueue)
{
    auto limits = tenPieces();
    limits.queueCapacity = 0;
    QueueFixture fixture({ "a" }, limits);
    fixture.add(1, 1, start);
    fixture.add(2, 1, start + 200ms);
    cr_assert_eq(fixture.sent.size(), 1);
    fixture.finishCall(fixture.sent[0], start + 217ms);
    cr_assert_eq(fixture.sent.size(), 2);
}

Test(BatchQueue, noCallIsQueuedBehindAnOverdueCall)
{
    QueueFixture fixture({ "a" });
    fixture.retryBudget = 0;
    fixture.add(1, 1, start);
    fixture.add(2, 1, start + 290ms);
    cr_assert_eq(fixture.sent.size(), 1);
    fixture.finishCall(fixture.sent[0], start + 600ms);
    cr_assert_eq(fixture.sent.size(), 2);
}

Test(BatchQueue, slowCallsAreHedgedAndEachResultIsDeliveredOnce)
{
    QueueFixture fixture({ "a", "b" });
    fixture.add(1, 2, start);
    const auto first = fixture.sent.at(0);
    fixture.dispatch(start + 700ms);
    cr_assert_eq(fixture.sent.size(), 2);
    const auto second = fixture.sent.at(1);
    cr_assert_neq(second.server.id, first.server.id);
    fixture.finishCall(second, start + 1s);
    fixture.finishCall(first, start + 1200ms);
    std::size_t delivered = 0;
    std::size_t duplicates = 0;
    for (const auto& it : fixture.done)
        (it.group == PieceGroupId(1) ? delivered : duplicates) += 1;
    cr_assert_eq(delivered, 2);
    cr_assert_eq(duplicates, 2, "results of the second call are delivered without a group so that they are released");
}

Test(BatchQueue, slowCallsAreNotHedgedBeyondTheRetryBudget)
{
    QueueFixture fixture({ "a", "b" });
    fixture.retryBudget = 1;
    fixture.add(1, 2, start);
    fixture.dispatch(start + 700ms);
    cr_assert_eq(fixture.sent.size(), 1);
}

Test(BatchQueue, piecesOfACallThatWasNotStartedAreRequeued)
{
    QueueFixture fixture({ "a" });
    fixture.add(1, 2, start);
    fixture.finishCall(fixture.sent[0], start + 5ms, BatchOutcome::NotStarted);
    cr_assert_eq(fixture.done.size(), 0);
    fixture.dispatch(start + 80ms);
    cr_assert_eq(fixture.sent.size(), 2);
    cr_assert_eq(fixture.sent[1].pieces.size(), 2);
}

Test(BatchQueue, brokenCallFailsItsPieces)
{
    QueueFixture fixture({ "a" });
    fixture.add(1, 2, start);
    fixture.finishCall(fixture.sent[0], start + 5ms, BatchOutcome::Broken);
    cr_assert_eq(fixture.done.size(), 2);
    cr_assert_eq(std::get<PieceFailure>(fixture.done[0].result), PieceFailure::Failed);
}

Test(BatchQueue, piecesThatCannotMeetTheirDeadlineFailImmediately)
{
    QueueFixture fixture({ "a" });
    for (std::uint64_t i = 1; i < 200; ++i)
        fixture.add(i, 1, start, 0, 500ms, 2s);
    fixture.dispatch(start + 150ms);
    cr_assert_gt(fixture.done.size(), 100);
    for (const auto& it : fixture.done)
        cr_assert_eq(std::get<PieceFailure>(it.result), PieceFailure::DeadlineExceeded);
}

Test(BatchQueue, handoverKeepsPiecesOfCallsInProgress)
{
    QueueFixture fixture({ "a" });
    fixture.add(1, 1, start);
    fixture.add(2, 3, start);
    fixture.collect([&](auto& actions) { fixture.queue->handOver(actions); });
    cr_assert_eq(fixture.done.size(), 3);
    cr_assert_eq(std::get<PieceFailure>(fixture.done[0].result), PieceFailure::OwnerChanged);
    cr_assert_eq(fixture.queue->waitingCount(), 0);
    cr_assert_eq(fixture.queue->callsInProgress(), 1);
}

Test(BatchForecast, lessUrgentPiecesGetTheRemainingThroughput)
{
    BatchForecast forecast(tenPieces());
    for (int i = 0; i < 200; ++i)
        forecast.recordArrival(0, 1, start + i * 10ms);
    const auto now = start + 2s;
    const auto urgent = forecast.expectedWait(0, false, 30, 5, now);
    const auto other = forecast.expectedWait(1, false, 30, 5, now);
    cr_assert_lt(urgent, 600ms);
    cr_assert_gt(other, 700ms);
    cr_assert_geq(forecast.expectedWait(0, true, 30, 5, now), other);
}

Test(BatchForecast, slowCallsReduceTheThroughput)
{
    BatchForecast forecast(tenPieces());
    const double before = forecast.throughput(5);
    for (int i = 0; i < 60; ++i)
        forecast.recordCall(10, 740ms);
    cr_assert_float_eq(forecast.throughput(5), before / 2, before * 0.05);
}

Test(ResultCapacity, resultOccupiesCapacityFromItsCallUntilReleaseOrExpiry)
{
    const BackendServerId server("s");
    ResultCapacity capacity;
    capacity.setLimits(100, 4s);
    capacity.reserve(server, 60);
    cr_assert_eq(capacity.available(server, start), 40);
    capacity.cancelReservation(server, 60);
    capacity.addResult(server, "a", 30, start);
    capacity.addResult(server, "b", 30, start);
    cr_assert_eq(capacity.available(server, start), 40);
    cr_assert(capacity.release(server, "a", start));
    cr_assert(!capacity.release(server, "a", start));
    cr_assert_eq(capacity.available(server, start), 40, "the release has not reached the server");
    cr_assert_eq(*capacity.nextFreeAt(start), start + 30ms);
    cr_assert_eq(capacity.available(server, start + 30ms), 70);
    cr_assert(!capacity.nextFreeAt(start + 30ms));
    cr_assert_eq(capacity.available(server, start + 4s), 100);
}

Test(ResultCapacity, rejectedResultImpliesUntrackedResultsThatExpireLinearly)
{
    const BackendServerId server("s");
    ResultCapacity capacity;
    capacity.setLimits(100, 4s);
    capacity.addResult(server, "a", 20, start);
    capacity.onRejected(server, 30, start);
    cr_assert_eq(capacity.available(server, start), 29, "less than the size of the rejected result");
    cr_assert(capacity.release(server, "a", start));
    cr_assert_geq(capacity.available(server, start + 30ms), 49, "the end of a tracked result frees capacity");
    cr_assert_geq(capacity.available(server, start + 500ms), 74, "half of the untracked results have ended");
    cr_assert_eq(capacity.available(server, start + 1s), 100);
}
