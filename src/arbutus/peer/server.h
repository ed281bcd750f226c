// gRPC server for calls from other instances.
//
// Calls arrive on gRPC threads and are passed to the handlers. Calls without the cluster key or with an unsupported
// protocol version are rejected.

#pragma once

#include "arbutus/http/message.h"
#include "arbutus/node/events.h"

#include <functional>
#include <memory>
#include <string>

namespace arbutus::peer {

/// Request forwarded by another instance, and the stream for its response.
class ForwardSession
{
public:
    ForwardSession() = default;
    ForwardSession(const ForwardSession &) = delete;
    ForwardSession &operator=(const ForwardSession &) = delete;
    virtual ~ForwardSession() = default;

    http::Request request; // headers as forwarded by the origin
    core::InstanceRef origin;
    std::string via;           // instances the request has passed through, comma-separated
    core::AttemptId attemptId; // set if the origin holds the ticket and this is one of its attempts
    std::chrono::milliseconds remainingTime{0};

    /// Sends status and headers; must precede the body.
    virtual void sendHead(const http::Response &head, std::function<void(bool)> done) = 0;
    virtual void sendBody(std::string_view chunk, std::function<void(bool)> done) = 0;
    /// Ends the stream. `complete` tells the origin that the response was not truncated.
    virtual void finish(bool complete) = 0;
};

/// Handlers for incoming calls. Each may be called from any thread.
struct ServerHandlers
{
    std::function<void(node::LedgerCall, std::function<void(std::optional<delivery::LedgerResult>)>)> onLedgerCall;
    std::function<void(core::Revision, std::function<void(std::optional<node::ConfigResponse>)>)> onConfigurationRequest;
    std::function<void(std::shared_ptr<ForwardSession>)> onForwardedRequest;
};

class Server
{
public:
    /// Throws std::runtime_error when the address cannot be bound.
    Server(const std::string &address, const std::string &clusterKey, ServerHandlers handlers);
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;
    ~Server();

    void stop();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace arbutus::peer
