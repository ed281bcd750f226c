// Detection of crashes, exchange of records, operators' view.

#include "arbutus/edge/quarantineservice.h"
#include "arbutus/core/asyncsleep.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <sstream>

namespace arbutus::edge {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::string_view OperatorPath = "/quarantine";

std::string describeCrashes(const routing::PartRecord &record, core::TimePoint now)
{
    std::string out;
    for (const routing::PartCrash &crash : record.crashes) {
        out += (out.empty() ? "" : ",") + crash.upstream.text + ":" + std::to_string(core::toMilliseconds(now - crash.at));
    }
    return out;
}

} // namespace

std::string toString(routing::PromptPartId part)
{
    std::ostringstream out;
    out << std::hex << part.value;
    return out.str();
}

QuarantineService::QuarantineService(
    InstanceContext &context, Fleet &fleet, const MetadataCache &metadataCache, std::uint64_t seed, QuarantineServiceSettings settings)
    : m_context(context)
    , m_fleet(fleet)
    , m_metadataCache(metadataCache)
    , m_settings(settings)
    , m_quarantine(settings.quarantine)
    , m_random(seed)
{
}

void QuarantineService::start()
{
    asio::co_spawn(m_context.executor, tickLoop(), asio::detached);
}

std::optional<routing::PromptPartId> QuarantineService::findQuarantined(const std::vector<routing::PromptPart> &prompt)
{
    return m_quarantine.findQuarantined(prompt, m_context.now());
}

//-----------------------------------------------------------------------------
// Crashes
//-----------------------------------------------------------------------------

void QuarantineService::recordBreak(const core::UpstreamId &upstream, const std::string &address, const std::vector<routing::PromptPart> &prompt)
{
    const routing::RegistryEntry *entry = m_metadataCache.registry().find(upstream);
    if (prompt.size() < 2 || entry == nullptr || !entry->isUsable()) { // no part that other requests may share, or a planned exit
        return;
    }
    std::vector<Break> &breaks = m_unconfirmed[upstream];
    if (breaks.size() >= m_settings.maxBreaksPerUpstream) {
        return; // enough to judge by; an upstream that fails for long must not fill the memory
    }
    breaks.push_back(Break{prompt, m_context.now()});
    if (breaks.size() == 1) {
        asio::co_spawn(m_context.executor, confirmCrash(upstream, address, entry->announcement.startTime), asio::detached);
    }
}

asio::awaitable<bool> QuarantineService::refusesConnections(const std::string &address) const
{
    const http::Endpoint endpoint = http::parseEndpoint(address);
    boost::beast::tcp_stream stream(m_context.executor);
    stream.expires_after(m_settings.connectTimeout);
    boost::system::error_code code;
    const auto hostAddress = asio::ip::make_address(endpoint.host, code);
    if (code) {
        co_return false;
    }
    const asio::ip::tcp::endpoint target(hostAddress, endpoint.port);
    co_await stream.async_connect(target, asio::redirect_error(asio::use_awaitable, code));
    co_return code == asio::error::connection_refused || code == asio::error::connection_reset;
}

asio::awaitable<void> QuarantineService::confirmCrash(core::UpstreamId upstream, std::string address, routing::StartTime startTime)
{
    std::string evidence = co_await refusesConnections(address) ? "connection_refused" : "";
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
                           .add("beginning_requests", breaks.size()));
    if (evidence.empty()) {
        co_return;
    }
    m_context.metrics.incrementCounter("arbutus_upstream_crashes_total");
    for (const Break &item : breaks) {
        m_quarantine.recordCrash(item.prompt, upstream, item.at);
    }
    publishChanges("own");
}

void QuarantineService::recordFirstEvent(const std::vector<routing::PromptPart> &prompt)
{
    m_quarantine.recordFirstEvent(prompt, m_context.now());
    publishChanges("own");
}

//-----------------------------------------------------------------------------
// Exchange with other instances
//-----------------------------------------------------------------------------

void QuarantineService::handleRecords(const std::vector<routing::PartRecord> &records, const core::InstanceId &sender)
{
    for (const routing::PartRecord &record : records) {
        m_quarantine.merge(record, m_context.now());
    }
    publishChanges(sender.text);
}

