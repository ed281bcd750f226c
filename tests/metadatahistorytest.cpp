// Property test of the metadata caches of a fleet against a plain model of the store: any interleaving of full reads, watches, snapshots
// and confirmations of peers, also late ones, with messages between instances that are lost or arrive in another order, restarts of
// instances, restores of the store from older copies and compactions of its history.
//
// After each step: positions and configuration versions never go back; an upstream that was seen leaving or removed gets nothing more in
// that run; an evacuation ends only if the store says so, or after its grace; a cache holds what the store held at the position that it
// claims; and the staleness of an instance that knows of a newer configuration only rises. At the end, once messages have passed along any
// path that connects the instances, each has the highest version that one of them has. Once everything that was lost is written again and
// read, each cache equals the store.

#include "arbutus/edge/metadatacache.h"
#include "platform/platformadapter.h"
#include "support/schedules.h"

#include <catch2/catch.hpp>

#include <deque>
#include <functional>

using namespace arbutus;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t CacheCount = 3;
constexpr std::uint64_t UpstreamCount = 3;
constexpr std::uint64_t DomainCount = 2;
constexpr auto RestoredEntryGrace = 10s;
constexpr auto StepTime = 300ms; // of a schedule of 60 steps: shorter than the retention of removed upstreams
constexpr auto EvacuationGrace = 10s;

std::string upstreamKey(std::uint64_t number)
{
    return "servers/i-" + std::to_string(number);
}

std::string domainName(std::uint64_t number)
{
    return "z" + std::to_string(number % DomainCount);
}

std::string evacuationKey(std::uint64_t number)
{
    return "op/evacuate/" + domainName(number);
}

std::string config(std::uint64_t version)
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[],"services":[],)"
        + R"("limits":{"max_header_bytes":1000,"max_body_bytes":2000,"header_timeout_ms":3000,"idle_timeout_ms":4000}})";
}

/// An upstream process and what it announces.
struct Upstream
{
    std::uint64_t number = 0;
    std::uint64_t run = 1;
    std::uint64_t sequence = 0;
    bool isLeaving = false;
    bool hasEnded = false;

    [[nodiscard]] std::string announcement() const
    {
        return R"({"service":"s","address":"10.0.0.1:80","zone":")" + domainName(number) + R"(","version":"v1","slots":6,"state":")"
            + (isLeaving ? "draining" : "ready") + R"(","cold_remaining_ms":0,"sequence":)" + std::to_string(sequence) + R"(,"born":)" + std::to_string(run)
            + "}";
    }
};

/// The store with its whole history, and its writers.
class World
{
public:
    World()
    {
        for (std::uint64_t i = 0; i < UpstreamCount; ++i) {
            upstreams.push_back(Upstream{i});
            announce(upstreams.back());
        }
        writeConfig();
    }

    using Items = std::map<std::string, metadata::StoreItem>;
    metadata::StorePosition position{metadata::StoreGeneration(1), metadata::StoreRevision(1)};
    std::map<metadata::StorePosition, Items> contents{{position, {}}}; // after each change, of all generations
    std::map<metadata::StorePosition, metadata::StoreChange> changes;  // likewise
    metadata::StoreRevision compacted;                                 // no watch from before this revision
    std::vector<Upstream> upstreams;
    std::set<std::string> evacuations; // keys that the operator wants
    std::uint64_t version = 0;

