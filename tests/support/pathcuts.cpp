// The proxy, and the replacement of connect().

#include "support/pathcuts.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>

namespace arbutus::tests {

namespace asio = boost::asio;
using ErrorCode = boost::system::error_code;
using namespace std::chrono_literals;

namespace {

PathCuts *activeCuts = nullptr; // of the current scope; tests run on one thread

asio::ip::tcp::endpoint loopback(std::uint16_t port)
{
    return {asio::ip::address_v4::loopback(), port};
}

} // namespace

PathCuts::Scope::Scope(PathCuts &cuts, std::size_t instance)
{
    cuts.m_instance = instance;
    activeCuts = &cuts;
}

PathCuts::Scope::~Scope()
{
    activeCuts = nullptr;
}

PathCuts::PathCuts(asio::io_context &loop)
    : m_loop(loop)
    , m_acceptor(loop, loopback(0))
    , m_deadEnd(loop, Tcp::v4())
{
    m_deadEnd.bind(loopback(0));
    m_deadEnd.listen(0);
    constexpr int FillCount = 3; // the kernel queues one more than it is told
    for (int i = 0; i < FillCount; ++i) {
        m_deadEndFill.emplace_back(loop, Tcp::v4());
        m_deadEndFill.back().non_blocking(true);
        const Tcp::endpoint target = m_deadEnd.local_endpoint();
        (void)::connect(m_deadEndFill.back().native_handle(), target.data(), static_cast<socklen_t>(target.size())); // does not wait
    }
    asio::co_spawn(m_loop, acceptLoop(), asio::detached);
}

PathCuts::~PathCuts() = default;

void PathCuts::addUpstream(std::uint16_t port)
{
    m_upstreams.insert(port);
}

void PathCuts::cut(std::size_t instance, PathFailure failure)
{
    m_cuts[instance] = failure;
    if (failure != PathFailure::Reset) {
        return;
    }
    for (const auto &weak : m_connections) {
        const auto connection = weak.lock();
        if (connection && connection->instance == instance) {
            reset(*connection);
        }
    }
}

void PathCuts::heal(std::size_t instance)
{
    m_cuts.erase(instance);
}

std::optional<std::uint16_t> PathCuts::redirect(std::uint16_t port, std::uint16_t localPort)
{
    if (!m_upstreams.contains(port)) {
        return std::nullopt;
    }
    const auto found = m_cuts.find(m_instance);
    if (found != m_cuts.end()) {
        return found->second == PathFailure::Hang ? m_deadEnd.local_endpoint().port() : 0;
    }
    m_targets[localPort] = Target{m_instance, port};
    return m_acceptor.local_endpoint().port();
}

void PathCuts::reset(Connection &connection)
{
    for (Tcp::socket *socket : {&connection.toInstance, &connection.toUpstream}) {
        ErrorCode code;
        socket->set_option(asio::socket_base::linger(true, 0), code);
        socket->close(code);
    }
}

asio::awaitable<void> PathCuts::acceptLoop()
{
    while (true) {
        ErrorCode code;
        Tcp::socket socket(m_loop);
        co_await m_acceptor.async_accept(socket, asio::redirect_error(asio::use_awaitable, code));
        if (code) {
            co_return;
        }
        const auto target = m_targets.find(socket.remote_endpoint(code).port());
        if (!code && target != m_targets.end()) {
            asio::co_spawn(m_loop, serve(std::move(socket), target->second), asio::detached);
        }
    }
}

asio::awaitable<void> PathCuts::waitUntilPassable(std::size_t instance)
{
    constexpr auto PollPeriod = 5ms;
    asio::steady_timer timer(m_loop);
    for (auto found = m_cuts.find(instance); found != m_cuts.end() && found->second == PathFailure::Hang; found = m_cuts.find(instance)) {
        timer.expires_after(PollPeriod);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<void> PathCuts::serve(Tcp::socket socket, Target target)
{
    const auto connection = std::make_shared<Connection>(Connection{target.instance, std::move(socket), Tcp::socket(m_loop)});
    ErrorCode code;
    co_await connection->toUpstream.async_connect(loopback(target.port), asio::redirect_error(asio::use_awaitable, code));
    if (code) {
        reset(*connection);
        co_return;
    }
    std::erase_if(m_connections, [](const auto &weak) { return weak.expired(); });
    m_connections.push_back(connection);
    asio::co_spawn(m_loop, forward(connection, connection->toInstance, connection->toUpstream), asio::detached);
    asio::co_spawn(m_loop, forward(connection, connection->toUpstream, connection->toInstance), asio::detached);
}

asio::awaitable<void> PathCuts::forward(std::shared_ptr<Connection> connection, Tcp::socket &from, Tcp::socket &to)
{
    constexpr std::size_t BufferBytes = 4096;
    std::array<char, BufferBytes> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init)
    ErrorCode code;
    while (!code) {
        const std::size_t size = co_await from.async_read_some(asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, code));
        co_await waitUntilPassable(connection->instance);
        if (!code) {
            co_await asio::async_write(to, asio::buffer(buffer, size), asio::redirect_error(asio::use_awaitable, code));
        }
    }
    if (code != asio::error::eof) {
        reset(*connection);
        co_return;
    }
    ErrorCode ignored; // the other direction may have closed them
    connection->toInstance.close(ignored);
    connection->toUpstream.close(ignored);
}

} // namespace arbutus::tests

/// Leads connections of a rig's instance to upstreams through the rig's proxy; all others go where they should.
extern "C" int connect(int descriptor, const sockaddr *address, socklen_t size) // NOLINT(readability-inconsistent-declaration-parameter-name)
{
    const auto connectTo = [&](const sockaddr *target, socklen_t targetSize) {
        return static_cast<int>(::syscall(SYS_connect, descriptor, target, targetSize)); // NOLINT(cppcoreguidelines-pro-type-vararg)
    };
    using arbutus::tests::activeCuts;
    sockaddr_in target{};
    if (activeCuts == nullptr || address->sa_family != AF_INET || size < sizeof target) {
        return connectTo(address, size);
    }
    std::memcpy(&target, address, sizeof target);
    if (!activeCuts->isUpstream(ntohs(target.sin_port))) {
        return connectTo(address, size);
    }
    sockaddr_in local{};
    local.sin_family = AF_INET;
    local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t localSize = sizeof local;
    auto *localAddress = reinterpret_cast<sockaddr *>(&local); // NOLINT(cppcoreguidelines-pro-type-reinterpret-cast)
    if (::bind(descriptor, localAddress, localSize) != 0 || ::getsockname(descriptor, localAddress, &localSize) != 0) {
        return -1;
    }
    const std::uint16_t port = activeCuts->redirect(ntohs(target.sin_port), ntohs(local.sin_port)).value_or(0);
    if (port == 0) {
        errno = ECONNREFUSED;
        return -1;
    }
    target.sin_port = htons(port);
    return connectTo(reinterpret_cast<const sockaddr *>(&target), sizeof target); // NOLINT(cppcoreguidelines-pro-type-reinterpret-cast)
}
