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

/// @brief Reads a mapping of a YAML text field by field; faults are collected, never thrown.
///
/// Every key that is read counts as known; `reportUnknownKeys` reports the others with the most similar known key.
class YamlReader {
public:
    /// @brief Parses `text`; on a syntax error, adds it to `faults` and returns an empty mapping.
    static YamlReader parse(const std::string& text, Faults& faults);

    YamlReader(YamlReader&&) noexcept;
    YamlReader& operator=(YamlReader&&) noexcept;
    ~YamlReader();

    /// @brief Returns true if the key is present.
    bool has(std::string_view key);
    /// @brief Returns the keys of this mapping, in ascending order.
    std::vector<std::string> keys() const;
    /// @brief Reads a non-empty string. Like all methods with a fallback, reports a fault if the key is missing and
    /// there is none.
    std::string text(std::string_view key, const std::optional<std::string>& fallback = {});
    /// @brief Reads a list of strings; empty if the key is missing.
    std::vector<std::string> texts(std::string_view key);
    /// @brief Reads `true` or `false`.
    bool flag(std::string_view key, bool fallback);
    /// @brief Reads a number within [low, high].
    double number(std::string_view key, std::optional<double> fallback, double low, double high);
    /// @brief Reads an unsigned integer within [low, high].
    std::uint64_t unsignedInteger(
        std::string_view key, std::optional<std::uint64_t> fallback, std::uint64_t low, std::uint64_t high);
    /// @brief Reads a duration with a unit, within [low, high].
    Duration duration(std::string_view key, std::optional<Duration> fallback, Duration low, Duration high);
    /// @brief Reads a size with a unit and returns bytes, within [low, high].
    std::uint64_t size(
        std::string_view key, std::optional<std::uint64_t> fallback, std::uint64_t low, std::uint64_t high);
    /// @brief Reads a non-negative price with a unit.
    Cost cost(std::string_view key, std::optional<Cost> fallback);
    /// @brief Reads a positive rate with a unit and returns events per second.
    double rate(std::string_view key, std::optional<double> fallback);
    /// @brief Reads one of `choices` and returns its index.
    std::size_t choice(
        std::string_view key, std::optional<std::size_t> fallback, const std::vector<std::string_view>& choices);
    /// @brief Reads a list of mappings; empty if the key is missing.
    std::vector<YamlReader> list(std::string_view key);
    /// @brief Reads a nested mapping; empty if the key is missing.
    YamlReader section(std::string_view key);

    /// @brief Reports a fault at `key`, or at this mapping if the key is missing.
    void reportFault(std::string_view key, std::string message, std::string suggestion = {});
    /// @brief Reports the keys that were never read.
    void reportUnknownKeys();

private:
    struct Impl;
    explicit YamlReader(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

/// @brief Returns the word in `words` with the smallest edit distance to `word`, or an empty string if none is similar.
std::string nearestWord(std::string_view word, const std::vector<std::string>& words);

} // namespace foxtailwheel::config
