#include "foxtailwheel/serving/BatchQueue.h"

#include "foxtailwheel/serving/BatchForecast.h"
#include "foxtailwheel/serving/ResultRoom.h"

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

/// A queue before servers of one slot, whose calls the test ends by hand.
struct World {
    explicit World(const std::vector<std::string>& zones, config::BatchLimits limits = tenPieces())
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
            BatchQueueEvents { [this] { return CallId(++lastCall); },
                [this](std::size_t n, TimePoint) { return n <= repeats && (repeats -= n, true); } });
    }

    /// Adds pieces and returns what follows.
    void add(std::uint64_t group, std::size_t pieces, TimePoint now, std::uint32_t priority = 0, Duration goal = 2s,
        Duration deadline = 8s, const std::string& zone = {}, std::uint64_t bytes = 1000)
    {
        PieceGroup out { PieceGroupId(group), {}, priority, now + goal, now + deadline, {}, now + goal, bytes };
        if (!zone.empty())
            out.preferredZone = AvailabilityZoneId(zone);
        for (std::uint32_t i = 0; i < pieces; ++i)
            out.pieces.push_back({ "r" + std::to_string(group), 0, i, "k", {} });
        take([&](auto& actions) { queue->add(std::move(out), now, actions); });
    }

    /// Ends a call with a result for each piece.
    void end(const SendBatch& call, TimePoint now, BatchEnd end = BatchEnd::Answered)
    {
        std::vector<PieceResult> results;
        for (const auto& it : call.pieces)
            results.emplace_back(ResultHandle { it.request + "/" + std::to_string(it.index), call.server });
        take([&](auto& actions) { queue->ended(call.call, end, results, now, actions); });
    }

    void pump(TimePoint now)
    {
        take([&](auto& actions) { queue->pump(now, actions); });
    }

    template <class Work> void take(Work work)
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
    std::size_t repeats = 100;
    std::vector<SendBatch> sent;
    std::vector<PieceDone> done;
};

} // namespace

Test(BatchQueue, anIdleServerTakesAPieceAtOnce)
{
    World world({ "a" });
    world.add(1, 1, start);
    cr_assert_eq(world.sent.size(), 1);
    cr_assert_eq(world.sent[0].pieces.size(), 1);
}

Test(BatchQueue, piecesOfManyRequestsFillTheNextCallWhileAllServersAreBusy)
{
    World world({ "a" });
    world.add(1, 1, start);
    for (std::uint64_t i = 2; i < 16; ++i)
        world.add(i, 1, start + 10ms);
    cr_assert_eq(world.sent.size(), 1);
    world.end(world.sent[0], start + 217ms);
    cr_assert_eq(world.sent.size(), 2);
    cr_assert_eq(world.sent[1].pieces.size(), 10);
    cr_assert_eq(world.queue->waiting(), 4);
}

Test(BatchQueue, timelyPiecesLeaveBeforeLateOnesAndUrgentBeforeOthers)
{
    World world({ "a" });
    world.add(1, 1, start);
    world.add(2, 6, start, 0, 50ms); // Its goal cannot be met.
    world.add(3, 6, start, 2);
    world.add(4, 3, start, 1);
    world.end(world.sent[0], start + 217ms);
    const auto& pieces = world.sent[1].pieces;
    cr_assert_eq(pieces.size(), 10);
    for (std::size_t i = 0; i < 3; ++i)
        cr_assert_eq(pieces[i].request, "r4");
    for (std::size_t i = 3; i < 9; ++i)
        cr_assert_eq(pieces[i].request, "r3");
    cr_assert_eq(pieces[9].request, "r2");
}

Test(BatchQueue, piecesStayInTheirZoneWhileTheGoalAllows)
{
    World world({ "a", "b" });
    world.add(1, 1, start, 0, 2s, 8s, "a");
    world.add(2, 1, start, 0, 2s, 8s, "a");
    cr_assert_eq(world.sent.size(), 1);
    cr_assert_eq(world.sent[0].server.zone.value(), "a");
    world.add(3, 1, start, 0, 400ms, 8s, "a");
    cr_assert_eq(world.sent.size(), 2);
    cr_assert_eq(world.sent[1].server.zone.value(), "b");
    cr_assert_eq(world.sent[1].pieces.front().request, "r3");
}

