#pragma once

#include <chrono>
#include <cstdint>

namespace foxtailwheel {

/// @brief Length of time, in nanoseconds.
using Duration = std::chrono::nanoseconds;
/// @brief A point in time of the monotonic clock.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;
/// @brief A wall-clock time, used for records that outlive a process.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// @brief A price or a cost, in micro-credits.
struct Cost {
    std::int64_t microCredits = 0;

    friend constexpr bool operator==(Cost, Cost) = default;
    friend constexpr auto operator<=>(Cost, Cost) = default;
    friend constexpr Cost operator+(Cost a, Cost b) { return { a.microCredits + b.microCredits }; }
    constexpr Cost& operator+=(Cost other)
    {
        microCredits += other.microCredits;
        return *this;
    }
};

/// @brief Converts a duration to fractional seconds.
constexpr double toSeconds(Duration d)
{
    return std::chrono::duration<double>(d).count();
}

/// @brief Converts a duration to fractional milliseconds.
constexpr double toMilliseconds(Duration d)
{
    return std::chrono::duration<double, std::milli>(d).count();
}

/// @brief Converts fractional seconds to a duration.
constexpr Duration fromSeconds(double s)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(s));
}

} // namespace foxtailwheel
