// Simulated upstream over HTTP: a model engine with an OpenAI-compatible API, or a plain service.
//
//   POST /v1/chat/completions, /v1/completions   streamed or not; the text starts with "echo:<hash of the prompt>"
//   GET  /load                                   load report, delayed by report_lag_ms
//   GET  /events?since=N                         prefix cache events, delayed by event_lag_ms; some are omitted
//   POST /orders                                 {"fencing":7,"order":"load","model":"…"}; an outdated token is rejected if checksFencing is set
//   GET  /cache/export, POST /cache/import       prefix blocks
//   GET  /journal                                one JSON line for each call started, finished or cancelled
//   GET/POST /faults                             injected faults, see UpstreamFaults
//   anything else on a plain service             a service call, recorded in the journal
//
// Request headers: X-Request-Id, X-Attempt-Id (echoed), X-Workspace, X-Priority, X-Resume-Offset (number of tokens that
// the client already has). A response with "X-Not-Run: 1" guarantees that the call was not executed.

#pragma once

#include "arbutus/http/server.h"
#include "arbutus/standin/engine.h"
#include "arbutus/standin/faultyexchange.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace arbutus::standin {

/// Faults that a simulated upstream injects; 0 disables a limit.
struct UpstreamFaults
{
    bool rejectCalls = false;            // reject calls with X-Not-Run
    bool closeBeforeExecution = false;   // close the connection without executing the call
    bool closeAfterExecution = false;    // execute the call, then close the connection without a response
    bool wrongAttemptId = false;         // respond with another attempt's ID
    bool leaving = false;                // reported by /load
    double slowFactor = 1.0;             // multiplies the duration of each step
    std::int64_t responseDelayMs = 0;    // added before each response
    std::int64_t stallAfterTokens = 0;   // stall the stream after this many tokens
    std::int64_t closeAfterTokens = 0;   // close the connection after this many tokens
    std::int64_t loadLagMs = 100;        // age of the report that /load returns
    std::int64_t eventLagMs = 200;       // age at which cache events become visible
    double eventLossRate = 0.0;          // fraction of cache events that are omitted
    std::int64_t serviceDurationMs = 20; // duration of a service call
    ResponseFaults response;             // framing and breaking off of responses, reports included
};

/// Settings of a simulated upstream.
struct UpstreamOptions
{
    std::string id;
    http::Endpoint listen;
    bool isModelEngine = true;    // false for a plain service
    std::set<std::string> models; // models loaded initially
    bool checksFencing = true;
    http::Endpoint weightStore; // source of model weights; with port 0, models load instantly
    EngineOptions engine;
};

/// Simulated upstream. Not thread-safe: the executor must run its handlers on a single thread.
class Upstream
{
public:
    Upstream(boost::asio::any_io_executor executor, const core::Clock &clock, UpstreamOptions options);
    Upstream(const Upstream &) = delete;
    Upstream &operator=(const Upstream &) = delete;
    ~Upstream();

    [[nodiscard]] std::uint16_t port() const;

private:
    struct Generation; // state of an answer being generated
    struct CallInfo;   // fields of a call that are written to the journal

    boost::asio::awaitable<void> handle(http::Exchange &exchange);
    boost::asio::awaitable<void> handleCall(http::Exchange &exchange);
    boost::asio::awaitable<void> handleCompletion(http::Exchange &exchange);
    boost::asio::awaitable<void> sendStream(http::Exchange &exchange, const CallInfo &call, const std::shared_ptr<Generation> &generation);
    boost::asio::awaitable<void> sendCompletion(http::Exchange &exchange, const CallInfo &call, const std::shared_ptr<Generation> &generation);
    boost::asio::awaitable<void> handleServiceCall(http::Exchange &exchange);
    boost::asio::awaitable<void> handleCommand(http::Exchange &exchange);
    boost::asio::awaitable<void> engineLoop();
    boost::asio::awaitable<void> loadReportLoop();

    [[nodiscard]] CallInfo readCallInfo(const http::Request &request) const;
    [[nodiscard]] boost::json::object currentLoad() const;
    [[nodiscard]] std::string delayedLoad() const;
    [[nodiscard]] std::string cacheEvents(std::uint64_t since) const;
    [[nodiscard]] std::string cacheToJson() const;
    void importCache(std::string_view text);
    void appendJournal(const CallInfo &call, std::string_view phase);
    void setFaults(const boost::json::object &faults);
    [[nodiscard]] boost::json::object faultsToJson() const;

    boost::asio::any_io_executor m_executor;
    const core::Clock &m_clock;
    UpstreamOptions m_options;
    UpstreamFaults m_faults;
    Engine m_engine;
    std::set<std::string> m_models;
    std::string m_role = "mixed";
    std::uint64_t m_highestFencingToken = 0;
    std::map<SequenceId, std::shared_ptr<Generation>> m_generations;
    std::deque<std::pair<core::TimePoint, std::string>> m_loadReports; // oldest first
    std::string m_journal;
    std::string m_lastAttemptId; // for UpstreamFaults::wrongAttemptId
    boost::asio::steady_timer m_workAvailable;
    std::unique_ptr<http::Server> m_server;
};

} // namespace arbutus::standin
