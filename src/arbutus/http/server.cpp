// HTTP connections over plain TCP and TLS streams.
//
// Sections:
//   Conversion   between Beast messages and http::Request and http::Response
//   Session      one connection
//   Listener     accepting connections

#include "arbutus/http/server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/ssl.hpp>

#include <sys/socket.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <optional>
#include <set>

namespace arbutus::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace wire = boost::beast::http;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

namespace {

/// Time limit of one read, which may consist of several operations on the socket.
struct ReadTimer : std::enable_shared_from_this<ReadTimer>
{
    explicit ReadTimer(Tcp::socket &theSocket)
        : socket(&theSocket)
        , timer(theSocket.get_executor())
    {
    }

    /// Ends the read after `limit`, and checks again after each further `limit` in case data had arrived.
    void start(std::chrono::milliseconds limit)
    {
        duration = limit;
        timer.expires_after(limit);
        waitForTimer();
    }

    /// Extends the current wait if `limit` is longer than the one it started with.
    void extend(std::chrono::milliseconds limit)
    {
        if (limit > duration) {
            timer.expires_at(timer.expiry() + (limit - duration));
            duration = limit;
            waitForTimer();
        }
    }

    void waitForTimer()
    {
        timer.async_wait([self = shared_from_this()](const ErrorCode &code) {
            const bool isDue = !code && self->timer.expiry() <= std::chrono::steady_clock::now(); // not extended in the same turn
            if (isDue && self->socket != nullptr) {
                self->expired = true;
                self->cancelUnlessReceiving();
                self->start(self->duration);
            }
        });
    }

    /// Ends the read unless data has arrived. cancel(), not close(): a read that has completed but whose coroutine has not
    /// resumed yet keeps its data.
    void cancelUnlessReceiving() const
    {
        ErrorCode code;
        if (socket->available(code) == 0) {
            socket->cancel(code);
        }
    }

    Tcp::socket *socket; // null once the read has ended
    asio::steady_timer timer;
    std::chrono::milliseconds duration{0};
    bool expired = false;
};

/// Runs a ReadTimer for the lifetime of the object.
class ReadLimit
{
public:
    ReadLimit(Tcp::socket &socket, std::chrono::milliseconds limit)
        : m_timer(std::make_shared<ReadTimer>(socket))
    {
        m_timer->start(limit);
    }
    ReadLimit(const ReadLimit &) = delete;
    ReadLimit &operator=(const ReadLimit &) = delete;
    ~ReadLimit()
    {
        m_timer->socket = nullptr; // the timer may be due already
        m_timer->timer.cancel();
    }

    [[nodiscard]] const std::shared_ptr<ReadTimer> &timer() const
    {
        return m_timer;
    }

private:
    std::shared_ptr<ReadTimer> m_timer;
};

} // namespace

struct Server::State
{
    State(asio::any_io_executor executor, ServerLimits serverLimits, Handler serverHandler, std::shared_ptr<ReloadableTlsContext> tlsContext)
        : acceptor(executor)
        , limits(serverLimits)
        , handler(std::move(serverHandler))
        , tls(std::move(tlsContext))
    {
    }

    Tcp::acceptor acceptor;
    ServerLimits limits;
    Handler handler;
    std::shared_ptr<ReloadableTlsContext> tls;
    std::atomic<std::size_t> connections{0};
    std::atomic<std::size_t> exchanges{0};
    std::atomic<std::size_t> requests{0};         // of which at least the first byte has been read
    std::atomic<std::size_t> closing{0};          // connections that linger after a response
    std::atomic<bool> sendConnectionClose{false}; // add `Connection: close` to responses
    std::set<std::shared_ptr<ReadTimer>> idle;    // waits for the first byte of a request; accessed only on the executor
    std::function<void(const UnansweredRequest &)> onUnanswered;
    std::function<void(std::string_view)> onRejected;
};

