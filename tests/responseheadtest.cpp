// Response heads that are not HTTP: a status out of range, folded lines, names and values with bytes that they may not have.
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
    const auto isKept = GENERATE(false, true); // the connection has carried a response before
    CAPTURE(row.status, before, isKept);
    CallFixture fixture;
    fixture.responses = {{"HTTP/1.1 200 OK\r\n" + withLength("first"), ConnectionEnd::Kept},
                         {before + "HTTP/1.1 " + row.status + " Status\r\n" + withLength(row.accepted ? "body" : "")}};
    if (isKept) {
        REQUIRE(fixture.fetch(NoUpload).value().body == "first");
    } else {
        fixture.responses.erase(fixture.responses.begin());
    }
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

TEST_CASE("a response is accepted only if no line of its head is folded or malformed", "[head]")
{
    struct Row
    {
        std::string fields;
        bool accepted;
    };
    const auto row = GENERATE(values<Row>({
        {"X-A: a\r\nContent-Length: 4\r\n", true},
        {"X-A:\r\nContent-Length: 4\r\n", true},
        {"X-A: \t a b\t \r\nContent-Length:4\r\n", true},
        {"X-A: a\r\nX-A: \xe4\r\nContent-Length: 4\r\n", true},
        {"!#$%&'*+-.^_`|~9: a\r\nContent-Length: 4\r\n", true},
        {"X-A: " + std::string(300, 'a') + "\r\nContent-Length: 4\r\n", true},

        {"X-A: a\r\n b\r\nContent-Length: 4\r\n", false},
        {"X-A: a\r\n\tb\r\nContent-Length: 4\r\n", false},
        {"X-A: a\r\n \r\nContent-Length: 4\r\n", false},
        {"X-A: a\r\n Content-Length: 4\r\n", false},
        {"X-A: a\r\n\tContent-Length: 4\r\n", false},
        {"X-A: a\r\n Transfer-Encoding: chunked\r\nContent-Length: 4\r\n", false},
        {"Content-Length: 4\r\n \r\n", false},
        {" X-A: a\r\nContent-Length: 4\r\n", false},
        {" Content-Length: 4\r\n", false},

        {"X A: a\r\nContent-Length: 4\r\n", false},
        {"X-A : a\r\nContent-Length: 4\r\n", false},
        {"X-A\t: a\r\nContent-Length: 4\r\n", false},
        {"X\x01-A: a\r\nContent-Length: 4\r\n", false},
        {"X\x7f-A: a\r\nContent-Length: 4\r\n", false},
        {std::string("X\0-A: a\r\nContent-Length: 4\r\n", 28), false},
        {"X\n-A: a\r\nContent-Length: 4\r\n", false},
        {"X-\xe4: a\r\nContent-Length: 4\r\n", false},
        {": a\r\nContent-Length: 4\r\n", false},
        {"X-A a\r\nContent-Length: 4\r\n", false},
        {"X-A: a\x01\r\nContent-Length: 4\r\n", false},
        {"X-A: a\nX-B: b\r\nContent-Length: 4\r\n", false},
        {"X-A: a\n b\r\nContent-Length: 4\r\n", false},
        {"X-A: a\rb\r\nContent-Length: 4\r\n", false},
        {"Content-Length: 4\r\nContent-Length: 5\r\n", false},
    }));
    const auto before = GENERATE(as<std::string>{}, "", InterimResponse);
    const auto pieceBytes = GENERATE(as<std::size_t>{}, 0, 1);
    CAPTURE(row.fields, before, pieceBytes);
    CallFixture fixture;
    fixture.responses = {{before + "HTTP/1.1 200 OK\r\n" + row.fields + "\r\nbody", ConnectionEnd::Closed, pieceBytes}};
    const auto result = fixture.fetch(NoUpload);
    REQUIRE(result.has_value() == row.accepted);
    if (row.accepted) {
        CHECK(result.value().body == "body");
    } else {
        CHECK(result.error().stage == http::CallStage::ReadHeaders);
    }
}

