// Forwarding of client requests to upstreams, directly or through one other instance, with safe retries.
//
//   client -> this instance -> upstream in this region
//   client -> this instance -> instance in another region -> upstream in that region     (at most one hop)
//   client -> this instance -> relay in this region -> upstream in this region           if this instance has no path to the upstream
//
// The handling of a failure depends on how far the request got:
//   nothing sent, or the upstream states that it did not execute the request   retry at another upstream, or 503
//   sent, and the route is repeatable                                          retry at another upstream, within the retry budget
//   sent, and the route is not repeatable                                      502 or 504: the request may have been executed
//
// Non-streaming responses are buffered completely before the first byte is sent to the client, so that a truncated one can
// still be retried or reported as an error. Streams are relayed event by event. A broken stream is resumed at another
// upstream if the route allows it; otherwise the client's connection is aborted, so that the client can see that the stream
// is incomplete.
//
// Q: Upstreams of several software versions serve a route. May a stream change its upstream?
// A: Only to one of the version that wrote its first event. The version is known from the placement, or from the peer that relays the
//    stream, and each further placement requires it. When a client resumes a stream, StreamDirectory finds out at which service and
//    version it began. If that is unknown, or no upstream of the version is left, the request is refused at once.
//
// Q: How is the number of upstreams that may run a request kept, if an origin and its peers all send it?
// A: The origin grants each peer a number of executions, and counts them as made until the peer has reported how many it made.
//
// Q: An upstream says in a response that it is leaving. Which instances stop sending to it?
// A: Each one that passed the response on, from that moment, whether it is in touch with others or not: the one that sent the request,
//    and the origin, which the peer tells the upstream and its run. The dispatchers and instances of the region learn it by reports.
//
// Q: What if an upstream is silent?
// A: It may go on at any time, so its attempt is kept. If the request may be repeated, a replacement is sought meanwhile: a
//    placement at another upstream, within the retry budget. The silent attempt is cancelled only after the replacement has accepted
//    the request, or has had it for `maxOverlap`. Without a replacement, the silent attempt is waited for until the deadline.
//
// Q: What happens to requests while the instance shuts down?
// A: One that is not expected to end in time is refused as not executed, whether it is new, has an unfinished body or waits for a
//    placement; late in the grace period, one that is not sure to end in time (shutdownadmission.h). At the end, one that was sent gets status 504 and a stream
//    that has begun is cut, so that it does not look complete.
//
// Q: The configuration changes during a request. By which one does it go?
// A: What has been sent to an upstream may end. Each further send goes by the newest configuration known here: it is applied after the
//    body, before each placement and each search for a replacement, and again before the send; a wait for a placement ends if the
//    configuration says something else about the request. A peer does the same, and refuses what its own configuration does not allow.
//    Until the first send the request is as new: service, homes, kind, priority, number of executions and all times, counted from its
//    arrival, are the newest ones. After that, the deadlines stay, since upstreams and peers were told them; the number of executions is
//    the smallest of all; a route of another kind gets no further send. A service stays as long as the route leads to it. Otherwise it
//    is chosen as for a new request, unless events of the stream have arrived, or the origin has chosen it: then there is no further send.
//    A request whose route was there when it arrived is never answered with 404: that configuration may still be in force. In the same
//    way, one whose credential was known when it arrived is never answered with 401.
//
// Q: Who checks the credential of a request?
// A: The instance that receives the request, before the body is read, and after the route is known: without a workspace it is answered with
//    401. The credential goes to peers with the client's other headers; each checks it again by its own newest configuration, so that none
//    has to trust another one's older knowledge. A peer's refusal says that nothing was executed, and the origin goes on.
//    The workspace that an upstream is told is always that of the credential in the configuration that allows this send.
//
// Q: What if another instance has a newer configuration than this one?
// A: A request whose body would leave the region first waits for that configuration, for `maxCatalogWait`. Without it, the request stays in
//    the region. A request without a known route or with an unknown credential waits in the same way, and gets 503 instead of 404 or 401. So
//    does one with home regions, since the newer configuration may exclude this region or any other.
//
// Q: What if the client leaves, or the configuration changes, while this instance is busy or a connection is being opened?
// A: What is known by then decides: when the connection is there, and before the first byte is written, the client's socket is looked at
//    and the configuration, the quarantine and the upstream's state are checked again. Load pattern: at the peak of a burst the busiest
//    instance reads requests late, many of them after their clients have left.
//
// Q: How long does a client wait for a request that another instance has forwarded?
// A: The origin states how old the request is, so the deadlines for its first event are those of the client.

