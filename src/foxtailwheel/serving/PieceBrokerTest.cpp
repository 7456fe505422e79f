#include "foxtailwheel/serving/PieceBroker.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <map>
#include <set>

using namespace foxtailwheel;
using namespace std::chrono_literals;
using namespace foxtailwheel::serving;

namespace {

constexpr TimePoint start { 1h };
const ServiceId portal("portal");

/// Instances with a broker and a queue each, in front of the same servers. Messages are delivered synchronously.
struct Cluster {
    struct Instance {
        std::unique_ptr<routing::ServerPool> pool;
        std::unique_ptr<BatchQueue> queue;
        std::unique_ptr<PieceBroker> broker;
        std::vector<SendBatch> sent;
        std::vector<PieceDone> done;
        std::uint64_t lastCall = 0;
        bool knowsService = true;
    };

    explicit Cluster(std::size_t n, std::size_t servers = 2)
    {
        for (std::size_t i = 0; i < n; ++i)
            ids.emplace_back("i" + std::to_string(i));
        for (const auto& id : ids)
            addInstance(id, servers);
        for (const auto& id : ids)
            setMembers(id, ids, {}, start);
    }

    void addInstance(const InstanceId& id, std::size_t servers)
    {
        auto& it = instances[id];
        const config::BatchLimits limits { 1, 2, 10, 200ms, 17ms, 4s, 0 };
        config::Service service;
        service.id = portal;
        service.typicalTime = 217ms;
        for (std::size_t i = 0; i < servers; ++i)
            service.servers.push_back({ BackendServerId("s" + std::to_string(i)), "127.0.0.1",
                static_cast<std::uint16_t>(9000 + i), AvailabilityZoneId("a") });
        routing::PoolOptions options;
        options.self = id;
        options.zone = AvailabilityZoneId("a");
        it.pool = routing::ServerPool::create(service, {}, options);
        it.queue = std::make_unique<BatchQueue>(portal, limits, *it.pool,
            BatchQueueCallbacks {
                [&it] { return CallId(++it.lastCall); }, [](std::size_t, TimePoint) { return true; } });
        it.broker = std::make_unique<PieceBroker>(id, [&it](const ServiceId& requested) {
            return requested == portal && it.knowsService ? it.queue.get() : nullptr;
        });
    }

    void setMembers(
        const InstanceId& id, const std::vector<InstanceId>& live, const std::set<InstanceId>& removed, TimePoint now)
    {
        execute(id, now, [&](PieceBroker& broker, BrokerActions& out) { broker.setMembers(live, removed, now, out); });
    }

    void submit(const InstanceId& id, std::uint64_t group, std::size_t pieces, TimePoint now)
    {
        PieceGroup request { PieceGroupId(group), {}, 0, now + 2s, now + 6s, {}, now + 2s, 0 };
        for (std::uint32_t i = 0; i < pieces; ++i)
            request.pieces.push_back({ id.value() + "/" + std::to_string(group), 0, i, "k", {} });
        execute(id, now, [&](PieceBroker& broker, BrokerActions& actions) {
            broker.submit(portal, std::move(request), now, actions);
        });
    }

    /// Ends all calls of an instance with results.
    void finishCalls(const InstanceId& id, TimePoint now)
    {
        for (const auto& call : std::exchange(instances.at(id).sent, {})) {
            std::vector<PieceResult> results;
            for (const auto& it : call.pieces)
                results.emplace_back(ResultHandle { it.request + "#" + std::to_string(it.index), call.server });
            execute(id, now, [&](PieceBroker& broker, BrokerActions& out) {
                broker.onBatchEnd(portal, call.call, BatchOutcome::Answered, results, now, out);
            });
        }
    }

    void execute(const InstanceId& id, TimePoint now, const std::function<void(PieceBroker&, BrokerActions&)>& work)
    {
        auto& it = instances.at(id);
        BrokerActions actions;
        work(*it.broker, actions);
        for (auto& action : actions) {
            if (auto* batch = std::get_if<SendBatch>(&action))
                it.sent.push_back(*batch);
            else if (auto* done = std::get_if<PieceDone>(&action))
                it.done.push_back(*done);
            else if (auto* send = std::get_if<SendToInstance>(&action);
                     send != nullptr && !disconnected.contains(send->to) && !disconnected.contains(id))
                execute(send->to, now,
                    [&](PieceBroker& broker, BrokerActions& out) { broker.onMessage(id, send->message, now, out); });
        }
    }

