// Store, instances, upstreams and clients of the rig.

#include "support/edgerig.h"
#include "arbutus/edge/fleet.h"
#include "arbutus/http/server.h"
#include "support/datagramloss.h"
#include "support/freeport.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <fcntl.h>

#include <algorithm>
#include <sstream>
#include <thread>

namespace arbutus::tests {

namespace asio = boost::asio;
namespace beast = boost::beast;
using namespace std::chrono_literals;
using ErrorCode = boost::system::error_code;
using Tcp = asio::ip::tcp;

namespace {

constexpr const char *SenderHeader = "X-Rig-Sender"; // instance that sent a request to an upstream
constexpr std::size_t RegionCount = 2;
constexpr std::size_t EngineSlots = 64;

std::string regionName(std::size_t region)
{
    return region == 0 ? "x" : "y";
}

std::vector<std::string> splitList(const std::string &list, char separator)
{
    std::vector<std::string> out;
    std::istringstream in(list);
    std::string element;
    while (std::getline(in, element, separator)) {
        out.push_back(element);
    }
    return out;
}

std::string chunk(const std::string &data)
{
    std::ostringstream size;
    size << std::hex << data.size();
    return size.str() + "\r\n" + data + "\r\n";
}

/// Removes the whole events at the begin of the data of a stream and returns them.
std::vector<StreamEvent> takeEvents(std::string &data)
{
    std::vector<StreamEvent> out;
    constexpr std::string_view Separator = "\n\n";
    for (std::size_t end = data.find(Separator); end != std::string::npos; end = data.find(Separator)) {
        StreamEvent event;
        for (const std::string &line : splitList(data.substr(0, end), '\n')) {
            std::istringstream in(line);
            std::string field;
            in >> field;
            if (field == "id:") {
                in >> event.id;
            } else if (field == "data:") {
                in >> event.service >> event.version;
            }
        }
        data.erase(0, end + Separator.size());
        if (event.id > 0) {
            out.push_back(std::move(event));
        }
    }
    return out;
}

/// Adds the sender to each request for an upstream, and reports the requests that reach its instance.
class RigAdapter final : public platform::PlatformAdapter
{
public:
    RigAdapter(std::string sender, std::function<void(const std::string &attempt)> onReceived)
        : m_sender(std::move(sender))
        , m_onReceived(std::move(onReceived))
    {
    }
    [[nodiscard]] core::Result<edge::RequestHead> parseRequest(const http::Request &request) const override
    {
        m_onReceived(http::headerValue(request.headers, "X-Attempt-Id"));
        return PlatformAdapter::parseRequest(request);
    }
    [[nodiscard]] http::Headers upstreamHeaders(const http::Request &request, const edge::UpstreamRequestOptions &options) const override
    {
        http::Headers headers = PlatformAdapter::upstreamHeaders(request, options);
        headers[SenderHeader] = m_sender;
        return headers;
    }

private:
    std::string m_sender;
    std::function<void(const std::string &attempt)> m_onReceived;
};

} // namespace

//-----------------------------------------------------------------------------
// Store
//-----------------------------------------------------------------------------

/// The platform's store, with a history of its changes. It can be restored from a copy that is some time old.
struct EdgeRig::Store
{
    explicit Store(const core::Clock &theClock)
        : clock(theClock)
    {
    }

    struct Record
    {
        core::TimePoint at{};
        metadata::StoreChange change;
    };
    struct Lease
    {
        core::TimePoint grantedAt{};
        std::set<std::string> keys;
    };

    const core::Clock &clock;
    metadata::StorePosition position{metadata::StoreGeneration(1), metadata::StoreRevision(1)};
    std::map<std::string, metadata::StoreItem> items;
    std::vector<Record> history;
    std::map<std::string, Lease> leases; // by id; they do not expire by themselves
    std::uint64_t nextLease = 1;
    std::vector<core::TimePoint> writes; // calls of instances
    std::vector<core::TimePoint> reads;

    void set(const std::string &key, const std::string &value)
    {
        ++position.revision.value;
        items[key] = metadata::StoreItem{key, value, position.revision};
        history.push_back(Record{clock.steadyNow(), metadata::StoreChange{items[key], false}});
    }
    void remove(const std::string &key)
    {
        ++position.revision.value;
        items.erase(key);
        history.push_back(Record{clock.steadyNow(), metadata::StoreChange{metadata::StoreItem{key, "", position.revision}, true}});
    }
    void restore(core::Duration age)
    {
        const core::TimePoint copiedAt = clock.steadyNow() - age;
        while (!history.empty() && history.back().at > copiedAt) {
            history.pop_back();
        }
        std::erase_if(leases, [&](const auto &lease) { return lease.second.grantedAt > copiedAt; });
        ++position.generation.value;
        position.revision = history.empty() ? metadata::StoreRevision(1) : history.back().change.item.revision;
        items.clear();
        for (const Record &record : history) {
            if (record.change.removed) {
                items.erase(record.change.item.key);
            } else {
                items[record.change.item.key] = record.change.item;
            }
        }
    }
};

/// One instance's connection to the store.
struct EdgeRig::StoreView final : metadata::MetadataStore
{
    StoreView(Store &theStore, const EdgeRigOptions &options)
        : store(theStore)
        , keepsRegistrations(options.keepsRegistrations)
        , answerDelay(options.storeDelay)
    {
    }

    Store &store;
    bool keepsRegistrations;
    std::chrono::milliseconds answerDelay;
    bool isCut = false;

    [[nodiscard]] static metadata::StoreError unreachable()
    {
        return metadata::StoreError{metadata::StoreErrorKind::Unreachable, "cut off"};
    }
    [[nodiscard]] metadata::StoreError error(metadata::StoreErrorKind kind, const std::string &message) const
    {
        return metadata::StoreError{kind, message, metadata::StoreError::WriteEffect::None, store.position.generation};
    }

    /// An answer shows the store as it was when the question arrived there.
    [[nodiscard]] asio::awaitable<void> delayAnswer() const
    {
        if (answerDelay > 0ms) {
            asio::steady_timer timer(co_await asio::this_coro::executor, answerDelay);
            co_await timer.async_wait(asio::use_awaitable);
        }
    }

