// Fingerprints of requests and the text form of causes.

#include "arbutus/routing/crashcause.h"
#include "arbutus/core/hash.h"
#include "arbutus/core/overloaded.h"

#include <charconv>
#include <cstdio>

namespace arbutus::routing {

namespace {

constexpr std::size_t WordDigits = 16; // of a 64-bit number

std::optional<std::uint64_t> parseWord(std::string_view text)
{
    std::uint64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value, 16);
    return parsed.ec == std::errc() && parsed.ptr == text.data() + text.size() ? std::optional(value) : std::nullopt;
}

} // namespace

RequestFingerprint RequestFingerprint::of(const RequestIdentity &identity)
{
    std::string parts;
    for (const PromptPart &part : sharedParts(identity.prompt)) {
        parts += toString(part.id) + ",";
    }
    const core::Digest128 digest = core::sha256Fields({identity.method, identity.host, identity.target, parts, identity.body});
    return RequestFingerprint{digest.high, digest.low};
}

std::string toString(const CrashCause &cause)
{
    char text[2 * WordDigits + 1];
    std::visit(core::Overloaded{
                   [&](PromptPartId part) { (void)std::snprintf(text, sizeof text, "%lx", part.value); },
                   [&](const RequestFingerprint &request) { (void)std::snprintf(text, sizeof text, "%016lx%016lx", request.high, request.low); },
               },
               cause);
    return text;
}

std::optional<CrashCause> parseCrashCause(std::string_view text)
{
    if (text.size() == 2 * WordDigits) {
        const auto high = parseWord(text.substr(0, WordDigits));
        const auto low = parseWord(text.substr(WordDigits));
        return high && low ? std::optional<CrashCause>(RequestFingerprint{*high, *low}) : std::nullopt;
    }
    const auto part = parseWord(text);
    return part ? std::optional<CrashCause>(PromptPartId(*part)) : std::nullopt;
}

} // namespace arbutus::routing
