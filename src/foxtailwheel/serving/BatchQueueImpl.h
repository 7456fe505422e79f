#pragma once

#include "CallsInProgress.h"
#include "foxtailwheel/serving/BatchForecast.h"
#include "foxtailwheel/serving/BatchQueue.h"
#include "foxtailwheel/serving/ResultCapacity.h"

#include <map>
#include <set>

namespace foxtailwheel::serving {

using CapacityByZone = std::map<AvailabilityZoneId, std::uint64_t>; ///< Largest free bytes at a free server of a zone.
using GroupSizes = std::unordered_map<PieceGroupId, std::size_t>; ///< Number of queued pieces of each group.
using ArrivalNumbers = std::set<std::uint64_t>; ///< Pieces, identified by their arrival number.

/// @brief State of a batch queue. BatchPlacement.cpp defines the members that choose the pieces and the server of a
/// call, BatchQueue.cpp all others.
struct BatchQueue::Impl {
    Impl(ServiceId s, config::BatchLimits l, routing::ServerPool& p, BatchQueueCallbacks c)
        : service(std::move(s))
        , limits(l)
        , pool(p)
        , callbacks(std::move(c))
        , forecast(l)
    {
        capacity.setLimits(l.resultCapacityBytes, l.resultLifetime);
    }

    std::size_t maxCalls(TimePoint now) const;
    double servers(TimePoint now) const { return static_cast<double>(maxCalls(now)); }
    bool sendNextCall(TimePoint now, std::vector<BatchAction>& out);
    std::vector<config::BackendServer> freeServers(TimePoint now) const;
    GroupSizes groupSizes() const;
    std::size_t piecesInSameCall(const WaitingPiece& piece, const GroupSizes& sizes) const;
    std::optional<AvailabilityZoneId> nextZone(
        const CapacityByZone& capacityByZone, const ArrivalNumbers& crossing, const GroupSizes& sizes) const;
    ArrivalNumbers piecesCrossingZones(const std::vector<config::BackendServer>& free,
        const CapacityByZone& capacityByZone, const GroupSizes& sizes, TimePoint now) const;
    std::vector<WaitingPiece> takePieces(
        const config::BackendServer& server, const ArrivalNumbers& crossing, const GroupSizes& sizes, TimePoint now);
    std::optional<routing::Placement> placeInZone(const AvailabilityZoneId& zone,
        const std::vector<config::BackendServer>& free, std::uint64_t requiredCapacity, TimePoint now);
    void pinGroupsToZone(const std::vector<WaitingPiece>& sent, const AvailabilityZoneId& zone);
    void send(const config::BackendServer& server, std::vector<WaitingPiece> pieces, TimePoint now,
        std::vector<BatchAction>& out);
    void runPeriodicChecks(TimePoint now, std::vector<BatchAction>& out);
    bool isLate(const WaitingPiece& piece, TimePoint now) const
    {
        return piece.targetTime < now + forecast.callTime(1);
    }
    void dropAll(PieceFailure failure, std::vector<BatchAction>& out);
    void dropUnmeetable(TimePoint now, std::vector<BatchAction>& out);
    void hedgeSlowCalls(TimePoint now);
    void deliver(const WaitingPiece& piece, const PieceResult& result, std::vector<BatchAction>& out);
    void requeue(WaitingPiece piece, PieceFailure failure, TimePoint now, std::vector<BatchAction>& out);
    void updateCapacity(
        const BatchCall& call, BatchOutcome outcome, const std::vector<PieceResult>& results, TimePoint now);
    routing::CallReport callReport(const BatchCall& call, BatchOutcome outcome, TimePoint now) const;

    ServiceId service;
    config::BatchLimits limits;
    routing::ServerPool& pool;
    BatchQueueCallbacks callbacks;
    BatchForecast forecast;
    ResultCapacity capacity;
    double slotShare = 1;
    bool isDrained = false;
    bool overloadForecast = false;
    std::set<WaitingPiece> waiting;
    CallsInProgress calls;
    std::set<PieceId> hedged; ///< Pieces that are in two calls, or in one call and in the queue.
    std::set<PieceId> delivered; ///< Hedged pieces whose result was already delivered from one of their calls.
    std::uint64_t lastArrivalNumber = 0;
    std::optional<TimePoint> capacityFreeAt; ///< Time at which released capacity may allow a queued piece to be sent.
    TimePoint lastCheckAt {};
    TimePoint lastDispatchAt {};
};

} // namespace foxtailwheel::serving
