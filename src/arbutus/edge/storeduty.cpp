// Reading, fetching and registering.

#include "arbutus/edge/storeduty.h"
#include "arbutus/core/pause.h"
#include "arbutus/edge/codec.h"
#include "arbutus/http/client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include <charconv>

namespace arbutus::edge {

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::milliseconds;

namespace {

const std::string EverythingPrefix; // one watch for configuration, evacuations and upstreams

} // namespace

StoreDuty::StoreDuty(Context &context, Fleet &fleet, Beliefs &beliefs, std::uint64_t seed, StoreDutySettings settings)
    : m_context(context)
    , m_fleet(fleet)
    , m_beliefs(beliefs)
    , m_settings(settings)
    , m_random(seed)
    , m_answeredAt(context.now())
{
}

void StoreDuty::start(Changed changed)
{
    m_changed = std::move(changed);
    asio::co_spawn(m_context.executor, readLoop(), asio::detached);
    asio::co_spawn(m_context.executor, registerLoop(), asio::detached);
    asio::co_spawn(m_context.executor, membersLoop(), asio::detached);
}

//-----------------------------------------------------------------------------
// Reading
//-----------------------------------------------------------------------------

core::Duration StoreDuty::readsAfter()
{
    const std::size_t rank = m_fleet.watchRank();
    if (rank == 0) {
        return core::Duration::zero();
    }
    if (rank == 1) {
        return m_settings.secondReadsAfter;
    }
    const auto &order = m_fleet.dutyOrder(m_context.settings.region);
    if (!order.empty() && order.front().id == m_context.settings.id) {
        return m_settings.regionReadsAfter;
    }
    return m_settings.everyoneReadsAfter + core::Duration(m_random(static_cast<std::uint32_t>(m_settings.everyoneSpread.count())));
}

bool StoreDuty::storeWasAway(core::TimePoint now) const
{
    return m_everAway && now - m_backAt < m_settings.awayLasts;
}

void StoreDuty::noteAnswer(bool answered, const std::string &what)
{
    const core::TimePoint now = m_context.now();
    const core::Duration silence = now - m_answeredAt;
    if (answered) {
        if (m_lost && silence > m_settings.awayAfter) {
            m_everAway = true;
            m_backAt = now;
        }
        if (m_lost) {
            m_context.write(observe::LogLine("store_regained").add("silent_ms", core::toMilliseconds(silence)));
        }
        m_lost = false;
        m_answeredAt = now;
        return;
    }
    m_context.metrics.count("arbutus_store_failures_total");
    if (!m_lost) {
        m_lost = true;
        m_context.write(observe::LogLine("store_lost").add("why", what).add("evidence_age_ms", core::toMilliseconds(m_beliefs.evidenceAge(now))));
    }
}

asio::awaitable<bool> StoreDuty::readOnce()
{
    const core::TimePoint startedAt = m_context.now();
    m_context.metrics.count("arbutus_store_calls_total", m_rangeNeeded ? "call=\"range\"" : "call=\"watch\"");
    if (m_rangeNeeded) {
        auto range = co_await m_context.store.range(EverythingPrefix, metadata::Freshness::Newest);
        noteAnswer(range.has_value(), range ? "" : range.error().message);
        if (!range) {
            co_return false;
        }
        m_rangeNeeded = false;
        for (const metadata::StoreItem &item : range.value().items) {
            if (item.key.starts_with(m_context.dialect.layout().memberPrefix)) { // who else lives is known as soon as the rest
                addContact(item);
            }
        }
        const BeliefChange change = m_beliefs.adoptRange(range.value().items, range.value().revision, storeWasAway(m_context.now()), startedAt);
        report(change, "store_range");
        co_return true;
    }
    auto changes = co_await m_context.store.watch(EverythingPrefix, m_beliefs.asOf(), m_settings.watchWait);
    if (!changes && changes.error().fault == metadata::StoreFault::HistoryGone) {
        m_context.write(observe::LogLine("store_history_gone").add("as_of", m_beliefs.asOf()));
        m_rangeNeeded = true;
        co_return true;
    }
    noteAnswer(changes.has_value(), changes ? "" : changes.error().message);
    if (!changes) {
        m_rangeNeeded = true; // what happened meanwhile is read as a whole
        co_return false;
    }
    const BeliefChange change = m_beliefs.adoptChanges(changes.value().changes, changes.value().revision, storeWasAway(m_context.now()), m_context.now());
    report(change, "store_watch");
    co_return true;
}

asio::awaitable<void> StoreDuty::readLoop()
{
    milliseconds retry = m_settings.retryFirst;
    while (!m_leaving) {
        const core::Duration after = m_beliefs.catalog() ? readsAfter() : core::Duration::zero();
        if (m_beliefs.evidenceAge(m_context.now()) < after) {
            co_await core::pause(m_settings.checkPeriod);
            continue;
        }
        if (co_await readOnce()) {
            retry = m_settings.retryFirst;
            co_await core::pause(m_settings.watchPause);
            continue;
        }
        const auto jitter = milliseconds(m_random(static_cast<std::uint32_t>(retry.count())));
        co_await core::pause(retry / 2 + jitter);
        retry = std::min(retry * 2, m_settings.retryMost);
    }
}

void StoreDuty::report(const BeliefChange &change, std::string_view source)
{
    const core::TimePoint now = m_context.now();
    for (const std::string &fault : change.faults) {
        m_context.write(observe::LogLine("store_entry_refused").add("why", fault).add("source", source));
    }
    if (change.catalog) {
        m_context.write(observe::LogLine("configuration_in_force")
                            .add("version", m_beliefs.catalog()->version())
                            .add("routes", m_beliefs.catalog()->routes().size())
                            .add("as_of", m_beliefs.asOf())
                            .add("source", source));
    }
    if (change.evacuation) {
        std::string domains;
        for (const core::DomainId &domain : m_beliefs.roster().evacuatedDomains()) {
            domains += (domains.empty() ? "" : ",") + domain.text;
        }
        m_context.write(observe::LogLine("evacuation").add("domains", domains).add("as_of", m_beliefs.asOf()).add("source", source));
    }
    for (const routing::RosterChange &row : change.upstreams) {
        m_context.write(observe::LogLine("upstream")
                            .add("upstream", row.id)
                            .add("change", routing::toString(row.kind))
                            .add("as_of", m_beliefs.asOf())
                            .add("evidence_age_ms", core::toMilliseconds(m_beliefs.evidenceAge(now)))
                            .add("source", source));
    }
    if (change.matters()) {
        m_changed(change);
    }
}

//-----------------------------------------------------------------------------
// Peers
//-----------------------------------------------------------------------------

void StoreDuty::fetchFrom(const core::InstanceId &peer)
{
    const membership::Member *member = m_fleet.find(peer);
    if (member == nullptr || std::exchange(m_fetching, true)) {
        return;
    }
    asio::co_spawn(m_context.executor, fetch(*member), asio::detached);
}

asio::awaitable<void> StoreDuty::fetch(membership::Member peer)
{
    http::Request request;
    const auto known = m_beliefs.catalog() ? m_beliefs.catalog()->version() : catalog::CatalogVersion();
    request.target = "/beliefs?catalog=" + std::to_string(known.value);
    http::Endpoint endpoint = http::parseEndpoint(peer.peerAddress);
    auto answer = co_await http::fetch(m_context.executor, endpoint, request, m_settings.fetchTimeout);
    m_fetching = false;
    if (!answer) {
        m_context.write(observe::LogLine("beliefs_not_fetched").add("peer", peer.id).add("why", answer.error().message));
        co_return;
    }
    const auto snapshot = decodeSnapshot(answer.value().body);
    if (!snapshot) {
        m_context.write(observe::LogLine("beliefs_not_fetched").add("peer", peer.id).add("why", "the answer cannot be read"));
        co_return;
    }
    const BeliefChange change = m_beliefs.adoptSnapshot(*snapshot, m_context.now());
    report(change, "peer");
}

http::Response beliefsAnswer(const Beliefs &beliefs, const http::Request &request, core::TimePoint now)
{
    const std::string text = request.query("catalog");
    std::uint64_t version = 0;
    std::from_chars(text.data(), text.data() + text.size(), version);
    http::Response response;
    response.headers["Content-Type"] = "application/x-protobuf";
    response.body = encode(beliefs.snapshot(catalog::CatalogVersion(version), now));
    return response;
}

//-----------------------------------------------------------------------------
// Registration
//-----------------------------------------------------------------------------

std::string StoreDuty::registration() const
{
    const membership::Member &self = m_fleet.self();
    json::object out;
    out["domain"] = self.domain.text;
    out["region"] = self.region.text;
    out["peer"] = self.peerAddress;
    out["callers"] = self.url;
    out["capacity"] = self.capacity;
    return json::serialize(out);
}

void StoreDuty::addContact(const metadata::StoreItem &item)
{
    const std::string &prefix = m_context.dialect.layout().memberPrefix;
    boost::system::error_code code;
    const json::value value = json::parse(item.value, code);
    const json::object *said = code ? nullptr : value.if_object();
    const auto text = [&](std::string_view name) {
        const json::value *field = said == nullptr ? nullptr : said->if_contains(name);
        return field != nullptr && field->is_string() ? std::string(field->get_string()) : std::string();
    };
    membership::Member contact;
    contact.id = core::InstanceId(item.key.substr(prefix.size()));
    contact.domain = core::DomainId(text("domain"));
    contact.region = core::RegionId(text("region"));
    contact.gossipAddress = text("peer");
    contact.peerAddress = contact.gossipAddress;
    contact.url = text("callers");
    if (contact.gossipAddress.empty()) {
        m_context.write(observe::LogLine("registration_refused").add("key", item.key));
        return;
    }
    m_fleet.addContact(contact);
}

asio::awaitable<bool> StoreDuty::readMembers(metadata::Freshness freshness)
{
    m_context.metrics.count("arbutus_store_calls_total", "call=\"members\"");
    auto range = co_await m_context.store.range(m_context.dialect.layout().memberPrefix, freshness);
    if (!range) {
        co_return false;
    }
    for (const metadata::StoreItem &item : range.value().items) {
        addContact(item);
    }
    co_return true;
}

asio::awaitable<void> StoreDuty::registerLoop()
{
    const std::string key = m_context.dialect.layout().memberPrefix + m_context.settings.id.text;
    while (!m_leaving) {
        if (m_lease.empty()) {
            auto lease = co_await m_context.store.grantLease(m_settings.leaseTime);
            if (lease) {
                const std::string value = registration();
                auto written = co_await m_context.store.put(key, value, lease.value());
                if (written) {
                    m_lease = lease.value();
                    m_context.write(observe::LogLine("registered").add("key", key).add("lease", m_lease));
                } else {
                    m_context.write(observe::LogLine("registration_failed").add("why", written.error().message));
                }
            }
        } else {
            auto kept = co_await m_context.store.keepLease(m_lease);
            if (!kept && kept.error().fault == metadata::StoreFault::LeaseGone) {
                m_context.write(observe::LogLine("registration_lapsed").add("lease", m_lease));
                m_lease = metadata::LeaseId();
                continue;
            }
        }
        co_await core::pause(m_lease.empty() ? m_settings.retryMost : m_settings.leaseRenewal);
    }
}

asio::awaitable<void> StoreDuty::membersLoop()
{
    constexpr auto FirstRead = milliseconds(600); // the others have registered by then when all start at once
    co_await core::pause(FirstRead);
    while (!m_leaving) {
        const bool answered = co_await readMembers(metadata::Freshness::Cheap);
        co_await core::pause(answered ? m_settings.membersRead + milliseconds(m_random(3'000)) : m_settings.retryMost);
    }
}

void StoreDuty::leave()
{
    m_leaving = true;
    if (m_lease.empty()) {
        return;
    }
    auto end = [](metadata::MetadataStore &store, metadata::LeaseId lease) -> asio::awaitable<void> {
        const auto ended = co_await store.endLease(lease); // otherwise it lapses by itself
        (void)ended;
    };
    asio::co_spawn(m_context.executor, end(m_context.store, m_lease), asio::detached);
}

} // namespace arbutus::edge
