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

/// Runs schedules from `seed` on; with RapidCheck's 100 cases a property tries 25,000 schedules.
FaultCounts runSchedules(std::uint64_t seed, const FaultRates& rates)
{
    FaultCounts all;
    for (std::uint64_t i = 0; i < schedulesPerCase; ++i)
        all.add(FaultWorld(seed * schedulesPerCase + i, rates).run(requestsPerSchedule));
    return all;
}

void checkClean(const FaultCounts& counts)
{
    RC_ASSERT(counts.lost == 0U);
    RC_ASSERT(counts.doubled == 0U);
    RC_ASSERT(counts.crossed == 0U);
    RC_ASSERT(counts.wrongNotRun == 0U);
}

} // namespace

Test(OutcomeProperty, allFaultsTogether)
{
    cr_assert(rc::check("all faults", [](std::uint32_t seed) { checkClean(runSchedules(seed, {})); }));
}

Test(OutcomeProperty, tableLosesAnswers)
{
    FaultRates rates;
    rates.tableLost = 0.5;
    rates.tableDown = 0.2;
    rates.callerRepeats = 1;
    cr_assert(
        rc::check("table loses answers", [&rates](std::uint32_t seed) { checkClean(runSchedules(seed, rates)); }));
}

Test(OutcomeProperty, callsBreak)
{
    FaultRates rates;
    rates.callLost = 0.3;
    rates.callBroken = 0.3;
    rates.callRefused = 0.2;
    cr_assert(rc::check("calls break", [&rates](std::uint32_t seed) { checkClean(runSchedules(seed, rates)); }));
}

Test(OutcomeProperty, instancesDie)
{
    FaultRates rates;
    rates.instanceDies = 0.7;
    rates.callerRepeats = 1;
    cr_assert(rc::check("instances die", [&rates](std::uint32_t seed) { checkClean(runSchedules(seed, rates)); }));
}

Test(OutcomeProperty, withoutTheTableNothingWithAnEffectRunsAndTheRestGoesOn)
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
