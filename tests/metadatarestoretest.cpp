// The metadata cache when the store was restored from an older copy: it lacks its last changes, its revisions go back and are given
// out again, and its generation rises.

#include "arbutus/edge/codec.h"
#include "arbutus/edge/metadatacache.h"
#include "arbutus/edge/metadatasync.h"
#include "platform/platformadapter.h"

#include <catch2/catch.hpp>
#include <pcg_random.hpp>

#include <algorithm>

using namespace arbutus;
using namespace std::chrono_literals;

namespace {

const core::TimePoint Start(1000s);
const core::UpstreamId A("i-a");
const core::DomainId Domain("z");

std::string entry(const std::string &state = "ready", std::uint64_t sequence = 1, std::uint64_t born = 10)
{
    return R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":6,"state":")" + state + R"(","cold_remaining_ms":0,"sequence":)"
        + std::to_string(sequence) + R"(,"born":)" + std::to_string(born) + "}";
}

std::string config(std::uint64_t version, const std::string &prefix = "/a/", const std::string &homes = R"(["x"])")
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[{"name":"r","host":"h.example","path_prefix":")" + prefix
        + R"(","route_type":"safe","timeout_ms":1500,"target_latency_ms":300,"priority":2,"service":"s","max_attempts":2,"home_regions":)" + homes + "}],"
        + R"("services":[{"name":"s","health_path":"/health","max_connections":110,"cold_start_s":0.5,"cold_per_s":1.5}],)"
        + R"("limits":{"max_header_bytes":1000,"max_body_bytes":2000,"header_timeout_ms":3000,"idle_timeout_ms":4000}})";
}

metadata::StorePosition position(std::uint64_t generation, std::uint64_t revision)
{
    return metadata::StorePosition{metadata::StoreGeneration(generation), metadata::StoreRevision(revision)};
}

using Items = std::map<std::string, std::string>; // values by key

/// How the contents of the store reach a cache.
enum class Source { Range, Snapshot };

/// A cache, and a peer whose snapshots it gets.
struct Fixture
{
    platform::PlatformAdapter adapter;
    edge::MetadataCache cache{adapter};

    edge::MetadataUpdate applyRange(const Items &items, metadata::StorePosition at, core::TimePoint now = Start)
    {
        return applyRange(cache, items, at, now);
    }
    edge::MetadataUpdate applyChanges(const Items &written, metadata::StorePosition at, core::TimePoint now = Start)
    {
        std::vector<metadata::StoreChange> changes;
        for (const auto &[key, value] : written) {
            changes.push_back(metadata::StoreChange{metadata::StoreItem{key, value, at.revision}, false});
        }
        return cache.applyChanges(changes, cache.storePosition(), at, false, now);
    }
    edge::MetadataUpdate applyRemoval(const std::string &key, metadata::StorePosition at, core::TimePoint now = Start)
    {
        return cache.applyChanges({metadata::StoreChange{metadata::StoreItem{key, "", at.revision}, true}}, cache.storePosition(), at, false, now);
    }
    /// Applies the contents of the store, as read by this instance or by a peer that passes them on.
    void learn(Source source, const Items &items, metadata::StorePosition at, core::TimePoint now = Start)
    {
        if (source == Source::Range) {
            (void)applyRange(items, at, now);
            return;
        }
        edge::MetadataCache peer(adapter);
        (void)applyRange(peer, items, at, now);
        (void)cache.applySnapshot(snapshotOf(peer, now), now);
    }
    /// A peer's snapshot as it arrives.
    [[nodiscard]] edge::MetadataSnapshot snapshotOf(const edge::MetadataCache &peer, core::TimePoint now = Start) const
    {
        const auto received = edge::decodeMetadataSnapshot(edge::encode(peer.snapshot(cache.knownCatalog(), now)));
        REQUIRE(received);
        return *received;
    }
    [[nodiscard]] bool isEligible(const core::UpstreamId &id = A) const
    {
        const routing::RegistryEntry *found = cache.registry().find(id);
        return found != nullptr && cache.registry().isEligible(*found);
    }
    [[nodiscard]] std::uint64_t version() const
    {
        return cache.catalog()->version().value;
    }

