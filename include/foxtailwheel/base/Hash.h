#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace foxtailwheel {

/// @brief Returns the 64-bit XXH3 hash of `text`, which is the same on every machine.
std::uint64_t hashOf(std::string_view text, std::uint64_t seed = 0);

/// @brief Returns the rendezvous-hashing weight of `member` for `key`; the member with the highest weight owns the key.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view member);

/// @brief Returns the SHA-256 hash of `text` as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view text);

} // namespace foxtailwheel
