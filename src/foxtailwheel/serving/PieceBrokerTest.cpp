#include "foxtailwheel/serving/PieceBroker.h"

#include <criterion/criterion.h>
#include <map>
#include <set>

using namespace foxtailwheel;
using namespace std::chrono_literals;
using namespace foxtailwheel::serving;

namespace {

constexpr TimePoint start { 1h };
const ServiceId portal("portal");

/// Some instances, each with its broker and its queue, before the same servers; messages are carried by hand.
struct Group {
    struct Instance {
        std::unique_ptr<routing::ServerPool> pool;
        std::unique_ptr<BatchQueue> queue;
        std::unique_ptr<PieceBroker> broker;
        std::vector<SendBatch> sent;
        std::vector<PieceDone> done;
        std::uint64_t lastCall = 0;
    };

    explicit Group(std::size_t n, std::size_t servers = 2)
    {
        for (std::size_t i = 0; i < n; ++i)
            ids.emplace_back("i" + std::to_string(i));
        for (const auto& id : ids)
            make(id, servers);
        for (const auto& id : ids)
            setMembers(id, ids, {}, start);
    }

    void make(const InstanceId& id, std::size_t servers)
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
            BatchQueueEvents { [&it] { return CallId(++it.lastCall); }, [](std::size_t, TimePoint) { return true; } });
        it.broker = std::make_unique<PieceBroker>(
            id, [queue = it.queue.get()](const ServiceId& s) { return s == portal ? queue : nullptr; });
    }

    void setMembers(
        const InstanceId& id, const std::vector<InstanceId>& live, const std::set<InstanceId>& gone, TimePoint now)
    {
        run(id, now, [&](PieceBroker& broker, BrokerActions& out) { broker.setMembers(live, gone, now, out); });
    }

    void ask(const InstanceId& id, std::uint64_t group, std::size_t pieces, TimePoint now)
    {
        PieceGroup out { PieceGroupId(group), {}, 0, now + 2s, now + 6s, {}, now + 2s, 0 };
        for (std::uint32_t i = 0; i < pieces; ++i)
            out.pieces.push_back({ id.value() + "/" + std::to_string(group), 0, i, "k", {} });
        run(id, now,
            [&](PieceBroker& broker, BrokerActions& actions) { broker.ask(portal, std::move(out), now, actions); });
    }

    /// Ends all calls of an instance with results.
    void endCalls(const InstanceId& id, TimePoint now)
    {
        for (const auto& call : std::exchange(instances.at(id).sent, {})) {
            std::vector<PieceResult> results;
            for (const auto& it : call.pieces)
                results.emplace_back(ResultHandle { it.request + "#" + std::to_string(it.index), call.server });
            run(id, now, [&](PieceBroker& broker, BrokerActions& out) {
                broker.onBatchEnd(portal, call.call, BatchEnd::Answered, results, now, out);
            });
        }
    }

    void run(const InstanceId& id, TimePoint now, const std::function<void(PieceBroker&, BrokerActions&)>& work)
    {
        auto& it = instances.at(id);
        BrokerActions actions;
        work(*it.broker, actions);
        for (auto& action : actions) {
            if (auto* send = std::get_if<SendBatch>(&action))
                it.sent.push_back(*send);
            else if (auto* done = std::get_if<PieceDone>(&action))
                it.done.push_back(*done);
            else if (auto* tell = std::get_if<TellInstance>(&action);
                     tell != nullptr && !cut.contains(tell->to) && !cut.contains(id))
                run(tell->to, now,
                    [&](PieceBroker& broker, BrokerActions& out) { broker.onMessage(id, tell->message, now, out); });
        }
    }

    InstanceId owner() const { return instances.at(ids[0]).broker->ownerOf(portal, start); }
    InstanceId other(std::size_t skip = 0) const
    {
        for (const auto& it : ids) {
            if (it != owner() && skip-- == 0)
                return it;
        }
        return {};
    }

    std::vector<InstanceId> ids;
    std::map<InstanceId, Instance> instances;
    std::set<InstanceId> cut; ///< Instances that no message reaches or leaves.
};

} // namespace

