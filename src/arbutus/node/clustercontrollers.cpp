// Controllers of shared state.
//
// Sections as in the header.

#include "arbutus/node/clustercontrollers.h"

#include "arbutus/core/hash.h"
#include "arbutus/membership/rendezvous.h"

#include <algorithm>
#include <cmath>

namespace arbutus::node {

namespace {

constexpr core::Duration PullTimeout = std::chrono::milliseconds(1500); // then another pull may start
constexpr std::uint32_t UnreachableAfter = 3;                           // failed reads in a row
constexpr std::size_t ReadersPerUpstream = 2;
constexpr std::size_t HeadCopies = 2;          // instances of another domain told of a revision
constexpr std::size_t ContactsKept = 3;        // entries remembered of another domain
constexpr std::size_t EntriesInDigest = 2;     // entries told of each domain
constexpr double TellStep = 0.15;              // of the slots; a smaller change is not told at once
constexpr std::size_t ReadBytes = 400;         // one report read over HTTP, both ways
constexpr std::uint64_t EventsEvery = 4;       // reads; cache events come with every fourth
constexpr std::size_t ReportBytes = 40;        // one report in a datagram
constexpr std::size_t RowBytes = 24;           // one digest row in a datagram
constexpr std::size_t DomainBytes = 160;       // one digest domain with its entries
constexpr double ReportBytesPerSecond = 1'500; // received by one instance
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
    send(m_state.domainView.tick(m_state.now()));
    if (m_state.domainView.version() != m_loggedVersion) {
        m_loggedVersion = m_state.domainView.version();
        std::string usable;
        for (const membership::Member &member : m_state.domainView.availableMembers()) {
            usable += (usable.empty() ? "" : ",") + member.id.text;
        }
        m_state.logEvent("membership_changed", {{"version", std::to_string(m_loggedVersion)}, {"usable", usable}});
    }
    writeDirectory();
}

void MembershipController::receive(const std::string &address, const membership::Message &message)
{
    send(m_state.domainView.receive(message, address, m_state.now()));
}

void MembershipController::leave()
{
    send(m_state.domainView.leave(m_state.now()));
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
    if (now < m_nextDirectory) {
        return;
    }
    m_nextDirectory = now + m_state.settings.directoryWriteInterval;
    const std::vector<membership::Member> usable = m_state.domainView.availableMembers();
    if (!membership::isAmongTopRanked("directory", usable, m_state.self().id, 1)) {
        return;
    }
    WriteDirectory write;
    for (const membership::Member &member : usable) {
        write.entries.push_back(EntryPoint{member.id, member.region, member.domain, member.callersUrl});
    }
    m_state.emit(std::move(write));
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
    const std::vector<membership::Member> usable = m_state.domainView.availableMembers();
    const bool watch = membership::isAmongTopRanked("config-watch", usable, m_state.self().id, m_state.settings.configWatchersPerDomain);
    if (watch != m_watching) {
        m_watching = watch;
        m_state.emit(WatchConfig{watch});
        m_state.logEvent("config_watch", {{"on", watch ? "true" : "false"}});
    }
}

void ConfigController::handle(const ConfigEntriesReceived &read)
{
    m_pullUntil = {};
    const core::Revision before = m_state.config.head().revision;
    for (const config::LogEntry &entry : read.entries) {
        const config::ApplyResult adoption = m_state.config.apply(entry);
        if (adoption == config::ApplyResult::HashMismatch || adoption == config::ApplyResult::Invalid) {
            m_state.logEvent(
                "config_entry_refused",
                {{"revision", std::to_string(entry.revision.value)}, {"reason", adoption == config::ApplyResult::HashMismatch ? "other_chain" : "invalid"}});
            break;
        }
    }
    adopted(before);
}

void ConfigController::handle(const ConfigSnapshotReceived &read)
{
    m_pullUntil = {};
    const core::Revision before = m_state.config.head().revision;
    m_state.config.installSnapshot(read.snapshot);
    adopted(before);
}

void ConfigController::adopted(core::Revision before)
{
    const core::Revision revision = m_state.config.head().revision;
    if (revision == before) {
        return;
    }
    m_state.logEvent("config_adopted", {{"revision", std::to_string(revision.value)}, {"before", std::to_string(before.value)}});
    announce();
    const std::uint64_t every = m_state.settings.revisionsPerSnapshot;
    const bool due = revision.value / every > m_snapshotAt.value / every;
    const bool first = membership::isAmongTopRanked("config-watch", m_state.domainView.availableMembers(), m_state.self().id, 1);
    if (due && first) {
        m_snapshotAt = revision;
        m_state.emit(WriteSnapshot{revision, m_state.config.serializeSnapshot()});
    }
}

void ConfigController::announce()
{
    const RevisionAnnouncement news{m_state.self().peerAddress};
    m_state.broadcastToDomain(news);
    const std::vector<membership::Member> usable = m_state.domainView.availableMembers();
    for (const auto &[domain, members] : m_state.remoteContacts) { // each member speaks to its part of the other domains
        if (!membership::isAmongTopRanked("head:" + domain.text, usable, m_state.self().id, 1)) {
            continue;
        }
        for (std::size_t i = 0; i < std::min(members.size(), HeadCopies); ++i) {
            m_state.emit(SendDatagram{members[i].gossipAddress, m_state.makeDatagram(news)});
        }
    }
}

void ConfigController::handle(const ConfigRequested &asked)
{
    ConfigResponse given{asked.key, m_state.config.head().revision, {}, {}};
    if (auto entries = m_state.config.entriesAfter(asked.afterRevision)) {
        given.entries = std::move(*entries);
    } else {
        given.snapshot = m_state.config.serializeSnapshot();
    }
    m_state.emit(std::move(given));
}

void ConfigController::handleAnnouncedRevision(const core::InstanceRef &sender, core::Revision revision, const std::string &peerAddress)
{
    if (revision <= m_state.config.head().revision || m_state.now() < m_pullUntil) {
        return;
    }
    const membership::Member *member = m_state.findMember(sender.id);
    const std::string address = !peerAddress.empty() || member == nullptr ? peerAddress : member->peerAddress;
    if (address.empty()) {
        return;
    }
    m_pullUntil = m_state.now() + PullTimeout;
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
    if (now >= m_nextList) {
        const std::size_t members = m_state.domainView.availableMembers().size();
        const double stretch = std::max(1.0, static_cast<double>(members) / 2.0); // two reads a period in each domain
        m_nextList = now + std::chrono::duration_cast<core::Duration>(m_state.settings.platformListInterval * stretch);
        m_state.emit(FetchPlatformList{});
    }
    readDue();
    tellChanged();
}

void UpstreamController::handle(const PlatformListReceived &read)
{
    m_state.upstreamTable.updateUpstreams(read.upstreams);
    std::erase_if(m_readings, [this](const auto &entry) { return m_state.upstreamTable.find(entry.first) == nullptr; });
    m_toRead = static_cast<std::size_t>(std::count_if(m_readings.begin(), m_readings.end(), [](const auto &entry) { return entry.second.duty; }));
    m_state.domainCountByRegion = read.domainCountByRegion;
    std::size_t here = 0;
    for (const membership::Member &member : read.instances) {
        if (member.domain == m_state.self().domain) {
            ++here;
            m_state.domainView.addContact(member);
            continue;
        }
        auto &known = m_state.remoteContacts[member.domain];
        const bool present = std::any_of(known.begin(), known.end(), [&](const membership::Member &other) { return other.id == member.id; });
        if (!present && known.size() < ContactsKept) {
            known.push_back(member);
        }
    }
    m_state.listedInstanceCount = here;
}

void UpstreamController::readDue()
{
    const core::TimePoint now = m_state.now();
    std::vector<membership::Member> usable;
    for (const auto &[id, upstream] : m_state.upstreamTable.upstreams()) {
        if (upstream.descriptor.kind != routing::UpstreamKind::Model) {
            continue;
        }
        Reading &reading = m_readings[id];
        if (now < reading.next) {
            continue;
        }
        reading.next = now + readPeriod();
        if (usable.empty()) {
            usable = m_state.domainView.availableMembers();
        }
        const bool duty = usable.empty() || membership::isAmongTopRanked(id.text, usable, m_state.self().id, ReadersPerUpstream);
        if (duty) {
            m_state.emit(FetchLoadReport{id, upstream.descriptor.address, reading.lastEvent, reading.reads % EventsEvery == 0});
            ++reading.reads;
        }
        if (duty != reading.duty) {
            reading.duty = duty;
            m_toRead += duty ? 1 : -1;
        }
    }
}

core::Duration UpstreamController::readPeriod() const
{
    const double seconds = static_cast<double>(m_toRead * ReadBytes) / m_state.settings.loadReadBytesPerSecond;
    return std::max(m_state.settings.loadReadInterval, std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(seconds)));
}

