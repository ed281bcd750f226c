// HTTP handlers of the simulated platform.
//
// Sections:
//   Helpers      Base64 fields and JSON encoding
//   Dispatch     request routing and fault injection
//   Key-value    range, txn, watches
//   Other        weight store, lease expiry, faults, instance list

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

constexpr auto WatchPollInterval = 5ms;   // how often an open watch checks for events
constexpr auto LeaseCheckInterval = 50ms; // how often due leases are expired

//-----------------------------------------------------------------------------
// Helpers
//-----------------------------------------------------------------------------

std::string decodeBase64Field(const json::object &object, std::string_view name)
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

std::string watchCreatedMessage(json::object header)
{
    json::object result{{"header", std::move(header)}, {"created", true}};
    return json::serialize(json::object{{"result", std::move(result)}}) + "\n";
}

std::string watchEventsMessage(json::object header, json::array events)
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
    asio::co_spawn(executor, leaseExpiryLoop(), asio::detached);
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
        co_await exchange.respond(http::jsonResponse(200, json::serialize(faultsToJson())));
        co_return;
    }
    if (path == "/calls") {
        co_await exchange.respond(http::jsonResponse(200, json::serialize(callCountsToJson())));
        co_return;
    }
    const std::string domain = http::headerValue(exchange.request().headers, "X-Domain");
    if (m_faults.dropRequests || m_faults.partitionedDomains.contains(domain)) {
        exchange.abort();
        co_return;
    }
    if (m_faults.responseDelay > 0ms) {
        co_await core::asyncSleep(m_faults.responseDelay);
    }
    if (path.starts_with("/weights/")) {
        co_await handleWeights(exchange);
        co_return;
    }
    if (m_faults.response.active()) {
        FaultyExchange faultyExchange(exchange, m_faults.response);
        co_await handleKeyValue(faultyExchange);
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
    ++m_callCounts[method == "GET" ? "GET " + path : path];
    const CallResult answer = dispatch(method == "GET" ? "GET " + path : path, body);
    if (m_faults.dropWriteResponses && isWrite(path)) {
        exchange.abort();
        co_return;
    }
    if (!answer) {
        co_await exchange.respond(http::jsonResponse(core::httpStatus(answer.error().kind), core::toJson(answer.error())));
        co_return;
    }
    co_await exchange.respond(http::jsonResponse(200, json::serialize(answer.value())));
}

