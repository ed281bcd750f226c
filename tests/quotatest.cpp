// Quotas of workspaces, held by the whole fleet: the upper bound under partitions, restarts, takeovers, lost and late messages, and how
// much of a quota is usable. The fleet is simulated with a clock of its own; each process has another origin of its clock.

#include "arbutus/edge/codec.h"
#include "arbutus/limits/quotaexchange.h"
#include "support/schedules.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <iostream>
#include <memory>
#include <random>

using namespace arbutus;
using namespace std::chrono_literals;

namespace {

const core::TimePoint Start(100s);
const core::WorkspaceId Desk("desk");
constexpr core::Duration Step = 10ms;
constexpr core::Duration DetectionTime = 500ms; // until an instance that does not answer is passed over
constexpr std::uint32_t LargestRequest = 40'000;

catalog::Workspace makeWorkspace(double rate, double burst)
{
    catalog::Workspace workspace;
    workspace.id = Desk;
    workspace.quota = catalog::Quota{catalog::QuotaUnit::Tokens, rate, burst, 200};
    return workspace;
}

double toSeconds(core::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// Units that one window may contain.
double boundOf(const catalog::Quota &quota, const limits::QuotaTerms &terms)
{
    return (quota.unitsPerSecond * toSeconds(terms.window) + quota.burstUnits) * (1 + terms.overshoot) + terms.slack;
}

struct Execution
{
    core::TimePoint at{};
    double units = 0;
};

/// Most units in any window; the executions are in the order of time.
double mostInWindow(const std::vector<Execution> &executions, core::Duration window)
{
    double most = 0;
    double sum = 0;
    std::size_t first = 0;
    for (const Execution &execution : executions) {
        sum += execution.units;
        while (executions[first].at + window < execution.at) {
            sum -= executions[first++].units;
        }
        most = std::max(most, sum);
    }
    return most;
}

/// One bucket that sees every request: what a quota allows at most without a bound of a window.
class ReferenceBucket
{
public:
    ReferenceBucket(const catalog::Quota &quota, core::TimePoint now)
        : m_quota(quota)
        , m_units(quota.burstUnits)
        , m_updatedAt(now)
    {
    }
    bool trySpend(double units, core::TimePoint now)
    {
        m_units = std::min(m_units + m_quota.unitsPerSecond * toSeconds(now - m_updatedAt), m_quota.burstUnits);
        m_updatedAt = now;
        const bool isAdmitted = m_units >= units;
        m_units -= isAdmitted ? units : 0;
        return isAdmitted;
    }

private:
    catalog::Quota m_quota;
    double m_units;
    core::TimePoint m_updatedAt;
};

/// A fleet of three regions whose messages take time, are lost, come late, or do not pass.
class QuotaFleet
{
public:
    static constexpr std::size_t RegionCount = 3;

    QuotaFleet(std::size_t instancesPerRegion, catalog::Workspace workspace, std::uint64_t seed)
        : m_instancesPerRegion(instancesPerRegion)
        , m_workspace(std::move(workspace))
        , m_random(seed)
        , m_reference(*m_workspace.quota, Start)
    {
        m_settings.terms = limits::QuotaTerms{8s, 0.1, 110'000};
        m_settings.leases.regionCount = RegionCount;
        for (std::size_t i = 0; i < RegionCount * instancesPerRegion; ++i) {
            m_instances.emplace_back();
            restart(i);
        }
    }

    //--- Faults
    void kill(std::size_t index)
    {
        m_instances[index].exchange.reset();
    }
    void restart(std::size_t index)
    {
        Instance &instance = m_instances[index];
        instance.index = index;
        instance.startedAt = m_now;
        instance.clockOffset = std::chrono::milliseconds(std::uniform_int_distribution<int>(0, 1'000'000)(m_random));
        instance.exchange = std::make_unique<limits::QuotaExchange>(m_settings, idOf(index), m_now + instance.clockOffset);
        instance.exchange->setKnownInstances(knowsFleetAtStart ? m_instances.size() : 1);
        instance.exchange->quotas().setQuotas({m_workspace}, m_now + instance.clockOffset);
        instance.heardAt.assign(RegionCount * m_instancesPerRegion, m_now);
    }
    [[nodiscard]] bool isAlive(std::size_t index) const
    {
        return m_instances[index].exchange != nullptr;
    }
    /// Instances of different groups do not reach each other.
    void setGroup(std::size_t index, int group)
    {
        m_instances[index].group = group;
    }
    [[nodiscard]] std::size_t regionOf(std::size_t index) const
    {
        return index / m_instancesPerRegion;
    }
    [[nodiscard]] std::size_t size() const
    {
        return m_instances.size();
    }

    void run(core::Duration time)
    {
        for (const core::TimePoint end = m_now + time; m_now < end;) {
            m_now += Step;
            step();
        }
    }

    //--- Results
    std::vector<Execution> executions;
    double spentUnits = 0;
    double refusedUnits = 0;         // all
    double referenceUnits = 0;       // that one bucket for the whole fleet admits
    double refusedBelowQuota = 0;    // that one bucket for the whole fleet admits, and the fleet refused
    std::size_t refusedRequests = 0; // that one bucket for the whole fleet admits, and the fleet refused
    void clearResults()
    {
        spentUnits = refusedUnits = referenceUnits = refusedBelowQuota = 0;
        refusedRequests = 0;
    }
    [[nodiscard]] double mostUnitsInWindow()
    {
        std::stable_sort(executions.begin(), executions.end(), [](const Execution &a, const Execution &b) { return a.at < b.at; });
        return mostInWindow(executions, m_settings.terms.window);
    }
    [[nodiscard]] double bound() const
    {
        return boundOf(*m_workspace.quota, m_settings.terms);
    }
    [[nodiscard]] double share(std::size_t index)
    {
        Instance &instance = m_instances[index];
        return instance.exchange->quotas().leases().share(Desk, 1, localTime(instance));
    }

    //--- Load
    std::array<double, RegionCount> demand{}; // units a second
    std::vector<std::uint32_t> sizes = {1'100};
    double lossRate = 0;
    double lateRate = 0;   // of messages that take up to 3 s
    double notRunRate = 0; // of requests that are refused later for another reason
    bool knowsFleetAtStart = true;

private:
    struct Instance
    {
        std::size_t index = 0;
        std::unique_ptr<limits::QuotaExchange> exchange; // null: not running
        core::TimePoint startedAt{};
        core::Duration clockOffset{};
        int group = 0;
        std::vector<core::TimePoint> heardAt; // by instance
        double unitsToAsk = 0;
        std::uint32_t nextUnits = 0;
    };
    struct Datagram
    {
        core::TimePoint arrivesAt{};
        std::size_t from = 0;
        std::size_t to = 0;
        limits::QuotaMessage message;
    };
    struct NotRun
    {
        core::TimePoint at{};
        std::size_t dispatcher = 0;
        routing::PlacementId id;
    };

    static core::InstanceId idOf(std::size_t index)
    {
        return core::InstanceId(std::to_string(index));
    }
    static std::size_t indexOf(const core::InstanceId &id)
    {
        return std::stoul(id.text);
    }
    [[nodiscard]] core::TimePoint localTime(const Instance &instance) const
    {
        return m_now + instance.clockOffset;
    }
    [[nodiscard]] bool reaches(std::size_t from, std::size_t to) const
    {
        return isAlive(to) && m_instances[from].group == m_instances[to].group;
    }
    double random()
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random);
    }
    /// First instance of the region that answers, as far as `instance` knows; itself if it knows no other.
    std::size_t dispatcherOf(const Instance &instance, std::size_t region)
    {
        for (std::size_t i = region * m_instancesPerRegion; i < (region + 1) * m_instancesPerRegion; ++i) {
            if (i == instance.index || m_now - instance.heardAt[i] < DetectionTime) {
                return i;
            }
        }
        return instance.index;
    }
    void send(std::size_t from, std::size_t to, limits::QuotaMessage message)
    {
        if (m_instances[from].group != m_instances[to].group || random() < lossRate) {
            return;
        }
        core::Duration delay = regionOf(from) == regionOf(to) ? Step : core::Duration(60ms);
        if (random() < lateRate) {
            delay += std::chrono::milliseconds(static_cast<int>(random() * 3'000));
        }
        m_datagrams.push_back(Datagram{m_now + delay, from, to, std::move(message)});
    }
    void send(std::size_t from, std::vector<limits::OutgoingQuotaMessage> messages)
    {
        for (limits::OutgoingQuotaMessage &message : messages) {
            send(from, indexOf(message.to), std::move(message.message));
        }
    }
    void step()
    {
        for (Instance &instance : m_instances) {
            for (std::size_t i = 0; i < m_instances.size(); ++i) {
                if (instance.exchange && reaches(instance.index, i)) {
                    instance.heardAt[i] = m_now;
                }
            }
        }
        std::vector<Datagram> arrived;
        std::erase_if(m_datagrams, [&](Datagram &datagram) {
            if (datagram.arrivesAt > m_now) {
                return false;
            }
            arrived.push_back(std::move(datagram));
            return true;
        });
        for (const Datagram &datagram : arrived) {
            Instance &receiver = m_instances[datagram.to];
            if (receiver.exchange) {
                send(datagram.to, receiver.exchange->handle(idOf(datagram.from), datagram.message, localTime(receiver)));
            }
        }
        for (Instance &instance : m_instances) {
            if (instance.exchange) {
                stepInstance(instance);
            }
        }
        std::erase_if(m_notRun, [&](const NotRun &notRun) {
            if (notRun.at <= m_now && isAlive(notRun.dispatcher)) {
                Instance &dispatcher = m_instances[notRun.dispatcher];
                dispatcher.exchange->quotas().giveBack(notRun.id, localTime(dispatcher));
            }
            return notRun.at <= m_now;
        });
    }
    void stepInstance(Instance &instance)
    {
        const core::TimePoint now = localTime(instance);
        const auto tick = (m_now - instance.startedAt) / Step + static_cast<std::int64_t>(instance.index);
        if (m_now - instance.startedAt > 1s) {
            instance.exchange->setKnownInstances(m_instances.size());
        }
        instance.exchange->quotas().update(now);
        send(instance.index, instance.exchange->useDispatcher(idOf(dispatcherOf(instance, regionOf(instance.index))), now));
        if (tick % 30 == 0) {
            send(instance.index, instance.exchange->report(now));
        }
        const bool isUrgent = instance.exchange->quotas().isNeedUrgent(now);
        if ((tick % 25 == 0 || isUrgent) && dispatcherOf(instance, regionOf(instance.index)) == instance.index) {
            for (std::size_t i = 0; i < m_instances.size(); ++i) {
                if (i != instance.index && regionOf(i) == regionOf(instance.index)) {
                    send(instance.index, i, *instance.exchange->stateForRegion(now));
                }
            }
            for (std::size_t region = 0; region < RegionCount; ++region) {
                const std::size_t peer = dispatcherOf(instance, region);
                if (region != regionOf(instance.index) && peer != instance.index) {
                    send(instance.index, peer, *instance.exchange->stateForPeer(idOf(peer), now));
                }
            }
        }
        ask(instance);
    }
    void ask(Instance &instance)
    {
        const std::size_t region = regionOf(instance.index);
        std::size_t alive = 0;
        for (std::size_t i = region * m_instancesPerRegion; i < (region + 1) * m_instancesPerRegion; ++i) {
            alive += isAlive(i) ? 1 : 0;
        }
        const double offered = demand.at(region) / static_cast<double>(alive) * toSeconds(Step);
        instance.unitsToAsk += -std::log(1 - random()) * offered; // varies like independent arrivals
        if (instance.nextUnits == 0) {
            instance.nextUnits = sizes[static_cast<std::size_t>(random() * static_cast<double>(sizes.size()))];
        }
        const std::size_t asked = dispatcherOf(instance, region);
        if (!reaches(instance.index, asked)) {
            return; // asked again when the dispatcher is passed over
        }
        while (instance.unitsToAsk >= instance.nextUnits) {
            decide(m_instances[asked], instance.nextUnits);
            instance.unitsToAsk -= instance.nextUnits;
            instance.nextUnits = sizes[static_cast<std::size_t>(random() * static_cast<double>(sizes.size()))];
        }
    }
    void decide(Instance &dispatcher, std::uint32_t units)
    {
        const routing::PlacementId id("r" + std::to_string(m_nextRequest++));
        const bool isBelowQuota = m_reference.trySpend(units, m_now);
        referenceUnits += isBelowQuota ? units : 0;
        if (dispatcher.exchange->quotas().spend(id, Desk, units, localTime(dispatcher))) {
            refusedUnits += units;
            refusedBelowQuota += isBelowQuota ? units : 0;
            refusedRequests += isBelowQuota ? 1 : 0;
            return;
        }
        spentUnits += units;
        if (random() < notRunRate) {
            m_notRun.push_back(NotRun{m_now + std::chrono::milliseconds(static_cast<int>(random() * 600)), dispatcher.index, id});
        } else {
            executions.push_back(Execution{m_now, static_cast<double>(units)});
        }
    }

    std::size_t m_instancesPerRegion;
    catalog::Workspace m_workspace;
    limits::WorkspaceQuotaSettings m_settings;
    std::mt19937_64 m_random;
    ReferenceBucket m_reference;
    core::TimePoint m_now = Start;
    std::vector<Instance> m_instances;
    std::vector<Datagram> m_datagrams;
    std::vector<NotRun> m_notRun;
    std::uint64_t m_nextRequest = 0;
};

enum class Fault {
    None,
    Shift,           // of demand between regions
    DispatcherCrash, // of one region; it starts again
    FleetCrash,      // of all instances
    RollingRestart,  // of a third of the instances
    RegionCut,       // from the others
    RandomPartition, // in three groups, across regions
    InstancesCut,    // a third, each alone
    Heal,            // of all partitions
};

void apply(QuotaFleet &fleet, Fault fault, std::mt19937_64 &random)
{
    const auto pick = [&](std::size_t count) { return std::uniform_int_distribution<std::size_t>(0, count - 1)(random); };
    const core::Duration downTime = std::chrono::milliseconds(50 + 10 * pick(200));
    std::vector<std::size_t> killed;
    switch (fault) {
    case Fault::None:
        break;
    case Fault::Shift:
        for (double &demand : fleet.demand) {
            demand = std::max(demand, 1.0);
        }
        std::shuffle(fleet.demand.begin(), fleet.demand.end(), random);
        break;
    case Fault::DispatcherCrash:
        killed.push_back(pick(QuotaFleet::RegionCount) * fleet.size() / QuotaFleet::RegionCount);
        break;
    case Fault::FleetCrash:
    case Fault::RollingRestart:
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            if (fault == Fault::FleetCrash || pick(3) == 0) {
                killed.push_back(i);
            }
        }
        break;
    case Fault::RegionCut: {
        const std::size_t region = pick(QuotaFleet::RegionCount);
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            fleet.setGroup(i, fleet.regionOf(i) == region ? 1 : 0);
        }
        break;
    }
    case Fault::RandomPartition:
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            fleet.setGroup(i, static_cast<int>(pick(3)));
        }
        break;
    case Fault::InstancesCut:
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            fleet.setGroup(i, pick(3) == 0 ? static_cast<int>(i) + 1 : 0);
        }
        break;
    case Fault::Heal:
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            fleet.setGroup(i, 0);
        }
        break;
    }
    for (const std::size_t index : killed) {
        fleet.kill(index);
    }
    if (!killed.empty()) {
        fleet.run(downTime);
    }
    for (const std::size_t index : killed) {
        fleet.restart(index);
    }
}

} // namespace

