#pragma once

#include "foxtailwheel/base/Random.h"
#include "foxtailwheel/base/Units.h"

#include <cstdint>

namespace foxtailwheel::store {

/// @brief Circuit breaker and limit for the calls to one platform service. Not thread-safe.
///
/// After `failuresToOpen` failures in a row calls are refused for a pause that doubles, with jitter so that the
/// instances do not return in step; then one call at a time tries.
class Breaker {
public:
    /// @param mostInProgress Most calls at once.
    Breaker(std::uint32_t mostInProgress, std::uint64_t seed);

    /// @brief True where a call may be made now; it then counts as in progress until `ended`.
    bool tryStart(TimePoint now);
    /// @brief A call ended.
    void ended(bool succeeded, TimePoint now);
    bool open() const { return m_failures >= failuresToOpen; }

    static constexpr std::uint32_t failuresToOpen = 3;

private:
    std::uint32_t m_mostInProgress;
    std::uint32_t m_inProgress = 0;
    std::uint32_t m_failures = 0;
    TimePoint m_tryAt {};
    Duration m_pause {};
    Random m_random;
};

} // namespace foxtailwheel::store
