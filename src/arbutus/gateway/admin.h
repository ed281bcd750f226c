// The operators' side of an instance: health, metrics, and the admin paths behind their own key.

#pragma once

#include "arbutus/gateway/decisionloop.h"
#include "arbutus/gateway/duty.h"
#include "arbutus/gateway/journal.h"
#include "arbutus/http/server.h"
#include "arbutus/observe/metrics.h"

#include <boost/asio/awaitable.hpp>

#include <functional>

namespace arbutus::gateway {

/// Serves operators on a thread of its own.
class Admin
{
public:
    Admin(const http::Endpoint &listen,
          std::string key,
          std::shared_ptr<http::TlsStore> tls,
          DecisionLoop &decisions,
          const Journal &journal,
          observe::Metrics &metrics);

    void start();
    void stop();

private:
    boost::asio::awaitable<void> serve(http::Exchange &exchange);
    boost::asio::awaitable<void> serveAdmin(http::Exchange &exchange, const std::string &path);
    /// Runs `look` on the decisions thread and gives its text.
    boost::asio::awaitable<std::string> inspect(std::function<std::string(const node::Node &)> look);

    std::string m_key;
    DecisionLoop &m_decisions;
    const Journal &m_journal;
    observe::Metrics &m_metrics;
    DutyThread m_thread;
    http::Server m_server;
};

} // namespace arbutus::gateway
