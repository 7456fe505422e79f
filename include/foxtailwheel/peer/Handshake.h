#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace foxtailwheel::peer {

/// @brief Length of a nonce and of a proof in bytes.
constexpr std::size_t proofBytes = 32;
/// @brief First bytes of a connection: protocol name and version.
constexpr std::array<std::uint8_t, 4> protocolMagic { 'F', 'T', 'W', 1 };

using Nonce = std::array<std::uint8_t, proofBytes>;
using Proof = std::array<std::uint8_t, proofBytes>;

/// @brief Returns a nonce from the cryptographic random generator of OpenSSL; nothing if that fails.
std::optional<Nonce> generateNonce();
/// @brief Returns the HMAC-SHA-256 of the role and both nonces.
/// @param role Differs between the two directions, which prevents reflection of a proof to its sender.
Proof computeProof(const std::string& key, std::string_view role, const Nonce& ownNonce, const Nonce& peerNonce);
/// @brief Compares two proofs in constant time.
bool proofsEqual(const Proof& a, const Proof& b);

} // namespace foxtailwheel::peer
