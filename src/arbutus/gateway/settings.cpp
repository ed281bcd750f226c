// Parses TOML into Settings and collects all errors.

#include "arbutus/gateway/settings.h"

#include <toml++/toml.h>

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>

namespace arbutus::gateway {

namespace {

constexpr std::int64_t MinSecretBytes = 16;

/// Reads values by their path and collects an error for each invalid or missing one.
class SettingsReader
{
public:
    SettingsReader(const toml::table &root, std::string name)
        : m_root(root)
        , m_name(std::move(name))
    {
    }

    std::string text(const std::string &path, const std::string &fallback, bool required)
    {
        const auto node = find(path);
        if (!node) {
            if (required) {
                addError(path, m_root.source(), "nothing", "a text");
            }
            return fallback;
        }
        const auto value = node.value<std::string>();
        if (!value || value->empty()) {
            addError(path, node.node()->source(), describe(node), "a text");
            return fallback;
        }
        return *value;
    }

    double number(const std::string &path, double fallback, double low, double high)
    {
        const auto node = find(path);
        if (!node) {
            return fallback;
        }
        const auto value = node.value<double>();
        if (!value || !node.is_number() || *value < low || *value > high) {
            std::ostringstream allowed;
            allowed << "a number from " << low << " to " << high;
            addError(path, node.node()->source(), describe(node), allowed.str());
            return fallback;
        }
        return *value;
    }

    http::Endpoint endpoint(const std::string &path, bool required)
    {
        const std::string value = text(path, "", required);
        http::Endpoint found = http::parseEndpoint(value);
        if (!value.empty() && found.port == 0) {
            addError(path, find(path).node()->source(), "\"" + value + "\"", "an IP address and a port, e.g. 127.0.0.1:8101");
        }
        return found;
    }

    std::string oneOf(const std::string &path, const std::string &fallback, const std::vector<std::string> &allowed)
    {
        std::string value = text(path, fallback, false);
        if (std::find(allowed.begin(), allowed.end(), value) == allowed.end()) {
            std::string names;
            for (const std::string &name : allowed) {
                names += (names.empty() ? "" : ", ") + name;
            }
            addError(path, find(path).node()->source(), "\"" + value + "\"", "one of " + names);
            return fallback;
        }
        return value;
    }

    std::string secret(const std::string &path)
    {
        std::string value = text(path, "", true);
        const auto node = find(path);
        if (node && static_cast<std::int64_t>(value.size()) < MinSecretBytes) {
            addError(path, node.node()->source(), "a short secret", "at least 16 bytes");
        }
        return value;
    }

    const toml::array *array(const std::string &path)
    {
        const auto node = find(path);
        if (node && !node.is_array()) {
            addError(path, node.node()->source(), describe(node), "a list");
            return nullptr;
        }
        return node.as_array();
    }

    void addError(const std::string &path, const toml::source_region &source, const std::string &found, const std::string &allowed)
    {
        m_errors.push_back(m_name + ":" + std::to_string(source.begin.line) + ": " + path + ": found " + found + ", allowed is " + allowed);
    }

    /// Adds an error for each key that settingDescriptions() does not list.
    void checkUnknownKeys()
    {
        std::set<std::string> known;
        for (const SettingDescription &description : settingDescriptions()) {
            known.insert(description.path);
        }
        checkTable(m_root, "", known);
    }

    [[nodiscard]] std::string errorText() const
    {
        std::string out;
        for (const std::string &error : m_errors) {
            out += (out.empty() ? "" : "\n") + error;
        }
        return out;
    }

private:
    toml::node_view<const toml::node> find(const std::string &path)
    {
        return m_root.at_path(path);
    }

    static std::string describe(const toml::node_view<const toml::node> &node)
    {
        std::ostringstream out;
        out << node;
        return out.str();
    }

    void checkTable(const toml::table &table, const std::string &prefix, const std::set<std::string> &known)
    {
        for (const auto &[key, value] : table) {
            const std::string path = prefix + std::string(key.str());
            if (known.contains(path)) {
                continue;
            }
            if (const toml::table *inner = value.as_table()) {
                checkTable(*inner, path + ".", known);
                continue;
            }
            addError(path, value.source(), "an unknown key", "a key listed in docs/CONFIGURATION.md");
        }
    }

