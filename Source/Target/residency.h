#pragma once

/// Which adapters an engine holds, which are in use, and which may be loaded or evicted. Pure.

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

/// An adapter that takes an engine slot.
struct AdapterSlot
{
    AdapterStage stage_ = AdapterStage::Loading;
    /// Runs on the engine that use it, whoever started them.
    std::uint32_t running_ = 0;
    /// Loaded for queued work of which none has started yet.
    bool awaited_ = false;
    /// To be evicted; nothing more starts on it.
    bool draining_ = false;
    /// The last order for it got no reply; the engine's state has to tell.
    bool unknown_ = false;
    /// Number of the last order for it.
    std::uint64_t order_ = 0;
    /// The queued attempt that the load began for.
    AttemptId loadedFor_;
    Time loadStartedAt_;
    Time residentSince_;
};

/// How often an adapter has been used, of late above all.
struct AdapterUses
{
    Time lastUsed_;
    /// Uses, halved with every half-life since lastUsed_.
    double frequency_ = 0;
};

/// Failed loads of one adapter.
struct LoadFailures
{
    std::uint32_t count_ = 0;
    /// No load before.
    Time retryAt_;
    /// Given up: offers are refused until retryAt_.
    bool givenUp_ = false;
};

struct Residency
{
    std::uint32_t capacity_ = 0;
    std::unordered_map<AdapterKey, AdapterSlot> slots_;
    std::unordered_map<AdapterKey, LoadFailures> failures_;
    /// Also of adapters that were evicted, until they count for next to nothing.
    std::unordered_map<AdapterKey, AdapterUses> uses_;
    /// Loads that may start now, refilled at the settings' rate.
    double loadTokens_ = 1;
    Time loadTokensAt_;
};

/// Bounds on loads.
struct LoadPolicy
{
    double loadsPerSecond_ = 1;
    std::uint32_t loadsAtOnce_ = 1;
    /// Loads tried for one adapter before its requests are refused.
    std::uint32_t tries_ = 3;
    /// Wait after the first failed load; doubled after each further one.
    Duration backoff_ = std::chrono::milliseconds(250);
    /// How long an adapter that was given up is refused.
    Duration giveUp_ = std::chrono::seconds(5);
    /// Half-life of an adapter's use count.
    Duration halfLife_ = std::chrono::seconds(60);
};

/// Whether the adapter can be run on now.
bool canRunOn(const Residency &residency, const AdapterKey &adapter);

/// Whether the engine holds the adapter or is getting it.
bool holdsOrLoads(const Residency &residency, const AdapterKey &adapter);

/// Counts a run that starts on the adapter.
void useAdapter(Residency &residency, const AdapterKey &adapter, const LoadPolicy &policy,
                Time now);

/// Counts a run that is surely gone from the engine.
void releaseAdapter(Residency &residency, const AdapterKey &adapter);

/// Slots in one stage.
std::uint32_t slotsIn(const Residency &residency, AdapterStage stage);

/// Refills the load rate and says whether one more load may start.
bool mayLoad(Residency &residency, const LoadPolicy &policy, Time now);

/// Begins a load in a free slot and takes it from the rate.
AdapterSlot &beginLoad(Residency &residency, const AdapterKey &adapter, Time now);

/// Takes note of a load that succeeded.
void endLoad(Residency &residency, const AdapterKey &adapter, bool awaited, Time now);

/// Takes note of a load that failed. True where the adapter is given up.
bool failLoad(Residency &residency, const AdapterKey &adapter, const LoadPolicy &policy, Time now);

/// Whether a load must wait after failures.
bool backsOff(const Residency &residency, const AdapterKey &adapter, Time now);

/// Time until an adapter that was given up is tried again; empty where it wasn't.
std::optional<Duration> givenUpFor(const Residency &residency, const AdapterKey &adapter, Time now);

/// The slots that are neither being unloaded nor to be.
std::uint32_t slotsKept(const Residency &residency);

/// How much an adapter has been used, of late above all.
double usefulness(const Residency &residency, const AdapterKey &adapter, const LoadPolicy &policy,
                  Time now);

/// Forgets failures that are long past.
void expireFailures(Residency &residency, const LoadPolicy &policy, Time now);

/// Forgets uses that are long past.
void expireUses(Residency &residency, const LoadPolicy &policy, Time now);

} // namespace eelgrasscove
