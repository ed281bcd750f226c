// The duty of datagrams between instances, over UDP.

#pragma once

#include "arbutus/gateway/eventloop.h"
#include "arbutus/http/message.h"
#include "arbutus/node/events.h"
#include "arbutus/observe/metrics.h"
#include "arbutus/peer/codec.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>

#include <functional>

namespace arbutus::gateway {

/// Sends and receives datagrams.
class GossipTransport
{
public:
    GossipTransport(const http::Endpoint &listen,
                    const std::string &clusterKey,
                    observe::Metrics &metrics,
                    std::function<void(node::DatagramReceived)> arrived);

    void start();
    void stop();
    void send(node::SendDatagram datagram);

private:
    void receive(std::string_view bytes, const std::string &from);
    void sendNow(const node::SendDatagram &datagram);

    observe::Metrics &m_metrics;
    std::function<void(node::DatagramReceived)> m_onDatagram;
    peer::DatagramCodec m_codec;
    EventLoopThread m_thread;
    boost::asio::ip::udp::socket m_socket;
    EventLoopQueue<node::SendDatagram> m_ring;
};

} // namespace arbutus::gateway
