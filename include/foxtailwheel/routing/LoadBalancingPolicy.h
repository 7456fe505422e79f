#pragma once

#include "foxtailwheel/base/Ids.h"
#include "foxtailwheel/base/Random.h"
#include "foxtailwheel/base/Units.h"

#include <memory>
#include <span>

namespace foxtailwheel::routing {

/// @brief A backend server that a call can be sent to, with the values that policies compare.
struct Candidate {
    std::size_t server = 0; ///< Index in the pool.
    double expectedSeconds = 0; ///< Expected time from sending the call to its response.
    double reportedLoad = 0; ///< Calls at the server according to its last load report.
    double costSeconds = 0; ///< Price of the link, converted to seconds by the service's cost weight.
    bool isLocal = false; ///< True for a server in the zone of this instance.
    const BackendServerId* id = nullptr; ///< Valid during the choice.
};

/// @brief Load balancing policy: picks the server for each call.
class LoadBalancingPolicy {
public:
    virtual ~LoadBalancingPolicy() = default;
    /// @brief Returns an index into `candidates`, which must not be empty.
    virtual std::size_t pick(std::span<const Candidate> candidates, Random& random) = 0;
};

/// @brief Available load balancing policies.
enum class LoadBalancingPolicyKind { LeastExpectedTime, RoundRobin, LeastReportedLoad, PowerOfTwoChoices };

/// @brief Creates a policy. All but `LeastExpectedTime` are baselines for benchmarks.
std::unique_ptr<LoadBalancingPolicy> makeLoadBalancingPolicy(LoadBalancingPolicyKind kind);

} // namespace foxtailwheel::routing
