// The platform's store client against a server that answers in every way a store may.

#include "platform/storeclient.h"

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

std::string answer(int status, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " x\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Answers each request on one connection with the next of its texts. An empty text is no answer; one that ends early is
/// followed by the end of the connection.
class FakeStoreServer
{
public:
    explicit FakeStoreServer(asio::io_context &loop)
        : m_loop(loop)
        , m_acceptor(loop, Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
        asio::co_spawn(loop, acceptLoop(), asio::detached);
    }

    std::deque<std::string> answers;
    std::vector<std::string> requests; // first lines
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
            buffer.consume(buffer.size()); // the body with it, as far as it has come
            if (answers.empty() || answers.front().empty()) {
                asio::steady_timer timer(m_loop, 10s);
                co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, code));
                co_return;
            }
            const std::string text = answers.front();
            answers.pop_front();
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
    T run(asio::awaitable<T> work)
    {
        std::optional<T> result;
        asio::co_spawn(
            loop,
            [&result](asio::awaitable<T> inner) -> asio::awaitable<void> {
                auto value = co_await std::move(inner);
                result.emplace(std::move(value));
            }(std::move(work)),
            asio::detached);
        while (!result) {
            loop.run_one();
        }
        return std::move(*result);
    }
};

} // namespace

TEST_CASE("what a store's answer to a watch means", "[store]")
{
    struct Row
    {
        const char *name;
        std::string answer;
        bool closes; // the server, after the answer
        std::optional<StoreErrorKind> fault;
    };
    const auto row = GENERATE(values<Row>({
        {"nothing has changed", answer(200, R"({"store_revision":7,"events":[]})"), false, std::nullopt},
        {"over the rate", answer(429, "{}"), false, StoreErrorKind::Overloaded},
        {"down", answer(503, "{}"), false, StoreErrorKind::Overloaded},
        {"its history begins later", answer(410, "{}"), false, StoreErrorKind::HistoryGone},
        {"a status of no meaning", answer(500, "{}"), false, StoreErrorKind::Malformed},
        {"not JSON", answer(200, "store_revision 7"), false, StoreErrorKind::Malformed},
        {"JSON that is no object", answer(200, "[7]"), false, StoreErrorKind::Malformed},
        {"a field is missing", answer(200, R"({"events":[]})"), false, StoreErrorKind::Malformed},
        {"a field is of another type", answer(200, R"({"store_revision":"seven","events":[]})"), false, StoreErrorKind::Malformed},
        {"a change without a key", answer(200, R"({"store_revision":7,"events":[{"revision":7}]})"), false, StoreErrorKind::Malformed},
        {"shorter than its length", "HTTP/1.1 200 x\r\nContent-Length: 400\r\n\r\n{\"store_revision\":7", true, StoreErrorKind::Unreachable},
        {"no HTTP", "store\r\n\r\n", true, StoreErrorKind::Unreachable},
        {"silence", "", false, StoreErrorKind::Unreachable},
    }));
    CAPTURE(row.name);
    Fixture fixture;
    fixture.server.closeAfterEach = row.closes;
    fixture.server.answers = {row.answer, row.answer}; // a read may be sent once more
    const auto changes = fixture.run(fixture.client.watch("", metadata::StoreRevision(6), 100ms));
    REQUIRE(changes.has_value() == !row.fault.has_value());
    if (row.fault) {
        CHECK(changes.error().kind == *row.fault);
        CHECK_FALSE(changes.error().message.empty());
    } else {
        CHECK(changes.value().revision.value == 7);
    }
}

TEST_CASE("changes and removals, and a value that cannot be read", "[store]")
{
    Fixture fixture;
    fixture.server.answers = {answer(200,
                                     R"({"store_revision":9,"events":[{"key":"a","value":"YjE=","revision":8},{"key":"b","revision":9,"deleted":true},)"
                                     R"({"key":"c","value":"%%","revision":9}]})")};
    const auto changes = fixture.run(fixture.client.watch("", metadata::StoreRevision(6), 100ms));
    REQUIRE(changes.has_value());
    REQUIRE(changes.value().changes.size() == 3);
    CHECK(changes.value().changes[0].item.value == "b1");
    CHECK(changes.value().changes[1].removed);
    CHECK(changes.value().changes[2].item.value.empty()); // whoever decodes it refuses it, with its key
}

TEST_CASE("a range of several pages is as old as its first page", "[store]")
{
    Fixture fixture;
    fixture.server.answers = {answer(200, R"({"store_revision":5,"items":[{"key":"k/a b","value":"YQ==","revision":3}],"has_more":true})"),
                              answer(200, R"({"store_revision":8,"items":[{"key":"k/c","value":"Yg==","revision":7}],"has_more":false})")};
    const auto range = fixture.run(fixture.client.range("k/", metadata::ReadConsistency::Serializable));
    REQUIRE(range.has_value());
    CHECK(range.value().items.size() == 2);
    CHECK(range.value().revision.value == 5);
    REQUIRE(fixture.server.requests.size() == 2);
    CHECK(fixture.server.requests[0].find("serializable=1") != std::string::npos);
    CHECK(fixture.server.requests[1].find("after=k%2Fa%20b") != std::string::npos);
}

TEST_CASE("a write whose answer is lost may have taken effect, and is not sent again by the client", "[store]")
{
    struct Row
    {
        const char *name;
        std::string answer;
        bool closes;
        StoreError::WriteEffect effect;
    };
    const auto row = GENERATE(values<Row>({
        {"silence", "", false, StoreError::WriteEffect::Unknown},
        {"the connection ends in the answer", "HTTP/1.1 200 x\r\nContent-Length: 40\r\n\r\n{", true, StoreError::WriteEffect::Unknown},
        {"an answer that cannot be read", answer(200, "?"), false, StoreError::WriteEffect::Unknown},
        {"refused", answer(429, "{}"), false, StoreError::WriteEffect::None},
        {"a condition did not hold", answer(412, "{}"), false, StoreError::WriteEffect::None},
        {"a failure of its own", answer(500, "{}"), false, StoreError::WriteEffect::Unknown},
    }));
    CAPTURE(row.name);
    Fixture fixture;
    fixture.server.closeAfterEach = row.closes;
    fixture.server.answers = {row.answer, row.answer};
    const auto written = fixture.run(fixture.client.put("k", "v", metadata::LeaseId("4")));
    REQUIRE_FALSE(written.has_value());
    CHECK(written.error().writeEffect == row.effect);
    CHECK(fixture.server.requests.size() == 1);
}

TEST_CASE("a lease that has ended, and a store where nobody listens", "[store]")
{
    Fixture fixture;
    fixture.server.answers = {answer(404, "{}")};
    const auto kept = fixture.run(fixture.client.keepLeaseAlive(metadata::LeaseId("4")));
    REQUIRE_FALSE(kept.has_value());
    CHECK(kept.error().kind == StoreErrorKind::LeaseGone);
    Tcp::acceptor closed(fixture.loop, Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    const http::Endpoint nobody{"127.0.0.1", closed.local_endpoint().port()};
    closed.close();
    platform::StoreClient other(fixture.loop.get_executor(), platform::StoreClientSettings{nobody, 200ms, 100ms});
    const auto granted = fixture.run(other.grantLease(5s));
    REQUIRE_FALSE(granted.has_value());
    CHECK(granted.error().kind == StoreErrorKind::Unreachable);
    CHECK(granted.error().writeEffect == StoreError::WriteEffect::None);
}
