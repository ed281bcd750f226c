// The duty of speaking with the platform's services: configuration log, claims, instance list, client directory.

#pragma once

#include "arbutus/gateway/eventloop.h"
#include "arbutus/metadata/kvclient.h"
#include "arbutus/node/events.h"
#include "arbutus/observe/metrics.h"

#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <functional>

namespace arbutus::gateway {

/// What this duty is asked to do.
using PlatformCommand =
    std::variant<node::WatchConfig, node::WriteSnapshot, node::ClaimIdempotencyKey, node::FetchPlatformList, node::WriteDirectory, node::MaintainLease>;

/// The duty.
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
    /// False when the ring is full; a claim is then answered as "platform down" by the caller.
    bool trySubmit(PlatformCommand order);

private:
    void dispatchCommand(PlatformCommand &&order);
    void execute(const node::WatchConfig &order);
    void execute(const node::WriteSnapshot &order);
    void execute(const node::ClaimIdempotencyKey &order);
    void execute(const node::FetchPlatformList &order);
    void execute(const node::WriteDirectory &order);
    void execute(const node::MaintainLease &order);

    boost::asio::awaitable<void> watchConfigLog(std::uint64_t generation);
    boost::asio::awaitable<bool> readConfigLog();
    boost::asio::awaitable<void> readSnapshot();
    boost::asio::awaitable<void> writeSnapshot(node::WriteSnapshot order);
    boost::asio::awaitable<void> claim(node::ClaimIdempotencyKey order);
    boost::asio::awaitable<void> holdLease(std::string name, std::uint64_t generation);
    boost::asio::awaitable<void> renewLease(std::int64_t lease, core::FencingToken fencing, core::TimePoint since, std::uint64_t generation);
    boost::asio::awaitable<void> readList();
    boost::asio::awaitable<void> writeDirectory(node::WriteDirectory order);
    void postConfigEntries(const std::vector<metadata::KvPair> &pairs);
    void recordCall(const char *kind, bool good);

    const core::Clock &m_clock;
    core::InstanceRef m_self;
    core::DomainId m_domain;
    core::RegionId m_region;
    observe::Metrics &m_metrics;
    std::function<void(node::Event)> m_post;
    EventLoopThread m_thread;
    metadata::KvClient m_client;
    EventLoopQueue<PlatformCommand> m_ring;
    std::uint64_t m_watchGeneration = 0; // of the watch; a newer one ends the older
    std::uint64_t m_leaseGeneration = 0;
    std::uint64_t m_nonce = 0; // keeps two tries of one life apart
    bool m_watching = false;
    core::Revision m_lastReadRevision; // last log entry read here
    std::int64_t m_storeRevision = 0;
    std::int64_t m_claimLease = 0; // lease that claims are written under
    std::int64_t m_claimsUnderLease = 0;
    bool m_grantingClaimLease = false;
};

} // namespace arbutus::gateway
