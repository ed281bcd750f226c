// Many nodes in one process: the decision logic on a manual clock, joined by one queue of messages.
//
// Small fakes stand at the interfaces: a network that delays, drops, doubles and cuts; the configuration log and the
// claims of the platform; upstreams that keep a journal. Not a simulator of machines: nothing here takes processor time.
//
//   Fleet fleet(FleetOptions{…});
//   fleet.runFor(2s);
//   const std::size_t order = fleet.send(0, makeOrder(fleet.takeTicket(0)));
//   fleet.runFor(1s);
//   REQUIRE(fleet.told(order).outcome == …);

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

/// Size of the fleet and manners of its network.
struct FleetOptions
{
    std::size_t regions = 1;
    std::size_t domainsPerRegion = 1;
    std::size_t nodesPerDomain = 3;
    std::size_t models = 1;
    std::size_t modelUpstreams = 2;   // in each domain
    std::size_t serviceUpstreams = 1; // in each domain
    std::size_t workspaces = 1;
    std::uint64_t seed = 1;
    core::Duration tick = node::MaxTickInterval;
    core::Duration latencyLeast{200};
    core::Duration latencyMost{2'000};
    core::Duration regionLatency = std::chrono::milliseconds(55); // added between regions
    core::Duration callTimeout = std::chrono::milliseconds(200);
    double drop = 0;            // of datagrams and calls
    double twice = 0;           // doubled
    double upstreamBreaks = 0;  // attempts that break after they ran
    double upstreamRefuses = 0; // attempts that did not run
    bool seedAll = true;        // settings name all nodes of the own domain
    bool countBytes = false;    // writes datagrams with the real codec
    std::function<void(node::NodeSettings &)> adjust;
};

/// What a caller was told.
struct Told
{
    bool done = false;
    bool answered = false;
    bool replayed = false;
    bool lostConnection = false; // the entry died
    core::Outcome outcome = core::Outcome::Unknown;
    core::ErrorKind kind = core::ErrorKind::Internal;
    std::string freshTicket;
};

/// Counts of one node.
struct NodeTraffic
{
    std::uint64_t datagramsOut = 0;
    std::uint64_t bytesOut = 0;
    std::uint64_t bytesIn = 0;
    std::uint64_t ledgerCalls = 0;
    std::uint64_t configPulls = 0;
    std::uint64_t configBytes = 0;
};

/// Calls to the platform, by kind.
struct PlatformCalls
{
    std::uint64_t list = 0;
    std::uint64_t directory = 0;
    std::uint64_t watches = 0;
    std::uint64_t claims = 0;
    std::uint64_t snapshots = 0;
};

/// The fleet.
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
    [[nodiscard]] const Told &told(std::size_t request) const
    {
        return m_told[request];
    }
    [[nodiscard]] std::string takeTicket(std::size_t node, std::size_t workspace = 0);
    [[nodiscard]] std::size_t runs(const std::string &requestId) const; // times that upstreams ran it
    [[nodiscard]] const std::vector<std::pair<std::string, core::RegionId>> &journal() const
    {
        return m_journal;
    }
    [[nodiscard]] node::RequestHead orderHead(const std::string &requestId, const std::string &ticket, std::size_t workspace = 0) const;
    [[nodiscard]] node::RequestBody orderBody(const std::string &text) const;
    [[nodiscard]] node::RequestHead modelHead(const std::string &requestId, std::size_t workspace = 0) const;
    [[nodiscard]] node::RequestBody modelBody(std::size_t model = 0) const;

    // Failures
    void kill(std::size_t node);
    void restart(std::size_t node); // a new life under the same name
    void drain(std::size_t node);
    void pause(std::size_t node, core::Duration duration);     // as by SIGSTOP; messages wait
    void cut(std::size_t left, std::size_t right, bool isCut); // one way
    void cutDomain(std::size_t domain, bool isCut);
    void platformUp(bool up);
    void watchOnly(std::size_t domain); // no other domain hears of edits from the platform
    void loseClaimAnswers(bool lose);
    void upstreamLeaving(const std::string &upstream, bool leaving);
    void lateOrder(std::size_t node, const placement::PlacementCommand &order, core::FencingToken fencing); // sent long ago
    void stepLease(std::size_t node, const std::string &name);                                              // asks for or renews a lease

    // Configuration
    core::Revision edit(const boost::json::object &document);
    core::Revision editAll(std::vector<boost::json::object> documents);
    [[nodiscard]] std::size_t nodesBehind(core::Revision revision) const;

