// Request routing and JSON views of the node's state.

#include "arbutus/gateway/adminserver.h"

#include "arbutus/core/hash.h"

#include <boost/asio/async_result.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

namespace arbutus::gateway {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

std::string memberStateName(const membership::Member &member)
{
    if (member.incarnation.value == 0) {
        return "listed";
    }
    if (member.condition == membership::MemberCondition::Dead) {
        return "dead";
    }
    if (member.leaving) {
        return "leaving";
    }
    return member.condition == membership::MemberCondition::Suspect ? "suspect" : "alive";
}

json::object toJson(const membership::Member &member)
{
    return json::object{{"id", member.id.text},
                        {"region", member.region.text},
                        {"failure_domain", member.domain.text},
                        {"incarnation", std::to_string(member.incarnation.value)},
                        {"state", memberStateName(member)},
                        {"url", member.clientUrl}};
}

std::string instancesJson(const node::Node &node)
{
    json::array instances;
    json::object self = toJson(node.state().self());
    self["self"] = true;
    self["phase"] = node::toString(node.phase());
    self["in_flight"] = node.inFlightCount();
    self["held"] = node.queuedCount();
    self["tickets_owned"] = node.state().ownerLedger.size();
    self["tickets_witnessed"] = node.state().witnessLedger.size();
    self["tickets_inherited"] = node.state().successorLedger.size();
    instances.emplace_back(std::move(self));
    for (const auto &[id, member] : node.state().membershipView.members()) {
        instances.emplace_back(toJson(member));
    }
    for (const auto &[domain, members] : node.state().remoteContacts) {
        for (const membership::Member &member : members) {
            instances.emplace_back(toJson(member));
        }
    }
    return json::serialize(json::object{{"instances", std::move(instances)}});
}

json::object toJson(const routing::Upstream &upstream, core::TimePoint now)
{
    json::array models;
    for (const core::ModelId &model : upstream.report.models) {
        models.emplace_back(model.text);
    }
    return json::object{{"id", upstream.descriptor.id.text},
                        {"kind", upstream.descriptor.kind == routing::UpstreamKind::Model ? "model" : "service"},
                        {"address", upstream.descriptor.address},
                        {"models", std::move(models)},
                        {"service", upstream.descriptor.service.text},
                        {"leaving", upstream.isLeaving()},
                        {"reachable", upstream.report.reachable},
                        {"ejected", now < upstream.ejectedUntil},
                        {"running", upstream.report.running},
                        {"waiting", upstream.report.waiting},
                        {"slots", upstream.report.slots},
                        {"in_flight_here", upstream.inFlight},
                        {"slowness", upstream.slowdown},
                        {"price", upstream.descriptor.price},
                        {"prefix_blocks", upstream.cachedBlocks.size()}};
}

std::string upstreamsJson(const node::Node &node)
{
    json::array upstreams;
    for (const auto &[id, upstream] : node.state().upstreamTable.upstreams()) {
        upstreams.emplace_back(toJson(upstream, node.state().now()));
    }
    json::array remote;
    for (const core::ModelId &model : node.state().upstreamTable.models()) {
        for (const routing::RemotePool &pool : node.state().upstreamTable.remotePoolsWithModel(model)) {
            remote.push_back(json::object{{"model", model.text},
                                          {"failure_domain", pool.domain.text},
                                          {"region", pool.region.text},
                                          {"wait_ms", core::toMilliseconds(pool.predictedWait)},
                                          {"free_slots", pool.freeSlots},
                                          {"slots", pool.slots},
                                          {"heard_ms_ago", core::toMilliseconds(node.state().now() - pool.updatedAt)}});
        }
    }
    return json::serialize(json::object{{"upstreams", std::move(upstreams)}, {"other_domains", std::move(remote)}});
}

std::string configJson(const node::Node &node)
{
    json::array documents;
    for (const auto &[key, document] : node.state().config.documents()) {
        json::object entry{{"document", document}, {"written_at", node.state().config.lastModifiedRevision(key).value}};
        documents.emplace_back(std::move(entry));
    }
    const config::LogHead &head = node.state().config.head();
    return json::serialize(json::object{{"revision", head.revision.value}, {"hash", head.hash}, {"documents", std::move(documents)}});
}

std::string readinessText(const node::Node &node)
{
    return node.ready() ? "ready"
                        : std::string(node::toString(node.phase())) + ", configuration revision " + std::to_string(node.state().config.head().revision.value);
}

http::Response errorResponse(core::ErrorKind kind, const std::string &message)
{
    return http::jsonResponse(core::httpStatus(kind), core::toJson(core::makeError(kind, message)));
}

http::Response textResponse(unsigned status, std::string body)
{
    http::Response response;
    response.status = status;
    response.headers["Content-Type"] = "text/plain; version=0.0.4";
    response.body = std::move(body);
    return response;
}

} // namespace

