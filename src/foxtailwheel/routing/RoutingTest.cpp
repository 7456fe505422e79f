#include "foxtailwheel/routing/ServerPool.h"
#include "foxtailwheel/routing/Subset.h"

#include "foxtailwheel/testing/Declared.h"

#include <criterion/criterion.h>
#include <map>
#include <set>

using namespace foxtailwheel;
using namespace std::chrono_literals;
using routing::CallSign;
using routing::Health;
using routing::LoadEstimate;
using routing::PlacementRequest;
using routing::PrefixIndex;

namespace {

constexpr TimePoint start { 1h };

std::unique_ptr<routing::ServerPool> poolOf(std::size_t servers)
{
    const auto service = testing::serviceOf("encode", config::ServiceKind::Encoder, servers);
    routing::PoolOptions options;
    options.self = InstanceId("instance-0");
    options.zone = AvailabilityZoneId("a");
    return routing::ServerPool::create(service, *testing::smallDeployment(servers), options);
}

} // namespace

Test(LoadEstimate, ownCallsAreTakenOutOfReports)
{
    LoadEstimate load;
    TimePoint now = start;
    for (int i = 0; i < 5; ++i, now += 200ms)
        load.started(now);
    load.report({ 8, 2, now });
    cr_assert_float_eq(load.others(), 5, 1e-9);
    cr_assert_float_eq(load.total(), 10, 1e-9);
    load.report({ 99, 0, now - 1s });
    cr_assert_float_eq(load.others(), 5, 1e-9);
}

Test(Health, isQuickToSuspectAndCarefulToReturn)
{
    Health health;
    health.observe(CallSign::Broken, start);
    cr_assert(health.usable(start, 3));
    health.observe(CallSign::Broken, start);
    cr_assert(!health.usable(start, 0));
    cr_assert(health.usable(start + 1s, 0));
    cr_assert(!health.usable(start + 1s, 1));
    health.observe(CallSign::Good, start + 1s);
    cr_assert(health.suspected());
    health.observe(CallSign::Good, start + 1s);
    cr_assert(!health.suspected());
}

Test(Health, theBreakGrowsWithEachFailedTrial)
{
    Health health;
    health.observe(CallSign::Unreachable, start);
    cr_assert(health.usable(start + 600ms, 0));
    health.observe(CallSign::Unreachable, start + 600ms);
    cr_assert(!health.usable(start + 1400ms, 0));
    cr_assert(health.usable(start + 1700ms, 0));
}

Test(Health, aBusyServerIsNotSuspected)
{
    Health health;
    for (int i = 0; i < 10; ++i)
        health.observe(CallSign::Busy, start);
    cr_assert(!health.suspected());
}

Test(PrefixIndex, gapsLowerTheTrust)
{
    PrefixIndex index;
    index.event({ 1, 42, false });
    const double before = index.confidence(42);
    index.event({ 5, 43, false });
    cr_assert_lt(index.confidence(42), before);
    index.event({ 6, 42, true });
    cr_assert_float_eq(index.confidence(42), 0, 1e-9);
    index.event({ 2, 42, false });
    cr_assert_float_eq(index.confidence(42), 0, 1e-9);
}

Test(PrefixIndex, forgetsTheLeastRecent)
{
    PrefixIndex index(2);
    index.used(1);
    index.used(2);
    index.used(3);
    cr_assert_eq(index.size(), 2U);
    cr_assert_float_eq(index.confidence(1), 0, 1e-9);
}

Test(Subset, isEvenAndStable)
{
    const auto servers = testing::serviceOf("encode", config::ServiceKind::Encoder, 200).servers;
    std::map<std::size_t, int> uses;
    for (int i = 0; i < 200; ++i) {
        const auto zone = AvailabilityZoneId(i % 2 == 0 ? "a" : "b");
        for (const auto place : routing::drawSubset(servers, InstanceId(std::to_string(i)), zone, 32))
            ++uses[place];
    }
    for (const auto& it : uses)
        cr_assert(it.second > 8 && it.second < 72, "server %zu is used by %d of 200", it.first, it.second);
    auto fewer = servers;
    fewer.pop_back();
    const auto before = routing::drawSubset(servers, InstanceId("x"), AvailabilityZoneId("a"), 32);
    const auto after = routing::drawSubset(fewer, InstanceId("x"), AvailabilityZoneId("a"), 32);
    std::set<std::size_t> common(before.begin(), before.end());
    std::size_t kept = 0;
    for (const auto it : after)
        kept += common.contains(it) ? 1 : 0;
    cr_assert_geq(kept, 31U);
}

Test(ServerPool, prefersTheOwnZoneUntilItIsFull)
{
    const auto pool = poolOf(4);
    int crossed = 0;
    for (int i = 0; i < 8; ++i)
        crossed += pool->place({}, start)->crossesZone ? 1 : 0;
    cr_assert_eq(crossed, 0);
    for (int i = 0; i < 16; ++i)
        crossed += pool->place({}, start)->crossesZone ? 1 : 0;
    cr_assert_geq(crossed, 6);
}

Test(ServerPool, aLeavingServerGetsNothingNew)
{
    const auto pool = poolOf(4);
    const BackendServerId leaving("encode-0");
    pool->setLeaving({ leaving });
    for (int i = 0; i < 100; ++i)
        cr_assert(pool->place({}, start)->server.id != leaving);
}

Test(ServerPool, avoidsServersThatWereTriedWhereItCan)
{
    const auto pool = poolOf(2);
    const PlacementRequest request { {}, { BackendServerId("encode-0") }, false };
    for (int i = 0; i < 20; ++i)
        cr_assert(pool->place(request, start)->server.id == BackendServerId("encode-1"));
    const PlacementRequest all { {}, { BackendServerId("encode-0"), BackendServerId("encode-1") }, false };
    cr_assert(pool->place(all, start).has_value());
}

Test(ServerPool, carefulCallsDoNotTrySuspectedServers)
{
    const auto pool = poolOf(1);
    pool->place({}, start);
    pool->ended(BackendServerId("encode-0"), { CallSign::Unreachable, {}, {} }, start);
    const PlacementRequest careful { {}, {}, true };
    cr_assert(!pool->place(careful, start + 5s).has_value());
    cr_assert(pool->place({}, start + 5s).has_value());
}

Test(ServerPool, aSlowServerIsAvoided)
{
    const auto pool = poolOf(4);
    TimePoint now = start;
    const BackendServerId slow("encode-0");
    int late = 0;
    for (int i = 0; i < 400; ++i, now += 10ms) {
        const auto placement = pool->place({}, now);
        const bool isSlow = placement->server.id == slow;
        late += isSlow && i >= 200 ? 1 : 0;
        pool->ended(placement->server.id, { CallSign::Good, isSlow ? Duration(100ms) : Duration(10ms), {} }, now);
    }
    cr_assert_lt(late, 20);
}

Test(ServerPool, anUpdateKeepsWhatIsKnown)
{
    const auto pool = poolOf(3);
    pool->place({}, start);
    const auto declared = testing::smallDeployment(4);
    pool->update(testing::serviceOf("encode", config::ServiceKind::Encoder, 4), *declared);
    std::uint32_t own = 0;
    for (const auto& it : pool->status())
        own += it.ownCalls;
    cr_assert_eq(own, 1U);
    cr_assert_eq(pool->status().size(), 4U);
}
