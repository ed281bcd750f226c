// HTTP/1.1 listener: Beast underneath, coroutines for handlers.
//
//   http::Server server(executor, endpoint, ServerLimits{}, handler, nullptr);
//   asio::awaitable<void> handler(http::Exchange &exchange) { co_await exchange.respond(jsonResponse(200, "{}")); }
//
// The handler runs when the headers have been read; it judges them and then asks for the body, so that a request that
// must not be read is not read. An exchange that the handler leaves unanswered is closed.
//
// Q: How does a handler learn that the caller has gone?
// A: respond(), begin(), write() and end() return false from then on. A handler that waits for something else while
//    nothing is written asks with onCallerGone().
//
// Q: Which requests are refused before a handler sees them?
// A: Those whose length two parsers could read differently: a length and chunks at once, several lengths, a transfer
//    coding other than chunked, more than one Host. They get 400 and the connection is closed.

#pragma once

#include "arbutus/http/message.h"
#include "arbutus/http/tls.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <functional>
#include <memory>

namespace arbutus::http {

/// Bounds on what a caller may make the listener hold or wait for.
struct ServerLimits
{
    std::size_t maxHeaderBytes = 16 * 1024;          // all request headers together
    std::size_t maxBodyBytes = 4 * 1024 * 1024;      // request body
    std::size_t maxConnections = 8192;               // open at once
    std::chrono::milliseconds headerTimeout{15'000}; // slow headers, from their first byte
    std::chrono::milliseconds idleTimeout{15'000};   // no byte of a next request
    std::chrono::milliseconds bodyTimeout{20'000};   // slow body
    std::chrono::milliseconds writeTimeout{20'000};  // caller does not read
};

/// One request and its answer.
class Exchange
{
public:
    Exchange() = default;
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;
    virtual ~Exchange() = default;

    [[nodiscard]] virtual const Request &request() const = 0;
    /// Reads the body into request().body; BodyTooLarge or BadRequest when it cannot.
    virtual boost::asio::awaitable<core::Result<void>> readBody() = 0;
    /// Sends a whole answer.
    virtual boost::asio::awaitable<bool> respond(const Response &response) = 0;
    /// Starts a chunked answer; `response.body` is not sent.
    virtual boost::asio::awaitable<bool> beginResponse(const Response &response) = 0;
    virtual boost::asio::awaitable<bool> writeChunk(std::string_view piece) = 0;
    virtual boost::asio::awaitable<bool> endResponse() = 0;
    /// Whether anything of an answer has been sent.
    [[nodiscard]] virtual bool responseStarted() const = 0;
    /// Closes the connection without finishing the answer, so that the caller sees it is not whole.
    virtual void abort() = 0;
    /// Calls `gone` once if the caller closes its connection; call it after readBody(). Only plain TCP connections can tell.
    virtual void onClientDisconnect(std::function<void()> gone)
    {
        (void)gone;
    }
};

using Handler = std::function<boost::asio::awaitable<void>(Exchange &)>;

/// A listener. stopAccepting() closes the listening socket; open exchanges go on.
class Server
{
public:
    /// `tls` may be null; throws boost::system::system_error when the endpoint cannot be bound.
    Server(boost::asio::any_io_executor executor, const Endpoint &endpoint, ServerLimits limits, Handler handler, std::shared_ptr<ReloadableTlsContext> tls);
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;
    ~Server();

    void stopAccepting();
    /// Every further answer says `Connection: close`; idle connections stay open for requests that are on their way.
    void closeAfterResponses();
    /// Closes connections on which no request is under way and none has arrived. A request that crosses the close was not
    /// read, and its caller can tell.
    void closeIdleConnections();
    /// Bounds for requests that begin from now on.
    void setLimits(const ServerLimits &limits);
    [[nodiscard]] std::size_t activeExchangeCount() const; // requests being handled now
    [[nodiscard]] std::size_t openConnectionCount() const;
    [[nodiscard]] std::uint16_t port() const;

    struct State; // shared with the sessions; defined in the source file

private:
    std::shared_ptr<State> m_state;
};

} // namespace arbutus::http
