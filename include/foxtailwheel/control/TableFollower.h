#pragma once

#include "foxtailwheel/base/Clock.h"
#include "foxtailwheel/base/Random.h"
#include "foxtailwheel/store/Feed.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace foxtailwheel::control {

/// @brief Times of a follower.
struct FollowerOptions {
    std::string table;
    Duration wait {}; ///< Longest time that the store holds a call until something changes.
    Duration answerLimit = std::chrono::milliseconds(1200); ///< Beyond `wait`; then the call counts as lost.
    Duration probeLimit = std::chrono::milliseconds(500); ///< For an answer while the store is away.
    Duration pause = std::chrono::milliseconds(250); ///< Before the next call after a failure, with jitter.
    Duration gather
        = std::chrono::milliseconds(100); ///< Before the next call after changes, so that they come together.
    Duration silence {}; ///< A follower that is told by another asks the store itself after this long without news.
    std::uint64_t seed = 1;
};

/// @brief The rows of a table and what is known of their age.
struct FollowedTable {
    std::map<std::string, std::string> rows;
    TimePoint asOf; ///< The rows were current then, at the earliest.
    TimePoint lostAt; ///< When the store was last found unavailable; unset for never.
    TimePoint regainedAt; ///< When it answered again after that.
    bool available = false;
};

/// @brief An answer of the store, passed on from the instance that asked.
struct TableNews {
    std::string table;
    std::uint64_t after = 0; ///< The changes follow on this version.
    store::FeedAnswer answer;

    friend bool operator==(const TableNews&, const TableNews&) = default;
};

/// @brief Keeps a copy of a table of the store: reads it whole, then asks for its changes, again and again.
///
/// Where several instances follow the same table, one asks and tells the others; these ask only where news stay away or
/// where one was missed. Not thread-safe; its owner runs on one thread, as do the feed's answers.
class TableFollower {
public:
    using Changed = std::function<void(const FollowedTable&, bool rowsChanged)>;
    /// @brief Runs work after a delay.
    using After = std::function<void(Duration, std::function<void()>)>;

    /// @brief Takes what the store answered, for the others.
    using Tell = std::function<void(const TableNews&)>;

    /// @param tell May be empty.
    TableFollower(
        store::Feed& feed, const Clock& clock, FollowerOptions options, After after, Changed changed, Tell tell = {});
    ~TableFollower();
    TableFollower(const TableFollower&) = delete;
    TableFollower& operator=(const TableFollower&) = delete;

    void start();
    /// @brief Sets whether this follower asks the store, or is told by another.
    void setAsking(bool asking);
    /// @brief Takes news from another instance.
    void onNews(const TableNews& news);
    const FollowedTable& table() const;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

/// @brief Bounds the local time at which a reply of the store was made, by the store's own steady clock.
///
/// A call that was sent at local time `s` and stamped by the store with `n` was answered after `s`; so a later stamp
/// `m` was made after `s + (m - n)`. The latest such bound holds.
class StoreClockBound {
public:
    /// @brief Takes a call's local time of sending and the store's stamp.
    /// @return The latest local time at which the reply can be said to have been made, at the earliest.
    TimePoint observe(TimePoint sentAt, Duration stamp);
    /// @brief Like `observe`, for a reply that another instance got; empty before the first call of this one.
    std::optional<TimePoint> observeTold(Duration stamp) const;

private:
    bool m_seen = false;
    TimePoint m_local;
    Duration m_stamp {};
};

} // namespace foxtailwheel::control
