#include "foxtailwheel/base/Hash.h"

#include <array>
#include <openssl/evp.h>
#include <xxhash.h>

namespace foxtailwheel {

std::uint64_t hashOf(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t rendezvousWeight(std::string_view key, std::string_view member)
{
    return hashOf(member, hashOf(key));
}

std::string sha256Hex(std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned n = 0;
    EVP_Digest(text.data(), text.size(), digest.data(), &n, EVP_sha256(), nullptr);
    std::string hex;
    for (unsigned i = 0; i < n; ++i) {
        hex.push_back("0123456789abcdef"[digest.at(i) >> 4U]);
        hex.push_back("0123456789abcdef"[digest.at(i) & 15U]);
    }
    return hex;
}

} // namespace foxtailwheel
