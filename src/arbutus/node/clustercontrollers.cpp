// Membership, configuration, upstreams and digests. Sections as in the header.

#include "arbutus/node/clustercontrollers.h"

#include "arbutus/core/hash.h"
#include "arbutus/membership/rendezvous.h"

#include <algorithm>
#include <cmath>

namespace arbutus::node {

namespace {

constexpr core::Duration FetchTimeout = std::chrono::milliseconds(1500); // after this, another fetch may start
constexpr std::uint32_t MaxReadFailures = 3;                             // consecutive failed reads after which an upstream is unreachable
constexpr std::size_t ReadersPerUpstream = 2;
constexpr std::size_t AnnouncementsPerDomain = 2;  // instances of each other domain that a revision is announced to
constexpr std::size_t MaxContactsPerDomain = 3;    // known instances of each other domain
constexpr std::size_t EntriesPerDigestDomain = 2;  // entries of each domain in a digest
constexpr double LoadChangeThreshold = 0.15;       // of the slots; a smaller load change is not broadcast early
constexpr std::size_t LoadReadBytes = 400;         // one report read over HTTP, request and response
constexpr std::uint64_t ReadsPerEventFetch = 4;    // cache events are requested with every fourth read
constexpr std::size_t LoadReportBytes = 40;        // one report in a datagram
constexpr std::size_t PoolSummaryBytes = 24;       // one pool summary in a digest
constexpr std::size_t DigestDomainBytes = 160;     // one domain with its entries in a digest
constexpr double LoadReportBytesPerSecond = 1'500; // received by one instance
constexpr std::size_t ReportsPerDatagram = 20;

} // namespace

//-----------------------------------------------------------------------------
// MembershipController
//-----------------------------------------------------------------------------

MembershipController::MembershipController(NodeState &state)
    : m_state(state)
{
}

void MembershipController::tick()
{
    send(m_state.membershipView.tick(m_state.now()));
    if (m_state.membershipView.version() != m_loggedVersion) {
        m_loggedVersion = m_state.membershipView.version();
        std::string available;
        for (const membership::Member &member : m_state.membershipView.availableMembers()) {
            available += (available.empty() ? "" : ",") + member.id.text;
        }
        m_state.logEvent("membership_changed", {{"version", std::to_string(m_loggedVersion)}, {"usable", available}});
    }
    writeDirectory();
}

void MembershipController::receive(const std::string &address, const membership::Message &message)
{
    send(m_state.membershipView.receive(message, address, m_state.now()));
}

void MembershipController::leave()
{
    send(m_state.membershipView.leave(m_state.now()));
}

void MembershipController::send(std::vector<membership::OutgoingMessage> messages)
{
    for (membership::OutgoingMessage &outgoing : messages) {
        m_state.emit(SendDatagram{outgoing.address, m_state.makeDatagram(std::move(outgoing.message))});
    }
}

void MembershipController::writeDirectory()
{
    const core::TimePoint now = m_state.now();
    if (now < m_nextDirectoryWrite) {
        return;
    }
    m_nextDirectoryWrite = now + m_state.settings.directoryWriteInterval;
    const std::vector<membership::Member> available = m_state.membershipView.availableMembers();
    if (!membership::isAmongTopRanked("directory", available, m_state.self().id, 1)) {
        return;
    }
    WriteDirectory directory;
    for (const membership::Member &member : available) {
        directory.entries.push_back(EntryPoint{member.id, member.region, member.domain, member.clientUrl});
    }
    m_state.emit(std::move(directory));
}

//-----------------------------------------------------------------------------
// ConfigController
//-----------------------------------------------------------------------------

ConfigController::ConfigController(NodeState &state)
    : m_state(state)
{
}

void ConfigController::tick()
{
    const std::vector<membership::Member> available = m_state.membershipView.availableMembers();
    const bool shouldWatch = membership::isAmongTopRanked("config-watch", available, m_state.self().id, m_state.settings.configWatchersPerDomain);
    if (shouldWatch != m_watching) {
        m_watching = shouldWatch;
        m_state.emit(WatchConfig{shouldWatch});
        m_state.logEvent("config_watch", {{"on", shouldWatch ? "true" : "false"}});
    }
}

void ConfigController::handle(const ConfigEntriesReceived &event)
{
    m_fetchTimeoutAt = {};
    const core::Revision previous = m_state.config.head().revision;
    for (const config::LogEntry &entry : event.entries) {
        const config::ApplyResult result = m_state.config.apply(entry);
        if (result == config::ApplyResult::HashMismatch || result == config::ApplyResult::Invalid) {
            m_state.logEvent(
                "config_entry_refused",
                {{"revision", std::to_string(entry.revision.value)}, {"reason", result == config::ApplyResult::HashMismatch ? "other_chain" : "invalid"}});
            break;
        }
    }
    handleRevisionChange(previous);
}

void ConfigController::handle(const ConfigSnapshotReceived &event)
{
    m_fetchTimeoutAt = {};
    const core::Revision previous = m_state.config.head().revision;
    m_state.config.installSnapshot(event.snapshot);
    handleRevisionChange(previous);
}

void ConfigController::handleRevisionChange(core::Revision previous)
{
    const core::Revision revision = m_state.config.head().revision;
    if (revision == previous) {
        return;
    }
    m_state.logEvent("config_adopted", {{"revision", std::to_string(revision.value)}, {"before", std::to_string(previous.value)}});
    announce();
    const std::uint64_t interval = m_state.settings.revisionsPerSnapshot;
    const bool snapshotDue = revision.value / interval > m_lastSnapshotRevision.value / interval;
    const bool isFirstWatcher = membership::isAmongTopRanked("config-watch", m_state.membershipView.availableMembers(), m_state.self().id, 1);
    if (snapshotDue && isFirstWatcher) {
        m_lastSnapshotRevision = revision;
        m_state.emit(WriteSnapshot{revision, m_state.config.serializeSnapshot()});
    }
}

void ConfigController::announce()
{
    const RevisionAnnouncement announcement{m_state.self().peerAddress};
    m_state.broadcastToDomain(announcement);
    const std::vector<membership::Member> available = m_state.membershipView.availableMembers();
    for (const auto &[domain, members] : m_state.remoteContacts) { // each member announces to its share of the other domains
        if (!membership::isAmongTopRanked("head:" + domain.text, available, m_state.self().id, 1)) {
            continue;
        }
        for (std::size_t i = 0; i < std::min(members.size(), AnnouncementsPerDomain); ++i) {
            m_state.emit(SendDatagram{members[i].gossipAddress, m_state.makeDatagram(announcement)});
        }
    }
}

void ConfigController::handle(const ConfigRequested &event)
{
    ConfigResponse response{event.key, m_state.config.head().revision, {}, {}};
    if (auto entries = m_state.config.entriesAfter(event.afterRevision)) {
        response.entries = std::move(*entries);
    } else {
        response.snapshot = m_state.config.serializeSnapshot();
    }
    m_state.emit(std::move(response));
}

void ConfigController::handleAnnouncedRevision(const core::InstanceRef &sender, core::Revision revision, const std::string &peerAddress)
{
    if (revision <= m_state.config.head().revision || m_state.now() < m_fetchTimeoutAt) {
        return;
    }
    const membership::Member *member = m_state.findMember(sender.id);
    const std::string address = !peerAddress.empty() || member == nullptr ? peerAddress : member->peerAddress;
    if (address.empty()) {
        return;
    }
    m_fetchTimeoutAt = m_state.now() + FetchTimeout;
    m_state.emit(FetchConfig{address, m_state.config.head().revision});
}

//-----------------------------------------------------------------------------
// UpstreamController
//-----------------------------------------------------------------------------

UpstreamController::UpstreamController(NodeState &state)
    : m_state(state)
{
}

void UpstreamController::tick()
{
    const core::TimePoint now = m_state.now();
    if (now >= m_nextPlatformList) {
        const std::size_t members = m_state.membershipView.availableMembers().size();
        const double scale = std::max(1.0, static_cast<double>(members) / 2.0); // keeps it at two reads per interval in each domain
        m_nextPlatformList = now + std::chrono::duration_cast<core::Duration>(m_state.settings.platformListInterval * scale);
        m_state.emit(FetchPlatformList{});
    }
    fetchDueReports();
    broadcastPendingReports();
}

void UpstreamController::handle(const PlatformListReceived &event)
{
    m_state.upstreamTable.updateUpstreams(event.upstreams);
    std::erase_if(m_reportReaders, [this](const auto &entry) { return m_state.upstreamTable.find(entry.first) == nullptr; });
    m_assignedCount =
        static_cast<std::size_t>(std::count_if(m_reportReaders.begin(), m_reportReaders.end(), [](const auto &entry) { return entry.second.assigned; }));
    m_state.domainCountByRegion = event.domainCountByRegion;
    std::size_t localInstances = 0;
    for (const membership::Member &member : event.instances) {
        if (member.domain == m_state.self().domain) {
            ++localInstances;
            m_state.membershipView.addContact(member);
            continue;
        }
        auto &known = m_state.remoteContacts[member.domain];
        const bool present = std::any_of(known.begin(), known.end(), [&](const membership::Member &other) { return other.id == member.id; });
        if (!present && known.size() < MaxContactsPerDomain) {
            known.push_back(member);
        }
    }
    m_state.listedInstanceCount = localInstances;
}

void UpstreamController::fetchDueReports()
{
    const core::TimePoint now = m_state.now();
    std::vector<membership::Member> available;
    for (const auto &[id, upstream] : m_state.upstreamTable.upstreams()) {
        if (upstream.descriptor.kind != routing::UpstreamKind::Model) {
            continue;
        }
        ReportReader &reader = m_reportReaders[id];
        if (now < reader.nextRead) {
            continue;
        }
        reader.nextRead = now + readInterval();
        if (available.empty()) {
            available = m_state.membershipView.availableMembers();
        }
        const bool assigned = available.empty() || membership::isAmongTopRanked(id.text, available, m_state.self().id, ReadersPerUpstream);
        if (assigned) {
            m_state.emit(FetchLoadReport{id, upstream.descriptor.address, reader.lastEventSequence, reader.readCount % ReadsPerEventFetch == 0});
            ++reader.readCount;
        }
        if (assigned != reader.assigned) {
            reader.assigned = assigned;
            m_assignedCount += assigned ? 1 : -1;
        }
    }
}

core::Duration UpstreamController::readInterval() const
{
    const double seconds = static_cast<double>(m_assignedCount * LoadReadBytes) / m_state.settings.loadReadBytesPerSecond;
    return std::max(m_state.settings.loadReadInterval, std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(seconds)));
}