    asio::awaitable<metadata::StoreResult<metadata::StoreRange>> range(std::string prefix, metadata::ReadConsistency) override
    {
        if (isCut) {
            co_return unreachable();
        }
        store.reads.push_back(store.clock.steadyNow());
        metadata::StoreRange out;
        out.position = store.position;
        for (const auto &[key, item] : store.items) {
            if (key.starts_with(prefix)) {
                out.items.push_back(item);
            }
        }
        co_await delayAnswer();
        co_return out;
    }
    /// Does not wait for changes.
    asio::awaitable<metadata::StoreResult<metadata::StoreChanges>> watch(std::string, metadata::StoreRevision after, std::chrono::milliseconds) override
    {
        if (isCut) {
            co_return unreachable();
        }
        store.reads.push_back(store.clock.steadyNow());
        if (after > store.position.revision) {
            co_return error(metadata::StoreErrorKind::HistoryCompacted, "no such revision");
        }
        metadata::StoreChanges out;
        out.position = store.position;
        for (const Store::Record &record : store.history) {
            if (record.change.item.revision > after) {
                out.changes.push_back(record.change);
            }
        }
        co_await delayAnswer();
        co_return out;
    }
    asio::awaitable<metadata::StoreResult<metadata::StorePosition>> put(std::string key, std::string value, metadata::LeaseId lease) override
    {
        if (isCut) {
            co_return unreachable();
        }
        store.writes.push_back(store.clock.steadyNow());
        if (!keepsRegistrations) {
            co_return store.position;
        }
        const auto found = store.leases.find(lease.text);
        if (found == store.leases.end()) {
            co_return error(metadata::StoreErrorKind::LeaseNotFound, "no such lease");
        }
        found->second.keys.insert(key);
        store.set(key, value);
        co_return store.position;
    }
    asio::awaitable<metadata::StoreResult<metadata::LeaseGrant>> grantLease(std::chrono::milliseconds) override
    {
        if (isCut) {
            co_return unreachable();
        }
        store.writes.push_back(store.clock.steadyNow());
        const metadata::LeaseId lease(std::to_string(store.nextLease++));
        store.leases[lease.text].grantedAt = store.clock.steadyNow();
        co_return metadata::LeaseGrant{lease, store.position.generation};
    }
    asio::awaitable<metadata::StoreResult<metadata::StoreGeneration>> keepLeaseAlive(metadata::LeaseId lease) override
    {
        if (isCut) {
            co_return unreachable();
        }
        store.reads.push_back(store.clock.steadyNow());
        if (!store.leases.contains(lease.text)) {
            co_return error(metadata::StoreErrorKind::LeaseNotFound, "no such lease");
        }
        co_return store.position.generation;
    }
    asio::awaitable<metadata::StoreResult<void>> revokeLease(metadata::LeaseId lease) override
    {
        if (isCut) {
            co_return unreachable();
        }
        if (const auto found = store.leases.find(lease.text); found != store.leases.end()) {
            for (const std::string &key : found->second.keys) {
                store.remove(key);
            }
            store.leases.erase(found);
        }
        co_return boost::outcome_v2::success();
    }
};

//-----------------------------------------------------------------------------
// Instances
//-----------------------------------------------------------------------------

struct EdgeRig::Instance
{
    Instance(EdgeRig &rig, std::size_t number)
        : store(*rig.m_store, rig.m_options)
        , adapter("gateway-" + std::to_string(number), [&rig, number](const std::string &attempt) { rig.recordReceived(number, attempt); })
        , log(rig.m_clock, ::open(logPath(number).c_str(), O_WRONLY | O_CLOEXEC | O_CREAT | O_APPEND, 0600))
    {
        settings.instanceId = core::InstanceId("gateway-" + std::to_string(number));
        settings.region = core::RegionId(regionName(number % RegionCount));
        settings.failureDomain = core::DomainId("domain-" + settings.region.text);
        settings.retryRatio = rig.m_options.retryRatio;
        settings.minRetries = rig.m_options.minRetries;
        for (std::size_t region = 0; region < RegionCount; ++region) {
            settings.regionByDomain[core::DomainId("domain-" + regionName(region))] = core::RegionId(regionName(region));
        }
        for (http::Endpoint *endpoint :
             {&settings.clientEndpoint, &settings.directoryEndpoint, &settings.readinessEndpoint, &settings.metricsEndpoint, &settings.peersEndpoint}) {
            *endpoint = http::Endpoint{"127.0.0.1", freePort()};
        }
    }

    /// ARBUTUS_RIG_LOGS names a directory for the instances' logs; they are discarded if it is unset.
    static std::string logPath(std::size_t number)
    {
        const char *directory = std::getenv("ARBUTUS_RIG_LOGS"); // NOLINT(concurrency-mt-unsafe)
        return directory == nullptr ? "/dev/null" : std::string(directory) + "/gateway-" + std::to_string(number) + ".log";
    }

    edge::Settings settings;
    StoreView store;
    RigAdapter adapter;
    observe::LogBuffer log;
    core::TimePoint frozenUntil{};
    std::vector<std::pair<core::TimePoint, core::TimePoint>> disruptions; // begin and end
    std::unique_ptr<asio::io_context> loop;
    std::unique_ptr<edge::RouteGateway> gateway;
};

EdgeRig::EdgeRig(EdgeRigOptions options)
    : m_options(options)
    , m_random(options.seed)
    , m_store(std::make_unique<Store>(m_clock))
{
    if (options.allowsPathCuts) {
        m_pathCuts = std::make_unique<PathCuts>(m_loop);
    }
    for (std::size_t i = 0; i < options.upstreamsPerRegion * RegionCount; ++i) {
        addUpstream(regionName(i % RegionCount), "s", options.versions[i / RegionCount % options.versions.size()]);
    }
    for (std::size_t i = 0; i < options.secondServiceUpstreamsPerRegion * RegionCount; ++i) {
        addUpstream(regionName(i % RegionCount), "s2", options.versions[i / RegionCount % options.versions.size()]);
    }
    for (std::size_t i = 0; i < options.plainUpstreamsPerRegion * RegionCount; ++i) {
        addUpstream(regionName(i % RegionCount), "p", options.versions.front());
    }
    writeConfiguration();
    for (std::size_t i = 0; i < options.instancesPerRegion * RegionCount; ++i) {
        m_instances.push_back(std::make_unique<Instance>(*this, i));
    }
    for (const auto &instance : m_instances) {
        for (std::size_t i = 0; i < std::min<std::size_t>(2, m_instances.size()); ++i) {
            instance->settings.seedPeers.push_back(m_instances[i]->settings.peersEndpoint);
        }
    }
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
        start(i);
        m_instances[i]->disruptions.clear(); // its first start
    }
    if (options.announcementInterval > 0ms) {
        schedule(options.announcementInterval, [this] { announceAgain(); });
    }
}

void EdgeRig::announceAgain()
{
    for (const auto &upstream : m_upstreams) {
        if (upstream->isUp()) {
            upstream->announce();
        }
    }
    schedule(m_options.announcementInterval, [this] { announceAgain(); });
}

EdgeRig::~EdgeRig()
{
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
        kill(i);
    }
}

void EdgeRig::recordReceived(std::size_t instance, const std::string &attempt)
{
    if (!attempt.empty() && m_results[requestNumber(attempt)].instance != instance) {
        m_peerArrivals.push_back(PeerArrival{now(), instance, attempt});
    }
}

void EdgeRig::configure(RigConfiguration configuration)
{
    m_options.configuration = std::move(configuration);
    writeConfiguration();
}

void EdgeRig::configureAgain()
{
    --m_configurationVersion;
    writeConfiguration();
}

void EdgeRig::restoreStore(std::chrono::milliseconds age)
{
    m_store->restore(age);
}

std::size_t EdgeRig::registrationCount() const
{
    const std::string prefix = platform::PlatformAdapter().storeKeyPrefixes().memberPrefix;
    return static_cast<std::size_t>(
        std::count_if(m_store->items.begin(), m_store->items.end(), [&](const auto &item) { return item.first.starts_with(prefix); }));
}

std::size_t EdgeRig::storeWriteCount(core::TimePoint from, core::TimePoint to) const
{
    const auto isWithin = [&](core::TimePoint at) { return at >= from && at < to; };
    return static_cast<std::size_t>(std::count_if(m_store->writes.begin(), m_store->writes.end(), isWithin));
}

std::uint64_t EdgeRig::appliedConfiguration(std::size_t instance)
{
    const std::string name = "\narbutus_configuration_version ";
    const std::string text = "\n" + metricsText(instance);
    const std::size_t begin = text.find(name);
    return begin == std::string::npos ? 0 : static_cast<std::uint64_t>(std::stod(text.substr(begin + name.size())));
}