    InstanceId owner() const { return instances.at(ids[0]).broker->ownerOf(portal, start); }
    InstanceId nonOwner(std::size_t skip = 0) const
    {
        for (const auto& it : ids) {
            if (it != owner() && skip-- == 0)
                return it;
        }
        return {};
    }

    std::vector<InstanceId> ids;
    std::map<InstanceId, Instance> instances;
    std::set<InstanceId> disconnected; ///< Instances that neither send nor receive messages.
};

} // namespace

// While a new version spreads, an owner without the service said nothing: pieces waited until two owners in a row had
// timed out, and no requests of any service went to these for two seconds.
Test(PieceBroker, ownerWithoutTheServiceRefusesAtOnce)
{
    Cluster cluster(3);
    const auto owner = cluster.owner();
    const auto requester = cluster.nonOwner();
    cluster.instances.at(owner).knowsService = false;
    cluster.submit(requester, 1, 3, start);
    cr_assert_eq(cluster.instances.at(requester).sent.size(), 1, "the pieces are processed locally");
    cr_assert_eq(cluster.instances.at(requester).broker->ownerOf(portal, start), owner, "the owner is not avoided");
    cluster.finishCalls(requester, start + 100ms);
    cr_assert_eq(cluster.instances.at(requester).done.size(), 3);
    cluster.instances.at(owner).knowsService = true;
    cluster.submit(requester, 2, 1, start + 200ms);
    cr_assert_eq(cluster.instances.at(owner).sent.size(), 1);
}

Test(PieceBroker, allInstancesChooseTheSameOwner)
{
    const Cluster cluster(9);
    for (const auto& it : cluster.instances)
        cr_assert_eq(it.second.broker->ownerOf(portal, start), cluster.owner());
}

Test(PieceBroker, batchesFormAcrossInstances)
{
    Cluster cluster(9, 1);
    for (const auto& id : cluster.ids)
        cluster.submit(id, 1, 1, start);
    auto& owner = cluster.instances.at(cluster.owner());
    cr_assert_eq(owner.sent.size(), 1);
    cluster.finishCalls(cluster.owner(), start + 217ms);
    cr_assert_eq(owner.sent.size(), 1);
    cr_assert_eq(owner.sent[0].pieces.size(), 8, "the other eight share one call");
    cluster.finishCalls(cluster.owner(), start + 600ms);
    for (const auto& it : cluster.instances) {
        cr_assert_eq(it.second.done.size(), 1);
        const auto& handle = std::get<ResultHandle>(it.second.done[0].result);
        cr_assert_eq(handle.value, it.first.value() + "/1#0", "each instance gets its own result");
    }
}

Test(PieceBroker, nextCandidateTakesOverRequestsThatTheOwnerDoesNotAcknowledge)
{
    Cluster cluster(9, 2);
    const auto owner = cluster.owner();
    cluster.disconnected.insert(owner);
    for (const auto& id : cluster.ids) {
        if (id != owner)
            cluster.submit(id, 1, 2, start);
    }
    for (const auto& id : cluster.ids) {
        if (id != owner)
            cluster.execute(id, start + 300ms,
                [&](PieceBroker& broker, BrokerActions& out) { broker.onTimer(start + 300ms, out); });
    }
    const auto successor = cluster.instances.at(cluster.nonOwner()).broker->ownerOf(portal, start + 300ms);
    cr_assert(cluster.instances.at(successor).broker->actsAsOwner(portal, start + 300ms));
    for (int i = 1; i < 4; ++i)
        cluster.finishCalls(successor, start + 300ms + i * 400ms);
    for (const auto& id : cluster.ids) {
        if (id != owner)
            cr_assert_eq(cluster.instances.at(id).done.size(), 2);
        if (id != successor)
            cr_assert_eq(cluster.instances.at(id).lastCall, 0, "no other instance sends calls");
    }
}

