// Bounded tables of places and sessions.

#include "arbutus/routing/heldplaces.h"

#include <algorithm>

namespace arbutus::routing {

HeldPlaces::HeldPlaces(HeldPlacesSettings settings)
    : m_settings(settings)
{
}

void HeldPlaces::expire(core::TimePoint now)
{
    while (!m_byAge.empty() && (m_places.size() > m_settings.maxPlaces || now - m_byAge.front().first > m_settings.retention)) {
        const auto &[heldAt, fingerprint] = m_byAge.front();
        const auto found = m_places.find(fingerprint);
        if (found != m_places.end() && found->second.heldAt == heldAt) { // not held anew since
            m_places.erase(found);
        }
        m_byAge.pop_front();
    }
    while (m_byAge.size() > 2 * m_settings.maxPlaces) {
        m_byAge.pop_front();
    }
}

void HeldPlaces::hold(const RequestFingerprint &fingerprint, HeldPlace place, core::TimePoint now)
{
    if (!fingerprint.isKnown()) {
        return;
    }
    m_places[fingerprint] = Row{place, now};
    m_byAge.emplace_back(now, fingerprint);
    expire(now);
}

std::optional<HeldPlace> HeldPlaces::take(const RequestFingerprint &fingerprint, core::TimePoint now)
{
    expire(now);
    const auto found = m_places.find(fingerprint);
    if (found == m_places.end()) {
        return std::nullopt;
    }
    const HeldPlace place = found->second.place;
    m_places.erase(found);
    return place;
}

void HeldPlaces::recordRefusal(std::uint64_t session)
{
    if (session == 0) {
        return;
    }
    if (m_refusals.size() >= m_settings.maxSessions && !m_refusals.contains(session)) {
        m_refusals.erase(m_refusals.begin());
    }
    ++m_refusals[session];
}

void HeldPlaces::recordServed(std::uint64_t session)
{
    m_refusals.erase(session);
}

double HeldPlaces::sessionBoost(std::uint64_t session) const
{
    const auto found = m_refusals.find(session);
    return found == m_refusals.end() ? 1 : std::min(m_settings.maxSessionBoost, 1 + m_settings.sessionBoost * found->second);
}

} // namespace arbutus::routing
