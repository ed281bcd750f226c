// Detection of crashes, exchange of records, operators' view.

#include "arbutus/edge/quarantineservice.h"
#include "arbutus/core/asyncsleep.h"
#include "arbutus/edge/background.h"
#include "arbutus/http/client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>

namespace arbutus::edge {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::string_view OperatorPath = "/quarantine";

std::string describeCrashes(const routing::CauseRecord &record, core::TimePoint now)
{
    std::string out;
    for (const routing::CauseCrash &crash : record.crashes) {
        out += (out.empty() ? "" : ",") + crash.upstream.text + ":" + std::to_string(core::toMilliseconds(now - crash.at));
    }
    return out;
}

/// Name of the field that identifies a cause in logs and the operators' view.
const char *fieldName(const routing::CrashCause &cause)
{
    return isRequest(cause) ? "fingerprint" : "part";
}

} // namespace

QuarantineService::QuarantineService(
    InstanceContext &context, Fleet &fleet, const MetadataCache &metadataCache, PathMonitor &paths, std::uint64_t seed, QuarantineServiceSettings settings)
    : m_context(context)
    , m_fleet(fleet)
    , m_metadataCache(metadataCache)
    , m_paths(paths)
    , m_settings(settings)
    , m_quarantine(settings.quarantine)
    , m_random(seed)
{
}

void QuarantineService::start()
{
    spawnLoop(m_context, "quarantine_tick", [this] { return tickLoop(); });
}

std::optional<routing::CrashCause> QuarantineService::findQuarantined(const std::vector<routing::PromptPart> &prompt,
                                                                      const routing::RequestFingerprint &fingerprint)
{
    return m_quarantine.findQuarantined(prompt, fingerprint, m_context.now());
}

std::size_t QuarantineService::quarantinedPartCount() const
{
    return static_cast<std::size_t>(std::count_if(m_logged.begin(), m_logged.end(), [](const routing::CrashCause &cause) { return !isRequest(cause); }));
}

//-----------------------------------------------------------------------------
// Crashes
//-----------------------------------------------------------------------------

void QuarantineService::recordBreak(const core::UpstreamId &upstream, const std::string &address, const BrokenRequest &request)
{
    const routing::RegistryEntry *entry = m_metadataCache.registry().find(upstream);
    if (entry == nullptr || !entry->isUsable()) { // a planned exit
        return;
    }
    if (const auto crashedAt = m_crashedAt.find(upstream); crashedAt != m_crashedAt.end() && request.sentAt > crashedAt->second) {
        return;
    }
    std::vector<Break> &breaks = m_unconfirmed[upstream];
    const bool wasGone = !breaks.empty() && request.sentAt > breaks.front().at;
    if (wasGone || breaks.size() >= m_settings.maxBreaksPerUpstream) {
        return; // an upstream that fails for long must not fill the memory
    }
    breaks.push_back(Break{request.isBeginning ? request.prompt : std::vector<routing::PromptPart>(), request.fingerprint, m_context.now()});
    if (breaks.size() == 1) {
        m_connecting.insert(upstream);
        asio::co_spawn(m_context.executor, confirmCrash(upstream, address, entry->announcement.startTime), asio::detached);
    }
}

asio::awaitable<bool> QuarantineService::refusesConnections(const std::string &address) const
{
    const http::Endpoint endpoint = http::parseEndpoint(address);
    const auto code = co_await http::probeConnection(m_context.executor, endpoint, m_settings.connectTimeout);
    co_return code == asio::error::connection_refused || code == asio::error::connection_reset;
}

asio::awaitable<void> QuarantineService::confirmCrash(core::UpstreamId upstream, std::string address, routing::StartTime startTime)
{
    const core::TimePoint brokenAt = m_context.now();
    std::string evidence = co_await refusesConnections(address) ? "connection_refused" : "";
    if (!evidence.empty() && !co_await m_paths.reachesOthers(upstream, brokenAt)) {
        evidence.clear(); // this instance may have lost its paths
    }
    m_connecting.erase(upstream);
    for (int i = 0; i < m_settings.removalChecks && evidence.empty(); ++i) {
        co_await core::asyncSleep(m_settings.removalCheckInterval);
        evidence = m_metadataCache.registry().hasRunEnded(upstream, startTime) ? "run_ended" : "";
    }
    const std::vector<Break> breaks = std::exchange(m_unconfirmed[upstream], {});
    m_unconfirmed.erase(upstream);
    m_context.writeLog(observe::LogLine("upstream_break_examined")
                           .add("upstream", upstream)
                           .add("crashed", !evidence.empty())
                           .add("evidence", evidence)
                           .add("broken_requests", breaks.size())
                           .add("beginning_requests", std::count_if(breaks.begin(), breaks.end(), [](const Break &item) { return !item.prompt.empty(); })));
    if (evidence.empty()) {
        co_return;
    }
    m_context.metrics.incrementCounter("arbutus_upstream_crashes_total");
    m_crashedAt.try_emplace(upstream, breaks.front().at);
    for (const Break &item : breaks) {
        m_quarantine.recordCrash(item.prompt, upstream, item.at);
        m_quarantine.recordCrash(item.fingerprint, upstream, item.at);
    }
    publishChanges("own");
    scheduleVerdict();
}

