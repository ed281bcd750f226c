// Traffic, judgement, report.
//
// Sections:
//   Plans        requests of each class
//   Traffic      arrivals
//   Judgement    records against journals
//   Report       percentiles and shares

#include "arbutus/loadtool/run.h"

#include "arbutus/core/hash.h"
#include "arbutus/core/json.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <pcg_random.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <iomanip>
#include <memory>
#include <numbers>
#include <random>
#include <set>
#include <sstream>

namespace arbutus::loadtool {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Conversations = 12;  // prompt prefixes that a workspace's callers come back to
constexpr std::size_t PrefixBytes = 3'000; // of one conversation
constexpr auto JournalTimeout = 5'000ms;
constexpr auto Settle = 700ms; // until upstreams have written their last lines

//-----------------------------------------------------------------------------
// Plans
//-----------------------------------------------------------------------------

std::string hex(std::uint64_t number)
{
    std::array<char, 17> buffer{};
    return {buffer.data(), std::to_chars(buffer.data(), buffer.data() + buffer.size(), number, 16).ptr};
}

std::string conversationText(const std::string &workspace, std::size_t index)
{
    std::string text;
    std::uint64_t hash = core::hash64(workspace, index);
    while (text.size() < PrefixBytes) {
        text += hex(hash) + " ";
        hash = core::hash64(std::to_string(index), hash);
    }
    return text;
}

/// Classes of a workspace by what they are for.
struct ClassNames
{
    std::string urgent;
    std::string waiting;
    std::string once;
};

ClassNames classNames(const Topology &topology)
{
    return topology.profile == "papiro" ? ClassNames{"counter", "shift", "charge"} : ClassNames{"desk", "reconcile", "order"};
}

std::chrono::milliseconds deadlineOf(const std::string &requestClass)
{
    if (requestClass == "reconcile" || requestClass == "shift") {
        return 30'000ms;
    }
    return requestClass == "charge" ? 4'000ms : (requestClass == "order" ? 5'000ms : 8'000ms);
}

class PlanMaker
{
public:
    PlanMaker(const Topology &topology, const RunOptions &options)
        : m_options(options)
        , m_random(options.seed)
        , m_names(classNames(topology))
        , m_prefix("r" + std::to_string(options.seed) + "-" + hex(core::hash64(std::to_string(core::SystemClock().wallNow().time_since_epoch().count()))))
    {
    }

    Plan next(const WorkspaceLine &workspace)
    {
        Plan plan;
        plan.workspace = &workspace;
        plan.requestId = m_prefix + "-" + std::to_string(++m_count);
        const double draw = uniform();
        if (draw < m_options.orderShare && !workspace.services.empty()) {
            makeOrder(plan);
        } else {
            makeCompletion(plan, draw < m_options.orderShare + m_options.waitShare);
        }
        plan.deadline = deadlineOf(plan.requestClass);
        return plan;
    }

    double uniform()
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random);
    }

private:
    void makeOrder(Plan &plan)
    {
        plan.service = true;
        plan.repeatable = false;
        plan.requestClass = m_names.once;
        plan.idempotencyKey = uniform() < m_options.keyShare;
        plan.path = "/v1/services/" + plan.workspace->services.front() + "/place";
        plan.body = "{\"order\":\"" + plan.requestId + "\",\"copies\":" + std::to_string(m_random(900) + 1) + "}";
        plan.expectedEcho = hex(core::hash64(plan.body));
    }

    void makeCompletion(Plan &plan, bool mayWait)
    {
        plan.requestClass = mayWait ? m_names.waiting : m_names.urgent;
        plan.stream = !mayWait;
        plan.maxTokens = static_cast<std::size_t>((mayWait ? 120 : 30 + m_random(40)) * m_options.tokenScale);
        plan.maxTokens = std::max<std::size_t>(2, plan.maxTokens);
        plan.path = "/v1/chat/completions";
        const std::string content = conversationText(plan.workspace->name, m_random(Conversations)) + " question " + plan.requestId;
        json::object message{{"role", "user"}, {"content", content}};
        json::object body{
            {"model", plan.workspace->models.front()}, {"messages", json::array{std::move(message)}}, {"max_tokens", plan.maxTokens}, {"stream", plan.stream}};
        plan.body = json::serialize(body);
        plan.expectedEcho = hex(core::hash64("user:" + content + "\n"));
    }

    const RunOptions &m_options;
    pcg32 m_random;
    ClassNames m_names;
    std::string m_prefix;
    std::uint64_t m_count = 0;
};

