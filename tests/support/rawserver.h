// Server that answers requests with bytes of the test's choice and ends its connections in ways that an HTTP server does not.
//
//   tests::RawServer server(loop, [](const std::string &head) { return tests::RawResponse{"HTTP/1.1 000 Trouble\r\n\r\n"}; });
//
// The response is written when the head of the request has arrived, before its body. The receive buffers are bounded, so a client cannot
// finish an upload of several MiB that the server does not read.

#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace arbutus::tests {

/// What happens to the connection after the response.
enum class ConnectionEnd {
    Kept,             // the body of the request is read, and the next request is answered
    Closed,           // closed for sending, while the body of the request is read
    ClosedThenReset,  // closed for sending, and reset after a pause; the body of the request is not read
    ClosedUnread,     // closed with bytes of the request unread, for which the kernel resets it
    ClosedAndStalled, // closed for sending; the body of the request is not read
    Reset,
    ResetAfterPause,
};

struct RawResponse
{
    std::string bytes; // "$ATTEMPT" stands for the X-Attempt-Id of the request
    ConnectionEnd end = ConnectionEnd::Closed;
    std::size_t pieceBytes = 0; // bytes that are written at a time; 0: all at once
};

class RawServer
{
public:
    using Respond = std::function<RawResponse(const std::string &requestHead)>;

    RawServer(boost::asio::io_context &loop, Respond respond);

    [[nodiscard]] std::uint16_t port() const;
    [[nodiscard]] std::size_t requestCount() const
    {
        return m_requestCount;
    }

private:
    using Tcp = boost::asio::ip::tcp;

    boost::asio::awaitable<void> acceptLoop();
    boost::asio::awaitable<void> serve(Tcp::socket socket);
    boost::asio::awaitable<void> endConnection(Tcp::socket socket, ConnectionEnd end, std::size_t unreadBytes);

    boost::asio::io_context &m_loop;
    Tcp::acceptor m_acceptor;
    Respond m_respond;
    std::size_t m_requestCount = 0;
};

/// Value of a field in the head of a request; empty if it is absent.
[[nodiscard]] std::string fieldValue(const std::string &head, const std::string &name);

} // namespace arbutus::tests
