// Sound upstreams that fall silent for a while and go on, beside changes of the configuration, in a deployment of several instances in
// two regions over loopback.
//
// ARBUTUS_RIG_SEEDS is the number of seeds to run, ARBUTUS_RIG_FIRST_SEED the first one.

#include "support/edgerig.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <iostream>

using namespace arbutus;
using namespace std::chrono_literals;

namespace {

// An answer with the longest silence takes 2.1 s, and the upstreams go on: a request is done well before its deadline without a second
// send, and also with a second one that begins after the whole silence of the first.
constexpr auto Deadline = 6'000ms;
constexpr auto MinSilence = 500ms;
constexpr auto MaxSilence = 1'900ms;
constexpr auto TrafficTime = 10'000ms;
constexpr auto StartTime = 1'500ms;               // membership and configuration
constexpr auto ConfigurationApplyTime = 2'000ms;  // until every instance has a configuration that was written
constexpr std::size_t MaxRefusedPerThousand = 10; // the upstreams are never full
constexpr std::size_t MaxUpstreams = 3;           // of one request, as the repeatable routes allow unless a test says otherwise

/// What became of the requests to the paths that begin with a prefix.
struct Summary
{
    std::size_t requests = 0;
    std::size_t complete = 0;
    std::size_t cut = 0;
    std::size_t unanswered = 0;    // read by an instance and sent to an upstream, but no response head
    std::size_t notRead = 0;       // no response, and not sent to an upstream
    std::size_t gatewayErrors = 0; // 502, 504
    std::size_t notFound = 0;
    std::size_t refused = 0; // 429, 503
    std::size_t other = 0;
    std::size_t arrivals = 0;
    std::size_t repeated = 0; // requests that reached upstreams more than once
    std::size_t reused = 0;   // requests on a kept connection
};

Summary summarize(const tests::EdgeRig &rig, const std::string &prefix)
{
    std::map<std::string, std::size_t> arrivals;
    for (const tests::Arrival &arrival : rig.arrivals()) {
        arrivals[arrival.attempt] += arrival.misdirected ? 0 : 1;
    }
    Summary out;
    for (std::size_t i = 0; i < rig.requestCount(); ++i) {
        const tests::ClientResult &result = rig.result(i);
        if (!result.target.starts_with(prefix)) {
            continue;
        }
        const std::size_t sends = arrivals[tests::EdgeRig::attemptId(i)];
        ++out.requests;
        out.arrivals += sends;
        out.repeated += sends > 1 ? 1 : 0;
        out.reused += result.connectionReused ? 1 : 0;
        switch (result.outcome) {
        case tests::ClientOutcome::Complete:
            ++out.complete;
            break;
        case tests::ClientOutcome::Cut:
            ++out.cut;
            break;
        case tests::ClientOutcome::Pending:
        case tests::ClientOutcome::NoResponse:
        case tests::ClientOutcome::NotSent:
            ++(sends > 0 ? out.unanswered : out.notRead);
            break;
        case tests::ClientOutcome::OtherStatus:
            ++(result.status == 502 || result.status == 504       ? out.gatewayErrors
                   : result.status == 404                         ? out.notFound
                   : result.status == 429 || result.status == 503 ? out.refused
                                                                  : out.other);
            break;
        }
    }
    return out;
}

std::ostream &operator<<(std::ostream &stream, const Summary &summary)
{
    return stream << "requests " << summary.requests << " (on kept connections " << summary.reused << "), complete " << summary.complete << ", cut "
                  << summary.cut << ", unanswered " << summary.unanswered << ", not read " << summary.notRead << ", 502/504 " << summary.gatewayErrors
                  << ", 404 " << summary.notFound << ", refused " << summary.refused << ", other " << summary.other << ", arrivals " << summary.arrivals
                  << ", repeated " << summary.repeated;
}

tests::EdgeRigOptions rigOptions(std::uint64_t seed)
{
    tests::EdgeRigOptions options;
    options.seed = seed;
    options.upstreamsPerRegion = 2;
    options.plainUpstreamsPerRegion = 2;
    options.configuration.routeTimeout = Deadline;
    return options;
}

/// Writes configurations in quick succession and knows which idle limits may be in force.
class ConfigurationChanges
{
public:
    ConfigurationChanges(tests::EdgeRig &rig, pcg32 &random)
        : m_rig(rig)
        , m_random(random)
        , m_idleLimits{{rig.now(), rig.configuration().idleLimit}}
    {
    }

