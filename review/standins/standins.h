// Stand-ins for the users' platform, workers and clients, for the scripts of the review.
//
// One process holds the store, the workers and the clients of a case; the gateways are separate processes that it starts
// with the command of the deploy file. All of them speak what PROTOCOL.md says, on loopback addresses.

#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/json.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

namespace json = boost::json;
using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

inline void sleepMs(long ms)
{
    std::this_thread::sleep_for(Ms(ms));
}

//--- Record

class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(std::fopen(path.c_str(), "w"))
        , m_start(Clock::now())
    {
    }
    long now() const
    {
        return std::chrono::duration_cast<Ms>(Clock::now() - m_start).count();
    }
    void line(const char *format, ...) __attribute__((format(printf, 2, 3)))
    {
        const std::lock_guard lock(m_mutex);
        std::fprintf(m_file, "%7ld ms  ", now());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(m_file, format, arguments);
        va_end(arguments);
        std::fputc('\n', m_file);
        std::fflush(m_file);
    }

private:
    std::mutex m_mutex;
    std::FILE *m_file;
    Clock::time_point m_start;
};

//--- Sockets

struct Headers
{
    std::vector<std::pair<std::string, std::string>> fields;

    std::string get(const std::string &name) const
    {
        for (const auto &[key, value] : fields) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0) {
                return value;
            }
        }
        return "";
    }
};

struct Message
{
    std::string first; // request line or status line
    Headers headers;
    std::string body;

    std::string method() const
    {
        return first.substr(0, first.find(' '));
    }
    std::string target() const
    {
        const auto begin = first.find(' ') + 1;
        return first.substr(begin, first.find(' ', begin) - begin);
    }
    int status() const
    {
        return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0;
    }
};

inline std::string queryParameter(const std::string &target, const std::string &name)
{
    std::string query = target.find('?') == std::string::npos ? "" : target.substr(target.find('?') + 1);
    std::size_t at = 0;
    while (at < query.size()) {
        const std::size_t end = std::min(query.find('&', at), query.size());
        const std::string pair = query.substr(at, end - at);
        if (pair.substr(0, pair.find('=')) == name && pair.find('=') != std::string::npos) {
            std::string value;
            const std::string raw = pair.substr(pair.find('=') + 1);
            for (std::size_t i = 0; i < raw.size(); ++i) {
                if (raw[i] == '%' && i + 2 < raw.size()) {
                    value += static_cast<char>(std::stoi(raw.substr(i + 1, 2), nullptr, 16));
                    i += 2;
                } else {
                    value += raw[i];
                }
            }
            return value;
        }
        at = end + 1;
    }
    return "";
}

/// One TCP connection with buffered reading. Reads return false at the end, on an error, and after the deadline.
class Channel
{
public:
    explicit Channel(int fd)
        : m_fd(fd)
    {
        const int one = 1;
        ::setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    }
    Channel(const Channel &) = delete;
    Channel &operator=(const Channel &) = delete;
    ~Channel()
    {
        close();
    }