void QuarantineService::recordFirstEvent(const std::vector<routing::PromptPart> &prompt)
{
    m_quarantine.recordFirstEvent(prompt, m_context.now());
    if (m_quarantine.hasChanges()) { // rarely; this runs for each request
        publishChanges("own");
    }
}

asio::awaitable<void> QuarantineService::waitForExamination(const std::set<core::UpstreamId> &upstreams) const
{
    constexpr auto CheckInterval = std::chrono::milliseconds(5);
    while (std::any_of(upstreams.begin(), upstreams.end(), [&](const core::UpstreamId &upstream) { return m_connecting.contains(upstream); })) {
        co_await core::asyncSleep(CheckInterval);
    }
}

std::size_t QuarantineService::countCrashed(const std::set<core::UpstreamId> &upstreams) const
{
    return static_cast<std::size_t>(
        std::count_if(upstreams.begin(), upstreams.end(), [&](const core::UpstreamId &upstream) { return m_crashedAt.contains(upstream); }));
}

void QuarantineService::recordCompletion(const routing::RequestFingerprint &fingerprint)
{
    m_quarantine.recordCompletion(fingerprint, m_context.now());
    if (m_quarantine.hasChanges()) { // rarely; this runs for each request
        publishChanges("own");
    }
}

//-----------------------------------------------------------------------------
// Exchange with other instances
//-----------------------------------------------------------------------------

void QuarantineService::handleRecords(const std::vector<routing::CauseRecord> &records, const core::InstanceId &sender)
{
    for (const routing::CauseRecord &record : records) {
        m_quarantine.merge(record, m_context.now());
    }
    publishChanges(sender.text);
    scheduleVerdict();
}

void QuarantineService::publishChanges(std::string_view source)
{
    const core::TimePoint now = m_context.now();
    bool hasNewVerdict = false;
    for (const auto &[cause, record] : m_quarantine.records()) {
        if (record.quarantined == m_logged.contains(cause)) {
            continue;
        }
        if (record.quarantined) {
            m_logged.insert(cause);
        } else {
            m_logged.erase(cause);
        }
        hasNewVerdict = hasNewVerdict || record.quarantined;
        const std::string subject = isRequest(cause) ? "request_" : "prompt_part_";
        m_context.writeLog(observe::LogLine(subject + (record.quarantined ? "quarantined" : "released"))
                               .add(fieldName(cause), toString(cause))
                               .add("generation", record.generation)
                               .add("crashes_and_age_ms", describeCrashes(record, now))
                               .add("source", source));
    }
    std::erase_if(m_logged, [&](const routing::CrashCause &cause) { return !m_quarantine.records().contains(cause); });
    std::vector<routing::CauseRecord> changed;
    for (const routing::CrashCause &cause : m_quarantine.takeChanges()) {
        if (const auto found = m_quarantine.records().find(cause); found != m_quarantine.records().end()) {
            changed.push_back(found->second);
        }
    }
    if (!changed.empty()) {
        for (const membership::Member &member : m_fleet.liveMembers()) {
            if (member.id != m_context.settings.instanceId) {
                sendRecords(member.gossipAddress, changed);
            }
        }
    }
    if (hasNewVerdict && onQuarantined) {
        onQuarantined();
    }
}

void QuarantineService::sendRecords(const std::string &address, const std::vector<routing::CauseRecord> &records)
{
    for (std::size_t i = 0; i < records.size(); i += m_settings.maxRecordsPerDatagram) {
        const auto begin = records.begin() + static_cast<std::ptrdiff_t>(i);
        const auto end = records.begin() + static_cast<std::ptrdiff_t>(std::min(i + m_settings.maxRecordsPerDatagram, records.size()));
        m_fleet.send(address, std::vector<routing::CauseRecord>(begin, end));
    }
}

