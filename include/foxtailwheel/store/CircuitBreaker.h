#pragma once

#include "foxtailwheel/base/Random.h"
#include "foxtailwheel/base/Units.h"

#include <cstdint>

namespace foxtailwheel::store {

/// @brief Circuit breaker and concurrency limit for the calls to one platform service. Not thread-safe.
///
/// After `consecutiveFailuresToOpen` consecutive failures, calls are rejected for a backoff that doubles with each
/// further failure. The backoff has jitter so that the instances do not retry at the same moment. After the backoff the
/// breaker is half-open: it admits one probe call at a time until one succeeds.
class CircuitBreaker {
public:
    /// @param maxConcurrentCalls Maximum number of concurrent calls.
    /// @param seed Seed of the jitter.
    CircuitBreaker(std::uint32_t maxConcurrentCalls, std::uint64_t seed);

    /// @brief Returns true and counts a call as in progress if a call may be made now. The caller must report its end
    /// with `onCallEnded`.
    bool tryAcquire(TimePoint now);
    /// @brief Records the end of a call that `tryAcquire` admitted.
    void onCallEnded(bool succeeded, TimePoint now);
    /// @brief True while calls are rejected or limited to one probe.
    bool isOpen() const { return m_consecutiveFailures >= consecutiveFailuresToOpen; }

    static constexpr std::uint32_t consecutiveFailuresToOpen = 3;

private:
    std::uint32_t m_maxConcurrentCalls;
    std::uint32_t m_callsInProgress = 0;
    std::uint32_t m_consecutiveFailures = 0;
    TimePoint m_retryAt {};
    Duration m_backoff {};
    Random m_random;
};

} // namespace foxtailwheel::store
