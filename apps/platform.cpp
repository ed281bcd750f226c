// arbutus-platform: simulates the platform's services for the demo, tests and experiments.

#include "arbutus/standin/platform.h"
#include "arbutus/core/clock.h"
#include "arbutus/observe/logline.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <cxxopts.hpp>

#include <iostream>

namespace {

int run(int argc, char **argv)
{
    cxxopts::Options options("arbutus-platform", "Simulates the platform: key-value service, directory, instance list, weight store");
    options.add_options()                                                                                                           //
        ("listen", "address and port to listen on", cxxopts::value<std::string>()->default_value("127.0.0.1:7000"))                 //
        ("weight-rate", "throughput of the weight store in bytes per second", cxxopts::value<double>()->default_value("200000000")) //
        ("weight-size", "size of a model's weights in bytes", cxxopts::value<double>()->default_value("20000000"))                  //
        ("help", "show this help");
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") != 0) {
        std::cout << options.help();
        return 0;
    }
    arbutus::standin::PlatformOptions platformOptions;
    platformOptions.listen = arbutus::http::parseEndpoint(arguments["listen"].as<std::string>());
    platformOptions.weightBytesPerSecond = arguments["weight-rate"].as<double>();
    platformOptions.weightBytes = arguments["weight-size"].as<double>();

    const arbutus::core::SystemClock clock;
    boost::asio::io_context context(1);
    const arbutus::standin::Platform platform(context.get_executor(), clock, platformOptions);
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&context](const boost::system::error_code &, int) { context.stop(); });
    arbutus::observe::LogLine("platform_started").add("port", platform.port()).write();
    context.run();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    arbutus::observe::initLogging(argv[0]);
    try {
        return run(argc, argv);
    } catch (const std::exception &error) {
        std::cerr << "arbutus-platform: " << error.what() << "; see --help\n";
        return 2;
    }
}
