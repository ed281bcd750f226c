// Several route gateway instances in two regions over loopback, in real time, with upstreams that crash.
//
// Each instance has its own event loop, so a test can freeze it, kill it, start it again under the same id, and cut it off from the
// store. The upstreams record every request that reaches them, with the instance that sent it.
//
//   EdgeRig rig(EdgeRigOptions{.seed = 1});
//   rig.runFor(2s);
//   rig.upstream(0).crash();
//   rig.runFor(1s);
//   CHECK(rig.arrivals().empty());
//
// All runs on the calling thread: runFor() polls the event loops in turn.

#pragma once

#include "arbutus/edge/routegateway.h"
#include "arbutus/http/client.h"
#include "platform/platformadapter.h"
#include "support/pathcuts.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <pcg_random.hpp>

#include <algorithm>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace arbutus::tests {

/// Where in an answer an upstream falls silent. A buffered answer consists of a head and a body; BeforeFirstEvent is before its body,
/// BetweenEvents within it, and BeforeEnd before its last byte.
enum class SilencePoint { BeforeHead, BeforeFirstEvent, BetweenEvents, BeforeEnd };

/// One silence of an upstream.
struct Silence
{
    SilencePoint point = SilencePoint::BeforeHead;
    std::chrono::milliseconds duration{};
};

