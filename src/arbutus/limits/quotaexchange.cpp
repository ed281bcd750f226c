// Lending and borrowing parts of quotas.

#include "arbutus/limits/quotaexchange.h"
#include "arbutus/core/overloaded.h"

namespace arbutus::limits {

QuotaExchange::QuotaExchange(WorkspaceQuotaSettings settings, core::InstanceId self, core::TimePoint startedAt)
    : m_maxClockAge(settings.leases.leaseLength * 3 / 10)
    , m_self(std::move(self))
    , m_dispatcher(m_self)
    , m_lender(settings.leases, startedAt)
    , m_quotas(settings, startedAt)
{
}

void QuotaExchange::setKnownInstances(std::size_t count)
{
    m_knownInstances = count;
    m_quotas.leases().setKnownInstances(count);
}

std::vector<OutgoingQuotaMessage> QuotaExchange::report(core::TimePoint now)
{
    if (!m_quotas.hasQuotas()) {
        return {};
    }
    if (m_dispatcher == m_self) {
        m_lender.noteClock(m_self, toQuotaClock(now), now);
    }
    const std::optional<QuotaLease> lease = m_lender.lend(m_dispatcher, m_knownInstances, now);
    if (!lease) {
        return {};
    }
    if (m_dispatcher == m_self) {
        m_quotas.leases().addLease(m_self, *lease, now);
        return {};
    }
    return {OutgoingQuotaMessage{m_dispatcher, *lease}};
}

std::vector<OutgoingQuotaMessage> QuotaExchange::useDispatcher(const core::InstanceId &dispatcher, core::TimePoint now)
{
    if (dispatcher == m_dispatcher) {
        return {};
    }
    m_dispatcher = dispatcher;
    return report(now);
}

std::vector<OutgoingQuotaMessage> QuotaExchange::handle(const core::InstanceId &sender, const QuotaMessage &message, core::TimePoint now)
{
    return std::visit(core::Overloaded{
                          [&](const QuotaLease &lease) { return handleLease(sender, lease, now); },
                          [&](const QuotaState &state) { return handleState(sender, state, now); },
                      },
                      message);
}

std::vector<OutgoingQuotaMessage> QuotaExchange::handleLease(const core::InstanceId &sender, const QuotaLease &lease, core::TimePoint now)
{
    m_quotas.leases().addLease(sender, lease, now);
    const bool isOld = toQuotaClock(now - m_maxClockAge) > lease.borrowerClock;
    if (!isOld) {
        return {};
    }
    return {OutgoingQuotaMessage{sender, m_quotas.leases().stateForInstances(now)}};
}

std::vector<OutgoingQuotaMessage> QuotaExchange::handleState(const core::InstanceId &sender, const QuotaState &state, core::TimePoint now)
{
    m_lender.noteClock(sender, state.clock, now);
    if (m_quotas.notePeer(sender, state, now) && m_quotas.leases().ownShare(now) > 0) {
        return {OutgoingQuotaMessage{sender, m_quotas.stateFor(sender, now)}};
    }
    return sender == m_dispatcher && m_lender.holder() != sender ? report(now) : std::vector<OutgoingQuotaMessage>();
}

std::optional<QuotaState> QuotaExchange::stateForRegion(core::TimePoint now)
{
    if (!m_quotas.hasQuotas()) {
        return std::nullopt;
    }
    return m_quotas.leases().stateForInstances(now);
}

std::optional<QuotaState> QuotaExchange::stateForPeer(const core::InstanceId &peer, core::TimePoint now)
{
    if (!m_quotas.hasQuotas()) {
        return std::nullopt;
    }
    return m_quotas.stateFor(peer, now);
}

} // namespace arbutus::limits
