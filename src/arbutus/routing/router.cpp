// Prediction, sampling, and the rules for choosing another domain.
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

constexpr double RemoteRatioWeight = 0.01;    // weight of the newest request in the ratio sent to other domains
constexpr double InitialRampShare = 0.1;      // share of a recovered domain's free slots that is used at first
constexpr std::int64_t StepsToFirstToken = 2; // the current step and the one that emits the token

//-----------------------------------------------------------------------------
// Prediction
//-----------------------------------------------------------------------------

bool isUsable(const Upstream &upstream, const RoutingRequest &request, core::TimePoint now)
{
    const bool onProbation = now < upstream.probationUntil && upstream.inFlight > 0;
    return !upstream.isLeaving() && upstream.report.reachable && now >= upstream.ejectedUntil && !onProbation
        && !request.excludedUpstreams.contains(upstream.descriptor.id) && request.allowedRegions.contains(upstream.descriptor.region);
}

std::size_t expectedCachedTokens(const Upstream &upstream, const RoutingRequest &request)
{
    std::size_t blocks = 0;
    while (blocks < request.prefixBlocks.size() && upstream.cachedBlocks.contains(request.prefixBlocks[blocks])) {
        ++blocks;
    }
    const std::size_t matchedTokens = blocks * core::PrefixBlockBytes / core::BytesPerToken;
    const double expectedTokens = static_cast<double>(matchedTokens) * upstream.cacheConfidence;
    return std::min(request.promptTokens, static_cast<std::size_t>(expectedTokens));
}

core::Duration secondsToDuration(double value)
{
    return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(value));
}

double computeScore(const ScoredCandidate &candidate, const RoutingRequest &request, const RouterSettings &settings)
{
    const double latency = static_cast<double>(candidate.timeToFirstToken.count()) / static_cast<double>(settings.latencyScale.count());
    return request.weights.latency * latency + request.weights.cost * candidate.price;
}

const std::vector<Upstream *> &findCandidates(const RoutingRequest &request, const UpstreamTable &table)
{
    return request.service.empty() ? table.upstreamsWithModel(request.model) : table.upstreamsOfService(request.service);
}

const std::vector<RemotePool> &findRemotePools(const RoutingRequest &request, const UpstreamTable &table)
{
    return request.service.empty() ? table.remotePoolsWithModel(request.model) : table.remotePoolsOfService(request.service);
}

bool isPoolUsable(const RemotePool &pool, const RoutingRequest &request, const UpstreamTableSettings &table, core::TimePoint now)
{
    return !pool.instances.empty() && now - pool.updatedAt < table.maxDigestAge && request.allowedRegions.contains(pool.region)
        && !request.excludedDomains.contains(pool.domain);
}

/// Share of its free slots that a recovered domain may be given now.
double rampUpShare(const RemotePool &pool, const RouterSettings &settings, core::TimePoint now)
{
    const double progress = static_cast<double>((now - pool.recoveredAt).count()) / static_cast<double>(settings.rampUpTime.count());
    return std::clamp(InitialRampShare + progress * (1 - InitialRampShare), InitialRampShare, 1.0);
}

ScoredCandidate scoreRemotePool(const RemotePool &pool, const RoutingRequest &request, const RouterSettings &settings, core::TimePoint now)
{
    ScoredCandidate candidate;
    candidate.domain = pool.domain;
    candidate.region = pool.region;
    candidate.price = pool.price;
    const double freeSlots = static_cast<double>(pool.freeSlots) * rampUpShare(pool, settings, now);
    const double excess = std::max(0.0, static_cast<double>(pool.sentSinceUpdate) + 1 - freeSlots);
    const core::Duration queueDelay =
        secondsToDuration(excess / std::max<double>(1, pool.slots) * std::chrono::duration<double>(settings.typicalServiceTime).count());
    candidate.predictedWait = pool.predictedWait + queueDelay;
    const core::Duration prefill = secondsToDuration(static_cast<double>(request.promptTokens) / settings.prefillTokensPerSecond);
    candidate.timeToFirstToken = candidate.predictedWait + prefill + settings.regionRoundTrip;
    candidate.score = computeScore(candidate, request, settings);
    return candidate;
}

RoutingDecision makeDecision(ScoredCandidate best, std::optional<ScoredCandidate> runnerUp, SelectionReason reason)
{
    if (!runnerUp && reason == SelectionReason::BestScore) {
        reason = SelectionReason::OnlyCandidate;
    } else if (reason == SelectionReason::BestScore && best.prefixCached && !runnerUp->prefixCached) {
        reason = SelectionReason::WarmPrefix;
    }
    return RoutingDecision{std::move(best), std::move(runnerUp), reason};
}

