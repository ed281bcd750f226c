// Splitting into events, and what is looked for in each.

#include "arbutus/gateway/ssestreamfilter.h"

namespace arbutus::gateway {

namespace {

constexpr std::string_view EventEnd = "\n\n";
constexpr std::string_view DoneEvent = "data: [DONE]";
constexpr std::string_view TokenMark = "\"finish_reason\":null";

} // namespace

SseStreamFilter::SseStreamFilter(core::AttemptId attempt, std::string shownId)
    : m_idField("\"id\":\"" + attempt.text + "\"")
    , m_clientVisibleIdField("\"id\":\"" + shownId + "\"")
{
}

std::string SseStreamFilter::feed(std::string_view piece)
{
    std::string out;
    m_pending += piece;
    std::size_t start = 0;
    while (!m_idMismatch && !m_complete) {
        const std::size_t end = m_pending.find(EventEnd, start);
        if (end == std::string::npos) {
            break;
        }
        processEvent(std::string_view(m_pending).substr(start, end + EventEnd.size() - start), out);
        start = end + EventEnd.size();
    }
    m_pending.erase(0, start);
    return out;
}

void SseStreamFilter::processEvent(std::string_view event, std::string &out)
{
    if (event.starts_with(DoneEvent)) {
        m_complete = true;
        out += event;
        return;
    }
    const std::size_t id = event.find(m_idField);
    if (id == std::string_view::npos) {
        m_idMismatch = true;
        return;
    }
    m_tokenCount += event.find(TokenMark) != std::string_view::npos ? 1 : 0;
    out += event.substr(0, id);
    out += m_clientVisibleIdField;
    out += event.substr(id + m_idField.size());
}

} // namespace arbutus::gateway
