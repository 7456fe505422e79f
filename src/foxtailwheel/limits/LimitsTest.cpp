#include "foxtailwheel/limits/CapacityGate.h"
#include "foxtailwheel/limits/ExtraBudget.h"
#include "foxtailwheel/limits/FairQueue.h"
#include "foxtailwheel/limits/RateLedger.h"
#include "foxtailwheel/limits/RateLimiter.h"

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

QueuedRun runOf(std::uint64_t n, double cost = 1, std::uint32_t priority = 0)
{
    return { RunId(n), cost, priority, start + 1s };
}

} // namespace

Test(FairQueue, sharesByWeightAndCost)
{
    FairQueue queue;
    for (std::uint64_t i = 0; i < 4000; ++i) {
        queue.push(ClientAccountId("heavy"), 3, runOf(i, 2));
        queue.push(ClientAccountId("light"), 1, runOf(10000 + i, 1));
    }
    std::map<bool, double> served;
    for (int i = 0; i < 3000; ++i) {
        const auto run = queue.pop();
        served[run->run.value() < 10000] += run->cost;
    }
    cr_assert_float_eq(served[true] / served[false], 3.0, 0.05);
}

Test(FairQueue, anIdleAccountsShareGoesToTheOthers)
{
    FairQueue queue;
    queue.push(ClientAccountId("a"), 1, runOf(1));
    queue.push(ClientAccountId("a"), 1, runOf(2));
    cr_assert(queue.pop()->run == RunId(1));
    cr_assert(queue.pop()->run == RunId(2));
    cr_assert(!queue.pop().has_value());
}

Test(FairQueue, aBurstDoesNotStarveTheOthers)
{
    FairQueue queue;
    for (std::uint64_t i = 0; i < 1000; ++i)
        queue.push(ClientAccountId("burst"), 1, runOf(i));
    queue.push(ClientAccountId("small"), 1, runOf(5000));
    bool served = false;
    for (int i = 0; i < 3 && !served; ++i)
        served = queue.pop()->run == RunId(5000);
    cr_assert(served);
}

Test(FairQueue, withinAnAccountUrgentRunsLeaveFirst)
{
    FairQueue queue;
    queue.push(ClientAccountId("a"), 1, runOf(1, 1, 2));
    queue.push(ClientAccountId("a"), 1, runOf(2, 1, 0));
    cr_assert(queue.pop()->run == RunId(2));
}

Test(FairQueue, idleAccountsAreForgotten)
{
    FairQueue queue;
    for (std::uint64_t i = 0; i < 46000; ++i) {
        queue.push(ClientAccountId(std::to_string(i)), 1, runOf(i));
        queue.pop();
    }
    cr_assert_lt(queue.accounts(), 10000U);
}

Test(CapacityGate, holdsBackTheFirstStageForALaterOne)
{
    limits::CapacityGate gate;
    gate.setLimit(ServiceId("encode"), 100);
    gate.setLimit(ServiceId("generate"), 2);
    const std::vector<limits::SlotHold> holds { { ServiceId("encode"), 0.1 }, { ServiceId("generate"), 0.9 } };
    cr_assert(gate.tryEnter(holds));
    cr_assert(gate.tryEnter(holds));
    cr_assert(!gate.tryEnter(holds));
    gate.leave(holds);
    cr_assert(gate.tryEnter(holds));
}

Test(ExtraBudget, isAShareOfTheTrafficAndShrinksUnderLoad)
{
    const auto taken = [](double utilization) {
        limits::ExtraBudget budget(0.05);
        int n = 0;
        for (int i = 0; i < 10000; ++i) {
            budget.earn(utilization);
            n += budget.take(1) ? 1 : 0;
        }
        return n;
    };
    cr_assert_leq(taken(0), 10000 * 0.05 + 11);
    cr_assert_lt(taken(1.2), taken(0) / 5);
}

Test(RateLimiter, passesItsPartAndNoMore)
{
    limits::RateLimiter limiter;
    limiter.setInstances(4);
    const ClientAccountId account("a");
    int passed = 0;
    TimePoint now = start;
    for (int i = 0; i < 10000; ++i, now += 1ms)
        passed += limiter.take(account, 100, now) == Duration {} ? 1 : 0;
    cr_assert_geq(passed, 250);
    cr_assert_leq(passed, 250 + 13);
}

Test(RateLimiter, anAllowanceLapses)
{
    limits::RateLimiter limiter;
    limiter.setInstances(10);
    const ClientAccountId account("a");
    limiter.take(account, 100, start);
    limiter.setAllowance(account, 100, start);
    int passed = 0;
    TimePoint now = start;
    for (int i = 0; i < 60000; ++i, now += 1ms)
        passed += limiter.take(account, 100, now) == Duration {} ? 1 : 0;
    const double allowed = 100 * toSeconds(limits::RateLimiter::allowanceLife) + 10 * 55;
    cr_assert_leq(passed, allowed + 55);
}

Test(RateLedger, partsNeverAddUpToMoreThanTheRate)
{
    Random random(3);
    std::vector<InstanceId> instances;
    for (int i = 0; i < 9; ++i)
        instances.emplace_back(std::to_string(i));
    for (int round = 0; round < 500; ++round) {
        limits::RateLedger ledger;
        const ClientAccountId account("a");
        for (const auto& it : instances) {
            if (random.chance(0.6))
                ledger.demanded(account, it, random.exponential(30), start);
        }
        const auto parts = ledger.divide(account, 100, instances, start);
        const double sum = std::accumulate(
            parts.begin(), parts.end(), 0.0, [](double n, const limits::Allowance& it) { return n + it.perSecond; });
        cr_assert_leq(sum, 100 + 1e-6);
        cr_assert_geq(sum, 100 - 1e-6);
    }
}

Test(RateLedger, theRateGoesWhereTheDemandIs)
{
    limits::RateLedger ledger;
    const ClientAccountId account("a");
    ledger.demanded(account, InstanceId("0"), 90, start);
    ledger.demanded(account, InstanceId("1"), 5, start);
    const auto parts = ledger.divide(account, 100, { InstanceId("0"), InstanceId("1") }, start);
    for (const auto& it : parts)
        cr_assert_geq(it.perSecond, it.instance == InstanceId("0") ? 90 : 5);
    ledger.sweep(start + 10s);
    cr_assert(ledger.accounts().empty());
}
