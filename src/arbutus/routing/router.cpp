// Prediction, sampling and the rules for leaving the domain.
//
// Sections:
//   Prediction
//   ScoredRouter
//   Baselines

#include "arbutus/routing/router.h"

#include "arbutus/core/hash.h"
#include "arbutus/core/prefixblocks.h"

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

bool usable(const Upstream &upstream, const RoutingRequest &question, core::TimePoint now)
{
    const bool onProbation = now < upstream.probationUntil && upstream.inFlight > 0;
    return !upstream.isLeaving() && upstream.report.reachable && now >= upstream.ejectedUntil && !onProbation
        && !question.excludedUpstreams.contains(upstream.descriptor.id) && question.residency.contains(upstream.descriptor.region);
}

std::size_t expectedCached(const Upstream &upstream, const RoutingRequest &question)
{
    std::size_t blocks = 0;
    while (blocks < question.prefixBlocks.size() && upstream.cachedBlocks.contains(question.prefixBlocks[blocks])) {
        ++blocks;
    }
    const std::size_t whole = blocks * core::PrefixBlockBytes / core::BytesPerToken;
    const double tokens = static_cast<double>(whole) * upstream.cacheConfidence;
    return std::min(question.promptTokens, static_cast<std::size_t>(tokens));
}

core::Duration seconds(double value)
{
    return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(value));
}

double scoreOf(const ScoredCandidate &scored, const RoutingRequest &question, const RouterSettings &settings)
{
    const double latency = static_cast<double>(scored.timeToFirstToken.count()) / static_cast<double>(settings.latencyScale.count());
    return question.weights.latency * latency + question.weights.cost * scored.price;
}

const std::vector<Upstream *> &candidatesOf(const RoutingRequest &question, const UpstreamTable &table)
{
    return question.service.empty() ? table.upstreamsWithModel(question.model) : table.upstreamsOfService(question.service);
}

const std::vector<RemotePool> &poolsOf(const RoutingRequest &question, const UpstreamTable &table)
{
    return question.service.empty() ? table.remotePoolsWithModel(question.model) : table.remotePoolsOfService(question.service);
}

bool usablePool(const RemotePool &pool, const RoutingRequest &question, const UpstreamTableSettings &table, core::TimePoint now)
{
    return !pool.instances.empty() && now - pool.updatedAt < table.maxDigestAge && question.residency.contains(pool.region)
        && !question.excludedDomains.contains(pool.domain);
}

/// Share of its slots that a domain which came back may be given now.
double rampOf(const RemotePool &pool, const RouterSettings &settings, core::TimePoint now)
{
    const double progress = static_cast<double>((now - pool.recoveredAt).count()) / static_cast<double>(settings.rampUpTime.count());
    return std::clamp(RampStart + progress * (1 - RampStart), RampStart, 1.0);
}

ScoredCandidate predictRemote(const RemotePool &pool, const RoutingRequest &question, const RouterSettings &settings, core::TimePoint now)
{
    ScoredCandidate scored;
    scored.domain = pool.domain;
    scored.region = pool.region;
    scored.price = pool.price;
    const double free = static_cast<double>(pool.freeSlots) * rampOf(pool, settings, now);
    const double beyond = std::max(0.0, static_cast<double>(pool.sentSinceUpdate) + 1 - free);
    const core::Duration queue = seconds(beyond / std::max<double>(1, pool.slots) * std::chrono::duration<double>(settings.typicalServiceTime).count());
    scored.predictedWait = pool.predictedWait + queue;
    const core::Duration prefill = seconds(static_cast<double>(question.promptTokens) / settings.prefillTokensPerSecond);
    scored.timeToFirstToken = scored.predictedWait + prefill + settings.regionRoundTrip;
    scored.score = scoreOf(scored, question, settings);
    return scored;
}

RoutingDecision makeChoice(ScoredCandidate best, std::optional<ScoredCandidate> second, SelectionReason reason)
{
    if (!second && reason == SelectionReason::BestScore) {
        reason = SelectionReason::OnlyCandidate;
    } else if (reason == SelectionReason::BestScore && best.prefixCached && !second->prefixCached) {
        reason = SelectionReason::WarmPrefix;
    }
    return RoutingDecision{std::move(best), std::move(second), reason};
}

