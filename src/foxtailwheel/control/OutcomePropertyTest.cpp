#include "foxtailwheel/testing/FaultWorld.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace foxtailwheel;
using testing::FaultCounts;
using testing::FaultRates;
using testing::FaultWorld;

namespace {

constexpr std::size_t requestsPerSchedule = 6;
constexpr std::uint64_t schedulesPerCase = 250;

/// Runs the schedules of one case. With RapidCheck's 100 cases a property covers 25,000 schedules.
FaultCounts runSchedules(std::uint64_t seed, const FaultRates& rates)
{
    FaultCounts all;
    for (std::uint64_t i = 0; i < schedulesPerCase; ++i)
        all.add(FaultWorld(seed * schedulesPerCase + i, rates).run(requestsPerSchedule));
    return all;
}

void assertNoViolations(const FaultCounts& counts)
{
    RC_ASSERT(counts.lost == 0U);
    RC_ASSERT(counts.doubled == 0U);
    RC_ASSERT(counts.crossed == 0U);
    RC_ASSERT(counts.wrongNotRun == 0U);
}

} // namespace

Test(OutcomeProperty, allFaultsCombined)
{
    cr_assert(rc::check("all faults", [](std::uint32_t seed) { assertNoViolations(runSchedules(seed, {})); }));
}

Test(OutcomeProperty, tableLosesResponses)
{
    FaultRates rates;
    rates.tableLost = 0.5;
    rates.tableDown = 0.2;
    rates.callerRepeats = 1;
    cr_assert(rc::check(
        "table loses responses", [&rates](std::uint32_t seed) { assertNoViolations(runSchedules(seed, rates)); }));
}

Test(OutcomeProperty, callsFail)
{
    FaultRates rates;
    rates.callLost = 0.3;
    rates.callBroken = 0.3;
    rates.callRefused = 0.2;
    cr_assert(rc::check("calls fail", [&rates](std::uint32_t seed) { assertNoViolations(runSchedules(seed, rates)); }));
}

Test(OutcomeProperty, instancesCrash)
{
    FaultRates rates;
    rates.instanceDies = 0.7;
    rates.callerRepeats = 1;
    cr_assert(
        rc::check("instances crash", [&rates](std::uint32_t seed) { assertNoViolations(runSchedules(seed, rates)); }));
}

Test(OutcomeProperty, withoutTheTableOnlyCallsWithoutEffectsRun)
{
    FaultRates rates;
    rates.tableDown = 1;
    rates.instanceDies = 0;
    FaultCounts all;
    for (std::uint64_t seed = 0; seed < 1000; ++seed)
        all.add(FaultWorld(seed, rates).run(requestsPerSchedule));
    cr_assert(all.clean());
    cr_assert_eq(all.effects, 0U);
    cr_assert_gt(all.answered, 1000U);
}