void EdgeRig::writeConfiguration()
{
    const RigConfiguration &configuration = m_options.configuration;
    const auto homes = [&](const std::string &path) {
        const auto found = configuration.homeRegions.find(path);
        if (found == configuration.homeRegions.end()) {
            return std::string();
        }
        std::string list;
        for (const std::string &region : found->second) {
            list += (list.empty() ? "\"" : ",\"") + region + "\"";
        }
        return R"(,"home_regions":[)" + list + "]";
    };
    const auto route = [&](const std::string &name, const std::string &path, const std::string &fields) {
        return R"({"name":")" + name + R"(","host":"h.example","path_prefix":"/)" + path + R"(/",)" + fields + homes(path) + R"(,"timeout_ms":)"
            + std::to_string(configuration.routeTimeout.count()) + R"(,"target_latency_ms":)" + std::to_string(configuration.targetLatency.count())
            + R"(,"target_gap_ms":400,"priority":0})";
    };
    const auto repeatable = [](std::size_t maxUpstreams) { return R"("route_type":"safe","service":"p","max_attempts":)" + std::to_string(maxUpstreams); };
    constexpr std::size_t MaxUpstreams = 3;
    std::string routes = route("chat" + configuration.nameSuffix, "chat", R"("route_type":"streaming","resumable":true,"max_attempts":3,"service":"s")");
    const std::string engine = R"(,"engine":{"slots":64,"kv_capacity":200000,"stride":5}})";
    std::string services = R"({"name":"s")" + engine;
    if (m_options.secondServiceUpstreamsPerRegion > 0) {
        services += R"(,{"name":"s2")" + engine;
        routes += ","
            + route("split" + configuration.nameSuffix,
                    "split",
                    R"("route_type":"streaming","resumable":true,"max_attempts":3,)"
                    R"("traffic_split":[{"service":"s","weight":1},{"service":"s2","weight":1}])");
    }
    if (m_options.plainUpstreamsPerRegion > 0) {
        services += R"(,{"name":"p"})";
        routes += "," + route("plain" + configuration.nameSuffix, "plain", repeatable(MaxUpstreams));
        routes += "," + route("once" + configuration.nameSuffix, "once", R"("route_type":"unsafe","max_attempts":1,"service":"p")");
        for (const std::string &name : configuration.extraRoutes) {
            routes += "," + route(name, name, repeatable(MaxUpstreams));
        }
        for (const auto &[name, maxUpstreams] : configuration.limitedRoutes) {
            routes += "," + route(name, name, repeatable(maxUpstreams));
        }
    }
    for (const std::string &name : configuration.extraServices) {
        services += R"(,{"name":")" + name + R"("})";
    }
    m_store->set("op/config",
                 R"({"version":)" + std::to_string(++m_configurationVersion) + R"(,"routes":[)" + routes + R"(],"services":[)" + services
                     + R"(],"limits":{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":3000,"idle_timeout_ms":)"
                     + std::to_string(configuration.idleLimit.count()) + "}}");
    m_configurationHistory.push_back(ConfigurationRecord{now(), m_configurationVersion, configuration.homeRegions});
}

bool ConfigurationRecord::allowsRegion(const std::string &target, const std::string &region) const
{
    const auto found = homeRegions.find(target.substr(1, target.find('/', 1) - 1));
    return found == homeRegions.end() || found->second.empty() || found->second.contains(region);
}

std::string EdgeRig::instanceId(std::size_t instance) const
{
    return m_instances[instance]->settings.instanceId.text;
}

std::string EdgeRig::instanceRegion(std::size_t instance) const
{
    return m_instances[instance]->settings.region.text;
}

bool EdgeRig::isRunning(std::size_t instance) const
{
    return m_instances[instance]->gateway != nullptr && now() >= m_instances[instance]->frozenUntil;
}

std::size_t EdgeRig::pickRunning(pcg32 &random) const
{
    std::size_t instance = random() % instanceCount();
    while (!isRunning(instance)) {
        instance = (instance + 1) % instanceCount();
    }
    return instance;
}

void EdgeRig::freeze(std::size_t instance, std::chrono::milliseconds duration)
{
    m_instances[instance]->frozenUntil = now() + duration;
    m_instances[instance]->disruptions.emplace_back(now(), now() + duration);
}

void EdgeRig::kill(std::size_t instance)
{
    m_instances[instance]->gateway.reset();
    m_instances[instance]->loop.reset();
    m_instances[instance]->disruptions.emplace_back(now(), core::TimePoint::max());
}

void EdgeRig::start(std::size_t index)
{
    Instance &instance = *m_instances[index];
    instance.loop = std::make_unique<asio::io_context>(1);
    const auto reloadSettings = [&instance]() -> core::Result<edge::Settings> { return instance.settings; };
    instance.gateway =
        std::make_unique<edge::RouteGateway>(*instance.loop, m_clock, instance.settings, instance.adapter, instance.store, instance.log, reloadSettings);
    instance.gateway->start();
    for (auto &[begin, end] : instance.disruptions) {
        end = end == core::TimePoint::max() ? now() : end; // of the time when it did not run
    }
    instance.disruptions.emplace_back(now(), now());
}

void EdgeRig::setStoreCut(std::size_t instance, bool isCut)
{
    m_instances[instance]->store.isCut = isCut;
    m_instances[instance]->disruptions.emplace_back(now(), now());
}

void EdgeRig::cutDatagrams(std::size_t instance)
{
    m_instances[instance]->disruptions.emplace_back(now(), core::TimePoint::max());
    const std::uint16_t port = m_instances[instance]->settings.peersEndpoint.port;
    DatagramLoss loss;
    for (const auto &other : m_instances) {
        if (other->gateway && other != m_instances[instance]) {
            loss.cutSenders.insert(other->settings.peersEndpoint.port);
            setDatagramLoss(other->settings.peersEndpoint.port, DatagramLoss{.cutSenders = {port}});
        }
    }
    setDatagramLoss(port, loss);
}

void EdgeRig::loseDatagrams(double share)
{
    for (const auto &instance : m_instances) {
        setDatagramLoss(instance->settings.peersEndpoint.port, DatagramLoss{.cutSenders = {}, .share = share});
    }
}

void EdgeRig::cutPaths(std::size_t instance, PathFailure failure)
{
    m_pathCuts->cut(instance, failure);
}

void EdgeRig::healPaths(std::size_t instance)
{
    m_pathCuts->heal(instance);
}

bool EdgeRig::wasUndisturbed(const std::string &instance, core::TimePoint at, core::Duration duration) const
{
    const auto found = std::find_if(m_instances.begin(), m_instances.end(), [&](const auto &item) { return item->settings.instanceId.text == instance; });
    const auto &disruptions = (*found)->disruptions;
    return std::none_of(disruptions.begin(), disruptions.end(), [&](const auto &item) { return item.first <= at && item.second >= at - duration; });
}

core::TimePoint EdgeRig::disturbedSince(const std::string &instance, core::TimePoint at, core::Duration duration) const
{
    const auto found = std::find_if(m_instances.begin(), m_instances.end(), [&](const auto &item) { return item->settings.instanceId.text == instance; });
    core::TimePoint since = at;
    bool wasMoved = true;
    while (std::exchange(wasMoved, false)) {
        for (const auto &[begin, end] : (*found)->disruptions) {
            if (begin < since && end >= since - duration) {
                since = begin;
                wasMoved = true;
            }
        }
    }
    return since;
}

std::string EdgeRig::metricsText(std::size_t instance)
{
    std::optional<std::string> out;
    auto operation = [&]() -> asio::awaitable<void> {
        http::Request request;
        request.target = "/metrics";
        const auto response = co_await http::fetch(m_loop.get_executor(), m_instances[instance]->settings.metricsEndpoint, request, 2s);
        out = response ? response.value().body : "";
    };
    asio::co_spawn(m_loop, operation, asio::detached);
    while (!out) {
        runFor(1ms);
    }
    return *out;
}

//-----------------------------------------------------------------------------
// Time
//-----------------------------------------------------------------------------

void EdgeRig::schedule(std::chrono::milliseconds delay, std::function<void()> action)
{
    m_actions.emplace(now() + delay, std::move(action));
}

