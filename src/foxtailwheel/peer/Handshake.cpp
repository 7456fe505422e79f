#include "foxtailwheel/peer/Handshake.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace foxtailwheel::peer {

Nonce freshNonce()
{
    Nonce nonce {};
    RAND_bytes(nonce.data(), static_cast<int>(nonce.size()));
    return nonce;
}

Proof prove(const std::string& key, std::string_view role, const Nonce& mine, const Nonce& theirs)
{
    std::string text(role);
    text.append(mine.begin(), mine.end());
    text.append(theirs.begin(), theirs.end());
    Proof proof {};
    unsigned n = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), reinterpret_cast<const unsigned char*>(text.data()),
        text.size(), proof.data(), &n);
    return proof;
}

bool sameProof(const Proof& a, const Proof& b)
{
    return CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace foxtailwheel::peer
