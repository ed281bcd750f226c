// The block of ports that a test process owns.

#include "support/freeport.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include <stdexcept>

namespace arbutus::tests {

namespace asio = boost::asio;
using ErrorCode = boost::system::error_code;
using Tcp = asio::ip::tcp;

namespace {

/// A process owns its block as long as it holds the first port.
class PortBlock
{
public:
    PortBlock()
        : m_owner(m_loop)
    {
        ErrorCode code = asio::error::address_in_use;
        for (std::uint16_t block = 0; code && block < Blocks; ++block) {
            m_first = static_cast<std::uint16_t>(First + block * Size);
            m_owner = Tcp::acceptor(m_loop, Tcp::v4());
            m_owner.bind(Tcp::endpoint(asio::ip::make_address("127.0.0.1"), m_first), code);
        }
        if (code) {
            throw std::runtime_error("all blocks of ports are in use");
        }
    }

    /// Returns a port that is free for TCP and UDP.
    std::uint16_t takePort()
    {
        while (true) {
            m_offset = static_cast<std::uint16_t>(m_offset % (Size - 1) + 1);
            const asio::ip::address address = asio::ip::make_address("127.0.0.1");
            const auto port = static_cast<std::uint16_t>(m_first + m_offset);
            ErrorCode code;
            Tcp::acceptor acceptor(m_loop, Tcp::v4());
            acceptor.bind(Tcp::endpoint(address, port), code);
            if (code) {
                continue;
            }
            asio::ip::udp::socket udpSocket(m_loop, asio::ip::udp::v4());
            udpSocket.bind(asio::ip::udp::endpoint(address, port), code);
            if (!code) {
                return port;
            }
        }
    }

private:
    static constexpr std::uint16_t First = 4'000;
    static constexpr std::uint16_t Size = 1'000;
    static constexpr std::uint16_t Blocks = 16; // the ports from 20,000 on are those of routegatewaytest

    asio::io_context m_loop;
    Tcp::acceptor m_owner;
    std::uint16_t m_first = 0;
    std::uint16_t m_offset = 0; // of the port that was taken last
};

} // namespace

std::uint16_t freePort()
{
    static PortBlock block;
    return block.takePort();
}

} // namespace arbutus::tests
