#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace foxtailwheel::peer {

/// @brief Bytes of a nonce and of a proof.
constexpr std::size_t proofBytes = 32;
/// @brief First bytes of a connection: the protocol's name and version.
constexpr std::array<std::uint8_t, 4> greeting { 'F', 'T', 'W', 1 };

using Nonce = std::array<std::uint8_t, proofBytes>;
using Proof = std::array<std::uint8_t, proofBytes>;

/// @brief A nonce from the operating system's generator.
Nonce freshNonce();
/// @brief HMAC-SHA-256 over the role and both nonces.
/// @param role Tells the two directions apart, so that a proof cannot be sent back.
Proof prove(const std::string& key, std::string_view role, const Nonce& mine, const Nonce& theirs);
/// @brief Compares in constant time.
bool sameProof(const Proof& a, const Proof& b);

} // namespace foxtailwheel::peer
