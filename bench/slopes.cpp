// Measures how the cost of the control plane scales, with many nodes driven in one process.
//
//   slopes domains    cost per node as the number of domains grows: bytes, datagrams, processor time and memory
//   slopes nodes      cost per node as one domain gains nodes
//   slopes upstreams  cost per node as one domain gains upstreams
//   slopes full       cost per node of a fleet with 32 regions, 4 domains in each and 14 nodes in each domain
//   slopes edits      time until every node applies an edit, and the number of pulls it takes
//   slopes tickets    memory and time of the ledgers as the number of tickets grows
//   slopes workspaces memory and time of the configuration as the number of workspaces grows
//
// Prints one row for each size; docs/CAPACITY.md is derived from them. The fleet runs on a simulated clock; only the
// processor time of the nodes' decisions and of the ledger and configuration operations is real.

#include "arbutus/config/edit.h"
#include "arbutus/delivery/ledger.h"
#include "arbutus/limits/workspacelimits.h"
#include "support/fleet.h"

#include <boost/json.hpp>

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <functional>
#include <iostream>
#include <map>

using namespace arbutus;
using namespace std::chrono_literals;

namespace {

constexpr auto WarmUp = 40s;           // simulated; membership and digests converge
constexpr auto MeasuredDuration = 20s; // simulated

double heapMegabytes()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd) / 1e6;
}

tests::FleetOptions fleetOptions(std::size_t regions, std::size_t domainsPerRegion, std::size_t nodes)
{
    tests::FleetOptions options;
    options.regions = regions;
    options.domainsPerRegion = domainsPerRegion;
    options.nodesPerDomain = nodes;
    options.tickInterval = 100ms;
    options.countBytes = true;
    return options;
}

/// Runs a fleet and prints the traffic, processor time and memory per node, and the platform calls per second.
void measureFleet(const char *label, std::size_t size, tests::FleetOptions options)
{
    const double heapBefore = heapMegabytes();
    tests::Fleet fleet(std::move(options));
    fleet.runFor(WarmUp);
    fleet.resetCounters();
    fleet.runFor(MeasuredDuration);
    const double seconds = std::chrono::duration<double>(MeasuredDuration).count();
    double bytesOut = 0;
    double bytesIn = 0;
    double maxBytes = 0;
    double datagrams = 0;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        const tests::NodeTraffic &traffic = fleet.traffic(i);
        bytesOut += static_cast<double>(traffic.bytesOut);
        bytesIn += static_cast<double>(traffic.bytesIn);
        maxBytes = std::max(maxBytes, static_cast<double>(std::max(traffic.bytesOut, traffic.bytesIn)));
        datagrams += static_cast<double>(traffic.datagramsOut);
    }
    const auto nodes = static_cast<double>(fleet.size());
    const double cpu = std::chrono::duration<double>(fleet.decisionCpuTime()).count();
    const tests::PlatformCalls &calls = fleet.platformCalls();
    std::printf("%s\t%zu\t%zu\t%.0f\t%.0f\t%.0f\t%.2f\t%.4f\t%.3f\t%.2f\t%.2f\n",
                label,
                size,
                fleet.size(),
                bytesOut / nodes / seconds,
                bytesIn / nodes / seconds,
                maxBytes / seconds,
                datagrams / nodes / seconds,
                100 * cpu / nodes / seconds,
                (heapMegabytes() - heapBefore) / nodes,
                static_cast<double>(calls.list) / seconds,
                static_cast<double>(calls.directory) / seconds);
    std::fflush(stdout);
}

void printFleetHeader()
{
    std::printf("series\tsize\tnodes\tbytes_out/s\tbytes_in/s\tmost_bytes/s\tdatagrams/s\tcpu_%%\theap_MB/node\tlist_calls/s\tdirectory_calls/s\n");
}

void measureDomains()
{
    printFleetHeader();
    struct Size
    {
        std::size_t regions;
        std::size_t domainsPerRegion;
    };
    for (const Size size : {Size{1, 1}, Size{3, 1}, Size{5, 2}, Size{10, 3}, Size{32, 4}}) {
        tests::FleetOptions options = fleetOptions(size.regions, size.domainsPerRegion, 3);
        options.models = 31;
        options.modelUpstreams = 31;
        measureFleet("domains", size.regions * size.domainsPerRegion, std::move(options));
    }
}

