// Splitting of event streams, and checks of complete bodies.

#include "arbutus/http/truncation.h"

#include <boost/beast/core/string.hpp>
#include <boost/json.hpp>

#include <algorithm>

namespace arbutus::http {

namespace {

constexpr std::string_view LineTerminators = "\r\n";

bool hasMediaType(const Headers &headers, std::string_view mediaType)
{
    const std::string value = headerValue(headers, "Content-Type");
    const std::string_view type = std::string_view(value).substr(0, value.find_first_of("; \t"));
    return boost::beast::iequals(type, mediaType);
}

bool isEventStreamTruncated(std::string_view body, BodyEnd bodyEnd)
{
    bool hasEvent = false;
    for (std::size_t end = findEventEnd(body, true); end != std::string_view::npos; end = findEventEnd(body, true)) {
        hasEvent = hasEvent || hasEventField(body.substr(0, end));
        body.remove_prefix(end);
    }
    return hasEventField(body) || (!hasEvent && bodyEnd == BodyEnd::ConnectionClose);
}

/// Returns whether `body` is the beginning of a JSON document. Text that is not JSON at all is not judged.
bool isJsonTruncated(std::string_view body)
{
    boost::json::stream_parser parser;
    boost::system::error_code code;
    parser.write(body, code);
    if (code) {
        return false;
    }
    parser.finish(code);
    return code == boost::json::error::incomplete;
}

} // namespace

std::size_t findEventEnd(std::string_view text, bool isEndOfBody)
{
    bool hasLine = false; // a line that is not blank; blank lines before it belong to the event
    std::size_t lineStart = 0;
    while (true) {
        const std::size_t lineEnd = text.find_first_of(LineTerminators, lineStart);
        if (lineEnd == std::string_view::npos) {
            return lineEnd;
        }
        std::size_t next = lineEnd + 1;
        if (text[lineEnd] == '\r') {
            if (next == text.size() && !isEndOfBody) {
                return std::string_view::npos;
            }
            next += next < text.size() && text[next] == '\n' ? 1 : 0;
        }
        if (lineEnd == lineStart && hasLine) {
            return next;
        }
        hasLine = hasLine || lineEnd != lineStart;
        lineStart = next;
    }
}

std::string_view takeLine(std::string_view &text)
{
    const std::string_view line = text.substr(0, text.find_first_of(LineTerminators));
    text.remove_prefix(std::min(line.size() + 1, text.size()));
    return line;
}

bool hasEventField(std::string_view text)
{
    while (!text.empty()) {
        const std::string_view line = takeLine(text);
        if (!line.empty() && line.front() != ':') {
            return true;
        }
    }
    return false;
}

bool isEventStream(const Headers &headers)
{
    return hasMediaType(headers, "text/event-stream");
}

bool isTruncated(const Response &response, BodyEnd bodyEnd)
{
    if (isEventStream(response.headers)) {
        return isEventStreamTruncated(response.body, bodyEnd);
    }
    return bodyEnd == BodyEnd::ConnectionClose && hasMediaType(response.headers, "application/json") && isJsonTruncated(response.body);
}

} // namespace arbutus::http
