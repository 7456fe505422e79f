#include "foxtailwheel/http/RetryAfter.h"

#include <algorithm>
#include <charconv>
#include <ctime>
#include <string>

namespace foxtailwheel::http {

namespace {

    /// Longer times are no statement about a server.
    constexpr double maxRetryAfterSeconds = 1e6;

} // namespace

Duration parseRetryAfter(std::string_view text, WallTime now)
{
    double seconds = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), seconds);
    if (ec == std::errc() && end == text.data() + text.size())
        return seconds > 0 && seconds < maxRetryAfterSeconds ? fromSeconds(seconds) : Duration {};
    std::tm date {};
    const std::string copy(text);
    const auto* rest = strptime(copy.c_str(), "%a, %d %b %Y %H:%M:%S GMT", &date);
    if (rest == nullptr || *rest != '\0')
        return {};
    const WallTime until { std::chrono::seconds(timegm(&date)) };
    return std::max<Duration>(until - now, Duration {});
}

} // namespace foxtailwheel::http
