// Actions for one request, handed from the decisions thread to the request's coroutine.

#pragma once

#include "arbutus/node/events.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <memory>
#include <unordered_map>
#include <variant>

namespace arbutus::gateway {

/// What a request's coroutine can be told.
using RequestAction =
    std::variant<node::AdmissionDecision, node::Dispatch, node::RejectRequest, node::ReplayResponse, node::ForwardToOwner, node::EntriesResponse>;

/// Key of the request that an action is for.
[[nodiscard]] node::RequestKey requestKeyOf(const RequestAction &action);

/// One request's queue; used on the callers' thread only.
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

/// Mailboxes by request; used on the callers' thread only.
class MailboxRegistry
{
public:
    explicit MailboxRegistry(boost::asio::any_io_executor executor);

    [[nodiscard]] std::pair<node::RequestKey, std::shared_ptr<Mailbox>> open();
    void close(node::RequestKey key);
    void deliver(RequestAction action);

private:
    boost::asio::any_io_executor m_executor;
    std::uint64_t m_next = 1;
    std::unordered_map<node::RequestKey, std::shared_ptr<Mailbox>> m_mailboxes;
};

} // namespace arbutus::gateway
