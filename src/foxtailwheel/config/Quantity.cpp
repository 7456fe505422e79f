#include "foxtailwheel/config/Quantity.h"

#include <array>
#include <charconv>
#include <cmath>
#include <string>

namespace foxtailwheel::config {

namespace {

    struct Unit {
        std::string_view name;
        double factor;
    };

    constexpr std::array durationUnits { Unit { "us", 1e-6 }, Unit { "ms", 1e-3 }, Unit { "s", 1 }, Unit { "min", 60 },
        Unit { "h", 3600 } };
    constexpr std::array sizeUnits { Unit { "B", 1 }, Unit { "KiB", 1024 }, Unit { "MiB", 1024.0 * 1024 },
        Unit { "GiB", 1024.0 * 1024 * 1024 } };
    constexpr std::array costUnits { Unit { "uc", 1 }, Unit { "mc", 1e3 }, Unit { "c", 1e6 } };
    constexpr std::array rateUnits { Unit { "/s", 1 }, Unit { "/min", 1.0 / 60 } };
    constexpr double maxQuantity = 1e15;

    template <std::size_t N> std::string unitNames(const std::array<Unit, N>& units)
    {
        std::string names;
        for (const auto& it : units)
            names += (names.empty() ? "" : ", ") + std::string(it.name);
        return names;
    }

    template <std::size_t N> Result<double> parseQuantity(std::string_view text, const std::array<Unit, N>& units)
    {
        double n = 0;
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
        if (ec != std::errc {} || !std::isfinite(n) || n < 0 || n > maxQuantity)
            return fail(Errc::ParseFailed, "'" + std::string(text) + "' is not a number with a unit");
        const auto unit = text.substr(static_cast<std::size_t>(end - text.data()));
        for (const auto& it : units) {
            if (it.name == unit)
                return n * it.factor;
        }
        return fail(Errc::ParseFailed, "'" + std::string(text) + "' needs one of the units " + unitNames(units));
    }

} // namespace

Result<Duration> parseDuration(std::string_view text)
{
    BOOST_OUTCOME_TRY(const auto seconds, parseQuantity(text, durationUnits));
    // At most 10^9 seconds, so that the nanoseconds fit into 64 bits.
    return fromSeconds(std::min(seconds, 1e9));
}

Result<std::uint64_t> parseSize(std::string_view text)
{
    BOOST_OUTCOME_TRY(const auto bytes, parseQuantity(text, sizeUnits));
    return static_cast<std::uint64_t>(bytes);
}

Result<Cost> parseCost(std::string_view text)
{
    BOOST_OUTCOME_TRY(const auto microCredits, parseQuantity(text, costUnits));
    return Cost { std::llround(microCredits) };
}

Result<double> parseRate(std::string_view text)
{
    return parseQuantity(text, rateUnits);
}

} // namespace foxtailwheel::config