void EdgeRig::runFor(std::chrono::milliseconds duration)
{
    const core::TimePoint end = now() + duration;
    do {
        while (!m_actions.empty() && m_actions.begin()->first <= now()) {
            const auto action = std::move(m_actions.begin()->second);
            m_actions.erase(m_actions.begin());
            action();
        }
        std::size_t handled = m_loop.poll();
        for (std::size_t i = 0; i < m_instances.size(); ++i) {
            if (isRunning(i)) {
                std::optional<PathCuts::Scope> scope;
                if (m_pathCuts) {
                    scope.emplace(*m_pathCuts, i);
                }
                handled += m_instances[i]->loop->poll();
            }
        }
        if (handled == 0) {
            std::this_thread::sleep_for(200us);
        }
    } while (now() < end);
}

//-----------------------------------------------------------------------------
// Upstreams
//-----------------------------------------------------------------------------

RigUpstream &EdgeRig::addUpstream(const std::string &region, const std::string &service, const std::string &version)
{
    m_upstreams.push_back(std::make_unique<RigUpstream>(*this, m_upstreams.size(), region, service, version));
    return *m_upstreams.back();
}

void EdgeRig::roll(const std::string &service, const std::string &version, std::chrono::milliseconds interval, std::chrono::milliseconds drainTime)
{
    auto delay = 0ms;
    for (const auto &upstream : m_upstreams) {
        if (upstream->service() == service && upstream->version() != version && upstream->isReady()) {
            schedule(delay, [this, old = upstream.get(), version, drainTime] {
                addUpstream(old->region(), old->service(), version);
                old->drain(drainTime);
            });
            delay += interval;
        }
    }
}

std::size_t EdgeRig::readyCount(const std::string &service, const std::string &version) const
{
    return static_cast<std::size_t>(std::count_if(
        m_upstreams.begin(), m_upstreams.end(), [&](const auto &item) { return item->service() == service && item->version() == version && item->isReady(); }));
}

RigUpstream::RigUpstream(EdgeRig &rig, std::size_t number, std::string region, std::string service, std::string version)
    : m_rig(rig)
    , m_number(number)
    , m_region(std::move(region))
    , m_service(std::move(service))
    , m_version(std::move(version))
    , m_port(freePort())
{
    if (m_rig.m_pathCuts) {
        m_rig.m_pathCuts->addUpstream(m_port);
    }
    start(false);
}

void RigUpstream::announce()
{
    m_rig.m_store->set("servers/" + m_id,
                       R"({"service":")" + m_service + R"(","address":"127.0.0.1:)" + std::to_string(m_port) + R"(","zone":"domain-)" + m_region
                           + R"(","slots":)" + std::to_string(m_service == "p" ? m_rig.m_options.plainSlots : EngineSlots) + R"(,"state":")"
                           + (m_isDraining ? "draining" : "ready") + R"(","cold_remaining_ms":0,"version":")" + m_version + R"(","born":)"
                           + std::to_string(m_run) + R"(,"sequence":)" + std::to_string(++m_sequence) + "}");
}

void RigUpstream::start(bool keepsId)
{
    ++m_run;
    if (!keepsId) {
        m_id = "upstream-" + std::to_string(m_number) + "-" + std::to_string(m_run);
    }
    m_reservation.reset();
    m_acceptor.emplace(m_rig.m_loop, Tcp::endpoint(asio::ip::make_address("127.0.0.1"), m_port));
    announce();
    asio::co_spawn(m_rig.m_loop, acceptLoop(m_run), asio::detached);
}

void RigUpstream::crash()
{
    crash(RestartOptions{.after = m_rig.m_options.crashDuration, .entryLifetime = m_rig.m_options.entryLifetime, .version = m_version});
}

void RigUpstream::crash(const RestartOptions &restart)
{
    if (isUp()) {
        close();
        asio::co_spawn(m_rig.m_loop, restartLater(m_id, restart), asio::detached);
    }
}

void RigUpstream::drain(std::chrono::milliseconds drainTime)
{
    m_isDraining = true;
    if (isUp()) {
        announce();
    }
    m_rig.schedule(drainTime, [this] { end(); });
}

void RigUpstream::setListed(bool isListed)
{
    if (isListed) {
        announce();
    } else {
        m_rig.m_store->remove("servers/" + m_id);
    }
}

void RigUpstream::end()
{
    m_hasEnded = true;
    m_rig.m_store->remove("servers/" + m_id);
    if (isUp()) {
        close();
    }
}

void RigUpstream::close()
{
    m_acceptor.reset();
    m_reservation.emplace(m_rig.m_loop, Tcp::v4()); // other processes look for free ports meanwhile
    m_reservation->set_option(asio::socket_base::reuse_address(true));
    m_reservation->bind(Tcp::endpoint(asio::ip::make_address("127.0.0.1"), m_port));
    for (const auto &weak : m_sockets) {
        if (const auto socket = weak.lock()) {
            ErrorCode code;
            socket->set_option(asio::socket_base::linger(true, 0), code); // a reset instead of a regular close
            socket->close(code);
        }
    }
    m_sockets.clear();
}

asio::awaitable<void> RigUpstream::restartLater(std::string crashedId, RestartOptions restart)
{
    asio::steady_timer timer(m_rig.m_loop, restart.entryLifetime);
    co_await timer.async_wait(asio::use_awaitable);
    if (!restart.keepsId) {
        m_rig.m_store->remove("servers/" + crashedId);
    }
    timer.expires_after(restart.after - restart.entryLifetime);
    co_await timer.async_wait(asio::use_awaitable);
    if (!m_hasEnded) {
        m_version = restart.version;
        start(restart.keepsId);
    }
}

asio::awaitable<void> RigUpstream::acceptLoop(std::uint64_t run)
{
    while (run == m_run && isUp()) {
        ErrorCode code;
        auto socket = std::make_shared<Tcp::socket>(m_rig.m_loop);
        co_await m_acceptor->async_accept(*socket, asio::redirect_error(asio::use_awaitable, code));
        if (code) {
            co_return;
        }
        std::erase_if(m_sockets, [](const auto &weak) { return weak.expired(); });
        m_sockets.push_back(socket);
        asio::co_spawn(m_rig.m_loop, serve(std::move(socket), run), asio::detached);
    }
}

asio::awaitable<void> RigUpstream::serve(std::shared_ptr<Tcp::socket> socket, std::uint64_t run)
{
    beast::flat_buffer buffer;
    while (run == m_run && isUp()) {
        beast::http::request<beast::http::string_body> request;
        ErrorCode code;
        co_await beast::http::async_read(*socket, buffer, request, asio::redirect_error(asio::use_awaitable, code));
        if (code || run != m_run || !isUp()) {
            co_return;
        }
        const std::string attempt(request["X-Attempt-Id"]);
        const bool misdirected = std::string(request["X-Expect-Instance"]) != m_id;
        Arrival arrival{
            m_rig.now(), m_id, std::string(request[SenderHeader]), {}, attempt, misdirected, std::string(request.target()), request.body(), m_version};
        arrival.run = run;
        arrival.saysLeaving = statesLeaving;
        arrival.region = m_region;
        for (const std::string &element : splitList(std::string(request["X-Prompt-Prefix"]), ',')) {
            arrival.parts.push_back(element.substr(0, element.find(':')));
        }
        const bool crashes =
            std::any_of(arrival.parts.begin(), arrival.parts.end(), [&](const std::string &part) { return m_rig.crashingParts.contains(part); });
        m_rig.m_arrivals.push_back(arrival);
        if (misdirected) {
            const std::string response = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n";
            co_await asio::async_write(*socket, asio::buffer(response), asio::redirect_error(asio::use_awaitable, code));
            continue;
        }
        if (std::any_of(m_rig.crashingRequests.begin(), m_rig.crashingRequests.end(), [&](const RigRequest &item) {
                return item.target == arrival.target && item.body == arrival.body;
            })) {
            asio::steady_timer timer(m_rig.m_loop, m_rig.m_options.headDelay);
            co_await timer.async_wait(asio::use_awaitable);
            if (run == m_run && isUp()) {
                m_rig.m_requestCrashes[{arrival.target, arrival.body}].push_back(m_rig.now());
                crash();
            }
            co_return;
        }
        constexpr double RandomRange = 4294967296.0; // 2^32
        if (shedShare > 0 && static_cast<double>(m_rig.m_random()) / RandomRange < shedShare) {
            std::string response = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n";
            response += statesLeaving ? "Server-Leaving: 1\r\n" : "";
            if (rest > 0ms) {
                response += "Retry-After: " + std::to_string(std::chrono::duration<double>(rest).count()) + "\r\n";
                m_rig.m_restRequests.push_back(RestRequest{m_id, arrival.sender, m_rig.now(), m_rig.now() + rest});
            }
            response += "\r\n";
            m_rig.m_arrivals.back().wasShed = true;
            co_await asio::async_write(*socket, asio::buffer(response), asio::redirect_error(asio::use_awaitable, code));
            continue;
        }
        const RigRequest *special = m_rig.specialRequest(attempt);
        if (special != nullptr && special->slowFailure) {
            const auto sends = std::count_if(
                m_rig.m_arrivals.begin(), m_rig.m_arrivals.end(), [&](const Arrival &item) { return item.attempt == attempt && !item.misdirected; });
            if (sends == 2) {
                if (!co_await respondWithSlowFailure(*socket, attempt, *special->slowFailure)) {
                    co_return;
                }
                continue;
            }
        }
        if (m_service == "p") {
            if (!co_await respondPlain(*socket, run, attempt)) {
                co_return;
            }
            continue;
        }
        const std::string lastEvent(request["Last-Event-ID"]);
        if (!co_await respond(*socket, run, attempt, arrival.sender, lastEvent.empty() ? 1 : std::stoi(lastEvent) + 1, crashes)) {
            co_return;
        }
    }
}

