// Prediction, sampling and the rules for leaving the domain.
//
// Sections:
//   Prediction
//   ScoredRouter
//   Baselines

#include "arbutus/routing/router.h"

#include "arbutus/core/hash.h"
#include "arbutus/core/prefix.h"

#include <algorithm>
#include <cmath>

namespace arbutus::routing {

namespace {

constexpr double ShareWeight = 0.01;   // of the newest request in the share sent away
constexpr double RampStart = 0.1;      // share of a returned domain's slots that is used at first
constexpr std::int64_t StepsAhead = 2; // the step under way, and the one that emits the token

//-----------------------------------------------------------------------------
// Prediction
//-----------------------------------------------------------------------------

bool usable(const Upstream &upstream, const Question &question, core::TimePoint now)
{
    const bool onProbation = now < upstream.probationUntil && upstream.inFlight > 0;
    return !upstream.leaving() && upstream.report.reachable && now >= upstream.ejectedUntil && !onProbation && !question.excluded.contains(upstream.line.id)
        && question.residency.contains(upstream.line.region);
}

std::size_t expectedCached(const Upstream &upstream, const Question &question)
{
    std::size_t blocks = 0;
    while (blocks < question.blocks.size() && upstream.prefixes.contains(question.blocks[blocks])) {
        ++blocks;
    }
    const std::size_t whole = blocks * core::BlockBytes / core::BytesPerToken;
    const double tokens = static_cast<double>(whole) * upstream.prefixTrust;
    return std::min(question.promptTokens, static_cast<std::size_t>(tokens));
}

core::Duration seconds(double value)
{
    return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(value));
}

double scoreOf(const Scored &scored, const Question &question, const RouterSettings &settings)
{
    const double latency = static_cast<double>(scored.firstToken.count()) / static_cast<double>(settings.latencyScale.count());
    return question.weights.latency * latency + question.weights.cost * scored.price;
}

const std::vector<Upstream *> &candidatesOf(const Question &question, const UpstreamTable &table)
{
    return question.service.empty() ? table.withModel(question.model) : table.withService(question.service);
}

const std::vector<RemotePool> &poolsOf(const Question &question, const UpstreamTable &table)
{
    return question.service.empty() ? table.remoteModel(question.model) : table.remoteService(question.service);
}

bool usablePool(const RemotePool &pool, const Question &question, const TableSettings &table, core::TimePoint now)
{
    return !pool.entries.empty() && now - pool.heardAt < table.digestStale && question.residency.contains(pool.region)
        && !question.excludedDomains.contains(pool.domain);
}

/// Share of its slots that a domain which came back may be given now.
double rampOf(const RemotePool &pool, const RouterSettings &settings, core::TimePoint now)
{
    const double progress = static_cast<double>((now - pool.backSince).count()) / static_cast<double>(settings.rampLength.count());
    return std::clamp(RampStart + progress * (1 - RampStart), RampStart, 1.0);
}

Scored predictRemote(const RemotePool &pool, const Question &question, const RouterSettings &settings, core::TimePoint now)
{
    Scored scored;
    scored.domain = pool.domain;
    scored.region = pool.region;
    scored.price = pool.price;
    const double free = static_cast<double>(pool.freeSlots) * rampOf(pool, settings, now);
    const double beyond = std::max(0.0, static_cast<double>(pool.sentSince) + 1 - free);
    const core::Duration queue = seconds(beyond / std::max<double>(1, pool.slots) * std::chrono::duration<double>(settings.typicalService).count());
    scored.wait = pool.wait + queue;
    const core::Duration prefill = seconds(static_cast<double>(question.promptTokens) / settings.prefillTokensPerSecond);
    scored.firstToken = scored.wait + prefill + settings.regionRoundTrip;
    scored.score = scoreOf(scored, question, settings);
    return scored;
}

Choice makeChoice(Scored best, std::optional<Scored> second, Reason reason)
{
    if (!second && reason == Reason::BestScore) {
        reason = Reason::OnlyCandidate;
    } else if (reason == Reason::BestScore && best.warm && !second->warm) {
        reason = Reason::WarmPrefix;
    }
    return Choice{std::move(best), std::move(second), reason};
}

/// Puts a candidate into the best two.
void keepBest(std::optional<Scored> &best, std::optional<Scored> &second, Scored candidate)
{
    if (!best || candidate.score < best->score) {
        second = std::move(best);
        best = std::move(candidate);
    } else if (!second || candidate.score < second->score) {
        second = std::move(candidate);
    }
}

} // namespace

