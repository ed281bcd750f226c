// HTTP/1.1 calls to upstreams, the platform and, in tools, to entries.
//
// Every call opens its own connection unless a Pool is given; there is no retry in here, so that the caller always
// knows how far a call got. CallFailure::Stage tells whether the other side can have seen a byte.
//
//   http::Call call(executor, endpoint);
//   auto head = co_await call.start(request, deadline);   // status and headers
//   auto piece = co_await call.readSome();                 // body, piece by piece; empty = whole body read

#pragma once

#include "arbutus/http/message.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/all_narrow.hpp>

#include <chrono>
#include <memory>

namespace arbutus::http {

/// How far a call got before it failed.
enum class Stage {
    Connect, // nothing can have been sent
    Write,   // some bytes may have been sent
    Head,    // all was sent, no answer came
    Body,    // the answer stopped before its end
};

/// Why a call has no whole answer.
struct CallFailure
{
    Stage stage = Stage::Connect;
    std::string message;
    bool timedOut = false;
};

template<class T>
using CallResult = boost::outcome_v2::basic_result<T, CallFailure, boost::outcome_v2::policy::all_narrow>;

/// Idle connections kept for repeatable calls. Not thread-safe: one pool for each executor thread.
class Pool
{
public:
    Pool();
    Pool(const Pool &) = delete;
    Pool &operator=(const Pool &) = delete;
    ~Pool();

    struct Impl;
    [[nodiscard]] Impl &impl()
    {
        return *m_impl;
    }

private:
    std::unique_ptr<Impl> m_impl;
};

/// One request and its answer.
class Call
{
public:
    /// With a pool, an idle connection may be reused: only for calls that may be repeated.
    Call(boost::asio::any_io_executor executor, Endpoint endpoint, Pool *pool = nullptr);
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
    std::unique_ptr<Impl> m_impl;
};

/// Whole call: request, headers and body.
boost::asio::awaitable<CallResult<Response>>
fetch(boost::asio::any_io_executor executor, Endpoint endpoint, Request request, std::chrono::milliseconds timeout);

} // namespace arbutus::http