Test(BatchQueue, whatTheNextCallsOfAZoneCannotTakeFillsCallsElsewhere)
{
    World world({ "a", "b" });
    world.add(1, 5, start, 0, 2s, 8s, "a");
    world.add(2, 1, start, 0, 2s, 8s, "b");
    world.add(3, 14, start, 0, 2s, 8s, "a");
    world.end(world.sent[1], start + 217ms);
    cr_assert_eq(world.sent.size(), 3);
    cr_assert_eq(world.sent[2].server.zone.value(), "b");
    cr_assert_eq(world.sent[2].pieces.size(), 4, "the next call in the own zone takes ten");
    world.end(world.sent[0], start + 285ms);
    cr_assert_eq(world.sent.size(), 4);
    cr_assert_eq(world.sent[3].server.zone.value(), "a");
    cr_assert_eq(world.sent[3].pieces.size(), 10);
}

Test(BatchQueue, piecesOfABusyZoneStayThereWhileItsNextCallTakesThem)
{
    World world({ "a", "b" });
    world.add(1, 1, start, 0, 2s, 8s, "a");
    world.add(2, 9, start + 10ms, 0, 2s, 8s, "a");
    cr_assert_eq(world.sent.size(), 1, "nothing crosses zones");
    world.end(world.sent[0], start + 217ms);
    cr_assert_eq(world.sent.size(), 2);
    cr_assert_eq(world.sent[1].pieces.size(), 9);
}

Test(BatchQueue, theRestOfAGroupFollowsItsFirstPieces)
{
    World world({ "a", "b" });
    world.add(1, 5, start, 0, 2s, 8s, "a");
    world.add(2, 1, start, 0, 2s, 8s, "b");
    world.add(3, 14, start + 10ms);
    world.end(world.sent[1], start + 217ms);
    cr_assert_eq(world.sent.size(), 3);
    cr_assert_eq(world.sent[2].pieces.size(), 10);
    world.end(world.sent[0], start + 285ms);
    cr_assert_eq(world.sent.size(), 3, "the other four wait for the same zone");
    world.end(world.sent[2], start + 590ms);
    cr_assert_eq(world.sent.at(3).server.zone.value(), "b");
    cr_assert_eq(world.sent[3].pieces.size(), 4);
}

Test(BatchQueue, aServerWithoutRoomForALargeResultDelaysNoOther)
{
    World world({ "a", "b" });
    world.add(1, 1, start, 0, 2s, 8s, "a", 5'000'000);
    const auto call = world.sent.at(0);
    world.add(2, 1, start, 0, 2s, 8s, "b", 5'000'000);
    world.take([&](auto& actions) {
        world.queue->ended(call.call, BatchEnd::Answered, { PieceFailure::NoRoom }, start + 200ms, actions);
    });
    world.end(world.sent[1], start + 201ms);
    cr_assert_eq(world.sent.size(), 3);
    cr_assert_eq(world.sent[2].server.zone.value(), "b", "the large one goes where there is room");
    world.add(3, 1, start + 202ms, 0, 2s, 8s, "a", 8000);
    cr_assert_eq(world.sent.size(), 4, "a small result has room where a large one has none");
    cr_assert_eq(world.sent[3].server.zone.value(), "a");
}

Test(BatchQueue, aGroupLeavesInOneCall)
{
    World world({ "a" });
    world.add(1, 4, start);
    for (std::uint64_t i = 2; i < 5; ++i)
        world.add(i, 4, start + 10ms);
    world.end(world.sent[0], start + 268ms);
    cr_assert_eq(world.sent[1].pieces.size(), 8, "half of a group would hold room and wait for the rest");
    world.end(world.sent[1], start + 600ms);
    cr_assert_eq(world.sent[2].pieces.size(), 4);
}

Test(BatchQueue, aGroupThatCanJustMeetItsGoalIsNotSplit)
{
    World world({ "a" });
    world.add(1, 4, start);
    world.add(2, 5, start + 10ms, 0, 260ms + 410ms); // Nine pieces take 353 ms.
    world.add(3, 4, start + 10ms, 1, 260ms + 355ms);
    world.add(4, 1, start + 10ms, 2);
    world.end(world.sent[0], start + 268ms);
    std::map<std::string, std::size_t> taken;
    for (const auto& it : world.sent.at(1).pieces)
        ++taken[it.request];
    cr_assert_eq(taken["r2"], 5);
    cr_assert_eq(taken["r3"], 4, "whole, or not at all");
}

