#include "Target/residency.h"

#include <algorithm>
#include <cmath>

namespace eelgrasscove {

namespace {

/// Failed loads are removed once this many give-up periods have passed since the retry time.
constexpr int failureRetentionFactor = 4;
/// Use counts that have decayed below this are removed.
constexpr double minUseCount = 0.03;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

const AdapterSlot *findSlot(const Residency &residency, const AdapterKey &adapter)
{
    const auto found = residency.slots_.find(adapter);
    return found == residency.slots_.end() ? nullptr : &found->second;
}

double decayedCount(const AdapterUses &uses, const LoadPolicy &policy, Time now)
{
    return uses.useCount_
        * std::exp2(-seconds(now - uses.lastUsed_) / seconds(policy.useHalfLife_));
}

} // namespace

bool canRunOn(const Residency &residency, const AdapterKey &adapter)
{
    const AdapterSlot *slot = findSlot(residency, adapter);
    return slot && slot->stage_ == AdapterStage::Resident && !slot->isDraining_;
}

bool hasSlot(const Residency &residency, const AdapterKey &adapter)
{
    return findSlot(residency, adapter) != nullptr;
}

void acquireAdapter(Residency &residency, const AdapterKey &adapter, const LoadPolicy &policy,
                    Time now)
{
    AdapterSlot &slot = residency.slots_[adapter];
    AdapterUses &uses = residency.uses_[adapter];
    uses = {now, decayedUseCount(residency, adapter, policy, now) + 1};
    slot.awaitsFirstRun_ = false;
    ++slot.running_;
}

void releaseAdapter(Residency &residency, const AdapterKey &adapter)
{
    const auto found = residency.slots_.find(adapter);
    if (found != residency.slots_.end() && found->second.running_ > 0)
        --found->second.running_;
}

std::uint32_t countSlots(const Residency &residency, AdapterStage stage)
{
    const auto inStage = [stage](const auto &entry) { return entry.second.stage_ == stage; };
    const auto count = std::count_if(residency.slots_.begin(), residency.slots_.end(), inStage);
    return static_cast<std::uint32_t>(count);
}

bool canStartLoad(Residency &residency, const LoadPolicy &policy, Time now)
{
    const double capacity = std::max(1.0, policy.loadsPerSecond_);
    const double refill = seconds(now - residency.loadTokensAt_) * policy.loadsPerSecond_;
    residency.loadTokens_ = std::min(capacity, residency.loadTokens_ + refill);
    residency.loadTokensAt_ = now;
    return residency.loadTokens_ >= 1
        && countSlots(residency, AdapterStage::Loading) < policy.loadsAtOnce_;
}

AdapterSlot &startLoad(Residency &residency, const AdapterKey &adapter, Time now)
{
    residency.loadTokens_ -= 1;
    AdapterSlot &slot = residency.slots_[adapter];
    slot.stage_ = AdapterStage::Loading;
    slot.loadStartedAt_ = now;
    return slot;
}

void recordLoaded(Residency &residency, const AdapterKey &adapter, bool awaitsFirstRun, Time now)
{
    AdapterSlot &slot = residency.slots_[adapter];
    slot.stage_ = AdapterStage::Resident;
    slot.awaitsFirstRun_ = awaitsFirstRun;
    slot.isOutcomeUnknown_ = false;
    slot.residentSince_ = now;
    residency.failures_.erase(adapter);
}

bool recordFailedLoad(Residency &residency, const AdapterKey &adapter, const LoadPolicy &policy,
                      Time now)
{
    residency.slots_.erase(adapter);
    LoadFailures &failures = residency.failures_[adapter];
    if (failures.isGivenUp_)
        failures = {};
    ++failures.count_;
    failures.isGivenUp_ = failures.count_ >= policy.maxLoadTries_;
    const Duration backoff = policy.initialBackoff_ * (std::int64_t(1) << (failures.count_ - 1));
    failures.retryAt_ = now + (failures.isGivenUp_ ? policy.giveUpPeriod_ : backoff);
    return failures.isGivenUp_;
}

bool isBackingOff(const Residency &residency, const AdapterKey &adapter, Time now)
{
    const auto found = residency.failures_.find(adapter);
    return found != residency.failures_.end() && now < found->second.retryAt_;
}

std::optional<Duration> timeUntilRetry(const Residency &residency, const AdapterKey &adapter,
                                       Time now)
{
    const auto found = residency.failures_.find(adapter);
    if (found == residency.failures_.end() || !found->second.isGivenUp_)
        return std::nullopt;
    if (now >= found->second.retryAt_)
        return std::nullopt;
    return found->second.retryAt_ - now;
}

std::uint32_t countKeptSlots(const Residency &residency)
{
    const auto kept = [](const auto &entry) {
        return entry.second.stage_ != AdapterStage::Unloading && !entry.second.isDraining_;
    };
    const auto count = std::count_if(residency.slots_.begin(), residency.slots_.end(), kept);
    return static_cast<std::uint32_t>(count);
}

double decayedUseCount(const Residency &residency, const AdapterKey &adapter,
                       const LoadPolicy &policy, Time now)
{
    const auto found = residency.uses_.find(adapter);
    return found == residency.uses_.end() ? 0 : decayedCount(found->second, policy, now);
}

void removeExpiredFailures(Residency &residency, const LoadPolicy &policy, Time now)
{
    const auto isExpired = [&](const auto &entry) {
        return now - entry.second.retryAt_ > policy.giveUpPeriod_ * failureRetentionFactor;
    };
    std::erase_if(residency.failures_, isExpired);
}

void removeExpiredUses(Residency &residency, const LoadPolicy &policy, Time now)
{
    const auto isExpired = [&](const auto &entry) {
        return decayedCount(entry.second, policy, now) < minUseCount;
    };
    std::erase_if(residency.uses_, isExpired);
}

} // namespace eelgrasscove
