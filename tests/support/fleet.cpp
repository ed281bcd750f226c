// The fleet's queue and its fakes.
//
// Sections:
//   Making
//   Time
//   Requests
//   Failures
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

constexpr const char *Key = "workspace-key";
constexpr core::Duration UpstreamTime = std::chrono::milliseconds(20);
constexpr core::Duration PlatformTime = std::chrono::milliseconds(3);
constexpr core::Duration LeaseLength = std::chrono::seconds(9);
constexpr core::Duration LeaseStep = std::chrono::seconds(3); // renewals

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
// Making
//-----------------------------------------------------------------------------

Fleet::Fleet(FleetOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
{
    makeNodes();
    makeConfiguration();
}

std::string Fleet::workspaceName(std::size_t workspace)
{
    return "ws" + std::to_string(workspace);
}

void Fleet::makeNodes()
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
                self.callersUrl = "http://n" + std::to_string(index);
                slot.settings.ticketKeys = {delivery::TicketSigningKey{"k", "a ticket secret of some length"}};
                slot.settings.randomSeed = m_options.seed * 1000 + index;
                m_slots.push_back(std::move(slot));
            }
            for (std::size_t u = 0; u < m_options.modelUpstreams + m_options.serviceUpstreams; ++u) {
                routing::UpstreamDescriptor line;
                line.id = core::UpstreamId("u" + std::to_string(domain) + "-" + std::to_string(u));
                line.region = region;
                line.domain = domainId;
                line.address = line.id.text;
                if (u < m_options.modelUpstreams) {
                    line.models.insert(core::ModelId("m" + std::to_string(u % m_options.models)));
                } else {
                    line.kind = routing::UpstreamKind::Service;
                    line.service = core::ServiceId("orders");
                }
                m_loaded[line.id.text] = line.models;
                m_upstreams.push_back(std::move(line));
            }
        }
    }
    for (Slot &slot : m_slots) {
        for (const Slot &other : m_slots) {
            const bool sameDomain = other.domain == slot.domain;
            const bool firstOfDomain = &other == m_slots.data() || (&other - 1)->domain != other.domain;
            if (&other != &slot && m_options.seedAll && (sameDomain || firstOfDomain)) {
                slot.settings.seeds.push_back(other.settings.self);
            }
        }
        if (m_options.adjust) {
            m_options.adjust(slot.settings);
        }
    }
    for (std::size_t i = 0; i < m_slots.size(); ++i) {
        restart(i);
    }
}

void Fleet::makeConfiguration()
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
                                         {"key_sha256", json::array{core::sha256Hex(Key)}}});
    }
    editAll(std::move(documents));
}

//-----------------------------------------------------------------------------
// Time
//-----------------------------------------------------------------------------