namespace {

constexpr auto LingerTimeout = std::chrono::milliseconds(500); // limit for discarding input before a connection is closed
constexpr std::size_t MaxLingerBytes = 8 * 1024 * 1024;        // after this many, the connection is closed even if the client still sends

//-----------------------------------------------------------------------------
// Conversion
//-----------------------------------------------------------------------------

template<class Fields>
Headers toHeaders(const Fields &fields)
{
    Headers out;
    for (const auto &field : fields) {
        std::string &value = out[std::string(field.name_string())];
        value += (value.empty() ? "" : ", ") + std::string(field.value());
    }
    return out;
}

template<class Message>
void copyHeaders(const Headers &headers, Message &message)
{
    for (const auto &[name, value] : headers) {
        message.set(name, value);
    }
}

Response errorResponse(const core::Error &error)
{
    return jsonResponse(core::httpStatus(error.kind), core::toJson(error));
}

//-----------------------------------------------------------------------------
// Session
//-----------------------------------------------------------------------------

/// Exchange on a connection of stream type `Stream`.
template<class Stream>
class StreamExchange final : public Exchange
{
public:
    using HeaderParser = wire::request_parser<wire::empty_body>;

    StreamExchange(Stream &stream, beast::flat_buffer &buffer, HeaderParser &parser, const ServerLimits &limits, const std::atomic<bool> &sendConnectionClose)
        : m_stream(stream)
        , m_buffer(buffer)
        , m_parser(parser)
        , m_limits(limits)
        , m_sendConnectionClose(sendConnectionClose)
    {
        const auto &message = m_parser.get();
        m_request.method = std::string(message.method_string());
        m_request.target = std::string(message.target());
        m_request.headers = toHeaders(message);
        m_keepAlive = message.keep_alive();
        m_version = message.version();
        m_bodyRead = m_parser.is_done();
    }

    StreamExchange(const StreamExchange &) = delete;
    StreamExchange &operator=(const StreamExchange &) = delete;
    ~StreamExchange() override
    {
        *m_onDisconnect = nullptr;
        if (m_endsWithConnection && !m_ended && !m_failed) {
            reset(); // a regular close would look like the end of the response
        }
    }

    [[nodiscard]] const Request &request() const override
    {
        return m_request;
    }

    asio::awaitable<core::Result<void>> readBody() override
    {
        if (m_bodyRead) {
            co_return core::success();
        }
        m_bodyRead = true;
        if (m_parser.content_length().value_or(0) > m_limits.maxBodyBytes) {
            m_keepAlive = false;
            co_return bodyError(wire::error::body_limit);
        }
        std::size_t heldBytes = m_parser.content_length().value_or(0);
        if (m_mayHoldBody && !m_mayHoldBody(heldBytes)) {
            m_keepAlive = false;
            co_return noMemoryError();
        }
        co_await sendContinueIfExpected();
        wire::request_parser<wire::string_body> parser(std::move(m_parser));
        parser.body_limit(m_limits.maxBodyBytes);
        ErrorCode code;
        {
            const ReadLimit readLimit(beast::get_lowest_layer(m_stream).socket(), m_limits.bodyTimeout);
            m_isReadingBody = true;
            while (!code && !parser.is_done()) {
                co_await wire::async_read_some(m_stream, m_buffer, parser, asio::redirect_error(asio::use_awaitable, code));
                const std::size_t capacity = parser.get().body().capacity();
                const bool hasGrown = !code && capacity > heldBytes;
                heldBytes = std::max(heldBytes, capacity);
                if (hasGrown && m_mayHoldBody && !m_mayHoldBody(heldBytes)) {
                    m_isReadingBody = false;
                    m_keepAlive = false;
                    co_return noMemoryError();
                }
            }
            m_isReadingBody = false;
            if (code == asio::error::operation_aborted && readLimit.timer()->expired) {
                code = beast::error::timeout;
            }
        }
        if (code) {
            m_keepAlive = false;
            co_return bodyError(code);
        }
        m_request.body = std::move(parser.get().body());
        co_return core::success();
    }

    void limitBody(std::function<bool(std::size_t)> mayHold) override
    {
        m_mayHoldBody = std::move(mayHold);
    }

    [[nodiscard]] std::string takeBody() override
    {
        return std::move(m_request.body);
    }

    void cancelBodyRead() override
    {
        if (m_isReadingBody) {
            ErrorCode code;
            beast::get_lowest_layer(m_stream).socket().cancel(code);
        }
    }

