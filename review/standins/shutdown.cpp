// A planned stop of a gateway while clients use their channels for one stream after the other.
//
//   shutdown FOLDER RECORD TROUBLE
//
// Exits with 1 if a stream that was sent later than 3 s after the SIGTERM, and was passed on to the worker, got no complete
// answer.

#include "standins.h"

using namespace review;

namespace {

constexpr int Channels = 6;
constexpr long GraceMs = 8'000;
constexpr long EventMs = 50; // between two events of a stream
constexpr long DirectoryTtlMs = 2'000;

struct Run
{
    long beganAt = 0;
    long endedAt = 0;
    int events = 0;
    bool complete = false; // the worker has sent the whole answer
};

std::mutex runsMutex;
std::map<std::string, Run> runs; // by attempt

/// A model worker: a stream has one event for each 5 output tokens.
void serveWorker(Channel &channel, Record &record)
{
    Message request;
    while (channel.readHead(request, Clock::now() + std::chrono::seconds(60))) {
        if (!channel.readBody(request, Clock::now() + std::chrono::seconds(5))) {
            return;
        }
        const std::string id = request.headers.get("X-Attempt-Id");
        if (request.method() == "GET") {
            channel.write("HTTP/1.1 200 OK\r\nX-Instance-Id: i-1\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        const std::string tokens = request.headers.get("X-Token-Count");
        const int events = std::atoi(tokens.c_str() + tokens.find(',') + 1) / 5;
        {
            const std::lock_guard lock(runsMutex);
            runs[id] = Run{record.now(), 0, 0, false};
        }
        channel.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: " + id + "\r\nX-Response-Stamp: s." + id
                      + "\r\nTransfer-Encoding: chunked\r\n\r\n");
        bool open = true;
        for (int i = 1; i <= events && open; ++i) {
            sleepMs(EventMs);
            const std::string event = "id: " + std::to_string(i) + "\ndata: token\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", event.size());
            open = !channel.isGone() && channel.write(size + event + "\r\n");
            const std::lock_guard lock(runsMutex);
            runs[id].events += open ? 1 : 0;
        }
        open = open && channel.write("0\r\n\r\n");
        const std::lock_guard lock(runsMutex);
        runs[id].endedAt = record.now();
        runs[id].complete = open;
        if (!open) {
            return;
        }
    }
}

struct Answer
{
    int status = 0;
    int events = 0;
    bool complete = false;
    bool keepsChannel = false;
    std::string end;
    long sentAt = 0;
    long endedAt = 0;
};

Answer sendStream(Channel &channel, const std::string &path, const std::string &id, int events, Record &record)
{
    Answer out;
    out.sentAt = record.now();
    const std::string body = "{\"prompt\":\"x\"}";
    channel.write("POST " + path + "1 HTTP/1.1\r\nHost: press.example\r\nX-Attempt-Id: " + id + "\r\nX-Model: m\r\nX-Token-Count: 300,"
                  + std::to_string(events * 5) + "\r\nX-Prompt-Prefix: 5c1e07a2:200," + id
                  + ":100\r\nX-Deadline-Ms: 15000\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    Message answer;
    const auto until = Clock::now() + std::chrono::seconds(15);
    if (channel.readHead(answer, until)) {
        out.status = answer.status();
        out.complete = channel.readBody(answer, until);
        std::size_t at = 0;
        while ((at = answer.body.find("id: ", at)) != std::string::npos) {
            ++out.events;
            ++at;
        }
        out.keepsChannel = out.complete && strcasecmp(answer.headers.get("Connection").c_str(), "close") != 0;
    }
    out.end = out.complete ? "complete" : channel.end();
    out.endedAt = record.now();
    return out;
}

/// The address that the directory gives; empty if it gives none.
Address resolve(const Gateway &gateway)
{
    const auto channel = connectTo(Address{gateway.ip, gateway.directory});
    Message answer;
    const auto until = Clock::now() + Ms(1'000);
    if (!channel || !channel->write("GET /-/resolve?name=press.example&region=bangkok&zone=bangkok-a HTTP/1.1\r\nHost: directory\r\n\r\n")
        || !channel->readHead(answer, until) || !channel->readBody(answer, until) || answer.status() != 200) {
        return Address{"127.0.0.1", 0};
    }
    return Address::parse(std::string(json::parse(answer.body).as_object().at("addresses").as_array().at(0).as_string()));
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
    const Listener worker("127.0.0.1", [&](Channel &channel) { serveWorker(channel, record); });
    const std::vector<Zone> zones{{"bangkok-a", "bangkok"}};
    store.put(
        "op/config",
        R"({"version":7,"routes":[)"
        R"({"name":"r-desk","host":"press.example","path_prefix":"/desk/","route_type":"streaming","timeout_ms":15000,"target_latency_ms":600,"priority":0,"service":"almanac","max_attempts":1,"session_affinity":true,"resumable":false,"target_gap_ms":400,"home_regions":[]},)"
        R"({"name":"r-date","host":"press.example","path_prefix":"/date/","route_type":"streaming","timeout_ms":15000,"target_latency_ms":1000,"priority":1,"service":"almanac","max_attempts":1,"session_affinity":true,"resumable":false,"target_gap_ms":400,"home_regions":[]}],)"
        R"("services":[{"name":"almanac","health_path":"/health","max_connections":370,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0,"engine":{"slots":64,"kv_capacity":230111,"kv_token_bytes":327680,"link_mbps":180000.0,"stride":5,"models":[{"name":"m"}]}}],)"
        R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}})");
    std::atomic<bool> stopBeats = false;
    std::thread beats([&] {
        for (int sequence = 1; !stopBeats; ++sequence) {
            store.put(
                "servers/i-1",
                R"({"service":"almanac","address":")" + worker.address().text()
                    + R"(","zone":"bangkok-a","version":"v1","slots":64,"state":"ready","cold_remaining_ms":0,"phase":"prefill_decode","models":[{"name":"m","version":1,"adapters":[]}],"sequence":)"
                    + std::to_string(sequence) + "}");
            for (int i = 0; i < 12 && !stopBeats; ++i) {
                sleepMs(100);
            }
        }
    });
    int result = 0;
    {
        Gateway gateway("front-1", zones[0], folder);
        gateway.choosePorts(0);
        gateway.writeSettings(zones, {}, store.address(), 58);
        gateway.start();
        if (!gateway.waitReady(10'000)) {
            record.line("the gateway isn't ready");
            result = 2;
        }
        sleepMs(2'000);
        std::mutex mutex;
        std::vector<std::pair<std::string, Answer>> answers;
        const auto note = [&](const std::string &id, const std::string &kind, const Answer &answer) {
            record.line(
                "%s %-22s sent at %ld: status %d, %d events, %s", id.c_str(), kind.c_str(), answer.sentAt, answer.status, answer.events, answer.end.c_str());
            const std::lock_guard lock(mutex);
            answers.emplace_back(id, answer);
        };
        long termAt = -1;
        if (result == 0) {
            // The usual day: short answers of the desk, on kept channels.
            std::vector<std::thread> clients;
            for (int c = 0; c < Channels; ++c) {
                clients.emplace_back([&, c] {
                    const auto channel = connectTo(gateway.front());
                    for (int i = 0; channel && i < 8; ++i) {
                        const std::string id = "a" + std::to_string(c) + "0" + std::to_string(i);
                        note(id, "desk, usual", sendStream(*channel, "/desk/", id, 8 + i % 3, record));
                    }
                });
            }
            for (std::thread &client : clients) {
                client.join();
            }
            clients.clear();
            // Each client has a date check under way when the stop begins, and goes on with a question to the desk on the same channel.
            for (int c = 0; c < Channels; ++c) {
                clients.emplace_back([&, c] {
                    const auto resolvedAt = Clock::now();
                    const Address front = resolve(gateway);
                    const auto channel = connectTo(front);
                    const std::string first = "b" + std::to_string(c);
                    const Answer check = channel ? sendStream(*channel, "/date/", first, 90 + 3 * c, record) : Answer();
                    if (!channel) {
                        return;
                    }
                    if (!check.keepsChannel) {
                        note(first, "date, before the stop", check);
                        return;
                    }
                    // It may use the directory's answer for three times its ttl_s.
                    if (Clock::now() - resolvedAt > Ms(3 * DirectoryTtlMs)) {
                        note(first, "date, before the stop", check);
                        return;
                    }
                    const std::string second = "c" + std::to_string(c);
                    const Answer question = sendStream(*channel, "/desk/", second, 80, record);
                    note(first, "date, before the stop", check);
                    note(second, "desk, longer answer", question);
                });
            }
            sleepMs(500);
            if (trouble) {
                termAt = record.now();
                record.line("SIGTERM");
                gateway.signal(SIGTERM);
            }
            for (std::thread &client : clients) {
                client.join();
            }
        }
        if (trouble) {
            sleepMs(500); // for the worker to see that its channels were closed
            record.line("the gateway has %s", gateway.hasEnded() ? "ended" : "not ended");
        }
        int lost = 0;
        int incomplete = 0;
        const std::lock_guard lock(runsMutex);
        for (const auto &[id, answer] : answers) {
            const auto run = runs.find(id);
            const bool passedOn = run != runs.end();
            incomplete += answer.complete ? 0 : 1;
            if (passedOn && !answer.complete) {
                record.line("%s: the worker had sent %d events and was at work from %ld to %ld, %s",
                            id.c_str(),
                            run->second.events,
                            run->second.beganAt,
                            run->second.endedAt,
                            run->second.complete ? "to the end" : "until its channel was closed");
            }
            const bool isLate = termAt >= 0 && answer.sentAt > termAt + 3'000 && answer.endedAt <= termAt + GraceMs + 1'000;
            if (isLate && passedOn && !answer.complete && answer.endedAt - answer.sentAt < 14'900) {
                record.line(
                    "LOST: %s, sent %ld ms after the SIGTERM, passed on, %d events, no complete answer", id.c_str(), answer.sentAt - termAt, answer.events);
                ++lost;
            }
        }
        if (!trouble && incomplete > 0) {
            record.line("%d streams without a complete answer although nothing was disturbed", incomplete);
            result = 2;
        }
        if (result == 0) {
            result = lost > 0 ? 1 : 0;
        }
        record.line("result %d: %d requests lost", result, lost);
    }
    stopBeats = true;
    beats.join();
    std::fflush(nullptr);
    ::_exit(result);
}
