// Base64 built on OpenSSL's EVP block codec.

#include "arbutus/core/base64.h"

#include <openssl/evp.h>

namespace arbutus::core {

std::string base64Encode(std::string_view bytes)
{
    std::string out(((bytes.size() + 2) / 3) * 4 + 1, '\0'); // EVP_EncodeBlock appends a NUL
    const int size =
        EVP_EncodeBlock(reinterpret_cast<unsigned char *>(out.data()), reinterpret_cast<const unsigned char *>(bytes.data()), static_cast<int>(bytes.size()));
    out.resize(static_cast<std::size_t>(size));
    return out;
}

std::optional<std::string> base64Decode(std::string_view text)
{
    constexpr std::string_view Alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    const std::size_t padding = text.ends_with("==") ? 2 : (text.ends_with('=') ? 1 : 0);
    // EVP_DecodeBlock skips white space and accepts padding anywhere.
    if (text.size() % 4 != 0 || text.substr(0, text.size() - padding).find_first_not_of(Alphabet) != std::string_view::npos) {
        return std::nullopt;
    }
    std::string out(text.size() / 4 * 3 + 1, '\0');
    const int size =
        EVP_DecodeBlock(reinterpret_cast<unsigned char *>(out.data()), reinterpret_cast<const unsigned char *>(text.data()), static_cast<int>(text.size()));
    if (size < 0) {
        return std::nullopt;
    }
    // EVP_DecodeBlock counts padding characters as decoded bytes.
    out.resize(static_cast<std::size_t>(size) - padding);
    return out;
}

} // namespace arbutus::core