TEST_CASE("an interim response is accepted only if no line of its head is folded", "[head]")
{
    const auto fields = GENERATE(as<std::string>{}, "Link: </x>\r\n", "Link: </x>\r\n X-A: a\r\n", " Link: </x>\r\n");
    CAPTURE(fields);
    CallFixture fixture;
    fixture.responses = {{"HTTP/1.1 103 Early Hints\r\n" + fields + "\r\nHTTP/1.1 200 OK\r\n" + withLength("body")}};
    CHECK(fixture.fetch(NoUpload).has_value() == (fields.find("\n ") == std::string::npos && fields.front() != ' '));
}

TEST_CASE("trailers do not change a response", "[head]")
{
    const auto trailers = GENERATE(as<std::string>{}, "", "X-A: a\r\n", "X-A: a\r\n b\r\n", "Content-Length: 9\r\n", "Connection: close\r\n");
    CAPTURE(trailers);
    CallFixture fixture;
    fixture.responses = {{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" + trailers + "\r\n"}};
    const auto result = fixture.fetch(NoUpload);
    if (result) { // a broken trailer may be refused
        CHECK(result.value().body == "body");
        CHECK(result.value().headers == http::Headers{{"Transfer-Encoding", "chunked"}});
    }
    CHECK((result || !trailers.empty()));
}

TEST_CASE("a request is sent again on a new connection only if no byte of a response has arrived", "[reuse]")
{
    struct Row
    {
        std::string bytes; // of the response on the kept connection
        std::size_t requests;
    };
    const auto row = GENERATE(values<Row>({
        {"", 3}, // the server may have closed the connection before the request arrived
        {"H", 2},
        {"HTTP/1.1 200 OK\r\nContent-Le", 2},
        {InterimResponse, 2},
        {"not HTTP\r\n\r\n", 2},
        {"HTTP/1.1 000 Trouble\r\n" + withLength("body"), 2},
        {"HTTP/1.1 200 OK\r\nX-A: a\r\n Content-Length: 4\r\n\r\nbody", 2},
    }));
    CAPTURE(row.bytes);
    CallFixture fixture;
    fixture.responses = {
        {"HTTP/1.1 200 OK\r\n" + withLength("first"), ConnectionEnd::Kept}, {row.bytes}, {"HTTP/1.1 200 OK\r\n" + withLength("third"), ConnectionEnd::Kept}};
    REQUIRE(fixture.fetch(NoUpload).value().body == "first");
    const auto result = fixture.fetch(NoUpload);
    CHECK(fixture.server.requestCount() == row.requests);
    REQUIRE(result.has_value() == (row.requests == 3));
    if (!result) {
        CHECK_FALSE(result.error().connectionReused);
    }
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
        {"folded length", "HTTP/1.1 200 OK\r\n" + Statements + " Content-Length: 3\r\n\r\nbroken"},
        {"folded transfer coding", "HTTP/1.1 200 OK\r\n" + Statements + "\tTransfer-Encoding: chunked\r\n\r\n6\r\nbroken\r\n0\r\n\r\n"},
        {"blank in a name", "HTTP/1.1 200 OK\r\nX A: a\r\n" + Statements + withLength("broken")},
        {"control byte in a name", "HTTP/1.1 200 OK\r\nX\x02-A: a\r\n" + Statements + withLength("broken")},
    }));
    const auto hops = GENERATE(as<std::size_t>{}, 1, 2);
    const auto isKept = GENERATE(false, true);
    CAPTURE(row.title, hops, isKept);
    HopRig rig(hops, RawResponse{row.bytes});
    if (isKept) {
        rig.keepConnections();
    }
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
        {"HTTP/1.1 200 OK\r\n" + attempt + " Content-Length: 2\r\n\r\nbody", 0},
        {"HTTP/1.1 200 OK\r\nX A: a\r\n" + attempt + withLength("body"), 0},
    }));
    CAPTURE(row.bytes);
    AttemptFixture fixture;
    fixture.response = RawResponse{row.bytes};
    CHECK(fixture.send(NoUpload) == row.status);
    CHECK(fixture.lastAttempt.result == (row.status == 0 ? node::AttemptResult::Incomplete : node::AttemptResult::Completed));
}
