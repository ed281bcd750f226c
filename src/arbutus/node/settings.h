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

/// Everything that the decision logic is told at the start.
struct NodeSettings
{
    membership::Member self;                            // id, incarnation, domain, region, addresses
    std::vector<membership::Member> seeds;              // members of the own domain and contacts of others
    std::vector<delivery::TicketSigningKey> ticketKeys; // first one signs
    std::string routerName = "scored";
    std::uint64_t randomSeed = 1;

    membership::MembershipSettings domainView;
    routing::UpstreamTableSettings upstreamTable;
    routing::RouterSettings routing;
    delivery::LedgerLimits ledgerLimits;
    placement::PlannerSettings planner;

    std::chrono::milliseconds ticketLifetime{600'000};
    std::chrono::milliseconds witnessTimeout{400};                    // intent, both tries together
    std::chrono::milliseconds handoverTimeout{3'000};                 // at a planned stop
    std::size_t admissionQueueCapacity = 4'096;                       // requests held
    double holdReleaseOccupancy = 0.85;                               // held requests are released below this part of the slots
    double retryBudgetRatio = 0.1;                                    // retries as a share of first attempts
    std::size_t maxAttempts = 3;                                      // of one request
    core::Duration loadReadInterval = std::chrono::milliseconds(200); // reading one upstream's report; longer with many
    double loadReadBytesPerSecond = 2'500;                            // of reading reports by one instance
    core::Duration loadBroadcastInterval = std::chrono::seconds(1);   // an unchanged report is told again
    core::Duration platformListInterval = std::chrono::seconds(1);    // for two instances; longer with more
    core::Duration digestInterval = std::chrono::milliseconds(500);   // for few domains; longer with more
    core::Duration demandBroadcastInterval = std::chrono::seconds(1);
    core::Duration directoryWriteInterval = std::chrono::seconds(5);
    double digestBytesPerSecond = 1'500;      // received by one instance
    std::size_t entriesPerDomain = 3;         // that one workspace's callers are sent to
    std::size_t configWatchersPerDomain = 2;  // in one domain
    std::uint64_t revisionsPerSnapshot = 256; // revisions
};

} // namespace arbutus::node
