// Callers that send HEAD and GET requests on channels that they keep, while the operator removes a route.
//
//   headrequests GATEWAY_PROGRAM DIRECTORY RECORD TROUBLE
//
// Exits with 1 if a channel carried bytes that are no answer in HTTP/1.1, 0 if not, 2 if the case could not run.

#include "rig.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <iostream>

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace wire = boost::beast::http;
namespace json = boost::json;
using namespace rig;

constexpr std::size_t WorkerCount = 3;
constexpr std::size_t CallerCount = 9;
constexpr auto CallerPause = milliseconds(100);
constexpr const char *Host = "ficu95.example";

json::object route(const char *name, const char *prefix)
{
    return json::object{{"name", name},
                        {"host", Host},
                        {"path_prefix", prefix},
                        {"route_type", "safe"},
                        {"timeout_ms", 2000},
                        {"target_latency_ms", 400},
                        {"priority", 2},
                        {"service", "desk"},
                        {"max_attempts", 2}};
}

json::object configuration(std::uint64_t version, bool hasOldRoute)
{
    json::array routes{route("r-lookup", "/lookup/")};
    if (hasOldRoute) {
        routes.push_back(route("r-old", "/old/"));
    }
    json::object service{
        {"name", "desk"}, {"health_path", "/health"}, {"max_connections", 110}, {"protocol", "h1"}, {"tls", false}, {"cold_start_s", 0.0}, {"cold_per_s", 0.0}};
    json::object limits{{"max_header_bytes", 16384}, {"max_body_bytes", 4194304}, {"header_timeout_ms", 3000}, {"idle_timeout_ms", 15000}};
    return json::object{{"version", version}, {"routes", routes}, {"services", json::array{service}}, {"limits", limits}};
}

struct Counts
{
    std::size_t sent = 0;
    std::map<unsigned, std::size_t> answers;
    std::size_t broken = 0; // channels
    bool isOver = false;
    std::size_t active = 0;
};

/// Sends requests on one channel, a HEAD after each GET, until an answer cannot be read.
asio::awaitable<void> callOnChannel(asio::io_context &loop, const Gateway &gateway, std::size_t number, Counts &counts, Record &record)
{
    ++counts.active;
    co_await arbutus::core::asyncSleep(milliseconds(number * 11));
    beast::tcp_stream stream(loop);
    boost::system::error_code code;
    const asio::ip::tcp::endpoint target(asio::ip::make_address(gateway.callers().host), gateway.callers().port);
    co_await stream.async_connect(target, asio::redirect_error(asio::use_awaitable, code));
    beast::flat_buffer buffer;
    for (std::size_t i = 0; !code && !counts.isOver; ++i) {
        const bool isHead = i % 2 == 1;
        const std::string path = i % 4 < 2 ? "/lookup/x" : "/old/x";
        const std::string attempt = "c" + std::to_string(number) + "-" + std::to_string(i);
        wire::request<wire::empty_body> request(isHead ? wire::verb::head : wire::verb::get, path, 11);
        request.set(wire::field::host, Host);
        request.set("X-Attempt-Id", attempt);
        request.set("X-Deadline-Ms", "4000");
        record.line("sent " + attempt + " " + (isHead ? "HEAD " : "GET ") + path + " to " + gateway.name());
        ++counts.sent;
        stream.expires_after(std::chrono::seconds(4));
        co_await wire::async_write(stream, request, asio::redirect_error(asio::use_awaitable, code));
        if (code) {
            break;
        }
        wire::response_parser<wire::string_body> parser;
        parser.skip(isHead); // an answer to HEAD has no body
        co_await wire::async_read(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, code));
        if (code) {
            const std::string bytes(static_cast<const char *>(buffer.data().data()), std::min<std::size_t>(buffer.size(), 60));
            const bool isGarbage = code != wire::error::end_of_stream && code != beast::error::timeout && code != asio::error::connection_reset;
            record.line("the answer to " + attempt + " cannot be read: " + code.message() + "; bytes: " + bytes);
            counts.broken += isGarbage ? 1 : 0;
            break;
        }
        ++counts.answers[parser.get().result_int()];
        record.line("answered " + attempt + " with " + std::to_string(parser.get().result_int()));
        if (!parser.get().keep_alive()) {
            break;
        }
        co_await arbutus::core::asyncSleep(CallerPause);
    }
    --counts.active;
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
    store.put("op/config", json::serialize(configuration(7, true)));
    std::vector<std::unique_ptr<Worker>> workers;
    for (std::size_t i = 0; i < WorkerCount; ++i) {
        WorkerOptions options;
        options.id = "i-" + std::to_string(i);
        options.service = "desk";
        options.zone = "bangkok-a";
        options.endpoint = {"127.0.0.1", ports[6 + i]};
        options.slots = 6;
        workers.push_back(std::make_unique<Worker>(loop, store, options));
        workers.back()->onRun = [&](const Worker &worker, const arbutus::http::Request &request) {
            record.line("run " + arbutus::http::headerValue(request.headers, "X-Attempt-Id") + " at " + worker.options().id);
        };
    }
    const std::vector<std::unique_ptr<Gateway>> gateways = startGateways(program, directory, gatewayAddresses, ports);
    if (!waitUntilReady(loop, gateways)) {
        record.line("the gateways did not get ready");
        return 2;
    }
    runFor(loop, milliseconds(3'000));
    Counts counts;
    for (std::size_t i = 0; i < CallerCount; ++i) {
        asio::co_spawn(loop, callOnChannel(loop, *gateways[i % gateways.size()], i, counts, record), asio::detached);
    }
    runFor(loop, milliseconds(4'000));
    store.put("op/config", json::serialize(configuration(9, !hasTrouble)));
    record.line(hasTrouble ? "the operator has removed the route /old/" : "the operator has sent the same routes again");
    runFor(loop, milliseconds(6'000));
    counts.isOver = true;
    for (int i = 0; i < 100 && counts.active > 0; ++i) {
        runFor(loop, milliseconds(50));
    }
    std::string summary = std::to_string(counts.sent) + " requests on " + std::to_string(CallerCount) + " channels, answers";
    for (const auto &[status, count] : counts.answers) {
        summary += " " + std::to_string(status) + ": " + std::to_string(count);
    }
    summary += "; " + std::to_string(counts.broken) + " channels carried bytes that are no answer";
    record.line(summary);
    std::cout << summary << '\n';
    if (counts.answers[200] == 0) {
        return 2;
    }
    return counts.broken > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 5) {
        std::cerr << "usage: headrequests GATEWAY_PROGRAM DIRECTORY RECORD TROUBLE\n";
        return 2;
    }
    try {
        return run(argv[1], argv[2], argv[3], std::string(argv[4]) != "0");
    } catch (const std::exception &error) {
        std::cerr << "headrequests: " << error.what() << '\n';
        return 2;
    }
}