#pragma once

#include "arbutus/core/asyncevent.h"
#include "arbutus/edge/durationhistory.h"
#include "arbutus/edge/placementservice.h"
#include "arbutus/edge/quarantineservice.h"
#include "arbutus/edge/shutdownadmission.h"
#include "arbutus/edge/streamdirectory.h"
#include "arbutus/http/client.h"
#include "arbutus/http/server.h"
#include "arbutus/limits/bytebudget.h"
#include "arbutus/limits/sharedretrybudget.h"

#include <pcg_random.hpp>

namespace arbutus::edge {

struct ForwarderSettings
{
    std::chrono::milliseconds upstreamConnectTimeout{300}; // same region, round trip about 1 ms
    std::chrono::milliseconds peerConnectTimeout{600};     // other region, longer round trip
    std::chrono::milliseconds atMostOnceMaxIdleTime{700};  // pooled connections idle for longer are not used for at-most-once requests
    std::chrono::milliseconds repeatableMaxIdleTime{3'000};
    std::chrono::milliseconds peerMaxIdleTime{3'000};
    std::chrono::milliseconds minFirstByteTimeout{700};      // without a response head, an attempt of a repeatable request is silent after this time
    double firstByteTimeoutFactor = 3;                       // the time is this many times the predicted latency, if that is longer
    std::chrono::milliseconds streamIdleTimeout{1'600};      // without an event, an attempt of a resumable stream is silent after this time
    std::chrono::milliseconds peerSilenceMargin{1'000};      // added for a peer, which looks for a replacement itself first
    std::chrono::milliseconds replacementInterval{300};      // between two searches for a replacement of the same attempt
    std::chrono::milliseconds maxOverlap{150};               // time for which two upstreams may run the same request
    std::chrono::milliseconds maxPeerOverlap{300};           // the same if the second one is in another region; includes the way there and back
    std::chrono::milliseconds crossRegionOverhead{130};      // round trip to another region; half of it is subtracted from the deadline sent to the peer
    std::chrono::milliseconds relayOverhead{4};              // the same within the region
    std::chrono::milliseconds noCatalogRetryAfter{500};      // Retry-After while no configuration is loaded
    std::chrono::milliseconds maxCatalogWait{500};           // for a configuration that another instance is known to have
    std::chrono::seconds quarantineRetryAfter{60};           // Retry-After for a quarantined request or prompt part; only an operator lifts it sooner
    std::chrono::milliseconds noProofRetryAfter{1'000};      // Retry-After while withdrawn credentials may be unknown; as often as a proof arrives
    std::chrono::seconds noRegionRetryAfter{60};             // Retry-After for a request that no region may serve; only another configuration lets it run
    std::chrono::seconds versionGoneRetryAfter{60};          // Retry-After for a stream that no upstream can continue; longer than clients wait
    std::chrono::milliseconds versionUnknownRetryAfter{500}; // Retry-After for a stream whose record may still be found
    std::chrono::milliseconds shutdownRetryAfter{100};       // Retry-After of an instance that shuts down; another one may serve the request
    std::chrono::milliseconds deadlineMargin{30};            // the response is due this long before the client's own deadline
    std::size_t maxCrashedUpstreams = 2;                     // under one request; it is not sent to a further one
    std::size_t maxPlacements = 6;                           // per request, including rejected ones
    std::uint64_t maxBufferedBodyBytes = 8 * 1024 * 1024;    // of a response that is not streamed; many may be in memory at once
    std::size_t maxEventBytes = 1024 * 1024;                 // of one event of a stream
    std::chrono::milliseconds noMemoryRetryAfter{500};       // Retry-After while there is no memory for the body of a request

    // Clients abandon a stream if its first event does not arrive within the longest of these times.
    double abandonmentGapFactor = 8;                     // times the route's maximum event gap
    double abandonmentObjectiveFactor = 4;               // times the route's latency objective
    std::chrono::milliseconds minAbandonmentTime{2'000}; // independent of the route
    std::chrono::milliseconds abandonmentMargin{150};    // the first event is due this long before that time
};

class Forwarder
{
public:
    Forwarder(InstanceContext &context,
              Fleet &fleet,
              MetadataCache &metadataCache,
              PlacementService &placement,
              PathMonitor &paths,
              QuarantineService &quarantine,
              StreamDirectory &streamDirectory,
              std::uint64_t seed,
              ForwarderSettings settings = {});

    /// Handles a client's request.
    boost::asio::awaitable<void> handleRequest(http::Exchange &exchange);
    /// Handles a request forwarded by an instance in another region.
    boost::asio::awaitable<void> handleForwardedRequest(http::Exchange &exchange);
    /// Returns whether a request on the peer listener is a forwarded client request.
    [[nodiscard]] static bool isForwardedRequest(const http::Request &request);
    /// Begins a planned stop.
    void beginShutdown(const ShutdownTimes &times);
    /// Ends the requests that must end now, and those that wait and are not expected to end in time. Call this repeatedly during a stop.
    void endOverdueRequests();
    /// Closes pooled connections to the address of a removed upstream, because another upstream may reuse the address.
    void closeIdleConnections(const std::string &address);
    /// Ends waits for a newer configuration.
    void onCatalogChanged();
    /// Memory that the bodies of requests and responses take.
    [[nodiscard]] const std::shared_ptr<limits::ByteBudget> &bodies() const
    {
        return m_bodies;
    }

private:
    struct RequestState;
    struct Attempt;
    /// Result of one attempt.
    enum class SendResult {
        Finished,     // the response was sent, or the client has disconnected
        NotExecuted,  // the request was not executed and will not be
        Retryable,    // it may have been executed, and may be repeated
        NotRetryable, // it may have been executed, and must not be repeated
        Superseded,   // the attempt was silent, and another one continues the request
    };

    boost::asio::awaitable<bool> acceptRequest(RequestState &state);
    /// Finds out what the stream that the client resumes can go on at; answers the request and returns false if that is not known.
    boost::asio::awaitable<bool> findOrigin(RequestState &state);

    void setDeadlines(RequestState &state) const;

    //--- Configuration
    /// Applies the newest configuration to what has not been sent. Returns false, with the reason in the state, if it allows no send.
    [[nodiscard]] bool renewRoute(RequestState &state);
    /// Whether the newest configuration says something else about further sends than the one that was applied last.
    [[nodiscard]] bool isOutdated(const RequestState &state) const;
    /// How the newest configuration handles the request.
    [[nodiscard]] catalog::RequestMatch newestMatch(const RequestState &state) const;
    /// Whether the request has home regions and another instance is known to have a newer configuration, which may exclude any of them.
    [[nodiscard]] bool areHomesUncertain(const RequestState &state) const;
    /// Whether credentials must not be used, since the configuration is not proven to be fresh enough (ConfigurationProof).
    [[nodiscard]] bool isProofExpired() const;
    /// Whether no region is home of both the route and the workspace.
    [[nodiscard]] static bool hasNoRegion(const RequestState &state);
    /// Whether another instance is known to have a newer configuration, which may decide otherwise about a request that this one refuses, or
    /// may exclude a home region.
    [[nodiscard]] bool mayMatchNewer(const catalog::RequestMatch &match) const;
    /// Applies the newest configuration to a request that has arrived; answers it and returns false if it is not allowed.
    boost::asio::awaitable<bool> admitRequest(RequestState &state);
    /// Units of its quota that the request still costs its workspace.
    [[nodiscard]] static std::uint32_t quotaUnits(const RequestState &state);
    /// Whether headers about workspaces are the gateway's: the configuration lists workspaces, or a newer one may, since the request has a
    /// credential.
    [[nodiscard]] bool hasWorkspaces(const RequestState &state) const;
    /// Whether a further send to `region` is allowed; notes the reason in the state if it is not.
    [[nodiscard]] bool maySend(RequestState &state, const core::RegionId &region);
    void recordOutdated(RequestState &state, std::string_view reason);
    /// Waits until this instance has a newer configuration than the state, not longer than `until`; returns false if none arrives in time.
    boost::asio::awaitable<bool> waitForNewerCatalog(RequestState &state, core::TimePoint until);
    /// Whether a body must not leave the region because another instance has a newer configuration.
    [[nodiscard]] bool mustWaitForCatalog(const routing::PlacementDecision &decision) const;
    /// Records the version that another instance states in its headers, and fetches that configuration if it is newer.
    void noteCatalogVersion(const core::InstanceId &instance, const http::Headers &headers);

    //--- Shutdown
    /// Time that the request is expected to take from now on.
    [[nodiscard]] core::Duration expectedDuration(const RequestState &state) const;
    [[nodiscard]] UnsentRequest unsentRequest(const RequestState &state) const;
    /// Whether the request may still be sent, see mayBegin(); always true if the instance does not shut down.
    [[nodiscard]] bool canEndInTime(const RequestState &state) const;
    /// `time`, or the time at which the shutdown ends the request.
    [[nodiscard]] core::TimePoint limitByShutdown(const RequestState &state, core::TimePoint time) const;
    boost::asio::awaitable<void> refuseForShutdown(RequestState &state, std::string_view stage);
    /// Logs and counts a request that the shutdown refuses or ends.
    void recordShutdown(RequestState &state, std::string_view stage);
    /// Logs and counts an attempt that is sent during the shutdown.
    void recordLateSend(const RequestState &state, const Attempt &attempt);

    //--- Placement
    boost::asio::awaitable<void> placeAndSend(RequestState &state);
    [[nodiscard]] routing::PlacementRequest makePlacementRequest(RequestState &state);
    /// Excludes the upstreams that the request states to be unreachable, if it was placed at one again: a dispatcher of an older release does
    /// not read that field, and would place it there again.
    static void excludeUnreachable(RequestState &state, const routing::PlacementRequest &request, const routing::PlacementDecision &decision);
    [[nodiscard]] bool canRetry(RequestState &state);
    /// Whether the request must not be sent because it, or a part of its prompt, is quarantined; notes the cause in the state.
    [[nodiscard]] bool isQuarantined(RequestState &state);

    //--- Sending
    /// Sends the request; null if it must not be sent, or if there is nowhere to send it.
    [[nodiscard]] std::shared_ptr<Attempt> openAttempt(RequestState &state, const routing::PlacementDecision &decision);
    [[nodiscard]] std::shared_ptr<Attempt> openUpstreamAttempt(RequestState &state, const routing::Granted &granted);
    /// The latest run of the upstream that is known, here or to its dispatcher; nothing if neither knows one.
    [[nodiscard]] std::optional<routing::StartTime> latestRun(const core::UpstreamId &upstream, std::optional<routing::StartTime> knownRun) const;
    /// Why the upstream, or its run that was known at the placement, must get nothing from this instance; empty if it may.
    [[nodiscard]] std::string reasonToWithhold(const core::UpstreamId &upstream, std::optional<routing::StartTime> knownRun) const;
    /// Whether the attempt may be sent, now that its connection is there; notes in it why not.
    [[nodiscard]] bool maySendNow(RequestState &state, Attempt &attempt);
    /// Returns a placement that must not be used; the upstream is not used for this request again.
    void rejectPlacement(RequestState &state, const routing::Granted &granted, std::string reason);
    /// Executions that the next peer may make of those that are left.
    [[nodiscard]] static std::size_t executionsForPeer(const RequestState &state);
    [[nodiscard]] std::shared_ptr<Attempt> openPeerAttempt(RequestState &state, const routing::Redirected &redirected);
    void startAttempt(RequestState &state, const std::shared_ptr<Attempt> &attempt, http::CallOptions options);
    /// Waits for the response and relays it.
    boost::asio::awaitable<SendResult> finishAttempt(RequestState &state, std::shared_ptr<Attempt> attempt);
    /// Cancels an attempt that is not needed any more.
    boost::asio::awaitable<void> abandonAttempt(RequestState &state, std::shared_ptr<Attempt> attempt);
    [[nodiscard]] SendResult handleFailedStart(RequestState &state, Attempt &attempt);
    [[nodiscard]] std::optional<membership::Member> pickPeer(const routing::Redirected &redirected);
    [[nodiscard]] SendResult failedSendResult(const RequestState &state) const;
    /// Ends an attempt whose response is not whole, not the upstream's, or a failure.
    [[nodiscard]] SendResult recordFailedAttempt(RequestState &state, Attempt &attempt, routing::SendOutcome outcome, std::string reason) const;
    /// Excludes the target of the attempt from further placements of the request.
    static void exclude(RequestState &state, const Attempt &attempt);
    /// Whether the upstream's connection ended before the response was complete.
    [[nodiscard]] static bool isBroken(const Attempt &attempt);
    /// Has the path to the upstream probed if the attempt ended without a whole response. One on a lost path does not count against the upstream.
    void recordPath(Attempt &attempt);
    /// Tells the quarantine how the attempt ended, and counts breaks.
    void recordEvidence(RequestState &state, const Attempt &attempt);
    void logAttempt(const RequestState &state, const Attempt &attempt);

    //--- Silence
    /// Time until a replacement is sought if there is no progress; nothing if none ever is.
    [[nodiscard]] std::optional<core::Duration> timeUntilSilent(const RequestState &state, const Attempt &attempt) const;
    [[nodiscard]] bool isSilent(const RequestState &state, const Attempt &attempt) const;
    /// Seeks a replacement whenever the attempt is silent, until it ends.
    boost::asio::awaitable<void> watchForSilence(std::shared_ptr<RequestState> state, std::shared_ptr<Attempt> attempt);
    boost::asio::awaitable<void> seekReplacement(RequestState &state, std::shared_ptr<Attempt> silent);
    /// Waits until it is known whether a replacement that is being sought continues the request.
    boost::asio::awaitable<void> waitForReplacement(RequestState &state);
    /// Whether the attempt's upstream has begun a successful response.
    [[nodiscard]] bool isAccepted(const RequestState &state, const Attempt &attempt) const;

    //--- Relay
    boost::asio::awaitable<SendResult> handlePeerResponse(RequestState &state, Attempt &attempt);
    /// Notes in the response head which run of which upstream responded, for the instance that forwarded the request; learns that from a peer's.
    static void recordUpstream(Attempt &attempt);
    /// Records what a response head says about its upstream.
    ResponseHead recordStatements(const RequestState &state, Attempt &attempt);
    boost::asio::awaitable<SendResult> handleResponse(RequestState &state, Attempt &attempt);
    boost::asio::awaitable<SendResult> relayBuffered(RequestState &state, Attempt &attempt);
    boost::asio::awaitable<SendResult> relayStream(RequestState &state, Attempt &attempt);
    /// Sends the response head, unless an earlier attempt did.
    boost::asio::awaitable<void> beginStream(RequestState &state, const Attempt &attempt);
    void recordOutput(RequestState &state, Attempt &attempt);
    /// Ends an attempt whose response takes more memory than there is for it.
    [[nodiscard]] SendResult recordNoMemory(RequestState &state, Attempt &attempt) const;
    /// Whether a successful response with these headers may be the stream, or continue the one that has begun.
    [[nodiscard]] static bool mayBeStream(const RequestState &state, const http::Headers &headers);
    /// Whether the attempt's upstream has the service and the software version at which the stream began, if it has begun.
    [[nodiscard]] static bool fitsStream(const RequestState &state, const Attempt &attempt);
    /// Whether the upstream was started again with another software version since the request was placed.
    [[nodiscard]] bool mayHaveChangedVersion(const Attempt &attempt) const;
    void countResumption(const RequestState &state, std::string_view outcome);

    //--- Responses
    boost::asio::awaitable<void> respondWithFailure(RequestState &state, bool timedOut);
    /// Responds with status 503 and the last failure as the reason.
    boost::asio::awaitable<void> refuseNotExecuted(RequestState &state, core::ErrorKind kind, core::Duration retryAfter);
    boost::asio::awaitable<void>
    respondWithError(RequestState &state, unsigned status, core::ErrorKind kind, const std::string &message, core::Duration retryAfter);
    /// Removes the headers between instances, and adds those for the instance that forwarded the request, if one did.
    static void setPeerHeaders(const RequestState &state, std::string_view outcome, http::Response &response);
    boost::asio::awaitable<void> respond(RequestState &state, http::Response &response);
    /// Counts the request for its workspace, at the instance that received it.
    void countForWorkspace(const RequestState &state, unsigned status, std::string_view completion);
    void logCompletion(const RequestState &state, unsigned status, std::string_view outcome);

    InstanceContext &m_context;
    Fleet &m_fleet;
    MetadataCache &m_metadataCache;
    PlacementService &m_placement;
    PathMonitor &m_paths;
    QuarantineService &m_quarantine;
    StreamDirectory &m_streamDirectory;
    ForwarderSettings m_settings;
    limits::SharedRetryBudget m_retryBudget;
    std::shared_ptr<limits::ByteBudget> m_bodies;
    core::AsyncEvent m_catalogChanged;
    http::ConnectionPool m_upstreamConnections;
    http::ConnectionPool m_peerConnections;
    pcg32 m_random;
    DurationHistory m_durations;
    std::shared_ptr<std::set<RequestState *>> m_openRequests = std::make_shared<std::set<RequestState *>>();
    std::optional<ShutdownTimes> m_shutdown;

public:
    /// Waits until this instance's metadata are current, if it has stood still.
    std::function<boost::asio::awaitable<void>()> waitUntilCurrent;
};

} // namespace arbutus::edge
