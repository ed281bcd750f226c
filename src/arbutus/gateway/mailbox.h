// Per-request queues that carry actions from the node to the coroutine that serves the request.

#pragma once

#include "arbutus/node/events.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <memory>
#include <unordered_map>
#include <variant>

namespace arbutus::gateway {

/// Actions that a request's coroutine handles.
using RequestAction = std::variant<node::AdmissionDecision,
                                   node::Dispatch,
                                   node::CancelAttempt,
                                   node::RejectRequest,
                                   node::ReplayResponse,
                                   node::ForwardToOwner,
                                   node::EntriesResponse>;

/// Returns the key of the request that an action belongs to.
[[nodiscard]] node::RequestKey requestKeyOf(const RequestAction &action);

/// Action queue of one request. Not thread-safe; used on the request thread only.
class Mailbox
{
public:
    explicit Mailbox(const boost::asio::any_io_executor &executor);

    void put(RequestAction action);
    /// Waits for the next action.
    boost::asio::awaitable<RequestAction> next();

private:
    std::deque<RequestAction> m_actions;
    boost::asio::steady_timer m_signal;
};

/// Open mailboxes by request key. Not thread-safe; used on the request thread only.
class MailboxRegistry
{
public:
    explicit MailboxRegistry(boost::asio::any_io_executor executor);

    [[nodiscard]] std::pair<node::RequestKey, std::shared_ptr<Mailbox>> open();
    void close(node::RequestKey key);
    void deliver(RequestAction action);

private:
    boost::asio::any_io_executor m_executor;
    std::uint64_t m_nextKey = 1;
    std::unordered_map<node::RequestKey, std::shared_ptr<Mailbox>> m_mailboxes;
};

} // namespace arbutus::gateway
