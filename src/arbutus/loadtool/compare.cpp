// Paired latency measurements and the throughput measurement.

#include "arbutus/loadtool/compare.h"

#include "arbutus/core/clock.h"
#include "arbutus/core/json.h"
#include "arbutus/http/client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <functional>
#include <sstream>

namespace arbutus::loadtool {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

constexpr auto CallTimeout = 20'000ms;
constexpr std::size_t UserTimeFieldIndex = 13; // zero-based index of utime in /proc/PID/stat

/// Timings of one call, in milliseconds.
struct Timing
{
    bool succeeded = false;
    double firstToken = 0;
    double meanGap = 0; // mean interval between chunks
    double total = 0;
};

struct CompareContext
{
    asio::io_context ioContext{1};
    core::SystemClock clock;
    const Topology &topology;
    const WorkspaceSpec &workspace;
    http::Endpoint gateway;
    http::Endpoint model;
    http::Endpoint service;
    std::string serviceName;
    std::int64_t pid = 0;
    std::uint64_t requestCount = 0;

    explicit CompareContext(const Topology &deployment)
        : topology(deployment)
        , workspace(deployment.workspaces.front())
        , gateway{"127.0.0.1", deployment.gateways.front().callersPort}
        , pid(deployment.gateways.front().pid)
    {
        for (const UpstreamSpec &upstream : deployment.upstreams) {
            if (upstream.region == deployment.gateways.front().region) {
                http::Endpoint &slot = upstream.isModelEngine ? model : service;
                slot = slot.port == 0 ? http::Endpoint{"127.0.0.1", upstream.port} : slot;
            }
        }
        serviceName = workspace.services.front();
    }

    double nowMs() const
    {
        return std::chrono::duration<double, std::milli>(clock.steadyNow().time_since_epoch()).count();
    }

    http::Request baseRequest(const char *requestClass)
    {
        http::Request request;
        request.method = "POST";
        request.headers["Content-Type"] = "application/json";
        request.headers["Authorization"] = "Bearer " + workspace.key;
        request.headers["X-Workspace"] = workspace.name;
        request.headers["X-Request-Class"] = requestClass;
        request.headers["X-Request-Id"] = "compare-" + std::to_string(++requestCount);
        request.headers["X-Attempt-Id"] = "compare-" + std::to_string(requestCount);
        return request;
    }
};

http::Request streamRequest(CompareContext &context, std::size_t tokens)
{
    http::Request request = context.baseRequest(context.topology.profile == "papiro" ? "counter" : "desk");
    request.target = "/v1/chat/completions";
    request.body = "{\"model\":\"" + context.workspace.models.front() + "\",\"stream\":true,\"max_tokens\":" + std::to_string(tokens)
        + ",\"messages\":[{\"role\":\"user\",\"content\":\"q" + std::to_string(context.requestCount) + "\"}]}";
    return request;
}

asio::awaitable<Timing> timeStream(CompareContext &context, http::Endpoint endpoint, http::Request request)
{
    Timing timing;
    const double start = context.nowMs();
    http::Call call(context.ioContext.get_executor(), endpoint);
    auto head = co_await call.start(request, CallTimeout);
    if (!head || head.value().status != 200) {
        co_return timing;
    }
    double last = 0;
    std::size_t pieces = 0;
    while (true) {
        auto piece = co_await call.readSome(CallTimeout);
        if (!piece) {
            co_return timing;
        }
        if (piece.value().empty()) {
            break;
        }
        last = context.nowMs();
        timing.firstToken = pieces == 0 ? last - start : timing.firstToken;
        ++pieces;
    }
    timing.succeeded = true;
    timing.total = context.nowMs() - start;
    timing.meanGap = pieces > 1 ? (last - start - timing.firstToken) / static_cast<double>(pieces - 1) : 0;
    co_return timing;
}

asio::awaitable<Timing> timeCall(CompareContext &context, http::Endpoint endpoint, http::Request request)
{
    Timing timing;
    const double start = context.nowMs();
    const auto answer = co_await http::fetch(context.ioContext.get_executor(), endpoint, request, CallTimeout);
    timing.succeeded = answer && answer.value().status == 200;
    timing.total = context.nowMs() - start;
    timing.firstToken = timing.total;
    co_return timing;
}

asio::awaitable<std::string> fetchTicket(CompareContext &context)
{
    http::Request request;
    request.method = "POST";
    request.target = "/v1/tickets?workspace=" + context.workspace.name + "&count=1";
    request.headers["Authorization"] = "Bearer " + context.workspace.key;
    const auto answer = co_await http::fetch(context.ioContext.get_executor(), context.gateway, request, CallTimeout);
    if (!answer) {
        co_return std::string();
    }
    const auto body = core::parseJsonObject(answer.value().body);
    const json::array &tickets = body ? core::jsonArray(body.value(), "tickets") : json::array();
    co_return tickets.empty() ? std::string() : std::string(tickets.front().as_string());
}

double quantile(std::vector<double> values, double fraction)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(std::lround(fraction * static_cast<double>(values.size() - 1)))];
}

