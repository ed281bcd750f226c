// Expiry of the records, and the versions that the registry knows.

#include "arbutus/routing/streamrecords.h"

namespace arbutus::routing {

StreamRecords::StreamRecords(StreamRecordsSettings settings)
    : m_settings(settings)
{
}

bool StreamRecords::add(StreamRecord record, core::TimePoint now)
{
    if (record.stream.empty() || m_records.contains(record.stream)) {
        return false;
    }
    expire(now);
    m_order.emplace_back(now, record.stream);
    m_records.emplace(record.stream, std::move(record));
    return true;
}

const StreamRecord *StreamRecords::find(const StreamId &stream) const
{
    const auto found = m_records.find(stream);
    return found == m_records.end() ? nullptr : &found->second;
}

void StreamRecords::expire(core::TimePoint now)
{
    while (!m_order.empty() && (now - m_order.front().first > m_settings.retention || m_order.size() >= m_settings.maxRecords)) {
        m_records.erase(m_order.front().second);
        m_order.pop_front();
    }
}

std::set<SoftwareVersion> knownVersions(const UpstreamRegistry &registry, const core::ServiceId &service)
{
    std::set<SoftwareVersion> versions;
    for (const auto &[id, entry] : registry.entries()) {
        if (entry.announcement.service == service) {
            versions.insert(entry.announcement.version);
        }
    }
    return versions;
}

std::optional<SoftwareVersion> soleVersion(const UpstreamRegistry &registry, const core::ServiceId &service)
{
    const std::set<SoftwareVersion> versions = knownVersions(registry, service);
    return versions.size() == 1 ? std::optional(*versions.begin()) : std::nullopt;
}

} // namespace arbutus::routing