TEST_CASE("the units of a workspace stay in the bound in every window, whatever fails", "[quota]")
{
    double highest = 0;
    const bool holds = tests::checkSchedules("quota_upper_bound", 60, [&] {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        std::mt19937_64 random(seed);
        const double rate = *rc::gen::element(29'000.0, 60'000.0, 300'000.0);
        const double burst = rate * *rc::gen::element(0.2, 1.0, 2.0);
        QuotaFleet fleet(5, makeWorkspace(rate, burst), seed);
        fleet.demand = {rate * 5, rate * 2, rate * 0.1};
        fleet.sizes = *rc::gen::element(std::vector<std::uint32_t>{1'100}, std::vector<std::uint32_t>{1'100, 9'250, 1'100, LargestRequest});
        fleet.lossRate = *rc::gen::element(0.0, 0.05, 0.4);
        fleet.lateRate = *rc::gen::element(0.0, 0.1);
        fleet.notRunRate = *rc::gen::element(0.0, 0.2);
        fleet.knowsFleetAtStart = *rc::gen::arbitrary<bool>();
        fleet.run(std::chrono::seconds(*rc::gen::inRange(1, 12)));
        for (int i = 0; i < 10; ++i) {
            apply(fleet,
                  *rc::gen::weightedElement<Fault>({{2, Fault::None},
                                                    {4, Fault::Shift},
                                                    {4, Fault::DispatcherCrash},
                                                    {1, Fault::FleetCrash},
                                                    {2, Fault::RollingRestart},
                                                    {2, Fault::RegionCut},
                                                    {2, Fault::RandomPartition},
                                                    {2, Fault::InstancesCut},
                                                    {3, Fault::Heal}}),
                  random);
            fleet.run(std::chrono::milliseconds(100 * *rc::gen::inRange(1, 40)));
        }
        const double most = fleet.mostUnitsInWindow();
        highest = std::max(highest, most / fleet.bound());
        RC_ASSERT(most <= fleet.bound());
    });
    std::cout << "highest use of the bound in any window: " << highest << "\n";
    REQUIRE(holds);
}

namespace {

enum class Situation { Calm, Shift, RegionCutOff, InstancesCutOff };

struct Usable
{
    double servedShare = 0;             // of what one bucket for the whole fleet admits, without the first second after a shift
    double servedShareInTransition = 1; // in the first second after a shift
};

/// Quotas are 1.8 times the mean demand. At its peak a region has 2.8 times its mean demand, while the others have 0.17 times theirs.
Usable measure(Situation situation, double rate, std::vector<std::uint32_t> sizes)
{
    QuotaFleet fleet(8, makeWorkspace(rate, rate), 7);
    fleet.sizes = std::move(sizes);
    const double mean = rate / 1.8 / QuotaFleet::RegionCount;
    fleet.demand = {mean, mean, mean};
    fleet.run(12s);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        const bool isCutOff = situation == Situation::RegionCutOff && fleet.regionOf(i) == 2;
        fleet.setGroup(i, situation == Situation::InstancesCutOff && i % 3 == 2 ? static_cast<int>(i) : static_cast<int>(isCutOff));
    }
    fleet.run(3s);
    fleet.clearResults();
    double transitionRefused = 0;
    double transitionReference = 0;
    for (std::size_t i = 0; i < 12; ++i) {
        if (situation == Situation::Shift) {
            fleet.demand = {0.17 * mean, 0.17 * mean, 0.17 * mean};
            fleet.demand.at(i % QuotaFleet::RegionCount) = 2.8 * mean;
            const double refusedBefore = fleet.refusedBelowQuota;
            const double referenceBefore = fleet.referenceUnits;
            fleet.run(1s);
            transitionRefused += fleet.refusedBelowQuota - refusedBefore;
            transitionReference += fleet.referenceUnits - referenceBefore;
        }
        fleet.run(4s);
    }
    Usable usable;
    usable.servedShare = 1 - (fleet.refusedBelowQuota - transitionRefused) / (fleet.referenceUnits - transitionReference);
    usable.servedShareInTransition = transitionReference > 0 ? 1 - transitionRefused / transitionReference : 1;
    return usable;
}

const std::vector<std::uint32_t> MixedSizes = {9'250, 1'100, 1'100, 1'100};

void print(Situation situation, double rate, const std::vector<std::uint32_t> &sizes, const Usable &usable)
{
    constexpr std::array Titles = {"calm", "shift", "region cut off", "a third of the instances cut off alone"};
    std::cout << Titles.at(static_cast<std::size_t>(situation)) << ", rate " << rate << ", largest request " << sizes.front() << ": served below the quota "
              << usable.servedShare << ", in the first second of a shift " << usable.servedShareInTransition << "\n";
}

} // namespace