std::vector<Silence> RigUpstream::silencesFor(const std::string &attempt) const
{
    if (const RigRequest *request = m_rig.specialRequest(attempt)) {
        return request->silences;
    }
    const SilenceOptions &options = m_rig.m_options.silence;
    std::uint64_t stream = m_number;
    for (const char c : attempt) {
        stream = stream * 131 + static_cast<unsigned char>(c);
    }
    pcg32 random(m_rig.m_options.seed, stream);
    constexpr double RandomRange = 4294967296.0; // 2^32
    if (options.points.empty() || static_cast<double>(random()) / RandomRange >= options.share) {
        return {};
    }
    const SilencePoint point = options.points[random() % options.points.size()];
    const auto range = static_cast<std::uint32_t>((options.maxDuration - options.minDuration).count()) + 1;
    return {Silence{point, options.minDuration + std::chrono::milliseconds(random() % range)}};
}

std::optional<StreamFailure> RigUpstream::failureFor(const std::string &attempt, int firstEvent)
{
    if (const auto found = m_rig.m_requestedFailures.find(attempt); found != m_rig.m_requestedFailures.end()) {
        if (found->second.runs == 0) {
            return std::nullopt;
        }
        --found->second.runs;
        const StreamFailure failure = found->second;
        ++found->second.afterEvent;
        return failure;
    }
    const EdgeRigOptions &options = m_rig.m_options;
    constexpr double RandomRange = 4294967296.0; // 2^32
    if (options.breaks.share == 0 || firstEvent >= options.eventCount || static_cast<double>(m_rig.m_random()) / RandomRange >= options.breaks.share) {
        return std::nullopt;
    }
    const auto range = static_cast<std::uint32_t>(options.eventCount - firstEvent);
    return StreamFailure{.afterEvent = firstEvent + static_cast<int>(m_rig.m_random() % range)};
}

asio::awaitable<void> RigUpstream::fallSilentAt(SilencePoint point, const std::string &attempt)
{
    for (const Silence &silence : silencesFor(attempt)) {
        if (silence.point == point) {
            asio::steady_timer timer(m_rig.m_loop, silence.duration);
            co_await timer.async_wait(asio::use_awaitable);
        }
    }
}

asio::awaitable<bool> RigUpstream::respondWithSlowFailure(Tcp::socket &socket, const std::string &attempt, std::chrono::milliseconds duration)
{
    const std::string head = "HTTP/1.1 500 Internal Server Error\r\nX-Attempt-Id: " + attempt + "\r\nX-Response-Stamp: stamp\r\nContent-Length: 2\r\n\r\n{";
    ErrorCode code;
    co_await asio::async_write(socket, asio::buffer(head), asio::redirect_error(asio::use_awaitable, code));
    asio::steady_timer timer(m_rig.m_loop, duration);
    co_await timer.async_wait(asio::use_awaitable);
    const std::string end = "}";
    co_await asio::async_write(socket, asio::buffer(end), asio::redirect_error(asio::use_awaitable, code));
    co_return !code;
}

asio::awaitable<bool> RigUpstream::respondPlain(Tcp::socket &socket, std::uint64_t run, const std::string &attempt)
{
    const EdgeRigOptions &options = m_rig.m_options;
    const std::string body = "answer to " + attempt;
    const std::string head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Response-Stamp: stamp\r\n" + (statesLeaving ? "Server-Leaving: 1\r\n" : "")
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    struct Part
    {
        SilencePoint silenceBefore;
        std::chrono::milliseconds delay;
        std::string bytes;
    };
    const std::size_t half = body.size() / 2;
    const std::vector<Part> parts = {
        {SilencePoint::BeforeHead, options.headDelay, head},
        {SilencePoint::BeforeFirstEvent, options.firstEventDelay, body.substr(0, half)},
        {SilencePoint::BetweenEvents, options.eventGap, body.substr(half, body.size() - half - 1)},
        {SilencePoint::BeforeEnd, options.eventGap, body.substr(body.size() - 1)},
    };
    asio::steady_timer timer(m_rig.m_loop);
    ErrorCode code;
    for (const Part &part : parts) {
        timer.expires_after(part.delay);
        co_await timer.async_wait(asio::use_awaitable);
        co_await fallSilentAt(part.silenceBefore, attempt);
        if (code || run != m_run || !isUp()) {
            co_return false;
        }
        co_await asio::async_write(socket, asio::buffer(part.bytes), asio::redirect_error(asio::use_awaitable, code));
    }
    co_return !code;
}

asio::awaitable<bool>
RigUpstream::respond(Tcp::socket &socket, std::uint64_t run, const std::string &attempt, const std::string &sender, int firstEvent, bool crashes)
{
    const EdgeRigOptions &options = m_rig.m_options;
    const auto failure = failureFor(attempt, firstEvent);
    asio::steady_timer timer(m_rig.m_loop, options.headDelay);
    co_await timer.async_wait(asio::use_awaitable);
    co_await fallSilentAt(SilencePoint::BeforeHead, attempt);
    ErrorCode code;
    const std::string head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Response-Stamp: stamp\r\n"
        + (limit.empty() ? "" : "Server-Limit: " + limit + "\r\n") + (statesLeaving ? "Server-Leaving: 1\r\n" : "")
        + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    co_await asio::async_write(socket, asio::buffer(head), asio::redirect_error(asio::use_awaitable, code));
    if (!limit.empty()) {
        m_rig.m_toldLimitAt.try_emplace({m_id, sender}, m_rig.now());
    }
    timer.expires_after(options.firstEventDelay);
    co_await timer.async_wait(asio::use_awaitable);
    co_await fallSilentAt(SilencePoint::BeforeFirstEvent, attempt);
    if (code || run != m_run || !isUp()) {
        co_return false;
    }
    if (crashes) {
        m_rig.m_partCrashes.push_back(m_rig.now());
        crash();
        co_return false;
    }
    for (int id = firstEvent; id <= options.eventCount && !code; ++id) {
        if (failure && failure->afterEvent == id - 1) {
            switch (failure->kind) {
            case StreamFailureKind::ConnectionLost:
                socket.set_option(asio::socket_base::linger(true, 0), code); // a reset instead of a regular close
                socket.close(code);
                co_return false;
            case StreamFailureKind::Crash:
                crash();
                co_return false;
            case StreamFailureKind::Silence:
                timer.expires_after(failure->silence);
                co_await timer.async_wait(asio::use_awaitable);
                break;
            }
            if (run != m_run || !isUp()) {
                co_return false;
            }
        }
        const std::string number = std::to_string(id);
        const std::string event = chunk("id: " + number + "\ndata: " + m_service + " " + m_version + " " + number + "\n\n");
        co_await asio::async_write(socket, asio::buffer(event), asio::redirect_error(asio::use_awaitable, code));
        timer.expires_after(options.eventGap);
        co_await timer.async_wait(asio::use_awaitable);
        if (id == options.eventCount / 2) {
            co_await fallSilentAt(SilencePoint::BetweenEvents, attempt);
        }
        if (run != m_run || !isUp()) {
            co_return false;
        }
    }
    co_await fallSilentAt(SilencePoint::BeforeEnd, attempt);
    const std::string end = "0\r\n\r\n";
    co_await asio::async_write(socket, asio::buffer(end), asio::redirect_error(asio::use_awaitable, code));
    co_return !code;
}

