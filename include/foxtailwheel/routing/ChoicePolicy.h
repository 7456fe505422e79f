#pragma once

#include "foxtailwheel/base/Random.h"
#include "foxtailwheel/base/Units.h"

#include <memory>
#include <span>

namespace foxtailwheel::routing {

/// @brief What is known of one backend server when a call is to be placed.
struct Candidate {
    std::size_t server = 0; ///< Position in the pool.
    double expectedSeconds = 0; ///< Expected time until the answer.
    double reportedLoad = 0; ///< Load by its last report alone.
    double costSeconds = 0; ///< Price of the call there, as time by the service's cost weight.
    bool isLocal = false; ///< In the instance's own zone.
};

/// @brief Strategy that picks one of the candidates.
class ChoicePolicy {
public:
    virtual ~ChoicePolicy() = default;
    /// @brief Position within `candidates`, which holds at least one.
    virtual std::size_t pick(std::span<const Candidate> candidates, Random& random) = 0;
};

/// @brief Names of the strategies.
enum class ChoicePolicyKind { ExpectedFinish, RoundRobin, LeastReportedLoad, PowerOfTwo };

/// @brief Makes a strategy; all but `ExpectedFinish` are baselines for measurements.
std::unique_ptr<ChoicePolicy> makeChoicePolicy(ChoicePolicyKind kind);

} // namespace foxtailwheel::routing
