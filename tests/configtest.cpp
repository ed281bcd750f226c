// Configuration: document validation, the hash chain, edits, and concurrent writers checked against a reference log.

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

config::LogEntry makeNextEntry(const config::ConfigState &state, json::object document, const std::string &editId = "e")
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
    state.apply(makeNextEntry(state, templateDocument()));
    state.apply(makeNextEntry(state, workspaceDocument()));
    return state;
}

} // namespace

TEST_CASE("a workspace policy is resolved from its template and parameters", "[config]")
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

TEST_CASE("each kind of invalid document yields a specific error", "[config]")
{
    struct Row
    {
        const char *path;
        const char *value;
        const char *error;
    };
    const Row row = GENERATE(Row{"template", "\"none\"", "template \"none\" does not exist"},
                             Row{"parameters.rate", "5000", "outside the range declared by the template"},
                             Row{"parameters.rate", "\"much\"", "expected a value of type number"},
                             Row{"parameters.speed", "1", "not declared by the template"},
                             Row{"parameters.home", "\"hatyai\"", "expected one of the regions in \"residency\""},
                             Row{"parameters.regions", "[]", "at least one region is required"},
                             Row{"key_sha256", "[]", "at least one key is required"},
                             Row{"colour", "1", "unknown key"});
    json::object document = workspaceDocument();
    REQUIRE(config::setFieldByPath(document, row.path, json::parse(row.value)));
    config::DocumentSet documents;
    documents[config::DocumentKey{"template", "press"}] = templateDocument();
    documents[config::DocumentKey{"workspace", "siamwong"}] = document;
    const auto resolved = config::resolvePolicy(documents, core::WorkspaceId("siamwong"));
    REQUIRE_FALSE(resolved);
    INFO(resolved.error().message);
    REQUIRE(resolved.error().message.find(row.error) != std::string::npos);
    REQUIRE_FALSE(config::validate(documents).empty());
}

TEST_CASE("all errors of an edit are reported together", "[config]")
{
    json::object document = workspaceDocument();
    config::setFieldByPath(document, "parameters.rate", 5000);
    config::setFieldByPath(document, "colour", 1);
    config::ConfigState state = makeState();
    config::Edit edit{"e", "test", {document}, {}, state.head().revision};
    const auto result = config::buildLogEntry(state, edit, 0);
    REQUIRE_FALSE(result);
    REQUIRE(result.error().kind == core::ErrorKind::ConfigInvalid);
    REQUIRE(result.error().message.find("rate") != std::string::npos);
    REQUIRE(result.error().message.find("colour") != std::string::npos);
}

TEST_CASE("only the next entry of the chain is applied", "[config]")
{
    config::ConfigState state = makeState();
    config::ConfigState aheadState = state;
    const config::LogEntry third = makeNextEntry(aheadState, workspaceDocument("temples"));
    aheadState.apply(third);
    const config::LogEntry fourth = makeNextEntry(aheadState, workspaceDocument("mosques"));
    REQUIRE(state.apply(fourth) == config::ApplyResult::Gap);
    config::LogEntry mismatched = third;
    mismatched.previousHash = "another history";
    REQUIRE(state.apply(mismatched) == config::ApplyResult::HashMismatch);
    REQUIRE(state.apply(third) == config::ApplyResult::Applied);
    REQUIRE(state.apply(third) == config::ApplyResult::Duplicate);
    REQUIRE(state.apply(fourth) == config::ApplyResult::Applied);
    REQUIRE(state.head().revision.value == 4);
}

TEST_CASE("entries and snapshots survive serialization", "[config]")
{
    const config::ConfigState state = makeState();
    const config::LogEntry entry = makeNextEntry(state, workspaceDocument("temples"));
    REQUIRE(config::parseLogEntry(entry.serialize()).value().serialize() == entry.serialize());
    REQUIRE_FALSE(config::parseLogEntry("{}"));
    REQUIRE_FALSE(config::parseLogEntry("nonsense"));
    REQUIRE_FALSE(config::ConfigState().installSnapshot(
        R"({"revision":3,"hash":"h","documents":[{"document":{"kind":"workspace","id":"w","parameters":{"rate":[{"a":1e400}]}},"written_at":2}]})"));
    REQUIRE_FALSE(config::parseLogEntry(R"({"revision":-3,"edit_id":"e","previous_hash":"","author":"a","at_ms":0,"puts":[],"removals":[]})"));
    REQUIRE_FALSE(config::ConfigState().installSnapshot(R"({"revision":-3,"hash":"","documents":[]})"));

    config::ConfigState fresh;
    REQUIRE(fresh.installSnapshot(state.serializeSnapshot()));
    REQUIRE(fresh.head() == state.head());
    REQUIRE(fresh.documents() == state.documents());
    REQUIRE(fresh.lastModifiedRevision(config::DocumentKey{"workspace", "siamwong"}).value == 2);
    REQUIRE(fresh.apply(entry) == config::ApplyResult::Applied);
    REQUIRE_FALSE(fresh.installSnapshot(state.serializeSnapshot())); // a lower revision is never installed
    REQUIRE(fresh.head().revision.value == 3);
    REQUIRE_FALSE(fresh.entriesAfter(core::Revision(1)).has_value()); // a snapshot contains no earlier entries
    REQUIRE(fresh.entriesAfter(core::Revision(2))->size() == 1);
}

