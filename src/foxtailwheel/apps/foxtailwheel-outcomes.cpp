#include "foxtailwheel/testing/FaultSimulation.h"

#include <array>
#include <cstdio>
#include <string_view>

namespace {

using namespace foxtailwheel;
using testing::FaultRates;
using testing::FaultSimulation;
using testing::OutcomeCounts;

constexpr std::uint64_t schedulesPerCase = 5000;
constexpr std::size_t requestsPerSchedule = 6;

struct FaultCase {
    std::string_view name;
    FaultRates rates;
};

constexpr FaultRates noFaults { 0, 0, 0, 0, 0, 0, 0, 0, 0, true };

std::array<FaultCase, 9> faultCases()
{
    std::array<FaultCase, 9> all { {
        { "none", noFaults },
        { "silent calls", noFaults },
        { "broken calls and streams", noFaults },
        { "refusals and dead servers", noFaults },
        { "repeated and crossed results", noFaults },
        { "table loses answers", noFaults },
        { "table refuses", noFaults },
        { "instances die", noFaults },
        { "all together", {} },
    } };
    all[1].rates.callTimeout = 0.05;
    all[2].rates.callFailure = 0.2;
    all[3].rates.callRefused = 0.2;
    all[4].rates.duplicateResult = 0.5;
    all[5].rates.tableResponseLost = 0.3;
    all[6].rates.tableUnavailable = 0.3;
    all[7].rates.instanceCrash = 0.7;
    for (auto& it : all)
        it.rates.callerRetry = 0.6;
    return all;
}

OutcomeCounts runSchedules(FaultRates rates, bool retriesAndHedges)
{
    rates.retriesAndHedges = retriesAndHedges;
    OutcomeCounts counts;
    for (std::uint64_t seed = 0; seed < schedulesPerCase; ++seed)
        counts.add(FaultSimulation(seed, rates).run(requestsPerSchedule));
    return counts;
}

double percentage(std::uint64_t part, std::uint64_t total)
{
    return total == 0 ? 0 : 100.0 * static_cast<double>(part) / static_cast<double>(total);
}

} // namespace

int main()
{
    std::printf("| fault | schedules | requests | lost | doubled | crossed | wrong \"not run\" | answered, with hedges "
                "and retries | without | extra attempts |\n");
    std::printf("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
    bool passed = true;
    for (const auto& it : faultCases()) {
        const auto withRetries = runSchedules(it.rates, true);
        const auto withoutRetries = runSchedules(it.rates, false);
        passed = passed && withRetries.hasNoViolations() && withoutRetries.hasNoViolations();
        std::printf("| %s | %lu | %lu | %lu | %lu | %lu | %lu | %.2f%% | %.2f%% | %.2f%% |\n",
            std::string(it.name).c_str(), 2 * schedulesPerCase, withRetries.requests + withoutRetries.requests,
            withRetries.unanswered + withoutRetries.unanswered, withRetries.duplicates + withoutRetries.duplicates,
            withRetries.mismatches + withoutRetries.mismatches, withRetries.falseNotRun + withoutRetries.falseNotRun,
            percentage(withRetries.answered, withRetries.requests),
            percentage(withoutRetries.answered, withoutRetries.requests),
            percentage(withRetries.attempts - withRetries.firstAttempts, withRetries.firstAttempts));
        std::fflush(stdout);
    }
    return passed ? 0 : 1;
}