void UpstreamController::handle(const LoadReportReceived &read)
{
    const routing::Upstream *upstream = m_state.upstreamTable.find(read.upstream);
    if (upstream == nullptr) {
        return;
    }
    Reading &reading = m_readings[read.upstream];
    routing::LoadReport report = upstream->report;
    if (read.report) {
        reading.failures = 0;
        report = *read.report;
        report.reachable = true;
    } else if (++reading.failures < UnreachableAfter) {
        return;
    } else {
        report.reachable = false;
    }
    report.id = read.upstream;
    report.readAtMs = static_cast<std::uint64_t>(m_state.clock.wallNow().time_since_epoch().count());
    m_state.upstreamTable.updateLoad(report, m_state.now());
    takeEvents(read.upstream, reading, read.events);
    const bool primary = membership::isAmongTopRanked(read.upstream.text, m_state.domainView.availableMembers(), m_state.self().id, 1);
    if (worthTelling(reading, report, primary)) {
        m_toTell[read.upstream] = report;
        reading.told = report;
        reading.toldAt = m_state.now();
    }
}

bool UpstreamController::worthTelling(const Reading &reading, const routing::LoadReport &report, bool primary) const
{
    if (!reading.told || reading.told->leaving != report.leaving || reading.told->reachable != report.reachable || reading.told->models != report.models) {
        return true; // either reader tells at once
    }
    if (!primary) {
        return false;
    }
    const auto bytes = static_cast<double>(m_state.upstreamTable.upstreams().size() * ReportBytes);
    const auto stretched = std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(bytes / ReportBytesPerSecond));
    const core::Duration age = m_state.now() - reading.toldAt;
    const auto before = static_cast<double>(reading.told->running + reading.told->waiting);
    const auto after = static_cast<double>(report.running + report.waiting);
    const bool step = std::abs(after - before) > TellStep * report.slots;
    return age >= std::max(m_state.settings.loadBroadcastInterval, stretched) || (step && age >= stretched);
}

