#pragma once

#include "foxtailwheel/base/Units.h"

#include <array>
#include <cstdint>

namespace foxtailwheel {

/// @brief Histogram of durations in exponential buckets; the counts are halved periodically to give recent values more
/// weight.
///
/// Each bucket is wider than the previous one by a factor of 2^(1/4), starting at 100 microseconds, so the relative
/// error of a quantile is at most about 19 percent.
class LatencyHistogram {
public:
    /// @brief Records one measured duration.
    void add(Duration d);
    /// @brief Returns the upper bound of the bucket that contains quantile `q`, or `fallback` if there are fewer than
    /// 20 values.
    Duration quantile(double q, Duration fallback) const;
    /// @brief Returns the number of values in the buckets, after halving.
    std::uint64_t count() const { return m_count; }

private:
    static constexpr std::size_t bucketCount = 80;
    std::array<std::uint32_t, bucketCount> m_buckets {};
    std::uint64_t m_count = 0;
};

} // namespace foxtailwheel
