// Parsing and validation of the settings file.

#include "arbutus/edge/settings.h"

#include <toml++/toml.h>

#include <map>
#include <optional>

namespace arbutus::edge {

namespace {

/// Reads keys of a table and collects all errors, so that they are reported together.
class TableReader
{
public:
    explicit TableReader(const toml::table &table)
        : m_table(table)
    {
    }

    std::string requiredString(std::string_view path)
    {
        const auto value = m_table.at_path(path).value<std::string>();
        if (!value || value->empty()) {
            m_errors += std::string(path) + ": a non-empty string is required; ";
        }
        return value.value_or("");
    }

    double number(std::string_view path, double fallback, double min, double max)
    {
        const auto node = m_table.at_path(path);
        const auto value = node.value<double>();
        if (!node) {
            return fallback;
        }
        if (!value || *value < min || *value > max) {
            m_errors += std::string(path) + ": must be a number from " + std::to_string(min) + " to " + std::to_string(max) + "; ";
            return fallback;
        }
        return *value;
    }

    std::chrono::milliseconds milliseconds(std::string_view path, std::chrono::milliseconds fallback)
    {
        constexpr double Day = 86'400'000;
        return std::chrono::milliseconds(static_cast<std::int64_t>(number(path, static_cast<double>(fallback.count()), 0, Day)));
    }

    std::chrono::milliseconds seconds(std::string_view path, std::chrono::milliseconds fallback)
    {
        constexpr double Day = 86'400;
        return std::chrono::milliseconds(static_cast<std::int64_t>(number(path, static_cast<double>(fallback.count()) / 1000, 0, Day) * 1000));
    }

    http::Endpoint endpoint(std::string_view path)
    {
        const std::string value = requiredString(path);
        http::Endpoint out = http::parseEndpoint(value);
        if (!value.empty() && out.port == 0) {
            m_errors += std::string(path) + ": \"" + value + "\" is not an address of the form IP:port; ";
        }
        return out;
    }

