// HTTP/1.1 client for upstreams and the platform; tools also use it to call gateways.
//
// Every call opens its own connection unless a ConnectionPool is given. CallError::stage tells whether the server may
// have received any part of the request. A connection returns to the pool only after a complete response with no bytes
// after it.
//
//   http::Call call(executor, endpoint);
//   auto head = co_await call.start(request, timeout);   // status and headers
//   auto chunk = co_await call.readSome(timeout);         // next body chunk; empty at the end of the body
//
// Q: What happens to a late response to an earlier request on a reused connection?
// A: CallOptions::matchResponse checks the headers; a response that names another request is read to its end and discarded.
//    The connection is not reused after this call: more of them may follow.
//
// Q: And if the late response names no request?
// A: It cannot be told from the response to this request. A server may write such a response twice, so the connection on which one
//    arrived is not reused.
//
// Q: How does a caller know that a body is complete?
// A: By its length or its last chunk. A response with neither, or with a transfer coding other than chunked, fails unless
//    CallOptions::acceptConnectionClose is set. With that option, check the body with isTruncated() (truncation.h).
//
//    A body that ends with its connection is complete only after the whole request has been written: a socket reports its error once, and if
//    the write gets it, the read finds a regular end. A server that responds early is waited for while it reads the request.
//
// Q: Which responses are refused?
// A: Those that are not HTTP, that have a status outside 100 to 599, and those with a folded line in a head (responsehead.h).
//
// Q: Is a request ever sent twice?
// A: Only with CallOptions::retryOnStaleConnection, and only once: when a reused connection, which the server may already
//    have closed, fails before the first byte of a response, other than by a timeout.

#pragma once

#include "arbutus/http/message.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/all_narrow.hpp>

#include <chrono>
#include <functional>
#include <memory>

namespace arbutus::http {

/// How far a call got before it failed.
enum class CallStage {
    Connect,     // no part of the request can have been sent
    SendRequest, // part of the request may have been sent
    ReadHeaders, // the request was sent, but no acceptable response headers arrived
    ReadBody,    // the response body was truncated
};

/// Why a call did not get a complete response.
struct CallError
{
    CallStage stage = CallStage::Connect;
    std::string message;
    bool timedOut = false;
    bool connectionReused = false;   // the connection came from the pool and has brought nothing; the server may have closed it earlier
    bool mismatchedResponse = false; // a response to another request was received
    bool refused = false;            // the host is reached, and nothing listens at the port
};

template<class T>
using CallResult = boost::outcome_v2::basic_result<T, CallError, boost::outcome_v2::policy::all_narrow>;

/// Which request a response names in its headers.
enum class ResponseMatch { ThisRequest, OtherRequest, NoRequest };

/// Idle connections for reuse by later calls. Not thread-safe: use one pool per executor thread.
class ConnectionPool
{
public:
    ConnectionPool();
    ConnectionPool(const ConnectionPool &) = delete;
    ConnectionPool &operator=(const ConnectionPool &) = delete;
    ~ConnectionPool();

    /// Closes the idle connections to one endpoint, e.g. because another process may now own its address.
    void closeIdleConnections(const Endpoint &endpoint);

    struct Impl;
    [[nodiscard]] Impl &impl()
    {
        return *m_impl;
    }

private:
    std::unique_ptr<Impl> m_impl;
};

/// How a call uses connections.
struct CallOptions
{
    static constexpr std::uint32_t DefaultMaxHeadBytes = 32 * 1024;

    ConnectionPool *pool = nullptr;                                   // idle connections to reuse; null: a new connection for each call
    bool retryOnStaleConnection = true;                               // resend the request once if a reused connection fails
    bool acceptConnectionClose = false;                               // accept a body that ends with its connection, without length or chunks
    std::uint32_t maxHeadBytes = DefaultMaxHeadBytes;                 // a longer status line with headers is an error
    std::uint64_t maxBodyBytes = 64 * 1024 * 1024;                    // a longer response body is an error
    std::function<bool(std::size_t bytes)> mayHoldBody = {};          // asked by readAll() before it holds that many bytes; if not, it fails
    std::chrono::milliseconds maxIdleTime{4'000};                     // pooled connections idle for longer are closed
    std::chrono::milliseconds connectTimeout{1'000};                  // limit for opening a new connection
    std::function<ResponseMatch(const Headers &)> matchResponse = {}; // which request response headers name; unset: always this one
    std::function<bool()> maySend = {};                               // asked once connected; if not, the call fails at CallStage::Connect
    std::function<void(bool opened)> onConnected = {};                // called after that; opened: it is a new connection
};

/// One request and its response.
class Call
{
public:
    Call(boost::asio::any_io_executor executor, Endpoint endpoint, CallOptions options);
    /// With a pool, an idle connection may be reused and the request sent twice: use it only for idempotent calls.
    Call(boost::asio::any_io_executor executor, Endpoint endpoint, ConnectionPool *pool = nullptr);
    Call(const Call &) = delete;
    Call &operator=(const Call &) = delete;
    ~Call();

    /// Sends the request and reads the status and headers of the response. In each attempt, `timeout` limits connecting (together
    /// with CallOptions::connectTimeout) and, separately, sending the request and reading the headers.
    boost::asio::awaitable<CallResult<Response>> start(const Request &request, std::chrono::milliseconds timeout);
    /// How the response marks the end of its body; call it only after start() succeeded.
    [[nodiscard]] BodyEnd bodyEnd() const;
    /// Reads the next chunk of the body; empty at the end of the body.
    boost::asio::awaitable<CallResult<std::string>> readSome(std::chrono::milliseconds timeout);
    /// Reads the rest of the body within `timeout`. The body alone does not show whether it is complete, see bodyEnd().
    boost::asio::awaitable<CallResult<std::string>> readAll(std::chrono::milliseconds timeout);
    /// Closes the connection, which tells the server to stop processing the request.
    void cancel();

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl; // shared with the pending write
};

/// Performs a complete call and returns the response with its body. With CallOptions::acceptConnectionClose, a body whose content
/// shows that it was cut off is an error too.
boost::asio::awaitable<CallResult<Response>>
fetch(boost::asio::any_io_executor executor, Endpoint endpoint, Request request, std::chrono::milliseconds timeout, CallOptions options);
boost::asio::awaitable<CallResult<Response>>
fetch(boost::asio::any_io_executor executor, Endpoint endpoint, Request request, std::chrono::milliseconds timeout);

/// Opens a connection and closes it without sending anything. Returns why that failed; no error if the server accepted it.
boost::asio::awaitable<boost::system::error_code> probeConnection(boost::asio::any_io_executor executor, Endpoint endpoint, std::chrono::milliseconds timeout);

} // namespace arbutus::http
