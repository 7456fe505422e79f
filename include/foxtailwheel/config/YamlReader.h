#pragma once

#include "foxtailwheel/base/Units.h"
#include "foxtailwheel/config/Fault.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailwheel::config {

/// @brief One mapping of a YAML text, read field by field; faults are collected, never thrown.
///
/// Every key that is asked for counts as known; `finish` reports the others with the nearest known key.
class YamlReader {
public:
    /// @brief Reads `text`; a syntax error is put into `faults` and an empty mapping is returned.
    static YamlReader parse(const std::string& text, Faults& faults);

    YamlReader(YamlReader&&) noexcept;
    YamlReader& operator=(YamlReader&&) noexcept;
    ~YamlReader();

    /// @brief True where the key is present.
    bool has(std::string_view key);
    /// @brief A text; a missing one is a fault where there is no fallback.
    std::string text(std::string_view key, const std::optional<std::string>& fallback = {});
    /// @brief A list of texts; missing means empty.
    std::vector<std::string> texts(std::string_view key);
    /// @brief `true` or `false`.
    bool flag(std::string_view key, bool fallback);
    /// @brief A number within [low, high].
    double number(std::string_view key, std::optional<double> fallback, double low, double high);
    /// @brief A whole number within [low, high].
    std::uint64_t count(
        std::string_view key, std::optional<std::uint64_t> fallback, std::uint64_t low, std::uint64_t high);
    /// @brief A duration with its unit, within [low, high].
    Duration duration(std::string_view key, std::optional<Duration> fallback, Duration low, Duration high);
    /// @brief A size with its unit, in bytes, within [low, high].
    std::uint64_t size(
        std::string_view key, std::optional<std::uint64_t> fallback, std::uint64_t low, std::uint64_t high);
    /// @brief A price with its unit, not negative.
    Cost cost(std::string_view key, std::optional<Cost> fallback);
    /// @brief A rate with its unit, above 0.
    double rate(std::string_view key, std::optional<double> fallback);
    /// @brief One of `choices`, by its position.
    std::size_t choice(
        std::string_view key, std::optional<std::size_t> fallback, const std::vector<std::string_view>& choices);
    /// @brief The mappings of a list; missing means empty.
    std::vector<YamlReader> list(std::string_view key);
    /// @brief A nested mapping; missing means empty.
    YamlReader section(std::string_view key);

    /// @brief Reports a fault at `key`, or at this mapping where the key is missing.
    void fault(std::string_view key, std::string message, std::string suggestion = {});
    /// @brief Reports the keys that nobody asked for.
    void finish();

private:
    struct Impl;
    explicit YamlReader(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

/// @brief The word of `words` that differs least from `word`, or an empty text where none is near.
std::string nearestWord(std::string_view word, const std::vector<std::string>& words);

} // namespace foxtailwheel::config
