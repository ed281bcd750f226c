// Callers of a safe route with max_attempts = 2, while workers lose answers of requests that they have run.
//
//   lostanswers GATEWAY_PROGRAM DIRECTORY RECORD TROUBLE
//
// Exits with 1 if more than three requests ran on more workers than max_attempts, 0 if not, 2 if the case could not run.

#include "rig.h"

#include <cstdlib>
#include <iostream>

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace rig;

constexpr std::size_t WorkerCount = 5;
constexpr std::size_t LossyWorkers = 3; // share 0.6
constexpr double LostShare = 0.4;       // of the answers of these workers
constexpr auto LossDuration = milliseconds(4'000);
constexpr std::size_t CallerCount = 48;
constexpr auto CallerPause = milliseconds(70);
constexpr std::size_t MaxAttempts = 2;
constexpr std::size_t Allowed = 3; // requests beyond max_attempts
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
                       {"max_attempts", MaxAttempts}};
    json::object service{
        {"name", "desk"}, {"health_path", "/health"}, {"max_connections", 110}, {"protocol", "h1"}, {"tls", false}, {"cold_start_s", 0.0}, {"cold_per_s", 0.0}};
    json::object limits{{"max_header_bytes", 16384}, {"max_body_bytes", 4194304}, {"header_timeout_ms", 3000}, {"idle_timeout_ms", 15000}};
    return json::object{{"version", 7}, {"routes", json::array{route}}, {"services", json::array{service}}, {"limits", limits}};
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
    bool isLossy = false;
    std::map<std::string, std::set<std::string>> runs; // workers by attempt
    std::map<std::string, std::size_t> runCounts;
    std::vector<std::unique_ptr<Worker>> workers;
    for (std::size_t i = 0; i < WorkerCount; ++i) {
        WorkerOptions options;
        options.id = "i-" + std::to_string(i);
        options.service = "desk";
        options.zone = "bangkok-a";
        options.slots = 6;
        options.work = milliseconds(60);
        options.endpoint = {"127.0.0.1", ports[6 + i]};
        workers.push_back(std::make_unique<Worker>(loop, store, options));
        workers.back()->onRun = [&](const Worker &worker, const arbutus::http::Request &request) {
            const std::string attempt = arbutus::http::headerValue(request.headers, "X-Attempt-Id");
            runs[attempt].insert(worker.options().id);
            ++runCounts[attempt];
            record.line("run " + attempt + " at " + worker.options().id);
        };
        if (i < LossyWorkers) {
            workers.back()->losesAnswer = [&] { return isLossy && std::uniform_real_distribution<>()(random) < LostShare; };
        }
    }
    const std::vector<std::unique_ptr<Gateway>> gateways = startGateways(program, directory, gatewayAddresses, ports);
    if (!waitUntilReady(loop, gateways)) {
        record.line("the gateways did not get ready");
        return 2;
    }
    runFor(loop, milliseconds(3'000));
    std::size_t sent = 0;
    std::map<unsigned, std::size_t> answers;
    bool isOver = false;
    std::size_t active = 0;
    const auto call = [&](std::size_t number) -> asio::awaitable<void> {
        ++active;
        arbutus::http::ConnectionPool pool;
        const Gateway &gateway = *gateways[number % gateways.size()];
        co_await arbutus::core::asyncSleep(milliseconds(number * 3));
        while (!isOver) {
            arbutus::http::Request request;
            request.method = "GET";
            request.target = "/lookup/x";
            const std::string attempt = "a" + std::to_string(++sent);
            request.headers["Host"] = Host;
            request.headers["X-Attempt-Id"] = attempt;
            request.headers["X-Deadline-Ms"] = "4000";
            record.line("sent " + attempt + " to " + gateway.name());
            arbutus::http::CallOptions options;
            options.pool = &pool;
            options.retryOnStaleConnection = false;
            const auto response = co_await arbutus::http::fetch(loop.get_executor(), gateway.callers(), request, milliseconds(4'000), std::move(options));
            const unsigned status = response ? response.value().status : 0;
            ++answers[status];
            record.line("answered " + attempt + " with " + (response ? std::to_string(status) : response.error().message));
            co_await arbutus::core::asyncSleep(CallerPause);
        }
        --active;
    };
    for (std::size_t i = 0; i < CallerCount; ++i) {
        asio::co_spawn(loop, call(i), asio::detached);
    }
    runFor(loop, milliseconds(4'000));
    isLossy = hasTrouble;
    record.line(hasTrouble ? "answers begin to be lost" : "no disruption");
    runFor(loop, LossDuration);
    isLossy = false;
    record.line("answers are no longer lost");
    runFor(loop, milliseconds(4'000));
    isOver = true;
    for (int i = 0; i < 100 && active > 0; ++i) {
        runFor(loop, milliseconds(50));
    }
    std::size_t beyond = 0;
    std::size_t most = 0;
    for (const auto &[attempt, upstreams] : runs) {
        most = std::max(most, upstreams.size());
        if (upstreams.size() > MaxAttempts) {
            ++beyond;
            std::string list;
            for (const std::string &id : upstreams) {
                list += " " + id;
            }
            record.line("beyond max_attempts: " + attempt + " ran " + std::to_string(runCounts[attempt]) + " times, at" + list);
        }
    }
    std::string summary = std::to_string(sent) + " requests, answers";
    for (const auto &[status, count] : answers) {
        summary += " " + std::to_string(status) + ": " + std::to_string(count);
    }
    summary += "; " + std::to_string(beyond) + " ran on more than " + std::to_string(MaxAttempts) + " workers (" + std::to_string(Allowed)
        + " are allowed), one on " + std::to_string(most);
    record.line(summary);
    std::cout << summary << '\n';
    if (answers[200] < sent / 2) {
        return 2;
    }
    return beyond > Allowed ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 5) {
        std::cerr << "usage: lostanswers GATEWAY_PROGRAM DIRECTORY RECORD TROUBLE\n";
        return 2;
    }
    try {
        return run(argv[1], argv[2], argv[3], std::string(argv[4]) != "0");
    } catch (const std::exception &error) {
        std::cerr << "lostanswers: " << error.what() << '\n';
        return 2;
    }
}
