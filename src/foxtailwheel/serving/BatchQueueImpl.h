#pragma once

#include "CallsInProgress.h"
#include "foxtailwheel/serving/BatchForecast.h"
#include "foxtailwheel/serving/BatchQueue.h"
#include "foxtailwheel/serving/ResultRoom.h"

#include <map>
#include <set>

namespace foxtailwheel::serving {

using RoomByZone = std::map<AvailabilityZoneId, std::uint64_t>; ///< Most room for results at a free server.
using GroupSizes = std::unordered_map<PieceGroupId, std::size_t>; ///< Waiting pieces of each group.
using Orders = std::set<std::uint64_t>; ///< Pieces by their order of arrival.

/// @brief State of a batch queue; its members stand in one file for what leaves where, and one for the rest.
struct BatchQueue::Impl {
    Impl(ServiceId s, config::BatchLimits l, routing::ServerPool& p, BatchQueueEvents e)
        : service(std::move(s))
        , limits(l)
        , pool(p)
        , events(std::move(e))
        , forecast(l)
    {
        room.setLimits(l.resultRoomBytes, l.resultLife);
    }

    std::size_t mostCalls(TimePoint now) const;
    double servers(TimePoint now) const { return static_cast<double>(mostCalls(now)); }
    bool sendOne(TimePoint now, std::vector<BatchAction>& out);
    std::vector<config::BackendServer> freeServers(TimePoint now) const;
    GroupSizes groupSizes() const;
    std::size_t leavesWith(const WaitingPiece& piece, const GroupSizes& sizes) const;
    std::optional<AvailabilityZoneId> zoneToServe(
        const RoomByZone& free, const Orders& leaving, const GroupSizes& sizes) const;
    Orders leavingZones(const std::vector<config::BackendServer>& free, const RoomByZone& roomByZone,
        const GroupSizes& sizes, TimePoint now) const;
    std::vector<WaitingPiece> take(
        const config::BackendServer& server, const Orders& leaving, const GroupSizes& sizes, TimePoint now);
    std::optional<routing::Placement> placeIn(const AvailabilityZoneId& zone,
        const std::vector<config::BackendServer>& free, std::uint64_t mostRoom, TimePoint now);
    void keepTogether(const std::vector<WaitingPiece>& sent, const AvailabilityZoneId& zone);
    void send(const config::BackendServer& server, std::vector<WaitingPiece> pieces, TimePoint now,
        std::vector<BatchAction>& out);
    void check(TimePoint now, std::vector<BatchAction>& out);
    bool isLate(const WaitingPiece& piece, TimePoint now) const { return piece.goal < now + forecast.callTime(1); }
    void dropHopeless(TimePoint now, std::vector<BatchAction>& out);
    void doubleSlowCalls(TimePoint now);
    void decide(const WaitingPiece& piece, const PieceResult& result, std::vector<BatchAction>& out);
    void putBack(WaitingPiece piece, PieceFailure failure, TimePoint now, std::vector<BatchAction>& out);
    void noteRoom(const BatchCall& call, BatchEnd end, const std::vector<PieceResult>& results, TimePoint now);
    routing::CallReport reportOf(const BatchCall& call, BatchEnd end, TimePoint now) const;

    ServiceId service;
    config::BatchLimits limits;
    routing::ServerPool& pool;
    BatchQueueEvents events;
    BatchForecast forecast;
    ResultRoom room;
    double share = 1;
    std::set<WaitingPiece> waiting;
    CallsInProgress calls;
    std::set<PieceId> twice; ///< Pieces that are in two calls, or in one and in the queue.
    std::set<PieceId> settled; ///< Of these, the ones that one call has decided.
    std::uint64_t arrivals = 0;
    std::optional<TimePoint> roomFreeAt; ///< When released room may let a waiting piece go.
    TimePoint checkedAt {};
    TimePoint pumpedAt {};
};

} // namespace foxtailwheel::serving
