// HTTP connections over plain TCP and TLS streams.
//
// Sections:
//   Rejection    requests that no handler sees
//   Session      one connection
//   Listener     accepting connections

#include "arbutus/http/server.h"

#include "arbutus/core/asyncsleep.h"
#include "arbutus/http/streamexchange.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/ssl.hpp>

#include <netinet/tcp.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <optional>
#include <set>

namespace arbutus::http {

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
    ServerResources resources;
    std::chrono::steady_clock::time_point nextFullReport; // earliest time
};

namespace {

constexpr auto LingerTimeout = std::chrono::milliseconds(500); // limit for discarding input before a connection is closed
constexpr std::size_t MaxLingerBytes = 8 * 1024 * 1024;        // after this many, the connection is closed even if the client still sends
constexpr auto AcceptRetryDelay = std::chrono::milliseconds(10);
constexpr auto FullReportInterval = std::chrono::seconds(1);
constexpr int MaxUnsentBytes = 128 * 1024; // of a connection, in the kernel; what the client may receive at once comes on top
constexpr int MaxUnreadBytes = 192 * 1024; // the same of received bytes

//-----------------------------------------------------------------------------
// Rejection
//-----------------------------------------------------------------------------

Response errorResponse(const core::Error &error)
{
    return jsonResponse(core::httpStatus(error.kind), core::toJson(error));
}

//-----------------------------------------------------------------------------
// Session
//-----------------------------------------------------------------------------

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
asio::awaitable<void> rejectRequest(Stream &stream, core::ErrorKind kind, std::string reason, const Server::State &state)
{
    if (state.onRejected) {
        state.onRejected(reason);
    }
    const Response response = errorResponse(core::makeError(kind, std::move(reason)));
    wire::response<wire::string_body> message(static_cast<wire::status>(response.status), 11);
    copyHeaders(response.headers, message);
    message.body() = response.body;
    message.keep_alive(false);
    message.prepare_payload();
    ErrorCode ignored;
    co_await wire::async_write(stream, message, asio::redirect_error(asio::use_awaitable, ignored));
}

/// Responds to a request whose headers could not be parsed, or exceed the bound `exceeded`; does nothing if the connection has failed,
/// has been closed or has timed out.
template<class Stream>
asio::awaitable<void> rejectHeaders(Stream &stream, const ErrorCode &code, std::string exceeded, const Server::State &state)
{
    if (code == wire::error::end_of_stream || code == beast::error::timeout || code == asio::error::connection_reset || code == asio::error::eof
        || code == asio::error::operation_aborted || code == asio::error::bad_descriptor) {
        co_return;
    }
    const auto kind = exceeded.empty() ? core::ErrorKind::BadRequest : core::ErrorKind::HeadTooLarge;
    std::string reason = exceeded.empty() ? "malformed request: " + code.message() : "the request head: " + exceeded;
    co_await rejectRequest(stream, kind, std::move(reason), state);
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

/// Lets writes wait until the client has taken what was written before, so that an answer that is not read stays in the process, which
/// counts it.
void limitUnsentBytes(Tcp::socket &socket)
{
    // Failure is ignored: without the option, the kernel's own limits apply.
    (void)::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_NOTSENT_LOWAT, &MaxUnsentBytes, sizeof MaxUnsentBytes);
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
    if (!exchange.exceeded().empty() && state.onRejected) {
        state.onRejected("the request body: " + exchange.exceeded());
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
asio::awaitable<ConnectionEnd> serveStream(Stream &stream, std::shared_ptr<Server::State> state, limits::ConnectionPlace *place)
{
    beast::flat_buffer buffer;
    ConnectionResources resources{BufferHold(state->resources.memory), state->resources.memory, place};
    bool open = true;
    while (open) {
        if (buffer.size() == 0 && buffer.capacity() > BufferHold::FreeBytes) {
            buffer.shrink_to_fit();
            (void)resources.buffer.resize(0);
        }
        if (!co_await waitForRequest(stream, buffer, *state)) {
            co_return ConnectionEnd::WhileIdle;
        }
        const ScopedCount requestCount(state->requests);
        const ServerLimits limits = state->limits;
        typename StreamExchange<Stream>::HeaderParser parser;
        parser.header_limit(static_cast<std::uint32_t>(limits.maxHeaderBytes));
        parser.body_limit(boost::none);
        ErrorCode code;
        std::string exceeded;
        {
            const ReadLimit readLimit(beast::get_lowest_layer(stream).socket(), limits.headerTimeout);
            beast::get_lowest_layer(stream).expires_never(); // its timeout drops a read that has completed in the same turn
            SectionReader<Stream> reader(stream, buffer, resources.buffer);
            while (!code && !parser.is_header_done()) {
                code = co_await reader.readSome(parser, limits.maxHeaderBytes);
            }
            const bool isTooLarge = code == wire::error::header_limit && reader.exceeded().empty();
            exceeded = isTooLarge ? "it exceeds " + std::to_string(limits.maxHeaderBytes) + " bytes" : reader.exceeded();
        }
        if (code) {
            beast::get_lowest_layer(stream).expires_after(limits.writeTimeout);
            co_await rejectHeaders(stream, code, std::move(exceeded), *state);
            co_return ConnectionEnd::WithRequest;
        }
        resources.setState(limits::ConnectionState::Busy);
        const std::string_view ambiguity = findAmbiguity(parser.get());
        if (!ambiguity.empty()) {
            std::string reason(ambiguity);
            beast::get_lowest_layer(stream).expires_after(limits.writeTimeout);
            co_await rejectRequest(stream, core::ErrorKind::BadRequest, std::move(reason), *state);
            co_return ConnectionEnd::WithRequest;
        }
        const ScopedCount activeCount(state->exchanges);
        StreamExchange<Stream> exchange(stream, buffer, parser, limits, resources, state->sendConnectionClose);
        beast::get_lowest_layer(stream).expires_never();
        co_await runHandler(exchange, *state);
        resources.setState(limits::ConnectionState::Idle);
        open = exchange.reusable(); // also while stopping: the client may send a request unless a response announced the close
    }
    co_return ConnectionEnd::WithRequest;
}

/// Calls `onEvicted` of the place with an action that closes the connection, for the lifetime of the object.
class EvictionHandler
{
public:
    EvictionHandler(limits::ConnectionPlace *place, std::function<void()> onEvicted)
        : m_place(place)
    {
        if (m_place != nullptr) {
            m_place->setEvictedCallback(std::move(onEvicted));
        }
    }
    EvictionHandler(const EvictionHandler &) = delete;
    EvictionHandler &operator=(const EvictionHandler &) = delete;
    ~EvictionHandler()
    {
        if (m_place != nullptr) {
            m_place->setEvictedCallback({});
        }
    }

private:
    limits::ConnectionPlace *m_place;
};

/// `place` may be null.
asio::awaitable<void> serveConnection(Tcp::socket socket, std::shared_ptr<Server::State> state, std::shared_ptr<limits::ConnectionPlace> place)
{
    const ScopedCount activeCount(state->connections);
    const auto setClosing = [&place] {
        if (place) {
            place->setState(limits::ConnectionState::Closing);
        }
    };
    ErrorCode code;
    socket.set_option(Tcp::no_delay(true), code);
    limitUnsentBytes(socket);
    try {
        if (state->tls == nullptr) {
            beast::tcp_stream stream(std::move(socket));
            const EvictionHandler evictionHandler(place.get(), [&stream] { stream.close(); });
            // An idle connection is closed at once: a request that arrives while it closes must not be read.
            if (co_await serveStream(stream, state, place.get()) == ConnectionEnd::WithRequest) {
                const ScopedCount closingCount(state->closing);
                setClosing();
                co_await linger(stream);
            }
            co_return;
        }
        const auto context = state->tls->context();
        beast::ssl_stream<beast::tcp_stream> stream(beast::tcp_stream(std::move(socket)), *context);
        const EvictionHandler evictionHandler(place.get(), [&stream] { beast::get_lowest_layer(stream).close(); });
        beast::get_lowest_layer(stream).expires_after(state->limits.headerTimeout);
        co_await stream.async_handshake(asio::ssl::stream_base::server, asio::redirect_error(asio::use_awaitable, code));
        if (!code) {
            co_await serveStream(stream, state, place.get());
            const ScopedCount closingCount(state->closing);
            setClosing();
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

/// Reports that all connections are in use, once in a while however often that happens.
void reportFull(Server::State &state, std::string_view reason)
{
    const auto now = std::chrono::steady_clock::now();
    if (state.onRejected && now >= state.nextFullReport) {
        state.nextFullReport = now + FullReportInterval;
        state.onRejected(reason);
    }
}

/// Serves a connection if it gets a place; closes it otherwise.
void startConnection(const std::shared_ptr<Server::State> &state, Tcp::socket socket)
{
    if (state->connections >= state->limits.maxConnections) {
        reportFull(*state, "all connections of the listener are in use: a new one is closed");
        return;
    }
    std::shared_ptr<limits::ConnectionPlace> place;
    if (const auto &budget = state->resources.connections) {
        const std::size_t evictedBefore = budget->evictedCount();
        place = std::make_shared<limits::ConnectionPlace>(budget);
        if (!place->isGranted()) {
            reportFull(*state, "all connections are in use, each with a request: a new one is closed");
            return;
        }
        if (budget->evictedCount() > evictedBefore) {
            reportFull(*state, "all connections are in use: one that waited is closed");
        }
    }
    asio::co_spawn(state->acceptor.get_executor(), serveConnection(std::move(socket), state, std::move(place)), asio::detached);
}

asio::awaitable<void> acceptLoop(std::shared_ptr<Server::State> state)
{
    while (state->acceptor.is_open()) {
        ErrorCode code;
        Tcp::socket socket = co_await state->acceptor.async_accept(asio::redirect_error(asio::use_awaitable, code));
        if (code == asio::error::operation_aborted || code == asio::error::bad_descriptor) {
            co_return;
        }
        if (code) { // such as no descriptor left, which would fail again at once
            co_await core::asyncSleep(AcceptRetryDelay);
            continue;
        }
        startConnection(state, std::move(socket));
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

std::size_t maxDescriptors()
{
    rlimit limit{};
    const bool isKnown = ::getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY;
    constexpr std::size_t Unlimited = std::size_t(1) << 20U;
    return isKnown ? static_cast<std::size_t>(limit.rlim_cur) : Unlimited;
}

Server::Server(asio::any_io_executor executor, const Endpoint &endpoint, ServerLimits limits, Handler handler, std::shared_ptr<ReloadableTlsContext> tls)
    : m_state(std::make_shared<State>(executor, limits, std::move(handler), std::move(tls)))
{
    const Tcp::endpoint address(asio::ip::make_address(endpoint.host), endpoint.port);
    m_state->acceptor.open(address.protocol());
    m_state->acceptor.set_option(asio::socket_base::reuse_address(true));
    m_state->acceptor.set_option(asio::socket_base::receive_buffer_size(MaxUnreadBytes)); // connections inherit it
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
        if (!code) {
            startConnection(m_state, std::move(socket));
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

void Server::setResources(ServerResources resources)
{
    m_state->resources = std::move(resources);
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