    [[nodiscard]] const std::string &errors() const
    {
        return m_errors;
    }
    void addError(const std::string &message)
    {
        m_errors += message;
    }

private:
    const toml::table &m_table;
    std::string m_errors;
};

void readDomains(const toml::table &table, TableReader &reader, Settings &out)
{
    const toml::table *regions = table["domains"].as_table();
    if (regions == nullptr || regions->empty()) {
        reader.addError("domains: a table that maps failure domains to regions is required; ");
        return;
    }
    for (const auto &[domain, region] : *regions) {
        out.regionByDomain[core::DomainId(std::string(domain.str()))] = core::RegionId(region.value_or(std::string()));
    }
}

void readDispatcher(TableReader &reader, routing::DispatcherSettings &out)
{
    const auto maxBacklog = std::chrono::duration_cast<std::chrono::milliseconds>(out.maxBacklog);
    out.maxBacklog = reader.milliseconds("dispatch.backlog_most_ms", maxBacklog);
    out.longPromptGap = reader.milliseconds("dispatch.rest_between_ms", std::chrono::duration_cast<std::chrono::milliseconds>(out.longPromptGap));
    out.prefillWeight = reader.number("dispatch.reading_weight", out.prefillWeight, 1, 100);
    out.interferenceWeight = reader.number("dispatch.slowed_weight", out.interferenceWeight, 0, 100);
    out.decodeWeight = reader.number("dispatch.streaming_weight", out.decodeWeight, 0, 100);
    out.maxSlotUtilization = reader.number("dispatch.slots_used", out.maxSlotUtilization, 0.05, 1);
}

std::optional<routing::QueueOrderKind> parseQueueOrder(const std::string &name)
{
    static const std::map<std::string, routing::QueueOrderKind> byName{{"urgency", routing::QueueOrderKind::Urgency}, {"cost", routing::QueueOrderKind::Cost}};
    const auto found = byName.find(name);
    return found == byName.end() ? std::nullopt : std::optional(found->second);
}

/// dispatch.order, or the order that dispatch.order_where states for one of the parts of the deployment's contract.
void readQueueOrder(const toml::table &table, TableReader &reader, routing::DispatcherSettings &out)
{
    const auto read = [&](const std::string &path, const toml::node_view<const toml::node> &node) {
        if (!node) {
            return;
        }
        if (const auto order = parseQueueOrder(node.value_or(std::string()))) {
            out.queueOrder = *order;
        } else {
            reader.addError(path + ": must be \"urgency\" or \"cost\"; ");
        }
    };
    read("dispatch.order", table.at_path("dispatch.order"));
    const toml::array *parts = table.at_path("deployment.contract_parts").as_array();
    if (parts == nullptr) {
        return;
    }
    for (const toml::node &part : *parts) {
        const std::string path = "dispatch.order_where." + part.value_or(std::string());
        read(path, table["dispatch"]["order_where"][part.value_or(std::string())]);
    }
}

} // namespace

bool isRouteGatewayFile(const std::string &path)
{
    const toml::parse_result parsed = toml::parse_file(path);
    return parsed.contains("route_gateway");
}

core::Result<Settings> loadSettings(const std::string &path)
{
    try {
        const toml::table table = toml::parse_file(path);
        TableReader reader(table);
        Settings out;
        out.instanceId = core::InstanceId(reader.requiredString("route_gateway.id"));
        out.failureDomain = core::DomainId(reader.requiredString("route_gateway.failure_domain"));
        out.region = core::RegionId(reader.requiredString("route_gateway.region"));
        out.capacity = reader.number("route_gateway.capacity", 1, 0.001, 1024);
        readDomains(table, reader, out);
        out.clientEndpoint = reader.endpoint("listen.callers");
        out.directoryEndpoint = reader.endpoint("listen.directory");
        out.readinessEndpoint = reader.endpoint("listen.readiness");
        out.peersEndpoint = reader.endpoint("listen.peers");
        out.metricsEndpoint = reader.endpoint("listen.metrics");
        out.storeEndpoint = reader.endpoint("store.address");
        if (const toml::array *seeds = table.at_path("peers.seeds").as_array()) {
            for (const toml::node &seed : *seeds) {
                const http::Endpoint endpoint = http::parseEndpoint(seed.value_or(std::string()));
                if (!endpoint.host.empty()) {
                    out.seedPeers.push_back(http::Endpoint{endpoint.host, out.peersEndpoint.port}); // all instances use the same peer port
                }
            }
        }
        out.shutdownGracePeriod = reader.seconds("promises.grace_s", out.shutdownGracePeriod);
        out.maxConfigurationDelay = reader.milliseconds("promises.configuration_within_ms", out.maxConfigurationDelay);
        out.maxLeavingDelay = reader.milliseconds("promises.leaving_within_ms", out.maxLeavingDelay);
        out.maxEvacuationDelay = reader.milliseconds("promises.evacuation_within_ms", out.maxEvacuationDelay);
        out.retryRatio = reader.number("promises.retry_ratio", out.retryRatio, 0, 10);
        out.minRetries = reader.number("promises.retry_slack", out.minRetries, 0, 1e6);
        out.retryWindow = reader.seconds("promises.retry_window_s", out.retryWindow);
        out.directoryTtl = std::chrono::seconds(static_cast<std::int64_t>(reader.number("directory.lifetime_s", 2, 1, 3600)));
        if (const auto delay = reader.milliseconds("promises.withdrawal_within_ms", std::chrono::milliseconds(0)); delay.count() > 0) {
            out.maxWithdrawalDelay = delay;
        }
        out.quotaWindow = reader.seconds("promises.quota_window_s", out.quotaWindow);
        out.quotaOvershoot = reader.number("promises.quota_overshoot", out.quotaOvershoot, 0, 100);
        out.quotaSlack = reader.number("promises.quota_slack", out.quotaSlack, 0, 1e15);
        constexpr double BytesPerMegabyte = 1024 * 1024;
        out.bodyMemory =
            static_cast<std::size_t>(BytesPerMegabyte * reader.number("memory.bodies_mb", static_cast<double>(out.bodyMemory) / BytesPerMegabyte, 1, 1e6));
        out.maxConnections = static_cast<std::size_t>(reader.number("limits.connections", 0, 0, 1e6));
        readDispatcher(reader, out.dispatcher);
        readQueueOrder(table, reader, out.dispatcher);
        if (!reader.errors().empty()) {
            return core::makeError(core::ErrorKind::SettingsInvalid, path + ": " + reader.errors());
        }
        return out;
    } catch (const toml::parse_error &error) {
        return core::makeError(core::ErrorKind::SettingsInvalid, path + ": " + std::string(error.description()));
    }
}

} // namespace arbutus::edge
