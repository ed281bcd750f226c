// Wire of the platform stand-in.
//
// Sections:
//   Helpers      Base64 fields, answers
//   Dispatch     paths and faults
//   Key-value    range, put, txn, leases, watches
//   The rest     list, directory, weights, switches

#include "arbutus/standin/platform.h"
#include "arbutus/core/asyncsleep.h"

#include "arbutus/core/base64.h"
#include "arbutus/core/json.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace arbutus::standin {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

constexpr auto WatchPoll = 5ms;           // how often a waiting watch looks for events
constexpr auto HousekeepingPeriod = 50ms; // how often leases are looked at

//-----------------------------------------------------------------------------
// Helpers
//-----------------------------------------------------------------------------

std::string bytesOf(const json::object &object, std::string_view name)
{
    return core::base64Decode(core::jsonString(object, name)).value_or("");
}

json::object toJson(const KeyValue &pair)
{
    return json::object{{"key", core::base64Encode(pair.key)},
                        {"value", core::base64Encode(pair.value)},
                        {"create_revision", std::to_string(pair.createRevision)},
                        {"mod_revision", std::to_string(pair.modRevision)},
                        {"version", std::to_string(pair.version)},
                        {"lease", std::to_string(pair.lease)}};
}

json::object toJson(const KeyEvent &event)
{
    if (event.removed) {
        json::object pair{{"key", core::base64Encode(event.pair.key)}, {"mod_revision", std::to_string(event.revision)}};
        return json::object{{"type", "DELETE"}, {"kv", std::move(pair)}};
    }
    return json::object{{"kv", toJson(event.pair)}};
}

std::string createdLine(json::object header)
{
    json::object result{{"header", std::move(header)}, {"created", true}};
    return json::serialize(json::object{{"result", std::move(result)}}) + "\n";
}

std::string eventsLine(json::object header, json::array events)
{
    json::object result{{"header", std::move(header)}, {"events", std::move(events)}};
    return json::serialize(json::object{{"result", std::move(result)}}) + "\n";
}

bool isWrite(const std::string &path)
{
    return path == "/v3/kv/put" || path == "/v3/kv/txn" || path == "/v3/kv/deleterange" || path == "/v3/lease/grant" || path == "/v3/lease/revoke";
}

bool inRange(const std::string &key, const std::string &first, const std::string &end)
{
    return end.empty() ? key == first : key >= first && key < end;
}

} // namespace

//-----------------------------------------------------------------------------
// Dispatch
//-----------------------------------------------------------------------------

Platform::Platform(asio::any_io_executor executor, const core::Clock &clock, PlatformOptions options)
    : m_executor(executor)
    , m_clock(clock)
    , m_options(std::move(options))
    , m_store(clock)
    , m_staleStore(clock)
{
    auto handler = [this](http::Exchange &exchange) { return handle(exchange); };
    m_server = std::make_unique<http::Server>(executor, m_options.listen, http::ServerLimits{}, handler, nullptr);
    asio::co_spawn(executor, housekeeping(), asio::detached);
}

std::uint16_t Platform::port() const
{
    return m_server->port();
}

asio::awaitable<void> Platform::handle(http::Exchange &exchange)
{
    const std::string path = exchange.request().path();
    const std::string method = exchange.request().method;
    const auto body = co_await exchange.readBody();
    if (!body) {
        co_await exchange.respond(http::jsonResponse(400, core::toJson(body.error())));
        co_return;
    }
    if (path == "/faults") {
        if (method == "POST") {
            const auto parsed = core::parseJsonObject(exchange.request().body);
            if (!parsed) {
                co_await exchange.respond(http::jsonResponse(400, core::toJson(parsed.error())));
                co_return;
            }
            setFaults(parsed.value());
        }
        co_await exchange.respond(http::jsonResponse(200, json::serialize(showFaults())));
        co_return;
    }
    if (path == "/calls") {
        co_await exchange.respond(http::jsonResponse(200, json::serialize(showCalls())));
        co_return;
    }
    const std::string domain = http::headerValue(exchange.request().headers, "X-Domain");
    if (m_faults.refuse || m_faults.cutDomains.contains(domain)) {
        exchange.abort();
        co_return;
    }
    if (m_faults.delay > 0ms) {
        co_await core::asyncSleep(m_faults.delay);
    }
    if (path.starts_with("/weights/")) {
        co_await handleWeights(exchange);
        co_return;
    }
    co_await handleKeyValue(exchange);
}

