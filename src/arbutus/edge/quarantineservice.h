// Keeps requests that crash upstreams away from them: one request in all its repeats, or all with one part in their prompts.
//
// routing::RequestQuarantine judges the causes. This class decides what counts as a crash, exchanges records with the other
// instances, and shows the quarantine to operators:
//
//   GET /quarantine              JSON lists of suspect and quarantined parts and requests
//   DELETE /quarantine/CAUSE     lifts the quarantine of a part or a request, on all instances
//
// Q: What counts as a crash?
// A: The connection of a request ended before the response was complete, and the upstream then refuses connections, is removed from
//    the metadata or announces another start. An upstream that breaks off single responses still accepts connections and announces
//    no other start. Requests that were sent after its first broken connection found it gone and are no evidence.
//
// Q: How do other instances learn of it?
// A: Every change is sent to all live members at once. Datagrams may be lost and members may be cut off or start later, so each
//    instance also sends its records to a few random members and to each new one, as long as it has any.

#pragma once

#include "arbutus/edge/fleet.h"
#include "arbutus/edge/metadatacache.h"
#include "arbutus/edge/pathmonitor.h"
#include "arbutus/http/message.h"

#include <pcg_random.hpp>

#include <set>

namespace arbutus::edge {

struct QuarantineServiceSettings
{
    routing::RequestQuarantineSettings quarantine;
    std::chrono::milliseconds connectTimeout{300};       // of the connection that tells whether an upstream has crashed
    std::chrono::milliseconds removalCheckInterval{200}; // of the metadata, if the upstream did not refuse the connection
    int removalChecks = 25;                              // then it has not crashed
    std::size_t maxBreaksPerUpstream = 512;              // remembered until it is known whether the upstream has crashed
    std::chrono::seconds crashMemory{60};                // for which an upstream is known to have crashed
    std::chrono::milliseconds exchangePeriod{500};       // of sending records to random members
    std::size_t exchangeMembers = 3;                     // in each period
    std::size_t maxRecordsPerDatagram = 8;               // about 1.2 kB
    std::size_t maxDatagramsPerExchange = 4;             // further records follow in the next periods
};

/// A request whose connection to an upstream ended before the response was complete.
struct BrokenRequest
{
    const std::vector<routing::PromptPart> &prompt;
    routing::RequestFingerprint fingerprint;
    bool isBeginning = false; // its response head had arrived, but no event
    core::TimePoint sentAt{};
};

class QuarantineService
{
public:
    QuarantineService(InstanceContext &context,
                      Fleet &fleet,
                      const MetadataCache &metadataCache,
                      PathMonitor &paths,
                      std::uint64_t seed,
                      QuarantineServiceSettings settings = {});

    void start();
    /// The first quarantined cause in a request, if any.
    [[nodiscard]] std::optional<routing::CrashCause> findQuarantined(const std::vector<routing::PromptPart> &prompt,
                                                                     const routing::RequestFingerprint &fingerprint);
    void recordBreak(const core::UpstreamId &upstream, const std::string &address, const BrokenRequest &request);
    /// The first event of a request, or the whole response, has arrived.
    void recordFirstEvent(const std::vector<routing::PromptPart> &prompt);
    /// The upstream has answered the whole request.
    void recordCompletion(const routing::RequestFingerprint &fingerprint);
    /// Waits until each of these upstreams has refused or accepted a connection since its break, if it is being examined.
    boost::asio::awaitable<void> waitForExamination(const std::set<core::UpstreamId> &upstreams) const;
    /// How many of these upstreams are known to have crashed in the last minute.
    [[nodiscard]] std::size_t countCrashed(const std::set<core::UpstreamId> &upstreams) const;
    /// Handles the records of another instance.
    void handleRecords(const std::vector<routing::CauseRecord> &records, const core::InstanceId &sender);
    /// Handles a request under /quarantine.
    [[nodiscard]] http::Response handleOperatorRequest(const http::Request &request);
    [[nodiscard]] std::size_t quarantinedPartCount() const;
    [[nodiscard]] std::size_t quarantinedRequestCount() const
    {
        return m_logged.size() - quarantinedPartCount();
    }

    /// Called after a cause has been quarantined.
    std::function<void()> onQuarantined;

private:
    struct Break
    {
        std::vector<routing::PromptPart> prompt; // of a beginning request
        routing::RequestFingerprint fingerprint;
        core::TimePoint at{};
    };

    boost::asio::awaitable<void> tickLoop();
    /// Judges once the evidence of other instances has arrived too.
    void scheduleVerdict();
    /// Waits until the upstream has turned out to have crashed or not, and records the crash.
    boost::asio::awaitable<void> confirmCrash(core::UpstreamId upstream, std::string address, routing::StartTime startTime);
    boost::asio::awaitable<bool> refusesConnections(const std::string &address) const;
    /// Logs verdicts that have changed and sends changed records to the other instances.
    void publishChanges(std::string_view source);
    void sendRecords(const std::string &address, const std::vector<routing::CauseRecord> &records);
    void exchangeRecords();

    InstanceContext &m_context;
    Fleet &m_fleet;
    const MetadataCache &m_metadataCache;
    PathMonitor &m_paths;
    QuarantineServiceSettings m_settings;
    routing::RequestQuarantine m_quarantine;
    pcg32 m_random;
    std::map<core::UpstreamId, std::vector<Break>> m_unconfirmed; // upstreams that may have crashed
    std::map<core::UpstreamId, core::TimePoint> m_crashedAt;      // first broken connection to upstreams that have crashed
    std::set<core::UpstreamId> m_connecting;                      // upstreams to which a connection is being tried
    std::set<routing::CrashCause> m_logged;                       // quarantined causes, as last logged
    std::set<core::InstanceRef> m_knownMembers;                   // live members that have received the records
    bool m_isVerdictScheduled = false;
    std::size_t m_nextRecord = 0; // with which the next exchange begins
};

} // namespace arbutus::edge
