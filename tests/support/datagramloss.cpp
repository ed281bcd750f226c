// Socket filters.

#include "support/datagramloss.h"

#include <linux/filter.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cmath>
#include <filesystem>
#include <limits>
#include <stdexcept>
#include <string>
#include <vector>

namespace arbutus::tests {

namespace {

int findDatagramSocket(std::uint16_t port)
{
    for (const auto &entry : std::filesystem::directory_iterator("/proc/self/fd")) {
        const int descriptor = std::stoi(entry.path().filename().string());
        int type = 0;
        socklen_t typeSize = sizeof type;
        sockaddr_in local{};
        socklen_t localSize = sizeof local;
        auto *localAddress = reinterpret_cast<sockaddr *>(&local); // NOLINT(cppcoreguidelines-pro-type-reinterpret-cast)
        if (::getsockopt(descriptor, SOL_SOCKET, SO_TYPE, &type, &typeSize) == 0 && type == SOCK_DGRAM
            && ::getsockname(descriptor, localAddress, &localSize) == 0 && local.sin_family == AF_INET && ntohs(local.sin_port) == port) {
            return descriptor;
        }
    }
    throw std::runtime_error("no socket for datagrams at port " + std::to_string(port));
}

sock_filter statement(unsigned code, std::uint32_t value)
{
    return {static_cast<std::uint16_t>(code), 0, 0, value};
}

/// Skips the next statement unless the loaded value matches.
sock_filter condition(unsigned comparison, std::uint32_t value)
{
    return {static_cast<std::uint16_t>(BPF_JMP | BPF_K | comparison), 0, 1, value};
}

} // namespace

void setDatagramLoss(std::uint16_t port, const DatagramLoss &loss)
{
    constexpr std::uint32_t SourcePortOffset = 0; // in the UDP header
    const sock_filter drop = statement(BPF_RET | BPF_K, 0);
    std::vector<sock_filter> program = {statement(BPF_LD | BPF_H | BPF_ABS, SourcePortOffset)};
    for (const std::uint16_t sender : loss.cutSenders) {
        program.push_back(condition(BPF_JEQ, sender));
        program.push_back(drop);
    }
    if (loss.share > 0) {
        constexpr auto Max = std::numeric_limits<std::uint32_t>::max();
        program.push_back(statement(BPF_LD | BPF_W | BPF_ABS, static_cast<std::uint32_t>(SKF_AD_OFF + SKF_AD_RANDOM)));
        program.push_back(condition(BPF_JGE, static_cast<std::uint32_t>(std::llround((1 - loss.share) * Max))));
        program.push_back(drop);
    }
    program.push_back(statement(BPF_RET | BPF_K, std::numeric_limits<std::uint32_t>::max()));
    const sock_fprog filter{static_cast<unsigned short>(program.size()), program.data()};
    if (::setsockopt(findDatagramSocket(port), SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof filter) != 0) {
        throw std::runtime_error("the socket filter was not accepted");
    }
}

} // namespace arbutus::tests