TEST_CASE("nothing is refused below a quota in calm and while a region is cut off", "[quota]")
{
    const auto situation = GENERATE(Situation::Calm, Situation::RegionCutOff);
    const auto [rate, sizes] = GENERATE(std::pair(400'000.0, MixedSizes), std::pair(29'000.0, std::vector<std::uint32_t>{200}));
    const Usable usable = measure(situation, rate, sizes);
    print(situation, rate, sizes, usable);
    REQUIRE(usable.servedShare >= 1);
}

TEST_CASE("nothing is refused below a quota one second after a shift of demand", "[quota]")
{
    const auto [rate, sizes] = GENERATE(std::pair(400'000.0, MixedSizes), std::pair(29'000.0, std::vector<std::uint32_t>{200}));
    const Usable usable = measure(Situation::Shift, rate, sizes);
    print(Situation::Shift, rate, sizes, usable);
    CHECK(usable.servedShare >= 1);
}

TEST_CASE("nothing is refused below a quota that is small against single requests", "[quota]")
{
    const auto situation = GENERATE(Situation::Calm, Situation::Shift, Situation::RegionCutOff);
    const double rate = GENERATE(29'000.0, 75'000.0);
    const Usable usable = measure(situation, rate, MixedSizes);
    print(situation, rate, MixedSizes, usable);
    CHECK(usable.servedShare >= 1);
}

