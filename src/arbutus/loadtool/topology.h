// Deployments to run on one machine: settings, lists and configuration for the stand-ins and the gateways.
//
// The two profiles are the first users': a calendar press with order desks, and a firm of photocopy-till counters.

#pragma once

#include <boost/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace arbutus::loadtool {

/// One entry instance.
struct GatewayLine
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

/// One upstream.
struct UpstreamEntry
{
    std::string name;
    bool model = true;
    std::string region;
    std::string domain;
    std::uint16_t port = 0;
    std::vector<std::string> models;
    std::string service;
    double price = 1.0; // price units for 1,000 tokens
    std::uint32_t slots = 16;
    bool checksFencing = true;
};

/// One workspace as callers know it.
struct WorkspaceLine
{
    std::string name;
    std::string key;
    std::string home;
    std::vector<std::string> residency;
    std::vector<std::string> classes;
    std::vector<std::string> models;
    std::vector<std::string> services;
    double share = 1.0; // of the traffic
};

/// A whole deployment.
struct Topology
{
    std::string profile;
    std::uint16_t platformPort = 0;
    std::string adminKey;
    std::vector<std::string> regions;
    std::vector<GatewayLine> gateways;
    std::vector<UpstreamEntry> upstreams;
    std::vector<WorkspaceLine> workspaces;
    boost::json::array documents; // configuration
};

/// Deployment of a profile: "siamwong" or "papiro". Throws std::runtime_error for another name.
[[nodiscard]] Topology makeTopology(const std::string &profile, std::uint16_t basePort);

/// Writes settings, list, upstreams, configuration and topology.json into a folder.
void writeTopology(const Topology &topology, const std::string &folder);

/// topology.json as other tools read it.
[[nodiscard]] boost::json::object toJson(const Topology &topology);

/// Reads topology.json.
[[nodiscard]] Topology readTopology(const std::string &file);

} // namespace arbutus::loadtool
