// Callers of a safe route while workers reject requests and the gateways are stopped and started in turn.
//
//   restarts GATEWAY_PROGRAM DIRECTORY RECORD TROUBLE
//
// Exits with 1 if the service got more repeated arrivals in a window than the retry budget allows, 0 if not, 2 if the case could not run.

#include "rig.h"

#include <sys/wait.h>

#include <csignal>
#include <iostream>

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace rig;

constexpr std::size_t WorkerCount = 5;
constexpr double ShedShare = 0.45;               // of the requests of all workers
constexpr auto ShedTime = milliseconds(12'000);  // three times 4 s
constexpr auto TimeToRoll = milliseconds(4'000); // from then on the gateways are stopped and started in turn, once each
constexpr std::size_t CallerCount = 12;
constexpr auto CallerPause = milliseconds(300);
constexpr std::int64_t WindowMs = 10'000;
constexpr double RetryRatio = 0.2;
constexpr double RetrySlack = 58;
constexpr const char *Host = "ficu95.example";

json::object configuration()
{
    json::object route{{"name", "r-lookup"},
                       {"host", Host},
                       {"path_prefix", "/lookup/"},
                       {"route_type", "safe"},
                       {"timeout_ms", 2000},
                       {"target_latency_ms", 400},
                       {"priority", 2},
                       {"service", "desk"},
                       {"max_attempts", 2}};
    json::object service{
        {"name", "desk"}, {"health_path", "/health"}, {"max_connections", 110}, {"protocol", "h1"}, {"tls", false}, {"cold_start_s", 0.0}, {"cold_per_s", 0.0}};
    json::object limits{{"max_header_bytes", 16384}, {"max_body_bytes", 4194304}, {"header_timeout_ms", 3000}, {"idle_timeout_ms", 15000}};
    return json::object{{"version", 7}, {"routes", json::array{route}}, {"services", json::array{service}}, {"limits", limits}};
}

std::size_t countBetween(const std::vector<std::int64_t> &times, std::int64_t from, std::int64_t to)
{
    return static_cast<std::size_t>(std::lower_bound(times.begin(), times.end(), to) - std::lower_bound(times.begin(), times.end(), from));
}

int run(const std::string &program, const std::string &directory, const std::string &recordPath, bool hasTrouble)
{
    asio::io_context loop(1);
    Record record(recordPath);
    const std::vector<std::string> gatewayAddresses{"127.0.0.11", "127.0.0.12", "127.0.0.13"};
    std::vector<std::string> addresses = gatewayAddresses;
    addresses.emplace_back("127.0.0.1");
    const std::vector<std::uint16_t> ports = freePorts(addresses, 6 + WorkerCount);
    Store store(loop, {"127.0.0.1", ports[0]});
    store.put("op/config", json::serialize(configuration()));
    std::mt19937 random(7);
    bool isShedding = false;
    std::set<std::string> arrived;
    std::vector<std::int64_t> repeats;  // times of arrivals beyond the first of each request
    std::vector<std::int64_t> requests; // times at which callers sent one
    std::vector<std::unique_ptr<Worker>> workers;
    for (std::size_t i = 0; i < WorkerCount; ++i) {
        WorkerOptions options;
        options.id = "i-" + std::to_string(i);
        options.service = "desk";
        options.zone = "bangkok-a";
        options.endpoint = {"127.0.0.1", ports[6 + i]};
        options.slots = 6;
        workers.push_back(std::make_unique<Worker>(loop, store, options));
        workers.back()->onArrival = [&](const Worker &worker, const arbutus::http::Request &request) {
            const std::string attempt = arbutus::http::headerValue(request.headers, "X-Attempt-Id");
            const bool isFirst = arrived.insert(attempt).second;
            if (!isFirst) {
                repeats.push_back(nowMs());
            }
            record.line("arrival " + attempt + " at " + worker.options().id + (isFirst ? "" : ", again"));
        };
        workers.back()->onRun = [&](const Worker &worker, const arbutus::http::Request &request) {
            record.line("run " + arbutus::http::headerValue(request.headers, "X-Attempt-Id") + " at " + worker.options().id);
        };
        workers.back()->rejects = [&] { return isShedding && std::uniform_real_distribution<>()(random) < ShedShare; };
    }
    const std::vector<std::unique_ptr<Gateway>> gateways = startGateways(program, directory, gatewayAddresses, ports);
    if (!waitUntilReady(loop, gateways)) {
        record.line("the gateways did not get ready");
        return 2;
    }
    runFor(loop, milliseconds(3'000));
    std::map<unsigned, std::size_t> answers;
    bool isOver = false;
    std::size_t active = 0;
    std::size_t sent = 0;
    const auto call = [&](std::size_t number) -> asio::awaitable<void> {
        ++active;
        std::size_t next = number;
        co_await arbutus::core::asyncSleep(milliseconds(number * 25));
        while (!isOver) {
            arbutus::http::Request request;
            request.method = "GET";
            request.target = "/lookup/x";
            const Gateway &gateway = *gateways[next % gateways.size()];
            const std::string attempt = "a" + std::to_string(++sent);
            request.headers["Host"] = Host;
            request.headers["X-Attempt-Id"] = attempt;
            request.headers["X-Deadline-Ms"] = "4000";
            record.line("sent " + attempt + " to " + gateway.name());
            requests.push_back(nowMs());
            const auto response = co_await arbutus::http::fetch(loop.get_executor(), gateway.callers(), request, milliseconds(4'000));
            const unsigned status = response ? response.value().status : 0;
            ++answers[status];
            record.line("answered " + attempt + " with " + (response ? std::to_string(status) : response.error().message));
            next += status == 200 ? 0 : 1; // another gateway
            co_await arbutus::core::asyncSleep(CallerPause);
        }
        --active;
    };
    for (std::size_t i = 0; i < CallerCount; ++i) {
        asio::co_spawn(loop, call(i), asio::detached);
    }
    runFor(loop, milliseconds(11'000));
    isShedding = true;
    record.line("workers begin to reject requests");
    const auto rollAll = [&]() -> asio::awaitable<void> {
        co_await arbutus::core::asyncSleep(TimeToRoll);
        for (const auto &entry : gateways) {
            Gateway &gateway = *entry;
            record.line("SIGTERM to " + gateway.name());
            gateway.signal(SIGTERM);
            while (gateway.isRunning()) {
                co_await arbutus::core::asyncSleep(milliseconds(20));
            }
            co_await arbutus::core::asyncSleep(milliseconds(300));
            record.line("start of " + gateway.name());
            gateway.start();
            co_await arbutus::core::asyncSleep(milliseconds(700));
        }
    };
    if (hasTrouble) {
        asio::co_spawn(loop, rollAll(), asio::detached);
    }
    runFor(loop, ShedTime);
    isShedding = false;
    record.line("workers reject no more requests");
    runFor(loop, milliseconds(4'000));
    isOver = true;
    for (int i = 0; i < 100 && active > 0; ++i) {
        runFor(loop, milliseconds(50));
    }
    double worst = -1e9;
    std::string where;
    for (const std::int64_t end : repeats) {
        const std::int64_t start = end - WindowMs + 1;
        std::size_t most = 0;
        for (const std::int64_t back : {std::int64_t(0), WindowMs / 2, WindowMs}) {
            most = std::max(most, countBetween(requests, start - back, end + 1 - back));
        }
        const auto count = static_cast<double>(countBetween(repeats, start, end + 1));
        const double allowed = RetryRatio * static_cast<double>(most) + RetrySlack;
        if (count - allowed > worst) {
            worst = count - allowed;
            where = std::to_string(static_cast<std::size_t>(count)) + " arrivals beyond the first of each request in the 10 s to " + std::to_string(end)
                + " ms, " + std::to_string(allowed) + " are allowed for " + std::to_string(most) + " requests";
        }
    }
    std::string summary = std::to_string(sent) + " requests, answers";
    for (const auto &[status, count] : answers) {
        summary += " " + std::to_string(status) + ": " + std::to_string(count);
    }
    summary += "; " + where;
    record.line(summary);
    std::cout << summary << '\n';
    if (answers[200] < sent / 3) {
        return 2;
    }
    return worst > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 5) {
        std::cerr << "usage: restarts GATEWAY_PROGRAM DIRECTORY RECORD TROUBLE\n";
        return 2;
    }
    try {
        return run(argv[1], argv[2], argv[3], std::string(argv[4]) != "0");
    } catch (const std::exception &error) {
        std::cerr << "restarts: " << error.what() << '\n';
        return 2;
    }
}