Platform::CallResult Platform::dispatch(const std::string &path, const json::object &body)
{
    if (path == "/v3/kv/range") {
        return rangeResponse(body);
    }
    if (path == "/v3/kv/put") {
        m_store.put(decodeBase64Field(body, "key"), decodeBase64Field(body, "value"), core::jsonInteger(body, "lease"));
        return json::object{{"header", responseHeader()}};
    }
    if (path == "/v3/kv/txn") {
        return executeTransaction(body);
    }
    if (path == "/v3/kv/deleterange") {
        const std::size_t count = m_store.erase(decodeBase64Field(body, "key"), decodeBase64Field(body, "range_end"));
        return json::object{{"header", responseHeader()}, {"deleted", std::to_string(count)}};
    }
    if (path == "/v3/lease/grant") {
        const std::int64_t seconds = core::jsonInteger(body, "TTL", 10);
        const std::int64_t id = m_store.grantLease(std::chrono::seconds(seconds));
        return json::object{{"header", responseHeader()}, {"ID", std::to_string(id)}, {"TTL", std::to_string(seconds)}};
    }
    if (path == "/v3/lease/keepalive") {
        const bool kept = m_store.keepLeaseAlive(core::jsonInteger(body, "ID"));
        json::object result{{"ID", std::to_string(core::jsonInteger(body, "ID"))}, {"TTL", kept ? "1" : "0"}};
        return json::object{{"result", std::move(result)}};
    }
    if (path == "/v3/lease/revoke") {
        m_store.revokeLease(core::jsonInteger(body, "ID"));
        return json::object{{"header", responseHeader()}};
    }
    if (path == "GET /list") {
        return instanceListToJson();
    }
    if (path == "/list") {
        InstanceListSnapshot next{m_clock.steadyNow(),
                                  m_instanceListHistory.empty() ? std::map<std::string, json::object>{} : m_instanceListHistory.back().instances};
        for (const json::value &line : core::jsonArray(body, "instances")) {
            next.instances[core::jsonString(line.as_object(), "id")] = line.as_object();
        }
        for (const json::value &id : core::jsonArray(body, "removed")) {
            next.instances.erase(std::string(id.as_string()));
        }
        m_instanceListHistory.push_back(std::move(next));
        return instanceListToJson();
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
    return core::makeError(core::ErrorKind::NotFound, "unknown path: " + path);
}

//-----------------------------------------------------------------------------
// Key-value
//-----------------------------------------------------------------------------

json::object Platform::responseHeader() const
{
    return json::object{{"revision", std::to_string(m_store.revision())}};
}

json::object Platform::rangeResponse(const json::object &request)
{
    const KeyValueStore &store = m_faults.staleReads ? m_staleStore : m_store;
    const auto limit = static_cast<std::size_t>(core::jsonInteger(request, "limit", 0));
    json::array pairs;
    std::size_t count = 0;
    for (const KeyValue &pair : store.range(decodeBase64Field(request, "key"), decodeBase64Field(request, "range_end"))) {
        if (limit == 0 || count < limit) {
            pairs.emplace_back(toJson(pair));
        }
        ++count;
    }
    json::object head{{"revision", std::to_string(store.revision())}};
    return json::object{{"header", std::move(head)}, {"kvs", std::move(pairs)}, {"count", std::to_string(count)}};
}

bool Platform::evaluateCompare(const json::object &compare) const
{
    const std::vector<KeyValue> found = m_store.range(decodeBase64Field(compare, "key"), {});
    const KeyValue pair = found.empty() ? KeyValue{} : found.front();
    const std::string target = core::jsonString(compare, "target");
    if (target == "CREATE") {
        return pair.createRevision == core::jsonInteger(compare, "create_revision");
    }
    if (target == "MOD") {
        return pair.modRevision == core::jsonInteger(compare, "mod_revision");
    }
    return target == "VALUE" && pair.value == decodeBase64Field(compare, "value");
}

json::object Platform::executeTransaction(const json::object &request)
{
    bool succeeded = true;
    for (const json::value &compare : core::jsonArray(request, "compare")) {
        succeeded = succeeded && evaluateCompare(compare.as_object());
    }
    json::array responses;
    for (const json::value &operation : core::jsonArray(request, succeeded ? "success" : "failure")) {
        const json::object &object = operation.as_object();
        if (object.contains("request_put")) {
            const json::object &put = core::jsonObject(object, "request_put");
            m_store.put(decodeBase64Field(put, "key"), decodeBase64Field(put, "value"), core::jsonInteger(put, "lease"));
            responses.push_back(json::object{{"response_put", json::object{{"header", responseHeader()}}}});
        } else if (object.contains("request_range")) {
            responses.push_back(json::object{{"response_range", rangeResponse(core::jsonObject(object, "request_range"))}});
        } else if (object.contains("request_delete_range")) {
            const json::object &erase = core::jsonObject(object, "request_delete_range");
            m_store.erase(decodeBase64Field(erase, "key"), decodeBase64Field(erase, "range_end"));
            responses.push_back(json::object{{"response_delete_range", json::object{}}});
        }
    }
    return json::object{{"header", responseHeader()}, {"succeeded", succeeded}, {"responses", std::move(responses)}};
}

asio::awaitable<void> Platform::handleWatch(http::Exchange &exchange, const json::object &body)
{
    const std::string domain = http::headerValue(exchange.request().headers, "X-Domain");
    const json::object &create = core::jsonObject(body, "create_request");
    const std::string first = decodeBase64Field(create, "key");
    const std::string end = decodeBase64Field(create, "range_end");
    std::int64_t next = core::jsonInteger(create, "start_revision", 0);
    if (next == 0) {
        next = m_store.revision() + 1;
    }
    ++m_callCounts["/v3/watch"];
    ++m_openWatches;
    http::Response head;
    head.headers["Content-Type"] = "application/json";
    bool open = co_await exchange.beginResponse(head);
    open = open && co_await exchange.writeChunk(watchCreatedMessage(responseHeader()));
    core::TimePoint lastWrite = m_clock.steadyNow();
    while (open && !m_faults.dropRequests && !m_faults.partitionedDomains.contains(domain)) {
        json::array events;
        for (const KeyEvent &event : m_store.eventsSince(next)) {
            next = event.revision + 1;
            if (inRange(event.pair.key, first, end)) {
                events.emplace_back(toJson(event));
            }
        }
        if (!events.empty() || m_clock.steadyNow() - lastWrite > 1s) {
            const std::string line = watchEventsMessage(responseHeader(), std::move(events));
            open = co_await exchange.writeChunk(line);
            lastWrite = m_clock.steadyNow();
        }
        co_await core::asyncSleep(WatchPollInterval);
    }
    --m_openWatches;
    exchange.abort();
}

//-----------------------------------------------------------------------------
// Other
//-----------------------------------------------------------------------------

asio::awaitable<void> Platform::handleWeights(http::Exchange &exchange)
{
    ++m_callCounts["GET /weights"];
    const auto transfer = std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(m_options.weightBytes / m_options.weightBytesPerSecond));
    const core::TimePoint now = m_clock.steadyNow();
    m_weightStoreBusyUntil = std::max(m_weightStoreBusyUntil, now) + transfer;
    co_await core::asyncSleep(std::chrono::duration_cast<std::chrono::milliseconds>(m_weightStoreBusyUntil - now));
    const std::string answer = "{\"bytes\":" + std::to_string(m_options.weightBytes) + "}";
    co_await exchange.respond(http::jsonResponse(200, answer));
}

