// One attempt to run a request on an upstream, either directly or through an instance in the upstream's failure domain.
//
// The attempt relays the response while verifying that it is complete and carries this attempt's id, then reports the
// result. NotRun is reported only if no byte of the request can have reached the upstream, or if the upstream or the
// peer instance itself declares that it did not run the request.

#pragma once

#include "arbutus/http/client.h"
#include "arbutus/http/server.h"
#include "arbutus/node/events.h"
#include "arbutus/peer/client.h"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <functional>
#include <memory>

namespace arbutus::gateway {

/// State shared by all attempts of an instance.
struct AttemptContext
{
    boost::asio::any_io_executor executor;
    const core::Clock &clock;
    peer::Client &peerClient;
    http::ConnectionPool &connectionPool; // used for repeatable requests only
    core::InstanceRef self;
    core::RegionId region;
    std::function<void(node::FirstTokenReceived)> onFirstToken;
    std::chrono::milliseconds streamIdleTimeout{10'000}; // pause of a stream after which another attempt is sought
    std::function<void(node::StreamSilent)> onSilence = [](node::StreamSilent) {};
};

/// Cancels the attempt in progress; used on the executor only.
struct AttemptControl
{
    std::function<void()> cancelIfSilent; // set while a stream is being relayed
    std::function<void()> cancel;         // set while the request is at an upstream or an instance; the attempt then ends as incomplete
};

/// A request in the form in which attempts send it.
struct AttemptRequest
{
    node::RequestKey key;
    core::RequestId id;
    core::WorkspaceId workspace;
    http::Request httpRequest; // end-to-end headers and the complete body
    http::Headers peerHeaders; // additional headers for requests to peer instances
    std::string via;           // comma-separated ids of the instances the request has passed through, this one last
    bool streaming = false;
    bool isServiceCall = false;
    std::string clientVisibleId;             // id in the streamed events that the client receives; stays the same across attempts
    std::size_t previouslyRelayedTokens = 0; // tokens that earlier attempts relayed to the client
    std::shared_ptr<AttemptControl> control = std::make_shared<AttemptControl>();
};

/// Runs one attempt and relays its response to the client.
boost::asio::awaitable<node::AttemptEnded>
runAttempt(const AttemptContext &context, const AttemptRequest &request, const node::Dispatch &dispatch, http::Exchange &exchange);

/// Forwards the complete request to the instance that owns its ticket and relays the response.
boost::asio::awaitable<node::ForwardToOwnerFinished>
forwardToTicketOwner(const AttemptContext &context, const AttemptRequest &request, const node::ForwardToOwner &forward, http::Exchange &exchange);

} // namespace arbutus::gateway
