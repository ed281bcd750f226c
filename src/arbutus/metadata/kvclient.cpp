// Calls and their read-back.

#include "arbutus/metadata/kvclient.h"

#include "arbutus/core/base64.h"
#include "arbutus/core/json.h"
#include "arbutus/http/client.h"

#include <boost/json.hpp>

namespace arbutus::metadata {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

constexpr auto CallTimeout = 2s;  // one call
constexpr auto WatchSilence = 5s; // the service says something at least every second
constexpr int ReadBackTries = 3;

std::string encodedField(const std::string &bytes)
{
    return core::base64Encode(bytes);
}

KvPair toStored(const json::object &pair)
{
    return KvPair{core::base64Decode(core::jsonString(pair, "key")).value_or(""),
                  core::base64Decode(core::jsonString(pair, "value")).value_or(""),
                  core::jsonInteger(pair, "mod_revision")};
}

KvRange toRange(const json::object &answer)
{
    KvRange range;
    range.revision = core::jsonInteger(core::jsonObject(answer, "header"), "revision");
    for (const json::value &pair : core::jsonArray(answer, "kvs")) {
        if (pair.is_object()) {
            range.pairs.push_back(toStored(pair.as_object()));
        }
    }
    return range;
}

json::object rangeRequest(const std::string &key, const std::string &rangeEnd, std::int64_t limit)
{
    json::object request{{"key", encodedField(key)}};
    if (!rangeEnd.empty()) {
        request["range_end"] = encodedField(rangeEnd);
    }
    if (limit > 0) {
        request["limit"] = limit;
    }
    return request;
}

json::object createRequest(const std::string &key, const std::string &value, std::int64_t lease)
{
    json::object compare{{"key", encodedField(key)}, {"target", "CREATE"}, {"create_revision", "0"}, {"result", "EQUAL"}};
    json::object put{{"key", encodedField(key)}, {"value", encodedField(value)}};
    if (lease != 0) {
        put["lease"] = std::to_string(lease);
    }
    json::object read{{"key", encodedField(key)}};
    return json::object{{"compare", json::array{std::move(compare)}},
                        {"success", json::array{json::object{{"request_put", std::move(put)}}}},
                        {"failure", json::array{json::object{{"request_range", std::move(read)}}}}};
}

KvCreateResult toCreation(const json::object &answer)
{
    KvCreateResult creation;
    creation.created = core::jsonBool(answer, "succeeded");
    creation.revision = core::jsonInteger(core::jsonObject(answer, "header"), "revision");
    const json::array &responses = core::jsonArray(answer, "responses");
    if (!creation.created && !responses.empty()) {
        const KvRange range = toRange(core::jsonObject(responses.front().as_object(), "response_range"));
        creation.existingValue = range.pairs.empty() ? "" : range.pairs.front().value;
    }
    return creation;
}

json::object watchRequest(const std::string &key, const std::string &rangeEnd, std::int64_t fromRevision)
{
    json::object create{{"key", encodedField(key)}, {"range_end", encodedField(rangeEnd)}, {"start_revision", std::to_string(fromRevision)}};
    return json::object{{"create_request", std::move(create)}};
}

core::Error down(const http::CallError &failure)
{
    core::Error error = core::makeError(core::ErrorKind::PlatformDown, "the platform's service: " + failure.message);
    error.outcome = failure.stage == http::CallStage::Connect ? core::Outcome::NotRun : core::Outcome::Unknown;
    return error;
}

void reportLine(std::string_view line, const std::function<void(KvPair)> &onPut)
{
    const auto parsed = core::parseJsonObject(line);
    if (!parsed) {
        return;
    }
    for (const json::value &event : core::jsonArray(core::jsonObject(parsed.value(), "result"), "events")) {
        const json::object &object = event.as_object();
        if (core::jsonString(object, "type", "PUT") == "PUT") {
            onPut(toStored(core::jsonObject(object, "kv")));
        }
    }
}

} // namespace

KvClient::KvClient(asio::any_io_executor executor, std::vector<http::Endpoint> endpoints, std::string domain)
    : m_executor(std::move(executor))
    , m_endpoints(std::move(endpoints))
    , m_domain(std::move(domain))
{
}

asio::awaitable<core::Result<json::object>> KvClient::call(std::string method, std::string target, std::string body)
{
    http::Request request;
    request.method = std::move(method);
    request.target = std::move(target);
    request.headers["X-Domain"] = m_domain;
    request.headers["Content-Type"] = "application/json";
    request.body = std::move(body);
    const http::Endpoint endpoint = m_endpoints[m_nextEndpoint % m_endpoints.size()];
    auto answer = co_await http::fetch(m_executor, endpoint, request, CallTimeout);
    if (!answer) {
        ++m_nextEndpoint; // the next call tries the next address
        co_return down(answer.error());
    }
    if (answer.value().status != 200) {
        co_return core::makeError(core::ErrorKind::PlatformDown, "the platform's service answered " + std::to_string(answer.value().status));
    }
    co_return core::parseJsonObject(answer.value().body);
}

