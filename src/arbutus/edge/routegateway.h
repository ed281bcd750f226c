// An instance that forwards requests by route: all of its parts on one event loop.
//
//   edge::Edge edge(clock, settings, dialect, store, log);
//   edge.run();      // until a planned stop has ended

#pragma once

#include "arbutus/edge/context.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace arbutus::edge {

class RouteGateway
{
public:
    /// `reload` reads the settings again on SIGHUP, for the log; the instance keeps those that it began with.
    RouteGateway(boost::asio::io_context &loop,
                 const core::Clock &clock,
                 Settings settings,
                 const ProtocolAdapter &dialect,
                 metadata::MetadataStore &store,
                 observe::LogBuffer &log,
                 std::function<core::Result<Settings>()> reload);
    RouteGateway(const RouteGateway &) = delete;
    RouteGateway &operator=(const RouteGateway &) = delete;
    ~RouteGateway();

    /// Starts all duties; requests are served while the loop runs.
    void start();
    /// start(), then runs the loop until a planned stop (SIGTERM or SIGINT) has ended.
    void run();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace arbutus::edge