void UpstreamController::takeEvents(const core::UpstreamId &id, Reading &reading, const std::vector<CacheEvent> &events)
{
    std::vector<std::uint64_t> stored;
    for (const CacheEvent &event : events) {
        if (reading.lastEvent != 0 && event.sequence > reading.lastEvent + 1) {
            m_state.upstreamTable.recordCacheEventGap(id);
        }
        reading.lastEvent = std::max(reading.lastEvent, event.sequence);
        if (event.stored) {
            stored.push_back(event.blockHash);
        } else {
            m_state.upstreamTable.removeCachedBlock(id, event.blockHash);
        }
    }
    m_state.upstreamTable.addCachedBlocks(id, stored);
}

void UpstreamController::tellChanged()
{
    LoadUpdate news;
    for (auto &[id, report] : m_toTell) {
        news.reports.push_back(std::move(report));
        if (news.reports.size() == ReportsPerDatagram) {
            m_state.broadcastToDomain(std::move(news));
            news = LoadUpdate{};
        }
    }
    m_toTell.clear();
    if (!news.reports.empty()) {
        m_state.broadcastToDomain(std::move(news));
    }
}

void UpstreamController::handle(const LoadUpdate &news)
{
    for (const routing::LoadReport &report : news.reports) {
        m_state.upstreamTable.updateLoad(report, m_state.now());
    }
}

//-----------------------------------------------------------------------------
// DigestController
//-----------------------------------------------------------------------------