    const toml::table &m_root;
    std::string m_name;
    std::vector<std::string> m_errors;
};

std::string stringField(const toml::table &table, std::string_view key)
{
    return table[key].value_or(std::string());
}

void parseSeeds(SettingsReader &reader, node::NodeSettings &node)
{
    const toml::array *seeds = reader.array("peers.seeds");
    if (seeds == nullptr) {
        return;
    }
    for (const toml::node &item : *seeds) {
        const toml::table *table = item.as_table();
        membership::Member member;
        if (table != nullptr) {
            member.id = core::InstanceId(stringField(*table, "name"));
            member.region = core::RegionId(stringField(*table, "region"));
            member.domain = core::DomainId(stringField(*table, "failure_domain"));
            member.gossipAddress = stringField(*table, "gossip");
            member.peerAddress = stringField(*table, "peers");
            member.clientUrl = stringField(*table, "url");
        }
        const bool complete = http::parseEndpoint(member.gossipAddress).port != 0 && http::parseEndpoint(member.peerAddress).port != 0;
        if (!complete || member.id.empty() || member.domain.empty()) {
            reader.addError("peers.seeds", item.source(), "an incomplete seed", "name, region, failure_domain, gossip, peers and url");
            continue;
        }
        if (member.id != node.self.id) {
            node.seeds.push_back(std::move(member));
        }
    }
}

void parseTicketKeys(SettingsReader &reader, node::NodeSettings &node)
{
    const toml::array *keys = reader.array("keys.tickets");
    if (keys == nullptr || keys->empty()) {
        reader.addError("keys.tickets", toml::source_region{}, "nothing", "a list of {id, secret}, newest first");
        return;
    }
    for (const toml::node &item : *keys) {
        const toml::table *table = item.as_table();
        const std::string id = table == nullptr ? "" : stringField(*table, "id");
        const std::string secret = table == nullptr ? "" : stringField(*table, "secret");
        if (id.empty() || id.find('~') != std::string::npos || static_cast<std::int64_t>(secret.size()) < MinSecretBytes) {
            reader.addError("keys.tickets", item.source(), "an unusable key", "an id without '~' and a secret of at least 16 bytes");
            continue;
        }
        node.ticketKeys.push_back(delivery::TicketSigningKey{id, secret});
    }
}

void parsePlatform(SettingsReader &reader, Settings &settings)
{
    const toml::array *addresses = reader.array("platform.addresses");
    if (addresses != nullptr) {
        for (const toml::node &item : *addresses) {
            const http::Endpoint endpoint = http::parseEndpoint(item.value_or(std::string()));
            if (endpoint.port == 0) {
                reader.addError("platform.addresses", item.source(), "an unusable address", "an IP address and a port");
                continue;
            }
            settings.platformEndpoints.push_back(endpoint);
        }
    }
    if (settings.platformEndpoints.empty()) {
        reader.addError("platform.addresses", toml::source_region{}, "nothing", "a list of addresses");
    }
}

void parseNode(SettingsReader &reader, Settings &settings)
{
    node::NodeSettings &node = settings.node;
    node.self.id = core::InstanceId(reader.text("instance.name", "", true));
    node.self.region = core::RegionId(reader.text("instance.region", "", true));
    node.self.domain = core::DomainId(reader.text("instance.failure_domain", "", true));
    node.self.gossipAddress = http::toString(settings.gossipEndpoint);
    node.self.peerAddress = http::toString(settings.peersEndpoint);
    node.self.clientUrl = reader.text("listen.callers_url", "http://" + http::toString(settings.clientEndpoint), false);
    node.routerName = reader.oneOf("routing.router", "scored", {"scored", "round_robin", "least_in_flight", "naive_exact"});
    node.routing.regionRoundTrip = std::chrono::microseconds(static_cast<std::int64_t>(reader.number("routing.region_round_trip_ms", 110, 0, 10'000) * 1000));
    node.retryBudgetRatio = reader.number("limits.retry_share", node.retryBudgetRatio, 0, 1);
    node.admissionQueueCapacity = static_cast<std::size_t>(reader.number("limits.waiting_room", static_cast<double>(node.admissionQueueCapacity), 1, 1e6));
    node.ticketLifetime = std::chrono::milliseconds(static_cast<std::int64_t>(reader.number("limits.ticket_life_s", 600, 1, 86'400) * 1000));
    parseSeeds(reader, node);
    parseTicketKeys(reader, node);
}

} // namespace

const std::vector<SettingDescription> &settingDescriptions()
{
    static const std::vector<SettingDescription> descriptions{
        {"instance.name", "text", "name of this instance, unique among all instances", "required"},
        {"instance.region", "text", "region in which the instance runs", "required"},
        {"instance.failure_domain", "text", "failure domain in which the instance runs", "required"},
        {"listen.callers", "text", "listen address for clients: IP address and port", "required"},
        {"listen.callers_url", "text", "URL at which clients reach the instance, published in entry lists", "http:// and listen.callers"},
        {"listen.admin", "text", "listen address of the admin server", "required"},
        {"listen.peers", "text", "listen address for gRPC calls from other instances", "required"},
        {"listen.gossip", "text", "listen address for gossip datagrams from other instances, UDP", "required"},
        {"peers.cluster_key", "text", "secret shared by all instances, at least 16 bytes", "required"},
        {"peers.seeds", "list", "instances to contact first when joining: name, region, failure_domain, gossip, peers, url", "none"},
        {"platform.addresses", "list", "addresses of the platform's service, tried in order", "required"},
        {"keys.admin", "text", "key that authorizes admin requests, at least 16 bytes", "required"},
        {"keys.tickets", "list", "ticket signing keys {id, secret}, newest first; the others only verify", "required"},
        {"routing.router", "text", "scored, round_robin, least_in_flight or naive_exact", "scored"},
        {"routing.region_round_trip_ms", "number", "milliseconds, 0 to 10000: round trip to another region", "110"},
        {"limits.retry_share", "number", "limit for retries, as a fraction of first attempts, 0 to 1", "0.1"},
        {"limits.waiting_room", "number", "requests queued for admission, per model, 1 to 1000000", "4096"},
        {"limits.ticket_life_s", "number", "seconds, 1 to 86400: until a ticket expires", "600"},
        {"tls.certificate", "text", "PEM file: certificate chain for the client and admin servers", "none"},
        {"tls.key", "text", "PEM file: private key of the certificate", "none"},
    };
    return descriptions;
}

core::Result<Settings> parseSettings(std::string_view text, const std::string &name)
{
    toml::table root;
    try {
        root = toml::parse(text);
    } catch (const toml::parse_error &error) {
        return core::makeError(core::ErrorKind::SettingsInvalid,
                               name + ":" + std::to_string(error.source().begin.line) + ": invalid TOML: " + std::string(error.description()));
    }
    SettingsReader reader(root, name);
    Settings settings;
    settings.clientEndpoint = reader.endpoint("listen.callers", true);
    settings.adminEndpoint = reader.endpoint("listen.admin", true);
    settings.peersEndpoint = reader.endpoint("listen.peers", true);
    settings.gossipEndpoint = reader.endpoint("listen.gossip", true);
    settings.adminKey = reader.secret("keys.admin");
    settings.clusterKey = reader.secret("peers.cluster_key");
    settings.tls.certificateFile = reader.text("tls.certificate", "", false);
    settings.tls.privateKeyFile = reader.text("tls.key", "", false);
    if (settings.tls.certificateFile.empty() != settings.tls.privateKeyFile.empty()) {
        reader.addError("tls", toml::source_region{}, "one of certificate and key", "both or none");
    }
    parsePlatform(reader, settings);
    parseNode(reader, settings);
    reader.checkUnknownKeys();
    if (const std::string errorText = reader.errorText(); !errorText.empty()) {
        return core::makeError(core::ErrorKind::SettingsInvalid, errorText);
    }
    return settings;
}

core::Result<Settings> loadSettings(const std::string &file)
{
    std::ifstream in(file);
    if (!in) {
        return core::makeError(core::ErrorKind::SettingsInvalid, file + ": the file cannot be read");
    }
    std::stringstream text;
    text << in.rdbuf();
    return parseSettings(text.str(), file);
}

} // namespace arbutus::gateway
