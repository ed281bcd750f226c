// Requests from callers to upstreams and back, without a broken promise.
//
//   caller -> this instance -> upstream of this region
//   caller -> this instance -> instance of another region -> upstream of that region     (one hop at the most)
//
// What a failure allows depends on how far the request got:
//   nothing sent, or the upstream says that it did not run it   refusal (503) or another upstream
//   anything sent, and the route's requests may run again       another upstream, within the retry budget
//   anything sent, and they may not                             502 or 504, which promise nothing
// A whole answer is buffered before its first byte goes out, so a broken one can still be told or repeated. A stream is
// passed on event by event; a broken one goes on at another upstream where the route allows it, and otherwise ends visibly
// incomplete.

#pragma once

#include "arbutus/edge/placementservice.h"
#include "arbutus/http/client.h"
#include "arbutus/http/server.h"
#include "arbutus/limits/sharedretrybudget.h"

#include <pcg_random.hpp>

namespace arbutus::edge {

struct ForwarderSettings
{
    std::chrono::milliseconds upstreamConnectTimeout{300}; // same region: a round trip is about a millisecond
    std::chrono::milliseconds peerConnectTimeout{600};     // other region
    std::chrono::milliseconds atMostOnceMaxIdleTime{700};  // idle time after which a kept connection is not used for what may run once
    std::chrono::milliseconds repeatableMaxIdleTime{3'000};
    std::chrono::milliseconds peerMaxIdleTime{3'000};
    std::chrono::milliseconds minFirstByteTimeout{700};  // without a first byte, before a repeatable request is tried elsewhere
    double firstByteTimeoutFactor = 3;                   // of the predicted time, if that is longer
    std::chrono::milliseconds streamIdleTimeout{1'600};  // between events of a stream that may be resumed
    std::chrono::milliseconds crossRegionOverhead{130};  // kept back from the deadline for the way back from another region
    std::chrono::milliseconds noCatalogRetryAfter{500};  // Retry-After before any configuration is known
    std::chrono::milliseconds deadlineMargin{30};        // the answer is sent this long before the caller gives up
    std::size_t maxPlacements = 6;                       // of one request, turned away ones included
    double abandonmentGapFactor = 8;                     // callers leave a stream after a gap of so many times the stated pause,
    double abandonmentObjectiveFactor = 4;               // so many times the objective,
    std::chrono::milliseconds minAbandonmentTime{2'000}; // or this, whichever is longest
    std::chrono::milliseconds abandonmentMargin{150};
};

class Forwarder
{
public:
    Forwarder(InstanceContext &context, Fleet &fleet, MetadataCache &beliefs, PlacementService &placement, std::uint64_t seed, ForwarderSettings settings = {});

    /// A request from a caller.
    boost::asio::awaitable<void> handleRequest(http::Exchange &exchange);
    /// A request from an instance of another region.
    boost::asio::awaitable<void> handleForwardedRequest(http::Exchange &exchange);
    /// Whether a request on the peers' listener is one to forward.
    [[nodiscard]] static bool isForwardedRequest(const http::Request &request);
    /// An upstream has gone: kept connections to its address are closed, since another may get it.
    void closeIdleConnections(const std::string &address);

private:
    struct RequestState;
    /// What became of one send.
    enum class SendResult {
        Finished,     // the caller has its answer, or has left
        NotExecuted,  // it did not run and will not
        Retryable,    // it may have run, and may run again
        NotRetryable, // it may have run, and may not run again
    };

    boost::asio::awaitable<void> placeAndSend(RequestState &job);
    boost::asio::awaitable<bool> acceptRequest(RequestState &job);
    boost::asio::awaitable<SendResult> sendToUpstream(RequestState &job, const routing::Granted &granted);
    boost::asio::awaitable<SendResult> sendToPeer(RequestState &job, const core::RegionId &region);
    boost::asio::awaitable<SendResult> handleResponse(RequestState &job, http::Call &call, http::Response &head, bool fromPeer, routing::SendOutcome &ending);
    boost::asio::awaitable<SendResult> relayBuffered(RequestState &job, http::Call &call, http::Response &head, bool fromPeer, routing::SendOutcome &ending);
    boost::asio::awaitable<SendResult> relayStream(RequestState &job, http::Call &call, http::Response &head, bool fromPeer, routing::SendOutcome &ending);
    boost::asio::awaitable<void> respondWithFailure(RequestState &job, bool mayHaveRun, bool timedOut);
    boost::asio::awaitable<void>
    respondWithError(RequestState &job, unsigned status, core::ErrorKind kind, const std::string &message, core::Duration retryAfter);
    boost::asio::awaitable<void> respond(RequestState &job, http::Response &response);
    [[nodiscard]] routing::PlacementRequest makePlacementRequest(RequestState &job);
    [[nodiscard]] bool canRetry(RequestState &job);
    [[nodiscard]] std::optional<membership::Member> pickPeer(const core::RegionId &region);
    [[nodiscard]] SendResult failedSendResult(const RequestState &job) const;
    void logCompletion(const RequestState &job, unsigned status, std::string_view outcome);

    InstanceContext &m_context;
    Fleet &m_fleet;
    MetadataCache &m_beliefs;
    PlacementService &m_placement;
    ForwarderSettings m_settings;
    limits::SharedRetryBudget m_retryBudget;
    http::ConnectionPool m_upstreamConnections;
    http::ConnectionPool m_peerConnections;
    pcg32 m_random;
};

} // namespace arbutus::edge
