// Reading of the settings file.

#include "arbutus/edge/settings.h"

#include <toml++/toml.h>

namespace arbutus::edge {

namespace {

/// Reads keys of one table and collects every fault, so that one look shows all of them.
class Reader
{
public:
    explicit Reader(const toml::table &table)
        : m_table(table)
    {
    }

    std::string text(std::string_view path)
    {
        const auto value = m_table.at_path(path).value<std::string>();
        if (!value || value->empty()) {
            m_faults += std::string(path) + ": a text is required; ";
        }
        return value.value_or("");
    }

    double number(std::string_view path, double fallback, double least, double most)
    {
        const auto node = m_table.at_path(path);
        const auto value = node.value<double>();
        if (!node) {
            return fallback;
        }
        if (!value || *value < least || *value > most) {
            m_faults += std::string(path) + ": a number from " + std::to_string(least) + " to " + std::to_string(most) + " is allowed; ";
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
        const std::string value = text(path);
        http::Endpoint out = http::parseEndpoint(value);
        if (!value.empty() && out.port == 0) {
            m_faults += std::string(path) + ": \"" + value + "\" is not an IP address with a port; ";
        }
        return out;
    }

    [[nodiscard]] const std::string &faults() const
    {
        return m_faults;
    }
    void fault(const std::string &text)
    {
        m_faults += text;
    }

private:
    const toml::table &m_table;
    std::string m_faults;
};

void readRegions(const toml::table &table, Reader &reader, Settings &out)
{
    const toml::table *regions = table["domains"].as_table();
    if (regions == nullptr || regions->empty()) {
        reader.fault("domains: a table of failure domain = region is required; ");
        return;
    }
    for (const auto &[domain, region] : *regions) {
        out.regions[core::DomainId(std::string(domain.str()))] = core::RegionId(region.value_or(std::string()));
    }
}

void readDispatch(Reader &reader, routing::DispatcherSettings &out)
{
    const auto backlog = std::chrono::duration_cast<std::chrono::milliseconds>(out.backlogMost);
    out.backlogMost = reader.milliseconds("dispatch.backlog_most_ms", backlog);
    out.restBetween = reader.milliseconds("dispatch.rest_between_ms", std::chrono::duration_cast<std::chrono::milliseconds>(out.restBetween));
    out.readAgainWeight = reader.number("dispatch.reading_weight", out.readAgainWeight, 1, 100);
    out.slowedWeight = reader.number("dispatch.slowed_weight", out.slowedWeight, 0, 100);
    out.streamingWeight = reader.number("dispatch.streaming_weight", out.streamingWeight, 0, 100);
    out.slotsUsed = reader.number("dispatch.slots_used", out.slotsUsed, 0.05, 1);
}

} // namespace

bool describesEdge(const std::string &path)
{
    const toml::parse_result parsed = toml::parse_file(path);
    return parsed.contains("route_gateway");
}

core::Result<Settings> loadSettings(const std::string &path)
{
    try {
        const toml::table table = toml::parse_file(path);
        Reader reader(table);
        Settings out;
        out.id = core::InstanceId(reader.text("route_gateway.id"));
        out.domain = core::DomainId(reader.text("route_gateway.failure_domain"));
        out.region = core::RegionId(reader.text("route_gateway.region"));
        out.capacity = reader.number("route_gateway.capacity", 1, 0.001, 1024);
        readRegions(table, reader, out);
        out.callers = reader.endpoint("listen.callers");
        out.directory = reader.endpoint("listen.directory");
        out.readiness = reader.endpoint("listen.readiness");
        out.peers = reader.endpoint("listen.peers");
        out.metrics = reader.endpoint("listen.metrics");
        out.store = reader.endpoint("store.address");
        if (const toml::array *seeds = table.at_path("peers.seeds").as_array()) {
            for (const toml::node &seed : *seeds) {
                const http::Endpoint endpoint = http::parseEndpoint(seed.value_or(std::string()));
                if (!endpoint.host.empty()) {
                    out.seeds.push_back(http::Endpoint{endpoint.host, out.peers.port}); // peers use one port everywhere
                }
            }
        }
        out.grace = reader.seconds("promises.grace_s", out.grace);
        out.configurationWithin = reader.milliseconds("promises.configuration_within_ms", out.configurationWithin);
        out.leavingWithin = reader.milliseconds("promises.leaving_within_ms", out.leavingWithin);
        out.evacuationWithin = reader.milliseconds("promises.evacuation_within_ms", out.evacuationWithin);
        out.retryRatio = reader.number("promises.retry_ratio", out.retryRatio, 0, 10);
        out.retrySlack = reader.number("promises.retry_slack", out.retrySlack, 0, 1e6);
        out.retryWindow = reader.seconds("promises.retry_window_s", out.retryWindow);
        out.directoryLifetime = std::chrono::seconds(static_cast<std::int64_t>(reader.number("directory.lifetime_s", 2, 1, 3600)));
        readDispatch(reader, out.dispatch);
        if (!reader.faults().empty()) {
            return core::makeError(core::ErrorKind::SettingsInvalid, path + ": " + reader.faults());
        }
        return out;
    } catch (const toml::parse_error &error) {
        return core::makeError(core::ErrorKind::SettingsInvalid, path + ": " + std::string(error.description()));
    }
}

} // namespace arbutus::edge
