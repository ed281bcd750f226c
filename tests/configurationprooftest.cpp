// Tests of the proof of how fresh the configuration is: what makes one, what does not, and how long it allows credentials to be used.

#include "arbutus/edge/metadatacache.h"
#include "platform/platformadapter.h"

#include <catch2/catch.hpp>
#include <pcg_random.hpp>

#include <vector>

using namespace arbutus;
using namespace std::chrono_literals;
using edge::BootTime;
using edge::KnownCatalog;

namespace {

constexpr core::Duration MaxDelay = 5s; // from the confirmation of a withdrawal until the credential is of no use

KnownCatalog version(std::uint64_t number, std::uint64_t generation = 1)
{
    return KnownCatalog{catalog::CatalogVersion(number), metadata::StoreGeneration(generation)};
}

BootTime at(core::Duration time)
{
    return BootTime(time);
}

std::string configuration(int number)
{
    return R"({"version":)" + std::to_string(number) + R"(,"routes":[],"services":[]})";
}

/// A cache with configuration 1, and a proof of time 100 s.
struct CacheFixture
{
    platform::PlatformAdapter adapter;
    edge::MetadataCache cache{adapter};
    metadata::StorePosition position{metadata::StoreGeneration(1), metadata::StoreRevision(10)};

    CacheFixture()
    {
        read(1, at(100s));
    }
    /// A full read at the position that shows this version.
    void read(int number, BootTime askedAt)
    {
        const std::vector<metadata::StoreItem> items{{"op/config", configuration(number), position.revision}};
        (void)cache.applyRange(items, position, false, core::TimePoint(1s));
        cache.recordStoreRead(askedAt);
    }
    [[nodiscard]] bool mayUse(core::Duration now) const
    {
        return edge::mayUseCredentials(cache.proof().age(at(now)), MaxDelay);
    }
};

} // namespace

