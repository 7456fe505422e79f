#pragma once

#include "foxtailwheel/serving/BatchQueue.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace foxtailwheel::serving {

/// @brief Identifies a piece by its group and its index.
using PieceId = std::pair<PieceGroupId, std::uint32_t>;

/// @brief A piece in a batch queue or in one of its calls; sorted in the order of sending.
struct WaitingPiece {
    PieceGroupId group;
    Piece piece;
    std::uint32_t priority = 0;
    TimePoint targetTime;
    TimePoint deadline;
    std::optional<AvailabilityZoneId> zone; ///< Zone in which it should be processed.
    TimePoint crossZoneAfter;
    std::uint64_t resultBytes = 0;
    std::uint64_t arrivalNumber = 0; ///< Breaks ties in the order of arrival.
    TimePoint queuedAt; ///< Time at which it was added to this queue.
    std::uint32_t requeues = 0; ///< Number of times that it was added to the queue again.
    std::vector<AvailabilityZoneId> allowedZones {}; ///< Zones in which it may be processed; empty for all.

    bool isAllowedIn(const AvailabilityZoneId& it) const
    {
        return allowedZones.empty() || std::find(allowedZones.begin(), allowedZones.end(), it) != allowedZones.end();
    }

    PieceId id() const { return { group, piece.index }; }
    friend bool operator<(const WaitingPiece& a, const WaitingPiece& b)
    {
        return std::tie(a.priority, a.targetTime, a.arrivalNumber)
            < std::tie(b.priority, b.targetTime, b.arrivalNumber);
    }
};

} // namespace foxtailwheel::serving
