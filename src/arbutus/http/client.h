// HTTP/1.1 calls to upstreams, the platform and, in tools, to entries.
//
// Every call opens its own connection unless a Pool is given. CallFailure::Stage tells whether the other side can have
// seen a byte. A connection goes back to the pool only after a whole answer with nothing behind it.
//
//   http::Call call(executor, endpoint);
//   auto head = co_await call.start(request, timeout);   // status and headers
//   auto piece = co_await call.readSome(timeout);         // body, piece by piece; empty = whole body read
//
// Q: What does a call do with an answer to an earlier request on a kept connection?
// A: CallOptions::isMine judges the headers; an answer that is not this call's is read to its end and dropped.
//
// Q: Is a request ever sent twice?
// A: Only with CallOptions::repeatable, once, where a kept connection turned out to be closed before any answer.

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
    Connect,     // nothing can have been sent
    SendRequest, // some bytes may have been sent
    ReadHeaders, // all was sent, no answer came
    ReadBody,    // the answer stopped before its end
};

/// Why a call has no whole answer.
struct CallError
{
    CallStage stage = CallStage::Connect;
    std::string message;
    bool timedOut = false;
    bool connectionReused = false;   // on a kept connection, which the other side may have closed long before
    bool mismatchedResponse = false; // bytes came that are no answer to this call
};

template<class T>
using CallResult = boost::outcome_v2::basic_result<T, CallError, boost::outcome_v2::policy::all_narrow>;

/// Idle connections kept for repeatable calls. Not thread-safe: one pool for each executor thread.
class ConnectionPool
{
public:
    ConnectionPool();
    ConnectionPool(const ConnectionPool &) = delete;
    ConnectionPool &operator=(const ConnectionPool &) = delete;
    ~ConnectionPool();

    /// Closes the idle connections to one endpoint, e.g. because another process may have its address.
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
    ConnectionPool *pool = nullptr;                            // kept connections; none: a connection for each call
    bool retryOnStaleConnection = true;                        // may be sent again after a kept connection failed
    std::chrono::milliseconds maxIdleTime{4'000};              // kept connections that have been idle longer are closed
    std::chrono::milliseconds connectTimeout{1'000};           // for a new connection
    std::function<bool(const Headers &)> matchesResponse = {}; // whether answer headers belong to this call; empty: they do
    std::function<void(bool opened)> onConnected = {};         // a connection is there; opened: it is a new one
};

/// One request and its answer.
class Call
{
public:
    Call(boost::asio::any_io_executor executor, Endpoint endpoint, CallOptions options);
    /// With a pool, an idle connection may be reused: only for calls that may be repeated.
    Call(boost::asio::any_io_executor executor, Endpoint endpoint, ConnectionPool *pool = nullptr);
    Call(const Call &) = delete;
    Call &operator=(const Call &) = delete;
    ~Call();

    /// Sends the request and reads the answer's status and headers; `timeout` covers all of it.
    boost::asio::awaitable<CallResult<Response>> start(const Request &request, std::chrono::milliseconds timeout);
    /// Next piece of the body; an empty text means that the whole body has been read.
    boost::asio::awaitable<CallResult<std::string>> readSome(std::chrono::milliseconds timeout);
    /// Rest of the body.
    boost::asio::awaitable<CallResult<std::string>> readAll(std::chrono::milliseconds timeout);
    /// Closes the connection, which tells the other side to stop.
    void cancel();

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl; // shared with the write under way
};

/// Whole call: request, headers and body.
boost::asio::awaitable<CallResult<Response>>
fetch(boost::asio::any_io_executor executor, Endpoint endpoint, Request request, std::chrono::milliseconds timeout);

} // namespace arbutus::http