void measureNodes()
{
    printFleetHeader();
    for (const std::size_t size : {1U, 3U, 8U, 15U, 40U, 100U}) {
        tests::FleetOptions options = fleetOptions(1, 1, size);
        options.models = 4;
        options.modelUpstreams = 12;
        measureFleet("nodes", size, std::move(options));
    }
}

void measureUpstreams()
{
    printFleetHeader();
    for (const std::size_t size : {4U, 12U, 40U, 84U, 400U}) {
        tests::FleetOptions options = fleetOptions(1, 1, 15);
        options.models = 31;
        options.modelUpstreams = size;
        measureFleet("upstreams", size, std::move(options));
    }
}

void measureFull()
{
    printFleetHeader();
    tests::FleetOptions options = fleetOptions(32, 4, 14);
    options.models = 31;
    options.modelUpstreams = 80;
    options.tickInterval = 200ms;
    const std::size_t domains = options.regions * options.domainsPerRegion;
    measureFleet("full", domains, std::move(options));
}

boost::json::object workspaceWithRate(const tests::Fleet &fleet, int rate)
{
    boost::json::object document = fleet.node(0).state().config.documents().at(config::DocumentKey{"workspace", "ws0"});
    document["parameters"].as_object()["rate"] = rate;
    return document;
}

void measureEdits()
{
    std::printf("series\tdomains\tnodes\tplatform\tfirst_ms\tmedian_ms\tlast_ms\tpulls/node\n");
    struct Size
    {
        std::size_t regions;
        std::size_t domainsPerRegion;
    };
    for (const Size size : {Size{1, 1}, Size{3, 1}, Size{5, 2}, Size{10, 3}, Size{32, 4}}) {
        for (const bool oneDomainOnly : {false, true}) { // true: the platform announces edits to the first domain only
            tests::FleetOptions options = fleetOptions(size.regions, size.domainsPerRegion, 4);
            options.models = 31;
            options.modelUpstreams = 31;
            options.countBytes = false;
            options.tickInterval = 50ms;
            tests::Fleet fleet(options);
            fleet.runFor(WarmUp);
            fleet.resetCounters();
            if (oneDomainOnly) {
                fleet.restrictWatchesTo(0);
            }
            const core::Revision revision = fleet.edit(workspaceWithRate(fleet, 77));
            std::vector<double> appliedAt; // one time for each node
            std::size_t pending = fleet.nodesBehind(revision);
            for (int ms = 0; ms < 12'000 && pending > 0; ms += 5) {
                fleet.runFor(5ms);
                const std::size_t behind = fleet.nodesBehind(revision);
                appliedAt.insert(appliedAt.end(), pending - behind, ms + 5.0);
                pending = behind;
            }
            double pulls = 0;
            for (std::size_t i = 0; i < fleet.size(); ++i) {
                pulls += static_cast<double>(fleet.traffic(i).configPulls);
            }
            std::printf("edits\t%zu\t%zu\t%s\t%.0f\t%.0f\t%.0f%s\t%.2f\n",
                        size.regions * size.domainsPerRegion,
                        fleet.size(),
                        oneDomainOnly ? "one_domain" : "all",
                        appliedAt.empty() ? 0 : appliedAt.front(),
                        appliedAt.empty() ? 0 : appliedAt[appliedAt.size() / 2],
                        appliedAt.empty() ? 0 : appliedAt.back(),
                        pending > 0 ? "+" : "",
                        pulls / static_cast<double>(fleet.size()));
            std::fflush(stdout);
        }
    }
}