//-----------------------------------------------------------------------------
// Clients
//-----------------------------------------------------------------------------

std::size_t EdgeRig::send(std::size_t instance, const std::vector<std::string> &parts)
{
    return send(RigRequest{.instance = instance, .parts = parts});
}

std::size_t EdgeRig::send(const RigRequest &rigRequest)
{
    const std::size_t number = m_results.size();
    if (!rigRequest.silences.empty() || rigRequest.slowFailure) {
        m_specialRequests[attemptId(number)] = rigRequest;
    }
    if (rigRequest.failure) {
        m_requestedFailures[attemptId(number)] = *rigRequest.failure;
    }
    m_results.push_back(ClientResult{.request = number, .sentAt = now(), .target = rigRequest.target, .instance = rigRequest.instance});
    http::Request request;
    request.method = "POST";
    request.target = rigRequest.target;
    request.headers = {{"Host", "h.example"}, {"X-Attempt-Id", attemptId(number)}, {"X-Deadline-Ms", std::to_string(rigRequest.deadline.count())}};
    if (!rigRequest.parts.empty()) {
        std::string prompt;
        for (const std::string &part : rigRequest.parts) {
            prompt += (prompt.empty() ? "" : ",") + part + ":100";
        }
        request.headers["X-Model"] = "m";
        request.headers["X-Prompt-Prefix"] = prompt;
        request.headers["X-Token-Count"] = std::to_string(100 * rigRequest.parts.size()) + ",25";
    }
    if (rigRequest.lastEvent) {
        request.headers["Last-Event-Id"] = std::to_string(*rigRequest.lastEvent);
    }
    if (!rigRequest.resumes.empty()) {
        request.headers["Resumes"] = rigRequest.resumes;
    }
    request.body = rigRequest.body;
    constexpr auto Slack = 1s; // after the request's deadline, until the client gives up
    const std::chrono::milliseconds timeout = rigRequest.deadline + Slack;
    if (rigRequest.bodyPause > 0ms) {
        asio::co_spawn(m_loop, sendSlowly(rigRequest, number, request, timeout), asio::detached);
        return number;
    }
    auto operation =
        [this, rigRequest, number, request, timeout, endpoint = m_instances[rigRequest.instance]->settings.clientEndpoint]() -> asio::awaitable<void> {
        http::CallOptions options;
        options.pool = rigRequest.pool;
        options.retryOnStaleConnection = false;
        options.maxIdleTime = 1min; // the sender decides how long a connection may be idle
        options.onConnected = [this, number](bool isNewConnection) { m_results[number].connectionReused = !isNewConnection; };
        ClientResult &result = m_results[number];
        http::Call call(m_loop.get_executor(), endpoint, options);
        const auto fail = [&result](const http::CallError &error) {
            result.failure = error.message;
            result.outcome = error.stage == http::CallStage::ReadBody ? ClientOutcome::Cut
                : error.stage == http::CallStage::ReadHeaders         ? ClientOutcome::NoResponse
                                                                      : ClientOutcome::NotSent;
        };
        const auto end = [&] {
            result.done = true;
            result.endedAt = now();
            if (rigRequest.onDone) {
                rigRequest.onDone();
            }
        };
        const auto head = co_await call.start(request, timeout);
        if (!head) {
            fail(head.error());
            end();
            co_return;
        }
        const bool isStream = http::headerValue(head.value().headers, "Content-Type").starts_with("text/event-stream");
        const core::TimePoint bodyEnd = now() + timeout;
        std::string unread; // begin of an event
        while (true) {
            const auto timeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(bodyEnd - now());
            const auto data = co_await call.readSome(std::max(timeLeft, 1ms));
            if (!data) {
                fail(data.error());
                break;
            }
            if (data.value().empty()) {
                result.status = head.value().status;
                result.retryAfter = http::headerValue(head.value().headers, "Retry-After");
                result.outcome = result.status == 200 ? ClientOutcome::Complete : ClientOutcome::OtherStatus;
                break;
            }
            if (!isStream) {
                continue;
            }
            unread += data.value();
            bool isDropped = false;
            for (const StreamEvent &event : takeEvents(unread)) {
                result.events.push_back(event);
                if (rigRequest.onEvent) {
                    rigRequest.onEvent(event);
                }
                if (rigRequest.dropAfter && event.id >= *rigRequest.dropAfter) {
                    isDropped = true;
                    break;
                }
            }
            if (isDropped) {
                call.cancel();
                result.failure = "dropped by the client";
                result.outcome = ClientOutcome::Cut;
                break;
            }
        }
        end();
    };
    asio::co_spawn(m_loop, operation, asio::detached);
    return number;
}

asio::awaitable<void> EdgeRig::sendSlowly(RigRequest rigRequest, std::size_t number, http::Request request, std::chrono::milliseconds timeout)
{
    const http::Endpoint &endpoint = m_instances[rigRequest.instance]->settings.clientEndpoint;
    ClientResult &result = m_results[number];
    std::string begin = request.method + " " + request.target + " HTTP/1.1\r\n";
    for (const auto &[name, value] : request.headers) {
        begin += name + ": " + value + "\r\n";
    }
    const std::size_t half = request.body.size() / 2;
    begin += "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n" + request.body.substr(0, half);
    const std::string rest = request.body.substr(half);
    const Tcp::endpoint address(asio::ip::make_address(endpoint.host), endpoint.port);

    beast::tcp_stream stream(m_loop);
    stream.expires_after(timeout);
    ErrorCode code;
    co_await stream.async_connect(address, asio::redirect_error(asio::use_awaitable, code));
    if (!code) {
        co_await asio::async_write(stream, asio::buffer(begin), asio::redirect_error(asio::use_awaitable, code));
    }
    asio::steady_timer timer(m_loop, rigRequest.bodyPause);
    co_await timer.async_wait(asio::use_awaitable);
    ErrorCode writeCode = code;
    if (!code) { // also after an early response
        co_await asio::async_write(stream, asio::buffer(rest), asio::redirect_error(asio::use_awaitable, writeCode));
    }
    beast::flat_buffer buffer;
    beast::http::response_parser<beast::http::string_body> parser;
    if (!code) {
        co_await beast::http::async_read(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, code));
    }
    if (code) {
        result.failure = code.message();
        result.outcome = parser.is_header_done() ? ClientOutcome::Cut : writeCode ? ClientOutcome::NotSent : ClientOutcome::NoResponse;
    } else {
        const auto &response = parser.get();
        std::string body = response.body();
        if (std::string(response["Content-Type"]).starts_with("text/event-stream")) {
            result.events = takeEvents(body);
        }
        result.status = response.result_int();
        result.retryAfter = std::string(response["Retry-After"]);
        result.outcome = result.status == 200 ? ClientOutcome::Complete : ClientOutcome::OtherStatus;
    }
    result.done = true;
    result.endedAt = now();
    if (rigRequest.onDone) {
        rigRequest.onDone();
    }
}

