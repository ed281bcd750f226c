// Cuts the paths between single instances and the upstreams of a rig.
//
// Instances of a rig share a process and an address, so no address filter can tell them apart. connect() is replaced in the test
// programs: a connection that an instance opens to an upstream leads to a proxy of the rig instead, which knows both ends.
//
//   PathCuts cuts(loop);
//   cuts.addUpstream(port);
//   {
//       const PathCuts::Scope scope(cuts, instance); // connections opened now belong to this instance
//       instanceLoop.poll();
//   }
//   cuts.cut(instance, PathFailure::Hang);

#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace arbutus::tests {

/// What happens to the connections between an instance and all upstreams while the path is cut.
enum class PathFailure {
    Hang,      // nothing arrives; new ones are not established
    Reset,     // all are reset; new ones are refused
    RefuseNew, // open ones live on; new ones are refused
};

class PathCuts
{
public:
    explicit PathCuts(boost::asio::io_context &loop);
    ~PathCuts();
    PathCuts(const PathCuts &) = delete;
    PathCuts &operator=(const PathCuts &) = delete;

    void addUpstream(std::uint16_t port);
    void cut(std::size_t instance, PathFailure failure);
    void heal(std::size_t instance);
    [[nodiscard]] bool isCut(std::size_t instance) const
    {
        return m_cuts.contains(instance);
    }

    /// Connections opened during its lifetime belong to the instance.
    class Scope
    {
    public:
        Scope(PathCuts &cuts, std::size_t instance);
        ~Scope();
        Scope(const Scope &) = delete;
        Scope &operator=(const Scope &) = delete;
    };

    /// Where connect() should lead for an upstream's port; zero: the connection is refused. Nothing if it is not an upstream's.
    [[nodiscard]] std::optional<std::uint16_t> redirect(std::uint16_t port, std::uint16_t localPort);
    [[nodiscard]] bool isUpstream(std::uint16_t port) const
    {
        return m_upstreams.contains(port);
    }

private:
    using Tcp = boost::asio::ip::tcp;
    struct Connection
    {
        std::size_t instance;
        Tcp::socket toInstance;
        Tcp::socket toUpstream;
    };
    struct Target
    {
        std::size_t instance;
        std::uint16_t port;
    };

    boost::asio::awaitable<void> acceptLoop();
    boost::asio::awaitable<void> serve(Tcp::socket socket, Target target);
    boost::asio::awaitable<void> forward(std::shared_ptr<Connection> connection, Tcp::socket &from, Tcp::socket &to);
    boost::asio::awaitable<void> waitUntilPassable(std::size_t instance);
    static void reset(Connection &connection);

    boost::asio::io_context &m_loop;
    Tcp::acceptor m_acceptor;
    Tcp::acceptor m_deadEnd;              // its queue is full, so it answers no further connection
    std::list<Tcp::socket> m_deadEndFill; // connections that fill the queue
    std::set<std::uint16_t> m_upstreams;  // by port
    std::map<std::size_t, PathFailure> m_cuts;
    std::map<std::uint16_t, Target> m_targets; // by the instance's local port
    std::list<std::weak_ptr<Connection>> m_connections;
    std::size_t m_instance = 0; // of the current scope
};

} // namespace arbutus::tests
