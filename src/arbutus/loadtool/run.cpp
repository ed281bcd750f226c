// Traffic generation, consistency check and report.
//
// Sections:
//   Requests     generated requests of each class
//   Traffic      arrivals
//   Consistency  check of records against journals
//   Report       percentiles and fractions

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

constexpr std::size_t ConversationsPerWorkspace = 12; // prompt prefixes shared by the requests of a workspace
constexpr std::size_t PrefixBytes = 3'000;            // length of a conversation's prompt prefix
constexpr auto JournalTimeout = 5'000ms;
constexpr auto JournalSettleDelay = 700ms; // lets upstreams write their last journal lines

//-----------------------------------------------------------------------------
// Requests
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

/// Names of the request classes by purpose.
struct ClassNames
{
    std::string urgent;
    std::string deferrable;
    std::string nonRepeatable;
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

class RequestGenerator
{
public:
    RequestGenerator(const Topology &topology, const RunOptions &options)
        : m_options(options)
        , m_random(options.seed)
        , m_names(classNames(topology))
        , m_prefix("r" + std::to_string(options.seed) + "-" + hex(core::hash64(std::to_string(core::SystemClock().wallNow().time_since_epoch().count()))))
    {
    }

    RequestPlan next(const WorkspaceSpec &workspace)
    {
        RequestPlan plan;
        plan.workspace = &workspace;
        plan.requestId = m_prefix + "-" + std::to_string(++m_count);
        const double draw = uniform();
        if (draw < m_options.nonRepeatableShare && !workspace.services.empty()) {
            fillServiceCall(plan);
        } else {
            fillCompletion(plan, draw < m_options.nonRepeatableShare + m_options.deferrableShare);
        }
        plan.deadline = deadlineOf(plan.requestClass);
        return plan;
    }

    double uniform()
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random);
    }

private:
    void fillServiceCall(RequestPlan &plan)
    {
        plan.isServiceCall = true;
        plan.isRepeatable = false;
        plan.requestClass = m_names.nonRepeatable;
        plan.useIdempotencyKey = uniform() < m_options.idempotencyKeyShare;
        plan.path = "/v1/services/" + plan.workspace->services.front() + "/place";
        plan.body = "{\"order\":\"" + plan.requestId + "\",\"copies\":" + std::to_string(m_random(900) + 1) + "}";
        plan.expectedEcho = hex(core::hash64(plan.body));
    }

    void fillCompletion(RequestPlan &plan, bool deferrable)
    {
        plan.requestClass = deferrable ? m_names.deferrable : m_names.urgent;
        plan.stream = !deferrable;
        plan.maxTokens = static_cast<std::size_t>((deferrable ? 120 : 30 + m_random(40)) * m_options.tokenScale);
        plan.maxTokens = std::max<std::size_t>(2, plan.maxTokens);
        plan.path = "/v1/chat/completions";
        const std::string content = conversationText(plan.workspace->name, m_random(ConversationsPerWorkspace)) + " question " + plan.requestId;
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

/// Traffic of a region at a fraction of the scaled day, relative to its mean.
double dailyLoadFactor(double dayFraction, std::size_t region, std::size_t regions, double amplitude)
{
    const double offset = static_cast<double>(region) / static_cast<double>(regions);
    return 1 + amplitude * std::sin(2 * std::numbers::pi * (dayFraction + offset));
}

struct TrafficRun
{
    asio::io_context context{1};
    core::SystemClock clock;
    std::vector<RequestRecord> records;
    std::map<std::string, std::unique_ptr<CallerGroup>> groups;
    std::map<std::string, std::string> journals;
};

asio::awaitable<void> runRequest(TrafficRun &trafficRun, CallerGroup &group, RequestPlan plan, std::int64_t dueMs)
{
    RequestRecord record = co_await group.run(std::move(plan));
    record.dueMs = dueMs;
    trafficRun.records.push_back(std::move(record));
}

asio::awaitable<void>
generateArrivals(TrafficRun &trafficRun, const Topology &topology, const RunOptions &options, RequestGenerator &generator, const WorkspaceSpec &workspace)
{
    const auto region = std::find(topology.regions.begin(), topology.regions.end(), workspace.homeRegion);
    const auto index = static_cast<std::size_t>(region - topology.regions.begin());
    const core::TimePoint start = trafficRun.clock.steadyNow();
    const auto length = std::chrono::duration<double>(options.seconds);
    CallerGroup &group = *trafficRun.groups.at(workspace.name);
    asio::steady_timer timer(trafficRun.context);
    double arrivalTime = 0; // seconds
    while (true) {
        const double rate =
            options.rate * workspace.trafficShare * dailyLoadFactor(arrivalTime / options.seconds, index, topology.regions.size(), options.peakAmplitude);
        arrivalTime += -std::log(1 - generator.uniform()) / std::max(0.01, rate);
        if (arrivalTime >= length.count()) {
            co_return;
        }
        timer.expires_at(start + std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(arrivalTime)));
        co_await timer.async_wait(asio::use_awaitable);
        asio::co_spawn(
            trafficRun.context, runRequest(trafficRun, group, generator.next(workspace), static_cast<std::int64_t>(arrivalTime * 1000)), asio::detached);
    }
}