void UpstreamController::handle(const LoadReportReceived &event)
{
    const routing::Upstream *upstream = m_state.upstreamTable.find(event.upstream);
    if (upstream == nullptr) {
        return;
    }
    ReportReader &reader = m_reportReaders[event.upstream];
    routing::LoadReport report = upstream->report;
    if (event.report) {
        reader.failureCount = 0;
        report = *event.report;
        report.reachable = true;
    } else if (++reader.failureCount < MaxReadFailures) {
        return;
    } else {
        report.reachable = false;
    }
    report.id = event.upstream;
    report.sampledAtMs = static_cast<std::uint64_t>(m_state.clock.wallNow().time_since_epoch().count());
    m_state.upstreamTable.updateLoad(report, m_state.now());
    applyCacheEvents(event.upstream, reader, event.events);
    const bool primary = membership::isAmongTopRanked(event.upstream.text, m_state.membershipView.availableMembers(), m_state.self().id, 1);
    if (shouldBroadcast(reader, report, primary)) {
        m_pendingReports[event.upstream] = report;
        reader.lastBroadcast = report;
        reader.lastBroadcastAt = m_state.now();
    }
}

bool UpstreamController::shouldBroadcast(const ReportReader &reader, const routing::LoadReport &report, bool primary) const
{
    if (!reader.lastBroadcast || reader.lastBroadcast->leaving != report.leaving || reader.lastBroadcast->reachable != report.reachable
        || reader.lastBroadcast->models != report.models) {
        return true; // both readers broadcast these changes immediately
    }
    if (!primary) {
        return false;
    }
    const auto bytes = static_cast<double>(m_state.upstreamTable.upstreams().size() * LoadReportBytes);
    const auto minInterval = std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(bytes / LoadReportBytesPerSecond));
    const core::Duration age = m_state.now() - reader.lastBroadcastAt;
    const auto previous = static_cast<double>(reader.lastBroadcast->running + reader.lastBroadcast->waiting);
    const auto current = static_cast<double>(report.running + report.waiting);
    const bool significantChange = std::abs(current - previous) > LoadChangeThreshold * report.slots;
    return age >= std::max(m_state.settings.loadBroadcastInterval, minInterval) || (significantChange && age >= minInterval);
}

