// Socket and counts.

#include "arbutus/gateway/gossiptransport.h"
#include "arbutus/peer/udp.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace arbutus::gateway {

namespace asio = boost::asio;
using Udp = asio::ip::udp;

namespace {

constexpr std::size_t RingCapacity = 16'384;

std::string faultName(peer::DatagramError fault)
{
    switch (fault) {
    case peer::DatagramError::AuthenticationFailed:
        return "not_authentic";
    case peer::DatagramError::UnsupportedVersion:
        return "other_version";
    case peer::DatagramError::Malformed:
        break;
    }
    return "malformed";
}

} // namespace

GossipTransport::GossipTransport(const http::Endpoint &listen,
                                 const std::string &clusterKey,
                                 observe::Metrics &metrics,
                                 std::function<void(node::DatagramReceived)> arrived)
    : m_metrics(metrics)
    , m_onDatagram(std::move(arrived))
    , m_codec(clusterKey)
    , m_socket(m_thread.executor(), Udp::endpoint(asio::ip::make_address(listen.host), listen.port))
    , m_ring(m_thread.executor(), RingCapacity, [this](node::SendDatagram &&datagram) { sendNow(datagram); })
{
}

void GossipTransport::start()
{
    const auto take = [this](std::string_view bytes, const std::string &from) { receive(bytes, from); };
    asio::co_spawn(m_thread.executor(), peer::receiveDatagrams(m_socket, take), asio::detached);
    m_thread.start();
}

void GossipTransport::stop()
{
    m_thread.stop();
}

void GossipTransport::send(node::SendDatagram datagram)
{
    m_ring.tryPush(std::move(datagram));
}

void GossipTransport::sendNow(const node::SendDatagram &datagram)
{
    boost::system::error_code code;
    const auto target = peer::parseUdpEndpoint(datagram.address, code);
    if (!target) {
        return;
    }
    const std::string bytes = m_codec.encode(datagram.datagram);
    m_socket.send_to(asio::buffer(bytes), *target, 0, code);
    m_metrics.incrementCounter("arbutus_gossip_bytes_total", "way=\"out\"", static_cast<double>(bytes.size()));
    m_metrics.incrementCounter("arbutus_gossip_datagrams_total", "way=\"out\"");
}

void GossipTransport::receive(std::string_view bytes, const std::string &from)
{
    m_metrics.incrementCounter("arbutus_gossip_bytes_total", "way=\"in\"", static_cast<double>(bytes.size()));
    m_metrics.incrementCounter("arbutus_gossip_datagrams_total", "way=\"in\"");
    peer::DecodedDatagram decoded = m_codec.decode(bytes);
    if (!decoded.datagram) {
        m_metrics.incrementCounter("arbutus_gossip_refused_total", "why=\"" + faultName(decoded.error) + "\"");
        return;
    }
    node::DatagramReceived arrived;
    arrived.address = from;
    arrived.datagram = std::move(*decoded.datagram);
    m_onDatagram(std::move(arrived));
}

} // namespace arbutus::gateway
