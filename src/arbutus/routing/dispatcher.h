// The one place of a region where a service's work waits, is placed and is refused.
//
// One member of each region holds this duty for a service (rendezvous over live members). The region's nodes ask it for a
// place before they send a request; it answers with an upstream, another region, a refusal, or that the request waits. All
// of it is soft state: nodes repeat their asks while they wait and report what they hold, so a new holder knows the load
// within a report period. A node that gets no answer asks a Dispatcher of its own, which knows only that node's work.
//
// No socket, thread or clock: asks and reports in, verdicts out.
//
// Load pattern that it answers: regions peak at different hours at 2.3 times their mean, prompts share 6,300 of 9,190
// tokens, and capacity differs threefold. Requests go where most of their prompt is cached until the wait there costs more
// than reading it again elsewhere; the backlog of an engine is kept short, so that an urgent request passes the ones that
// wait; what can still be on time goes before what cannot. Beyond an engine's capacity, prompts that are mostly cached go
// first, since several of them are served in the time of one that is not; what would be reached too late by the pace of the
// last second is refused at once.
//
// Sections:
//   Ask, Verdict   what is asked and answered
//   Outlook        what regions tell each other
//   Dispatcher     the queue and the placement
//
// Q: What happens to the knowledge of caches when the holder of the duty dies?
// A: It is lost. A subject (the shared parts of a prompt) that is not known to be cached anywhere therefore goes to the engine
//    that it falls to by hash, which every dispatcher finds alike: most likely it was read there before.
//
// Q: Why does work wait here and not at the engines?
// A: An engine starts reading whatever it admits, and what it reads cannot be overtaken. Here the order can change until
//    the last moment, and any engine that gets free can take the next.

#pragma once

#include "arbutus/catalog/catalog.h"
#include "arbutus/routing/upstreamestimator.h"
#include "arbutus/routing/upstreamregistry.h"

#include <deque>
#include <memory>
#include <variant>

namespace arbutus::routing {

//-----------------------------------------------------------------------------
// Ask, Verdict
//-----------------------------------------------------------------------------

/// A request that needs a place.
struct PlacementRequest
{
    PlacementId id;
    core::InstanceId requester; // the node that asks
    core::ServiceId service;
    int priority = 0;                     // 0 is first
    core::TimePoint latencyDeadline{};    // first event, or whole answer, by then is on time
    core::TimePoint responseDeadline{};   // a first event, or an answer, after that is worth nothing
    core::TimePoint completionDeadline{}; // nobody waits for the last event after that
    std::vector<PromptPart> prompt;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;               // expected
    bool allowOtherRegions = true;                // may be served in another region
    std::set<core::RegionId> allowedRegions;      // that may serve it; empty = all
    std::set<core::UpstreamId> excludedUpstreams; // tried before
    std::set<core::RegionId> excludedRegions;

    /// Memory that it takes beside parts that it shares with others.
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
    core::Duration predictedLatency{}; // to the first event, or to the whole answer of a plain upstream
    bool coldUpstream = false;
};
struct Queued
{
    core::Duration predictedWait{};
};
struct Redirected
{
    core::RegionId region;
    core::Duration predictedLatency{};
    core::Duration score{}; // predicted, with the cost of a slow stream; not sent to the asker
};
enum class RefusalReason {
    NoUpstream, // nothing in reach may serve it
    Overloaded, // it would not be served in time
};
struct Refused
{
    RefusalReason reason = RefusalReason::NoUpstream;
    core::Duration retryAfter{};
};
using PlacementDecision = std::variant<Granted, Queued, Redirected, Refused>;

/// A verdict on an ask that had to wait.
struct DeferredDecision
{
    PlacementId id;
    core::InstanceId requester;
    PlacementDecision decision;
};

/// Work that a node says it has at an upstream.
struct ReportedRequest
{
    PlacementId id;
    core::UpstreamId upstream;
    std::optional<core::Duration> timeToFirstEvent; // since it was sent, by the node's clock; nothing until it has come
    std::uint32_t memoryTokens = 0;
};

//-----------------------------------------------------------------------------
// Outlook
//-----------------------------------------------------------------------------

/// What one region tells the others of a service.
struct ServiceLoad
{
    core::ServiceId service;
    core::Duration queueDelay{};   // until a request's prompt would begin to be read
    double prefillTokensPerMs = 0; // prefill of all usable engines together; 0 for plain services
    std::uint32_t freeSlots = 0;
    std::uint32_t usableUpstreams = 0; // upstreams
    core::Duration serviceTime{};      // of a plain service
    double prefillUtilization = 0;     // of the engines' time, the least busy half
    double cacheMissRatio = 1;         // of long prompts' tokens that had to be read lately; the rest was cached
};

//-----------------------------------------------------------------------------
// Dispatcher
//-----------------------------------------------------------------------------

struct DispatcherSettings
{
    UpstreamEstimatorSettings estimator;