asio::awaitable<void> Platform::leaseExpiryLoop()
{
    while (true) {
        co_await core::asyncSleep(LeaseCheckInterval);
        m_store.expireDueLeases();
    }
}

void Platform::setFaults(const json::object &faults)
{
    const bool wasStale = m_faults.staleReads;
    m_faults.dropRequests = core::jsonBool(faults, "refuse", m_faults.dropRequests);
    m_faults.dropWriteResponses = core::jsonBool(faults, "lose_answer", m_faults.dropWriteResponses);
    m_faults.staleReads = core::jsonBool(faults, "stale", m_faults.staleReads);
    m_faults.responseDelay = std::chrono::milliseconds(core::jsonInteger(faults, "delay_ms", m_faults.responseDelay.count()));
    m_faults.instanceListLag = std::chrono::milliseconds(core::jsonInteger(faults, "list_lag_ms", m_faults.instanceListLag.count()));
    readResponseFaults(faults, m_faults.response);
    if (faults.contains("cut_domains")) {
        m_faults.partitionedDomains.clear();
        for (const json::value &domain : core::jsonArray(faults, "cut_domains")) {
            m_faults.partitionedDomains.emplace(domain.as_string());
        }
    }
    if (m_faults.staleReads && !wasStale) {
        m_staleStore = m_store;
    }
    if (core::jsonBool(faults, "lapse_leases")) {
        m_store.expireAllLeases();
    }
}

json::object Platform::faultsToJson() const
{
    json::array domains;
    for (const std::string &domain : m_faults.partitionedDomains) {
        domains.emplace_back(domain);
    }
    json::object faults{{"refuse", m_faults.dropRequests},
                        {"lose_answer", m_faults.dropWriteResponses},
                        {"stale", m_faults.staleReads},
                        {"delay_ms", m_faults.responseDelay.count()},
                        {"list_lag_ms", m_faults.instanceListLag.count()},
                        {"cut_domains", std::move(domains)}};
    writeResponseFaults(m_faults.response, faults);
    return faults;
}

json::object Platform::callCountsToJson() const
{
    json::object counts;
    for (const auto &[kind, count] : m_callCounts) {
        counts[kind] = count;
    }
    return json::object{{"calls", std::move(counts)}, {"watches_waiting", m_openWatches}};
}

json::object Platform::instanceListToJson()
{
    const core::TimePoint asOf = m_clock.steadyNow() - m_faults.instanceListLag;
    json::array lines;
    for (auto it = m_instanceListHistory.rbegin(); it != m_instanceListHistory.rend(); ++it) {
        if (it->time > asOf) {
            continue;
        }
        for (const auto &[id, line] : it->instances) {
            lines.emplace_back(line);
        }
        break;
    }
    return json::object{{"instances", std::move(lines)}};
}

} // namespace arbutus::standin
