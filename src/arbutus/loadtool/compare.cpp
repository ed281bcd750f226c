// Pairs of calls and their differences.

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
constexpr std::size_t UserTimeField = 13; // of /proc/PID/stat after the program's name, counted from 0 as a whole line

/// Timings of one call, milliseconds.
struct Timing
{
    bool good = false;
    double firstToken = 0;
    double gap = 0; // mean between pieces
    double total = 0;
};

struct World
{
    asio::io_context context{1};
    core::SystemClock clock;
    const Topology &topology;
    const WorkspaceLine &workspace;
    http::Endpoint gateway;
    http::Endpoint model;
    http::Endpoint service;
    std::string serviceName;
    std::int64_t pid = 0;
    std::uint64_t count = 0;

    explicit World(const Topology &given)
        : topology(given)
        , workspace(given.workspaces.front())
        , gateway{"127.0.0.1", given.gateways.front().callersPort}
        , pid(given.gateways.front().pid)
    {
        for (const UpstreamEntry &upstream : given.upstreams) {
            if (upstream.region == given.gateways.front().region) {
                http::Endpoint &slot = upstream.model ? model : service;
                slot = slot.port == 0 ? http::Endpoint{"127.0.0.1", upstream.port} : slot;
            }
        }
        serviceName = workspace.services.front();
    }

    double nowMs() const
    {
        return std::chrono::duration<double, std::milli>(clock.steadyNow().time_since_epoch()).count();
    }

    http::Request base(const char *requestClass)
    {
        http::Request request;
        request.method = "POST";
        request.headers["Content-Type"] = "application/json";
        request.headers["Authorization"] = "Bearer " + workspace.key;
        request.headers["X-Workspace"] = workspace.name;
        request.headers["X-Request-Class"] = requestClass;
        request.headers["X-Request-Id"] = "compare-" + std::to_string(++count);
        request.headers["X-Attempt-Id"] = "compare-" + std::to_string(count);
        return request;
    }
};

http::Request streamRequest(World &world, std::size_t tokens)
{
    http::Request request = world.base(world.topology.profile == "papiro" ? "counter" : "desk");
    request.target = "/v1/chat/completions";
    request.body = "{\"model\":\"" + world.workspace.models.front() + "\",\"stream\":true,\"max_tokens\":" + std::to_string(tokens)
        + ",\"messages\":[{\"role\":\"user\",\"content\":\"q" + std::to_string(world.count) + "\"}]}";
    return request;
}

asio::awaitable<Timing> timeStream(World &world, http::Endpoint endpoint, http::Request request)
{
    Timing timing;
    const double start = world.nowMs();
    http::Call call(world.context.get_executor(), endpoint);
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
        last = world.nowMs();
        timing.firstToken = pieces == 0 ? last - start : timing.firstToken;
        ++pieces;
    }
    timing.good = true;
    timing.total = world.nowMs() - start;
    timing.gap = pieces > 1 ? (last - start - timing.firstToken) / static_cast<double>(pieces - 1) : 0;
    co_return timing;
}

asio::awaitable<Timing> timeCall(World &world, http::Endpoint endpoint, http::Request request)
{
    Timing timing;
    const double start = world.nowMs();
    const auto answer = co_await http::fetch(world.context.get_executor(), endpoint, request, CallTimeout);
    timing.good = answer && answer.value().status == 200;
    timing.total = world.nowMs() - start;
    timing.firstToken = timing.total;
    co_return timing;
}

asio::awaitable<std::string> fetchTicket(World &world)
{
    http::Request request;
    request.method = "POST";
    request.target = "/v1/tickets?workspace=" + world.workspace.name + "&count=1";
    request.headers["Authorization"] = "Bearer " + world.workspace.key;
    const auto answer = co_await http::fetch(world.context.get_executor(), world.gateway, request, CallTimeout);
    if (!answer) {
        co_return std::string();
    }
    const auto body = core::parseJsonObject(answer.value().body);
    const json::array &tickets = body ? core::jsonArray(body.value(), "tickets") : json::array();
    co_return tickets.empty() ? std::string() : std::string(tickets.front().as_string());
}

double quantile(std::vector<double> values, double part)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(std::lround(part * static_cast<double>(values.size() - 1)))];
}