DigestController::DigestController(NodeState &state)
    : m_state(state)
    , m_number(static_cast<std::uint64_t>(state.clock.wallNow().time_since_epoch().count())) // grows over restarts
{
}

std::vector<PoolSummary> DigestController::localPools() const
{
    std::vector<PoolSummary> rows;
    const core::TimePoint now = m_state.now();
    const auto addRow = [&](const std::string &name, bool service, const std::vector<routing::Upstream *> &upstreams) {
        PoolSummary row{name, service, m_state.self().domain, core::Duration::max(), 0, 0, 0};
        for (const routing::Upstream *upstream : upstreams) {
            if (upstream->isLeaving() || !upstream->report.reachable || now < upstream->ejectedUntil) {
                continue;
            }
            const routing::ScoredCandidate scored = routing::scoreUpstream(*upstream, routing::RoutingRequest{}, m_state.settings.routing, now);
            row.predictedWait = std::min(row.predictedWait, scored.predictedWait);
            row.slots += upstream->report.slots;
            row.freeSlots += upstream->report.slots - std::min(upstream->report.slots, upstream->occupancy());
            row.price += upstream->descriptor.price * upstream->report.slots;
        }
        if (row.slots > 0) {
            row.price /= row.slots;
            rows.push_back(std::move(row));
        }
    };
    for (const core::ModelId &model : m_state.upstreamTable.models()) {
        addRow(model.text, false, m_state.upstreamTable.upstreamsWithModel(model));
    }
    for (const core::ServiceId &service : m_state.upstreamTable.services()) {
        addRow(service.text, true, m_state.upstreamTable.upstreamsOfService(service));
    }
    return rows;
}

core::Duration DigestController::sendInterval() const
{
    std::set<core::RegionId> regions;
    std::size_t inRegion = 0;
    for (const auto &[domain, members] : m_state.remoteContacts) {
        if (members.empty()) {
            continue;
        }
        inRegion += members.front().region == m_state.self().region ? 1 : 0;
        if (members.front().region != m_state.self().region) {
            regions.insert(members.front().region);
        }
    }
    const std::size_t rows = std::max<std::size_t>(1, m_state.upstreamTable.models().size() + m_state.upstreamTable.services().size());
    const double digestBytes = static_cast<double>(rows * RowBytes + DomainBytes * std::max<std::size_t>(1, std::min<std::size_t>(rows, inRegion + 1)));
    const double seconds = digestBytes * static_cast<double>(regions.size() + inRegion) / m_state.settings.digestBytesPerSecond;
    return std::max(m_state.settings.digestInterval, std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(seconds)));
}

bool DigestController::isSenderTo(const core::DomainId &target, const core::RegionId &region) const
{
    const std::string key = "digest:" + target.text;
    if (region != m_state.self().region) { // one domain of this region speaks to that domain
        const std::uint64_t own = core::rendezvousWeight(key, m_state.self().domain.text);
        for (const auto &[domain, neighbour] : m_neighbours) {
            const bool fresh = m_state.now() - m_neighbourAt.at(domain) < m_state.settings.upstreamTable.maxDigestAge;
            if (fresh && core::rendezvousWeight(key, domain.text) > own) {
                return false;
            }
        }
    }
    return membership::isAmongTopRanked(key, m_state.domainView.availableMembers(), m_state.self().id, 1);
}

Digest DigestController::makeDigest(bool wholeRegion)
{
    Digest digest;
    digest.domain = m_state.self().domain;
    digest.region = m_state.self().region;
    digest.sequence = ++m_number;
    digest.pools = localPools();
    const auto found = m_state.domainCountByRegion.find(digest.region);
    digest.regionDomainCount = found == m_state.domainCountByRegion.end() ? 1 : found->second;
    DigestDomain own{digest.domain, membership::rankMembers("digest-entries", m_state.domainView.availableMembers())};
    own.entries.resize(std::min(own.entries.size(), EntriesInDigest));
    digest.domains.push_back(std::move(own));
    digest.demand = m_state.limits.aggregateDemand(wholeRegion, m_state.now());
    if (wholeRegion) {
        addRegionRows(digest);
    }
    return digest;
}

