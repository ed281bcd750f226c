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

#include "arbutus/edge/placement.h"
#include "arbutus/http/client.h"
#include "arbutus/http/server.h"
#include "arbutus/limits/sharedretrybudget.h"

#include <pcg_random.hpp>

namespace arbutus::edge {

struct ForwarderSettings
{
    std::chrono::milliseconds upstreamConnect{300}; // same region: a round trip is about a millisecond
    std::chrono::milliseconds peerConnect{600};     // other region
    std::chrono::milliseconds onceIdle{700};        // idle time after which a kept connection is not used for what may run once
    std::chrono::milliseconds repeatableIdle{3'000};
    std::chrono::milliseconds peerIdle{3'000};
    std::chrono::milliseconds silenceLeast{700};    // without a first byte, before a repeatable request is tried elsewhere
    double silenceFactor = 3;                       // of the predicted time, if that is longer
    std::chrono::milliseconds streamSilence{1'600}; // between events of a stream that may be resumed
    std::chrono::milliseconds hopOverhead{130};     // kept back from the deadline for the way back from another region
    std::chrono::milliseconds noCatalogRetry{500};  // Retry-After before any configuration is known
    std::chrono::milliseconds deadlineMargin{30};   // the answer is sent this long before the caller gives up
    std::size_t sendsMost = 6;                      // of one request, turned away ones included
    double gapPatience = 8;                         // callers leave a stream after a gap of so many times the stated pause,
    double objectivePatience = 4;                   // so many times the objective,
    std::chrono::milliseconds patienceLeast{2'000}; // or this, whichever is longest
    std::chrono::milliseconds patienceMargin{150};
};

class Forwarder
{
public:
    Forwarder(Context &context, Fleet &fleet, Beliefs &beliefs, Placement &placement, std::uint64_t seed, ForwarderSettings settings = {});

    /// A request from a caller.
    boost::asio::awaitable<void> serve(http::Exchange &exchange);
    /// A request from an instance of another region.
    boost::asio::awaitable<void> servePeer(http::Exchange &exchange);
    /// Whether a request on the peers' listener is one to forward.
    [[nodiscard]] static bool isHop(const http::Request &request);
    /// An upstream has gone: kept connections to its address are closed, since another may get it.
    void closeIdle(const std::string &address);

private:
    struct Job;
    /// What became of one send.
    enum class Sent {
        Finished,  // the caller has its answer, or has left
        NotRun,    // it did not run and will not
        MayRepeat, // it may have run, and may run again
        Lost,      // it may have run, and may not run again
    };

    boost::asio::awaitable<void> run(Job &job);
    boost::asio::awaitable<bool> accept(Job &job);
    boost::asio::awaitable<Sent> sendToUpstream(Job &job, const routing::Granted &granted);
    boost::asio::awaitable<Sent> sendToPeer(Job &job, const core::RegionId &region);
    boost::asio::awaitable<Sent> takeAnswer(Job &job, http::Call &call, http::Response &head, bool fromPeer, routing::WorkEnding &ending);
    boost::asio::awaitable<Sent> takeWhole(Job &job, http::Call &call, http::Response &head, bool fromPeer, routing::WorkEnding &ending);
    boost::asio::awaitable<Sent> relay(Job &job, http::Call &call, http::Response &head, bool fromPeer, routing::WorkEnding &ending);
    boost::asio::awaitable<void> giveUp(Job &job, bool mayHaveRun, bool timedOut);
    boost::asio::awaitable<void> refuse(Job &job, unsigned status, core::ErrorKind kind, const std::string &message, core::Duration retryAfter);
    boost::asio::awaitable<void> answer(Job &job, http::Response &response);
    [[nodiscard]] routing::Ask askOf(Job &job);
    [[nodiscard]] bool mayTryAgain(Job &job);
    [[nodiscard]] std::optional<membership::Member> peerIn(const core::RegionId &region);
    [[nodiscard]] Sent failed(const Job &job) const;
    void logEnd(const Job &job, unsigned status, std::string_view outcome);

    Context &m_context;
    Fleet &m_fleet;
    Beliefs &m_beliefs;
    Placement &m_placement;
    ForwarderSettings m_settings;
    limits::SharedRetryBudget m_budget;
    http::Pool m_upstreams;
    http::Pool m_peers;
    pcg32 m_random;
};

} // namespace arbutus::edge
