// Proofs of how fresh the configuration is.

#include "arbutus/edge/configurationproof.h"

#include <algorithm>

namespace arbutus::edge {

ConfigurationProof::ConfigurationProof(ConfigurationProofSettings settings)
    : m_settings(settings)
{
}

void ConfigurationProof::recordRead(BootTime at)
{
    m_provenAt = m_provenAt ? std::max(*m_provenAt, at) : at;
}

void ConfigurationProof::noteClocks(BootTime boot, core::TimePoint steady)
{
    const core::Duration difference = boot.time_since_epoch() - steady.time_since_epoch();
    if (m_clockDifference && difference - *m_clockDifference > m_settings.minSuspension) {
        m_ignoresUntil = boot + m_settings.drainTime;
    }
    m_clockDifference = difference;
}

void ConfigurationProof::recordStatement(core::Duration statedAge, KnownCatalog stated, KnownCatalog known, BootTime arrivedAt)
{
    const bool isIgnored = m_ignoresUntil && arrivedAt < *m_ignoresUntil;
    if (!isIgnored && statedAge >= core::Duration::zero() && stated.version.value != 0 && stated <= known) {
        recordRead(arrivedAt - statedAge - m_settings.maxTransit);
    }
}

std::optional<core::Duration> ConfigurationProof::age(BootTime now) const
{
    return m_provenAt ? std::optional(std::max(core::Duration::zero(), now - *m_provenAt)) : std::nullopt;
}

BootTime provenByWatch(BootTime askedAt, BootTime answeredAt, core::Duration wait, bool hasChanges)
{
    const bool hasWaited = !hasChanges && answeredAt - askedAt >= wait;
    return hasWaited ? askedAt + wait : askedAt;
}

bool mayUseCredentials(std::optional<core::Duration> proofAge, core::Duration maxWithdrawalDelay, const CredentialFreshnessSettings &settings)
{
    const auto maxMargin = std::chrono::duration_cast<core::Duration>(maxWithdrawalDelay * settings.maxMarginShare);
    return proofAge && *proofAge < maxWithdrawalDelay - std::min(settings.margin, maxMargin);
}

} // namespace arbutus::edge
