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

/// @brief What a call has changed in the health of its server.
enum class HealthChange { None, Suspected, Recovered };

/// @brief Passive health check (outlier detection) of one backend server, with active checks where calls cannot be
/// risked.
///
/// The server becomes suspected after one failed connection attempt or two consecutive failed calls. After a backoff,
/// which doubles with each failed probe, it receives one call at a time as a probe. Two successful calls make it
/// healthy again. Calls that must not fail probe it only after it has passed a check.
class ServerHealth {
public:
    /// @brief Updates the state with the outcome of a call.
    /// @return `Suspected` also for each failed probe.
    HealthChange onCallEnded(CallOutcome outcome, TimePoint now);
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
    /// @brief Returns true if a call that must not fail may be sent to the server, as far as it is usable.
    bool isTrusted() const { return !m_suspected || m_checkPassed; }
    /// @brief Returns true if only a check can bring the server back to calls that must not fail, and it is due.
    bool needsCheck(TimePoint now) const;
    /// @brief Records that a check was sent. Another one is due when it has ended, at the latest after `maxCheckTime`.
    void onCheckStarted(TimePoint now) { m_checkEndsBy = now + maxCheckTime; }
    /// @brief Updates the state with the result of a check. A failed one counts as a failed probe.
    void onCheckEnded(bool passed, TimePoint now);
    /// @brief Another process has started under the id of the server. It is not suspected. A pause still holds: the
    /// server asked this instance for it.
    void onRestart();

    /// @brief Longer than any timeout of a check, so that one whose end is lost does not keep the server out.
    static constexpr Duration maxCheckTime = std::chrono::seconds(5);

private:
    void markSuspected(TimePoint now);

    bool m_suspected = false;
    std::uint32_t m_consecutiveFailures = 0;
    std::uint32_t m_consecutiveSuccesses = 0;
    TimePoint m_nextProbeAt {};
    Duration m_backoff {};
    TimePoint m_pausedUntil {};
    bool m_checkPassed = false; ///< Since the server was last suspected.
    TimePoint m_checkEndsBy {};
    bool m_returning = false; ///< Was paused, and no call has succeeded since.
};

} // namespace foxtailwheel::routing
