#include "foxtailwheel/base/Latency.h"

#include <algorithm>
#include <cmath>

namespace foxtailwheel {

namespace {

    constexpr double firstBucketLowerBoundSeconds = 100e-6;
    constexpr double bucketsPerPowerOfTwo = 4;
    constexpr std::uint64_t halvingThreshold = 4000;
    constexpr std::uint64_t minQuantileSamples = 20;

} // namespace

void LatencyHistogram::add(Duration d)
{
    const double ratio = std::max(1.0, toSeconds(d) / firstBucketLowerBoundSeconds);
    const auto n = static_cast<std::size_t>(std::log2(ratio) * bucketsPerPowerOfTwo);
    ++m_buckets.at(std::min(n, bucketCount - 1));
    if (++m_count < halvingThreshold)
        return;
    m_count = 0;
    for (auto& it : m_buckets) {
        it /= 2;
        m_count += it;
    }
}

Duration LatencyHistogram::quantile(double q, Duration fallback) const
{
    if (m_count < minQuantileSamples)
        return fallback;
    const auto rank = static_cast<std::uint64_t>(std::ceil(q * static_cast<double>(m_count)));
    std::uint64_t cumulativeCount = 0;
    for (std::size_t i = 0; i < bucketCount; ++i) {
        cumulativeCount += m_buckets.at(i);
        if (cumulativeCount >= rank)
            return fromSeconds(
                firstBucketLowerBoundSeconds * std::exp2(static_cast<double>(i + 1) / bucketsPerPowerOfTwo));
    }
    return fallback;
}

} // namespace foxtailwheel