//-----------------------------------------------------------------------------
// Traffic
//-----------------------------------------------------------------------------

/// Traffic of a workspace's home region at a moment of the scaled day, relative to its mean.
double waveAt(double dayPart, std::size_t region, std::size_t regions, double peak)
{
    const double offset = static_cast<double>(region) / static_cast<double>(regions);
    return 1 + peak * std::sin(2 * std::numbers::pi * (dayPart + offset));
}

struct Running
{
    asio::io_context context{1};
    core::SystemClock clock;
    std::vector<Record> records;
    std::map<std::string, std::unique_ptr<CallerGroup>> groups;
    std::map<std::string, std::string> journals;
};

asio::awaitable<void> runOne(Running &running, CallerGroup &group, Plan plan, std::int64_t dueMs)
{
    Record record = co_await group.run(std::move(plan));
    record.dueMs = dueMs;
    running.records.push_back(std::move(record));
}

asio::awaitable<void> arrivals(Running &running, const Topology &topology, const RunOptions &options, PlanMaker &maker, const WorkspaceLine &workspace)
{
    const auto region = std::find(topology.regions.begin(), topology.regions.end(), workspace.home);
    const auto index = static_cast<std::size_t>(region - topology.regions.begin());
    const core::TimePoint start = running.clock.steadyNow();
    const auto length = std::chrono::duration<double>(options.seconds);
    CallerGroup &group = *running.groups.at(workspace.name);
    asio::steady_timer timer(running.context);
    double at = 0; // seconds
    while (true) {
        const double rate = options.rate * workspace.share * waveAt(at / options.seconds, index, topology.regions.size(), options.peak);
        at += -std::log(1 - maker.uniform()) / std::max(0.01, rate);
        if (at >= length.count()) {
            co_return;
        }
        timer.expires_at(start + std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(at)));
        co_await timer.async_wait(asio::use_awaitable);
        asio::co_spawn(running.context, runOne(running, group, maker.next(workspace), static_cast<std::int64_t>(at * 1000)), asio::detached);
    }
}

asio::awaitable<void> readJournals(Running &running, const Topology &topology)
{
    asio::steady_timer timer(running.context, Settle);
    co_await timer.async_wait(asio::use_awaitable);
    for (const UpstreamEntry &upstream : topology.upstreams) {
        http::Request request;
        request.target = "/journal";
        const http::Endpoint endpoint{"127.0.0.1", upstream.port};
        auto answer = co_await http::fetch(running.context.get_executor(), endpoint, request, JournalTimeout);
        if (answer) {
            running.journals[upstream.name] = answer.value().body;
        }
    }
}

std::vector<std::string> regionsOf(const Topology &topology)
{
    std::vector<std::string> out;
    for (const GatewayLine &gateway : topology.gateways) {
        if (std::find(out.begin(), out.end(), gateway.region) == out.end()) {
            out.push_back(gateway.region);
        }
    }
    return out;
}

} // namespace

RunResult runTraffic(const Topology &given, const RunOptions &options)
{
    Topology topology = given;
    topology.regions = regionsOf(given);
    Running running;
    PlanMaker maker(topology, options);
    for (const WorkspaceLine &workspace : topology.workspaces) {
        running.groups[workspace.name] = std::make_unique<CallerGroup>(running.context.get_executor(), running.clock, topology, workspace, workspace.home);
        asio::co_spawn(running.context, arrivals(running, topology, options, maker, workspace), asio::detached);
    }
    running.context.run();
    running.context.restart();
    asio::co_spawn(running.context, readJournals(running, topology), asio::detached);
    running.context.run();
    RunResult result;
    result.records = std::move(running.records);
    result.verdicts = judge(topology, result.records, running.journals);
    return result;
}

//-----------------------------------------------------------------------------
// Judgement
//-----------------------------------------------------------------------------