    void write(const std::string &key, const std::string &value)
    {
        Items items = contents.at(position);
        ++position.revision.value;
        items[key] = metadata::StoreItem{key, value, position.revision};
        changes[position] = metadata::StoreChange{items[key], false};
        contents[position] = std::move(items);
    }
    void remove(const std::string &key)
    {
        Items items = contents.at(position);
        if (items.erase(key) == 0) {
            return;
        }
        ++position.revision.value;
        changes[position] = metadata::StoreChange{metadata::StoreItem{key, "", position.revision}, true};
        contents[position] = std::move(items);
    }
    void writeConfig()
    {
        version += 2;
        write("op/config", config(version));
    }
    void announce(Upstream &upstream)
    {
        if (!upstream.hasEnded) {
            ++upstream.sequence;
            write(upstreamKey(upstream.number), upstream.announcement());
        }
    }
    void end(Upstream &upstream)
    {
        upstream.hasEnded = true;
        remove(upstreamKey(upstream.number));
    }
    void restart(Upstream &upstream)
    {
        upstream = Upstream{upstream.number, upstream.run + 1};
        announce(upstream);
    }
    void setEvacuated(const std::string &key, bool isEvacuated)
    {
        if (isEvacuated) {
            evacuations.insert(key);
            write(key, "{}");
        } else {
            evacuations.erase(key);
            remove(key);
        }
    }
    /// Goes back by some changes, and to the next generation.
    void restore(std::uint64_t changeCount)
    {
        const metadata::StoreGeneration old = position.generation;
        const metadata::StoreRevision revision(position.revision.value - std::min(changeCount, position.revision.value - 1));
        position = metadata::StorePosition{metadata::StoreGeneration(old.value + 1), revision};
        for (std::uint64_t i = 1; i <= revision.value; ++i) {
            const metadata::StorePosition from{old, metadata::StoreRevision(i)};
            const metadata::StorePosition to{position.generation, from.revision};
            contents[to] = contents.at(from);
            if (const auto change = changes.find(from); change != changes.end()) {
                changes[to] = change->second;
            }
        }
        compacted = std::min(compacted, revision);
    }
    /// Everything that was lost, written again by those who wrote it.
    void rewrite()
    {
        write("op/config", config(version));
        for (std::uint64_t i = 0; i < DomainCount; ++i) {
            setEvacuated(evacuationKey(i), evacuations.contains(evacuationKey(i)));
        }
        for (Upstream &upstream : upstreams) {
            upstream.hasEnded ? remove(upstreamKey(upstream.number)) : announce(upstream);
        }
    }
    [[nodiscard]] std::vector<metadata::StoreItem> items() const
    {
        std::vector<metadata::StoreItem> out;
        for (const auto &[key, item] : contents.at(position)) {
            out.push_back(item);
        }
        return out;
    }
    /// Changes after a revision; nothing if the store does not have it.
    [[nodiscard]] std::optional<std::vector<metadata::StoreChange>> changesAfter(metadata::StoreRevision after) const
    {
        if (after > position.revision || after < compacted) {
            return std::nullopt;
        }
        std::vector<metadata::StoreChange> out;
        for (std::uint64_t i = after.value + 1; i <= position.revision.value; ++i) {
            if (const auto change = changes.find({position.generation, metadata::StoreRevision(i)}); change != changes.end()) {
                out.push_back(change->second);
            }
        }
        return out;
    }
};

/// A run of an upstream as an instance knows it.
using Run = std::pair<std::string, std::uint64_t>;

/// A cache, and what it has acknowledged.
struct Instance
{
    explicit Instance(const edge::ProtocolAdapter &adapter)
        : cache(adapter)
    {
    }

    edge::MetadataCache cache;
    bool isFullReadNeeded = true;
    std::set<Run> left;                               // runs seen leaving
    core::TimePoint restoredAt{};                     // first update of the present generation
    std::map<Run, std::uint64_t> removed;             // runs seen removed, with their last sequence known then
    std::map<std::string, core::TimePoint> evacuated; // keys, with the first time in this generation
    std::set<std::string> storedEvacuations;          // at the cache's position
    metadata::StorePosition position;
    metadata::StorePosition lastChange;
    std::uint64_t version = 0;
    std::optional<core::TimePoint> lastCurrentAt; // as of the last check, if it knew of a newer configuration
};

