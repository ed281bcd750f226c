// What a caller loses if its request is late or turned away, and the room that serving it takes.
//
// Load that it answers: demand exceeds capacity for seconds, so some requests are late and some are turned away. Requests of a kind differ
// tenfold in size, in what of their prompt is cached, and in how long they occupy a slot. The loss per room says which ones yield.
//
// Sections:
//   RequestValue   worth to the caller, and the losses
//   RoomTaken      engine time that a request takes
//
// Q: How is the worth of a request known?
// A: The configuration states no worth. Within a kind, a request is worth a fixed part plus a part by its size (prompt tokens plus ten
//    times the output tokens) against the mean of its kind, with a bound. Between kinds the priority decides (see costorder.h).
//
// Q: What is late worth?
// A: The configuration does not state that either; a late response is taken to be worth half.
//
// No clock: times are passed in.

#pragma once

#include "arbutus/core/clock.h"

#include <cstdint>

namespace arbutus::routing {

//-----------------------------------------------------------------------------
// RequestValue
//-----------------------------------------------------------------------------

struct ServiceValueSettings
{
    double outputTokenWeight = 10;  // an output token counts as so many prompt tokens in the size of a request
    double fixedPart = 0.3;         // of the mean worth of a kind; the rest goes by size
    double maxValue = 4;            // in units of the mean worth of a kind
    double lateRatio = 0.5;         // worth of a late response against one on time
    double refusedAgainCost = 0.3;  // share of the worth that is lost besides if a request that came back is refused
    double freeHoldRatio = 1.0 / 8; // of the objective: a refusal costs no more than the request up to that wait
    double fullHoldRatio = 3.0 / 4; // from that wait on, a refusal costs the worth twice
};

/// What the value of a request follows from.
struct RequestFacts
{
    std::uint32_t promptTokens = 0; // 0: a request of a plain service
    std::uint32_t outputTokens = 0; // expected
    double meanSize = 0;            // of its kind; 0: not known
};

/// Size of a request: prompt tokens, and output tokens by their weight.
[[nodiscard]] double sizeOf(const ServiceValueSettings &settings, std::uint32_t promptTokens, std::uint32_t outputTokens);

/// Worth of a response on time, in units of the mean worth of its kind.
[[nodiscard]] double valueOf(const ServiceValueSettings &settings, const RequestFacts &facts);

/// What a refusal depends on besides the value.
struct RefusalFacts
{
    bool canBeOnTime = true;
    bool cameBack = false;      // was refused before
    core::Duration held{};      // since it was requested
    core::Duration objective{}; // from the request to the latency deadline
};

[[nodiscard]] double lossIfLate(const ServiceValueSettings &settings, double value);
[[nodiscard]] double lossIfRefused(const ServiceValueSettings &settings, double value, const RefusalFacts &facts);

//-----------------------------------------------------------------------------
// RoomTaken
//-----------------------------------------------------------------------------

/// What a request takes of an engine.
struct RoomFacts
{
    core::Duration prefillTime{}; // of its uncached tokens, or the service time of a plain upstream
    core::Duration streamTime{};  // for which it holds a slot and memory
    double slotShare = 0;         // of the engine's slots
    double memoryShare = 0;       // of the engine's memory
};

/// Time of one whole engine that serving the request takes: its prefill, and its share of slots or memory, whichever is more, while it runs.
[[nodiscard]] core::Duration roomTaken(const RoomFacts &facts);

} // namespace arbutus::routing