void UpstreamController::applyCacheEvents(const core::UpstreamId &id, ReportReader &reader, const std::vector<CacheEvent> &events)
{
    std::vector<std::uint64_t> stored;
    for (const CacheEvent &event : events) {
        if (reader.lastEventSequence != 0 && event.sequence > reader.lastEventSequence + 1) {
            m_state.upstreamTable.recordCacheEventGap(id);
        }
        reader.lastEventSequence = std::max(reader.lastEventSequence, event.sequence);
        if (event.stored) {
            stored.push_back(event.blockHash);
        } else {
            m_state.upstreamTable.removeCachedBlock(id, event.blockHash);
        }
    }
    m_state.upstreamTable.addCachedBlocks(id, stored);
}

void UpstreamController::broadcastPendingReports()
{
    LoadUpdate update;
    for (auto &[id, report] : m_pendingReports) {
        update.reports.push_back(std::move(report));
        if (update.reports.size() == ReportsPerDatagram) {
            m_state.broadcastToDomain(std::move(update));
            update = LoadUpdate{};
        }
    }
    m_pendingReports.clear();
    if (!update.reports.empty()) {
        m_state.broadcastToDomain(std::move(update));
    }
}

void UpstreamController::handle(const LoadUpdate &update)
{
    for (const routing::LoadReport &report : update.reports) {
        m_state.upstreamTable.updateLoad(report, m_state.now());
    }
}

