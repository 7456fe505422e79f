#include "foxtailwheel/bench/LoadSimulation.h"

#include <array>
#include <cstdio>
#include <cxxopts.hpp>

using namespace foxtailwheel;

namespace {

struct NamedChoice {
    const char* name;
    bench::ChoiceKind kind;
};

constexpr std::array<NamedChoice, 6> choices { { { "rendezvous", bench::ChoiceKind::Rendezvous },
    { "even-load", bench::ChoiceKind::EvenLoad }, { "power-of-two", bench::ChoiceKind::PowerOfTwo },
    { "random-by-room", bench::ChoiceKind::RandomByRoom }, { "least-reported", bench::ChoiceKind::LeastReported },
    { "subset", bench::ChoiceKind::Subset } } };

/// Mean of several seeds.
bench::LoadResult simulateSeeds(bench::LoadScenario scenario, std::uint64_t seeds)
{
    bench::LoadResult sum;
    const auto n = static_cast<double>(seeds);
    for (std::uint64_t i = 1; i <= seeds; ++i) {
        scenario.seed = i;
        const auto result = bench::simulateLoad(scenario);
        sum.spread += result.spread / n;
        sum.unevenShare += result.unevenShare / n;
        sum.fullShare += result.fullShare / n;
        sum.readAgainShare += result.readAgainShare / n;
        sum.median += result.median / static_cast<long>(seeds);
        sum.percentile95 += result.percentile95 / static_cast<long>(seeds);
        sum.percentile99 += result.percentile99 / static_cast<long>(seeds);
    }
    return sum;
}

} // namespace

/// Prints how evenly different choices of a server spread load that is known late, in simulated time.
int main(int argc, char** argv)
{
    cxxopts::Options options("foxtailwheel-spread", "Compares choices of a server with load reports of the same age.");
    const bench::LoadScenario defaults;
    bench::LoadScenario scenario;
    auto add = options.add_options();
    add("instances", "Number of instances", cxxopts::value<std::size_t>()->default_value("59"));
    add("servers", "Number of servers", cxxopts::value<std::size_t>()->default_value("24"));
    add("slots", "Slots of a server", cxxopts::value<std::uint32_t>()->default_value("16"));
    add("plain", "Calls without prompts");
    add("rate", "Requests per second", cxxopts::value<double>()->default_value("112"));
    add("call-ms", "Median time of a call", cxxopts::value<long>()->default_value("1200"));
    add("age-ms", "Age of load reports", cxxopts::value<long>()->default_value("1000"));
    add("factors", "Time factors of the servers", cxxopts::value<std::vector<double>>()->default_value("1"));
    add("slow", "Fraction of servers in a slow phase", cxxopts::value<double>()->default_value("0"));
    add("tie", "Parameter tieShare",
        cxxopts::value<double>()->default_value(std::to_string(defaults.parameters.tieShare)));
    add("preferred", "Parameter preferredServers", cxxopts::value<std::size_t>()->default_value("3"));
    add("half-life", "Parameter reportHalfLife", cxxopts::value<double>()->default_value("0.5"));
    add("load-weight", "Parameter loadWeight", cxxopts::value<double>()->default_value("0.3"));
    add("level-ms", "Parameter levelTime", cxxopts::value<long>()->default_value("10000"));
    add("seeds", "Number of seeds", cxxopts::value<std::uint64_t>()->default_value("3"));
    add("only", "Only the choice with this name", cxxopts::value<std::string>()->default_value(""));
    add("help", "Prints this text");
    try {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            std::puts(options.help().c_str());
            return 0;
        }
        scenario.instances = parsed["instances"].as<std::size_t>();
        scenario.servers = parsed["servers"].as<std::size_t>();
        scenario.slots = parsed["slots"].as<std::uint32_t>();
        scenario.engines = parsed.count("plain") == 0;
        scenario.requestsPerSecond = parsed["rate"].as<double>();
        scenario.callTime = std::chrono::milliseconds(parsed["call-ms"].as<long>());
        scenario.reportAge = std::chrono::milliseconds(parsed["age-ms"].as<long>());
        scenario.timeFactors = parsed["factors"].as<std::vector<double>>();
        scenario.slowShare = parsed["slow"].as<double>();
        scenario.reportsSlowdown = scenario.slowShare > 0;
        scenario.parameters.tieShare = parsed["tie"].as<double>();
        scenario.parameters.preferredServers = parsed["preferred"].as<std::size_t>();
        scenario.parameters.reportHalfLife = parsed["half-life"].as<double>();
        scenario.parameters.loadWeight = parsed["load-weight"].as<double>();
        scenario.parameters.levelTime = std::chrono::milliseconds(parsed["level-ms"].as<long>());
        const auto only = parsed["only"].as<std::string>();
        std::printf("%-16s %7s %8s %8s %8s %8s %8s %8s\n", "choice", "spread", "uneven", "full", "read", "50%/ms",
            "95%/ms", "99%/ms");
        for (const auto& it : choices) {
            if (!only.empty() && only != it.name)
                continue;
            scenario.choice = it.kind;
            const auto result = simulateSeeds(scenario, parsed["seeds"].as<std::uint64_t>());
            std::printf("%-16s %7.3f %8.4f %8.4f %8.3f %8.1f %8.1f %8.1f\n", it.name, result.spread, result.unevenShare,
                result.fullShare, result.readAgainShare, toMilliseconds(result.median),
                toMilliseconds(result.percentile95), toMilliseconds(result.percentile99));
        }
    } catch (const cxxopts::exceptions::exception& e) {
        std::fprintf(stderr, "%s\n", e.what());
        return 2;
    }
    return 0;
}
