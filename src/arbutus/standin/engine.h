// A model engine's scheduler, as a stand-in: continuous batching, priorities and a prefix cache of limited size.
//
// The engine works in steps. Each step prefills up to a chunk of prompt tokens, lets every decoding sequence emit one
// token, and lasts longer the more it does. No sockets, threads or clock: the caller sleeps for what step() returns.

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

/// Speed and size of an engine.
struct EngineOptions
{
    std::size_t slots = 16;                 // sequences in one batch
    core::Duration stepBase{6'000};         // a step with nothing in it
    core::Duration stepPerSequence{250};    // added for each decoding sequence
    double prefillTokensPerSecond = 12'000; // prompt tokens
    std::size_t prefillChunk = 512;         // prompt tokens in one step
    std::size_t cacheBlocks = 4'096;        // prefix cache, blocks of core::BlockBytes
};

using SequenceId = std::uint64_t;

/// One request inside the engine.
struct Sequence
{
    int priority = 1; // lower is served first
    std::size_t promptTokens = 0;
    std::vector<std::uint64_t> blocks; // prefix blocks of the prompt
    std::size_t firstToken = 0;        // resume offset
    std::size_t maxTokens = 0;         // tokens of the whole answer
};

/// A change of the prefix cache.
struct CacheEvent
{
    std::uint64_t number = 0; // 1, 2, 3, …: a jump is a gap
    bool stored = true;       // false = evicted
    std::uint64_t block = 0;
    core::TimePoint at{};
};

/// What one step did.
struct StepResult
{
    core::Duration length{};                                 // how long the step lasts; 0 = nothing to do
    std::vector<std::pair<SequenceId, std::size_t>> emitted; // sequence and token index
    std::vector<SequenceId> finished;
};

/// The scheduler.
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
    [[nodiscard]] std::size_t cachedBlocks(const std::vector<std::uint64_t> &blocks) const; // leading blocks in the cache
    [[nodiscard]] const std::deque<CacheEvent> &cacheEvents() const
    {
        return m_events;
    }
    [[nodiscard]] std::vector<std::uint64_t> exportCache() const;
    void importCache(const std::vector<std::uint64_t> &blocks, core::TimePoint now);
    [[nodiscard]] const EngineOptions &options() const
    {
        return m_options;
    }

private:
    struct Active
    {
        Sequence sequence;
        std::size_t prefillLeft = 0; // prompt tokens still to read
        std::size_t next = 0;        // next token index
        std::uint64_t order = 0;
    };

    void admit();
    std::size_t prefill(core::TimePoint now);
    void decode(StepResult &result);
    void store(std::uint64_t block, core::TimePoint now);
    void record(bool stored, std::uint64_t block, core::TimePoint now);

    EngineOptions m_options;
    SequenceId m_nextId = 1;
    std::map<std::pair<int, SequenceId>, Sequence> m_waiting; // by priority, then arrival
    std::map<SequenceId, Active> m_running;
    std::list<std::uint64_t> m_recency; // most recent first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_cache;
    std::deque<CacheEvent> m_events;
    std::uint64_t m_eventNumber = 0;
};

} // namespace arbutus::standin