TEST_CASE("instances that are cut off alone cost the others nothing", "[quota]")
{
    const double rate = 400'000;
    const Usable usable = measure(Situation::InstancesCutOff, rate, MixedSizes);
    print(Situation::InstancesCutOff, rate, MixedSizes, usable);
    REQUIRE(usable.servedShare >= 2.0 / 3); // two thirds of the instances are in touch
}

TEST_CASE("a request spends once, and units of one that does not run are given back", "[quota]")
{
    limits::WorkspaceQuotaSettings settings;
    settings.terms = limits::QuotaTerms{8s, 0, 0}; // no debt
    limits::QuotaExchange exchange(settings, core::InstanceId("a"), Start - 20s);
    exchange.setKnownInstances(1);
    exchange.quotas().setQuotas({makeWorkspace(1'000, 1'000)}, Start - 20s);
    for (core::TimePoint now = Start - 20s; now <= Start; now += 100ms) { // the instance is its own dispatcher
        static_cast<void>(exchange.report(now));
        exchange.quotas().update(now);
    }
    limits::WorkspaceQuotas &quotas = exchange.quotas();
    const routing::PlacementId first("r/1");
    const routing::PlacementId second("r/2");
    REQUIRE_FALSE(quotas.spend(first, Desk, 800, Start));
    REQUIRE_FALSE(quotas.spend(first, Desk, 800, Start));
    const auto refusal = quotas.spend(second, Desk, 800, Start);
    REQUIRE(refusal);
    CHECK(refusal->retryAfter == 600ms);
    SECTION("the refused request is admitted at the time that it was told")
    {
        static_cast<void>(exchange.report(Start + 600ms));
        CHECK_FALSE(quotas.spend(second, Desk, 800, Start + 600ms));
    }
    SECTION("units are given back once, and the request spends again")
    {
        quotas.giveBack(first, Start + 1ms);
        quotas.giveBack(first, Start + 1ms);
        CHECK_FALSE(quotas.spend(second, Desk, 800, Start + 1ms));
        CHECK(quotas.spend(first, Desk, 800, Start + 1ms));
    }
    SECTION("units that are given back late are lost")
    {
        quotas.giveBack(first, Start + 300ms);
        CHECK(quotas.spend(second, Desk, 800, Start + 300ms));
    }
    SECTION("a lowered quota applies at once")
    {
        quotas.giveBack(first, Start);
        quotas.setQuotas({makeWorkspace(100, 100)}, Start);
        CHECK(quotas.spend(second, Desk, 800, Start));
        CHECK_FALSE(quotas.spend(second, Desk, 100, Start));
    }
    SECTION("a workspace without a quota is not limited")
    {
        CHECK_FALSE(quotas.spend(second, core::WorkspaceId("other"), 1'000'000, Start));
    }
}

