// Splitting of the stream into events, and gap detection by event id.

#include "arbutus/edge/sserelay.h"

#include "arbutus/http/truncation.h"

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
        std::string_view line = http::takeLine(event);
        if (line.starts_with("id:")) {
            line.remove_prefix(3);
            if (line.starts_with(' ')) {
                line.remove_prefix(1);
            }
            return line;
        }
    }
    return std::nullopt;
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
    m_hasEvent = false;
    m_hasNumber = false;
    m_hasGap = false;
    m_isTruncated = false;
}

std::string SseRelay::feed(std::string_view chunk)
{
    std::string output;
    m_buffer += chunk;
    processEvents(false, output);
    return output;
}

void SseRelay::processEvents(bool isEndOfBody, std::string &output)
{
    std::size_t start = 0;
    while (!m_hasGap) {
        const std::string_view rest = std::string_view(m_buffer).substr(start);
        const std::size_t end = http::findEventEnd(rest, isEndOfBody);
        if (end == std::string_view::npos) {
            break;
        }
        processEvent(rest.substr(0, end), output);
        start += end;
    }
    m_buffer.erase(0, start);
}

void SseRelay::processEvent(std::string_view event, std::string &output)
{
    const bool hasField = http::hasEventField(event);
    m_hasEvent = m_hasEvent || hasField;
    const auto id = findEventId(event);
    const auto number = id ? parseNumber(*id) : std::nullopt;
    m_hasNumber = m_hasNumber || number;
    if (hasField && m_resumed && m_lastEventNumber && !m_hasNumber) {
        m_hasGap = true; // it may be an error
        return;
    }
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

std::string SseRelay::finish(http::BodyEnd bodyEnd)
{
    std::string output;
    processEvents(true, output);
    m_isTruncated = http::hasEventField(m_buffer) || (!m_hasEvent && bodyEnd == http::BodyEnd::ConnectionClose);
    if (!m_hasGap && !m_isTruncated) {
        output += m_buffer;
        m_buffer.clear();
    }
    return output;
}

} // namespace arbutus::edge
