#pragma once

#include "foxtailwheel/base/Clock.h"
#include "foxtailwheel/base/Random.h"
#include "foxtailwheel/store/ChangeFeed.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace foxtailwheel::control {

/// @brief Options of a follower.
struct TableFollowerOptions {
    std::string table;
    Duration maxWait {}; ///< Long-poll timeout: maximum time that the store waits for a change.
    Duration responseTimeout = std::chrono::milliseconds(1200); ///< A call fails this long after its wait has ended.
    Duration probeTimeout = std::chrono::milliseconds(500); ///< Response timeout while the store is unavailable.
    /// @brief Delay after the first of several failures; jitter can double it.
    Duration firstRetryDelay = std::chrono::milliseconds(60);
    Duration retryDelay = std::chrono::milliseconds(250); ///< The same for a follower that polls after more failures.
    Duration coalesceDelay = std::chrono::milliseconds(100); ///< Delay after a change, to return several in one call.
    Duration silenceTimeout {}; ///< Age of the copy at which a follower that does not poll calls the store itself.
    Duration askTimeout {}; ///< Age of the copy at which a follower asks other instances for theirs.
    Duration askDelay = std::chrono::milliseconds(250); ///< Minimum delay until it asks again; doubles, as does jitter.
    std::uint64_t seed = 1;
};

/// @brief Local copy of a table, with its age and the availability of the store.
struct TableReplica {
    std::map<std::string, std::string> rows;
    TimePoint asOf; ///< Lower bound of the time at which the rows were current.
    TimePoint lastUnavailableAt; ///< Time at which the store was last found unavailable; unset for never.
    TimePoint recoveredAt; ///< Time of the first sign after that that the store serves again, own or of a peer.
    store::StoreEpoch epoch; ///< Epoch of the rows.
    std::uint64_t version = 0; ///< Version of the rows within the epoch.
    /// @brief Counts the changes of rows and epoch. 0 until the table has been read. Whoever acts on the rows compares
    /// it with the revision that was last acted on.
    std::uint64_t revision = 0;
    bool available = false; ///< The last own call to the store succeeded.
    bool forwarded = false; ///< The last change came from another instance, not from the store.
    bool confirmedByPeer = false; ///< The last response came from another instance, not from the store.
};

/// @brief A response of the store, forwarded by the instance that received it.
struct TableUpdate {
    std::string table;
    std::uint64_t baseVersion = 0; ///< The version that the changes apply to.
    store::FeedResult changes;
    std::uint64_t answered = 0; ///< Sequence of the request that this answers, from 1; 0 for none.
    Duration age {}; ///< Of an answer: upper bound of the age of the copy that it was made from.
    bool complete = false; ///< Of an answer: the rows are the whole table.

    friend bool operator==(const TableUpdate&, const TableUpdate&) = default;
};

/// @brief Asks another instance for what it knows of a table beyond the sender's copy.
struct TableRequest {
    std::string table;
    std::uint64_t version = 0; ///< Of the sender's copy; 0 if it has none.
    store::StoreEpoch epoch;
    std::uint64_t sequence = 0; ///< From 1, repeated by the answer.
    Duration age {}; ///< Upper bound of the age of the sender's copy.

    friend bool operator==(const TableRequest&, const TableRequest&) = default;
};

/// @brief Returns the update as it is sent to `receivers` instances. If it is larger than `maxBytes` in all, it only
/// announces its version, and each receiver reads the changes from the store.
TableUpdate limitUpdate(const TableUpdate& update, std::size_t receivers, std::size_t maxBytes);

/// @brief Replicates a table of the store: reads it completely, then long-polls for changes.
///
/// If several instances follow the same table, one of them polls and forwards the changes to the others, which call the
/// store only if updates stop or one was missed. An instance whose copy grows old, or whose calls to the store fail,
/// also asks some other instances, which may reach the store or a poller that does; if it polls, it forwards what it is
/// told. Versions are compared only within an epoch of the store: at the first sign of a new one, the table is read
/// completely again. Not thread-safe: calls and the feed's callbacks run on one thread.
class TableFollower {
public:
    /// @brief Called after each response and update that says something of the table, also if nothing has changed.
    using OnChange = std::function<void(const TableReplica&)>;
    /// @brief Runs a function after a delay.
    using RunAfter = std::function<void(Duration, std::function<void()>)>;

    /// @brief Forwards an update to the other instances.
    using Publish = std::function<void(const TableUpdate&)>;
    /// @brief Sends a request to some other instances.
    using Ask = std::function<void(const TableRequest&)>;

    /// @param publish May be empty.
    /// @param ask May be empty.
    TableFollower(store::ChangeFeed& feed, const Clock& clock, TableFollowerOptions options, RunAfter runAfter,
        OnChange onChange, Publish publish = {}, Ask ask = {});
    ~TableFollower();
    TableFollower(const TableFollower&) = delete;
    TableFollower& operator=(const TableFollower&) = delete;

    void start();
    /// @brief Sets whether this follower polls the store or receives updates from another instance.
    void setPolling(bool polling);
    /// @brief Reads the changes up to now from the store, unless a call is in progress.
    void catchUp();
    /// @brief Handles an update from another instance, or its answer.
    void onUpdate(const TableUpdate& update);
    /// @brief Answers the request of another instance; empty if its copy is as good as this one.
    std::optional<TableUpdate> answer(const TableRequest& request) const;
    const TableReplica& table() const;
    const std::string& tableName() const;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

/// @brief Computes a lower bound of the local time at which the store created a response, from the store's steady
/// clock.
///
/// A call sent at local time `s` and stamped `n` by the store was processed after `s`, so a later stamp `m` was created
/// after `s + (m - n)`. The latest such bound is used.
class StoreClockBound {
public:
    /// @brief Adds a call, given its local send time and the store's stamp.
    /// @return Lower bound of the local time at which the response was created.
    TimePoint observe(TimePoint sentAt, Duration stamp);
    /// @brief Lower bound for a response that another instance received; empty before the first `observe` and for a
    /// stamp older than the last one.
    std::optional<TimePoint> observeForwarded(Duration stamp) const;

private:
    bool m_seen = false;
    TimePoint m_local;
    Duration m_stamp {};
};

} // namespace foxtailwheel::control
