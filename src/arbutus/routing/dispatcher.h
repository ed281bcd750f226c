// Regional dispatcher: queues, places and refuses the requests of a service.
//
// In each region one member is the dispatcher of a service, chosen by rendezvous hashing over the live members. The nodes
// of the region request a placement before they send a request; the dispatcher answers with an upstream, a redirect to
// another region, a refusal, or that the request is queued. All of its state is soft: nodes repeat the placement request
// while they wait and report their requests in flight, so a new dispatcher knows the load within one report period. A node
// that gets no answer uses a local Dispatcher, which knows only that node's requests.
//
// A service consists of model engines, or it is plain: its requests have no prompt, and its upstreams no prefix cache.
//
// No sockets, threads or clock: the caller passes in requests, reports and the current time, and gets decisions back.
//
// Expected load: regions peak at different hours at 2.3 times their mean, prompts share 6,300 of 9,190 tokens, and capacity
// differs by a factor of three. Requests go where most of their prompt is cached until the wait there costs more than a
// prefill elsewhere. Each engine's backlog is kept short, so that an urgent request can overtake queued ones.
//
// The order of the queue is in queueorder.h, the rate at which it is served in placementrate.h, and what is told to those that are
// refused in refusal.h; each names the load that it is for. The source is in three files: dispatcher.cpp has requests, grants and the
// queue, dispatchercandidates.cpp the upstreams of the region, dispatcherregions.cpp the other regions.
//
// Sections:
//   Requests and decisions
//   Region load              load reports exchanged between regions
//   Dispatcher               queue and placement
//
// Q: What if an instance has lost its path to an upstream?
// A: It names the upstream in its placement requests, and in its reports. It gets another upstream, or is redirected to a relay: an
//    instance of the region that has a path. An upstream that no instance of the region reaches is not used, and not told to other
//    regions. Failed connections say nothing about the upstream's health.
//
// Q: What happens to the knowledge about caches when the dispatcher fails?
// A: It is lost. A shared prompt prefix that is not known to be cached anywhere therefore goes to an engine picked by
//    rendezvous hashing. Every dispatcher picks the same one, so the prefix is most likely cached there already.
//
// Q: How is the request rate that an upstream names kept, although several instances send to it?
// A: Only the dispatcher grants placements there, at that rate. A new dispatcher starts with half of it, because the one before
//    may still be at work for a moment, and one that reaches only part of its region takes that part of the rate.
//
// Q: The configuration changes while a request waits. By which one is it placed?
// A: By the newer of the requester's, whose version and route the request states, and this instance's. A request that the newer one
//    does not allow at its service is refused as outdated, and its requester places it anew. A requester of an older release states no
//    route; what it asks for holds.
//
// Q: Why do requests wait here and not at the engines?
// A: An engine starts the prefill of whatever it admits, and a started prefill cannot be overtaken. Here the order can
//    change until a request is sent, and any engine with free capacity can take the next one.

#pragma once

#include "arbutus/catalog/catalog.h"
#include "arbutus/limits/tokenbucket.h"
#include "arbutus/routing/costpolicy.h"
#include "arbutus/routing/crashcause.h"
#include "arbutus/routing/placementrate.h"
#include "arbutus/routing/queueorder.h"
#include "arbutus/routing/refusal.h"
#include "arbutus/routing/streamrecords.h"
#include "arbutus/routing/upstreamregistry.h"

#include <deque>
#include <memory>
#include <variant>

