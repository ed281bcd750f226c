// gRPC client for the other instances.
//
// Completions are called on gRPC's threads. Channels are kept by address; nothing is retried here.

#pragma once

#include "arbutus/http/message.h"
#include "arbutus/node/events.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace arbutus::peer {

/// A request on its way to another instance.
struct ForwardCall
{
    http::Request request;
    core::InstanceRef origin;
    core::RegionId originRegion;
    std::string via; // instances passed, this one last
    core::AttemptId attemptId;
    core::DecisionId decisionId;
    core::Revision configRevision;
    std::chrono::milliseconds timeLeft{0};
};

/// One piece of the answer.
struct ForwardChunk
{
    http::Response head; // first piece only
    bool hasHead = false;
    std::string body;
    bool last = false; // the answer is whole
};

/// The answer's stream. Reads are asked for one at a time.
class ForwardStream
{
public:
    ForwardStream() = default;
    ForwardStream(const ForwardStream &) = delete;
    ForwardStream &operator=(const ForwardStream &) = delete;
    virtual ~ForwardStream() = default;

    /// Next piece; nothing = the stream ended without one.
    virtual void read(std::function<void(std::optional<ForwardChunk>)> done) = 0;
    virtual void cancel() = 0;
};

/// The client.
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
    /// Entries or a snapshot, as the event that takes them; nothing = no answer.
    void fetchConfiguration(const std::string &address,
                            core::Revision after,
                            std::chrono::milliseconds timeout,
                            std::function<void(std::optional<node::Event>)> done);
    /// Whether a connection stands or can be made in time: until then nothing of a request can have been sent.
    void connect(const std::string &address, std::chrono::milliseconds timeout, std::function<void(bool)> done);
    [[nodiscard]] std::shared_ptr<ForwardStream> forward(const std::string &address, const ForwardCall &call);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace arbutus::peer
