// Tells at which service and software version a stream began, also if another instance relayed it.
//
// Each first event is reported to the first two dispatchers of its region (PlacementService), which keep a record of it. An instance
// that receives a resumption asks the dispatchers of its region, then those of the other regions.
//
// Q: What if a region is lost or cut off, and with it its records?
// A: While a service has upstreams of several versions, the dispatcher of a region copies new records to the first two dispatchers of
//    each other region, several times a second. When a second version appears, it also copies the records of the last seconds.
//
// Q: What if nobody knows the stream?
// A: If this instance has known only one version of the service for as long as a stream can last, that is the version. Otherwise it is
//    unknown. The metadata must be known to match the store at a time after the resumption arrived: the stream has begun before that, at
//    an upstream that was listed. That those who were asked are silent, or don't know the stream, shows nothing: an instance may be cut
//    off, and a report may be lost.

#pragma once

#include "arbutus/core/asyncevent.h"
#include "arbutus/edge/fleet.h"
#include "arbutus/edge/metadatacache.h"

#include <list>
#include <memory>

namespace arbutus::edge {

struct StreamDirectorySettings
{
    routing::StreamRecordsSettings records;
    std::chrono::milliseconds copyInterval{50};            // of new records to other regions
    std::size_t maxRecordsPerDatagram = 24;                // about 1.2 kB
    std::size_t maxDatagramsPerCopy = 4;                   // to each instance; older records follow later
    std::size_t copiesPerRegion = 2;                       // dispatchers of another region that get copies, and are asked
    std::size_t askedInRegion = 4;                         // instances that were dispatchers before a change of the ranking may have records
    std::chrono::milliseconds regionAnswerTimeout{40};     // of the instances of this region
    std::chrono::milliseconds otherRegionsTimeout{200};    // of the instances of other regions
    std::chrono::milliseconds maxInferenceStaleness{1500}; // of the metadata when the stream is looked up; else there is no wait for newer ones
    std::chrono::milliseconds inferenceTimeout{1500};      // of that wait; the time of a watch call of the store, its pause and two region states
};

/// Where the origin of a stream is known from.
enum class OriginSource {
    OwnRecord,
    Region,      // the record of another instance of this region
    OtherRegion, // the record of an instance of another region
    SoleVersion, // no record, but the service has had one version only
    Unknown,
};

[[nodiscard]] std::string_view toString(OriginSource source);

struct FoundOrigin
{
    OriginSource source = OriginSource::Unknown;
    routing::StreamOrigin origin; // unless unknown
    core::Duration age{};         // of the stream, if there is a record
};

class StreamDirectory
{
public:
    StreamDirectory(InstanceContext &context, Fleet &fleet, const MetadataCache &metadataCache, StreamDirectorySettings settings = {});

    void start();
    /// Keeps the record of a stream that began in this region.
    void record(const routing::StreamRecord &record);
    /// Finds where a stream began. `service` is the one that new requests of the stream's first attempt go to, and `maxAge` the longest time
    /// for which one request can last; clients take streams up again for up to StreamRecordsSettings::retention.
    boost::asio::awaitable<FoundOrigin> find(routing::StreamId stream, core::ServiceId service, core::Duration maxAge);

    void handleQuery(const StreamQuery &query, const std::string &from);
    void handleReport(const StreamReport &report, const core::InstanceId &sender);

private:
    struct Lookup
    {
        explicit Lookup(boost::asio::any_io_executor executor)
            : changed(std::move(executor))
        {
        }
        routing::StreamId stream;
        std::set<core::InstanceId> unanswered;
        core::AsyncEvent changed;
    };

    boost::asio::awaitable<void> copyLoop();
    void copyToOtherRegions();
    /// Asks the instances and waits until one of them knows the stream or all have answered.
    boost::asio::awaitable<void> ask(Lookup &lookup, std::vector<membership::Member> members, std::chrono::milliseconds timeout);
    [[nodiscard]] std::vector<membership::Member> membersToAsk(bool isInRegion);
    /// The only version that the stream can have begun at; nothing if that is not known.
    [[nodiscard]] std::optional<routing::SoftwareVersion> inferVersion(const core::ServiceId &service, core::Duration maxAge) const;
    /// Waits until the metadata are known to match the store at a time after `since`; returns whether they are.
    boost::asio::awaitable<bool> waitForMetadata(core::TimePoint since);

    InstanceContext &m_context;
    Fleet &m_fleet;
    const MetadataCache &m_metadataCache;
    StreamDirectorySettings m_settings;
    routing::StreamRecords m_records;
    std::map<core::ServiceId, std::deque<routing::StreamRecord>> m_uncopied; // of this region, oldest first
    std::list<Lookup *> m_lookups;
};

} // namespace arbutus::edge
