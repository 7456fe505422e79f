#include "foxtailwheel/routing/ServerPool.h"

#include "foxtailwheel/testing/TestDeclarations.h"

#include <criterion/criterion.h>

using namespace foxtailwheel;
using namespace std::chrono_literals;
using routing::CallOutcome;
using routing::HealthChange;
using routing::PlacementRequest;
using routing::ServerHealth;

namespace {

constexpr TimePoint start { 1h };
const BackendServerId serverId("encode-0");
const PlacementRequest withEffect { {}, {}, true };

config::Service makeService(WallTime startedAt = {})
{
    auto service = testing::makeService("encode", config::ServiceKind::Encoder, 1);
    service.servers[0].startedAt = startedAt;
    return service;
}

std::unique_ptr<routing::ServerPool> makePool()
{
    routing::PoolOptions options;
    options.self = InstanceId("instance-0");
    options.zone = AvailabilityZoneId("a");
    return routing::ServerPool::create(makeService(), *testing::smallDeployment(1), options);
}

void failCalls(routing::ServerPool& pool, CallOutcome outcome, TimePoint now)
{
    for (int i = 0; i < 2; ++i) {
        pool.place({}, now);
        pool.onCallEnded(serverId, { outcome, {}, {} }, now);
    }
}

} // namespace

// A service that gets only calls with an effect was refused for good after each of its servers had failed once.
Test(ServerPool, serverThatHasPassedACheckGetsCallsWithAnEffectAgain)
{
    for (const auto reason : { CallOutcome::Unreachable, CallOutcome::Failed }) {
        const auto pool = makePool();
        failCalls(*pool, reason, start);
        cr_assert(pool->serversToCheck(start + 100ms).empty());
        const auto due = start + 600ms;
        const auto checked = pool->serversToCheck(due);
        cr_assert_eq(checked.size(), 1U);
        pool->onCheckStarted(serverId, due);
        cr_assert(pool->serversToCheck(due + 1s).empty(), "one check at a time");
        cr_assert(!pool->place(withEffect, due).has_value());
        pool->onCheckEnded(checked[0], true, due);
        for (int i = 0; i < 2; ++i) {
            cr_assert(pool->place(withEffect, due).has_value());
            cr_assert(!pool->place(withEffect, due).has_value(), "one call at a time until two have succeeded");
            pool->onCallEnded(serverId, { CallOutcome::Success, 10ms, {} }, due);
        }
        cr_assert(pool->place(withEffect, due).has_value());
        cr_assert(pool->place(withEffect, due).has_value());
    }
}

Test(ServerPool, serverThatFailsTheCallAfterItsCheckIsCheckedAgainLater)
{
    const auto pool = makePool();
    failCalls(*pool, CallOutcome::Unreachable, start);
    const auto checked = pool->serversToCheck(start + 600ms);
    pool->onCheckEnded(checked[0], true, start + 600ms);
    cr_assert(pool->place(withEffect, start + 600ms).has_value());
    cr_assert_eq(pool->onCallEnded(serverId, { CallOutcome::Failed, {}, {} }, start + 600ms), HealthChange::Suspected);
    cr_assert(!pool->place(withEffect, start + 1700ms).has_value());
    cr_assert(pool->serversToCheck(start + 1500ms).empty());
    cr_assert_eq(pool->serversToCheck(start + 1700ms).size(), 1U);
}

Test(ServerPool, checkThatFailsDelaysTheNextOneAndOneWithoutAnEndDoesNotBlockIt)
{
    const auto pool = makePool();
    failCalls(*pool, CallOutcome::Unreachable, start);
    const auto checked = pool->serversToCheck(start + 600ms);
    pool->onCheckStarted(serverId, start + 600ms);
    pool->onCheckEnded(checked[0], false, start + 700ms);
    cr_assert(pool->serversToCheck(start + 1600ms).empty());
    cr_assert_eq(pool->serversToCheck(start + 1800ms).size(), 1U);
    pool->onCheckStarted(serverId, start + 1800ms);
    cr_assert_eq(pool->serversToCheck(start + 1800ms + ServerHealth::maxCheckTime).size(), 1U);
}

Test(ServerPool, pausedServerIsNotChecked)
{
    const auto pool = makePool();
    failCalls(*pool, CallOutcome::Unreachable, start);
    pool->pause(serverId, 3s, start);
    cr_assert(pool->serversToCheck(start + 2900ms).empty());
    cr_assert_eq(pool->serversToCheck(start + 3100ms).size(), 1U);
}

// The suspicion of a process that had crashed was kept for the next one under its id.
Test(ServerPool, anotherProcessOfAServerIsNotSuspected)
{
    for (const auto reason : { CallOutcome::Unreachable, CallOutcome::Failed }) {
        const auto pool = makePool();
        const auto declared = testing::smallDeployment(1);
        pool->update(makeService(WallTime(1ms)), *declared);
        failCalls(*pool, reason, start);
        const auto checked = pool->serversToCheck(start + 600ms);
        pool->update(makeService(WallTime(1ms)), *declared);
        cr_assert(!pool->place(withEffect, start).has_value());
        pool->update(makeService(WallTime(2ms)), *declared);
        cr_assert(pool->place(withEffect, start).has_value());
        failCalls(*pool, reason, start);
        pool->onCheckEnded(checked[0], true, start + 600ms);
        cr_assert(!pool->place(withEffect, start + 600ms).has_value(), "the check was of the earlier process");
    }
}

Test(ServerPool, anotherProcessOfAServerKeepsThePauseThatTheServerAskedFor)
{
    const auto pool = makePool();
    pool->pause(serverId, 3s, start);
    pool->update(makeService(WallTime(2ms)), *testing::smallDeployment(1));
    cr_assert(!pool->place({}, start + 2900ms).has_value());
    cr_assert(pool->place({}, start + 3100ms).has_value());
}
