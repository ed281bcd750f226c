// The platform's wire: key-value service, client directory, instance list, weight store and fault switches.
//
// Key-value calls follow the published JSON interface of etcd v3 (/v3/kv/range, put, txn, deleterange, /v3/lease/grant,
// keepalive, revoke, /v3/watch). Callers name their failure domain in X-Domain, so that one domain can be cut off.
//
//   GET/POST /faults      {"refuse":false,"delay_ms":0,"lose_answer":false,"stale":false,"cut_domains":[],"list_lag_ms":0}
//                         {"lapse_leases":true} acts once
//   GET /calls            calls so far by kind, watches waiting now
//   GET/POST /list        lagging list of instances, one object for each
//   GET/PUT /directory    entries for callers, by failure domain
//   GET /weights/{model}  a download that takes as long as the store's rate allows

#pragma once

#include "arbutus/http/server.h"
#include "arbutus/standin/keyvaluestore.h"

#include <boost/json.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>

namespace arbutus::standin {

/// Fault switches of the platform.
struct PlatformFaults
{
    bool refuse = false;                  // every call is dropped before it takes effect
    bool loseAnswer = false;              // writes take effect, their answers are lost
    bool stale = false;                   // reads are served from the state when the switch was set
    std::chrono::milliseconds delay{0};   // before each answer
    std::chrono::milliseconds listLag{0}; // age of the instance list
    std::set<std::string> cutDomains;     // callers of these domains are dropped
};

/// Settings of the stand-in.
struct PlatformOptions
{
    http::Endpoint listen;
    double weightBytesPerSecond = 200e6; // rate of the weight store
    double weightBytes = 20e6;           // size of one model
};

/// The stand-in; its handlers run on one executor thread.
class Platform
{
public:
    Platform(boost::asio::any_io_executor executor, const core::Clock &clock, PlatformOptions options);

    [[nodiscard]] std::uint16_t port() const;

private:
    using Answer = core::Result<boost::json::object>;

    boost::asio::awaitable<void> handle(http::Exchange &exchange);
    boost::asio::awaitable<void> handleKeyValue(http::Exchange &exchange);
    boost::asio::awaitable<void> handleWatch(http::Exchange &exchange, const boost::json::object &body);
    boost::asio::awaitable<void> handleWeights(http::Exchange &exchange);
    boost::asio::awaitable<void> housekeeping();

    Answer dispatch(const std::string &path, const boost::json::object &body);
    boost::json::object rangeAnswer(const boost::json::object &request);
    boost::json::object txnAnswer(const boost::json::object &request);
    bool compareHolds(const boost::json::object &compare) const;
    void setFaults(const boost::json::object &faults);
    [[nodiscard]] boost::json::object showFaults() const;
    [[nodiscard]] boost::json::object showCalls() const;
    [[nodiscard]] boost::json::object showList();
    boost::json::object header() const;

    boost::asio::any_io_executor m_executor;
    const core::Clock &m_clock;
    PlatformOptions m_options;
    KeyValueStore m_store;
    KeyValueStore m_staleStore; // copy made when the stale switch was set
    PlatformFaults m_faults;
    std::map<std::string, std::uint64_t> m_calls;
    std::uint64_t m_waitingWatches = 0;
    struct ListVersion
    {
        core::TimePoint at;
        std::map<std::string, boost::json::object> lines;
    };
    std::vector<ListVersion> m_lists; // oldest first
    std::map<std::string, boost::json::object> m_directory;
    core::TimePoint m_weightsFree{}; // when the weight store's rate is free again
    std::unique_ptr<http::Server> m_server;
};

} // namespace arbutus::standin
