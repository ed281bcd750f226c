// What every part of an instance uses: its loop, clock, settings, log and metrics.
//
// All parts run on one event loop, in one thread. There is no lock and no ring between them: on a quarter of a core the
// hand-over between threads costs more than the work (docs/PLATFORM.md has the measurement).

#pragma once

#include "arbutus/core/clock.h"
#include "arbutus/edge/protocoladapter.h"
#include "arbutus/edge/settings.h"
#include "arbutus/observe/logbuffer.h"
#include "arbutus/observe/logline.h"
#include "arbutus/observe/metrics.h"

#include <boost/asio/any_io_executor.hpp>

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

    [[nodiscard]] core::TimePoint now() const
    {
        return clock.steadyNow();
    }
    void writeLog(const observe::LogLine &line) const
    {
        log.writeLine(line.text());
    }
};

} // namespace arbutus::edge
