// Calls to the key-value service, and read-back after lost responses.

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

constexpr auto CallTimeout = 2s;      // per call
constexpr auto WatchIdleTimeout = 5s; // the service sends at least one message per second
constexpr int MaxReadBackAttempts = 3;

std::string encodeField(const std::string &bytes)
{
    return core::base64Encode(bytes);
}

KvPair toKvPair(const json::object &pair)
{
    return KvPair{core::base64Decode(core::jsonString(pair, "key")).value_or(""),
                  core::base64Decode(core::jsonString(pair, "value")).value_or(""),
                  core::jsonInteger(pair, "mod_revision")};
}

KvRange toKvRange(const json::object &response)
{
    KvRange range;
    range.revision = core::jsonInteger(core::jsonObject(response, "header"), "revision");
    for (const json::value &pair : core::jsonArray(response, "kvs")) {
        if (pair.is_object()) {
            range.pairs.push_back(toKvPair(pair.as_object()));
        }
    }
    return range;
}

json::object rangeRequest(const std::string &key, const std::string &rangeEnd, std::int64_t limit)
{
    json::object request{{"key", encodeField(key)}};
    if (!rangeEnd.empty()) {
        request["range_end"] = encodeField(rangeEnd);
    }
    if (limit > 0) {
        request["limit"] = limit;
    }
    return request;
}

json::object createRequest(const std::string &key, const std::string &value, std::int64_t lease)
{
    json::object compare{{"key", encodeField(key)}, {"target", "CREATE"}, {"create_revision", "0"}, {"result", "EQUAL"}};
    json::object put{{"key", encodeField(key)}, {"value", encodeField(value)}};
    if (lease != 0) {
        put["lease"] = std::to_string(lease);
    }
    json::object read{{"key", encodeField(key)}};
    return json::object{{"compare", json::array{std::move(compare)}},
                        {"success", json::array{json::object{{"request_put", std::move(put)}}}},
                        {"failure", json::array{json::object{{"request_range", std::move(read)}}}}};
}

/// Returns nothing if the response tells neither that the key was created nor which value it has.
std::optional<KvCreateResult> toCreateResult(const json::object &response)
{
    KvCreateResult result;
    result.created = core::jsonBool(response, "succeeded");
    result.revision = core::jsonInteger(core::jsonObject(response, "header"), "revision");
    if (result.created) {
        return result;
    }
    const json::array &responses = core::jsonArray(response, "responses");
    if (responses.empty() || !responses.front().is_object()) {
        return std::nullopt;
    }
    const KvRange range = toKvRange(core::jsonObject(responses.front().as_object(), "response_range"));
    if (range.pairs.empty()) {
        return std::nullopt;
    }
    result.existingValue = range.pairs.front().value;
    return result;
}

json::object watchRequest(const std::string &key, const std::string &rangeEnd, std::int64_t startRevision)
{
    json::object create{{"key", encodeField(key)}, {"range_end", encodeField(rangeEnd)}, {"start_revision", std::to_string(startRevision)}};
    return json::object{{"create_request", std::move(create)}};
}

core::Error toPlatformError(const http::CallError &failure)
{
    core::Error error = core::makeError(core::ErrorKind::PlatformDown, "call to the platform's service failed: " + failure.message);
    error.outcome = failure.stage == http::CallStage::Connect ? core::Outcome::NotRun : core::Outcome::Unknown;
    return error;
}

/// Returns false if the line or one of its events cannot be read, so that a change may have been missed.
bool processWatchLine(std::string_view line, const std::function<void(KvPair)> &onPut)
{
    const auto parsed = core::parseJsonObject(line);
    if (!parsed) {
        return false;
    }
    for (const json::value &event : core::jsonArray(core::jsonObject(parsed.value(), "result"), "events")) {
        if (!event.is_object()) {
            return false;
        }
        const json::object &fields = event.as_object();
        if (core::jsonString(fields, "type", "PUT") == "PUT") {
            onPut(toKvPair(core::jsonObject(fields, "kv")));
        }
    }
    return true;
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
    http::CallOptions options;
    options.acceptConnectionClose = true; // parsing the JSON body shows whether it was cut off
    auto response = co_await http::fetch(m_executor, endpoint, request, CallTimeout, options);
    if (!response) {
        ++m_nextEndpoint; // the next call tries the next address
        co_return toPlatformError(response.error());
    }
    if (response.value().status != 200) {
        co_return core::makeError(core::ErrorKind::PlatformDown, "the platform's service returned status " + std::to_string(response.value().status));
    }
    auto document = core::parseJsonObject(response.value().body);
    if (!document) { // the call was executed, but its result is unknown
        co_return core::makeUnknownOutcomeError(core::ErrorKind::PlatformDown, "the platform's service returned " + document.error().message);
    }
    co_return document;
}