    int fd() const
    {
        return m_fd;
    }
    bool isOpen() const
    {
        return m_fd >= 0;
    }
    void close()
    {
        if (m_fd >= 0) {
            ::close(m_fd);
        }
        m_fd = -1;
    }
    void reset()
    {
        const linger now{1, 0};
        ::setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        close();
    }
    bool write(const std::string &bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const auto n = ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (n <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(n);
        }
        return true;
    }
    /// Whether the other end has closed the connection.
    bool isGone() const
    {
        char byte = 0;
        const auto n = ::recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }
    bool fill(Clock::time_point until)
    {
        pollfd waiting{m_fd, POLLIN, 0};
        const auto left = std::chrono::duration_cast<Ms>(until - Clock::now()).count();
        if (::poll(&waiting, 1, static_cast<int>(std::clamp<long>(left, 0, 3'600'000))) <= 0) {
            m_timedOut = true;
            return false;
        }
        char bytes[16384];
        const auto n = ::recv(m_fd, bytes, sizeof bytes, 0);
        if (n <= 0) {
            m_endError = n < 0 ? errno : 0;
            return false;
        }
        m_buffer.append(bytes, static_cast<std::size_t>(n));
        return true;
    }
    bool readLine(std::string &line, Clock::time_point until)
    {
        while (m_buffer.find("\r\n") == std::string::npos) {
            if (!fill(until)) {
                return false;
            }
        }
        const auto end = m_buffer.find("\r\n");
        line = m_buffer.substr(0, end);
        m_buffer.erase(0, end + 2);
        return true;
    }
    bool readBytes(std::string &out, std::size_t count, Clock::time_point until)
    {
        while (m_buffer.size() < count) {
            if (!fill(until)) {
                return false;
            }
        }
        out += m_buffer.substr(0, count);
        m_buffer.erase(0, count);
        return true;
    }
    bool readHead(Message &message, Clock::time_point until)
    {
        message = {};
        if (!readLine(message.first, until)) {
            return false;
        }
        std::string line;
        while (readLine(line, until)) {
            if (line.empty()) {
                return true;
            }
            const auto colon = line.find(':');
            std::string value = colon == std::string::npos ? "" : line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(" \t"));
            message.headers.fields.emplace_back(line.substr(0, colon), value);
        }
        return false;
    }
    /// Reads a body with a length or in chunks; returns false if it is not complete. `onPart` gets each part as it arrives.
    bool readBody(Message &message, Clock::time_point until, const std::function<void(const std::string &)> &onPart = {})
    {
        if (strcasecmp(message.headers.get("Transfer-Encoding").c_str(), "chunked") != 0) {
            const std::string length = message.headers.get("Content-Length");
            return length.empty() || readBytes(message.body, std::stoul(length), until);
        }
        std::string line;
        while (readLine(line, until)) {
            const std::size_t size = std::stoul(line, nullptr, 16);
            std::string part;
            if (!readBytes(part, size, until) || !readLine(line, until)) {
                return false;
            }
            if (size == 0) {
                return true;
            }
            message.body += part;
            if (onPart) {
                onPart(part);
            }
        }
        return false;
    }
    bool hasInput() const
    {
        return !m_buffer.empty();
    }
    bool timedOut() const
    {
        return m_timedOut;
    }
    std::string end() const
    {
        return m_timedOut ? "no bytes in time" : m_endError == 0 ? "closed" : std::strerror(m_endError);
    }

private:
    int m_fd;
    std::string m_buffer;
    bool m_timedOut = false;
    int m_endError = 0;
};

struct Address
{
    std::string ip;
    int port = 0;

    std::string text() const
    {
        return ip + ":" + std::to_string(port);
    }
    sockaddr_in raw() const
    {
        sockaddr_in out{};
        out.sin_family = AF_INET;
        out.sin_port = htons(static_cast<std::uint16_t>(port));
        ::inet_pton(AF_INET, ip.c_str(), &out.sin_addr);
        return out;
    }
    static Address parse(const std::string &text)
    {
        return Address{text.substr(0, text.find(':')), std::atoi(text.c_str() + text.find(':') + 1)};
    }
};

inline std::unique_ptr<Channel> connectTo(const Address &address, long timeoutMs = 1'000)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in target = address.raw();
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0) {
        pollfd waiting{fd, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof error;
        if (errno != EINPROGRESS || ::poll(&waiting, 1, static_cast<int>(timeoutMs)) <= 0 || ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0
            || error != 0) {
            ::close(fd);
            return nullptr;
        }
    }
    ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    return std::make_unique<Channel>(fd);
}

/// Accepts connections and runs `serve` for each one in its own thread.
class Listener
{
public:
    Listener(const std::string &ip, std::function<void(Channel &)> serve, int port = 0)
        : m_serve(std::move(serve))
        , m_fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const int one = 1;
        ::setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
        sockaddr_in own = Address{ip, port}.raw();
        socklen_t size = sizeof own;
        if (::bind(m_fd, reinterpret_cast<sockaddr *>(&own), sizeof own) != 0 || ::listen(m_fd, 512) != 0) {
            std::perror("listen");
            std::exit(2);
        }
        ::getsockname(m_fd, reinterpret_cast<sockaddr *>(&own), &size);
        m_address = Address{ip, ntohs(own.sin_port)};
        std::thread([this] {
            while (true) {
                const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0) {
                    return;
                }
                std::thread([this, fd] {
                    Channel channel(fd);
                    m_serve(channel);
                }).detach();
            }
        }).detach();
    }
    const Address &address() const
    {
        return m_address;
    }

private:
    std::function<void(Channel &)> m_serve;
    int m_fd;
    Address m_address;
};

