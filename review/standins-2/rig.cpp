// Store, workers and gateway processes.

#include "rig.h"

#include <boost/url/parse.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <stdexcept>

namespace rig {

namespace {

const Clock::time_point StartedAt = Clock::now();
constexpr auto WatchPollInterval = milliseconds(4);
constexpr std::size_t MaxItemsPerPage = 500;
constexpr auto BeatInterval = milliseconds(1'200);

std::string bodyOf(const json::object &object)
{
    return json::serialize(object);
}

std::uint64_t numberParameter(const http::Request &request, std::string_view name)
{
    const std::string text = request.queryParameter(name);
    return text.empty() ? 0 : std::stoull(text);
}

} // namespace

std::int64_t nowMs()
{
    return std::chrono::duration_cast<milliseconds>(Clock::now() - StartedAt).count();
}

Record::Record(const std::string &path)
    : m_out(path, std::ios::trunc)
{
}

void Record::line(const std::string &text)
{
    m_out << nowMs() << " ms  " << text << '\n' << std::flush;
}

//-----------------------------------------------------------------------------
// Store
//-----------------------------------------------------------------------------

Store::Store(asio::io_context &loop, const http::Endpoint &endpoint)
{
    http::ServerLimits limits;
    limits.idleTimeout = std::chrono::seconds(60);
    m_server = std::make_unique<http::Server>(
        loop.get_executor(), endpoint, limits, [this](http::Exchange &exchange) { return handle(exchange); }, nullptr);
    asio::co_spawn(loop, expireLeases(), asio::detached);
}

json::object Store::toJson(const std::string &key, const Item &item)
{
    return json::object{
        {"key", key}, {"value", arbutus::core::base64Encode(item.value)}, {"revision", item.revision}, {"created", item.created}, {"lease", item.lease}};
}

void Store::put(const std::string &key, const std::string &value, std::int64_t lease)
{
    ++m_revision;
    Item &item = m_items[key];
    item.value = value;
    item.revision = m_revision;
    item.created = item.created == 0 ? m_revision : item.created;
    item.lease = lease;
    m_events.push_back(Event{key, m_revision, false, item});
}

void Store::erase(const std::string &key)
{
    if (m_items.erase(key) > 0) {
        ++m_revision;
        m_events.push_back(Event{key, m_revision, true, {}});
    }
}

asio::awaitable<void> Store::expireLeases()
{
    while (true) {
        co_await arbutus::core::asyncSleep(milliseconds(50));
        const auto now = Clock::now();
        std::vector<std::string> expired;
        for (const auto &[key, item] : m_items) {
            const auto lease = m_leases.find(item.lease);
            if (item.lease != 0 && (lease == m_leases.end() || lease->second.end <= now)) {
                expired.push_back(key);
            }
        }
        for (const std::string &key : expired) {
            erase(key);
        }
        std::erase_if(m_leases, [&](const auto &lease) { return lease.second.end <= now; });
    }
}

asio::awaitable<void> Store::handle(http::Exchange &exchange)
{
    const auto body = co_await exchange.readBody();
    if (!body || isDown) {
        const http::Response response = http::jsonResponse(503, "{}");
        co_await exchange.respond(response);
        co_return;
    }
    const http::Request &request = exchange.request();
    const std::string path = request.path();
    unsigned status = 200;
    json::object out;
    if (path == "/-/kv-range") {
        const std::string prefix = request.queryParameter("path_prefix");
        const std::string after = request.queryParameter("after");
        json::array items;
        bool hasMore = false;
        for (const auto &[key, item] : m_items) {
            if (!key.starts_with(prefix) || key <= after) {
                continue;
            }
            if (items.size() >= MaxItemsPerPage) {
                hasMore = true;
                break;
            }
            items.push_back(toJson(key, item));
        }
        out = json::object{{"items", std::move(items)}, {"has_more", hasMore}, {"store_revision", m_revision}};
    } else if (path == "/-/kv-watch") {
        const std::string prefix = request.queryParameter("path_prefix");
        const std::uint64_t after = numberParameter(request, "after");
        const auto end = Clock::now() + milliseconds(numberParameter(request, "wait_ms"));
        json::array events;
        while (true) {
            for (const Event &event : m_events) {
                if (event.revision <= after || !event.key.starts_with(prefix)) {
                    continue;
                }
                if (event.deleted) {
                    events.push_back(json::object{{"key", event.key}, {"revision", event.revision}, {"deleted", true}});
                } else {
                    events.push_back(toJson(event.key, event.item));
                }
            }
            if (!events.empty() || Clock::now() >= end) {
                break;
            }
            co_await arbutus::core::asyncSleep(WatchPollInterval);
            if (isDown) { // a watch that waits is cut
                exchange.abort();
                co_return;
            }
        }
        out = json::object{{"events", std::move(events)}, {"store_revision", m_revision}};
    } else if (path == "/-/kv-txn") {
        const json::value document = json::parse(request.body);
        json::array conflicts;
        bool holds = true;
        for (const json::value &row : document.at("expect").as_array()) {
            const std::string key(row.at("key").as_string());
            const auto found = m_items.find(key);
            holds = holds && (found == m_items.end() ? 0 : found->second.revision) == row.at("revision").to_number<std::uint64_t>();
        }
        if (!holds) {
            status = 412;
            out["items"] = json::array();
        } else {
            for (const json::value &row : document.at("writes").as_array()) {
                const auto value = arbutus::core::base64Decode(row.at("value").as_string());
                put(std::string(row.at("key").as_string()), value.value_or(""), row.at("lease").to_number<std::int64_t>());
            }
            for (const json::value &key : document.at("delete").as_array()) {
                erase(std::string(key.as_string()));
            }
            out["revision"] = m_revision;
        }
    } else if (path == "/-/kv-lease") {
        const milliseconds ttl(json::parse(request.body).at("ttl_ms").to_number<std::int64_t>());
        const std::int64_t id = ++m_nextLease;
        m_leases[id] = Lease{ttl, Clock::now() + ttl};
        out = json::object{{"lease", id}, {"ttl_ms", ttl.count()}};
    } else if (path.starts_with("/-/kv-keep/")) {
        const auto found = m_leases.find(std::stoll(path.substr(11)));
        if (found == m_leases.end()) {
            status = 404;
        } else {
            found->second.end = Clock::now() + found->second.ttl;
            out["ttl_ms"] = found->second.ttl.count();
        }
    } else if (path.starts_with("/-/kv-lease-end/")) {
        m_leases.erase(std::stoll(path.substr(16)));
    } else {
        status = 404;
    }
    const http::Response response = http::jsonResponse(status, bodyOf(out));
    co_await exchange.respond(response);
}

//-----------------------------------------------------------------------------
// Workers
//-----------------------------------------------------------------------------

Worker::Worker(asio::io_context &loop, Store &store, WorkerOptions options)
    : m_store(store)
    , m_options(std::move(options))
    , m_born(std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
    , m_coldUntil(Clock::now() + m_options.coldFor)
{
    http::ServerLimits limits;
    limits.idleTimeout = std::chrono::seconds(20);
    m_server = std::make_unique<http::Server>(
        loop.get_executor(), m_options.endpoint, limits, [this](http::Exchange &exchange) { return handle(exchange); }, nullptr);
    asio::co_spawn(loop, beat(), asio::detached);
}

milliseconds Worker::coldRemaining() const
{
    return std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(m_coldUntil - Clock::now()));
}

void Worker::becomeCold(milliseconds duration)
{
    m_coldUntil = Clock::now() + duration;
    writeEntry();
}

void Worker::leave()
{
    m_hasLeft = true;
    m_store.erase("servers/" + m_options.id);
}

void Worker::writeEntry()
{
    if (m_hasLeft) {
        return;
    }
    const json::object entry{{"service", m_options.service},
                             {"address", http::toString(m_options.endpoint)},
                             {"zone", m_options.zone},
                             {"version", "v1"},
                             {"slots", m_options.slots},
                             {"state", "ready"},
                             {"cold_remaining_ms", coldRemaining().count()},
                             {"born", m_born},
                             {"sequence", ++m_sequence}};
    m_store.put("servers/" + m_options.id, json::serialize(entry));
}

asio::awaitable<void> Worker::beat()
{
    while (true) {
        writeEntry();
        co_await arbutus::core::asyncSleep(BeatInterval);
    }
}

asio::awaitable<void> Worker::handle(http::Exchange &exchange)
{
    const auto body = co_await exchange.readBody();
    if (!body) {
        co_return;
    }
    const http::Request &request = exchange.request();
    const std::string expected = http::headerValue(request.headers, "X-Expect-Instance");
    const std::string attempt = http::headerValue(request.headers, "X-Attempt-Id");
    http::Response response;
    response.headers["X-Attempt-Id"] = attempt;
    response.headers["X-Instance-Id"] = m_options.id;
    if (!expected.empty() && expected != m_options.id) {
        response.status = 421;
        co_await exchange.respond(response);
        co_return;
    }
    if (onArrival) {
        onArrival(*this, request);
    }
    if (attempt.empty() || m_busy >= m_options.slots || (rejects && rejects())) {
        response.status = attempt.empty() ? 400 : 503;
        response.headers["X-Not-Executed"] = "1";
        co_await exchange.respond(response);
        co_return;
    }
    ++m_busy;
    if (onRun) {
        onRun(*this, request);
    }
    const bool isLost = losesAnswer && losesAnswer();
    co_await arbutus::core::asyncSleep(m_options.work);
    --m_busy;
    if (isLost) {
        exchange.reset();
        co_return;
    }
    response.status = 200;
    response.headers["X-Response-Stamp"] = m_options.id + "." + attempt;
    response.headers["Content-Type"] = "text/plain";
    response.body = "answer of " + m_options.id + " to " + attempt;
    co_await exchange.respond(response);
}

//-----------------------------------------------------------------------------
// Gateways
//-----------------------------------------------------------------------------

Gateway::Gateway(GatewayOptions options)
    : m_options(std::move(options))
{
    std::ofstream out(m_options.directory + "/" + m_options.name + ".toml");
    const auto at = [&](std::uint16_t port) { return "\"" + m_options.address + ":" + std::to_string(port) + "\"\n"; };
    out << "[route_gateway]\nid = \"" << m_options.name << "\"\nfailure_domain = \"" << m_options.zone << "\"\nregion = \"" << m_options.region
        << "\"\ncapacity = 0.25\n\n[domains]\n";
    for (const auto &[zone, region] : m_options.zones) {
        out << "\"" << zone << "\" = \"" << region << "\"\n";
    }
    out << "\n[listen]\ncallers = " << at(m_options.callers) << "directory = " << at(m_options.directoryPort) << "readiness = " << at(m_options.readiness)
        << "peers = " << at(m_options.peers) << "metrics = " << at(m_options.metrics) << "\n[peers]\nseeds = [";
    for (std::size_t i = 0; i < m_options.seeds.size(); ++i) {
        out << (i == 0 ? "" : ", ") << "\"" << m_options.seeds[i] << "\"";
    }
    out << "]\n\n[store]\naddress = \"" << m_options.store << "\"\n\n[directory]\nlifetime_s = 2\n\n"
        << "[promises]\ngrace_s = 8\nconfiguration_within_ms = 3000\nleaving_within_ms = 3000\nevacuation_within_ms = 5000\nretry_ratio = 0.2\n"
        << "retry_slack = 58\nretry_window_s = 10\n\n[deployment]\n"
        << "contract_parts = [\"base\", \"drain\", \"config\", \"cost\", \"retry\", \"recover\", \"engine\", \"stream\", \"places\", \"platform\"]\n\n"
        << "[dispatch]\norder = \"urgency\"\n\n[dispatch.order_where]\npressure = \"cost\"\n";
}

Gateway::~Gateway()
{
    if (m_pid > 0) {
        ::kill(m_pid, SIGCONT);
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
    }
}

void Gateway::start()
{
    const std::string settings = m_options.directory + "/" + m_options.name + ".toml";
    const std::string log = m_options.directory + "/" + m_options.name + ".log";
    m_pid = ::fork();
    if (m_pid < 0) {
        throw std::runtime_error("fork failed");
    }
    if (m_pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // also if this program is killed
        const int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        ::dup2(file, STDOUT_FILENO);
        ::dup2(file, STDERR_FILENO);
        ::setenv("ARBUTUSGLADE_CONFIG", settings.c_str(), 1);
        for (int descriptor = 3; descriptor < 1024; ++descriptor) {
            ::close(descriptor);
        }
        ::execl(m_options.program.c_str(), m_options.program.c_str(), static_cast<char *>(nullptr));
        ::_exit(127);
    }
}

void Gateway::signal(int number) const
{
    if (m_pid > 0) {
        ::kill(m_pid, number);
    }
}

bool Gateway::isRunning()
{
    if (m_pid > 0 && ::waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
        m_pid = -1;
    }
    return m_pid > 0;
}

//-----------------------------------------------------------------------------
// Running
//-----------------------------------------------------------------------------

std::vector<std::uint16_t> freePorts(const std::vector<std::string> &addresses, std::size_t count)
{
    std::random_device device;
    std::mt19937 random(device());
    std::set<std::uint16_t> out;
    while (out.size() < count) {
        const auto port = static_cast<std::uint16_t>(20'000 + random() % 12'000);
        bool isFree = true;
        for (const std::string &address : addresses) {
            for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
                const int descriptor = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
                sockaddr_in target{};
                target.sin_family = AF_INET;
                target.sin_port = htons(port);
                ::inet_pton(AF_INET, address.c_str(), &target.sin_addr);
                isFree = isFree && ::bind(descriptor, reinterpret_cast<sockaddr *>(&target), sizeof target) == 0;
                ::close(descriptor);
            }
        }
        if (isFree) {
            out.insert(port);
        }
    }
    return {out.begin(), out.end()};
}

std::vector<std::unique_ptr<Gateway>>
startGateways(const std::string &program, const std::string &directory, const std::vector<std::string> &addresses, const std::vector<std::uint16_t> &ports)
{
    constexpr std::size_t MaxSeeds = 3;
    std::vector<std::unique_ptr<Gateway>> gateways;
    for (const std::string &address : addresses) {
        GatewayOptions options;
        options.program = program;
        options.directory = directory;
        options.name = "front-bangkok-a-" + std::to_string(gateways.size() + 1);
        options.address = address;
        options.zone = "bangkok-a";
        options.region = "bangkok";
        options.zones = {{"bangkok-a", "bangkok"}};
        for (std::size_t i = 0; i < std::min(addresses.size(), MaxSeeds); ++i) {
            options.seeds.push_back(addresses[i] + ":" + std::to_string(ports[4]));
        }
        options.store = "127.0.0.1:" + std::to_string(ports[0]);
        options.callers = ports[1];
        options.directoryPort = ports[2];
        options.readiness = ports[3];
        options.peers = ports[4];
        options.metrics = ports[5];
        gateways.push_back(std::make_unique<Gateway>(options));
        gateways.back()->start();
    }
    return gateways;
}

void runFor(asio::io_context &loop, milliseconds duration)
{
    const auto end = Clock::now() + duration;
    while (Clock::now() < end) {
        loop.run_until(end);
        loop.restart();
    }
}

bool waitUntilReady(asio::io_context &loop, const std::vector<std::unique_ptr<Gateway>> &gateways)
{
    std::set<std::string> ready;
    const auto end = Clock::now() + std::chrono::seconds(15);
    const auto ask = [&](const Gateway &gateway) -> asio::awaitable<void> {
        while (Clock::now() < end) {
            http::Request request;
            request.method = "GET";
            request.target = "/-/readiness";
            const auto response = co_await http::fetch(loop.get_executor(), gateway.readiness(), request, milliseconds(500));
            if (response && response.value().status == 200) {
                ready.insert(gateway.name());
                co_return;
            }
            co_await arbutus::core::asyncSleep(milliseconds(50));
        }
    };
    for (const auto &gateway : gateways) {
        asio::co_spawn(loop, ask(*gateway), asio::detached);
    }
    while (Clock::now() < end && ready.size() < gateways.size()) {
        runFor(loop, milliseconds(50));
    }
    return ready.size() == gateways.size();
}

} // namespace rig
