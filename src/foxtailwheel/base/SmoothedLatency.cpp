#include "foxtailwheel/base/SmoothedLatency.h"

namespace foxtailwheel {

namespace {

    /// Weights of a new measurement as divisors: 1/8 for the mean and 1/4 for the deviation, as in RFC 6298.
    constexpr int meanDivisor = 8;
    constexpr int deviationDivisor = 4;

} // namespace

void SmoothedLatency::add(Duration measured)
{
    const auto error = measured - m_mean;
    m_deviation += (std::chrono::abs(error) - m_deviation) / deviationDivisor;
    m_mean += error / meanDivisor;
}

} // namespace foxtailwheel