    static edge::MetadataUpdate applyRange(edge::MetadataCache &target, const Items &items, metadata::StorePosition at, core::TimePoint now)
    {
        std::vector<metadata::StoreItem> list;
        for (const auto &[key, value] : items) {
            list.push_back(metadata::StoreItem{key, value, metadata::StoreRevision(1)});
        }
        return target.applyRange(list, at, false, now);
    }
};

} // namespace

//-----------------------------------------------------------------------------
// What is written again at lower revisions
//-----------------------------------------------------------------------------

TEST_CASE("what is written again after a restore takes effect at lower revisions", "[restore]")
{
    const auto source = GENERATE(Source::Range, Source::Snapshot);
    Fixture fixture;
    fixture.learn(source, {{"op/config", config(5)}, {"servers/i-a", entry()}, {"servers/i-b", entry()}}, position(1, 100));
    fixture.learn(source, {{"op/config", config(6, "/b/")}, {"servers/i-a", entry("draining", 2)}, {"servers/i-b", entry()}}, position(2, 90));
    CHECK(fixture.version() == 6);
    CHECK(fixture.cache.catalog()->matchRoute("h.example", "/b/x") != nullptr);
    CHECK_FALSE(fixture.isEligible());
    CHECK(fixture.isEligible(core::UpstreamId("i-b")));
    fixture.learn(source, {{"op/config", config(6, "/b/")}, {"servers/i-b", entry()}, {"op/evacuate/z", "{}"}}, position(2, 95));
    CHECK_FALSE(fixture.isEligible(core::UpstreamId("i-b")));
    CHECK(fixture.cache.storePosition() == position(2, 95));
}

TEST_CASE("changes of a restored store do not continue what was read before", "[restore]")
{
    Fixture fixture;
    fixture.applyRange({{"op/config", config(5)}, {"servers/i-a", entry()}}, position(1, 100));
    // The new history has passed revision 100, so the watch brings only what follows: the leaving of i-a at revision 95 is not part of it.
    fixture.applyChanges({{"servers/i-b", entry()}}, position(2, 110));
    CHECK(fixture.cache.storePosition() == position(1, 100));
    fixture.applyRange({{"op/config", config(5)}, {"servers/i-a", entry("draining", 2)}, {"servers/i-b", entry()}}, position(2, 111));
    CHECK_FALSE(fixture.isEligible());
    CHECK(fixture.cache.storePosition() == position(2, 111));
}

TEST_CASE("a watch that began before the cache went over to a restored store does not continue it", "[restore]")
{
    Fixture fixture;
    fixture.applyRange({{"servers/i-a", entry()}}, position(1, 100));
    const metadata::StorePosition after = fixture.cache.storePosition();
    fixture.learn(Source::Snapshot, {{"servers/i-a", entry()}}, position(2, 90));                              // while the watch waits
    const edge::MetadataUpdate update = fixture.cache.applyChanges({}, after, position(2, 110), false, Start); // lacks revisions 91 to 100
    CHECK(update.isFullReadNeeded);
    CHECK(fixture.cache.storePosition() == position(2, 90));
}

TEST_CASE("an answer of before a restore that arrives after one of the restored store is dropped", "[restore]")
{
    struct Row
    {
        const char *name;
        void (*apply)(Fixture &fixture);
    };
    const auto row = GENERATE(values<Row>({
        {"full read",
         [](Fixture &f) {
             f.applyRange({{"op/config", config(5)}, {"servers/i-a", entry()}}, position(1, 100));
         }},
        {"watch",
         [](Fixture &f) {
             f.applyChanges({{"servers/i-a", entry()}}, position(1, 100));
         }},
        {"snapshot of a peer",
         [](Fixture &f) {
             f.learn(Source::Snapshot, {{"op/config", config(5)}, {"servers/i-a", entry()}}, position(1, 100));
         }},
    }));
    CAPTURE(row.name);
    Fixture fixture;
    fixture.applyRange({{"op/config", config(6)}, {"servers/i-b", entry()}}, position(2, 90));
    row.apply(fixture);
    CHECK(fixture.version() == 6);
    CHECK_FALSE(fixture.isEligible());
    CHECK(fixture.isEligible(core::UpstreamId("i-b")));
    CHECK(fixture.cache.storePosition() == position(2, 90));
}