void measureTickets()
{
    std::printf("series\ttickets\towner_bytes_each\twitness_bytes_each\towner_us_each\twitness_us_each\n");
    const core::InstanceRef owner{core::InstanceId("gw-bangkok-1"), core::Incarnation(1'796'338'095'795'363)};
    const core::InstanceRef witness{core::InstanceId("gw-bangkok-2"), core::Incarnation(1'796'338'095'795'364)};
    const std::string digest(64, 'd');
    for (const std::size_t count : {1'000U, 10'000U, 50'000U, 150'000U}) {
        delivery::OwnerLedger ownerLedger(owner, {});
        delivery::WitnessLedger witnessLedger(witness, {});
        const core::WallTime now(1000s);
        std::vector<delivery::Ticket> issued;
        for (std::size_t i = 0; i < count; ++i) {
            issued.push_back(ownerLedger.issue(core::WorkspaceId("siamwong"), witness, now + 600s));
        }
        const auto measure = [&](const std::function<void(const delivery::Ticket &)> &operation) {
            const double before = heapMegabytes();
            const auto start = std::chrono::steady_clock::now();
            for (const delivery::Ticket &ticket : issued) {
                operation(ticket);
            }
            const double us = std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start).count();
            return std::pair(1e6 * (heapMegabytes() - before) / static_cast<double>(count), us / static_cast<double>(count));
        };
        const delivery::RecordedOutcome outcome{delivery::OutcomeKind::Completed, 200, "application/json", std::string(120, 'a'), true};
        const auto ownerCost = measure([&](const delivery::Ticket &ticket) {
            (void)ownerLedger.start(ticket, digest, now);
            (void)ownerLedger.handleWitnessResponse(ticket, delivery::LedgerStatus::Recorded);
            ownerLedger.recordOutcome(ticket, outcome);
        });
        const auto witnessCost = measure([&](const delivery::Ticket &ticket) {
            (void)witnessLedger.recordIntent(ticket, digest, now);
            (void)witnessLedger.recordOutcome(ticket, outcome, now);
        });
        std::printf("tickets\t%zu\t%.0f\t%.0f\t%.2f\t%.2f\n", count, ownerCost.first, witnessCost.first, ownerCost.second, witnessCost.second);
    }
}

void measureWorkspaces()
{
    std::printf("series\tworkspaces\theap_KB_each\tedit_us\tsnapshot_MB\tlimits_KB_each\n");
    for (const std::size_t count : {50U, 500U, 1'500U, 5'000U}) {
        const double before = heapMegabytes();
        tests::FleetOptions options = fleetOptions(1, 1, 1);
        options.workspaces = count;
        options.models = 31;
        options.modelUpstreams = 1;
        options.countBytes = false;
        tests::Fleet fleet(options);
        fleet.runFor(2s);
        const double configKilobytes = 1000 * (heapMegabytes() - before) / static_cast<double>(count);
        config::ConfigState state = fleet.node(0).state().config;
        config::Edit edit{"e", "bench", {workspaceWithRate(fleet, 5)}, {}, state.head().revision};
        const config::LogEntry entry = config::buildLogEntry(state, edit, 0).value();
        const auto start = std::chrono::steady_clock::now();
        state.apply(entry);
        const double us = std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start).count();
        const double limitsBefore = heapMegabytes();
        limits::WorkspaceLimits limits;
        for (const auto &[workspace, policy] : state.policies()) {
            (void)limits.admit(policy, limits::LimitPartition{12, 5}, core::TimePoint(100s));
            for (int source = 0; source < 5; ++source) {
                limits.updateRemoteDemand("region:r" + std::to_string(source), limits::WorkspaceDemand{workspace, 1.0}, core::TimePoint(100s));
            }
        }
        const double limitKilobytes = 1000 * (heapMegabytes() - limitsBefore) / static_cast<double>(count);
        std::printf("workspaces\t%zu\t%.1f\t%.0f\t%.2f\t%.2f\n",
                    count,
                    configKilobytes,
                    us,
                    static_cast<double>(state.serializeSnapshot().size()) / 1e6,
                    limitKilobytes);
        std::fflush(stdout);
    }
}

} // namespace

int main(int argc, char **argv)
{
    const std::map<std::string, std::function<void()>> series{{"domains", measureDomains},
                                                              {"nodes", measureNodes},
                                                              {"upstreams", measureUpstreams},
                                                              {"full", measureFull},
                                                              {"edits", measureEdits},
                                                              {"tickets", measureTickets},
                                                              {"workspaces", measureWorkspaces}};
    const auto found = series.find(argc > 1 ? argv[1] : "");
    if (found == series.end()) {
        std::cerr << "usage: slopes SERIES, where SERIES is one of domains, nodes, upstreams, full, edits, tickets, workspaces\n";
        return 2;
    }
    found->second();
    return 0;
}
