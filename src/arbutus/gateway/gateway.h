// A gateway instance: its components, each running on its own thread, and the bounded queues between them.
//
//   RequestHandler         client HTTP requests and attempts on upstreams
//   DecisionLoop           the node, which makes all decisions
//   GossipTransport        datagrams between instances
//   PlatformClient         calls to the platform's services
//   UpstreamControlClient  upstreams' load reports and placement commands
//   DecisionLog            log lines
//   AdminServer            operators' HTTP requests
//
// Calls between instances additionally run on gRPC's own threads.

#pragma once

#include "arbutus/gateway/settings.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace arbutus::gateway {

/// Owns and connects the components of an instance.
class Gateway
{
public:
    /// `onDrained` is called once a drain has finished: all requests are done and the ledger has been handed over. Throws if
    /// an address cannot be bound or the TLS files cannot be loaded.
    Gateway(const core::Clock &clock, Settings settings, std::function<void()> onDrained);
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;
    ~Gateway();

    void start();
    /// Starts a graceful shutdown.
    void drain();
    /// Rejects further requests, waits for the responses to those that have been read and ends the threads.
    void stop();
    /// Port of the client listener, of use if the settings leave its choice to the system.
    [[nodiscard]] std::uint16_t clientPort() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace arbutus::gateway
