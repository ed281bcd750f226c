// Wrappers around xxHash and OpenSSL.

#include "arbutus/core/hash.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include <array>

namespace arbutus::core {

namespace {

std::string toHex(const unsigned char *data, std::size_t size)
{
    static constexpr std::string_view Digits = "0123456789abcdef";
    std::string out;
    out.reserve(size * 2);
    for (std::size_t i = 0; i < size; ++i) {
        out.push_back(Digits[data[i] >> 4U]);
        out.push_back(Digits[data[i] & 0x0fU]);
    }
    return out;
}

} // namespace

std::uint64_t hash64(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t rendezvousWeight(std::string_view key, std::string_view member)
{
    return hash64(member, hash64(key));
}

std::string sha256Hex(std::string_view text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data());
    return toHex(digest.data(), digest.size());
}

std::string hmacSha256Hex(std::string_view key, std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data(), &size);
    return toHex(digest.data(), size);
}

bool equalConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace arbutus::core