std::size_t EdgeRig::runCount(std::size_t request) const
{
    return static_cast<std::size_t>(std::count_if(
        m_arrivals.begin(), m_arrivals.end(), [&](const Arrival &arrival) { return arrival.attempt == attemptId(request) && !arrival.misdirected; }));
}

std::map<std::string, std::set<std::string>> EdgeRig::upstreamsByAttempt() const
{
    std::map<std::string, std::set<std::string>> out;
    for (const Arrival &arrival : m_arrivals) {
        if (!arrival.misdirected && !arrival.wasShed) {
            out[arrival.attempt].insert(arrival.upstream);
        }
    }
    return out;
}

void EdgeRig::runUntilDone()
{
    constexpr auto Step = 20ms;
    const auto areAllDone = [](const auto &items) { return std::all_of(items.begin(), items.end(), [](const auto &item) { return item.done; }); };
    while (!areAllDone(m_results) || !areAllDone(m_streams)) {
        runFor(Step);
    }
}

//-----------------------------------------------------------------------------
// Streams that are taken up again
//-----------------------------------------------------------------------------

std::set<std::string> StreamRecord::versions() const
{
    std::set<std::string> out;
    for (const StreamEvent &event : events) {
        out.insert(event.version);
    }
    return out;
}

std::set<std::string> StreamRecord::services() const
{
    std::set<std::string> out;
    for (const StreamEvent &event : events) {
        out.insert(event.service);
    }
    return out;
}

bool StreamRecord::isWhole(int eventCount) const
{
    int next = 1;
    return complete && std::all_of(events.begin(), events.end(), [&](const StreamEvent &event) { return event.id == next++; }) && next == eventCount + 1;
}

std::size_t EdgeRig::sendStream(StreamOptions options)
{
    const std::size_t number = m_streams.size();
    const std::size_t instance = options.request.instance;
    m_streams.push_back(StreamRecord{.options = std::move(options)});
    sendTry(number, instance, false);
    return number;
}

void EdgeRig::sendTry(std::size_t number, std::size_t instance, bool isRepetition)
{
    StreamRecord &stream = m_streams[number];
    RigRequest request = stream.options.request;
    request.instance = instance;
    if (!stream.requests.empty()) {
        const core::TimePoint end = result(stream.requests.front()).sentAt + request.deadline;
        request.deadline = std::chrono::duration_cast<std::chrono::milliseconds>(end - now());
        if (request.deadline <= 0ms) {
            if (!stream.resumptions.empty()) {
                stream.resumptions.back().done = true;
            }
            stream.done = true;
            return;
        }
        request.failure.reset();
    }
    if (stream.hasBegun()) {
        request.lastEvent = stream.events.back().id;
        const auto first = std::find_if(stream.requests.begin(), stream.requests.end(), [&](std::size_t item) { return !result(item).events.empty(); });
        request.resumes = attemptId(*first);
    }
    const std::size_t dropIndex = stream.resumptions.size();
    if (dropIndex < stream.options.dropsAfter.size()) {
        request.dropAfter = stream.options.dropsAfter[dropIndex];
    }
    request.onDone = [this, number, isRepetition] { finishTry(number, isRepetition); };
    const std::size_t sent = send(request);
    stream.requests.push_back(sent);
    if (!stream.resumptions.empty()) {
        stream.resumptions.back().requests.push_back(sent);
    }
}

void EdgeRig::finishTry(std::size_t number, bool isRepetition)
{
    StreamRecord &stream = m_streams[number];
    const ClientResult &last = result(stream.requests.back());
    stream.events.insert(stream.events.end(), last.events.begin(), last.events.end());
    stream.complete = last.outcome == ClientOutcome::Complete;
    if (!stream.resumptions.empty()) {
        Resumption &resumption = stream.resumptions.back();
        constexpr std::size_t MinUpstreams = 2;
        resumption.wentOn = resumption.wentOn || !last.events.empty();
        resumption.mayGoOn = resumption.mayGoOn && readyCount(stream.events.front().service, resumption.version) >= MinUpstreams;
        resumption.done = true;
    }
    if (last.status == 503 && !last.retryAfter.empty() && !isRepetition) {
        constexpr int MaxShareOfTimeLeft = 3; // one third
        const auto delay = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::duration<double>(std::stod(last.retryAfter)));
        const core::TimePoint end = result(stream.requests.front()).sentAt + stream.options.request.deadline;
        if (delay * MaxShareOfTimeLeft <= end - now()) {
            if (!stream.resumptions.empty()) {
                stream.resumptions.back().done = false;
            }
            schedule(delay,
                     [this, number, previous = last.instance] { sendTry(number, pickForResumption(previous, m_streams[number].options.resumeAt), true); });
            return;
        }
    }
    const bool isCut = last.outcome == ClientOutcome::Cut || last.outcome == ClientOutcome::NoResponse || last.outcome == ClientOutcome::NotSent;
    if (isCut && stream.hasBegun() && stream.resumptions.size() < stream.options.maxResumptions) {
        schedule(stream.options.resumeDelay, [this, number] { resumeLater(number); });
        return;
    }
    stream.done = true;
}

void EdgeRig::resumeLater(std::size_t number)
{
    constexpr std::size_t MinUpstreams = 2;
    StreamRecord &stream = m_streams[number];
    const StreamEvent &first = stream.events.front();
    stream.resumptions.push_back(
        Resumption{.at = now(), .requests = {}, .version = first.version, .mayGoOn = readyCount(first.service, first.version) >= MinUpstreams});
    sendTry(number, pickForResumption(result(stream.requests.back()).instance, stream.options.resumeAt), false);
}

std::size_t EdgeRig::pickForResumption(std::size_t previous, ResumeAt where)
{
    std::vector<std::size_t> candidates;
    for (std::size_t i = 0; i < instanceCount(); ++i) {
        const bool isSameRegion = instanceRegion(i) == instanceRegion(previous);
        const bool matches = where == ResumeAt::Anywhere || (where == ResumeAt::SameInstance && i == previous)
            || (where == ResumeAt::OtherInstanceOfRegion && isSameRegion && i != previous) || (where == ResumeAt::OtherRegion && !isSameRegion);
        if (matches && isRunning(i)) {
            candidates.push_back(i);
        }
    }
    return candidates.empty() ? pickRunning(m_random) : candidates[m_random() % candidates.size()];
}

KeptClient::KeptClient(EdgeRig &rig, std::size_t instance, std::string target)
    : m_rig(rig)
    , m_instance(instance)
    , m_target(std::move(target))
{
}

void KeptClient::run(core::TimePoint end)
{
    step(end);
}