    asio::awaitable<bool> respond(const Response &response) override
    {
        if (m_started) { // a second head would be read as part of the body that has begun
            abort();
            co_return false;
        }
        wire::response<wire::span_body<const char>> message(static_cast<wire::status>(response.status), m_version);
        copyHeaders(response.headers, message);
        message.body() = beast::span<const char>(response.body.data(), response.body.size());
        message.keep_alive(keepAlive());
        message.prepare_payload();
        m_started = true;
        m_ended = true;
        *m_onDisconnect = nullptr; // a client that receives its response may close the connection
        beast::get_lowest_layer(m_stream).expires_after(m_limits.writeTimeout);
        ErrorCode code;
        co_await wire::async_write(m_stream, message, asio::redirect_error(asio::use_awaitable, code));
        co_return succeeded(code);
    }

    asio::awaitable<bool> beginResponse(const Response &response) override
    {
        wire::response<wire::empty_body> message(static_cast<wire::status>(response.status), m_version);
        copyHeaders(response.headers, message);
        m_endsWithConnection = m_version < 11;
        m_keepAlive = m_keepAlive && !m_endsWithConnection;
        message.chunked(!m_endsWithConnection);
        message.keep_alive(keepAlive());
        m_started = true;
        beast::get_lowest_layer(m_stream).expires_after(m_limits.writeTimeout);
        wire::response_serializer<wire::empty_body> serializer(message);
        ErrorCode code;
        co_await wire::async_write_header(m_stream, serializer, asio::redirect_error(asio::use_awaitable, code));
        co_return succeeded(code);
    }

    asio::awaitable<bool> writeChunk(std::string_view data) override
    {
        if (m_failed || data.empty()) {
            co_return !m_failed;
        }
        beast::get_lowest_layer(m_stream).expires_after(m_limits.writeTimeout);
        if (m_endsWithConnection) {
            co_return co_await writeRaw(data);
        }
        ErrorCode code;
        const auto chunk = wire::make_chunk(asio::buffer(data.data(), data.size()));
        co_await asio::async_write(m_stream, chunk, asio::redirect_error(asio::use_awaitable, code));
        co_return succeeded(code);
    }

    asio::awaitable<bool> endResponse() override
    {
        if (m_failed) {
            co_return false;
        }
        m_ended = true;
        if (m_endsWithConnection) {
            co_return true; // the connection is closed after the exchange
        }
        ErrorCode code;
        const auto last = wire::make_chunk_last();
        co_await asio::async_write(m_stream, last, asio::redirect_error(asio::use_awaitable, code));
        co_return succeeded(code);
    }

    [[nodiscard]] bool responseStarted() const override
    {
        return m_started;
    }

    void abort() override
    {
        if (m_endsWithConnection) {
            reset();
            return;
        }
        m_aborted = true;
        m_failed = true;
        beast::get_lowest_layer(m_stream).close();
    }

    void reset() override
    {
        m_aborted = true;
        m_failed = true;
        ErrorCode code;
        beast::get_lowest_layer(m_stream).socket().set_option(asio::socket_base::linger(true, 0), code);
        beast::get_lowest_layer(m_stream).close();
    }

    asio::awaitable<bool> writeRaw(std::string_view bytes) override
    {
        ErrorCode code;
        co_await asio::async_write(m_stream, asio::buffer(bytes.data(), bytes.size()), asio::redirect_error(asio::use_awaitable, code));
        co_return succeeded(code);
    }

    void onClientDisconnect(std::function<void()> onDisconnect) override
    {
        if constexpr (std::is_same_v<Stream, beast::tcp_stream>) {
            *m_onDisconnect = std::move(onDisconnect);
            m_stream.socket().async_wait(Tcp::socket::wait_read, [this, callback = m_onDisconnect](const ErrorCode &code) {
                if (!*callback || code == asio::error::operation_aborted) { // the exchange has ended; `this` may be dangling
                    return;
                }
                char byte = 0;
                ErrorCode peekError;
                m_stream.socket().receive(asio::buffer(&byte, 1), Tcp::socket::message_peek, peekError);
                if (peekError && peekError != asio::error::would_block) {
                    m_failure = peekError;
                    m_failed = true;
                    const auto notify = std::move(*callback);
                    *callback = nullptr;
                    notify();
                }
            });
        }
    }

