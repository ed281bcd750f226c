// One entry instance: its duties, each with a thread, and the rings between them.
//
//   callers    HTTP of callers, attempts at upstreams
//   decisions  the node
//   gossip     datagrams of instances
//   platform   the platform's services
//   reports    upstreams' load reports
//   journal    log lines
//   admin      HTTP of operators
//   (gRPC has threads of its own for calls between instances)

#pragma once

#include "arbutus/gateway/settings.h"

#include <functional>
#include <memory>

namespace arbutus::gateway {

/// The instance.
class Gateway
{
public:
    /// `drained` is called once all work is done and handed over. Throws when an address cannot be bound.
    Gateway(const core::Clock &clock, Settings settings, std::function<void()> drained);
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;
    ~Gateway();

    void start();
    /// Begins the planned stop.
    void drain();
    void stop();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace arbutus::gateway
