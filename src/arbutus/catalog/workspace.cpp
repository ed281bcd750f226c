// Keyed hashes of credentials.

#include "arbutus/catalog/workspace.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <algorithm>
#include <cstring>
#include <stdexcept>

namespace arbutus::catalog {

namespace {

constexpr std::size_t HashKeyBytes = 32;

const std::array<unsigned char, HashKeyBytes> &hashKey()
{
    static const std::array<unsigned char, HashKeyBytes> key = [] {
        std::array<unsigned char, HashKeyBytes> out{};
        if (RAND_bytes(out.data(), static_cast<int>(out.size())) != 1) {
            throw std::runtime_error("no random key for the hashes of credentials");
        }
        return out;
    }();
    return key;
}

template<class Digest>
std::uint64_t firstBytes(const Digest &digest)
{
    std::uint64_t out = 0;
    std::memcpy(&out, digest.data(), sizeof out);
    return out;
}

} // namespace

CredentialIndex::Digest CredentialIndex::digestOf(std::string_view credential)
{
    Digest digest{};
    unsigned int size = 0;
    const auto &key = hashKey();
    const auto *bytes = reinterpret_cast<const unsigned char *>(credential.data());
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), bytes, credential.size(), digest.data(), &size);
    return digest;
}

void CredentialIndex::add(std::string_view credential, std::size_t workspace)
{
    if (!find(credential)) {
        const Digest digest = digestOf(credential);
        m_rows.emplace(firstBytes(digest), Row{digest, workspace});
    }
}

std::optional<std::size_t> CredentialIndex::find(std::string_view credential) const
{
    const Digest digest = digestOf(credential);
    const auto [begin, end] = m_rows.equal_range(firstBytes(digest));
    const auto found = std::find_if(begin, end, [&](const auto &item) { return CRYPTO_memcmp(item.second.digest.data(), digest.data(), digest.size()) == 0; });
    return found == end ? std::nullopt : std::optional(found->second.workspace);
}

} // namespace arbutus::catalog
