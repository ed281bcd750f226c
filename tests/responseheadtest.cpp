// Response heads that are not HTTP: a status out of range.
//
// Sound responses stand beside the broken ones, so that a client which refuses everything fails, too.

#include "support/responsefixtures.h"

#include <catch2/catch.hpp>

using namespace arbutus;
using namespace arbutus::tests;
using namespace std::chrono_literals;

TEST_CASE("a response is accepted only with a status of 200 to 599", "[status]")
{
    struct Row
    {
        const char *status;
        bool accepted;
    };
    const auto row = GENERATE(values<Row>({
        {"000", false},
        {"001", false},
        {"099", false},
        {"101", false},
        {"199", false}, // an interim response without a final one
        {"200", true},
        {"299", true},
        {"302", true},
        {"404", true},
        {"503", true},
        {"599", true},
        {"600", false},
        {"999", false},
    }));
    const auto before = GENERATE(as<std::string>{}, "", InterimResponse);
    CAPTURE(row.status, before);
    CallFixture fixture;
    fixture.responses = {{before + "HTTP/1.1 " + row.status + " Status\r\n" + withLength(row.accepted ? "body" : "")}};
    const auto result = fixture.fetch(NoUpload);
    REQUIRE(result.has_value() == row.accepted);
    if (row.accepted) {
        CHECK(std::to_string(result.value().status) == row.status);
        CHECK(result.value().body == "body");
    } else {
        CHECK(result.error().stage == http::CallStage::ReadHeaders);
    }
    CHECK(fixture.server.requestCount() == fixture.responses.size());
}

TEST_CASE("a response with a broken head does not reach a client of a route gateway", "[edge]")
{
    struct Row
    {
        const char *title;
        std::string bytes;
    };
    const auto row = GENERATE(values<Row>({
        {"status 000", "HTTP/1.1 000 Trouble\r\n" + Statements + withLength("broken")},
        {"status 600", "HTTP/1.1 600 Trouble\r\n" + Statements + withLength("broken")},
        {"status 000 behind an interim response", InterimResponse + "HTTP/1.1 000 Trouble\r\n" + Statements + withLength("broken")},
    }));
    const auto hops = GENERATE(as<std::size_t>{}, 1, 2);
    CAPTURE(row.title, hops);
    EdgeRig rig(hops, RawResponse{row.bytes});
    const http::Response once = rig.send("once", "once");
    CHECK(once.status == 502);
    CHECK(once.body.find("\"outcome\":\"unknown\"") != std::string::npos);
    CHECK(rig.requests["once"] == 1);
    CHECK(rig.hasBreaks("sent", 1));
    const http::Response again = rig.send("again", "again");
    CHECK(again.status == 200);
    CHECK(again.body == SoundBody);
    CHECK(rig.requests["again"] == 2);
    CHECK(rig.hasBreaks("sent", 2));
    CHECK(rig.send("stream", "stream").status == 502);
    CHECK(rig.requests["stream"] == 1);
    CHECK(rig.send("resume", "resume").body == events(1, EventCount));
}

TEST_CASE("a response with a broken head does not complete an attempt", "[gateway]")
{
    struct Row
    {
        std::string bytes;
        unsigned status; // that the client gets; 0: none
    };
    const std::string attempt = "X-Attempt-Id: $ATTEMPT\r\n";
    const auto row = GENERATE_COPY(values<Row>({
        {"HTTP/1.1 200 OK\r\n" + attempt + withLength("body"), 200},
        {"HTTP/1.1 404 Not Found\r\n" + attempt + withLength("body"), 404},
        {"HTTP/1.1 000 Trouble\r\n" + attempt + withLength("body"), 0},
        {"HTTP/1.1 099 Trouble\r\n" + attempt + withLength("body"), 0},
        {"HTTP/1.1 600 Trouble\r\n" + attempt + withLength("body"), 0},
    }));
    CAPTURE(row.bytes);
    AttemptFixture fixture;
    fixture.response = RawResponse{row.bytes};
    CHECK(fixture.send(NoUpload) == row.status);
    CHECK(fixture.lastAttempt.result == (row.status == 0 ? node::AttemptResult::Incomplete : node::AttemptResult::Completed));
}
