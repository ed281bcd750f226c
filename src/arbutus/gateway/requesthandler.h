// The callers' side of an instance: HTTP paths, headers, and the conversation with the decisions.
//
// Every request, also one that another instance passed on, goes the same way: its head is judged before its body is
// read, then it waits for actions and carries them out.
//
// Q: What happens when the decisions' ring is full?
// A: The request is refused as overloaded. It is "not run" unless it carries a ticket or key, whose record nobody looked at.

#pragma once

#include "arbutus/gateway/attempt.h"
#include "arbutus/gateway/decisionloop.h"
#include "arbutus/gateway/mailbox.h"
#include "arbutus/observe/metrics.h"
#include "arbutus/peer/server.h"

#include <functional>

namespace arbutus::gateway {

/// Serves requests on the callers' thread.
class RequestHandler
{
public:
    RequestHandler(AttemptContext attempt, DecisionLoop &decisions, observe::Metrics &metrics);
    RequestHandler(const RequestHandler &) = delete;
    RequestHandler &operator=(const RequestHandler &) = delete;

    /// A request of a caller.
    boost::asio::awaitable<void> handleRequest(http::Exchange &exchange);
    /// A request that another instance passed on; from any thread.
    void handleForwardedRequest(std::shared_ptr<peer::ForwardSession> session);
    /// An action for a request; on the callers' thread.
    void deliverAction(RequestAction action);

private:
    struct RequestContext;

    boost::asio::awaitable<void> processRequest(http::Exchange &exchange, RequestContext &work);
    boost::asio::awaitable<void> processActions(http::Exchange &exchange, RequestContext &work, Mailbox &mailbox);
    boost::asio::awaitable<bool> readBody(http::Exchange &exchange, RequestContext &work);
    boost::asio::awaitable<void> sendEntries(http::Exchange &exchange, bool ticketsOnly);
    boost::asio::awaitable<void> sendModels(http::Exchange &exchange);
    boost::asio::awaitable<void> sendRefusal(http::Exchange &exchange, const node::RejectRequest &refusal);
    boost::asio::awaitable<void> postWithRetry(node::Event event);
    void recordOutcome(const RequestContext &work, std::string_view outcome);

    AttemptContext m_attemptContext;
    DecisionLoop &m_decisions;
    observe::Metrics &m_metrics;
    MailboxRegistry m_mailboxes;
    std::uint64_t m_nextId = 1;
};

} // namespace arbutus::gateway
