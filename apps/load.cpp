// arbutus-load: deployments on one machine, callers' traffic, reports.
//
//   arbutus-load topology --profile siamwong --dir run      writes settings, lists, configuration and topology.json
//   arbutus-load topology --dir run --pid gw-x=123          notes the gateways' process ids in topology.json
//   arbutus-load run --topology run/topology.json           callers' traffic; a table and a JSON report
//   arbutus-load compare --topology run/topology.json       what the gateway adds to a direct call; JSON

#include "arbutus/core/json.h"
#include "arbutus/loadtool/compare.h"
#include "arbutus/loadtool/run.h"
#include "arbutus/loadtool/topology.h"

#include <boost/json.hpp>
#include <cxxopts.hpp>

#include <fstream>
#include <iostream>

namespace {

namespace loadtool = arbutus::loadtool;

int makeTopology(const cxxopts::ParseResult &arguments)
{
    const std::string folder = arguments["dir"].as<std::string>();
    if (arguments.count("pid") == 0) {
        const auto topology = loadtool::makeTopology(arguments["profile"].as<std::string>(), arguments["base-port"].as<std::uint16_t>());
        loadtool::writeTopology(topology, folder);
        for (const loadtool::GatewaySpec &gateway : topology.gateways) {
            std::cout << gateway.name << ' ' << gateway.adminPort << '\n';
        }
        return 0;
    }
    loadtool::Topology topology = loadtool::readTopology(folder + "/topology.json");
    for (const std::string &pair : arguments["pid"].as<std::vector<std::string>>()) {
        const std::size_t equals = pair.find('=');
        for (loadtool::GatewaySpec &gateway : topology.gateways) {
            if (gateway.name == pair.substr(0, equals)) {
                gateway.pid = std::stoll(pair.substr(equals + 1));
            }
        }
    }
    std::ofstream(folder + "/topology.json") << boost::json::serialize(loadtool::toJson(topology));
    return 0;
}

int runTraffic(const cxxopts::ParseResult &arguments)
{
    const loadtool::Topology topology = loadtool::readTopology(arguments["topology"].as<std::string>());
    loadtool::RunOptions options;
    options.seconds = arguments["seconds"].as<double>();
    options.rate = arguments["rate"].as<double>();
    options.seed = arguments["seed"].as<std::uint64_t>();
    options.nonRepeatableShare = arguments["order-share"].as<double>();
    options.deferrableShare = arguments["wait-share"].as<double>();
    options.tokenScale = arguments["token-scale"].as<double>();
    const loadtool::RunResult result = loadtool::runTraffic(topology, options);
    const boost::json::object report = loadtool::makeReport(topology, result);
    if (arguments.count("json") != 0) {
        std::ofstream(arguments["json"].as<std::string>()) << boost::json::serialize(report) << '\n';
    }
    const loadtool::ConsistencyCounts &verdicts = result.counts;
    std::cout << loadtool::toTable(report);
    std::cout << "told \"not run\" but ran: " << verdicts.falseNotExecuted << '\n';
    std::cout << arguments["label"].as<std::string>() << ": " << loadtool::toSummaryLine(verdicts) << std::endl;
    const bool held = verdicts.lost + verdicts.duplicated + verdicts.mismatched + verdicts.residencyViolations + verdicts.falseNotExecuted == 0;
    return held && verdicts.requests > 0 ? 0 : 1;
}

int compare(const cxxopts::ParseResult &arguments)
{
    const loadtool::Topology topology = loadtool::readTopology(arguments["topology"].as<std::string>());
    loadtool::CompareOptions options;
    options.pairs = arguments["pairs"].as<std::size_t>();
    options.streams = arguments["streams"].as<std::size_t>();
    std::cout << boost::json::serialize(loadtool::compareWithDirect(topology, options)) << '\n';
    return 0;
}

int run(int argc, char **argv)
{
    cxxopts::Options options("arbutus-load", "Load and experiment tool");
    options.positional_help("topology|run|compare");
    options.add_options()                                                                                                //
        ("command", "topology, run or compare", cxxopts::value<std::string>())                                           //
        ("profile", "siamwong or papiro", cxxopts::value<std::string>()->default_value("siamwong"))                      //
        ("dir", "folder of the deployment's files", cxxopts::value<std::string>()->default_value("run"))                 //
        ("base-port", "first of 600 ports", cxxopts::value<std::uint16_t>()->default_value("17000"))                     //
        ("pid", "NAME=PID of a gateway, many times", cxxopts::value<std::vector<std::string>>())                         //
        ("topology", "topology.json of a deployment", cxxopts::value<std::string>()->default_value("run/topology.json")) //
        ("seconds", "length of the run", cxxopts::value<double>()->default_value("30"))                                  //
        ("rate", "requests a second", cxxopts::value<double>()->default_value("40"))                                     //
        ("order-share", "share that may not be repeated", cxxopts::value<double>()->default_value("0.2"))                //
        ("wait-share", "share that may wait", cxxopts::value<double>()->default_value("0.15"))                           //
        ("token-scale", "multiplies answers' lengths", cxxopts::value<double>()->default_value("1"))                     //
        ("seed", "of the traffic", cxxopts::value<std::uint64_t>()->default_value("1"))                                  //
        ("pairs", "pairs of calls to compare", cxxopts::value<std::size_t>()->default_value("300"))                      //
        ("streams", "streams at once, for the throughput", cxxopts::value<std::size_t>()->default_value("64"))           //
        ("json", "file for the report", cxxopts::value<std::string>())                                                   //
        ("label", "begins the last line", cxxopts::value<std::string>()->default_value("run"))                           //
        ("help", "show this text");
    options.parse_positional({"command"});
    const auto arguments = options.parse(argc, argv);
    const std::string command = arguments.count("command") == 0 ? "" : arguments["command"].as<std::string>();
    if (command == "topology") {
        return makeTopology(arguments);
    }
    if (command == "run") {
        return runTraffic(arguments);
    }
    if (command == "compare") {
        return compare(arguments);
    }
    std::cout << options.help();
    return arguments.count("help") != 0 ? 0 : 2;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return run(argc, argv);
    } catch (const std::exception &error) {
        std::cerr << "arbutus-load: " << error.what() << "; see --help\n";
        return 2;
    }
}
