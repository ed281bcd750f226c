// Configuration: documents with their faults, the chain, edits, and racing editors against a naive log.

#include "arbutus/config/configlog.h"
#include "arbutus/config/edit.h"
#include "arbutus/standin/keyvaluestore.h"
#include "support/schedules.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace arbutus;
namespace json = boost::json;

namespace {

json::object templateDocument()
{
    return json::parse(R"({"kind":"template","id":"press",
        "parameters":{"rate":{"type":"number","default":50,"min":1,"max":1000},"regions":{"type":"list"},"home":{"type":"text"}},
        "policy":{"models":["almanac"],"services":["orders"],"residency":"${regions}","home_region":"${home}",
                  "classes":{"desk":{"urgency":"urgent","deadline_ms":5000},"order":{"repeatable":false}},
                  "default_class":"desk","weights":{"cost":0.7,"latency":0.3},"limits":{"requests_per_s":"${rate}"}}})")
        .as_object();
}

json::object workspaceDocument(const std::string &id = "siamwong")
{
    json::object document = json::parse(R"({"kind":"workspace","template":"press","key_sha256":["aa"],
        "parameters":{"rate":80,"regions":["bangkok"],"home":"bangkok"}})")
                                .as_object();
    document["id"] = id;
    return document;
}

config::LogEntry entryAfter(const config::ConfigState &state, json::object document, const std::string &editId = "e")
{
    config::Edit edit;
    edit.editId = editId;
    edit.author = "test";
    edit.puts.push_back(std::move(document));
    edit.baseRevision = state.head().revision;
    return config::buildLogEntry(state, edit, 0).value();
}

config::ConfigState makeState()
{
    config::ConfigState state;
    state.apply(entryAfter(state, templateDocument()));
    state.apply(entryAfter(state, workspaceDocument()));
    return state;
}

} // namespace

TEST_CASE("a workspace takes shape from its template and parameters", "[config]")
{
    const config::ConfigState state = makeState();
    const config::WorkspacePolicy *policy = state.findPolicy(core::WorkspaceId("siamwong"));
    REQUIRE(policy != nullptr);
    REQUIRE(policy->limits.requestsPerSecond == 80);
    REQUIRE(policy->limits.burst == 160);
    REQUIRE(policy->homeRegion.text == "bangkok");
    REQUIRE(policy->weights.cost == 0.7);
    REQUIRE_FALSE(policy->classes.at(core::ClassId("order")).repeatable);
    REQUIRE(policy->classes.at(core::ClassId("desk")).urgency == config::Urgency::Urgent);
    REQUIRE(state.findPolicy(core::WorkspaceId("other")) == nullptr);
}

TEST_CASE("every fault of a document is named", "[config]")
{
    struct Row
    {
        const char *path;
        const char *value;
        const char *fault;
    };
    const Row row = GENERATE(Row{"template", "\"none\"", "which is no template"},
                             Row{"parameters.rate", "5000", "outside the range"},
                             Row{"parameters.rate", "\"much\"", "allowed is a number"},
                             Row{"parameters.speed", "1", "declares no such parameter"},
                             Row{"parameters.home", "\"hatyai\"", "allowed is a region of residency"},
                             Row{"parameters.regions", "[]", "at least one region"},
                             Row{"key_sha256", "[]", "at least one key"},
                             Row{"colour", "1", "unknown key"});
    json::object document = workspaceDocument();
    REQUIRE(config::setFieldByPath(document, row.path, json::parse(row.value)));
    config::DocumentSet documents;
    documents[config::DocumentKey{"template", "press"}] = templateDocument();
    documents[config::DocumentKey{"workspace", "siamwong"}] = document;
    const auto resolved = config::resolvePolicy(documents, core::WorkspaceId("siamwong"));
    REQUIRE_FALSE(resolved);
    INFO(resolved.error().message);
    REQUIRE(resolved.error().message.find(row.fault) != std::string::npos);
    REQUIRE_FALSE(config::validate(documents).empty());
}

