// Runs many nodes in one process: real decision logic on a manual clock, connected by one event queue.
//
// Fakes implement the environment: a network that delays, drops, duplicates and partitions messages; the configuration
// log, idempotency claims and leases of the platform; upstreams that record what they execute. The fleet doesn't model
// processor time: handling an event takes no simulated time.
//
//   Fleet fleet(FleetOptions{...});
//   fleet.runFor(2s);
//   const std::size_t request = fleet.send(0, fleet.serviceHead("id", fleet.issueTicket(0)), fleet.serviceBody("text"));
//   fleet.runFor(1s);
//   REQUIRE(fleet.result(request).answered);

#pragma once

#include "arbutus/node/node.h"

#include <pcg_random.hpp>

#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace arbutus::tests {

/// Size of the fleet and fault rates of its network and upstreams.
struct FleetOptions
{
    std::size_t regions = 1;
    std::size_t domainsPerRegion = 1;
    std::size_t nodesPerDomain = 3;
    std::size_t models = 1;
    std::size_t modelUpstreams = 2;   // per domain
    std::size_t serviceUpstreams = 1; // per domain
    std::size_t workspaces = 1;
    std::uint64_t seed = 1;
    core::Duration tickInterval = node::MaxTickInterval;
    core::Duration minLatency{200};
    core::Duration maxLatency{2'000};
    core::Duration interRegionLatency = std::chrono::milliseconds(55); // added to messages between regions
    core::Duration callTimeout = std::chrono::milliseconds(200);
    double dropProbability = 0;            // applies to datagrams and peer calls
    double duplicateProbability = 0;       // applies to datagrams and peer calls
    double upstreamBreakProbability = 0;   // attempts that fail after the upstream ran them
    double upstreamRefusalProbability = 0; // attempts that the upstream refuses without running them
    bool seedAllDomains = true;            // seeds: every node of the own domain and the first node of each other domain
    bool countBytes = false;               // encodes datagrams and log entries to measure their size
    std::function<void(node::NodeSettings &)> adjustSettings;
};

/// Result of a request as its caller sees it.
struct RequestResult
{
    bool done = false;
    bool answered = false;
    bool replayed = false;
    bool connectionLost = false; // the entry node died or refused the connection
    core::Outcome outcome = core::Outcome::Unknown;
    core::ErrorKind kind = core::ErrorKind::Internal;
    std::string replacementTicket;
};

/// Message counters of one node.
struct NodeTraffic
{
    std::uint64_t datagramsOut = 0;
    std::uint64_t bytesOut = 0;
    std::uint64_t bytesIn = 0;
    std::uint64_t ledgerCalls = 0;
    std::uint64_t configPulls = 0;
    std::uint64_t configBytes = 0;
};

/// Numbers of platform calls, by kind.
struct PlatformCalls
{
    std::uint64_t list = 0;
    std::uint64_t directory = 0;
    std::uint64_t watches = 0;
    std::uint64_t claims = 0;
    std::uint64_t snapshots = 0;
};

/// Nodes, their event queue, and the fakes around them.
class Fleet
{
public:
    explicit Fleet(FleetOptions options);

    // Time
    void runFor(core::Duration duration);
    [[nodiscard]] core::TimePoint now() const
    {
        return m_clock.steadyNow();
    }

    // Requests
    std::size_t send(std::size_t node, node::RequestHead head, node::RequestBody body);
    [[nodiscard]] const RequestResult &result(std::size_t request) const
    {
        return m_results[request];
    }
    [[nodiscard]] std::string issueTicket(std::size_t node, std::size_t workspace = 0);
    [[nodiscard]] std::size_t runCount(const std::string &requestId) const; // executions by upstreams
    [[nodiscard]] const std::vector<std::pair<std::string, core::RegionId>> &journal() const
    {
        return m_journal;
    }
    [[nodiscard]] node::RequestHead serviceHead(const std::string &requestId, const std::string &ticket, std::size_t workspace = 0) const;
    [[nodiscard]] node::RequestBody serviceBody(const std::string &text) const;
    [[nodiscard]] node::RequestHead modelHead(const std::string &requestId, std::size_t workspace = 0) const;
    [[nodiscard]] node::RequestBody modelBody(std::size_t model = 0) const;

