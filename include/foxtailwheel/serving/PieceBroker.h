#pragma once

#include "foxtailwheel/base/Ids.h"
#include "foxtailwheel/base/Units.h"
#include "foxtailwheel/serving/BatchQueue.h"
#include "foxtailwheel/serving/Note.h"

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace foxtailwheel::serving {

/// @brief To the owner of a service: have these pieces made.
struct PiecesAsked {
    PieceGroupId group; ///< Numbered by who asks.
    ServiceId service;
    std::vector<Piece> pieces;
    std::uint32_t priority = 0;
    Duration goalLeft {}; ///< Time within which the pieces are wanted; may be over.
    Duration timeLeft {}; ///< Time after which they are of no use.
    AvailabilityZoneId preferredZone; ///< Empty for none.
    Duration zoneLeft {}; ///< Time after which the pieces may be made outside of that zone.
    std::uint64_t resultBytes = 0; ///< Approximate size of one result.

    friend bool operator==(const PiecesAsked&, const PiecesAsked&) = default;
};

/// @brief Priorities that owners tell their waits for; less urgent ones count as the last.
constexpr std::size_t toldPriorities = 4;

/// @brief Time until more pieces of a service are made, as the owner's queue stands.
struct QueueWaits {
    std::array<Duration, toldPriorities> timely {}; ///< By priority, for pieces that can meet their goal.
    Duration late {}; ///< For pieces that cannot, which go last.

    friend bool operator==(const QueueWaits&, const QueueWaits&) = default;
};

/// @brief From the owner: the pieces are in its queue.
struct PiecesTaken {
    PieceGroupId group;
    QueueWaits waits;

    friend bool operator==(const PiecesTaken&, const PiecesTaken&) = default;
};

/// @brief To the owner: the pieces are not wanted any more.
struct PiecesCancelled {
    PieceGroupId group;

    friend bool operator==(const PiecesCancelled&, const PiecesCancelled&) = default;
};

/// @brief What came of one piece.
struct MadePiece {
    std::uint32_t index = 0;
    PieceResult result;

    friend bool operator==(const MadePiece&, const MadePiece&) = default;
};

/// @brief From the owner: these pieces are decided.
struct PiecesMade {
    PieceGroupId group;
    ServiceId service;
    std::vector<MadePiece> pieces;
    QueueWaits waits; ///< For more pieces, as the queue stands now.

    friend bool operator==(const PiecesMade&, const PiecesMade&) = default;
};

/// @brief Anything that instances tell each other about pieces. Results are released through the owner, which so knows
/// the room that is left at their makers.
using PieceMessage = std::variant<PiecesAsked, PiecesTaken, PiecesCancelled, PiecesMade, ReleaseResults>;

/// @brief Send a message to another instance.
struct TellInstance {
    InstanceId to;
    PieceMessage message;
};

/// @brief What a broker wants done.
using BrokerAction = std::variant<SendBatch, PieceDone, TellInstance, ReleaseResults>;
using BrokerActions = std::vector<BrokerAction>;

/// @brief The batch queue of a service; null where the service takes no pieces.
using FindQueue = std::function<BatchQueue*(const ServiceId&)>;

/// @brief Gathers the pieces of all instances at one owner for each service, so that batches form across instances.
///
/// The owner is the live instance that weighs most for the service by rendezvous hash. A wrong owner does no harm: its
/// batches are smaller. Where the owner does not confirm or does not answer in time, its asker makes the pieces itself
/// and avoids it for a while. Not thread-safe.
class PieceBroker {
public:
    /// @param note May be empty.
    PieceBroker(InstanceId self, FindQueue findQueue, NoteSink note = {});
    ~PieceBroker();
    PieceBroker(const PieceBroker&) = delete;
    PieceBroker& operator=(const PieceBroker&) = delete;

    /// @brief Takes the instances that may own services and those that are gone.
    /// @param live This one included; empty means this one alone.
    void setMembers(
        const std::vector<InstanceId>& live, const std::set<InstanceId>& gone, TimePoint now, BrokerActions& out);
    /// @brief The instance that owns a service now.
    InstanceId ownerOf(const ServiceId& service, TimePoint now) const;
    /// @brief True where this instance gathers the pieces of a service: it owns it, or others take it for the owner.
    bool gathers(const ServiceId& service, TimePoint now) const;
    /// @brief Has the pieces of a group made, here or at the owner.
    void ask(const ServiceId& service, PieceGroup group, TimePoint now, BrokerActions& out);
    /// @brief The group is not wanted any more.
    void cancel(PieceGroupId group, BrokerActions& out);
    /// @brief Results are not needed any more.
    void release(ReleaseResults release, TimePoint now, BrokerActions& out);
    /// @brief Another instance has said something.
    void onMessage(const InstanceId& from, const PieceMessage& message, TimePoint now, BrokerActions& out);
    /// @brief What was asked of an instance may be lost: it is asked for again, there or at another.
    void onLost(const InstanceId& instance, TimePoint now, BrokerActions& out);
    /// @brief A batch call of a service ended.
    void onBatchEnd(const ServiceId& service, CallId call, BatchEnd end, const std::vector<PieceResult>& results,
        TimePoint now, BrokerActions& out);
    /// @brief Sends what can leave the queue of a service.
    void pump(const ServiceId& service, TimePoint now, BrokerActions& out);
    /// @brief Does what is due.
    void onTime(TimePoint now, BrokerActions& out);
    /// @brief When `onTime` is next needed.
    TimePoint nextTime() const;
    /// @brief Expected time until more pieces of a service would be made: from this instance's own queue where it owns
    /// the service, else as the owner said lately; 0 where nothing is known.
    /// @param late They cannot meet their goal any more.
    Duration expectedWait(
        const ServiceId& service, std::uint32_t priority, bool late, std::size_t pieces, TimePoint now) const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace foxtailwheel::serving
