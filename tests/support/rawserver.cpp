// Reading of requests, and the ends of connections.

#include "support/rawserver.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

namespace arbutus::tests {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using ErrorCode = boost::system::error_code;

namespace {

constexpr int ReceiveBufferBytes = 128 * 1024;
constexpr std::size_t ReadBytes = 64 * 1024;
constexpr auto PieceInterval = 1ms;
constexpr auto Pause = 30ms;
constexpr auto StallTime = 60s; // longer than a client waits

asio::awaitable<void> wait(asio::io_context &loop, std::chrono::milliseconds duration)
{
    asio::steady_timer timer(loop, duration);
    co_await timer.async_wait(asio::use_awaitable);
}

/// Reads that many bytes, or to the end of the connection.
asio::awaitable<void> discard(asio::ip::tcp::socket &socket, std::size_t bytes)
{
    std::array<char, ReadBytes> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init)
    ErrorCode code;
    while (!code && bytes > 0) {
        bytes -= co_await socket.async_read_some(asio::buffer(buffer, std::min(bytes, ReadBytes)), asio::redirect_error(asio::use_awaitable, code));
    }
}

/// Resets the connection. The socket is closed explicitly because its destructor ignores the linger option.
void reset(asio::ip::tcp::socket &socket)
{
    ErrorCode ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace

RawServer::RawServer(asio::io_context &loop, Respond respond)
    : m_loop(loop)
    , m_acceptor(loop, Tcp::v4())
    , m_respond(std::move(respond))
{
    m_acceptor.set_option(asio::socket_base::receive_buffer_size(ReceiveBufferBytes)); // inherited by accepted connections
    m_acceptor.bind(Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    m_acceptor.listen();
    asio::co_spawn(loop, acceptLoop(), asio::detached);
}

std::uint16_t RawServer::port() const
{
    return m_acceptor.local_endpoint().port();
}

asio::awaitable<void> RawServer::acceptLoop()
{
    while (true) {
        Tcp::socket socket = co_await m_acceptor.async_accept(asio::use_awaitable);
        socket.set_option(Tcp::no_delay(true));
        asio::co_spawn(m_loop, serve(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> RawServer::serve(Tcp::socket socket)
{
    constexpr std::string_view AttemptMark = "$ATTEMPT";
    std::string received;
    while (true) {
        ErrorCode code;
        const std::size_t headBytes =
            co_await asio::async_read_until(socket, asio::dynamic_buffer(received), "\r\n\r\n", asio::redirect_error(asio::use_awaitable, code));
        if (code) {
            co_return;
        }
        ++m_requestCount;
        const std::string head = received.substr(0, headBytes);
        received.erase(0, headBytes);
        const std::string length = fieldValue(head, "Content-Length");
        const std::size_t bodyBytes = length.empty() ? 0 : std::stoul(length);
        const std::size_t unreadBytes = bodyBytes - std::min(bodyBytes, received.size());
        received.erase(0, bodyBytes);

        RawResponse response = m_respond(head);
        const std::string attempt = fieldValue(head, "X-Attempt-Id");
        for (std::size_t at = response.bytes.find(AttemptMark); at != std::string::npos; at = response.bytes.find(AttemptMark, at)) {
            response.bytes.replace(at, AttemptMark.size(), attempt);
        }
        const std::size_t pieceBytes = response.pieceBytes == 0 ? response.bytes.size() : response.pieceBytes;
        for (std::size_t at = 0; !code && at < response.bytes.size(); at += pieceBytes) {
            const std::string piece = response.bytes.substr(at, pieceBytes);
            co_await asio::async_write(socket, asio::buffer(piece), asio::redirect_error(asio::use_awaitable, code));
            if (response.pieceBytes > 0) {
                co_await wait(m_loop, PieceInterval);
            }
        }
        if (response.end != ConnectionEnd::Kept) {
            co_await endConnection(std::move(socket), response.end, unreadBytes);
            co_return;
        }
        co_await discard(socket, unreadBytes);
    }
}

asio::awaitable<void> RawServer::endConnection(Tcp::socket socket, ConnectionEnd end, std::size_t unreadBytes)
{
    ErrorCode ignored;
    switch (end) {
    case ConnectionEnd::Kept:
        break;
    case ConnectionEnd::Closed:
        socket.shutdown(Tcp::socket::shutdown_send, ignored);
        co_await discard(socket, unreadBytes);
        break;
    case ConnectionEnd::ClosedThenReset:
        socket.shutdown(Tcp::socket::shutdown_send, ignored);
        co_await wait(m_loop, Pause);
        reset(socket);
        break;
    case ConnectionEnd::ClosedUnread:
        co_await wait(m_loop, Pause); // lets bytes of the request arrive
        socket.close(ignored);
        break;
    case ConnectionEnd::ClosedAndStalled:
        socket.shutdown(Tcp::socket::shutdown_send, ignored);
        co_await wait(m_loop, StallTime);
        break;
    case ConnectionEnd::Reset:
        reset(socket);
        break;
    case ConnectionEnd::ResetAfterPause:
        co_await wait(m_loop, Pause);
        reset(socket);
        break;
    }
}

std::string fieldValue(const std::string &head, const std::string &name)
{
    const std::string begin = "\r\n" + name + ": ";
    const std::size_t at = head.find(begin);
    return at == std::string::npos ? "" : head.substr(at + begin.size(), head.find("\r\n", at + 2) - at - begin.size());
}

} // namespace arbutus::tests
