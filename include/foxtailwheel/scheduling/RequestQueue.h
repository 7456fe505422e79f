#pragma once

#include "foxtailwheel/base/Units.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace foxtailwheel::scheduling {

/// @brief A request that waits for a server of its service.
struct WaitingRequest {
    std::uint64_t id = 0;
    std::uint32_t priority = 0; ///< 0 is the most urgent.
    TimePoint targetTime; ///< Time at which it has to be sent to meet its latency target.
    TimePoint latestTime; ///< Time at which it has to be sent to be answered before its deadline.
};

/// @brief Requests of one service that wait for a server on this instance, in the order in which they are sent.
///
/// Answers the moment at which a few servers become free for many requests: the order is by priority, then requests
/// that can still meet their latency target before the others, then by target time. Not thread-safe.
class RequestQueue {
public:
    /// @brief Adds a request, or replaces the one with the same id.
    void add(const WaitingRequest& request);
    void remove(std::uint64_t id);
    /// @brief Returns the ids of the waiting requests in sending order.
    std::vector<std::uint64_t> order(TimePoint now) const;
    /// @brief Returns true if the request is waiting and can no longer be answered before its deadline.
    bool isTooLate(std::uint64_t id, TimePoint now) const;
    std::size_t size() const { return m_requests.size(); }
    bool empty() const { return m_requests.empty(); }

private:
    std::unordered_map<std::uint64_t, WaitingRequest> m_requests;
};

} // namespace foxtailwheel::scheduling
