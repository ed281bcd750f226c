// State of the order by cost.

#include "arbutus/routing/costpolicy.h"

#include <algorithm>

namespace arbutus::routing {

CostPolicy::CostPolicy(CostPolicySettings settings)
    : m_settings(settings)
    , m_order(settings.order)
    , m_places(settings.heldPlaces)
    , m_shares(settings.shares)
{
}

CostPolicy::ServiceState &CostPolicy::stateOf(const core::ServiceId &service)
{
    return m_services.try_emplace(service, ServiceState{ReturnSchedule(m_settings.returns), {}, 0}).first->second;
}

CostAdmission CostPolicy::admit(const CostFacts &facts, core::TimePoint now)
{
    const ServiceValueSettings &value = m_settings.order.value;
    CostAdmission result;
    CostTicket &ticket = result.ticket;
    ticket.service = facts.service;
    ticket.kind = facts.kind;
    ticket.fingerprint = facts.fingerprint;
    ticket.session = facts.session;
    ticket.size = sizeOf(value, facts.promptTokens, facts.outputTokens);
    CostEntry &entry = result.entry;
    entry.id = facts.id;
    entry.hasBegun = facts.hasBegun;
    entry.priority = facts.priority - (m_shares.isNeglected(facts.service, facts.kind) ? 1 : 0);
    entry.requestedAt = now;
    entry.latencyDeadline = facts.latencyDeadline;
    entry.responseDeadline = facts.responseDeadline;
    entry.minLatency = facts.minLatency;
    entry.work = facts.work;
    entry.room = roomTaken(facts.room);
    if (const auto place = m_places.take(facts.fingerprint, now)) {
        ticket.refusals = place->refusals;
        entry.cameBack = true;
        entry.requestedAt = std::min(entry.requestedAt, place->requestedAt);
        entry.latencyDeadline = std::min(entry.latencyDeadline, place->latencyDeadline); // the client counts from its first attempt
    } else {
        m_shares.recordSize(facts.service, facts.kind, ticket.size);
    }
    entry.value = valueOf(value, RequestFacts{facts.promptTokens, facts.outputTokens, m_shares.meanSize(facts.service, facts.kind)});
    entry.boost = m_shares.boost(facts.service, facts.kind, ticket.size) * m_places.sessionBoost(facts.session);
    return result;
}

CostPlan CostPolicy::plan(
    const core::ServiceId &service, std::span<const CostEntry *const> entries, const PlacementRates &drain, const QueueRates &rates, core::TimePoint now)
{
    ServiceState &state = stateOf(service);
    CostPlan result = m_order.plan(entries, drain, rates, now);
    state.drainTime = result.drainTime;
    state.spareRate = rates.spare;
    return result;
}

core::Duration CostPolicy::drainTime(const core::ServiceId &service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? core::Duration::zero() : found->second.drainTime;
}

void CostPolicy::recordServed(const CostTicket &ticket, core::TimePoint now)
{
    m_shares.record(ticket.service, ticket.kind, ticket.size, ticket.refusals > 0 ? ServedOutcome::ServedAfterRefusal : ServedOutcome::Served, now);
    m_places.recordServed(ticket.session);
}

Refused CostPolicy::refuse(const CostTicket &ticket, const CostEntry &entry, core::TimePoint now)
{
    if (ticket.refusals == 0) { // one that came back is counted already
        m_shares.record(ticket.service, ticket.kind, ticket.size, ServedOutcome::Refused, now);
        m_places.recordRefusal(ticket.session);
    }
    m_places.hold(ticket.fingerprint, HeldPlace{entry.requestedAt, entry.latencyDeadline, ticket.refusals + 1}, now);
    ServiceState &state = stateOf(ticket.service);
    const double placementMs = state.spareRate > 0 ? entry.work / state.spareRate : 0;
    const auto placementTime = core::Duration(static_cast<core::Duration::rep>(std::min(placementMs, 1e4) * 1000));
    return Refused{RefusalReason::Overloaded, state.returns.next(state.drainTime, placementTime, now)};
}

} // namespace arbutus::routing
