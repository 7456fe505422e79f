#include "foxtailwheel/limits/ConcurrencyLimiter.h"
#include "foxtailwheel/limits/FairQueue.h"
#include "foxtailwheel/limits/RateAllocator.h"
#include "foxtailwheel/limits/RateLimiter.h"
#include "foxtailwheel/limits/RetryBudget.h"

#include "foxtailwheel/base/Random.h"

#include <criterion/criterion.h>
#include <map>
#include <numeric>

using namespace foxtailwheel;
using namespace std::chrono_literals;
using limits::FairQueue;
using limits::QueuedRun;

namespace {

constexpr TimePoint start { 1h };

QueuedRun makeRun(std::uint64_t n, double cost = 1, std::uint32_t priority = 0)
{
    return { RunId(n), cost, priority, start + 1s };
}

} // namespace

Test(FairQueue, sharesByWeightAndCost)
{
    FairQueue queue;
    for (std::uint64_t i = 0; i < 4000; ++i) {
        queue.push(ClientAccountId("heavy"), 3, makeRun(i, 2));
        queue.push(ClientAccountId("light"), 1, makeRun(10000 + i, 1));
    }
    std::map<bool, double> served;
    for (int i = 0; i < 3000; ++i) {
        const auto run = queue.pop();
        served[run->run.value() < 10000] += run->cost;
    }
    cr_assert_float_eq(served[true] / served[false], 3.0, 0.05);
}

Test(FairQueue, idleAccountsShareGoesToOthers)
{
    FairQueue queue;
    queue.push(ClientAccountId("a"), 1, makeRun(1));
    queue.push(ClientAccountId("a"), 1, makeRun(2));
    cr_assert(queue.pop()->run == RunId(1));
    cr_assert(queue.pop()->run == RunId(2));
    cr_assert(!queue.pop().has_value());
}

Test(FairQueue, burstDoesNotStarveOtherAccounts)
{
    FairQueue queue;
    for (std::uint64_t i = 0; i < 1000; ++i)
        queue.push(ClientAccountId("burst"), 1, makeRun(i));
    queue.push(ClientAccountId("small"), 1, makeRun(5000));
    bool served = false;
    for (int i = 0; i < 3 && !served; ++i)
        served = queue.pop()->run == RunId(5000);
    cr_assert(served);
}

Test(FairQueue, ordersRunsOfAnAccountByPriority)
{
    FairQueue queue;
    queue.push(ClientAccountId("a"), 1, makeRun(1, 1, 2));
    queue.push(ClientAccountId("a"), 1, makeRun(2, 1, 0));
    cr_assert(queue.pop()->run == RunId(2));
}

Test(FairQueue, evictsIdleAccounts)
{
    FairQueue queue;
    for (std::uint64_t i = 0; i < 46000; ++i) {
        queue.push(ClientAccountId(std::to_string(i)), 1, makeRun(i));
        queue.pop();
    }
    cr_assert_lt(queue.accountCount(), 10000U);
}

Test(ConcurrencyLimiter, rejectsRunWhenALaterStageIsFull)
{
    limits::ConcurrencyLimiter limiter;
    limiter.setLimit(ServiceId("encode"), 100);
    limiter.setLimit(ServiceId("generate"), 2);
    const std::vector<limits::SlotReservation> reservations { { ServiceId("encode"), 0.1 },
        { ServiceId("generate"), 0.9 } };
    cr_assert(limiter.tryAcquire(reservations));
    cr_assert(limiter.tryAcquire(reservations));
    cr_assert(!limiter.tryAcquire(reservations));
    limiter.release(reservations);
    cr_assert(limiter.tryAcquire(reservations));
}

Test(RetryBudget, isProportionalToFirstAttemptsAndShrinksUnderLoad)
{
    const auto granted = [](double utilization) {
        limits::RetryBudget budget(0.05);
        int n = 0;
        for (int i = 0; i < 10000; ++i) {
            budget.onFirstAttempt(utilization);
            n += budget.tryAcquire(1) ? 1 : 0;
        }
        return n;
    };
    cr_assert_leq(granted(0), 10000 * 0.05 + 11);
    cr_assert_lt(granted(1.2), granted(0) / 5);
}

Test(RateLimiter, admitsNoMoreThanItsShare)
{
    limits::RateLimiter limiter;
    limiter.setInstanceCount(4);
    const ClientAccountId account("a");
    int admitted = 0;
    TimePoint now = start;
    for (int i = 0; i < 10000; ++i, now += 1ms)
        admitted += limiter.tryAcquire(account, 100, now) == Duration {} ? 1 : 0;
    cr_assert_geq(admitted, 250);
    cr_assert_leq(admitted, 250 + 13);
}

Test(RateLimiter, assignedShareExpires)
{
    limits::RateLimiter limiter;
    limiter.setInstanceCount(10);
    const ClientAccountId account("a");
    limiter.tryAcquire(account, 100, start);
    limiter.setShare(account, 100, start);
    int admitted = 0;
    TimePoint now = start;
    for (int i = 0; i < 60000; ++i, now += 1ms)
        admitted += limiter.tryAcquire(account, 100, now) == Duration {} ? 1 : 0;
    const double allowed = 100 * toSeconds(limits::RateLimiter::shareLifetime) + 10 * 55;
    cr_assert_leq(admitted, allowed + 55);
}

Test(RateAllocator, sharesAddUpToTheRate)
{
    Random random(3);
    std::vector<InstanceId> instances;
    for (int i = 0; i < 9; ++i)
        instances.emplace_back(std::to_string(i));
    for (int round = 0; round < 500; ++round) {
        limits::RateAllocator allocator;
        const ClientAccountId account("a");
        for (const auto& it : instances) {
            if (random.chance(0.6))
                allocator.setDemand(account, it, random.exponential(30), start);
        }
        const auto shares = allocator.allocate(account, 100, instances, start);
        const double sum = std::accumulate(
            shares.begin(), shares.end(), 0.0, [](double n, const limits::RateShare& it) { return n + it.perSecond; });
        cr_assert_leq(sum, 100 + 1e-6);
        cr_assert_geq(sum, 100 - 1e-6);
    }
}

Test(RateAllocator, assignsRateByDemand)
{
    limits::RateAllocator allocator;
    const ClientAccountId account("a");
    allocator.setDemand(account, InstanceId("0"), 90, start);
    allocator.setDemand(account, InstanceId("1"), 5, start);
    const auto shares = allocator.allocate(account, 100, { InstanceId("0"), InstanceId("1") }, start);
    for (const auto& it : shares)
        cr_assert_geq(it.perSecond, it.instance == InstanceId("0") ? 90 : 5);
    allocator.evictExpired(start + 10s);
    cr_assert(allocator.accounts().empty());
}