AdminServer::AdminServer(const http::Endpoint &listen,
                         std::string key,
                         std::shared_ptr<http::ReloadableTlsContext> tls,
                         DecisionLoop &decisionLoop,
                         const DecisionLog &decisionLog,
                         observe::Metrics &metrics)
    : m_key(std::move(key))
    , m_decisionLoop(decisionLoop)
    , m_decisionLog(decisionLog)
    , m_metrics(metrics)
    , m_server(
          m_thread.executor(), listen, http::ServerLimits{}, [this](http::Exchange &exchange) { return serve(exchange); }, std::move(tls))
{
    constexpr std::size_t MaxConnections = 64;
    constexpr std::size_t MaxBodyMemory = std::size_t(8) * 1024 * 1024;
    const auto memory = std::make_shared<limits::ByteBudget>(limits::ByteBudgetSettings::of(MaxBodyMemory));
    m_server.setResources({memory, std::make_shared<limits::ConnectionBudget>(MaxConnections)});
}

void AdminServer::start()
{
    m_thread.start();
}

void AdminServer::stop()
{
    m_server.stopAccepting();
    m_thread.stop();
}

asio::awaitable<std::string> AdminServer::queryNode(std::function<std::string(const node::Node &)> query)
{
    const auto executor = m_thread.executor();
    auto initiate = [this, executor, query](auto handler) {
        auto sharedHandler = std::make_shared<decltype(handler)>(std::move(handler));
        const bool posted = m_decisionLoop.tryPostQuery([executor, sharedHandler, query](const node::Node &node) {
            asio::post(executor, [sharedHandler, text = query(node)]() mutable { std::move (*sharedHandler)(std::move(text)); });
        });
        if (!posted) {
            asio::post(executor, [sharedHandler]() mutable { std::move (*sharedHandler)(std::string()); });
        }
    };
    co_return co_await asio::async_initiate<const asio::use_awaitable_t<>, void(std::string)>(initiate, asio::use_awaitable);
}

asio::awaitable<void> AdminServer::serve(http::Exchange &exchange)
{
    const std::string path = exchange.request().path();
    const auto bodyResult = co_await exchange.readBody();
    (void)bodyResult;
    if (path == "/healthz") {
        co_await exchange.respond(textResponse(200, "ok\n"));
    } else if (path == "/readyz") {
        const std::string state = co_await queryNode(readinessText);
        const http::Response response = textResponse(state == "ready" ? 200 : 503, state + "\n");
        co_await exchange.respond(response);
    } else if (path == "/metrics") {
        m_metrics.setGauge("arbutus_decisions_queued", "", static_cast<double>(m_decisionLoop.queueLength()));
        m_metrics.setGauge("arbutus_decisions_processor_seconds", "", std::chrono::duration<double>(m_decisionLoop.cpuTime()).count());
        m_metrics.setGauge("arbutus_log_lines_dropped", "", static_cast<double>(m_decisionLog.droppedCount()));
        const http::Response response = textResponse(200, m_metrics.prometheusText());
        co_await exchange.respond(response);
    } else if (path.starts_with("/admin/v1/")) {
        co_await serveAdmin(exchange, path.substr(std::string_view("/admin/v1/").size()));
    } else {
        const http::Response response = errorResponse(core::ErrorKind::NotFound, "unknown path " + path);
        co_await exchange.respond(response);
    }
}

asio::awaitable<void> AdminServer::serveAdmin(http::Exchange &exchange, const std::string &path)
{
    const std::string authorization = http::headerValue(exchange.request().headers, "Authorization");
    if (!core::equalConstantTime(authorization, "Bearer " + m_key)) {
        core::Error error = core::makeError(core::ErrorKind::Unauthorized, "the admin key is missing or wrong");
        error.remedy = "send the value of keys.admin from the settings file as 'Authorization: Bearer KEY'";
        const http::Response response = http::jsonResponse(core::httpStatus(error.kind), core::toJson(error));
        co_await exchange.respond(response);
        co_return;
    }
    http::Response response;
    if (path == "instances") {
        response = http::jsonResponse(200, co_await queryNode(instancesJson));
    } else if (path == "upstreams") {
        response = http::jsonResponse(200, co_await queryNode(upstreamsJson));
    } else if (path == "config") {
        response = http::jsonResponse(200, co_await queryNode(configJson));
    } else if (path.starts_with("decisions/")) {
        const auto explanation = m_decisionLog.explain(core::DecisionId(path.substr(std::string_view("decisions/").size())));
        response = explanation ? http::jsonResponse(200, json::serialize(*explanation))
                               : errorResponse(core::ErrorKind::NotFound, "no such decision is retained on this instance; query the instance that made it");
    } else if (path == "drain" && exchange.request().method == "POST") {
        const bool posted = m_decisionLoop.tryPost(node::DrainRequested{});
        response = posted ? http::jsonResponse(202, "{\"draining\":true}") : errorResponse(core::ErrorKind::Overloaded, "the decision queue is full");
    } else {
        response = errorResponse(core::ErrorKind::NotFound, "unknown path /admin/v1/" + path);
    }
    co_await exchange.respond(response);
}

} // namespace arbutus::gateway