    [[nodiscard]] bool isClientGone() override
    {
        if constexpr (std::is_same_v<Stream, beast::tcp_stream>) {
            char byte = 0;
            const auto received = m_failed ? 1 : ::recv(m_stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
            if (received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR)) {
                m_failure = received == 0 ? ErrorCode(asio::error::eof) : ErrorCode(errno, boost::system::system_category());
                m_failed = true;
            }
        }
        return m_failed;
    }

    /// Why the request has no complete response; nothing if it has one. Call this after the handler.
    [[nodiscard]] std::optional<UnansweredReason> unansweredReason() const
    {
        if (m_failure) { // a handler aborts also because its client is gone
            return m_failure == beast::error::timeout ? UnansweredReason::WriteTimeout : UnansweredReason::ClientDisconnected;
        }
        if (m_aborted) {
            return UnansweredReason::Aborted;
        }
        if (!m_started) {
            return UnansweredReason::NoResponse;
        }
        return m_ended ? std::nullopt : std::optional(UnansweredReason::Incomplete);
    }

    /// Message of the failed write, if one failed.
    [[nodiscard]] std::string failureMessage() const
    {
        return m_failure ? m_failure.message() : std::string();
    }

    /// Whether another request may follow on this connection.
    [[nodiscard]] bool reusable() const
    {
        return m_keepAlive && m_ended && !m_failed && m_bodyRead;
    }

private:
    bool succeeded(const ErrorCode &code)
    {
        if (code && !m_failed) {
            m_failure = code;
            m_failed = true;
        }
        return !m_failed;
    }

    /// Decides whether the connection stays open after the response about to be sent.
    [[nodiscard]] bool keepAlive()
    {
        m_keepAlive = m_keepAlive && m_bodyRead && !m_sendConnectionClose;
        return m_keepAlive;
    }

    [[nodiscard]] core::Error bodyError(const ErrorCode &code) const
    {
        if (code == wire::error::body_limit) {
            return core::makeError(core::ErrorKind::BodyTooLarge, "the request body exceeds " + std::to_string(m_limits.maxBodyBytes) + " bytes");
        }
        if (code == beast::error::timeout) {
            return core::makeError(core::ErrorKind::BadRequest,
                                   "the request body was not received within " + std::to_string(m_limits.bodyTimeout.count()) + " ms");
        }
        return core::makeError(core::ErrorKind::BadRequest, "the request body is incomplete: " + code.message());
    }

    static core::Error noMemoryError()
    {
        return core::makeError(core::ErrorKind::Overloaded, "no memory is left for the request body");
    }

    asio::awaitable<void> sendContinueIfExpected()
    {
        if (!beast::iequals(headerValue(m_request.headers, "Expect"), "100-continue")) {
            co_return;
        }
        wire::response<wire::empty_body> message(wire::status::continue_, m_version);
        ErrorCode code;
        co_await wire::async_write(m_stream, message, asio::redirect_error(asio::use_awaitable, code));
    }

