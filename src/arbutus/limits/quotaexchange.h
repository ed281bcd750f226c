// Messages about quotas, for one instance: lends its part, and is a dispatcher for those that lend theirs to it.
//
//   QuotaExchange exchange(settings, self, now);
//   exchange.setKnownInstances(count);                        // before a report
//   send(exchange.report(now));                               // with the reports of in-flight requests
//   send(exchange.useDispatcher(dispatcher, now));            // when requests go to another dispatcher from now on
//   send(exchange.handle(sender, message, now));
//   std::optional<QuotaState> state = exchange.stateForRegion(now);   // goes with the region's state
//   std::optional<QuotaState> state = exchange.stateForPeer(peer, now);
//
// Q: How does a dispatcher that has just taken over get its first lease?
// A: An instance that has not heard its clock yet sends a lease without one. The dispatcher answers with its state, and the
//    instance with a lease. That takes two round trips inside the region.

#pragma once

#include "arbutus/limits/workspacequota.h"

#include <variant>

namespace arbutus::limits {

using QuotaMessage = std::variant<QuotaLease, QuotaState>;

struct OutgoingQuotaMessage
{
    core::InstanceId to;
    QuotaMessage message;
};

class QuotaExchange
{
public:
    QuotaExchange(WorkspaceQuotaSettings settings, core::InstanceId self, core::TimePoint startedAt);

    void setKnownInstances(std::size_t count);
    /// Lends this instance's part to the dispatcher that it uses, which may be itself.
    [[nodiscard]] std::vector<OutgoingQuotaMessage> report(core::TimePoint now);
    [[nodiscard]] std::vector<OutgoingQuotaMessage> useDispatcher(const core::InstanceId &dispatcher, core::TimePoint now);
    [[nodiscard]] std::vector<OutgoingQuotaMessage> handle(const core::InstanceId &sender, const QuotaMessage &message, core::TimePoint now);
    /// State for the region's instances; nothing if there are no quotas.
    [[nodiscard]] std::optional<QuotaState> stateForRegion(core::TimePoint now);
    /// State for a dispatcher of another region, with what is lent to it; nothing if there are no quotas.
    [[nodiscard]] std::optional<QuotaState> stateForPeer(const core::InstanceId &peer, core::TimePoint now);

    [[nodiscard]] WorkspaceQuotas &quotas()
    {
        return m_quotas;
    }
    [[nodiscard]] const core::InstanceId &dispatcher() const
    {
        return m_dispatcher;
    }

private:
    [[nodiscard]] std::vector<OutgoingQuotaMessage> handleLease(const core::InstanceId &sender, const QuotaLease &lease, core::TimePoint now);
    [[nodiscard]] std::vector<OutgoingQuotaMessage> handleState(const core::InstanceId &sender, const QuotaState &state, core::TimePoint now);

    core::Duration m_maxClockAge; // of a lease, before its lender is told this instance's clock again
    core::InstanceId m_self;
    core::InstanceId m_dispatcher; // that this instance uses
    std::size_t m_knownInstances = 1;
    QuotaLender m_lender;
    WorkspaceQuotas m_quotas;
};

} // namespace arbutus::limits
