// Accounting of held bytes and the choice of the response that gives way.

#include "arbutus/limits/bytebudget.h"

#include <algorithm>
#include <utility>

namespace arbutus::limits {

ByteBudget::ByteBudget(ByteBudgetSettings settings)
    : m_settings(settings)
{
}

ByteHold *ByteBudget::largestBeside(const ByteHold &hold, std::size_t bytes, const std::string *upstream) const
{
    ByteHold *largest = nullptr;
    for (const auto &[id, candidate] : m_holds) {
        const bool mayGiveWay = candidate != &hold && candidate->m_kind == HolderKind::Response && !candidate->m_isKept;
        const bool isCandidate = mayGiveWay && (upstream == nullptr || candidate->m_upstream == *upstream);
        if (isCandidate && candidate->m_bytes > (largest == nullptr ? bytes : largest->m_bytes)) {
            largest = candidate;
        }
    }
    return largest;
}

bool ByteBudget::isRequestGranted(const ByteHold &hold, std::size_t bytes) const
{
    const auto left = [&hold](std::size_t max, std::size_t used) {
        const std::size_t others = used - hold.m_bytes;
        return max - std::min(max, others);
    };
    const bool isOnly = m_requestBytes == hold.m_bytes; // or one that the configuration allows could never be sent
    return (isOnly && bytes <= std::max(m_settings.maxRequestBytes, m_singleRequestBytes))
        || bytes <= std::min(left(m_settings.maxRequestBytes, m_requestBytes), left(m_settings.maxBytes, m_usedBytes)) / 2;
}

bool ByteBudget::makeRoom(ByteHold &hold, std::size_t bytes)
{
    if (hold.m_kind == HolderKind::Request) {
        return isRequestGranted(hold, bytes);
    }
    const std::size_t more = bytes - hold.m_bytes;
    const std::size_t reserved = m_settings.requestReserve - std::min(m_settings.requestReserve, m_requestBytes);
    while (true) {
        const auto ofUpstream = m_responseBytes.find(hold.m_upstream);
        const bool isShareUsed = (ofUpstream == m_responseBytes.end() ? 0 : ofUpstream->second) + more > m_settings.maxBytesPerUpstream;
        if (!isShareUsed && m_usedBytes + more + reserved <= m_settings.maxBytes) {
            return true;
        }
        ByteHold *largest = largestBeside(hold, bytes, isShareUsed ? &hold.m_upstream : nullptr);
        if (largest == nullptr) {
            return false;
        }
        change(*largest, 0);
        largest->m_isDenied = true;
        if (largest->m_onEvicted) {
            largest->m_onEvicted();
        }
    }
}

void ByteBudget::change(ByteHold &hold, std::size_t bytes)
{
    m_usedBytes = m_usedBytes - hold.m_bytes + bytes;
    if (hold.m_kind == HolderKind::Request) {
        m_requestBytes = m_requestBytes - hold.m_bytes + bytes;
    } else if (bytes != hold.m_bytes) {
        std::size_t &ofUpstream = m_responseBytes[hold.m_upstream];
        ofUpstream = ofUpstream - hold.m_bytes + bytes;
        if (ofUpstream == 0) {
            m_responseBytes.erase(hold.m_upstream);
        }
    }
    hold.m_bytes = bytes;
    m_peakBytes = std::max(m_peakBytes, m_usedBytes);
}

ByteHold::ByteHold(std::shared_ptr<ByteBudget> budget, HolderKind kind, std::string upstream, std::function<void()> onEvicted)
    : m_budget(std::move(budget))
    , m_kind(kind)
    , m_upstream(std::move(upstream))
    , m_onEvicted(std::move(onEvicted))
    , m_id(m_budget->m_nextHold++)
{
    m_budget->m_holds.emplace(m_id, this);
}

ByteHold::~ByteHold()
{
    m_budget->change(*this, 0);
    m_budget->m_holds.erase(m_id);
}

bool ByteHold::resize(std::size_t bytes)
{
    if (m_isDenied || (bytes > m_bytes && !m_budget->makeRoom(*this, bytes))) {
        m_isDenied = true;
        m_budget->change(*this, 0);
        return false;
    }
    m_budget->change(*this, bytes);
    return true;
}

} // namespace arbutus::limits
