// Lines and memory.

#include "arbutus/gateway/journal.h"

#include "arbutus/observe/logline.h"

#include <boost/json.hpp>

namespace arbutus::gateway {

namespace json = boost::json;

namespace {

constexpr std::size_t RingCapacity = 65'536;
constexpr std::size_t DecisionsKept = 20'000;

std::string nameOf(const routing::Scored &scored)
{
    return scored.upstream.empty() ? "domain:" + scored.domain.text : scored.upstream.text;
}

void addChoice(observe::LogLine &line, const routing::Choice &choice)
{
    line.add("chosen", nameOf(choice.chosen))
        .add("region", choice.chosen.region)
        .add("score", choice.chosen.score)
        .add("first_token_ms", core::toMilliseconds(choice.chosen.firstToken))
        .add("wait_ms", core::toMilliseconds(choice.chosen.wait))
        .add("price", choice.chosen.price)
        .add("warm", choice.chosen.warm);
    if (choice.runnerUp) {
        line.add("runner_up", nameOf(*choice.runnerUp)).add("runner_up_score", choice.runnerUp->score);
    }
    line.add("reason", routing::toString(choice.reason));
}

json::object toJson(const routing::Scored &scored)
{
    return json::object{{"name", nameOf(scored)},
                        {"region", scored.region.text},
                        {"score", scored.score},
                        {"first_token_ms", core::toMilliseconds(scored.firstToken)},
                        {"wait_ms", core::toMilliseconds(scored.wait)},
                        {"price", scored.price},
                        {"warm", scored.warm}};
}

json::object toJson(const node::DecisionLogged &decision)
{
    json::object out{{"result", decision.result},
                     {"detail", decision.detail},
                     {"workspace", decision.workspace.text},
                     {"class", decision.requestClass.text},
                     {"model", decision.model.text},
                     {"service", decision.service.text},
                     {"request_id", decision.request.text},
                     {"config_revision", decision.revision.value}};
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

Journal::Journal()
    : m_ring(m_thread.executor(), RingCapacity, [this](Item &&item) { take(std::move(item)); })
{
}

void Journal::start()
{
    m_thread.start();
}

void Journal::stop()
{
    m_thread.stop();
}

void Journal::write(node::DecisionLogged decision)
{
    m_ring.push(std::move(decision));
}

void Journal::write(node::EventLogged event)
{
    m_ring.push(std::move(event));
}

void Journal::take(Item &&item)
{
    if (const auto *event = std::get_if<node::EventLogged>(&item)) {
        observe::LogLine line(event->event);
        for (const auto &[key, value] : event->fields) {
            line.add(key, value);
        }
        line.write();
        return;
    }
    auto &decision = std::get<node::DecisionLogged>(item);
    observe::LogLine line("routing_decision");
    line.add("decision", decision.decision).add("request", decision.request).add("workspace", decision.workspace).add("class", decision.requestClass);
    line.add(decision.service.empty() ? "model" : "service", decision.service.empty() ? decision.model.text : decision.service.text);
    line.add("result", decision.result).add("detail", decision.detail);
    if (decision.choice) {
        addChoice(line, *decision.choice);
    }
    line.add("config_revision", decision.revision);
    line.write();
    remember(std::move(decision));
}

void Journal::remember(node::DecisionLogged decision)
{
    const std::lock_guard lock(m_mutex);
    auto &lines = m_decisions[decision.decision];
    if (lines.empty()) {
        m_order.push_back(decision.decision);
    }
    lines.push_back(std::move(decision));
    while (m_order.size() > DecisionsKept) {
        m_decisions.erase(m_order.front());
        m_order.pop_front();
    }
}

std::optional<json::object> Journal::explain(const core::DecisionId &decision) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_decisions.find(decision);
    if (found == m_decisions.end()) {
        return std::nullopt;
    }
    json::array steps;
    for (const node::DecisionLogged &line : found->second) {
        steps.emplace_back(toJson(line));
    }
    return json::object{{"decision", decision.text}, {"steps", std::move(steps)}};
}

} // namespace arbutus::gateway
