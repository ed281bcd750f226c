// The only worker of a service in a region crashes, so that its requests go through a gateway of the other region. Their heads are
// nearly as long as the configuration allows.
//
//   longheads FOLDER RECORD TROUBLE
//
// Exits with 1 if more than 5 + one in 500 of all requests got a 4xx that no worker gave.

#include "standins.h"

using namespace review;

namespace {

constexpr std::size_t MaxHeaderBytes = 16'384; // max_header_bytes of the configuration
constexpr std::size_t HeadBytes = 16'300;
constexpr int Requests = 60;
constexpr long PauseMs = 150;
constexpr long CrashMs = 4'500;
constexpr long SilenceMs = 3'600; // three beats, after which the worker's entry is removed

struct Worker
{
    std::string id;
    std::string zone;
    std::unique_ptr<Listener> listener;
    std::atomic<bool> isDown = false;
    std::atomic<int> runs = 0;
};

void serveWorker(Worker &worker, Channel &channel)
{
    Message request;
    while (channel.readHead(request, Clock::now() + std::chrono::seconds(60))) {
        if (worker.isDown) {
            channel.reset();
            return;
        }
        if (!channel.readBody(request, Clock::now() + std::chrono::seconds(5))) {
            return;
        }
        ++worker.runs;
        sleepMs(20);
        const std::string id = request.headers.get("X-Attempt-Id");
        channel.write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Stamp: s." + id + "\r\nContent-Length: 4\r\n\r\ndone");
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
    const std::vector<Zone> zones{{"bangkok-a", "bangkok"}, {"chiangmai-a", "chiangmai"}};
    std::vector<std::unique_ptr<Worker>> workers;
    for (const Zone &zone : zones) {
        workers.push_back(std::make_unique<Worker>());
        Worker &worker = *workers.back();
        worker.id = "i-" + zone.region;
        worker.zone = zone.name;
        worker.listener = std::make_unique<Listener>("127.0.0.1", [&worker](Channel &channel) { serveWorker(worker, channel); });
    }
    store.put(
        "op/config",
        R"({"version":7,"routes":[)"
        R"({"name":"r-order","host":"press.example","path_prefix":"/order/","route_type":"unsafe","timeout_ms":4000,"target_latency_ms":400,"priority":2,"service":"order-desk","max_attempts":2,"session_affinity":false,"resumable":false,"target_gap_ms":0,"home_regions":[]}],)"
        R"("services":[{"name":"order-desk","health_path":"/health","max_connections":110,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0}],)"
        R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}})");
    std::atomic<bool> stop = false;
    std::thread beats([&] {
        for (int sequence = 1; !stop; ++sequence) {
            for (const auto &worker : workers) {
                if (!worker->isDown) {
                    store.put("servers/" + worker->id,
                              R"({"service":"order-desk","address":")" + worker->listener->address().text() + R"(","zone":")" + worker->zone
                                  + R"(","version":"v1","slots":6,"state":"ready","cold_remaining_ms":0,"sequence":)" + std::to_string(sequence) + "}");
                }
            }
            for (int i = 0; i < 12 && !stop; ++i) {
                sleepMs(100);
            }
        }
    });
    int result = 0;
    {
        std::vector<std::unique_ptr<Gateway>> gateways = startGateways(zones, zones, folder, store.address());
        if (gateways.empty()) {
            record.line("the gateways aren't ready");
            result = 2;
        }
        sleepMs(4'000);
        std::thread crash;
        if (trouble && result == 0) {
            crash = std::thread([&] {
                Worker &worker = *workers.front();
                worker.isDown = true;
                record.line("%s crashes", worker.id.c_str());
                sleepMs(SilenceMs);
                store.remove("servers/" + worker.id);
                sleepMs(CrashMs - SilenceMs);
                worker.id += "-2";
                worker.isDown = false;
                record.line("%s starts", worker.id.c_str());
            });
        }
        std::unique_ptr<Channel> channel;
        int served = 0;
        int denied = 0;
        int other = 0;
        for (int i = 0; i < Requests && result == 0; ++i) {
            if (!channel || !channel->isOpen()) {
                channel = connectTo(gateways.front()->front());
            }
            const std::string id = "o-" + std::to_string(i);
            std::string head =
                "POST /order/1 HTTP/1.1\r\nHost: press.example\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: 4000\r\nContent-Length: 2\r\nCookie: c=";
            head += std::string(HeadBytes - head.size() - 4, 'x') + "\r\n\r\n";
            Message answer;
            const auto until = Clock::now() + Ms(4'000);
            const bool complete = channel && channel->write(head + "{}") && channel->readHead(answer, until) && channel->readBody(answer, until);
            const bool isOwn = answer.headers.get("X-Response-Stamp").empty();
            const int status = complete ? answer.status() : 0;
            record.line("%s head of %zu bytes: status %d, %s, %s", id.c_str(), head.size(), status, isOwn ? "no worker's" : "a worker's", answer.body.c_str());
            served += status == 200 ? 1 : 0;
            denied += isOwn && status >= 300 && status < 500 && status != 408 && status != 421 && status != 429 ? 1 : 0;
            other += status == 200 || (status >= 300 && status < 500) ? 0 : 1;
            if (!complete || strcasecmp(answer.headers.get("Connection").c_str(), "close") == 0) {
                channel.reset();
            }
            sleepMs(PauseMs);
        }
        if (crash.joinable()) {
            crash.join();
        }
        record.line("%d requests with heads of %zu bytes (max_header_bytes %zu): %d served, %d denied, %d others",
                    Requests,
                    HeadBytes,
                    MaxHeaderBytes,
                    served,
                    denied,
                    other);
        if (result == 0) {
            result = denied > 5 + Requests / 500 ? 1 : served == 0 ? 2 : 0;
        }
        record.line("result %d", result);
    }
    stop = true;
    beats.join();
    std::fflush(nullptr);
    ::_exit(result);
}
