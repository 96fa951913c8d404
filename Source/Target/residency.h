#pragma once

/// Tracks which adapters an engine holds, which are in use, and which may be loaded or evicted.
/// Pure functions: no clock, I/O or threads.

#include "Vm/settings.h"

#include <eelgrasscove/names.h>
#include <eelgrasscove/time.h>

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace eelgrasscove {

enum class AdapterStage {
    Loading,
    Resident,
    Unloading,
};

/// An adapter that occupies an engine slot.
struct AdapterSlot
{
    AdapterStage stage_ = AdapterStage::Loading;
    /// Runs on the engine that use the adapter, including those that this process did not start.
    std::uint32_t running_ = 0;
    /// Loaded for queued work, none of which has started yet.
    bool awaitsFirstRun_ = false;
    /// To be evicted once its runs have ended; no further run starts on it.
    bool isDraining_ = false;
    /// The last order for the adapter got no reply; the next reading of the engine's state shows
    /// whether it took effect.
    bool isOutcomeUnknown_ = false;
    /// Number of the last order for the adapter.
    std::uint64_t order_ = 0;
    /// The queued attempt for which the load was started.
    AttemptId loadedFor_;
    Time loadStartedAt_;
    Time residentSince_;
};

/// Exponentially decaying use count of an adapter.
struct AdapterUses
{
    Time lastUsed_;
    /// Number of uses as of lastUsed_; halves with every half-life after it.
    double useCount_ = 0;
};

/// Failed loads of one adapter.
struct LoadFailures
{
    std::uint32_t count_ = 0;
    /// No load starts before this time.
    Time retryAt_;
    /// Too many loads have failed; offers are refused until retryAt_.
    bool isGivenUp_ = false;
};

struct Residency
{
    std::uint32_t capacity_ = 0;
    std::unordered_map<AdapterKey, AdapterSlot> slots_;
    std::unordered_map<AdapterKey, LoadFailures> failures_;
    /// Kept for evicted adapters as well, until their count has decayed to a negligible value.
    std::unordered_map<AdapterKey, AdapterUses> uses_;
    /// Token bucket of the load rate: the number of loads that may start now.
    double loadTokens_ = 1;
    Time loadTokensAt_;
};

/// Limits on loads, and the half-life of use counts.
struct LoadPolicy
{
    double loadsPerSecond_ = 1;
    std::uint32_t loadsAtOnce_ = 1;
    /// Consecutive failed loads of one adapter after which its requests are refused.
    std::uint32_t maxLoadTries_ = 3;
    /// Wait after the first failed load; doubles after each further one.
    Duration initialBackoff_ = std::chrono::milliseconds(250);
    /// Period during which requests for the adapter are refused once maxLoadTries_ is reached.
    Duration giveUpPeriod_ = std::chrono::seconds(5);
    /// Half-life of an adapter's use count.
    Duration useHalfLife_ = std::chrono::seconds(60);
};

/// Returns whether a run can start on the adapter now.
bool canRunOn(const Residency &residency, const AdapterKey &adapter);

/// Returns whether the adapter occupies a slot: resident, being loaded or being unloaded.
bool hasSlot(const Residency &residency, const AdapterKey &adapter);

/// Records that a run starts on the adapter.
void acquireAdapter(Residency &residency, const AdapterKey &adapter, const LoadPolicy &policy,
                    Time now);

/// Records that a run has certainly ended on the engine.
void releaseAdapter(Residency &residency, const AdapterKey &adapter);

/// Returns the number of slots in one stage.
std::uint32_t countSlots(const Residency &residency, AdapterStage stage);

/// Refills the token bucket of the load rate and returns whether one more load may start.
bool canStartLoad(Residency &residency, const LoadPolicy &policy, Time now);

/// Records the start of a load in a free slot and takes one token from the load rate.
AdapterSlot &startLoad(Residency &residency, const AdapterKey &adapter, Time now);

/// Records a load that succeeded.
void recordLoaded(Residency &residency, const AdapterKey &adapter, bool awaitsFirstRun, Time now);

/// Records a load that failed. Returns true if the limit on failed loads has been reached.
bool recordFailedLoad(Residency &residency, const AdapterKey &adapter, const LoadPolicy &policy,
                      Time now);

/// Returns whether a load of the adapter must wait after failed loads.
bool isBackingOff(const Residency &residency, const AdapterKey &adapter, Time now);

/// Returns the time until an adapter that reached the limit on failed loads is tried again; empty
/// if its requests are not refused.
std::optional<Duration> timeUntilRetry(const Residency &residency, const AdapterKey &adapter,
                                       Time now);

/// Returns the number of slots that are neither being unloaded nor draining.
std::uint32_t countKeptSlots(const Residency &residency);

/// Returns the adapter's exponentially decaying use count.
double decayedUseCount(const Residency &residency, const AdapterKey &adapter,
                       const LoadPolicy &policy, Time now);

/// Removes failures whose last retry time is long past.
void removeExpiredFailures(Residency &residency, const LoadPolicy &policy, Time now);

/// Removes use counts that have decayed to a negligible value.
void removeExpiredUses(Residency &residency, const LoadPolicy &policy, Time now);

} // namespace eelgrasscove
