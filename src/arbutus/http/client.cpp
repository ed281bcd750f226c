// HTTP calls over Beast that track the stage they reached.

#include "arbutus/http/client.h"

#include "arbutus/http/responsehead.h"
#include "arbutus/http/truncation.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
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

constexpr std::size_t MaxChunkBytes = 16 * 1024;                       // largest body chunk returned by one read
constexpr std::size_t MaxIdlePerEndpoint = 16;                         // idle connections kept per endpoint
constexpr std::size_t MaxPieceBytes = 64 * 1024;                       // of a body that is being read
constexpr std::size_t MaxBufferedBytes = 128 * 1024;                   // received and not yet parsed; also bounds chunk extensions and trailers
constexpr int MaxMismatchedResponses = 3;                              // responses to other requests discarded before the call fails
constexpr int MaxInterimResponses = 8;                                 // before a final one
constexpr std::chrono::seconds MaxIdleTimeout = std::chrono::hours(1); // of pooled connections; longer announced ones are cut
constexpr auto KeepAliveMargin = std::chrono::seconds(1);              // subtracted from the idle timeout announced by the server

using IdleClock = std::chrono::steady_clock;

CallError makeCallError(CallStage stage, const ErrorCode &code)
{
    return CallError{stage, code.message(), code == beast::error::timeout};
}

/// Limits how long sent data may stay unacknowledged, so that a write to an unresponsive peer fails.
void setTcpUserTimeout(Tcp::socket &socket, std::chrono::milliseconds timeout)
{
    const int milliseconds = static_cast<int>(timeout.count());
    // Failure is ignored: on platforms without the option, the call's own timeout still applies.
    (void)::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, sizeof milliseconds);
}

/// Writing of a request, which goes on while the response is read.
struct RequestWrite
{
    explicit RequestWrite(const asio::any_io_executor &executor)
        : ended(executor)
    {
    }

    std::optional<ErrorCode> result; // once it has ended
    asio::steady_timer ended;        // cancelled then
};

