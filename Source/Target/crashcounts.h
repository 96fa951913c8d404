#pragma once

/// Counts, for each request fingerprint, the engine crashes during which the request was running,
/// so that a request that crashes every target that runs it is refused at a limit. Pure functions:
/// no clock, I/O or threads.

#include <eelgrasscove/messages.h>
#include <eelgrasscove/time.h>

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace eelgrasscove {

struct CrashRecord
{
    std::uint32_t count_ = 0;
    /// The value of count_ at the last run that completed; crashes up to it no longer count.
    std::uint32_t clearedCount_ = 0;
    Time expiresAt_;
};

struct CrashCounts
{
    /// Number of crashes at which a request is refused.
    std::uint32_t refusalThreshold_ = 2;
    Duration retention_ = std::chrono::minutes(10);
    std::unordered_map<Fingerprint, CrashRecord> records_;
};

enum class Suspicion {
    None,
    /// May run, but only while no other request runs on the target.
    RunAlone,
    Refuse,
};

Suspicion suspicionFor(const CrashCounts &crashCounts, const Fingerprint &fingerprint, Time now);

/// Returns the time until a refused request may be tried again.
Duration refusalTimeLeft(const CrashCounts &crashCounts, const Fingerprint &fingerprint, Time now);

void recordCrash(CrashCounts &crashCounts, const Fingerprint &fingerprint, Time now);

/// Records that the request completed, so that the crashes so far no longer count against it.
void clearSuspicion(CrashCounts &crashCounts, const Fingerprint &fingerprint);

/// Merges the counts that a peer reported; the higher count is kept.
void mergeCrashCounts(CrashCounts &crashCounts, const std::vector<Strike> &reported, Time now);

/// Returns the counts to report to peers.
std::vector<Strike> crashCountsToReport(const CrashCounts &crashCounts, Time now);

void removeExpiredCrashCounts(CrashCounts &crashCounts, Time now);

} // namespace eelgrasscove