Test(PieceBroker, allInstancesDrawTheSameOwner)
{
    const Group group(9);
    for (const auto& it : group.instances)
        cr_assert_eq(it.second.broker->ownerOf(portal, start), group.owner());
}

Test(PieceBroker, batchesFormAcrossInstances)
{
    Group group(9, 1);
    for (const auto& id : group.ids)
        group.ask(id, 1, 1, start);
    auto& owner = group.instances.at(group.owner());
    cr_assert_eq(owner.sent.size(), 1);
    group.endCalls(group.owner(), start + 217ms);
    cr_assert_eq(owner.sent.size(), 1);
    cr_assert_eq(owner.sent[0].pieces.size(), 8, "the other eight went together");
    group.endCalls(group.owner(), start + 600ms);
    for (const auto& it : group.instances) {
        cr_assert_eq(it.second.done.size(), 1);
        const auto& handle = std::get<ResultHandle>(it.second.done[0].result);
        cr_assert_eq(handle.value, it.first.value() + "/1#0", "each gets its own result");
    }
}

Test(PieceBroker, theNextInLineGathersWhatASilentOwnerDoesNotConfirm)
{
    Group group(9, 2);
    const auto owner = group.owner();
    group.cut.insert(owner);
    for (const auto& id : group.ids) {
        if (id != owner)
            group.ask(id, 1, 2, start);
    }
    for (const auto& id : group.ids) {
        if (id != owner)
            group.run(
                id, start + 300ms, [&](PieceBroker& broker, BrokerActions& out) { broker.onTime(start + 300ms, out); });
    }
    const auto heir = group.instances.at(group.other()).broker->ownerOf(portal, start + 300ms);
    cr_assert(group.instances.at(heir).broker->gathers(portal, start + 300ms));
    for (int i = 1; i < 4; ++i)
        group.endCalls(heir, start + 300ms + i * 400ms);
    for (const auto& id : group.ids) {
        if (id != owner)
            cr_assert_eq(group.instances.at(id).done.size(), 2);
        if (id != heir)
            cr_assert_eq(group.instances.at(id).lastCall, 0, "no instance calls for itself");
    }
}

Test(PieceBroker, whereTheNextInLineIsSilentTooThePiecesAreMadeHere)
{
    Group group(3);
    for (const auto& id : group.ids) {
        if (id != group.other())
            group.cut.insert(id);
    }
    const auto id = group.other();
    group.ask(id, 1, 2, start);
    for (const auto after : { 300ms, 600ms })
        group.run(
            id, start + after, [&](PieceBroker& broker, BrokerActions& out) { broker.onTime(start + after, out); });
    cr_assert_eq(group.instances.at(id).sent.size(), 1);
    group.endCalls(id, start + 900ms);
    cr_assert_eq(group.instances.at(id).done.size(), 2);
}

Test(PieceBroker, anOwnerThatIsGoneIsStoodInForAtOnce)
{
    Group group(3);
    const auto owner = group.owner();
    const auto id = group.other();
    group.ask(id, 1, 2, start);
    group.cut.insert(owner);
    group.setMembers(id, { id, group.other(1) }, { owner }, start + 50ms);
    const auto heir = group.instances.at(id).broker->ownerOf(portal, start + 50ms);
    cr_assert_eq(group.instances.at(heir).sent.size(), 1);
}

Test(PieceBroker, aLeavingOwnerHandsItsQueueOver)
{
    Group group(3, 1);
    const auto owner = group.owner();
    const auto id = group.other();
    group.ask(owner, 1, 1, start);
    group.ask(id, 1, 2, start);
    group.ask(owner, 2, 1, start);
    std::vector<InstanceId> rest;
    for (const auto& it : group.ids) {
        if (it != owner)
            rest.push_back(it);
    }
    for (const auto& it : group.ids)
        group.setMembers(it, rest, {}, start + 20ms);
    const auto heir = group.instances.at(id).broker->ownerOf(portal, start + 20ms);
    group.endCalls(owner, start + 217ms);
    group.endCalls(heir, start + 250ms);
    group.endCalls(heir, start + 600ms);
    cr_assert_eq(group.instances.at(owner).done.size(), 2);
    cr_assert_eq(group.instances.at(id).done.size(), 2);
    for (const auto& it : group.instances.at(id).done)
        cr_assert(std::holds_alternative<ResultHandle>(it.result));
}

