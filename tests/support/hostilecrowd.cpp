// Sockets of the crowd, all on the calling thread.

#include "support/hostilecrowd.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>

namespace arbutus::tests {

namespace {

constexpr std::size_t BlockBytes = 32 * 1024;
constexpr std::size_t MaxReceivedBytes = 64; // kept of an answer
constexpr int PollMilliseconds = 50;
constexpr int IdlePolls = 40; // without progress of any client; the server takes nothing more

} // namespace

HostileCrowd::HostileCrowd(const http::Endpoint &endpoint, CrowdOptions options)
    : m_options(std::move(options))
    , m_clients(m_options.size)
{
    while (!m_options.repeated.empty() && m_block.size() < BlockBytes) {
        m_block += m_options.repeated;
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    ::inet_pton(AF_INET, endpoint.host.c_str(), &address.sin_addr);
    for (Client &client : m_clients) {
        client.socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        const bool isConnecting = ::connect(client.socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0 || errno == EINPROGRESS;
        client.isClosed = !isConnecting;
    }
}

HostileCrowd::~HostileCrowd()
{
    for (const Client &client : m_clients) {
        ::close(client.socket);
    }
}

bool HostileCrowd::hasMore(const Client &client) const
{
    const bool hasFirst = client.sentBytes < m_options.first.size();
    return !client.isClosed && (hasFirst || (!m_block.empty() && client.sentBytes < m_options.maxBytes));
}

bool HostileCrowd::send(Client &client) const
{
    const bool isFirst = client.sentBytes < m_options.first.size();
    const std::size_t at = isFirst ? client.sentBytes : (client.sentBytes - m_options.first.size()) % m_block.size();
    const std::string &source = isFirst ? m_options.first : m_block;
    const auto sent = ::send(client.socket, source.data() + at, source.size() - at, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent < 0) {
        client.isClosed = errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
        return false;
    }
    client.sentBytes += static_cast<std::size_t>(sent);
    return true;
}

bool HostileCrowd::receive(Client &client) const
{
    std::array<char, BlockBytes> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init)
    const auto received = ::recv(client.socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (received <= 0) {
        client.isClosed = received == 0 || (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
        return false;
    }
    const std::size_t kept = std::min(static_cast<std::size_t>(received), MaxReceivedBytes - client.received.size());
    client.received.append(buffer.data(), kept);
    return true;
}

void HostileCrowd::run(const std::function<bool()> &isOver)
{
    for (int idlePolls = 0; idlePolls < IdlePolls && !isOver();) {
        std::vector<pollfd> polled;
        for (const Client &client : m_clients) {
            const int events = (hasMore(client) ? POLLOUT : 0) | (m_options.reads ? POLLIN : 0);
            polled.push_back(pollfd{client.isClosed ? -1 : client.socket, static_cast<short>(events), 0});
        }
        ::poll(polled.data(), polled.size(), PollMilliseconds);
        bool hasProgress = false;
        for (std::size_t i = 0; i < m_clients.size(); ++i) {
            Client &client = m_clients[i];
            const auto events = static_cast<unsigned>(polled[i].revents);
            if ((events & (POLLERR | POLLHUP)) != 0 && !m_options.reads) {
                client.isClosed = true;
            }
            if ((events & (POLLIN | POLLERR | POLLHUP)) != 0 && m_options.reads) {
                hasProgress = receive(client) || hasProgress;
            }
            if ((events & POLLOUT) != 0 && !client.isClosed && hasMore(client)) {
                hasProgress = send(client) || hasProgress;
            }
        }
        const bool isDone = std::none_of(m_clients.begin(), m_clients.end(), [this](const Client &client) { return hasMore(client); });
        idlePolls = hasProgress ? 0 : idlePolls + 1;
        if (isDone && !m_block.empty() && !hasProgress) {
            return;
        }
    }
}

std::size_t HostileCrowd::openCount() const
{
    return static_cast<std::size_t>(std::count_if(m_clients.begin(), m_clients.end(), [](const Client &client) { return !client.isClosed; }));
}

std::size_t HostileCrowd::statusCount(const std::string &status) const
{
    const std::string begin = "HTTP/1.1 " + status;
    return static_cast<std::size_t>(
        std::count_if(m_clients.begin(), m_clients.end(), [&](const Client &client) { return client.received.starts_with(begin); }));
}

} // namespace arbutus::tests