asio::awaitable<core::Result<json::object>> KvClient::post(std::string target, json::object body)
{
    std::string text = json::serialize(body);
    co_return co_await call("POST", std::move(target), std::move(text));
}

asio::awaitable<core::Result<KvRange>> KvClient::range(std::string key, std::string rangeEnd, std::int64_t limit)
{
    json::object request = rangeRequest(key, rangeEnd, limit);
    auto answer = co_await post("/v3/kv/range", std::move(request));
    if (!answer) {
        co_return answer.error();
    }
    co_return toRange(answer.value());
}

asio::awaitable<core::Result<void>> KvClient::put(std::string key, std::string value)
{
    json::object request{{"key", encodedField(key)}, {"value", encodedField(value)}};
    auto answer = co_await post("/v3/kv/put", std::move(request));
    if (!answer) {
        co_return answer.error();
    }
    co_return core::success();
}

asio::awaitable<core::Result<KvCreateResult>> KvClient::create(std::string key, std::string value, std::int64_t lease)
{
    json::object request = createRequest(key, value, lease);
    auto answer = co_await post("/v3/kv/txn", std::move(request));
    if (answer) {
        KvCreateResult creation = toCreation(answer.value());
        if (!creation.created && creation.existingValue == value) { // our own, written by an earlier try
            creation.created = true;
        }
        co_return creation;
    }
    core::Error error = answer.error();
    if (error.outcome == core::Outcome::NotRun) {
        co_return error;
    }
    for (int i = 0; i < ReadBackTries; ++i) { // the answer was lost: what stands there now?
        auto found = co_await range(key, {});
        if (found && !found.value().pairs.empty()) {
            KvCreateResult creation;
            creation.existingValue = found.value().pairs.front().value;
            creation.created = creation.existingValue == value;
            creation.revision = found.value().pairs.front().modRevision;
            co_return creation;
        }
    }
    co_return error;
}

asio::awaitable<core::Result<std::int64_t>> KvClient::grantLease(std::chrono::seconds timeToLive)
{
    json::object request{{"TTL", std::to_string(timeToLive.count())}};
    auto answer = co_await post("/v3/lease/grant", std::move(request));
    if (!answer) {
        co_return answer.error();
    }
    co_return core::jsonInteger(answer.value(), "ID");
}

asio::awaitable<core::Result<bool>> KvClient::keepLeaseAlive(std::int64_t lease)
{
    json::object request{{"ID", std::to_string(lease)}};
    auto answer = co_await post("/v3/lease/keepalive", std::move(request));
    if (!answer) {
        co_return answer.error();
    }
    co_return core::jsonInteger(core::jsonObject(answer.value(), "result"), "TTL") > 0;
}

asio::awaitable<core::Result<void>> KvClient::revokeLease(std::int64_t lease)
{
    json::object request{{"ID", std::to_string(lease)}};
    auto answer = co_await post("/v3/lease/revoke", std::move(request));
    if (!answer) {
        co_return answer.error();
    }
    co_return core::success();
}

asio::awaitable<core::Result<void>>
KvClient::watch(std::string key, std::string rangeEnd, std::int64_t fromRevision, std::function<void(KvPair)> onPut, std::function<bool()> stopped)
{
    http::Request request;
    request.method = "POST";
    request.target = "/v3/watch";
    request.headers["X-Domain"] = m_domain;
    request.body = json::serialize(watchRequest(key, rangeEnd, fromRevision));
    http::Call call(m_executor, m_endpoints[m_nextEndpoint % m_endpoints.size()]);
    auto head = co_await call.start(request, CallTimeout);
    if (!head) {
        ++m_nextEndpoint;
        co_return down(head.error());
    }
    std::string pending;
    while (!stopped()) {
        auto piece = co_await call.readSome(WatchSilence);
        if (!piece) {
            co_return down(piece.error());
        }
        if (piece.value().empty()) {
            break;
        }
        pending += piece.value();
        std::size_t end = 0;
        while ((end = pending.find('\n')) != std::string::npos) {
            reportLine(std::string_view(pending).substr(0, end), onPut);
            pending.erase(0, end + 1);
        }
    }
    co_return core::success();
}

} // namespace arbutus::metadata