TEST_CASE("a confirmation from another generation of the store does not reduce the staleness", "[restore]")
{
    struct Row
    {
        metadata::StorePosition cached;
        metadata::StorePosition confirmed;
        bool isConfirmed;
    };
    const auto row = GENERATE(values<Row>({
        {position(2, 90), position(2, 90), true},
        {position(2, 90), position(2, 95), true},
        {position(2, 90), position(1, 100), false},
        {position(2, 90), position(1, 90), false},
        {position(1, 100), position(2, 110), false},
    }));
    CAPTURE(row.cached, row.confirmed);
    Fixture fixture;
    fixture.applyRange({{"op/config", config(5)}}, row.cached);
    const metadata::StorePosition lastChange{row.confirmed.generation, metadata::StoreRevision(80)};
    fixture.cache.confirmCurrent(lastChange, row.confirmed, 0ms, Start + 5s);
    CHECK(fixture.cache.staleness(Start + 5s) == (row.isConfirmed ? 0s : 5s));
    CHECK(fixture.cache.storePosition() == (row.isConfirmed ? row.confirmed : row.cached));
}

TEST_CASE("the first change after a restore is newer than all changes before it", "[restore]")
{
    Fixture fixture;
    fixture.applyRange({{"op/config", config(5)}}, position(1, 100));
    fixture.applyRange({{"op/config", config(5)}}, position(2, 90));
    CHECK(fixture.cache.lastChange() == position(2, 90)); // peers of the first generation fetch it
    const auto snapshot = fixture.snapshotOf(fixture.cache);
    CHECK(snapshot.storePosition == position(2, 90));
    CHECK(snapshot.lastChange == position(2, 90));
}

//-----------------------------------------------------------------------------
// What the copy lacks
//-----------------------------------------------------------------------------

TEST_CASE("a restored store does not revoke an acknowledged configuration or leaving", "[restore]")
{
    const auto source = GENERATE(Source::Range, Source::Snapshot);
    Fixture fixture;
    fixture.learn(source, {{"op/config", config(6)}, {"servers/i-a", entry("draining", 5)}}, position(1, 100));
    fixture.learn(source, {{"op/config", config(5)}, {"servers/i-a", entry("ready", 4)}}, position(2, 90));
    CHECK(fixture.version() == 6);
    CHECK_FALSE(fixture.isEligible());
    fixture.learn(source, {{"op/config", config(5)}, {"servers/i-a", entry("ready", 1, 20)}}, position(2, 95)); // started again
    CHECK(fixture.isEligible());
}

TEST_CASE("an evacuation that a restored store lacks holds for a bounded time", "[restore]")
{
    const auto source = GENERATE(Source::Range, Source::Snapshot);
    constexpr auto Grace = 10s; // MetadataCacheSettings::evacuationGrace
    Fixture fixture;
    fixture.learn(source, {{"servers/i-a", entry()}, {"op/evacuate/z", "{}"}}, position(1, 100));
    fixture.learn(source, {{"servers/i-a", entry()}}, position(2, 90));
    CHECK(fixture.cache.registry().isEvacuated(Domain));
    (void)fixture.cache.expireEntries(Start + Grace - 100ms);
    CHECK(fixture.cache.registry().isEvacuated(Domain));
    SECTION("it is not written again")
    {
        const edge::MetadataUpdate update = fixture.cache.expireEntries(Start + Grace);
        CHECK(update.evacuationChanged);
        CHECK_FALSE(fixture.cache.registry().isEvacuated(Domain));
    }
    SECTION("it is written again and holds until it is removed")
    {
        fixture.applyChanges({{"op/evacuate/z", "{}"}}, position(2, 91));
        (void)fixture.cache.expireEntries(Start + 2 * Grace);
        CHECK(fixture.cache.registry().isEvacuated(Domain));
        fixture.applyRemoval("op/evacuate/z", position(2, 92));
        CHECK_FALSE(fixture.cache.registry().isEvacuated(Domain));
    }
    SECTION("a later read of the same generation does not end it")
    {
        fixture.learn(source, {{"servers/i-a", entry("ready", 2)}}, position(2, 95), Start + 1s);
        CHECK(fixture.cache.registry().isEvacuated(Domain));
        (void)fixture.cache.expireEntries(Start + Grace);
        CHECK_FALSE(fixture.cache.registry().isEvacuated(Domain));
    }
}

