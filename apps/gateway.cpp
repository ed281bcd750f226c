// arbutus-gateway: one entry instance.

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

constexpr auto LastWords = std::chrono::milliseconds(300); // answers under way reach their callers after the hand-over

/// Settings file of this process: the flag, else the variable by which a platform names it.
std::string settingsPath(const cxxopts::ParseResult &arguments)
{
    if (arguments.count("settings") != 0) {
        return arguments["settings"].as<std::string>();
    }
    const char *path = std::getenv("ARBUTUSGLADE_CONFIG"); // NOLINT(concurrency-mt-unsafe): before any thread
    return path == nullptr ? "" : path;
}

/// An instance that forwards by route, on the platform's store and wire.
int runEdge(const std::string &path, bool checkOnly)
{
    auto settings = arbutus::edge::loadSettings(path);
    if (!settings) {
        std::cerr << settings.error().message << "\nremedy: " << settings.error().remedy << '\n';
        return 2;
    }
    if (checkOnly) {
        std::cout << "settings are good\n";
        return 0;
    }
    const arbutus::core::SystemClock clock;
    arbutus::observe::LogBuffer log(clock, STDOUT_FILENO);
    asio::io_context loop(1);
    const arbutus::platform::PlatformAdapter dialect;
    arbutus::platform::StoreClientSettings storeSettings;
    storeSettings.endpoint = settings.value().storeEndpoint;
    arbutus::platform::StoreClient store(loop.get_executor(), storeSettings);
    const auto reload = [path] { return arbutus::edge::loadSettings(path); };
    arbutus::edge::RouteGateway edge(loop, clock, std::move(settings.value()), dialect, store, log, reload);
    edge.run();
    return 0;
}

int run(int argc, char **argv)
{
    cxxopts::Options options("arbutus-gateway", "An entry instance of the inference gateway");
    options.add_options()                                                       //
        ("settings", "TOML file", cxxopts::value<std::string>())                //
        ("check-settings", "only check the file")                               //
        ("router", "overrides [routing] router", cxxopts::value<std::string>()) //
        ("help", "show this text");
    const auto arguments = options.parse(argc, argv);
    const std::string path = settingsPath(arguments);
    if (arguments.count("help") != 0 || path.empty()) {
        std::cout << options.help();
        return arguments.count("help") != 0 ? 0 : 2;
    }
    if (arbutus::edge::isRouteGatewayFile(path)) {
        return runEdge(path, arguments.count("check-settings") != 0);
    }
    auto loaded = arbutus::gateway::loadSettings(path);
    if (!loaded) {
        std::cerr << loaded.error().message << "\nremedy: " << loaded.error().remedy << '\n';
        return 2;
    }
    if (arguments.count("check-settings") != 0) {
        std::cout << "settings are good\n";
        return 0;
    }
    arbutus::gateway::Settings settings = std::move(loaded.value());
    if (arguments.count("router") != 0) {
        settings.node.routerName = arguments["router"].as<std::string>();
    }
    std::random_device device;
    const auto drawn = (static_cast<std::uint64_t>(device()) << 31U) ^ device();
    settings.node.randomSeed = drawn;
    const arbutus::core::SystemClock clock;
    // Later lives have higher incarnations: the wall time leads, a drawn part keeps two starts in one millisecond apart.
    const auto wall = static_cast<std::uint64_t>(clock.wallNow().time_since_epoch().count());
    settings.node.self.incarnation = arbutus::core::Incarnation(wall * 1000 + drawn % 1000);

    asio::io_context context(1);
    const auto work = asio::make_work_guard(context);
    asio::steady_timer ending(context);
    const auto endSoon = [&] {
        ending.expires_after(LastWords);
        ending.async_wait([&context](const boost::system::error_code &) { context.stop(); });
    };
    arbutus::gateway::Gateway gateway(clock, std::move(settings), [&] { asio::post(context, endSoon); });
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