    // Failures
    void kill(std::size_t node);
    void restart(std::size_t node); // same id, new incarnation
    void drain(std::size_t node);
    void pause(std::size_t node, core::Duration duration);           // like SIGSTOP: messages to the node are delivered when it resumes
    void setLinkDown(std::size_t from, std::size_t to, bool isDown); // one direction only
    void setDomainIsolated(std::size_t domain, bool isIsolated);     // from other domains and the platform
    void setPlatformAvailable(bool isAvailable);
    void restrictWatchesTo(std::size_t domain); // the platform announces edits to this domain only
    void setDropClaimResponses(bool drop);      // claims are stored, but their responses are lost
    void setUpstreamLeaving(const std::string &upstream, bool leaving);
    void sendDelayedCommand(std::size_t node, const placement::PlacementCommand &command, core::FencingToken fencingToken); // delivers an old command
    void renewLease(std::size_t node, const std::string &name); // requests or renews the lease and schedules the next renewal

    // Configuration
    core::Revision edit(const boost::json::object &document);
    core::Revision editAll(std::vector<boost::json::object> documents);
    [[nodiscard]] std::size_t nodesBehind(core::Revision revision) const;

    // Inspection
    [[nodiscard]] std::size_t size() const
    {
        return m_slots.size();
    }
    [[nodiscard]] bool isAlive(std::size_t node) const
    {
        return m_slots[node].node != nullptr;
    }
    [[nodiscard]] const node::Node &node(std::size_t index) const
    {
        return *m_slots[index].node;
    }
    /// A placement command that an upstream accepted or rejected.
    struct CommandRecord
    {
        std::size_t node = 0;
        placement::PlacementCommand command;
        std::uint64_t fencingToken = 0;
        bool accepted = false;
    };
    [[nodiscard]] const std::vector<CommandRecord> &placementCommands() const
    {
        return m_placementCommands;
    }
    [[nodiscard]] const std::set<core::ModelId> &loadedModels(const std::string &upstream)
    {
        return m_loadedModels[upstream];
    }
    [[nodiscard]] const NodeTraffic &traffic(std::size_t node) const
    {
        return m_slots[node].traffic;
    }
    [[nodiscard]] const PlatformCalls &platformCalls() const
    {
        return m_platformCalls;
    }
    [[nodiscard]] std::chrono::nanoseconds decisionCpuTime() const
    {
        return m_decisionCpuTime; // real time spent in Node::handle()
    }
    void resetCounters();
    [[nodiscard]] core::RegionId regionOf(std::size_t node) const;
    [[nodiscard]] static std::string workspaceName(std::size_t workspace);

private:
    struct Slot
    {
        node::NodeSettings settings;
        std::unique_ptr<node::Node> node;
        core::TimePoint pausedUntil{};
        std::size_t domain = 0;
        bool watching = false;
        std::string requestedLease; // name of the requested lease; "none" after its release
        NodeTraffic traffic;
    };
    struct Message
    {
        core::TimePoint due{};
        std::uint64_t sequence = 0; // delivery order of messages due at the same time
        std::size_t to = 0;
        std::uint64_t incarnation = 0; // deliver only to this incarnation; 0 = any
        std::function<void()> deliver;

        bool operator>(const Message &other) const
        {
            return std::tie(due, sequence) > std::tie(other.due, other.sequence);
        }
    };
    struct ActiveRequest
    { // a request that a node is processing
        std::size_t node = 0;
        std::uint64_t incarnation = 0;
        std::size_t caller = NoCaller;                                          // index into m_results
        std::function<void(bool isComplete, const RequestResult &)> onResponse; // set for requests forwarded by another node
        std::string requestId;
        node::RequestHead head;
        node::RequestBody body;
    };
    static constexpr std::size_t NoCaller = static_cast<std::size_t>(-1);

    void createNodes();
    void createConfiguration();
    void schedule(core::Duration delay, std::size_t to, std::uint64_t incarnation, std::function<void()> deliver);
    void sendOverNetwork(std::size_t from, std::size_t to, std::function<void()> deliver);
    void handleEvent(std::size_t node, const node::Event &event);
    void tickNodes();
    void finishRequest(std::uint64_t key, bool isComplete, const RequestResult &result);
    std::uint64_t startRequest(std::size_t node, ActiveRequest request);
    void deliverConfigLog(std::size_t node, core::Revision after);
    [[nodiscard]] std::size_t indexOf(const std::string &address) const;
    [[nodiscard]] std::uint64_t incarnationOf(std::size_t node) const;
    [[nodiscard]] bool isLinkDown(std::size_t from, std::size_t to) const;
    bool chance(double probability);
    core::Duration latency(std::size_t from, std::size_t to);

