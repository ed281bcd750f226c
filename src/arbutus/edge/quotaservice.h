// Quotas of workspaces at one instance: what it spends as a dispatcher, and the messages by which the fleet shares the quotas.
//
// The decisions are limits::QuotaExchange and what it contains; this class connects them with the configuration, the members, the placement
// requests, the log and the metrics.
//
// Q: What does a request cost that is placed more than once?
// A: Its units are spent with its first placement. Where that is known not to run (refused for another reason, never sent, or rejected by
//    the upstream), they are given back, and the next placement of the same client's attempt spends them again.
//
// Q: What if the dispatcher is of a release that knows no quotas?
// A: It places without spending, and what instances lend to it is not spent. While a fleet is being updated, its quotas do not hold.

#pragma once

#include "arbutus/edge/fleet.h"
#include "arbutus/edge/metadatacache.h"
#include "arbutus/limits/quotaexchange.h"

#include <deque>

namespace arbutus::edge {

class QuotaService
{
public:
    QuotaService(InstanceContext &context, Fleet &fleet, const MetadataCache &metadataCache);

    //--- At the dispatcher of a request
    /// Spends the units of the request; a refusal if its workspace has used up its quota.
    [[nodiscard]] std::optional<routing::Refused> spend(const routing::PlacementRequest &request);
    /// Gives the units back if the decision is that the request does not run.
    void noteDecision(const routing::PlacementId &id, const routing::PlacementDecision &decision);
    void noteOutcome(const routing::PlacementId &id, routing::SendOutcome outcome);
    void giveBack(const routing::PlacementId &id);

    //--- At the instance that has the request
    /// Sets the units of a placement whose request has not spent them with an earlier one.
    void prepare(routing::PlacementRequest &request) const;
    /// Records how a placement that was prepared was decided.
    void notePlaced(const routing::PlacementRequest &request, const routing::PlacementDecision &decision);
    /// Records how the sending ended.
    void noteSent(const routing::PlacementId &id, routing::SendOutcome outcome);

    //--- Messages
    /// Lends this instance's part to the dispatcher that it uses, which may be itself.
    void useDispatcher(const core::InstanceId &dispatcher);
    void report();
    void handle(const core::InstanceId &sender, const limits::QuotaMessage &message);
    [[nodiscard]] std::optional<limits::QuotaState> stateForRegion();
    [[nodiscard]] std::optional<limits::QuotaState> stateForPeer(const core::InstanceId &peer);

    /// Applies the quotas of the configuration; call it after each change of the metadata.
    void applyConfiguration();
    /// Call it several times a second. `isDispatcher`: whether this instance decides for its region.
    void tick(bool isDispatcher);

private:
    struct Attempt
    {
        routing::PlacementId spentBy; // empty: its units are not spent
        std::uint32_t units = 0;
    };

    void send(std::vector<limits::OutgoingQuotaMessage> messages);
    void sendUrgentStates();
    void writeMetrics();
    static std::string attemptOf(const routing::PlacementId &id);

    InstanceContext &m_context;
    Fleet &m_fleet;
    const MetadataCache &m_metadataCache;
    limits::QuotaExchange m_exchange;
    catalog::CatalogPointer m_catalog; // whose quotas are applied
    std::map<std::string, Attempt> m_attempts;
    std::deque<std::pair<core::TimePoint, std::string>> m_attemptAges;
    std::map<core::WorkspaceId, core::TimePoint> m_loggedAt; // last refusal in the log
    core::TimePoint m_metricsAt{};

public:
    /// Returns the upstreams that this instance has no path to, which every report repeats.
    std::function<std::set<core::UpstreamId>()> lostPaths;
};

} // namespace arbutus::edge
