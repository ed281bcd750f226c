// Batching, prefill, decoding and LRU eviction of the simulated engine.

#include "arbutus/standin/engine.h"

#include "arbutus/core/prefixblocks.h"

#include <algorithm>

namespace arbutus::standin {

namespace {

constexpr std::size_t MaxRetainedEvents = 8'192; // older cache events are discarded

} // namespace

Engine::Engine(EngineOptions options)
    : m_options(options)
{
}

SequenceId Engine::submit(Sequence sequence)
{
    const SequenceId id = m_nextId++;
    const int priority = sequence.priority;
    m_waiting.emplace(std::pair(priority, id), std::move(sequence));
    return id;
}

void Engine::cancel(SequenceId id)
{
    m_running.erase(id);
    std::erase_if(m_waiting, [id](const auto &entry) { return entry.first.second == id; });
}

StepResult Engine::step(core::TimePoint now)
{
    admit();
    StepResult result;
    if (m_running.empty()) {
        return result;
    }
    const std::size_t prefilled = prefill(now);
    decode(result);
    const auto prefillTime = std::chrono::duration<double>(static_cast<double>(prefilled) / m_options.prefillTokensPerSecond);
    result.duration = m_options.stepBase + m_options.stepPerSequence * static_cast<std::int64_t>(result.emitted.size())
        + std::chrono::duration_cast<core::Duration>(prefillTime);
    return result;
}

void Engine::admit()
{
    while (m_running.size() < m_options.slots && !m_waiting.empty()) {
        auto node = m_waiting.extract(m_waiting.begin());
        const SequenceId id = node.key().second;
        RunningSequence active;
        active.sequence = std::move(node.mapped());
        active.nextToken = active.sequence.resumeOffset;
        const std::size_t cached = cachedBlocks(active.sequence.blocks) * core::PrefixBlockBytes / core::BytesPerToken;
        active.prefillRemaining =
            active.sequence.promptTokens - std::min(cached, active.sequence.promptTokens - std::min<std::size_t>(1, active.sequence.promptTokens));
        m_running.emplace(id, std::move(active));
    }
}

std::size_t Engine::prefill(core::TimePoint now)
{
    std::size_t budget = m_options.prefillChunk;
    std::size_t prefilled = 0;
    for (auto &[id, active] : m_running) {
        if (active.prefillRemaining == 0) {
            continue;
        }
        const std::size_t chunk = std::min(budget, active.prefillRemaining);
        active.prefillRemaining -= chunk;
        budget -= chunk;
        prefilled += chunk;
        if (active.prefillRemaining == 0) {
            for (const std::uint64_t block : active.sequence.blocks) {
                storeBlock(block, now);
            }
        }
        if (budget == 0) {
            break;
        }
    }
    return prefilled;
}

void Engine::decode(StepResult &result)
{
    for (auto &[id, active] : m_running) {
        if (active.prefillRemaining > 0) {
            continue;
        }
        if (active.nextToken < active.sequence.maxTokens) {
            result.emitted.emplace_back(id, active.nextToken++);
        }
        if (active.nextToken >= active.sequence.maxTokens) {
            result.finished.push_back(id);
        }
    }
    for (const SequenceId id : result.finished) {
        m_running.erase(id);
    }
}

std::size_t Engine::cachedBlocks(const std::vector<std::uint64_t> &blocks) const
{
    const auto firstMissing = std::find_if(blocks.begin(), blocks.end(), [this](std::uint64_t block) { return !m_cache.contains(block); });
    return static_cast<std::size_t>(firstMissing - blocks.begin());
}

std::vector<std::uint64_t> Engine::exportCache() const
{
    return {m_lruOrder.begin(), m_lruOrder.end()};
}

void Engine::importCache(const std::vector<std::uint64_t> &blocks, core::TimePoint now)
{
    for (const std::uint64_t block : blocks) {
        storeBlock(block, now);
    }
}

void Engine::storeBlock(std::uint64_t block, core::TimePoint now)
{
    const auto found = m_cache.find(block);
    if (found != m_cache.end()) {
        m_lruOrder.splice(m_lruOrder.begin(), m_lruOrder, found->second);
        return;
    }
    m_lruOrder.push_front(block);
    m_cache[block] = m_lruOrder.begin();
    recordCacheEvent(true, block, now);
    if (m_cache.size() > m_options.cacheBlocks) {
        const std::uint64_t oldest = m_lruOrder.back();
        m_lruOrder.pop_back();
        m_cache.erase(oldest);
        recordCacheEvent(false, oldest, now);
    }
}

void Engine::recordCacheEvent(bool stored, std::uint64_t block, core::TimePoint now)
{
    m_cacheEvents.push_back(CacheEvent{++m_lastEventNumber, stored, block, now});
    if (m_cacheEvents.size() > MaxRetainedEvents) {
        m_cacheEvents.pop_front();
    }
}

} // namespace arbutus::standin
