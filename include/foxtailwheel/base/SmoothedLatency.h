#pragma once

#include "foxtailwheel/base/Units.h"

namespace foxtailwheel {

/// @brief Exponentially weighted mean and mean deviation of measured latencies, as in the TCP retransmission timer (RFC
/// 6298).
class SmoothedLatency {
public:
    /// @param initial Mean before the first measurement.
    explicit SmoothedLatency(Duration initial)
        : m_mean(initial)
    {
    }

    void add(Duration measured);
    /// @brief Returns the mean plus one mean deviation, a bound that most measurements stay below.
    Duration meanPlusDeviation() const { return m_mean + m_deviation; }

private:
    Duration m_mean;
    Duration m_deviation {};
};

} // namespace foxtailwheel
