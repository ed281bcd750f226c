// What in a request may crash upstreams: a part of its prompt, or the request itself.
//
// A RequestFingerprint is the first 128 bits of a SHA-256 hash over the fields that make two requests the same one, each with its
// length, so that no field can be mistaken for the end of another. Instances hash alike without a shared key.
//
// Sections:
//   RequestFingerprint   identity of a request over all its repeats
//   CrashCause           either kind, with its text form for operators
//
// Q: Why not a faster hash?
// A: Two requests with one fingerprint would be refused together. With a hash that can be inverted or steered, one client could make
//    another client's request look harmful. A collision of this one needs about 2^64 hashes, one with a given request 2^128.
//
// Q: What does a fingerprint reveal?
// A: Nothing of a body that cannot be guessed. Who can guess the whole request can confirm the guess.
//
// Q: Who is the caller?
// A: Whatever the protocol adapter names. The present platform names none, so the host stands for it.

#pragma once

#include "arbutus/routing/upstreamestimator.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace arbutus::routing {

//-----------------------------------------------------------------------------
// RequestFingerprint
//-----------------------------------------------------------------------------

/// What repeats of a request have in common. The last part of a prompt belongs to one sending and is left out.
struct RequestIdentity
{
    std::string_view method;
    std::string_view host;
    std::string_view target;
    const std::vector<PromptPart> &prompt;
    std::string_view body;
};

/// The same for each repeat of a request, at any instance. Zero means unknown.
struct RequestFingerprint
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    [[nodiscard]] static RequestFingerprint of(const RequestIdentity &identity);
    [[nodiscard]] bool isKnown() const
    {
        return high != 0 || low != 0;
    }
    auto operator<=>(const RequestFingerprint &) const = default;
};

//-----------------------------------------------------------------------------
// CrashCause
//-----------------------------------------------------------------------------

using CrashCause = std::variant<PromptPartId, RequestFingerprint>;

[[nodiscard]] inline bool isRequest(const CrashCause &cause)
{
    return std::holds_alternative<RequestFingerprint>(cause);
}

/// Hexadecimal: up to 16 digits for a part, 32 for a request.
[[nodiscard]] std::string toString(const CrashCause &cause);
[[nodiscard]] std::optional<CrashCause> parseCrashCause(std::string_view text);

} // namespace arbutus::routing

template<>
struct std::hash<arbutus::routing::RequestFingerprint>
{
    std::size_t operator()(const arbutus::routing::RequestFingerprint &fingerprint) const noexcept
    {
        return fingerprint.low; // already uniform
    }
};
