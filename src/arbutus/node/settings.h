// Settings of a node's decision logic.

#pragma once

#include "arbutus/delivery/ledger.h"
#include "arbutus/membership/membershipview.h"
#include "arbutus/placement/planner.h"
#include "arbutus/routing/router.h"
#include "arbutus/routing/upstreamtable.h"

#include <string>
#include <vector>

namespace arbutus::node {

/// Settings of a node; fixed while it runs.
struct NodeSettings
{
    membership::Member self;                            // id, incarnation, domain, region, addresses
    std::vector<membership::Member> seeds;              // members of this domain and contacts in other domains
    std::vector<delivery::TicketSigningKey> ticketKeys; // the first key signs
    std::string routerName = "scored";
    std::uint64_t randomSeed = 1;

    membership::MembershipSettings membership;
    routing::UpstreamTableSettings upstreamTable;
    routing::RouterSettings routing;
    delivery::LedgerLimits ledgerLimits;
    placement::PlannerSettings planner;

    std::chrono::milliseconds ticketLifetime{600'000};
    std::chrono::milliseconds witnessTimeout{400};                    // for recording the intent, both attempts together
    std::chrono::milliseconds handoverTimeout{3'000};                 // for the handover during a drain
    std::size_t admissionQueueCapacity = 4'096;                       // queued requests
    double queueReleaseOccupancy = 0.85;                              // queued requests are dispatched while the slot occupancy is below this
    double retryBudgetRatio = 0.1;                                    // retries per first attempt
    std::size_t maxAttempts = 3;                                      // per request
    core::Duration loadReadInterval = std::chrono::milliseconds(200); // between two reads of one upstream's report; longer with many upstreams
    double loadReadBytesPerSecond = 2'500;                            // traffic of one instance for reading load reports
    core::Duration loadBroadcastInterval = std::chrono::seconds(1);   // an unchanged report is broadcast again
    core::Duration platformListInterval = std::chrono::seconds(1);    // for two instances; longer with more instances
    core::Duration digestInterval = std::chrono::milliseconds(500);   // for a few domains; longer with more domains
    core::Duration demandBroadcastInterval = std::chrono::seconds(1);
    core::Duration directoryWriteInterval = std::chrono::seconds(5);
    double digestBytesPerSecond = 1'500;      // digests received by one instance
    std::size_t entriesPerDomain = 3;         // entries in each domain that are offered to one workspace's callers
    std::size_t configWatchersPerDomain = 2;  // instances that watch the configuration log
    std::uint64_t revisionsPerSnapshot = 256; // distance between two snapshots
};

} // namespace arbutus::node
