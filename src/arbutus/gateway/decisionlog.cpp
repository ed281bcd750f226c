// Formatting of log lines and the decision history.

#include "arbutus/gateway/decisionlog.h"

#include "arbutus/observe/logline.h"

#include <boost/json.hpp>

namespace arbutus::gateway {

namespace json = boost::json;

namespace {

constexpr std::size_t QueueCapacity = 65'536;
constexpr std::size_t MaxRetainedDecisions = 20'000;

std::string candidateName(const routing::ScoredCandidate &candidate)
{
    return candidate.upstream.empty() ? "domain:" + candidate.domain.text : candidate.upstream.text;
}

void addRoutingChoice(observe::LogLine &line, const routing::RoutingDecision &choice)
{
    line.add("chosen", candidateName(choice.chosen))
        .add("region", choice.chosen.region)
        .add("score", choice.chosen.score)
        .add("first_token_ms", core::toMilliseconds(choice.chosen.timeToFirstToken))
        .add("wait_ms", core::toMilliseconds(choice.chosen.predictedWait))
        .add("price", choice.chosen.price)
        .add("warm", choice.chosen.prefixCached);
    if (choice.runnerUp) {
        line.add("runner_up", candidateName(*choice.runnerUp)).add("runner_up_score", choice.runnerUp->score);
    }
    line.add("reason", routing::toString(choice.reason));
}

json::object toJson(const routing::ScoredCandidate &candidate)
{
    return json::object{{"name", candidateName(candidate)},
                        {"region", candidate.region.text},
                        {"score", candidate.score},
                        {"first_token_ms", core::toMilliseconds(candidate.timeToFirstToken)},
                        {"wait_ms", core::toMilliseconds(candidate.predictedWait)},
                        {"price", candidate.price},
                        {"warm", candidate.prefixCached}};
}

json::object toJson(const node::LogRoutingDecision &decision)
{
    json::object out{{"result", decision.result},
                     {"detail", decision.detail},
                     {"workspace", decision.workspace.text},
                     {"class", decision.requestClass.text},
                     {"model", decision.model.text},
                     {"service", decision.service.text},
                     {"request_id", decision.request.text},
                     {"config_revision", decision.configRevision.value}};
    if (decision.choice) {
        out["chosen"] = toJson(decision.choice->chosen);
        out["reason"] = routing::toString(decision.choice->reason);
        if (decision.choice->runnerUp) {
            out["runner_up"] = toJson(*decision.choice->runnerUp);
        }
    }
    return out;
}

} // namespace

DecisionLog::DecisionLog()
    : m_queue(m_thread.executor(), QueueCapacity, [this](Item &&item) { writeItem(std::move(item)); })
{
}

void DecisionLog::start()
{
    m_thread.start();
}

void DecisionLog::stop()
{
    m_thread.stop();
}

void DecisionLog::write(node::LogRoutingDecision decision)
{
    m_queue.tryPush(std::move(decision));
}

void DecisionLog::write(node::LogEvent event)
{
    m_queue.tryPush(std::move(event));
}

void DecisionLog::writeItem(Item &&item)
{
    if (const auto *event = std::get_if<node::LogEvent>(&item)) {
        observe::LogLine line(event->eventName);
        for (const auto &[key, value] : event->fields) {
            line.add(key, value);
        }
        line.write();
        return;
    }
    auto &decision = std::get<node::LogRoutingDecision>(item);
    observe::LogLine line("routing_decision");
    line.add("decision", decision.decision).add("request", decision.request).add("workspace", decision.workspace).add("class", decision.requestClass);
    line.add(decision.service.empty() ? "model" : "service", decision.service.empty() ? decision.model.text : decision.service.text);
    line.add("result", decision.result).add("detail", decision.detail);
    if (decision.choice) {
        addRoutingChoice(line, *decision.choice);
    }
    line.add("config_revision", decision.configRevision);
    line.write();
    retain(std::move(decision));
}

void DecisionLog::retain(node::LogRoutingDecision decision)
{
    const std::lock_guard lock(m_mutex);
    auto &lines = m_decisions[decision.decision];
    if (lines.empty()) {
        m_insertionOrder.push_back(decision.decision);
    }
    lines.push_back(std::move(decision));
    while (m_insertionOrder.size() > MaxRetainedDecisions) {
        m_decisions.erase(m_insertionOrder.front());
        m_insertionOrder.pop_front();
    }
}

std::optional<json::object> DecisionLog::explain(const core::DecisionId &decision) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_decisions.find(decision);
    if (found == m_decisions.end()) {
        return std::nullopt;
    }
    json::array steps;
    for (const node::LogRoutingDecision &line : found->second) {
        steps.emplace_back(toJson(line));
    }
    return json::object{{"decision", decision.text}, {"steps", std::move(steps)}};
}

} // namespace arbutus::gateway