json::object summary(const std::vector<Timing> &through, const std::vector<Timing> &direct, double Timing::*field)
{
    std::vector<double> added;
    std::vector<double> base;
    for (std::size_t i = 0; i < std::min(through.size(), direct.size()); ++i) {
        if (through[i].good && direct[i].good) {
            added.push_back(through[i].*field - direct[i].*field);
            base.push_back(direct[i].*field);
        }
    }
    return json::object{{"pairs", added.size()},
                        {"direct_p50_ms", quantile(base, 0.5)},
                        {"direct_p99_ms", quantile(base, 0.99)},
                        {"added_p50_ms", quantile(added, 0.5)},
                        {"added_p99_ms", quantile(added, 0.99)}};
}

double processorSeconds(std::int64_t pid)
{
    std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
    std::string line;
    std::getline(in, line);
    std::istringstream fields(line.substr(line.rfind(')') + 2)); // from the third field on
    std::string skipped;
    for (std::size_t i = 2; i < UserTimeField; ++i) {
        fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

asio::awaitable<void> pairs(World &world, const CompareOptions &options, json::object &report)
{
    std::vector<Timing> direct;
    std::vector<Timing> through;
    std::vector<Timing> plainDirect;
    std::vector<Timing> plain;
    std::vector<Timing> ticketed;
    const char *once = world.topology.profile == "papiro" ? "charge" : "order";
    const char *usual = world.topology.profile == "papiro" ? "counter" : "desk";
    for (std::size_t i = 0; i < options.pairs; ++i) {
        http::Request streamed = streamRequest(world, options.tokens);
        direct.push_back(co_await timeStream(world, world.model, streamed));
        streamed = streamRequest(world, options.tokens);
        through.push_back(co_await timeStream(world, world.gateway, streamed));
        http::Request call = world.base(usual);
        call.target = "/place";
        call.body = "{}";
        plainDirect.push_back(co_await timeCall(world, world.service, call));
        call = world.base(usual);
        call.target = "/v1/services/" + world.serviceName + "/place";
        call.body = "{}";
        plain.push_back(co_await timeCall(world, world.gateway, call));
        const std::string ticket = co_await fetchTicket(world); // not timed: callers have them at hand
        call = world.base(once);
        call.target = "/v1/services/" + world.serviceName + "/place";
        call.body = "{}";
        call.headers["X-Ticket"] = ticket;
        ticketed.push_back(co_await timeCall(world, world.gateway, call));
    }
    report["first_token"] = summary(through, direct, &Timing::firstToken);
    report["between_tokens"] = summary(through, direct, &Timing::gap);
    report["whole_stream"] = summary(through, direct, &Timing::total);
    report["service_call"] = summary(plain, plainDirect, &Timing::total);
    report["ticket_over_repeatable"] = summary(ticketed, plain, &Timing::total);
}

asio::awaitable<void> oneOfMany(World &world, std::size_t tokens, std::size_t &good, std::size_t &left)
{
    http::Request request = streamRequest(world, tokens);
    request.headers["X-Deadline-Ms"] = "8000";
    const Timing timing = co_await timeStream(world, world.gateway, request);
    good += timing.good ? 1 : 0;
    --left;
}

} // namespace

json::object compareWithDirect(const Topology &topology, const CompareOptions &options)
{
    World world(topology);
    json::object report;
    asio::co_spawn(world.context, pairs(world, options, report), asio::detached);
    world.context.run();

    std::size_t good = 0;
    std::size_t left = options.streams;
    const double processorBefore = processorSeconds(world.pid);
    const double wallBefore = world.nowMs();
    for (std::size_t i = 0; i < options.streams; ++i) {
        asio::co_spawn(world.context, oneOfMany(world, options.streamTokens, good, left), asio::detached);
    }
    world.context.restart();
    world.context.run();
    const double processor = processorSeconds(world.pid) - processorBefore;
    const double wall = (world.nowMs() - wallBefore) / 1000;
    const double tokens = static_cast<double>(good * options.streamTokens);
    report["throughput"] = json::object{{"streams", options.streams},
                                        {"answered", good},
                                        {"tokens", tokens},
                                        {"wall_s", wall},
                                        {"gateway_processor_s", processor},
                                        {"tokens_per_wall_s", tokens / wall},
                                        {"tokens_per_processor_s", processor > 0 ? tokens / processor : 0}};
    return report;
}

} // namespace arbutus::loadtool
