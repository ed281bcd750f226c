// Responses that begin while the request is still being written, and connections that fail then.
//
// A socket reports its error once. Where the write of the request gets it, the read that follows finds a regular end of the connection.

#include "support/responsefixtures.h"

#include <catch2/catch.hpp>

using namespace arbutus;
using namespace arbutus::tests;
using namespace std::chrono_literals;

namespace {

struct EndRow
{
    ConnectionEnd end;
    std::size_t uploadBytes;
    bool complete; // a body that ends with the connection
};

const std::vector<EndRow> EndRows{
    {ConnectionEnd::Closed, NoUpload, true},
    {ConnectionEnd::Closed, SmallUpload, true},
    {ConnectionEnd::Closed, LargeUpload, true},
    {ConnectionEnd::ClosedUnread, NoUpload, true},
    {ConnectionEnd::ClosedUnread, SmallUpload, false},
    {ConnectionEnd::ClosedUnread, LargeUpload, false},
    {ConnectionEnd::Reset, NoUpload, false},
    {ConnectionEnd::Reset, SmallUpload, false},
    {ConnectionEnd::Reset, LargeUpload, false},
    {ConnectionEnd::ResetAfterPause, NoUpload, false},
    {ConnectionEnd::ResetAfterPause, SmallUpload, false},
    {ConnectionEnd::ResetAfterPause, LargeUpload, false},
    {ConnectionEnd::ClosedThenReset, NoUpload, true},
    {ConnectionEnd::ClosedThenReset, LargeUpload, false},
    {ConnectionEnd::ClosedAndStalled, NoUpload, true},
    {ConnectionEnd::ClosedAndStalled, LargeUpload, false},
};

const std::map<std::string, std::string> BodiesByType{
    {"application/octet-stream", "part of the bytes"},
    {"text/plain", "part of the text"},
    {"application/json", R"({"part":true})"},
    {"text/event-stream", events(1, 2)},
};

constexpr int Repeats = 5; // since the order in which writing and reading end varies
constexpr auto StallTimeout = 500ms;

std::string earlyResponse(const std::string &status, const std::string &contentType, const std::string &rest)
{
    return "HTTP/1.1 " + status + "\r\n" + Statements + "Content-Type: " + contentType + "\r\n" + rest;
}

} // namespace

TEST_CASE("a body that ends with its connection is complete only if the connection did not fail beside it", "[upload]")
{
    const auto row = GENERATE(from_range(EndRows));
    const auto status = GENERATE(as<std::string>{}, "200 OK", "413 Content Too Large");
    const auto type = GENERATE(from_range(BodiesByType));
    CAPTURE(static_cast<int>(row.end), row.uploadBytes, status, type.first);
    CallFixture fixture;
    fixture.responses = {{earlyResponse(status, type.first, "\r\n" + type.second), row.end}};
    for (int i = 0; i < (row.end == ConnectionEnd::ClosedAndStalled ? 1 : Repeats); ++i) {
        const auto result = fixture.fetch(row.uploadBytes, row.end == ConnectionEnd::ClosedAndStalled ? StallTimeout : CallTimeout);
        REQUIRE(result.has_value() == row.complete);
        if (row.complete) {
            CHECK(result.value().body == type.second);
        } else {
            CHECK(result.error().stage == http::CallStage::ReadBody);
        }
    }
}

TEST_CASE("a body with a stated end is complete whatever happens to the upload", "[upload]")
{
    struct Row
    {
        std::string rest; // of the response, behind the status and the type
        bool complete;
    };
    const auto row = GENERATE(values<Row>({
        {withLength("body"), true},
        {"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", true},
        {"Content-Length: 5\r\n\r\nbody", false},
        {"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", false},
        {"Transfer-Encoding: chunked\r\n\r\n5\r\nbody", false},
    }));
    const auto end = GENERATE(ConnectionEnd::Closed, ConnectionEnd::ClosedUnread, ConnectionEnd::ResetAfterPause, ConnectionEnd::ClosedThenReset);
    const auto status = GENERATE(as<std::string>{}, "200 OK", "401 Unauthorized");
    CAPTURE(row.rest, static_cast<int>(end), status);
    CallFixture fixture;
    fixture.responses = {{earlyResponse(status, "text/plain", row.rest), end}};
    for (int i = 0; i < Repeats; ++i) {
        const auto result = fixture.fetch(LargeUpload);
        REQUIRE(result.has_value() == row.complete);
        if (row.complete) {
            CHECK(result.value().body == "body");
        }
    }
}