    Stream &m_stream;
    beast::flat_buffer &m_buffer;
    HeaderParser &m_parser;
    const ServerLimits &m_limits;
    const std::atomic<bool> &m_sendConnectionClose; // add `Connection: close` to the response
    Request m_request;
    unsigned m_version = 11;
    bool m_endsWithConnection = false; // the response has neither a length nor chunks
    bool m_keepAlive = true;
    bool m_bodyRead = false;
    bool m_isReadingBody = false;
    std::function<bool(std::size_t)> m_mayHoldBody;
    bool m_started = false;
    bool m_ended = false;
    bool m_failed = false;
    bool m_aborted = false;                                                                            // by the handler
    ErrorCode m_failure;                                                                               // of the first failed write, or of the connection
    std::shared_ptr<std::function<void()>> m_onDisconnect = std::make_shared<std::function<void()>>(); // null target once the exchange has ended
};

/// Why well-formed headers must be rejected: two parsers could disagree on the host or on where the body ends. Empty if
/// unambiguous.
template<class Message>
std::string_view findAmbiguity(const Message &message)
{
    const auto count = [&](wire::field name) {
        const auto range = message.equal_range(name);
        return std::distance(range.first, range.second);
    };
    if (count(wire::field::host) > 1) {
        return "multiple Host headers";
    }
    if (count(wire::field::content_length) > 1) {
        return "multiple Content-Length headers";
    }
    if (count(wire::field::transfer_encoding) > 0) {
        if (count(wire::field::transfer_encoding) > 1 || !beast::iequals(message[wire::field::transfer_encoding], "chunked")) {
            return "unsupported transfer coding; only chunked is supported";
        }
        if (count(wire::field::content_length) > 0) {
            return "both Content-Length and Transfer-Encoding are present";
        }
    }
    return {};
}

template<class Stream>
asio::awaitable<void> rejectRequest(Stream &stream, std::string reason, const Server::State &state)
{
    if (state.onRejected) {
        state.onRejected(reason);
    }
    const Response response = errorResponse(core::makeError(core::ErrorKind::BadRequest, std::move(reason)));
    wire::response<wire::string_body> message(static_cast<wire::status>(response.status), 11);
    copyHeaders(response.headers, message);
    message.body() = response.body;
    message.keep_alive(false);
    message.prepare_payload();
    ErrorCode ignored;
    co_await wire::async_write(stream, message, asio::redirect_error(asio::use_awaitable, ignored));
}

/// Responds to a request whose headers could not be parsed; does nothing if the connection has failed or timed out.
template<class Stream>
asio::awaitable<void> rejectHeaders(Stream &stream, const ErrorCode &code, const Server::State &state)
{
    if (code == wire::error::end_of_stream || code == beast::error::timeout || code == asio::error::connection_reset || code == asio::error::eof
        || code == asio::error::operation_aborted) {
        co_return;
    }
    std::string reason = "malformed request: " + code.message();
    co_await rejectRequest(stream, std::move(reason), state);
}

/// Reads and discards what the client still sends: closing with unread data resets the connection, which can destroy a
/// response that the client has not read yet.
template<class Stream>
asio::awaitable<void> linger(Stream &stream)
{
    ErrorCode code;
    beast::get_lowest_layer(stream).socket().shutdown(Tcp::socket::shutdown_send, code);
    std::array<char, 4096> discardBuffer; // NOLINT(cppcoreguidelines-pro-type-member-init)
    std::size_t discarded = 0;
    beast::get_lowest_layer(stream).expires_after(LingerTimeout);
    while (!code && discarded < MaxLingerBytes) {
        discarded += co_await beast::get_lowest_layer(stream).async_read_some(asio::buffer(discardBuffer), asio::redirect_error(asio::use_awaitable, code));
    }
}

/// Increments a counter for the lifetime of the object.
class ScopedCount
{
public:
    explicit ScopedCount(std::atomic<std::size_t> &counter)
        : m_counter(counter)
    {
        ++m_counter;
    }
    ScopedCount(const ScopedCount &) = delete;
    ScopedCount &operator=(const ScopedCount &) = delete;
    ~ScopedCount()
    {
        --m_counter;
    }

private:
    std::atomic<std::size_t> &m_counter;
};

/// Registers a connection as idle for the lifetime of the object.
class IdleRegistration
{
public:
    IdleRegistration(Server::State &state, Tcp::socket &socket)
        : m_state(state)
        , m_limit(socket, state.limits.idleTimeout)
    {
        m_state.idle.insert(m_limit.timer());
    }
    IdleRegistration(const IdleRegistration &) = delete;
    IdleRegistration &operator=(const IdleRegistration &) = delete;
    ~IdleRegistration()
    {
        m_state.idle.erase(m_limit.timer());
    }

private:
    Server::State &m_state;
    ReadLimit m_limit;
};

/// Waits for the first byte of the next request; false if the connection ended or the idle timeout expired.
template<class Stream>
asio::awaitable<bool> waitForRequest(Stream &stream, beast::flat_buffer &buffer, Server::State &state)
{
    if (buffer.size() > 0) {
        co_return true;
    }
    const IdleRegistration registration(state, beast::get_lowest_layer(stream).socket());
    beast::get_lowest_layer(stream).expires_never(); // its timeout drops a read that has completed in the same turn
    ErrorCode code;
    constexpr std::size_t FirstReadBytes = 8192;
    const std::size_t received = co_await stream.async_read_some(buffer.prepare(FirstReadBytes), asio::redirect_error(asio::use_awaitable, code));
    buffer.commit(received);
    co_return !code;
}

/// How a connection ended.
enum class ConnectionEnd {
    WhileIdle,   // no byte of a further request was read
    WithRequest, // after a request, or within one
};

/// Runs the handler and reports a request without a complete response.
template<class Stream>
asio::awaitable<void> runHandler(StreamExchange<Stream> &exchange, Server::State &state)
{
    std::optional<std::string> failure;
    try {
        co_await state.handler(exchange);
    } catch (const std::exception &exception) {
        failure = exception.what();
    }
    const auto reason = failure ? UnansweredReason::HandlerFailed : exchange.unansweredReason();
    if (reason && state.onUnanswered) {
        const std::string detail = failure ? *failure : exchange.failureMessage();
        state.onUnanswered(UnansweredRequest{exchange.request(), *reason, exchange.responseStarted(), detail});
    }
    if (failure && exchange.responseStarted()) {
        exchange.abort();
    } else if (failure) {
        const Response response = errorResponse(core::makeUnknownOutcomeError(core::ErrorKind::Internal, "the request failed with an internal error"));
        co_await exchange.respond(response);
    }
}

/// Handles the requests of one connection in sequence.
template<class Stream>
asio::awaitable<ConnectionEnd> serveStream(Stream &stream, std::shared_ptr<Server::State> state)
{
    beast::flat_buffer buffer;
    bool open = true;
    while (open) {
        if (!co_await waitForRequest(stream, buffer, *state)) {
            co_return ConnectionEnd::WhileIdle;
        }
        const ScopedCount requestCount(state->requests);
        const ServerLimits limits = state->limits;
        typename StreamExchange<Stream>::HeaderParser parser;
        parser.header_limit(static_cast<std::uint32_t>(limits.maxHeaderBytes));
        parser.body_limit(boost::none);
        ErrorCode code;
        {
            const ReadLimit readLimit(beast::get_lowest_layer(stream).socket(), limits.headerTimeout);
            beast::get_lowest_layer(stream).expires_never(); // its timeout drops a read that has completed in the same turn
            co_await wire::async_read_header(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, code));
        }
        if (code) {
            beast::get_lowest_layer(stream).expires_after(limits.writeTimeout);
            co_await rejectHeaders(stream, code, *state);
            co_return ConnectionEnd::WithRequest;
        }
        const std::string_view ambiguity = findAmbiguity(parser.get());
        if (!ambiguity.empty()) {
            std::string reason(ambiguity);
            beast::get_lowest_layer(stream).expires_after(limits.writeTimeout);
            co_await rejectRequest(stream, std::move(reason), *state);
            co_return ConnectionEnd::WithRequest;
        }
        const ScopedCount activeCount(state->exchanges);
        StreamExchange<Stream> exchange(stream, buffer, parser, limits, state->sendConnectionClose);
        beast::get_lowest_layer(stream).expires_never();
        co_await runHandler(exchange, *state);
        open = exchange.reusable(); // also while stopping: the client may send a request unless a response announced the close
    }
    co_return ConnectionEnd::WithRequest;
}