TEST_CASE("the older entry of a removed upstream in a restored store does not revive it", "[restore]")
{
    struct Row
    {
        const char *name;
        std::string value;
        bool isEligible;
        bool isEligibleLater; // after the grace, if the store still has the entry
    };
    const auto row = GENERATE(values<Row>({
        {"older entry", entry("ready", 6), false, false},
        {"last entry before the removal", entry("ready", 7), false, false},
        {"entry of an earlier run", entry("ready", 9, 5), false, false},
        {"entry that is later than the last one that this instance knew", entry("ready", 8), false, true}, // it may be from before the removal
        {"started since", entry("ready", 1, 20), true, true},
    }));
    const auto source = GENERATE(Source::Range, Source::Snapshot);
    CAPTURE(row.name);
    Fixture fixture;
    fixture.learn(source, {{"servers/i-a", entry("ready", 7)}}, position(1, 100));
    fixture.learn(source, {}, position(1, 101));
    REQUIRE_FALSE(fixture.isEligible());
    fixture.learn(source, {{"servers/i-a", row.value}}, position(2, 90));
    CHECK(fixture.isEligible() == row.isEligible);
    (void)fixture.cache.expireEntries(Start + 9s);
    CHECK(fixture.isEligible() == row.isEligible);
    (void)fixture.cache.expireEntries(Start + 1h); // the removal is not forgotten while the store has the older entry
    fixture.learn(source, {{"servers/i-a", row.value}}, position(2, 91), Start + 1h);
    CHECK(fixture.isEligible() == row.isEligibleLater);
    fixture.applyChanges({{"servers/i-a", entry("ready", 1, 30)}}, position(2, 92), Start + 1h);
    CHECK(fixture.isEligible());
}

TEST_CASE("a removed upstream that announces itself again after a restore is used, and the peers hear of it", "[restore]")
{
    Fixture fixture;
    edge::MetadataCache peer(fixture.adapter); // learns by snapshots
    const auto pass = [&](core::TimePoint now) {
        if (peer.isNewer(fixture.cache.lastChange())) {
            (void)peer.applySnapshot(*edge::decodeMetadataSnapshot(edge::encode(fixture.cache.snapshot(peer.knownCatalog(), now))), now);
        } else {
            peer.confirmCurrent(fixture.cache.lastChange(), fixture.cache.storePosition(), 0ms, now);
        }
    };
    const auto isEligibleAtPeer = [&] {
        const routing::RegistryEntry *found = peer.registry().find(A);
        return found != nullptr && peer.registry().isEligible(*found);
    };
    fixture.learn(Source::Range, {{"op/config", config(1)}, {"servers/i-a", entry("ready", 7)}}, position(1, 100));
    pass(Start);
    fixture.applyChanges({{"servers/i-a", entry("ready", 9)}}, position(1, 101)); // the peer keeps the earlier one
    pass(Start);
    fixture.applyRemoval("servers/i-a", position(1, 102));
    pass(Start);
    REQUIRE_FALSE(isEligibleAtPeer());
    fixture.learn(Source::Range, {{"op/config", config(1)}, {"servers/i-a", entry("ready", 8)}}, position(2, 90), Start + 1s); // the copy
    pass(Start + 1s);
    CHECK_FALSE(fixture.isEligible());
    CHECK_FALSE(isEligibleAtPeer());
    fixture.applyChanges({{"servers/i-a", entry("ready", 10)}}, position(2, 91), Start + 2s);
    pass(Start + 2s);
    CHECK(fixture.isEligible());
    CHECK(isEligibleAtPeer());
}

