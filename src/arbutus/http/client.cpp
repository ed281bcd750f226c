// Calls over Beast, with their stage kept.

#include "arbutus/http/client.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <charconv>
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

constexpr std::size_t PieceBytes = 16 * 1024;             // most of a body handed out at once
constexpr std::size_t IdlePerEndpoint = 16;               // idle connections kept to one endpoint
constexpr std::uint64_t AnswerLimit = 64 * 1024 * 1024;   // bytes of one answer's body
constexpr int ForeignAnswersMost = 3;                     // answers to other requests dropped before the call gives up
constexpr auto KeepAliveMargin = std::chrono::seconds(1); // before the other side's announced idle timeout

using IdleClock = std::chrono::steady_clock;

CallError failure(CallStage stage, const ErrorCode &code)
{
    return CallError{stage, code.message(), code == beast::error::timeout};
}

/// Bounds how long written bytes may stay unacknowledged, so that a connection that went silent fails.
void boundSilence(Tcp::socket &socket, std::chrono::milliseconds most)
{
    const int milliseconds = static_cast<int>(most.count());
    // A platform without the option still has the call's own timeout.
    (void)::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, sizeof milliseconds);
}

/// Whether nothing has arrived on an idle connection, not even its end.
bool isQuiet(Tcp::socket &socket)
{
    char byte = 0;
    const auto got = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

struct ConnectionPool::Impl
{
    struct Idle
    {
        beast::tcp_stream stream;
        IdleClock::time_point since;
        IdleClock::time_point until; // the other side closes it then
    };
    std::map<Endpoint, std::vector<Idle>> idle;
};

ConnectionPool::ConnectionPool()
    : m_impl(std::make_unique<Impl>())
{
}

ConnectionPool::~ConnectionPool() = default;

void ConnectionPool::closeIdleConnections(const Endpoint &endpoint)
{
    m_impl->idle.erase(endpoint);
}

struct Call::Impl : std::enable_shared_from_this<Call::Impl>
{
    Impl(asio::any_io_executor executor, Endpoint target, CallOptions callOptions)
        : stream(std::in_place, executor)
        , endpoint(std::move(target))
        , options(std::move(callOptions))
    {
    }

    using Parser = wire::response_parser<wire::buffer_body>;

    std::optional<beast::tcp_stream> stream;
    Endpoint endpoint;
    CallOptions options;
    beast::flat_buffer buffer;
    std::optional<Parser> parser;
    wire::request<wire::string_body> message;
    bool reused = false;
    bool cancelled = false;
    bool written = false; // the whole request has been handed to the network

    bool takeIdle()
    {
        if (options.pool == nullptr) {
            return false;
        }
        auto &idle = options.pool->impl().idle[endpoint];
        while (!idle.empty()) {
            ConnectionPool::Impl::Idle candidate = std::move(idle.back());
            idle.pop_back();
            const auto now = IdleClock::now();
            if (now - candidate.since <= options.maxIdleTime && now < candidate.until && isQuiet(candidate.stream.socket())) {
                stream.emplace(std::move(candidate.stream));
                reused = true;
                return true;
            }
        }
        return false;
    }

    void giveBack()
    {
        const bool sound = parser->is_done() && parser->get().keep_alive() && written && buffer.size() == 0;
        if (options.pool == nullptr || cancelled || !sound || !stream->socket().is_open()) {
            return;
        }
        auto &idle = options.pool->impl().idle[endpoint];
        if (idle.size() < IdlePerEndpoint) {
            stream->expires_never();
            const auto now = IdleClock::now();
            idle.push_back(ConnectionPool::Impl::Idle{std::move(*stream), now, now + announcedIdle()});
            stream.reset();
        }
    }

    /// How long the other side says that it keeps an idle connection, less a margin.
    [[nodiscard]] IdleClock::duration announcedIdle() const
    {
        constexpr std::string_view Name = "timeout=";
        const auto value = parser->get()["Keep-Alive"];
        const auto at = value.find(Name);
        if (at == std::string_view::npos) {
            return std::chrono::hours(1);
        }
        long seconds = 0;
        const char *from = value.data() + at + Name.size();
        std::from_chars(from, value.data() + value.size(), seconds);
        return std::chrono::seconds(seconds) - KeepAliveMargin;
    }

    asio::awaitable<CallResult<void>> connect(std::chrono::milliseconds timeout)
    {
        ErrorCode code;
        const auto address = asio::ip::make_address(endpoint.host, code);
        if (code) {
            co_return failure(CallStage::Connect, code);
        }
        const Tcp::endpoint target(address, endpoint.port);
        stream->expires_after(std::min(timeout, options.connectTimeout));
        co_await stream->async_connect(target, asio::redirect_error(asio::use_awaitable, code));
        if (code) {
            co_return failure(CallStage::Connect, code);
        }
        stream->socket().set_option(Tcp::no_delay(true), code);
        boundSilence(stream->socket(), timeout);
        co_return boost::outcome_v2::success();
    }

    void prepare(const Request &request)
    {
        message = {};
        message.version(11);
        message.method_string(request.method);
        message.target(request.target);
        message.set(wire::field::host, toString(endpoint));
        for (const auto &[name, value] : request.headers) {
            message.set(name, value);
        }
        message.body() = request.body;
        message.keep_alive(options.pool != nullptr);
        message.prepare_payload();
    }

    /// Starts writing and returns at once, so that an answer that comes before the body has been taken is seen.
    void startWrite()
    {
        written = false;
        wire::async_write(*stream, message, [self = shared_from_this()](const ErrorCode &code, std::size_t) { self->written = !code; });
    }

    /// Reads answer headers until one belongs to this call.
    asio::awaitable<ErrorCode> readHead(bool &foreign)
    {
        for (int skipped = 0; skipped <= ForeignAnswersMost; ++skipped) {
            parser.emplace();
            parser->body_limit(AnswerLimit);
            if (message.method() == wire::verb::head) {
                parser->skip(true);
            }
            ErrorCode code;
            co_await wire::async_read_header(*stream, buffer, *parser, asio::redirect_error(asio::use_awaitable, code));
            if (code || !options.matchesResponse) {
                co_return code;
            }
            Headers headers;
            for (const auto &field : parser->get()) {
                headers[std::string(field.name_string())] = std::string(field.value());
            }
            if (options.matchesResponse(headers)) {
                co_return code;
            }
            foreign = true;
            code = co_await dropBody();
            if (code) {
                co_return code;
            }
        }
        co_return wire::error::bad_value;
    }

    asio::awaitable<ErrorCode> dropBody()
    {
        std::array<char, PieceBytes> space; // NOLINT(cppcoreguidelines-pro-type-member-init)
        ErrorCode code;
        while (!parser->is_done() && !code) {
            parser->get().body().data = space.data();
            parser->get().body().size = space.size();
            parser->get().body().more = true;
            co_await wire::async_read_some(*stream, buffer, *parser, asio::redirect_error(asio::use_awaitable, code));
            if (code == wire::error::need_buffer) {
                code = {};
            }
        }
        co_return code;
    }

    /// One try: a kept connection if `mayReuse`, otherwise a new one.
    asio::awaitable<CallResult<void>> attempt(bool mayReuse, std::chrono::milliseconds timeout)
    {
        reused = false;
        if (!mayReuse || !takeIdle()) {
            auto connected = co_await connect(timeout);
            if (!connected) {
                co_return connected.error();
            }
        }
        if (cancelled) {
            co_return CallError{CallStage::Connect, "cancelled"};
        }
        if (options.onConnected) {
            options.onConnected(!reused);
        }
        stream->expires_after(timeout);
        startWrite();
        bool foreign = false;
        const ErrorCode code = co_await readHead(foreign);
        if (code) {
            CallError failed = failure(written ? CallStage::ReadHeaders : CallStage::SendRequest, code);
            failed.connectionReused = reused;
            failed.mismatchedResponse = foreign;
            co_return failed;
        }
        co_return boost::outcome_v2::success();
    }
};

Call::Call(asio::any_io_executor executor, Endpoint endpoint, CallOptions options)
    : m_impl(std::make_shared<Impl>(std::move(executor), std::move(endpoint), std::move(options)))
{
}

Call::Call(asio::any_io_executor executor, Endpoint endpoint, ConnectionPool *pool)
    : Call(std::move(executor), std::move(endpoint), CallOptions{pool})
{
}

Call::~Call()
{
    if (m_impl->stream && m_impl->stream->socket().is_open()) { // not given back: an answer under way ends with its call
        m_impl->cancelled = true;
        m_impl->stream->close();
    }
}

asio::awaitable<CallResult<Response>> Call::start(const Request &request, std::chrono::milliseconds timeout)
{
    Impl &impl = *m_impl;
    impl.prepare(request);
    auto tried = co_await impl.attempt(true, timeout);
    if (!tried && impl.options.retryOnStaleConnection && tried.error().connectionReused && !tried.error().timedOut && !impl.cancelled) {
        // The other side had closed a kept connection; the call may be repeated, so a new one is opened.
        impl.stream.emplace(impl.stream->get_executor());
        impl.buffer.clear();
        tried = co_await impl.attempt(false, timeout);
    }
    if (!tried) {
        co_return tried.error();
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
            co_return failure(CallStage::ReadBody, code);
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
    m_impl->cancelled = true;
    if (m_impl->stream) {
        m_impl->stream->close();
    }
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