TEST_CASE("what a watch of the store proves", "[proof]")
{
    struct Row
    {
        const char *title;
        core::Duration took;
        bool hasChanges;
        core::Duration proven; // after the question
    };
    const auto row = GENERATE(values<Row>({
        {"no change until the end of the wait", 905ms, false, 900ms},
        {"no change, and the answer comes late", 2'400ms, false, 900ms},
        {"no change, and the answer waited in the socket while the process stood still", 30s, false, 900ms},
        {"a change at once", 4ms, true, 0ms},
        {"a change, and the answer comes late", 1'500ms, true, 0ms},
        {"an empty answer before the end of the wait", 300ms, false, 0ms},
    }));
    CAPTURE(row.title);
    CHECK(edge::provenByWatch(at(100s), at(100s + row.took), 900ms, row.hasChanges) == at(100s + row.proven));
}

TEST_CASE("how old a proof may be for credentials to be used", "[proof]")
{
    struct Row
    {
        const char *title;
        std::optional<core::Duration> age;
        core::Duration maxDelay;
        bool mayUse;
    };
    const auto row = GENERATE(values<Row>({
        {"none", {}, 5s, false},
        {"just made", 0s, 5s, true},
        {"just before the margin", 4'499ms, 5s, true},
        {"within the margin", 4'500ms, 5s, false},
        {"beyond the delay", 5s, 5s, false},
        {"a short delay has a smaller margin", 740ms, 1s, true},
        {"within the margin of a short delay", 750ms, 1s, false},
    }));
    CAPTURE(row.title);
    CHECK(edge::mayUseCredentials(row.age, row.maxDelay) == row.mayUse);
}

TEST_CASE("a peer's proof counts with its age, and only for what this instance has", "[proof]")
{
    struct Row
    {
        const char *title;
        core::Duration statedAge;
        KnownCatalog stated;
        std::optional<core::Duration> age; // at 200 s, when the statement arrives; nothing: no proof
    };
    const auto row = GENERATE(values<Row>({
        {"the same configuration", 1s, version(3), 1'100ms},
        {"an older one", 1s, version(2), 1'100ms},
        {"a newer one", 1s, version(4), {}},
        {"the same version, of a later generation of the store", 1s, version(3, 2), {}},
        {"the same version, of an earlier generation", 1s, version(3, 0), 1'100ms},
        {"a peer without a configuration", 1s, version(0), {}},
        {"just made", 0s, version(3), 100ms},
        {"a negative age", -1s, version(3), {}},
    }));
    CAPTURE(row.title);
    edge::ConfigurationProof proof;
    proof.recordStatement(row.statedAge, row.stated, version(3), at(200s));
    CHECK(proof.age(at(200s)) == row.age);
    proof.recordStatement(5s, version(3), version(3), at(200s)); // an older proof changes nothing
    CHECK(proof.age(at(200s)) == row.age.value_or(5'100ms));
}

TEST_CASE("passing a proof on does not make it younger", "[proof]")
{
    constexpr std::size_t InstanceCount = 6;
    constexpr int Steps = 2'000;
    const auto seed = GENERATE(range(1U, 21U));
    CAPTURE(seed);
    pcg32 random(seed);
    std::vector<edge::ConfigurationProof> proofs(InstanceCount);
    proofs.front().recordRead(at(100s));
    core::Duration now = 100s;
    for (int i = 0; i < Steps; ++i) { // messages take up to the time that is allowed for, and no further read is made
        const std::size_t from = random(InstanceCount);
        const std::size_t to = random(InstanceCount);
        const auto age = proofs[from].age(at(now));
        now += core::Duration(random(100'000));
        if (age && from != to) {
            proofs[to].recordStatement(*age, version(1), version(1), at(now));
        }
        for (const edge::ConfigurationProof &proof : proofs) {
            const auto known = proof.age(at(now));
            REQUIRE((!known || *known >= now - 100s));
        }
    }
}

TEST_CASE("when an instance may use credentials", "[proof]")
{
    CacheFixture fixture;
    edge::MetadataCache &cache = fixture.cache;
    REQUIRE(fixture.mayUse(104'400ms));

    SECTION("the store is silent or down: the proof ends")
    {
        CHECK_FALSE(fixture.mayUse(104'500ms));
    }
    SECTION("the store answers late: the answer counts from the question")
    {
        cache.recordStoreRead(edge::provenByWatch(at(101s), at(105s), 900ms, true));
        CHECK(fixture.mayUse(105'400ms));
        CHECK_FALSE(fixture.mayUse(105'500ms));
    }
    SECTION("the store refuses this instance, and a peer has a proof")
    {
        cache.recordStatedProof(1s, version(1), at(105s));
        CHECK(fixture.mayUse(108'300ms));
        CHECK_FALSE(fixture.mayUse(108'400ms));
    }
    SECTION("the store refuses this instance, and a peer has a newer configuration that it has not told")
    {
        cache.recordStatedProof(0s, version(2), at(104s));
        CHECK_FALSE(fixture.mayUse(104'500ms));
    }
    SECTION("another instance has a newer configuration: neither a read nor a peer that lacks it as well proves anything")
    {
        cache.noteCatalogVersion(catalog::CatalogVersion(2));
        cache.recordStoreRead(at(104s));
        cache.recordStatedProof(0s, version(1), at(104s));
        CHECK(fixture.mayUse(104'400ms)); // as proven before
        CHECK_FALSE(fixture.mayUse(104'500ms));
        fixture.position.revision = metadata::StoreRevision(11);
        fixture.read(2, at(105s));
        CHECK(fixture.mayUse(109'400ms));
    }
    SECTION("the store is restored from a copy that lacks the newest configuration, which is kept")
    {
        fixture.position = metadata::StorePosition{metadata::StoreGeneration(1), metadata::StoreRevision(11)};
        fixture.read(2, at(101s));
        fixture.position = metadata::StorePosition{metadata::StoreGeneration(2), metadata::StoreRevision(5)};
        fixture.read(1, at(104s));
        CHECK(cache.knownCatalog().version == catalog::CatalogVersion(2));
        CHECK(fixture.mayUse(108'400ms));
    }
    SECTION("the store is restored, and only another instance has the newest configuration")
    {
        cache.noteCatalogVersion(catalog::CatalogVersion(2));
        fixture.position = metadata::StorePosition{metadata::StoreGeneration(2), metadata::StoreRevision(5)};
        fixture.read(1, at(104s));
        CHECK_FALSE(fixture.mayUse(104'500ms));
    }
    SECTION("the store forgets its history: the full read proves")
    {
        fixture.read(1, at(104s));
        CHECK(fixture.mayUse(108'400ms));
    }
    SECTION("the process stands still, and reads waiting messages late")
    {
        cache.recordStatedProof(200ms, version(1), at(102s)); // it may have arrived right after the process last ran
        CHECK_FALSE(fixture.mayUse(130s));
        CHECK_FALSE(fixture.mayUse(106'200ms));
    }
    SECTION("the machine is suspended: the clock runs on, and what waited in the socket proves nothing")
    {
        cache.noteClocks(at(102s), core::TimePoint(50s));
        cache.noteClocks(at(200s), core::TimePoint(50'010ms)); // suspended for 98 s
        cache.recordStatedProof(0s, version(1), at(200s));
        CHECK_FALSE(fixture.mayUse(200s));
        cache.noteClocks(at(200'900ms), core::TimePoint(50'910ms));
        cache.recordStatedProof(0s, version(1), at(200'900ms));
        CHECK_FALSE(fixture.mayUse(200'900ms));
        cache.noteClocks(at(201'100ms), core::TimePoint(51'110ms));
        cache.recordStatedProof(0s, version(1), at(201'100ms));
        CHECK(fixture.mayUse(201'100ms));
    }
}

TEST_CASE("an instance without a configuration has no proof", "[proof]")
{
    const platform::PlatformAdapter adapter;
    edge::MetadataCache cache(adapter);
    cache.recordStoreRead(at(100s));
    cache.recordStatedProof(0s, version(1), at(100s));
    CHECK_FALSE(cache.proof().age(at(100s)));
}