asio::awaitable<void> Platform::handleKeyValue(http::Exchange &exchange)
{
    const std::string path = exchange.request().path();
    const std::string method = exchange.request().method;
    json::object body;
    if (!exchange.request().body.empty()) {
        auto parsed = core::parseJsonObject(exchange.request().body);
        if (!parsed) {
            co_await exchange.respond(http::jsonResponse(400, core::toJson(parsed.error())));
            co_return;
        }
        body = std::move(parsed.value());
    }
    if (path == "/v3/watch") {
        co_await handleWatch(exchange, body);
        co_return;
    }
    ++m_calls[method == "GET" ? "GET " + path : path];
    const Answer answer = dispatch(method == "GET" ? "GET " + path : path, body);
    if (m_faults.loseAnswer && isWrite(path)) {
        exchange.abort();
        co_return;
    }
    if (!answer) {
        co_await exchange.respond(http::jsonResponse(core::httpStatus(answer.error().kind), core::toJson(answer.error())));
        co_return;
    }
    co_await exchange.respond(http::jsonResponse(200, json::serialize(answer.value())));
}

Platform::Answer Platform::dispatch(const std::string &path, const json::object &body)
{
    if (path == "/v3/kv/range") {
        return rangeAnswer(body);
    }
    if (path == "/v3/kv/put") {
        m_store.put(bytesOf(body, "key"), bytesOf(body, "value"), core::jsonInteger(body, "lease"));
        return json::object{{"header", header()}};
    }
    if (path == "/v3/kv/txn") {
        return txnAnswer(body);
    }
    if (path == "/v3/kv/deleterange") {
        const std::size_t count = m_store.erase(bytesOf(body, "key"), bytesOf(body, "range_end"));
        return json::object{{"header", header()}, {"deleted", std::to_string(count)}};
    }
    if (path == "/v3/lease/grant") {
        const std::int64_t seconds = core::jsonInteger(body, "TTL", 10);
        const std::int64_t id = m_store.grantLease(std::chrono::seconds(seconds));
        return json::object{{"header", header()}, {"ID", std::to_string(id)}, {"TTL", std::to_string(seconds)}};
    }
    if (path == "/v3/lease/keepalive") {
        const bool kept = m_store.keepLease(core::jsonInteger(body, "ID"));
        json::object result{{"ID", std::to_string(core::jsonInteger(body, "ID"))}, {"TTL", kept ? "1" : "0"}};
        return json::object{{"result", std::move(result)}};
    }
    if (path == "/v3/lease/revoke") {
        m_store.revokeLease(core::jsonInteger(body, "ID"));
        return json::object{{"header", header()}};
    }
    if (path == "GET /list") {
        return showList();
    }
    if (path == "/list") {
        ListVersion next{m_clock.steadyNow(), m_lists.empty() ? std::map<std::string, json::object>{} : m_lists.back().lines};
        for (const json::value &line : core::jsonArray(body, "instances")) {
            next.lines[core::jsonString(line.as_object(), "id")] = line.as_object();
        }
        for (const json::value &id : core::jsonArray(body, "removed")) {
            next.lines.erase(std::string(id.as_string()));
        }
        m_lists.push_back(std::move(next));
        return showList();
    }
    if (path == "GET /directory" || path == "/directory") {
        if (path == "/directory") {
            m_directory[core::jsonString(body, "failure_domain")] = body;
        }
        json::array lines;
        for (const auto &[domain, line] : m_directory) {
            lines.emplace_back(line);
        }
        return json::object{{"domains", std::move(lines)}};
    }
    return core::makeError(core::ErrorKind::NotFound, "no such path: " + path);
}