    //--- What an engine gets
    core::Duration maxBacklog = std::chrono::milliseconds(0);            // of one engine; what comes on top waits here
    core::Duration longPromptGap = std::chrono::milliseconds(25);        // between long prompts, so that streams beside them get steps of their own
    std::uint32_t longPromptTokens = 1'500;                              // uncached tokens from which a prompt counts as long
    double maxSlotUtilization = 0.94;                                    // of an engine's slots
    double maxMemoryUtilization = 0.95;                                  // of an engine's memory, for running requests and cached parts
    core::Duration takeoverColdDelay = std::chrono::milliseconds(1'000); // a new holder sends nothing to cold upstreams for so long

    //--- Choice of an upstream
    core::Duration affinityBonus = std::chrono::milliseconds(60); // by which the engine that a subject falls to by hash is preferred
    double prefillWeight = 1.4;                                   // time spent on reading counts so much: it delays others too
    double interferenceWeight = 0.4;                              // of the time by which reading delays each run beside it
    double decodeWeight = 0.2;                                    // of the time that the stream will take: steps are slow where prompts are read
    double failureRateThreshold = 0.3;                            // failure rate from which another choice is preferred

    //--- Other regions
    core::Duration regionRoundTrip = std::chrono::milliseconds(115);     // there and back, with one hop more
    core::Duration remoteLatencyMargin = std::chrono::milliseconds(150); // another region must be better by this
    core::Duration remoteScoreMargin = std::chrono::milliseconds(400);   // or by this, slow streams counted, if it is on time
    core::Duration maxRemoteLoadAge = std::chrono::milliseconds(1'500);  // older ones say nothing
    double cacheMissRatioWeight = 0.02;                                  // of one prompt in Outlook::readShare

    //--- Order of what waits
    core::Duration minQueueScanInterval = std::chrono::milliseconds(8); // waiting asks are gone through at most so often
    std::size_t queueScanLimit = 48;                                    // of them that are looked at
    double mostlyCachedRatio = 0.5;                                     // from which a prompt counts as mostly cached

    //--- Refusals
    core::Duration placementRateTimeConstant = std::chrono::milliseconds(1'000); // over which the pace of placing is taken
    core::Duration placementRateMinBusyTime = std::chrono::milliseconds(600);    // work has waited for so long before the pace says anything
    core::Duration maxPredictedWait = std::chrono::seconds(60);                  // longest wait that is predicted
    core::Duration discoveryPeriod = std::chrono::milliseconds(2'000);           // after its start a dispatcher may not have heard of all upstreams
    core::Duration minRetryAfter = std::chrono::milliseconds(200);               // shortest advice to come back
    core::Duration maxRetryAfter = std::chrono::milliseconds(3'000);

    //--- Forgetting
    core::Duration reportTimeout = std::chrono::milliseconds(1'200);     // work and asks that nobody speaks of are forgotten
    core::Duration expiryCheckInterval = std::chrono::milliseconds(100); // they are looked for so often
};

/// What the dispatcher reads of its node's beliefs.
struct DispatcherView
{
    core::RegionId region;
    const std::map<core::DomainId, core::RegionId> &regionByDomain; // of every failure domain
    const UpstreamRegistry &registry;
    const catalog::CatalogPointer &catalog;
};

/// Queue and placement of one region.
class Dispatcher
{
public:
    Dispatcher(DispatcherSettings settings, DispatcherView view, core::TimePoint now);

    /// Asks for a place; asking again under the same id gives the same answer, or a better one.
    [[nodiscard]] PlacementDecision requestPlacement(const PlacementRequest &ask, core::TimePoint now);
    /// The holder no longer waits.
    void cancel(const PlacementId &id);
    /// Its first event came `took` after it was sent.
    void recordFirstEvent(const PlacementId &id, const core::UpstreamId &upstream, core::Duration took, core::TimePoint now);
    void recordCompletion(const PlacementId &id, const core::UpstreamId &upstream, SendOutcome ending, core::TimePoint now);
    /// All that a node holds.
    void recordInFlight(const core::InstanceId &holder, const std::vector<ReportedRequest> &holdings, core::TimePoint now);
    /// Places waiting asks after something has changed; call it at least every 20 ms while any wait.
    [[nodiscard]] std::vector<DeferredDecision> processQueue(core::TimePoint now);
    [[nodiscard]] std::size_t queueLength() const
    {
        return m_waiting.size();
    }

    [[nodiscard]] std::vector<ServiceLoad> serviceLoads(core::TimePoint now);
    void updateRemoteLoad(const core::RegionId &region, const ServiceLoad &outlook, core::TimePoint now);
    /// Whether this node holds the duty, and which share of its members the region is known to have in reach (0 to 1).
    void setDispatcherRole(bool holds, double reach, core::TimePoint now);
    /// What is believed of each upstream, for the log.
    [[nodiscard]] const std::map<core::UpstreamId, UpstreamEstimator> &estimators() const
    {
        return m_models;
    }

private:
    /// An upstream of this region that takes work, with what is believed of it.
    struct Local
    {
        const RegistryEntry *entry = nullptr;
        UpstreamEstimator *model = nullptr;
        core::Duration reserved{}; // work of better asks that wait for it
    };
    struct Candidate
    {
        Local *local = nullptr;
        std::uint32_t uncachedTokens = 0;
        core::Duration predicted{};
        core::Duration score{};  // predicted, with what it costs others
        bool admissible = false; // its backlog, slots and memory allow one more now, and nobody better waits for it
        bool ends = true;        // its last event would come in time
    };
    struct Remote
    {
        ServiceLoad outlook;
        core::TimePoint at{};
        std::uint64_t sentTokens = 0; // since then
        std::uint32_t sent = 0;
    };
    struct WaitingAsk
    {
        PlacementRequest ask;
        core::TimePoint seenAt{};
        std::uint32_t needTokens = 0; // least that any engine would have to read for it
        core::Duration needTime{};    // least time to its first event
        [[nodiscard]] bool mostlyCached(double share) const
        {
            return needTokens <= static_cast<double>(ask.promptTokens) * (1 - share);
        }
    };
    /// How fast a service's waiting work is placed.
    struct Pace
    {
        double placed = 0; // tokens, or requests of a plain service, fading over paceMemory
        core::TimePoint at{};
        core::TimePoint busySince{}; // work has waited since then without a break
        double readShare = 1;
    };

    /// What came of an attempt to place an ask.
    struct Placing
    {
        std::optional<PlacementDecision> verdict; // nothing if the ask has to wait
        Local *waitsFor = nullptr;                // the upstream that is best for it
        std::uint32_t uncachedTokens = 0;
    };

    [[nodiscard]] UpstreamEstimator &modelOf(const RegistryEntry &entry);
    /// Upstreams of this region that take work of a service, read from the roster again after it has changed.
    [[nodiscard]] std::vector<Local> &localsOf(const core::ServiceId &service);
    void readRoster();
    /// The best of this region: warm ones first, a cold one only where no warm one is admissible.
    [[nodiscard]] std::optional<Candidate> bestLocal(const PlacementRequest &ask, core::TimePoint now);
    /// Whether any upstream of this region may ever serve the ask, now or once it is sound again.
    [[nodiscard]] bool mightServe(const PlacementRequest &ask);
    /// Whether it is too early to say that nothing serves the ask.
    [[nodiscard]] bool mayStillHear(const PlacementRequest &ask, core::TimePoint now);
    [[nodiscard]] std::optional<Candidate> considered(const PlacementRequest &ask, Local &local, core::TimePoint now) const;
    [[nodiscard]] std::optional<Redirected> bestRemote(const PlacementRequest &ask, core::TimePoint now);
    [[nodiscard]] core::Duration queueWait(const WaitingAsk &waiting, core::TimePoint now);
    [[nodiscard]] Placing place(const PlacementRequest &ask, core::TimePoint now);
    /// Places waiting asks, best first, into m_settled.
    void pump(core::TimePoint now);
    void clearReserved();
    /// A service of which nothing waits has no busy time any more.
    void endBusyTimes();
    [[nodiscard]] std::optional<PlacementDecision> repeatGrant(const PlacementId &id);
    [[nodiscard]] PlacementDecision grant(const PlacementRequest &ask, const Candidate &candidate, core::TimePoint now);
    [[nodiscard]] PlacementDecision leave(const PlacementRequest &ask, const Redirected &elsewhere);
    [[nodiscard]] Refused refuse(const PlacementRequest &ask, RefusalReason reason, core::Duration predicted, core::TimePoint now) const;
    [[nodiscard]] bool coldAllowed(const RegistryEntry &entry, core::TimePoint now);
    [[nodiscard]] bool before(const WaitingAsk &left, const WaitingAsk &right, core::TimePoint now) const;
    [[nodiscard]] WaitingAsk waitingOf(const PlacementRequest &ask, core::TimePoint now);
    void notePlaced(const PlacementRequest &ask, std::uint32_t uncachedTokens, core::TimePoint now);
    /// Work placed for each millisecond while some waits; what the engines could do where that is not known.
    [[nodiscard]] double paceOf(const core::ServiceId &service, core::TimePoint now);
    [[nodiscard]] core::Duration timeOf(double work, double pace) const;
    /// What an ask counts in a pace.
    [[nodiscard]] static double workOf(const WaitingAsk &waiting)
    {
        return waiting.ask.promptTokens == 0 ? 1 : static_cast<double>(waiting.needTokens);
    }

    DispatcherSettings m_settings;
    DispatcherView m_view;
    std::map<core::UpstreamId, UpstreamEstimator> m_models;
    std::map<core::UpstreamId, StartTime> m_lives; // the life that each model is of
    std::map<core::ServiceId, std::vector<Local>> m_locals;
    std::optional<std::uint64_t> m_rosterVersion; // that m_locals was read from
    const catalog::Catalog *m_catalogRead = nullptr;
    core::TimePoint m_forgotAt{};
    std::map<PlacementId, WaitingAsk> m_waiting;
    std::map<PlacementId, Granted> m_placed; // granted and not finished
    std::vector<DeferredDecision> m_settled; // verdicts to hand out
    core::TimePoint m_pumpedAt{};
    std::map<core::ServiceId, Pace> m_paces;
    std::map<core::RegionId, std::map<core::ServiceId, Remote>> m_remotes;
    std::map<core::UpstreamId, core::TimePoint> m_coldNext; // when a cold upstream may get one more
    bool m_holds = false;
    double m_reach = 1;
    core::TimePoint m_holdsSince{};
    core::TimePoint m_startedAt{};
};

} // namespace arbutus::routing
