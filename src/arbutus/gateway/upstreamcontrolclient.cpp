// Reading and understanding reports.

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

constexpr std::size_t RingCapacity = 4'096;
constexpr auto ReadTimeout = 500ms;
constexpr auto OrderTimeout = 30'000ms; // a load takes as long as the weight store needs

routing::LoadReport toReport(const core::UpstreamId &id, const json::object &object)
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

std::string orderBody(const node::SendPlacementCommand &order)
{
    const bool load = order.command.kind == placement::PlacementCommandKind::Load;
    return json::serialize(json::object{{"fencing", order.fencingToken.value}, {"order", load ? "load" : "unload"}, {"model", order.command.model.text}});
}

std::vector<node::CacheEvent> toEvents(const json::object &object)
{
    std::vector<node::CacheEvent> out;
    for (const json::value &value : core::jsonArray(object, "events")) {
        if (!value.is_object()) {
            continue;
        }
        const json::object &event = value.as_object();
        const json::value *block = event.if_contains("block");
        const bool known = block != nullptr && (block->is_uint64() || block->is_int64());
        if (known) {
            const std::uint64_t hash = block->is_uint64() ? block->as_uint64() : static_cast<std::uint64_t>(block->as_int64());
            out.push_back(node::CacheEvent{static_cast<std::uint64_t>(core::jsonInteger(event, "number")), core::jsonBool(event, "stored", true), hash});
        }
    }
    return out;
}

} // namespace

UpstreamControlClient::UpstreamControlClient(bool exact, std::function<void(node::Event)> post)
    : m_readExactState(exact)
    , m_post(std::move(post))
    , m_readQueue(m_thread.executor(),
                  RingCapacity,
                  [this](node::FetchLoadReport &&order) {
                      if (m_readsInProgress.insert(order.upstream).second) { // a slow upstream is not asked again while it is being asked
                          asio::co_spawn(m_thread.executor(), fetchLoadReport(std::move(order)), asio::detached);
                      }
                  })
    , m_commandQueue(m_thread.executor(), RingCapacity, [this](node::SendPlacementCommand &&order) {
        asio::co_spawn(m_thread.executor(), postPlacementCommand(std::move(order)), asio::detached);
    })
{
}

void UpstreamControlClient::sendPlacementCommand(node::SendPlacementCommand order)
{
    m_commandQueue.tryPush(std::move(order));
}

asio::awaitable<void> UpstreamControlClient::postPlacementCommand(node::SendPlacementCommand order)
{
    http::Request request;
    request.method = "POST";
    request.target = "/orders";
    request.body = orderBody(order);
    const auto answer = co_await http::fetch(m_thread.executor(), http::parseEndpoint(order.address), request, OrderTimeout);
    node::PlacementCommandFinished ended;
    ended.command = order.command;
    ended.succeeded = answer && answer.value().status == 200;
    ended.message = answer ? "status " + std::to_string(answer.value().status) : answer.error().message;
    m_post(std::move(ended));
}

void UpstreamControlClient::start()
{
    m_thread.start();
}

void UpstreamControlClient::stop()
{
    m_thread.stop();
}

void UpstreamControlClient::readLoad(node::FetchLoadReport order)
{
    m_readQueue.tryPush(std::move(order));
}

asio::awaitable<void> UpstreamControlClient::fetchLoadReport(node::FetchLoadReport order)
{
    node::LoadReportReceived result;
    result.upstream = order.upstream;
    http::Request request;
    request.target = m_readExactState ? "/state" : "/load";
    http::Call call(m_thread.executor(), http::parseEndpoint(order.address), &m_pool);
    auto head = co_await call.start(request, ReadTimeout);
    if (head && head.value().status == 200) {
        const auto body = co_await call.readAll(ReadTimeout);
        const auto parsed = body ? core::parseJsonObject(body.value()) : core::Result<json::object>(core::makeError(core::ErrorKind::UpstreamFailed, ""));
        if (parsed) {
            result.report = toReport(order.upstream, parsed.value());
            if (order.includeEvents) {
                result.events = co_await fetchCacheEvents(order);
            }
        }
    }
    m_readsInProgress.erase(order.upstream);
    m_post(std::move(result));
}

asio::awaitable<std::vector<node::CacheEvent>> UpstreamControlClient::fetchCacheEvents(const node::FetchLoadReport &order)
{
    http::Request request;
    request.target = "/events?since=" + std::to_string(order.eventsAfter);
    http::Call call(m_thread.executor(), http::parseEndpoint(order.address), &m_pool);
    auto head = co_await call.start(request, ReadTimeout);
    if (!head || head.value().status != 200) {
        co_return std::vector<node::CacheEvent>();
    }
    const auto body = co_await call.readAll(ReadTimeout);
    const auto parsed = body ? core::parseJsonObject(body.value()) : core::Result<json::object>(core::makeError(core::ErrorKind::UpstreamFailed, ""));
    co_return parsed ? toEvents(parsed.value()) : std::vector<node::CacheEvent>();
}

} // namespace arbutus::gateway