//-----------------------------------------------------------------------------
// DigestController
//-----------------------------------------------------------------------------

DigestController::DigestController(NodeState &state)
    : m_state(state)
    , m_sequence(static_cast<std::uint64_t>(state.clock.wallNow().time_since_epoch().count())) // so that sequence numbers grow across restarts
{
}

std::vector<PoolSummary> DigestController::localPools() const
{
    std::vector<PoolSummary> summaries;
    const core::TimePoint now = m_state.now();
    const auto addSummary = [&](const std::string &name, bool service, const std::vector<routing::Upstream *> &upstreams) {
        PoolSummary summary{name, service, m_state.self().domain, core::Duration::max(), 0, 0, 0};
        for (const routing::Upstream *upstream : upstreams) {
            if (upstream->isLeaving() || !upstream->report.reachable || now < upstream->ejectedUntil) {
                continue;
            }
            const routing::ScoredCandidate scored = routing::scoreUpstream(*upstream, routing::RoutingRequest{}, m_state.settings.routing, now);
            summary.predictedWait = std::min(summary.predictedWait, scored.predictedWait);
            summary.slots += upstream->report.slots;
            summary.freeSlots += upstream->report.slots - std::min(upstream->report.slots, upstream->occupancy());
            summary.price += upstream->descriptor.price * upstream->report.slots;
        }
        if (summary.slots > 0) {
            summary.price /= summary.slots;
            summaries.push_back(std::move(summary));
        }
    };
    for (const core::ModelId &model : m_state.upstreamTable.models()) {
        addSummary(model.text, false, m_state.upstreamTable.upstreamsWithModel(model));
    }
    for (const core::ServiceId &service : m_state.upstreamTable.services()) {
        addSummary(service.text, true, m_state.upstreamTable.upstreamsOfService(service));
    }
    return summaries;
}

