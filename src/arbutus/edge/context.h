// Services shared by all components of an instance: executor, clocks, settings, log and metrics.
//
// All components run on one event loop in one thread, without locks or queues between them. On a quarter of a core, handing
// work from one thread to another costs more than the work itself (measured in docs/PLATFORM.md).

#pragma once

#include "arbutus/core/clock.h"
#include "arbutus/edge/configurationproof.h"
#include "arbutus/edge/evidenceclock.h"
#include "arbutus/edge/protocoladapter.h"
#include "arbutus/edge/settings.h"
#include "arbutus/observe/logbuffer.h"
#include "arbutus/observe/logline.h"
#include "arbutus/observe/metrics.h"

#include <boost/asio/any_io_executor.hpp>

#include <ctime>

namespace arbutus::edge {

struct InstanceContext
{
    boost::asio::any_io_executor executor;
    const core::Clock &clock;
    const Settings &settings;
    const ProtocolAdapter &adapter;
    metadata::MetadataStore &store;
    observe::LogBuffer &log;
    observe::Metrics &metrics;
    EvidenceClock &evidenceClock;

    [[nodiscard]] core::TimePoint now() const
    {
        return clock.steadyNow();
    }
    /// Time since boot, including time in which the machine was suspended.
    [[nodiscard]] static BootTime bootNow()
    {
        timespec now{};
        ::clock_gettime(CLOCK_BOOTTIME, &now);
        return BootTime(std::chrono::duration_cast<core::Duration>(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
    }
    void writeLog(const observe::LogLine &line) const
    {
        log.writeLine(line.text());
    }
};

} // namespace arbutus::edge