/// Upstreams that fall silent for a while and go on.
struct SilenceOptions
{
    double share = 0; // of the answers
    std::chrono::milliseconds minDuration{500};
    std::chrono::milliseconds maxDuration{1'900};
    std::vector<SilencePoint> points{SilencePoint::BeforeHead, SilencePoint::BeforeFirstEvent, SilencePoint::BetweenEvents, SilencePoint::BeforeEnd};
};

/// What ends or delays an answer of an upstream after some of its events.
enum class StreamFailureKind {
    ConnectionLost, // the upstream goes on serving
    Crash,
    Silence,
};

/// A failure of the first upstreams that answer a request.
struct StreamFailure
{
    StreamFailureKind kind = StreamFailureKind::ConnectionLost;
    int afterEvent = 1;                  // id of the last event before the first failure, one more for each further one; 0: after the response head
    std::size_t runs = 1;                // number of upstreams that fail
    std::chrono::milliseconds silence{}; // of StreamFailureKind::Silence
};

/// Upstreams that lose the connection in the middle of a stream and go on serving.
struct BreakOptions
{
    double share = 0; // of the answers; the position is random
};

/// What the store's configuration says. The routes /chat/ (resumable stream), /plain/ (buffered, repeatable) and /once/ (buffered, at most
/// once) are always there, and /split/ (resumable stream to two services) with upstreams of the second service.
struct RigConfiguration
{
    std::chrono::milliseconds idleLimit{15'000};
    std::chrono::milliseconds routeTimeout{5'000};
    std::chrono::milliseconds targetLatency{600};
    std::string nameSuffix;                           // of the names of the routes; a route that gets another name keeps its path
    std::vector<std::string> extraRoutes;             // repeatable, to the plain service; the name is also the path
    std::map<std::string, std::size_t> limitedRoutes; // the same, with the number of upstreams that may run a request; 3 at all others
    std::vector<std::string> extraServices;
    std::map<std::string, std::set<std::string>> homeRegions; // by the path of the route, without slashes; all regions of a route not named
};

/// A configuration that the store has acknowledged, with its home regions.
struct ConfigurationRecord
{
    core::TimePoint acknowledgedAt{};
    std::uint64_t version = 0;
    std::map<std::string, std::set<std::string>> homeRegions;

    /// Whether a request for `target` may run in the region.
    [[nodiscard]] bool allowsRegion(const std::string &target, const std::string &region) const;
};

/// Size of the deployment and what happens in it.
struct EdgeRigOptions
{
    std::uint64_t seed = 1;
    std::size_t instancesPerRegion = 3;
    std::size_t upstreamsPerRegion = 4;
    std::chrono::milliseconds crashDuration{1'500}; // until an upstream is back, under a new id at the same address
    std::chrono::milliseconds entryLifetime{800};   // of a crashed upstream's announcement
    std::chrono::milliseconds headDelay{20};        // from the arrival of a request to the response head
    std::chrono::milliseconds firstEventDelay{40};  // from the response head to the first event
    std::chrono::milliseconds eventGap{25};
    int eventCount = 5;
    double retryRatio = 0.2;                 // retries per first send
    double minRetries = 50;                  // of all instances, regardless of first sends
    std::size_t plainUpstreamsPerRegion = 0; // besides the model engines, of the plain service
    SilenceOptions silence = {};
    BreakOptions breaks = {};
    std::vector<std::string> versions{"v1"};         // of the software of the upstreams; assigned in turn within each region
    std::size_t secondServiceUpstreamsPerRegion = 0; // besides the model engines of the service s, those of the service s2
    RigConfiguration configuration = {};
    std::chrono::milliseconds announcementInterval{}; // at which upstreams announce themselves again; zero: only on changes
    bool keepsRegistrations = false;                  // of instances, in the store
    bool allowsPathCuts = false;                      // between instances and upstreams; their connections go through a proxy
    std::size_t plainSlots = 64;                      // of each upstream of the plain service
    std::chrono::milliseconds storeDelay{};           // of the store's answers to reading calls, on their way back
};

/// A request that reached an upstream.
struct Arrival
{
    core::TimePoint at{};
    std::string upstream;
    std::string sender; // id of the instance
    std::vector<std::string> parts;
    std::string attempt;
    bool misdirected = false; // not run, because it was meant for another upstream
    std::string target = {};
    std::string body = {};
    std::string version = {}; // of the upstream
    bool wasShed = false;     // not run, because the upstream rejected it
    std::uint64_t run = 0;    // of the upstream
    bool saysLeaving = false; // the upstream said in its response that it was leaving
    std::string region = {};  // of the upstream

    [[nodiscard]] bool hasPart(const std::string &part) const
    {
        return std::find(parts.begin(), parts.end(), part) != parts.end();
    }
};

/// A request that reached an instance to which its client had not sent it.
struct PeerArrival
{
    core::TimePoint at{};
    std::size_t instance = 0;
    std::string attempt;
};

/// An upstream's wish for no more requests from an instance.
struct RestRequest
{
    std::string upstream;
    std::string instance;
    core::TimePoint at{};
    core::TimePoint end{};
};

/// How a request ended for its client.
enum class ClientOutcome {
    Pending,
    Complete,    // a whole response of the upstream with status 200
    OtherStatus, // another response
    Cut,         // the response began and did not end
    NoResponse,  // the request was sent whole, and the connection ended or the client gave up before a response head
    NotSent,     // no connection, or the request could not be written whole
};

/// An event of a stream, and who wrote it.
struct StreamEvent
{
    int id = 0;
    std::string service;
    std::string version;
};

/// A request for EdgeRig::send().
struct RigRequest
{
    std::size_t instance = 0;
    std::string target = "/chat/x";
    std::vector<std::string> parts;
    std::string body = "body"; // requests with the same target and body are the same request
    std::chrono::milliseconds deadline{4'000};
    std::vector<Silence> silences = {}; // of every upstream that answers it; none: as EdgeRigOptions::silence says
    /// The second upstream that it reaches answers with status 500 and a body that takes so long; none: it answers as the others.
    std::optional<std::chrono::milliseconds> slowFailure = {};
    std::optional<StreamFailure> failure = {}; // none: as EdgeRigOptions::breaks says
    std::optional<int> lastEvent = {};         // id of the last event of a stream that is taken up again
    std::string resumes = {};                  // attempt id of the request that brought the first event of the stream
    std::optional<int> dropAfter = {};         // id of the event after which the client ends its connection
    std::function<void(const StreamEvent &)> onEvent = {};
    std::function<void()> onDone = {};
    http::ConnectionPool *pool = nullptr;  // connections that the client keeps; null: a new one
    std::chrono::milliseconds bodyPause{}; // in the middle of the body; zero: none
};

/// What a client saw of a request.
struct ClientResult
{
    std::size_t request = 0; // number in the order of sending
    core::TimePoint sentAt{};
    unsigned status = 0;         // 0: no complete response
    std::string retryAfter = {}; // in seconds
    bool done = false;
    std::string target = {};
    ClientOutcome outcome = ClientOutcome::Pending;
    bool connectionReused = false;
    core::TimePoint endedAt{};
    std::string failure = {}; // why there is no response
    std::size_t instance = 0;
    std::vector<StreamEvent> events = {}; // also of a response that was cut off
};

/// Where a client takes up a stream again; a running instance is chosen at random.
enum class ResumeAt { SameInstance, OtherInstanceOfRegion, OtherRegion, Anywhere };

/// A stream whose client takes it up again when it is cut off after its first event.
struct StreamOptions
{
    RigRequest request; // the first one; its deadline is that of the whole stream
    ResumeAt resumeAt = ResumeAt::Anywhere;
    std::chrono::milliseconds resumeDelay{50};
    std::size_t maxResumptions = 3;
    std::vector<int> dropsAfter; // for the first request and the resumptions: event after which the client ends its connection
};

/// One resumption: a request and, after a refusal that asks the client to come back soon, a second one.
struct Resumption
{
    core::TimePoint at{};
    std::vector<std::size_t> requests; // by number
    std::string version;               // of the stream
    bool mayGoOn = false;              // two upstreams of the version served at its begin and its end
    bool wentOn = false;               // it brought a further event
    bool done = false;
};

/// What a client saw of a stream.
struct StreamRecord
{
    StreamOptions options;
    std::vector<std::size_t> requests = {}; // by number
    std::vector<StreamEvent> events = {};   // of all requests
    std::vector<Resumption> resumptions = {};
    bool complete = false;
    bool done = false;

    [[nodiscard]] bool hasBegun() const
    {
        return !events.empty();
    }
    [[nodiscard]] std::set<std::string> versions() const;
    [[nodiscard]] std::set<std::string> services() const;
    /// Whether it holds each event once and in order.
    [[nodiscard]] bool isWhole(int eventCount) const;
};

/// How an upstream starts again after a crash.
struct RestartOptions
{
    std::chrono::milliseconds after{};         // until it is back at the same address
    std::chrono::milliseconds entryLifetime{}; // of the announcement of the crashed run; not longer than `after`
    std::string version;
    bool keepsId = false;
};

class EdgeRig;

/// A model engine, or an upstream of the plain service. It crashes when it begins to answer a request with a part in EdgeRig::crashingParts,
/// and before it answers one in EdgeRig::crashingRequests.
class RigUpstream
{
public:
    RigUpstream(EdgeRig &rig, std::size_t number, std::string region, std::string service, std::string version);

    /// Ends all connections, refuses new ones and starts again after EdgeRigOptions::crashDuration.
    void crash();
    void crash(const RestartOptions &restart);
    /// Writes its announcement, with the next sequence.
    void announce();
    /// Announces that it is leaving, serves on for `drainTime` and ends.
    void drain(std::chrono::milliseconds drainTime);
    /// Withdraws its announcement, or announces itself again; it serves on.
    void setListed(bool isListed);
    /// Ends all connections, refuses new ones and withdraws its announcement, for good.
    void end();
    [[nodiscard]] const std::string &id() const
    {
        return m_id;
    }
    [[nodiscard]] bool isUp() const
    {
        return m_acceptor.has_value();
    }
    [[nodiscard]] const std::string &region() const
    {
        return m_region;
    }
    [[nodiscard]] const std::string &service() const
    {
        return m_service;
    }
    [[nodiscard]] const std::string &version() const
    {
        return m_version;
    }
    /// Whether it runs and is announced as ready.
    [[nodiscard]] bool isReady() const
    {
        return isUp() && !m_isDraining;
    }

    std::string limit;                // value of the limit header of its responses; empty: no header
    bool statesLeaving = false;       // in its responses, not in its announcement
    double shedShare = 0;             // of the requests that it rejects with status 503
    std::chrono::milliseconds rest{}; // that these rejections ask for; zero: they name none

private:
    using Tcp = boost::asio::ip::tcp;

    void start(bool keepsId);
    void close();
    boost::asio::awaitable<void> acceptLoop(std::uint64_t run);
    boost::asio::awaitable<void> serve(std::shared_ptr<Tcp::socket> socket, std::uint64_t run);
    boost::asio::awaitable<bool>
    respond(Tcp::socket &socket, std::uint64_t run, const std::string &attempt, const std::string &sender, int firstEvent, bool crashes);
    boost::asio::awaitable<bool> respondPlain(Tcp::socket &socket, std::uint64_t run, const std::string &attempt);
    /// Where and how long this upstream is silent in its answer to a request; depends on nothing but the seed and the request.
    [[nodiscard]] std::vector<Silence> silencesFor(const std::string &attempt) const;
    boost::asio::awaitable<bool> respondWithSlowFailure(Tcp::socket &socket, const std::string &attempt, std::chrono::milliseconds duration);
    boost::asio::awaitable<void> fallSilentAt(SilencePoint point, const std::string &attempt);
    [[nodiscard]] std::optional<StreamFailure> failureFor(const std::string &attempt, int firstEvent);
    boost::asio::awaitable<void> restartLater(std::string crashedId, RestartOptions restart);

    EdgeRig &m_rig;
    std::size_t m_number;
    std::string m_region;
    std::string m_service;
    std::string m_version;
    std::string m_id;
    bool m_isDraining = false;
    bool m_hasEnded = false;
    std::uint64_t m_sequence = 0; // of its announcements
    std::uint64_t m_run = 0;      // number of the current or last run
    std::uint16_t m_port = 0;
    std::optional<Tcp::acceptor> m_acceptor;         // while it is up
    std::optional<Tcp::socket> m_reservation;        // of the port while it is down; it refuses connections
    std::list<std::weak_ptr<Tcp::socket>> m_sockets; // of the current run
};

class EdgeRig
{
public:
    explicit EdgeRig(EdgeRigOptions options);
    ~EdgeRig();
    EdgeRig(const EdgeRig &) = delete;
    EdgeRig &operator=(const EdgeRig &) = delete;

    //--- Time
    void runFor(std::chrono::milliseconds duration);
    [[nodiscard]] core::TimePoint now() const
    {
        return m_clock.steadyNow();
    }
    /// Calls `action` after `delay`, from runFor().
    void schedule(std::chrono::milliseconds delay, std::function<void()> action);

    //--- Instances
    [[nodiscard]] std::size_t instanceCount() const
    {
        return m_instances.size();
    }
    [[nodiscard]] std::string instanceId(std::size_t instance) const;
    [[nodiscard]] std::string instanceRegion(std::size_t instance) const;
    [[nodiscard]] bool isRunning(std::size_t instance) const; // neither killed nor frozen
    void freeze(std::size_t instance, std::chrono::milliseconds duration);
    void kill(std::size_t instance);
    void start(std::size_t instance);
    void setStoreCut(std::size_t instance, bool isCut);
    /// Loses all datagrams between an instance and the others, until the end; connections are not affected. For one instance only.
    void cutDatagrams(std::size_t instance);
    /// Loses a share of the datagrams between instances, at random. It counts as undisturbed meanwhile.
    void loseDatagrams(double share);
    /// Cuts the paths from an instance to all upstreams; needs EdgeRigOptions::allowsPathCuts. It counts as undisturbed meanwhile.
    void cutPaths(std::size_t instance, PathFailure failure);
    void healPaths(std::size_t instance);
    /// A random running instance.
    [[nodiscard]] std::size_t pickRunning(pcg32 &random) const;
    /// Whether the instance has run without a disruption for `duration` before `at`.
    [[nodiscard]] bool wasUndisturbed(const std::string &instance, core::TimePoint at, core::Duration duration) const;
    /// Begin of the disturbances that followed each other within `duration` until `at`; `at` if there was none.
    [[nodiscard]] core::TimePoint disturbedSince(const std::string &instance, core::TimePoint at, core::Duration duration) const;
    [[nodiscard]] std::string metricsText(std::size_t instance);

    //--- Upstreams
    [[nodiscard]] RigUpstream &upstream(std::size_t index)
    {
        return *m_upstreams[index];
    }
    [[nodiscard]] std::size_t upstreamCount() const
    {
        return m_upstreams.size();
    }
    RigUpstream &addUpstream(const std::string &region, const std::string &service, const std::string &version);
    /// Replaces the ready upstreams of the service in turn, one per `interval`: a new one with the version starts, and an old one drains.
    void roll(const std::string &service, const std::string &version, std::chrono::milliseconds interval, std::chrono::milliseconds drainTime);
    /// Number of upstreams that run and are announced as ready.
    [[nodiscard]] std::size_t readyCount(const std::string &service, const std::string &version) const;
    [[nodiscard]] const std::vector<Arrival> &arrivals() const
    {
        return m_arrivals;
    }
    [[nodiscard]] const std::vector<PeerArrival> &peerArrivals() const
    {
        return m_peerArrivals;
    }
    /// When the instance first received a response in which this run of an upstream names its limit; nothing if it has not.
    [[nodiscard]] std::optional<core::TimePoint> toldLimitAt(const std::string &upstream, const std::string &instance) const
    {
        const auto found = m_toldLimitAt.find({upstream, instance});
        return found == m_toldLimitAt.end() ? std::nullopt : std::optional(found->second);
    }
    /// Rejections of upstreams that asked for a rest.
    [[nodiscard]] const std::vector<RestRequest> &restRequests() const
    {
        return m_restRequests;
    }
    /// Times of crashes that a part in `crashingParts` caused.
    [[nodiscard]] const std::vector<core::TimePoint> &partCrashes() const
    {
        return m_partCrashes;
    }
    std::set<std::string> crashingParts;
    /// Times of crashes that this request, in `crashingRequests`, caused.
    [[nodiscard]] const std::vector<core::TimePoint> &requestCrashes(const RigRequest &request)
    {
        return m_requestCrashes[{request.target, request.body}];
    }
    std::vector<RigRequest> crashingRequests; // they crash an upstream headDelay after their arrival

    //--- Configuration
    [[nodiscard]] const RigConfiguration &configuration() const
    {
        return m_options.configuration;
    }
    /// Writes another configuration, with the next version.
    void configure(RigConfiguration configuration);
    /// Writes the last configuration once more, with the same version.
    void configureAgain();
    [[nodiscard]] std::uint64_t configurationVersion() const
    {
        return m_configurationVersion;
    }
    /// All configurations in the order of writing, also those that a restored store lacks.
    [[nodiscard]] const std::vector<ConfigurationRecord> &configurationHistory() const
    {
        return m_configurationHistory;
    }
    /// The version that an instance has applied.
    [[nodiscard]] std::uint64_t appliedConfiguration(std::size_t instance);

    //--- Store
    /// Replaces the store by a copy that is `age` old.
    void restoreStore(std::chrono::milliseconds age);
    [[nodiscard]] std::size_t registrationCount() const;
    /// Number of writing calls of instances.
    [[nodiscard]] std::size_t storeWriteCount(core::TimePoint from, core::TimePoint to) const;

    //--- Clients
    /// Sends a streaming request whose prompt consists of `parts` to an instance; the result is complete later.
    std::size_t send(std::size_t instance, const std::vector<std::string> &parts);
    std::size_t send(const RigRequest &request);
    [[nodiscard]] std::size_t requestCount() const
    {
        return m_results.size();
    }
    /// X-Attempt-Id of a request.
    [[nodiscard]] static std::string attemptId(std::size_t request)
    {
        return "request-" + std::to_string(request);
    }
    /// Request that has this X-Attempt-Id, if it asks for certain answers.
    [[nodiscard]] const RigRequest *specialRequest(const std::string &attempt) const
    {
        const auto found = m_specialRequests.find(attempt);
        return found == m_specialRequests.end() ? nullptr : &found->second;
    }
    /// Number of the request that has this X-Attempt-Id.
    [[nodiscard]] static std::size_t requestNumber(const std::string &attempt)
    {
        return std::stoul(attempt.substr(attempt.find('-') + 1));
    }
    [[nodiscard]] const ClientResult &result(std::size_t request) const
    {
        return m_results[request];
    }
    /// Number of times that upstreams ran a request.
    [[nodiscard]] std::size_t runCount(std::size_t request) const;
    /// Upstreams that ran the request, by the request's X-Attempt-Id.
    [[nodiscard]] std::map<std::string, std::set<std::string>> upstreamsByAttempt() const;
    /// Sends a stream that its client takes up again; returns its number.
    std::size_t sendStream(StreamOptions options);
    [[nodiscard]] std::size_t streamCount() const
    {
        return m_streams.size();
    }
    [[nodiscard]] const StreamRecord &stream(std::size_t number) const
    {
        return m_streams[number];
    }
    /// Runs until all requests and streams are done.
    void runUntilDone();
    [[nodiscard]] int eventCount() const
    {
        return m_options.eventCount;
    }

private:
    friend class RigUpstream;
    struct Store;
    struct StoreView;
    struct Instance;

    void sendTry(std::size_t stream, std::size_t instance, bool isRepetition);
    void finishTry(std::size_t stream, bool isRepetition);
    void resumeLater(std::size_t stream);
    [[nodiscard]] std::size_t pickForResumption(std::size_t previous, ResumeAt where);

    void recordReceived(std::size_t instance, const std::string &attempt);
    void writeConfiguration();
    void announceAgain();
    boost::asio::awaitable<void> sendSlowly(RigRequest rigRequest, std::size_t number, http::Request request, std::chrono::milliseconds timeout);

    EdgeRigOptions m_options;
    std::uint64_t m_configurationVersion = 0;
    std::vector<ConfigurationRecord> m_configurationHistory;
    core::SystemClock m_clock;
    pcg32 m_random;
    std::unique_ptr<Store> m_store;
    boost::asio::io_context m_loop{1}; // of upstreams and clients
    std::unique_ptr<PathCuts> m_pathCuts;
    std::vector<std::unique_ptr<RigUpstream>> m_upstreams;
    std::vector<std::unique_ptr<Instance>> m_instances;
    std::vector<Arrival> m_arrivals;
    std::vector<PeerArrival> m_peerArrivals;
    std::map<std::pair<std::string, std::string>, core::TimePoint> m_toldLimitAt; // by upstream and instance
    std::vector<RestRequest> m_restRequests;
    std::vector<core::TimePoint> m_partCrashes;
    std::map<std::pair<std::string, std::string>, std::vector<core::TimePoint>> m_requestCrashes; // by target and body
    std::deque<ClientResult> m_results;
    std::map<std::string, RigRequest> m_specialRequests;      // by X-Attempt-Id
    std::map<std::string, StreamFailure> m_requestedFailures; // by X-Attempt-Id; `runs` counts down
    std::deque<StreamRecord> m_streams;
    std::multimap<core::TimePoint, std::function<void()>> m_actions;
};

/// A client that keeps its connection to one instance and sends its next request when the connection has been idle for four fifths of
/// the smallest idle limit that may have been in force meanwhile.
class KeptClient
{
public:
    KeptClient(EdgeRig &rig, std::size_t instance, std::string target);
    /// Sends requests until `end`.
    void run(core::TimePoint end);

    /// Smallest idle limit that may have been in force at any time since `begin`.
    std::function<std::chrono::milliseconds(core::TimePoint begin)> idleLimit;

private:
    void step(core::TimePoint end);

    EdgeRig &m_rig;
    std::size_t m_instance;
    std::string m_target;
    http::ConnectionPool m_pool;
    std::optional<std::size_t> m_request; // in progress
};

/// Sends sound requests to running instances at random, 40 a second.
class TrafficSource
{
public:
    TrafficSource(EdgeRig &rig, pcg32 &random, std::chrono::milliseconds duration);

    /// Also sends requests with `part`, 8 a second.
    void addHarmful(const std::string &part, std::chrono::milliseconds from, std::chrono::milliseconds to);
    [[nodiscard]] std::size_t harmfulCount() const
    {
        return m_harmful.size();
    }
    /// Share of the sound requests sent between two times since the start that were delivered whole.
    [[nodiscard]] double deliveredShare(core::Duration from, core::Duration to) const;

private:
    std::size_t send(const std::string &part);

    EdgeRig &m_rig;
    pcg32 &m_random;
    core::TimePoint m_start;
    std::vector<std::size_t> m_sound; // requests by number
    std::vector<std::size_t> m_harmful;
    std::uint64_t m_next = 0;
};

/// Streams, buffered requests and at-most-once requests to all instances in turn, each request with a body of its own.
struct MixedTraffic
{
    std::chrono::milliseconds duration{};
    std::chrono::milliseconds interval{};
    std::vector<std::string> targets;
    std::size_t sharedParts = 1; // number of different first parts of prompts, which choose upstreams
    std::chrono::milliseconds deadline = RigRequest().deadline;
};
void scheduleTraffic(EdgeRig &rig, const MixedTraffic &traffic);

/// Share of the requests sent between two times that were delivered whole.
[[nodiscard]] double deliveredShare(const EdgeRig &rig, const std::vector<std::size_t> &requests, core::TimePoint from, core::TimePoint to);

/// Arrivals that match, later than `window` after crash number `crashCount`, sent by instances without a disruption in the last `window`.
[[nodiscard]] std::size_t countLateArrivals(const EdgeRig &rig,
                                            const std::vector<core::TimePoint> &crashes,
                                            std::size_t crashCount,
                                            core::Duration window,
                                            const std::function<bool(const Arrival &)> &matches);

/// Times within which the rules about configurations hold.
struct ConfigurationBounds
{
    core::Duration apply = std::chrono::seconds(3);     // from the store's acknowledgement until no instance handles a request by an older one
    core::Duration stability = std::chrono::seconds(5); // undisturbed before, else `apply` begins before the disturbance
};

/// A request that reached an upstream in a region, or an instance in another region than its client's, although no configuration that may
/// be in force at undisturbed instances allows the region.
struct OutsideRequest
{
    core::TimePoint at{};
    std::string attempt;
    std::string target;
    std::string region;
    std::string sender;                    // instance
    std::string receiver;                  // upstream or instance
    core::Duration sinceAcknowledgement{}; // of the newest configuration
    bool isExcused = false;                // a configuration that was in force before a disturbance of the sender allows the region
};

/// All outside requests. An acknowledged configuration holds until a later one is written, whatever a restored store has.
[[nodiscard]] std::vector<OutsideRequest> findOutsideRequests(const EdgeRig &rig, const ConfigurationBounds &bounds);

/// Schedules disruptions around `start` and later: a kill with a restart, a freeze, a store cut, and `crashes` of upstreams.
void scheduleDisruptions(EdgeRig &rig, pcg32 &random, std::chrono::milliseconds start, std::size_t crashes);

/// Value of an environment variable.
[[nodiscard]] std::uint64_t environmentNumber(const char *name, std::uint64_t fallback);

} // namespace arbutus::tests
