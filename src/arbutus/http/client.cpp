// Calls over Beast, with their stage kept.

#include "arbutus/http/client.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <map>
#include <optional>
#include <vector>

namespace arbutus::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace wire = boost::beast::http;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

namespace {

constexpr std::size_t PieceBytes = 16 * 1024;           // most of a body handed out at once
constexpr std::size_t IdlePerEndpoint = 16;             // idle connections kept to one endpoint
constexpr std::uint64_t AnswerLimit = 64 * 1024 * 1024; // bytes of one answer's body

CallFailure failure(Stage stage, const ErrorCode &code)
{
    return CallFailure{stage, code.message(), code == beast::error::timeout};
}

} // namespace

struct Pool::Impl
{
    std::map<Endpoint, std::vector<beast::tcp_stream>> idle;
};

Pool::Pool()
    : m_impl(std::make_unique<Impl>())
{
}

Pool::~Pool() = default;

struct Call::Impl
{
    Impl(asio::any_io_executor executor, Endpoint target, Pool *connections)
        : stream(std::in_place, executor)
        , endpoint(std::move(target))
        , pool(connections)
    {
    }

    std::optional<beast::tcp_stream> stream;
    Endpoint endpoint;
    Pool *pool;
    beast::flat_buffer buffer;
    std::optional<wire::response_parser<wire::buffer_body>> parser{std::in_place};
    bool reused = false;

    bool takeIdle()
    {
        if (pool == nullptr) {
            return false;
        }
        auto &idle = pool->impl().idle[endpoint];
        if (idle.empty()) {
            return false;
        }
        stream.emplace(std::move(idle.back()));
        idle.pop_back();
        reused = true;
        return true;
    }

    void giveBack()
    {
        if (pool == nullptr || !parser->is_done() || !parser->get().keep_alive()) {
            return;
        }
        auto &idle = pool->impl().idle[endpoint];
        if (idle.size() < IdlePerEndpoint && stream->socket().is_open()) {
            stream->expires_never();
            idle.push_back(std::move(*stream));
        }
    }

    asio::awaitable<CallResult<void>> connect()
    {
        ErrorCode code;
        const auto address = asio::ip::make_address(endpoint.host, code);
        if (code) {
            co_return failure(Stage::Connect, code);
        }
        const Tcp::endpoint target(address, endpoint.port);
        co_await stream->async_connect(target, asio::redirect_error(asio::use_awaitable, code));
        if (code) {
            co_return failure(Stage::Connect, code);
        }
        stream->socket().set_option(Tcp::no_delay(true), code);
        co_return boost::outcome_v2::success();
    }

    asio::awaitable<ErrorCode> send(const Request &request)
    {
        wire::request<wire::string_body> message(wire::string_to_verb(request.method), request.target, 11);
        if (message.method() == wire::verb::unknown) {
            message.method_string(request.method);
        }
        message.set(wire::field::host, toString(endpoint));
        for (const auto &[name, value] : request.headers) {
            message.set(name, value);
        }
        message.body() = request.body;
        message.keep_alive(pool != nullptr);
        message.prepare_payload();
        ErrorCode code;
        co_await wire::async_write(*stream, message, asio::redirect_error(asio::use_awaitable, code));
        co_return code;
    }

    asio::awaitable<ErrorCode> readHead()
    {
        parser->body_limit(AnswerLimit);
        ErrorCode code;
        co_await wire::async_read_header(*stream, buffer, *parser, asio::redirect_error(asio::use_awaitable, code));
        co_return code;
    }
};

Call::Call(asio::any_io_executor executor, Endpoint endpoint, Pool *pool)
    : m_impl(std::make_unique<Impl>(std::move(executor), std::move(endpoint), pool))
{
}

Call::~Call() = default;

asio::awaitable<CallResult<Response>> Call::start(const Request &request, std::chrono::milliseconds timeout)
{
    Impl &impl = *m_impl;
    const bool idle = impl.takeIdle();
    impl.stream->expires_after(timeout);
    if (!idle) {
        auto connected = co_await impl.connect();
        if (!connected) {
            co_return connected.error();
        }
    }
    ErrorCode code = co_await impl.send(request);
    Stage stage = Stage::Write;
    if (!code) {
        stage = Stage::Head;
        code = co_await impl.readHead();
    }
    if (code && impl.reused && code != beast::error::timeout && impl.buffer.size() == 0) {
        // An idle connection that the other side had closed: pooled calls may be repeated, so a fresh one is opened.
        impl.reused = false;
        impl.stream.emplace(impl.stream->get_executor());
        impl.parser.emplace();
        impl.stream->expires_after(timeout);
        auto connected = co_await impl.connect();
        if (!connected) {
            co_return connected.error();
        }
        code = co_await impl.send(request);
        if (!code) {
            code = co_await impl.readHead();
        }
    }
    if (code) {
        co_return failure(stage, code);
    }
    Response response;
    response.status = impl.parser->get().result_int();
    for (const auto &field : impl.parser->get()) {
        response.headers[std::string(field.name_string())] = std::string(field.value());
    }
    co_return response;
}

asio::awaitable<CallResult<std::string>> Call::readSome(std::chrono::milliseconds timeout)
{
    Impl &impl = *m_impl;
    std::string piece;
    while (piece.empty() && !impl.parser->is_done()) {
        std::array<char, PieceBytes> space; // NOLINT(cppcoreguidelines-pro-type-member-init)
        impl.parser->get().body().data = space.data();
        impl.parser->get().body().size = space.size();
        impl.parser->get().body().more = true;
        impl.stream->expires_after(timeout);
        ErrorCode code;
        co_await wire::async_read_some(*impl.stream, impl.buffer, *impl.parser, asio::redirect_error(asio::use_awaitable, code));
        if (code && code != wire::error::need_buffer) {
            co_return failure(Stage::Body, code);
        }
        piece.assign(space.data(), space.size() - impl.parser->get().body().size);
    }
    if (piece.empty()) {
        impl.giveBack();
    }
    co_return piece;
}

asio::awaitable<CallResult<std::string>> Call::readAll(std::chrono::milliseconds timeout)
{
    std::string body;
    while (true) {
        auto piece = co_await readSome(timeout);
        if (!piece) {
            co_return piece.error();
        }
        if (piece.value().empty()) {
            co_return body;
        }
        body += piece.value();
    }
}

void Call::cancel()
{
    m_impl->stream->close();
}

asio::awaitable<CallResult<Response>> fetch(asio::any_io_executor executor, Endpoint endpoint, Request request, std::chrono::milliseconds timeout)
{
    Call call(std::move(executor), std::move(endpoint));
    auto head = co_await call.start(request, timeout);
    if (!head) {
        co_return head.error();
    }
    auto body = co_await call.readAll(timeout);
    if (!body) {
        co_return body.error();
    }
    head.value().body = std::move(body.value());
    co_return std::move(head.value());
}

} // namespace arbutus::http