void Fleet::at(core::Duration delay, std::size_t to, std::uint64_t life, std::function<void()> deliver)
{
    m_queue.push(Message{now() + delay, ++m_order, to, life, std::move(deliver)});
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
            m_nextTick = now() + m_options.tick;
            tickAll();
            continue;
        }
        Message message = m_queue.top();
        m_queue.pop();
        const Slot &slot = m_slots[message.to];
        if (slot.node == nullptr || (message.life != 0 && message.life != lifeOf(message.to))) {
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

void Fleet::tickAll()
{
    for (std::size_t i = 0; i < m_slots.size(); ++i) {
        if (m_slots[i].node != nullptr && m_slots[i].pausedUntil <= now()) {
            step(i, node::TimerTick{});
        }
    }
}

void Fleet::step(std::size_t index, const node::Event &event)
{
    if (m_slots[index].node == nullptr) {
        return;
    }
    const auto before = std::chrono::steady_clock::now();
    node::Actions actions = m_slots[index].node->handle(event);
    m_processor += std::chrono::steady_clock::now() - before;
    for (const node::Action &action : actions) {
        std::visit([&](const auto &chosen) { on(index, chosen); }, action);
    }
}

std::uint64_t Fleet::lifeOf(std::size_t index) const
{
    return m_slots[index].node == nullptr ? 0 : m_slots[index].settings.self.incarnation.value;
}

//-----------------------------------------------------------------------------
// Requests
//-----------------------------------------------------------------------------

node::RequestHead Fleet::orderHead(const std::string &requestId, const std::string &ticket, std::size_t workspace) const
{
    node::RequestHead head = modelHead(requestId, workspace);
    head.requestClass = core::ClassId("order");
    head.service = core::ServiceId("orders");
    head.ticket = ticket;
    return head;
}

node::RequestBody Fleet::orderBody(const std::string &text) const
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
    head.bearerKeyHash = core::sha256Hex(Key);
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

std::uint64_t Fleet::serve(std::size_t index, Served served)
{
    const std::uint64_t key = m_nextKey++;
    served.node = index;
    served.life = lifeOf(index);
    const node::RequestHead head = served.head;
    m_served[key] = std::move(served);
    step(index, node::RequestHeadReceived{node::RequestKey(key), head});
    return key;
}

std::size_t Fleet::send(std::size_t index, node::RequestHead head, node::RequestBody body)
{
    const std::size_t caller = m_told.size();
    m_told.emplace_back();
    m_toldBy.push_back(index);
    if (m_slots[index].node == nullptr) { // refused connection
        m_told[caller] = Told{true, false, false, true, core::Outcome::NotRun, core::ErrorKind::PeerFailed, {}};
        return caller;
    }
    Served served;
    served.caller = caller;
    served.requestId = head.id.text;
    served.head = std::move(head);
    served.body = std::move(body);
    at(latency(index, index), index, lifeOf(index), [this, index, served] { serve(index, served); });
    return caller;
}

std::string Fleet::takeTicket(std::size_t index, std::size_t workspace)
{
    m_lastEntries.reset();
    step(index, node::EntriesRequested{node::RequestKey(m_nextKey++), core::WorkspaceId(workspaceName(workspace)), core::sha256Hex(Key), 1});
    return m_lastEntries && !m_lastEntries->tickets.empty() ? m_lastEntries->tickets.front() : std::string();
}

std::size_t Fleet::runs(const std::string &requestId) const
{
    const auto found = m_runs.find(requestId);
    return found == m_runs.end() ? 0 : found->second;
}

void Fleet::endServed(std::uint64_t key, bool whole, const Told &told)
{
    const auto found = m_served.find(key);
    if (found == m_served.end()) {
        return;
    }
    const Served served = found->second;
    m_served.erase(found);
    if (served.caller != NoCaller) {
        if (!m_told[served.caller].done) {
            m_told[served.caller] = told;
        }
    } else if (served.answered) {
        served.answered(whole, told);
    }
}

void Fleet::on(std::size_t index, const node::AdmissionDecision &action)
{
    const std::uint64_t key = action.key.value;
    if (action.error) {
        endServed(key, true, Told{true, false, false, false, action.error->outcome, action.error->kind, action.replacementTicket});
        return;
    }
    const node::RequestBody body = m_served.at(key).body;
    at(latency(index, index), index, lifeOf(index), [this, index, action, body] { step(index, node::RequestBodyReceived{action.key, body}); });
}

void Fleet::on(std::size_t /*index*/, const node::RejectRequest &action)
{
    endServed(action.key.value, true, Told{true, false, false, false, action.error.outcome, action.error.kind, action.replacementTicket});
}

void Fleet::on(std::size_t /*index*/, const node::ReplayResponse &action)
{
    endServed(action.key.value, true, Told{true, true, true, false, core::Outcome::Unknown, core::ErrorKind::Internal, {}});
}

void Fleet::on(std::size_t index, const node::Dispatch &action)
{
    const std::uint64_t key = action.key.value;
    const auto found = m_served.find(key);
    if (found == m_served.end()) {
        return;
    }
    const Served served = found->second;
    const std::uint64_t life = lifeOf(index);
    const auto end = [this, index, life, action](node::AttemptResult how, bool peerRefused) {
        at(latency(index, index), index, life, [this, index, action, how, peerRefused] {
            node::AttemptEnded ended;
            ended.key = action.key;
            ended.result = how;
            ended.peerRefused = peerRefused;
            if (how == node::AttemptResult::Completed) {
                ended.outcome = delivery::RecordedOutcome{delivery::OutcomeKind::Completed, 200, "application/json", "{}", true};
            }
            step(index, ended);
            if (how == node::AttemptResult::Completed) {
                endServed(action.key.value, true, Told{true, true, false, false, core::Outcome::Unknown, core::ErrorKind::Internal, {}});
            }
        });
    };
    if (const auto *local = std::get_if<node::LocalTarget>(&action.target)) {
        if (chance(m_options.upstreamRefuses)) {
            end(node::AttemptResult::NotRun, false);
            return;
        }
        core::RegionId region;
        for (const routing::UpstreamDescriptor &line : m_upstreams) {
            region = line.id == local->upstream ? line.region : region;
        }
        ++m_runs[served.requestId]; // from here on it runs, whatever becomes of the node
        m_journal.emplace_back(served.requestId, region);
        const auto how = chance(m_options.upstreamBreaks) ? node::AttemptResult::Incomplete : node::AttemptResult::Completed;
        at(UpstreamTime, index, life, [end, how] { end(how, false); });
        return;
    }
    const auto &peer = std::get<node::PeerTarget>(action.target);
    const std::size_t target = indexOf(peer.address);
    Served forwarded;
    forwarded.requestId = served.requestId;
    forwarded.head = served.head;
    forwarded.head.forwarded = true;
    forwarded.head.originAttempt = action.attempt;
    forwarded.head.via = {m_slots[index].settings.self.id.text};
    forwarded.body = served.body;
    auto ended = std::make_shared<bool>(false);
    forwarded.answered = [this, index, target, end, ended](bool /*whole*/, const Told &told) {
        const auto how = told.answered ? node::AttemptResult::Completed
                                       : (told.outcome == core::Outcome::NotRun ? node::AttemptResult::NotRun : node::AttemptResult::Incomplete);
        overNetwork(target, index, [end, ended, how] {
            if (!*ended) {
                *ended = true;
                end(how, true);
            }
        });
    };
    overNetwork(index, target, [this, target, forwarded] { serve(target, forwarded); });
    at(m_options.callTimeout * 20, index, life, [end, ended] { // nothing came: it may have run
        if (!*ended) {
            *ended = true;
            end(node::AttemptResult::Incomplete, true);
        }
    });
}

void Fleet::on(std::size_t index, const node::ForwardToOwner &action)
{
    const auto found = m_served.find(action.key.value);
    if (found == m_served.end()) {
        return;
    }
    const Served served = found->second;
    const std::size_t target = indexOf(action.address);
    Served forwarded;
    forwarded.requestId = served.requestId;
    forwarded.head = served.head;
    forwarded.head.forwarded = true;
    forwarded.head.via = {m_slots[index].settings.self.id.text};
    forwarded.body = served.body;
    auto ended = std::make_shared<bool>(false);
    const std::uint64_t life = lifeOf(index);
    const auto finish = [this, index, action, ended](bool relayed, const Told &told) {
        if (*ended) {
            return;
        }
        *ended = true;
        if (relayed) {
            endServed(action.key.value, true, told);
        }
        step(index, node::ForwardToOwnerFinished{action.key, relayed});
    };
    forwarded.answered = [this, index, target, finish](bool /*whole*/, const Told &told) {
        overNetwork(target, index, [finish, told] { finish(true, told); });
    };
    overNetwork(index, target, [this, target, forwarded] { serve(target, forwarded); });
    at(m_options.callTimeout * 5, index, life, [finish] { finish(false, Told{}); });
}

void Fleet::on(std::size_t /*index*/, const node::EntriesResponse &action)
{
    m_lastEntries = action;
}

//-----------------------------------------------------------------------------
// Failures
//-----------------------------------------------------------------------------

void Fleet::kill(std::size_t index)
{
    m_slots[index].node.reset();
    m_slots[index].watching = false;
    m_slots[index].asking.clear();
    std::vector<std::uint64_t> gone;
    for (const auto &[key, served] : m_served) {
        if (served.node == index) {
            gone.push_back(key);
        }
    }
    for (const std::uint64_t key : gone) {
        m_served.erase(key);
    }
    for (std::size_t caller = 0; caller < m_told.size(); ++caller) {
        if (m_toldBy[caller] == index && !m_told[caller].done) {
            m_told[caller] = Told{true, false, false, true, core::Outcome::Unknown, core::ErrorKind::PeerFailed, {}};
        }
    }
}

void Fleet::restart(std::size_t index)
{
    kill(index);
    Slot &slot = m_slots[index];
    slot.settings.self.incarnation = core::Incarnation(m_nextLife++);
    slot.pausedUntil = {};
    slot.node = std::make_unique<node::Node>(m_clock, slot.settings);
}

void Fleet::drain(std::size_t index)
{
    step(index, node::DrainRequested{});
}

void Fleet::pause(std::size_t index, core::Duration duration)
{
    m_slots[index].pausedUntil = now() + duration;
}

void Fleet::cut(std::size_t left, std::size_t right, bool isCut)
{
    if (isCut) {
        m_cuts.emplace(left, right);
    } else {
        m_cuts.erase({left, right});
    }
}

void Fleet::cutDomain(std::size_t domain, bool isCut)
{
    if (isCut) {
        m_cutDomains.insert(domain);
    } else {
        m_cutDomains.erase(domain);
    }
}

void Fleet::platformUp(bool up)
{
    m_platformUp = up;
    for (std::size_t i = 0; up && i < m_slots.size(); ++i) {
        if (m_slots[i].node != nullptr && m_slots[i].watching) {
            deliverLog(i, m_slots[i].node->state().config.head().revision);
        }
    }
}

void Fleet::watchOnly(std::size_t domain)
{
    m_watchOnly = domain;
}

void Fleet::loseClaimAnswers(bool lose)
{
    m_loseClaimAnswers = lose;
}

void Fleet::upstreamLeaving(const std::string &upstream, bool leaving)
{
    if (leaving) {
        m_leaving.insert(upstream);
    } else {
        m_leaving.erase(upstream);
    }
}

core::Revision Fleet::edit(const json::object &document)
{
    return editAll({document});
}

core::Revision Fleet::editAll(std::vector<json::object> documents)
{
    config::Edit edit;
    edit.editId = "e" + std::to_string(m_log.size());
    edit.puts = std::move(documents);
    edit.baseRevision = m_logState.head().revision;
    const config::LogEntry entry = config::buildLogEntry(m_logState, edit, 0).value();
    m_logState.apply(entry);
    m_log.push_back(entry);
    for (std::size_t i = 0; i < m_slots.size(); ++i) {
        const bool linked = !m_cutDomains.contains(m_slots[i].domain) && (!m_watchOnly || *m_watchOnly == m_slots[i].domain);
        if (m_slots[i].watching && m_platformUp && linked) {
            at(PlatformTime, i, lifeOf(i), [this, i, entry] { step(i, node::ConfigEntriesReceived{{entry}}); });
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

void Fleet::resetCounts()
{
    for (Slot &slot : m_slots) {
        slot.traffic = NodeTraffic{};
    }
    m_calls = PlatformCalls{};
    m_processor = {};
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
    const auto spread = static_cast<std::uint32_t>((m_options.latencyMost - m_options.latencyLeast).count() + 1);
    const bool far = m_slots[from].settings.self.region != m_slots[to].settings.self.region;
    return m_options.latencyLeast + core::Duration(m_random(spread)) + (far ? m_options.regionLatency : core::Duration(0));
}

std::size_t Fleet::indexOf(const std::string &address) const
{
    return std::stoul(address.substr(1));
}

bool Fleet::isCut(std::size_t from, std::size_t to) const
{
    const bool domains =
        m_slots[from].domain != m_slots[to].domain && (m_cutDomains.contains(m_slots[from].domain) || m_cutDomains.contains(m_slots[to].domain));
    return domains || m_cuts.contains({from, to});
}

void Fleet::overNetwork(std::size_t from, std::size_t to, std::function<void()> deliver)
{
    if (isCut(from, to) || chance(m_options.drop)) {
        return;
    }
    if (chance(m_options.twice)) {
        at(latency(from, to) * 3, to, 0, deliver);
    }
    at(latency(from, to), to, 0, std::move(deliver));
}

void Fleet::on(std::size_t index, const node::SendDatagram &action)
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
    overNetwork(index, target, [this, target, arrived] { step(target, arrived); });
}

void Fleet::on(std::size_t index, const node::CallLedger &action)
{
    ++m_slots[index].traffic.ledgerCalls;
    const std::size_t target = indexOf(action.address);
    const std::uint64_t life = lifeOf(index);
    auto ended = std::make_shared<bool>(false);
    const auto answer = [this, index, action, ended](std::optional<delivery::LedgerResult> given) {
        if (!*ended) {
            *ended = true;
            step(index, node::LedgerResponseReceived{action.key, std::move(given)});
        }
    };
    overNetwork(index, target, [this, index, target, life, action, answer] {
        const std::uint64_t key = m_nextKey++;
        m_ledgerReplies[key] = [this, index, target, life, answer](const delivery::LedgerResult &given) {
            if (lifeOf(index) == life) {
                overNetwork(target, index, [answer, given] { answer(given); });
            }
        };
        step(target, node::LedgerCallReceived{node::CallKey(key), action.call});
    });
    at(m_options.callTimeout, index, life, [answer] { answer(std::nullopt); });
}

void Fleet::on(std::size_t /*index*/, const node::LedgerCallResponse &action)
{
    const auto found = m_ledgerReplies.find(action.key.value);
    if (found != m_ledgerReplies.end()) {
        const auto reply = found->second;
        m_ledgerReplies.erase(found);
        reply(action.result);
    }
}

void Fleet::on(std::size_t index, const node::ClaimIdempotencyKey &action)
{
    ++m_calls.claims;
    const bool reachable = m_platformUp && !m_cutDomains.contains(m_slots[index].domain);
    if (reachable) {
        m_claims.emplace(action.storeKey, action.ticket);
    }
    std::optional<std::string> ticket;
    if (reachable && !m_loseClaimAnswers) {
        ticket = m_claims.at(action.storeKey);
    }
    at(PlatformTime, index, lifeOf(index), [this, index, action, ticket] { step(index, node::IdempotencyKeyClaimed{action.key, ticket}); });
}

void Fleet::on(std::size_t index, const node::FetchConfig &action)
{
    ++m_slots[index].traffic.configPulls;
    const std::size_t target = indexOf(action.address);
    const std::uint64_t life = lifeOf(index);
    overNetwork(index, target, [this, index, target, life, action] {
        const std::uint64_t key = m_nextKey++;
        m_configReplies[key] = [this, index, target, life](const node::ConfigResponse &given) {
            if (lifeOf(index) != life) {
                return;
            }
            std::size_t bytes = given.snapshot.size();
            for (const config::LogEntry &entry : given.entries) {
                bytes += m_options.countBytes ? entry.serialize().size() : 0;
            }
            m_slots[index].traffic.configBytes += bytes;
            overNetwork(target, index, [this, index, given] {
                if (given.snapshot.empty()) {
                    step(index, node::ConfigEntriesReceived{given.entries});
                } else {
                    step(index, node::ConfigSnapshotReceived{given.snapshot});
                }
            });
        };
        step(target, node::ConfigRequested{node::CallKey(key), action.afterRevision});
    });
}

void Fleet::on(std::size_t /*index*/, const node::ConfigResponse &action)
{
    const auto found = m_configReplies.find(action.key.value);
    if (found != m_configReplies.end()) {
        const auto reply = found->second;
        m_configReplies.erase(found);
        reply(action);
    }
}

void Fleet::deliverLog(std::size_t index, core::Revision after)
{
    node::ConfigEntriesReceived read;
    for (const config::LogEntry &entry : m_log) {
        if (entry.revision > after) {
            read.entries.push_back(entry);
        }
    }
    at(PlatformTime, index, lifeOf(index), [this, index, read] { step(index, read); });
}

void Fleet::on(std::size_t index, const node::WatchConfig &action)
{
    m_slots[index].watching = action.enabled;
    m_calls.watches += action.enabled ? 1 : 0;
    if (action.enabled && m_platformUp && !m_cutDomains.contains(m_slots[index].domain)) {
        deliverLog(index, m_slots[index].node->state().config.head().revision);
    }
}

void Fleet::on(std::size_t /*index*/, const node::WriteSnapshot & /*action*/)
{
    ++m_calls.snapshots;
}

void Fleet::on(std::size_t index, const node::FetchPlatformList & /*action*/)
{
    ++m_calls.list;
    if (!m_platformUp || m_cutDomains.contains(m_slots[index].domain)) {
        return;
    }
    node::PlatformListReceived read;
    for (const routing::UpstreamDescriptor &line : m_upstreams) {
        if (line.domain == m_slots[index].settings.self.domain) {
            read.upstreams.push_back(line);
        }
    }
    for (const Slot &slot : m_slots) {
        if (slot.domain == m_slots[index].domain) {
            membership::Member member = slot.settings.self;
            member.incarnation = core::Incarnation();
            read.instances.push_back(std::move(member));
        }
    }
    for (std::size_t r = 0; r < m_options.regions; ++r) {
        read.domainCountByRegion[core::RegionId("r" + std::to_string(r))] = static_cast<std::uint32_t>(m_options.domainsPerRegion);
    }
    at(PlatformTime, index, lifeOf(index), [this, index, read] { step(index, read); });
}

void Fleet::on(std::size_t index, const node::FetchLoadReport &action)
{
    node::LoadReportReceived read;
    read.upstream = action.upstream;
    for (const routing::UpstreamDescriptor &line : m_upstreams) {
        if (line.id == action.upstream) {
            routing::LoadReport report;
            report.id = line.id;
            report.slots = line.slots;
            report.models = m_loaded[line.id.text];
            report.leaving = m_leaving.contains(line.id.text);
            read.report = report;
        }
    }
    at(PlatformTime, index, lifeOf(index), [this, index, read] { step(index, read); });
}

void Fleet::on(std::size_t /*index*/, const node::WriteDirectory & /*action*/)
{
    ++m_calls.directory;
}

void Fleet::lateOrder(std::size_t index, const placement::PlacementCommand &order, core::FencingToken fencing)
{
    on(index, node::SendPlacementCommand{order, {}, fencing});
}

void Fleet::stepLease(std::size_t index, const std::string &name)
{
    const std::uint64_t life = lifeOf(index);
    if (m_slots[index].asking != name || !m_platformUp || m_cutDomains.contains(m_slots[index].domain)) {
        at(LeaseStep, index, life, [this, index, name] { stepLease(index, name); });
        return;
    }
    LeaseRecord &lease = m_leases[name];
    const bool mine = lease.node == index && lease.life == life && lease.until > now();
    if (!mine && lease.until <= now()) {
        lease = LeaseRecord{index, life, m_nextFencing++, {}};
    }
    if (lease.node == index && lease.life == life) {
        lease.until = now() + LeaseLength;
        const node::LeaseGranted held{core::FencingToken(lease.fencing), now() + LeaseLength - LeaseStep};
        at(PlatformTime, index, life, [this, index, held] { step(index, held); });
    }
    at(LeaseStep, index, life, [this, index, name] { stepLease(index, name); });
}

void Fleet::on(std::size_t index, const node::MaintainLease &action)
{
    const bool first = m_slots[index].asking.empty();
    m_slots[index].asking = action.enabled ? action.name : "none";
    LeaseRecord &lease = m_leases[action.name];
    if (!action.enabled && lease.node == index && lease.life == lifeOf(index)) {
        lease.until = now(); // revoked
    }
    if (first && action.enabled) {
        stepLease(index, action.name);
    }
}

void Fleet::on(std::size_t index, const node::SendPlacementCommand &action)
{
    const std::string upstream = action.command.upstream.text;
    at(UpstreamTime, index, 0, [this, index, action, upstream] { // on its way, whatever becomes of the sender
        const bool checks = config::checksFencing(m_logState.documents(), action.command.upstream);
        const bool taken = !checks || action.fencingToken.value >= m_upstreamFencing[upstream];
        m_upstreamFencing[upstream] = std::max(m_upstreamFencing[upstream], action.fencingToken.value);
        if (taken && action.command.kind == placement::PlacementCommandKind::Load) {
            m_loaded[upstream].insert(action.command.model);
        } else if (taken) {
            m_loaded[upstream].erase(action.command.model);
        }
        m_orders.push_back(OrderRecord{index, action.command, action.fencingToken.value, taken});
        step(index, node::PlacementCommandFinished{action.command, taken, taken ? "" : "old fencing number"});
    });
}

void Fleet::on(std::size_t index, const node::DrainCompleted & /*action*/)
{
    at(core::Duration(0), index, lifeOf(index), [this, index] { kill(index); });
}

void Fleet::on(std::size_t /*index*/, const node::LogRoutingDecision & /*action*/)
{
}

void Fleet::on(std::size_t /*index*/, const node::LogEvent & /*action*/)
{
}

} // namespace arbutus::tests