TEST_CASE("several faults are told at once", "[config]")
{
    json::object document = workspaceDocument();
    config::setFieldByPath(document, "parameters.rate", 5000);
    config::setFieldByPath(document, "colour", 1);
    config::ConfigState state = makeState();
    config::Edit edit{"e", "test", {document}, {}, state.head().revision};
    const auto planned = config::buildLogEntry(state, edit, 0);
    REQUIRE_FALSE(planned);
    REQUIRE(planned.error().kind == core::ErrorKind::ConfigInvalid);
    REQUIRE(planned.error().message.find("rate") != std::string::npos);
    REQUIRE(planned.error().message.find("colour") != std::string::npos);
}

TEST_CASE("only the next entry of the chain is adopted", "[config]")
{
    config::ConfigState state = makeState();
    config::ConfigState ahead = state;
    const config::LogEntry third = entryAfter(ahead, workspaceDocument("temples"));
    ahead.apply(third);
    const config::LogEntry fourth = entryAfter(ahead, workspaceDocument("mosques"));
    REQUIRE(state.apply(fourth) == config::ApplyResult::Gap);
    config::LogEntry foreign = third;
    foreign.previousHash = "another history";
    REQUIRE(state.apply(foreign) == config::ApplyResult::HashMismatch);
    REQUIRE(state.apply(third) == config::ApplyResult::Applied);
    REQUIRE(state.apply(third) == config::ApplyResult::Duplicate);
    REQUIRE(state.apply(fourth) == config::ApplyResult::Applied);
    REQUIRE(state.head().revision.value == 4);
}

TEST_CASE("entries and snapshots survive the wire", "[config]")
{
    const config::ConfigState state = makeState();
    const config::LogEntry entry = entryAfter(state, workspaceDocument("temples"));
    REQUIRE(config::parseLogEntry(entry.serialize()).value().serialize() == entry.serialize());
    REQUIRE_FALSE(config::parseLogEntry("{}"));
    REQUIRE_FALSE(config::parseLogEntry("nonsense"));

    config::ConfigState fresh;
    REQUIRE(fresh.installSnapshot(state.serializeSnapshot()));
    REQUIRE(fresh.head() == state.head());
    REQUIRE(fresh.documents() == state.documents());
    REQUIRE(fresh.lastModifiedRevision(config::DocumentKey{"workspace", "siamwong"}).value == 2);
    REQUIRE(fresh.apply(entry) == config::ApplyResult::Applied);
    REQUIRE_FALSE(fresh.installSnapshot(state.serializeSnapshot())); // never a lower revision
    REQUIRE(fresh.head().revision.value == 3);
    REQUIRE_FALSE(fresh.entriesAfter(core::Revision(1)).has_value()); // a snapshot's past is not kept
    REQUIRE(fresh.entriesAfter(core::Revision(2))->size() == 1);
}

TEST_CASE("a racing edit of the same document is refused, of another one rebased", "[config]")
{
    config::ConfigState state = makeState();
    const core::Revision seen = state.head().revision;
    state.apply(entryAfter(state, workspaceDocument("temples")));
    config::Edit other{"mine", "test", {workspaceDocument()}, {}, seen};
    REQUIRE(config::buildLogEntry(state, other, 0).value().revision.value == 4);
    config::Edit same{"mine", "test", {workspaceDocument("temples")}, {}, seen};
    const auto refused = config::buildLogEntry(state, same, 0);
    REQUIRE(refused.error().kind == core::ErrorKind::ConfigConflict);
    REQUIRE(refused.error().message.find("workspace/temples was changed in revision 3") != std::string::npos);
    config::Edit nothing{"mine", "test", {}, {}, seen};
    REQUIRE(config::buildLogEntry(state, nothing, 0).error().kind == core::ErrorKind::ConfigInvalid);
}

TEST_CASE("differences are shown line by line", "[config]")
{
    config::DocumentSet before = makeState().documents();
    config::DocumentSet after = before;
    after[config::DocumentKey{"workspace", "temples"}] = workspaceDocument("temples");
    after.erase(config::DocumentKey{"template", "press"});
    config::setFieldByPath(after[config::DocumentKey{"workspace", "siamwong"}], "parameters.rate", 90);
    const std::vector<std::string> lines = config::diffDocuments(before, after);
    REQUIRE(lines.size() == 3);
    REQUIRE(lines[0] == "- template/press");
    REQUIRE(lines[1].starts_with("~ workspace/siamwong"));
    REQUIRE(lines[2].starts_with("+ workspace/temples"));
}