std::string_view toString(Reason reason)
{
    switch (reason) {
    case Reason::OnlyCandidate:
        return "only_candidate";
    case Reason::BestScore:
        return "best_score";
    case Reason::WarmPrefix:
        return "warm_prefix";
    case Reason::LocalPreferred:
        return "local_preferred";
    case Reason::RemoteClear:
        return "remote_clear";
    case Reason::Baseline:
        break;
    }
    return "baseline";
}

Scored predict(const Upstream &upstream, const Question &question, const RouterSettings &settings, core::TimePoint /*now*/)
{
    Scored scored;
    scored.upstream = upstream.line.id;
    scored.domain = upstream.line.domain;
    scored.region = upstream.line.region;
    scored.price = upstream.line.price;
    const std::uint32_t occupancy = upstream.occupancy();
    const std::uint32_t slots = std::max<std::uint32_t>(1, upstream.report.slots);
    const double beyond = occupancy + 1 > slots ? static_cast<double>(occupancy + 1 - slots) : 0.0;
    const double service = std::chrono::duration<double>(settings.typicalService).count();
    scored.wait = seconds(beyond / slots * service * upstream.slowness);
    const std::size_t cached = expectedCached(upstream, question);
    scored.warm = cached > 0;
    const core::Duration prefill = seconds(static_cast<double>(question.promptTokens - cached) / settings.prefillTokensPerSecond);
    const core::Duration step = upstream.report.step * StepsAhead;
    const auto busy = static_cast<double>(occupancy) / slots; // a fuller batch prefills and steps more slowly
    const double crowding = 1 + 0.5 * std::min(1.0, busy);
    scored.firstToken = scored.wait + seconds(std::chrono::duration<double>(prefill + step).count() * crowding * upstream.slowness);
    scored.score = scoreOf(scored, question, settings);
    return scored;
}

//-----------------------------------------------------------------------------
// ScoredRouter
//-----------------------------------------------------------------------------

ScoredRouter::ScoredRouter(RouterSettings settings, std::uint64_t seed)
    : m_settings(settings)
    , m_random(seed)
{
}

std::optional<Choice> ScoredRouter::choose(const Question &question, const UpstreamTable &table, core::TimePoint now)
{
    std::optional<Scored> best;
    std::optional<Scored> second;
    for (const Upstream *upstream : sample(candidatesOf(question, table), question)) {
        if (usable(*upstream, question, now)) {
            keepBest(best, second, predict(*upstream, question, m_settings, now));
        }
    }
    std::optional<Scored> remote = question.localOnly ? std::nullopt : bestRemote(question, table, now);
    if (!best && !remote) {
        return std::nullopt;
    }
    if (!best) {
        noteSent(true);
        return makeChoice(*remote, std::nullopt, Reason::RemoteClear);
    }
    if (remote && remotePays(*best, *remote)) {
        noteSent(true);
        return makeChoice(*remote, best, Reason::RemoteClear);
    }
    noteSent(false);
    const bool remoteScoredBetter = remote && remote->score < best->score;
    return makeChoice(*best, remoteScoredBetter ? remote : second, remoteScoredBetter ? Reason::LocalPreferred : Reason::BestScore);
}

std::vector<const Upstream *> ScoredRouter::sample(const std::vector<Upstream *> &all, const Question &question)
{
    if (all.size() <= m_settings.scanAll) {
        return {all.begin(), all.end()};
    }
    std::vector<const Upstream *> out;
    const std::size_t size = all.size();
    if (!question.blocks.empty()) { // the prefix's own places: double hashing over the ordered list, no scan
        for (std::size_t i = 0; i < m_settings.sampleRendezvous; ++i) {
            out.push_back(all[core::hash64(std::string_view(reinterpret_cast<const char *>(question.blocks.data()), sizeof(std::uint64_t)), i) % size]);
        }
    }
    while (out.size() < m_settings.sampleRendezvous + m_settings.sampleRandom) {
        out.push_back(all[m_random(static_cast<std::uint32_t>(size))]);
    }
    return out;
}

