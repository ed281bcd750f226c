// Order, refusals and returns of a dispatcher's queue by what they cost callers.
//
// The parts are in files of their own: servicevalue.h (losses and room), costorder.h (the plan), servedshares.h and heldplaces.h (what keeps
// kinds, sizes and sessions from starving), refusal.h (times to come back at). This class has their state and connects them.
//
//   CostEntry entry = policy.admit(facts, now);            // a new request, or one that came back
//   CostPlan plan = policy.plan(service, entries, ...);    // at each scan of the queue
//   policy.recordServed(ticket, now);                      // granted
//   Refused refused = policy.refuse(ticket, entry, now);   // dropped by the plan
//
// Q: When is it used?
// A: If the setting dispatch.order is "cost" (see docs/CONFIGURATION.md). Otherwise requests are served in the order of UrgencyOrder.
//
// No sockets, threads or clock: the caller passes in the current time.

#pragma once

#include "arbutus/routing/costorder.h"
#include "arbutus/routing/heldplaces.h"
#include "arbutus/routing/refusal.h"
#include "arbutus/routing/servedshares.h"

namespace arbutus::routing {

struct CostPolicySettings
{
    CostOrderSettings order;
    HeldPlacesSettings heldPlaces;
    ServedSharesSettings shares;
    ReturnScheduleSettings returns;
};

/// What the policy keeps of a request.
struct CostTicket
{
    core::ServiceId service;
    KindId kind;
    RequestFingerprint fingerprint;
    std::uint64_t session = 0; // hash of the last shared part of the prompt; 0: none
    double size = 0;
    std::uint32_t refusals = 0; // so far
};

/// A request, and the room that it takes at the upstream that has most of its prompt cached.
struct CostFacts
{
    PlacementId id;
    core::ServiceId service;
    KindId kind;
    RequestFingerprint fingerprint;
    std::uint64_t session = 0;
    bool hasBegun = false;
    int priority = 0;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
    core::TimePoint latencyDeadline{};
    core::TimePoint responseDeadline{};
    core::Duration minLatency{};
    double work = 0;
    RoomFacts room;
};

struct CostAdmission
{
    CostTicket ticket;
    CostEntry entry;
};

class CostPolicy
{
public:
    explicit CostPolicy(CostPolicySettings settings = {});

    /// A request that comes for the first time, or comes back after a refusal.
    [[nodiscard]] CostAdmission admit(const CostFacts &facts, core::TimePoint now);
    /// Entries are those of one service.
    [[nodiscard]] CostPlan
    plan(const core::ServiceId &service, std::span<const CostEntry *const> entries, const PlacementRates &drain, const QueueRates &rates, core::TimePoint now);
    /// Predicted time until all requests that were queued at the last plan have been placed.
    [[nodiscard]] core::Duration drainTime(const core::ServiceId &service) const;
    void recordServed(const CostTicket &ticket, core::TimePoint now);
    /// Refuses a request that would be served too late, and holds its place.
    [[nodiscard]] Refused refuse(const CostTicket &ticket, const CostEntry &entry, core::TimePoint now);

private:
    struct ServiceState
    {
        ReturnSchedule returns;
        core::Duration drainTime{}; // as of the last plan
        double spareRate = 0;       // as of the last plan, in work units per millisecond
    };
    [[nodiscard]] ServiceState &stateOf(const core::ServiceId &service);

    CostPolicySettings m_settings;
    CostOrder m_order;
    HeldPlaces m_places;
    ServedShares m_shares;
    std::map<core::ServiceId, ServiceState> m_services;
};

} // namespace arbutus::routing
