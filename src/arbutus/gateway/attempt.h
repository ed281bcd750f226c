// One attempt at an upstream, direct or through an instance of the upstream's failure domain.
//
// The attempt relays the answer while it checks that it is the whole answer to this very attempt, and reports how it
// ended. NotRun is said only where no byte of the request can have reached the upstream, or by its own agreed word.

#pragma once

#include "arbutus/http/client.h"
#include "arbutus/http/server.h"
#include "arbutus/node/events.h"
#include "arbutus/peer/client.h"

#include <boost/asio/awaitable.hpp>

#include <functional>

namespace arbutus::gateway {

/// What all attempts of an instance share.
struct AttemptContext
{
    boost::asio::any_io_executor executor;
    const core::Clock &clock;
    peer::Client &peerClient;
    http::ConnectionPool &connectionPool; // for repeatable calls
    core::InstanceRef self;
    core::RegionId region;
    std::function<void(node::FirstTokenReceived)> onFirstToken;
};

/// The request as the attempt sends it.
struct AttemptRequest
{
    node::RequestKey key;
    core::RequestId id;
    core::WorkspaceId workspace;
    http::Request httpRequest; // end-to-end headers and the whole body
    http::Headers peerHeaders; // what another instance needs besides
    std::string via;           // instances passed, this one last
    bool streaming = false;
    bool isServiceCall = false;
    std::string clientVisibleId; // id that the caller sees in a streamed answer
    std::size_t previouslyRelayedTokens = 0;
};

/// Runs one attempt and relays its answer.
boost::asio::awaitable<node::AttemptEnded>
runAttempt(const AttemptContext &context, const AttemptRequest &request, const node::Dispatch &dispatch, http::Exchange &exchange);

/// Takes the whole request to the owner of its ticket and relays what it says.
boost::asio::awaitable<node::ForwardToOwnerFinished>
forwardToTicketOwner(const AttemptContext &context, const AttemptRequest &request, const node::ForwardToOwner &forward, http::Exchange &exchange);

} // namespace arbutus::gateway
