// How fresh this instance's configuration provably is, and whether a request with a credential may be sent by it.
//
// A deployment may promise that a withdrawn credential is of no use after some time, counted from the store's confirmation of the
// configuration that withdraws it, at every instance, in touch or not. So an instance sends requests with credentials only while it can
// prove that the store had no newer configuration a short time ago. A proof is a point in time: then, at the earliest, a linearizable read of
// the store was made that showed nothing newer than what this instance has. Proofs never go back, and only a later read makes a later proof.
//
//   proof.recordRead(askedAt);                                   // own read: when it was asked, not when it was answered
//   proof.noteClocks(bootNow, steadyNow);
//   proof.recordStatement(statedAge, stated, known, arrivedAt);  // a peer's proof, with its age
//   if (!mayUseCredentials(proof.age(now), *settings.maxWithdrawalDelay)) { refuse(); }
//
// Sections:
//   Time                 a clock that counts suspensions
//   ConfigurationProof   the state
//   Decision             whether a proof is fresh enough
//
// Q: What does a watch prove?
// A: While it is silent, nothing. An answer with changes may have been given right after the question, and have waited since; so it proves the
//    time of the question. An answer without changes is given after the whole time for which the watch was asked to wait, so it proves
//    that much more, see provenByWatch().
//
// Q: May a peer's proof be used?
// A: If this instance has at least the peer's configuration. The peer states the age; the time that the message took is not known, so
//    `maxTransit` is added each time that a proof is passed on, and `margin` covers a message that takes longer. What was read late, after the
//    process stood still, counts as arrived before (EvidenceClock). A suspension of the machine is not seen there; statements have no effect
//    for `drainTime` after one. An instance never states a peer's proof as younger than it received it.
//
// Q: What if the store was restored from an older copy?
// A: A read of it proves nothing while another instance is known to have a newer configuration (the caller checks). A configuration that
//    was confirmed before the restore and that no instance in touch has got is not known here; no read can show it.
//
// Q: Does an instance without a proof leave the directory?
// A: No. Each message between instances carries the proof, so an instance without one hears none that has one: there is no instance that it
//    could name instead. Others stop naming it when the membership declares it dead. Its open routes are served on.

#pragma once

#include "arbutus/core/clock.h"
#include "arbutus/edge/knowncatalog.h"

#include <optional>

namespace arbutus::edge {

//-----------------------------------------------------------------------------
// Time
//-----------------------------------------------------------------------------

/// Runs on while the machine is suspended, which the steady clock does not.
struct BootClock
{
    using duration = core::Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock, duration>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): the name that clocks of the standard library have
};
using BootTime = BootClock::time_point;

//-----------------------------------------------------------------------------
// ConfigurationProof
//-----------------------------------------------------------------------------

struct ConfigurationProofSettings
{
    core::Duration maxTransit = std::chrono::milliseconds(100);   // of a message between instances; the longest way is 55 ms
    core::Duration minSuspension = std::chrono::milliseconds(50); // of the machine; less is a difference of the two clocks' readings
    core::Duration drainTime = std::chrono::seconds(1);           // in which all messages are read that waited during a suspension
};

class ConfigurationProof
{
public:
    explicit ConfigurationProof(ConfigurationProofSettings settings = {});

    /// Records that a read of the store that was made at `at` or later shows nothing newer than this instance's configuration.
    void recordRead(BootTime at);
    /// Finds out whether the machine was suspended since the last call. Call this before a statement is recorded.
    void noteClocks(BootTime boot, core::TimePoint steady);
    /// Records the proof of a peer with the configuration `stated`; this instance has `known`.
    void recordStatement(core::Duration statedAge, KnownCatalog stated, KnownCatalog known, BootTime arrivedAt);
    /// Time since which nothing is proven; nothing before the first proof.
    [[nodiscard]] std::optional<core::Duration> age(BootTime now) const;

private:
    ConfigurationProofSettings m_settings;
    std::optional<BootTime> m_provenAt;
    std::optional<core::Duration> m_clockDifference; // as of noteClocks()
    std::optional<BootTime> m_ignoresUntil;          // statements, after a suspension
};

/// The earliest time at which the answer to a watch can have been given. `wait`: for which the watch was asked to wait for changes.
[[nodiscard]] BootTime provenByWatch(BootTime askedAt, BootTime answeredAt, core::Duration wait, bool hasChanges);

//-----------------------------------------------------------------------------
// Decision
//-----------------------------------------------------------------------------

struct CredentialFreshnessSettings
{
    core::Duration margin = std::chrono::milliseconds(500); // until the request arrives at the upstream, and for messages that take long
    double maxMarginShare = 0.25;                           // of the deployment's delay, if that is short
};

/// Whether a request with a credential may be sent by a configuration whose proof has this age; nothing: there is none.
[[nodiscard]] bool
mayUseCredentials(std::optional<core::Duration> proofAge, core::Duration maxWithdrawalDelay, const CredentialFreshnessSettings &settings = {});

} // namespace arbutus::edge
