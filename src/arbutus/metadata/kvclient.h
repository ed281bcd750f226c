// Client of the platform's key-value service (published JSON interface of etcd v3).
//
// Errors tell whether a write may have taken effect: Outcome::Unknown means that its answer was lost, and the writer has
// to read back to know. Every call counts against the platform's budget, so callers keep them few.

#pragma once

#include "arbutus/core/error.h"
#include "arbutus/http/message.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/json/object.hpp>

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace arbutus::metadata {

/// A stored value with its position.
struct KvPair
{
    std::string key;
    std::string value;
    std::int64_t modRevision = 0;
};

/// Answer of a range read.
struct KvRange
{
    std::int64_t revision = 0; // of the store when it was read
    std::vector<KvPair> pairs;
};

/// What became of a create-only write.
struct KvCreateResult
{
    bool created = false;
    std::string existingValue; // the value that was there, when not created
    std::int64_t revision = 0; // of the write, when created
};

/// The client; all calls run on one executor.
class KvClient
{
public:
    KvClient(boost::asio::any_io_executor executor, std::vector<http::Endpoint> endpoints, std::string domain);

    boost::asio::awaitable<core::Result<KvRange>> range(std::string key, std::string rangeEnd, std::int64_t limit = 0);
    boost::asio::awaitable<core::Result<void>> put(std::string key, std::string value);
    /// Create-only write; a lost answer is resolved by reading back. Platform errors stay where nothing can be known.
    boost::asio::awaitable<core::Result<KvCreateResult>> create(std::string key, std::string value, std::int64_t lease = 0);
    boost::asio::awaitable<core::Result<std::int64_t>> grantLease(std::chrono::seconds timeToLive);
    boost::asio::awaitable<core::Result<bool>> keepLeaseAlive(std::int64_t lease);
    boost::asio::awaitable<core::Result<void>> revokeLease(std::int64_t lease);

    /// Watches [key, rangeEnd) from a revision until the connection fails or `stopped` says so.
    boost::asio::awaitable<core::Result<void>>
    watch(std::string key, std::string rangeEnd, std::int64_t fromRevision, std::function<void(KvPair)> onPut, std::function<bool()> stopped);

    /// Plain JSON call to another of the platform's services, e.g. GET /list.
    boost::asio::awaitable<core::Result<boost::json::object>> call(std::string method, std::string target, std::string body);

private:
    boost::asio::awaitable<core::Result<boost::json::object>> post(std::string target, boost::json::object body);

    boost::asio::any_io_executor m_executor;
    std::vector<http::Endpoint> m_endpoints;
    std::string m_domain;
    std::size_t m_nextEndpoint = 0; // endpoint to use
};

} // namespace arbutus::metadata
