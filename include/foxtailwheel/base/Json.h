#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <utility>

namespace foxtailwheel {

/// @brief Depth of arrays and objects above which JSON is invalid: a node is copied and written recursively.
constexpr std::size_t maxJsonDepth = 256;

/// @brief Parses a JSON text of any origin; never throws. The node is discarded if the text is invalid or nested more
/// deeply than `maxJsonDepth`.
nlohmann::json parseJson(std::string_view text);

/// @brief Returns true if `parseJson` accepts the text.
bool isJson(std::string_view text);

/// @brief Returns the string at `key`, or `fallback` if it is missing or of another type; never throws.
inline std::string textAt(const nlohmann::json& node, std::string_view key, std::string fallback = {})
{
    const auto it = node.is_object() ? node.find(key) : node.end();
    return it != node.end() && it->is_string() ? it->get<std::string>() : std::move(fallback);
}

/// @brief Returns the unsigned integer at `key`, or `fallback` if it is missing, negative or of another type; never
/// throws.
inline std::uint64_t unsignedAt(const nlohmann::json& node, std::string_view key, std::uint64_t fallback = 0)
{
    const auto it = node.is_object() ? node.find(key) : node.end();
    return it != node.end() && it->is_number_unsigned() ? it->get<std::uint64_t>() : fallback;
}

/// @brief Returns the boolean at `key`, or `fallback` if it is missing or of another type; never throws.
inline bool flagAt(const nlohmann::json& node, std::string_view key, bool fallback = false)
{
    const auto it = node.is_object() ? node.find(key) : node.end();
    return it != node.end() && it->is_boolean() ? it->get<bool>() : fallback;
}

/// @brief Returns the array at `key`, or an empty array if it is missing or of another type.
inline const nlohmann::json& arrayAt(const nlohmann::json& node, std::string_view key)
{
    static const nlohmann::json emptyArray = nlohmann::json::array();
    const auto it = node.is_object() ? node.find(key) : node.end();
    return it != node.end() && it->is_array() ? *it : emptyArray;
}

} // namespace foxtailwheel