core::Duration DigestController::sendInterval() const
{
    std::set<core::RegionId> regions;
    std::size_t regionDomains = 0;
    for (const auto &[domain, members] : m_state.remoteContacts) {
        if (members.empty()) {
            continue;
        }
        regionDomains += members.front().region == m_state.self().region ? 1 : 0;
        if (members.front().region != m_state.self().region) {
            regions.insert(members.front().region);
        }
    }
    const std::size_t summaryCount = std::max<std::size_t>(1, m_state.upstreamTable.models().size() + m_state.upstreamTable.services().size());
    const double digestBytes = static_cast<double>(summaryCount * PoolSummaryBytes
                                                   + DigestDomainBytes * std::max<std::size_t>(1, std::min<std::size_t>(summaryCount, regionDomains + 1)));
    const double seconds = digestBytes * static_cast<double>(regions.size() + regionDomains) / m_state.settings.digestBytesPerSecond;
    return std::max(m_state.settings.digestInterval, std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(seconds)));
}

bool DigestController::isSenderTo(const core::DomainId &target, const core::RegionId &region) const
{
    const std::string key = "digest:" + target.text;
    if (region != m_state.self().region) { // only one domain of this region sends to that domain
        const std::uint64_t own = core::rendezvousWeight(key, m_state.self().domain.text);
        for (const auto &[domain, regionDigest] : m_regionDigests) {
            const bool fresh = m_state.now() - m_regionDigestTimes.at(domain) < m_state.settings.upstreamTable.maxDigestAge;
            if (fresh && core::rendezvousWeight(key, domain.text) > own) {
                return false;
            }
        }
    }
    return membership::isAmongTopRanked(key, m_state.membershipView.availableMembers(), m_state.self().id, 1);
}

Digest DigestController::makeDigest(bool forRegion)
{
    Digest digest;
    digest.domain = m_state.self().domain;
    digest.region = m_state.self().region;
    digest.sequence = ++m_sequence;
    digest.pools = localPools();
    const auto found = m_state.domainCountByRegion.find(digest.region);
    digest.regionDomainCount = found == m_state.domainCountByRegion.end() ? 1 : found->second;
    DigestDomain own{digest.domain, membership::rankMembers("digest-entries", m_state.membershipView.availableMembers())};
    own.entries.resize(std::min(own.entries.size(), EntriesPerDigestDomain));
    digest.domains.push_back(std::move(own));
    digest.demand = m_state.limits.aggregateDemand(forRegion, m_state.now());
    if (forRegion) {
        addRegionPools(digest);
    }
    return digest;
}

void DigestController::addRegionPools(Digest &digest) const
{
    for (const auto &[domain, regionDigest] : m_regionDigests) {
        bool contributed = false;
        for (const PoolSummary &summary : regionDigest.pools) {
            const auto known = std::find_if(digest.pools.begin(), digest.pools.end(), [&](const PoolSummary &other) {
                return other.name == summary.name && other.service == summary.service;
            });
            if (known == digest.pools.end()) {
                digest.pools.push_back(summary);
                contributed = true;
            } else if (summary.predictedWait < known->predictedWait
                       || (summary.predictedWait == known->predictedWait && summary.freeSlots > known->freeSlots)) {
                *known = summary;
                contributed = true;
            }
        }
        if (contributed) {
            digest.domains.insert(digest.domains.end(), regionDigest.domains.begin(), regionDigest.domains.end());
        }
    }
}

