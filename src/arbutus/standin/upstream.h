// An upstream on the wire: a model engine behind the OpenAI-compatible interface, or a plain service.
//
//   POST /v1/chat/completions, /v1/completions   stream or whole; the answer starts with "echo:<hash of the prompt>"
//   GET  /load                                   state, with a lag
//   GET  /events?since=N                         cache events, late and with gaps
//   POST /orders                                 {"fencing":7,"order":"load","model":"…"}; an old number is refused where checked
//   GET  /cache/export, POST /cache/import       prefix blocks
//   GET  /journal                                one JSON line for each start, finish and cancellation
//   GET/POST /faults                             switches, see UpstreamFaults
//   anything else on a plain service             one call, journaled
//
// Agreed headers: X-Request-Id, X-Attempt-Id (echoed), X-Workspace, X-Priority, X-Resume-Offset (tokens already had).
// A refusal with "X-Not-Run: 1" is the upstream's word that the call did not run.

#pragma once

#include "arbutus/http/server.h"
#include "arbutus/standin/engine.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace arbutus::standin {

/// Fault switches of one upstream; counts are tokens of one answer, 0 = off.
struct UpstreamFaults
{
    bool refuse = false;            // calls are refused with X-Not-Run
    bool dropBefore = false;        // the connection closes before the call takes effect
    bool dropAfter = false;         // the call takes effect, its answer is lost
    bool wrongId = false;           // answers carry another attempt's id
    bool leaving = false;           // reported in /load
    double slowFactor = 1.0;        // steps last this many times longer
    std::int64_t lateMs = 0;        // added before each answer
    std::int64_t stallAfter = 0;    // tokens, then nothing more comes
    std::int64_t closeAfter = 0;    // tokens, then the connection closes
    std::int64_t reportLagMs = 100; // age of /load
    std::int64_t eventLagMs = 200;  // age of cache events
    double eventGap = 0.0;          // share of cache events left out
    std::int64_t serviceMs = 20;    // duration of a plain service's call
};

/// What an upstream is.
struct UpstreamOptions
{
    std::string id;
    http::Endpoint listen;
    bool model = true;            // false = plain service
    std::set<std::string> models; // loaded at the start
    bool checksFencing = true;
    http::Endpoint weightStore; // where loads are fetched from; port 0 = loads are at once
    EngineOptions engine;
};

/// The stand-in; its handlers run on one executor thread.
class Upstream
{
public:
    Upstream(boost::asio::any_io_executor executor, const core::Clock &clock, UpstreamOptions options);
    Upstream(const Upstream &) = delete;
    Upstream &operator=(const Upstream &) = delete;
    ~Upstream();

    [[nodiscard]] std::uint16_t port() const;

private:
    struct Stream; // one answer being generated
    struct Run;    // one journaled call

    boost::asio::awaitable<void> handle(http::Exchange &exchange);
    boost::asio::awaitable<void> complete(http::Exchange &exchange);
    boost::asio::awaitable<void> streamTokens(http::Exchange &exchange, const Run &run, const std::shared_ptr<Stream> &stream);
    boost::asio::awaitable<void> wholeAnswer(http::Exchange &exchange, const Run &run, const std::shared_ptr<Stream> &stream);
    boost::asio::awaitable<void> callService(http::Exchange &exchange);
    boost::asio::awaitable<void> order(http::Exchange &exchange);
    boost::asio::awaitable<void> engineLoop();
    boost::asio::awaitable<void> reportLoop();

    [[nodiscard]] Run describeRun(const http::Request &request) const;
    [[nodiscard]] boost::json::object loadNow() const;
    [[nodiscard]] std::string laggedLoad() const;
    [[nodiscard]] std::string cacheEvents(std::uint64_t since) const;
    [[nodiscard]] std::string exportedBlocks() const;
    void importBlocks(std::string_view text);
    void journal(const Run &run, std::string_view phase);
    void setFaults(const boost::json::object &faults);
    [[nodiscard]] boost::json::object showFaults() const;

    boost::asio::any_io_executor m_executor;
    const core::Clock &m_clock;
    UpstreamOptions m_options;
    UpstreamFaults m_faults;
    Engine m_engine;
    std::set<std::string> m_models;
    std::string m_role = "mixed";
    std::uint64_t m_fencing = 0;
    std::map<SequenceId, std::shared_ptr<Stream>> m_streams;
    std::deque<std::pair<core::TimePoint, std::string>> m_reports; // oldest first
    std::string m_journal;
    std::string m_lastAttempt; // for the wrong-id fault
    boost::asio::steady_timer m_work;
    std::unique_ptr<http::Server> m_server;
};

} // namespace arbutus::standin
