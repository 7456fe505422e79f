#include "foxtailwheel/testing/FaultWorld.h"

#include <array>
#include <cstdio>
#include <string_view>

namespace {

using namespace foxtailwheel;
using testing::FaultCounts;
using testing::FaultRates;
using testing::FaultWorld;

constexpr std::uint64_t schedules = 5000;
constexpr std::size_t requestsPerSchedule = 6;

struct Fault {
    std::string_view name;
    FaultRates rates;
};

constexpr FaultRates calm { 0, 0, 0, 0, 0, 0, 0, 0, 0, true };

std::array<Fault, 9> faults()
{
    std::array<Fault, 9> all { {
        { "none", calm },
        { "silent calls", calm },
        { "broken calls and streams", calm },
        { "refusals and dead servers", calm },
        { "repeated and crossed results", calm },
        { "table loses answers", calm },
        { "table refuses", calm },
        { "instances die", calm },
        { "all together", {} },
    } };
    all[1].rates.callLost = 0.05;
    all[2].rates.callBroken = 0.2;
    all[3].rates.callRefused = 0.2;
    all[4].rates.resultRepeated = 0.5;
    all[5].rates.tableLost = 0.3;
    all[6].rates.tableDown = 0.3;
    all[7].rates.instanceDies = 0.7;
    for (auto& it : all)
        it.rates.callerRepeats = 0.6;
    return all;
}

FaultCounts runAll(FaultRates rates, bool extras)
{
    rates.extras = extras;
    FaultCounts counts;
    for (std::uint64_t seed = 0; seed < schedules; ++seed)
        counts.add(FaultWorld(seed, rates).run(requestsPerSchedule));
    return counts;
}

double share(std::uint64_t a, std::uint64_t b)
{
    return b == 0 ? 0 : 100.0 * static_cast<double>(a) / static_cast<double>(b);
}

} // namespace

int main()
{
    std::printf("| fault | schedules | requests | lost | doubled | crossed | wrong \"not run\" | answered, with hedges "
                "and retries | without | extra attempts |\n");
    std::printf("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
    bool clean = true;
    for (const auto& it : faults()) {
        const auto with = runAll(it.rates, true);
        const auto without = runAll(it.rates, false);
        clean = clean && with.clean() && without.clean();
        std::printf("| %s | %lu | %lu | %lu | %lu | %lu | %lu | %.2f%% | %.2f%% | %.2f%% |\n",
            std::string(it.name).c_str(), 2 * schedules, with.requests + without.requests, with.lost + without.lost,
            with.doubled + without.doubled, with.crossed + without.crossed, with.wrongNotRun + without.wrongNotRun,
            share(with.answered, with.requests), share(without.answered, without.requests),
            share(with.attempts - with.firstAttempts, with.firstAttempts));
        std::fflush(stdout);
    }
    return clean ? 0 : 1;
}
