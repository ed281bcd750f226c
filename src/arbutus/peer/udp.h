// UDP helpers shared by both gossip protocols: address parsing and the receive loop.

#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace arbutus::peer {

/// Parses "10.0.0.1:9000"; returns std::nullopt and sets `code` if the host is not an IP address.
[[nodiscard]] std::optional<boost::asio::ip::udp::endpoint> parseUdpEndpoint(const std::string &address, boost::system::error_code &code);

/// Calls `onDatagram` with each datagram and its sender's address until the socket is closed. `bytes` is valid only during the call.
boost::asio::awaitable<void> receiveDatagrams(boost::asio::ip::udp::socket &socket,
                                              std::function<void(std::string_view bytes, const std::string &from)> onDatagram);

/// Calls `onDatagram` with each datagram that waits and its sender's address, up to `limit`. Returns whether none is left. The socket
/// is in non-blocking mode, and `bytes` is valid only during the call.
bool receiveWaiting(boost::asio::ip::udp::socket &socket,
                    std::size_t limit,
                    const std::function<void(std::string_view bytes, const std::string &from)> &onDatagram);

} // namespace arbutus::peer
