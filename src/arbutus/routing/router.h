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
struct Question
{
    core::ModelId model; // one of model and service is set
    core::ServiceId service;
    config::Weights weights;
    std::set<core::RegionId> residency; // regions allowed
    std::vector<std::uint64_t> blocks;  // prefix blocks of the prompt
    std::size_t promptTokens = 0;
    bool localOnly = false;                   // arrived from another instance: no second hop
    std::set<core::UpstreamId> excluded;      // tried before
    std::set<core::DomainId> excludedDomains; // tried before
};

/// One candidate with its score; lower is better.
struct Scored
{
    core::UpstreamId upstream; // empty for another domain
    core::DomainId domain;
    core::RegionId region;
    core::Duration firstToken{}; // predicted
    core::Duration wait{};       // predicted wait for a slot
    double price = 0;
    double score = 0;
    bool warm = false; // part of the prompt is expected in its cache
};

/// Why the chosen one was chosen, in one word for the log.
enum class Reason {
    OnlyCandidate,
    BestScore,
    WarmPrefix,
    LocalPreferred, // another domain scored better, but not clearly
    RemoteClear,    // another domain clearly pays
    Baseline,       // a baseline router
};

[[nodiscard]] std::string_view toString(Reason reason);

/// A choice and the runner-up.
struct Choice
{
    Scored chosen;
    std::optional<Scored> runnerUp;
    Reason reason = Reason::BestScore;
};

//-----------------------------------------------------------------------------
// Settings
//-----------------------------------------------------------------------------

struct RouterSettings
{
    std::size_t sampleRandom = 3;     // candidates drawn at random
    std::size_t sampleRendezvous = 2; // candidates of the prefix
    std::size_t scanAll = 6;          // up to so many candidates, all are looked at
    core::Duration regionRoundTrip = std::chrono::milliseconds(110);
    core::Duration domainRoundTrip = std::chrono::milliseconds(1);
    double prefillTokensPerSecond = 12'000;
    core::Duration typicalService = std::chrono::milliseconds(600); // one request in a slot
    core::Duration latencyScale = std::chrono::milliseconds(250);   // first token that costs as much as one price unit
    core::Duration remoteMargin = std::chrono::milliseconds(150);   // another region must beat the local one by this
    double remoteRatio = 0.6;                                       // and by this factor in score
    double remoteShareMost = 0.5;                                   // of requests sent away, moving average
    core::Duration rampLength = std::chrono::seconds(20);           // a domain that came back is filled over this
};

//-----------------------------------------------------------------------------
// Routers
//-----------------------------------------------------------------------------

/// Predicted time to the first token at one upstream.
[[nodiscard]] Scored predict(const Upstream &upstream, const Question &question, const RouterSettings &settings, core::TimePoint now);

/// The product's router.
class ScoredRouter
{
public:
    ScoredRouter(RouterSettings settings, std::uint64_t seed);
    [[nodiscard]] std::optional<Choice> choose(const Question &question, const UpstreamTable &table, core::TimePoint now);

private:
    [[nodiscard]] std::vector<const Upstream *> sample(const std::vector<Upstream *> &all, const Question &question);
    [[nodiscard]] std::optional<Scored> bestRemote(const Question &question, const UpstreamTable &table, core::TimePoint now);
    [[nodiscard]] bool remotePays(const Scored &local, const Scored &remote) const;
    void noteSent(bool remote);

    RouterSettings m_settings;
    pcg32 m_random;
    double m_remoteShare = 0; // moving average of requests sent away
};

/// Baseline: each upstream of the own domain in turn.
class RoundRobinRouter
{
public:
    [[nodiscard]] std::optional<Choice> choose(const Question &question, const UpstreamTable &table, core::TimePoint now);

private:
    std::uint64_t m_next = 0;
};

/// Baseline: the upstream of the own domain with the fewest of this instance's requests in flight.
class LeastInFlightRouter
{
public:
    [[nodiscard]] std::optional<Choice> choose(const Question &question, const UpstreamTable &table, core::TimePoint now);
};

/// Baseline: scans every upstream and every domain and takes the best score, believing each report.
class NaiveRouter
{
public:
    explicit NaiveRouter(RouterSettings settings);
    [[nodiscard]] std::optional<Choice> choose(const Question &question, const UpstreamTable &table, core::TimePoint now);

private:
    RouterSettings m_settings;
};

using Router = std::variant<ScoredRouter, RoundRobinRouter, LeastInFlightRouter, NaiveRouter>;

/// Router by its name in the settings: scored, round_robin, least_in_flight, naive_exact.
[[nodiscard]] std::optional<Router> makeRouter(std::string_view name, RouterSettings settings, std::uint64_t seed);

/// Asks whichever router it is.
[[nodiscard]] std::optional<Choice> choose(Router &router, const Question &question, const UpstreamTable &table, core::TimePoint now);

} // namespace arbutus::routing
