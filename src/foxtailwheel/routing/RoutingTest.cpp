#include "foxtailwheel/routing/ServerPool.h"
#include "foxtailwheel/routing/Subset.h"

#include "foxtailwheel/testing/TestDeclarations.h"

#include <criterion/criterion.h>
#include <map>
#include <set>

using namespace foxtailwheel;
using namespace std::chrono_literals;
using routing::CallOutcome;
using routing::LoadEstimate;
using routing::PlacementRequest;
using routing::PrefixIndex;
using routing::ServerHealth;

namespace {

constexpr TimePoint start { 1h };

std::unique_ptr<routing::ServerPool> makePool(std::size_t servers)
{
    const auto service = testing::makeService("encode", config::ServiceKind::Encoder, servers);
    routing::PoolOptions options;
    options.self = InstanceId("instance-0");
    options.zone = AvailabilityZoneId("a");
    return routing::ServerPool::create(service, *testing::smallDeployment(servers), options);
}

} // namespace

Test(LoadEstimate, ownCallsAreSubtractedFromReports)
{
    LoadEstimate load;
    TimePoint now = start;
    for (int i = 0; i < 5; ++i, now += 200ms)
        load.onCallStarted(now);
    load.onReport({ 8, 2, now });
    cr_assert_float_eq(load.otherCalls(), 5, 1e-9);
    cr_assert_float_eq(load.totalCalls(), 10, 1e-9);
    load.onReport({ 99, 0, now - 1s });
    cr_assert_float_eq(load.otherCalls(), 5, 1e-9);
}

Test(ServerHealth, suspectsAfterTwoFailuresAndRecoversAfterTwoSuccesses)
{
    ServerHealth health;
    health.onCallEnded(CallOutcome::Failed, start);
    cr_assert(health.isUsable(start, 3));
    health.onCallEnded(CallOutcome::Failed, start);
    cr_assert(!health.isUsable(start, 0));
    cr_assert(health.isUsable(start + 1s, 0));
    cr_assert(!health.isUsable(start + 1s, 1));
    health.onCallEnded(CallOutcome::Success, start + 1s);
    cr_assert(health.isSuspected());
    health.onCallEnded(CallOutcome::Success, start + 1s);
    cr_assert(!health.isSuspected());
}

Test(ServerHealth, backoffDoublesWithEachFailedProbe)
{
    ServerHealth health;
    health.onCallEnded(CallOutcome::Unreachable, start);
    cr_assert(health.isUsable(start + 600ms, 0));
    health.onCallEnded(CallOutcome::Unreachable, start + 600ms);
    cr_assert(!health.isUsable(start + 1400ms, 0));
    cr_assert(health.isUsable(start + 1700ms, 0));
}

Test(ServerHealth, rejectedCallsDoNotMakeAServerSuspected)
{
    ServerHealth health;
    for (int i = 0; i < 10; ++i)
        health.onCallEnded(CallOutcome::Rejected, start);
    cr_assert(!health.isSuspected());
}

Test(PrefixIndex, sequenceGapsLowerTheHitProbability)
{
    PrefixIndex index;
    index.onCacheEvent({ 1, 42, false });
    const double before = index.hitProbability(42);
    index.onCacheEvent({ 5, 43, false });
    cr_assert_lt(index.hitProbability(42), before);
    index.onCacheEvent({ 6, 42, true });
    cr_assert_float_eq(index.hitProbability(42), 0, 1e-9);
    index.onCacheEvent({ 2, 42, false });
    cr_assert_float_eq(index.hitProbability(42), 0, 1e-9);
}

Test(PrefixIndex, evictsTheLeastRecentlyUsedPrefix)
{
    PrefixIndex index(2);
    index.onPrefixUsed(1);
    index.onPrefixUsed(2);
    index.onPrefixUsed(3);
    cr_assert_eq(index.size(), 2U);
    cr_assert_float_eq(index.hitProbability(1), 0, 1e-9);
}

Test(Subset, isBalancedAndStable)
{
    const auto servers = testing::makeService("encode", config::ServiceKind::Encoder, 200).servers;
    std::map<std::size_t, int> useCount;
    for (int i = 0; i < 200; ++i) {
        const auto zone = AvailabilityZoneId(i % 2 == 0 ? "a" : "b");
        for (const auto index : routing::selectSubset(servers, InstanceId(std::to_string(i)), zone, 32))
            ++useCount[index];
    }
    for (const auto& it : useCount)
        cr_assert(
            it.second > 8 && it.second < 72, "server %zu is in the subset of %d of 200 instances", it.first, it.second);
    auto fewer = servers;
    fewer.pop_back();
    const auto before = routing::selectSubset(servers, InstanceId("x"), AvailabilityZoneId("a"), 32);
    const auto after = routing::selectSubset(fewer, InstanceId("x"), AvailabilityZoneId("a"), 32);
    std::set<std::size_t> previousSubset(before.begin(), before.end());
    std::size_t commonCount = 0;
    for (const auto it : after)
        commonCount += previousSubset.contains(it) ? 1 : 0;
    cr_assert_geq(commonCount, 31U);
}