void QuarantineService::publishChanges(std::string_view source)
{
    const core::TimePoint now = m_context.now();
    bool hasNewVerdict = false;
    for (const auto &[part, record] : m_quarantine.records()) {
        if (record.quarantined == m_logged.contains(part)) {
            continue;
        }
        if (record.quarantined) {
            m_logged.insert(part);
        } else {
            m_logged.erase(part);
        }
        hasNewVerdict = hasNewVerdict || record.quarantined;
        m_context.writeLog(observe::LogLine(record.quarantined ? "prompt_part_quarantined" : "prompt_part_released")
                               .add("part", toString(part))
                               .add("generation", record.generation)
                               .add("crashes_and_age_ms", describeCrashes(record, now))
                               .add("source", source));
    }
    std::erase_if(m_logged, [&](routing::PromptPartId part) { return !m_quarantine.records().contains(part); });
    std::vector<routing::PartRecord> changed;
    for (const routing::PromptPartId part : m_quarantine.takeChanges()) {
        if (const auto found = m_quarantine.records().find(part); found != m_quarantine.records().end()) {
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

void QuarantineService::sendRecords(const std::string &address, const std::vector<routing::PartRecord> &records)
{
    for (std::size_t i = 0; i < records.size(); i += m_settings.maxRecordsPerDatagram) {
        const auto begin = records.begin() + static_cast<std::ptrdiff_t>(i);
        const auto end = records.begin() + static_cast<std::ptrdiff_t>(std::min(i + m_settings.maxRecordsPerDatagram, records.size()));
        m_fleet.send(address, std::vector<routing::PartRecord>(begin, end));
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
    const std::size_t count = m_quarantine.records().size();
    if (count == 0) {
        return;
    }
    std::vector<routing::PartRecord> quarantined;
    std::vector<routing::PartRecord> records;
    const std::size_t limit = m_settings.maxRecordsPerDatagram * m_settings.maxDatagramsPerExchange;
    m_nextRecord %= count;
    auto next = std::next(m_quarantine.records().begin(), static_cast<std::ptrdiff_t>(m_nextRecord));
    for (std::size_t i = 0; i < std::min(count, limit); ++i) {
        records.push_back(next->second);
        next = std::next(next) == m_quarantine.records().end() ? m_quarantine.records().begin() : std::next(next);
    }
    m_nextRecord += records.size();
    for (const auto &[part, record] : m_quarantine.records()) {
        if (record.quarantined) {
            quarantined.push_back(record);
        }
    }
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

asio::awaitable<void> QuarantineService::tickLoop()
{
    while (true) {
        co_await core::asyncSleep(m_settings.exchangePeriod);
        m_quarantine.tick(m_context.now());
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
        std::uint64_t part = 0;
        const auto parsed = std::from_chars(text.data(), text.data() + text.size(), part, 16);
        const bool lifted = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size() && m_quarantine.lift(routing::PromptPartId(part), now);
        publishChanges("operator");
        return http::jsonResponse(lifted ? 200 : 404, json::serialize(json::object{{"part", text}, {"lifted", lifted}}));
    }
    if (request.method != "GET" || path != OperatorPath) {
        return http::jsonResponse(404, "{}");
    }
    json::array parts;
    for (const auto &[part, record] : m_quarantine.records()) {
        json::array crashes;
        for (const routing::PartCrash &crash : record.crashes) {
            crashes.push_back(json::object{{"upstream", crash.upstream.text}, {"age_ms", core::toMilliseconds(now - crash.at)}});
        }
        parts.push_back(json::object{{"part", toString(part)},
                                     {"quarantined", record.quarantined},
                                     {"generation", record.generation},
                                     {"last_requested_age_ms", core::toMilliseconds(now - record.lastRequestedAt)},
                                     {"crashes", std::move(crashes)}});
    }
    return http::jsonResponse(200, json::serialize(json::object{{"parts", std::move(parts)}}));
}

} // namespace arbutus::edge
