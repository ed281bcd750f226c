// Log lines to standard output that nobody ever waits for.
//
// Lines are collected in memory and written in batches without blocking. When the reader is behind and the buffer is full,
// new lines are dropped and counted; the count is written as a line of its own once there is room.
//
// Q: Why not through glog?
// A: glog writes each line where it is logged, and blocks when standard output does.

#pragma once

#include "arbutus/core/clock.h"

#include <string>
#include <string_view>

namespace arbutus::observe {

struct LogBufferSettings
{
    std::size_t maxPendingBytes = 256 * 1024;    // kept while the reader is behind
    std::size_t flushThresholdBytes = 16 * 1024; // written at once when so many bytes wait
};

/// The buffer of a process; used from one thread.
class LogBuffer
{
public:
    LogBuffer(const core::Clock &clock, int descriptor, LogBufferSettings settings = {});

    void writeLine(std::string_view text);
    /// Writes what can be written now.
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
