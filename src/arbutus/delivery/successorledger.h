// Ledger records that drained instances handed over to this one.
//
// An instance that drains closes its own tickets permanently and hands all its records to a successor. For the tickets of
// a closed owner the records are complete: a ticket without a record did not run and never will. Records that the drained
// instance held as a witness are kept too, but their absence says nothing about a ticket.

#pragma once

#include "arbutus/delivery/ledger.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace arbutus::delivery {

/// One ledger record in a handover.
struct HandoverRecord
{
    std::string key; // ticketRecordKey()
    core::WallTime expiry{};
    LedgerResult result;
};

/// An owner that has permanently closed its tickets.
struct ClosedOwner
{
    core::InstanceRef owner;
    core::WallTime lastTicketExpiry{}; // expiry of its last ticket
};

/// Records that one instance hands over, or a part of them.
struct Handover
{
    std::vector<HandoverRecord> records;
    std::vector<ClosedOwner> closedOwners;
};

/// Records that this instance has received from drained instances.
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
    std::size_t m_storedResponseBytes = 0;
};

} // namespace arbutus::delivery
