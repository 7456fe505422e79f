#include "foxtailwheel/peer/Handshake.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace foxtailwheel::peer {

std::optional<Nonce> generateNonce()
{
    Nonce nonce {};
    if (RAND_bytes(nonce.data(), static_cast<int>(nonce.size())) != 1)
        return std::nullopt;
    return nonce;
}

Proof computeProof(const std::string& key, std::string_view role, const Nonce& ownNonce, const Nonce& peerNonce)
{
    std::string input(role);
    input.append(ownNonce.begin(), ownNonce.end());
    input.append(peerNonce.begin(), peerNonce.end());
    Proof proof {};
    unsigned proofLength = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), reinterpret_cast<const unsigned char*>(input.data()),
        input.size(), proof.data(), &proofLength);
    return proof;
}

bool proofsEqual(const Proof& a, const Proof& b)
{
    return CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace foxtailwheel::peer