Test(PieceBroker, piecesAreProcessedLocallyIfTheNextCandidateIsSilentToo)
{
    Cluster cluster(3);
    for (const auto& id : cluster.ids) {
        if (id != cluster.nonOwner())
            cluster.disconnected.insert(id);
    }
    const auto id = cluster.nonOwner();
    cluster.submit(id, 1, 2, start);
    for (const auto after : { 300ms, 600ms })
        cluster.execute(
            id, start + after, [&](PieceBroker& broker, BrokerActions& out) { broker.onTimer(start + after, out); });
    cr_assert_eq(cluster.instances.at(id).sent.size(), 1);
    cluster.finishCalls(id, start + 900ms);
    cr_assert_eq(cluster.instances.at(id).done.size(), 2);
}

Test(PieceBroker, removedOwnerIsReplacedImmediately)
{
    Cluster cluster(3);
    const auto owner = cluster.owner();
    const auto id = cluster.nonOwner();
    cluster.submit(id, 1, 2, start);
    cluster.disconnected.insert(owner);
    cluster.setMembers(id, { id, cluster.nonOwner(1) }, { owner }, start + 50ms);
    const auto successor = cluster.instances.at(id).broker->ownerOf(portal, start + 50ms);
    cr_assert_eq(cluster.instances.at(successor).sent.size(), 1);
}

Test(PieceBroker, leavingOwnerHandsOverItsQueue)
{
    Cluster cluster(3, 1);
    const auto owner = cluster.owner();
    const auto id = cluster.nonOwner();
    cluster.submit(owner, 1, 1, start);
    cluster.submit(id, 1, 2, start);
    cluster.submit(owner, 2, 1, start);
    std::vector<InstanceId> rest;
    for (const auto& it : cluster.ids) {
        if (it != owner)
            rest.push_back(it);
    }
    for (const auto& it : cluster.ids)
        cluster.setMembers(it, rest, {}, start + 20ms);
    const auto successor = cluster.instances.at(id).broker->ownerOf(portal, start + 20ms);
    cluster.finishCalls(owner, start + 217ms);
    cluster.finishCalls(successor, start + 250ms);
    cluster.finishCalls(successor, start + 600ms);
    cr_assert_eq(cluster.instances.at(owner).done.size(), 2);
    cr_assert_eq(cluster.instances.at(id).done.size(), 2);
    for (const auto& it : cluster.instances.at(id).done)
        cr_assert(std::holds_alternative<ResultHandle>(it.result));
}

Test(PieceBroker, cancelledPiecesAreNotProcessed)
{
    Cluster cluster(3, 1);
    const auto id = cluster.nonOwner();
    cluster.submit(cluster.owner(), 1, 1, start);
    cluster.submit(id, 1, 2, start);
    cluster.execute(
        id, start + 10ms, [&](PieceBroker& broker, BrokerActions& out) { broker.cancel(PieceGroupId(1), out); });
    cluster.finishCalls(cluster.owner(), start + 217ms);
    cr_assert_eq(cluster.instances.at(cluster.owner()).sent.size(), 0);
    cr_assert_eq(cluster.instances.at(id).done.size(), 0);
}

Test(PieceBroker, ownerReportsItsQueueWaits)
{
    Cluster cluster(3, 1);
    const auto id = cluster.nonOwner();
    for (std::uint64_t i = 1; i < 40; ++i)
        cluster.submit(id, i, 1, start);
    cr_assert(cluster.instances.at(id).broker->expectedWait(portal, 0, false, 1, start + 1ms) > 500ms);
    cr_assert(cluster.instances.at(id).broker->expectedWait(portal, 0, false, 1, start + 2s) == Duration {});
}

Test(PieceBroker, unreachableOwnerIsReplacedImmediately)
{
    Cluster cluster(3, 1);
    const auto owner = cluster.owner();
    const auto id = cluster.nonOwner();
    cluster.submit(id, 1, 2, start);
    cr_assert_eq(cluster.instances.at(owner).sent.size(), 1);
    cluster.disconnected.insert(owner);
    cluster.execute(id, start + 50ms,
        [&](PieceBroker& broker, BrokerActions& out) { broker.onUnreachable(owner, start + 50ms, out); });
    const auto successor = cluster.instances.at(id).broker->ownerOf(portal, start + 50ms);
    cr_assert_neq(successor, owner);
    cluster.finishCalls(successor, start + 300ms);
    cr_assert_eq(cluster.instances.at(id).done.size(), 2);
}

