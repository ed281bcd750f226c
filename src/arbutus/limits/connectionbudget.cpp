// Choice of the connection that gives way.

#include "arbutus/limits/connectionbudget.h"

#include <algorithm>
#include <utility>

namespace arbutus::limits {

ConnectionBudget::ConnectionBudget(std::size_t maxConnections)
    : m_maxConnections(maxConnections)
{
}

std::size_t ConnectionBudget::shareOf(std::size_t maxDescriptors)
{
    return std::max<std::size_t>(1, maxDescriptors / 3 * 2);
}

bool ConnectionBudget::makeRoom()
{
    if (m_usedPlaces < m_maxConnections) {
        return true;
    }
    const auto candidates = std::find_if(m_yielding.begin(), m_yielding.end(), [](const Order &order) { return !order.empty(); });
    if (candidates == m_yielding.end()) {
        return false;
    }
    ConnectionPlace &place = *candidates->begin()->second;
    place.leaveOrder();
    place.m_state = ConnectionState::Busy;
    place.m_isEvicted = true;
    --m_usedPlaces;
    ++m_evictedCount;
    if (place.m_onEvicted) {
        place.m_onEvicted();
    }
    return true;
}

ConnectionPlace::ConnectionPlace(std::shared_ptr<ConnectionBudget> budget, std::function<void()> onEvicted)
    : m_budget(std::move(budget))
    , m_onEvicted(std::move(onEvicted))
    , m_isGranted(m_budget->makeRoom())
{
    if (m_isGranted) {
        ++m_budget->m_usedPlaces;
        setState(ConnectionState::New);
    }
}

ConnectionPlace::~ConnectionPlace()
{
    leaveOrder();
    if (m_isGranted && !m_isEvicted) {
        --m_budget->m_usedPlaces;
    }
}

void ConnectionPlace::leaveOrder()
{
    if (m_state != ConnectionState::Busy) {
        m_budget->m_yielding.at(static_cast<std::size_t>(m_state)).erase(m_number);
    }
}

void ConnectionPlace::setState(ConnectionState state)
{
    if (!m_isGranted || m_isEvicted || state == m_state) {
        return;
    }
    leaveOrder();
    m_state = state;
    m_number = m_budget->m_nextNumber++;
    if (state != ConnectionState::Busy) {
        m_budget->m_yielding.at(static_cast<std::size_t>(state)).emplace(m_number, this);
    }
}

} // namespace arbutus::limits
