#include "foxtailwheel/bench/LoadSimulation.h"

#include <criterion/criterion.h>

using namespace foxtailwheel;
using namespace std::chrono_literals;
using bench::ChoiceKind;
using bench::LoadScenario;

namespace {

/// Fraction of server time over the slots, beside servers that are less than half full, that counts as overload in
/// turns.
constexpr double overloadedInTurns = 0.01;

/// Seeds of a comparison: differences between seeds are as large as those between choices with old reports.
constexpr std::uint64_t seeds = 16;

LoadScenario scenarioFor(std::size_t instances, Duration reportAge, bool equalServers)
{
    LoadScenario scenario;
    scenario.instances = instances;
    scenario.reportAge = reportAge;
    if (equalServers) {
        scenario.requestsPerSecond = 160;
        return scenario;
    }
    // Engines at 0.7, 0.7 and 1.7 of the usual speed, 15% of them in a slow phase.
    scenario.timeFactors = { 1 / 0.7, 1 / 0.7, 1 / 1.7 };
    scenario.slowShare = 0.15;
    scenario.reportsSlowdown = true;
    return scenario;
}

/// Returns the mean of several seeds.
bench::LoadResult run(LoadScenario scenario, ChoiceKind choice)
{
    scenario.choice = choice;
    bench::LoadResult mean;
    for (scenario.seed = 1; scenario.seed <= seeds; ++scenario.seed) {
        const auto result = bench::simulateLoad(scenario);
        mean.unevenShare += result.unevenShare / seeds;
        mean.fullShare += result.fullShare / seeds;
    }
    return mean;
}

/// Expects that the old choice overloads servers in turns and the new one does so less, and with fresh reports not at
/// all.
void checkInstances(std::size_t instances)
{
    for (const bool equalServers : { true, false }) {
        for (const Duration age : { 100ms, 1000ms, 5000ms }) {
            const auto scenario = scenarioFor(instances, age, equalServers);
            const auto before = run(scenario, ChoiceKind::Rendezvous);
            const auto after = run(scenario, ChoiceKind::EvenLoad);
            cr_expect_gt(before.unevenShare, overloadedInTurns, "%zu instances", instances);
            cr_expect_lt(after.unevenShare, before.unevenShare, "%zu instances, %g ms, equal %d: %g, was %g", instances,
                toMilliseconds(age), int(equalServers), after.unevenShare, before.unevenShare);
            cr_expect_lt(after.fullShare, before.fullShare);
            if (age == 100ms && instances <= 225)
                cr_expect_lt(after.unevenShare, overloadedInTurns, "%zu instances, equal %d: %g", instances,
                    int(equalServers), after.unevenShare);
        }
    }
}

} // namespace

// Instances that know the same old load must not overload servers in turns while others are idle.
Test(LoadSimulation, eightInstances)
{
    checkInstances(8);
}

Test(LoadSimulation, fiftyNineInstances)
{
    checkInstances(59);
}

Test(LoadSimulation, seventyEightInstances)
{
    checkInstances(78);
}

Test(LoadSimulation, manyInstances)
{
    checkInstances(225);
}

Test(LoadSimulation, veryManyInstances)
{
    checkInstances(1800);
}

// An instance that sends each server few calls cannot measure which ones are lastingly slow, and must learn it from
// others, or prompts wait at slow servers.
Test(LoadSimulation, sharedSpeedShortensTheTimeToTheFirstEvent)
{
    auto scenario = scenarioFor(1800, 1s, false);
    scenario.choice = ChoiceKind::EvenLoad;
    double alone = 0;
    double shared = 0;
    for (scenario.seed = 1; scenario.seed <= seeds; ++scenario.seed) {
        scenario.sharesSpeed = false;
        alone += toSeconds(bench::simulateLoad(scenario).percentile95) / seeds;
        scenario.sharesSpeed = true;
        shared += toSeconds(bench::simulateLoad(scenario).percentile95) / seeds;
    }
    cr_expect_lt(shared, 0.9 * alone, "%g s, alone %g s", shared, alone);
}

// Without any report the choice must not be worse than the hash.
Test(LoadSimulation, serversThatReportNothing)
{
    auto scenario = scenarioFor(59, 0s, false);
    scenario.reportsArrive = false;
    cr_expect_lt(run(scenario, ChoiceKind::EvenLoad).unevenShare, run(scenario, ChoiceKind::Rendezvous).unevenShare);
}

// While no reports arrive, old ones must not draw the calls of all instances to the same servers; afterwards the choice
// must be as even as before.
Test(LoadSimulation, instancesThatAreCutOffFromReports)
{
    auto scenario = scenarioFor(59, 100ms, true);
    scenario.cutOffAt = 4s;
    const auto cutOff = run(scenario, ChoiceKind::EvenLoad);
    cr_expect_lt(cutOff.unevenShare, run(scenario, ChoiceKind::Rendezvous).unevenShare);
    scenario.cutOffAt = 0s;
    scenario.cutOffEnd = 2s;
    cr_expect_lt(run(scenario, ChoiceKind::EvenLoad).unevenShare, overloadedInTurns, "the reports are back");
}
