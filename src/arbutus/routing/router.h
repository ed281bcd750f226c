// Choice of an upstream, or of another failure domain, for one request.
//
// The scored router predicts the time to the first token (wait for a slot, prefill of the tokens expected to miss the
// prefix cache, network distance) and the price, and weighs the two as the workspace configures. It scores a bounded
// sample: the rendezvous candidates of the prompt's prefix, and some drawn at random. Another domain is chosen only when
// it is clearly better. The other routers are baselines for measurements.
//
// Sections:
//   Request and decision
//   Settings
//   Routers      scored, round robin, least in flight, exhaustive
//
// Q: Why rendezvous candidates by prefix, and not only the map of cached prefixes?
// A: All instances agree on them without communication, so a conversation returns to the same engines through any instance.

#pragma once

#include "arbutus/config/document.h"
#include "arbutus/routing/upstreamtable.h"

#include <pcg_random.hpp>

#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace arbutus::routing {

//-----------------------------------------------------------------------------
// Request and decision
//-----------------------------------------------------------------------------

/// Properties of a request that the router considers.
struct RoutingRequest
{
    core::ModelId model; // exactly one of model and service is set
    core::ServiceId service;
    config::RoutingWeights weights;
    std::set<core::RegionId> allowedRegions; // from the workspace's residency
    std::vector<std::uint64_t> prefixBlocks; // prefix blocks of the prompt
    std::size_t promptTokens = 0;
    bool localOnly = false;                       // forwarded by another instance: must not be forwarded again
    std::set<core::UpstreamId> excludedUpstreams; // already tried
    std::set<core::DomainId> excludedDomains;     // already tried
};

/// One candidate with its score; lower is better.
struct ScoredCandidate
{
    core::UpstreamId upstream; // empty for another domain
    core::DomainId domain;
    core::RegionId region;
    core::Duration timeToFirstToken{}; // predicted
    core::Duration predictedWait{};    // for a free slot
    double price = 0;
    double score = 0;
    bool prefixCached = false; // part of the prompt is expected to be cached
};

/// Reason for a choice, for the log.
enum class SelectionReason {
    OnlyCandidate,
    BestScore,
    WarmPrefix,
    LocalPreferred,      // another domain scored better, but within the margin
    RemoteClearlyBetter, // another domain scored better by more than the margin
    Baseline,            // a baseline router
};

[[nodiscard]] std::string_view toString(SelectionReason reason);

/// The chosen candidate and the runner-up.
struct RoutingDecision
{
    ScoredCandidate chosen;
    std::optional<ScoredCandidate> runnerUp;
    SelectionReason reason = SelectionReason::BestScore;
};

//-----------------------------------------------------------------------------
// Settings
//-----------------------------------------------------------------------------

struct RouterSettings
{
    std::size_t randomSampleSize = 3;     // random candidates
    std::size_t rendezvousSampleSize = 2; // rendezvous candidates of the prefix
    std::size_t fullScanLimit = 6;        // up to this many candidates, all are scored
    core::Duration regionRoundTrip = std::chrono::milliseconds(110);
    core::Duration domainRoundTrip = std::chrono::milliseconds(1);
    double prefillTokensPerSecond = 12'000;
    core::Duration typicalServiceTime = std::chrono::milliseconds(600);  // of one request in a slot
    core::Duration latencyScale = std::chrono::milliseconds(250);        // time to the first token that weighs as much as one price unit
    core::Duration remoteLatencyMargin = std::chrono::milliseconds(150); // another domain must be faster by this
    double remoteScoreRatio = 0.6;                                       // and its score below this fraction of the local one
    double maxRemoteRatio = 0.5;                                         // maximum ratio of requests sent to other domains, as a moving average
    core::Duration rampUpTime = std::chrono::seconds(20);                // ramp of a recovered domain up to its full share of requests
};

//-----------------------------------------------------------------------------
// Routers
//-----------------------------------------------------------------------------

/// Predicts the time to the first token at one upstream and scores it.
[[nodiscard]] ScoredCandidate scoreUpstream(const Upstream &upstream, const RoutingRequest &request, const RouterSettings &settings, core::TimePoint now);

/// Default router: scores a bounded sample of the candidates.
class ScoredRouter
{
public:
    ScoredRouter(RouterSettings settings, std::uint64_t seed);
    [[nodiscard]] std::optional<RoutingDecision> choose(const RoutingRequest &request, const UpstreamTable &table, core::TimePoint now);

private:
    [[nodiscard]] std::vector<const Upstream *> sampleCandidates(const std::vector<Upstream *> &candidates, const RoutingRequest &request);
    [[nodiscard]] std::optional<ScoredCandidate> bestRemote(const RoutingRequest &request, const UpstreamTable &table, core::TimePoint now);
    [[nodiscard]] bool isRemoteClearlyBetter(const ScoredCandidate &local, const ScoredCandidate &remote) const;
    void updateRemoteRatio(bool remote);

    RouterSettings m_settings;
    pcg32 m_random;
    double m_remoteRatio = 0; // moving average of requests sent to other domains
};

/// Baseline: the upstreams of the own domain in turn.
class RoundRobinRouter
{
public:
    [[nodiscard]] std::optional<RoutingDecision> choose(const RoutingRequest &request, const UpstreamTable &table, core::TimePoint now);

private:
    std::uint64_t m_next = 0;
};

/// Baseline: the upstream of the own domain with the fewest of this instance's requests in flight.
class LeastInFlightRouter
{
public:
    [[nodiscard]] std::optional<RoutingDecision> choose(const RoutingRequest &request, const UpstreamTable &table, core::TimePoint now);
};

/// Baseline: scores every upstream and every domain and takes the best, without a margin for remote domains.
class ExhaustiveRouter
{
public:
    explicit ExhaustiveRouter(RouterSettings settings);
    [[nodiscard]] std::optional<RoutingDecision> choose(const RoutingRequest &request, const UpstreamTable &table, core::TimePoint now);

private:
    RouterSettings m_settings;
};

using Router = std::variant<ScoredRouter, RoundRobinRouter, LeastInFlightRouter, ExhaustiveRouter>;

/// Creates a router by its name in the settings: scored, round_robin, least_in_flight or naive_exact; empty if unknown.
[[nodiscard]] std::optional<Router> makeRouter(std::string_view name, RouterSettings settings, std::uint64_t seed);

/// Calls choose() of the router that the variant holds.
[[nodiscard]] std::optional<RoutingDecision> choose(Router &router, const RoutingRequest &request, const UpstreamTable &table, core::TimePoint now);

} // namespace arbutus::routing