namespace arbutus::routing {

//-----------------------------------------------------------------------------
// Requests and decisions
//-----------------------------------------------------------------------------

/// A request for a placement.
struct PlacementRequest
{
    PlacementId id;
    core::InstanceId requester; // node that requests the placement
    core::ServiceId service;
    int priority = 0;                     // 0 is most urgent
    core::TimePoint latencyDeadline{};    // on time if the first event, or the whole response, arrives by then
    core::TimePoint responseDeadline{};   // a first event, or a response, is useless after that
    core::TimePoint completionDeadline{}; // the client does not wait for the last event after that
    std::vector<PromptPart> prompt;
    RequestFingerprint fingerprint;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;               // expected
    bool allowOtherRegions = true;                // may be redirected to another region or to a relay
    std::set<core::RegionId> allowedRegions;      // regions that may serve it; empty = all
    std::set<core::UpstreamId> excludedUpstreams; // already tried
    std::set<core::RegionId> excludedRegions;
    std::set<core::UpstreamId> unreachableUpstreams; // that the requester has no path to
    std::set<core::InstanceId> excludedRelays;       // that did not execute the request
    std::optional<SoftwareVersion> requiredVersion;  // of a stream that has begun: no upstream of another version may serve it
    core::WorkspaceId workspace;                     // of the client; empty: none
    std::uint32_t quotaUnits = 0;                    // that the request costs its workspace, once; 0: they have been spent, or there is no quota
    catalog::RouteId route;                          // that service and regions are from; empty: a requester of an older release
    catalog::CatalogVersion catalogVersion;          // of the requester, that the route is from

    /// Memory needed beyond prompt parts shared with other requests, in tokens.
    [[nodiscard]] std::uint32_t unsharedTokens() const
    {
        return (prompt.empty() ? promptTokens : prompt.back().tokens) + outputTokens;
    }
};

struct Granted
{
    core::UpstreamId upstream;
    std::string address;
    std::uint32_t uncachedTokens = 0;
    core::Duration predictedLatency{}; // to the first event, or to the whole response of a plain upstream
    bool coldUpstream = false;
    SoftwareVersion version;                 // of the upstream's software
    std::optional<StartTime> startTime = {}; // of the upstream's run; empty: not known
};
struct Queued
{
    core::Duration predictedWait{};
};
struct Redirected
{
    core::RegionId region;
    core::Duration predictedLatency{};
    core::Duration score{};      // predicted latency plus the cost of a slow stream; not sent to the requester
    core::InstanceId relay = {}; // instance of the requester's own region that sends the request; empty: any of another region
};
using PlacementDecision = std::variant<Granted, Queued, Redirected, Refused>;

/// Decision on a request that was queued.
struct DeferredDecision
{
    PlacementId id;
    core::InstanceId requester;
    PlacementDecision decision;
};

/// A request in flight at an upstream, as reported by a node.
struct ReportedRequest
{
    PlacementId id;
    core::UpstreamId upstream;
    std::optional<core::Duration> timeToFirstEvent; // since it was sent, by the node's clock; empty until it has arrived
    std::uint32_t memoryTokens = 0;
    std::optional<StreamRecord> stream; // that has begun, if it may be resumed
};

/// An instance of the region that may send requests for others.
struct RelayCandidate
{
    core::InstanceId id;
    core::DomainId domain;
    double capacity = 1;
};

//-----------------------------------------------------------------------------
// Region load
//-----------------------------------------------------------------------------

/// Usable upstreams of one software version.
struct VersionLoad
{
    SoftwareVersion version;
    std::uint32_t usableUpstreams = 0;
    core::Duration queueDelay{}; // as in ServiceLoad

    bool operator==(const VersionLoad &) const = default;
};

/// Load of a service in one region, as reported to the other regions.
struct ServiceLoad
{
    core::ServiceId service;
    core::Duration queueDelay{};   // until the prefill of a new request would start
    double prefillTokensPerMs = 0; // combined rate of all usable engines; 0 for plain services
    std::uint32_t freeSlots = 0;
    std::uint32_t usableUpstreams = 0;
    core::Duration serviceTime{};  // of a plain service
    double prefillUtilization = 0; // share of engine time spent on prefill, mean over the least busy half
    double cacheMissRatio = 1;     // recent share of long prompts' tokens that were not cached
    std::vector<VersionLoad> versions;
};

//-----------------------------------------------------------------------------
// Dispatcher
//-----------------------------------------------------------------------------

/// Which of the queued requests go first, and which are refused.
enum class QueueOrderKind {
    Urgency, // see queueorder.h
    Cost,    // see costpolicy.h
};

struct DispatcherSettings
{
    UpstreamEstimatorSettings estimator;

