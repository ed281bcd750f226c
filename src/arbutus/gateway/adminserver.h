// Admin HTTP server of an instance: health and readiness checks, metrics, and the admin API protected by the admin key.

#pragma once

#include "arbutus/gateway/decisionlog.h"
#include "arbutus/gateway/decisionloop.h"
#include "arbutus/gateway/eventloop.h"
#include "arbutus/http/server.h"
#include "arbutus/observe/metrics.h"

#include <boost/asio/awaitable.hpp>

#include <functional>

namespace arbutus::gateway {

/// HTTP server for operators, run on its own thread.
class AdminServer
{
public:
    AdminServer(const http::Endpoint &listen,
                std::string key,
                std::shared_ptr<http::ReloadableTlsContext> tls,
                DecisionLoop &decisionLoop,
                const DecisionLog &decisionLog,
                observe::Metrics &metrics);

    void start();
    void stop();

private:
    boost::asio::awaitable<void> serve(http::Exchange &exchange);
    boost::asio::awaitable<void> serveAdmin(http::Exchange &exchange, const std::string &path);
    /// Runs `query` on the decision thread and returns its result; empty if the decision queue is full.
    boost::asio::awaitable<std::string> queryNode(std::function<std::string(const node::Node &)> query);

    std::string m_key;
    DecisionLoop &m_decisionLoop;
    const DecisionLog &m_decisionLog;
    observe::Metrics &m_metrics;
    EventLoopThread m_thread;
    http::Server m_server;
};

} // namespace arbutus::gateway
