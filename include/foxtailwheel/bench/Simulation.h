#pragma once

#include "foxtailwheel/bench/Scenario.h"

#include <cstdint>
#include <map>
#include <string>

namespace foxtailwheel::bench {

/// @brief Metrics of one run.
struct SimulationResult {
    std::uint64_t requests = 0;
    std::uint64_t answered = 0; ///< Answered completely and within the deadline.
    std::uint64_t refused = 0;
    double attainment = 0; ///< Answered requests over all requests.
    double goodput = 0; ///< Answers of the bottleneck service over its capacity.
    double burstGoodput = 0; ///< Goodput during the burst, whose offered load exceeds the capacity; 0 without a burst.
    double medianMs = 0;
    double p99Ms = 0;
    double firstTokenP95Ms = 0;
    double crossZoneShare = 0; ///< Cross-zone calls over all calls.
    double retryCostRatio = 0; ///< Cost of hedges and retries over the cost of first attempts.
    double wastedCostShare = 0; ///< Cost of calls whose result was not used over the total cost.
    double costPerAnswer = 0; ///< Micro-credits per answered request.
    double worstFairShare = 0; ///< Minimum over all accounts of received service over the max-min fair share.
    std::map<std::string, double> costByStage; ///< Micro-credits per answered request.
};

/// @brief Runs a deterministic discrete-event simulation of the production dispatchers of several instances with
/// simulated callers, links and backend servers. The same scenario gives the same result on every machine.
SimulationResult simulate(const Scenario& scenario);

} // namespace foxtailwheel::bench
