// Non-blocking log output.
//
// Lines are buffered in memory and written in batches without blocking. When the reader falls behind and the buffer is
// full, new lines are dropped and counted; the count is logged as a separate line once there is room again.
//
// Q: Why not use glog?
// A: glog writes each line synchronously and blocks while standard output does.

#pragma once

#include "arbutus/core/clock.h"

#include <string>
#include <string_view>

namespace arbutus::observe {

struct LogBufferSettings
{
    std::size_t maxPendingBytes = 256 * 1024;    // buffered while the reader is behind
    std::size_t flushThresholdBytes = 16 * 1024; // buffered bytes that trigger a flush
};

/// Log buffer of a process; not thread-safe.
class LogBuffer
{
public:
    LogBuffer(const core::Clock &clock, int descriptor, LogBufferSettings settings = {});

    void writeLine(std::string_view text);
    /// Writes as much as possible without blocking.
    void flush();
    [[nodiscard]] std::uint64_t droppedLines() const
    {
        return m_dropped;
    }

private:
    void append(std::string_view text);

    const core::Clock &m_clock;
    int m_descriptor;
    LogBufferSettings m_settings;
    std::string m_pending;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_droppedReported = 0;
};

} // namespace arbutus::observe
