// Splitting into events and following their ids.

#include "arbutus/edge/sserelay.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace arbutus::edge {

namespace {

std::optional<std::int64_t> numberOf(std::string_view text)
{
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc() && end == text.data() + text.size() && !text.empty() ? std::optional(value) : std::nullopt;
}

/// Value of the event's "id" field.
std::optional<std::string_view> idOf(std::string_view event)
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

/// End of the first whole event in `text`, or npos.
std::size_t eventEnd(std::string_view text)
{
    const std::size_t plain = text.find("\n\n");
    const std::size_t withReturns = text.find("\r\n\r\n");
    const std::size_t plainEnd = plain == std::string_view::npos ? plain : plain + 2;
    const std::size_t returnsEnd = withReturns == std::string_view::npos ? withReturns : withReturns + 4;
    return std::min(plainEnd, returnsEnd);
}

} // namespace

SseRelay::SseRelay(const std::string &lastEvent)
    : m_lastEventId(lastEvent)
    , m_lastEventNumber(numberOf(lastEvent))
    , m_resumed(!lastEvent.empty())
{
}

void SseRelay::resume()
{
    m_pending.clear();
    m_resumed = true;
}

std::string SseRelay::feed(std::string_view piece)
{
    std::string out;
    m_pending += piece;
    std::size_t start = 0;
    while (!m_hasGap) {
        const std::size_t end = eventEnd(std::string_view(m_pending).substr(start));
        if (end == std::string::npos) {
            break;
        }
        processEvent(std::string_view(m_pending).substr(start, end), out);
        start += end;
    }
    m_pending.erase(0, start);
    return out;
}

void SseRelay::processEvent(std::string_view event, std::string &out)
{
    const auto id = idOf(event);
    const auto number = id ? numberOf(*id) : std::nullopt;
    if (number && m_lastEventNumber) {
        if (m_resumed && *number <= *m_lastEventNumber) {
            return; // the caller has it
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
    out += event;
}

std::string SseRelay::finish()
{
    return m_hasGap ? std::string() : std::exchange(m_pending, {});
}

} // namespace arbutus::edge