//-----------------------------------------------------------------------------
// Racing editors and followers
//-----------------------------------------------------------------------------

namespace {

/// Editor that writes as tools do: create-only, read back after a lost answer.
struct Editor
{
    config::ConfigState seen;
    int done = 0;

    void catchUp(const standin::KeyValueStore &store, std::size_t most)
    {
        for (std::size_t i = 0; i < most; ++i) {
            const auto found = store.range(config::logEntryKey(core::Revision(seen.head().revision.value + 1)), {});
            if (found.empty()) {
                return;
            }
            seen.apply(config::parseLogEntry(found.front().value).value());
        }
    }
    /// Tries once; the writer may lose the answer and does not know then.
    bool tryWrite(standin::KeyValueStore &store, const std::string &editId, bool loseAnswer)
    {
        json::object document = workspaceDocument("ws-" + editId);
        const config::LogEntry entry = entryAfter(seen, document, editId);
        const std::string key = config::logEntryKey(entry.revision);
        const bool absent = store.range(key, {}).empty();
        if (absent) {
            store.put(key, entry.serialize(), 0);
        }
        if (!loseAnswer) {
            return absent;
        }
        const auto standing = store.range(key, {});
        return config::parseLogEntry(standing.front().value).value().editId == editId;
    }
};

} // namespace

TEST_CASE("racing editors lose no accepted edit, and followers never go back", "[config][property]")
{
    const bool held = tests::checkSchedules("editors and followers", 2'000, [] {
        const auto schedule = *rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(rc::gen::inRange(0, 7), rc::gen::inRange(0, 100)));
        core::ManualClock clock;
        standin::KeyValueStore store(clock);
        config::ConfigState base = makeState();
        for (std::uint64_t r = 1; r <= 2; ++r) {
            store.put(config::logEntryKey(core::Revision(r)), base.entriesAfter(core::Revision(r - 1))->front().serialize(), 0);
        }
        standin::KeyValueStore stale = store;
        std::vector<Editor> editors(3);
        std::vector<config::ConfigState> followers(3);
        std::vector<std::string> accepted; // the naive log: edit ids that were told "written"
        int number = 0;
        for (const auto &[operation, value] : schedule) {
            Editor &editor = editors[static_cast<std::size_t>(value) % 3];
            config::ConfigState &follower = followers[static_cast<std::size_t>(value) % 3];
            const core::Revision before = follower.head().revision;
            switch (operation) {
            case 0:
                editor.catchUp(store, 100);
                break;
            case 1:
            case 2: {
                const std::string editId = "e" + std::to_string(number++);
                editor.catchUp(store, static_cast<std::size_t>(value % 4) * 100); // some edit with an old view
                if (editor.seen.head().revision.value >= 2 && editor.tryWrite(store, editId, operation == 2)) {
                    accepted.push_back(editId);
                }
                break;
            }
            case 3:
                stale = store;
                break;
            case 4: // a stale read, any number, any order
            case 5: {
                const standin::KeyValueStore &source = operation == 4 ? stale : store;
                const auto found = source.range(config::logEntryKey(core::Revision(static_cast<std::uint64_t>(value % 12) + 1)), {});
                if (!found.empty()) {
                    follower.apply(config::parseLogEntry(found.front().value).value());
                }
                break;
            }
            default:
                follower.installSnapshot(followers[static_cast<std::size_t>(value + 1) % 3].serializeSnapshot());
            }
            RC_ASSERT(follower.head().revision >= before);
        }
        config::ConfigState end;
        for (const auto &pair : store.range("config/log/", "config/log0")) {
            RC_ASSERT(end.apply(config::parseLogEntry(pair.value).value()) == config::ApplyResult::Applied);
        }
        for (const std::string &editId : accepted) {
            RC_ASSERT(end.findPolicy(core::WorkspaceId("ws-" + editId)) != nullptr);
        }
        for (config::ConfigState &follower : followers) {
            for (const auto &pair : store.range("config/log/", "config/log0")) {
                follower.apply(config::parseLogEntry(pair.value).value());
            }
            RC_ASSERT(follower.head() == end.head());
            RC_ASSERT(follower.documents() == end.documents());
        }
    });
    REQUIRE(held);
}
