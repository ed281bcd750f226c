// Records that instances handed on at their planned stops.
//
// An instance that stops by plan closes its own tickets for good and hands all it knows to a successor. For the tickets
// of an owner that has closed, the records are complete: a ticket without one did not run and never will. Records that
// the stopped instance had only witnessed are kept too, but say nothing about tickets that are not among them.

#pragma once

#include "arbutus/delivery/ledger.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace arbutus::delivery {

/// One record on its way to a successor.
struct HandoverRecord
{
    std::string key; // ledgerKey()
    core::WallTime expiry{};
    LedgerResult result;
};

/// An owner that has closed for good.
struct ClosedOwner
{
    core::InstanceRef owner;
    core::WallTime lastTicketExpiry{}; // expiry of its last ticket
};

/// All that one instance hands on.
struct Handover
{
    std::vector<HandoverRecord> records;
    std::vector<ClosedOwner> closedOwners;
};

/// Records taken over from others.
class SuccessorLedger
{
public:
    explicit SuccessorLedger(LedgerLimits limits);

    void merge(const Handover &handover);
    [[nodiscard]] LedgerResult lookup(const Ticket &ticket, core::WallTime now) const;
    [[nodiscard]] Handover exportAll() const;
    void purgeExpired(core::WallTime now);
    [[nodiscard]] std::size_t size() const
    {
        return m_records.size();
    }

private:
    LedgerLimits m_limits;
    std::unordered_map<std::string, HandoverRecord> m_records;
    std::map<core::InstanceRef, core::WallTime> m_closedOwners;
    std::size_t m_answerBytes = 0;
};

} // namespace arbutus::delivery