void KeptClient::step(core::TimePoint end)
{
    constexpr auto PollPeriod = 5ms;
    if (m_request && !m_rig.result(*m_request).done) {
        m_rig.schedule(PollPeriod, [this, end] { step(end); });
        return;
    }
    const core::TimePoint now = m_rig.now();
    const core::TimePoint idleSince = m_request ? m_rig.result(*m_request).endedAt : now;
    const core::TimePoint next = m_request ? idleSince + idleLimit(idleSince) * 4 / 5 : now;
    if (now >= end) {
        return;
    }
    if (next > now) { // the limit may change while the connection is idle
        m_rig.schedule(PollPeriod, [this, end] { step(end); });
        return;
    }
    std::vector<std::string> parts;
    if (m_target.starts_with("/chat/")) {
        parts = {"a1", "k" + std::to_string(m_rig.requestCount())};
    }
    m_request = m_rig.send(RigRequest{.instance = m_instance, .target = m_target, .parts = parts, .deadline = 6'000ms, .pool = &m_pool});
    m_rig.schedule(PollPeriod, [this, end] { step(end); });
}

TrafficSource::TrafficSource(EdgeRig &rig, pcg32 &random, std::chrono::milliseconds duration)
    : m_rig(rig)
    , m_random(random)
    , m_start(rig.now())
{
    constexpr auto Interval = 25ms;
    constexpr std::uint32_t SubjectCount = 12;
    for (auto at = 0ms; at < duration; at += Interval) {
        rig.schedule(at, [this] { m_sound.push_back(send("beef" + std::to_string(m_random() % SubjectCount))); });
    }
}

void TrafficSource::addHarmful(const std::string &part, std::chrono::milliseconds from, std::chrono::milliseconds to)
{
    constexpr auto Interval = 120ms;
    for (auto at = from; at < to; at += Interval) {
        m_rig.schedule(at, [this, part] { m_harmful.push_back(send(part)); });
    }
}

std::size_t TrafficSource::send(const std::string &part)
{
    const std::size_t instance = m_rig.pickRunning(m_random);
    return m_rig.send(instance, {"a1", part, "c" + std::to_string(m_next++)});
}

double TrafficSource::deliveredShare(core::Duration from, core::Duration to) const
{
    return tests::deliveredShare(m_rig, m_sound, m_start + from, m_start + to);
}

void scheduleTraffic(EdgeRig &rig, const MixedTraffic &traffic)
{
    std::size_t number = 0;
    for (auto at = 0ms; at < traffic.duration; at += traffic.interval) {
        rig.schedule(at, [&rig, traffic, number] {
            const std::size_t round = number / rig.instanceCount();
            RigRequest request{
                .instance = number % rig.instanceCount(), .target = traffic.targets[round % traffic.targets.size()], .deadline = traffic.deadline};
            if (request.target == "/chat/x") {
                request.parts = {"a" + std::to_string(number % traffic.sharedParts), "b" + std::to_string(number)};
            }
            request.body = std::to_string(number);
            rig.send(request);
        });
        ++number;
    }
}

//-----------------------------------------------------------------------------
// Counts and disruptions
//-----------------------------------------------------------------------------

double deliveredShare(const EdgeRig &rig, const std::vector<std::size_t> &requests, core::TimePoint from, core::TimePoint to)
{
    double sent = 0;
    double delivered = 0;
    for (const std::size_t request : requests) {
        const ClientResult &result = rig.result(request);
        if (result.sentAt >= from && result.sentAt < to) {
            ++sent;
            delivered += result.status == 200 ? 1 : 0;
        }
    }
    return sent == 0 ? 0 : delivered / sent;
}

std::size_t countLateArrivals(const EdgeRig &rig,
                              const std::vector<core::TimePoint> &crashes,
                              std::size_t crashCount,
                              core::Duration window,
                              const std::function<bool(const Arrival &)> &matches)
{
    if (crashes.size() < crashCount) {
        return 0;
    }
    const core::TimePoint begin = crashes[crashCount - 1] + window;
    return static_cast<std::size_t>(std::count_if(rig.arrivals().begin(), rig.arrivals().end(), [&](const Arrival &arrival) {
        return arrival.at > begin && matches(arrival) && rig.wasUndisturbed(arrival.sender, arrival.at, window);
    }));
}

std::vector<OutsideRequest> findOutsideRequests(const EdgeRig &rig, const ConfigurationBounds &bounds)
{
    const std::vector<ConfigurationRecord> &history = rig.configurationHistory();
    // Whether a configuration allows it that was acknowledged by `at` and not replaced by another one for longer than `apply` before `since`.
    const auto isAllowed = [&](const std::string &target, const std::string &region, core::TimePoint since, core::TimePoint at) {
        bool isAllowedByOne = false;
        for (const ConfigurationRecord &record : history) {
            if (record.acknowledgedAt < since - bounds.apply) {
                isAllowedByOne = false; // the earlier ones no longer hold
            }
            isAllowedByOne = isAllowedByOne || (record.acknowledgedAt <= at && record.allowsRegion(target, region));
        }
        return isAllowedByOne;
    };
    std::vector<OutsideRequest> out;
    const auto judge = [&](OutsideRequest request, core::TimePoint disturbedSince) {
        if (isAllowed(request.target, request.region, request.at, request.at)) {
            return;
        }
        for (const ConfigurationRecord &record : history) {
            if (record.acknowledgedAt <= request.at) {
                request.sinceAcknowledgement = request.at - record.acknowledgedAt;
            }
        }
        request.isExcused = isAllowed(request.target, request.region, disturbedSince, request.at);
        out.push_back(std::move(request));
    };
    for (const Arrival &arrival : rig.arrivals()) {
        judge({.at = arrival.at,
               .attempt = arrival.attempt,
               .target = arrival.target,
               .region = arrival.region,
               .sender = arrival.sender,
               .receiver = arrival.upstream},
              rig.disturbedSince(arrival.sender, arrival.at, bounds.stability));
    }
    for (const PeerArrival &arrival : rig.peerArrivals()) {
        const ClientResult &request = rig.result(EdgeRig::requestNumber(arrival.attempt));
        const std::string sender = rig.instanceId(request.instance);
        const std::string receiver = rig.instanceId(arrival.instance);
        if (rig.instanceRegion(arrival.instance) == rig.instanceRegion(request.instance)) {
            continue; // the client itself sent its body to this region
        }
        // A receiver that stood still reports it late.
        const core::TimePoint since =
            std::min(rig.disturbedSince(sender, arrival.at, bounds.stability), rig.disturbedSince(receiver, arrival.at, bounds.stability));
        judge({.at = arrival.at,
               .attempt = arrival.attempt,
               .target = request.target,
               .region = rig.instanceRegion(arrival.instance),
               .sender = sender,
               .receiver = receiver},
              since);
    }
    return out;
}

void scheduleDisruptions(EdgeRig &rig, pcg32 &random, std::chrono::milliseconds start, std::size_t crashes)
{
    const auto randomTime = [&](std::chrono::milliseconds from, std::chrono::milliseconds to) {
        return from + std::chrono::milliseconds(random() % static_cast<std::uint32_t>((to - from).count()));
    };
    const std::size_t killed = random() % rig.instanceCount();
    const std::size_t frozen = (killed + 1 + random() % (rig.instanceCount() - 1)) % rig.instanceCount();
    const std::size_t cut = random() % rig.instanceCount();
    const auto killAt = randomTime(start, start + 6'000ms);
    rig.schedule(killAt, [&rig, killed] { rig.kill(killed); });
    rig.schedule(killAt + 900ms, [&rig, killed] { rig.start(killed); });
    rig.schedule(randomTime(start - 200ms, start + 1'500ms), [&rig, frozen] { rig.freeze(frozen, 1'500ms); });
    const auto cutAt = randomTime(start, start + 6'000ms);
    rig.schedule(cutAt, [&rig, cut] { rig.setStoreCut(cut, true); });
    rig.schedule(cutAt + 2'000ms, [&rig, cut] { rig.setStoreCut(cut, false); });
    for (std::size_t i = 0; i < crashes; ++i) {
        const std::size_t upstream = random() % rig.upstreamCount();
        rig.schedule(randomTime(500ms, start + 9'000ms), [&rig, upstream] { rig.upstream(upstream).crash(); });
    }
}

std::uint64_t environmentNumber(const char *name, std::uint64_t fallback)
{
    const char *text = std::getenv(name); // NOLINT(concurrency-mt-unsafe)
    return text == nullptr ? fallback : std::stoull(text);
}

} // namespace arbutus::tests
