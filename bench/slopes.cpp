// Slopes of the control plane: many nodes driven in one process, at sizes over two decades.
//
//   slopes domains    nodes of a fleet as domains grow: bytes, datagrams, messages and processor time for each node
//   slopes nodes      nodes of one domain as it grows
//   slopes upstreams  one domain as its upstreams grow
//   slopes edits      time until an edit is in force everywhere, and what it costs
//   slopes tickets    ledger memory and time as tickets grow
//   slopes workspaces configuration memory and time as workspaces grow
//
// Prints one row for each size; docs/CAPACITY.md is worked out from them. Fake time throughout: only the processor time of
// the nodes' decisions is real.

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

constexpr auto WarmUp = 40s;   // membership and digests settle
constexpr auto Measured = 20s; // fake time

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
    options.tick = 100ms;
    options.countBytes = true;
    return options;
}

/// Runs a fleet and prints what each node costs a second.
void measureFleet(const char *label, std::size_t size, tests::FleetOptions options)
{
    const double before = heapMegabytes();
    tests::Fleet fleet(std::move(options));
    fleet.runFor(WarmUp);
    fleet.resetCounts();
    fleet.runFor(Measured);
    const double seconds = std::chrono::duration<double>(Measured).count();
    double out = 0;
    double in = 0;
    double most = 0;
    double datagrams = 0;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        const tests::NodeTraffic &traffic = fleet.traffic(i);
        out += static_cast<double>(traffic.bytesOut);
        in += static_cast<double>(traffic.bytesIn);
        most = std::max(most, static_cast<double>(std::max(traffic.bytesOut, traffic.bytesIn)));
        datagrams += static_cast<double>(traffic.datagramsOut);
    }
    const auto nodes = static_cast<double>(fleet.size());
    const double cpu = std::chrono::duration<double>(fleet.processorTime()).count();
    const tests::PlatformCalls &calls = fleet.platformCalls();
    std::printf("%s\t%zu\t%zu\t%.0f\t%.0f\t%.0f\t%.2f\t%.4f\t%.3f\t%.2f\t%.2f\n",
                label,
                size,
                fleet.size(),
                out / nodes / seconds,
                in / nodes / seconds,
                most / seconds,
                datagrams / nodes / seconds,
                100 * cpu / nodes / seconds,
                (heapMegabytes() - before) / nodes,
                static_cast<double>(calls.list) / seconds,
                static_cast<double>(calls.directory) / seconds);
    std::fflush(stdout);
}

void fleetHeader()
{
    std::printf("series\tsize\tnodes\tbytes_out/s\tbytes_in/s\tmost_bytes/s\tdatagrams/s\tcpu_%%\theap_MB/node\tlist_calls/s\tdirectory_calls/s\n");
}

