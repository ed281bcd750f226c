// Responses of a simulated server that are framed or broken off on purpose.
//
// Writes the response byte by byte as a server would, so that it can end at any byte: inside the headers, a chunk's length, an
// event or a JSON document.

#pragma once

#include "arbutus/http/server.h"

#include <boost/json/object.hpp>

namespace arbutus::standin {

/// Faults of a simulated server's responses.
struct ResponseFaults
{
    bool unframed = false;        // neither a length nor chunks: the body ends with the connection
    std::int64_t breakAfter = -1; // bytes of the response, headers included, after which the connection ends; -1: never
    bool resetConnection = false; // break off with a reset instead of a regular close

    [[nodiscard]] bool active() const
    {
        return unframed || breakAfter >= 0;
    }
};

/// Reads the fields "unframed", "break_after" and "break_reset"; absent fields keep their value.
void readResponseFaults(const boost::json::object &fields, ResponseFaults &faults);
void writeResponseFaults(const ResponseFaults &faults, boost::json::object &fields);

/// Sends one response on another exchange, with faults. The connection is closed after it.
class FaultyExchange final : public http::Exchange
{
public:
    FaultyExchange(http::Exchange &exchange, ResponseFaults faults);

    [[nodiscard]] const http::Request &request() const override;
    boost::asio::awaitable<core::Result<void>> readBody() override;
    boost::asio::awaitable<bool> respond(const http::Response &response) override;
    boost::asio::awaitable<bool> beginResponse(const http::Response &response) override;
    boost::asio::awaitable<bool> writeChunk(std::string_view chunk) override;
    boost::asio::awaitable<bool> endResponse() override;
    [[nodiscard]] bool responseStarted() const override;
    void abort() override;

private:
    boost::asio::awaitable<bool> write(std::string bytes);

    http::Exchange &m_exchange;
    ResponseFaults m_faults;
    std::int64_t m_written = 0;
    bool m_started = false;
    bool m_ended = false; // nothing more is written
};

} // namespace arbutus::standin
