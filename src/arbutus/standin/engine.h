// Simulated scheduler of a model engine: continuous batching, priorities and a bounded prefix cache.
//
// The engine advances in steps. Each step prefills up to one chunk of prompt tokens and decodes one token for every
// sequence past its prefill; its duration grows with that work. The class has no sockets, threads or clock: the caller
// waits for the duration that step() returns.

#pragma once

#include "arbutus/core/clock.h"

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace arbutus::standin {

/// Simulated capacity and speed of an engine.
struct EngineOptions
{
    std::size_t slots = 16;              // maximum sequences in a batch
    core::Duration stepBase{6'000};      // fixed cost of a step
    core::Duration stepPerSequence{250}; // added per decoded token
    double prefillTokensPerSecond = 12'000;
    std::size_t prefillChunk = 512;  // maximum prompt tokens prefilled in one step
    std::size_t cacheBlocks = 4'096; // prefix cache capacity, in blocks of core::PrefixBlockBytes
};

using SequenceId = std::uint64_t;

/// A request submitted to the engine.
struct Sequence
{
    int priority = 1; // lower values are admitted first
    std::size_t promptTokens = 0;
    std::vector<std::uint64_t> blocks; // prefix block hashes of the prompt
    std::size_t resumeOffset = 0;      // index of the first token to generate
    std::size_t maxTokens = 0;         // length of the complete answer, including tokens before resumeOffset
};

/// A block added to or evicted from the prefix cache.
struct CacheEvent
{
    std::uint64_t number = 0; // consecutive, starting at 1, so that readers can detect missing events
    bool stored = true;       // false if the block was evicted
    std::uint64_t block = 0;
    core::TimePoint at{};
};

/// Result of one step.
struct StepResult
{
    core::Duration duration{};                               // 0 if the engine is idle
    std::vector<std::pair<SequenceId, std::size_t>> emitted; // sequence ID and token index
    std::vector<SequenceId> finished;
};

/// Simulated scheduler; not thread-safe.
class Engine
{
public:
    explicit Engine(EngineOptions options);

    SequenceId submit(Sequence sequence);
    void cancel(SequenceId id);
    StepResult step(core::TimePoint now);

    [[nodiscard]] std::size_t running() const
    {
        return m_running.size();
    }
    [[nodiscard]] std::size_t waiting() const
    {
        return m_waiting.size();
    }
    [[nodiscard]] std::size_t cachedBlocks(const std::vector<std::uint64_t> &blocks) const; // number of leading blocks that are cached
    [[nodiscard]] const std::deque<CacheEvent> &cacheEvents() const
    {
        return m_cacheEvents;
    }
    [[nodiscard]] std::vector<std::uint64_t> exportCache() const;
    void importCache(const std::vector<std::uint64_t> &blocks, core::TimePoint now);
    [[nodiscard]] const EngineOptions &options() const
    {
        return m_options;
    }

private:
    struct RunningSequence
    {
        Sequence sequence;
        std::size_t prefillRemaining = 0; // prompt tokens that are not prefilled yet
        std::size_t nextToken = 0;        // index of the next token to decode
        std::uint64_t order = 0;
    };

    void admit();
    std::size_t prefill(core::TimePoint now);
    void decode(StepResult &result);
    void storeBlock(std::uint64_t block, core::TimePoint now);
    void recordCacheEvent(bool stored, std::uint64_t block, core::TimePoint now);

    EngineOptions m_options;
    SequenceId m_nextId = 1;
    std::map<std::pair<int, SequenceId>, Sequence> m_waiting; // ordered by priority, then arrival
    std::map<SequenceId, RunningSequence> m_running;
    std::list<std::uint64_t> m_lruOrder; // most recently used first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_cache;
    std::deque<CacheEvent> m_cacheEvents;
    std::uint64_t m_lastEventNumber = 0;
};

} // namespace arbutus::standin
