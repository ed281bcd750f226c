// HTTP/1.1 server on Boost.Beast with coroutine handlers.
//
//   http::Server server(executor, endpoint, ServerLimits{}, handler, nullptr);
//   asio::awaitable<void> handler(http::Exchange &exchange) { co_await exchange.respond(jsonResponse(200, "{}")); }
//
// The handler runs as soon as the headers have been read and requests the body itself, so that it can reject a request
// without reading its body. If the handler returns without a response, the connection is closed. If it throws, the client gets
// status 500, or an aborted response if it had begun.
//
// Q: How does a handler learn that the client has disconnected?
// A: respond(), beginResponse(), writeChunk() and endResponse() return false from then on. A handler that waits for
//    something else without writing registers a callback with onClientDisconnect().
//
//    One that is about to begin costly work asks isClientGone(), which is right also if the event loop is busy.
//
// Q: Which requests are rejected before they reach a handler?
// A: Malformed ones, and those that two parsers could interpret differently (request smuggling): Content-Length together
//    with Transfer-Encoding, several Content-Length headers, a transfer coding other than chunked, or several Host headers.
//    They get status 400, and the connection is closed.
//
// Q: How does a client that cannot read chunks (HTTP/1.0) tell a truncated response from a complete one?
// A: Its streamed response ends with the connection: a regular close if it is complete, a reset if it is not.
//
// Q: What does a client hold that sends without end?
// A: A part of a message that has to be whole before it is understood is bounded: the head by ServerLimits::maxHeaderBytes (status 431), the
//    head of a chunk with its extensions, and the trailers, by maxSectionBytes (413). Chunks may take 16 times the bytes of the body
//    and three such parts (413). What a connection holds beyond 32 KiB, and bodies, are counted in ServerResources::memory, which several servers share.
//    The kernel holds some 100 KB for each direction of a connection: a response that is not read waits in the process.
//
// Q: And one that opens connections without end?
// A: All servers with the same ServerResources::connections share its places; a connection that waits gives way to a new one.
//
// Q: How does the owner learn of requests that got no complete response?
// A: setUnansweredCallback(); the callback runs when the handler has returned.

#pragma once

#include "arbutus/http/message.h"
#include "arbutus/http/tls.h"
#include "arbutus/limits/bytebudget.h"
#include "arbutus/limits/connectionbudget.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <functional>
#include <memory>

