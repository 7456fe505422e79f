#pragma once

#include "foxtailwheel/base/Units.h"
#include "foxtailwheel/config/Declarations.h"
#include "foxtailwheel/serving/Dispatcher.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailwheel::bench {

/// @brief What goes wrong in a run of the bench.
enum class Trouble { Calm, Burst, Straggler, Deaths, LossyZone, SharedPrefixes, Lag1s, Lag5s };

/// @brief A policy under measurement: the whole system, or the whole system with one part replaced.
enum class Policy { Full, RoundRobin, LeastReported, PowerOfTwo, NoHedging, NoAdmission, NoAffinity };

std::string_view toString(Trouble trouble);
std::string_view toString(Policy policy);
const std::vector<Trouble>& allTroubles();
const std::vector<Policy>& allPolicies();

/// @brief A deployment with its workload.
struct Deployment {
    std::string name;
    std::shared_ptr<const config::Declarations> declared;
    std::size_t instances = 8;
    std::vector<double> accountShares; ///< Share of the requests of each declared account; adds up to 1.
};

/// @brief Reads a deployment from declarations.
/// @param text YAML, valid.
Deployment deploymentOf(std::string name, const std::string& text);

/// @brief One run of the bench.
struct Scenario {
    const Deployment* deployment = nullptr;
    Trouble trouble = Trouble::Calm;
    Policy policy = Policy::Full;
    double load = 0.8; ///< Offered load as a share of the capacity of the scarcest service.
    Duration length = std::chrono::seconds(20); ///< Measured time, after the warm-up.
    std::uint64_t seed = 1;
};

/// @brief Options of a dispatcher under a policy.
serving::DispatcherOptions dispatcherOptions(Policy policy);

} // namespace foxtailwheel::bench
