// arbutus-gateway: runs one gateway instance.

#include "arbutus/gateway/gateway.h"
#include "arbutus/core/clock.h"
#include "arbutus/edge/routegateway.h"
#include "arbutus/observe/logline.h"
#include "platform/platformadapter.h"
#include "platform/storeclient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cxxopts.hpp>

#include <unistd.h>

#include <iostream>
#include <random>

namespace {

namespace asio = boost::asio;

constexpr auto ShutdownGracePeriod = std::chrono::milliseconds(300); // lets responses in flight reach their clients after the handover

/// Path of the settings file: the --settings flag, else the environment variable set by the platform.
std::string settingsPath(const cxxopts::ParseResult &arguments)
{
    if (arguments.count("settings") != 0) {
        return arguments["settings"].as<std::string>();
    }
    const char *path = std::getenv("ARBUTUSGLADE_CONFIG"); // NOLINT(concurrency-mt-unsafe): no other thread runs yet
    return path == nullptr ? "" : path;
}

/// Runs a route gateway: an instance that forwards by route and uses the platform's store and protocol.
int runRouteGateway(const std::string &path, bool checkOnly)
{
    auto settings = arbutus::edge::loadSettings(path);
    if (!settings) {
        std::cerr << settings.error().message << "\nremedy: " << settings.error().remedy << '\n';
        return 2;
    }
    if (checkOnly) {
        std::cout << "the settings are valid\n";
        return 0;
    }
    const arbutus::core::SystemClock clock;
    arbutus::observe::LogBuffer log(clock, STDOUT_FILENO);
    asio::io_context ioContext(1);
    const arbutus::platform::PlatformAdapter adapter;
    arbutus::platform::StoreClientSettings storeSettings;
    storeSettings.endpoint = settings.value().storeEndpoint;
    arbutus::platform::StoreClient store(ioContext.get_executor(), storeSettings);
    const auto reload = [path] { return arbutus::edge::loadSettings(path); };
    arbutus::edge::RouteGateway routeGateway(ioContext, clock, std::move(settings.value()), adapter, store, log, reload);
    routeGateway.run();
    return 0;
}

int run(int argc, char **argv)
{
    cxxopts::Options options("arbutus-gateway", "Runs an instance of the inference gateway");
    options.add_options()                                                       //
        ("settings", "TOML file", cxxopts::value<std::string>())                //
        ("check-settings", "validate the settings file and exit")               //
        ("router", "overrides [routing] router", cxxopts::value<std::string>()) //
        ("help", "show this text");
    const auto arguments = options.parse(argc, argv);
    const std::string path = settingsPath(arguments);
    if (arguments.count("help") != 0 || path.empty()) {
        std::cout << options.help();
        return arguments.count("help") != 0 ? 0 : 2;
    }
    if (arbutus::edge::isRouteGatewayFile(path)) {
        return runRouteGateway(path, arguments.count("check-settings") != 0);
    }
    auto loadedSettings = arbutus::gateway::loadSettings(path);
    if (!loadedSettings) {
        std::cerr << loadedSettings.error().message << "\nremedy: " << loadedSettings.error().remedy << '\n';
        return 2;
    }
    if (arguments.count("check-settings") != 0) {
        std::cout << "the settings are valid\n";
        return 0;
    }
    arbutus::gateway::Settings settings = std::move(loadedSettings.value());
    if (arguments.count("router") != 0) {
        settings.node.routerName = arguments["router"].as<std::string>();
    }
    std::random_device device;
    const auto randomSeed = (static_cast<std::uint64_t>(device()) << 31U) ^ device();
    settings.node.randomSeed = randomSeed;
    const arbutus::core::SystemClock clock;
    // A restart must get a higher incarnation: wall time orders restarts, a random part separates two in one millisecond.
    const auto wallTime = static_cast<std::uint64_t>(clock.wallNow().time_since_epoch().count());
    settings.node.self.incarnation = arbutus::core::Incarnation(wallTime * 1000 + randomSeed % 1000);

    asio::io_context context(1);
    const auto workGuard = asio::make_work_guard(context);
    asio::steady_timer shutdownTimer(context);
    const auto scheduleShutdown = [&] {
        shutdownTimer.expires_after(ShutdownGracePeriod);
        shutdownTimer.async_wait([&context](const boost::system::error_code &) { context.stop(); });
    };
    arbutus::gateway::Gateway gateway(clock, std::move(settings), [&] { asio::post(context, scheduleShutdown); });
    asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&gateway](const boost::system::error_code &, int) { gateway.drain(); });
    gateway.start();
    context.run();
    gateway.stop();
    arbutus::observe::LogLine("gateway_stopped").write();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    arbutus::observe::initLogging(argv[0]);
    try {
        return run(argc, argv);
    } catch (const std::exception &error) {
        std::cerr << "arbutus-gateway: " << error.what() << "; see --help and --check-settings\n";
        return 2;
    }
}
