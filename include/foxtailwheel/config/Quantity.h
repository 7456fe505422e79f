#pragma once

#include "foxtailwheel/base/Error.h"
#include "foxtailwheel/base/Units.h"

#include <cstdint>
#include <string_view>

namespace foxtailwheel::config {

/// @brief Parses a duration such as `250ms`; units `us`, `ms`, `s`, `min`, `h`. Values above 10^9 seconds are clamped.
Result<Duration> parseDuration(std::string_view text);

/// @brief Parses a size such as `64KiB`; units `B`, `KiB`, `MiB`, `GiB`. Returns bytes.
Result<std::uint64_t> parseSize(std::string_view text);

/// @brief Parses a price such as `12uc`; units `uc` (micro-credit), `mc` (milli-credit), `c` (credit).
Result<Cost> parseCost(std::string_view text);

/// @brief Parses a rate such as `100/s`; units `/s` and `/min`. Returns events per second.
Result<double> parseRate(std::string_view text);

} // namespace foxtailwheel::config
