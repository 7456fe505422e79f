#pragma once

#include "foxtailwheel/base/Units.h"
#include "foxtailwheel/routing/EvenLoad.h"

#include <cstdint>
#include <vector>

namespace foxtailwheel::bench {

/// @brief How the instances of a simulation choose servers.
enum class ChoiceKind {
    Rendezvous, ///< Rendezvous hash with a load bound; least expected time for requests without shared parts.
    EvenLoad,
    PowerOfTwo, ///< The better of two random servers by the last report.
    RandomByRoom, ///< At random, by free slots in the last report.
    LeastReported, ///< The server with the lowest reported load.
    Subset, ///< Least expected time among 8 servers, which differ by instance.
};

/// @brief A simulation of many instances that choose among the same servers, all with load reports of the same age.
struct LoadScenario {
    ChoiceKind choice = ChoiceKind::EvenLoad;
    std::size_t instances = 59;
    std::size_t servers = 24;
    std::uint32_t slots = 16;
    bool engines = true; ///< Prompts are read one at a time; otherwise calls take `callTime` only.
    double requestsPerSecond = 112; ///< Of all instances.
    Duration reportAge {}; ///< Of all load reports, when they are used.
    bool reportsArrive = true; ///< False if servers report nothing.
    Duration cutOffAt = Duration::max(); ///< From then on no new reports arrive, until `cutOffEnd`.
    Duration cutOffEnd = Duration::max();
    std::vector<double> timeFactors = { 1 }; ///< Time that work takes on the servers, in turn.
    double slowShare = 0; ///< Fraction of the servers that is in a slow phase of 600 ms, 2.5 times slower.
    bool reportsSlowdown = false; ///< Servers report their slow phases.
    bool sharesSpeed = true; ///< Instances share measured times of calls in their reports.
    double longShare = 0.3; ///< Fraction of the requests with a prompt of 9,000 tokens; the others have 300.
    Duration callTime = std::chrono::milliseconds(1200); ///< Median time of a call after its prompt was read.
    Duration time = std::chrono::seconds(12);
    std::uint64_t seed = 1;
    routing::EvenLoadParameters parameters {};
};

/// @brief Result of a load simulation. The first quarter is not counted.
struct LoadResult {
    double spread = 0; ///< Standard deviation of the calls at a server divided by their mean, averaged over time.
    double unevenShare = 0; ///< Fraction of server time over the slots while another server is less than half full.
    double fullShare = 0; ///< Fraction of the calls that met a full server.
    double readAgainShare = 0; ///< Fraction of the shared tokens that had to be read.
    Duration median {}; ///< Time to the first event of long prompts; of other services, time of a call.
    Duration percentile95 {}; ///< Of the same times.
    Duration percentile99 {};
};

/// @brief Runs a simulation; the same scenario has the same result.
LoadResult simulateLoad(const LoadScenario& scenario);

} // namespace foxtailwheel::bench