void QuarantineService::exchangeRecords()
{
    std::vector<const membership::Member *> others;
    std::set<core::InstanceRef> live;
    for (const membership::Member &member : m_fleet.liveMembers()) {
        if (member.id != m_context.settings.instanceId) {
            others.push_back(&member);
            live.insert(core::InstanceRef{member.id, member.incarnation});
        }
    }
    const std::set<core::InstanceRef> known = std::exchange(m_knownMembers, live);
    std::vector<routing::CauseRecord> quarantined;
    std::vector<routing::CauseRecord> evidence; // cleared records answer outdated evidence only
    for (const auto &[cause, record] : m_quarantine.records()) {
        if (record.quarantined) {
            quarantined.push_back(record);
        }
        if (!record.crashes.empty() || record.quarantined) {
            evidence.push_back(record);
        }
    }
    if (evidence.empty()) {
        return;
    }
    const std::size_t limit = m_settings.maxRecordsPerDatagram * m_settings.maxDatagramsPerExchange;
    std::vector<routing::CauseRecord> records;
    m_nextRecord %= evidence.size();
    for (std::size_t i = 0; i < std::min(evidence.size(), limit); ++i) {
        records.push_back(evidence[(m_nextRecord + i) % evidence.size()]);
    }
    m_nextRecord += records.size();
    for (const membership::Member *member : others) {
        if (!known.contains(core::InstanceRef{member->id, member->incarnation})) {
            sendRecords(member->gossipAddress, quarantined);
        }
    }
    for (std::size_t i = 0; i < m_settings.exchangeMembers && !others.empty(); ++i) {
        const std::size_t picked = m_random(static_cast<std::uint32_t>(others.size()));
        sendRecords(others[picked]->gossipAddress, records);
        others.erase(others.begin() + static_cast<std::ptrdiff_t>(picked));
    }
}

void QuarantineService::scheduleVerdict()
{
    if (std::exchange(m_isVerdictScheduled, true)) {
        return;
    }
    auto judgeLater = [this]() -> asio::awaitable<void> {
        co_await core::asyncSleep(std::chrono::duration_cast<std::chrono::milliseconds>(m_settings.quarantine.verdictDelay) + std::chrono::milliseconds(1));
        m_isVerdictScheduled = false;
        m_quarantine.tick(m_context.now());
        publishChanges("own");
    };
    asio::co_spawn(m_context.executor, std::move(judgeLater), asio::detached);
}

asio::awaitable<void> QuarantineService::tickLoop()
{
    while (true) {
        co_await core::asyncSleep(m_settings.exchangePeriod);
        m_quarantine.tick(m_context.now());
        std::erase_if(m_crashedAt, [&](const auto &item) { return m_context.now() - item.second > m_settings.crashMemory; });
        publishChanges("own");
        exchangeRecords();
    }
}

//-----------------------------------------------------------------------------
// Operators' view
//-----------------------------------------------------------------------------

http::Response QuarantineService::handleOperatorRequest(const http::Request &request)
{
    const core::TimePoint now = m_context.now();
    const std::string path = request.path();
    if (request.method == "DELETE" && path.size() > OperatorPath.size() + 1) {
        const std::string text = path.substr(OperatorPath.size() + 1);
        const auto cause = routing::parseCrashCause(text);
        const bool lifted = cause && m_quarantine.lift(*cause, now);
        publishChanges("operator");
        return http::jsonResponse(lifted ? 200 : 404, json::serialize(json::object{{cause ? fieldName(*cause) : "part", text}, {"lifted", lifted}}));
    }
    if (request.method != "GET" || path != OperatorPath) {
        return http::jsonResponse(404, "{}");
    }
    json::array parts;
    json::array requests;
    for (const auto &[cause, record] : m_quarantine.records()) {
        json::array crashes;
        for (const routing::CauseCrash &crash : record.crashes) {
            crashes.push_back(json::object{{"upstream", crash.upstream.text}, {"age_ms", core::toMilliseconds(now - crash.at)}});
        }
        (isRequest(cause) ? requests : parts)
            .push_back(json::object{{fieldName(cause), toString(cause)},
                                    {"quarantined", record.quarantined},
                                    {"generation", record.generation},
                                    {"last_requested_age_ms", core::toMilliseconds(now - record.lastRequestedAt)},
                                    {"crashes", std::move(crashes)}});
    }
    return http::jsonResponse(200, json::serialize(json::object{{"parts", std::move(parts)}, {"requests", std::move(requests)}}));
}

} // namespace arbutus::edge
