// Deployment profiles and their files.
//
// Sections:
//   Profiles     workspaces, gateways and upstreams of each profile
//   Files        written for gateways, simulated upstreams and tools
//   Reading      topology.json

#include "arbutus/loadtool/topology.h"

#include "arbutus/core/hash.h"
#include "arbutus/core/json.h"

#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace arbutus::loadtool {

namespace json = boost::json;

namespace {

constexpr std::uint16_t CallersOffset = 100;
constexpr std::uint16_t AdminOffset = 200;
constexpr std::uint16_t PeersOffset = 300;
constexpr std::uint16_t GossipOffset = 400;
constexpr std::uint16_t UpstreamOffset = 500;
constexpr const char *ClusterKey = "local-cluster-key-for-demo";
constexpr const char *TicketSecret = "local-ticket-key-for-demo";

//-----------------------------------------------------------------------------
// Profiles
//-----------------------------------------------------------------------------

json::object requestClass(const char *urgency, std::int64_t deadlineMs, bool mayWait, bool repeatable)
{
    return json::object{{"urgency", urgency}, {"deadline_ms", deadlineMs}, {"may_wait", mayWait}, {"repeatable", repeatable}};
}

json::object
templateDocument(const char *id, json::array models, json::array services, json::object classes, const char *defaultClass, double cost, double latency)
{
    json::object parameters{{"regions", json::object{{"type", "list"}}},
                            {"home", json::object{{"type", "text"}}},
                            {"rate", json::object{{"type", "number"}, {"default", 200}, {"min", 1}, {"max", 100000}}},
                            {"concurrency", json::object{{"type", "number"}, {"default", 512}, {"min", 1}, {"max", 100000}}}};
    json::object policy{{"models", std::move(models)},
                        {"services", std::move(services)},
                        {"residency", "${regions}"},
                        {"home_region", "${home}"},
                        {"classes", std::move(classes)},
                        {"default_class", defaultClass},
                        {"weights", json::object{{"cost", cost}, {"latency", latency}}},
                        {"limits", json::object{{"requests_per_s", "${rate}"}, {"concurrency", "${concurrency}"}}}};
    return json::object{{"kind", "template"}, {"id", id}, {"parameters", std::move(parameters)}, {"policy", std::move(policy)}};
}

json::array toArray(const std::vector<std::string> &strings)
{
    json::array out;
    for (const std::string &text : strings) {
        out.emplace_back(text);
    }
    return out;
}

json::object workspaceDocument(const WorkspaceSpec &workspace, const char *templateId)
{
    json::object parameters{{"regions", toArray(workspace.residency)}, {"home", workspace.homeRegion}};
    return json::object{{"kind", "workspace"},
                        {"id", workspace.name},
                        {"template", templateId},
                        {"parameters", std::move(parameters)},
                        {"key_sha256", json::array{core::sha256Hex(workspace.key)}}};
}

void addWorkspace(Topology &topology, const char *templateId, std::string name, std::string home, std::vector<std::string> residency, double share)
{
    const json::object &policy = topology.documents.front().as_object().at("policy").as_object();
    WorkspaceSpec workspace;
    workspace.name = std::move(name);
    workspace.key = "key-of-" + workspace.name;
    workspace.homeRegion = std::move(home);
    workspace.residency = std::move(residency);
    for (const auto &field : policy.at("classes").as_object()) {
        workspace.classes.emplace_back(field.key());
    }
    for (const json::value &model : policy.at("models").as_array()) {
        workspace.models.emplace_back(model.as_string());
    }
    for (const json::value &service : policy.at("services").as_array()) {
        workspace.services.emplace_back(service.as_string());
    }
    workspace.trafficShare = share;
    topology.documents.push_back(workspaceDocument(workspace, templateId));
    topology.workspaces.push_back(std::move(workspace));
}

void addInstances(Topology &topology, std::uint16_t basePort, const std::vector<std::string> &models, const std::string &service)
{
    std::uint16_t gateway = 0;
    std::uint16_t upstream = 0;
    for (std::size_t r = 0; r < topology.regions.size(); ++r) {
        const std::string &region = topology.regions[r];
        const std::string domain = region + "-a";
        const int gateways = r + 1 < topology.regions.size() ? 3 : 2;
        for (int i = 1; i <= gateways; ++i, ++gateway) {
            topology.gateways.push_back(GatewaySpec{"gw-" + region + "-" + std::to_string(i),
                                                    region,
                                                    domain,
                                                    static_cast<std::uint16_t>(basePort + CallersOffset + gateway),
                                                    static_cast<std::uint16_t>(basePort + AdminOffset + gateway),
                                                    static_cast<std::uint16_t>(basePort + PeersOffset + gateway),
                                                    static_cast<std::uint16_t>(basePort + GossipOffset + gateway)});
        }
        for (int i = 1; i <= 4; ++i, ++upstream) {
            UpstreamSpec entry;
            entry.name = "model-" + region + "-" + std::to_string(i);
            entry.region = region;
            entry.domain = domain;
            entry.port = static_cast<std::uint16_t>(basePort + UpstreamOffset + upstream);
            entry.models = models;
            entry.price = 1.0 + 0.25 * static_cast<double>(r); // prices differ between regions
            entry.checksFencing = i != 4;
            topology.upstreams.push_back(std::move(entry));
        }
        UpstreamSpec entry;
        entry.name = service + "-" + region;
        entry.isModelEngine = false;
        entry.region = region;
        entry.domain = domain;
        entry.port = static_cast<std::uint16_t>(basePort + UpstreamOffset + upstream++);
        entry.service = service;
        topology.upstreams.push_back(std::move(entry));
    }
}

Topology makeSiamwong(std::uint16_t basePort)
{
    Topology topology;
    topology.regions = {"bangkok", "chiangmai", "hatyai"};
    json::object classes{{"desk", requestClass("urgent", 8'000, false, true)},
                         {"check", requestClass("normal", 20'000, false, true)},
                         {"reconcile", requestClass("background", 60'000, true, true)},
                         {"order", requestClass("urgent", 5'000, false, false)}};
    topology.documents.push_back(templateDocument("press", {"almanac-large", "almanac-small"}, {"orders"}, std::move(classes), "check", 0.7, 0.3));
    addWorkspace(topology, "press", "siamwong", "bangkok", {"bangkok", "chiangmai", "hatyai"}, 0.7);
    addWorkspace(topology, "press", "temples", "chiangmai", {"chiangmai", "bangkok"}, 0.18);
    addWorkspace(topology, "press", "mosques", "hatyai", {"hatyai"}, 0.12);
    addInstances(topology, basePort, {"almanac-large", "almanac-small"}, "orders");
    return topology;
}

Topology makePapiro(std::uint16_t basePort)
{
    Topology topology;
    topology.regions = {"antioquia", "cundinamarca", "valle"};
    json::object classes{{"counter", requestClass("urgent", 3'000, false, true)},
                         {"shift", requestClass("background", 60'000, true, true)},
                         {"charge", requestClass("urgent", 4'000, false, false)}};
    topology.documents.push_back(templateDocument("till", {"till-small"}, {"tills"}, std::move(classes), "counter", 0.2, 0.8));
    addWorkspace(topology, "till", "papiro", "antioquia", {"antioquia", "cundinamarca", "valle"}, 0.7);
    addWorkspace(topology, "till", "bogota-shops", "cundinamarca", {"cundinamarca", "antioquia"}, 0.18);
    addWorkspace(topology, "till", "univalle", "valle", {"valle"}, 0.12);
    addInstances(topology, basePort, {"till-small"}, "tills");
    return topology;
}

//-----------------------------------------------------------------------------
// Files
//-----------------------------------------------------------------------------

std::string address(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

void writeFile(const std::string &file, const std::string &text)
{
    std::ofstream out(file);
    out << text;
    if (!out) {
        throw std::runtime_error("cannot write file " + file);
    }
}

std::string quoted(const std::string &text)
{
    return "\"" + text + "\"";
}

std::string settingsText(const Topology &topology, const GatewaySpec &self)
{
    std::ostringstream out;
    out << "[instance]\nname = " << quoted(self.name) << "\nregion = " << quoted(self.region) << "\nfailure_domain = " << quoted(self.domain) << "\n\n";
    out << "[listen]\ncallers = " << quoted(address(self.callersPort)) << "\nadmin = " << quoted(address(self.adminPort))
        << "\npeers = " << quoted(address(self.peersPort)) << "\ngossip = " << quoted(address(self.gossipPort)) << "\n\n";
    out << "[peers]\ncluster_key = " << quoted(ClusterKey) << "\nseeds = [\n";
    for (const GatewaySpec &other : topology.gateways) {
        if (other.name != self.name) {
            out << "  { name = " << quoted(other.name) << ", region = " << quoted(other.region) << ", failure_domain = " << quoted(other.domain)
                << ", gossip = " << quoted(address(other.gossipPort)) << ", peers = " << quoted(address(other.peersPort))
                << ", url = " << quoted("http://" + address(other.callersPort)) << " },\n";
        }
    }
    out << "]\n\n[platform]\naddresses = [" << quoted(address(topology.platformPort)) << "]\n\n";
    out << "[keys]\nadmin = " << quoted(topology.adminKey) << "\ntickets = [{ id = \"k1\", secret = " << quoted(TicketSecret) << " }]\n";
    return out.str();
}

json::object instanceListEntry(const GatewaySpec &gateway)
{
    return json::object{{"id", gateway.name},
                        {"kind", "gateway"},
                        {"region", gateway.region},
                        {"failure_domain", gateway.domain},
                        {"gossip", address(gateway.gossipPort)},
                        {"peers", address(gateway.peersPort)},
                        {"url", "http://" + address(gateway.callersPort)},
                        {"state", "live"}};
}

json::object instanceListEntry(const UpstreamSpec &upstream)
{
    return json::object{{"id", upstream.name},
                        {"kind", upstream.isModelEngine ? "model" : "service"},
                        {"region", upstream.region},
                        {"failure_domain", upstream.domain},
                        {"address", address(upstream.port)},
                        {"models", toArray(upstream.models)},
                        {"service", upstream.service},
                        {"price", upstream.price},
                        {"slots", upstream.slots},
                        {"checks_fencing", upstream.checksFencing},
                        {"state", "live"}};
}

json::object topologyEntry(const GatewaySpec &gateway, const std::string &adminKey)
{
    return json::object{{"name", gateway.name},
                        {"region", gateway.region},
                        {"failure_domain", gateway.domain},
                        {"url", "http://" + address(gateway.callersPort)},
                        {"admin_url", "http://" + address(gateway.adminPort)},
                        {"admin_key", adminKey},
                        {"pid", gateway.pid}};
}

json::object topologyEntry(const UpstreamSpec &upstream)
{
    const std::string url = "http://" + address(upstream.port);
    return json::object{{"name", upstream.name},
                        {"kind", upstream.isModelEngine ? "model" : "service"},
                        {"region", upstream.region},
                        {"failure_domain", upstream.domain},
                        {"url", url},
                        {"faults_url", url + "/faults"},
                        {"journal_url", url + "/journal"},
                        {"price", upstream.price},
                        {"slots", upstream.slots}};
}

json::object topologyEntry(const WorkspaceSpec &workspace)
{
    return json::object{{"name", workspace.name},
                        {"key", workspace.key},
                        {"home_region", workspace.homeRegion},
                        {"residency", toArray(workspace.residency)},
                        {"classes", toArray(workspace.classes)},
                        {"models", toArray(workspace.models)},
                        {"services", toArray(workspace.services)},
                        {"share", workspace.trafficShare}};
}

std::uint16_t portOf(const std::string &url)
{
    return static_cast<std::uint16_t>(std::stoi(url.substr(url.rfind(':') + 1)));
}

std::vector<std::string> toStrings(const json::array &array)
{
    std::vector<std::string> strings;
    for (const json::value &value : array) {
        strings.emplace_back(value.as_string());
    }
    return strings;
}

} // namespace

Topology makeTopology(const std::string &profile, std::uint16_t basePort)
{
    if (profile != "siamwong" && profile != "papiro") {
        throw std::runtime_error("unknown profile \"" + profile + "\", expected siamwong or papiro");
    }
    Topology topology = profile == "siamwong" ? makeSiamwong(basePort) : makePapiro(basePort);
    topology.profile = profile;
    topology.platformPort = basePort;
    topology.adminKey = "local-admin-key-for-demo";
    return topology;
}

json::object toJson(const Topology &topology)
{
    json::array gateways;
    for (const GatewaySpec &gateway : topology.gateways) {
        gateways.emplace_back(topologyEntry(gateway, topology.adminKey));
    }
    json::array upstreams;
    for (const UpstreamSpec &upstream : topology.upstreams) {
        upstreams.emplace_back(topologyEntry(upstream));
    }
    json::array workspaces;
    for (const WorkspaceSpec &workspace : topology.workspaces) {
        workspaces.emplace_back(topologyEntry(workspace));
    }
    const std::string platform = "http://" + address(topology.platformPort);
    return json::object{{"profile", topology.profile},
                        {"gateways", std::move(gateways)},
                        {"upstreams", std::move(upstreams)},
                        {"platform", json::object{{"url", platform}, {"faults_url", platform + "/faults"}, {"calls_url", platform + "/calls"}}},
                        {"workspaces", std::move(workspaces)}};
}

void writeTopology(const Topology &topology, const std::string &folder)
{
    std::filesystem::create_directories(folder);
    json::array list;
    json::array upstreams;
    for (const GatewaySpec &gateway : topology.gateways) {
        writeFile(folder + "/" + gateway.name + ".toml", settingsText(topology, gateway));
        list.emplace_back(instanceListEntry(gateway));
    }
    for (const UpstreamSpec &upstream : topology.upstreams) {
        list.emplace_back(instanceListEntry(upstream));
        upstreams.emplace_back(instanceListEntry(upstream));
    }
    writeFile(folder + "/list.json", json::serialize(json::object{{"instances", std::move(list)}}));
    writeFile(folder + "/upstreams.json", json::serialize(json::object{{"upstreams", std::move(upstreams)}}));
    writeFile(folder + "/config.json", json::serialize(topology.documents));
    writeFile(folder + "/topology.json", json::serialize(toJson(topology)));
}

//-----------------------------------------------------------------------------
// Reading
//-----------------------------------------------------------------------------

Topology readTopology(const std::string &file)
{
    std::ifstream in(file);
    std::stringstream text;
    text << in.rdbuf();
    const auto parsed = core::parseJsonObject(text.str());
    if (!parsed) {
        throw std::runtime_error(file + ": " + parsed.error().message);
    }
    Topology topology;
    topology.profile = core::jsonString(parsed.value(), "profile");
    topology.platformPort = portOf(core::jsonString(core::jsonObject(parsed.value(), "platform"), "url"));
    for (const json::value &value : core::jsonArray(parsed.value(), "gateways")) {
        const json::object &line = value.as_object();
        GatewaySpec gateway;
        gateway.name = core::jsonString(line, "name");
        gateway.region = core::jsonString(line, "region");
        gateway.domain = core::jsonString(line, "failure_domain");
        gateway.callersPort = portOf(core::jsonString(line, "url"));
        gateway.adminPort = portOf(core::jsonString(line, "admin_url"));
        gateway.pid = core::jsonInteger(line, "pid");
        topology.adminKey = core::jsonString(line, "admin_key");
        topology.gateways.push_back(std::move(gateway));
    }
    for (const json::value &value : core::jsonArray(parsed.value(), "upstreams")) {
        const json::object &line = value.as_object();
        UpstreamSpec upstream;
        upstream.name = core::jsonString(line, "name");
        upstream.isModelEngine = core::jsonString(line, "kind") == "model";
        upstream.region = core::jsonString(line, "region");
        upstream.domain = core::jsonString(line, "failure_domain");
        upstream.port = portOf(core::jsonString(line, "url"));
        upstream.price = core::jsonNumber(line, "price", 1.0);
        topology.upstreams.push_back(std::move(upstream));
    }
    for (const json::value &value : core::jsonArray(parsed.value(), "workspaces")) {
        const json::object &line = value.as_object();
        WorkspaceSpec workspace;
        workspace.name = core::jsonString(line, "name");
        workspace.key = core::jsonString(line, "key");
        workspace.homeRegion = core::jsonString(line, "home_region");
        workspace.residency = toStrings(core::jsonArray(line, "residency"));
        workspace.classes = toStrings(core::jsonArray(line, "classes"));
        workspace.models = toStrings(core::jsonArray(line, "models"));
        workspace.services = toStrings(core::jsonArray(line, "services"));
        workspace.trafficShare = core::jsonNumber(line, "share", 1.0);
        topology.workspaces.push_back(std::move(workspace));
    }
    return topology;
}

} // namespace arbutus::loadtool
