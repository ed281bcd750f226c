// The operators' side of an instance: health, metrics, and the admin paths behind their own key.

#pragma once

#include "arbutus/gateway/decisionlog.h"
#include "arbutus/gateway/decisionloop.h"
#include "arbutus/gateway/eventloop.h"
#include "arbutus/http/server.h"
#include "arbutus/observe/metrics.h"

#include <boost/asio/awaitable.hpp>

#include <functional>

namespace arbutus::gateway {

/// Serves operators on a thread of its own.
class AdminServer
{
public:
    AdminServer(const http::Endpoint &listen,
                std::string key,
                std::shared_ptr<http::ReloadableTlsContext> tls,
                DecisionLoop &decisions,
                const DecisionLog &journal,
                observe::Metrics &metrics);

    void start();
    void stop();

private:
    boost::asio::awaitable<void> serve(http::Exchange &exchange);
    boost::asio::awaitable<void> serveAdmin(http::Exchange &exchange, const std::string &path);
    /// Runs `look` on the decisions thread and gives its text.
    boost::asio::awaitable<std::string> queryNode(std::function<std::string(const node::Node &)> look);

    std::string m_key;
    DecisionLoop &m_decisions;
    const DecisionLog &m_journal;
    observe::Metrics &m_metrics;
    EventLoopThread m_thread;
    http::Server m_server;
};

} // namespace arbutus::gateway
