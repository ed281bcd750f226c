// Attribution of crashes to their causes, merging and expiry.

#include "arbutus/routing/requestquarantine.h"

#include <algorithm>
#include <tuple>

namespace arbutus::routing {

namespace {

bool hasCrash(const CauseRecord &record, const core::UpstreamId &upstream)
{
    return std::any_of(record.crashes.begin(), record.crashes.end(), [&](const CauseCrash &crash) { return crash.upstream == upstream; });
}

} // namespace

//-----------------------------------------------------------------------------
// SuccessMemory
//-----------------------------------------------------------------------------

void SuccessMemory::record(const CrashCause &cause, core::TimePoint now)
{
    const auto [found, added] = m_successes.try_emplace(cause);
    if (!added) {
        m_order.erase(found->second.number);
    }
    found->second = Success{now, m_nextNumber++};
    m_order.emplace_hint(m_order.end(), found->second.number, cause);
    if (m_successes.size() > m_maxCauses) {
        m_successes.erase(m_order.begin()->second);
        m_order.erase(m_order.begin());
    }
}

core::TimePoint SuccessMemory::last(const CrashCause &cause) const
{
    const auto found = m_successes.find(cause);
    return found == m_successes.end() ? core::TimePoint{} : found->second.at;
}

//-----------------------------------------------------------------------------
// Evidence
//-----------------------------------------------------------------------------

RequestQuarantine::RequestQuarantine(RequestQuarantineSettings settings)
    : m_settings(settings)
    , m_firstEvents(settings.maxTrustedParts)
    , m_completions(settings.maxTrustedRequests)
{
}

core::TimePoint RequestQuarantine::lastSuccess(const CrashCause &cause) const
{
    return isRequest(cause) ? m_completions.last(cause) : m_firstEvents.last(cause);
}

CauseRecord &RequestQuarantine::recordFor(const CrashCause &cause, core::TimePoint now)
{
    const auto found = m_records.find(cause);
    if (found != m_records.end()) {
        return found->second;
    }
    if (m_records.size() >= m_settings.maxRecords) { // a quarantined cause would crash further upstreams
        const auto weaker = [](const auto &left, const auto &right) {
            return std::tuple(left.second.quarantined, left.second.crashes.size(), left.second.lastRequestedAt)
                < std::tuple(right.second.quarantined, right.second.crashes.size(), right.second.lastRequestedAt);
        };
        const auto weakest = std::min_element(m_records.begin(), m_records.end(), weaker);
        m_changed.erase(weakest->first);
        m_records.erase(weakest);
    }
    CauseRecord record;
    record.cause = cause;
    record.lastRequestedAt = now;
    return m_records[cause] = record;
}

bool RequestQuarantine::isExplained(const core::UpstreamId &upstream) const
{
    return std::any_of(m_records.begin(), m_records.end(), [&](const auto &item) {
        const CauseRecord &record = item.second;
        return record.quarantined && hasCrash(record, upstream);
    });
}

std::size_t RequestQuarantine::countCrashes(const CauseRecord &record) const
{
    if (record.crashes.size() < m_settings.crashesToQuarantine) {
        return 0;
    }
    std::size_t count = 0;
    core::TimePoint lastCounted{};
    for (const CauseCrash &crash : record.crashes) {
        if ((count == 0 || crash.at - lastCounted >= m_settings.minCrashSpacing) && !(isRequest(record.cause) && isExplained(crash.upstream))) {
            ++count;
            lastCounted = crash.at;
        }
    }
    return count;
}

bool RequestQuarantine::isMatched(const CauseRecord &record) const
{
    return std::any_of(m_records.begin(), m_records.end(), [&](const auto &item) {
        const CauseRecord &other = item.second;
        if (other.cause == record.cause || !isRequest(other.cause) || other.quarantined || other.crashes.size() < record.crashes.size()) {
            return false;
        }
        const auto shared =
            std::count_if(record.crashes.begin(), record.crashes.end(), [&](const CauseCrash &crash) { return hasCrash(other, crash.upstream); });
        return static_cast<std::size_t>(shared) + 1 >= record.crashes.size();
    });
}

void RequestQuarantine::judgeRequests(core::TimePoint now)
{
    for (auto &[cause, record] : m_records) {
        if (!isRequest(cause) || record.quarantined || record.crashes.empty() || now - record.crashes.back().at < m_settings.verdictDelay) {
            continue;
        }
        const std::size_t count = countCrashes(record);
        if (count > m_settings.crashesToQuarantine || (count == m_settings.crashesToQuarantine && !isMatched(record))) {
            record.quarantined = true;
            m_changed.insert(cause);
        }
    }
}

void RequestQuarantine::addCrash(CauseRecord &record, const CauseCrash &crash) const
{
    constexpr std::size_t MaxCrashes = 8; // bounds the record; the verdict needs fewer
    if (hasCrash(record, crash.upstream) || record.crashes.size() >= MaxCrashes) {
        return;
    }
    const auto position = std::upper_bound(
        record.crashes.begin(), record.crashes.end(), crash, [](const CauseCrash &left, const CauseCrash &right) { return left.at < right.at; });
    record.crashes.insert(position, crash);
    record.lastRequestedAt = std::max(record.lastRequestedAt, crash.at);
    record.quarantined = record.quarantined || (!isRequest(record.cause) && countCrashes(record) >= m_settings.crashesToQuarantine);
}

void RequestQuarantine::clear(CauseRecord &record, core::TimePoint until)
{
    ++record.generation;
    std::erase_if(record.crashes, [&](const CauseCrash &crash) { return crash.at <= until; });
    record.quarantined = !isRequest(record.cause) && countCrashes(record) >= m_settings.crashesToQuarantine;
    m_changed.insert(record.cause);
}

void RequestQuarantine::blame(const CrashCause &cause, const CauseCrash &crash)
{
    if (lastSuccess(cause) > crash.at) {
        return;
    }
    addCrash(recordFor(cause, crash.at), crash);
    m_changed.insert(cause);
}

void RequestQuarantine::recordCrash(const std::vector<PromptPart> &prompt, const core::UpstreamId &upstream, core::TimePoint now)
{
    std::vector<CrashCause> trusted;
    std::vector<CrashCause> untrusted;
    for (const PromptPart &part : sharedParts(prompt)) {
        const core::TimePoint firstEvent = lastSuccess(part.id);
        const bool isTrusted = firstEvent != core::TimePoint{} && now - firstEvent < m_settings.trustPeriod;
        (isTrusted ? trusted : untrusted).push_back(part.id);
    }
    for (const CrashCause &part : untrusted) {
        blame(part, CauseCrash{upstream, now});
    }
    if (untrusted.empty() && !trusted.empty()) {
        m_delayed.push_back(DelayedBlame{std::move(trusted), CauseCrash{upstream, now}, now + m_settings.trustPeriod});
    }
}

void RequestQuarantine::recordCrash(const RequestFingerprint &request, const core::UpstreamId &upstream, core::TimePoint now)
{
    if (!request.isKnown()) {
        return;
    }
    const core::TimePoint completion = lastSuccess(request);
    if (completion != core::TimePoint{} && now - completion < m_settings.completionMemory) {
        m_delayed.push_back(DelayedBlame{{request}, CauseCrash{upstream, now}, now + m_settings.requestTrustPeriod});
    } else {
        blame(request, CauseCrash{upstream, now});
    }
}

void RequestQuarantine::recordSuccess(SuccessMemory &memory, const CrashCause &cause, core::TimePoint now)
{
    memory.record(cause, now);
    const auto found = m_records.find(cause);
    if (found != m_records.end() && !found->second.crashes.empty()) {
        clear(found->second, now);
    }
}

void RequestQuarantine::recordFirstEvent(const std::vector<PromptPart> &prompt, core::TimePoint now)
{
    for (const PromptPart &part : sharedParts(prompt)) {
        recordSuccess(m_firstEvents, part.id, now);
    }
}

void RequestQuarantine::recordCompletion(const RequestFingerprint &request, core::TimePoint now)
{
    if (request.isKnown()) {
        recordSuccess(m_completions, request, now);
    }
}

void RequestQuarantine::merge(const CauseRecord &record, core::TimePoint now)
{
    if (record.generation == 0 && record.crashes.empty()) {
        return;
    }
    CauseRecord &known = recordFor(record.cause, record.lastRequestedAt);
    known.lastRequestedAt = std::min(now, std::max(known.lastRequestedAt, record.lastRequestedAt));
    if (record.generation < known.generation) {
        m_changed.insert(record.cause); // the sender has not seen that the cause was cleared
        return;
    }
    if (record.generation > known.generation) {
        known.generation = record.generation;
        known.quarantined = false;
        known.crashes.clear();
    }
    const std::size_t crashCount = known.crashes.size();
    const bool wasQuarantined = known.quarantined;
    for (const CauseCrash &crash : record.crashes) {
        addCrash(known, crash);
    }
    known.quarantined = known.quarantined || record.quarantined;
    const core::TimePoint success = lastSuccess(record.cause);
    if (!known.crashes.empty() && success > known.crashes.front().at) {
        clear(known, success);
    } else if (known.crashes.size() > crashCount && known.quarantined != wasQuarantined) {
        m_changed.insert(record.cause); // the verdict follows from evidence that no other instance may have together
    }
}

bool RequestQuarantine::lift(const CrashCause &cause, core::TimePoint now)
{
    const auto found = m_records.find(cause);
    if (found == m_records.end() || !found->second.quarantined) {
        return false;
    }
    found->second.lastRequestedAt = now;
    clear(found->second, now);
    return true;
}

void RequestQuarantine::tick(core::TimePoint now)
{
    std::vector<DelayedBlame> due;
    std::erase_if(m_delayed, [&](const DelayedBlame &delayed) {
        const bool isDue = now >= delayed.dueAt;
        if (isDue) {
            due.push_back(delayed);
        }
        return isDue;
    });
    for (const DelayedBlame &delayed : due) {
        for (const CrashCause &cause : delayed.causes) {
            blame(cause, delayed.crash);
        }
    }
    judgeRequests(now);
    std::erase_if(m_records, [&](const auto &item) {
        return now - item.second.lastRequestedAt >= (item.second.quarantined ? m_settings.quarantineTime : m_settings.evidenceTime);
    });
    std::erase_if(m_changed, [&](const CrashCause &cause) { return !m_records.contains(cause); });
}

//-----------------------------------------------------------------------------
// Verdicts
//-----------------------------------------------------------------------------

std::optional<CrashCause> RequestQuarantine::findQuarantined(const std::vector<PromptPart> &prompt, const RequestFingerprint &request, core::TimePoint now)
{
    std::optional<CrashCause> out;
    if (m_records.empty()) {
        return out;
    }
    const auto check = [&](const CrashCause &cause) {
        const auto found = m_records.find(cause);
        if (out || found == m_records.end()) {
            return;
        }
        const CauseRecord &record = found->second;
        const bool isPending =
            !record.crashes.empty() && now - record.crashes.back().at < m_settings.verdictDelay && countCrashes(record) >= m_settings.crashesToQuarantine;
        if (record.quarantined || isPending) {
            found->second.lastRequestedAt = now;
            out = cause;
        }
    };
    for (const PromptPart &part : sharedParts(prompt)) {
        check(part.id);
    }
    check(request);
    return out;
}

std::set<CrashCause> RequestQuarantine::takeChanges()
{
    return std::exchange(m_changed, {});
}

} // namespace arbutus::routing