Test(PieceBroker, lostConnectionDoesNotRunPiecesAgain)
{
    Cluster cluster(3, 1);
    const auto owner = cluster.owner();
    const auto id = cluster.nonOwner();
    cluster.submit(id, 1, 2, start);
    cluster.submit(id, 2, 2, start);
    cluster.execute(id, start + 50ms,
        [&](PieceBroker& broker, BrokerActions& out) { broker.onConnectionLost(owner, start + 50ms, out); });
    cr_assert_eq(cluster.instances.at(id).broker->ownerOf(portal, start + 50ms), owner);
    cluster.execute(
        id, start + 350ms, [&](PieceBroker& broker, BrokerActions& out) { broker.onTimer(start + 350ms, out); });
    for (int i = 1; i < 4; ++i) {
        cluster.finishCalls(owner, start + i * 300ms);
        cluster.execute(owner, start + i * 300ms,
            [&](PieceBroker& broker, BrokerActions& out) { broker.dispatch(portal, start + i * 300ms, out); });
    }
    cr_assert_eq(cluster.instances.at(id).done.size(), 4, "each piece has one result");
    cr_assert(cluster.instances.at(owner).sent.empty());
    cr_assert_eq(cluster.instances.at(cluster.nonOwner(1)).lastCall, 0);
}

Test(PieceBroker, requestLostWithItsConnectionIsSentAgain)
{
    Cluster cluster(3, 1);
    const auto owner = cluster.owner();
    const auto id = cluster.nonOwner();
    cluster.disconnected.insert(owner);
    cluster.submit(id, 1, 2, start);
    cluster.disconnected.clear();
    cluster.execute(id, start + 5ms,
        [&](PieceBroker& broker, BrokerActions& out) { broker.onConnectionLost(owner, start + 5ms, out); });
    cr_assert_eq(cluster.instances.at(owner).sent.size(), 1);
    cluster.finishCalls(owner, start + 250ms);
    cr_assert_eq(cluster.instances.at(id).done.size(), 2);
}

Test(PieceBroker, longQueueDoesNotCauseReassignmentWhileHeartbeatsArrive)
{
    Cluster cluster(3, 1);
    const auto id = cluster.nonOwner();
    for (std::uint64_t i = 1; i < 60; ++i)
        cluster.submit(id, i, 1, start);
    for (int i = 1; i < 11; ++i) {
        for (const auto& it : cluster.ids)
            cluster.execute(it, start + i * 500ms,
                [&](PieceBroker& broker, BrokerActions& out) { broker.onTimer(start + i * 500ms, out); });
    }
    cr_assert_eq(cluster.instances.at(id).lastCall, 0);
    cr_assert_eq(cluster.instances.at(cluster.nonOwner(1)).lastCall, 0);
}

Test(PieceBroker, ownerWithoutHeartbeatsAfterItsAcknowledgementIsReplaced)
{
    Cluster cluster(3, 1);
    const auto id = cluster.nonOwner();
    cluster.submit(id, 1, 1, start);
    cluster.disconnected.insert(cluster.owner());
    cluster.execute(id, start + 1s, [&](PieceBroker& broker, BrokerActions& out) { broker.onTimer(start + 1s, out); });
    const auto successor = [&] { return cluster.instances.at(id).broker->ownerOf(portal, start + 1400ms); };
    cr_assert_eq(successor(), cluster.owner());
    cluster.execute(
        id, start + 1400ms, [&](PieceBroker& broker, BrokerActions& out) { broker.onTimer(start + 1400ms, out); });
    cr_assert_neq(successor(), cluster.owner());
    cr_assert_eq(cluster.instances.at(successor()).sent.size(), 1);
}

// Results that were lost on the way were never missed while other messages of the owner arrived.
Test(PieceBroker, lostResultsAreProducedAgainAlthoughTheOwnerSendsOtherMessages)
{
    Cluster cluster(3, 1);
    const auto owner = cluster.owner();
    const auto id = cluster.nonOwner();
    cluster.submit(id, 1, 2, start);
    cluster.disconnected.insert(id);
    cluster.finishCalls(owner, start + 217ms);
    cluster.disconnected.clear();
    cr_assert(cluster.instances.at(id).done.empty());
    for (int i = 0; i < 20; ++i) {
        const auto now = start + 250ms + i * 100ms;
        cluster.submit(id, 100 + static_cast<std::uint64_t>(i), 1, now);
        cluster.finishCalls(owner, now + 50ms);
        for (const auto& it : cluster.ids)
            cluster.execute(
                it, now + 60ms, [&](PieceBroker& broker, BrokerActions& out) { broker.onTimer(now + 60ms, out); });
    }
    const auto& done = cluster.instances.at(id).done;
    cr_assert_eq(
        std::count_if(done.begin(), done.end(), [](const auto& it) { return it.group == PieceGroupId(1); }), 2);
    cr_assert_eq(cluster.instances.at(id).lastCall, 0);
    cr_assert_eq(cluster.instances.at(cluster.nonOwner(1)).lastCall, 0, "the owner is not replaced");
}

