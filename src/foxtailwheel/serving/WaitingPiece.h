#pragma once

#include "foxtailwheel/serving/BatchQueue.h"

#include <tuple>
#include <utility>

namespace foxtailwheel::serving {

/// @brief A piece within its group.
using PieceId = std::pair<PieceGroupId, std::uint32_t>;

/// @brief A piece in a batch queue or in one of its calls; ordered as pieces leave.
struct WaitingPiece {
    PieceGroupId group;
    Piece piece;
    std::uint32_t priority = 0;
    TimePoint goal;
    TimePoint deadline;
    std::optional<AvailabilityZoneId> zone; ///< Where it should be made.
    TimePoint leaveZoneAfter;
    std::uint64_t resultBytes = 0;
    std::uint64_t order = 0; ///< Ties are taken in the order of arrival.
    TimePoint since; ///< When it came to this queue.
    std::uint32_t returns = 0; ///< Times that it was put back.

    PieceId id() const { return { group, piece.index }; }
    friend bool operator<(const WaitingPiece& a, const WaitingPiece& b)
    {
        return std::tie(a.priority, a.goal, a.order) < std::tie(b.priority, b.goal, b.order);
    }
};

} // namespace foxtailwheel::serving
