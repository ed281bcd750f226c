// Client HTTP API of an instance: paths, headers, and the exchange of events and actions with the node.
//
// All requests, including those forwarded by another instance, are processed the same way: the node admits or rejects
// the request by its head before the body is read; the request's coroutine then waits for actions and executes them.
//
// If the decision queue is full, the request is rejected as overloaded. Its outcome is "not run", unless it carries a
// ticket or an idempotency key: an earlier attempt may have run and the ledger has not been consulted, so the outcome is
// "unknown".

#pragma once

#include "arbutus/gateway/attempt.h"
#include "arbutus/gateway/decisionloop.h"
#include "arbutus/gateway/mailbox.h"
#include "arbutus/observe/metrics.h"
#include "arbutus/peer/server.h"

#include <functional>
#include <memory>
#include <set>
#include <unordered_map>

namespace arbutus::gateway {

/// Serves client requests and requests forwarded by other instances, on the request thread.
class RequestHandler
{
public:
    RequestHandler(AttemptContext attemptContext, DecisionLoop &decisionLoop, observe::Metrics &metrics);
    RequestHandler(const RequestHandler &) = delete;
    RequestHandler &operator=(const RequestHandler &) = delete;

    /// Handles a request received from a client.
    boost::asio::awaitable<void> handleRequest(http::Exchange &exchange);
    /// Handles a request forwarded by another instance; may be called on any thread.
    void handleForwardedRequest(std::shared_ptr<peer::ForwardSession> session);
    /// Delivers an action to the request that it belongs to; must be called on the request thread.
    void deliverAction(RequestAction action);
    /// Ends the open requests at the end of a planned stop, so that each gets an answer; must be called on the request thread.
    void endOpenRequests();

private:
    struct RequestContext;

    boost::asio::awaitable<void> processRequest(http::Exchange &exchange, RequestContext &context);
    boost::asio::awaitable<void> processActions(http::Exchange &exchange, RequestContext &context, Mailbox &mailbox);
    /// Reads the body; endOpenRequests() ends the wait for it.
    boost::asio::awaitable<core::Result<void>> readWholeBody(http::Exchange &exchange);
    boost::asio::awaitable<bool> readBody(http::Exchange &exchange, RequestContext &context);
    boost::asio::awaitable<void> sendEntries(http::Exchange &exchange, bool ticketsOnly);
    boost::asio::awaitable<void> sendModels(http::Exchange &exchange);
    boost::asio::awaitable<void> sendRejection(http::Exchange &exchange, const RequestContext &context, const node::RejectRequest &rejection);
    void recordOutcome(const RequestContext &context, std::string_view outcome);

    AttemptContext m_attemptContext;
    DecisionLoop &m_decisionLoop;
    observe::Metrics &m_metrics;
    MailboxRegistry m_mailboxes;
    std::unordered_map<node::RequestKey, std::shared_ptr<AttemptControl>> m_attemptControls;                  // of requests whose actions are processed
    std::shared_ptr<std::set<http::Exchange *>> m_bodyReads = std::make_shared<std::set<http::Exchange *>>(); // exchanges whose body is being read
    bool m_isEnding = false;
    std::uint64_t m_nextId = 1;
};

} // namespace arbutus::gateway
