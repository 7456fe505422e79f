#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace foxtailwheel {

/// @brief 64-bit hash of `text`, the same on every machine (XXH3).
std::uint64_t hashOf(std::string_view text, std::uint64_t seed = 0);

/// @brief Rendezvous weight of `member` for `key`; the member with the highest weight owns the key.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view member);

/// @brief SHA-256 of `text` as 64 hexadecimal digits.
std::string sha256Hex(std::string_view text);

} // namespace foxtailwheel