Test(BatchQueue, aGroupThatDoesNotFitLetsSmallerOnesPass)
{
    World world({ "a" });
    world.add(1, 3, start, 0, 2s, 8s, {}, 5'000'000);
    world.add(2, 2, start + 10ms, 0, 2s, 8s, {}, 3'600'000);
    world.add(3, 1, start + 10ms, 0, 2s, 8s, {}, 3'600'000);
    world.end(world.sent[0], start + 251ms);
    cr_assert_eq(world.sent.at(1).pieces.size(), 1);
    cr_assert_eq(world.sent[1].pieces[0].request, "r3");
}

Test(BatchQueue, aLargeGroupIsSplitSoThatItIsNotPassedForEver)
{
    World world({ "a" });
    world.add(1, 1, start);
    world.add(2, 6, start + 10ms, 0, 2s, 8s, {}, 4'000'000);
    world.end(world.sent[0], start + 217ms);
    cr_assert_eq(world.sent.at(1).pieces.size(), 5);
}

Test(BatchQueue, resultsNeverExceedTheRoomOfTheirMaker)
{
    World world({ "a" });
    world.add(1, 10, start, 0, 2s, 8s, {}, 5'000'000);
    cr_assert_eq(world.sent[0].pieces.size(), 4);
    world.end(world.sent[0], start + 300ms);
    cr_assert_eq(world.sent.size(), 1, "no room until something is released");
    ReleaseResults release { ServiceId("portal"), world.sent[0].server, { "r1/0", "r1/1" } };
    cr_assert(world.queue->released(release, start + 310ms));
    cr_assert_eq(world.sent.size(), 1, "the release is on its way");
    cr_assert_eq(*world.queue->nextPump(), start + 340ms);
    world.pump(start + 340ms);
    cr_assert_eq(world.sent.size(), 2);
    cr_assert_eq(world.sent[1].pieces.size(), 2);
}

Test(BatchQueue, theNextCallLeavesAsTheOneBeforeIsAboutToEnd)
{
    World world({ "a" });
    world.add(1, 1, start);
    world.add(2, 3, start + 10ms);
    cr_assert_eq(world.sent.size(), 1);
    cr_assert_eq(*world.queue->nextPump(), start + 100ms);
    world.pump(start + 180ms);
    cr_assert_eq(world.sent.size(), 1);
    cr_assert_eq(*world.queue->nextPump(), start + 192ms, "25 ms before the end of a call of 217 ms");
    world.pump(start + 192ms);
    cr_assert_eq(world.sent.size(), 2);
    world.add(3, 1, start + 200ms);
    cr_assert_eq(world.sent.size(), 2, "one call waits at the server, not two");
}

Test(BatchQueue, noCallWaitsAtAServerThatLetsNoneWait)
{
    auto limits = tenPieces();
    limits.queue = 0;
    World world({ "a" }, limits);
    world.add(1, 1, start);
    world.add(2, 1, start + 200ms);
    cr_assert_eq(world.sent.size(), 1);
    world.end(world.sent[0], start + 217ms);
    cr_assert_eq(world.sent.size(), 2);
}

Test(BatchQueue, nothingIsSentAfterACallThatIsOverdue)
{
    World world({ "a" });
    world.repeats = 0;
    world.add(1, 1, start);
    world.add(2, 1, start + 290ms);
    cr_assert_eq(world.sent.size(), 1);
    world.end(world.sent[0], start + 600ms);
    cr_assert_eq(world.sent.size(), 2);
}

Test(BatchQueue, slowCallsAreDoubledAndEachPieceIsGivenOutOnce)
{
    World world({ "a", "b" });
    world.add(1, 2, start);
    const auto first = world.sent.at(0);
    world.pump(start + 700ms);
    cr_assert_eq(world.sent.size(), 2);
    const auto second = world.sent.at(1);
    cr_assert_neq(second.server.id, first.server.id);
    world.end(second, start + 1s);
    world.end(first, start + 1200ms);
    std::size_t given = 0;
    std::size_t spare = 0;
    for (const auto& it : world.done)
        (it.group == PieceGroupId(1) ? given : spare) += 1;
    cr_assert_eq(given, 2);
    cr_assert_eq(spare, 2, "the other results are given out to be released");
}

Test(BatchQueue, slowCallsAreNotDoubledBeyondTheBudget)
{
    World world({ "a", "b" });
    world.repeats = 1;
    world.add(1, 2, start);
    world.pump(start + 700ms);
    cr_assert_eq(world.sent.size(), 1);
}