Test(PieceBroker, cancelledPiecesAreNotMade)
{
    Group group(3, 1);
    const auto id = group.other();
    group.ask(group.owner(), 1, 1, start);
    group.ask(id, 1, 2, start);
    group.run(id, start + 10ms, [&](PieceBroker& broker, BrokerActions& out) { broker.cancel(PieceGroupId(1), out); });
    group.endCalls(group.owner(), start + 217ms);
    cr_assert_eq(group.instances.at(group.owner()).sent.size(), 0);
    cr_assert_eq(group.instances.at(id).done.size(), 0);
}

Test(PieceBroker, theOwnerTellsItsWaits)
{
    Group group(3, 1);
    const auto id = group.other();
    for (std::uint64_t i = 1; i < 40; ++i)
        group.ask(id, i, 1, start);
    cr_assert(group.instances.at(id).broker->expectedWait(portal, 0, false, 1, start + 1ms) > 500ms);
    cr_assert(group.instances.at(id).broker->expectedWait(portal, 0, false, 1, start + 2s) == Duration {});
}

Test(PieceBroker, whatALostOwnerHadIsAskedOfAnotherAtOnce)
{
    Group group(3, 1);
    const auto owner = group.owner();
    const auto id = group.other();
    group.ask(id, 1, 2, start);
    cr_assert_eq(group.instances.at(owner).sent.size(), 1);
    group.cut.insert(owner);
    group.run(
        id, start + 50ms, [&](PieceBroker& broker, BrokerActions& out) { broker.onLost(owner, start + 50ms, out); });
    const auto heir = group.instances.at(id).broker->ownerOf(portal, start + 50ms);
    cr_assert_neq(heir, owner);
    group.endCalls(heir, start + 300ms);
    cr_assert_eq(group.instances.at(id).done.size(), 2);
}

Test(PieceBroker, aLongQueueIsNoReasonToAskElsewhereWhileTheOwnerIsHeard)
{
    Group group(3, 1);
    const auto id = group.other();
    for (std::uint64_t i = 1; i < 60; ++i)
        group.ask(id, i, 1, start);
    for (int i = 1; i < 11; ++i) {
        for (const auto& it : group.ids)
            group.run(it, start + i * 500ms,
                [&](PieceBroker& broker, BrokerActions& out) { broker.onTime(start + i * 500ms, out); });
    }
    cr_assert_eq(group.instances.at(id).lastCall, 0);
    cr_assert_eq(group.instances.at(group.other(1)).lastCall, 0);
}

Test(PieceBroker, anOwnerThatFallsSilentAfterItsConfirmationIsReplaced)
{
    Group group(3, 1);
    const auto id = group.other();
    group.ask(id, 1, 1, start);
    group.cut.insert(group.owner());
    group.run(id, start + 1s, [&](PieceBroker& broker, BrokerActions& out) { broker.onTime(start + 1s, out); });
    const auto heir = [&] { return group.instances.at(id).broker->ownerOf(portal, start + 1400ms); };
    cr_assert_eq(heir(), group.owner());
    group.run(id, start + 1400ms, [&](PieceBroker& broker, BrokerActions& out) { broker.onTime(start + 1400ms, out); });
    cr_assert_neq(heir(), group.owner());
    cr_assert_eq(group.instances.at(heir()).sent.size(), 1);
}

Test(PieceBroker, resultsTellHowTheQueueStands)
{
    Group group(3, 1);
    const auto asker = group.other(0);
    group.ask(asker, 1, 1, start);
    // Others fill the queue after the asker was told that it is empty.
    for (std::uint64_t i = 1; i < 20; ++i)
        group.ask(group.other(1), i, 3, start + 10ms);
    const auto wait
        = [&](TimePoint now) { return group.instances.at(asker).broker->expectedWait(portal, 0, false, 1, now); };
    const auto before = wait(start + 200ms);
    group.endCalls(group.owner(), start + 217ms);
    cr_assert_gt(wait(start + 230ms), 3 * before);
    cr_assert_gt(wait(start + 1000ms), 3 * before, "the last word counts from when it was said");
}
