// Worth, losses and room.

#include "arbutus/routing/servicevalue.h"

#include <algorithm>

namespace arbutus::routing {

double sizeOf(const ServiceValueSettings &settings, std::uint32_t promptTokens, std::uint32_t outputTokens)
{
    return static_cast<double>(promptTokens) + settings.outputTokenWeight * static_cast<double>(outputTokens);
}

double valueOf(const ServiceValueSettings &settings, const RequestFacts &facts)
{
    if (facts.promptTokens == 0 || facts.meanSize <= 0) {
        return 1;
    }
    const double relativeSize = sizeOf(settings, facts.promptTokens, facts.outputTokens) / facts.meanSize;
    return std::min(settings.maxValue, settings.fixedPart + (1 - settings.fixedPart) * relativeSize);
}

double lossIfLate(const ServiceValueSettings &settings, double value)
{
    return value * (1 - settings.lateRatio);
}

double lossIfRefused(const ServiceValueSettings &settings, double value, const RefusalFacts &facts)
{
    double loss = facts.canBeOnTime ? value : value * settings.lateRatio;
    if (facts.cameBack) {
        loss += value * settings.refusedAgainCost;
    }
    if (facts.objective > core::Duration::zero()) {
        const double heldRatio = static_cast<double>(facts.held.count()) / static_cast<double>(facts.objective.count());
        loss += value * std::clamp((heldRatio - settings.freeHoldRatio) / (settings.fullHoldRatio - settings.freeHoldRatio), 0.0, 1.0);
    }
    return loss;
}

core::Duration roomTaken(const RoomFacts &facts)
{
    const double share = std::max(facts.slotShare, facts.memoryShare);
    return facts.prefillTime + core::Duration(static_cast<core::Duration::rep>(share * static_cast<double>(facts.streamTime.count())));
}

} // namespace arbutus::routing
