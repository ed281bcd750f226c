// Framing of responses, and breaking off.

#include "arbutus/standin/faultyexchange.h"

#include "arbutus/core/json.h"

#include <boost/json.hpp>

#include <sstream>

namespace arbutus::standin {

namespace asio = boost::asio;

namespace {

std::string responseHead(const http::Response &response, const std::string &framing)
{
    std::string head = "HTTP/1.1 " + std::to_string(response.status) + " \r\n";
    for (const auto &[name, value] : response.headers) {
        head += name + ": " + value + "\r\n";
    }
    return head + framing + "Connection: close\r\n\r\n";
}

} // namespace

void readResponseFaults(const boost::json::object &fields, ResponseFaults &faults)
{
    faults.unframed = core::jsonBool(fields, "unframed", faults.unframed);
    faults.breakAfter = core::jsonInteger(fields, "break_after", faults.breakAfter);
    faults.resetConnection = core::jsonBool(fields, "break_reset", faults.resetConnection);
}

void writeResponseFaults(const ResponseFaults &faults, boost::json::object &fields)
{
    fields["unframed"] = faults.unframed;
    fields["break_after"] = faults.breakAfter;
    fields["break_reset"] = faults.resetConnection;
}

FaultyExchange::FaultyExchange(http::Exchange &exchange, ResponseFaults faults)
    : m_exchange(exchange)
    , m_faults(faults)
{
}

const http::Request &FaultyExchange::request() const
{
    return m_exchange.request();
}

asio::awaitable<core::Result<void>> FaultyExchange::readBody()
{
    return m_exchange.readBody();
}

asio::awaitable<bool> FaultyExchange::respond(const http::Response &response)
{
    m_started = true;
    std::string framing;
    if (!m_faults.unframed) {
        framing = "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
    }
    std::string bytes = responseHead(response, framing) + response.body;
    const bool written = co_await write(std::move(bytes));
    if (written) {
        abort(); // the connection ends after the response
    }
    co_return written;
}

asio::awaitable<bool> FaultyExchange::beginResponse(const http::Response &response)
{
    m_started = true;
    std::string bytes = responseHead(response, m_faults.unframed ? "" : "Transfer-Encoding: chunked\r\n");
    co_return co_await write(std::move(bytes));
}

asio::awaitable<bool> FaultyExchange::writeChunk(std::string_view chunk)
{
    std::string bytes(chunk);
    if (!m_faults.unframed) {
        std::ostringstream framed;
        framed << std::hex << chunk.size() << "\r\n" << chunk << "\r\n";
        bytes = framed.str();
    }
    co_return co_await write(std::move(bytes));
}

asio::awaitable<bool> FaultyExchange::endResponse()
{
    std::string bytes = m_faults.unframed ? "" : "0\r\n\r\n";
    const bool written = co_await write(std::move(bytes));
    if (written) {
        abort(); // the connection ends after the response
    }
    co_return written;
}

bool FaultyExchange::responseStarted() const
{
    return m_started;
}

void FaultyExchange::abort()
{
    m_ended = true;
    m_exchange.abort();
}

asio::awaitable<bool> FaultyExchange::write(std::string bytes)
{
    if (m_ended) {
        co_return false;
    }
    const auto size = static_cast<std::int64_t>(bytes.size());
    const bool breakOff = m_faults.breakAfter >= 0 && m_written + size > m_faults.breakAfter;
    if (breakOff) {
        bytes.resize(static_cast<std::size_t>(std::max<std::int64_t>(m_faults.breakAfter - m_written, 0)));
    }
    m_written += static_cast<std::int64_t>(bytes.size());
    const bool written = co_await m_exchange.writeRaw(bytes);
    if (!breakOff) {
        co_return written;
    }
    m_ended = true;
    if (m_faults.resetConnection) {
        m_exchange.reset();
    } else {
        m_exchange.abort();
    }
    co_return false;
}

} // namespace arbutus::standin
