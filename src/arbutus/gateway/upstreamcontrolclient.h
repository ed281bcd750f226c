// The duty of reading upstreams' load reports and cache events, and of sending them placement orders.

#pragma once

#include "arbutus/gateway/eventloop.h"
#include "arbutus/http/client.h"
#include "arbutus/node/events.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <set>

namespace arbutus::gateway {

/// The duty.
class UpstreamControlClient
{
public:
    /// With `exact`, upstreams are asked for their true state instead of their report (baseline router only).
    UpstreamControlClient(bool exact, std::function<void(node::Event)> post);

    void start();
    void stop();
    void readLoad(node::FetchLoadReport order);
    void sendPlacementCommand(node::SendPlacementCommand order);

private:
    boost::asio::awaitable<void> fetchLoadReport(node::FetchLoadReport order);
    boost::asio::awaitable<void> postPlacementCommand(node::SendPlacementCommand order);
    boost::asio::awaitable<std::vector<node::CacheEvent>> fetchCacheEvents(const node::FetchLoadReport &order);

    bool m_readExactState;
    std::function<void(node::Event)> m_post;
    EventLoopThread m_thread;
    http::ConnectionPool m_pool;
    EventLoopQueue<node::FetchLoadReport> m_readQueue;
    EventLoopQueue<node::SendPlacementCommand> m_commandQueue;
    std::set<core::UpstreamId> m_readsInProgress; // being read now
};

} // namespace arbutus::gateway
