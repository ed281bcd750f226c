// Paths for operators.

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

std::string conditionName(const membership::Member &member)
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
                        {"state", conditionName(member)},
                        {"url", member.callersUrl}};
}

std::string showInstances(const node::Node &node)
{
    json::array instances;
    json::object self = toJson(node.state().self());
    self["self"] = true;
    self["phase"] = node::toString(node.phase());
    self["in_flight"] = node.inFlightCount();
    self["held"] = node.heldCount();
    self["tickets_owned"] = node.state().ownerLedger.size();
    self["tickets_witnessed"] = node.state().witnessLedger.size();
    self["tickets_inherited"] = node.state().successorLedger.size();
    instances.emplace_back(std::move(self));
    for (const auto &[id, member] : node.state().domainView.members()) {
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

std::string showUpstreams(const node::Node &node)
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

std::string showConfig(const node::Node &node)
{
    json::array documents;
    for (const auto &[key, document] : node.state().config.documents()) {
        json::object row{{"document", document}, {"written_at", node.state().config.lastModifiedRevision(key).value}};
        documents.emplace_back(std::move(row));
    }
    const config::LogHead &head = node.state().config.head();
    return json::serialize(json::object{{"revision", head.revision.value}, {"hash", head.hash}, {"documents", std::move(documents)}});
}

std::string showReady(const node::Node &node)
{
    return node.ready() ? "ready"
                        : std::string(node::toString(node.phase())) + ", configuration revision " + std::to_string(node.state().config.head().revision.value);
}

http::Response errorAnswer(core::ErrorKind kind, const std::string &message)
{
    return http::jsonResponse(core::httpStatus(kind), core::toJson(core::makeError(kind, message)));
}

http::Response textAnswer(unsigned status, std::string body)
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
                         DecisionLoop &decisions,
                         const DecisionLog &journal,
                         observe::Metrics &metrics)
    : m_key(std::move(key))
    , m_decisions(decisions)
    , m_journal(journal)
    , m_metrics(metrics)
    , m_server(
          m_thread.executor(), listen, http::ServerLimits{}, [this](http::Exchange &exchange) { return serve(exchange); }, std::move(tls))
{
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

asio::awaitable<std::string> AdminServer::queryNode(std::function<std::string(const node::Node &)> look)
{
    const auto executor = m_thread.executor();
    auto initiate = [this, executor, look](auto handler) {
        auto shared = std::make_shared<decltype(handler)>(std::move(handler));
        const bool posted = m_decisions.tryPostQuery([executor, shared, look](const node::Node &node) {
            asio::post(executor, [shared, text = look(node)]() mutable { std::move (*shared)(std::move(text)); });
        });
        if (!posted) {
            asio::post(executor, [shared]() mutable { std::move (*shared)(std::string()); });
        }
    };
    co_return co_await asio::async_initiate<const asio::use_awaitable_t<>, void(std::string)>(initiate, asio::use_awaitable);
}

asio::awaitable<void> AdminServer::serve(http::Exchange &exchange)
{
    const std::string path = exchange.request().path();
    const auto ignored = co_await exchange.readBody();
    (void)ignored;
    if (path == "/healthz") {
        co_await exchange.respond(textAnswer(200, "ok\n"));
    } else if (path == "/readyz") {
        const std::string state = co_await queryNode(showReady);
        const http::Response response = textAnswer(state == "ready" ? 200 : 503, state + "\n");
        co_await exchange.respond(response);
    } else if (path == "/metrics") {
        m_metrics.setGauge("arbutus_decisions_queued", "", static_cast<double>(m_decisions.queueLength()));
        m_metrics.setGauge("arbutus_decisions_processor_seconds", "", std::chrono::duration<double>(m_decisions.cpuTime()).count());
        m_metrics.setGauge("arbutus_log_lines_dropped", "", static_cast<double>(m_journal.droppedCount()));
        const http::Response response = textAnswer(200, m_metrics.prometheusText());
        co_await exchange.respond(response);
    } else if (path.starts_with("/admin/v1/")) {
        co_await serveAdmin(exchange, path.substr(std::string_view("/admin/v1/").size()));
    } else {
        const http::Response response = errorAnswer(core::ErrorKind::NotFound, "no path " + path);
        co_await exchange.respond(response);
    }
}

asio::awaitable<void> AdminServer::serveAdmin(http::Exchange &exchange, const std::string &path)
{
    const std::string given = http::headerValue(exchange.request().headers, "Authorization");
    if (!core::equalConstantTime(given, "Bearer " + m_key)) {
        core::Error error = core::makeError(core::ErrorKind::Unauthorized, "the operators' key is wrong or missing");
        error.remedy = "send [keys] admin of the settings as 'Authorization: Bearer KEY'";
        const http::Response response = http::jsonResponse(core::httpStatus(error.kind), core::toJson(error));
        co_await exchange.respond(response);
        co_return;
    }
    http::Response response;
    if (path == "instances") {
        response = http::jsonResponse(200, co_await queryNode(showInstances));
    } else if (path == "upstreams") {
        response = http::jsonResponse(200, co_await queryNode(showUpstreams));
    } else if (path == "config") {
        response = http::jsonResponse(200, co_await queryNode(showConfig));
    } else if (path.starts_with("decisions/")) {
        const auto explained = m_journal.explain(core::DecisionId(path.substr(std::string_view("decisions/").size())));
        response = explained ? http::jsonResponse(200, json::serialize(*explained))
                             : errorAnswer(core::ErrorKind::NotFound, "no such decision is remembered here; ask the instance that made it");
    } else if (path == "drain" && exchange.request().method == "POST") {
        const bool posted = m_decisions.tryPost(node::DrainRequested{});
        response = posted ? http::jsonResponse(202, "{\"draining\":true}") : errorAnswer(core::ErrorKind::Overloaded, "the decisions' ring is full");
    } else {
        response = errorAnswer(core::ErrorKind::NotFound, "no path /admin/v1/" + path);
    }
    co_await exchange.respond(response);
}

} // namespace arbutus::gateway
