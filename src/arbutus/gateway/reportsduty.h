// The duty of reading upstreams' load reports and cache events, and of sending them placement orders.

#pragma once

#include "arbutus/gateway/duty.h"
#include "arbutus/http/client.h"
#include "arbutus/node/events.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <set>

namespace arbutus::gateway {

/// The duty.
class ReportsDuty
{
public:
    /// With `exact`, upstreams are asked for their true state instead of their report (baseline router only).
    ReportsDuty(bool exact, std::function<void(node::Event)> post);

    void start();
    void stop();
    void read(node::ReadLoad order);
    void send(node::SendOrder order);

private:
    boost::asio::awaitable<void> readOne(node::ReadLoad order);
    boost::asio::awaitable<void> sendOne(node::SendOrder order);
    boost::asio::awaitable<std::vector<node::CacheNews>> readEvents(const node::ReadLoad &order);

    bool m_exact;
    std::function<void(node::Event)> m_post;
    DutyThread m_thread;
    http::Pool m_pool;
    DutyRing<node::ReadLoad> m_ring;
    DutyRing<node::SendOrder> m_orders;
    std::set<core::UpstreamId> m_busy; // being read now
};

} // namespace arbutus::gateway
