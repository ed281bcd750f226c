// Reads and parses load reports and cache events; sends placement commands.

#include "arbutus/gateway/upstreamcontrolclient.h"

#include "arbutus/core/json.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <boost/json.hpp>

namespace arbutus::gateway {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t QueueCapacity = 4'096;
constexpr auto ReadTimeout = 500ms;
constexpr auto PlacementCommandTimeout = 30'000ms; // loading a model takes as long as the weight store needs to deliver the weights

routing::LoadReport parseLoadReport(const core::UpstreamId &id, const json::object &object)
{
    routing::LoadReport report;
    report.id = id;
    report.running = static_cast<std::uint32_t>(core::jsonInteger(object, "running"));
    report.waiting = static_cast<std::uint32_t>(core::jsonInteger(object, "waiting"));
    report.slots = static_cast<std::uint32_t>(core::jsonInteger(object, "slots", 16));
    report.stepTime = core::Duration(core::jsonInteger(object, "step_us", 6'000));
    report.leaving = core::jsonBool(object, "leaving");
    for (const json::value &model : core::jsonArray(object, "models")) {
        if (model.is_string()) {
            report.models.insert(core::ModelId(std::string(model.as_string())));
        }
    }
    return report;
}

std::string placementCommandBody(const node::SendPlacementCommand &action)
{
    const bool load = action.command.kind == placement::PlacementCommandKind::Load;
    return json::serialize(json::object{{"fencing", action.fencingToken.value}, {"order", load ? "load" : "unload"}, {"model", action.command.model.text}});
}

std::vector<node::CacheEvent> parseCacheEvents(const json::object &object)
{
    std::vector<node::CacheEvent> out;
    for (const json::value &value : core::jsonArray(object, "events")) {
        if (!value.is_object()) {
            continue;
        }
        const json::object &event = value.as_object();
        const json::value *block = event.if_contains("block");
        const bool hasBlockHash = block != nullptr && (block->is_uint64() || block->is_int64());
        if (hasBlockHash) {
            const std::uint64_t hash = block->is_uint64() ? block->as_uint64() : static_cast<std::uint64_t>(block->as_int64());
            out.push_back(node::CacheEvent{static_cast<std::uint64_t>(core::jsonInteger(event, "number")), core::jsonBool(event, "stored", true), hash});
        }
    }
    return out;
}

} // namespace

http::CallOptions UpstreamControlClient::reportCallOptions()
{
    http::CallOptions options;
    options.pool = &m_pool;
    options.acceptConnectionClose = true; // parsing a report shows whether it was cut off
    return options;
}

UpstreamControlClient::UpstreamControlClient(bool readExactState, std::function<void(node::Event)> post)
    : m_readExactState(readExactState)
    , m_post(std::move(post))
    , m_loadReportQueue(m_thread.executor(),
                        QueueCapacity,
                        [this](node::FetchLoadReport &&action) {
                            // At most one read per upstream at a time, so that a slow one is not queried again.
                            if (m_readsInProgress.insert(action.upstream).second) {
                                asio::co_spawn(m_thread.executor(), fetchLoadReport(std::move(action)), asio::detached);
                            }
                        })
    , m_placementQueue(m_thread.executor(), QueueCapacity, [this](node::SendPlacementCommand &&action) {
        asio::co_spawn(m_thread.executor(), postPlacementCommand(std::move(action)), asio::detached);
    })
{
}

void UpstreamControlClient::sendPlacementCommand(node::SendPlacementCommand action)
{
    m_placementQueue.tryPush(std::move(action));
}

asio::awaitable<void> UpstreamControlClient::postPlacementCommand(node::SendPlacementCommand action)
{
    http::Request request;
    request.method = "POST";
    request.target = "/orders";
    request.body = placementCommandBody(action);
    http::CallOptions options;
    options.acceptConnectionClose = true;
    const auto response = co_await http::fetch(m_thread.executor(), http::parseEndpoint(action.address), request, PlacementCommandTimeout, options);
    node::PlacementCommandFinished finished;
    finished.command = action.command;
    finished.succeeded = response && response.value().status == 200;
    finished.message = response ? "status " + std::to_string(response.value().status) : response.error().message;
    m_post(std::move(finished));
}

void UpstreamControlClient::start()
{
    m_thread.start();
}

void UpstreamControlClient::stop()
{
    m_thread.stop();
}

void UpstreamControlClient::requestLoadReport(node::FetchLoadReport action)
{
    m_loadReportQueue.tryPush(std::move(action));
}

asio::awaitable<void> UpstreamControlClient::fetchLoadReport(node::FetchLoadReport action)
{
    node::LoadReportReceived result;
    result.upstream = action.upstream;
    http::Request request;
    request.target = m_readExactState ? "/state" : "/load";
    http::Call call(m_thread.executor(), http::parseEndpoint(action.address), reportCallOptions());
    auto head = co_await call.start(request, ReadTimeout);
    if (head && head.value().status == 200) {
        const auto body = co_await call.readAll(ReadTimeout);
        const auto parsed = body ? core::parseJsonObject(body.value()) : core::Result<json::object>(core::makeError(core::ErrorKind::UpstreamFailed, ""));
        if (parsed) {
            result.report = parseLoadReport(action.upstream, parsed.value());
            if (action.includeEvents) {
                result.events = co_await fetchCacheEvents(action);
            }
        }
    }
    m_readsInProgress.erase(action.upstream);
    m_post(std::move(result));
}

asio::awaitable<std::vector<node::CacheEvent>> UpstreamControlClient::fetchCacheEvents(const node::FetchLoadReport &action)
{
    http::Request request;
    request.target = "/events?since=" + std::to_string(action.eventsAfter);
    http::Call call(m_thread.executor(), http::parseEndpoint(action.address), reportCallOptions());
    auto head = co_await call.start(request, ReadTimeout);
    if (!head || head.value().status != 200) {
        co_return std::vector<node::CacheEvent>();
    }
    const auto body = co_await call.readAll(ReadTimeout);
    const auto parsed = body ? core::parseJsonObject(body.value()) : core::Result<json::object>(core::makeError(core::ErrorKind::UpstreamFailed, ""));
    co_return parsed ? parseCacheEvents(parsed.value()) : std::vector<node::CacheEvent>();
}

} // namespace arbutus::gateway