asio::awaitable<void> readJournals(TrafficRun &trafficRun, const Topology &topology)
{
    asio::steady_timer timer(trafficRun.context, JournalSettleDelay);
    co_await timer.async_wait(asio::use_awaitable);
    for (const UpstreamSpec &upstream : topology.upstreams) {
        http::Request request;
        request.target = "/journal";
        const http::Endpoint endpoint{"127.0.0.1", upstream.port};
        auto answer = co_await http::fetch(trafficRun.context.get_executor(), endpoint, request, JournalTimeout);
        if (answer) {
            trafficRun.journals[upstream.name] = answer.value().body;
        }
    }
}

std::vector<std::string> regionsOf(const Topology &topology)
{
    std::vector<std::string> out;
    for (const GatewaySpec &gateway : topology.gateways) {
        if (std::find(out.begin(), out.end(), gateway.region) == out.end()) {
            out.push_back(gateway.region);
        }
    }
    return out;
}

} // namespace

RunResult runTraffic(const Topology &deployment, const RunOptions &options)
{
    Topology topology = deployment;
    topology.regions = regionsOf(deployment);
    TrafficRun trafficRun;
    RequestGenerator generator(topology, options);
    for (const WorkspaceSpec &workspace : topology.workspaces) {
        trafficRun.groups[workspace.name] =
            std::make_unique<CallerGroup>(trafficRun.context.get_executor(), trafficRun.clock, topology, workspace, workspace.homeRegion);
        asio::co_spawn(trafficRun.context, generateArrivals(trafficRun, topology, options, generator, workspace), asio::detached);
    }
    trafficRun.context.run();
    trafficRun.context.restart();
    asio::co_spawn(trafficRun.context, readJournals(trafficRun, topology), asio::detached);
    trafficRun.context.run();
    RunResult result;
    result.records = std::move(trafficRun.records);
    result.counts = checkConsistency(topology, result.records, trafficRun.journals);
    return result;
}

//-----------------------------------------------------------------------------
// Consistency
//-----------------------------------------------------------------------------

namespace {

/// Executions of one request by all upstreams.
struct ExecutionCounts
{
    std::size_t started = 0;
    std::size_t finished = 0;
};

bool isRegionAllowed(const Topology &topology, const std::string &workspace, const std::string &region)
{
    for (const WorkspaceSpec &line : topology.workspaces) {
        if (line.name == workspace) {
            return std::find(line.residency.begin(), line.residency.end(), region) != line.residency.end();
        }
    }
    return true;
}

std::map<std::string, ExecutionCounts>
countExecutions(const Topology &topology, const std::map<std::string, std::string> &journals, std::size_t &residencyViolations)
{
    std::map<std::string, ExecutionCounts> executions;
    for (const UpstreamSpec &upstream : topology.upstreams) {
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
            ExecutionCounts &record = executions[core::jsonString(parsed.value(), "request_id")];
            const std::string phase = core::jsonString(parsed.value(), "phase");
            record.started += phase == "started" ? 1 : 0;
            record.finished += phase == "finished" ? 1 : 0;
            const bool allowed = isRegionAllowed(topology, core::jsonString(parsed.value(), "workspace"), upstream.region);
            residencyViolations += phase == "started" && !allowed ? 1 : 0;
        }
    }
    return executions;
}

} // namespace

ConsistencyCounts checkConsistency(const Topology &topology, const std::vector<RequestRecord> &records, const std::map<std::string, std::string> &journals)
{
    ConsistencyCounts counts;
    const std::map<std::string, ExecutionCounts> executions = countExecutions(topology, journals, counts.residencyViolations);
    for (const RequestRecord &record : records) {
        ++counts.requests;
        counts.answered += record.outcome == ClientOutcome::Answered ? 1 : 0;
        counts.refused += record.outcome == ClientOutcome::Refused ? 1 : 0;
        counts.unknown += record.outcome == ClientOutcome::Unknown ? 1 : 0;
        counts.mismatched += record.mismatched ? 1 : 0;
        const auto found = executions.find(record.requestId);
        const ExecutionCounts execution = found == executions.end() ? ExecutionCounts{} : found->second;
        counts.lost += record.outcome == ClientOutcome::Answered && execution.finished == 0 ? 1 : 0;
        counts.duplicated += !record.isRepeatable && execution.started > 1 ? 1 : 0;
        counts.falseNotExecuted += record.outcome == ClientOutcome::Refused && execution.started > 0 ? 1 : 0;
    }
    return counts;
}

