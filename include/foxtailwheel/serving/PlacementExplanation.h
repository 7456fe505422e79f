#pragma once

#include "foxtailwheel/base/Ids.h"
#include "foxtailwheel/base/Units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailwheel::serving {

/// @brief Why a server is, or is not, a candidate for a request.
enum class CandidateState {
    Usable,
    OutsideZone,
    OutsideRegion,
    Cold,
    Paused,
    Suspected,
    Leaving,
    Drained,
    NotInSubset
};

/// @brief Returns the name of a state as shown to operators.
std::string_view toString(CandidateState state);

/// @brief A server of the service of a request, as one instance knows it.
struct CandidateExplanation {
    BackendServerId server;
    AvailabilityZoneId zone;
    CandidateState state = CandidateState::Usable;
    double probability = 0; ///< Of being chosen now, where servers are chosen by expected time; 0 elsewhere.
    Duration expectedTime {}; ///< To the first byte of a response, without cached parts of the prompt.
    std::uint32_t ownCalls = 0; ///< Calls of this instance in progress.
    double knownCalls = 0; ///< Calls of all instances by the last report.
    std::optional<Duration> reportAge; ///< Empty if the server has not reported its load.
};

/// @brief Where a request would go now, and why.
struct PlacementExplanation {
    std::string route; ///< Empty if no route matches; nothing else is set then.
    bool usable = true; ///< Otherwise the configuration declares the route in a way that cannot be used.
    ServiceId service; ///< The target of the route with the highest weight.
    bool scheduled = false; ///< Scheduling under overload is on for the service.
    std::optional<AvailabilityZoneId> zone; ///< Preferred zone.
    Duration stagesIfTimely {}; ///< Expected time of the stages.
    Duration stagesIfLate {}; ///< The same behind all pieces that can meet their target.
    Duration timeToFirstByte {};
    Duration latencyTarget {};
    bool admitted = false;
    Duration retryAfter {}; ///< Earliest time at which a refused caller would be told to return.
    std::vector<CandidateExplanation> candidates; ///< Usable ones first, the most probable ones first among them.
};

} // namespace foxtailwheel::serving