    //--- Engine admission
    core::Duration maxBacklog = std::chrono::milliseconds(0);            // per engine; further requests stay queued here
    core::Duration longPromptGap = std::chrono::milliseconds(25);        // between long prefills, so that concurrent streams get decode steps of their own
    std::uint32_t longPromptTokens = 1'500;                              // prompts with at least this many uncached tokens count as long
    double maxSlotUtilization = 0.94;                                    // share of an engine's slots in use
    double maxMemoryUtilization = 0.95;                                  // share of an engine's memory for running requests and cached parts
    core::Duration takeoverColdDelay = std::chrono::milliseconds(1'000); // a new dispatcher does not use cold upstreams for this long

    //--- Upstreams that name a request rate
    double limitedBurstTime = 0.1;                                        // seconds of the rate that may be granted at once
    double takeoverRateFactor = 0.5;                                      // share of the rate that a new dispatcher uses at first
    core::Duration takeoverRatePeriod = std::chrono::milliseconds(4'000); // for this long

    //--- Upstream selection
    core::Duration affinityBonus = std::chrono::milliseconds(60); // score bonus for the engine that a shared prefix is hashed to
    double prefillWeight = 1.4;                                   // factor on prefill time, above 1 because prefill delays other requests too
    double interferenceWeight = 0.4;                              // weight of the delay that prefill causes to each request in flight
    double decodeWeight = 0.2;                                    // weight of the predicted stream duration: decode steps are slow during prefills
    double failureRateThreshold = 0.3;                            // from this failure rate on another region is preferred

    //--- Other regions
    core::Duration regionRoundTrip = std::chrono::milliseconds(115);     // including the additional hop
    core::Duration remoteLatencyMargin = std::chrono::milliseconds(150); // another region must be faster by this
    core::Duration remoteScoreMargin = std::chrono::milliseconds(400);   // or better by this in score, if it meets the latency deadline
    core::Duration maxRemoteLoadAge = std::chrono::milliseconds(1'500);  // older load reports are ignored

    //--- Relays
    core::Duration relayOverhead = std::chrono::milliseconds(4);         // of the way through another instance of the region
    core::Duration pathReportTimeout = std::chrono::milliseconds(1'200); // lost paths that are not reported again count as found

    //--- Queue order
    core::Duration minQueueScanInterval = std::chrono::milliseconds(8); // between scans of the queue
    std::size_t queueScanLimit = 48;                                    // queued requests considered for placement per scan
    QueueOrderKind queueOrder = QueueOrderKind::Urgency;
    UrgencyOrderSettings urgencyOrder;
    CostPolicySettings costPolicy;

    //--- Refusals
    PlacementRateSettings placementRate;
    RefusalSettings refusal;
    core::Duration discoveryPeriod = std::chrono::milliseconds(2'000); // after its start a dispatcher may not know all upstreams yet

    //--- Expiry
    core::Duration reportTimeout = std::chrono::milliseconds(1'200);     // requests in flight or queued that are not reported again expire
    core::Duration expiryCheckInterval = std::chrono::milliseconds(100); // between checks for expired requests
};

/// The parts of the node's state that the dispatcher reads.
struct DispatcherView
{
    core::RegionId region;
    const std::map<core::DomainId, core::RegionId> &regionByDomain; // for every failure domain
    const UpstreamRegistry &registry;
    const catalog::CatalogPointer &catalog;
};

/// Queue and placement for one region.
class Dispatcher
{
public:
    Dispatcher(DispatcherSettings settings, DispatcherView view, core::TimePoint now);

    /// Requests a placement. Repeating a request under the same id returns its grant again, or the current state of a queued one.
    [[nodiscard]] PlacementDecision requestPlacement(const PlacementRequest &request, core::TimePoint now);
    /// Drops a queued request that its node no longer waits for.
    void cancel(const PlacementId &id);
    /// The first event arrived `latency` after the request was sent.
    void recordFirstEvent(const PlacementId &id, const core::UpstreamId &upstream, core::Duration latency, core::TimePoint now);
    void recordCompletion(const PlacementId &id, const core::UpstreamId &upstream, SendOutcome outcome, core::TimePoint now, const StreamTiming &timing = {});
    /// Takes a node's report of all its requests in flight.
    void recordInFlight(const core::InstanceId &sender, const std::vector<ReportedRequest> &requests, core::TimePoint now);
    /// Places queued requests after a change; call it at least every 20 ms while any are queued.
    [[nodiscard]] std::vector<DeferredDecision> processQueue(core::TimePoint now);
    [[nodiscard]] std::size_t queueLength() const
    {
        return m_queue.size();
    }

    /// Sets the live instances of the region, including this one.
    void setInstances(std::vector<RelayCandidate> instances);
    /// Takes an instance's report of all upstreams that it has no path to.
    void recordUnreachable(const core::InstanceId &instance, const std::set<core::UpstreamId> &upstreams, core::TimePoint now);
    /// Upstreams that some instance of the region has no path to.
    [[nodiscard]] std::set<core::UpstreamId> unreachableUpstreams(core::TimePoint now) const;

    [[nodiscard]] std::vector<ServiceLoad> serviceLoads(core::TimePoint now);
    void updateRemoteLoad(const core::RegionId &region, const ServiceLoad &load, core::TimePoint now);
    /// Sets the rate of requests, per second, that an upstream takes from all nodes together; empty: no limit.
    void setMaxRequestRate(const core::UpstreamId &upstream, std::optional<double> maxRequestRate, core::TimePoint now);
    /// Whether this node is the dispatcher, and the ratio of the region's members known to be reachable (0 to 1).
    void setDispatcherRole(bool hasRole, double reachableRatio, core::TimePoint now);
    /// What the engines can do, as learned here or reported by other instances.
    [[nodiscard]] EngineProfiles &engineProfiles()
    {
        return m_engineProfiles;
    }
    /// Estimator of each upstream, for the log.
    [[nodiscard]] const std::map<core::UpstreamId, UpstreamEstimator> &estimators() const
    {
        return m_estimators;
    }

private:
    /// An eligible upstream of this region with its estimator.
    struct LocalUpstream
    {
        const RegistryEntry *entry = nullptr;
        UpstreamEstimator *estimator = nullptr;
        limits::TokenBucket *rateLimit = nullptr; // one token for each request; null: the upstream names no rate
        core::Duration reservedTime{};            // time reserved for queued requests of higher precedence
    };
    struct Candidate
    {
        LocalUpstream *upstream = nullptr;
        std::uint32_t uncachedTokens = 0;
        core::Duration predictedLatency{};
        core::Duration score{};                // predicted latency plus the cost to other requests
        bool admissible = false;               // backlog, slots and memory allow one more, and no request of higher precedence waits for it
        bool meetsCompletionDeadline = true;   // the last event would arrive before the completion deadline
        const RelayCandidate *relay = nullptr; // sends the request; null: the requester does
    };
    struct RemoteRegion
    {
        ServiceLoad load;
        core::TimePoint updatedAt{};
        std::uint64_t redirectedTokens = 0;   // since `updatedAt`
        std::uint32_t redirectedRequests = 0; // since `updatedAt`
    };
    struct QueuedRequest
    {
        PlacementRequest request;
        core::TimePoint lastRequestedAt{};
        QueueEntry entry;
        core::Duration predictedWait{}; // at the last scan of the queue
        RoomFacts room;                 // that it takes at the upstream that has most of its prompt cached; with QueueOrderKind::Cost
        CostAdmission cost;             // with QueueOrderKind::Cost
    };
    /// Result of an attempt to place a request.
    struct PlacementAttempt
    {
        std::optional<PlacementDecision> decision;  // empty if the request has to wait
        LocalUpstream *preferredUpstream = nullptr; // best upstream for the request
        std::uint32_t uncachedTokens = 0;
    };

    /// Whether this instance's configuration is newer than the one that the request states.
    [[nodiscard]] bool hasNewerCatalog(const PlacementRequest &request) const;
    /// What the newer of the two configurations says about a send of the request in `region`.
    [[nodiscard]] catalog::SendPermission checkSend(const PlacementRequest &request, const core::RegionId &region) const;
    /// Whether the request must not go to its service in any region.
    [[nodiscard]] bool isOutdated(const PlacementRequest &request) const;
    /// Whether the request may go to `region`, which is not excluded either.
    [[nodiscard]] bool allowsRegion(const PlacementRequest &request, const core::RegionId &region) const;
    [[nodiscard]] UpstreamEstimator &estimatorFor(const RegistryEntry &entry);
    /// Eligible upstreams of a service in this region; the list is rebuilt when the registry or the catalog has changed.
    [[nodiscard]] std::vector<LocalUpstream> &localUpstreamsOf(const core::ServiceId &service);
    void refreshLocalUpstreams();
    /// Which upstreams are considered for a request.
    enum class Way {
        Direct,   // the requester has a path to the upstream
        ViaRelay, // it has none, but another instance of the region has one
    };
    /// Best upstream of this region; a cold one only if no warm one is admissible.
    [[nodiscard]] std::optional<Candidate> bestLocal(const PlacementRequest &request, Way way, core::TimePoint now);
    [[nodiscard]] bool hasPath(const core::InstanceId &instance, const core::UpstreamId &upstream, core::TimePoint now) const;
    /// Whether any live instance of the region has a path to the upstream.
    [[nodiscard]] bool isReachable(const core::UpstreamId &upstream, core::TimePoint now) const;
    [[nodiscard]] bool isReachable(const PlacementRequest &request, const core::UpstreamId &upstream, Way way, core::TimePoint now) const;
    [[nodiscard]] bool mayRelay(const RelayCandidate &instance, const PlacementRequest &request, const core::UpstreamId &upstream, core::TimePoint now) const;
    /// The least busy instance that has a path to the upstream, in the requester's failure domain if there is one.
    [[nodiscard]] const RelayCandidate *pickRelay(const PlacementRequest &request, const core::UpstreamId &upstream, core::TimePoint now) const;
    /// Whether any upstream of this region could serve the request, now or after it has recovered.
    [[nodiscard]] bool hasPotentialUpstream(const PlacementRequest &request, core::TimePoint now);
    /// Whether any region has an upstream of the required version that may get requests.
    [[nodiscard]] bool isVersionGone(const PlacementRequest &request) const;
    /// Whether an upstream that could continue the request's stream has appeared in another region so recently that the region's load
    /// report may lack it. Other requests are refused: their clients come back, while a refused stream is cut.
    [[nodiscard]] bool hasAppearedElsewhere(const PlacementRequest &request, core::TimePoint now) const;
    /// Whether discovery is still under way, so that it is too early to refuse the request for lack of an upstream.
    [[nodiscard]] bool mayStillDiscoverUpstream(const PlacementRequest &request, core::TimePoint now);
    [[nodiscard]] std::optional<Candidate> evaluateCandidate(const PlacementRequest &request, LocalUpstream &upstream, core::TimePoint now) const;
    /// Requests that a redirected one finds in flight at its engine, on the average.
    [[nodiscard]] double meanRequestsBeside(const core::ServiceId &id, const RemoteRegion &remote) const;
    [[nodiscard]] std::optional<Redirected> bestRemoteRegion(const PlacementRequest &request, core::TimePoint now);
    [[nodiscard]] core::Duration predictQueueWait(const QueuedRequest &queued, core::TimePoint now);
    [[nodiscard]] QueueRates estimateQueueRates(const core::ServiceId &service, core::TimePoint now);
    /// Wait of a request with `workAhead` before it, which new requests overtake once it has missed its latency deadline.
    [[nodiscard]] core::Duration predictWait(const QueuedRequest &queued, double workAhead, const QueueRates &rates, core::TimePoint now) const;
    [[nodiscard]] PlacementAttempt tryPlace(const PlacementRequest &request, core::TimePoint now);
    /// Places queued requests in order of precedence and appends the results to m_deferredDecisions.
    void scanQueue(core::TimePoint now);
    void scanByUrgency(core::TimePoint now);
    void scanByCost(core::TimePoint now);
    /// Drops a queued request that its node no longer repeats, or that a newer configuration does not allow.
    [[nodiscard]] bool dropObsolete(const QueuedRequest &queued, core::TimePoint now);
    /// Places a queued request, or reserves the best upstream for it against requests of lower precedence. Returns whether it was decided on.
    [[nodiscard]] bool placeOrReserve(const QueuedRequest &queued, core::TimePoint now);
    /// Decision on a new request; without one it is queued.
    [[nodiscard]] std::optional<PlacementDecision> decideAtOnce(const PlacementRequest &request, core::TimePoint now);
    [[nodiscard]] static CostFacts makeCostFacts(const PlacementRequest &request, const QueueEntry &entry, const RoomFacts &room);
    [[nodiscard]] RoomFacts
    roomAt(const PlacementRequest &request, const UpstreamEstimator &estimator, std::uint32_t uncachedTokens, core::TimePoint now) const;
    void clearReservations();
    /// Ends the busy periods of services without queued requests.
    void endBusyPeriods();
    [[nodiscard]] std::optional<Granted> findGrant(const PlacementId &id);
    [[nodiscard]] PlacementDecision grant(const PlacementRequest &request, const Candidate &candidate, core::TimePoint now);
    [[nodiscard]] PlacementDecision redirect(const PlacementRequest &request, const Redirected &redirected);
    [[nodiscard]] Refused refuse(const PlacementRequest &request, RefusalReason reason, core::Duration predictedWait, core::TimePoint now) const;
    /// Work units that an upstream can take per millisecond.
    [[nodiscard]] double workCapacity(const LocalUpstream &upstream, double meanWork) const;
    /// The same for all usable upstreams of a service together.
    [[nodiscard]] double workCapacity(const core::ServiceId &service, core::TimePoint now);
    /// Applies this node's share of the rates that upstreams name.
    void updateRateLimits(core::TimePoint now);
    [[nodiscard]] bool mayUseColdUpstream(const RegistryEntry &entry, core::TimePoint now);
    [[nodiscard]] bool hasPrecedence(const QueuedRequest &left, const QueuedRequest &right, core::TimePoint now) const;
    [[nodiscard]] QueuedRequest makeQueuedRequest(const PlacementRequest &request, core::TimePoint now);
    void recordPlacement(const PlacementRequest &request, std::uint32_t uncachedTokens, core::TimePoint now);
    /// Work of a request: uncached tokens, or 1 for a plain service.
    [[nodiscard]] static double workUnits(const PlacementRequest &request, std::uint32_t uncachedTokens)
    {
        return request.promptTokens == 0 ? 1 : static_cast<double>(uncachedTokens);
    }

    DispatcherSettings m_settings;
    DispatcherView m_view;
    EngineProfiles m_engineProfiles;
    std::map<core::UpstreamId, UpstreamEstimator> m_estimators;
    std::map<core::UpstreamId, StartTime> m_startTimes; // start time of the upstream that each estimator describes
    std::map<core::ServiceId, std::vector<LocalUpstream>> m_localUpstreams;
    std::optional<std::uint64_t> m_registryVersion;     // registry version that m_localUpstreams was built from
    const catalog::Catalog *m_indexedCatalog = nullptr; // catalog that m_localUpstreams was built from
    core::TimePoint m_lastExpiryCheck{};
    std::map<PlacementId, QueuedRequest> m_queue;
    std::map<PlacementId, Granted> m_grants;           // granted and not completed
    std::vector<DeferredDecision> m_deferredDecisions; // to be returned by processQueue()
    core::TimePoint m_lastQueueScan{};
    UrgencyOrder m_urgencyOrder;
    PlacementRates m_placementRates;
    RefusalPolicy m_refusals;
    CostPolicy m_costPolicy;
    std::map<core::RegionId, std::map<core::ServiceId, RemoteRegion>> m_remoteRegions;
    struct RateLimit
    {
        double maxRequestRate = 0; // as named by the upstream
        limits::TokenBucket bucket;
    };
    std::map<core::UpstreamId, RateLimit> m_rateLimits;
    std::map<core::UpstreamId, core::TimePoint> m_nextColdGrant; // earliest time of the next grant to a cold upstream
    struct UnreachableReport
    {
        std::set<core::UpstreamId> upstreams;
        core::TimePoint at{};
    };
    std::map<core::InstanceId, UnreachableReport> m_unreachable; // by instance; without those that reach all
    std::vector<RelayCandidate> m_instances;                     // live ones of the region
    bool m_hasDispatcherRole = false;
    double m_reachableRatio = 1;
    core::TimePoint m_dispatcherRoleSince{};
    core::TimePoint m_startedAt{};
};

} // namespace arbutus::routing
