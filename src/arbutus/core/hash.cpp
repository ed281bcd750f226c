// Wrappers around xxHash and OpenSSL.

#include "arbutus/core/hash.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include <array>
#include <memory>

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

Digest128 sha256Fields(std::initializer_list<std::string_view> fields)
{
    const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(EVP_MD_CTX_new(), &EVP_MD_CTX_free);
    EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr);
    for (const std::string_view field : fields) {
        const std::uint64_t size = field.size();
        EVP_DigestUpdate(context.get(), &size, sizeof size);
        EVP_DigestUpdate(context.get(), field.data(), field.size());
    }
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    EVP_DigestFinal_ex(context.get(), digest.data(), nullptr);
    const auto word = [&](std::size_t begin) {
        std::uint64_t out = 0;
        for (std::size_t i = begin; i < begin + sizeof out; ++i) {
            out = out << 8U | digest[i];
        }
        return out;
    };
    return Digest128{word(0), word(sizeof(std::uint64_t))};
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
