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

/// @brief Fault or load pattern that is injected into a run of the benchmark. `Lag1s` and `Lag5s` delay load reports
/// and cache events.
enum class InjectedFault { Calm, Burst, Straggler, Deaths, LossyZone, SharedPrefixes, Lag1s, Lag5s };

/// @brief Policy under measurement: the full system, or the full system with one component replaced or disabled.
enum class Policy { Full, RoundRobin, LeastReported, PowerOfTwo, NoHedging, NoAdmission, NoAffinity };

std::string_view toString(InjectedFault fault);
std::string_view toString(Policy policy);
const std::vector<InjectedFault>& allFaults();
const std::vector<Policy>& allPolicies();

/// @brief A deployment with its workload.
struct Deployment {
    std::string name;
    std::shared_ptr<const config::Declarations> declarations;
    std::size_t instanceCount = 8;
    std::vector<double> accountShares; ///< Share of the requests that each declared account sends; the sum is 1.
};

/// @brief Parses a deployment from declarations and assigns request shares to its accounts.
/// @param text Valid YAML declarations.
Deployment parseDeployment(std::string name, const std::string& text);

/// @brief Configuration of one simulation run.
struct Scenario {
    const Deployment* deployment = nullptr;
    InjectedFault fault = InjectedFault::Calm;
    Policy policy = Policy::Full;
    double load = 0.8; ///< Offered load relative to the capacity of the bottleneck service.
    Duration duration = std::chrono::seconds(20); ///< Duration of the measurement, without the warm-up.
    std::uint64_t seed = 1;
};

/// @brief Returns the dispatcher options that implement `policy`.
serving::DispatcherOptions dispatcherOptions(Policy policy);

} // namespace foxtailwheel::bench