/// Whether an idle connection has neither unread data nor an end of stream.
bool hasNoPendingInput(Tcp::socket &socket)
{
    char byte = 0;
    const auto received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

struct ConnectionPool::Impl
{
    struct IdleConnection
    {
        beast::tcp_stream stream;
        IdleClock::time_point idleSince;
        IdleClock::time_point expiry; // the server closes the connection after this time
    };
    std::map<Endpoint, std::vector<IdleConnection>> idle;
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
    beast::flat_buffer buffer{MaxBufferedBytes};
    std::optional<Parser> parser;
    wire::request<wire::span_body<const char>> message;
    std::shared_ptr<const std::string> messageBody;
    bool reused = false;
    bool cancelled = false;
    std::shared_ptr<RequestWrite> requestWrite; // of the last attempt
    bool responseBegun = false;                 // bytes of the response that was read last have arrived
    bool mayRepeat = false;                     // further copies of earlier responses may follow

    bool takeIdleConnection()
    {
        if (options.pool == nullptr) {
            return false;
        }
        auto &idle = options.pool->impl().idle[endpoint];
        while (!idle.empty()) {
            ConnectionPool::Impl::IdleConnection candidate = std::move(idle.back());
            idle.pop_back();
            const auto now = IdleClock::now();
            if (now - candidate.idleSince <= options.maxIdleTime && now < candidate.expiry && hasNoPendingInput(candidate.stream.socket())) {
                stream.emplace(std::move(candidate.stream));
                reused = true;
                return true;
            }
        }
        return false;
    }

    void returnToPool()
    {
        const bool reusable = parser->is_done() && parser->get().keep_alive() && isRequestWritten() && buffer.size() == 0 && !mayRepeat;
        if (options.pool == nullptr || cancelled || !reusable || !stream->socket().is_open()) {
            return;
        }
        auto &idle = options.pool->impl().idle[endpoint];
        if (idle.size() < MaxIdlePerEndpoint) {
            stream->expires_never();
            const auto now = IdleClock::now();
            idle.push_back(ConnectionPool::Impl::IdleConnection{std::move(*stream), now, now + announcedIdleTimeout()});
            stream.reset();
        }
    }

    /// Idle timeout announced by the server in Keep-Alive, less a margin; MaxIdleTimeout if none was announced.
    [[nodiscard]] IdleClock::duration announcedIdleTimeout() const
    {
        constexpr std::string_view Parameter = "timeout=";
        const auto value = parser->get()["Keep-Alive"];
        const auto at = value.find(Parameter);
        if (at == std::string_view::npos) {
            return MaxIdleTimeout;
        }
        std::chrono::seconds::rep seconds = 0; // not a number: not kept
        const char *digits = value.data() + at + Parameter.size();
        const auto parsed = std::from_chars(digits, value.data() + value.size(), seconds);
        const bool isTooLarge = parsed.ec == std::errc::result_out_of_range && *digits != '-';
        return std::clamp(std::chrono::seconds(isTooLarge ? MaxIdleTimeout.count() : seconds), std::chrono::seconds(0), MaxIdleTimeout) - KeepAliveMargin;
    }

    asio::awaitable<CallResult<void>> connect(std::chrono::milliseconds timeout)
    {
        ErrorCode code;
        const auto address = asio::ip::make_address(endpoint.host, code);
        if (code) {
            co_return makeCallError(CallStage::Connect, code);
        }
        const Tcp::endpoint target(address, endpoint.port);
        stream->expires_after(std::min(timeout, options.connectTimeout));
        co_await stream->async_connect(target, asio::redirect_error(asio::use_awaitable, code));
        if (code) {
            CallError error = makeCallError(CallStage::Connect, code);
            error.refused = code == asio::error::connection_refused;
            co_return error;
        }
        stream->socket().set_option(Tcp::no_delay(true), code);
        setTcpUserTimeout(stream->socket(), timeout);
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
        messageBody = request.sharedBody ? request.sharedBody : std::make_shared<const std::string>(request.body);
        message.body() = beast::span<const char>(messageBody->data(), messageBody->size());
        message.keep_alive(options.pool != nullptr);
        message.prepare_payload();
    }

    /// Starts writing and returns immediately, so that a response sent before the server has read the whole body is read.
    void startWrite()
    {
        requestWrite = std::make_shared<RequestWrite>(stream->get_executor());
        wire::async_write(*stream, message, [self = shared_from_this(), write = requestWrite](const ErrorCode &code, std::size_t) {
            write->result = code;
            write->ended.cancel();
        });
    }

    /// Whether the complete request has been written to the socket.
    [[nodiscard]] bool isRequestWritten() const
    {
        return requestWrite != nullptr && requestWrite->result == ErrorCode();
    }

    /// Waits until the request has been written; returns why it was not.
    asio::awaitable<ErrorCode> finishWrite(IdleClock::time_point deadline)
    {
        const std::shared_ptr<RequestWrite> write = requestWrite;
        if (!write->result) {
            write->ended.expires_at(deadline);
            ErrorCode ignored;
            co_await write->ended.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        co_return write->result.value_or(beast::error::timeout);
    }

    /// Reads the headers of a final response; interim ones (1xx) come before it and are not needed.
    asio::awaitable<ErrorCode> readFinalHeaders()
    {
        for (int interim = 0; interim <= MaxInterimResponses; ++interim) {
            parser.emplace();
            parser->header_limit(options.maxHeadBytes);
            parser->body_limit(options.maxBodyBytes);
            if (message.method() == wire::verb::head) {
                parser->skip(true);
            }
            const ErrorCode code = co_await readResponseHead(*stream, buffer, *parser, std::min<std::size_t>(options.maxHeadBytes, MaxBufferedBytes));
            responseBegun = interim > 0 || parser->got_some() || buffer.size() > 0;
            if (code || isFinalStatus(parser->get().result_int())) {
                co_return code;
            }
            if (parser->get().result() == wire::status::switching_protocols) { // which no request asks for
                break;
            }
        }
        co_return wire::error::bad_value;
    }

    /// Reads response headers, discarding responses to other requests, until some belong to this call.
    asio::awaitable<ErrorCode> readMatchingHeaders(bool &mismatched)
    {
        for (int discarded = 0; discarded <= MaxMismatchedResponses; ++discarded) {
            ErrorCode code = co_await readFinalHeaders();
            if (code || !options.matchResponse) {
                co_return code;
            }
            Headers headers;
            for (const auto &field : parser->get()) {
                headers[std::string(field.name_string())] = std::string(field.value());
            }
            const ResponseMatch match = options.matchResponse(headers);
            mayRepeat = mayRepeat || match != ResponseMatch::ThisRequest;
            if (match != ResponseMatch::OtherRequest) {
                co_return code;
            }
            mismatched = true;
            code = co_await discardBody();
            if (code) {
                co_return code;
            }
        }
        co_return wire::error::bad_value;
    }

    asio::awaitable<ErrorCode> discardBody()
    {
        std::array<char, MaxChunkBytes> readBuffer; // NOLINT(cppcoreguidelines-pro-type-member-init)
        ErrorCode code;
        while (!parser->is_done() && !code) {
            parser->get().body().data = readBuffer.data();
            parser->get().body().size = readBuffer.size();
            parser->get().body().more = true;
            co_await wire::async_read_some(*stream, buffer, *parser, asio::redirect_error(asio::use_awaitable, code));
            if (code == wire::error::need_buffer) {
                code = {};
            }
        }
        co_return code;
    }

    /// Makes one attempt, on a pooled connection if `mayReuse` and one is available, otherwise on a new one.
    asio::awaitable<CallResult<void>> attempt(bool mayReuse, std::chrono::milliseconds timeout)
    {
        reused = false;
        mayRepeat = false;
        if (!mayReuse || !takeIdleConnection()) {
            auto connected = co_await connect(timeout);
            if (!connected) {
                co_return connected.error();
            }
        }
        if (cancelled) {
            co_return CallError{CallStage::Connect, "cancelled"};
        }
        if (options.maySend && !options.maySend()) {
            co_return CallError{CallStage::Connect, "withheld by the caller"};
        }
        if (options.onConnected) {
            options.onConnected(!reused);
        }
        stream->expires_after(timeout);
        startWrite();
        bool mismatched = false;
        const ErrorCode code = co_await readMatchingHeaders(mismatched);
        if (code) {
            CallError error = makeCallError(isRequestWritten() ? CallStage::ReadHeaders : CallStage::SendRequest, code);
            error.connectionReused = reused && !responseBegun;
            error.mismatchedResponse = mismatched;
            co_return error;
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
    if (m_impl->stream && m_impl->stream->socket().is_open()) { // not returned to the pool: a response still in progress is cancelled
        m_impl->cancelled = true;
        m_impl->stream->close();
    }
}

asio::awaitable<CallResult<Response>> Call::start(const Request &request, std::chrono::milliseconds timeout)
{
    Impl &impl = *m_impl;
    impl.prepare(request);
    auto started = co_await impl.attempt(true, timeout);
    if (!started && impl.options.retryOnStaleConnection && started.error().connectionReused && !started.error().timedOut && !impl.cancelled) {
        // The server had probably closed the reused connection; the caller allows a resend, so use a new connection.
        impl.stream.emplace(impl.stream->get_executor());
        impl.buffer.clear();
        started = co_await impl.attempt(false, timeout);
    }
    if (!started) {
        co_return started.error();
    }
    const bool hasTransferCoding = impl.parser->get().count(wire::field::transfer_encoding) > 0;
    if (hasTransferCoding && !impl.parser->chunked()) {
        co_return CallError{CallStage::ReadBody, "unsupported transfer coding; only chunked is supported"};
    }
    if (impl.parser->need_eof() && !impl.options.acceptConnectionClose) {
        co_return CallError{CallStage::ReadBody, "the response has neither a length nor chunks"};
    }
    Response response;
    response.status = impl.parser->get().result_int();
    for (const auto &field : impl.parser->get()) {
        response.headers[std::string(field.name_string())] = std::string(field.value());
    }
    co_return response;
}

BodyEnd Call::bodyEnd() const
{
    if (m_impl->parser->chunked()) {
        return BodyEnd::Chunks;
    }
    return m_impl->parser->need_eof() ? BodyEnd::ConnectionClose : BodyEnd::Length;
}

asio::awaitable<CallResult<std::string>> Call::readSome(std::chrono::milliseconds timeout)
{
    Impl &impl = *m_impl;
    const auto deadline = IdleClock::now() + timeout;
    std::string chunk;
    while (chunk.empty() && !impl.parser->is_done()) {
        std::array<char, MaxChunkBytes> readBuffer; // NOLINT(cppcoreguidelines-pro-type-member-init)
        impl.parser->get().body().data = readBuffer.data();
        impl.parser->get().body().size = readBuffer.size();
        impl.parser->get().body().more = true;
        impl.stream->expires_after(timeout);
        ErrorCode code;
        co_await wire::async_read_some(*impl.stream, impl.buffer, *impl.parser, asio::redirect_error(asio::use_awaitable, code));
        if (code && code != wire::error::need_buffer) {
            co_return makeCallError(CallStage::ReadBody, code);
        }
        chunk.assign(readBuffer.data(), readBuffer.size() - impl.parser->get().body().size);
    }
    if (chunk.empty() && impl.parser->need_eof()) { // the write may have got the error of the connection, which the read then did not see
        const ErrorCode code = co_await impl.finishWrite(deadline);
        if (code) {
            co_return makeCallError(CallStage::ReadBody, code);
        }
    }
    if (chunk.empty()) {
        impl.returnToPool();
    }
    co_return chunk;
}

asio::awaitable<CallResult<std::string>> Call::readAll(std::chrono::milliseconds timeout)
{
    std::vector<std::string> pieces; // a single string would copy itself whenever it grows
    std::size_t size = 0;
    const auto deadline = IdleClock::now() + timeout;
    while (true) {
        const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - IdleClock::now());
        if (remaining <= std::chrono::milliseconds(0)) {
            co_return CallError{CallStage::ReadBody, "the response body did not end in time", true};
        }
        auto chunk = co_await readSome(remaining);
        if (!chunk) {
            co_return chunk.error();
        }
        if (chunk.value().empty()) {
            break;
        }
        const std::size_t chunkSize = chunk.value().size();
        if (m_impl->options.mayHoldBody && !m_impl->options.mayHoldBody(size + chunkSize)) {
            co_return CallError{CallStage::ReadBody, "no memory is left for the response body"};
        }
        if (pieces.empty() || pieces.back().capacity() - pieces.back().size() < chunkSize) {
            pieces.emplace_back();
            pieces.back().reserve(std::max(chunkSize, std::min(size, MaxPieceBytes)));
        }
        pieces.back() += chunk.value();
        size += chunkSize;
    }
    if (pieces.size() == 1) {
        co_return std::move(pieces.front());
    }
    std::string body;
    body.reserve(size);
    for (std::string &piece : pieces) {
        body += piece;
        std::string().swap(piece);
    }
    co_return body;
}

void Call::cancel()
{
    m_impl->cancelled = true;
    if (m_impl->stream) {
        m_impl->stream->close();
    }
}

asio::awaitable<CallResult<Response>>
fetch(asio::any_io_executor executor, Endpoint endpoint, Request request, std::chrono::milliseconds timeout, CallOptions options)
{
    Call call(std::move(executor), std::move(endpoint), std::move(options));
    auto head = co_await call.start(request, timeout);
    if (!head) {
        co_return head.error();
    }
    auto body = co_await call.readAll(timeout);
    if (!body) {
        co_return body.error();
    }
    head.value().body = std::move(body.value());
    if (isTruncated(head.value(), call.bodyEnd())) {
        co_return CallError{CallStage::ReadBody, "the response body was cut off"};
    }
    co_return std::move(head.value());
}

asio::awaitable<CallResult<Response>> fetch(asio::any_io_executor executor, Endpoint endpoint, Request request, std::chrono::milliseconds timeout)
{
    return fetch(std::move(executor), std::move(endpoint), std::move(request), timeout, CallOptions());
}

asio::awaitable<ErrorCode> probeConnection(asio::any_io_executor executor, Endpoint endpoint, std::chrono::milliseconds timeout)
{
    ErrorCode code;
    const auto address = asio::ip::make_address(endpoint.host, code);
    if (!code) {
        beast::tcp_stream stream(executor);
        stream.expires_after(timeout);
        const Tcp::endpoint target(address, endpoint.port);
        co_await stream.async_connect(target, asio::redirect_error(asio::use_awaitable, code));
    }
    co_return code;
}

} // namespace arbutus::http