/// Puts a candidate into the best two.
void keepBest(std::optional<ScoredCandidate> &best, std::optional<ScoredCandidate> &second, ScoredCandidate candidate)
{
    if (!best || candidate.score < best->score) {
        second = std::move(best);
        best = std::move(candidate);
    } else if (!second || candidate.score < second->score) {
        second = std::move(candidate);
    }
}

} // namespace

std::string_view toString(SelectionReason reason)
{
    switch (reason) {
    case SelectionReason::OnlyCandidate:
        return "only_candidate";
    case SelectionReason::BestScore:
        return "best_score";
    case SelectionReason::WarmPrefix:
        return "warm_prefix";
    case SelectionReason::LocalPreferred:
        return "local_preferred";
    case SelectionReason::RemoteClearlyBetter:
        return "remote_clear";
    case SelectionReason::Baseline:
        break;
    }
    return "baseline";
}

ScoredCandidate scoreUpstream(const Upstream &upstream, const RoutingRequest &question, const RouterSettings &settings, core::TimePoint /*now*/)
{
    ScoredCandidate scored;
    scored.upstream = upstream.descriptor.id;
    scored.domain = upstream.descriptor.domain;
    scored.region = upstream.descriptor.region;
    scored.price = upstream.descriptor.price;
    const std::uint32_t occupancy = upstream.occupancy();
    const std::uint32_t slots = std::max<std::uint32_t>(1, upstream.report.slots);
    const double beyond = occupancy + 1 > slots ? static_cast<double>(occupancy + 1 - slots) : 0.0;
    const double service = std::chrono::duration<double>(settings.typicalServiceTime).count();
    scored.predictedWait = seconds(beyond / slots * service * upstream.slowdown);
    const std::size_t cached = expectedCached(upstream, question);
    scored.prefixCached = cached > 0;
    const core::Duration prefill = seconds(static_cast<double>(question.promptTokens - cached) / settings.prefillTokensPerSecond);
    const core::Duration step = upstream.report.stepTime * StepsAhead;
    const auto busy = static_cast<double>(occupancy) / slots; // a fuller batch prefills and steps more slowly
    const double crowding = 1 + 0.5 * std::min(1.0, busy);
    scored.timeToFirstToken = scored.predictedWait + seconds(std::chrono::duration<double>(prefill + step).count() * crowding * upstream.slowdown);
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

std::optional<RoutingDecision> ScoredRouter::choose(const RoutingRequest &question, const UpstreamTable &table, core::TimePoint now)
{
    std::optional<ScoredCandidate> best;
    std::optional<ScoredCandidate> second;
    for (const Upstream *upstream : sample(candidatesOf(question, table), question)) {
        if (usable(*upstream, question, now)) {
            keepBest(best, second, scoreUpstream(*upstream, question, m_settings, now));
        }
    }
    std::optional<ScoredCandidate> remote = question.localOnly ? std::nullopt : bestRemote(question, table, now);
    if (!best && !remote) {
        return std::nullopt;
    }
    if (!best) {
        noteSent(true);
        return makeChoice(*remote, std::nullopt, SelectionReason::RemoteClearlyBetter);
    }
    if (remote && remotePays(*best, *remote)) {
        noteSent(true);
        return makeChoice(*remote, best, SelectionReason::RemoteClearlyBetter);
    }
    noteSent(false);
    const bool remoteScoredBetter = remote && remote->score < best->score;
    return makeChoice(*best, remoteScoredBetter ? remote : second, remoteScoredBetter ? SelectionReason::LocalPreferred : SelectionReason::BestScore);
}

std::vector<const Upstream *> ScoredRouter::sample(const std::vector<Upstream *> &all, const RoutingRequest &question)
{
    if (all.size() <= m_settings.fullScanLimit) {
        return {all.begin(), all.end()};
    }
    std::vector<const Upstream *> out;
    const std::size_t size = all.size();
    if (!question.prefixBlocks.empty()) { // the prefix's own places: double hashing over the ordered list, no scan
        for (std::size_t i = 0; i < m_settings.rendezvousSampleSize; ++i) {
            out.push_back(all[core::hash64(std::string_view(reinterpret_cast<const char *>(question.prefixBlocks.data()), sizeof(std::uint64_t)), i) % size]);
        }
    }
    while (out.size() < m_settings.rendezvousSampleSize + m_settings.randomSampleSize) {
        out.push_back(all[m_random(static_cast<std::uint32_t>(size))]);
    }
    return out;
}

std::optional<ScoredCandidate> ScoredRouter::bestRemote(const RoutingRequest &question, const UpstreamTable &table, core::TimePoint now)
{
    const std::vector<RemotePool> &pools = poolsOf(question, table);
    std::optional<ScoredCandidate> best;
    std::optional<ScoredCandidate> second;
    const std::size_t most = m_settings.fullScanLimit;
    const std::size_t start = pools.size() > most ? m_random(static_cast<std::uint32_t>(pools.size())) : 0;
    for (std::size_t i = 0; i < std::min(pools.size(), most); ++i) {
        const RemotePool &pool = pools[(start + i) % pools.size()];
        if (usablePool(pool, question, table.settings(), now)) {
            keepBest(best, second, predictRemote(pool, question, m_settings, now));
        }
    }
    return best;
}

bool ScoredRouter::remotePays(const ScoredCandidate &local, const ScoredCandidate &remote) const
{
    return remote.timeToFirstToken + m_settings.remoteLatencyMargin < local.timeToFirstToken && remote.score < local.score * m_settings.remoteScoreRatio
        && m_remoteShare < m_settings.maxRemoteRatio;
}

void ScoredRouter::noteSent(bool remote)
{
    m_remoteShare = m_remoteShare * (1 - ShareWeight) + (remote ? ShareWeight : 0);
}

//-----------------------------------------------------------------------------
// Baselines
//-----------------------------------------------------------------------------

namespace {

std::optional<RoutingDecision> baselineRemote(const RoutingRequest &question, const UpstreamTable &table, core::TimePoint now)
{
    if (question.localOnly) {
        return std::nullopt;
    }
    for (const RemotePool &pool : poolsOf(question, table)) {
        if (usablePool(pool, question, table.settings(), now)) {
            return RoutingDecision{predictRemote(pool, question, RouterSettings{}, now), std::nullopt, SelectionReason::Baseline};
        }
    }
    return std::nullopt;
}

} // namespace

std::optional<RoutingDecision> RoundRobinRouter::choose(const RoutingRequest &question, const UpstreamTable &table, core::TimePoint now)
{
    const std::vector<Upstream *> &all = candidatesOf(question, table);
    for (std::size_t i = 0; i < all.size(); ++i) {
        const Upstream &upstream = *all[m_next++ % all.size()];
        if (usable(upstream, question, now)) {
            return RoutingDecision{scoreUpstream(upstream, question, RouterSettings{}, now), std::nullopt, SelectionReason::Baseline};
        }
    }
    return baselineRemote(question, table, now);
}

std::optional<RoutingDecision> LeastInFlightRouter::choose(const RoutingRequest &question, const UpstreamTable &table, core::TimePoint now)
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
    return RoutingDecision{scoreUpstream(*least, question, RouterSettings{}, now), std::nullopt, SelectionReason::Baseline};
}

ExhaustiveRouter::ExhaustiveRouter(RouterSettings settings)
    : m_settings(settings)
{
}

std::optional<RoutingDecision> ExhaustiveRouter::choose(const RoutingRequest &question, const UpstreamTable &table, core::TimePoint now)
{
    std::optional<ScoredCandidate> best;
    std::optional<ScoredCandidate> second;
    for (const Upstream *upstream : candidatesOf(question, table)) {
        if (usable(*upstream, question, now)) {
            keepBest(best, second, scoreUpstream(*upstream, question, m_settings, now));
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
    return RoutingDecision{*best, second, SelectionReason::Baseline};
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
        return ExhaustiveRouter(settings);
    }
    return std::nullopt;
}

std::optional<RoutingDecision> choose(Router &router, const RoutingRequest &question, const UpstreamTable &table, core::TimePoint now)
{
    return std::visit([&](auto &chosen) { return chosen.choose(question, table, now); }, router);
}

} // namespace arbutus::routing