/// A port that was free a moment ago, for TCP and UDP.
inline int freePort(const std::string &ip)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in own = Address{ip, 0}.raw();
    socklen_t size = sizeof own;
    ::bind(fd, reinterpret_cast<sockaddr *>(&own), sizeof own);
    ::getsockname(fd, reinterpret_cast<sockaddr *>(&own), &size);
    ::close(fd);
    return ntohs(own.sin_port);
}

//--- The platform's store

inline std::string base64(const std::string &bytes)
{
    static const char *Digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned value = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            value = value << 8 | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            out += i + k > bytes.size() ? '=' : Digits[value >> (18 - 6 * k) & 63];
        }
    }
    return out;
}

class Store
{
public:
    Store()
        : m_listener("127.0.0.1", [this](Channel &channel) { serve(channel); })
    {
        std::thread([this] {
            while (true) {
                sleepMs(50);
                expireLeases();
            }
        }).detach();
    }
    const Address &address() const
    {
        return m_listener.address();
    }

    /// A write of the operator or a worker; the return is its confirmation.
    void put(const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(m_mutex);
        write(key, base64(value), 0);
        m_changed.notify_all();
    }
    void remove(const std::string &key)
    {
        const std::lock_guard lock(m_mutex);
        erase(key);
        m_changed.notify_all();
    }

private:
    struct Item
    {
        std::string value; // base64
        long revision = 0;
        long created = 0;
        long lease = 0;
    };
    struct Event
    {
        long revision;
        std::string key;
        std::optional<Item> item;
    };
    struct Lease
    {
        long ttl;
        Clock::time_point end;
    };

    void write(const std::string &key, const std::string &value, long lease)
    {
        ++m_revision;
        const auto found = m_items.find(key);
        const long created = found == m_items.end() ? m_revision : found->second.created;
        m_items[key] = Item{value, m_revision, created, lease};
        m_events.push_back(Event{m_revision, key, m_items[key]});
    }
    void erase(const std::string &key)
    {
        if (m_items.erase(key) > 0) {
            m_events.push_back(Event{++m_revision, key, std::nullopt});
        }
    }
    void endLease(long id)
    {
        std::vector<std::string> keys;
        for (const auto &[key, item] : m_items) {
            if (item.lease == id) {
                keys.push_back(key);
            }
        }
        for (const std::string &key : keys) {
            erase(key);
        }
        m_leases.erase(id);
    }
    void expireLeases()
    {
        const std::lock_guard lock(m_mutex);
        std::vector<long> ended;
        for (const auto &[id, lease] : m_leases) {
            if (Clock::now() >= lease.end) {
                ended.push_back(id);
            }
        }
        for (const long id : ended) {
            endLease(id);
        }
        if (!ended.empty()) {
            m_changed.notify_all();
        }
    }
    static json::object row(const std::string &key, const Item &item)
    {
        return json::object{{"key", key}, {"value", item.value}, {"revision", item.revision}, {"created", item.created}, {"lease", item.lease}};
    }

