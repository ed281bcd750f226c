// Steps of the engine stand-in.

#include "arbutus/standin/engine.h"

#include "arbutus/core/prefixblocks.h"

#include <algorithm>

namespace arbutus::standin {

namespace {

constexpr std::size_t EventHistory = 8'192; // cache events kept

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
    result.length = m_options.stepBase + m_options.stepPerSequence * static_cast<std::int64_t>(result.emitted.size())
        + std::chrono::duration_cast<core::Duration>(prefillTime);
    return result;
}

void Engine::admit()
{
    while (m_running.size() < m_options.slots && !m_waiting.empty()) {
        auto node = m_waiting.extract(m_waiting.begin());
        const SequenceId id = node.key().second;
        Active active;
        active.sequence = std::move(node.mapped());
        active.next = active.sequence.firstToken;
        const std::size_t cached = cachedBlocks(active.sequence.blocks) * core::PrefixBlockBytes / core::BytesPerToken;
        active.prefillLeft =
            active.sequence.promptTokens - std::min(cached, active.sequence.promptTokens - std::min<std::size_t>(1, active.sequence.promptTokens));
        m_running.emplace(id, std::move(active));
    }
}

std::size_t Engine::prefill(core::TimePoint now)
{
    std::size_t room = m_options.prefillChunk;
    std::size_t done = 0;
    for (auto &[id, active] : m_running) {
        if (active.prefillLeft == 0) {
            continue;
        }
        const std::size_t part = std::min(room, active.prefillLeft);
        active.prefillLeft -= part;
        room -= part;
        done += part;
        if (active.prefillLeft == 0) {
            for (const std::uint64_t block : active.sequence.blocks) {
                store(block, now);
            }
        }
        if (room == 0) {
            break;
        }
    }
    return done;
}

void Engine::decode(StepResult &result)
{
    for (auto &[id, active] : m_running) {
        if (active.prefillLeft > 0) {
            continue;
        }
        if (active.next < active.sequence.maxTokens) {
            result.emitted.emplace_back(id, active.next++);
        }
        if (active.next >= active.sequence.maxTokens) {
            result.finished.push_back(id);
        }
    }
    for (const SequenceId id : result.finished) {
        m_running.erase(id);
    }
}

std::size_t Engine::cachedBlocks(const std::vector<std::uint64_t> &blocks) const
{
    const auto missing = std::find_if(blocks.begin(), blocks.end(), [this](std::uint64_t block) { return !m_cache.contains(block); });
    return static_cast<std::size_t>(missing - blocks.begin());
}

std::vector<std::uint64_t> Engine::exportCache() const
{
    return {m_recency.begin(), m_recency.end()};
}

void Engine::importCache(const std::vector<std::uint64_t> &blocks, core::TimePoint now)
{
    for (const std::uint64_t block : blocks) {
        store(block, now);
    }
}

void Engine::store(std::uint64_t block, core::TimePoint now)
{
    const auto found = m_cache.find(block);
    if (found != m_cache.end()) {
        m_recency.splice(m_recency.begin(), m_recency, found->second);
        return;
    }
    m_recency.push_front(block);
    m_cache[block] = m_recency.begin();
    record(true, block, now);
    if (m_cache.size() > m_options.cacheBlocks) {
        const std::uint64_t oldest = m_recency.back();
        m_recency.pop_back();
        m_cache.erase(oldest);
        record(false, oldest, now);
    }
}

void Engine::record(bool stored, std::uint64_t block, core::TimePoint now)
{
    m_events.push_back(CacheEvent{++m_eventNumber, stored, block, now});
    if (m_events.size() > EventHistory) {
        m_events.pop_front();
    }
}

} // namespace arbutus::standin