// The owner still had the rest of the group in its queue and took the request for a copy.
Test(PieceBroker, partOfTheResultsThatWasLostIsProducedAgain)
{
    Cluster cluster(3, 1);
    const auto owner = cluster.owner();
    const auto id = cluster.nonOwner();
    cluster.submit(id, 1, 12, start);
    cluster.disconnected.insert(id);
    cluster.finishCalls(owner, start + 370ms);
    cluster.disconnected.clear();
    cluster.execute(id, start + 400ms,
        [&](PieceBroker& broker, BrokerActions& out) { broker.onConnectionLost(owner, start + 400ms, out); });
    for (int i = 1; i < 5; ++i)
        cluster.finishCalls(owner, start + 400ms + i * 300ms);
    std::set<std::uint32_t> indexes;
    for (const auto& it : cluster.instances.at(id).done)
        indexes.insert(it.index);
    cr_assert_eq(indexes.size(), 12);
    cr_assert_eq(cluster.instances.at(id).done.size(), 12, "each piece has one result");
}

// Pieces that were handed back and forth took the place of the rest of their group, which was forgotten.
Test(PieceBroker, groupWhosePiecesAreInTwoPlacesIsHandedOverWhole)
{
    Cluster cluster(2, 1);
    const auto owner = cluster.owner();
    const auto other = cluster.nonOwner();
    const auto setOwner = [&](const InstanceId& id, TimePoint now) {
        for (const auto& it : { owner, other })
            cluster.setMembers(it, { id }, {}, now);
    };
    setOwner(other, start);
    cluster.submit(other, 1, 1, start);
    setOwner(owner, start);
    cluster.submit(owner, 1, 12, start);
    const auto call = cluster.instances.at(owner).sent.at(0);
    cr_assert_eq(call.pieces.size(), 10);
    // The other two are handed over and back. Then the server refuses the call, and all are handed over.
    setOwner(other, start + 10ms);
    setOwner(owner, start + 20ms);
    cluster.submit(other, 2, 1, start + 30ms);
    cluster.instances.at(owner).sent.clear();
    cluster.execute(owner, start + 40ms, [&](PieceBroker& broker, BrokerActions& out) {
        broker.onBatchEnd(portal, call.call, BatchOutcome::NotStarted, {}, start + 40ms, out);
    });
    setOwner(other, start + 50ms);
    for (int i = 1; i < 8; ++i) {
        for (const auto& it : { owner, other }) {
            const auto now = start + 300ms + i * 400ms;
            cluster.execute(
                it, now, [&](PieceBroker& broker, BrokerActions& out) { broker.dispatch(portal, now, out); });
            cluster.finishCalls(it, now);
        }
    }
    std::set<std::uint32_t> indexes;
    for (const auto& it : cluster.instances.at(owner).done)
        indexes.insert(it.index);
    cr_assert_eq(indexes.size(), 12);
}

Test(PieceBroker, resultsReportTheCurrentQueueWaits)
{
    Cluster cluster(3, 1);
    const auto requester = cluster.nonOwner(0);
    cluster.submit(requester, 1, 1, start);
    // Another instance fills the queue after the acknowledgement reported it as empty.
    for (std::uint64_t i = 1; i < 20; ++i)
        cluster.submit(cluster.nonOwner(1), i, 3, start + 10ms);
    const auto wait
        = [&](TimePoint now) { return cluster.instances.at(requester).broker->expectedWait(portal, 0, false, 1, now); };
    const auto before = wait(start + 200ms);
    cluster.finishCalls(cluster.owner(), start + 217ms);
    cr_assert_gt(wait(start + 230ms), 3 * before);
    cr_assert_gt(wait(start + 1000ms), 3 * before, "the lifetime of a report starts when it arrives");
}
