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

/// @brief ID of one call to a backend server, unique in a process.
using CallId = StrongNumber<struct CallTag>;

/// @brief ID of a group of pieces that are requested together, assigned by the requester.
using PieceGroupId = StrongNumber<struct PieceGroupTag>;

/// @brief Reference to a result that is stored at the backend server that produced it.
struct ResultHandle {
    std::string value; ///< Assigned by the server; passed on without interpretation.
    config::BackendServer producer;
    ServiceId service = {}; ///< Service of the producer.

    friend bool operator==(const ResultHandle&, const ResultHandle&) = default;
};

/// @brief Work item of one stage of a request; a batch call processes several.
struct Piece {
    std::string request; ///< ID of the request at the backend servers.
    StageIndex stage = 0;
    std::uint32_t index = 0; ///< From 0, within the stage.
    std::string key; ///< Input of the piece, for stages that do not depend on another stage.
    std::vector<std::string> inputs; ///< Handles of the results of the stages that this one depends on.
    /// The stage depends on others, as its route declares. The input is then `inputs`, although a request that omits
    /// those stages leaves it empty.
    bool readsResults = false;

    friend bool operator==(const Piece&, const Piece&) = default;
};

/// @brief Pieces of one stage of one request.
struct PieceGroup {
    PieceGroupId id;
    std::vector<Piece> pieces;
    std::uint32_t priority = 0; ///< 0 is the most urgent.
    TimePoint targetTime; ///< Time by which the results are due to meet the latency target.
    TimePoint deadline; ///< The results are useless after this time.
    std::optional<AvailabilityZoneId> preferredZone; ///< Zone in which the results will be used.
    /// Pieces expected to finish later than this in the preferred zone may be processed in another one.
    TimePoint crossZoneAfter;
    std::uint64_t resultBytes = 0; ///< Approximate size of the result of one piece.
    std::vector<AvailabilityZoneId> allowedZones {}; ///< Zones in which the pieces may be processed; empty for all.
};

/// @brief Action and message: release results that are no longer needed at their producer.
struct ReleaseResults {
    ServiceId service;
    config::BackendServer producer;
    std::vector<std::string> handles;

    friend bool operator==(const ReleaseResults&, const ReleaseResults&) = default;
};

/// @brief Reason why a piece has no result.
enum class PieceFailure {
    DeadlineExceeded, ///< Its deadline passed, or was expected to pass, before it was processed.
    InputMissing, ///< A result that it depends on no longer exists.
    NoCapacity, ///< The server has no capacity to store the result.
    OwnerChanged, ///< It was still queued at an instance that no longer owns the service.
    Failed, ///< The server reported an error, or the call broke.
    ZonesDrained, ///< All servers of the service are in drained zones.
    ServiceUnknown, ///< The owner has another version of the configuration, without the service.
};

/// @brief Returns the name of a failure as it is written in logs.
std::string_view toString(PieceFailure failure);

/// @brief Result of one piece, or the reason why there is none.
using PieceResult = std::variant<ResultHandle, PieceFailure>;

/// @brief Outcome of a batch call as a whole.
enum class BatchOutcome {
    Answered, ///< The response has a result or a failure for each piece.
    NotStarted, ///< The server did not start the call.
    Unreachable, ///< No connection could be established.
    Broken, ///< The connection ended early or timed out.
};

/// @brief Returns the name of an outcome as it is written in logs.
std::string_view toString(BatchOutcome outcome);

/// @brief Action: send one call with these pieces.
struct SendBatch {
    CallId call;
    ServiceId service;
    config::BackendServer server;
    std::vector<Piece> pieces;
    std::vector<Duration> remainingTimes; ///< Time until the deadline of each piece.
    TimePoint deadline; ///< Time at which the call times out.
    Duration maxQueueTime {}; ///< Longest time that a piece of the call spent in the queue.
    std::size_t remainingPieces = 0; ///< Pieces that remain in the queue of the service.
};

/// @brief Action: deliver the result of one piece of a group.
struct PieceDone {
    PieceGroupId group;
    std::uint32_t index = 0;
    PieceResult result;
};

/// @brief Action that the caller of a batch queue has to carry out.
using BatchAction = std::variant<SendBatch, PieceDone>;

/// @brief Callbacks of a batch queue.
struct BatchQueueCallbacks {
    std::function<CallId()> newCallId; ///< Returns the ID of the next call.
    /// Acquires the given number of retries from the retry budget; if they exceed it, acquires none and returns false.
    std::function<bool(std::size_t, TimePoint)> tryAcquireRetries;
};

/// @brief Queue that groups the pieces of all requests for one service into batch calls.
///
/// A call has a fixed cost besides the time per piece, so pieces wait while all servers are busy and are sent together:
/// under load, calls fill up, while an idle server receives a piece immediately. Pieces that can still meet their
/// latency target are sent before those that cannot. Within both sets, the more urgent pieces are sent first, then
/// those with the earlier target. Not thread-safe.
class BatchQueue {
public:
    /// @param pool Selects servers; must outlive the queue.
    BatchQueue(ServiceId service, config::BatchLimits limits, routing::ServerPool& pool, BatchQueueCallbacks callbacks);
    ~BatchQueue();
    BatchQueue(const BatchQueue&) = delete;
    BatchQueue& operator=(const BatchQueue&) = delete;

    /// @brief Sets the limits for future calls.
    void setLimits(const config::BatchLimits& limits);
    /// @brief Sets the share of the servers' slots that this queue may use, from 0 to 1.
    /// @param share 1 if no other instance sends calls to the service.
    void setSlotShare(double share);
    /// @brief Sets whether forecasts consider the capacity for results, that bursts end, and that of pieces that cannot
    /// meet their target only the more urgent ones are sent first. Otherwise they assume full calls, that arrivals go
    /// on as in the last second, and that all others are sent first.
    void setOverloadForecast(bool isOn);
    /// @brief Sets whether all servers are in drained zones. From the next dispatch on, queued pieces then fail with
    /// `ZonesDrained` instead of waiting for their deadlines.
    void setDrained(bool isDrained);
    /// @brief Adds the pieces of a group and sends the calls that are ready.
    void add(PieceGroup group, TimePoint now, std::vector<BatchAction>& out);
    /// @brief Cancels a group: its queued pieces are dropped, results of calls in progress are still delivered.
    void cancel(PieceGroupId group);
    /// @brief Removes all queued pieces so that another queue can process them; each is reported as `OwnerChanged`.
    void handOver(std::vector<BatchAction>& out);
    /// @brief Handles the end of a call.
    /// @param results One for each piece if `outcome` is `Answered`, else ignored.
    void onCallEnd(CallId call, BatchOutcome outcome, const std::vector<PieceResult>& results, TimePoint now,
        std::vector<BatchAction>& out);
    /// @brief Handles a release of results; `nextDispatch` takes the capacity that it frees into account.
    /// @return False if none of the results was produced by a call of this queue.
    bool onRelease(const ReleaseResults& release, TimePoint now);
    /// @brief Sends the calls that are ready; to be called when a server becomes available and at `nextDispatch`.
    void dispatch(TimePoint now, std::vector<BatchAction>& out);
    /// @brief Returns the time of the next `dispatch` call that is needed without other events, or none.
    std::optional<TimePoint> nextDispatch() const;

    std::size_t waitingCount() const;
    std::size_t callsInProgress() const;
    /// @brief Returns the expected time until `pieces` additional pieces of the given priority would be processed.
    /// @param late The pieces cannot meet their latency target.
    Duration expectedWait(std::uint32_t priority, bool late, std::size_t pieces, TimePoint now) const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace foxtailwheel::serving
