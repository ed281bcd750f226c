// Obtains a placement for each request from the region's dispatcher, which may be this instance.
//
// A placement request is sent as a datagram to the first member of the region's dispatcher ranking and is resent while it is
// queued, so a lost datagram or a change of dispatcher needs no protocol of its own. A dispatcher that does not reply is
// skipped for a while (routing/dispatcherwatch.h). If none replies, this instance decides alone from what it knows of its own in-flight requests.
//
// Q: How does a dispatcher learn which requests are in flight at which upstream?
// A: Every instance reports its in-flight requests a few times a second, and reports each first event and completion at once.

#pragma once

#include "arbutus/edge/fleet.h"
#include "arbutus/edge/metadatacache.h"
#include "arbutus/edge/pathmonitor.h"
#include "arbutus/edge/quotaservice.h"
#include "arbutus/routing/dispatcherwatch.h"
#include "arbutus/routing/upstreamnotices.h"
#include "arbutus/routing/upstreamrests.h"

#include <memory>

namespace arbutus::edge {

struct PlacementServiceSettings
{
    routing::DispatcherWatchSettings dispatcherWatch;
    std::chrono::milliseconds resendInterval{300};          // of a queued request; a request takes up to 1 kB, and hundreds may be queued
    std::chrono::milliseconds dispatchInterval{20};         // at which the local dispatcher processes its queue
    std::chrono::milliseconds placementReportInterval{300}; // of reports of all in-flight requests
    std::chrono::milliseconds regionStateInterval{250};     // of sending the region's state to other instances
    core::Duration logInterval = std::chrono::seconds(1);   // of the dispatcher's state log
    std::size_t maxInFlightPerDatagram = 30;
    std::size_t notifiedDispatchersPerRegion = 2; // the second in the ranking has current data if it takes over
    std::size_t engineProfilesPerDatagram = 6;    // of the region's engines, in turn, to those that may become its dispatcher
};

/// Signals that the client disconnected, which ends the wait for a placement.
struct CancellationToken
{
    bool cancelled = false;
    std::function<bool()> isOutdated; // set by the waiting coroutine: whether the configuration says something else about the request now
    std::function<void()> onCancel;   // set by the waiting coroutine
    void cancel()
    {
        cancelled = true;
        if (const auto callback = std::exchange(onCancel, nullptr)) {
            callback();
        }
    }
};

class PlacementService
{
public:
    PlacementService(InstanceContext &context, Fleet &fleet, MetadataCache &metadataCache, PathMonitor &paths, PlacementServiceSettings settings = {});

    void start();
    /// Returns a granted placement, a redirect to another region or a refusal. Cancelling the token ends the wait with a refusal, and so does a
    /// configuration by which the request is outdated.
    boost::asio::awaitable<routing::PlacementDecision> place(routing::PlacementRequest &request, std::shared_ptr<CancellationToken> token);
    /// `stream` is the record of a stream that may be resumed.
    void recordFirstEvent(const routing::PlacementId &id, std::optional<routing::StreamRecord> stream);
    /// `timing` is that of the stream's events, if there were any.
    void recordCompletion(const routing::PlacementId &id, routing::SendOutcome outcome, const routing::StreamTiming &timing = {});
    /// Records what an upstream's response says about it; `maxRequestRate` is empty if the response names none.
    void recordResponse(const core::UpstreamId &upstream, std::optional<double> maxRequestRate, core::TimePoint requestSentAt);
    /// Records that a response says that its upstream is leaving. `knownRun` is the run that was known when the request was sent, `source`
    /// is "response", or the peer that passed the response on.
    void recordLeaving(const core::UpstreamId &upstream, std::optional<routing::StartTime> knownRun, std::string_view source);
    /// Whether a run of an upstream, or the upstream if its run is not known, must get no requests from this instance.
    [[nodiscard]] bool isLeaving(const core::UpstreamId &upstream, std::optional<routing::StartTime> run) const
    {
        return m_notices.isLeaving(upstream, run);
    }
    /// Records that an upstream wants no requests from this instance for a time. `knownRun` applies if this instance does not list it yet.
    void recordRest(const core::UpstreamId &upstream, std::optional<routing::StartTime> knownRun, core::Duration rest);
    /// Whether the upstream wants no requests from this instance now.
    [[nodiscard]] bool isResting(const core::UpstreamId &upstream) const;
    /// Handles a datagram about placements or region state.
    void handleMessage(const FleetMessage &message, const std::string &from);
    /// Ends waits that are outdated, sends the region state to other instances and processes the queue after a metadata change.
    void onMetadataChanged();
    /// Tells dispatchers which upstreams this instance has no path to, after a change.
    void onPathsChanged();
    /// Refuses requests that wait for a placement and were quarantined meanwhile.
    void refuseQuarantined();
    /// Refuses requests that wait for a placement and are outdated by the configuration that this instance has now.
    void refuseOutdated();
    [[nodiscard]] const routing::Dispatcher &dispatcher() const
    {
        return m_dispatcher;
    }

private:
    struct PendingPlacement
    {
        explicit PendingPlacement(const boost::asio::any_io_executor &executor)
            : timer(executor)
        {
        }
        std::optional<routing::PlacementDecision> decision;
        std::vector<routing::PromptPart> prompt;
        routing::RequestFingerprint fingerprint;
        std::shared_ptr<CancellationToken> token;
        core::InstanceId requestedFrom; // dispatcher that the request was last sent to
        boost::asio::steady_timer timer;
    };
    struct InFlightPlacement
    {
        core::UpstreamId upstream;
        core::TimePoint sentAt{};
        std::optional<core::Duration> timeToFirstEvent;
        std::uint32_t memoryTokens = 0;
        std::optional<routing::StreamRecord> stream; // see ReportedRequest
        core::Duration predictedLatency{};
    };

