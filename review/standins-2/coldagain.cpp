// A worker that starts cold during traffic, and becomes cold again before it is warm.
//
//   coldagain GATEWAY_PROGRAM DIRECTORY RECORD TROUBLE
//
// Exits with 1 if a cold worker got more requests in one second than the rule allows, 0 if not, 2 if the case could not run.

#include "rig.h"

#include <iostream>

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace rig;

constexpr std::size_t WarmWorkers = 2;
constexpr std::size_t Episodes = 4; // each with a new worker
constexpr auto EpisodeTime = milliseconds(9'000);
constexpr auto ColdTime = milliseconds(3'000); // cold_start_s
constexpr auto ColdAgainAfter = milliseconds(2'000);
constexpr double ColdPerSecond = 2.2;
constexpr double Allowed = ColdPerSecond * 1.5 + 3; // cold_overshoot and cold_slack
constexpr auto RequestInterval = milliseconds(11);
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
    json::object service{{"name", "desk"},
                         {"health_path", "/health"},
                         {"max_connections", 370},
                         {"protocol", "h1"},
                         {"tls", false},
                         {"cold_start_s", 3.0},
                         {"cold_per_s", ColdPerSecond}};
    json::object limits{{"max_header_bytes", 16384}, {"max_body_bytes", 4194304}, {"header_timeout_ms", 3000}, {"idle_timeout_ms", 15000}};
    return json::object{{"version", 7}, {"routes", json::array{route}}, {"services", json::array{service}}, {"limits", limits}};
}

int run(const std::string &program, const std::string &directory, const std::string &recordPath, bool hasTrouble)
{
    asio::io_context loop(1);
    Record record(recordPath);
    const std::vector<std::string> gatewayAddresses{"127.0.0.11", "127.0.0.12", "127.0.0.13", "127.0.0.14"};
    std::vector<std::string> addresses = gatewayAddresses;
    addresses.emplace_back("127.0.0.1");
    const std::vector<std::uint16_t> ports = freePorts(addresses, 6 + WarmWorkers + Episodes);
    Store store(loop, {"127.0.0.1", ports[0]});
    store.put("op/config", json::serialize(configuration()));
    std::map<std::string, std::int64_t> sentAt;
    std::map<std::string, std::vector<std::pair<std::int64_t, std::int64_t>>> arrivals; // at cold workers: when they arrived and were sent
    std::vector<std::unique_ptr<Worker>> workers;
    const auto addWorker = [&](std::size_t number, bool isCold) {
        WorkerOptions options;
        options.id = "i-" + std::to_string(number);
        options.service = "desk";
        options.zone = "bangkok-a";
        options.endpoint = {"127.0.0.1", ports[6 + number]};
        options.slots = isCold ? 16 : 3;
        options.work = milliseconds(60);
        options.coldFor = isCold ? ColdTime : milliseconds(0);
        workers.push_back(std::make_unique<Worker>(loop, store, options));
        workers.back()->onArrival = [&](const Worker &worker, const arbutus::http::Request &request) {
            const std::string attempt = arbutus::http::headerValue(request.headers, "X-Attempt-Id");
            const bool isColdNow = worker.coldRemaining() > milliseconds(0);
            record.line("arrival " + attempt + " at " + worker.options().id + (isColdNow ? ", cold" : ""));
            if (isColdNow) {
                arrivals[worker.options().id].emplace_back(nowMs(), sentAt[attempt]);
            }
        };
        workers.back()->onRun = [&](const Worker &worker, const arbutus::http::Request &request) {
            record.line("run " + arbutus::http::headerValue(request.headers, "X-Attempt-Id") + " at " + worker.options().id);
        };
    };
    for (std::size_t i = 0; i < WarmWorkers; ++i) {
        addWorker(i, false);
    }
    const std::vector<std::unique_ptr<Gateway>> gateways = startGateways(program, directory, gatewayAddresses, ports);
    if (!waitUntilReady(loop, gateways)) {
        record.line("the gateways did not get ready");
        return 2;
    }
    runFor(loop, milliseconds(3'000));
    std::map<unsigned, std::size_t> answers;
    std::vector<std::unique_ptr<arbutus::http::ConnectionPool>> pools;
    for (std::size_t i = 0; i < gateways.size(); ++i) {
        pools.push_back(std::make_unique<arbutus::http::ConnectionPool>());
    }
    bool isOver = false;
    std::size_t sent = 0;
    std::size_t open = 0;
    const auto callOnce = [&](std::size_t number) -> asio::awaitable<void> {
        ++open;
        const std::size_t gateway = number % gateways.size();
        arbutus::http::Request request;
        request.method = "GET";
        request.target = "/lookup/x";
        const std::string attempt = "a" + std::to_string(number);
        request.headers["Host"] = Host;
        request.headers["X-Attempt-Id"] = attempt;
        request.headers["X-Deadline-Ms"] = "4000";
        sentAt[attempt] = nowMs();
        record.line("sent " + attempt + " to " + gateways[gateway]->name());
        arbutus::http::CallOptions options;
        options.pool = pools[gateway].get();
        options.retryOnStaleConnection = false;
        const auto response =
            co_await arbutus::http::fetch(loop.get_executor(), gateways[gateway]->callers(), request, milliseconds(4'000), std::move(options));
        const unsigned status = response ? response.value().status : 0;
        ++answers[status];
        record.line("answered " + attempt + " with " + (response ? std::to_string(status) : response.error().message));
        --open;
    };
    const auto callAll = [&]() -> asio::awaitable<void> {
        while (!isOver) {
            asio::co_spawn(loop, callOnce(++sent), asio::detached);
            co_await arbutus::core::asyncSleep(RequestInterval);
        }
    };
    asio::co_spawn(loop, callAll(), asio::detached);
    runFor(loop, milliseconds(4'000));
    for (std::size_t i = 0; i < Episodes; ++i) {
        addWorker(WarmWorkers + i, true);
        Worker &worker = *workers.back();
        record.line(worker.options().id + " has started, cold for 3 s");
        runFor(loop, ColdAgainAfter);
        if (hasTrouble) {
            worker.becomeCold(ColdTime);
            record.line(worker.options().id + " has become cold again, for 3 s");
        }
        runFor(loop, EpisodeTime - ColdAgainAfter);
        worker.leave();
        record.line(worker.options().id + " has left");
        runFor(loop, milliseconds(1'000));
    }
    isOver = true;
    for (int i = 0; i < 100 && open > 0; ++i) {
        runFor(loop, milliseconds(50));
    }
    std::size_t most = 0;
    std::size_t beyond = 0; // workers
    for (const auto &[id, times] : arrivals) {
        std::size_t mostHere = 0;
        for (std::size_t first = 0; first < times.size(); ++first) {
            const std::int64_t start = times[first].second; // of a second in which it was sent
            const auto isWithin = [&](const auto &item) { return item.second >= start && item.first < start + 1'000; };
            mostHere = std::max(mostHere, static_cast<std::size_t>(std::count_if(times.begin(), times.end(), isWithin)));
        }
        record.line(id + " got " + std::to_string(mostHere) + " requests in one second while it was cold");
        most = std::max(most, mostHere);
        beyond += static_cast<double>(mostHere) > Allowed ? 1 : 0;
    }
    std::string summary = std::to_string(sent) + " requests, answers";
    for (const auto &[status, count] : answers) {
        summary += " " + std::to_string(status) + ": " + std::to_string(count);
    }
    summary += "; " + std::to_string(beyond) + " of " + std::to_string(Episodes) + " cold workers got more than 6.3 requests in one second, the most "
        + std::to_string(most);
    record.line(summary);
    std::cout << summary << '\n';
    if (answers[200] < sent / 3) {
        return 2;
    }
    return beyond > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 5) {
        std::cerr << "usage: coldagain GATEWAY_PROGRAM DIRECTORY RECORD TROUBLE\n";
        return 2;
    }
    try {
        return run(argv[1], argv[2], argv[3], std::string(argv[4]) != "0");
    } catch (const std::exception &error) {
        std::cerr << "coldagain: " << error.what() << '\n';
        return 2;
    }
}
