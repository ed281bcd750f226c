// Choice of an upstream, or of another failure domain, for one request.
//
// The scored router predicts the time to the first token (wait for a slot, prefill of what the prefix cache is expected
// to lack, distance) and the price, and weighs the two by the workspace. It looks at a bounded sample: the rendezvous
// candidates of the prompt's prefix, and some drawn at random. Another domain is chosen only when it clearly pays.
// The other routers are baselines for measurement.
//
// Sections:
//   Question and answer
//   Settings
//   Routers      scored, round robin, least in flight, naive exact
//
// Q: Why rendezvous candidates by prefix and not only the map of cached prefixes?
// A: All instances agree on them without talking, so a conversation returns to the same engines through any entry.

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
// Question and answer
//-----------------------------------------------------------------------------

/// What the router is asked.
struct RoutingRequest
{
    core::ModelId model; // one of model and service is set
    core::ServiceId service;
    config::RoutingWeights weights;
    std::set<core::RegionId> residency;      // regions allowed
    std::vector<std::uint64_t> prefixBlocks; // prefix blocks of the prompt
    std::size_t promptTokens = 0;
    bool localOnly = false;                       // arrived from another instance: no second hop
    std::set<core::UpstreamId> excludedUpstreams; // tried before
    std::set<core::DomainId> excludedDomains;     // tried before
};

/// One candidate with its score; lower is better.
struct ScoredCandidate
{
    core::UpstreamId upstream; // empty for another domain
    core::DomainId domain;
    core::RegionId region;
    core::Duration timeToFirstToken{}; // predicted
    core::Duration predictedWait{};    // predicted wait for a slot
    double price = 0;
    double score = 0;
    bool prefixCached = false; // part of the prompt is expected in its cache
};

/// Why the chosen one was chosen, in one word for the log.
enum class SelectionReason {
    OnlyCandidate,
    BestScore,
    WarmPrefix,
    LocalPreferred,      // another domain scored better, but not clearly
    RemoteClearlyBetter, // another domain clearly pays
    Baseline,            // a baseline router
};

[[nodiscard]] std::string_view toString(SelectionReason reason);

/// A choice and the runner-up.
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
    std::size_t randomSampleSize = 3;     // candidates drawn at random
    std::size_t rendezvousSampleSize = 2; // candidates of the prefix
    std::size_t fullScanLimit = 6;        // up to so many candidates, all are looked at
    core::Duration regionRoundTrip = std::chrono::milliseconds(110);
    core::Duration domainRoundTrip = std::chrono::milliseconds(1);
    double prefillTokensPerSecond = 12'000;
    core::Duration typicalServiceTime = std::chrono::milliseconds(600);  // one request in a slot
    core::Duration latencyScale = std::chrono::milliseconds(250);        // first token that costs as much as one price unit
    core::Duration remoteLatencyMargin = std::chrono::milliseconds(150); // another region must beat the local one by this
    double remoteScoreRatio = 0.6;                                       // and by this factor in score
    double maxRemoteRatio = 0.5;                                         // of requests sent away, moving average
    core::Duration rampUpTime = std::chrono::seconds(20);                // a domain that came back is filled over this
};

//-----------------------------------------------------------------------------
// Routers
//-----------------------------------------------------------------------------

/// Predicted time to the first token at one upstream.
[[nodiscard]] ScoredCandidate scoreUpstream(const Upstream &upstream, const RoutingRequest &question, const RouterSettings &settings, core::TimePoint now);

/// The product's router.
class ScoredRouter
{
public:
    ScoredRouter(RouterSettings settings, std::uint64_t seed);
    [[nodiscard]] std::optional<RoutingDecision> choose(const RoutingRequest &question, const UpstreamTable &table, core::TimePoint now);

private:
    [[nodiscard]] std::vector<const Upstream *> sample(const std::vector<Upstream *> &all, const RoutingRequest &question);
    [[nodiscard]] std::optional<ScoredCandidate> bestRemote(const RoutingRequest &question, const UpstreamTable &table, core::TimePoint now);
    [[nodiscard]] bool remotePays(const ScoredCandidate &local, const ScoredCandidate &remote) const;
    void noteSent(bool remote);

    RouterSettings m_settings;
    pcg32 m_random;
    double m_remoteShare = 0; // moving average of requests sent away
};

/// Baseline: each upstream of the own domain in turn.
class RoundRobinRouter
{
public:
    [[nodiscard]] std::optional<RoutingDecision> choose(const RoutingRequest &question, const UpstreamTable &table, core::TimePoint now);

private:
    std::uint64_t m_next = 0;
};

/// Baseline: the upstream of the own domain with the fewest of this instance's requests in flight.
class LeastInFlightRouter
{
public:
    [[nodiscard]] std::optional<RoutingDecision> choose(const RoutingRequest &question, const UpstreamTable &table, core::TimePoint now);
};

/// Baseline: scans every upstream and every domain and takes the best score, believing each report.
class ExhaustiveRouter
{
public:
    explicit ExhaustiveRouter(RouterSettings settings);
    [[nodiscard]] std::optional<RoutingDecision> choose(const RoutingRequest &question, const UpstreamTable &table, core::TimePoint now);

private:
    RouterSettings m_settings;
};

using Router = std::variant<ScoredRouter, RoundRobinRouter, LeastInFlightRouter, ExhaustiveRouter>;

/// Router by its name in the settings: scored, round_robin, least_in_flight, naive_exact.
[[nodiscard]] std::optional<Router> makeRouter(std::string_view name, RouterSettings settings, std::uint64_t seed);

/// Asks whichever router it is.
[[nodiscard]] std::optional<RoutingDecision> choose(Router &router, const RoutingRequest &question, const UpstreamTable &table, core::TimePoint now);

} // namespace arbutus::routing
