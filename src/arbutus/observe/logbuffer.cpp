// Buffered, non-blocking writes of log lines to a file descriptor.

#include "arbutus/observe/logbuffer.h"

#include <fcntl.h>
#include <unistd.h>

namespace arbutus::observe {

LogBuffer::LogBuffer(const core::Clock &clock, int descriptor, LogBufferSettings settings)
    : m_clock(clock)
    , m_descriptor(descriptor)
    , m_settings(settings)
{
    const int flags = ::fcntl(descriptor, F_GETFL);
    if (flags >= 0) {
        (void)::fcntl(descriptor, F_SETFL, flags | O_NONBLOCK); // failure is harmless: descriptors that reject O_NONBLOCK, e.g. of files, are always ready
    }
}

void LogBuffer::append(std::string_view text)
{
    m_pending += "at_ms=";
    m_pending += std::to_string(m_clock.wallNow().time_since_epoch().count());
    m_pending += ' ';
    m_pending += text;
    m_pending += '\n';
}

void LogBuffer::writeLine(std::string_view text)
{
    if (m_pending.size() + text.size() > m_settings.maxPendingBytes) {
        ++m_dropped;
        return;
    }
    if (m_dropped > m_droppedReported) {
        append("event=log_lines_dropped count=" + std::to_string(m_dropped - m_droppedReported));
        m_droppedReported = m_dropped;
    }
    append(text);
    if (m_pending.size() >= m_settings.flushThresholdBytes) {
        flush();
    }
}

void LogBuffer::flush()
{
    while (!m_pending.empty()) {
        const auto written = ::write(m_descriptor, m_pending.data(), m_pending.size());
        if (written <= 0) {
            return; // would block, or failed; keep the rest for the next flush
        }
        m_pending.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace arbutus::observe
