// A zone is evacuated and taken back; its workers are cold from then on for some seconds, and say so in their next beat.
//
//   coldworkers FOLDER RECORD TROUBLE
//
// Exits with 1 if a cold worker got more requests in one second than cold_per_s x cold_overshoot + cold_slack. A worker that gets
// more than twice that crashes, with what it is running, and starts again later under another id.

#include "standins.h"

using namespace review;

namespace {

constexpr double ColdPerSecond = 1.7;
constexpr double ColdOvershoot = 1.5;
constexpr double ColdSlack = 3;
constexpr long ColdMs = 3'000;
constexpr long BeatMs = 1'200;
constexpr long EvacuationMs = 8'000;
constexpr int Workers = 5;
constexpr int Gateways = 3;
constexpr int Clients = 10;
constexpr long ClientPauseMs = 300; // between two requests of a client
constexpr int Rounds = 6;

struct Worker
{
    std::string id;
    std::unique_ptr<Listener> listener;
    std::mutex mutex;
    Clock::time_point coldUntil{};
    std::deque<Clock::time_point> coldArrivals; // of the last second, while cold
    std::size_t mostInOneSecond = 0;
    long runs = 0;
    int starts = 1;
    bool isDown = false;

    std::string currentId()
    {
        return id + (starts > 1 ? "-" + std::to_string(starts) : "");
    }
};

std::atomic<int> broken = 0;
std::atomic<int> crashes = 0;
std::atomic<int> lostStreams = 0;

void serveWorker(Worker &worker, Channel &channel, Record &record)
{
    Message request;
    int start = 0;
    {
        const std::lock_guard lock(worker.mutex);
        start = worker.starts;
        if (worker.isDown) {
            channel.reset();
            return;
        }
    }
    while (channel.readHead(request, Clock::now() + std::chrono::seconds(60))) {
        const auto arrivedAt = Clock::now();
        if (!channel.readBody(request, arrivedAt + std::chrono::seconds(5))) {
            return;
        }
        const std::string id = request.headers.get("X-Attempt-Id");
        {
            const std::lock_guard lock(worker.mutex);
            if (worker.isDown || worker.starts != start) {
                channel.reset();
                return;
            }
            if (request.headers.get("X-Expect-Instance") != worker.currentId()) {
                channel.write("HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " + worker.currentId() + "\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            ++worker.runs;
            if (arrivedAt < worker.coldUntil) {
                worker.coldArrivals.push_back(arrivedAt);
                while (arrivedAt - worker.coldArrivals.front() > Ms(1'000)) {
                    worker.coldArrivals.pop_front();
                }
                worker.mostInOneSecond = std::max(worker.mostInOneSecond, worker.coldArrivals.size());
                if (static_cast<double>(worker.coldArrivals.size()) > ColdPerSecond * ColdOvershoot + ColdSlack) {
                    ++broken;
                    record.line(
                        "FAILBACK: %s is cold and got %zu requests within one second (%s)", worker.currentId().c_str(), worker.coldArrivals.size(), id.c_str());
                }
                if (static_cast<double>(worker.coldArrivals.size()) > 2 * (ColdPerSecond * ColdOvershoot + ColdSlack)) {
                    ++crashes;
                    worker.isDown = true;
                    record.line("%s crashes", worker.currentId().c_str());
                    channel.reset();
                    return;
                }
            }
        }
        channel.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: " + id + "\r\nX-Response-Stamp: s." + id
                      + "\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int i = 1; i <= 8; ++i) {
            sleepMs(25);
            {
                const std::lock_guard lock(worker.mutex);
                if (worker.isDown || worker.starts != start) {
                    ++lostStreams;
                    record.line("%s is lost in the crash after %d events", id.c_str(), i - 1);
                    channel.reset();
                    return;
                }
            }
            const std::string event = "id: " + std::to_string(i) + "\ndata: token\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", event.size());
            if (!channel.write(size + event + "\r\n")) {
                return;
            }
        }
        channel.write("0\r\n\r\n");
    }
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 4) {
        return 2;
    }
    const std::string folder = argv[1];
    Record record(argv[2]);
    const bool trouble = std::string(argv[3]) != "0";
    Store store;
    const std::vector<Zone> zones{{"hatyai-a", "hatyai"}};
    std::vector<std::unique_ptr<Worker>> workers;
    for (int i = 0; i < Workers; ++i) {
        workers.push_back(std::make_unique<Worker>());
        Worker &worker = *workers.back();
        worker.id = "i-" + std::to_string(i);
        worker.listener = std::make_unique<Listener>("127.0.0.1", [&worker, &record](Channel &channel) { serveWorker(worker, channel, record); });
    }
    store.put(
        "op/config",
        R"({"version":7,"routes":[)"
        R"({"name":"r-desk","host":"press.example","path_prefix":"/desk/","route_type":"streaming","timeout_ms":15000,"target_latency_ms":600,"priority":0,"service":"almanac","max_attempts":2,"session_affinity":true,"resumable":false,"target_gap_ms":400,"home_regions":[]}],)"
        R"("services":[{"name":"almanac","health_path":"/health","max_connections":370,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":1.7,"engine":{"slots":64,"kv_capacity":230111,"kv_token_bytes":327680,"link_mbps":180000.0,"stride":5,"models":[{"name":"m"}]}}],)"
        R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}})");
    std::atomic<bool> stop = false;
    std::vector<std::thread> beats;
    for (int i = 0; i < Workers; ++i) {
        beats.emplace_back([&, i] {
            Worker &worker = *workers[static_cast<std::size_t>(i)];
            sleepMs(i * BeatMs / Workers);
            for (int sequence = 1; !stop; ++sequence) {
                long cold = 0;
                bool isDown = false;
                std::string id;
                {
                    const std::lock_guard lock(worker.mutex);
                    isDown = worker.isDown;
                    id = worker.currentId();
                }
                if (isDown) { // its entry goes after three beats of silence; then it starts again
                    sleepMs(3 * BeatMs);
                    store.remove("servers/" + id);
                    sleepMs(1'000);
                    const std::lock_guard lock(worker.mutex);
                    ++worker.starts;
                    worker.isDown = false;
                    worker.coldUntil = Clock::now() + Ms(ColdMs);
                    worker.coldArrivals.clear();
                    id = worker.currentId();
                    sequence = 1;
                }
                {
                    const std::lock_guard lock(worker.mutex);
                    cold = std::max<long>(0, std::chrono::duration_cast<Ms>(worker.coldUntil - Clock::now()).count());
                }
                store.put("servers/" + id,
                          R"({"service":"almanac","address":")" + worker.listener->address().text()
                              + R"(","zone":"hatyai-a","version":"v1","slots":64,"state":"ready","cold_remaining_ms":)" + std::to_string(cold)
                              + R"(,"phase":"prefill_decode","models":[{"name":"m","version":1,"adapters":[]}],"sequence":)" + std::to_string(sequence) + "}");
                if (cold > 0) {
                    record.line("%s says that it is cold for %ld ms", id.c_str(), cold);
                }
                sleepMs(BeatMs);
            }
        });
    }
    int result = 0;
    {
        std::vector<std::unique_ptr<Gateway>> gateways = startGateways(zones, std::vector<Zone>(Gateways, zones[0]), folder, store.address());
        if (gateways.empty()) {
            record.line("the gateways aren't ready");
            result = 2;
        }
        sleepMs(3'000);
        std::atomic<int> served = 0;
        std::atomic<int> refused = 0;
        std::atomic<int> other = 0;
        std::vector<std::thread> clients;
        for (int c = 0; c < Clients && result == 0; ++c) {
            clients.emplace_back([&, c] {
                std::unique_ptr<Channel> channel;
                sleepMs(c * ClientPauseMs / Clients);
                for (int i = 0; !stop; ++i) {
                    if (!channel || !channel->isOpen()) {
                        channel = connectTo(gateways[static_cast<std::size_t>(c) % gateways.size()]->front());
                    }
                    const std::string id = "c" + std::to_string(c) + "-" + std::to_string(i);
                    Message answer;
                    const auto until = Clock::now() + Ms(5'000);
                    const bool complete = channel
                        && channel->write("POST /desk/1 HTTP/1.1\r\nHost: press.example\r\nX-Attempt-Id: " + id
                                          + "\r\nX-Model: m\r\nX-Token-Count: 300,40\r\nX-Prompt-Prefix: 5c1e07a2:200," + id
                                          + ":100\r\nX-Deadline-Ms: 5000\r\nContent-Length: 2\r\n\r\n{}")
                        && channel->readHead(answer, until) && channel->readBody(answer, until);
                    served += complete && answer.status() == 200 ? 1 : 0;
                    refused += complete && answer.status() == 503 ? 1 : 0;
                    other += complete && (answer.status() == 200 || answer.status() == 503) ? 0 : 1;
                    if (!complete || strcasecmp(answer.headers.get("Connection").c_str(), "close") == 0) {
                        channel.reset();
                    }
                    sleepMs(ClientPauseMs);
                }
            });
        }
        for (int round = 0; round < Rounds && result == 0; ++round) {
            sleepMs(4'000 + round * 137);
            if (trouble) {
                record.line("op/evacuate/hatyai-a is written");
                store.put("op/evacuate/hatyai-a", "{}");
            }
            sleepMs(EvacuationMs);
            if (trouble) {
                for (const auto &worker : workers) {
                    const std::lock_guard lock(worker->mutex);
                    worker->coldUntil = Clock::now() + Ms(ColdMs);
                    worker->coldArrivals.clear();
                }
                store.remove("op/evacuate/hatyai-a");
                record.line("op/evacuate/hatyai-a is removed; the workers are cold for %ld ms", ColdMs);
            }
        }
        sleepMs(3'500);
        stop = true;
        for (std::thread &client : clients) {
            client.join();
        }
        for (const auto &worker : workers) {
            record.line("%s ran %ld requests; at most %zu within one second while it was cold", worker->id.c_str(), worker->runs, worker->mostInOneSecond);
        }
        record.line("%d times over the bound, %d crashes, %d streams lost in them", broken.load(), crashes.load(), lostStreams.load());
        record.line("%d served, %d refused with 503, %d others", served.load(), refused.load(), other.load());
        if (result == 0) {
            result = broken > 0 ? 1 : served == 0 ? 2 : 0;
        }
        record.line("result %d", result);
    }
    for (std::thread &beat : beats) {
        beat.join();
    }
    std::fflush(nullptr);
    ::_exit(result);
}
