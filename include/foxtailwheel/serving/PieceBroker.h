#pragma once

#include "foxtailwheel/base/Ids.h"
#include "foxtailwheel/base/Units.h"
#include "foxtailwheel/serving/BatchQueue.h"
#include "foxtailwheel/serving/DecisionLog.h"

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace foxtailwheel::serving {

/// @brief Request to the owner of a service to process pieces.
struct PieceRequest {
    PieceGroupId group; ///< Assigned by the requester.
    ServiceId service;
    std::vector<Piece> pieces;
    std::uint32_t priority = 0;
    Duration remainingTimeToTarget {}; ///< Time until the latency target; negative once it has passed.
    Duration remainingTime {}; ///< Time until the deadline.
    AvailabilityZoneId preferredZone; ///< Empty if there is no preference.
    Duration remainingTimeInZone {}; ///< Time after which the pieces may be processed in another zone.
    std::uint64_t resultBytes = 0; ///< Approximate size of one result.
    bool repeated = false; ///< Sent to the same owner before, which may have it in its queue.
    std::vector<AvailabilityZoneId> allowedZones {}; ///< Zones in which the pieces may be processed; empty for all.

    friend bool operator==(const PieceRequest&, const PieceRequest&) = default;
};

/// @brief Number of priorities for which owners report wait times; less urgent priorities share the last entry.
constexpr std::size_t reportedPriorities = 4;

/// @brief Expected time until additional pieces of a service are processed, given the current queue of the owner.
struct QueueWaits {
    std::array<Duration, reportedPriorities>
        byPriority {}; ///< By priority, for pieces that can meet their latency target.
    Duration late {}; ///< For the least urgent pieces that cannot.
    std::array<Duration, reportedPriorities>
        lateByPriority {}; ///< For pieces that cannot, behind all that can and late ones of no lower priority.

    friend bool operator==(const QueueWaits&, const QueueWaits&) = default;
};

/// @brief Acknowledgement from the owner: the pieces are in its queue. Sent again periodically as a heartbeat while
/// pieces of the requester are queued.
struct PieceRequestAck {
    PieceGroupId group;
    QueueWaits waits;

    friend bool operator==(const PieceRequestAck&, const PieceRequestAck&) = default;
};

/// @brief Cancellation sent to the owner: the results are no longer needed.
struct PieceRequestCancel {
    PieceGroupId group;

    friend bool operator==(const PieceRequestCancel&, const PieceRequestCancel&) = default;
};

/// @brief Result of one piece, with the index of the piece.
struct IndexedPieceResult {
    std::uint32_t index = 0;
    PieceResult result;

    friend bool operator==(const IndexedPieceResult&, const IndexedPieceResult&) = default;
};

/// @brief Results from the owner for some or all pieces of a group.
struct PieceResults {
    PieceGroupId group;
    ServiceId service;
    std::vector<IndexedPieceResult> pieces;
    QueueWaits waits; ///< For additional pieces, given the current queue.

    friend bool operator==(const PieceResults&, const PieceResults&) = default;
};

/// @brief Any message about pieces between instances. Results are released through the owner, so that it can track the
/// free capacity of their producers.
using PieceMessage = std::variant<PieceRequest, PieceRequestAck, PieceRequestCancel, PieceResults, ReleaseResults>;

/// @brief Action: send a message to another instance.
struct SendToInstance {
    InstanceId to;
    PieceMessage message;
};

/// @brief Action that the caller of a broker has to carry out.
using BrokerAction = std::variant<SendBatch, PieceDone, SendToInstance, ReleaseResults>;
using BrokerActions = std::vector<BrokerAction>;

/// @brief Returns the batch queue of a service, or null if the service does not process pieces.
using QueueLookup = std::function<BatchQueue*(const ServiceId&)>;

/// @brief Routes the pieces of all instances to one owner per service, so that batches form across instances.
///
/// The owner is the live instance with the highest rendezvous hash weight for the service. Instances may briefly
/// disagree about the owner; this only makes batches smaller. If the owner does not acknowledge a request or stops
/// sending heartbeats, the requester sends the pieces to the next candidate, or processes them itself if that one is
/// silent too, and avoids the silent instance for a while. Not thread-safe.
class PieceBroker {
public:
    /// @param log May be empty.
    PieceBroker(InstanceId self, QueueLookup findQueue, DecisionLog log = {});
    ~PieceBroker();
    PieceBroker(const PieceBroker&) = delete;
    PieceBroker& operator=(const PieceBroker&) = delete;

    /// @brief Updates the instances that may own services and those that were removed.
    /// @param live Includes this instance; empty means that this instance is the only one.
    void setMembers(
        const std::vector<InstanceId>& live, const std::set<InstanceId>& removed, TimePoint now, BrokerActions& out);
    /// @brief Returns the current owner of a service.
    InstanceId ownerOf(const ServiceId& service, TimePoint now) const;
    /// @brief Returns true if this instance owns the service or recently received requests for it from other instances.
    bool actsAsOwner(const ServiceId& service, TimePoint now) const;
    /// @brief Submits the pieces of a group to the local queue or to the owner of the service.
    void submit(const ServiceId& service, PieceGroup group, TimePoint now, BrokerActions& out);
    /// @brief Cancels a group.
    void cancel(PieceGroupId group, BrokerActions& out);
    /// @brief Releases results at their producer.
    void release(ReleaseResults release, TimePoint now, BrokerActions& out);
    /// @brief Handles a message from another instance.
    void onMessage(const InstanceId& from, const PieceMessage& message, TimePoint now, BrokerActions& out);
    /// @brief Handles the loss of the connection to an instance: requests may be lost, so they are sent to it again. It
    /// ignores those that it has in its queue.
    void onConnectionLost(const InstanceId& instance, TimePoint now, BrokerActions& out);
    /// @brief Handles that an instance refuses connections: its process has ended, so requests sent to it are submitted
    /// to the next owner.
    void onUnreachable(const InstanceId& instance, TimePoint now, BrokerActions& out);
    /// @brief Handles the end of a batch call.
    void onBatchEnd(const ServiceId& service, CallId call, BatchOutcome outcome,
        const std::vector<PieceResult>& results, TimePoint now, BrokerActions& out);
    /// @brief Sends the batches of a service that are ready.
    void dispatch(const ServiceId& service, TimePoint now, BrokerActions& out);
    /// @brief Handles expired timeouts and sends heartbeats that are due.
    void onTimer(TimePoint now, BrokerActions& out);
    /// @brief Returns the time of the next `onTimer` call that is needed.
    TimePoint nextTimerAt() const;
    /// @brief Returns the expected time until additional pieces of a service would be processed: from the local queue
    /// if this instance owns the service, else from the most recent report of the owner; 0 if unknown.
    /// @param late The pieces cannot meet their latency target.
    Duration expectedWait(
        const ServiceId& service, std::uint32_t priority, bool late, std::size_t pieces, TimePoint now) const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace foxtailwheel::serving
