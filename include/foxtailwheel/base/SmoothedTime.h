#pragma once

#include "foxtailwheel/base/Units.h"

namespace foxtailwheel {

/// @brief Smoothed mean of measured times with its mean deviation, as for the retransmission timer of TCP (RFC 6298).
class SmoothedTime {
public:
    /// @param initial Mean until something is measured.
    explicit SmoothedTime(Duration initial)
        : m_mean(initial)
    {
    }

    void add(Duration measured);
    /// @brief A time that most measurements stay within: the mean and one mean deviation.
    Duration usual() const { return m_mean + m_deviation; }

private:
    Duration m_mean;
    Duration m_deviation {};
};

} // namespace foxtailwheel