class Play
{
public:
    void step(const std::pair<int, int> &choice)
    {
        const auto [operation, parameter] = choice;
        const auto number = static_cast<std::uint64_t>(parameter);
        Instance &instance = *m_instances[number % CacheCount];
        const std::size_t place = number % CacheCount;
        Instance &peer = *m_instances[(number / CacheCount + number + 1) % CacheCount];
        Upstream &upstream = m_world.upstreams[number % UpstreamCount];
        const bool isLate = number % 4 == 0;
        m_now += StepTime;
        switch (operation) {
        case 0:
            m_world.writeConfig();
            break;
        case 1:
            m_world.announce(upstream);
            break;
        case 2:
            upstream.isLeaving = true;
            m_world.announce(upstream);
            break;
        case 3:
            m_world.end(upstream);
            break;
        case 4:
            m_world.restart(upstream);
            break;
        case 5:
            m_world.setEvacuated(evacuationKey(number), number / DomainCount % 2 == 0);
            break;
        case 6:
            m_world.restore(number % 12);
            if (number % 2 == 0) {
                m_world.rewrite();
            }
            break;
        case 7:
            m_world.compacted = m_world.position.revision;
            break;
        case 8:
            fullRead(instance, isLate);
            break;
        case 9:
            for (const auto &item : m_instances) {
                fullRead(*item, false);
            }
            break;
        case 10:
            watch(instance, isLate);
            break;
        case 11:
        case 12: // as usual: one instance watches the store and confirms the others
            watch(*m_instances.front(), false);
            for (const auto &item : m_instances) {
                confirm(*item, *m_instances.front(), false);
            }
            break;
        case 13:
        case 14:
            fetch(instance, peer, isLate);
            break;
        case 15:
        case 16:
            confirm(instance, peer, isLate);
            break;
        case 17: // an upstream says in a response that it is leaving
            if (instance.cache.registry().find(id(upstream)) != nullptr
                && instance.cache.registry().find(id(upstream))->announcement.startTime.value == upstream.run) {
                upstream.isLeaving = true;
                (void)instance.cache.markLeaving(id(upstream), m_now);
                if (number % 2 == 0) {
                    m_world.announce(upstream);
                }
            }
            break;
        case 18:
            for (const auto &item : m_instances) {
                (void)item->cache.expireEntries(m_now);
            }
            break;
        case 19:
            deliverLate();
            break;
        case 20: // answers and messages to the instance before it was started again are dropped
            m_instances[place] = std::make_unique<Instance>(m_adapter);
            break;
        case 21:
        case 22:
            m_messages.push_back(messageOf(number % CacheCount, (number / CacheCount) % CacheCount));
            break;
        case 23: // in any order
            if (!m_messages.empty()) {
                const auto at = m_messages.begin() + static_cast<std::ptrdiff_t>(number % m_messages.size());
                const Message message = *at;
                m_messages.erase(at);
                deliver(message);
            }
            break;
        default:
            if (!m_messages.empty()) {
                m_messages.erase(m_messages.begin() + static_cast<std::ptrdiff_t>(number % m_messages.size()));
            }
            break;
        }
        for (const auto &item : m_instances) {
            check(*item);
        }
    }

    /// Messages pass along a path that connects all instances, in both directions.
    void talkAlongPath(std::size_t first)
    {
        std::uint64_t highest = 0;
        for (const auto &instance : m_instances) {
            highest = std::max(highest, instance->cache.knownCatalog().version.value);
        }
        for (std::size_t i = 0; i + 1 < CacheCount; ++i) {
            deliver(messageOf((first + i) % CacheCount, (first + i + 1) % CacheCount));
        }
        for (std::size_t i = CacheCount - 1; i > 0; --i) {
            deliver(messageOf((first + i) % CacheCount, (first + i - 1) % CacheCount));
        }
        for (const auto &instance : m_instances) {
            check(*instance);
            RC_ASSERT(instance->cache.knownCatalog().version.value == highest);
        }
    }

    /// Everything is written again and read.
    void finish()
    {
        while (!m_late.empty()) {
            deliverLate();
            for (const auto &instance : m_instances) {
                check(*instance);
            }
        }
        talkAlongPath(m_world.version % CacheCount);
        m_world.rewrite();
        for (const auto &instance : m_instances) {
            fullRead(*instance, false);
            check(*instance);
        }
        m_now += 2 * EvacuationGrace;
        for (const auto &instance : m_instances) {
            (void)instance->cache.expireEntries(m_now);
            check(*instance);
            RC_ASSERT(instance->cache.catalog()->version().value == m_world.version);
            for (const Upstream &upstream : m_world.upstreams) {
                const routing::RegistryEntry *entry = instance->cache.registry().find(id(upstream));
                const bool isUsable = entry != nullptr && entry->isUsable() && entry->announcement.startTime.value == upstream.run;
                RC_ASSERT(isUsable == (!upstream.hasEnded && !upstream.isLeaving));
            }
            std::set<std::string> evacuated;
            for (const core::DomainId &domain : instance->cache.registry().evacuatedDomains()) {
                evacuated.insert("op/evacuate/" + domain.text);
            }
            RC_ASSERT(evacuated == m_world.evacuations);
        }
    }

    Play()
    {
        for (std::size_t i = 0; i < CacheCount; ++i) {
            m_instances.push_back(std::make_unique<Instance>(m_adapter));
        }
    }

private:
    /// What each message between instances tells of its sender's metadata.
    struct Message
    {
        std::size_t sender = 0;
        std::size_t receiver = 0;
        catalog::CatalogVersion version;
        metadata::StorePosition lastChange;
        metadata::StorePosition storePosition;
        core::TimePoint currentAt{};
    };

