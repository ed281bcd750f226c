// UDP address parsing and the receive loop.

#include "arbutus/peer/udp.h"
#include "arbutus/http/message.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <vector>

namespace arbutus::peer {

namespace asio = boost::asio;
using Udp = asio::ip::udp;

namespace {

constexpr std::size_t MaxDatagramBytes = 60'000;

} // namespace

std::optional<Udp::endpoint> parseUdpEndpoint(const std::string &address, boost::system::error_code &code)
{
    const http::Endpoint target = http::parseEndpoint(address);
    const auto ip = asio::ip::make_address(target.host, code);
    return code ? std::nullopt : std::optional(Udp::endpoint(ip, target.port));
}

asio::awaitable<void> receiveDatagrams(Udp::socket &socket, std::function<void(std::string_view bytes, const std::string &from)> onDatagram)
{
    std::vector<char> buffer(MaxDatagramBytes);
    while (true) {
        Udp::endpoint from;
        boost::system::error_code code;
        const std::size_t size = co_await socket.async_receive_from(asio::buffer(buffer), from, asio::redirect_error(asio::use_awaitable, code));
        if (code == asio::error::operation_aborted || code == asio::error::bad_descriptor) {
            co_return;
        }
        if (code) {
            continue; // ICMP error for a datagram sent earlier: no socket was listening at its destination
        }
        onDatagram(std::string_view(buffer.data(), size), http::toString(http::Endpoint{from.address().to_string(), from.port()}));
    }
}

bool receiveWaiting(Udp::socket &socket, std::size_t limit, const std::function<void(std::string_view bytes, const std::string &from)> &onDatagram)
{
    static thread_local std::vector<char> buffer(MaxDatagramBytes);
    for (std::size_t i = 0; i < limit; ++i) {
        Udp::endpoint from;
        boost::system::error_code code;
        const std::size_t size = socket.receive_from(asio::buffer(buffer), from, 0, code);
        if (code == asio::error::would_block) {
            return true;
        }
        if (!code) { // else an ICMP error for a datagram sent earlier
            onDatagram(std::string_view(buffer.data(), size), http::toString(http::Endpoint{from.address().to_string(), from.port()}));
        }
    }
    return false;
}

} // namespace arbutus::peer