asio::awaitable<void> serveConnection(Tcp::socket socket, std::shared_ptr<Server::State> state)
{
    const ScopedCount activeCount(state->connections);
    ErrorCode code;
    socket.set_option(Tcp::no_delay(true), code);
    try {
        if (state->tls == nullptr) {
            beast::tcp_stream stream(std::move(socket));
            // An idle connection is closed at once: a request that arrives while it closes must not be read.
            if (co_await serveStream(stream, state) == ConnectionEnd::WithRequest) {
                const ScopedCount closingCount(state->closing);
                co_await linger(stream);
            }
            co_return;
        }
        const auto context = state->tls->context();
        beast::ssl_stream<beast::tcp_stream> stream(beast::tcp_stream(std::move(socket)), *context);
        beast::get_lowest_layer(stream).expires_after(state->limits.headerTimeout);
        co_await stream.async_handshake(asio::ssl::stream_base::server, asio::redirect_error(asio::use_awaitable, code));
        if (!code) {
            co_await serveStream(stream, state);
            const ScopedCount closingCount(state->closing);
            beast::get_lowest_layer(stream).expires_after(LingerTimeout);
            co_await stream.async_shutdown(asio::redirect_error(asio::use_awaitable, code));
        }
    } catch (const std::exception &) {
        // Not from the handler. The connection is closed with the response incomplete, which the client can detect.
    }
}

