// A gateway instance that forwards requests by route, with all components on one event loop.
//
//   edge::RouteGateway gateway(ioContext, clock, settings, adapter, store, log, reloadSettings);
//   gateway.run(); // returns after a graceful shutdown

#pragma once

#include "arbutus/edge/context.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace arbutus::edge {

class RouteGateway
{
public:
    /// `reloadSettings` is called on SIGHUP to validate the settings file. The result is only logged: the instance keeps the
    /// settings that it was started with.
    RouteGateway(boost::asio::io_context &ioContext,
                 const core::Clock &clock,
                 Settings settings,
                 const ProtocolAdapter &adapter,
                 metadata::MetadataStore &store,
                 observe::LogBuffer &log,
                 std::function<core::Result<Settings>()> reloadSettings);
    RouteGateway(const RouteGateway &) = delete;
    RouteGateway &operator=(const RouteGateway &) = delete;
    ~RouteGateway();

    /// Starts all components. Requests are served while the event loop runs.
    void start();
    /// Calls start() and runs the event loop until a graceful shutdown (SIGTERM or SIGINT) has finished.
    void run();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace arbutus::edge