    std::pair<int, json::object> call(const Message &request)
    {
        const std::string target = request.target();
        const std::string path = target.substr(0, target.find('?'));
        std::unique_lock lock(m_mutex);
        if (path == "/-/kv-key") {
            const std::string key = queryParameter(target, "key");
            const auto found = m_items.find(key);
            json::object out = found == m_items.end() ? json::object() : row(key, found->second);
            out["store_revision"] = m_revision;
            return {found == m_items.end() ? 404 : 200, out};
        }
        if (path == "/-/kv-range") {
            const std::string prefix = queryParameter(target, "path_prefix");
            json::array items;
            for (const auto &[key, item] : m_items) {
                if (key.compare(0, prefix.size(), prefix) == 0 && key > queryParameter(target, "after")) {
                    items.push_back(row(key, item));
                }
            }
            return {200, json::object{{"items", items}, {"has_more", false}, {"store_revision", m_revision}}};
        }
        if (path == "/-/kv-watch") {
            const std::string prefix = queryParameter(target, "path_prefix");
            const long after = std::stol(queryParameter(target, "after"));
            const auto until = Clock::now() + Ms(std::stol(queryParameter(target, "wait_ms")));
            json::array events;
            while (true) {
                for (const Event &event : m_events) {
                    if (event.revision > after && event.key.compare(0, prefix.size(), prefix) == 0) {
                        events.push_back(event.item ? row(event.key, *event.item)
                                                    : json::object{{"key", event.key}, {"revision", event.revision}, {"deleted", true}});
                    }
                }
                if (!events.empty() || m_changed.wait_until(lock, until) == std::cv_status::timeout) {
                    break;
                }
            }
            return {200, json::object{{"events", events}, {"store_revision", m_revision}}};
        }
        if (path == "/-/kv-lease") {
            const long ttl = json::parse(request.body).as_object().at("ttl_ms").to_number<long>();
            m_leases[++m_nextLease] = Lease{ttl, Clock::now() + Ms(ttl)};
            return {200, json::object{{"lease", m_nextLease}, {"ttl_ms", ttl}}};
        }
        if (path.rfind("/-/kv-keep/", 0) == 0 || path.rfind("/-/kv-lease-end/", 0) == 0) {
            const auto found = m_leases.find(std::stol(path.substr(path.rfind('/') + 1)));
            if (found == m_leases.end()) {
                return {404, {}};
            }
            if (request.method() == "DELETE") {
                endLease(found->first);
                m_changed.notify_all();
                return {200, {}};
            }
            found->second.end = Clock::now() + Ms(found->second.ttl);
            return {200, json::object{{"ttl_ms", found->second.ttl}}};
        }
        if (path == "/-/kv-txn") {
            const json::object body = json::parse(request.body).as_object();
            json::array current;
            bool holds = true;
            for (const json::value &value : body.at("expect").as_array()) {
                const std::string key(value.as_object().at("key").as_string());
                const auto found = m_items.find(key);
                holds = holds && value.as_object().at("revision").to_number<long>() == (found == m_items.end() ? 0 : found->second.revision);
                if (found != m_items.end()) {
                    current.push_back(row(key, found->second));
                }
            }
            if (!holds) {
                return {412, json::object{{"items", current}}};
            }
            for (const json::value &value : body.at("writes").as_array()) {
                const long lease = value.as_object().at("lease").to_number<long>();
                if (lease != 0 && !m_leases.contains(lease)) {
                    return {404, {}};
                }
                write(std::string(value.as_object().at("key").as_string()), std::string(value.as_object().at("value").as_string()), lease);
            }
            for (const json::value &value : body.at("delete").as_array()) {
                erase(std::string(value.as_string()));
            }
            m_changed.notify_all();
            return {200, json::object{{"revision", m_revision}}};
        }
        return {404, {}};
    }

