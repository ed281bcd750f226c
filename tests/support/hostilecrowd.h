// Clients that keep to no limit: each sends some bytes, and then others again and again, on a connection that it keeps open.
//
//   HostileCrowd crowd(endpoint, CrowdOptions{.size = 24, .first = head, .repeated = "X: x\r\n"});
//   crowd.run([&] { return !gateway.isAlive(); });
//   CHECK(crowd.openCount() == 0); // all have been closed by the server
//
// run() returns when each client has sent all that it may or its connection has been closed, or when the server takes nothing more. If
// they send nothing again and again, it returns when the server has answered nothing for a while.

#pragma once

#include "arbutus/http/message.h"

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace arbutus::tests {

struct CrowdOptions
{
    std::size_t size = 24;
    std::string first = {};
    std::string repeated = {};                           // empty: nothing is sent after `first`
    std::size_t maxBytes = std::size_t(8) * 1024 * 1024; // of each client
    bool reads = true;                                   // what the server answers
};

class HostileCrowd
{
public:
    HostileCrowd(const http::Endpoint &endpoint, CrowdOptions options);
    HostileCrowd(const HostileCrowd &) = delete;
    HostileCrowd &operator=(const HostileCrowd &) = delete;
    ~HostileCrowd();

    /// `isOver` is asked again and again, and ends it early.
    void run(const std::function<bool()> &isOver);
    /// Clients whose connection the server has not closed.
    [[nodiscard]] std::size_t openCount() const;
    /// Clients that have received an answer with this status first.
    [[nodiscard]] std::size_t statusCount(const std::string &status) const;

private:
    struct Client
    {
        int socket = -1;
        std::size_t sentBytes = 0;
        std::string received = {}; // begin of it
        bool isClosed = false;     // by the server
    };

    bool send(Client &client) const;
    bool receive(Client &client) const;
    [[nodiscard]] bool hasMore(const Client &client) const;

    CrowdOptions m_options;
    std::string m_block; // `repeated` several times
    std::vector<Client> m_clients;
};

} // namespace arbutus::tests