void domains()
{
    fleetHeader();
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

void nodes()
{
    fleetHeader();
    for (const std::size_t size : {1U, 3U, 8U, 15U, 40U, 100U}) {
        tests::FleetOptions options = fleetOptions(1, 1, size);
        options.models = 4;
        options.modelUpstreams = 12;
        measureFleet("nodes", size, std::move(options));
    }
}

void upstreams()
{
    fleetHeader();
    for (const std::size_t size : {4U, 12U, 40U, 84U, 400U}) {
        tests::FleetOptions options = fleetOptions(1, 1, 15);
        options.models = 31;
        options.modelUpstreams = size;
        measureFleet("upstreams", size, std::move(options));
    }
}

void full()
{
    fleetHeader();
    tests::FleetOptions options = fleetOptions(32, 4, 14);
    options.models = 31;
    options.modelUpstreams = 80;
    options.tick = 200ms;
    const std::size_t domains = options.regions * options.domainsPerRegion;
    measureFleet("full", domains, std::move(options));
}

boost::json::object changed(const tests::Fleet &fleet, int rate)
{
    boost::json::object document = fleet.node(0).state().config.documents().at(config::DocumentKey{"workspace", "ws0"});
    document["parameters"].as_object()["rate"] = rate;
    return document;
}

void edits()
{
    std::printf("series\tdomains\tnodes\tplatform\tfirst_ms\tmedian_ms\tlast_ms\tpulls/node\n");
    struct Size
    {
        std::size_t regions;
        std::size_t domainsPerRegion;
    };
    for (const Size size : {Size{1, 1}, Size{3, 1}, Size{5, 2}, Size{10, 3}, Size{32, 4}}) {
        for (const bool oneDomainOnly : {false, true}) { // true: only the first domain is linked to the platform
            tests::FleetOptions options = fleetOptions(size.regions, size.domainsPerRegion, 4);
            options.models = 31;
            options.modelUpstreams = 31;
            options.countBytes = false;
            options.tick = 50ms;
            tests::Fleet fleet(options);
            fleet.runFor(WarmUp);
            fleet.resetCounts();
            if (oneDomainOnly) {
                fleet.watchOnly(0);
            }
            const core::Revision revision = fleet.edit(changed(fleet, 77));
            std::vector<double> at;
            std::size_t before = fleet.nodesBehind(revision);
            for (int ms = 0; ms < 12'000 && before > 0; ms += 5) {
                fleet.runFor(5ms);
                const std::size_t behind = fleet.nodesBehind(revision);
                at.insert(at.end(), before - behind, ms + 5.0);
                before = behind;
            }
            double pulls = 0;
            for (std::size_t i = 0; i < fleet.size(); ++i) {
                pulls += static_cast<double>(fleet.traffic(i).configPulls);
            }
            std::printf("edits\t%zu\t%zu\t%s\t%.0f\t%.0f\t%.0f%s\t%.2f\n",
                        size.regions * size.domainsPerRegion,
                        fleet.size(),
                        oneDomainOnly ? "one_domain" : "all",
                        at.empty() ? 0 : at.front(),
                        at.empty() ? 0 : at[at.size() / 2],
                        at.empty() ? 0 : at.back(),
                        before > 0 ? "+" : "",
                        pulls / static_cast<double>(fleet.size()));
            std::fflush(stdout);
        }
    }
}

void tickets()
{
    std::printf("series\ttickets\towner_bytes_each\twitness_bytes_each\towner_us_each\twitness_us_each\n");
    const core::InstanceRef owner{core::InstanceId("gw-bangkok-1"), core::Incarnation(1'796'338'095'795'363)};
    const core::InstanceRef witness{core::InstanceId("gw-bangkok-2"), core::Incarnation(1'796'338'095'795'364)};
    const std::string digest(64, 'd');
    for (const std::size_t count : {1'000U, 10'000U, 50'000U, 150'000U}) {
        delivery::OwnerLedger owned(owner, {});
        delivery::WitnessLedger witnessed(witness, {});
        const core::WallTime now(1000s);
        std::vector<delivery::Ticket> all;
        for (std::size_t i = 0; i < count; ++i) {
            all.push_back(owned.issue(core::WorkspaceId("siamwong"), witness, now + 600s));
        }
        const auto timed = [&](const std::function<void(const delivery::Ticket &)> &work) {
            const double before = heapMegabytes();
            const auto start = std::chrono::steady_clock::now();
            for (const delivery::Ticket &ticket : all) {
                work(ticket);
            }
            const double us = std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start).count();
            return std::pair(1e6 * (heapMegabytes() - before) / static_cast<double>(count), us / static_cast<double>(count));
        };
        const delivery::RecordedOutcome outcome{delivery::OutcomeKind::Completed, 200, "application/json", std::string(120, 'a'), true};
        const auto owners = timed([&](const delivery::Ticket &ticket) {
            (void)owned.start(ticket, digest, now);
            (void)owned.handleWitnessResponse(ticket, delivery::LedgerStatus::Recorded);
            owned.recordOutcome(ticket, outcome);
        });
        const auto witnesses = timed([&](const delivery::Ticket &ticket) {
            (void)witnessed.recordIntent(ticket, digest, now);
            (void)witnessed.recordOutcome(ticket, outcome, now);
        });
        std::printf("tickets\t%zu\t%.0f\t%.0f\t%.2f\t%.2f\n", count, owners.first, witnesses.first, owners.second, witnesses.second);
    }
}

void workspaces()
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
        const double kilobytes = 1000 * (heapMegabytes() - before) / static_cast<double>(count);
        config::ConfigState state = fleet.node(0).state().config;
        config::Edit edit{"e", "bench", {changed(fleet, 5)}, {}, state.head().revision};
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
        std::printf(
            "workspaces\t%zu\t%.1f\t%.0f\t%.2f\t%.2f\n", count, kilobytes, us, static_cast<double>(state.serializeSnapshot().size()) / 1e6, limitKilobytes);
        std::fflush(stdout);
    }
}

} // namespace

int main(int argc, char **argv)
{
    const std::map<std::string, std::function<void()>> series{
        {"domains", domains}, {"nodes", nodes}, {"upstreams", upstreams}, {"full", full}, {"edits", edits}, {"tickets", tickets}, {"workspaces", workspaces}};
    const auto found = series.find(argc > 1 ? argv[1] : "");
    if (found == series.end()) {
        std::cerr << "slopes: name one of domains, nodes, upstreams, full, edits, tickets, workspaces\n";
        return 2;
    }
    found->second();
    return 0;
}
