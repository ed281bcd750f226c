// Stand-ins for a test of the gateway's processes on loopback addresses: the platform's store, workers and callers.
//
// The store and the workers speak the users' published protocol. The gateways are started as processes with the command of the deploy file.
//
//   rig::Store store(loop, {"127.0.0.1", port});
//   rig::Worker worker(loop, store, options);
//   rig::Gateway gateway(options);          // fork and exec; killed by its id at the end of the object

#pragma once

#include "arbutus/core/asyncsleep.h"
#include "arbutus/core/base64.h"
#include "arbutus/http/client.h"
#include "arbutus/http/server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace rig {

namespace asio = boost::asio;
namespace json = boost::json;
namespace http = arbutus::http;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Milliseconds since the start of the program.
std::int64_t nowMs();

/// Lines of record.txt, each with the time.
class Record
{
public:
    explicit Record(const std::string &path);
    void line(const std::string &text);

private:
    std::ofstream m_out;
};

/// The platform's store: items, watches, leases. It loses nothing and answers at once.
class Store
{
public:
    Store(asio::io_context &loop, const http::Endpoint &endpoint);

    void put(const std::string &key, const std::string &value, std::int64_t lease = 0);
    void erase(const std::string &key);
    /// While it is down, calls get status 503 and nothing is done.
    bool isDown = false;

private:
    struct Item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::int64_t lease = 0;
    };
    struct Event
    {
        std::string key;
        std::uint64_t revision = 0;
        bool deleted = false;
        Item item;
    };
    struct Lease
    {
        milliseconds ttl{};
        Clock::time_point end{};
    };

    asio::awaitable<void> handle(http::Exchange &exchange);
    asio::awaitable<void> expireLeases();
    static json::object toJson(const std::string &key, const Item &item);

    std::map<std::string, Item> m_items;
    std::deque<Event> m_events;
    std::map<std::int64_t, Lease> m_leases;
    std::uint64_t m_revision = 1;
    std::int64_t m_nextLease = 1000;
    std::unique_ptr<http::Server> m_server;
};

struct WorkerOptions
{
    std::string id;
    std::string service;
    std::string zone;
    http::Endpoint endpoint;
    std::size_t slots = 16;
    milliseconds work{30};
    milliseconds coldFor{}; // since its start; zero: it is warm
};

/// A worker of a plain service. It writes its entry every 1,200 ms.
class Worker
{
public:
    Worker(asio::io_context &loop, Store &store, WorkerOptions options);

    [[nodiscard]] const WorkerOptions &options() const
    {
        return m_options;
    }
    /// Becomes cold, again if it is, and writes its entry at once.
    void becomeCold(milliseconds duration);
    [[nodiscard]] milliseconds coldRemaining() const;
    /// Removes its entry and writes it no more; it serves on.
    void leave();
    /// Called when the worker begins to work on a request.
    std::function<void(const Worker &worker, const http::Request &request)> onRun;
    /// Called for each request that the worker is meant to run, also if it rejects it.
    std::function<void(const Worker &worker, const http::Request &request)> onArrival;
    /// Whether the worker rejects a request, with X-Not-Executed.
    std::function<bool()> rejects;
    /// Whether the answer of a request that has run is lost: the channel is reset.
    std::function<bool()> losesAnswer;

private:
    asio::awaitable<void> handle(http::Exchange &exchange);
    asio::awaitable<void> beat();
    void writeEntry();

    Store &m_store;
    WorkerOptions m_options;
    std::size_t m_busy = 0;
    std::uint64_t m_sequence = 0;
    std::int64_t m_born = 0;
    Clock::time_point m_coldUntil;
    bool m_hasLeft = false;
    std::unique_ptr<http::Server> m_server;
};

struct GatewayOptions
{
    std::string program;   // of the deploy file
    std::string directory; // for the settings and the log
    std::string name;
    std::string address; // IP
    std::string zone;
    std::string region;
    std::map<std::string, std::string> zones;
    std::vector<std::string> seeds;
    std::string store;
    std::uint16_t callers = 0; // ports, the same for all gateways
    std::uint16_t directoryPort = 0;
    std::uint16_t readiness = 0;
    std::uint16_t peers = 0;
    std::uint16_t metrics = 0;
};

/// A gateway process with the settings that deploy/gateway.toml.template gives a small deployment.
class Gateway
{
public:
    explicit Gateway(GatewayOptions options);
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;
    ~Gateway();

    void start();
    void signal(int number) const;
    /// Whether the process has not ended yet.
    [[nodiscard]] bool isRunning();
    [[nodiscard]] http::Endpoint callers() const
    {
        return {m_options.address, m_options.callers};
    }
    [[nodiscard]] http::Endpoint readiness() const
    {
        return {m_options.address, m_options.readiness};
    }
    [[nodiscard]] const std::string &name() const
    {
        return m_options.name;
    }

private:
    GatewayOptions m_options;
    pid_t m_pid = -1;
};

/// Ports that are free for TCP and UDP at all addresses.
std::vector<std::uint16_t> freePorts(const std::vector<std::string> &addresses, std::size_t count);
/// Starts gateways named front-bangkok-a-1 and so on, one at each address. `ports`: of the store, callers, directory, readiness, peers and metrics.
std::vector<std::unique_ptr<Gateway>>
startGateways(const std::string &program, const std::string &directory, const std::vector<std::string> &addresses, const std::vector<std::uint16_t> &ports);
/// Runs the loop.
void runFor(asio::io_context &loop, milliseconds duration);
/// Runs the loop until all gateways answer that they are ready; false if that takes longer than 15 s.
bool waitUntilReady(asio::io_context &loop, const std::vector<std::unique_ptr<Gateway>> &gateways);

} // namespace rig
