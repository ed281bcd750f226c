// Deployments on a single machine: settings, instance lists and configuration of gateways and simulated upstreams.
//
// The two profiles model the first users: a calendar press with order desks, and an operator of photocopy shop counters.

#pragma once

#include <boost/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace arbutus::loadtool {

/// A gateway instance.
struct GatewaySpec
{
    std::string name;
    std::string region;
    std::string domain;
    std::uint16_t callersPort = 0;
    std::uint16_t adminPort = 0;
    std::uint16_t peersPort = 0;
    std::uint16_t gossipPort = 0;
    std::int64_t pid = 0;
};

/// A model engine or plain service.
struct UpstreamSpec
{
    std::string name;
    bool isModelEngine = true;
    std::string region;
    std::string domain;
    std::uint16_t port = 0;
    std::vector<std::string> models;
    std::string service;
    double price = 1.0; // per 1,000 tokens
    std::uint32_t slots = 16;
    bool checksFencing = true;
};

/// A workspace as clients see it.
struct WorkspaceSpec
{
    std::string name;
    std::string key;
    std::string homeRegion;
    std::vector<std::string> residency;
    std::vector<std::string> classes;
    std::vector<std::string> models;
    std::vector<std::string> services;
    double trafficShare = 1.0; // fraction of the traffic
};

/// A complete deployment.
struct Topology
{
    std::string profile;
    std::uint16_t platformPort = 0;
    std::string adminKey;
    std::vector<std::string> regions;
    std::vector<GatewaySpec> gateways;
    std::vector<UpstreamSpec> upstreams;
    std::vector<WorkspaceSpec> workspaces;
    boost::json::array documents; // configuration documents
};

/// Creates the deployment of the profile "siamwong" or "papiro"; throws std::runtime_error for any other name.
[[nodiscard]] Topology makeTopology(const std::string &profile, std::uint16_t basePort);

/// Writes gateway settings, list.json, upstreams.json, config.json and topology.json to a folder.
void writeTopology(const Topology &topology, const std::string &folder);

/// Serializes the contents of topology.json.
[[nodiscard]] boost::json::object toJson(const Topology &topology);

/// Reads topology.json; throws if the file is missing or malformed.
[[nodiscard]] Topology readTopology(const std::string &file);

} // namespace arbutus::loadtool