namespace {

/// What the upstreams did for one request.
struct RanRecord
{
    std::size_t started = 0;
    std::size_t finished = 0;
};

bool mayUse(const Topology &topology, const std::string &workspace, const std::string &region)
{
    for (const WorkspaceLine &line : topology.workspaces) {
        if (line.name == workspace) {
            return std::find(line.residency.begin(), line.residency.end(), region) != line.residency.end();
        }
    }
    return true;
}

std::map<std::string, RanRecord> readRan(const Topology &topology, const std::map<std::string, std::string> &journals, std::size_t &violations)
{
    std::map<std::string, RanRecord> ran;
    for (const UpstreamEntry &upstream : topology.upstreams) {
        const auto journal = journals.find(upstream.name);
        if (journal == journals.end()) {
            continue;
        }
        std::istringstream lines(journal->second);
        std::string line;
        while (std::getline(lines, line)) {
            const auto parsed = core::parseJsonObject(line);
            if (!parsed) {
                continue;
            }
            RanRecord &record = ran[core::jsonString(parsed.value(), "request_id")];
            const std::string phase = core::jsonString(parsed.value(), "phase");
            record.started += phase == "started" ? 1 : 0;
            record.finished += phase == "finished" ? 1 : 0;
            const bool allowed = mayUse(topology, core::jsonString(parsed.value(), "workspace"), upstream.region);
            violations += phase == "started" && !allowed ? 1 : 0;
        }
    }
    return ran;
}

} // namespace

Verdicts judge(const Topology &topology, const std::vector<Record> &records, const std::map<std::string, std::string> &journals)
{
    Verdicts verdicts;
    const std::map<std::string, RanRecord> ran = readRan(topology, journals, verdicts.residencyViolations);
    for (const Record &record : records) {
        ++verdicts.requests;
        verdicts.answered += record.told == Told::Answered ? 1 : 0;
        verdicts.refused += record.told == Told::Refused ? 1 : 0;
        verdicts.unknown += record.told == Told::Unknown ? 1 : 0;
        verdicts.crossed += record.crossed ? 1 : 0;
        const auto found = ran.find(record.requestId);
        const RanRecord did = found == ran.end() ? RanRecord{} : found->second;
        verdicts.lost += record.told == Told::Answered && did.finished == 0 ? 1 : 0;
        verdicts.doubled += !record.repeatable && did.started > 1 ? 1 : 0;
        verdicts.falseNotRun += record.told == Told::Refused && did.started > 0 ? 1 : 0;
    }
    return verdicts;
}

//-----------------------------------------------------------------------------
// Report
//-----------------------------------------------------------------------------

namespace {

double percentile(std::vector<double> &values, double part)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(std::lround(part * static_cast<double>(values.size() - 1)));
    return values[index];
}

double toMs(core::Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

json::object classReport(const std::vector<const Record *> &records)
{
    std::vector<double> firstToken;
    std::vector<double> total;
    std::size_t late = 0;
    std::size_t answered = 0;
    for (const Record *record : records) {
        if (record->told == Told::Answered) {
            ++answered;
            firstToken.push_back(toMs(record->firstToken));
            total.push_back(toMs(record->total));
            late += record->late ? 1 : 0;
        }
    }
    return json::object{{"requests", records.size()},
                        {"answered", answered},
                        {"late", late},
                        {"first_token_ms_p50", percentile(firstToken, 0.5)},
                        {"first_token_ms_p95", percentile(firstToken, 0.95)},
                        {"first_token_ms_p99", percentile(firstToken, 0.99)},
                        {"total_ms_p50", percentile(total, 0.5)},
                        {"total_ms_p95", percentile(total, 0.95)},
                        {"total_ms_p99", percentile(total, 0.99)}};
}

double priceOf(const Topology &topology, const std::string &upstream)
{
    for (const UpstreamEntry &entry : topology.upstreams) {
        if (entry.name == upstream) {
            return entry.price;
        }
    }
    return 0;
}

json::object toJson(const Verdicts &verdicts)
{
    return json::object{{"requests", verdicts.requests},
                        {"answered", verdicts.answered},
                        {"refused", verdicts.refused},
                        {"unknown", verdicts.unknown},
                        {"lost", verdicts.lost},
                        {"doubled", verdicts.doubled},
                        {"crossed", verdicts.crossed},
                        {"false_not_run", verdicts.falseNotRun},
                        {"residency_violations", verdicts.residencyViolations}};
}

} // namespace

