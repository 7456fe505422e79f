#pragma once

#include "foxtailwheel/base/Ids.h"
#include "foxtailwheel/base/Units.h"
#include "foxtailwheel/config/Routes.h"
#include "foxtailwheel/routing/ServerPool.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace foxtailwheel::serving {

/// @brief Number of one call to a backend server, unique in a process.
using CallId = StrongNumber<struct CallTag>;

/// @brief Number of one group of pieces that were asked for together, chosen by who asks.
using PieceGroupId = StrongNumber<struct PieceGroupTag>;

/// @brief A result that lies at the backend server that made it.
struct ResultHandle {
    std::string value; ///< As the server named it; passed on unread.
    config::BackendServer maker;
    ServiceId service = {}; ///< That the maker belongs to.

    friend bool operator==(const ResultHandle&, const ResultHandle&) = default;
};

/// @brief One piece of a stage of one request.
struct Piece {
    std::string request; ///< Name of the request at the backend servers.
    StageIndex stage = 0;
    std::uint32_t index = 0; ///< From 0, within the stage.
    std::string key; ///< What the piece is made of, for stages that need no other.
    std::vector<std::string> inputs; ///< Handles of the stages that this one needs.

    friend bool operator==(const Piece&, const Piece&) = default;
};

/// @brief Pieces of one stage of one request.
struct PieceGroup {
    PieceGroupId id;
    std::vector<Piece> pieces;
    std::uint32_t priority = 0; ///< 0 is the most urgent.
    TimePoint goal; ///< The results are wanted by then.
    TimePoint deadline; ///< The results are of no use after it.
    std::optional<AvailabilityZoneId> preferredZone; ///< Where the results will be used.
    TimePoint leaveZoneAfter; ///< Pieces that would be made later than this there may be made elsewhere.
    std::uint64_t resultBytes = 0; ///< Approximate size of the result of one piece.
};

/// @brief Tell the makers of results that they are not needed any more.
struct ReleaseResults {
    ServiceId service;
    config::BackendServer maker;
    std::vector<std::string> handles;

    friend bool operator==(const ReleaseResults&, const ReleaseResults&) = default;
};

/// @brief Why a piece has no result.
enum class PieceFailure {
    Late, ///< Its time was over before its turn came.
    InputGone, ///< A result that it needs is no longer there.
    NoRoom, ///< The server has no room for the result.
    Moved, ///< It did not leave the queue of an instance that no longer owns the service.
    Failed, ///< The server failed at it, or the call broke.
};

/// @brief Name of a failure as it is written in logs.
std::string_view toString(PieceFailure failure);

/// @brief What came of one piece.
using PieceResult = std::variant<ResultHandle, PieceFailure>;

/// @brief How a batch call ended as a whole.
enum class BatchEnd {
    Answered, ///< There is a result for each piece.
    NotRun, ///< The server did not start it.
    Unreachable, ///< No connection could be made.
    Broken, ///< The connection ended early or went silent.
};

/// @brief Name of an end as it is written in logs.
std::string_view toString(BatchEnd end);

/// @brief Send one call with these pieces.
struct SendBatch {
    CallId call;
    ServiceId service;
    config::BackendServer server;
    std::vector<Piece> pieces;
    std::vector<Duration> timeLeft; ///< For each piece.
    TimePoint deadline; ///< The call is given up then.
    Duration waited {}; ///< Of the piece that waited longest in the queue.
    std::size_t left = 0; ///< Pieces that still wait for the service.
};

/// @brief One piece of a group is decided.
struct PieceDone {
    PieceGroupId group;
    std::uint32_t index = 0;
    PieceResult result;
};

/// @brief What a batch queue wants done.
using BatchAction = std::variant<SendBatch, PieceDone>;

/// @brief What a batch queue asks of its owner.
struct BatchQueueEvents {
    std::function<CallId()> newCall; ///< The number of the next call.
    std::function<bool(std::size_t, TimePoint)> takeRepeat; ///< Whether so many pieces may be asked for once more.
};

/// @brief The pieces that wait for one service, over all requests, and when they leave in which call.
///
/// A call costs a fixed time besides the time of its pieces, so pieces wait while all servers are busy and leave
/// together: under load calls fill up, while an idle server takes a piece at once. Pieces that can still meet their
/// goal leave before those that cannot; within both the more urgent leave first, then those of the earlier goal. Not
/// thread-safe.
class BatchQueue {
public:
    /// @param pool Chooses the server; outlives the queue.
    BatchQueue(ServiceId service, config::BatchLimits limits, routing::ServerPool& pool, BatchQueueEvents events);
    ~BatchQueue();
    BatchQueue(const BatchQueue&) = delete;
    BatchQueue& operator=(const BatchQueue&) = delete;

    /// @brief Takes new limits for calls to come.
    void setLimits(const config::BatchLimits& limits);
    /// @brief Sets the part of the servers' slots that this queue may fill.
    /// @param share 1 where this instance alone sends to the service.
    void setShare(double share);
    /// @brief Adds the pieces of a group.
    void add(PieceGroup group, TimePoint now, std::vector<BatchAction>& out);
    /// @brief Nobody wants the group any more: its waiting pieces are dropped, results to come are still given out.
    void cancel(PieceGroupId group);
    /// @brief Gives up the pieces that have not left, for another queue; each is reported as `Moved`.
    void handOver(std::vector<BatchAction>& out);
    /// @brief A call ended.
    /// @param results One for each piece where `end` is `Answered`, else ignored.
    void ended(CallId call, BatchEnd end, const std::vector<PieceResult>& results, TimePoint now,
        std::vector<BatchAction>& out);
    /// @brief Results are being released; `nextPump` tells when their room can be used.
    /// @return False where none of them was made by this queue.
    bool released(const ReleaseResults& release, TimePoint now);
    /// @brief Sends what can leave now; called when a server has come or time has passed.
    void pump(TimePoint now, std::vector<BatchAction>& out);
    /// @brief When `pump` is next needed, if nothing else happens.
    std::optional<TimePoint> nextPump() const;

    std::size_t waiting() const;
    std::size_t callsInProgress() const;
    /// @brief Expected time until `pieces` more pieces of the given priority would be made.
    /// @param late They cannot meet their goal any more.
    Duration expectedWait(std::uint32_t priority, bool late, std::size_t pieces, TimePoint now) const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace foxtailwheel::serving