void DigestController::addRegionRows(Digest &digest) const
{
    for (const auto &[domain, neighbour] : m_neighbours) {
        bool used = false;
        for (const PoolSummary &row : neighbour.pools) {
            const auto known = std::find_if(
                digest.pools.begin(), digest.pools.end(), [&](const PoolSummary &other) { return other.name == row.name && other.service == row.service; });
            if (known == digest.pools.end()) {
                digest.pools.push_back(row);
                used = true;
            } else if (row.predictedWait < known->predictedWait || (row.predictedWait == known->predictedWait && row.freeSlots > known->freeSlots)) {
                *known = row;
                used = true;
            }
        }
        if (used) {
            digest.domains.insert(digest.domains.end(), neighbour.domains.begin(), neighbour.domains.end());
        }
    }
}

void DigestController::tick()
{
    tellDemand();
    if (m_state.draining) {
        return;
    }
    const core::TimePoint now = m_state.now();
    for (const auto &[domain, members] : m_state.remoteContacts) {
        if (members.empty() || now < m_next[domain]) {
            continue;
        }
        m_next[domain] = now + sendInterval();
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
    if (digest.domain == m_state.self().domain || digest.sequence <= m_lastNumber[digest.domain]) {
        return;
    }
    m_lastNumber[digest.domain] = digest.sequence;
    const core::TimePoint now = m_state.now();
    std::map<core::DomainId, std::vector<routing::RemoteInstance>> entries;
    for (const DigestDomain &domain : digest.domains) {
        std::vector<membership::Member> &contacts = m_state.remoteContacts[domain.domain];
        std::vector<membership::Member> fresh = domain.entries;
        for (const membership::Member &known : contacts) { // older contacts stay behind the fresh ones
            const bool told = std::any_of(fresh.begin(), fresh.end(), [&](const membership::Member &member) { return member.id == known.id; });
            if (!told && fresh.size() < ContactsKept) {
                fresh.push_back(known);
            }
        }
        contacts = std::move(fresh);
        for (const membership::Member &member : domain.entries) {
            entries[domain.domain].push_back(routing::RemoteInstance{core::InstanceRef{member.id, member.incarnation}, member.peerAddress, member.callersUrl});
        }
    }
    for (const PoolSummary &row : digest.pools) {
        routing::RemotePool pool{row.domain, digest.region, row.predictedWait, row.freeSlots, row.slots, row.price, now, now, 0, entries[row.domain]};
        if (row.service) {
            m_state.upstreamTable.updateRemoteService(core::ServiceId(row.name), std::move(pool), now);
        } else {
            m_state.upstreamTable.updateRemoteModel(core::ModelId(row.name), std::move(pool), now);
        }
    }
    const bool sameRegion = digest.region == m_state.self().region;
    const std::string source = sameRegion ? "domain:" + digest.domain.text : "region:" + digest.region.text;
    for (const limits::WorkspaceDemand &demand : digest.demand) {
        m_state.limits.updateRemoteDemand(source, demand, now);
    }
    if (sameRegion) {
        m_neighbours[digest.domain] = digest;
        m_neighbourAt[digest.domain] = now;
    }
    if (!digest.relayed) {
        Digest relay = digest;
        relay.relayed = true;
        m_state.broadcastToDomain(std::move(relay));
    }
}

void DigestController::handle(const core::InstanceRef &sender, const DemandUpdate &news)
{
    for (const limits::WorkspaceDemand &demand : news.workspaceDemand) {
        m_state.limits.updateRemoteDemand("instance:" + sender.id.text, demand, m_state.now());
    }
    m_state.modelDemand.updateRemoteDemand(sender.id.text, news.modelDemand, m_state.now());
}

void DigestController::tellDemand()
{
    const core::TimePoint now = m_state.now();
    if (now < m_nextDemand) {
        return;
    }
    m_nextDemand = now + m_state.settings.demandBroadcastInterval;
    DemandUpdate news{m_state.limits.localDemand(now), m_state.modelDemand.localDemand(now)};
    if (!news.workspaceDemand.empty() || !news.modelDemand.empty()) {
        m_state.broadcastToDomain(std::move(news));
    }
}

} // namespace arbutus::node
