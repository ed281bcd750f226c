// Chained hashes of prompt blocks.

#include "arbutus/core/prefixblocks.h"

#include "arbutus/core/hash.h"

#include <algorithm>

namespace arbutus::core {

std::vector<std::uint64_t> prefixBlockHashes(std::string_view prompt)
{
    const std::size_t count = std::min(prompt.size() / PrefixBlockBytes, MaxPrefixBlocks);
    std::vector<std::uint64_t> blocks;
    blocks.reserve(count);
    std::uint64_t previous = 0;
    for (std::size_t i = 0; i < count; ++i) {
        previous = hash64(prompt.substr(i * PrefixBlockBytes, PrefixBlockBytes), previous);
        blocks.push_back(previous);
    }
    return blocks;
}

} // namespace arbutus::core
