// arbutus-load: generates deployments on one machine, runs client traffic against them and reports the results.
//
//   arbutus-load topology --profile siamwong --dir run      writes settings, instance lists, configuration and topology.json
//   arbutus-load topology --dir run --pid gw-x=123          records the gateways' process IDs in topology.json
//   arbutus-load run --topology run/topology.json           runs client traffic; prints a table, optionally writes a JSON report
//   arbutus-load compare --topology run/topology.json       measures the gateway's overhead over direct calls; prints JSON

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
    const std::string directory = arguments["dir"].as<std::string>();
    if (arguments.count("pid") == 0) {
        const auto topology = loadtool::makeTopology(arguments["profile"].as<std::string>(), arguments["base-port"].as<std::uint16_t>());
        loadtool::writeTopology(topology, directory);
        for (const loadtool::GatewaySpec &gateway : topology.gateways) {
            std::cout << gateway.name << ' ' << gateway.adminPort << '\n';
        }
        return 0;
    }
    loadtool::Topology topology = loadtool::readTopology(directory + "/topology.json");
    for (const std::string &assignment : arguments["pid"].as<std::vector<std::string>>()) {
        const std::size_t equals = assignment.find('=');
        for (loadtool::GatewaySpec &gateway : topology.gateways) {
            if (gateway.name == assignment.substr(0, equals)) {
                gateway.pid = std::stoll(assignment.substr(equals + 1));
            }
        }
    }
    std::ofstream(directory + "/topology.json") << boost::json::serialize(loadtool::toJson(topology));
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
    const loadtool::ConsistencyCounts &counts = result.counts;
    std::cout << loadtool::toTable(report);
    std::cout << "reported as not executed but executed: " << counts.falseNotExecuted << '\n';
    std::cout << arguments["label"].as<std::string>() << ": " << loadtool::toSummaryLine(counts) << std::endl;
    const bool consistent = counts.lost + counts.duplicated + counts.mismatched + counts.residencyViolations + counts.falseNotExecuted == 0;
    return consistent && counts.requests > 0 ? 0 : 1;
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
    cxxopts::Options options("arbutus-load", "Load generator and benchmark for local deployments");
    options.positional_help("topology|run|compare");
    options.add_options()                                                                                                   //
        ("command", "topology, run or compare", cxxopts::value<std::string>())                                              //
        ("profile", "deployment profile: siamwong or papiro", cxxopts::value<std::string>()->default_value("siamwong"))     //
        ("dir", "directory of the deployment files", cxxopts::value<std::string>()->default_value("run"))                   //
        ("base-port", "first port of a range of 600", cxxopts::value<std::uint16_t>()->default_value("17000"))              //
        ("pid", "process ID of a gateway, as NAME=PID; repeatable", cxxopts::value<std::vector<std::string>>())             //
        ("topology", "topology.json of the deployment", cxxopts::value<std::string>()->default_value("run/topology.json"))  //
        ("seconds", "duration of the run", cxxopts::value<double>()->default_value("30"))                                   //
        ("rate", "mean requests per second", cxxopts::value<double>()->default_value("40"))                                 //
        ("order-share", "fraction of requests that must not be repeated", cxxopts::value<double>()->default_value("0.2"))   //
        ("wait-share", "fraction of requests that may be queued", cxxopts::value<double>()->default_value("0.15"))          //
        ("token-scale", "multiplier for the length of responses", cxxopts::value<double>()->default_value("1"))             //
        ("seed", "random seed of the traffic", cxxopts::value<std::uint64_t>()->default_value("1"))                         //
        ("pairs", "number of call pairs to compare", cxxopts::value<std::size_t>()->default_value("300"))                   //
        ("streams", "concurrent streams of the throughput measurement", cxxopts::value<std::size_t>()->default_value("64")) //
        ("json", "file for the JSON report", cxxopts::value<std::string>())                                                 //
        ("label", "prefix of the summary line", cxxopts::value<std::string>()->default_value("run"))                        //
        ("help", "show this help");
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
