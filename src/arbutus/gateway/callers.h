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
class Callers
{
public:
    Callers(AttemptContext attempt, DecisionLoop &decisions, observe::Metrics &metrics);
    Callers(const Callers &) = delete;
    Callers &operator=(const Callers &) = delete;

    /// A request of a caller.
    boost::asio::awaitable<void> serve(http::Exchange &exchange);
    /// A request that another instance passed on; from any thread.
    void acceptForward(std::shared_ptr<peer::ForwardSession> session);
    /// An action for a request; on the callers' thread.
    void deliver(RequestAction action);

private:
    struct Work;

    boost::asio::awaitable<void> serveRequest(http::Exchange &exchange, Work &work);
    boost::asio::awaitable<void> conduct(http::Exchange &exchange, Work &work, Mailbox &mailbox);
    boost::asio::awaitable<bool> readBody(http::Exchange &exchange, Work &work);
    boost::asio::awaitable<void> giveEntries(http::Exchange &exchange, bool ticketsOnly);
    boost::asio::awaitable<void> giveModels(http::Exchange &exchange);
    boost::asio::awaitable<void> refuse(http::Exchange &exchange, const node::Refuse &refusal);
    boost::asio::awaitable<void> postSurely(node::Event event);
    void countEnd(const Work &work, std::string_view outcome);

    AttemptContext m_attempt;
    DecisionLoop &m_decisions;
    observe::Metrics &m_metrics;
    Mailboxes m_mailboxes;
    std::uint64_t m_nextId = 1;
};

} // namespace arbutus::gateway