//-----------------------------------------------------------------------------
// Key-value
//-----------------------------------------------------------------------------

json::object Platform::header() const
{
    return json::object{{"revision", std::to_string(m_store.revision())}};
}

json::object Platform::rangeAnswer(const json::object &request)
{
    const KeyValueStore &store = m_faults.stale ? m_staleStore : m_store;
    const auto limit = static_cast<std::size_t>(core::jsonInteger(request, "limit", 0));
    json::array pairs;
    std::size_t count = 0;
    for (const KeyValue &pair : store.range(bytesOf(request, "key"), bytesOf(request, "range_end"))) {
        if (limit == 0 || count < limit) {
            pairs.emplace_back(toJson(pair));
        }
        ++count;
    }
    json::object head{{"revision", std::to_string(store.revision())}};
    return json::object{{"header", std::move(head)}, {"kvs", std::move(pairs)}, {"count", std::to_string(count)}};
}

bool Platform::compareHolds(const json::object &compare) const
{
    const std::vector<KeyValue> found = m_store.range(bytesOf(compare, "key"), {});
    const KeyValue pair = found.empty() ? KeyValue{} : found.front();
    const std::string target = core::jsonString(compare, "target");
    if (target == "CREATE") {
        return pair.createRevision == core::jsonInteger(compare, "create_revision");
    }
    if (target == "MOD") {
        return pair.modRevision == core::jsonInteger(compare, "mod_revision");
    }
    return target == "VALUE" && pair.value == bytesOf(compare, "value");
}

json::object Platform::txnAnswer(const json::object &request)
{
    bool holds = true;
    for (const json::value &compare : core::jsonArray(request, "compare")) {
        holds = holds && compareHolds(compare.as_object());
    }
    json::array responses;
    for (const json::value &step : core::jsonArray(request, holds ? "success" : "failure")) {
        const json::object &object = step.as_object();
        if (object.contains("request_put")) {
            const json::object &put = core::jsonObject(object, "request_put");
            m_store.put(bytesOf(put, "key"), bytesOf(put, "value"), core::jsonInteger(put, "lease"));
            responses.push_back(json::object{{"response_put", json::object{{"header", header()}}}});
        } else if (object.contains("request_range")) {
            responses.push_back(json::object{{"response_range", rangeAnswer(core::jsonObject(object, "request_range"))}});
        } else if (object.contains("request_delete_range")) {
            const json::object &erase = core::jsonObject(object, "request_delete_range");
            m_store.erase(bytesOf(erase, "key"), bytesOf(erase, "range_end"));
            responses.push_back(json::object{{"response_delete_range", json::object{}}});
        }
    }
    return json::object{{"header", header()}, {"succeeded", holds}, {"responses", std::move(responses)}};
}

asio::awaitable<void> Platform::handleWatch(http::Exchange &exchange, const json::object &body)
{
    const std::string domain = http::headerValue(exchange.request().headers, "X-Domain");
    const json::object &create = core::jsonObject(body, "create_request");
    const std::string first = bytesOf(create, "key");
    const std::string end = bytesOf(create, "range_end");
    std::int64_t next = core::jsonInteger(create, "start_revision", 0);
    if (next == 0) {
        next = m_store.revision() + 1;
    }
    ++m_calls["/v3/watch"];
    ++m_waitingWatches;
    http::Response head;
    head.headers["Content-Type"] = "application/json";
    bool open = co_await exchange.beginResponse(head);
    open = open && co_await exchange.writeChunk(createdLine(header()));
    core::TimePoint lastWrite = m_clock.steadyNow();
    while (open && !m_faults.refuse && !m_faults.cutDomains.contains(domain)) {
        json::array events;
        for (const KeyEvent &event : m_store.eventsSince(next)) {
            next = event.revision + 1;
            if (inRange(event.pair.key, first, end)) {
                events.emplace_back(toJson(event));
            }
        }
        if (!events.empty() || m_clock.steadyNow() - lastWrite > 1s) {
            const std::string line = eventsLine(header(), std::move(events));
            open = co_await exchange.writeChunk(line);
            lastWrite = m_clock.steadyNow();
        }
        co_await core::asyncSleep(WatchPoll);
    }
    --m_waitingWatches;
    exchange.abort();
}

