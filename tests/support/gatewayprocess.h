// The program arbutus-gateway as a child process, with what the kernel says of its memory, descriptors and socket queues.
//
//   GatewayProcess gateway(settingsText, GatewayProcessOptions{.maxDescriptors = 256});
//   CHECK(gateway.isAlive());
//   CHECK(gateway.peakMemoryKiB() < 64 * 1024);
//
// The child is killed at the end of the object, and by the kernel if the test ends without that.

#pragma once

#include <sys/types.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace arbutus::tests {

struct GatewayProcessOptions
{
    std::size_t maxDescriptors = 256; // that the process may open
};

class GatewayProcess
{
public:
    /// Starts the program with a settings file of that text; throws std::runtime_error if that fails.
    GatewayProcess(const std::string &settings, GatewayProcessOptions options);
    GatewayProcess(const GatewayProcess &) = delete;
    GatewayProcess &operator=(const GatewayProcess &) = delete;
    ~GatewayProcess();

    [[nodiscard]] bool isAlive();
    /// Largest resident memory since its start.
    [[nodiscard]] std::size_t peakMemoryKiB() const;
    [[nodiscard]] std::size_t openDescriptors() const;
    /// What it has logged, on both outputs.
    [[nodiscard]] std::string log() const;

private:
    std::string m_directory;
    pid_t m_pid = -1;
    bool m_hasEnded = false;
};

/// Ports of the loopback address that are free for TCP and UDP, each a different one.
[[nodiscard]] std::vector<std::uint16_t> freePorts(std::size_t count);

/// Bytes that the kernel holds, for connections accepted at these ports, that the peer has not taken and the process has not read.
[[nodiscard]] std::size_t queuedBytes(const std::vector<std::uint16_t> &localPorts);

} // namespace arbutus::tests
