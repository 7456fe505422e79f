#pragma once

#include "foxtailwheel/base/Units.h"

#include <string_view>

namespace foxtailwheel::http {

/// @brief Parses the value of a `Retry-After` field (RFC 9110): a time in seconds, here also with fractions, or an HTTP
/// date.
/// @param text Without spaces around it.
/// @param now Time of day, for dates.
/// @return 0 for anything else, for over 10^6 s, and for times in the past.
Duration parseRetryAfter(std::string_view text, WallTime now);

} // namespace foxtailwheel::http
