// gRPC server for the other instances.
//
// Calls come in on gRPC's own threads and are handed on by the handlers; nothing is decided here. Every call carries the
// cluster's key and a protocol version; others are refused.

#pragma once

#include "arbutus/http/message.h"
#include "arbutus/node/events.h"

#include <functional>
#include <memory>
#include <string>

namespace arbutus::peer {

/// A request that another instance passed on, with the way to answer it.
class ForwardSession
{
public:
    ForwardSession() = default;
    ForwardSession(const ForwardSession &) = delete;
    ForwardSession &operator=(const ForwardSession &) = delete;
    virtual ~ForwardSession() = default;

    http::Request request; // headers as the origin passes them on
    core::InstanceRef origin;
    std::string via;           // instances passed, comma-separated
    core::AttemptId attemptId; // set: the origin keeps the ticket
    std::chrono::milliseconds timeLeft{0};

    /// Status and headers, before any body.
    virtual void sendHead(const http::Response &head, std::function<void(bool)> done) = 0;
    virtual void sendBody(std::string_view piece, std::function<void(bool)> done) = 0;
    /// Ends the stream; whole = the origin may pass the answer on as whole.
    virtual void finish(bool whole) = 0;
};

/// Where calls go. Each may be called from any thread.
struct ServerHandlers
{
    std::function<void(node::LedgerCall, std::function<void(std::optional<delivery::LedgerResult>)>)> onLedgerCall;
    std::function<void(core::Revision, std::function<void(std::optional<node::ConfigResponse>)>)> onConfigurationRequest;
    std::function<void(std::shared_ptr<ForwardSession>)> onForwardedRequest;
};

/// The server.
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
