// Client of the platform's key-value service (JSON gateway of etcd v3).
//
// An error's outcome tells whether a write may have taken effect: Outcome::Unknown means that the response was lost and
// the caller has to read back. Every call counts against the platform's call budget, so callers keep the number low.

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

/// A key, its value and the revision of its last change.
struct KvPair
{
    std::string key;
    std::string value;
    std::int64_t modRevision = 0;
};

/// Result of a range read.
struct KvRange
{
    std::int64_t revision = 0; // of the store at the time of the read
    std::vector<KvPair> pairs;
};

/// Result of a create-only write.
struct KvCreateResult
{
    bool created = false;
    std::string existingValue; // value already stored, if not created
    std::int64_t revision = 0; // of the write, if created
};

/// Client of the key-value service; all calls run on one executor.
class KvClient
{
public:
    KvClient(boost::asio::any_io_executor executor, std::vector<http::Endpoint> endpoints, std::string domain);

    boost::asio::awaitable<core::Result<KvRange>> range(std::string key, std::string rangeEnd, std::int64_t limit = 0);
    boost::asio::awaitable<core::Result<void>> put(std::string key, std::string value);
    /// Writes a key that does not exist yet. A lost response is resolved by reading back; if that fails, the error is returned.
    boost::asio::awaitable<core::Result<KvCreateResult>> create(std::string key, std::string value, std::int64_t lease = 0);
    boost::asio::awaitable<core::Result<std::int64_t>> grantLease(std::chrono::seconds timeToLive);
    boost::asio::awaitable<core::Result<bool>> keepLeaseAlive(std::int64_t lease);
    boost::asio::awaitable<core::Result<void>> revokeLease(std::int64_t lease);

    /// Watches [key, rangeEnd) from `startRevision` until the connection ends or `shouldStop` returns true.
    boost::asio::awaitable<core::Result<void>>
    watch(std::string key, std::string rangeEnd, std::int64_t startRevision, std::function<void(KvPair)> onPut, std::function<bool()> shouldStop);

    /// Sends a JSON request to another of the platform's services, e.g. GET /list.
    boost::asio::awaitable<core::Result<boost::json::object>> call(std::string method, std::string target, std::string body);

private:
    boost::asio::awaitable<core::Result<boost::json::object>> post(std::string target, boost::json::object body);

    boost::asio::any_io_executor m_executor;
    std::vector<http::Endpoint> m_endpoints;
    std::string m_domain;
    std::size_t m_nextEndpoint = 0; // endpoint of the next call, modulo their number
};

} // namespace arbutus::metadata
