#pragma once

#include "foxtailwheel/base/Units.h"

namespace foxtailwheel::limits {

/// @brief Token bucket at injected time.
class TokenBucket {
public:
    TokenBucket() = default;
    /// @param rate Tokens per second, above 0.
    /// @param burst Most tokens held.
    TokenBucket(double rate, double burst, TimePoint now);

    /// @brief Takes `n` tokens where they are there.
    bool take(double n, TimePoint now);
    /// @brief Changes the rate and the burst from now on.
    void setRate(double rate, double burst, TimePoint now);
    /// @brief Time until `n` tokens are there.
    Duration wait(double n, TimePoint now) const;
    double rate() const { return m_rate; }

private:
    double levelAt(TimePoint now) const;

    double m_rate = 0;
    double m_burst = 0;
    double m_level = 0;
    TimePoint m_at {};
};

} // namespace foxtailwheel::limits