    boost::asio::awaitable<void> dispatchLoop();
    boost::asio::awaitable<void> reportLoop();
    boost::asio::awaitable<void> stateLoop();
    boost::asio::awaitable<void> waitForDecision(PendingPlacement &pending, core::TimePoint until);

    /// The region's dispatcher, or nothing if that is this instance or if every other candidate is skipped.
    [[nodiscard]] std::optional<membership::Member> remoteDispatcher();
    [[nodiscard]] bool isSkipped(const core::InstanceId &id) const;
    /// Sends the request and waits for the first reply, and after `Queued` for the decision. Skips the dispatcher if it is unresponsive.
    boost::asio::awaitable<void> askDispatcher(const membership::Member &dispatcher,
                                               const routing::PlacementRequest &request,
                                               PendingPlacement &pending,
                                               std::optional<routing::ReplyWait> &wait);
    [[nodiscard]] bool mayDecide() const
    {
        return !isCatchingUp || !isCatchingUp();
    }
    /// Decides on a request as its dispatcher, after its workspace's quota.
    [[nodiscard]] routing::PlacementDecision decide(const routing::PlacementRequest &request);
    /// Skips the dispatcher for a while. Requests that are pending there are sent to the next one at once.
    void skipUnresponsive(const core::InstanceId &id);
    /// Excludes the upstreams that rest for this instance, or that only it knows to be leaving, from the placement.
    void excludeWithheld(routing::PlacementRequest &request);
    /// Shortest rest that is left of the usable upstreams of a service; nothing if one of them does not rest, or if there are none.
    [[nodiscard]] std::optional<core::Duration> shortestRest(const core::ServiceId &service) const;
    void recordGrant(const routing::PlacementRequest &request, const routing::Granted &granted);
    /// Tells the dispatcher how a request ended at an upstream, and logs it if the upstream is ejected for that.
    void recordOutcome(const CompletedPlacement &completed, const core::InstanceId &reporter);
    void scheduleReport();
    /// Sends the report with the lost paths, which it replaces at the dispatchers.
    void sendReport(PlacementReport report);
    [[nodiscard]] std::vector<routing::UpstreamNotice> notices() const;
    void mergeNotices(const std::vector<routing::UpstreamNotice> &notices, const core::InstanceId &sender);
    /// Applies and logs a changed limit.
    void applyLimit(const core::UpstreamId &upstream, std::string_view source);
    /// Logs a new leaving and applies it.
    void applyLeaving(const core::UpstreamId &upstream, std::string_view source);
    /// Marks the run that the registry has as leaving if it is.
    void markIfLeaving(const core::UpstreamId &upstream);
    void expireLeavings();
    void deliverDecisions(std::vector<routing::DeferredDecision> decisions);
    void sendRegionState();
    void updateDispatcherRole();
    void logDispatchState();
    [[nodiscard]] RegionState buildRegionState();

    void handlePlacementRequest(const routing::PlacementRequest &request, const std::string &from);
    void handlePlacementReplies(const std::vector<PlacementReply> &replies, const core::InstanceId &sender);
    void handlePlacementReport(const PlacementReport &report, const core::InstanceId &sender);
    void handleRegionState(const RegionState &state, const core::InstanceId &sender, const core::RegionId &region, core::TimePoint arrivedAt);

    InstanceContext &m_context;
    Fleet &m_fleet;
    MetadataCache &m_metadataCache;
    PlacementServiceSettings m_settings;
    routing::Dispatcher m_dispatcher;
    PathMonitor &m_paths;
    QuotaService m_quota;
    std::map<routing::PlacementId, std::shared_ptr<PendingPlacement>> m_pending;
    std::map<routing::PlacementId, InFlightPlacement> m_inFlight;
    std::set<routing::PlacementId> m_unreportedFirstEvents;
    std::vector<CompletedPlacement> m_unreportedCompletions;
    routing::UpstreamNotices m_notices;
    routing::UpstreamRests m_rests;
    bool m_hasUnreportedNotice = false;
    bool m_hasUnreportedPaths = false;
    core::InstanceId m_lastDispatcher; // that this instance requested a placement from
    bool m_reportScheduled = false;
    bool m_isDispatcher = false;
    std::optional<std::uint64_t> m_relayMembersVersion; // of the members that the dispatcher knows as relays
    core::TimePoint m_stateLoggedAt{};
    routing::DispatcherWatch m_dispatcherWatch;
    std::map<core::InstanceId, std::string> m_requesterAddresses; // to which decisions on queued requests are sent
    std::map<std::pair<core::RegionId, core::ServiceId>, std::pair<routing::ServiceLoad, core::TimePoint>> m_remoteLoads; // of other regions

public:
    /// Returns whether a request, or a part of its prompt, is quarantined.
    std::function<bool(const std::vector<routing::PromptPart> &prompt, const routing::RequestFingerprint &fingerprint)> isQuarantined;
    /// Called for each stream that began in this region and may be resumed.
    std::function<void(const routing::StreamRecord &record)> onStreamBegan;
    /// Returns whether this instance reads the store in place of the instances that usually report to others.
    std::function<bool()> isSubstituteReader;
    /// Returns whether this instance is to decide nothing, because it has stood still and its metadata may be old.
    std::function<bool()> isCatchingUp;
    /// Called when a peer has newer metadata.
    std::function<void(const core::InstanceId &peer)> onNewerMetadata;
    /// Called for an upstream whose run in the registry this instance or a peer has observed to be leaving.
    std::function<void(const core::UpstreamId &upstream)> onUpstreamLeaving;
};

} // namespace arbutus::edge
