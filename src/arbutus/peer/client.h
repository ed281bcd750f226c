// gRPC client for calls to other instances.
//
// Completion callbacks run on gRPC threads. Channels are cached by address. Calls are not retried here.

#pragma once

#include "arbutus/http/message.h"
#include "arbutus/node/events.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace arbutus::peer {

/// Request to be forwarded to another instance.
struct ForwardCall
{
    http::Request request;
    core::InstanceRef origin;
    core::RegionId originRegion;
    std::string via; // instances the request has passed through, this one last
    core::AttemptId attemptId;
    core::DecisionId decisionId;
    core::Revision configRevision;
    std::chrono::milliseconds remainingTime{0};
};

/// One chunk of the response.
struct ForwardChunk
{
    http::Response head; // status and headers; valid only if hasHead (first chunk)
    bool hasHead = false;
    std::string body;
    bool last = false; // the response is complete
};

/// Response stream. At most one read may be outstanding.
class ForwardStream
{
public:
    ForwardStream() = default;
    ForwardStream(const ForwardStream &) = delete;
    ForwardStream &operator=(const ForwardStream &) = delete;
    virtual ~ForwardStream() = default;

    /// Reads the next chunk; std::nullopt if the stream ended without another one, or the response does not begin with a valid head.
    virtual void read(std::function<void(std::optional<ForwardChunk>)> done) = 0;
    virtual void cancel() = 0;
};

class Client
{
public:
    explicit Client(const std::string &clusterKey);
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;
    ~Client();

    void callLedger(const std::string &address,
                    const node::LedgerCall &call,
                    std::chrono::milliseconds timeout,
                    std::function<void(std::optional<delivery::LedgerResult>)> done);
    /// Fetches log entries after a revision, or a snapshot, as the event that delivers them to the node; std::nullopt if the call failed.
    void fetchConfiguration(const std::string &address,
                            core::Revision after,
                            std::chrono::milliseconds timeout,
                            std::function<void(std::optional<node::Event>)> done);
    /// Reports whether the channel is connected or connects within `timeout`. If it does not, no part of a request can have been sent.
    void connect(const std::string &address, std::chrono::milliseconds timeout, std::function<void(bool)> done);
    [[nodiscard]] std::shared_ptr<ForwardStream> forward(const std::string &address, const ForwardCall &call);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace arbutus::peer
