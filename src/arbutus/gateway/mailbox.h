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
using RequestAction = std::variant<node::HeadJudged, node::Dispatch, node::Refuse, node::Replay, node::ForwardToOwner, node::EntriesGiven>;

/// Key of the request that an action is for.
[[nodiscard]] node::RequestKey keyOf(const RequestAction &action);

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
class Mailboxes
{
public:
    explicit Mailboxes(boost::asio::any_io_executor executor);

    [[nodiscard]] std::pair<node::RequestKey, std::shared_ptr<Mailbox>> open();
    void close(node::RequestKey key);
    void deliver(RequestAction action);

private:
    boost::asio::any_io_executor m_executor;
    std::uint64_t m_next = 1;
    std::unordered_map<node::RequestKey, std::shared_ptr<Mailbox>> m_boxes;
};

} // namespace arbutus::gateway
