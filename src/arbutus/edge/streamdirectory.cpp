// Records, copies to other regions, and lookups.

#include "arbutus/edge/streamdirectory.h"
#include "arbutus/core/asyncsleep.h"
#include "arbutus/edge/background.h"

namespace arbutus::edge {

namespace asio = boost::asio;

std::string_view toString(OriginSource source)
{
    switch (source) {
    case OriginSource::OwnRecord:
        return "own_record";
    case OriginSource::Region:
        return "region";
    case OriginSource::OtherRegion:
        return "other_region";
    case OriginSource::SoleVersion:
        return "sole_version";
    case OriginSource::Unknown:
        break;
    }
    return "unknown";
}

StreamDirectory::StreamDirectory(InstanceContext &context, Fleet &fleet, const MetadataCache &metadataCache, StreamDirectorySettings settings)
    : m_context(context)
    , m_fleet(fleet)
    , m_metadataCache(metadataCache)
    , m_settings(settings)
    , m_records(settings.records)
{
}

void StreamDirectory::start()
{
    spawnLoop(m_context, "stream_copy", [this] { return copyLoop(); });
}

//-----------------------------------------------------------------------------
// Records
//-----------------------------------------------------------------------------

void StreamDirectory::record(const routing::StreamRecord &record)
{
    if (m_records.add(record, m_context.now())) {
        m_uncopied[record.origin.service].push_back(record);
    }
}

asio::awaitable<void> StreamDirectory::copyLoop()
{
    while (true) {
        co_await core::asyncSleep(m_settings.copyInterval);
        copyToOtherRegions();
    }
}

void StreamDirectory::copyToOtherRegions()
{
    const core::TimePoint now = m_context.now();
    const auto &ranking = m_fleet.dispatcherRanking(m_context.settings.region);
    const bool isDispatcher = !ranking.empty() && ranking.front().id == m_context.settings.instanceId;
    m_records.expire(now);
    for (auto &[service, records] : m_uncopied) {
        while (!records.empty() && now - records.front().beganAt > m_settings.records.retention) {
            records.pop_front();
        }
        if (records.empty() || !isDispatcher || routing::knownVersions(m_metadataCache.registry(), service).size() < 2) {
            continue;
        }
        const std::vector<membership::Member> receivers = membersToAsk(false);
        for (std::size_t i = 0; i < m_settings.maxDatagramsPerCopy && !records.empty(); ++i) {
            StreamReport report;
            while (!records.empty() && report.records.size() < m_settings.maxRecordsPerDatagram) { // the newest ones last longest
                report.records.push_back(std::move(records.back()));
                records.pop_back();
            }
            for (const membership::Member &member : receivers) {
                m_fleet.send(member.gossipAddress, report);
            }
        }
    }
}

//-----------------------------------------------------------------------------
// Lookups
//-----------------------------------------------------------------------------

std::vector<membership::Member> StreamDirectory::membersToAsk(bool isInRegion)
{
    std::set<core::RegionId> regions;
    for (const auto &[domain, region] : m_context.settings.regionByDomain) {
        if ((region == m_context.settings.region) == isInRegion) {
            regions.insert(region);
        }
    }
    std::vector<membership::Member> out;
    const std::size_t limit = isInRegion ? m_settings.askedInRegion : m_settings.copiesPerRegion;
    for (const core::RegionId &region : regions) {
        std::size_t count = 0;
        for (const membership::Member &member : m_fleet.dispatcherRanking(region)) {
            if (member.id != m_context.settings.instanceId && count++ < limit) {
                out.push_back(member);
            }
        }
    }
    return out;
}

asio::awaitable<void> StreamDirectory::ask(Lookup &lookup, std::vector<membership::Member> members, std::chrono::milliseconds timeout)
{
    for (const membership::Member &member : members) {
        lookup.unanswered.insert(member.id);
        m_fleet.send(member.gossipAddress, StreamQuery{lookup.stream});
    }
    const core::TimePoint end = m_context.now() + timeout;
    while (m_records.find(lookup.stream) == nullptr && !lookup.unanswered.empty() && m_context.now() < end) {
        co_await lookup.changed.wait(end - m_context.now());
    }
}

std::optional<routing::SoftwareVersion> StreamDirectory::inferVersion(const core::ServiceId &service, core::Duration maxAge) const
{
    const core::TimePoint now = m_context.now();
    // A stream may have begun before this instance started, at a version that was gone by then, and under an earlier configuration. A
    // client goes on trying for less time than records are kept.
    const core::Duration longestStream = std::max(maxAge, m_settings.records.retention);
    const auto knownSince = m_metadataCache.upstreamsKnownSince();
    if (!knownSince || now - *knownSince < longestStream) {
        return std::nullopt;
    }
    return routing::soleVersion(m_metadataCache.registry(), service);
}

asio::awaitable<bool> StreamDirectory::waitForMetadata(core::TimePoint since)
{
    constexpr auto PollInterval = std::chrono::milliseconds(20);
    const core::TimePoint startedAt = m_context.now();
    const auto isKnown = [&] { return m_context.now() - m_metadataCache.staleness(m_context.now()) >= since; };
    if (m_metadataCache.staleness(startedAt) > m_settings.maxInferenceStaleness) {
        co_return false;
    }
    while (!isKnown() && m_context.now() - startedAt < m_settings.inferenceTimeout) {
        co_await core::asyncSleep(PollInterval);
    }
    co_return isKnown();
}

asio::awaitable<FoundOrigin> StreamDirectory::find(routing::StreamId stream, core::ServiceId service, core::Duration maxAge)
{
    const core::TimePoint askedAt = m_context.now();
    FoundOrigin found;
    found.source = OriginSource::OwnRecord;
    if (!stream.empty() && m_records.find(stream) == nullptr) {
        Lookup lookup(m_context.executor);
        lookup.stream = stream;
        const auto position = m_lookups.insert(m_lookups.end(), &lookup);
        found.source = OriginSource::Region;
        co_await ask(lookup, membersToAsk(true), m_settings.regionAnswerTimeout);
        if (m_records.find(stream) == nullptr) {
            found.source = OriginSource::OtherRegion;
            co_await ask(lookup, membersToAsk(false), m_settings.otherRegionsTimeout);
        }
        m_lookups.erase(position);
    }
    bool isMetadataKnown = false;
    if (m_records.find(stream) == nullptr && inferVersion(service, maxAge)) {
        isMetadataKnown = co_await waitForMetadata(askedAt);
    }
    if (const routing::StreamRecord *record = m_records.find(stream)) { // it may have arrived meanwhile
        found.origin = record->origin;
        found.age = m_context.now() - record->beganAt;
    } else if (const auto version = inferVersion(service, maxAge); version && isMetadataKnown) {
        found.source = OriginSource::SoleVersion;
        found.origin = routing::StreamOrigin{service, *version};
    } else {
        found.source = OriginSource::Unknown;
    }
    co_return found;
}

void StreamDirectory::handleQuery(const StreamQuery &query, const std::string &from)
{
    StreamReport report;
    if (const routing::StreamRecord *record = m_records.find(query.stream)) {
        report.records.push_back(*record);
    } else {
        report.unknown.push_back(query.stream);
    }
    m_fleet.send(from, std::move(report));
}

void StreamDirectory::handleReport(const StreamReport &report, const core::InstanceId &sender)
{
    for (const routing::StreamRecord &record : report.records) {
        (void)m_records.add(record, m_context.now()); // already known if it was copied by two instances
    }
    for (Lookup *lookup : m_lookups) {
        const auto isLookedUp = [&](const routing::StreamId &stream) { return stream == lookup->stream; };
        if (std::any_of(report.unknown.begin(), report.unknown.end(), isLookedUp)) {
            lookup->unanswered.erase(sender);
        }
        lookup->changed.notify();
    }
}

} // namespace arbutus::edge
