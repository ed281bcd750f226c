// Splitting of the stream into events, and gap detection by event id.

#include "arbutus/edge/sserelay.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace arbutus::edge {

namespace {

std::optional<std::int64_t> parseNumber(std::string_view text)
{
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc() && end == text.data() + text.size() && !text.empty() ? std::optional(value) : std::nullopt;
}

/// Returns the value of the event's first "id" field.
std::optional<std::string_view> findEventId(std::string_view event)
{
    while (!event.empty()) {
        const std::size_t end = event.find('\n');
        std::string_view line = event.substr(0, end);
        if (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        if (line.starts_with("id:")) {
            line.remove_prefix(3);
            if (line.starts_with(' ')) {
                line.remove_prefix(1);
            }
            return line;
        }
        event = end == std::string_view::npos ? std::string_view() : event.substr(end + 1);
    }
    return std::nullopt;
}

/// Returns the end of the first complete event in `text`, or npos.
std::size_t findEventEnd(std::string_view text)
{
    const std::size_t lf = text.find("\n\n");
    const std::size_t crlf = text.find("\r\n\r\n");
    const std::size_t lfEnd = lf == std::string_view::npos ? lf : lf + 2;
    const std::size_t crlfEnd = crlf == std::string_view::npos ? crlf : crlf + 4;
    return std::min(lfEnd, crlfEnd);
}

} // namespace

SseRelay::SseRelay(const std::string &lastEventId)
    : m_lastEventId(lastEventId)
    , m_lastEventNumber(parseNumber(lastEventId))
    , m_resumed(!lastEventId.empty())
{
}

void SseRelay::resume()
{
    m_buffer.clear();
    m_resumed = true;
}

std::string SseRelay::feed(std::string_view chunk)
{
    std::string output;
    m_buffer += chunk;
    std::size_t start = 0;
    while (!m_hasGap) {
        const std::size_t end = findEventEnd(std::string_view(m_buffer).substr(start));
        if (end == std::string::npos) {
            break;
        }
        processEvent(std::string_view(m_buffer).substr(start, end), output);
        start += end;
    }
    m_buffer.erase(0, start);
    return output;
}

void SseRelay::processEvent(std::string_view event, std::string &output)
{
    const auto id = findEventId(event);
    const auto number = id ? parseNumber(*id) : std::nullopt;
    if (number && m_lastEventNumber) {
        if (m_resumed && *number <= *m_lastEventNumber) {
            return; // already forwarded to the client
        }
        if (*number != *m_lastEventNumber + 1) {
            m_hasGap = true;
            return;
        }
    }
    if (id) {
        m_lastEventId = *id;
        m_lastEventNumber = number;
    }
    ++m_forwardedEventCount;
    output += event;
}

std::string SseRelay::finish()
{
    return m_hasGap ? std::string() : std::exchange(m_buffer, {});
}

} // namespace arbutus::edge
