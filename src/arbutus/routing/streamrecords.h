// Which software version began each stream.
//
// Upstreams of several software versions may serve one service side by side, and what two versions write does not fit together. A
// stream goes on only at the version that began it: within one response, and when its client takes it up again, maybe at another
// instance. Each dispatcher keeps a record of the streams of its region, and copies of those of other regions.
//
//   records.add(stream, {service, version}, now);           // with the first event
//   const StreamRecord *record = records.find(stream, now);  // when a client resumes it
//
// Q: Where do the records come from?
// A: Each instance reports first events to the first two dispatchers of its region anyway. Copies go to other regions only while a
//    service there has upstreams of several versions.
//
// Q: What if there is no record?
// A: Then it does not matter if all upstreams of the last minutes were of one version: see soleVersion(). Otherwise the version is
//    unknown, and the stream is not resumed.
//
// No sockets or clock: the caller passes in the current time.

#pragma once

#include "arbutus/core/clock.h"
#include "arbutus/routing/upstreamregistry.h"

#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace arbutus::routing {

using StreamId = core::StrongId<struct StreamTag>; // the client's attempt that brought the first event

/// What a stream can go on at.
struct StreamOrigin
{
    core::ServiceId service;
    SoftwareVersion version;

    bool operator==(const StreamOrigin &) const = default;
};

struct StreamRecord
{
    StreamId stream;
    StreamOrigin origin;
    core::TimePoint beganAt{};
};

struct StreamRecordsSettings
{
    core::Duration retention = std::chrono::seconds(30); // longer than a client goes on trying
    std::size_t maxRecords = 50'000;                     // about 150 bytes each; the oldest ones are dropped
};

class StreamRecords
{
public:
    explicit StreamRecords(StreamRecordsSettings settings = {});

    /// Adds a record; the first one of a stream stays. Returns whether it is new.
    bool add(StreamRecord record, core::TimePoint now);
    [[nodiscard]] const StreamRecord *find(const StreamId &stream) const;
    void expire(core::TimePoint now);
    [[nodiscard]] std::size_t size() const
    {
        return m_records.size();
    }

private:
    StreamRecordsSettings m_settings;
    std::unordered_map<StreamId, StreamRecord> m_records;
    std::deque<std::pair<core::TimePoint, StreamId>> m_order; // by time of addition
};

/// Software versions of a service's upstreams, including those that were removed in the last UpstreamRegistrySettings::removedRetention.
[[nodiscard]] std::set<SoftwareVersion> knownVersions(const UpstreamRegistry &registry, const core::ServiceId &service);

/// The version of all known upstreams of the service, if they have the same one.
[[nodiscard]] std::optional<SoftwareVersion> soleVersion(const UpstreamRegistry &registry, const core::ServiceId &service);

} // namespace arbutus::routing