Test(ServerPool, prefersTheLocalZoneUntilItsSlotsAreBusy)
{
    const auto pool = makePool(4);
    int crossZoneCalls = 0;
    for (int i = 0; i < 8; ++i)
        crossZoneCalls += pool->place({}, start)->crossesZone ? 1 : 0;
    cr_assert_eq(crossZoneCalls, 0);
    for (int i = 0; i < 16; ++i)
        crossZoneCalls += pool->place({}, start)->crossesZone ? 1 : 0;
    cr_assert_geq(crossZoneCalls, 6);
}

Test(ServerPool, aLeavingServerReceivesNoNewCalls)
{
    const auto pool = makePool(4);
    const BackendServerId leaving("encode-0");
    pool->setLeaving({ leaving });
    for (int i = 0; i < 100; ++i)
        cr_assert(pool->place({}, start)->server.id != leaving);
}

Test(ServerPool, usesAvoidedServersOnlyWithoutAnAlternative)
{
    const auto pool = makePool(2);
    const PlacementRequest request { {}, { BackendServerId("encode-0") }, false };
    for (int i = 0; i < 20; ++i)
        cr_assert(pool->place(request, start)->server.id == BackendServerId("encode-1"));
    const PlacementRequest avoidAll { {}, { BackendServerId("encode-0"), BackendServerId("encode-1") }, false };
    cr_assert(pool->place(avoidAll, start).has_value());
}

Test(ServerPool, healthyOnlyCallsDoNotProbeSuspectedServers)
{
    const auto pool = makePool(1);
    pool->place({}, start);
    pool->onCallEnded(BackendServerId("encode-0"), { CallOutcome::Unreachable, {}, {} }, start);
    const PlacementRequest healthyOnly { {}, {}, true };
    cr_assert(!pool->place(healthyOnly, start + 5s).has_value());
    cr_assert(pool->place({}, start + 5s).has_value());
}

Test(ServerPool, aSlowServerReceivesFewCalls)
{
    const auto pool = makePool(4);
    TimePoint now = start;
    const BackendServerId slow("encode-0");
    int lateSlowCalls = 0;
    for (int i = 0; i < 400; ++i, now += 10ms) {
        const auto placement = pool->place({}, now);
        const bool isSlow = placement->server.id == slow;
        lateSlowCalls += isSlow && i >= 200 ? 1 : 0;
        pool->onCallEnded(
            placement->server.id, { CallOutcome::Success, isSlow ? Duration(100ms) : Duration(10ms), {} }, now);
    }
    cr_assert_lt(lateSlowCalls, 20);
}

Test(ServerPool, anUpdateKeepsCallsInProgress)
{
    const auto pool = makePool(3);
    pool->place({}, start);
    const auto declared = testing::smallDeployment(4);
    pool->update(testing::makeService("encode", config::ServiceKind::Encoder, 4), *declared);
    std::uint32_t own = 0;
    for (const auto& it : pool->status())
        own += it.ownCalls;
    cr_assert_eq(own, 1U);
    cr_assert_eq(pool->status().size(), 4U);
}

// Fails if a zone that is declared as drained gets calls, or all servers being drained does not show as a pause.
Test(ServerPool, serversInZonesDeclaredAsDrainedGetNoCalls)
{
    const auto service = testing::makeService("encode", config::ServiceKind::Encoder, 4);
    auto declarations = *testing::smallDeployment(4);
    routing::PoolOptions options;
    options.self = InstanceId("instance-0");
    options.zone = AvailabilityZoneId("a");
    const auto pool = routing::ServerPool::create(service, declarations, options);
    const auto zones = pool->serversByZone();
    cr_assert_geq(zones.size(), 2);
    const auto drained = zones.begin()->first;
    for (auto& it : declarations.zones)
        it.drained = it.id == drained;
    pool->update(service, declarations);
    for (int i = 0; i < 50; ++i)
        cr_assert_neq(pool->place({}, start)->server.zone, drained);
    cr_assert(!pool->pausedUntil(start));
    for (auto& it : declarations.zones)
        it.drained = true;
    pool->update(service, declarations);
    cr_assert(!pool->place({}, start));
    cr_assert(pool->pausedUntil(start) == start + 1s);
}