    void execute(std::size_t node, const node::AdmissionDecision &action);
    void execute(std::size_t node, const node::Dispatch &action);
    void execute(std::size_t node, const node::CancelAttempt &action);
    void execute(std::size_t node, const node::RejectRequest &action);
    void execute(std::size_t node, const node::ReplayResponse &action);
    void execute(std::size_t node, const node::ForwardToOwner &action);
    void execute(std::size_t node, const node::EntriesResponse &action);
    void execute(std::size_t node, const node::LedgerCallResponse &action);
    void execute(std::size_t node, const node::CallLedger &action);
    void execute(std::size_t node, const node::ClaimIdempotencyKey &action);
    void execute(std::size_t node, const node::SendDatagram &action);
    void execute(std::size_t node, const node::FetchConfig &action);
    void execute(std::size_t node, const node::WatchConfig &action);
    void execute(std::size_t node, const node::WriteSnapshot &action);
    void execute(std::size_t node, const node::ConfigResponse &action);
    void execute(std::size_t node, const node::FetchPlatformList &action);
    void execute(std::size_t node, const node::FetchLoadReport &action);
    void execute(std::size_t node, const node::WriteDirectory &action);
    void execute(std::size_t node, const node::MaintainLease &action);
    void execute(std::size_t node, const node::SendPlacementCommand &action);
    void execute(std::size_t node, const node::DrainCompleted &action);
    void execute(std::size_t node, const node::LogRoutingDecision &action);
    void execute(std::size_t node, const node::LogEvent &action);

    FleetOptions m_options;
    core::ManualClock m_clock;
    pcg32 m_random;
    std::vector<Slot> m_slots;
    std::vector<routing::UpstreamDescriptor> m_upstreams;
    std::priority_queue<Message, std::vector<Message>, std::greater<>> m_queue;
    std::uint64_t m_lastSequence = 0;
    core::TimePoint m_nextTick{};
    std::set<std::pair<std::size_t, std::size_t>> m_downLinks;
    std::set<std::size_t> m_isolatedDomains;
    bool m_platformAvailable = true;
    std::optional<std::size_t> m_watchingDomain;
    bool m_dropClaimResponses = false;
    std::map<std::string, std::string> m_claims;
    std::vector<config::LogEntry> m_configLog;
    config::ConfigState m_configState;
    std::map<std::uint64_t, ActiveRequest> m_activeRequests; // by request key
    std::uint64_t m_nextKey = 1;
    std::map<std::uint64_t, std::function<void(const delivery::LedgerResult &)>> m_ledgerCallbacks;
    std::map<std::uint64_t, std::function<void(const node::ConfigResponse &)>> m_configCallbacks;
    std::vector<RequestResult> m_results;
    std::vector<std::size_t> m_entryNodes; // node that each request was sent to
    std::map<std::string, std::size_t> m_runCounts;
    std::vector<std::pair<std::string, core::RegionId>> m_journal;
    std::optional<node::EntriesResponse> m_lastEntries;
    PlatformCalls m_platformCalls;
    std::chrono::nanoseconds m_decisionCpuTime{0};
    std::uint64_t m_nextIncarnation = 1;
    std::set<std::string> m_leavingUpstreams;
    struct LeaseRecord
    {
        std::size_t node = 0;
        std::uint64_t incarnation = 0;
        std::uint64_t fencingToken = 0;
        core::TimePoint expiresAt{};
    };
    std::map<std::string, LeaseRecord> m_leases;
    std::uint64_t m_nextFencingToken = 100;
    std::map<std::string, std::set<core::ModelId>> m_loadedModels; // by upstream
    std::map<std::string, std::uint64_t> m_upstreamFencingTokens;  // highest token seen by each upstream
    std::vector<CommandRecord> m_placementCommands;
};

} // namespace arbutus::tests
