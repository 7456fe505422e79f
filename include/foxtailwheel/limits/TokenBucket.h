#pragma once

#include "foxtailwheel/base/Units.h"

namespace foxtailwheel::limits {

/// @brief Token bucket rate limiter; the caller passes the current time. Not thread-safe.
class TokenBucket {
public:
    TokenBucket() = default;
    /// @param rate Tokens per second, above 0.
    /// @param burst Capacity of the bucket, in tokens; the bucket starts full.
    TokenBucket(double rate, double burst, TimePoint now);

    /// @brief Takes `n` tokens; returns false and takes nothing if fewer are available.
    bool tryAcquire(double n, TimePoint now);
    /// @brief Sets the rate and the burst from `now` on; tokens above the new burst are discarded.
    void setRate(double rate, double burst, TimePoint now);
    /// @brief Time until `n` tokens are available; zero if they already are or the rate is 0.
    Duration timeUntilAvailable(double n, TimePoint now) const;
    double rate() const { return m_rate; }

private:
    double tokensAt(TimePoint now) const;

    double m_rate = 0;
    double m_burst = 0;
    double m_tokens = 0;
    TimePoint m_updatedAt {};
};

} // namespace foxtailwheel::limits
