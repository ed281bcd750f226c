// Prefix blocks of prompts, as model engines publish them in their cache events.
//
// A prompt is split into blocks of PrefixBlockBytes. A block's hash covers all text up to the end of that block, so two
// prompts share block n exactly if they agree up to its end. A partial block at the end of a prompt is ignored.

#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace arbutus::core {

constexpr std::size_t PrefixBlockBytes = 256; // bytes of prompt in one block
constexpr std::size_t BytesPerToken = 4;      // average size of a token, for estimates
constexpr std::size_t MaxPrefixBlocks = 1024; // blocks hashed for one prompt

/// Hashes of the whole blocks of a prompt, first block first.
[[nodiscard]] std::vector<std::uint64_t> prefixBlockHashes(std::string_view prompt);

/// Estimated number of tokens in a text of `bytes` bytes.
[[nodiscard]] constexpr std::size_t estimateTokens(std::size_t bytes)
{
    return bytes / BytesPerToken + 1;
}

} // namespace arbutus::core