//-----------------------------------------------------------------------------
// The rest
//-----------------------------------------------------------------------------

asio::awaitable<void> Platform::handleWeights(http::Exchange &exchange)
{
    ++m_calls["GET /weights"];
    const auto transfer = std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(m_options.weightBytes / m_options.weightBytesPerSecond));
    const core::TimePoint now = m_clock.steadyNow();
    m_weightsFree = std::max(m_weightsFree, now) + transfer;
    co_await core::asyncSleep(std::chrono::duration_cast<std::chrono::milliseconds>(m_weightsFree - now));
    const std::string answer = "{\"bytes\":" + std::to_string(m_options.weightBytes) + "}";
    co_await exchange.respond(http::jsonResponse(200, answer));
}

asio::awaitable<void> Platform::housekeeping()
{
    while (true) {
        co_await core::asyncSleep(HousekeepingPeriod);
        m_store.expire();
    }
}

void Platform::setFaults(const json::object &faults)
{
    const bool wasStale = m_faults.stale;
    m_faults.refuse = core::jsonBool(faults, "refuse", m_faults.refuse);
    m_faults.loseAnswer = core::jsonBool(faults, "lose_answer", m_faults.loseAnswer);
    m_faults.stale = core::jsonBool(faults, "stale", m_faults.stale);
    m_faults.delay = std::chrono::milliseconds(core::jsonInteger(faults, "delay_ms", m_faults.delay.count()));
    m_faults.listLag = std::chrono::milliseconds(core::jsonInteger(faults, "list_lag_ms", m_faults.listLag.count()));
    if (faults.contains("cut_domains")) {
        m_faults.cutDomains.clear();
        for (const json::value &domain : core::jsonArray(faults, "cut_domains")) {
            m_faults.cutDomains.emplace(domain.as_string());
        }
    }
    if (m_faults.stale && !wasStale) {
        m_staleStore = m_store;
    }
    if (core::jsonBool(faults, "lapse_leases")) {
        m_store.lapseAllLeases();
    }
}

json::object Platform::showFaults() const
{
    json::array cut;
    for (const std::string &domain : m_faults.cutDomains) {
        cut.emplace_back(domain);
    }
    return json::object{{"refuse", m_faults.refuse},
                        {"lose_answer", m_faults.loseAnswer},
                        {"stale", m_faults.stale},
                        {"delay_ms", m_faults.delay.count()},
                        {"list_lag_ms", m_faults.listLag.count()},
                        {"cut_domains", std::move(cut)}};
}

json::object Platform::showCalls() const
{
    json::object kinds;
    for (const auto &[kind, count] : m_calls) {
        kinds[kind] = count;
    }
    return json::object{{"calls", std::move(kinds)}, {"watches_waiting", m_waitingWatches}};
}

json::object Platform::showList()
{
    const core::TimePoint asOf = m_clock.steadyNow() - m_faults.listLag;
    json::array lines;
    for (auto it = m_lists.rbegin(); it != m_lists.rend(); ++it) {
        if (it->at > asOf) {
            continue;
        }
        for (const auto &[id, line] : it->lines) {
            lines.emplace_back(line);
        }
        break;
    }
    return json::object{{"instances", std::move(lines)}};
}

} // namespace arbutus::standin
