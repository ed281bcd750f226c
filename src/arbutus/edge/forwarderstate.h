// State of a request while it is handled, and the headers that instances add to the requests and responses between them.
//
// Only the source files of Forwarder include this file.
//
// Sections:
//   Headers         names and values between instances
//   Attempt         one send of a request
//   RequestState    one request

#pragma once

#include "arbutus/edge/forwarder.h"
#include "arbutus/edge/sserelay.h"

#include <charconv>

namespace arbutus::edge {

//-----------------------------------------------------------------------------
// Headers
//-----------------------------------------------------------------------------

// Headers of requests and responses between instances. They are never forwarded to clients or upstreams.
inline constexpr const char *OriginHeader = "X-Gateway-Origin";           // instance that received the client's request
inline constexpr const char *ServiceHeader = "X-Gateway-Service";         // service chosen by that instance
inline constexpr const char *SendCountHeader = "X-Gateway-Sends";         // upstream sends so far
inline constexpr const char *PossibleExecutionsHeader = "X-Gateway-Runs"; // sends after which an upstream may have executed the request
inline constexpr const char *MaxExecutionsHeader = "X-Gateway-Max-Runs";  // value of PossibleExecutionsHeader that the peer must not exceed
inline constexpr const char *ResumeHeader = "X-Gateway-Resume";           // last event id that the client has
inline constexpr const char *VersionHeader = "X-Gateway-Version";         // request: required software version; response: that of the upstream
inline constexpr const char *UpstreamHeader = "X-Gateway-Upstream";       // response: upstream whose response is passed on
inline constexpr const char *StartTimeHeader = "X-Gateway-Start-Time";    // response: run of it that was known when it got the request
inline constexpr const char *CatalogHeader = "X-Gateway-Configuration";   // version that the sender has
inline constexpr const char *AgeHeader = "X-Gateway-Age-Ms";              // time since the client's request; absent once its response has begun
inline constexpr const char *OutcomeHeader = "X-Gateway-Outcome";         // response header with one of the values below
inline constexpr std::string_view OutcomeAnswered = "answered";
inline constexpr std::string_view OutcomeNotExecuted = "not_run";
inline constexpr std::string_view OutcomeUnknown = "unknown";
inline constexpr std::string_view OutcomeQuarantined = "quarantined"; // not run, and no upstream may run it
inline constexpr std::array PeerHeaders = {OriginHeader,
                                           ServiceHeader,
                                           SendCountHeader,
                                           PossibleExecutionsHeader,
                                           MaxExecutionsHeader,
                                           ResumeHeader,
                                           VersionHeader,
                                           UpstreamHeader,
                                           StartTimeHeader,
                                           CatalogHeader,
                                           AgeHeader,
                                           OutcomeHeader};

inline constexpr const char *HomesUncertainReason = "another instance has a newer configuration, which may have other home regions";
inline constexpr const char *NoProofReason = "the configuration may be too old: it is not known whether the credential has been withdrawn";
inline constexpr const char *NoRegionReason = "no region is home of both the route and the workspace";

inline std::size_t parseCount(const std::string &text)
{
    std::size_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

inline catalog::CatalogVersion parseCatalogVersion(const http::Headers &headers)
{
    return catalog::CatalogVersion(parseCount(http::headerValue(headers, CatalogHeader)));
}

/// For the log: the regions that may serve the request; empty: all.
inline std::string homeRegionsOf(const catalog::RequestMatch &match)
{
    const auto homeRegions = match.route == nullptr ? std::nullopt : match.homeRegions();
    if (homeRegions && homeRegions->empty()) {
        return "none";
    }
    std::string out;
    for (const core::RegionId &region : homeRegions.value_or(std::set<core::RegionId>())) {
        out += (out.empty() ? "" : ",") + region.text;
    }
    return out;
}

//-----------------------------------------------------------------------------
// Attempt
//-----------------------------------------------------------------------------

/// One send of a request to an upstream, or to an instance in another region.
struct Forwarder::Attempt
{
    //--- Target
    routing::PlacementId placement;
    core::UpstreamId upstream; // of a peer's attempt: the one whose response the peer passes on, once it is known
    core::InstanceId peer;     // to which the request is sent instead
    core::RegionId region;     // of the peer
    bool isToRelay = false;    // the peer is of this region
    core::ServiceId service;   // of the upstream
    std::string address;
    routing::SoftwareVersion version;           // of the upstream's software; a peer states it in its response head
    std::optional<routing::StartTime> knownRun; // of the upstream, when the request was sent; it may have been started again since
    core::Duration predictedLatency{};
    std::size_t executionsBefore = 0;  // of a peer's attempt: executions that the peer was told of; it goes on counting from there
    std::size_t grantedExecutions = 0; // further ones that the peer may make, until it has reported how many it made
    std::size_t sendsBefore = 0;       // sends that the peer was told of

    //--- Progress
    http::Request request;
    std::optional<http::Call> call;
    std::shared_ptr<limits::ByteHold> responseHold; // of the body, or of a partial event
    core::TimePoint sentAt{};
    catalog::CatalogVersion newestCatalog; // that this instance knew when the request was sent, for the log
    core::Duration metadataStaleness{};    // the same
    std::optional<core::TimePoint> connectedAt;
    bool isOnNewConnection = false;
    std::optional<http::CallResult<http::Response>> head; // response head, or why there is none
    core::TimePoint firstEventAt{};
    core::TimePoint lastEventAt{};
    std::uint64_t eventsAtFirst = 0;    // forwarded events of the client's stream then
    routing::StreamTiming streamTiming; // of the events after the first
    core::TimePoint lastProgressAt{};   // response head or last complete event
    bool isWriting = false;             // an event to the client, which may be slow
    bool delivered = false;             // the client gets the complete response of this attempt
    bool superseded = false;            // another attempt continues the request
    bool unneeded = false;              // a failed replacement, and the request does not wait for the rest of its response
    bool isUpstreamDown = false;        // it refused the connection, and this instance reaches another upstream
    bool ended = false;

    //--- Result, also for the log
    routing::SendOutcome outcome = routing::SendOutcome::Unreachable;
    std::string peerOutcome; // OutcomeHeader
    std::string failure;
    std::string withheld;              // why the request was not sent when the connection was there
    std::string maxRequestRate;        // that the response named
    std::string rest;                  // that the upstream asked for: milliseconds, or the text if it is invalid
    bool saysLeaving = false;          // the response said that its upstream is leaving
    std::string bodyEnd;               // how the response marked the end of its body
    bool isUnnamed = false;            // the response names no attempt
    std::size_t partialEventBytes = 0; // received after the last complete event

    [[nodiscard]] bool isToPeer() const
    {
        return !peer.empty();
    }
};

//-----------------------------------------------------------------------------
// RequestState
//-----------------------------------------------------------------------------

struct Forwarder::RequestState : std::enable_shared_from_this<RequestState>
{
    RequestState(http::Exchange &clientExchange, const InstanceContext &context)
        : exchange(clientExchange)
        , clock(context.clock)
        , receivedAt(context.now())
        , changed(context.executor)
    {
    }

    http::Exchange &exchange; // only valid until the request has been answered
    const core::Clock &clock;
    http::Request request; // without PeerHeaders
    RequestHead head;
    std::optional<limits::ByteHold> bodyHold;
    routing::RequestFingerprint fingerprint;
    catalog::CatalogPointer catalog;               // that was applied last
    const catalog::Route *route = nullptr;         // of `catalog`
    const catalog::Workspace *workspace = nullptr; // of `catalog`; null: the request has none
    catalog::CatalogVersion acceptedCatalog;
    catalog::CatalogVersion originCatalog; // of the instance that forwarded the request; 0: not stated by one of an older release
    bool hasWaitedForCatalog = false;
    core::ServiceId service;
    bool fromPeer = false;
    std::string origin; // instance that received the client's request
    core::TimePoint receivedAt;
    core::Duration ageAtOrigin{};         // of the client's request, when the origin forwarded it
    core::TimePoint completionDeadline{}; // for the complete response
    core::TimePoint latencyDeadline{};
    core::TimePoint responseDeadline{}; // for the first event or a buffered response; later ones are useless to the client
    std::shared_ptr<CancellationToken> cancellation = std::make_shared<CancellationToken>();
    std::set<core::UpstreamId> excludedUpstreams;
    std::set<core::UpstreamId> brokenUpstreams; // whose connection ended before the response was complete
    std::set<core::RegionId> excludedRegions;
    std::set<core::InstanceId> excludedRelays;
    std::size_t placements = 0;
    std::size_t unreachableGrants = 0;  // placements at upstreams that the placement request stated to be unreachable
    std::size_t fruitlessSearches = 0;  // placements for a replacement that was not sent
    std::size_t sendCount = 0;          // requests that reached an upstream
    std::size_t possibleExecutions = 0; // sends after which an upstream may have executed the request
    std::size_t grantedExecutions = 0;  // that peers may make, and have not reported
    std::size_t maxExecutions = 0;      // that the route allows, or the origin grants
    std::size_t originGrant = std::numeric_limits<std::size_t>::max();
    std::optional<http::Response> upstreamFailure; // error response of an upstream, forwarded if no retry succeeds
    std::shared_ptr<limits::ByteHold> upstreamFailureHold;
    bool mayHaveExecuted = false;                            // an attempt ended, and its upstream may have executed the request
    bool responseStarted = false;                            // the stream's response head was sent to the client
    bool isEventStreamStated = false;                        // in that head
    std::optional<routing::SoftwareVersion> requiredVersion; // of a stream that has begun, in this or an earlier attempt of the client
    bool isVersionGone = false;                              // no upstream of the required version is left
    bool isOverQuota = false;                                // the workspace has used up its quota
    bool isQuotaSpent = false;                               // a placement has spent what the request costs
    std::optional<SseRelay> sseRelay;
    core::Duration retryAfter{};
    std::optional<routing::CrashCause> quarantinedCause; // because of which the request is refused
    std::string lastFailure;                             // reason of the last failed attempt, for the log
    core::UpstreamId lastUpstream;
    core::TimePoint firstEventTime{};
    core::TimePoint lastEventTime{};
    core::Duration maxEventGap{}; // longest gap between events of the stream

    core::AsyncEvent changed;                            // an attempt has connected, got its response head or ended
    std::shared_ptr<Attempt> current;                    // the attempt whose response is relayed
    std::shared_ptr<Attempt> replacement;                // takes the place of the current one, which is silent
    std::shared_ptr<Attempt> failedReplacement;          // whose response is still read; the silent attempt goes on
    std::shared_ptr<CancellationToken> replacementToken; // while a replacement waits for its placement
    bool isSeekingReplacement = false;
    bool isReadingBody = false;
    bool endedByShutdown = false;

    /// How the configuration that was applied last handles the request.
    [[nodiscard]] catalog::RequestMatch match() const
    {
        return catalog::RequestMatch{route, workspace, false};
    }
    [[nodiscard]] bool isRepeatable() const
    {
        return route->executionSemantics == catalog::ExecutionSemantics::Repeatable;
    }
    [[nodiscard]] bool isStreaming() const
    {
        return route->responseMode == catalog::ResponseMode::Stream;
    }
    /// Whether the client resumes a stream.
    [[nodiscard]] bool isResumption() const
    {
        return isStreaming() && isRepeatable() && !head.lastEventId.empty();
    }
    [[nodiscard]] routing::StreamId streamId() const
    {
        return routing::StreamId(head.resumedAttemptId.empty() ? head.attemptId : head.resumedAttemptId);
    }
    /// Executions by upstreams so far, with those that peers may have made.
    [[nodiscard]] std::size_t usedExecutions() const
    {
        return possibleExecutions + grantedExecutions;
    }
    [[nodiscard]] bool hasBeenSent() const
    {
        return sendCount > 0 || grantedExecutions > 0;
    }
    /// Ends a peer's grant: of the executions that it allowed, `used` count as made.
    void settleGrant(Attempt &attempt, std::size_t used)
    {
        grantedExecutions -= attempt.grantedExecutions;
        possibleExecutions += used;
        attempt.grantedExecutions = 0;
    }
    [[nodiscard]] routing::PlacementId placementId() const
    {
        return routing::PlacementId(head.attemptId + "/" + std::to_string(placements));
    }
    /// Ends what the search for a replacement waits for, if no replacement is open.
    void stopSeekingReplacement() const
    {
        if (replacementToken) {
            replacementToken->cancel();
        }
        if (failedReplacement) {
            failedReplacement->unneeded = true;
            failedReplacement->call->cancel();
        }
    }
    void cancelAttempts()
    {
        for (const auto &attempt : {current, replacement}) {
            if (attempt) {
                attempt->call->cancel();
            }
        }
        stopSeekingReplacement();
        changed.notify();
    }
};

} // namespace arbutus::edge
