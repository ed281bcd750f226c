// Reading of the head of a response. Included by the sources of the client only.
//
// Refuses two things that the parser takes and that must not reach a caller:
//
//   a status outside 100 to 599                RFC 9110, section 15
//   a line that begins with a blank or a tab   The parser appends it to the value of the line before, where a field that frames the body
//                                              is lost. RFC 9112, section 5.2 lets a gateway refuse the whole response.
//
// Q: Why are folded lines not looked for after parsing?
// A: The parser has joined them by then.

#pragma once

#include "arbutus/http/message.h"
#include "arbutus/http/sectionreader.h"

#include <string_view>

namespace arbutus::http {

/// Whether a line begins with a blank or a tab; looks at the lines up to the blank one that ends a head.
[[nodiscard]] inline bool hasFoldedLine(std::string_view lines)
{
    while (!lines.empty() && !lines.starts_with("\r\n")) {
        if (lines.front() == ' ' || lines.front() == '\t') {
            return true;
        }
        lines.remove_prefix(std::min(lines.size(), lines.find('\n')));
        lines.remove_prefix(lines.empty() ? 0 : 1);
    }
    return false;
}

/// Reads a head of at most `maxBytes`, of an interim or a final response. After an error, bytes that have arrived may be left in `buffer`.
template<class Stream, class Parser>
boost::asio::awaitable<boost::system::error_code> readResponseHead(Stream &stream, boost::beast::flat_buffer &buffer, Parser &parser, std::size_t maxBytes)
{
    BufferHold hold(nullptr);
    SectionReader<Stream> reader(stream, buffer, hold, [](std::string_view lines) { return !hasFoldedLine(lines); });
    boost::system::error_code code;
    while (!code && !parser.is_header_done()) {
        code = co_await reader.readSome(parser, maxBytes);
    }
    const unsigned status = parser.get().result_int();
    if (!code && !isInterimStatus(status) && !isFinalStatus(status)) {
        code = boost::beast::http::error::bad_status;
    }
    co_return code;
}

} // namespace arbutus::http
