// Start and observation of the child process.

#include "support/gatewayprocess.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>

namespace arbutus::tests {

namespace {

constexpr int HexBase = 16;

[[noreturn]] void runProgram(const std::string &settingsFile, const std::string &logFile, std::size_t maxDescriptors)
{
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const rlimit limit{maxDescriptors, maxDescriptors};
    ::setrlimit(RLIMIT_NOFILE, &limit);
    const int log = ::open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    constexpr int LastInherited = 1024;
    for (int descriptor = STDERR_FILENO + 1; descriptor < LastInherited; ++descriptor) {
        ::close(descriptor);
    }
    ::execl(ARBUTUS_GATEWAY_PROGRAM, ARBUTUS_GATEWAY_PROGRAM, "--settings", settingsFile.c_str(), static_cast<char *>(nullptr));
    ::_exit(1);
}

} // namespace

GatewayProcess::GatewayProcess(const std::string &settings, GatewayProcessOptions options)
{
    std::string pattern = (std::filesystem::temp_directory_path() / "arbutus-gateway-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("no temporary directory");
    }
    m_directory = pattern;
    const std::string settingsFile = m_directory + "/settings.toml";
    std::ofstream(settingsFile) << settings;
    const std::string logFile = m_directory + "/log";
    m_pid = ::fork();
    if (m_pid < 0) {
        throw std::runtime_error("no child process");
    }
    if (m_pid == 0) {
        runProgram(settingsFile, logFile, options.maxDescriptors);
    }
}

GatewayProcess::~GatewayProcess()
{
    if (isAlive()) {
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
    }
    std::error_code ignored;
    std::filesystem::remove_all(m_directory, ignored);
}

bool GatewayProcess::isAlive()
{
    m_hasEnded = m_hasEnded || ::waitpid(m_pid, nullptr, WNOHANG) != 0;
    return !m_hasEnded;
}

std::size_t GatewayProcess::peakMemoryKiB() const
{
    std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
    std::string line;
    while (std::getline(status, line)) {
        constexpr std::string_view Name = "VmHWM:";
        if (line.starts_with(Name)) {
            return std::stoul(line.substr(Name.size()));
        }
    }
    return 0;
}

std::size_t GatewayProcess::openDescriptors() const
{
    std::error_code code;
    const std::filesystem::directory_iterator entries("/proc/" + std::to_string(m_pid) + "/fd", code);
    return code ? 0 : static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

std::string GatewayProcess::log() const
{
    std::ifstream file(m_directory + "/log");
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

std::vector<std::uint16_t> freePorts(std::size_t count)
{
    std::vector<int> sockets; // kept open, so that no port is found twice
    std::vector<std::uint16_t> out;
    while (out.size() < count) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof address;
        const int stream = ::socket(AF_INET, SOCK_STREAM, 0);
        const int datagrams = ::socket(AF_INET, SOCK_DGRAM, 0);
        sockets.insert(sockets.end(), {stream, datagrams});
        const bool isBound =
            ::bind(stream, reinterpret_cast<sockaddr *>(&address), length) == 0 && ::getsockname(stream, reinterpret_cast<sockaddr *>(&address), &length) == 0;
        if (isBound && ::bind(datagrams, reinterpret_cast<sockaddr *>(&address), length) == 0) {
            out.push_back(ntohs(address.sin_port));
        }
    }
    std::for_each(sockets.begin(), sockets.end(), ::close);
    return out;
}

std::size_t queuedBytes(const std::vector<std::uint16_t> &localPorts)
{
    constexpr std::size_t PortAt = 9; // in an address such as 0100007F:1F90
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::getline(table, line); // names of the columns
    std::size_t out = 0;
    while (std::getline(table, line)) {
        std::istringstream columns(line);
        std::string slot;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues; // sent:received, in hexadecimal
        columns >> slot >> local >> remote >> state >> queues;
        constexpr std::string_view Listening = "0A";
        const std::size_t colon = queues.find(':');
        if (local.size() <= PortAt || colon == std::string::npos || state == Listening) {
            continue;
        }
        const auto port = static_cast<std::uint16_t>(std::stoul(local.substr(PortAt), nullptr, HexBase));
        if (std::find(localPorts.begin(), localPorts.end(), port) != localPorts.end()) {
            out += std::stoul(queues.substr(0, colon), nullptr, HexBase) + std::stoul(queues.substr(colon + 1), nullptr, HexBase);
        }
    }
    return out;
}

} // namespace arbutus::tests
