// Prefix blocks of prompts, as model engines publish them in their cache events.
//
// A prompt is cut into blocks of BlockBytes; each block's hash covers all text up to its end, so two prompts share block
// n exactly when they agree up to there. Only whole blocks count.

#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace arbutus::core {

constexpr std::size_t PrefixBlockBytes = 256; // bytes of prompt in one block
constexpr std::size_t BytesPerToken = 4;      // usual size of a token, for estimates
constexpr std::size_t MaxPrefixBlocks = 1024; // blocks looked at in one prompt

/// Hashes of the whole blocks of a prompt, first block first.
[[nodiscard]] std::vector<std::uint64_t> prefixBlockHashes(std::string_view prompt);

/// Estimated tokens of a text.
[[nodiscard]] constexpr std::size_t estimateTokens(std::size_t bytes)
{
    return bytes / BytesPerToken + 1;
}

} // namespace arbutus::core