    [[nodiscard]] Message messageOf(std::size_t sender, std::size_t receiver) const
    {
        const edge::MetadataCache &cache = m_instances[sender]->cache;
        return Message{sender, receiver, cache.knownCatalog().version, cache.lastChange(), cache.storePosition(), m_now - cache.staleness(m_now)};
    }
    /// The receiver fetches a snapshot of the sender if it has to.
    void deliver(const Message &message)
    {
        Instance &receiver = *m_instances[message.receiver];
        Instance &sender = *m_instances[message.sender];
        receiver.cache.noteCatalogVersion(message.version);
        receiver.cache.confirmCurrent(message.lastChange, message.storePosition, m_now - message.currentAt, m_now);
        if (receiver.cache.isCatalogBehind() || receiver.cache.isNewer(message.lastChange)) {
            fetch(receiver, sender, false);
        }
    }
    [[nodiscard]] static core::UpstreamId id(const Upstream &upstream)
    {
        return core::UpstreamId("i-" + std::to_string(upstream.number));
    }
    void deliver(bool isLate, const Instance &receiver, std::function<void()> answer)
    {
        if (isLate) {
            m_late.push_back([this, &receiver, answer = std::move(answer)] {
                const bool isRunning = std::any_of(m_instances.begin(), m_instances.end(), [&](const auto &item) { return item.get() == &receiver; });
                if (isRunning) {
                    answer();
                }
            });
        } else {
            answer();
        }
    }
    void deliverLate()
    {
        if (!m_late.empty()) {
            const auto answer = std::move(m_late.front());
            m_late.pop_front();
            answer();
        }
    }
    void fullRead(Instance &instance, bool isLate)
    {
        instance.isFullReadNeeded = false;
        deliver(isLate, instance, [&instance, items = m_world.items(), at = m_world.position, readAt = m_now] {
            (void)instance.cache.applyRange(items, at, false, readAt);
        });
    }
    void watch(Instance &instance, bool isLate)
    {
        const metadata::StorePosition after = instance.cache.storePosition();
        const auto changes = m_world.changesAfter(after.revision);
        if (instance.isFullReadNeeded || !changes) {
            fullRead(instance, isLate);
            return;
        }
        deliver(isLate, instance, [this, &instance, after, changes = *changes, at = m_world.position] {
            const edge::MetadataUpdate update = instance.cache.applyChanges(changes, after, at, false, m_now);
            instance.isFullReadNeeded = instance.isFullReadNeeded || update.isFullReadNeeded;
            for (const metadata::StoreChange &change : changes) {
                if (change.removed && !update.isFullReadNeeded && !update.isObsolete) {
                    instance.evacuated.erase(change.item.key);
                }
            }
        });
    }
    void fetch(Instance &instance, Instance &peer, bool isLate)
    {
        if (&instance != &peer && peer.cache.catalog()) {
            deliver(isLate, instance, [this, &instance, snapshot = peer.cache.snapshot(instance.cache.knownCatalog(), m_now)] {
                (void)instance.cache.applySnapshot(snapshot, m_now);
            });
        }
    }
    void confirm(Instance &instance, Instance &peer, bool isLate)
    {
        deliver(isLate, instance, [this, &instance, lastChange = peer.cache.lastChange(), at = peer.cache.storePosition()] {
            instance.cache.confirmCurrent(lastChange, at, 0ms, m_now);
        });
    }

    void check(Instance &instance)
    {
        const edge::MetadataCache &cache = instance.cache;
        if (!cache.catalog()) {
            return;
        }
        const core::TimePoint currentAt = m_now - cache.staleness(m_now);
        RC_ASSERT(!cache.isCatalogBehind() || !instance.lastCurrentAt || currentAt <= *instance.lastCurrentAt);
        instance.lastCurrentAt = cache.isCatalogBehind() ? std::optional(currentAt) : std::nullopt;
        RC_ASSERT(cache.storePosition() >= instance.position);
        RC_ASSERT(cache.lastChange() >= instance.lastChange);
        RC_ASSERT(cache.catalog()->version().value >= instance.version);
        const bool isNewGeneration = cache.storePosition().generation != instance.position.generation;
        instance.position = cache.storePosition();
        instance.lastChange = cache.lastChange();
        instance.version = cache.catalog()->version().value;
        checkContents(instance);
        checkUpstreams(instance, isNewGeneration);
        checkEvacuations(instance, isNewGeneration);
    }

