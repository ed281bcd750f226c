// Datagrams over UDP, for both kinds of gossip: addresses as text, bytes in and out.

#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace arbutus::peer {

/// Endpoint of "10.0.0.1:9000"; nothing, and `code` says why, where the host is not an address.
[[nodiscard]] std::optional<boost::asio::ip::udp::endpoint> parseUdpEndpoint(const std::string &address, boost::system::error_code &code);

/// Hands over each datagram with its sender's address until the socket is closed. `take` must not keep the bytes.
boost::asio::awaitable<void> receiveDatagrams(boost::asio::ip::udp::socket &socket, std::function<void(std::string_view bytes, const std::string &from)> take);

} // namespace arbutus::peer