//-----------------------------------------------------------------------------
// Listener
//-----------------------------------------------------------------------------

asio::awaitable<void> acceptLoop(std::shared_ptr<Server::State> state)
{
    const auto executor = state->acceptor.get_executor();
    while (state->acceptor.is_open()) {
        ErrorCode code;
        Tcp::socket socket = co_await state->acceptor.async_accept(asio::redirect_error(asio::use_awaitable, code));
        if (code == asio::error::operation_aborted || code == asio::error::bad_descriptor) {
            co_return;
        }
        if (code || state->connections >= state->limits.maxConnections) {
            continue;
        }
        asio::co_spawn(executor, serveConnection(std::move(socket), state), asio::detached);
    }
}

} // namespace

std::string_view toString(UnansweredReason reason)
{
    switch (reason) {
    case UnansweredReason::HandlerFailed:
        return "handler_failed";
    case UnansweredReason::NoResponse:
        return "no_response";
    case UnansweredReason::Incomplete:
        return "incomplete";
    case UnansweredReason::Aborted:
        return "aborted";
    case UnansweredReason::WriteTimeout:
        return "write_timeout";
    case UnansweredReason::ClientDisconnected:
        return "client_disconnected";
    }
    return "unknown";
}

asio::awaitable<bool> Exchange::writeRaw(std::string_view /*bytes*/)
{
    co_return false;
}

Server::Server(asio::any_io_executor executor, const Endpoint &endpoint, ServerLimits limits, Handler handler, std::shared_ptr<ReloadableTlsContext> tls)
    : m_state(std::make_shared<State>(executor, limits, std::move(handler), std::move(tls)))
{
    const Tcp::endpoint address(asio::ip::make_address(endpoint.host), endpoint.port);
    m_state->acceptor.open(address.protocol());
    m_state->acceptor.set_option(asio::socket_base::reuse_address(true));
    m_state->acceptor.bind(address);
    m_state->acceptor.listen();
    asio::co_spawn(executor, acceptLoop(m_state), asio::detached);
}

Server::~Server()
{
    stopAccepting();
}

void Server::stopAccepting()
{
    m_state->sendConnectionClose = true;
    ErrorCode code;
    m_state->acceptor.non_blocking(true, code);
    while (!code) { // closing resets connections that are established and wait to be accepted
        Tcp::socket socket(m_state->acceptor.get_executor());
        m_state->acceptor.accept(socket, code);
        if (!code && m_state->connections < m_state->limits.maxConnections) {
            asio::co_spawn(m_state->acceptor.get_executor(), serveConnection(std::move(socket), m_state), asio::detached);
        }
    }
    m_state->acceptor.close(code);
}

void Server::closeAfterResponses()
{
    m_state->sendConnectionClose = true;
}

void Server::closeIdleConnections()
{
    for (const auto &connection : m_state->idle) {
        connection->cancelUnlessReceiving();
    }
}

void Server::setUnansweredCallback(std::function<void(const UnansweredRequest &)> onUnanswered)
{
    m_state->onUnanswered = std::move(onUnanswered);
}

void Server::setRejectedCallback(std::function<void(std::string_view)> onRejected)
{
    m_state->onRejected = std::move(onRejected);
}

void Server::setLimits(const ServerLimits &limits)
{
    m_state->limits = limits;
    for (const auto &connection : m_state->idle) {
        connection->extend(limits.idleTimeout);
    }
}

std::size_t Server::openConnectionCount() const
{
    return m_state->connections;
}

std::size_t Server::activeExchangeCount() const
{
    return m_state->exchanges;
}

bool Server::hasOpenRequests() const
{
    return m_state->requests > 0 || !m_state->idle.empty() || m_state->closing > 0;
}

std::uint16_t Server::port() const
{
    ErrorCode code;
    return m_state->acceptor.local_endpoint(code).port();
}

} // namespace arbutus::http