TEST_CASE("a change that was reversed before this instance saw it does not confirm a peer that saw it", "[restore]")
{
    const std::string evacuation = "op/evacuate/" + Domain.text;
    const auto readsChanges = GENERATE(true, false);
    CAPTURE(readsChanges);
    Fixture fixture;
    edge::MetadataCache peer(fixture.adapter);
    fixture.learn(Source::Range, {{"op/config", config(1)}, {evacuation, ""}}, position(0, 90));
    (void)Fixture::applyRange(peer, {{"op/config", config(1)}}, position(0, 95), Start); // reads between the removal and the second writing
    if (readsChanges) {
        const auto event = [&](std::uint64_t revision, bool removed) {
            return metadata::StoreChange{metadata::StoreItem{evacuation, "", metadata::StoreRevision(revision)}, removed};
        };
        (void)fixture.cache.applyChanges({event(94, true), event(97, false)}, position(0, 90), position(0, 100), false, Start);
    } else {
        const std::vector<metadata::StoreItem> items{{"op/config", config(1), metadata::StoreRevision(1)}, {evacuation, "", metadata::StoreRevision(97)}};
        (void)fixture.cache.applyRange(items, position(0, 100), false, Start);
    }
    CHECK(peer.isNewer(fixture.cache.lastChange()));
    peer.confirmCurrent(fixture.cache.lastChange(), fixture.cache.storePosition(), 0ms, Start);
    CHECK(peer.storePosition() == position(0, 95));
}

