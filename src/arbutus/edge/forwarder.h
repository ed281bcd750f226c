// Forwarding of client requests to upstreams, directly or through one other instance, with safe retries.
//
//   client -> this instance -> upstream in this region
//   client -> this instance -> instance in another region -> upstream in that region     (at most one hop)
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

#pragma once

#include "arbutus/edge/placementservice.h"
#include "arbutus/edge/quarantineservice.h"
#include "arbutus/http/client.h"
#include "arbutus/http/server.h"
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
    std::chrono::milliseconds minFirstByteTimeout{700};   // first byte timeout of repeatable requests; they are retried elsewhere after it
    double firstByteTimeoutFactor = 3;                    // the timeout is this many times the predicted latency, if that is longer
    std::chrono::milliseconds streamIdleTimeout{1'600};   // between events of a resumable stream
    std::chrono::milliseconds crossRegionOverhead{130};   // round trip to another region; half of it is subtracted from the deadline sent to the peer
    std::chrono::milliseconds noCatalogRetryAfter{500};   // Retry-After while no configuration is loaded
    std::chrono::seconds quarantineRetryAfter{60};        // Retry-After for a quarantined request or prompt part; only an operator lifts it sooner
    std::chrono::milliseconds deadlineMargin{30};         // the response is due this long before the client's own deadline
    std::size_t maxCrashedUpstreams = 2;                  // under one request; it is not sent to a further one
    std::size_t maxPlacements = 6;                        // per request, including rejected ones
    std::uint64_t maxBufferedBodyBytes = 8 * 1024 * 1024; // of a response that is not streamed; many may be in memory at once
    std::size_t maxEventBytes = 1024 * 1024;              // of one event of a stream

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
              QuarantineService &quarantine,
              std::uint64_t seed,
              ForwarderSettings settings = {});

    /// Handles a client's request.
    boost::asio::awaitable<void> handleRequest(http::Exchange &exchange);
    /// Handles a request forwarded by an instance in another region.
    boost::asio::awaitable<void> handleForwardedRequest(http::Exchange &exchange);
    /// Returns whether a request on the peer listener is a forwarded client request.
    [[nodiscard]] static bool isForwardedRequest(const http::Request &request);
    /// Closes pooled connections to the address of a removed upstream, because another upstream may reuse the address.
    void closeIdleConnections(const std::string &address);

private:
    struct RequestState;
    /// Result of one send attempt.
    enum class SendResult {
        Finished,     // the response was sent, or the client has disconnected
        NotExecuted,  // the request was not executed and will not be
        Retryable,    // it may have been executed, and may be repeated
        NotRetryable, // it may have been executed, and must not be repeated
    };

    boost::asio::awaitable<void> placeAndSend(RequestState &state);
    boost::asio::awaitable<bool> acceptRequest(RequestState &state);
    boost::asio::awaitable<SendResult> sendToUpstream(RequestState &state, const routing::Granted &granted);
    boost::asio::awaitable<SendResult> sendToPeer(RequestState &state, const core::RegionId &region);
    boost::asio::awaitable<SendResult>
    handleResponse(RequestState &state, http::Call &call, http::Response &head, bool fromPeer, routing::SendOutcome &outcome);
    boost::asio::awaitable<SendResult> relayBuffered(RequestState &state, http::Call &call, http::Response &head, bool fromPeer, routing::SendOutcome &outcome);
    boost::asio::awaitable<SendResult> relayStream(RequestState &state, http::Call &call, http::Response &head, bool fromPeer, routing::SendOutcome &outcome);
    boost::asio::awaitable<void> respondWithFailure(RequestState &state, bool mayHaveExecuted, bool timedOut);
    boost::asio::awaitable<void>
    respondWithError(RequestState &state, unsigned status, core::ErrorKind kind, const std::string &message, core::Duration retryAfter);
    boost::asio::awaitable<void> respond(RequestState &state, http::Response &response);
    [[nodiscard]] routing::PlacementRequest makePlacementRequest(RequestState &state);
    [[nodiscard]] bool canRetry(RequestState &state);
    /// Whether the request must not be sent because it, or a part of its prompt, is quarantined; notes the cause in the state.
    [[nodiscard]] bool isQuarantined(RequestState &state);
    [[nodiscard]] std::optional<membership::Member> pickPeer(const core::RegionId &region);
    [[nodiscard]] SendResult failedSendResult(const RequestState &state) const;
    /// Ends an attempt whose response began but is not whole or not the upstream's.
    [[nodiscard]] SendResult recordIncompleteResponse(RequestState &state, std::string reason, routing::SendOutcome &outcome) const;
    void logCompletion(const RequestState &state, unsigned status, std::string_view outcome);

    InstanceContext &m_context;
    Fleet &m_fleet;
    MetadataCache &m_metadataCache;
    PlacementService &m_placement;
    QuarantineService &m_quarantine;
    ForwarderSettings m_settings;
    limits::SharedRetryBudget m_retryBudget;
    http::ConnectionPool m_upstreamConnections;
    http::ConnectionPool m_peerConnections;
    pcg32 m_random;
};

} // namespace arbutus::edge
