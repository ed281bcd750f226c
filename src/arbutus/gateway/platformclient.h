// Client of the platform's services: configuration log, idempotency claims, leases, instance list and client directory.

#pragma once

#include "arbutus/gateway/eventloop.h"
#include "arbutus/metadata/kvclient.h"
#include "arbutus/node/events.h"
#include "arbutus/observe/metrics.h"

#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <functional>
#include <set>
#include <string>
#include <vector>

namespace arbutus::gateway {

/// Commands accepted by PlatformClient.
using PlatformCommand =
    std::variant<node::WatchConfig, node::WriteSnapshot, node::ClaimIdempotencyKey, node::FetchPlatformList, node::WriteDirectory, node::MaintainLease>;

/// The platform's list of instances. Entries that name nothing that could be used are left out and named by their ids.
struct PlatformList
{
    node::PlatformListReceived received;
    std::vector<std::string> invalidEntries;
};

/// Decodes the list of instances; upstreams of domains other than `domain` are left out.
[[nodiscard]] PlatformList parsePlatformList(const boost::json::object &response, const core::DomainId &domain);

/// Executes platform commands on its own thread and posts the results as events.
class PlatformClient
{
public:
    PlatformClient(const core::Clock &clock,
                   std::vector<http::Endpoint> endpoints,
                   const membership::Member &self,
                   observe::Metrics &metrics,
                   std::function<void(node::Event)> post);

    void start();
    void stop();
    /// Returns false if the queue is full; for a claim, the caller then reports the same failure as when the platform is unreachable.
    bool trySubmit(PlatformCommand command);

private:
    void dispatchCommand(PlatformCommand &&command);
    void execute(const node::WatchConfig &command);
    void execute(const node::WriteSnapshot &command);
    void execute(const node::ClaimIdempotencyKey &command);
    void execute(const node::FetchPlatformList &command);
    void execute(const node::WriteDirectory &command);
    void execute(const node::MaintainLease &command);

    boost::asio::awaitable<void> watchConfigLog(std::uint64_t generation);
    boost::asio::awaitable<bool> readConfigLog();
    boost::asio::awaitable<void> readSnapshot();
    boost::asio::awaitable<void> writeSnapshot(node::WriteSnapshot command);
    boost::asio::awaitable<void> claimIdempotencyKey(node::ClaimIdempotencyKey command);
    boost::asio::awaitable<void> maintainLease(std::string name, std::uint64_t generation);
    boost::asio::awaitable<void> renewLease(std::int64_t lease, core::FencingToken fencing, core::TimePoint lastRenewedAt, std::uint64_t generation);
    boost::asio::awaitable<void> fetchPlatformList();
    boost::asio::awaitable<void> writeDirectory(node::WriteDirectory command);
    void postConfigEntries(const std::vector<metadata::KvPair> &pairs);
    void recordCall(const char *kind, bool succeeded);

    const core::Clock &m_clock;
    core::InstanceRef m_self;
    core::DomainId m_domain;
    core::RegionId m_region;
    observe::Metrics &m_metrics;
    std::function<void(node::Event)> m_post;
    EventLoopThread m_thread;
    metadata::KvClient m_client;
    EventLoopQueue<PlatformCommand> m_commandQueue;
    std::uint64_t m_watchGeneration = 0; // incremented by each watch command; a running watch of an older generation stops
    std::uint64_t m_leaseGeneration = 0;
    std::uint64_t m_nonce = 0; // distinguishes lease attempts of the same incarnation
    bool m_watching = false;
    core::Revision m_lastReadRevision;      // revision of the last log entry read
    std::set<std::string> m_invalidEntries; // of the last list, so that each is reported once
    std::int64_t m_storeRevision = 0;
    std::int64_t m_claimLease = 0; // store lease that new claims are attached to
    std::int64_t m_claimsUnderLease = 0;
    bool m_grantingClaimLease = false;
};

} // namespace arbutus::gateway