TEST_CASE("leases and states of quotas keep their meaning on the wire", "[quota][codec]")
{
    edge::FleetMessage message{core::InstanceRef{core::InstanceId("n"), core::Incarnation(3)}, core::RegionId("x"), {}};
    const auto sendAndReceive = [&] {
        const auto received = edge::decodeFleetMessage(edge::encode(message, Start), Start);
        REQUIRE(received);
        return received->body;
    };
    const limits::QuotaLease lease{limits::QuotaClock(77), 2s, 74, true};
    const limits::QuotaState state{limits::QuotaClock(78), 74, 0.25, {limits::QuotaRow{Desk, 0.5, 0.125, 1'024}}, limits::QuotaClock(79), 900ms};
    edge::PlacementReport report;
    report.quotaLease = lease;
    message.body = report;
    CHECK(std::get<edge::PlacementReport>(sendAndReceive()).quotaLease == lease);
    edge::RegionState regionState;
    regionState.quota = state;
    message.body = regionState;
    CHECK(std::get<edge::RegionState>(sendAndReceive()).quota == state);
    message.body = state;
    CHECK(std::get<limits::QuotaState>(sendAndReceive()) == state);
    message.body = edge::RegionState();
    CHECK_FALSE(std::get<edge::RegionState>(sendAndReceive()).quota);
}
