// Hashing and message authentication.
//
// xxHash where speed and distribution matter, SHA-256 and HMAC-SHA-256 (OpenSSL) where input may be forged.

#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace arbutus::core {

/// 64-bit xxHash3. Not cryptographic.
[[nodiscard]] std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);

/// Rendezvous hashing weight of `member` for `key`; the member with the highest weight owns the key.
[[nodiscard]] std::uint64_t rendezvousWeight(std::string_view key, std::string_view member);

/// SHA-256 as 64 lower-case hexadecimal digits.
[[nodiscard]] std::string sha256Hex(std::string_view text);

struct Digest128
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;
};

/// First 128 bits of SHA-256 over the fields, each preceded by its length.
[[nodiscard]] Digest128 sha256Fields(std::initializer_list<std::string_view> fields);

/// HMAC-SHA-256 as 64 lower-case hexadecimal digits.
[[nodiscard]] std::string hmacSha256Hex(std::string_view key, std::string_view text);

/// Compares two strings in constant time: the duration does not depend on where they differ.
[[nodiscard]] bool equalConstantTime(std::string_view left, std::string_view right);

} // namespace arbutus::core
