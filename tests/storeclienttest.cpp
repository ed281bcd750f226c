// Tests of the platform's store client, and of the client of the key-value service, against a fake server with valid, invalid and
// missing responses.

#include "platform/storeclient.h"
#include "arbutus/metadata/kvclient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <deque>
#include <functional>

using namespace arbutus;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using metadata::StoreError;
using metadata::StoreErrorKind;

namespace {

std::string httpResponse(int status, const std::string &body, const std::string &header = "")
{
    return "HTTP/1.1 " + std::to_string(status) + " x\r\n" + header + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Sends the next scripted response for each request. An empty response means that the server does not respond; a truncated
/// one needs `closeAfterEach`.
class FakeStoreServer
{
public:
    explicit FakeStoreServer(asio::io_context &loop)
        : m_loop(loop)
        , m_acceptor(loop, Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
        asio::co_spawn(loop, acceptLoop(), asio::detached);
    }

    std::deque<std::string> responses;
    std::vector<std::string> requests; // request lines
    bool closeAfterEach = false;

    [[nodiscard]] http::Endpoint endpoint() const
    {
        return http::Endpoint{"127.0.0.1", m_acceptor.local_endpoint().port()};
    }

private:
    asio::awaitable<void> acceptLoop()
    {
        while (true) {
            boost::system::error_code code;
            Tcp::socket socket = co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, code));
            if (code) {
                co_return;
            }
            asio::co_spawn(m_loop, serve(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> serve(Tcp::socket socket)
    {
        asio::streambuf buffer;
        while (true) {
            boost::system::error_code code;
            const std::size_t size = co_await asio::async_read_until(socket, buffer, "\r\n\r\n", asio::redirect_error(asio::use_awaitable, code));
            if (code) {
                co_return;
            }
            const std::string head(asio::buffers_begin(buffer.data()), asio::buffers_begin(buffer.data()) + static_cast<std::ptrdiff_t>(size));
            requests.push_back(head.substr(0, head.find("\r\n")));
            buffer.consume(buffer.size()); // including the part of the body received so far
            if (responses.empty() || responses.front().empty()) {
                asio::steady_timer timer(m_loop, 10s);
                co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, code));
                co_return;
            }
            const std::string text = responses.front();
            responses.pop_front();
            co_await asio::async_write(socket, asio::buffer(text), asio::redirect_error(asio::use_awaitable, code));
            if (closeAfterEach) {
                co_return;
            }
        }
    }

    asio::io_context &m_loop;
    Tcp::acceptor m_acceptor;
};

struct Fixture
{
    asio::io_context loop{1};
    FakeStoreServer server{loop};
    platform::StoreClient client{loop.get_executor(), platform::StoreClientSettings{server.endpoint(), 200ms, 100ms}};

    template<class T>
    T run(asio::awaitable<T> operation)
    {
        std::optional<T> result;
        const auto store = [](asio::awaitable<T> awaited, std::optional<T> &out) -> asio::awaitable<void> {
            auto value = co_await std::move(awaited);
            out.emplace(std::move(value));
        };
        asio::co_spawn(loop, store(std::move(operation), result), asio::detached);
        while (!result) {
            loop.run_one();
        }
        return std::move(*result);
    }
};

} // namespace

TEST_CASE("watch: result for each response of the store", "[store]")
{
    struct Row
    {
        const char *name;
        std::string response;
        bool closesConnection; // the server closes the connection after the response
        std::optional<StoreErrorKind> errorKind;
    };
    const auto row = GENERATE(values<Row>({
        {"no changes", httpResponse(200, R"({"store_revision":7,"events":[]})"), false, std::nullopt},
        {"rate limited", httpResponse(429, "{}"), false, StoreErrorKind::Overloaded},
        {"unavailable", httpResponse(503, "{}"), false, StoreErrorKind::Overloaded},
        {"history compacted", httpResponse(410, "{}"), false, StoreErrorKind::HistoryCompacted},
        {"unexpected status", httpResponse(500, "{}"), false, StoreErrorKind::Malformed},
        {"body is not JSON", httpResponse(200, "store_revision 7"), false, StoreErrorKind::Malformed},
        {"JSON body is not an object", httpResponse(200, "[7]"), false, StoreErrorKind::Malformed},
        {"missing field", httpResponse(200, R"({"events":[]})"), false, StoreErrorKind::Malformed},
        {"field of the wrong type", httpResponse(200, R"({"store_revision":"seven","events":[]})"), false, StoreErrorKind::Malformed},
        {"change without a key", httpResponse(200, R"({"store_revision":7,"events":[{"revision":7}]})"), false, StoreErrorKind::Malformed},
        {"body shorter than Content-Length", "HTTP/1.1 200 x\r\nContent-Length: 400\r\n\r\n{\"store_revision\":7", true, StoreErrorKind::Unreachable},
        {"neither length nor chunks", "HTTP/1.1 200 x\r\n\r\n{\"store_revision\":7,\"events\":[]}", true, std::nullopt},
        {"neither length nor chunks, cut off", "HTTP/1.1 200 x\r\n\r\n{\"store_revision\":7,\"events\":[]", true, StoreErrorKind::Malformed},
        {"not an HTTP response", "store\r\n\r\n", true, StoreErrorKind::Unreachable},
        {"no response", "", false, StoreErrorKind::Unreachable},
    }));
    CAPTURE(row.name);
    Fixture fixture;
    fixture.server.closeAfterEach = row.closesConnection;
    fixture.server.responses = {row.response, row.response}; // a read may be retried once
    const auto changes = fixture.run(fixture.client.watch("", metadata::StoreRevision(6), 100ms));
    REQUIRE(changes.has_value() == !row.errorKind.has_value());
    if (row.errorKind) {
        CHECK(changes.error().kind == *row.errorKind);
        CHECK_FALSE(changes.error().message.empty());
    } else {
        CHECK(changes.value().position.revision.value == 7);
    }
}

TEST_CASE("watch reports changes and removals, and an empty value for invalid base64", "[store]")
{
    Fixture fixture;
    fixture.server.responses = {httpResponse(200,
                                             R"({"store_revision":9,"events":[{"key":"a","value":"YjE=","revision":8},{"key":"b","revision":9,"deleted":true},)"
                                             R"({"key":"c","value":"%%","revision":9}]})")};
    const auto changes = fixture.run(fixture.client.watch("", metadata::StoreRevision(6), 100ms));
    REQUIRE(changes.has_value());
    REQUIRE(changes.value().changes.size() == 3);
    CHECK(changes.value().changes[0].item.value == "b1");
    CHECK(changes.value().changes[1].removed);
    CHECK(changes.value().changes[2].item.value.empty()); // rejected later by the parser of the value, which knows the key
}

TEST_CASE("an item that cannot be read leaves the other items of a range in place", "[store]")
{
    struct Row
    {
        std::string item;
        bool kept; // without what cannot be read
        std::string reason;
    };
    const auto row = GENERATE(values<Row>({
        {R"({"value":"YQ==","revision":3})", false, "without a key"},
        {R"({"key":7,"value":"YQ==","revision":3})", false, "without a key"},
        {R"({"key":null,"value":"YQ==","revision":3})", false, "without a key"},
        {R"([])", false, "without a key"},
        {R"(7)", false, "without a key"},
        {R"({"key":"k/b","value":"YQ=="})", true, "k/b: the revision"},
        {R"({"key":"k/b","value":"YQ==","revision":-3})", true, "k/b: the revision"},
        {R"({"key":"k/b","value":"YQ==","revision":"3"})", true, "k/b: the revision"},
        {R"({"key":"k/b","value":"YQ==","revision":1e300})", true, "k/b: the revision"},
        {R"({"key":"k/b","value":"%%","revision":3})", true, "k/b: the value"},
        {R"({"key":"k/b","value":"Y=Q=","revision":3})", true, "k/b: the value"},
        {R"({"key":"k/b","value":"====","revision":3})", true, "k/b: the value"},
        {R"({"key":"k/b","value":"    ","revision":3})", true, "k/b: the value"},
        {R"({"key":"k/b","value":"  YQ==  ","revision":3})", true, "k/b: the value"},
        {R"({"key":"k/b","value":"\u0000Q==","revision":3})", true, "k/b: the value"},
        {R"({"key":"k/b","value":7,"revision":3})", true, "k/b: the value"},
        {R"({"key":"k/b","value":null,"revision":3})", true, "k/b: the value"},
        {R"({"key":"k/b","value":{"a":[]},"revision":3})", true, "k/b: the value"},
    }));
    CAPTURE(row.item);
    Fixture fixture;
    fixture.server.responses = {httpResponse(200,
                                             R"({"store_revision":5,"items":[{"key":"k/a","value":"YQ==","revision":3},)" + row.item
                                                 + R"(,{"key":"k/c","value":"Yw==","revision":3}],"has_more":false})")};
    const auto range = fixture.run(fixture.client.range("k/", metadata::ReadConsistency::Linearizable));
    REQUIRE(range.has_value());
    const auto &items = range.value().items;
    REQUIRE(items.size() == (row.kept ? 3 : 2));
    CHECK(items.front().value == "a");
    CHECK(items.back().value == "c");
    CHECK((!row.kept || items[1].value.empty() || items[1].value == "a"));
    REQUIRE(range.value().invalidItems.size() == 1);
    CHECK(range.value().invalidItems.front().find(row.reason) != std::string::npos);
}

TEST_CASE("a change that cannot be read leaves the other changes in place", "[store]")
{
    struct Row
    {
        std::string change;
        std::size_t invalidParts;
        bool removed;
    };
    const auto row = GENERATE(values<Row>({
        {R"({"key":"b","value":7,"revision":8})", 1, false},
        {R"({"key":"b","value":"YQ","revision":8})", 1, false},
        {R"({"key":"b","value":"YQ==","revision":-8})", 1, false},
        {R"({"key":"b","revision":8})", 1, false},
        {R"({"key":"b","revision":8,"deleted":"true"})", 1, false},
        {R"({"key":"b","revision":8,"deleted":1})", 1, false},
        {R"({"key":"b","revision":"8","deleted":[]})", 2, false},
        {R"({"key":"b","revision":"8","deleted":true})", 1, true},
    }));
    CAPTURE(row.change);
    Fixture fixture;
    fixture.server.responses = {httpResponse(200, R"({"store_revision":9,"events":[)" + row.change + R"(,{"key":"c","value":"Yw==","revision":9}]})")};
    const auto changes = fixture.run(fixture.client.watch("", metadata::StoreRevision(6), 100ms));
    REQUIRE(changes.has_value());
    REQUIRE(changes.value().changes.size() == 2);
    CHECK(changes.value().changes.front().removed == row.removed);
    CHECK(changes.value().changes.back().item.value == "c");
    CHECK(changes.value().invalidItems.size() == row.invalidParts);
}

TEST_CASE("a range whose pages do not go on fails, and one with an item without a key at the end of a page goes on", "[store]")
{
    struct Row
    {
        std::string secondPage;
        std::size_t requests;
        std::optional<std::size_t> items; // nothing: the call fails
    };
    const auto row = GENERATE(values<Row>({
        {R"({"store_revision":5,"items":[],"has_more":true})", 2, std::nullopt},
        {R"({"store_revision":5,"items":[{"key":"k/a","value":"YQ==","revision":3}],"has_more":true})", 2, std::nullopt},
        {R"({"store_revision":5,"items":[{"value":"YQ==","revision":3}],"has_more":true})", 2, std::nullopt},
        {R"({"store_revision":5,"items":[{"key":"k/b","value":"YQ==","revision":3},{"value":"YQ=="}],"has_more":true})", 3, 3},
        {R"({"store_revision":5,"items":[],"has_more":7})", 2, std::nullopt},
        {R"({"store_revision":5,"items":{},"has_more":false})", 2, std::nullopt},
    }));
    CAPTURE(row.secondPage);
    Fixture fixture;
    fixture.server.responses = {httpResponse(200, R"({"store_revision":5,"items":[{"key":"k/a","value":"YQ==","revision":3}],"has_more":true})"),
                                httpResponse(200, row.secondPage),
                                httpResponse(200, R"({"store_revision":6,"items":[{"key":"k/c","value":"YQ==","revision":6}],"has_more":false})")};
    const auto range = fixture.run(fixture.client.range("k/", metadata::ReadConsistency::Linearizable));
    REQUIRE(range.has_value() == row.items.has_value());
    CHECK(fixture.server.requests.size() == row.requests);
    if (row.items) {
        CHECK(range.value().items.size() == *row.items);
    } else {
        CHECK(range.error().kind == StoreErrorKind::Malformed);
    }
}

TEST_CASE("numbers out of range in a response of the store fail the call", "[store]")
{
    const auto revision = GENERATE(as<std::string>{}, "-1", "\"7\"", "7.5", "1e300", "18446744073709551615", "null");
    CAPTURE(revision);
    Fixture fixture;
    fixture.server.responses = {httpResponse(200, R"({"events":[],"store_revision":)" + revision + "}")};
    const auto changes = fixture.run(fixture.client.watch("", metadata::StoreRevision(6), 100ms));
    REQUIRE_FALSE(changes.has_value());
    CHECK(changes.error().kind == StoreErrorKind::Malformed);
    fixture.server.responses = {httpResponse(200, R"({"ttl_ms":5000,"lease":)" + (revision == "18446744073709551615" ? "0" : revision) + "}")};
    const auto lease = fixture.run(fixture.client.grantLease(5s));
    REQUIRE_FALSE(lease.has_value());
    CHECK(lease.error().kind == StoreErrorKind::Malformed);
}

TEST_CASE("a paged range has the revision of its first page", "[store]")
{
    Fixture fixture;
    fixture.server.responses = {httpResponse(200, R"({"store_revision":5,"items":[{"key":"k/a b","value":"YQ==","revision":3}],"has_more":true})"),
                                httpResponse(200, R"({"store_revision":8,"items":[{"key":"k/c","value":"Yg==","revision":7}],"has_more":false})")};
    const auto range = fixture.run(fixture.client.range("k/", metadata::ReadConsistency::Serializable));
    REQUIRE(range.has_value());
    CHECK(range.value().items.size() == 2);
    CHECK(range.value().position.revision.value == 5);
    REQUIRE(fixture.server.requests.size() == 2);
    CHECK(fixture.server.requests[0].find("serializable=1") != std::string::npos);
    CHECK(fixture.server.requests[1].find("after=k%2Fa%20b") != std::string::npos);
}

TEST_CASE("the generation of the store is taken from every response", "[store]")
{
    struct Row
    {
        const char *name;
        int status;
        std::string header;
        std::uint64_t generation;
        std::optional<StoreErrorKind> errorKind;
    };
    const auto row = GENERATE(values<Row>({
        {"stated", 200, "Store-Era: 3\r\n", 3, std::nullopt},
        {"not stated", 200, "", 0, std::nullopt},
        {"in an error", 410, "Store-Era: 3\r\n", 3, StoreErrorKind::HistoryCompacted},
        {"not in an error", 410, "", 0, StoreErrorKind::HistoryCompacted},
        {"no number, in an error", 410, "Store-Era: x\r\n", 0, StoreErrorKind::HistoryCompacted},
        {"no number", 200, "Store-Era: third\r\n", 0, StoreErrorKind::Malformed},
        {"empty", 200, "Store-Era: \r\n", 0, StoreErrorKind::Malformed},
        {"zero", 200, "Store-Era: 0\r\n", 0, StoreErrorKind::Malformed},
        {"negative", 200, "Store-Era: -3\r\n", 0, StoreErrorKind::Malformed},
        {"too large", 200, "Store-Era: 18446744073709551616\r\n", 0, StoreErrorKind::Malformed},
        {"a number and more", 200, "Store-Era: 3, 4\r\n", 0, StoreErrorKind::Malformed},
    }));
    CAPTURE(row.name);
    const metadata::StoreGeneration generation(row.generation);
    Fixture fixture;
    fixture.server.responses = {httpResponse(row.status, R"({"store_revision":7,"events":[]})", row.header),
                                httpResponse(row.status, R"({"store_revision":7,"items":[],"has_more":false})", row.header),
                                httpResponse(row.status, R"({"revision":7})", row.header),
                                httpResponse(row.status, R"({"lease":4})", row.header),
                                httpResponse(row.status, "{}", row.header)};
    const auto check = [&](const auto &result, auto generationOf) {
        REQUIRE(result.has_value() == !row.errorKind.has_value());
        if (row.errorKind) {
            CHECK(result.error().kind == *row.errorKind);
            CHECK(result.error().generation == generation);
        } else {
            CHECK(generationOf(result.value()) == generation);
        }
    };
    const auto ofPosition = [](const auto &result) { return result.position.generation; };
    check(fixture.run(fixture.client.watch("", metadata::StoreRevision(6), 100ms)), ofPosition);
    check(fixture.run(fixture.client.range("", metadata::ReadConsistency::Linearizable)), ofPosition);
    check(fixture.run(fixture.client.put("k", "v", metadata::LeaseId("4"))), [](const metadata::StorePosition &at) { return at.generation; });
    check(fixture.run(fixture.client.grantLease(5s)), [](const metadata::LeaseGrant &grant) { return grant.generation; });
    check(fixture.run(fixture.client.keepLeaseAlive(metadata::LeaseId("4"))), [](metadata::StoreGeneration stated) { return stated; });
}

TEST_CASE("a range whose pages come from two generations is read again from its begin", "[store]")
{
    const std::string first = R"({"store_revision":5,"items":[{"key":"a","value":"YQ==","revision":3}],"has_more":true})";
    const std::string second = R"({"store_revision":8,"items":[{"key":"b","value":"Yg==","revision":7}],"has_more":false})";
    const auto page = [](const std::string &body, int generation) { return httpResponse(200, body, "Store-Era: " + std::to_string(generation) + "\r\n"); };
    Fixture fixture;
    SECTION("once")
    {
        fixture.server.responses = {page(first, 1), page(second, 2), page(first, 2), page(second, 2)};
        const auto range = fixture.run(fixture.client.range("", metadata::ReadConsistency::Linearizable));
        REQUIRE(range.has_value());
        CHECK(range.value().position.generation == metadata::StoreGeneration(2));
        CHECK(range.value().items.size() == 2);
    }
    SECTION("again and again")
    {
        for (int generation = 1; generation < 20; generation += 2) {
            fixture.server.responses.push_back(page(first, generation));
            fixture.server.responses.push_back(page(second, generation + 1));
        }
        CHECK_FALSE(fixture.run(fixture.client.range("", metadata::ReadConsistency::Linearizable)).has_value());
        CHECK(fixture.server.requests.size() <= 6); // MaxRangeReads, two pages each
    }
}

TEST_CASE("a failed write reports whether it may have been applied and is not retried", "[store]")
{
    struct Row
    {
        const char *name;
        std::string response;
        bool closesConnection;
        StoreError::WriteEffect effect;
    };
    const auto row = GENERATE(values<Row>({
        {"no response", "", false, StoreError::WriteEffect::Unknown},
        {"connection closed within the response", "HTTP/1.1 200 x\r\nContent-Length: 40\r\n\r\n{", true, StoreError::WriteEffect::Unknown},
        {"invalid response body", httpResponse(200, "?"), false, StoreError::WriteEffect::Unknown},
        {"cut off before the body", "HTTP/1.1 200 x\r\n\r\n", true, StoreError::WriteEffect::Unknown},
        {"cut off inside the body", "HTTP/1.1 200 x\r\n\r\n{\"revision\":1", true, StoreError::WriteEffect::Unknown},
        {"rate limited", httpResponse(429, "{}"), false, StoreError::WriteEffect::None},
        {"precondition failed", httpResponse(412, "{}"), false, StoreError::WriteEffect::None},
        {"internal server error", httpResponse(500, "{}"), false, StoreError::WriteEffect::Unknown},
    }));
    CAPTURE(row.name);
    Fixture fixture;
    fixture.server.closeAfterEach = row.closesConnection;
    fixture.server.responses = {row.response, row.response};
    const auto write = fixture.run(fixture.client.put("k", "v", metadata::LeaseId("4")));
    REQUIRE_FALSE(write.has_value());
    CHECK(write.error().writeEffect == row.effect);
    CHECK(fixture.server.requests.size() == 1);
}

TEST_CASE("a lease renewal whose response was cut off is not confirmed", "[store]")
{
    struct Row
    {
        std::string response;
        bool confirmed;
    };
    const auto row = GENERATE(values<Row>({
        {httpResponse(200, ""), true},
        {"HTTP/1.1 200 x\r\n\r\n{}", true},
        {"HTTP/1.1 200 x\r\n\r\n", false},
        {"HTTP/1.1 200 x\r\n\r\n{", false},
    }));
    CAPTURE(row.response);
    Fixture fixture;
    fixture.server.closeAfterEach = true;
    fixture.server.responses = {row.response};
    CHECK(fixture.run(fixture.client.keepLeaseAlive(metadata::LeaseId("4"))).has_value() == row.confirmed);
}

TEST_CASE("the key-value service's answer to a transaction is read back if it tells no result", "[kv]")
{
    const auto answer = GENERATE(as<std::string>{},
                                 "{}",
                                 R"({"succeeded":false})",
                                 R"({"succeeded":false,"responses":[]})",
                                 R"({"succeeded":false,"responses":[7]})",
                                 R"({"succeeded":false,"responses":[[]]})",
                                 R"({"succeeded":false,"responses":[null]})",
                                 R"({"succeeded":false,"responses":[{"response_range":7}]})",
                                 R"({"succeeded":false,"responses":[{"response_range":{"kvs":[7]}}]})",
                                 R"({"succeeded":"true","responses":{}})");
    CAPTURE(answer);
    Fixture fixture;
    fixture.server.closeAfterEach = true;
    fixture.server.responses = {httpResponse(200, answer),
                                httpResponse(200, R"({"header":{"revision":"4"},"kvs":[{"key":"aw==","value":"b3RoZXI=","mod_revision":"3"}]})")};
    metadata::KvClient client(fixture.loop.get_executor(), {fixture.server.endpoint()}, "d");
    const auto created = fixture.run(client.create("k", "v"));
    REQUIRE(created.has_value());
    CHECK_FALSE(created.value().created);
    CHECK(created.value().existingValue == "other");
    CHECK(fixture.server.requests.size() == 2);
}

TEST_CASE("a message of the key-value service that cannot be read ends the watch with an error", "[kv]")
{
    struct Row
    {
        std::string line;
        bool failed;
    };
    const auto row = GENERATE(values<Row>({
        {R"({"result":{"events":[]}})", false},
        {R"({"result":{}})", false},
        {R"({"result":{"events":[{"type":"DELETE","kv":{"key":"aw=="}}]}})", false},
        {R"({"result":{"events":[7]}})", true},
        {R"({"result":{"events":[[]]}})", true},
        {R"({"result":{"events":[null]}})", true},
        {"[]", true},
        {"\xff", true},
        {std::string(100'000, '['), true},
    }));
    CAPTURE(row.line.substr(0, 60));
    Fixture fixture;
    fixture.server.closeAfterEach = true;
    const std::string put = R"({"result":{"events":[{"kv":{"key":"aw==","value":"dg==","mod_revision":"3"}}]}})"
                            "\n";
    fixture.server.responses = {httpResponse(200, put + row.line + "\n" + put)};
    metadata::KvClient client(fixture.loop.get_executor(), {fixture.server.endpoint()}, "d");
    std::vector<std::string> values;
    const auto watched = fixture.run(client.watch(
        "k", "l", 1, [&](const metadata::KvPair &pair) { values.push_back(pair.value); }, [] { return false; }));
    CHECK(watched.has_value() == !row.failed);
    CHECK(values == std::vector<std::string>(row.failed ? 1 : 2, "v"));
}

TEST_CASE("errors for an expired lease and an unreachable store", "[store]")
{
    Fixture fixture;
    fixture.server.responses = {httpResponse(404, "{}")};
    const auto keepAlive = fixture.run(fixture.client.keepLeaseAlive(metadata::LeaseId("4")));
    REQUIRE_FALSE(keepAlive.has_value());
    CHECK(keepAlive.error().kind == StoreErrorKind::LeaseNotFound);
    Tcp::acceptor closed(fixture.loop, Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    const http::Endpoint unusedEndpoint{"127.0.0.1", closed.local_endpoint().port()};
    closed.close();
    platform::StoreClient unreachableClient(fixture.loop.get_executor(), platform::StoreClientSettings{unusedEndpoint, 200ms, 100ms});
    const auto grant = fixture.run(unreachableClient.grantLease(5s));
    REQUIRE_FALSE(grant.has_value());
    CHECK(grant.error().kind == StoreErrorKind::Unreachable);
    CHECK(grant.error().writeEffect == StoreError::WriteEffect::None);
}
