// Keeps requests away from upstreams whose prompts contain a part that crashes them.
//
// routing::PromptQuarantine judges the parts. This class decides what counts as a crash, exchanges records with the other
// instances, and shows the quarantine to operators:
//
//   GET /quarantine              JSON list of suspect and quarantined parts
//   DELETE /quarantine/PART      lifts the quarantine of a part, on all instances
//
// Q: What counts as a crash?
// A: The connection of a request ended between the response head and the first event, and the upstream then refuses connections,
//    is removed from the metadata or announces another start. An upstream that breaks off single responses still accepts
//    connections and announces no other start.
//
// Q: How do other instances learn of it?
// A: Every change is sent to all live members at once. Datagrams may be lost and members may be cut off or start later, so each
//    instance also sends its records to a few random members and to each new one, as long as it has any.

#pragma once

#include "arbutus/edge/fleet.h"
#include "arbutus/edge/metadatacache.h"
#include "arbutus/http/message.h"

#include <pcg_random.hpp>

#include <set>

namespace arbutus::edge {

struct QuarantineServiceSettings
{
    routing::PromptQuarantineSettings quarantine;
    std::chrono::milliseconds connectTimeout{300};       // of the connection that tells whether an upstream has crashed
    std::chrono::milliseconds removalCheckInterval{200}; // of the metadata, if the upstream did not refuse the connection
    int removalChecks = 25;                              // then it has not crashed
    std::size_t maxBreaksPerUpstream = 64;               // remembered until it is known whether the upstream has crashed
    std::chrono::milliseconds exchangePeriod{500};       // of sending records to random members
    std::size_t exchangeMembers = 3;                     // in each period
    std::size_t maxRecordsPerDatagram = 8;               // about 1.2 kB
    std::size_t maxDatagramsPerExchange = 4;             // further records follow in the next periods
};

class QuarantineService
{
public:
    QuarantineService(InstanceContext &context, Fleet &fleet, const MetadataCache &metadataCache, std::uint64_t seed, QuarantineServiceSettings settings = {});

    void start();
    /// The first quarantined part of a prompt, if any.
    [[nodiscard]] std::optional<routing::PromptPartId> findQuarantined(const std::vector<routing::PromptPart> &prompt);
    /// A request's response head had arrived, but no event, when its connection to the upstream ended.
    void recordBreak(const core::UpstreamId &upstream, const std::string &address, const std::vector<routing::PromptPart> &prompt);
    /// The first event of a request, or the whole response, has arrived.
    void recordFirstEvent(const std::vector<routing::PromptPart> &prompt);
    /// Handles the records of another instance.
    void handleRecords(const std::vector<routing::PartRecord> &records, const core::InstanceId &sender);
    /// Handles a request under /quarantine.
    [[nodiscard]] http::Response handleOperatorRequest(const http::Request &request);
    [[nodiscard]] std::size_t quarantinedCount() const
    {
        return m_logged.size();
    }

    /// Called after a part has been quarantined.
    std::function<void()> onQuarantined;

private:
    struct Break
    {
        std::vector<routing::PromptPart> prompt;
        core::TimePoint at{};
    };

    boost::asio::awaitable<void> tickLoop();
    /// Waits until the upstream has turned out to have crashed or not, and records the crash.
    boost::asio::awaitable<void> confirmCrash(core::UpstreamId upstream, std::string address, routing::StartTime startTime);
    boost::asio::awaitable<bool> refusesConnections(const std::string &address) const;
    /// Logs verdicts that have changed and sends changed records to the other instances.
    void publishChanges(std::string_view source);
    void sendRecords(const std::string &address, const std::vector<routing::PartRecord> &records);
    void exchangeRecords();

    InstanceContext &m_context;
    Fleet &m_fleet;
    const MetadataCache &m_metadataCache;
    QuarantineServiceSettings m_settings;
    routing::PromptQuarantine m_quarantine;
    pcg32 m_random;
    std::map<core::UpstreamId, std::vector<Break>> m_unconfirmed; // upstreams that may have crashed
    std::set<routing::PromptPartId> m_logged;                     // quarantined parts, as last logged
    std::set<core::InstanceRef> m_knownMembers;                   // live members that have received the records
    std::size_t m_nextRecord = 0;                                 // with which the next exchange begins
};

/// Id of a part as logs and the operators' view show it.
[[nodiscard]] std::string toString(routing::PromptPartId part);

} // namespace arbutus::edge
