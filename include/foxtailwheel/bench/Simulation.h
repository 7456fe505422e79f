#pragma once

#include "foxtailwheel/bench/Scenario.h"

#include <cstdint>
#include <map>
#include <string>

namespace foxtailwheel::bench {

/// @brief Figures of one run.
struct Figures {
    std::uint64_t requests = 0;
    std::uint64_t answered = 0; ///< In full and within the deadline.
    std::uint64_t refused = 0;
    double attainment = 0; ///< Answered share of the requests.
    double goodput = 0; ///< Answers of the scarcest service over what its capacity allows.
    double burstGoodput = 0; ///< The same while a burst lasts, which offers more than the capacity; 0 without one.
    double medianMs = 0;
    double p99Ms = 0;
    double firstTokenP95Ms = 0;
    double crossZoneShare = 0; ///< Calls that left the zone, of all calls.
    double extraCostShare = 0; ///< Cost of hedges and retries over that of first attempts.
    double wastedShare = 0; ///< Cost of work whose result was not used, of all cost.
    double costPerAnswer = 0; ///< Micro-credits.
    double worstFairShare = 0; ///< Least ratio of an account's service to its max-min fair share.
    std::map<std::string, double> costByStage; ///< Micro-credits for each answered request.
};

/// @brief Drives the real decision libraries of several instances at injected time, with small fakes of callers,
/// links and backend servers and one event queue. The same scenario gives the same figures on every machine.
Figures simulate(const Scenario& scenario);

} // namespace foxtailwheel::bench
