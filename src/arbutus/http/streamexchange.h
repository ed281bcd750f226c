// One request on a connection, and its response. Included by the sources of the server only.

#pragma once

#include "arbutus/http/readlimit.h"
#include "arbutus/http/sectionreader.h"
#include "arbutus/http/server.h"
#include "arbutus/limits/connectionbudget.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <optional>

namespace arbutus::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace wire = boost::beast::http;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

/// What the requests of one connection hold.
struct ConnectionResources
{
    BufferHold buffer;
    std::shared_ptr<limits::ByteBudget> memory; // null: not counted
    limits::ConnectionPlace *place = nullptr;   // null: not counted

    void setState(limits::ConnectionState state) const
    {
        if (place != nullptr) {
            place->setState(state);
        }
    }
};

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

/// Exchange on a connection of stream type `Stream`.
template<class Stream>
class StreamExchange final : public Exchange
{
public:
    using HeaderParser = wire::request_parser<wire::empty_body>;

    StreamExchange(Stream &stream,
                   beast::flat_buffer &buffer,
                   HeaderParser &parser,
                   const ServerLimits &limits,
                   ConnectionResources &resources,
                   const std::atomic<bool> &sendConnectionClose)
        : m_stream(stream)
        , m_buffer(buffer)
        , m_parser(parser)
        , m_limits(limits)
        , m_resources(resources)
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
        if (!m_mayHoldBody && m_resources.memory) {
            m_bodyHold.emplace(m_resources.memory, limits::HolderKind::Request, "");
            m_mayHoldBody = [this](std::size_t bytes) { return m_bodyHold->resize(bytes); };
        }
        std::size_t heldBytes = m_parser.content_length().value_or(0);
        if (m_mayHoldBody && !m_mayHoldBody(heldBytes)) {
            m_keepAlive = false;
            co_return noMemoryError();
        }
        m_resources.setState(limits::ConnectionState::ReadingBody);
        co_await sendContinueIfExpected();
        wire::request_parser<wire::string_body> parser(std::move(m_parser));
        parser.body_limit(m_limits.maxBodyBytes);
        SectionReader<Stream> reader(m_stream, m_buffer, m_resources.buffer);
        ErrorCode code;
        bool hasMemory = true;
        {
            const ReadLimit readLimit(beast::get_lowest_layer(m_stream).socket(), m_limits.bodyTimeout);
            m_isReadingBody = true;
            while (!code && hasMemory && m_exceeded.empty() && !parser.is_done()) {
                const std::size_t framingBefore = reader.consumedBytes() - parser.get().body().size();
                code = co_await reader.readSome(parser, m_limits.maxSectionBytes);
                m_exceeded = reader.exceeded();
                const std::size_t bodyBytes = parser.get().body().size();
                if (!code && reader.consumedBytes() - bodyBytes > framingBefore + m_limits.maxSectionBytes) { // it has arrived at once
                    m_exceeded = "a section of the message exceeds " + std::to_string(m_limits.maxSectionBytes) + " bytes";
                } else if (!code && reader.consumedBytes() > bodyBytes * FramingFactor + MaxLongSections * m_limits.maxSectionBytes) {
                    m_exceeded = "the chunks of the body take more than " + std::to_string(FramingFactor) + " times its size";
                }
                const std::size_t capacity = parser.get().body().capacity();
                if (!code && capacity > heldBytes) {
                    heldBytes = capacity;
                    hasMemory = !m_mayHoldBody || m_mayHoldBody(heldBytes);
                }
            }
            m_isReadingBody = false;
            if (code == asio::error::operation_aborted && readLimit.timer()->expired) {
                code = beast::error::timeout;
            }
        }
        m_resources.setState(limits::ConnectionState::Busy);
        if (!hasMemory) {
            m_keepAlive = false;
            co_return noMemoryError();
        }
        if (code || !m_exceeded.empty()) {
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
        if (response.body.size() <= MaxWriteBytes) {
            co_await wire::async_write(m_stream, message, asio::redirect_error(asio::use_awaitable, code));
            co_return succeeded(code);
        }
        wire::response_serializer<wire::span_body<const char>> serializer(message);
        co_await wire::async_write_header(m_stream, serializer, asio::redirect_error(asio::use_awaitable, code));
        const auto deadline = std::chrono::steady_clock::now() + m_limits.writeTimeout * (2 + response.body.size() / MaxTimedBytes);
        for (std::string_view rest = response.body; !code && !rest.empty();) {
            beast::get_lowest_layer(m_stream).expires_after(m_limits.writeTimeout); // each time that the client has taken some
            rest.remove_prefix(co_await m_stream.async_write_some(asio::buffer(rest), asio::redirect_error(asio::use_awaitable, code)));
            if (!code && !rest.empty() && std::chrono::steady_clock::now() >= deadline) {
                code = beast::error::timeout;
            }
        }
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

    /// Bound that the body has exceeded; empty: none.
    [[nodiscard]] const std::string &exceeded() const
    {
        return m_exceeded;
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
    static constexpr std::size_t MaxWriteBytes = 64 * 1024;   // that are written at once
    static constexpr std::size_t MaxTimedBytes = 1024 * 1024; // that a client must read within ServerLimits::writeTimeout
    /// Bytes that a body of chunks may take for each of its bytes; chunks of one byte take 6.
    static constexpr std::size_t FramingFactor = 16;
    /// Sections of the largest size that a body may have beside: the heads of a chunk and of the last one, and the trailers.
    static constexpr std::size_t MaxLongSections = 3;

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
        if (!m_exceeded.empty()) {
            return core::makeError(core::ErrorKind::BodyTooLarge, m_exceeded);
        }
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
    ConnectionResources &m_resources;
    const std::atomic<bool> &m_sendConnectionClose; // add `Connection: close` to the response
    Request m_request;
    unsigned m_version = 11;
    bool m_endsWithConnection = false; // the response has neither a length nor chunks
    bool m_keepAlive = true;
    bool m_bodyRead = false;
    bool m_isReadingBody = false;
    std::function<bool(std::size_t)> m_mayHoldBody;
    std::optional<limits::ByteHold> m_bodyHold; // unless the handler limits the body itself
    std::string m_exceeded;
    bool m_started = false;
    bool m_ended = false;
    bool m_failed = false;
    bool m_aborted = false;                                                                            // by the handler
    ErrorCode m_failure;                                                                               // of the first failed write, or of the connection
    std::shared_ptr<std::function<void()>> m_onDisconnect = std::make_shared<std::function<void()>>(); // null target once the exchange has ended
};

} // namespace arbutus::http
