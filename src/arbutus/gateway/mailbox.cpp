// Delivery and waiting.

#include "arbutus/gateway/mailbox.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace arbutus::gateway {

namespace asio = boost::asio;

node::RequestKey requestKeyOf(const RequestAction &action)
{
    return std::visit([](const auto &chosen) { return chosen.key; }, action);
}

Mailbox::Mailbox(const asio::any_io_executor &executor)
    : m_signal(executor, asio::steady_timer::time_point::max())
{
}

void Mailbox::put(RequestAction action)
{
    m_actions.push_back(std::move(action));
    m_signal.cancel();
}

asio::awaitable<RequestAction> Mailbox::next()
{
    while (m_actions.empty()) {
        boost::system::error_code code;
        co_await m_signal.async_wait(asio::redirect_error(asio::use_awaitable, code));
    }
    RequestAction action = std::move(m_actions.front());
    m_actions.pop_front();
    co_return action;
}

MailboxRegistry::MailboxRegistry(asio::any_io_executor executor)
    : m_executor(std::move(executor))
{
}

std::pair<node::RequestKey, std::shared_ptr<Mailbox>> MailboxRegistry::open()
{
    const node::RequestKey key(m_next++);
    auto box = std::make_shared<Mailbox>(m_executor);
    m_mailboxes[key] = box;
    return {key, box};
}

void MailboxRegistry::close(node::RequestKey key)
{
    m_mailboxes.erase(key);
}

void MailboxRegistry::deliver(RequestAction action)
{
    const auto found = m_mailboxes.find(requestKeyOf(action));
    if (found != m_mailboxes.end()) {
        found->second->put(std::move(action));
    }
}

} // namespace arbutus::gateway
