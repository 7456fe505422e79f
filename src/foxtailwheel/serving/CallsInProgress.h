#pragma once

#include "WaitingPiece.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace foxtailwheel::serving {

/// @brief A batch call in progress.
struct BatchCall {
    config::BackendServer server;
    std::vector<WaitingPiece> pieces;
    TimePoint startsAt; ///< Estimated time at which the server starts the call.
    Duration expectedDuration {}; ///< Expected duration after the start.
    std::uint64_t resultBytes = 0; ///< Sum over all pieces.
    bool requeued = false; ///< The pieces were added to the queue a second time, for a hedged call.

    TimePoint endsAt() const { return startsAt + expectedDuration; }
    /// @brief Returns true if the next call to the server should be sent now, to arrive as this one ends.
    bool isEnding(TimePoint now) const;
};

/// @brief The batch calls in progress of one queue, and which servers can be sent another. Not thread-safe.
class CallsInProgress {
public:
    void add(CallId id, BatchCall call) { m_calls.emplace(id, std::move(call)); }
    /// @brief Removes and returns a call that has ended. Other calls at its server are assumed to start at `now`.
    std::optional<BatchCall> remove(CallId id, TimePoint now);
    /// @brief Pauses sending to a server that did not start a call.
    void pause(const BackendServerId& server, TimePoint now);

    /// @brief Returns true if a server has a free slot, or queues calls and will have one when a call sent now arrives.
    bool canSendTo(const BackendServerId& server, const config::BatchLimits& limits, TimePoint now) const;
    /// @brief Returns when a server would start a call that is sent now.
    TimePoint nextStartTime(const BackendServerId& server, TimePoint now) const;
    /// @brief Returns the expected end of the last call at each server.
    std::vector<std::pair<config::BackendServer, TimePoint>> lastEndTimes() const;
    /// @brief Returns the number of calls that are not about to end.
    std::size_t countNotEnding(TimePoint now) const;
    /// @brief Returns the next time after `after` at which a server may become available; `TimePoint::max()` for never.
    TimePoint nextAvailabilityChange(TimePoint after) const;

    std::unordered_map<CallId, BatchCall>& all() { return m_calls; }
    std::size_t size() const { return m_calls.size(); }
    bool empty() const { return m_calls.empty(); }

private:
    std::unordered_map<CallId, BatchCall> m_calls;
    std::map<BackendServerId, TimePoint> m_pausedUntil;
};

} // namespace foxtailwheel::serving
