#include "foxtailwheel/testing/FaultSimulation.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace foxtailwheel;
using testing::FaultRates;
using testing::FaultSimulation;
using testing::OutcomeCounts;

namespace {

constexpr std::size_t requestsPerSchedule = 6;
constexpr std::uint64_t schedulesPerCase = 250;

/// Runs the schedules of one case. With RapidCheck's 100 cases a property covers 25,000 schedules.
OutcomeCounts runSchedules(std::uint64_t seed, const FaultRates& rates)
{
    OutcomeCounts all;
    for (std::uint64_t i = 0; i < schedulesPerCase; ++i)
        all.add(FaultSimulation(seed * schedulesPerCase + i, rates).run(requestsPerSchedule));
    return all;
}

void assertNoViolations(const OutcomeCounts& counts)
{
    RC_ASSERT(counts.unanswered == 0U);
    RC_ASSERT(counts.duplicates == 0U);
    RC_ASSERT(counts.mismatches == 0U);
    RC_ASSERT(counts.falseNotRun == 0U);
}

} // namespace

Test(OutcomeProperty, allFaultsCombined)
{
    cr_assert(rc::check("all faults", [](std::uint32_t seed) { assertNoViolations(runSchedules(seed, {})); }));
}

Test(OutcomeProperty, tableLosesResponses)
{
    FaultRates rates;
    rates.tableResponseLost = 0.5;
    rates.tableUnavailable = 0.2;
    rates.callerRetry = 1;
    cr_assert(rc::check(
        "table loses responses", [&rates](std::uint32_t seed) { assertNoViolations(runSchedules(seed, rates)); }));
}

Test(OutcomeProperty, callsFail)
{
    FaultRates rates;
    rates.callTimeout = 0.3;
    rates.callFailure = 0.3;
    rates.callRefused = 0.2;
    cr_assert(rc::check("calls fail", [&rates](std::uint32_t seed) { assertNoViolations(runSchedules(seed, rates)); }));
}

Test(OutcomeProperty, instancesCrash)
{
    FaultRates rates;
    rates.instanceCrash = 0.7;
    rates.callerRetry = 1;
    cr_assert(
        rc::check("instances crash", [&rates](std::uint32_t seed) { assertNoViolations(runSchedules(seed, rates)); }));
}

Test(OutcomeProperty, withoutTheTableOnlyCallsWithoutEffectsRun)
{
    FaultRates rates;
    rates.tableUnavailable = 1;
    rates.instanceCrash = 0;
    OutcomeCounts all;
    for (std::uint64_t seed = 0; seed < 1000; ++seed)
        all.add(FaultSimulation(seed, rates).run(requestsPerSchedule));
    cr_assert(all.hasNoViolations());
    cr_assert_eq(all.executedBookings, 0U);
    cr_assert_gt(all.answered, 1000U);
}