    // Looking
    [[nodiscard]] std::size_t size() const
    {
        return m_slots.size();
    }
    [[nodiscard]] bool alive(std::size_t node) const
    {
        return m_slots[node].node != nullptr;
    }
    [[nodiscard]] const node::Node &node(std::size_t index) const
    {
        return *m_slots[index].node;
    }
    /// Orders that upstreams took or refused, in their order.
    struct OrderRecord
    {
        std::size_t node = 0;
        placement::PlacementCommand order;
        std::uint64_t fencing = 0;
        bool taken = false;
    };
    [[nodiscard]] const std::vector<OrderRecord> &orders() const
    {
        return m_orders;
    }
    [[nodiscard]] const std::set<core::ModelId> &loaded(const std::string &upstream)
    {
        return m_loaded[upstream];
    }
    [[nodiscard]] const NodeTraffic &traffic(std::size_t node) const
    {
        return m_slots[node].traffic;
    }
    [[nodiscard]] const PlatformCalls &platformCalls() const
    {
        return m_calls;
    }
    [[nodiscard]] std::chrono::nanoseconds processorTime() const
    {
        return m_processor; // spent in the nodes' decisions
    }
    void resetCounts();
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
        std::string asking; // lease asked for; "none" after it was given up
        NodeTraffic traffic;
    };
    struct Message
    {
        core::TimePoint due{};
        std::uint64_t order = 0; // ties are kept in the order of sending
        std::size_t to = 0;
        std::uint64_t life = 0; // incarnation that it is for; 0 = any
        std::function<void()> deliver;

        bool operator>(const Message &other) const
        {
            return std::tie(due, order) > std::tie(other.due, other.order);
        }
    };
    struct Served
    { // a request inside a node
        std::size_t node = 0;
        std::uint64_t life = 0;
        std::size_t caller = NoCaller;                          // index into m_told
        std::function<void(bool whole, const Told &)> answered; // for requests of other nodes
        std::string requestId;
        node::RequestHead head;
        node::RequestBody body;
    };
    static constexpr std::size_t NoCaller = static_cast<std::size_t>(-1);

    void makeNodes();
    void makeConfiguration();
    void at(core::Duration delay, std::size_t to, std::uint64_t life, std::function<void()> deliver);
    void overNetwork(std::size_t from, std::size_t to, std::function<void()> deliver);
    void step(std::size_t node, const node::Event &event);
    void tickAll();
    void endServed(std::uint64_t key, bool whole, const Told &told);
    std::uint64_t serve(std::size_t node, Served served);
    void deliverLog(std::size_t node, core::Revision after);
    [[nodiscard]] std::size_t indexOf(const std::string &address) const;
    [[nodiscard]] std::uint64_t lifeOf(std::size_t node) const;
    [[nodiscard]] bool isCut(std::size_t from, std::size_t to) const;
    bool chance(double probability);
    core::Duration latency(std::size_t from, std::size_t to);

    void on(std::size_t node, const node::AdmissionDecision &action);
    void on(std::size_t node, const node::Dispatch &action);
    void on(std::size_t node, const node::RejectRequest &action);
    void on(std::size_t node, const node::ReplayResponse &action);
    void on(std::size_t node, const node::ForwardToOwner &action);
    void on(std::size_t node, const node::EntriesResponse &action);
    void on(std::size_t node, const node::LedgerCallResponse &action);
    void on(std::size_t node, const node::CallLedger &action);
    void on(std::size_t node, const node::ClaimIdempotencyKey &action);
    void on(std::size_t node, const node::SendDatagram &action);
    void on(std::size_t node, const node::FetchConfig &action);
    void on(std::size_t node, const node::WatchConfig &action);
    void on(std::size_t node, const node::WriteSnapshot &action);
    void on(std::size_t node, const node::ConfigResponse &action);
    void on(std::size_t node, const node::FetchPlatformList &action);
    void on(std::size_t node, const node::FetchLoadReport &action);
    void on(std::size_t node, const node::WriteDirectory &action);
    void on(std::size_t node, const node::MaintainLease &action);
    void on(std::size_t node, const node::SendPlacementCommand &action);
    void on(std::size_t node, const node::DrainCompleted &action);
    void on(std::size_t node, const node::LogRoutingDecision &action);
    void on(std::size_t node, const node::LogEvent &action);

    FleetOptions m_options;
    core::ManualClock m_clock;
    pcg32 m_random;
    std::vector<Slot> m_slots;
    std::vector<routing::UpstreamDescriptor> m_upstreams;
    std::priority_queue<Message, std::vector<Message>, std::greater<>> m_queue;
    std::uint64_t m_order = 0;
    core::TimePoint m_nextTick{};
    std::set<std::pair<std::size_t, std::size_t>> m_cuts;
    std::set<std::size_t> m_cutDomains;
    bool m_platformUp = true;
    std::optional<std::size_t> m_watchOnly;
    bool m_loseClaimAnswers = false;
    std::map<std::string, std::string> m_claims;
    std::vector<config::LogEntry> m_log;
    config::ConfigState m_logState;
    std::map<std::uint64_t, Served> m_served; // by request key
    std::uint64_t m_nextKey = 1;
    std::map<std::uint64_t, std::function<void(const delivery::LedgerResult &)>> m_ledgerReplies;
    std::map<std::uint64_t, std::function<void(const node::ConfigResponse &)>> m_configReplies;
    std::vector<Told> m_told;
    std::vector<std::size_t> m_toldBy; // entry that each was sent to
    std::map<std::string, std::size_t> m_runs;
    std::vector<std::pair<std::string, core::RegionId>> m_journal;
    std::optional<node::EntriesResponse> m_lastEntries;
    PlatformCalls m_calls;
    std::chrono::nanoseconds m_processor{0};
    std::uint64_t m_nextLife = 1;
    std::set<std::string> m_leaving;
    struct LeaseRecord
    {
        std::size_t node = 0;
        std::uint64_t life = 0;
        std::uint64_t fencing = 0;
        core::TimePoint until{};
    };
    std::map<std::string, LeaseRecord> m_leases;
    std::uint64_t m_nextFencing = 100;
    std::map<std::string, std::set<core::ModelId>> m_loaded; // by upstream
    std::map<std::string, std::uint64_t> m_upstreamFencing;  // highest seen
    std::vector<OrderRecord> m_orders;
};

} // namespace arbutus::tests
