// Simulated platform over HTTP: key-value service, client directory, instance list, weight store and fault injection.
//
// Key-value calls follow the JSON gateway of etcd v3 (/v3/kv/range, put, txn, deleterange, /v3/lease/grant, keepalive,
// revoke, /v3/watch). Clients send their failure domain in X-Domain, so that a network partition of one domain can be
// simulated.
//
//   GET/POST /faults      {"refuse":false,"delay_ms":0,"lose_answer":false,"stale":false,"cut_domains":[],"list_lag_ms":0}
//                         {"unframed":false,"break_after":-1,"break_reset":false}, see ResponseFaults
//                         {"lapse_leases":true} expires all leases once
//   GET /calls            call counts by path, and the number of open watches
//   GET/POST /list        instance list, delayed by list_lag_ms
//   GET/PUT /directory    client directory entries, by failure domain
//   GET /weights/{model}  a download limited by the bandwidth of the weight store

#pragma once

#include "arbutus/http/server.h"
#include "arbutus/standin/faultyexchange.h"
#include "arbutus/standin/keyvaluestore.h"

#include <boost/json.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>

namespace arbutus::standin {

/// Faults that the simulated platform injects.
struct PlatformFaults
{
    bool dropRequests = false;                    // close connections before calls are executed
    bool dropWriteResponses = false;              // execute writes, then close the connection without a response
    bool staleReads = false;                      // serve reads from a snapshot taken when the fault was enabled
    std::chrono::milliseconds responseDelay{0};   // added before each call is executed
    std::chrono::milliseconds instanceListLag{0}; // age of the instance list that is returned
    std::set<std::string> partitionedDomains;     // close connections from these failure domains
    ResponseFaults response;                      // framing and breaking off of responses
};

/// Settings of the simulated platform.
struct PlatformOptions
{
    http::Endpoint listen;
    double weightBytesPerSecond = 200e6; // bandwidth shared by all downloads
    double weightBytes = 20e6;           // size of each model
};

/// Simulated platform. Not thread-safe: the executor must run its handlers on a single thread.
class Platform
{
public:
    Platform(boost::asio::any_io_executor executor, const core::Clock &clock, PlatformOptions options);

    [[nodiscard]] std::uint16_t port() const;

private:
    using CallResult = core::Result<boost::json::object>;

    boost::asio::awaitable<void> handle(http::Exchange &exchange);
    boost::asio::awaitable<void> handleKeyValue(http::Exchange &exchange);
    boost::asio::awaitable<void> handleWatch(http::Exchange &exchange, const boost::json::object &body);
    boost::asio::awaitable<void> handleWeights(http::Exchange &exchange);
    boost::asio::awaitable<void> leaseExpiryLoop();

    CallResult dispatch(const std::string &path, const boost::json::object &body);
    boost::json::object rangeResponse(const boost::json::object &request);
    boost::json::object executeTransaction(const boost::json::object &request);
    bool evaluateCompare(const boost::json::object &compare) const;
    void setFaults(const boost::json::object &faults);
    [[nodiscard]] boost::json::object faultsToJson() const;
    [[nodiscard]] boost::json::object callCountsToJson() const;
    [[nodiscard]] boost::json::object instanceListToJson();
    boost::json::object responseHeader() const;

    boost::asio::any_io_executor m_executor;
    const core::Clock &m_clock;
    PlatformOptions m_options;
    KeyValueStore m_store;
    KeyValueStore m_staleStore; // snapshot for PlatformFaults::staleReads
    PlatformFaults m_faults;
    std::map<std::string, std::uint64_t> m_callCounts;
    std::uint64_t m_openWatches = 0;
    struct InstanceListSnapshot
    {
        core::TimePoint time;
        std::map<std::string, boost::json::object> instances;
    };
    std::vector<InstanceListSnapshot> m_instanceListHistory; // oldest first
    std::map<std::string, boost::json::object> m_directory;
    core::TimePoint m_weightStoreBusyUntil{}; // when all downloads that have started are complete
    std::unique_ptr<http::Server> m_server;
};

} // namespace arbutus::standin