json::object makeReport(const Topology &topology, const RunResult &result)
{
    std::map<std::string, std::vector<const Record *>> classes;
    std::map<std::string, std::size_t> errors;
    double cost = 0;
    double tokens = 0;
    std::size_t away = 0;
    std::size_t answered = 0;
    std::size_t promptTokens = 0;
    std::size_t cachedTokens = 0;
    for (const Record &record : result.records) {
        classes[record.requestClass].push_back(&record);
        if (record.told != Told::Answered) {
            ++errors[record.errorKind];
            continue;
        }
        ++answered;
        // Prefill that was cached costs a tenth of prefill that was not; a generated token costs four of those.
        const double fresh = static_cast<double>(record.promptTokens - std::min(record.promptTokens, record.cachedTokens));
        const double units = fresh + 0.1 * static_cast<double>(record.cachedTokens) + 4.0 * static_cast<double>(record.tokens);
        cost += record.service ? 0 : units / 1000 * priceOf(topology, record.upstream);
        tokens += static_cast<double>(record.tokens);
        away += record.region != record.entryRegion ? 1 : 0;
        promptTokens += record.promptTokens;
        cachedTokens += record.cachedTokens;
    }
    json::object byClass;
    for (const auto &[name, records] : classes) {
        byClass[name] = classReport(records);
    }
    json::object byError;
    for (const auto &[kind, count] : errors) {
        byError[kind] = count;
    }
    const double share = answered == 0 ? 0 : static_cast<double>(away) / static_cast<double>(answered);
    const double hits = promptTokens == 0 ? 0 : static_cast<double>(cachedTokens) / static_cast<double>(promptTokens);
    return json::object{{"profile", topology.profile},
                        {"verdicts", toJson(result.verdicts)},
                        {"classes", std::move(byClass)},
                        {"errors", std::move(byError)},
                        {"cost", cost},
                        {"tokens", tokens},
                        {"cost_per_1000_tokens", tokens == 0 ? 0 : cost / tokens * 1000},
                        {"sent_away_share", share},
                        {"cache_hit_share", hits}};
}

std::string toTable(const json::object &report)
{
    std::ostringstream out;
    out << std::left << std::setw(12) << "class" << std::right << std::setw(9) << "requests" << std::setw(9) << "answered" << std::setw(6) << "late"
        << std::setw(11) << "first p50" << std::setw(11) << "first p95" << std::setw(11) << "first p99" << std::setw(11) << "total p95"
        << "   (ms)\n";
    out << std::fixed << std::setprecision(1);
    for (const auto &field : core::jsonObject(report, "classes")) {
        const json::object &row = field.value().as_object();
        out << std::left << std::setw(12) << std::string(field.key()) << std::right << std::setw(9) << core::jsonInteger(row, "requests") << std::setw(9)
            << core::jsonInteger(row, "answered") << std::setw(6) << core::jsonInteger(row, "late");
        for (const char *name : {"first_token_ms_p50", "first_token_ms_p95", "first_token_ms_p99", "total_ms_p95"}) {
            out << std::setw(11) << core::jsonNumber(row, name);
        }
        out << '\n';
    }
    out << std::setprecision(4) << "cost " << core::jsonNumber(report, "cost") << "  sent away " << core::jsonNumber(report, "sent_away_share")
        << "  cache hits " << core::jsonNumber(report, "cache_hit_share") << "  errors " << json::serialize(core::jsonObject(report, "errors")) << '\n';
    return out.str();
}

std::string toLine(const Verdicts &verdicts)
{
    std::ostringstream out;
    out << "requests=" << verdicts.requests << " answered=" << verdicts.answered << " refused=" << verdicts.refused << " unknown=" << verdicts.unknown
        << " lost=" << verdicts.lost << " doubled=" << verdicts.doubled << " crossed=" << verdicts.crossed
        << " residency_violations=" << verdicts.residencyViolations;
    return out.str();
}

} // namespace arbutus::loadtool