json::object pairedSummary(const std::vector<Timing> &viaGateway, const std::vector<Timing> &direct, double Timing::*field)
{
    std::vector<double> added;
    std::vector<double> baseline;
    for (std::size_t i = 0; i < std::min(viaGateway.size(), direct.size()); ++i) {
        if (viaGateway[i].succeeded && direct[i].succeeded) {
            added.push_back(viaGateway[i].*field - direct[i].*field);
            baseline.push_back(direct[i].*field);
        }
    }
    return json::object{{"pairs", added.size()},
                        {"direct_p50_ms", quantile(baseline, 0.5)},
                        {"direct_p99_ms", quantile(baseline, 0.99)},
                        {"added_p50_ms", quantile(added, 0.5)},
                        {"added_p99_ms", quantile(added, 0.99)}};
}

double cpuSeconds(std::int64_t pid)
{
    std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
    std::string line;
    std::getline(in, line);
    std::istringstream fields(line.substr(line.rfind(')') + 2)); // starts at the third field, after the program name
    std::string skipped;
    for (std::size_t i = 2; i < UserTimeFieldIndex; ++i) {
        fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

asio::awaitable<void> measurePairs(CompareContext &context, const CompareOptions &options, json::object &report)
{
    std::vector<Timing> direct;
    std::vector<Timing> viaGateway;
    std::vector<Timing> serviceDirect;
    std::vector<Timing> serviceViaGateway;
    std::vector<Timing> serviceWithTicket;
    const char *nonRepeatableClass = context.topology.profile == "papiro" ? "charge" : "order";
    const char *repeatableClass = context.topology.profile == "papiro" ? "counter" : "desk";
    for (std::size_t i = 0; i < options.pairs; ++i) {
        http::Request streamed = streamRequest(context, options.tokens);
        direct.push_back(co_await timeStream(context, context.model, streamed));
        streamed = streamRequest(context, options.tokens);
        viaGateway.push_back(co_await timeStream(context, context.gateway, streamed));
        http::Request call = context.baseRequest(repeatableClass);
        call.target = "/place";
        call.body = "{}";
        serviceDirect.push_back(co_await timeCall(context, context.service, call));
        call = context.baseRequest(repeatableClass);
        call.target = "/v1/services/" + context.serviceName + "/place";
        call.body = "{}";
        serviceViaGateway.push_back(co_await timeCall(context, context.gateway, call));
        const std::string ticket = co_await fetchTicket(context); // not timed, because clients fetch tickets in advance
        call = context.baseRequest(nonRepeatableClass);
        call.target = "/v1/services/" + context.serviceName + "/place";
        call.body = "{}";
        call.headers["X-Ticket"] = ticket;
        serviceWithTicket.push_back(co_await timeCall(context, context.gateway, call));
    }
    report["first_token"] = pairedSummary(viaGateway, direct, &Timing::firstToken);
    report["between_tokens"] = pairedSummary(viaGateway, direct, &Timing::meanGap);
    report["whole_stream"] = pairedSummary(viaGateway, direct, &Timing::total);
    report["service_call"] = pairedSummary(serviceViaGateway, serviceDirect, &Timing::total);
    report["ticket_over_repeatable"] = pairedSummary(serviceWithTicket, serviceViaGateway, &Timing::total);
}

asio::awaitable<void> runOneStream(CompareContext &context, std::size_t tokens, std::size_t &succeeded, std::size_t &remaining)
{
    http::Request request = streamRequest(context, tokens);
    request.headers["X-Deadline-Ms"] = "8000";
    const Timing timing = co_await timeStream(context, context.gateway, request);
    succeeded += timing.succeeded ? 1 : 0;
    --remaining;
}

} // namespace

json::object compareWithDirect(const Topology &topology, const CompareOptions &options)
{
    CompareContext context(topology);
    json::object report;
    asio::co_spawn(context.ioContext, measurePairs(context, options, report), asio::detached);
    context.ioContext.run();

    std::size_t succeeded = 0;
    std::size_t remaining = options.streams;
    const double cpuBefore = cpuSeconds(context.pid);
    const double wallBefore = context.nowMs();
    for (std::size_t i = 0; i < options.streams; ++i) {
        asio::co_spawn(context.ioContext, runOneStream(context, options.streamTokens, succeeded, remaining), asio::detached);
    }
    context.ioContext.restart();
    context.ioContext.run();
    const double cpuTime = cpuSeconds(context.pid) - cpuBefore;
    const double wallTime = (context.nowMs() - wallBefore) / 1000;
    const double tokens = static_cast<double>(succeeded * options.streamTokens);
    report["throughput"] = json::object{{"streams", options.streams},
                                        {"answered", succeeded},
                                        {"tokens", tokens},
                                        {"wall_s", wallTime},
                                        {"gateway_processor_s", cpuTime},
                                        {"tokens_per_wall_s", tokens / wallTime},
                                        {"tokens_per_processor_s", cpuTime > 0 ? tokens / cpuTime : 0}};
    return report;
}

} // namespace arbutus::loadtool
