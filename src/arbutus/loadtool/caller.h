// A caller as users' programs are: asks which entry to use, sends, retries elsewhere, and keeps a record of what it was
// told, so that it can be compared with the upstreams' journals.

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

/// One request to be made.
struct Plan
{
    std::string requestId;
    const WorkspaceLine *workspace = nullptr;
    std::string requestClass;
    bool service = false;
    bool repeatable = true;
    bool stream = false;
    bool idempotencyKey = false; // instead of a ticket
    std::string body;
    std::string path;
    std::string expectedEcho; // what the answer must carry
    std::size_t maxTokens = 0;
    std::chrono::milliseconds deadline{0};
};

/// What the caller was told in the end.
enum class Told {
    Answered,
    Refused, // not run
    Unknown,
};

/// Record of one request.
struct Record
{
    std::string requestId;
    std::string workspace;
    std::string requestClass;
    bool service = false;
    bool repeatable = true;
    Told told = Told::Unknown;
    bool onlyNotRun = true; // every try was answered "not run" or never left
    bool crossed = false;   // an answer that was not to this request, passed on as whole
    bool late = false;      // past the class's deadline
    bool replayed = false;
    std::string errorKind;
    std::string region; // that answered
    std::string upstream;
    std::string entryRegion; // where it was sent first
    std::size_t tries = 0;
    std::size_t promptTokens = 0;
    std::size_t cachedTokens = 0;
    std::size_t tokens = 0;
    core::Duration firstToken{}; // since the request was due
    core::Duration total{};
    core::Duration longestGap{}; // between two pieces of a stream
    std::int64_t dueMs = 0;      // since the start of the run
};

/// Callers of one workspace near one region, sharing their entry list and tickets.
class CallerGroup
{
public:
    CallerGroup(boost::asio::any_io_executor executor, const core::Clock &clock, const Topology &topology, const WorkspaceLine &workspace, std::string region);

    /// Makes one request, with retries, and gives its record.
    boost::asio::awaitable<Record> run(Plan plan);

private:
    struct Try
    {
        bool answered = false;
        bool notRun = false; // the system's word, or the connection was refused
        bool connectionFailed = false;
        std::string freshTicket;
        std::vector<std::string> entries; // named by a refusal
        std::chrono::milliseconds retryAfter{0};
    };

    boost::asio::awaitable<void> refreshEntries();
    boost::asio::awaitable<std::string> takeTicket();
    boost::asio::awaitable<Try> tryOnce(const Plan &plan, const std::string &entry, const std::string &ticket, core::TimePoint due, Record &record);
    boost::asio::awaitable<Try> readStream(const Plan &plan, http::Call &call, const http::Response &head, core::TimePoint due, Record &record);
    [[nodiscard]] std::string entryAt(std::size_t index) const;
    void noteRefusal(const http::Response &answer, Try &tried, Record &record);

    boost::asio::any_io_executor m_executor;
    const core::Clock &m_clock;
    const Topology &m_topology;
    const WorkspaceLine &m_workspace;
    std::string m_region;
    std::vector<std::string> m_entries; // URLs, best first
    std::size_t m_near = 1;             // of these, in the first one's region: callers spread over them
    core::TimePoint m_entriesUntil{};
    std::deque<std::string> m_tickets;
    core::TimePoint m_ticketsUntil{};
    bool m_refreshing = false;
    std::uint64_t m_next = 0;
};

} // namespace arbutus::loadtool