Test(BatchQueue, aFullServerGetsThePiecesBackIntoTheQueue)
{
    World world({ "a" });
    world.add(1, 2, start);
    world.end(world.sent[0], start + 5ms, BatchEnd::NotRun);
    cr_assert_eq(world.done.size(), 0);
    world.pump(start + 80ms);
    cr_assert_eq(world.sent.size(), 2);
    cr_assert_eq(world.sent[1].pieces.size(), 2);
}

Test(BatchQueue, aBrokenCallIsToldToItsAskers)
{
    World world({ "a" });
    world.add(1, 2, start);
    world.end(world.sent[0], start + 5ms, BatchEnd::Broken);
    cr_assert_eq(world.done.size(), 2);
    cr_assert_eq(std::get<PieceFailure>(world.done[0].result), PieceFailure::Failed);
}

Test(BatchQueue, whatCannotBeMadeInTimeIsToldAtOnce)
{
    World world({ "a" });
    for (std::uint64_t i = 1; i < 200; ++i)
        world.add(i, 1, start, 0, 500ms, 2s);
    world.pump(start + 150ms);
    cr_assert_gt(world.done.size(), 100);
    for (const auto& it : world.done)
        cr_assert_eq(std::get<PieceFailure>(it.result), PieceFailure::Late);
}

Test(BatchQueue, handingOverKeepsWhatIsInACall)
{
    World world({ "a" });
    world.add(1, 1, start);
    world.add(2, 3, start);
    world.take([&](auto& actions) { world.queue->handOver(actions); });
    cr_assert_eq(world.done.size(), 3);
    cr_assert_eq(std::get<PieceFailure>(world.done[0].result), PieceFailure::Moved);
    cr_assert_eq(world.queue->waiting(), 0);
    cr_assert_eq(world.queue->callsInProgress(), 1);
}

Test(BatchForecast, lessUrgentPiecesGetWhatTheMoreUrgentLeave)
{
    BatchForecast forecast(tenPieces());
    for (int i = 0; i < 200; ++i)
        forecast.arrived(0, 1, start + i * 10ms);
    const auto now = start + 2s;
    const auto urgent = forecast.wait(0, false, 30, 5, now);
    const auto other = forecast.wait(1, false, 30, 5, now);
    cr_assert_lt(urgent, 600ms);
    cr_assert_gt(other, 700ms);
    cr_assert_geq(forecast.wait(0, true, 30, 5, now), other);
}

Test(BatchForecast, slowCallsLowerTheCapacity)
{
    BatchForecast forecast(tenPieces());
    const double before = forecast.capacity(5);
    for (int i = 0; i < 60; ++i)
        forecast.answered(10, 740ms);
    cr_assert_float_eq(forecast.capacity(5), before / 2, before * 0.05);
}

Test(ResultRoom, aResultTakesRoomFromItsCallUntilReleaseOrTheEndOfItsLife)
{
    const BackendServerId server("s");
    ResultRoom room;
    room.setLimits(100, 4s);
    room.reserve(server, 60);
    cr_assert_eq(room.left(server, start), 40);
    room.unreserve(server, 60);
    room.made(server, "a", 30, start);
    room.made(server, "b", 30, start);
    cr_assert_eq(room.left(server, start), 40);
    cr_assert(room.released(server, "a", start));
    cr_assert(!room.released(server, "a", start));
    cr_assert_eq(room.left(server, start), 40, "the server has not been told yet");
    cr_assert_eq(*room.nextFree(start), start + 30ms);
    cr_assert_eq(room.left(server, start + 30ms), 70);
    cr_assert(!room.nextFree(start + 30ms));
    cr_assert_eq(room.left(server, start + 4s), 100);
}

Test(ResultRoom, aServerThatRefusedAResultIsTakenToHoldOthersThatEndOneByOne)
{
    const BackendServerId server("s");
    ResultRoom room;
    room.setLimits(100, 4s);
    room.made(server, "a", 20, start);
    room.refused(server, 30, start);
    cr_assert_eq(room.left(server, start), 29, "less than the refused result needs");
    cr_assert(room.released(server, "a", start));
    cr_assert_geq(room.left(server, start + 30ms), 49, "own results that end leave room");
    cr_assert_geq(room.left(server, start + 500ms), 74, "half of the others have ended");
    cr_assert_eq(room.left(server, start + 1s), 100);
}