TEST_CASE("a part of a body does not reach a client of a route gateway as the whole", "[edge]")
{
    struct Row
    {
        ConnectionEnd end;
        std::string contentType;
    };
    const auto row = GENERATE(values<Row>({
        {ConnectionEnd::Reset, "application/octet-stream"},
        {ConnectionEnd::ResetAfterPause, "application/json"},
        {ConnectionEnd::ClosedUnread, "text/plain"},
        {ConnectionEnd::ClosedThenReset, "text/plain"},
    }));
    const auto hops = GENERATE(as<std::size_t>{}, 1, 2);
    CAPTURE(static_cast<int>(row.end), row.contentType, hops);
    HopRig rig(hops, RawResponse{earlyResponse("200 OK", row.contentType, "\r\n" + BodiesByType.at(row.contentType)), row.end});
    const http::Response once = rig.send("once", "once", LargeUpload);
    CHECK(once.status == 502);
    CHECK(once.body.find("\"outcome\":\"unknown\"") != std::string::npos);
    CHECK(rig.requests["once"] == 1);
    CHECK(rig.hasBreaks("head", 1));
    const http::Response again = rig.send("again", "again", LargeUpload);
    CHECK(again.status == 200);
    CHECK(again.body == SoundBody);
    CHECK(rig.requests["again"] == 2);
}

TEST_CASE("a part of a stream does not reach a client of a route gateway as the whole", "[edge]")
{
    const auto end = GENERATE(ConnectionEnd::Reset, ConnectionEnd::ResetAfterPause, ConnectionEnd::ClosedUnread, ConnectionEnd::ClosedThenReset);
    const auto hops = GENERATE(as<std::size_t>{}, 1, 2);
    CAPTURE(static_cast<int>(end), hops);
    HopRig rig(hops, RawResponse{earlyResponse("200 OK", "text/event-stream", "\r\n" + events(1, 2)), end});
    CHECK(rig.send("stream", "stream", LargeUpload).status == 0);
    CHECK(rig.requests["stream"] == 1);
    CHECK(rig.hasBreaks("events", 1));
    const http::Response resumed = rig.send("resume", "resume", LargeUpload);
    CHECK(resumed.status == 200);
    CHECK(resumed.body == events(1, EventCount));
    CHECK(rig.requests["resume"] == 2);
}

TEST_CASE("an early response whose upload is read to its end reaches the client of a route gateway", "[edge]")
{
    struct Row
    {
        std::string status;
        unsigned number;
        std::string rest;
    };
    const auto row = GENERATE(values<Row>({
        {"200 OK", 200, "\r\nbody"},
        {"200 OK", 200, withLength("body")},
        {"413 Content Too Large", 413, "\r\nbody"},
        {"401 Unauthorized", 401, withLength("body")},
    }));
    const auto hops = GENERATE(as<std::size_t>{}, 1, 2);
    CAPTURE(row.status, row.rest, hops);
    HopRig rig(hops, RawResponse{earlyResponse(row.status, "text/plain", row.rest)});
    const http::Response once = rig.send("once", "once", LargeUpload);
    CHECK(once.status == row.number);
    CHECK(once.body == "body");
    CHECK(rig.requests["once"] == 1);
}

TEST_CASE("a part of a body does not complete an attempt", "[gateway]")
{
    const auto row = GENERATE(from_range(EndRows));
    const std::string type = GENERATE(as<std::string>{}, "application/octet-stream", "application/json");
    CAPTURE(static_cast<int>(row.end), row.uploadBytes, type);
    AttemptFixture fixture;
    fixture.response = RawResponse{earlyResponse("200 OK", type, "\r\n" + BodiesByType.at(type)), row.end};
    CHECK(fixture.send(row.uploadBytes) == (row.complete ? 200U : 0U));
    CHECK(fixture.lastAttempt.result == (row.complete ? node::AttemptResult::Completed : node::AttemptResult::Incomplete));
}
