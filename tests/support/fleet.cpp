// Event queue of the simulated fleet and the fakes for its network, platform and upstreams.
//
// Sections:
//   Construction
//   Time
//   Requests
//   Failures and configuration
//   Network, platform and upstreams

#include "support/fleet.h"

#include "arbutus/config/edit.h"
#include "arbutus/core/hash.h"
#include "arbutus/peer/codec.h"

#include <boost/json.hpp>

#include <chrono>
#include <random>

namespace arbutus::tests {

namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

constexpr const char *WorkspaceKey = "workspace-key";
constexpr core::Duration UpstreamLatency = std::chrono::milliseconds(20);
constexpr core::Duration PlatformLatency = std::chrono::milliseconds(3);
constexpr core::Duration LeaseDuration = std::chrono::seconds(9);
constexpr core::Duration LeaseRenewalInterval = std::chrono::seconds(3);

std::string gossipAddress(std::size_t node)
{
    return "g" + std::to_string(node);
}

std::string peerAddress(std::size_t node)
{
    return "p" + std::to_string(node);
}

json::object classDocument(bool repeatable, bool mayWait)
{
    return json::object{{"urgency", mayWait ? "background" : "urgent"}, {"deadline_ms", 60'000}, {"may_wait", mayWait}, {"repeatable", repeatable}};
}

const peer::DatagramCodec &codec()
{
    static const peer::DatagramCodec shared("a cluster key of some length");
    return shared;
}

} // namespace

//-----------------------------------------------------------------------------
// Construction
//-----------------------------------------------------------------------------

Fleet::Fleet(FleetOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
{
    createNodes();
    createConfiguration();
}

std::string Fleet::workspaceName(std::size_t workspace)
{
    return "ws" + std::to_string(workspace);
}

void Fleet::createNodes()
{
    std::size_t domain = 0;
    for (std::size_t r = 0; r < m_options.regions; ++r) {
        const core::RegionId region("r" + std::to_string(r));
        for (std::size_t d = 0; d < m_options.domainsPerRegion; ++d, ++domain) {
            const core::DomainId domainId("d" + std::to_string(domain));
            for (std::size_t n = 0; n < m_options.nodesPerDomain; ++n) {
                const std::size_t index = m_slots.size();
                Slot slot;
                slot.domain = domain;
                membership::Member &self = slot.settings.self;
                self.id = core::InstanceId("n" + std::to_string(index));
                self.region = region;
                self.domain = domainId;
                self.gossipAddress = gossipAddress(index);
                self.peerAddress = peerAddress(index);
                self.clientUrl = "http://n" + std::to_string(index);
                slot.settings.ticketKeys = {delivery::TicketSigningKey{"k", "a ticket secret of some length"}};
                slot.settings.randomSeed = m_options.seed * 1000 + index;
                m_slots.push_back(std::move(slot));
            }
            for (std::size_t u = 0; u < m_options.modelUpstreams + m_options.serviceUpstreams; ++u) {
                routing::UpstreamDescriptor descriptor;
                descriptor.id = core::UpstreamId("u" + std::to_string(domain) + "-" + std::to_string(u));
                descriptor.region = region;
                descriptor.domain = domainId;
                descriptor.address = descriptor.id.text;
                if (u < m_options.modelUpstreams) {
                    descriptor.models.insert(core::ModelId("m" + std::to_string(u % m_options.models)));
                } else {
                    descriptor.kind = routing::UpstreamKind::Service;
                    descriptor.service = core::ServiceId("orders");
                }
                m_loadedModels[descriptor.id.text] = descriptor.models;
                m_upstreams.push_back(std::move(descriptor));
            }
        }
    }
    for (Slot &slot : m_slots) {
        for (const Slot &other : m_slots) {
            const bool isSameDomain = other.domain == slot.domain;
            const bool isFirstOfDomain = &other == m_slots.data() || (&other - 1)->domain != other.domain;
            if (&other != &slot && m_options.seedAllDomains && (isSameDomain || isFirstOfDomain)) {
                slot.settings.seeds.push_back(other.settings.self);
            }
        }
        if (m_options.adjustSettings) {
            m_options.adjustSettings(slot.settings);
        }
    }
    for (std::size_t i = 0; i < m_slots.size(); ++i) {
        restart(i);
    }
}

void Fleet::createConfiguration()
{
    json::array regions;
    for (std::size_t r = 0; r < m_options.regions; ++r) {
        regions.emplace_back("r" + std::to_string(r));
    }
    json::array models;
    for (std::size_t m = 0; m < m_options.models; ++m) {
        models.emplace_back("m" + std::to_string(m));
    }
    json::object policy{
        {"models", std::move(models)},
        {"services", json::array{"orders"}},
        {"residency", "${regions}"},
        {"home_region", "${home}"},
        {"classes", json::object{{"ask", classDocument(true, false)}, {"wait", classDocument(true, true)}, {"order", classDocument(false, false)}}},
        {"default_class", "ask"},
        {"limits", json::object{{"requests_per_s", "${rate}"}, {"burst", 100'000}, {"concurrency", 100'000}}}};
    json::object parameters{{"regions", json::object{{"type", "list"}}},
                            {"home", json::object{{"type", "text"}}},
                            {"rate", json::object{{"type", "number"}, {"default", 100'000}}}};
    std::vector<json::object> documents;
    documents.push_back(json::object{{"kind", "template"}, {"id", "t"}, {"parameters", std::move(parameters)}, {"policy", std::move(policy)}});
    for (std::size_t w = 0; w < m_options.workspaces; ++w) {
        json::object values{{"regions", regions}, {"home", "r0"}};
        documents.push_back(json::object{{"kind", "workspace"},
                                         {"id", workspaceName(w)},
                                         {"template", "t"},
                                         {"parameters", std::move(values)},
                                         {"key_sha256", json::array{core::sha256Hex(WorkspaceKey)}}});
    }
    editAll(std::move(documents));
}

//-----------------------------------------------------------------------------
// Time
//-----------------------------------------------------------------------------

void Fleet::schedule(core::Duration delay, std::size_t to, std::uint64_t incarnation, std::function<void()> deliver)
{
    m_queue.push(Message{now() + delay, ++m_lastSequence, to, incarnation, std::move(deliver)});
}

void Fleet::runFor(core::Duration duration)
{
    const core::TimePoint end = now() + duration;
    while (true) {
        const core::TimePoint next = m_queue.empty() ? m_nextTick : std::min(m_nextTick, m_queue.top().due);
        if (next > end) {
            break;
        }
        if (next > now()) {
            m_clock.advance(next - now());
        }
        if (m_queue.empty() || m_queue.top().due > next) {
            m_nextTick = now() + m_options.tickInterval;
            tickNodes();
            continue;
        }
        Message message = m_queue.top();
        m_queue.pop();
        const Slot &slot = m_slots[message.to];
        if (slot.node == nullptr || (message.incarnation != 0 && message.incarnation != incarnationOf(message.to))) {
            continue;
        }
        if (slot.pausedUntil > now()) {
            message.due = slot.pausedUntil;
            m_queue.push(std::move(message));
            continue;
        }
        message.deliver();
    }
    if (end > now()) {
        m_clock.advance(end - now());
    }
}

void Fleet::tickNodes()
{
    for (std::size_t i = 0; i < m_slots.size(); ++i) {
        if (m_slots[i].node != nullptr && m_slots[i].pausedUntil <= now()) {
            handleEvent(i, node::TimerTick{});
        }
    }
}

void Fleet::handleEvent(std::size_t index, const node::Event &event)
{
    if (m_slots[index].node == nullptr) {
        return;
    }
    const auto startedAt = std::chrono::steady_clock::now();
    node::Actions actions = m_slots[index].node->handle(event);
    m_decisionCpuTime += std::chrono::steady_clock::now() - startedAt;
    for (const node::Action &action : actions) {
        std::visit([&](const auto &alternative) { execute(index, alternative); }, action);
    }
}

std::uint64_t Fleet::incarnationOf(std::size_t index) const
{
    return m_slots[index].node == nullptr ? 0 : m_slots[index].settings.self.incarnation.value;
}

//-----------------------------------------------------------------------------
// Requests
//-----------------------------------------------------------------------------

node::RequestHead Fleet::serviceHead(const std::string &requestId, const std::string &ticket, std::size_t workspace) const
{
    node::RequestHead head = modelHead(requestId, workspace);
    head.requestClass = core::ClassId("order");
    head.service = core::ServiceId("orders");
    head.ticket = ticket;
    return head;
}

node::RequestBody Fleet::serviceBody(const std::string &text) const
{
    node::RequestBody body;
    body.requestHash = core::sha256Hex(text);
    return body;
}

node::RequestHead Fleet::modelHead(const std::string &requestId, std::size_t workspace) const
{
    node::RequestHead head;
    head.id = core::RequestId(requestId);
    head.workspace = core::WorkspaceId(workspaceName(workspace));
    head.bearerKeyHash = core::sha256Hex(WorkspaceKey);
    return head;
}

node::RequestBody Fleet::modelBody(std::size_t model) const
{
    node::RequestBody body;
    body.model = core::ModelId("m" + std::to_string(model));
    body.promptTokens = 100;
    body.maxTokens = 20;
    return body;
}

std::uint64_t Fleet::startRequest(std::size_t index, ActiveRequest request)
{
    const std::uint64_t key = m_nextKey++;
    request.node = index;
    request.incarnation = incarnationOf(index);
    const node::RequestHead head = request.head;
    m_activeRequests[key] = std::move(request);
    handleEvent(index, node::RequestHeadReceived{node::RequestKey(key), head});
    return key;
}

std::size_t Fleet::send(std::size_t index, node::RequestHead head, node::RequestBody body)
{
    const std::size_t caller = m_results.size();
    m_results.emplace_back();
    m_entryNodes.push_back(index);
    if (m_slots[index].node == nullptr) { // the connection is refused
        m_results[caller] = RequestResult{true, false, false, true, core::Outcome::NotRun, core::ErrorKind::PeerFailed, {}};
        return caller;
    }
    ActiveRequest request;
    request.caller = caller;
    request.requestId = head.id.text;
    request.head = std::move(head);
    request.body = std::move(body);
    schedule(latency(index, index), index, incarnationOf(index), [this, index, request] { startRequest(index, request); });
    return caller;
}

std::string Fleet::issueTicket(std::size_t index, std::size_t workspace)
{
    m_lastEntries.reset();
    handleEvent(index, node::EntriesRequested{node::RequestKey(m_nextKey++), core::WorkspaceId(workspaceName(workspace)), core::sha256Hex(WorkspaceKey), 1});
    return m_lastEntries && !m_lastEntries->tickets.empty() ? m_lastEntries->tickets.front() : std::string();
}

std::size_t Fleet::runCount(const std::string &requestId) const
{
    const auto found = m_runCounts.find(requestId);
    return found == m_runCounts.end() ? 0 : found->second;
}

void Fleet::finishRequest(std::uint64_t key, bool isComplete, const RequestResult &result)
{
    const auto found = m_activeRequests.find(key);
    if (found == m_activeRequests.end()) {
        return;
    }
    const ActiveRequest request = found->second;
    m_activeRequests.erase(found);
    if (request.caller != NoCaller) {
        if (!m_results[request.caller].done) {
            m_results[request.caller] = result;
        }
    } else if (request.onResponse) {
        request.onResponse(isComplete, result);
    }
}

void Fleet::execute(std::size_t index, const node::AdmissionDecision &action)
{
    const std::uint64_t key = action.key.value;
    if (action.error) {
        finishRequest(key, true, RequestResult{true, false, false, false, action.error->outcome, action.error->kind, action.replacementTicket});
        return;
    }
    const node::RequestBody body = m_activeRequests.at(key).body;
    schedule(latency(index, index), index, incarnationOf(index), [this, index, action, body] {
        handleEvent(index, node::RequestBodyReceived{action.key, body});
    });
}

void Fleet::execute(std::size_t /*index*/, const node::CancelAttempt & /*action*/)
{
    // attempts are never silent here
}

void Fleet::execute(std::size_t /*index*/, const node::RejectRequest &action)
{
    finishRequest(action.key.value, true, RequestResult{true, false, false, false, action.error.outcome, action.error.kind, action.replacementTicket});
}

void Fleet::execute(std::size_t /*index*/, const node::ReplayResponse &action)
{
    finishRequest(action.key.value, true, RequestResult{true, true, true, false, core::Outcome::Unknown, core::ErrorKind::Internal, {}});
}

void Fleet::execute(std::size_t index, const node::Dispatch &action)
{
    const std::uint64_t key = action.key.value;
    const auto found = m_activeRequests.find(key);
    if (found == m_activeRequests.end()) {
        return;
    }
    const ActiveRequest request = found->second;
    const std::uint64_t incarnation = incarnationOf(index);
    const auto end = [this, index, incarnation, action](node::AttemptResult attemptResult, bool peerRefused) {
        schedule(latency(index, index), index, incarnation, [this, index, action, attemptResult, peerRefused] {
            node::AttemptEnded ended;
            ended.key = action.key;
            ended.result = attemptResult;
            ended.peerRefused = peerRefused;
            if (attemptResult == node::AttemptResult::Completed) {
                ended.outcome = delivery::RecordedOutcome{delivery::OutcomeKind::Completed, 200, "application/json", "{}", true};
            }
            handleEvent(index, ended);
            if (attemptResult == node::AttemptResult::Completed) {
                finishRequest(action.key.value, true, RequestResult{true, true, false, false, core::Outcome::Unknown, core::ErrorKind::Internal, {}});
            }
        });
    };
    if (const auto *local = std::get_if<node::LocalTarget>(&action.target)) {
        if (chance(m_options.upstreamRefusalProbability)) {
            end(node::AttemptResult::NotRun, false);
            return;
        }
        core::RegionId region;
        for (const routing::UpstreamDescriptor &descriptor : m_upstreams) {
            region = descriptor.id == local->upstream ? descriptor.region : region;
        }
        ++m_runCounts[request.requestId]; // the upstream runs the request even if the node dies
        m_journal.emplace_back(request.requestId, region);
        const auto attemptResult = chance(m_options.upstreamBreakProbability) ? node::AttemptResult::Incomplete : node::AttemptResult::Completed;
        schedule(UpstreamLatency, index, incarnation, [end, attemptResult] { end(attemptResult, false); });
        return;
    }
    const auto &peer = std::get<node::PeerTarget>(action.target);
    const std::size_t target = indexOf(peer.address);
    ActiveRequest forwarded;
    forwarded.requestId = request.requestId;
    forwarded.head = request.head;
    forwarded.head.forwarded = true;
    forwarded.head.originAttempt = action.attempt;
    forwarded.head.via = {m_slots[index].settings.self.id.text};
    forwarded.body = request.body;
    auto finished = std::make_shared<bool>(false);
    forwarded.onResponse = [this, index, target, end, finished](bool /*isComplete*/, const RequestResult &result) {
        const auto attemptResult = result.answered ? node::AttemptResult::Completed
                                                   : (result.outcome == core::Outcome::NotRun ? node::AttemptResult::NotRun : node::AttemptResult::Incomplete);
        sendOverNetwork(target, index, [end, finished, attemptResult] {
            if (!*finished) {
                *finished = true;
                end(attemptResult, true);
            }
        });
    };
    sendOverNetwork(index, target, [this, target, forwarded] { startRequest(target, forwarded); });
    schedule(m_options.callTimeout * 20, index, incarnation, [end, finished] { // timed out: the peer may have run the request
        if (!*finished) {
            *finished = true;
            end(node::AttemptResult::Incomplete, true);
        }
    });
}

void Fleet::execute(std::size_t index, const node::ForwardToOwner &action)
{
    const auto found = m_activeRequests.find(action.key.value);
    if (found == m_activeRequests.end()) {
        return;
    }
    const ActiveRequest request = found->second;
    const std::size_t target = indexOf(action.address);
    ActiveRequest forwarded;
    forwarded.requestId = request.requestId;
    forwarded.head = request.head;
    forwarded.head.forwarded = true;
    forwarded.head.via = {m_slots[index].settings.self.id.text};
    forwarded.body = request.body;
    auto finished = std::make_shared<bool>(false);
    const std::uint64_t incarnation = incarnationOf(index);
    const auto finish = [this, index, action, finished](bool relayed, const RequestResult &result) {
        if (*finished) {
            return;
        }
        *finished = true;
        if (relayed) {
            finishRequest(action.key.value, true, result);
        }
        handleEvent(index, node::ForwardToOwnerFinished{action.key, relayed});
    };
    forwarded.onResponse = [this, index, target, finish](bool /*isComplete*/, const RequestResult &result) {
        sendOverNetwork(target, index, [finish, result] { finish(true, result); });
    };
    sendOverNetwork(index, target, [this, target, forwarded] { startRequest(target, forwarded); });
    schedule(m_options.callTimeout * 5, index, incarnation, [finish] { finish(false, RequestResult{}); });
}

void Fleet::execute(std::size_t /*index*/, const node::EntriesResponse &action)
{
    m_lastEntries = action;
}

//-----------------------------------------------------------------------------
// Failures and configuration
//-----------------------------------------------------------------------------

void Fleet::kill(std::size_t index)
{
    m_slots[index].node.reset();
    m_slots[index].watching = false;
    m_slots[index].requestedLease.clear();
    std::vector<std::uint64_t> interrupted;
    for (const auto &[key, request] : m_activeRequests) {
        if (request.node == index) {
            interrupted.push_back(key);
        }
    }
    for (const std::uint64_t key : interrupted) {
        m_activeRequests.erase(key);
    }
    for (std::size_t caller = 0; caller < m_results.size(); ++caller) {
        if (m_entryNodes[caller] == index && !m_results[caller].done) {
            m_results[caller] = RequestResult{true, false, false, true, core::Outcome::Unknown, core::ErrorKind::PeerFailed, {}};
        }
    }
}

void Fleet::restart(std::size_t index)
{
    kill(index);
    Slot &slot = m_slots[index];
    slot.settings.self.incarnation = core::Incarnation(m_nextIncarnation++);
    slot.pausedUntil = {};
    slot.node = std::make_unique<node::Node>(m_clock, slot.settings);
}

void Fleet::drain(std::size_t index)
{
    handleEvent(index, node::DrainRequested{});
}

void Fleet::pause(std::size_t index, core::Duration duration)
{
    m_slots[index].pausedUntil = now() + duration;
}

void Fleet::setLinkDown(std::size_t from, std::size_t to, bool isDown)
{
    if (isDown) {
        m_downLinks.emplace(from, to);
    } else {
        m_downLinks.erase({from, to});
    }
}

void Fleet::setDomainIsolated(std::size_t domain, bool isIsolated)
{
    if (isIsolated) {
        m_isolatedDomains.insert(domain);
    } else {
        m_isolatedDomains.erase(domain);
    }
}

void Fleet::setPlatformAvailable(bool isAvailable)
{
    m_platformAvailable = isAvailable;
    for (std::size_t i = 0; isAvailable && i < m_slots.size(); ++i) {
        if (m_slots[i].node != nullptr && m_slots[i].watching) {
            deliverConfigLog(i, m_slots[i].node->state().config.head().revision);
        }
    }
}

void Fleet::restrictWatchesTo(std::size_t domain)
{
    m_watchingDomain = domain;
}

void Fleet::setDropClaimResponses(bool drop)
{
    m_dropClaimResponses = drop;
}

void Fleet::setUpstreamLeaving(const std::string &upstream, bool leaving)
{
    if (leaving) {
        m_leavingUpstreams.insert(upstream);
    } else {
        m_leavingUpstreams.erase(upstream);
    }
}

core::Revision Fleet::edit(const json::object &document)
{
    return editAll({document});
}

core::Revision Fleet::editAll(std::vector<json::object> documents)
{
    config::Edit edit;
    edit.editId = "e" + std::to_string(m_configLog.size());
    edit.puts = std::move(documents);
    edit.baseRevision = m_configState.head().revision;
    const config::LogEntry entry = config::buildLogEntry(m_configState, edit, 0).value();
    m_configState.apply(entry);
    m_configLog.push_back(entry);
    for (std::size_t i = 0; i < m_slots.size(); ++i) {
        const bool isConnected = !m_isolatedDomains.contains(m_slots[i].domain) && (!m_watchingDomain || *m_watchingDomain == m_slots[i].domain);
        if (m_slots[i].watching && m_platformAvailable && isConnected) {
            schedule(PlatformLatency, i, incarnationOf(i), [this, i, entry] { handleEvent(i, node::ConfigEntriesReceived{{entry}}); });
        }
    }
    return entry.revision;
}

std::size_t Fleet::nodesBehind(core::Revision revision) const
{
    std::size_t behind = 0;
    for (const Slot &slot : m_slots) {
        behind += slot.node != nullptr && slot.node->state().config.head().revision < revision ? 1 : 0;
    }
    return behind;
}

void Fleet::resetCounters()
{
    for (Slot &slot : m_slots) {
        slot.traffic = NodeTraffic{};
    }
    m_platformCalls = PlatformCalls{};
    m_decisionCpuTime = {};
}

core::RegionId Fleet::regionOf(std::size_t index) const
{
    return m_slots[index].settings.self.region;
}

//-----------------------------------------------------------------------------
// Network, platform and upstreams
//-----------------------------------------------------------------------------

bool Fleet::chance(double probability)
{
    return probability > 0 && std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
}

core::Duration Fleet::latency(std::size_t from, std::size_t to)
{
    const auto spread = static_cast<std::uint32_t>((m_options.maxLatency - m_options.minLatency).count() + 1);
    const bool crossesRegions = m_slots[from].settings.self.region != m_slots[to].settings.self.region;
    return m_options.minLatency + core::Duration(m_random(spread)) + (crossesRegions ? m_options.interRegionLatency : core::Duration(0));
}

std::size_t Fleet::indexOf(const std::string &address) const
{
    return std::stoul(address.substr(1));
}

bool Fleet::isLinkDown(std::size_t from, std::size_t to) const
{
    const bool isDomainIsolated =
        m_slots[from].domain != m_slots[to].domain && (m_isolatedDomains.contains(m_slots[from].domain) || m_isolatedDomains.contains(m_slots[to].domain));
    return isDomainIsolated || m_downLinks.contains({from, to});
}

void Fleet::sendOverNetwork(std::size_t from, std::size_t to, std::function<void()> deliver)
{
    if (isLinkDown(from, to) || chance(m_options.dropProbability)) {
        return;
    }
    if (chance(m_options.duplicateProbability)) {
        schedule(latency(from, to) * 3, to, 0, deliver);
    }
    schedule(latency(from, to), to, 0, std::move(deliver));
}

void Fleet::execute(std::size_t index, const node::SendDatagram &action)
{
    const std::size_t target = indexOf(action.address);
    NodeTraffic &traffic = m_slots[index].traffic;
    ++traffic.datagramsOut;
    if (m_options.countBytes) {
        const std::size_t bytes = codec().encode(action.datagram).size() + 28; // IP and UDP headers
        traffic.bytesOut += bytes;
        m_slots[target].traffic.bytesIn += bytes;
    }
    node::DatagramReceived arrived{gossipAddress(index), action.datagram};
    sendOverNetwork(index, target, [this, target, arrived] { handleEvent(target, arrived); });
}

void Fleet::execute(std::size_t index, const node::CallLedger &action)
{
    ++m_slots[index].traffic.ledgerCalls;
    const std::size_t target = indexOf(action.address);
    const std::uint64_t incarnation = incarnationOf(index);
    auto finished = std::make_shared<bool>(false);
    const auto complete = [this, index, action, finished](std::optional<delivery::LedgerResult> response) {
        if (!*finished) {
            *finished = true;
            handleEvent(index, node::LedgerResponseReceived{action.key, std::move(response)});
        }
    };
    sendOverNetwork(index, target, [this, index, target, incarnation, action, complete] {
        const std::uint64_t key = m_nextKey++;
        m_ledgerCallbacks[key] = [this, index, target, incarnation, complete](const delivery::LedgerResult &response) {
            if (incarnationOf(index) == incarnation) {
                sendOverNetwork(target, index, [complete, response] { complete(response); });
            }
        };
        handleEvent(target, node::LedgerCallReceived{node::CallKey(key), action.call});
    });
    schedule(m_options.callTimeout, index, incarnation, [complete] { complete(std::nullopt); });
}

void Fleet::execute(std::size_t /*index*/, const node::LedgerCallResponse &action)
{
    const auto found = m_ledgerCallbacks.find(action.key.value);
    if (found != m_ledgerCallbacks.end()) {
        const auto callback = found->second;
        m_ledgerCallbacks.erase(found);
        callback(action.result);
    }
}

void Fleet::execute(std::size_t index, const node::ClaimIdempotencyKey &action)
{
    ++m_platformCalls.claims;
    const bool reachable = m_platformAvailable && !m_isolatedDomains.contains(m_slots[index].domain);
    if (reachable) {
        m_claims.emplace(action.storeKey, action.ticket);
    }
    std::optional<std::string> ticket;
    if (reachable && !m_dropClaimResponses) {
        ticket = m_claims.at(action.storeKey);
    }
    schedule(PlatformLatency, index, incarnationOf(index), [this, index, action, ticket] {
        handleEvent(index, node::IdempotencyKeyClaimed{action.key, ticket});
    });
}

void Fleet::execute(std::size_t index, const node::FetchConfig &action)
{
    ++m_slots[index].traffic.configPulls;
    const std::size_t target = indexOf(action.address);
    const std::uint64_t incarnation = incarnationOf(index);
    sendOverNetwork(index, target, [this, index, target, incarnation, action] {
        const std::uint64_t key = m_nextKey++;
        m_configCallbacks[key] = [this, index, target, incarnation](const node::ConfigResponse &response) {
            if (incarnationOf(index) != incarnation) {
                return;
            }
            std::size_t bytes = response.snapshot.size();
            for (const config::LogEntry &entry : response.entries) {
                bytes += m_options.countBytes ? entry.serialize().size() : 0;
            }
            m_slots[index].traffic.configBytes += bytes;
            sendOverNetwork(target, index, [this, index, response] {
                if (response.snapshot.empty()) {
                    handleEvent(index, node::ConfigEntriesReceived{response.entries});
                } else {
                    handleEvent(index, node::ConfigSnapshotReceived{response.snapshot});
                }
            });
        };
        handleEvent(target, node::ConfigRequested{node::CallKey(key), action.afterRevision});
    });
}

void Fleet::execute(std::size_t /*index*/, const node::ConfigResponse &action)
{
    const auto found = m_configCallbacks.find(action.key.value);
    if (found != m_configCallbacks.end()) {
        const auto callback = found->second;
        m_configCallbacks.erase(found);
        callback(action);
    }
}

void Fleet::deliverConfigLog(std::size_t index, core::Revision after)
{
    node::ConfigEntriesReceived event;
    for (const config::LogEntry &entry : m_configLog) {
        if (entry.revision > after) {
            event.entries.push_back(entry);
        }
    }
    schedule(PlatformLatency, index, incarnationOf(index), [this, index, event] { handleEvent(index, event); });
}

void Fleet::execute(std::size_t index, const node::WatchConfig &action)
{
    m_slots[index].watching = action.enabled;
    m_platformCalls.watches += action.enabled ? 1 : 0;
    if (action.enabled && m_platformAvailable && !m_isolatedDomains.contains(m_slots[index].domain)) {
        deliverConfigLog(index, m_slots[index].node->state().config.head().revision);
    }
}

void Fleet::execute(std::size_t /*index*/, const node::WriteSnapshot & /*action*/)
{
    ++m_platformCalls.snapshots;
}

void Fleet::execute(std::size_t index, const node::FetchPlatformList & /*action*/)
{
    ++m_platformCalls.list;
    if (!m_platformAvailable || m_isolatedDomains.contains(m_slots[index].domain)) {
        return;
    }
    node::PlatformListReceived event;
    for (const routing::UpstreamDescriptor &descriptor : m_upstreams) {
        if (descriptor.domain == m_slots[index].settings.self.domain) {
            event.upstreams.push_back(descriptor);
        }
    }
    for (const Slot &slot : m_slots) {
        if (slot.domain == m_slots[index].domain) {
            membership::Member member = slot.settings.self;
            member.incarnation = core::Incarnation();
            event.instances.push_back(std::move(member));
        }
    }
    for (std::size_t r = 0; r < m_options.regions; ++r) {
        event.domainCountByRegion[core::RegionId("r" + std::to_string(r))] = static_cast<std::uint32_t>(m_options.domainsPerRegion);
    }
    schedule(PlatformLatency, index, incarnationOf(index), [this, index, event] { handleEvent(index, event); });
}

void Fleet::execute(std::size_t index, const node::FetchLoadReport &action)
{
    node::LoadReportReceived event;
    event.upstream = action.upstream;
    for (const routing::UpstreamDescriptor &descriptor : m_upstreams) {
        if (descriptor.id == action.upstream) {
            routing::LoadReport report;
            report.id = descriptor.id;
            report.slots = descriptor.slots;
            report.models = m_loadedModels[descriptor.id.text];
            report.leaving = m_leavingUpstreams.contains(descriptor.id.text);
            event.report = report;
        }
    }
    schedule(PlatformLatency, index, incarnationOf(index), [this, index, event] { handleEvent(index, event); });
}

void Fleet::execute(std::size_t /*index*/, const node::WriteDirectory & /*action*/)
{
    ++m_platformCalls.directory;
}

void Fleet::sendDelayedCommand(std::size_t index, const placement::PlacementCommand &command, core::FencingToken fencingToken)
{
    execute(index, node::SendPlacementCommand{command, {}, fencingToken});
}

void Fleet::renewLease(std::size_t index, const std::string &name)
{
    const std::uint64_t incarnation = incarnationOf(index);
    if (m_slots[index].requestedLease != name || !m_platformAvailable || m_isolatedDomains.contains(m_slots[index].domain)) {
        schedule(LeaseRenewalInterval, index, incarnation, [this, index, name] { renewLease(index, name); });
        return;
    }
    LeaseRecord &lease = m_leases[name];
    const bool isHolder = lease.node == index && lease.incarnation == incarnation && lease.expiresAt > now();
    if (!isHolder && lease.expiresAt <= now()) {
        lease = LeaseRecord{index, incarnation, m_nextFencingToken++, {}};
    }
    if (lease.node == index && lease.incarnation == incarnation) {
        lease.expiresAt = now() + LeaseDuration;
        const node::LeaseGranted event{core::FencingToken(lease.fencingToken), now() + LeaseDuration - LeaseRenewalInterval};
        schedule(PlatformLatency, index, incarnation, [this, index, event] { handleEvent(index, event); });
    }
    schedule(LeaseRenewalInterval, index, incarnation, [this, index, name] { renewLease(index, name); });
}

void Fleet::execute(std::size_t index, const node::MaintainLease &action)
{
    const bool isFirstRequest = m_slots[index].requestedLease.empty();
    m_slots[index].requestedLease = action.enabled ? action.name : "none";
    LeaseRecord &lease = m_leases[action.name];
    if (!action.enabled && lease.node == index && lease.incarnation == incarnationOf(index)) {
        lease.expiresAt = now(); // revoked
    }
    if (isFirstRequest && action.enabled) {
        renewLease(index, action.name);
    }
}

void Fleet::execute(std::size_t index, const node::SendPlacementCommand &action)
{
    const std::string upstream = action.command.upstream.text;
    schedule(UpstreamLatency, index, 0, [this, index, action, upstream] { // delivered even if the sender dies
        const bool checksFencing = config::checksFencing(m_configState.documents(), action.command.upstream);
        const bool accepted = !checksFencing || action.fencingToken.value >= m_upstreamFencingTokens[upstream];
        m_upstreamFencingTokens[upstream] = std::max(m_upstreamFencingTokens[upstream], action.fencingToken.value);
        if (accepted && action.command.kind == placement::PlacementCommandKind::Load) {
            m_loadedModels[upstream].insert(action.command.model);
        } else if (accepted) {
            m_loadedModels[upstream].erase(action.command.model);
        }
        m_placementCommands.push_back(CommandRecord{index, action.command, action.fencingToken.value, accepted});
        handleEvent(index, node::PlacementCommandFinished{action.command, accepted, accepted ? "" : "fencing token is out of date"});
    });
}

void Fleet::execute(std::size_t index, const node::DrainCompleted & /*action*/)
{
    schedule(core::Duration(0), index, incarnationOf(index), [this, index] { kill(index); });
}

void Fleet::execute(std::size_t /*index*/, const node::LogRoutingDecision & /*action*/)
{
}

void Fleet::execute(std::size_t /*index*/, const node::LogEvent & /*action*/)
{
}

} // namespace arbutus::tests