TEST_CASE("a concurrent edit of the same document is rejected, and of a different document rebased", "[config]")
{
    config::ConfigState state = makeState();
    const core::Revision baseRevision = state.head().revision;
    state.apply(makeNextEntry(state, workspaceDocument("temples")));
    config::Edit differentDocument{"mine", "test", {workspaceDocument()}, {}, baseRevision};
    REQUIRE(config::buildLogEntry(state, differentDocument, 0).value().revision.value == 4);
    config::Edit sameDocument{"mine", "test", {workspaceDocument("temples")}, {}, baseRevision};
    const auto rejected = config::buildLogEntry(state, sameDocument, 0);
    REQUIRE(rejected.error().kind == core::ErrorKind::ConfigConflict);
    REQUIRE(rejected.error().message.find("workspace/temples was changed in revision 3") != std::string::npos);
    config::Edit empty{"mine", "test", {}, {}, baseRevision};
    REQUIRE(config::buildLogEntry(state, empty, 0).error().kind == core::ErrorKind::ConfigInvalid);
}

TEST_CASE("a diff has one line per changed document", "[config]")
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
// Concurrent writers and followers
//-----------------------------------------------------------------------------

namespace {

/// Writes entries as metadata::writeEdit() does: creates a key only if it is absent, and reads it back after a lost response.
struct ConfigWriter
{
    config::ConfigState state;
    int done = 0;

    void catchUp(const standin::KeyValueStore &store, std::size_t maxEntries)
    {
        for (std::size_t i = 0; i < maxEntries; ++i) {
            const auto found = store.range(config::logEntryKey(core::Revision(state.head().revision.value + 1)), {});
            if (found.empty()) {
                return;
            }
            state.apply(config::parseLogEntry(found.front().value).value());
        }
    }
    /// Makes one attempt; returns whether the writer knows that its edit was accepted. With `loseResponse`, it has to read back.
    bool tryWrite(standin::KeyValueStore &store, const std::string &editId, bool loseResponse)
    {
        json::object document = workspaceDocument("ws-" + editId);
        const config::LogEntry entry = makeNextEntry(state, document, editId);
        const std::string key = config::logEntryKey(entry.revision);
        const bool absent = store.range(key, {}).empty();
        if (absent) {
            store.put(key, entry.serialize(), 0);
        }
        if (!loseResponse) {
            return absent;
        }
        const auto stored = store.range(key, {});
        return config::parseLogEntry(stored.front().value).value().editId == editId;
    }
};

} // namespace

TEST_CASE("concurrent writers lose no accepted edit, and followers never go back to a lower revision", "[config][property]")
{
    const bool passed = tests::checkSchedules("config writers and followers", 2'000, [] {
        const auto schedule = *rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(rc::gen::inRange(0, 7), rc::gen::inRange(0, 100)));
        core::ManualClock clock;
        standin::KeyValueStore store(clock);
        config::ConfigState base = makeState();
        for (std::uint64_t r = 1; r <= 2; ++r) {
            store.put(config::logEntryKey(core::Revision(r)), base.entriesAfter(core::Revision(r - 1))->front().serialize(), 0);
        }
        standin::KeyValueStore stale = store;
        std::vector<ConfigWriter> writers(3);
        std::vector<config::ConfigState> followers(3);
        std::vector<std::string> accepted; // reference log: edit IDs whose writer was told that the write succeeded
        int nextEditNumber = 0;
        for (const auto &[operation, value] : schedule) {
            ConfigWriter &writer = writers[static_cast<std::size_t>(value) % 3];
            config::ConfigState &follower = followers[static_cast<std::size_t>(value) % 3];
            const core::Revision before = follower.head().revision;
            switch (operation) {
            case 0:
                writer.catchUp(store, 100);
                break;
            case 1:
            case 2: {
                const std::string editId = "e" + std::to_string(nextEditNumber++);
                writer.catchUp(store, static_cast<std::size_t>(value % 4) * 100); // some writers use an outdated state
                if (writer.state.head().revision.value >= 2 && writer.tryWrite(store, editId, operation == 2)) {
                    accepted.push_back(editId);
                }
                break;
            }
            case 3:
                stale = store;
                break;
            case 4: // read of any revision, in any order, from a stale or the current store
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
        config::ConfigState finalState;
        for (const auto &pair : store.range("config/log/", "config/log0")) {
            RC_ASSERT(finalState.apply(config::parseLogEntry(pair.value).value()) == config::ApplyResult::Applied);
        }
        for (const std::string &editId : accepted) {
            RC_ASSERT(finalState.findPolicy(core::WorkspaceId("ws-" + editId)) != nullptr);
        }
        for (config::ConfigState &follower : followers) {
            for (const auto &pair : store.range("config/log/", "config/log0")) {
                follower.apply(config::parseLogEntry(pair.value).value());
            }
            RC_ASSERT(follower.head() == finalState.head());
            RC_ASSERT(follower.documents() == finalState.documents());
        }
    });
    REQUIRE(passed);
}