void DigestController::tick()
{
    broadcastDemand();
    if (m_state.draining) {
        return;
    }
    const core::TimePoint now = m_state.now();
    for (const auto &[domain, members] : m_state.remoteContacts) {
        if (members.empty() || now < m_nextDigest[domain]) {
            continue;
        }
        m_nextDigest[domain] = now + sendInterval();
        const core::RegionId &region = members.front().region;
        if (!isSenderTo(domain, region)) {
            continue;
        }
        const membership::Member &target = members[m_state.random(static_cast<std::uint32_t>(members.size()))];
        m_state.emit(SendDatagram{target.gossipAddress, m_state.makeDatagram(makeDigest(region != m_state.self().region))});
    }
}

void DigestController::handle(const Digest &digest)
{
    if (digest.domain == m_state.self().domain || digest.sequence <= m_lastSequence[digest.domain]) {
        return;
    }
    m_lastSequence[digest.domain] = digest.sequence;
    const core::TimePoint now = m_state.now();
    std::map<core::DomainId, std::vector<routing::RemoteInstance>> entries;
    for (const DigestDomain &domain : digest.domains) {
        std::vector<membership::Member> &contacts = m_state.remoteContacts[domain.domain];
        std::vector<membership::Member> fresh = domain.entries;
        for (const membership::Member &known : contacts) { // older contacts follow the new ones
            const bool listed = std::any_of(fresh.begin(), fresh.end(), [&](const membership::Member &member) { return member.id == known.id; });
            if (!listed && fresh.size() < MaxContactsPerDomain) {
                fresh.push_back(known);
            }
        }
        contacts = std::move(fresh);
        for (const membership::Member &member : domain.entries) {
            entries[domain.domain].push_back(routing::RemoteInstance{core::InstanceRef{member.id, member.incarnation}, member.peerAddress, member.clientUrl});
        }
    }
    for (const PoolSummary &summary : digest.pools) {
        routing::RemotePool pool{
            summary.domain, digest.region, summary.predictedWait, summary.freeSlots, summary.slots, summary.price, now, now, 0, entries[summary.domain]};
        if (summary.service) {
            m_state.upstreamTable.updateRemoteService(core::ServiceId(summary.name), std::move(pool), now);
        } else {
            m_state.upstreamTable.updateRemoteModel(core::ModelId(summary.name), std::move(pool), now);
        }
    }
    const bool sameRegion = digest.region == m_state.self().region;
    const std::string source = sameRegion ? "domain:" + digest.domain.text : "region:" + digest.region.text;
    for (const limits::WorkspaceDemand &demand : digest.demand) {
        m_state.limits.updateRemoteDemand(source, demand, now);
    }
    if (sameRegion) {
        m_regionDigests[digest.domain] = digest;
        m_regionDigestTimes[digest.domain] = now;
    }
    if (!digest.relayed) {
        Digest relay = digest;
        relay.relayed = true;
        m_state.broadcastToDomain(std::move(relay));
    }
}

void DigestController::handle(const core::InstanceRef &sender, const DemandUpdate &update)
{
    for (const limits::WorkspaceDemand &demand : update.workspaceDemand) {
        m_state.limits.updateRemoteDemand("instance:" + sender.id.text, demand, m_state.now());
    }
    m_state.modelDemand.updateRemoteDemand(sender.id.text, update.modelDemand, m_state.now());
}

void DigestController::broadcastDemand()
{
    const core::TimePoint now = m_state.now();
    if (now < m_nextDemandBroadcast) {
        return;
    }
    m_nextDemandBroadcast = now + m_state.settings.demandBroadcastInterval;
    DemandUpdate update{m_state.limits.localDemand(now), m_state.modelDemand.localDemand(now)};
    if (!update.workspaceDemand.empty() || !update.modelDemand.empty()) {
        m_state.broadcastToDomain(std::move(update));
    }
}

} // namespace arbutus::node