asio::awaitable<core::Result<json::object>> KvClient::post(std::string target, json::object body)
{
    std::string text = json::serialize(body);
    co_return co_await call("POST", std::move(target), std::move(text));
}

asio::awaitable<core::Result<KvRange>> KvClient::range(std::string key, std::string rangeEnd, std::int64_t limit)
{
    json::object request = rangeRequest(key, rangeEnd, limit);
    auto response = co_await post("/v3/kv/range", std::move(request));
    if (!response) {
        co_return response.error();
    }
    co_return toKvRange(response.value());
}

asio::awaitable<core::Result<void>> KvClient::put(std::string key, std::string value)
{
    json::object request{{"key", encodeField(key)}, {"value", encodeField(value)}};
    auto response = co_await post("/v3/kv/put", std::move(request));
    if (!response) {
        co_return response.error();
    }
    co_return core::success();
}

asio::awaitable<core::Result<KvCreateResult>> KvClient::create(std::string key, std::string value, std::int64_t lease)
{
    json::object request = createRequest(key, value, lease);
    auto response = co_await post("/v3/kv/txn", std::move(request));
    core::Error error = core::makeUnknownOutcomeError(core::ErrorKind::PlatformDown, "the platform's service returned no result of the transaction");
    if (response) {
        if (auto result = toCreateResult(response.value())) {
            result->created = result->created || result->existingValue == value; // our own value, written by an earlier attempt
            co_return std::move(*result);
        }
    } else {
        error = response.error();
    }
    if (error.outcome == core::Outcome::NotRun) {
        co_return error;
    }
    for (int i = 0; i < MaxReadBackAttempts; ++i) { // the response was lost or cannot be read: read back the stored value
        auto readBack = co_await range(key, {});
        if (readBack && !readBack.value().pairs.empty()) {
            KvCreateResult result;
            result.existingValue = readBack.value().pairs.front().value;
            result.created = result.existingValue == value;
            result.revision = readBack.value().pairs.front().modRevision;
            co_return result;
        }
    }
    co_return error;
}

asio::awaitable<core::Result<std::int64_t>> KvClient::grantLease(std::chrono::seconds timeToLive)
{
    json::object request{{"TTL", std::to_string(timeToLive.count())}};
    auto response = co_await post("/v3/lease/grant", std::move(request));
    if (!response) {
        co_return response.error();
    }
    co_return core::jsonInteger(response.value(), "ID");
}

asio::awaitable<core::Result<bool>> KvClient::keepLeaseAlive(std::int64_t lease)
{
    json::object request{{"ID", std::to_string(lease)}};
    auto response = co_await post("/v3/lease/keepalive", std::move(request));
    if (!response) {
        co_return response.error();
    }
    co_return core::jsonInteger(core::jsonObject(response.value(), "result"), "TTL") > 0;
}

asio::awaitable<core::Result<void>> KvClient::revokeLease(std::int64_t lease)
{
    json::object request{{"ID", std::to_string(lease)}};
    auto response = co_await post("/v3/lease/revoke", std::move(request));
    if (!response) {
        co_return response.error();
    }
    co_return core::success();
}

asio::awaitable<core::Result<void>>
KvClient::watch(std::string key, std::string rangeEnd, std::int64_t startRevision, std::function<void(KvPair)> onPut, std::function<bool()> shouldStop)
{
    http::Request request;
    request.method = "POST";
    request.target = "/v3/watch";
    request.headers["X-Domain"] = m_domain;
    request.body = json::serialize(watchRequest(key, rangeEnd, startRevision));
    http::CallOptions options;
    options.acceptConnectionClose = true; // an incomplete last line is dropped
    http::Call call(m_executor, m_endpoints[m_nextEndpoint % m_endpoints.size()], std::move(options));
    auto head = co_await call.start(request, CallTimeout);
    if (!head) {
        ++m_nextEndpoint;
        co_return toPlatformError(head.error());
    }
    std::string pending;
    while (!shouldStop()) {
        auto chunk = co_await call.readSome(WatchIdleTimeout);
        if (!chunk) {
            co_return toPlatformError(chunk.error());
        }
        if (chunk.value().empty()) {
            break;
        }
        pending += chunk.value();
        std::size_t end = 0;
        while ((end = pending.find('\n')) != std::string::npos) {
            if (!processWatchLine(std::string_view(pending).substr(0, end), onPut)) {
                co_return core::makeError(core::ErrorKind::PlatformDown, "the platform's service sent a message that cannot be read");
            }
            pending.erase(0, end + 1);
        }
    }
    co_return core::success();
}

} // namespace arbutus::metadata
