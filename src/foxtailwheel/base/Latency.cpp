#include "foxtailwheel/base/Latency.h"

#include <algorithm>
#include <cmath>

namespace foxtailwheel {

namespace {

    constexpr double smallestSeconds = 100e-6;
    constexpr double bucketsPerDoubling = 4;
    constexpr std::uint64_t fadeAtCount = 4000;
    constexpr std::uint64_t fewestForQuantile = 20;

} // namespace

void LatencyHistogram::add(Duration d)
{
    const double ratio = std::max(1.0, toSeconds(d) / smallestSeconds);
    const auto n = static_cast<std::size_t>(std::log2(ratio) * bucketsPerDoubling);
    ++m_buckets.at(std::min(n, bucketCount - 1));
    if (++m_count < fadeAtCount)
        return;
    m_count = 0;
    for (auto& it : m_buckets) {
        it /= 2;
        m_count += it;
    }
}

Duration LatencyHistogram::quantile(double q, Duration fallback) const
{
    if (m_count < fewestForQuantile)
        return fallback;
    const auto wanted = static_cast<std::uint64_t>(std::ceil(q * static_cast<double>(m_count)));
    std::uint64_t seen = 0;
    for (std::size_t i = 0; i < bucketCount; ++i) {
        seen += m_buckets.at(i);
        if (seen >= wanted)
            return fromSeconds(smallestSeconds * std::exp2(static_cast<double>(i + 1) / bucketsPerDoubling));
    }
    return fallback;
}

} // namespace foxtailwheel