    /// The cache holds what the store held at its position.
    void checkContents(const Instance &instance)
    {
        const World::Items &stored = m_world.contents.at(instance.cache.storePosition());
        const edge::MetadataSnapshot held = instance.cache.snapshot({}, m_now);
        std::set<std::string> heldKeys;
        for (const auto &[key, value] : held.upstreamEntries) {
            heldKeys.insert(key);
            const auto found = stored.find(key);
            RC_ASSERT(found != stored.end());
            const auto left = m_adapter.parseAnnouncement(key, value);
            const auto right = m_adapter.parseAnnouncement(key, found->second.value);
            RC_ASSERT(left.value().leaving == right.value().leaving);
            RC_ASSERT(left.value().startTime == right.value().startTime);
        }
        for (const core::DomainId &domain : held.evacuatedDomains) {
            heldKeys.insert("op/evacuate/" + domain.text);
        }
        for (const auto &[key, item] : stored) {
            RC_ASSERT(key == "op/config" || heldKeys.contains(key));
            RC_ASSERT(key != "op/config" || m_adapter.parseCatalog(item.value).value()->version() <= instance.cache.catalog()->version());
        }
        for (const std::string &key : heldKeys) {
            RC_ASSERT(stored.contains(key));
        }
    }

    /// A run that was seen leaving or removed gets nothing more, unless a removed one has announced itself since: by a later sequence than
    /// was known, which the instance has read in a history that it has followed, or which a restored store has had for the grace.
    void checkUpstreams(Instance &instance, bool isNewGeneration)
    {
        if (isNewGeneration) {
            instance.restoredAt = m_now;
        }
        const edge::MetadataSnapshot held = instance.cache.snapshot({}, m_now);
        for (const auto &[upstream, entry] : instance.cache.registry().entries()) {
            const Run run{upstream.text, entry.announcement.startTime.value};
            if (entry.isUsable()) {
                RC_ASSERT(!instance.left.contains(run));
                const auto removed = instance.removed.find(run);
                if (removed != instance.removed.end()) {
                    const std::string key = "servers/" + upstream.text;
                    const auto stored = m_adapter.parseAnnouncement(key, held.upstreamEntries.at(key));
                    RC_ASSERT(stored.value().sequence > removed->second);
                    RC_ASSERT(!isNewGeneration || m_now >= instance.restoredAt + RestoredEntryGrace);
                }
                instance.removed.erase(run);
            }
            if (entry.leaving) {
                instance.left.insert(run);
            }
            if (entry.removed) {
                instance.removed[run] = entry.announcement.sequence;
            }
        }
    }

    /// An evacuation ends if the store had it and no longer has it in one generation, or after its grace.
    void checkEvacuations(Instance &instance, bool isNewGeneration)
    {
        const World::Items &stored = m_world.contents.at(instance.cache.storePosition());
        std::set<std::string> inForce;
        for (const core::DomainId &domain : instance.cache.registry().evacuatedDomains()) {
            inForce.insert("op/evacuate/" + domain.text);
        }
        for (auto known = instance.evacuated.begin(); known != instance.evacuated.end();) {
            if (isNewGeneration) {
                known->second = m_now; // its grace begins
            }
            const bool hasStoreItHere = instance.storedEvacuations.contains(known->first);
            const bool mayEnd = (hasStoreItHere && !isNewGeneration && !stored.contains(known->first)) || m_now >= known->second + EvacuationGrace;
            RC_ASSERT(inForce.contains(known->first) || mayEnd);
            known = inForce.contains(known->first) ? std::next(known) : instance.evacuated.erase(known);
        }
        for (const std::string &key : inForce) {
            instance.evacuated.emplace(key, m_now);
        }
        instance.storedEvacuations.clear();
        for (const auto &[key, item] : stored) {
            if (key.starts_with("op/evacuate/")) {
                instance.storedEvacuations.insert(key);
            }
        }
    }

    platform::PlatformAdapter m_adapter;
    World m_world;
    std::vector<std::unique_ptr<Instance>> m_instances;
    std::deque<std::function<void()>> m_late; // answers that are still under way
    std::vector<Message> m_messages;          // between instances, likewise
    core::TimePoint m_now{1000s};
};

} // namespace

TEST_CASE("a cache never loses what it has acknowledged and never goes back whatever reaches it in which order", "[restore][property]")
{
    constexpr int Schedules = 400;
    constexpr int OperationCount = 25;
    // Without resize(), short schedules would have the first operations only.
    const auto operation = rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, OperationCount));
    const auto parameter = rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, 10'000));
    const auto operations = rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(operation, parameter));
    REQUIRE(tests::checkSchedules("metadata cache and restores of the store", Schedules, [&operations] {
        const auto schedule = *operations;
        Play play;
        for (const auto &choice : schedule) {
            play.step(choice);
        }
        play.finish();
    }));
}
