#pragma once

#include "foxtailwheel/base/Units.h"

#include <cstdint>

namespace foxtailwheel::routing {

/// @brief Outcome of a call, as evidence of the health of its backend server.
enum class CallOutcome {
    Success, ///< The server responded.
    Unreachable, ///< The connection could not be established.
    Failed, ///< The connection closed early or timed out, or the server returned an error.
    Rejected, ///< The server rejected the call before starting it.
};

/// @brief Passive health check (outlier detection) of one backend server.
///
/// The server becomes suspected after one failed connection attempt or two consecutive failed calls. After a backoff,
/// which doubles with each failed probe, it receives one call at a time as a probe. Two successful calls make it
/// healthy again.
class ServerHealth {
public:
    /// @brief Updates the state with the outcome of a call.
    void onCallEnded(CallOutcome outcome, TimePoint now);
    /// @brief Records that a call was sent.
    void onCallStarted(TimePoint now);
    /// @brief Sends no calls until `until`. Afterwards calls are spread until one succeeds.
    void pause(TimePoint until);
    /// @brief Returns true if the server may not be called now because it was paused.
    bool isPaused(TimePoint now) const { return now < m_pausedUntil; }
    /// @brief Returns the time until which the server is paused; in the past if it is not.
    TimePoint pausedUntil() const { return m_pausedUntil; }
    /// @brief Returns true if a call can be sent to the server now.
    /// @param ownCalls Calls of this instance in progress at the server.
    bool isUsable(TimePoint now, std::uint32_t ownCalls) const;
    /// @brief Returns true while the server is suspected, also during probes.
    bool isSuspected() const { return m_suspected; }

private:
    void markSuspected(TimePoint now);

    bool m_suspected = false;
    std::uint32_t m_consecutiveFailures = 0;
    std::uint32_t m_consecutiveSuccesses = 0;
    TimePoint m_nextProbeAt {};
    Duration m_backoff {};
    TimePoint m_pausedUntil {};
    bool m_returning = false; ///< Was paused, and no call has succeeded since.
};

} // namespace foxtailwheel::routing
