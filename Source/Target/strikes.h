#pragma once

/// Strikes against requests that were running when an engine crashed, so that one that crashes each
/// target that runs it is stopped. Pure.

#include <eelgrasscove/messages.h>
#include <eelgrasscove/time.h>

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace eelgrasscove {

struct StrikeRecord
{
    std::uint32_t count_ = 0;
    /// Strikes that the request has since been cleared of by running to its end.
    std::uint32_t cleared_ = 0;
    Time until_;
};

struct Strikes
{
    /// Strikes at which a request is refused.
    std::uint32_t limit_ = 2;
    Duration memory_ = std::chrono::minutes(10);
    std::unordered_map<Fingerprint, StrikeRecord> records_;
};

enum class Suspicion {
    None,
    /// May run, but with nothing beside it.
    RunAlone,
    Refuse,
};

Suspicion suspicionOf(const Strikes &strikes, const Fingerprint &fingerprint, Time now);

/// Time until a refused request may be tried again.
Duration refusedFor(const Strikes &strikes, const Fingerprint &fingerprint, Time now);

void strike(Strikes &strikes, const Fingerprint &fingerprint, Time now);

/// The request ran to its end: it is no suspect for the strikes so far.
void clearSuspicion(Strikes &strikes, const Fingerprint &fingerprint);

/// Takes in a peer's strikes; the higher count holds.
void takeStrikes(Strikes &strikes, const std::vector<Strike> &reported, Time now);

/// The strikes to report to peers.
std::vector<Strike> reportStrikes(const Strikes &strikes, Time now);

void expireStrikes(Strikes &strikes, Time now);

} // namespace eelgrasscove
