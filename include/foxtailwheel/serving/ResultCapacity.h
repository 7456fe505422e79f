#pragma once

#include "foxtailwheel/base/Ids.h"
#include "foxtailwheel/base/Units.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace foxtailwheel::serving {

/// @brief Tracks the capacity for results at the servers of one service, for results of calls that this instance sent.
/// Not thread-safe.
///
/// A result occupies capacity from the start of its call until it is released or expires.
class ResultCapacity {
public:
    /// @brief How results occupy the capacity of a server, from recent results.
    struct Usage {
        double resultsPerServer = 0; ///< Results that fit at the same time.
        Duration retention {}; ///< Mean time from the end of its call until a result is released.
    };

    /// @brief Sets the capacity of one server and the lifetime of results after their call.
    /// @param bytes 0 for no limit.
    void setLimits(std::uint64_t bytes, Duration lifetime);
    /// @brief Returns the free bytes at a server; the maximum value if there is no limit.
    std::uint64_t available(const BackendServerId& server, TimePoint now);
    /// @brief Reserves capacity for the results of a call that was sent.
    void reserve(const BackendServerId& server, std::uint64_t bytes);
    /// @brief Cancels the reservation of a call that ended; its results are added with `addResult`.
    void cancelReservation(const BackendServerId& server, std::uint64_t bytes);
    /// @brief Adds a result that is stored at a server.
    void addResult(const BackendServerId& server, const std::string& handle, std::uint64_t bytes, TimePoint now);
    /// @brief Marks a result as released; its capacity is free once the release has reached the server.
    /// @return False if the result is unknown or was released before.
    bool release(const BackendServerId& server, const std::string& handle, TimePoint now);
    /// @brief Returns the usage, or none without a limit or before the first release.
    std::optional<Usage> usage() const;
    /// @brief Returns the time at which capacity of a released result is free next, or none.
    std::optional<TimePoint> nextFreeAt(TimePoint now);
    /// @brief Handles a server that rejected a result for lack of capacity: untracked results, such as those of a
    /// previous owner, occupy the rest. Their size is assumed to decrease linearly to 0.
    void onRejected(const BackendServerId& server, std::uint64_t bytes, TimePoint now);

private:
    struct Result {
        std::uint64_t bytes = 0;
        TimePoint expiresAt;
        bool released = false;
        TimePoint addedAt = {};
    };
    struct Server {
        std::uint64_t usedBytes = 0; ///< Size of reservations and of tracked results.
        std::uint64_t untrackedBytes = 0; ///< Size of untracked results at `untrackedAt`.
        TimePoint untrackedAt {};
        std::map<std::string, Result> results;
    };

    void recordRelease(const Result& result, TimePoint now);
    static std::uint64_t currentUntrackedBytes(const Server& server, TimePoint now);

    std::map<BackendServerId, Server> m_servers;
    std::uint64_t m_bytesPerServer = 0;
    Duration m_resultLifetime {};
    double m_meanBytes = 0; ///< Of a released result, exponentially smoothed, as is the next.
    double m_meanRetentionSeconds = 0;
    std::deque<TimePoint> m_releaseTimes; ///< Times at which releases reach their servers, in ascending order.
};

} // namespace foxtailwheel::serving