//-----------------------------------------------------------------------------
// Report
//-----------------------------------------------------------------------------

namespace {

double percentile(std::vector<double> &values, double fraction)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(std::lround(fraction * static_cast<double>(values.size() - 1)));
    return values[index];
}

double toMs(core::Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

json::object classReport(const std::vector<const RequestRecord *> &records)
{
    std::vector<double> firstToken;
    std::vector<double> total;
    std::size_t late = 0;
    std::size_t answered = 0;
    for (const RequestRecord *record : records) {
        if (record->outcome == ClientOutcome::Answered) {
            ++answered;
            firstToken.push_back(toMs(record->timeToFirstToken));
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
    for (const UpstreamSpec &entry : topology.upstreams) {
        if (entry.name == upstream) {
            return entry.price;
        }
    }
    return 0;
}

json::object toJson(const ConsistencyCounts &counts)
{
    return json::object{{"requests", counts.requests},
                        {"answered", counts.answered},
                        {"refused", counts.refused},
                        {"unknown", counts.unknown},
                        {"lost", counts.lost},
                        {"doubled", counts.duplicated},
                        {"crossed", counts.mismatched},
                        {"false_not_run", counts.falseNotExecuted},
                        {"residency_violations", counts.residencyViolations}};
}

} // namespace

json::object makeReport(const Topology &topology, const RunResult &result)
{
    std::map<std::string, std::vector<const RequestRecord *>> classes;
    std::map<std::string, std::size_t> errors;
    double cost = 0;
    double tokens = 0;
    std::size_t otherRegionCount = 0;
    std::size_t answered = 0;
    std::size_t promptTokens = 0;
    std::size_t cachedTokens = 0;
    for (const RequestRecord &record : result.records) {
        classes[record.requestClass].push_back(&record);
        if (record.outcome != ClientOutcome::Answered) {
            ++errors[record.errorKind];
            continue;
        }
        ++answered;
        // Cost model: a cached prompt token costs a tenth of an uncached one, a generated token four times an uncached one.
        const double uncached = static_cast<double>(record.promptTokens - std::min(record.promptTokens, record.cachedTokens));
        const double units = uncached + 0.1 * static_cast<double>(record.cachedTokens) + 4.0 * static_cast<double>(record.tokens);
        cost += record.isServiceCall ? 0 : units / 1000 * priceOf(topology, record.upstream);
        tokens += static_cast<double>(record.tokens);
        otherRegionCount += record.region != record.callerRegion ? 1 : 0;
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
    const double otherRegionShare = answered == 0 ? 0 : static_cast<double>(otherRegionCount) / static_cast<double>(answered);
    const double cacheHitShare = promptTokens == 0 ? 0 : static_cast<double>(cachedTokens) / static_cast<double>(promptTokens);
    return json::object{{"profile", topology.profile},
                        {"verdicts", toJson(result.counts)},
                        {"classes", std::move(byClass)},
                        {"errors", std::move(byError)},
                        {"cost", cost},
                        {"tokens", tokens},
                        {"cost_per_1000_tokens", tokens == 0 ? 0 : cost / tokens * 1000},
                        {"sent_away_share", otherRegionShare},
                        {"cache_hit_share", cacheHitShare}};
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
    out << std::setprecision(4) << "cost " << core::jsonNumber(report, "cost") << "  served by other regions " << core::jsonNumber(report, "sent_away_share")
        << "  cache hits " << core::jsonNumber(report, "cache_hit_share") << "  errors " << json::serialize(core::jsonObject(report, "errors")) << '\n';
    return out.str();
}

std::string toSummaryLine(const ConsistencyCounts &counts)
{
    std::ostringstream out;
    out << "requests=" << counts.requests << " answered=" << counts.answered << " refused=" << counts.refused << " unknown=" << counts.unknown
        << " lost=" << counts.lost << " doubled=" << counts.duplicated << " crossed=" << counts.mismatched
        << " residency_violations=" << counts.residencyViolations;
    return out.str();
}

} // namespace arbutus::loadtool