    void serve(Channel &channel)
    {
        Message request;
        while (channel.readHead(request, Clock::now() + std::chrono::hours(1)) && channel.readBody(request, Clock::now() + std::chrono::seconds(5))) {
            const auto [status, body] = call(request);
            sleepMs(4);
            const std::string text = json::serialize(body);
            const std::string head = "HTTP/1.1 " + std::to_string(status) + " Status\r\nContent-Type: application/json\r\nContent-Length: ";
            if (!channel.write(head + std::to_string(text.size()) + "\r\n\r\n" + text)) {
                return;
            }
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::deque<Event> m_events;
    std::map<long, Lease> m_leases;
    long m_revision = 100;
    long m_nextLease = 70'000;
    Listener m_listener;
};

//--- Gateways

struct Zone
{
    std::string name;
    std::string region;
};

/// A process of the project, started with the command of the deploy file.
class Gateway
{
public:
    Gateway(std::string node, const Zone &zone, std::string folder)
        : m_node(std::move(node))
        , m_zone(zone)
        , m_settings(folder + "/" + m_node + ".toml")
        , m_log(folder + "/" + m_node + ".log")
    {
    }
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;
    ~Gateway()
    {
        if (m_pid > 0) {
            ::kill(m_pid, SIGKILL);
            ::kill(m_pid, SIGCONT);
            ::waitpid(m_pid, nullptr, 0);
        }
    }

    std::string ip = "127.0.0.1";
    int callers = 0, directory = 0, readiness = 0, peers = 0, metrics = 0;

    void choosePorts(int peersPort)
    {
        callers = freePort(ip);
        directory = freePort(ip);
        readiness = freePort(ip);
        peers = peersPort != 0 ? peersPort : freePort(ip);
        metrics = freePort(ip);
    }
    /// Writes the settings that deploy/gateway.toml.template gives with the bounds of the site.
    void writeSettings(const std::vector<Zone> &zones, const std::vector<std::string> &seeds, const Address &store, double retrySlack) const
    {
        std::ofstream out(m_settings);
        out << "[route_gateway]\nid = \"" << m_node << "\"\nfailure_domain = \"" << m_zone.name << "\"\nregion = \"" << m_zone.region
            << "\"\ncapacity = 0.25\n\n[domains]\n";
        for (const Zone &zone : zones) {
            out << "\"" << zone.name << "\" = \"" << zone.region << "\"\n";
        }
        out << "\n[listen]\ncallers = \"" << ip << ":" << callers << "\"\ndirectory = \"" << ip << ":" << directory << "\"\nreadiness = \"" << ip << ":"
            << readiness << "\"\npeers = \"" << ip << ":" << peers << "\"\nmetrics = \"" << ip << ":" << metrics << "\"\n\n[peers]\nseeds = [";
        for (std::size_t i = 0; i < seeds.size(); ++i) {
            out << (i == 0 ? "" : ",") << "\"" << seeds[i] << "\"";
        }
        out << "]\n\n[store]\naddress = \"" << store.text() << "\"\n\n[directory]\nlifetime_s = 2\n\n[promises]\ngrace_s = 8\n"
            << "configuration_within_ms = 3000\nleaving_within_ms = 3000\nevacuation_within_ms = 5000\nretry_ratio = 0.2\nretry_slack = " << retrySlack
            << "\nretry_window_s = 10\n";
    }
    void start()
    {
        m_pid = ::fork();
        if (m_pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with the script
            const int log = ::open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(log, 1);
            ::dup2(log, 2);
            ::setenv("ARBUTUSGLADE_CONFIG", m_settings.c_str(), 1);
            ::execl("target/arbutus-gateway", "target/arbutus-gateway", nullptr);
            ::_exit(127);
        }
    }
    bool waitReady(long timeoutMs) const
    {
        const auto until = Clock::now() + Ms(timeoutMs);
        while (Clock::now() < until) {
            if (isReady()) {
                return true;
            }
            sleepMs(50);
        }
        return false;
    }
    bool isReady() const
    {
        const auto channel = connectTo(Address{ip, readiness});
        Message answer;
        return channel && channel->write("GET /-/readiness HTTP/1.1\r\nHost: ready\r\n\r\n") && channel->readHead(answer, Clock::now() + Ms(500))
            && answer.status() == 200;
    }
    void signal(int number) const
    {
        if (m_pid > 0) {
            ::kill(m_pid, number);
        }
    }
    /// Whether the process has ended; its status is then collected.
    bool hasEnded()
    {
        if (m_pid > 0 && ::waitpid(m_pid, &m_status, WNOHANG) == m_pid) {
            m_pid = 0;
        }
        return m_pid == 0;
    }
    int status() const
    {
        return m_status;
    }
    const std::string &node() const
    {
        return m_node;
    }
    Address front() const
    {
        return Address{ip, callers};
    }

private:
    std::string m_node;
    Zone m_zone;
    std::string m_settings;
    std::string m_log;
    pid_t m_pid = 0;
    int m_status = 0;
};

/// Starts a gateway in each of `places`, each on an address of its own; empty if they don't get ready.
inline std::vector<std::unique_ptr<Gateway>>
startGateways(const std::vector<Zone> &zones, const std::vector<Zone> &places, const std::string &folder, const Address &store)
{
    constexpr int Tries = 3; // another process may take a port that was free a moment ago
    for (int attempt = 0; attempt < Tries; ++attempt) {
        std::vector<std::unique_ptr<Gateway>> gateways;
        std::vector<std::string> seeds;
        const int peersPort = freePort("127.0.0.31");
        for (std::size_t i = 0; i < places.size(); ++i) {
            gateways.push_back(std::make_unique<Gateway>("front-" + places[i].name + "-" + std::to_string(i + 1), places[i], folder));
            gateways.back()->ip = "127.0.0." + std::to_string(31 + i);
            gateways.back()->choosePorts(peersPort);
            if (seeds.size() < 3) {
                seeds.push_back(gateways.back()->ip + ":" + std::to_string(peersPort));
            }
        }
        bool isReady = true;
        for (const auto &gateway : gateways) {
            gateway->writeSettings(zones, seeds, store, 58);
            gateway->start();
        }
        for (const auto &gateway : gateways) {
            isReady = isReady && gateway->waitReady(5'000);
        }
        if (isReady) {
            return gateways;
        }
    }
    return {};
}

} // namespace review
