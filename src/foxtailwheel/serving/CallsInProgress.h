#pragma once

#include "WaitingPiece.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace foxtailwheel::serving {

/// @brief A batch call that was sent and has not ended.
struct BatchCall {
    config::BackendServer server;
    std::vector<WaitingPiece> pieces;
    TimePoint begunAt; ///< When its server starts on it, as far as is known.
    Duration expected {}; ///< From then on.
    std::uint64_t resultBytes = 0; ///< Of all its pieces.
    bool doubled = false; ///< Its pieces were put into the queue once more.

    TimePoint endsAt() const { return begunAt + expected; }
    /// @brief True where the next call to its server should leave now, to arrive as this one ends.
    bool isEnding(TimePoint now) const;
};

/// @brief The batch calls of one queue that are in progress, and which servers take another. Not thread-safe.
class CallsInProgress {
public:
    void add(CallId id, BatchCall call) { m_calls.emplace(id, std::move(call)); }
    /// @brief Removes a call that has ended; one that waited behind it at its server starts now.
    std::optional<BatchCall> take(CallId id, TimePoint now);
    /// @brief Nothing is sent to a server for a while: it did not start a call.
    void pause(const BackendServerId& server, TimePoint now);

    /// @brief Whether a server has a slot, or lets a call wait and will have one when a call sent now arrives.
    bool takesNext(const BackendServerId& server, const config::BatchLimits& limits, TimePoint now) const;
    /// @brief When a server starts on a call that is sent now.
    TimePoint freeAt(const BackendServerId& server, TimePoint now) const;
    /// @brief When the last call to each server should end.
    std::vector<std::pair<config::BackendServer, TimePoint>> ends() const;
    /// @brief Calls that are not about to end.
    std::size_t staying(TimePoint now) const;
    /// @brief When a server takes a call next that did not at `after`; the end of time for never.
    TimePoint nextChange(TimePoint after) const;

    std::unordered_map<CallId, BatchCall>& all() { return m_calls; }
    std::size_t size() const { return m_calls.size(); }
    bool empty() const { return m_calls.empty(); }

private:
    std::unordered_map<CallId, BatchCall> m_calls;
    std::map<BackendServerId, TimePoint> m_pausedUntil;
};

} // namespace foxtailwheel::serving