namespace arbutus::http {

/// Resource limits and timeouts for client connections.
struct ServerLimits
{
    std::size_t maxHeaderBytes = 16 * 1024;          // total size of the request headers
    std::size_t maxBodyBytes = 4 * 1024 * 1024;      // request body
    std::size_t maxSectionBytes = 16 * 1024;         // head of a chunk with its extensions, or all trailers
    std::size_t maxConnections = 8192;               // open at the same time
    std::chrono::milliseconds headerTimeout{15'000}; // to receive all headers, from their first byte
    std::chrono::milliseconds idleTimeout{15'000};   // to receive the first byte of the next request
    std::chrono::milliseconds bodyTimeout{20'000};   // to receive the body
    std::chrono::milliseconds writeTimeout{20'000};  // for one write, if the client does not read; of a long response for each MiB
};

/// What servers of one process share. They must have the same executor.
struct ServerResources
{
    std::shared_ptr<limits::ByteBudget> memory;            // null: not counted
    std::shared_ptr<limits::ConnectionBudget> connections; // null: only ServerLimits::maxConnections holds
};

/// Descriptors that the process may open.
[[nodiscard]] std::size_t maxDescriptors();

/// One request and its response.
class Exchange
{
public:
    Exchange() = default;
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;
    virtual ~Exchange() = default;

    [[nodiscard]] virtual const Request &request() const = 0;
    /// Reads the body into request().body; fails with BodyTooLarge or BadRequest.
    virtual boost::asio::awaitable<core::Result<void>> readBody() = 0;
    /// Sets the function that readBody() asks before it holds that many bytes: once with the length that the client states, 0 if none, and
    /// then whenever the body grows beyond it. If it returns false, readBody() fails with Overloaded. Supported only on connections of an
    /// http::Server.
    virtual void limitBody(std::function<bool(std::size_t bytes)> mayHold)
    {
        (void)mayHold;
    }
    /// Moves the body out of request() where that is supported, else copies it.
    [[nodiscard]] virtual std::string takeBody()
    {
        return request().body;
    }
    /// Ends a readBody() that waits for the client, which then fails. Bytes that have just arrived may let it go on. Supported only on
    /// connections of an http::Server.
    virtual void cancelBodyRead()
    {
    }
    /// Sends a complete response.
    virtual boost::asio::awaitable<bool> respond(const Response &response) = 0;
    /// Starts a response whose length is not known yet; `response.body` is not sent.
    virtual boost::asio::awaitable<bool> beginResponse(const Response &response) = 0;
    virtual boost::asio::awaitable<bool> writeChunk(std::string_view chunk) = 0;
    virtual boost::asio::awaitable<bool> endResponse() = 0;
    /// Whether sending of a response has started.
    [[nodiscard]] virtual bool responseStarted() const = 0;
    /// Closes the connection without finishing the response, so that the client detects the truncation.
    virtual void abort() = 0;
    /// Writes bytes as they are, in place of a response; for simulated servers that break the protocol. Supported only on
    /// connections of an http::Server; false elsewhere.
    virtual boost::asio::awaitable<bool> writeRaw(std::string_view bytes);
    /// Resets the connection; equal to abort() where that is not supported.
    virtual void reset()
    {
        abort();
    }
    /// Calls `onDisconnect` once if the client closes its connection. Call this after readBody(). Supported only on plain TCP connections, not on TLS.
    virtual void onClientDisconnect(std::function<void()> onDisconnect)
    {
        (void)onDisconnect;
    }
    /// Whether the client has closed its connection, by what has arrived at the socket until now; onDisconnect may still wait for its turn in a
    /// busy event loop. Not known while the client has sent more bytes, and on TLS connections: false.
    [[nodiscard]] virtual bool isClientGone()
    {
        return false;
    }
};

using Handler = std::function<boost::asio::awaitable<void>(Exchange &)>;

/// Why a request that reached the handler has no complete response from it.
enum class UnansweredReason {
    HandlerFailed,      // the handler threw an exception
    NoResponse,         // the handler returned without a response
    Incomplete,         // the handler returned before the end of its response
    Aborted,            // the handler called abort() or reset()
    WriteTimeout,       // the client did not read its response in time
    ClientDisconnected, // the client closed its connection
};

/// Name of a reason as written in log lines and metric labels, e.g. "handler_failed".
[[nodiscard]] std::string_view toString(UnansweredReason reason);

struct UnansweredRequest
{
    const Request &request;
    UnansweredReason reason;
    bool responseStarted; // whether the client may have received a part of the response
    std::string detail;   // message of the exception or of the failed write
};

/// HTTP server. stopAccepting() closes the listening socket; exchanges in progress continue, and open connections stay open
/// until a response has announced the close or closeIdleConnections() is called.
class Server
{
public:
    /// `tls` may be null; throws boost::system::system_error when the endpoint cannot be bound.
    Server(boost::asio::any_io_executor executor, const Endpoint &endpoint, ServerLimits limits, Handler handler, std::shared_ptr<ReloadableTlsContext> tls);
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;
    ~Server();

    void stopAccepting();
    /// Adds `Connection: close` to all further responses; idle connections stay open for requests already in transit.
    void closeAfterResponses();
    /// Closes connections without a request in progress or unread data. A request in transit during the close is not read,
    /// and its client can detect that.
    void closeIdleConnections();
    /// Sets the function that is called for each request that reached the handler and has no complete response.
    void setUnansweredCallback(std::function<void(const UnansweredRequest &)> onUnanswered);
    /// Sets the function that is called for each request or connection that the server rejects itself, with the reason.
    void setRejectedCallback(std::function<void(std::string_view reason)> onRejected);
    /// Sets what this server shares with others, for connections that are accepted from now on. Call this on the executor.
    void setResources(ServerResources resources);
    /// Sets the limits for requests that start from now on. An idle connection that waits keeps the longer idle timeout, since
    /// its client may rely on either. Call this on the executor.
    void setLimits(const ServerLimits &limits);
    [[nodiscard]] std::size_t activeExchangeCount() const; // requests currently being handled
    /// Returns whether a request is being read or handled, an open idle connection may still deliver one, or a connection is being
    /// closed after a response. After closeIdleConnections(), false means that the process can exit without losing a request that it
    /// has read, or a response that the client has not read.
    [[nodiscard]] bool hasOpenRequests() const;
    [[nodiscard]] std::size_t openConnectionCount() const;
    [[nodiscard]] std::uint16_t port() const;

    struct State; // shared with the sessions; defined in the source file

private:
    std::shared_ptr<State> m_state;
};

} // namespace arbutus::http
