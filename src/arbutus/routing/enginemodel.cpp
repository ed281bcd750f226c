// Learning and prediction.

#include "arbutus/routing/enginemodel.h"

#include <algorithm>
#include <cmath>

namespace arbutus::routing {

namespace {

core::Duration fromMilliseconds(double milliseconds)
{
    return core::Duration(static_cast<core::Duration::rep>(milliseconds * 1000));
}

double toMillisecondsExact(core::Duration duration)
{
    return static_cast<double>(duration.count()) / 1000;
}

} // namespace

std::string_view toString(WorkEnding ending)
{
    switch (ending) {
    case WorkEnding::Answered:
        return "answered";
    case WorkEnding::CallerLeft:
        return "caller_left";
    case WorkEnding::TurnedAway:
        return "turned_away";
    case WorkEnding::Unreachable:
        return "unreachable";
    case WorkEnding::Broken:
        return "broken";
    case WorkEnding::Silent:
        return "silent";
    case WorkEnding::ServerError:
        return "server_error";
    case WorkEnding::NeverSent:
        break;
    }
    return "never_sent";
}

EngineModel::EngineModel(EngineSettings settings, std::uint64_t memoryTokens, std::size_t slots, std::uint64_t tokensPerEvent)
    : m_settings(settings)
    , m_memoryTokens(memoryTokens)
    , m_slots(std::max<std::size_t>(slots, 1))
    , m_tokensPerEvent(tokensPerEvent)
    , m_engine(tokensPerEvent > 0)
    , m_serviceTime(settings.serviceTime)
    , m_runTime(settings.runTime)
{
}

//-----------------------------------------------------------------------------
// Prediction
//-----------------------------------------------------------------------------

std::uint32_t EngineModel::uncached(const std::vector<PromptPart> &prompt, std::uint32_t promptTokens) const
{
    std::uint32_t cached = 0;
    for (const PromptPart &part : prompt) {
        if (!m_cache.contains(part.chain)) {
            break; // a part counts only if all before it are cached too
        }
        cached += part.tokens;
    }
    return promptTokens > cached ? promptTokens - cached : 0;
}

core::Duration EngineModel::backlog(core::TimePoint now) const
{
    return std::max(core::Duration::zero(), m_backlogEnd - now);
}

core::Duration EngineModel::restedFor(core::TimePoint now) const
{
    return now - m_backlogEnd;
}

core::Duration EngineModel::prefillTime(std::uint64_t tokens) const
{
    return fromMilliseconds(static_cast<double>(tokens) / prefillRate());
}

core::Duration EngineModel::predict(std::uint32_t uncachedTokens, core::TimePoint now) const
{
    if (!m_engine) {
        const double queued = static_cast<double>(m_runs.size()) / static_cast<double>(m_slots);
        return fromMilliseconds(toMillisecondsExact(m_serviceTime) * (1 + std::max(0.0, queued - 0.5)));
    }
    return backlog(now) + prefillTime(uncachedTokens) + m_settings.fixedDelay + decodeTime(static_cast<std::uint32_t>(m_tokensPerEvent), now);
}

core::Duration EngineModel::unloadedTime(std::uint32_t uncachedTokens) const
{
    if (!m_engine) {
        return m_serviceTime;
    }
    return prefillTime(uncachedTokens) + m_settings.fixedDelay + m_settings.stepBase * static_cast<core::Duration::rep>(m_tokensPerEvent);
}

double EngineModel::prefillShare(core::TimePoint now) const
{
    const double memory = toMillisecondsExact(m_settings.loadMemory);
    const double age = toMillisecondsExact(now - m_recentAt);
    return std::min(1.0, m_recentTokens * std::exp(-age / memory) / memory / prefillRate());
}

core::Duration EngineModel::decodeTime(std::uint32_t tokens, core::TimePoint now) const
{
    const double step = toMillisecondsExact(m_settings.stepBase + m_settings.stepOfRun * static_cast<core::Duration::rep>(m_runs.size()))
        + prefillShare(now) * toMillisecondsExact(m_settings.chunkTime);
    return fromMilliseconds(step * tokens * m_slowness);
}

core::Duration EngineModel::slotWait() const
{
    if (m_runs.size() < m_slots) {
        return core::Duration::zero();
    }
    return m_runTime / static_cast<core::Duration::rep>(m_slots);
}

bool EngineModel::hasRoom(std::uint32_t tokens) const
{
    if (m_runs.size() >= m_slots) {
        return false;
    }
    const auto most = static_cast<std::uint64_t>(m_settings.runShare * static_cast<double>(m_memoryTokens));
    return !m_engine || m_memoryTokens == 0 || m_memoryUsed + tokens <= most || m_runs.empty();
}

//-----------------------------------------------------------------------------
// Work
//-----------------------------------------------------------------------------

void EngineModel::cacheParts(const std::vector<PromptPart> &prompt)
{
    for (const PromptPart &part : prompt) {
        const auto found = m_cache.find(part.chain);
        if (found != m_cache.end()) {
            m_byUse.splice(m_byUse.end(), m_byUse, found->second.place);
            continue;
        }
        m_byUse.push_back(part.chain);
        m_cache[part.chain] = CachedPart{part.tokens, std::prev(m_byUse.end())};
        m_cachedTokens += part.tokens;
    }
    const std::uint64_t room = m_memoryTokens > m_memoryUsed ? m_memoryTokens - m_memoryUsed : 0;
    while (m_cachedTokens > room && !m_byUse.empty()) {
        const auto oldest = m_cache.find(m_byUse.front());
        m_cachedTokens -= oldest->second.tokens;
        m_cache.erase(oldest);
        m_byUse.pop_front();
    }
}

void EngineModel::granted(const WorkId &id, Run run, const std::vector<PromptPart> &prompt, core::TimePoint now)
{
    run.grantedAt = now;
    run.seenAt = now;
    run.predicted = predict(run.uncachedTokens, now);
    m_memoryUsed += run.memoryTokens;
    if (m_engine) {
        m_backlogEnd = std::max(m_backlogEnd, now) + prefillTime(run.uncachedTokens);
        const double age = toMillisecondsExact(now - m_recentAt);
        m_recentTokens = m_recentTokens * std::exp(-age / toMillisecondsExact(m_settings.loadMemory)) + run.uncachedTokens;
        m_recentAt = now;
        cacheParts(prompt);
    }
    m_runs[id] = std::move(run);
}

void EngineModel::rebuildBacklog(core::TimePoint now)
{
    std::uint64_t tokens = 0;
    for (const auto &[id, run] : m_runs) {
        tokens += run.started ? 0 : run.uncachedTokens;
    }
    m_backlogEnd = std::min(m_backlogEnd, now + prefillTime(tokens));
}

void EngineModel::started(const WorkId &id, core::Duration took, core::TimePoint now)
{
    const auto found = m_runs.find(id);
    if (found == m_runs.end() || found->second.started) {
        return;
    }
    Run &run = found->second;
    run.started = true;
    run.seenAt = now;
    m_failuresInRow = 0;
    if (!m_engine) {
        return;
    }
    if (run.predicted > core::Duration::zero()) {
        learnSlowness(run.predicted, took);
    }
    rebuildBacklog(now);
}

void EngineModel::learnSlowness(core::Duration predicted, core::Duration took)
{
    // The estimate moves by the ratio of what was observed to what was predicted with it, so it settles where both agree.
    constexpr double RatioMost = 4; // one observation says no more than this
    const double ratio = std::clamp(toMillisecondsExact(took) / std::max(toMillisecondsExact(predicted), 1.0), 1 / RatioMost, RatioMost);
    m_slowness = std::clamp(m_slowness * std::pow(ratio, m_settings.slownessWeight), m_settings.slownessLeast, m_settings.slownessMost);
}

void EngineModel::finished(const WorkId &id, WorkEnding ending, core::TimePoint now)
{
    const auto found = m_runs.find(id);
    if (found != m_runs.end()) {
        const Run run = found->second;
        m_runs.erase(found);
        m_memoryUsed -= std::min<std::uint64_t>(m_memoryUsed, run.memoryTokens);
        if (m_engine) {
            rebuildBacklog(now);
            const auto held = now - run.grantedAt;
            m_runTime += fromMilliseconds(m_settings.learnWeight * toMillisecondsExact(held - m_runTime));
        } else if (ending == WorkEnding::Answered || ending == WorkEnding::ServerError) {
            const auto took = now - run.grantedAt;
            m_serviceTime += fromMilliseconds(m_settings.learnWeight * toMillisecondsExact(took - m_serviceTime));
        }
    }
    noteHealth(ending, now);
}

void EngineModel::seen(
    const WorkId &id, const core::InstanceId &holder, std::optional<core::Duration> firstEventAfter, std::uint32_t memoryTokens, core::TimePoint now)
{
    const auto found = m_runs.find(id);
    if (found != m_runs.end()) {
        found->second.seenAt = now;
        if (firstEventAfter) {
            started(id, *firstEventAfter, now);
        }
        return;
    }
    Run run;
    run.holder = holder;
    run.memoryTokens = memoryTokens;
    run.grantedAt = now;
    run.seenAt = now;
    run.started = firstEventAfter.has_value();
    m_memoryUsed += memoryTokens;
    m_runs[id] = std::move(run);
}

std::vector<WorkId> EngineModel::forgetUnseen(core::TimePoint before, core::TimePoint now)
{
    std::vector<WorkId> forgotten;
    for (const auto &[id, run] : m_runs) {
        if (run.seenAt < before) {
            forgotten.push_back(id);
        }
    }
    for (const WorkId &id : forgotten) {
        m_memoryUsed -= std::min<std::uint64_t>(m_memoryUsed, m_runs[id].memoryTokens);
        m_runs.erase(id);
    }
    if (!forgotten.empty() && m_engine) {
        rebuildBacklog(now);
    }
    return forgotten;
}

//-----------------------------------------------------------------------------
// Health
//-----------------------------------------------------------------------------

void EngineModel::noteHealth(WorkEnding ending, core::TimePoint now)
{
    switch (ending) {
    case WorkEnding::CallerLeft:
    case WorkEnding::NeverSent:
        return; // says nothing of the upstream
    case WorkEnding::Answered:
        m_failuresInRow = 0;
        m_ejections = 0;
        m_failureRate -= m_settings.failureWeight * m_failureRate;
        return;
    case WorkEnding::ServerError:
    case WorkEnding::TurnedAway:
    case WorkEnding::Unreachable:
    case WorkEnding::Broken:
    case WorkEnding::Silent:
        break;
    }
    m_failureRate += m_settings.failureWeight * (1 - m_failureRate);
    ++m_failuresInRow;
    const bool clear = ending == WorkEnding::Unreachable; // nobody listens there
    if (clear || m_failuresInRow >= m_settings.failuresToEject) {
        const core::Duration pause = m_settings.ejectFirst * (1 << std::min(m_ejections, 8));
        m_ejectedUntil = now + std::min(pause, m_settings.ejectMost);
        ++m_ejections;
        m_failuresInRow = 0;
    }
}

bool EngineModel::accepts(core::TimePoint now) const
{
    if (now < m_ejectedUntil) {
        return false;
    }
    if (m_ejections == 0) {
        return true;
    }
    // Probation after an ejection: one at a time until an answer has come.
    return std::none_of(m_runs.begin(), m_runs.end(), [&](const auto &row) { return row.second.grantedAt >= m_ejectedUntil && !row.second.started; });
}

} // namespace arbutus::routing