    void change()
    {
        constexpr std::array IdleLimits = {1'000ms, 1'500ms, 3'000ms, 15'000ms};
        constexpr std::array Timeouts = {Deadline, 7'500ms, 9'000ms};
        tests::RigConfiguration configuration = m_rig.configuration();
        switch (m_random() % 5) {
        case 0:
            configuration.idleLimit = IdleLimits[m_random() % IdleLimits.size()];
            break;
        case 1:
            configuration.routeTimeout = Timeouts[m_random() % Timeouts.size()];
            break;
        case 2:
            configuration.extraRoutes = configuration.extraRoutes.empty() ? std::vector<std::string>{"extra"} : std::vector<std::string>{};
            break;
        case 3:
            configuration.nameSuffix = std::to_string(m_random() % 100);
            break;
        default:
            configuration.extraServices = configuration.extraServices.empty() ? std::vector<std::string>{"q"} : std::vector<std::string>{};
            break;
        }
        m_idleLimits.emplace_back(m_rig.now(), configuration.idleLimit);
        m_rig.configure(std::move(configuration));
    }

    [[nodiscard]] std::chrono::milliseconds smallestIdleLimitSince(core::TimePoint begin) const
    {
        std::chrono::milliseconds smallest = m_idleLimits.back().second;
        for (std::size_t i = 0; i + 1 < m_idleLimits.size(); ++i) {
            if (m_idleLimits[i + 1].first + ConfigurationApplyTime >= begin) { // it may still have been in force
                smallest = std::min(smallest, m_idleLimits[i].second);
            }
        }
        return smallest;
    }

private:
    tests::EdgeRig &m_rig;
    pcg32 &m_random;
    std::vector<std::pair<core::TimePoint, std::chrono::milliseconds>> m_idleLimits; // by the time of writing
};

/// Runs until every request has ended; each ends soon after its deadline at the latest.
void runUntilDone(tests::EdgeRig &rig)
{
    std::size_t next = 0;
    while (next < rig.requestCount()) {
        if (rig.result(next).done) {
            ++next;
        } else {
            rig.runFor(50ms);
        }
    }
}

/// Requests of all kinds to random instances for TrafficTime, from clients with new and with kept connections. Returns when all are done.
void runTraffic(tests::EdgeRig &rig, pcg32 &random, bool changesConfiguration)
{
    rig.runFor(StartTime);
    ConfigurationChanges changes(rig, random);
    if (changesConfiguration) {
        constexpr auto ChangePeriod = 250ms;
        for (auto at = 0ms; at < TrafficTime; at += ChangePeriod) {
            rig.schedule(at, [&] { changes.change(); });
        }
    }
    constexpr auto Interval = 25ms;
    constexpr std::array Targets = {"/chat/x", "/chat/x", "/plain/x", "/once/x"};
    for (auto at = 0ms; at < TrafficTime; at += Interval) {
        rig.schedule(at, [&] {
            const std::string target = Targets[random() % Targets.size()];
            std::vector<std::string> parts;
            if (target.starts_with("/chat/")) {
                parts = {"a1", "beef" + std::to_string(random() % 12), "c" + std::to_string(rig.requestCount())};
            }
            rig.send(tests::RigRequest{.instance = random() % rig.instanceCount(), .target = target, .parts = parts, .deadline = Deadline});
        });
    }
    constexpr auto ExtraInterval = 200ms;
    for (auto at = 0ms; changesConfiguration && at < TrafficTime; at += ExtraInterval) { // a route that is added and removed
        rig.schedule(at,
                     [&] { rig.send(tests::RigRequest{.instance = random() % rig.instanceCount(), .target = "/extra/x", .parts = {}, .deadline = Deadline}); });
    }
    std::list<tests::KeptClient> keptClients;
    for (std::size_t instance = 0; instance < rig.instanceCount(); ++instance) {
        for (const char *target : {"/chat/kept", "/plain/kept", "/once/kept"}) {
            keptClients.emplace_back(rig, instance, target);
            keptClients.back().idleLimit = [&changes](core::TimePoint begin) { return changes.smallestIdleLimitSince(begin); };
            keptClients.back().run(rig.now() + TrafficTime);
        }
    }
    rig.runFor(TrafficTime);
    runUntilDone(rig);
    constexpr auto KeptClientPoll = 100ms; // lets the kept clients see that the time is over
    rig.runFor(KeptClientPoll);
}

/// Requests that ran at more upstreams than their route allows.
std::size_t countBeyondLimit(const tests::EdgeRig &rig)
{
    const auto upstreams = rig.upstreamsByAttempt();
    std::size_t out = 0;
    for (std::size_t i = 0; i < rig.requestCount(); ++i) {
        const std::string &target = rig.result(i).target;
        const std::string routeName = target.substr(1, target.find('/', 1) - 1);
        const auto limited = rig.configuration().limitedRoutes.find(routeName);
        const std::size_t limit = limited != rig.configuration().limitedRoutes.end() ? limited->second : routeName == "once" ? 1 : MaxUpstreams;
        const auto found = upstreams.find(tests::EdgeRig::attemptId(i));
        out += found != upstreams.end() && found->second.size() > limit ? 1 : 0;
    }
    return out;
}

void checkNothingLost(const tests::EdgeRig &rig, const std::string &title)
{
    CHECK(countBeyondLimit(rig) == 0);
    for (const char *prefix : {"/chat/", "/plain/", "/once/", "/extra/"}) {
        const Summary summary = summarize(rig, prefix);
        std::cout << title << " " << prefix << ": " << summary << std::endl;
        CAPTURE(prefix);
        CHECK(summary.cut == 0);
        CHECK(summary.unanswered == 0);
        CHECK(summary.gatewayErrors == 0);
        CHECK(summary.other == 0);
        CHECK((summary.notFound == 0 || std::string(prefix) == "/extra/"));
        // A request to a route that is being removed may be refused.
        CHECK((summary.refused * 1'000 <= summary.requests * MaxRefusedPerThousand || std::string(prefix) == "/extra/"));
        CHECK((summary.repeated == 0 || std::string(prefix) != "/once/"));
    }
    for (std::size_t i = 0; i < rig.requestCount(); ++i) {
        const tests::ClientResult &result = rig.result(i);
        if (result.outcome == tests::ClientOutcome::NoResponse || result.outcome == tests::ClientOutcome::NotSent) {
            std::cout << title << " request " << i << " to " << result.target << (result.connectionReused ? " on a kept connection" : "") << ": "
                      << result.failure << std::endl;
        }
    }
}

} // namespace

TEST_CASE("an upstream's silence loses no answer beside changes of the configuration", "[rig]")
{
    const std::uint64_t first = tests::environmentNumber("ARBUTUS_RIG_FIRST_SEED", 1);
    for (std::uint64_t seed = first; seed < first + tests::environmentNumber("ARBUTUS_RIG_SEEDS", 2); ++seed) {
        CAPTURE(seed);
        pcg32 random(seed);
        tests::EdgeRigOptions options = rigOptions(seed);
        options.silence.share = 0.5;
        options.silence.minDuration = MinSilence;
        options.silence.maxDuration = MaxSilence;
        tests::EdgeRig rig(options);
        runTraffic(rig, random, true);
        checkNothingLost(rig, "silent, seed " + std::to_string(seed));
    }
}

TEST_CASE("an answer with one silence of its upstream is delivered whole", "[rig]")
{
    struct Point
    {
        const char *name;
        tests::SilencePoint point;
    };
    constexpr std::array Points = {
        Point{"before the head", tests::SilencePoint::BeforeHead},
        Point{"before the first event or the body", tests::SilencePoint::BeforeFirstEvent},
        Point{"between events or within the body", tests::SilencePoint::BetweenEvents},
        Point{"before the end", tests::SilencePoint::BeforeEnd},
    };
    struct Row
    {
        std::string name;
        std::size_t request;
    };
    const bool mayRetry = GENERATE(true, false);
    tests::EdgeRigOptions options = rigOptions(1);
    options.instancesPerRegion = 1;
    if (!mayRetry) {
        options.retryRatio = 0;
        options.minRetries = 0;
    }
    tests::EdgeRig rig(options);
    rig.runFor(StartTime);
    std::vector<Row> rows;
    for (const Point &point : Points) {
        for (const std::chrono::milliseconds duration : {1'000ms, 1'900ms}) {
            for (const char *target : {"/chat/x", "/plain/x", "/once/x"}) {
                std::vector<std::string> parts;
                if (std::string(target) == "/chat/x") {
                    parts = {"a1", "c" + std::to_string(rig.requestCount())};
                }
                rows.push_back(Row{
                    std::string(target) + ", " + std::to_string(duration.count()) + " ms " + point.name,
                    rig.send(tests::RigRequest{.target = target, .parts = parts, .deadline = Deadline, .silences = {tests::Silence{point.point, duration}}})});
            }
        }
    }
    runUntilDone(rig);
    for (const Row &row : rows) {
        const tests::ClientResult &result = rig.result(row.request);
        const auto arrivals = std::count_if(rig.arrivals().begin(), rig.arrivals().end(), [&](const tests::Arrival &arrival) {
            return arrival.attempt == tests::EdgeRig::attemptId(row.request) && !arrival.misdirected;
        });
        std::cout << (mayRetry ? "retries allowed, " : "no retries, ") << row.name << ": status " << result.status
                  << (result.outcome == tests::ClientOutcome::Complete ? ", complete" : ", not complete") << ", arrivals " << arrivals << std::endl;
        CAPTURE(row.name, mayRetry, result.status, result.failure);
        CHECK(result.outcome == tests::ClientOutcome::Complete);
        CHECK((arrivals == 1 || !row.name.starts_with("/once/")));
    }
}

TEST_CASE("an answer with two silences of each upstream is delivered whole", "[rig]")
{
    using Point = tests::SilencePoint;
    struct Pair
    {
        const char *name;
        Point first;
        Point second;
    };
    constexpr std::array Pairs = {
        Pair{"before the head, then before the first event or the body", Point::BeforeHead, Point::BeforeFirstEvent},
        Pair{"before the head, then within the answer", Point::BeforeHead, Point::BetweenEvents},
        Pair{"before the first event or the body, then within the answer", Point::BeforeFirstEvent, Point::BetweenEvents},
        Pair{"within the answer, then before the end", Point::BetweenEvents, Point::BeforeEnd},
    };
    constexpr auto LongDeadline = 12'000ms; // three attempts, each with both silences
    const bool mayRetry = GENERATE(true, false);
    const std::uint64_t first = tests::environmentNumber("ARBUTUS_RIG_FIRST_SEED", 1);
    tests::EdgeRigOptions options = rigOptions(first);
    options.configuration.routeTimeout = LongDeadline;
    options.instancesPerRegion = 1;
    if (!mayRetry) {
        options.retryRatio = 0;
        options.minRetries = 0;
    }
    tests::EdgeRig rig(options);
    rig.runFor(StartTime);
    std::vector<std::pair<std::string, std::size_t>> rows; // name and request
    for (const Pair &pair : Pairs) {
        for (const std::chrono::milliseconds duration : {1'000ms, 1'900ms}) {
            for (const char *target : {"/chat/x", "/plain/x", "/once/x"}) {
                std::vector<std::string> parts;
                if (std::string(target) == "/chat/x") {
                    parts = {"a1", "c" + std::to_string(rig.requestCount())};
                }
                tests::RigRequest request{.instance = rows.size() % rig.instanceCount(), .target = target, .parts = parts, .deadline = LongDeadline};
                request.silences = {{pair.first, duration}, {pair.second, duration}};
                rows.emplace_back(std::string(target) + ", " + std::to_string(duration.count()) + " ms " + pair.name, rig.send(request));
            }
        }
    }
    runUntilDone(rig);
    for (const auto &[name, request] : rows) {
        const tests::ClientResult &result = rig.result(request);
        CAPTURE(name, mayRetry, result.status, result.failure);
        CHECK(result.outcome == tests::ClientOutcome::Complete);
    }
}

TEST_CASE("a replacement that fails with a slow body holds up neither the answer nor the next request", "[rig]")
{
    constexpr auto SlowBody = 4'000ms;
    constexpr auto ShortDeadline = 1'500ms; // of the next request
    const char *target = GENERATE("/chat/x", "/plain/x");
    const std::uint64_t first = tests::environmentNumber("ARBUTUS_RIG_FIRST_SEED", 1);
    tests::EdgeRig rig(rigOptions(first));
    rig.runFor(StartTime);
    const std::vector<std::string> parts = std::string(target) == "/chat/x" ? std::vector<std::string>{"a1", "c1"} : std::vector<std::string>{};
    http::ConnectionPool pool;
    tests::RigRequest request{.target = target, .parts = parts, .deadline = Deadline, .pool = &pool};
    request.silences = {{tests::SilencePoint::BeforeHead, MaxSilence}};
    request.slowFailure = SlowBody;
    const std::size_t silent = rig.send(request);
    runUntilDone(rig);
    request.silences.clear();
    request.slowFailure.reset();
    request.deadline = ShortDeadline;
    const std::size_t next = rig.send(request);
    runUntilDone(rig);
    const tests::ClientResult &silentResult = rig.result(silent);
    const tests::ClientResult &nextResult = rig.result(next);
    CAPTURE(target, silentResult.failure, silentResult.status, nextResult.failure, nextResult.status, nextResult.connectionReused);
    CHECK(silentResult.outcome == tests::ClientOutcome::Complete);
    CHECK(nextResult.connectionReused);
    CHECK(nextResult.outcome == tests::ClientOutcome::Complete);
}

TEST_CASE("requests during a silence, a change of the configuration, a SIGHUP and a stop end in an answer or are not read", "[rig]")
{
    const std::uint64_t first = tests::environmentNumber("ARBUTUS_RIG_FIRST_SEED", 1);
    for (std::uint64_t seed = first; seed < first + tests::environmentNumber("ARBUTUS_RIG_SEEDS", 2); ++seed) {
        CAPTURE(seed);
        pcg32 random(seed);
        tests::EdgeRigOptions options = rigOptions(seed);
        options.silence.share = 0.5;
        tests::EdgeRig rig(options);
        rig.runFor(StartTime);
        constexpr auto Time = 4'000ms;
        constexpr auto StopAt = 2'000ms;
        constexpr auto Interval = 20ms;
        ConfigurationChanges changes(rig, random);
        for (const auto offset : {-600ms, -300ms, -50ms, 0ms, 20ms, 200ms}) {
            rig.schedule(StopAt + offset, [&] {
                changes.change();
                REQUIRE(std::raise(SIGHUP) == 0);
            });
        }
        rig.schedule(StopAt, [] { REQUIRE(std::raise(SIGTERM) == 0); }); // all instances stop
        constexpr std::array Targets = {"/chat/x", "/plain/x", "/once/x"};
        std::list<http::ConnectionPool> pools(rig.instanceCount());
        for (auto at = 0ms; at < Time; at += Interval) {
            rig.schedule(at, [&] {
                const std::string target = Targets[random() % Targets.size()];
                std::vector<std::string> parts;
                if (target.starts_with("/chat/")) {
                    parts = {"a1", "c" + std::to_string(rig.requestCount())};
                }
                const std::size_t instance = random() % rig.instanceCount();
                http::ConnectionPool *pool = random() % 2 == 0 ? &*std::next(pools.begin(), static_cast<std::ptrdiff_t>(instance)) : nullptr;
                rig.send(tests::RigRequest{.instance = instance, .target = target, .parts = parts, .deadline = Deadline, .pool = pool});
            });
        }
        rig.runFor(Time);
        runUntilDone(rig);
        for (const char *prefix : {"/chat/", "/plain/", "/once/"}) {
            const Summary summary = summarize(rig, prefix);
            std::cout << "stop, seed " << seed << " " << prefix << ": " << summary << std::endl;
            CAPTURE(prefix);
            CHECK(summary.complete > 0);
            CHECK(summary.cut == 0);
            CHECK(summary.unanswered == 0);
            CHECK(summary.gatewayErrors == 0);
            CHECK(summary.other == 0);
        }
        for (std::size_t i = 0; i < rig.requestCount(); ++i) { // the whole request was sent, and the end of the connection shows that it was not read
            const tests::ClientResult &result = rig.result(i);
            if (result.outcome == tests::ClientOutcome::NoResponse) {
                std::cout << "stop, seed " << seed << " request " << i << " to " << result.target << ": " << result.failure << " after "
                          << std::chrono::duration_cast<std::chrono::milliseconds>(result.endedAt - result.sentAt).count() << " ms" << std::endl;
            }
        }
    }
}

TEST_CASE("requests whose route is removed or renamed while they run end in an answer or a refusal", "[rig]")
{
    const std::uint64_t first = tests::environmentNumber("ARBUTUS_RIG_FIRST_SEED", 1);
    for (std::uint64_t seed = first; seed < first + tests::environmentNumber("ARBUTUS_RIG_SEEDS", 2); ++seed) {
        CAPTURE(seed);
        pcg32 random(seed);
        tests::EdgeRigOptions options = rigOptions(seed);
        options.crashDuration = 1min;
        options.configuration.extraRoutes = {"extra"};
        options.silence.share = 1;
        options.silence.points = {tests::SilencePoint::BetweenEvents}; // requests run while the configuration changes
        tests::EdgeRig rig(options);
        rig.runFor(StartTime);
        for (std::size_t i = 0; i < rig.upstreamCount(); ++i) { // region x has no upstream: its requests go to an instance of region y
            if (rig.upstream(i).region() == "x") {
                rig.upstream(i).crash();
            }
        }
        rig.runFor(StartTime);
        constexpr auto Time = 5'000ms;
        constexpr auto MinChangePeriod = 300ms;
        constexpr std::uint32_t ChangePeriodRange = 600; // ms
        constexpr auto Interval = 20ms;
        for (auto at = 0ms; at < Time; at += MinChangePeriod + std::chrono::milliseconds(random() % ChangePeriodRange)) {
            rig.schedule(at, [&] {
                tests::RigConfiguration configuration = rig.configuration();
                configuration.extraRoutes = configuration.extraRoutes.empty() ? std::vector<std::string>{"extra"} : std::vector<std::string>{};
                configuration.nameSuffix = std::to_string(random() % 100);
                rig.configure(std::move(configuration));
                REQUIRE(std::raise(SIGHUP) == 0); // all instances load their settings again
            });
        }
        for (auto at = 0ms; at < Time; at += Interval) {
            rig.schedule(at, [&] {
                const char *target = random() % 2 == 0 ? "/extra/x" : "/plain/x";
                rig.send(tests::RigRequest{.instance = random() % rig.instanceCount(), .target = target, .parts = {}, .deadline = Deadline});
            });
        }
        rig.runFor(Time);
        runUntilDone(rig);
        for (const char *prefix : {"/extra/", "/plain/"}) {
            const Summary summary = summarize(rig, prefix);
            std::cout << "routes removed, seed " << seed << " " << prefix << ": " << summary << std::endl;
            CAPTURE(prefix);
            CHECK(summary.complete > 0);
            CHECK((summary.notFound > 0) == (std::string(prefix) == "/extra/"));
            CHECK(summary.complete + summary.notFound + summary.refused == summary.requests);
        }
    }
}

TEST_CASE("a request that crosses the hop runs at no more upstreams than its route allows, whoever is silent", "[rig]")
{
    struct Row
    {
        const char *name;
        bool upstreamsFallSilent;
        bool peersFallSilent;
    };
    constexpr std::array Rows = {
        Row{"upstreams", true, false},
        Row{"peers", false, true},
        Row{"upstreams and peers", true, true},
    };
    constexpr auto Time = 6'000ms;
    constexpr auto Interval = 15ms;
    constexpr auto FreezeTime = 2'200ms; // longer than an origin waits for a peer
    constexpr auto FreezePeriod = 1'500ms;
    const std::map<std::string, std::size_t> limits = {{"single", 1}, {"again", 2}, {"thrice", 3}};
    const std::uint64_t first = tests::environmentNumber("ARBUTUS_RIG_FIRST_SEED", 1);
    for (std::uint64_t seed = first; seed < first + tests::environmentNumber("ARBUTUS_RIG_SEEDS", 1); ++seed) {
        for (const Row &row : Rows) {
            CAPTURE(seed, row.name);
            pcg32 random(seed);
            tests::EdgeRigOptions options = rigOptions(seed);
            options.plainUpstreamsPerRegion = 4;
            options.configuration.limitedRoutes = limits;
            options.silence.share = row.upstreamsFallSilent ? 0.7 : 0;
            options.silence.minDuration = MinSilence;
            options.silence.maxDuration = MaxSilence;
            options.breaks.share = 0.2;
            options.minRetries = 1'000; // the retry budget is not what is tested here
            options.allowsPathCuts = true;
            tests::EdgeRig rig(options);
            rig.runFor(StartTime);
            rig.cutPaths(0, tests::PathFailure::Reset); // its requests go through relays, or to the other region
            rig.runFor(StartTime);
            std::size_t next = 0;
            for (auto at = 500ms; row.peersFallSilent && at < Time; at += FreezePeriod) {
                rig.schedule(at, [&] { rig.freeze(1 + next++ % (rig.instanceCount() - 1), FreezeTime); });
            }
            for (auto at = 0ms; at < Time; at += Interval) {
                rig.schedule(at, [&] {
                    constexpr std::array Targets = {"/chat/x", "/single/x", "/again/x", "/thrice/x"};
                    const std::string target = Targets[random() % Targets.size()];
                    std::vector<std::string> parts;
                    if (target.starts_with("/chat/")) {
                        parts = {"a1", "c" + std::to_string(rig.requestCount())};
                    }
                    rig.send(tests::RigRequest{.instance = 0, .target = target, .parts = parts, .deadline = Deadline});
                });
            }
            rig.runFor(Time);
            runUntilDone(rig);
            std::map<std::size_t, std::size_t> requestsByUpstreams;
            for (const auto &[attempt, upstreams] : rig.upstreamsByAttempt()) {
                ++requestsByUpstreams[upstreams.size()];
            }
            std::cout << "silent " << row.name << ", seed " << seed << ": requests " << rig.requestCount();
            for (const auto &[upstreams, requests] : requestsByUpstreams) {
                std::cout << ", at " << upstreams << " upstreams " << requests;
            }
            std::cout << std::endl;
            CHECK(requestsByUpstreams[1] > 0);
            CHECK(requestsByUpstreams[2] > 0); // some were sent again
            CHECK(countBeyondLimit(rig) == 0);
        }
    }
}