/// Keeps the two candidates with the lowest scores.
void updateBestTwo(std::optional<ScoredCandidate> &best, std::optional<ScoredCandidate> &runnerUp, ScoredCandidate candidate)
{
    if (!best || candidate.score < best->score) {
        runnerUp = std::move(best);
        best = std::move(candidate);
    } else if (!runnerUp || candidate.score < runnerUp->score) {
        runnerUp = std::move(candidate);
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

ScoredCandidate scoreUpstream(const Upstream &upstream, const RoutingRequest &request, const RouterSettings &settings, core::TimePoint /*now*/)
{
    ScoredCandidate candidate;
    candidate.upstream = upstream.descriptor.id;
    candidate.domain = upstream.descriptor.domain;
    candidate.region = upstream.descriptor.region;
    candidate.price = upstream.descriptor.price;
    const std::uint32_t occupancy = upstream.occupancy();
    const std::uint32_t slots = std::max<std::uint32_t>(1, upstream.report.slots);
    const double excess = occupancy + 1 > slots ? static_cast<double>(occupancy + 1 - slots) : 0.0;
    const double serviceTime = std::chrono::duration<double>(settings.typicalServiceTime).count();
    candidate.predictedWait = secondsToDuration(excess / slots * serviceTime * upstream.slowdown);
    const std::size_t cached = expectedCachedTokens(upstream, request);
    candidate.prefixCached = cached > 0;
    const core::Duration prefill = secondsToDuration(static_cast<double>(request.promptTokens - cached) / settings.prefillTokensPerSecond);
    const core::Duration step = upstream.report.stepTime * StepsToFirstToken;
    const auto utilization = static_cast<double>(occupancy) / slots; // a fuller batch slows down prefill and decode steps
    const double batchSlowdown = 1 + 0.5 * std::min(1.0, utilization);
    candidate.timeToFirstToken =
        candidate.predictedWait + secondsToDuration(std::chrono::duration<double>(prefill + step).count() * batchSlowdown * upstream.slowdown);
    candidate.score = computeScore(candidate, request, settings);
    return candidate;
}

//-----------------------------------------------------------------------------
// ScoredRouter
//-----------------------------------------------------------------------------

ScoredRouter::ScoredRouter(RouterSettings settings, std::uint64_t seed)
    : m_settings(settings)
    , m_random(seed)
{
}

std::optional<RoutingDecision> ScoredRouter::choose(const RoutingRequest &request, const UpstreamTable &table, core::TimePoint now)
{
    std::optional<ScoredCandidate> best;
    std::optional<ScoredCandidate> runnerUp;
    for (const Upstream *upstream : sampleCandidates(findCandidates(request, table), request)) {
        if (isUsable(*upstream, request, now)) {
            updateBestTwo(best, runnerUp, scoreUpstream(*upstream, request, m_settings, now));
        }
    }
    std::optional<ScoredCandidate> remote = request.localOnly ? std::nullopt : bestRemote(request, table, now);
    if (!best && !remote) {
        return std::nullopt;
    }
    if (!best) {
        updateRemoteRatio(true);
        return makeDecision(*remote, std::nullopt, SelectionReason::RemoteClearlyBetter);
    }
    if (remote && isRemoteClearlyBetter(*best, *remote)) {
        updateRemoteRatio(true);
        return makeDecision(*remote, best, SelectionReason::RemoteClearlyBetter);
    }
    updateRemoteRatio(false);
    const bool remoteScoredBetter = remote && remote->score < best->score;
    return makeDecision(*best, remoteScoredBetter ? remote : runnerUp, remoteScoredBetter ? SelectionReason::LocalPreferred : SelectionReason::BestScore);
}

std::vector<const Upstream *> ScoredRouter::sampleCandidates(const std::vector<Upstream *> &candidates, const RoutingRequest &request)
{
    if (candidates.size() <= m_settings.fullScanLimit) {
        return {candidates.begin(), candidates.end()};
    }
    std::vector<const Upstream *> sampled;
    const std::size_t size = candidates.size();
    if (!request.prefixBlocks.empty()) { // rendezvous candidates by hashing into the ordered list, without a scan
        for (std::size_t i = 0; i < m_settings.rendezvousSampleSize; ++i) {
            sampled.push_back(
                candidates[core::hash64(std::string_view(reinterpret_cast<const char *>(request.prefixBlocks.data()), sizeof(std::uint64_t)), i) % size]);
        }
    }
    while (sampled.size() < m_settings.rendezvousSampleSize + m_settings.randomSampleSize) {
        sampled.push_back(candidates[m_random(static_cast<std::uint32_t>(size))]);
    }
    return sampled;
}

std::optional<ScoredCandidate> ScoredRouter::bestRemote(const RoutingRequest &request, const UpstreamTable &table, core::TimePoint now)
{
    const std::vector<RemotePool> &pools = findRemotePools(request, table);
    std::optional<ScoredCandidate> best;
    std::optional<ScoredCandidate> runnerUp;
    const std::size_t scanLimit = m_settings.fullScanLimit;
    const std::size_t start = pools.size() > scanLimit ? m_random(static_cast<std::uint32_t>(pools.size())) : 0;
    for (std::size_t i = 0; i < std::min(pools.size(), scanLimit); ++i) {
        const RemotePool &pool = pools[(start + i) % pools.size()];
        if (isPoolUsable(pool, request, table.settings(), now)) {
            updateBestTwo(best, runnerUp, scoreRemotePool(pool, request, m_settings, now));
        }
    }
    return best;
}

bool ScoredRouter::isRemoteClearlyBetter(const ScoredCandidate &local, const ScoredCandidate &remote) const
{
    return remote.timeToFirstToken + m_settings.remoteLatencyMargin < local.timeToFirstToken && remote.score < local.score * m_settings.remoteScoreRatio
        && m_remoteRatio < m_settings.maxRemoteRatio;
}

void ScoredRouter::updateRemoteRatio(bool remote)
{
    m_remoteRatio = m_remoteRatio * (1 - RemoteRatioWeight) + (remote ? RemoteRatioWeight : 0);
}

//-----------------------------------------------------------------------------
// Baselines
//-----------------------------------------------------------------------------

namespace {

std::optional<RoutingDecision> firstUsableRemotePool(const RoutingRequest &request, const UpstreamTable &table, core::TimePoint now)
{
    if (request.localOnly) {
        return std::nullopt;
    }
    for (const RemotePool &pool : findRemotePools(request, table)) {
        if (isPoolUsable(pool, request, table.settings(), now)) {
            return RoutingDecision{scoreRemotePool(pool, request, RouterSettings{}, now), std::nullopt, SelectionReason::Baseline};
        }
    }
    return std::nullopt;
}

} // namespace

std::optional<RoutingDecision> RoundRobinRouter::choose(const RoutingRequest &request, const UpstreamTable &table, core::TimePoint now)
{
    const std::vector<Upstream *> &candidates = findCandidates(request, table);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const Upstream &upstream = *candidates[m_next++ % candidates.size()];
        if (isUsable(upstream, request, now)) {
            return RoutingDecision{scoreUpstream(upstream, request, RouterSettings{}, now), std::nullopt, SelectionReason::Baseline};
        }
    }
    return firstUsableRemotePool(request, table, now);
}

std::optional<RoutingDecision> LeastInFlightRouter::choose(const RoutingRequest &request, const UpstreamTable &table, core::TimePoint now)
{
    const Upstream *least = nullptr;
    for (const Upstream *upstream : findCandidates(request, table)) {
        if (isUsable(*upstream, request, now) && (least == nullptr || upstream->inFlight < least->inFlight)) {
            least = upstream;
        }
    }
    if (least == nullptr) {
        return firstUsableRemotePool(request, table, now);
    }
    return RoutingDecision{scoreUpstream(*least, request, RouterSettings{}, now), std::nullopt, SelectionReason::Baseline};
}

ExhaustiveRouter::ExhaustiveRouter(RouterSettings settings)
    : m_settings(settings)
{
}

std::optional<RoutingDecision> ExhaustiveRouter::choose(const RoutingRequest &request, const UpstreamTable &table, core::TimePoint now)
{
    std::optional<ScoredCandidate> best;
    std::optional<ScoredCandidate> runnerUp;
    for (const Upstream *upstream : findCandidates(request, table)) {
        if (isUsable(*upstream, request, now)) {
            updateBestTwo(best, runnerUp, scoreUpstream(*upstream, request, m_settings, now));
        }
    }
    if (!request.localOnly) {
        for (const RemotePool &pool : findRemotePools(request, table)) {
            if (isPoolUsable(pool, request, table.settings(), now)) {
                updateBestTwo(best, runnerUp, scoreRemotePool(pool, request, m_settings, now));
            }
        }
    }
    if (!best) {
        return std::nullopt;
    }
    return RoutingDecision{*best, runnerUp, SelectionReason::Baseline};
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

std::optional<RoutingDecision> choose(Router &router, const RoutingRequest &request, const UpstreamTable &table, core::TimePoint now)
{
    return std::visit([&](auto &selected) { return selected.choose(request, table, now); }, router);
}

} // namespace arbutus::routing
