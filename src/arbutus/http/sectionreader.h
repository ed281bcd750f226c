// Reading of a message with a bound on each of its sections. Included by the sources of the server and the client only.
//
// A section is a part of a message that the parser takes only when it is whole: the head, the head of a chunk with its extensions, and
// the trailers. Until then its bytes wait in the buffer of the connection. The bound holds for each section, whatever it consists of;
// what a connection holds beyond FreeBytes is counted in the memory budget of the process.
//
//   SectionReader reader(stream, buffer, memory);
//   const ErrorCode code = co_await reader.readSome(parser, maxBytes);
//   if (!reader.exceeded().empty()) { /* which bound */ }
//
// Q: Why not Beast's own operations?
// A: They read until a section is whole, so that nobody can ask meanwhile what it takes.

#pragma once

#include "arbutus/limits/bytebudget.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace arbutus::http {

/// Memory of the buffer of one connection.
class BufferHold
{
public:
    static constexpr std::size_t FreeBytes = 32 * 1024; // that a connection may hold without being counted

    /// `budget` may be null: only the bounds of the sections hold.
    explicit BufferHold(std::shared_ptr<limits::ByteBudget> budget)
        : m_budget(std::move(budget))
    {
    }

    /// Sets the number of bytes; false, and nothing is held, if they are not granted.
    [[nodiscard]] bool resize(std::size_t bytes)
    {
        if (m_budget == nullptr || bytes <= FreeBytes) {
            m_hold.reset();
            return true;
        }
        if (!m_hold) {
            m_hold.emplace(m_budget, limits::HolderKind::Request, "");
        }
        return m_hold->resize(bytes);
    }

private:
    std::shared_ptr<limits::ByteBudget> m_budget;
    std::optional<limits::ByteHold> m_hold;
};

template<class Stream>
class SectionReader
{
public:
    /// `mayParse` is asked about the bytes that the parser has not taken, which start a line if they are part of a head. If it
    /// refuses them, reading fails with bad_field. Unset: all are passed on.
    SectionReader(Stream &stream, boost::beast::flat_buffer &buffer, BufferHold &hold, std::function<bool(std::string_view)> mayParse = {})
        : m_stream(stream)
        , m_buffer(buffer)
        , m_hold(hold)
        , m_mayParse(std::move(mayParse))
    {
    }

    /// Passes received bytes to the parser until it takes some, and reads more as long as a section is not whole. A section of more than
    /// `maxBytes`, or one for which no memory is left, fails with buffer_overflow; see exceeded().
    template<class Parser>
    boost::asio::awaitable<boost::system::error_code> readSome(Parser &parser, std::size_t maxBytes)
    {
        namespace wire = boost::beast::http;
        boost::system::error_code code = wire::error::need_more;
        bool hasParsed = m_buffer.size() == 0;
        while (true) {
            if (!hasParsed) {
                if (m_mayParse && !m_mayParse(std::string_view(static_cast<const char *>(m_buffer.data().data()), m_buffer.size()))) {
                    co_return wire::error::bad_field;
                }
                const std::size_t used = parser.put(m_buffer.data(), code);
                m_buffer.consume(used);
                m_consumedBytes += used;
            }
            hasParsed = false;
            if (code != wire::error::need_more) {
                co_return code;
            }
            if (m_buffer.size() >= maxBytes) {
                m_exceeded = "a section of the message exceeds " + std::to_string(maxBytes) + " bytes";
                co_return wire::error::buffer_overflow;
            }
            const std::size_t wanted = std::clamp(m_buffer.capacity() - m_buffer.size(), MinReadBytes, MaxReadBytes);
            const auto space = m_buffer.prepare(std::min(wanted, maxBytes - m_buffer.size()));
            if (!m_hold.resize(m_buffer.capacity())) {
                m_exceeded = "no memory is left for a section of the message";
                co_return wire::error::buffer_overflow;
            }
            const std::size_t received = co_await m_stream.async_read_some(space, boost::asio::redirect_error(boost::asio::use_awaitable, code));
            m_buffer.commit(received);
            if (code == boost::asio::error::eof) {
                code = wire::error::end_of_stream;
                if (parser.got_some()) {
                    code = {};
                    parser.put_eof(code);
                }
                co_return code;
            }
            if (code) {
                co_return code;
            }
        }
    }

    /// Which bound the message has exceeded; empty: none.
    [[nodiscard]] const std::string &exceeded() const
    {
        return m_exceeded;
    }
    /// Bytes that parsers have taken.
    [[nodiscard]] std::size_t consumedBytes() const
    {
        return m_consumedBytes;
    }

private:
    static constexpr std::size_t MinReadBytes = 512;
    static constexpr std::size_t MaxReadBytes = 64 * 1024;

    Stream &m_stream;
    boost::beast::flat_buffer &m_buffer;
    BufferHold &m_hold;
    std::function<bool(std::string_view)> m_mayParse;
    std::string m_exceeded;
    std::size_t m_consumedBytes = 0;
};

} // namespace arbutus::http