TEST_CASE("an upstream that a restored store lacks is kept for the time after an outage", "[restore]")
{
    const auto source = GENERATE(Source::Range, Source::Snapshot);
    Fixture fixture;
    fixture.learn(source, {{"servers/i-a", entry()}}, position(1, 100));
    fixture.learn(source, {}, position(2, 90));
    CHECK(fixture.isEligible());
    SECTION("announced again")
    {
        fixture.learn(source, {{"servers/i-a", entry("ready", 2)}}, position(2, 91), Start + 1s);
        (void)fixture.cache.expireEntries(Start + 1h);
        CHECK(fixture.isEligible());
    }
    SECTION("announced again with the same entry, after it was removed")
    {
        (void)fixture.cache.expireEntries(Start + 2'100ms);
        CHECK_FALSE(fixture.isEligible());
        fixture.learn(source, {{"servers/i-a", entry()}}, position(2, 91), Start + 3s);
        CHECK(fixture.isEligible());
    }
    SECTION("removed in the restored store")
    {
        fixture.learn(source, {{"servers/i-a", entry("ready", 2)}}, position(2, 91), Start + 1s);
        fixture.applyRemoval("servers/i-a", position(2, 92), Start + 1s);
        CHECK_FALSE(fixture.isEligible());
    }
}

TEST_CASE("another content of a configuration version that the copy lacked replaces the earlier one", "[restore]")
{
    // Versions rise within a history, so the copy holds either the same content of a version or none: another content was written since.
    const auto source = GENERATE(Source::Range, Source::Snapshot);
    Fixture fixture;
    fixture.learn(source, {{"op/config", config(6)}}, position(1, 100));
    fixture.learn(source, {{"op/config", config(5)}}, position(2, 90));
    fixture.learn(source, {{"op/config", config(6, "/b/")}}, position(2, 91));
    CHECK(fixture.cache.catalog()->matchRoute("h.example", "/b/x") != nullptr);
    fixture.learn(source, {{"op/config", config(6, "/c/")}}, position(2, 92)); // within one generation a version has one content
    CHECK(fixture.cache.catalog()->matchRoute("h.example", "/b/x") != nullptr);
}

//-----------------------------------------------------------------------------
// Configurations of other instances
//-----------------------------------------------------------------------------

namespace {

/// Version 6 forbids region x. It was acknowledged, and the copy that the store was restored from has version 5.
const Items Copy{{"op/config", config(5, "/a/", R"(["x","y"])")}, {"servers/i-a", entry()}};
const Items Acknowledged{{"op/config", config(6, "/a/", R"(["y"])")}, {"servers/i-a", entry()}};

/// What a message of `sender` tells `receiver`, which fetches a snapshot if it has to; returns whether it did.
bool hear(Fixture &receiver, const Fixture &sender, core::TimePoint now = Start)
{
    receiver.cache.noteCatalogVersion(sender.cache.knownCatalog().version);
    receiver.cache.confirmCurrent(sender.cache.lastChange(), sender.cache.storePosition(), sender.cache.staleness(now), now);
    const bool fetches = receiver.cache.isCatalogBehind() || receiver.cache.isNewer(sender.cache.lastChange());
    if (fetches) {
        (void)receiver.cache.applySnapshot(receiver.snapshotOf(sender.cache, now), now);
    }
    return fetches;
}

bool mayServe(const Fixture &fixture, const std::string &region)
{
    return fixture.cache.catalog()->matchRoute("h.example", "/a/")->homeRegions.contains(core::RegionId(region));
}

} // namespace

TEST_CASE("an instance that starts after a restore serves outside the home regions that its peers know", "[restore][behind]")
{
    struct Row
    {
        const char *name;
        metadata::StorePosition started; // of the instance that started after the restore
    };
    const auto row = GENERATE(values<Row>({
        {"equal positions", position(2, 90)},
        {"the peer's position is older", position(2, 95)},
        {"the peer's position is older by a generation", position(3, 80)},
        {"the peer's position is newer", position(2, 89)},
    }));
    CAPTURE(row.name);
    Fixture survivor;
    survivor.applyRange(Acknowledged, position(1, 100));
    survivor.applyRange(Copy, position(2, 90));
    Fixture started;
    started.applyRange(Copy, row.started);
    REQUIRE(mayServe(started, "x"));
    CHECK(hear(started, survivor));
    CHECK(started.version() == 6);
    CHECK_FALSE(mayServe(started, "x"));
    CHECK(mayServe(started, "y"));
    CHECK_FALSE(started.cache.isCatalogBehind());
    CHECK(started.cache.storePosition() == std::max(row.started, position(2, 90))); // nothing else goes back
    CHECK(started.isEligible());
    CHECK_FALSE(hear(started, survivor));
    (void)hear(survivor, started);
    CHECK(survivor.version() == 6);
}

TEST_CASE("an instance whose store is cut off does not pass on the configuration that it has", "[restore][behind]")
{
    Fixture cutOff; // has not heard of the restore
    cutOff.applyRange(Acknowledged, position(1, 100));
    Fixture started;
    started.applyRange(Copy, position(2, 90));
    CHECK(hear(started, cutOff));
    CHECK(started.version() == 6);
    CHECK(started.cache.storePosition() == position(2, 90));
    CHECK(hear(cutOff, started));
    CHECK(cutOff.version() == 6);
    CHECK(cutOff.cache.storePosition() == position(2, 90));
}

TEST_CASE("a configuration that the copy lacks does not reach instances that hear of each other only", "[restore][behind]")
{
    Fixture survivor;
    survivor.applyRange(Acknowledged, position(1, 100));
    survivor.applyRange(Copy, position(2, 90));
    Fixture middle;
    middle.applyRange(Copy, position(2, 92));
    Fixture last;
    last.applyRange(Copy, position(2, 90));
    CHECK(hear(middle, survivor));
    CHECK(hear(last, middle));
    CHECK(last.version() == 6);
    CHECK_FALSE(mayServe(last, "x"));
}

TEST_CASE("an instance that knows of a newer configuration counts as current", "[restore][behind]")
{
    Fixture fixture;
    fixture.applyRange(Copy, position(2, 90));
    fixture.cache.noteCatalogVersion(catalog::CatalogVersion(6));
    CHECK(fixture.cache.isCatalogBehind());
    SECTION("after a confirmation of a peer")
    {
        fixture.cache.confirmCurrent(position(2, 90), position(2, 91), 0ms, Start + 5s);
    }
    SECTION("after a read of the store")
    {
        fixture.applyRange(Copy, position(2, 91), Start + 5s);
    }
    SECTION("after a watch of the store")
    {
        fixture.applyChanges({}, position(2, 91), Start + 5s);
    }
    SECTION("after a snapshot of a peer that is behind too")
    {
        fixture.learn(Source::Snapshot, Copy, position(2, 91), Start + 5s);
    }
    SECTION("after the first read of another generation")
    {
        fixture.applyRange(Copy, position(3, 80), Start + 5s);
    }
    CHECK(fixture.cache.isCatalogBehind());
    CHECK(fixture.cache.staleness(Start + 5s) == 5s);
    fixture.applyRange(Acknowledged, position(3, 92), Start + 6s);
    CHECK_FALSE(fixture.cache.isCatalogBehind());
    CHECK(fixture.cache.staleness(Start + 6s) == 0s);
}

TEST_CASE("an instance that heard of a newer configuration before its first read counts as current", "[restore][behind]")
{
    Fixture fixture;
    fixture.cache.noteCatalogVersion(catalog::CatalogVersion(6));
    fixture.applyRange(Copy, position(2, 90));
    CHECK(fixture.cache.staleness(Start) >= 1h);
    fixture.applyRange(Acknowledged, position(2, 91));
    CHECK(fixture.cache.staleness(Start) == 0s);
}

TEST_CASE("an instance of a build that states no configuration version holds others back", "[restore][behind]")
{
    Fixture fixture;
    fixture.applyRange(Copy, position(2, 90));
    fixture.cache.noteCatalogVersion(catalog::CatalogVersion(0));
    CHECK_FALSE(fixture.cache.isCatalogBehind());
    fixture.cache.confirmCurrent(position(2, 90), position(2, 91), 0ms, Start + 5s);
    CHECK(fixture.cache.staleness(Start + 5s) == 0s);
}

//-----------------------------------------------------------------------------
// Confirmations
//-----------------------------------------------------------------------------

TEST_CASE("a peer that knew of a change before the store said so does not confirm it to others", "[restore]")
{
    struct Row
    {
        const char *name;
        void (*learnBefore)(edge::MetadataCache &peer); // in another way than from the store
        Items written;
        bool isRelevant;
    };
    const auto row = GENERATE(values<Row>({
        {"leaving, known from a response", [](edge::MetadataCache &peer) { (void)peer.markLeaving(A, Start); }, {{"servers/i-a", entry("draining", 2)}}, true},
        {"leaving", [](edge::MetadataCache &) {}, {{"servers/i-a", entry("draining", 2)}}, true},
        {"evacuation", [](edge::MetadataCache &) {}, {{"op/evacuate/z", "{}"}}, true},
        {"configuration", [](edge::MetadataCache &) {}, {{"op/config", config(6)}}, true},
        {"configuration written again", [](edge::MetadataCache &) {}, {{"op/config", config(5)}}, true},
        {"announcement without a change", [](edge::MetadataCache &) {}, {{"servers/i-a", entry("ready", 2)}}, false},
    }));
    CAPTURE(row.name);
    const Items before{{"op/config", config(5)}, {"servers/i-a", entry()}};
    Fixture peer;
    peer.applyRange(before, position(1, 100));
    row.learnBefore(peer.cache);
    peer.applyChanges(row.written, position(1, 104));
    CHECK(peer.cache.lastChange() == (row.isRelevant ? position(1, 104) : position(1, 100)));
    Fixture other;
    other.applyRange(before, position(1, 100));
    other.cache.confirmCurrent(peer.cache.lastChange(), peer.cache.storePosition(), 0ms, Start + 1s);
    CHECK(other.cache.storePosition() == (row.isRelevant ? position(1, 100) : position(1, 104)));
}

//-----------------------------------------------------------------------------
// Peers of builds that state no generation
//-----------------------------------------------------------------------------

TEST_CASE("a peer that states no generation is believed until the generation has changed", "[restore]")
{
    const auto generation = GENERATE(std::uint64_t(0), std::uint64_t(1));
    Fixture fixture;
    fixture.applyRange({{"op/config", config(5)}, {"servers/i-a", entry()}}, position(generation, 100));
    fixture.cache.confirmCurrent(position(0, 100), position(0, 105), 0ms, Start + 1s);
    CHECK(fixture.cache.staleness(Start + 1s) == 0s);
    fixture.learn(Source::Snapshot, {{"op/config", config(6)}, {"servers/i-a", entry("draining", 2)}}, position(0, 110), Start + 2s);
    CHECK(fixture.version() == 6);
    CHECK_FALSE(fixture.isEligible());
    CHECK(fixture.cache.storePosition() == position(generation, 110));
}

TEST_CASE("a peer that states no generation is not believed after the generation has changed", "[restore]")
{
    Fixture fixture;
    fixture.applyRange({{"op/config", config(5)}, {"servers/i-a", entry()}}, position(1, 100));
    fixture.applyRange({{"op/config", config(5)}, {"servers/i-a", entry()}}, position(2, 90));
    fixture.cache.confirmCurrent(position(0, 80), position(0, 105), 0ms, Start + 1s);
    CHECK(fixture.cache.staleness(Start + 1s) == 1s);
    fixture.learn(Source::Snapshot, {{"servers/i-b", entry()}}, position(0, 110), Start + 1s);
    CHECK(fixture.isEligible());
    CHECK(fixture.cache.storePosition() == position(2, 90));
}

TEST_CASE("the generation that a store states for the first time is taken up", "[restore]")
{
    Fixture fixture;
    fixture.learn(Source::Snapshot, {{"op/config", config(5)}, {"servers/i-a", entry()}}, position(0, 100)); // from a peer that states none
    fixture.applyRange({{"op/config", config(5)}}, position(3, 105));
    CHECK(fixture.cache.storePosition() == position(3, 105));
    CHECK_FALSE(fixture.isEligible()); // the store was not restored, so the entry was removed
}

//-----------------------------------------------------------------------------
// A generation that falls
//-----------------------------------------------------------------------------

TEST_CASE("a store whose generation has fallen is read like a restored one once that is accepted", "[restore]")
{
    Fixture fixture;
    fixture.applyRange({{"op/config", config(5)}, {"servers/i-a", entry("draining")}, {"servers/i-b", entry()}}, position(5, 100));
    const Items contents{{"op/config", config(4)}, {"servers/i-a", entry()}, {"servers/i-c", entry()}};
    CHECK(fixture.applyRange(contents, position(3, 200)).isObsolete);
    CHECK(fixture.cache.storePosition() == position(5, 100));
    fixture.cache.acceptLowerGeneration(metadata::StoreGeneration(3));
    CHECK(fixture.applyChanges({}, position(3, 201)).isFullReadNeeded);
    fixture.applyRange(contents, position(3, 201));
    CHECK(fixture.cache.storePosition() == position(3, 201));
    CHECK(fixture.version() == 5);
    CHECK_FALSE(fixture.isEligible());
    CHECK(fixture.isEligible(core::UpstreamId("i-b"))); // missing
    CHECK(fixture.isEligible(core::UpstreamId("i-c")));
    SECTION("peers that have not accepted it yet are not believed")
    {
        fixture.learn(Source::Snapshot, {{"servers/i-d", entry()}}, position(5, 101));
        CHECK_FALSE(fixture.isEligible(core::UpstreamId("i-d")));
        CHECK_FALSE(fixture.cache.isNewer(position(5, 101)));
        CHECK(fixture.cache.storePosition() == position(3, 201));
    }
    SECTION("the store is restored again")
    {
        fixture.applyRange({{"servers/i-c", entry("draining", 2)}}, position(4, 150));
        CHECK(fixture.cache.storePosition() == position(4, 150));
        CHECK_FALSE(fixture.isEligible(core::UpstreamId("i-c")));
    }
}

//-----------------------------------------------------------------------------
// Registrations
//-----------------------------------------------------------------------------

TEST_CASE("all instances register again after a restore within the calls that the store takes", "[restore]")
{
    constexpr int WritesPerSecond = 400; // of the store, for all instances together
    constexpr int WritesPerRegistration = 2;
    const auto instanceCount = GENERATE(std::size_t(9), std::size_t(30), std::size_t(300));
    const auto seed = GENERATE(range(1, 21));
    CAPTURE(instanceCount, seed);
    pcg32 random(static_cast<std::uint64_t>(seed));
    std::vector<core::Duration> times;
    for (std::size_t i = 0; i < instanceCount; ++i) {
        times.push_back(edge::registrationDelay(instanceCount, edge::MetadataSyncSettings().registrationsPerSecond, random));
    }
    std::sort(times.begin(), times.end());
    CHECK(times.back() <= 3s);
    for (std::size_t i = 0; i < times.size(); ++i) {
        const auto end = std::upper_bound(times.begin(), times.end(), times[i] + 1s);
        CHECK((end - times.begin() - static_cast<std::ptrdiff_t>(i)) * WritesPerRegistration <= WritesPerSecond);
    }
}