std::optional<Scored> ScoredRouter::bestRemote(const Question &question, const UpstreamTable &table, core::TimePoint now)
{
    const std::vector<RemotePool> &pools = poolsOf(question, table);
    std::optional<Scored> best;
    std::optional<Scored> second;
    const std::size_t most = m_settings.scanAll;
    const std::size_t start = pools.size() > most ? m_random(static_cast<std::uint32_t>(pools.size())) : 0;
    for (std::size_t i = 0; i < std::min(pools.size(), most); ++i) {
        const RemotePool &pool = pools[(start + i) % pools.size()];
        if (usablePool(pool, question, table.settings(), now)) {
            keepBest(best, second, predictRemote(pool, question, m_settings, now));
        }
    }
    return best;
}

bool ScoredRouter::remotePays(const Scored &local, const Scored &remote) const
{
    return remote.firstToken + m_settings.remoteMargin < local.firstToken && remote.score < local.score * m_settings.remoteRatio
        && m_remoteShare < m_settings.remoteShareMost;
}

void ScoredRouter::noteSent(bool remote)
{
    m_remoteShare = m_remoteShare * (1 - ShareWeight) + (remote ? ShareWeight : 0);
}

//-----------------------------------------------------------------------------
// Baselines
//-----------------------------------------------------------------------------

namespace {

std::optional<Choice> baselineRemote(const Question &question, const UpstreamTable &table, core::TimePoint now)
{
    if (question.localOnly) {
        return std::nullopt;
    }
    for (const RemotePool &pool : poolsOf(question, table)) {
        if (usablePool(pool, question, table.settings(), now)) {
            return Choice{predictRemote(pool, question, RouterSettings{}, now), std::nullopt, Reason::Baseline};
        }
    }
    return std::nullopt;
}

} // namespace

std::optional<Choice> RoundRobinRouter::choose(const Question &question, const UpstreamTable &table, core::TimePoint now)
{
    const std::vector<Upstream *> &all = candidatesOf(question, table);
    for (std::size_t i = 0; i < all.size(); ++i) {
        const Upstream &upstream = *all[m_next++ % all.size()];
        if (usable(upstream, question, now)) {
            return Choice{predict(upstream, question, RouterSettings{}, now), std::nullopt, Reason::Baseline};
        }
    }
    return baselineRemote(question, table, now);
}

std::optional<Choice> LeastInFlightRouter::choose(const Question &question, const UpstreamTable &table, core::TimePoint now)
{
    const Upstream *least = nullptr;
    for (const Upstream *upstream : candidatesOf(question, table)) {
        if (usable(*upstream, question, now) && (least == nullptr || upstream->inFlight < least->inFlight)) {
            least = upstream;
        }
    }
    if (least == nullptr) {
        return baselineRemote(question, table, now);
    }
    return Choice{predict(*least, question, RouterSettings{}, now), std::nullopt, Reason::Baseline};
}

NaiveRouter::NaiveRouter(RouterSettings settings)
    : m_settings(settings)
{
}

std::optional<Choice> NaiveRouter::choose(const Question &question, const UpstreamTable &table, core::TimePoint now)
{
    std::optional<Scored> best;
    std::optional<Scored> second;
    for (const Upstream *upstream : candidatesOf(question, table)) {
        if (usable(*upstream, question, now)) {
            keepBest(best, second, predict(*upstream, question, m_settings, now));
        }
    }
    if (!question.localOnly) {
        for (const RemotePool &pool : poolsOf(question, table)) {
            if (usablePool(pool, question, table.settings(), now)) {
                keepBest(best, second, predictRemote(pool, question, m_settings, now));
            }
        }
    }
    if (!best) {
        return std::nullopt;
    }
    return Choice{*best, second, Reason::Baseline};
}

std::optional<Router> makeRouter(std::string_view name, RouterSettings settings, std::uint64_t seed)
{
    if (name == "scored") {
        return ScoredRouter(settings, seed);
    }
    if (name == "round_robin") {
        return RoundRobinRouter();
    }
    if (name == "least_in_flight") {
        return LeastInFlightRouter();
    }
    if (name == "naive_exact") {
        return NaiveRouter(settings);
    }
    return std::nullopt;
}

std::optional<Choice> choose(Router &router, const Question &question, const UpstreamTable &table, core::TimePoint now)
{
    return std::visit([&](auto &chosen) { return chosen.choose(question, table, now); }, router);
}

} // namespace arbutus::routing
