#pragma once

#include "foxtailwheel/base/Units.h"

#include <array>
#include <cstdint>

namespace foxtailwheel {

/// @brief Histogram of durations in exponential buckets, halved now and then so that old values fade.
///
/// Buckets grow by a quarter power of two, from 100 microseconds; a quantile is exact to about 19 in 100.
class LatencyHistogram {
public:
    /// @brief Adds one measured duration.
    void add(Duration d);
    /// @brief The upper edge of the bucket that holds quantile `q`, or `fallback` with fewer than 20 values.
    Duration quantile(double q, Duration fallback) const;
    /// @brief Number of values held, after fading.
    std::uint64_t count() const { return m_count; }

private:
    static constexpr std::size_t bucketCount = 80;
    std::array<std::uint32_t, bucketCount> m_buckets {};
    std::uint64_t m_count = 0;
};

} // namespace foxtailwheel
