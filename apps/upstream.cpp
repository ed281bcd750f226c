// arbutus-upstream: simulates model engines and plain services, any number of them in one process.
//
// Format of the --list file: {"upstreams":[{"id","kind":"model"|"service","address","models":[…],"slots","step_us",
// "cache_blocks","checks_fencing"}]}.

#include "arbutus/standin/upstream.h"
#include "arbutus/core/clock.h"
#include "arbutus/core/json.h"
#include "arbutus/observe/logline.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <cxxopts.hpp>

#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>

namespace {

namespace core = arbutus::core;
namespace standin = arbutus::standin;

boost::json::object readJsonFile(const std::string &file)
{
    std::ifstream in(file);
    std::stringstream text;
    text << in.rdbuf();
    auto parsed = core::parseJsonObject(text.str());
    if (!parsed) {
        throw std::runtime_error(file + ": " + parsed.error().message);
    }
    return parsed.value();
}

standin::UpstreamOptions parseUpstreamOptions(const boost::json::object &entry, const arbutus::http::Endpoint &weightStore)
{
    standin::UpstreamOptions options;
    options.id = core::jsonString(entry, "id");
    options.listen = arbutus::http::parseEndpoint(core::jsonString(entry, "address"));
    options.isModelEngine = core::jsonString(entry, "kind") == "model";
    for (const auto &model : core::jsonArray(entry, "models")) {
        options.models.emplace(model.as_string());
    }
    options.checksFencing = core::jsonBool(entry, "checks_fencing", true);
    options.weightStore = weightStore;
    options.engine.slots = static_cast<std::size_t>(core::jsonInteger(entry, "slots", 16));
    options.engine.stepBase = core::Duration(core::jsonInteger(entry, "step_us", options.engine.stepBase.count()));
    options.engine.cacheBlocks = static_cast<std::size_t>(core::jsonInteger(entry, "cache_blocks", 4096));
    return options;
}

int run(int argc, char **argv)
{
    cxxopts::Options options("arbutus-upstream", "Simulates model engines and plain services");
    options.add_options()                                                                            //
        ("list", "JSON file that lists the upstreams", cxxopts::value<std::string>())                //
        ("weights", "address of the weight store", cxxopts::value<std::string>()->default_value("")) //
        ("help", "show this help");
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") != 0 || arguments.count("list") == 0) {
        std::cout << options.help();
        return arguments.count("help") != 0 ? 0 : 2;
    }
    const auto weightStore = arbutus::http::parseEndpoint(arguments["weights"].as<std::string>());
    const core::SystemClock clock;
    boost::asio::io_context context(1);
    std::vector<std::unique_ptr<standin::Upstream>> upstreams;
    const boost::json::object document = readJsonFile(arguments["list"].as<std::string>());
    for (const auto &entry : core::jsonArray(document, "upstreams")) {
        upstreams.push_back(std::make_unique<standin::Upstream>(context.get_executor(), clock, parseUpstreamOptions(entry.as_object(), weightStore)));
    }
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&context](const boost::system::error_code &, int) { context.stop(); });
    arbutus::observe::LogLine("upstreams_started").add("count", upstreams.size()).write();
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
        std::cerr << "arbutus-upstream: " << error.what() << "; see --help\n";
        return 2;
    }
}
