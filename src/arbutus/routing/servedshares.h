// Shares of the requests that are served, by kind and size, and what follows for those that get too little.
//
// Load that it answers: demand exceeds capacity for long. Loss per room alone then always turns away the same requests: the large ones of a
// kind, whose prompts are cached nowhere, and the kind of the lowest priority.
//
//   shares.record(service, kind, size, ServedOutcome::Refused, now);
//   entry.boost = shares.boost(service, kind, size);
//
// The sizes of a kind are three classes: its largest tenth, the fifth below it, and the rest. The bounds between them are estimated from
// the sizes seen.
//
// No clock: the caller passes in the current time.

#pragma once

#include "arbutus/core/clock.h"
#include "arbutus/core/ids.h"

#include <array>
#include <map>
#include <string>

namespace arbutus::routing {

using KindId = core::StrongId<struct KindTag>; // requests of one route

struct ServedSharesSettings
{
    core::Duration timeConstant = std::chrono::seconds(8); // of the counts
    double minCount = 20;                                  // of a class, before its share counts
    double sizeTarget = 0.85;                              // share of a size class against that of its kind, below which it is boosted
    double kindTarget = 0.5;                               // share of a kind against that of its service, below which it goes before its priority
    double maxBoost = 8;                                   // upper bound of the factor
    double quantileStep = 0.02;                            // of the estimates of the bounds, as a share of the mean size
    double meanWeight = 0.02;                              // weight of one request in the mean size
};

enum class ServedOutcome {
    Served,
    Refused,
    ServedAfterRefusal, // takes the place of a refusal counted before
};

class ServedShares
{
public:
    explicit ServedShares(ServedSharesSettings settings = {});

    /// A request of that size is known; call it once for each.
    void recordSize(const core::ServiceId &service, const KindId &kind, double size);
    void record(const core::ServiceId &service, const KindId &kind, double size, ServedOutcome outcome, core::TimePoint now);
    /// Mean size of the kind; 0: none known.
    [[nodiscard]] double meanSize(const core::ServiceId &service, const KindId &kind) const;
    /// Factor on the losses of a request of that size, from 1.
    [[nodiscard]] double boost(const core::ServiceId &service, const KindId &kind, double size) const;
    /// Whether the kind is served so much less than others of its service that it goes before its priority.
    [[nodiscard]] bool isNeglected(const core::ServiceId &service, const KindId &kind) const;

private:
    static constexpr std::size_t SizeClasses = 3;
    struct Count
    {
        double served = 0;
        double all = 0;
        [[nodiscard]] double share() const
        {
            return all <= 0 ? 1 : served / all;
        }
    };
    struct Kind
    {
        double meanSize = 0;
        double largestFifthBound = 0; // between the rest and the fifth below the largest tenth, at 70 in 100
        double largestTenthBound = 0;
        std::array<Count, SizeClasses> bySize;
        Count total;
    };
    struct Service
    {
        std::map<KindId, Kind> kinds;
        Count total;
        core::TimePoint decayedAt{};
    };
    [[nodiscard]] static std::size_t sizeClassOf(const Kind &kind, double size);
    [[nodiscard]] const Kind *findKind(const core::ServiceId &service, const KindId &kind) const;
    void decay(Service &service, core::TimePoint now) const;

    ServedSharesSettings m_settings;
    std::map<core::ServiceId, Service> m_services;
};

} // namespace arbutus::routing
