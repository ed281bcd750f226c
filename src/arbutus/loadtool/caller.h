// Simulated client of the gateway: discovers entry instances, sends requests, retries on other instances and records the
// outcome of each request, which is later checked against the journals of the upstreams.

#pragma once

#include "arbutus/core/clock.h"
#include "arbutus/http/client.h"
#include "arbutus/loadtool/topology.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace arbutus::loadtool {

/// A request to send.
struct RequestPlan
{
    std::string requestId;
    const WorkspaceSpec *workspace = nullptr;
    std::string requestClass;
    bool isServiceCall = false;
    bool isRepeatable = true;
    bool stream = false;
    bool useIdempotencyKey = false; // send an Idempotency-Key instead of a ticket
    std::string body;
    std::string path;
    std::string expectedEcho; // hash that the answer must contain
    std::size_t maxTokens = 0;
    std::chrono::milliseconds deadline{0};
};

/// Final outcome of a request as the client knows it.
enum class ClientOutcome {
    Answered,
    Refused, // reported as not executed
    Unknown,
};

/// Outcome and timings of one request.
struct RequestRecord
{
    std::string requestId;
    std::string workspace;
    std::string requestClass;
    bool isServiceCall = false;
    bool isRepeatable = true;
    ClientOutcome outcome = ClientOutcome::Unknown;
    bool allNotExecuted = true; // every attempt was reported as not executed, or could not connect
    bool mismatched = false;    // the answer was complete, but not the expected one for this request
    bool late = false;          // answered after the deadline
    bool replayed = false;
    std::string errorKind;
    std::string region; // region that answered
    std::string upstream;
    std::string callerRegion; // region of the client
    std::size_t attempts = 0;
    std::size_t promptTokens = 0;
    std::size_t cachedTokens = 0;
    std::size_t tokens = 0;
    core::Duration timeToFirstToken{}; // since the scheduled start of the request
    core::Duration total{};
    core::Duration longestGap{}; // longest interval between two chunks of a stream
    std::int64_t dueMs = 0;      // scheduled start, relative to the start of the run
};

/// Clients of one workspace in one region, which share their entry list and tickets.
class CallerGroup
{
public:
    CallerGroup(boost::asio::any_io_executor executor, const core::Clock &clock, const Topology &topology, const WorkspaceSpec &workspace, std::string region);

    /// Sends one request, with retries, and returns its record.
    boost::asio::awaitable<RequestRecord> run(RequestPlan plan);

private:
    struct AttemptResult
    {
        bool answered = false;
        bool notExecuted = false; // reported by the gateway, or the connection could not be established
        bool connectionFailed = false;
        std::string newTicket;
        std::vector<std::string> entries; // entries suggested by a rejection
        std::chrono::milliseconds retryAfter{0};
    };

    boost::asio::awaitable<void> refreshEntries();
    boost::asio::awaitable<std::string> takeTicket();
    boost::asio::awaitable<AttemptResult>
    sendAttempt(const RequestPlan &plan, const std::string &entry, const std::string &ticket, core::TimePoint due, RequestRecord &record);
    boost::asio::awaitable<AttemptResult>
    readStream(const RequestPlan &plan, http::Call &call, const http::Response &head, core::TimePoint due, RequestRecord &record);
    [[nodiscard]] std::string entryAt(std::size_t index) const;
    void readRejection(const http::Response &answer, AttemptResult &result, RequestRecord &record);

    boost::asio::any_io_executor m_executor;
    const core::Clock &m_clock;
    const Topology &m_topology;
    const WorkspaceSpec &m_workspace;
    std::string m_region;
    std::vector<std::string> m_entries;    // URLs, those of the own region first
    std::size_t m_preferredEntryCount = 1; // number of leading entries that requests are spread over
    core::TimePoint m_entriesExpireAt{};
    std::deque<std::string> m_tickets;
    core::TimePoint m_ticketsExpireAt{};
    bool m_refreshing = false;
    std::uint64_t m_nextEntry = 0;
};

} // namespace arbutus::loadtool
