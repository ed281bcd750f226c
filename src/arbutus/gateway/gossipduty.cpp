// Socket and counts.

#include "arbutus/gateway/gossipduty.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <array>

namespace arbutus::gateway {

namespace asio = boost::asio;
using Udp = asio::ip::udp;

namespace {

constexpr std::size_t RingCapacity = 16'384;
constexpr std::size_t LargestDatagram = 60'000; // bytes

std::string faultName(peer::DatagramFault fault)
{
    switch (fault) {
    case peer::DatagramFault::NotAuthentic:
        return "not_authentic";
    case peer::DatagramFault::OtherVersion:
        return "other_version";
    case peer::DatagramFault::Malformed:
        break;
    }
    return "malformed";
}

} // namespace

GossipDuty::GossipDuty(const http::Endpoint &listen,
                       const std::string &clusterKey,
                       observe::Metrics &metrics,
                       std::function<void(node::DatagramArrived)> arrived)
    : m_metrics(metrics)
    , m_arrived(std::move(arrived))
    , m_codec(clusterKey)
    , m_socket(m_thread.executor(), Udp::endpoint(asio::ip::make_address(listen.host), listen.port))
    , m_ring(m_thread.executor(), RingCapacity, [this](node::SendDatagram &&datagram) { sendNow(datagram); })
{
}

void GossipDuty::start()
{
    asio::co_spawn(m_thread.executor(), receiveLoop(), asio::detached);
    m_thread.start();
}

void GossipDuty::stop()
{
    m_thread.stop();
}

void GossipDuty::send(node::SendDatagram datagram)
{
    m_ring.push(std::move(datagram));
}

void GossipDuty::sendNow(const node::SendDatagram &datagram)
{
    const http::Endpoint target = http::parseEndpoint(datagram.address);
    boost::system::error_code code;
    const auto address = asio::ip::make_address(target.host, code);
    if (code) {
        return;
    }
    const std::string bytes = m_codec.write(datagram.datagram);
    m_socket.send_to(asio::buffer(bytes), Udp::endpoint(address, target.port), 0, code);
    m_metrics.count("arbutus_gossip_bytes_total", "way=\"out\"", static_cast<double>(bytes.size()));
    m_metrics.count("arbutus_gossip_datagrams_total", "way=\"out\"");
}

asio::awaitable<void> GossipDuty::receiveLoop()
{
    std::vector<char> buffer(LargestDatagram);
    while (true) {
        Udp::endpoint from;
        boost::system::error_code code;
        const std::size_t size = co_await m_socket.async_receive_from(asio::buffer(buffer), from, asio::redirect_error(asio::use_awaitable, code));
        if (code == asio::error::operation_aborted || code == asio::error::bad_descriptor) {
            co_return;
        }
        if (code) {
            continue;
        }
        m_metrics.count("arbutus_gossip_bytes_total", "way=\"in\"", static_cast<double>(size));
        m_metrics.count("arbutus_gossip_datagrams_total", "way=\"in\"");
        peer::DecodedDatagram decoded = m_codec.read(std::string_view(buffer.data(), size));
        if (!decoded.datagram) {
            m_metrics.count("arbutus_gossip_refused_total", "why=\"" + faultName(decoded.fault) + "\"");
            continue;
        }
        node::DatagramArrived arrived;
        arrived.address = http::toString(http::Endpoint{from.address().to_string(), from.port()});
        arrived.datagram = std::move(*decoded.datagram);
        m_arrived(std::move(arrived));
    }
}

} // namespace arbutus::gateway
