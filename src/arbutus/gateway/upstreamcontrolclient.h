// Reads load reports and cache events from upstreams and sends them placement commands.

#pragma once

#include "arbutus/gateway/eventloop.h"
#include "arbutus/http/client.h"
#include "arbutus/node/events.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <set>

namespace arbutus::gateway {

/// HTTP client of the upstreams' control endpoints, run on its own thread.
class UpstreamControlClient
{
public:
    /// With `readExactState`, reads the upstreams' current state instead of their load reports (baseline router only).
    UpstreamControlClient(bool readExactState, std::function<void(node::Event)> post);

    void start();
    void stop();
    void requestLoadReport(node::FetchLoadReport action);
    void sendPlacementCommand(node::SendPlacementCommand action);

private:
    [[nodiscard]] http::CallOptions reportCallOptions();
    boost::asio::awaitable<void> fetchLoadReport(node::FetchLoadReport action);
    boost::asio::awaitable<void> postPlacementCommand(node::SendPlacementCommand action);
    boost::asio::awaitable<std::vector<node::CacheEvent>> fetchCacheEvents(const node::FetchLoadReport &action);

    bool m_readExactState;
    std::function<void(node::Event)> m_post;
    EventLoopThread m_thread;
    http::ConnectionPool m_pool;
    EventLoopQueue<node::FetchLoadReport> m_loadReportQueue;
    EventLoopQueue<node::SendPlacementCommand> m_placementQueue;
    std::set<core::UpstreamId> m_readsInProgress; // upstreams whose load report is being read
};

} // namespace arbutus::gateway
