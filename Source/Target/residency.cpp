#include "Target/residency.h"

#include <algorithm>
#include <cmath>

namespace eelgrasscove {

namespace {

/// Failures are forgotten so many give-up times after the last one.
constexpr int failureMemory = 4;
/// An adapter that counts for less is forgotten.
constexpr double leastCount = 0.03;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

const AdapterSlot *slotOf(const Residency &residency, const AdapterKey &adapter)
{
    const auto found = residency.slots_.find(adapter);
    return found == residency.slots_.end() ? nullptr : &found->second;
}

double countOf(const AdapterUses &uses, const LoadPolicy &policy, Time now)
{
    return uses.frequency_ * std::exp2(-seconds(now - uses.lastUsed_) / seconds(policy.halfLife_));
}

} // namespace

bool canRunOn(const Residency &residency, const AdapterKey &adapter)
{
    const AdapterSlot *slot = slotOf(residency, adapter);
    return slot && slot->stage_ == AdapterStage::Resident && !slot->draining_;
}

bool holdsOrLoads(const Residency &residency, const AdapterKey &adapter)
{
    return slotOf(residency, adapter) != nullptr;
}

void useAdapter(Residency &residency, const AdapterKey &adapter, const LoadPolicy &policy, Time now)
{
    AdapterSlot &slot = residency.slots_[adapter];
    AdapterUses &uses = residency.uses_[adapter];
    uses = {now, usefulness(residency, adapter, policy, now) + 1};
    slot.awaited_ = false;
    ++slot.running_;
}

void releaseAdapter(Residency &residency, const AdapterKey &adapter)
{
    const auto found = residency.slots_.find(adapter);
    if (found != residency.slots_.end() && found->second.running_ > 0)
        --found->second.running_;
}

std::uint32_t slotsIn(const Residency &residency, AdapterStage stage)
{
    const auto inStage = [stage](const auto &entry) { return entry.second.stage_ == stage; };
    const auto count = std::count_if(residency.slots_.begin(), residency.slots_.end(), inStage);
    return static_cast<std::uint32_t>(count);
}

bool mayLoad(Residency &residency, const LoadPolicy &policy, Time now)
{
    const double capacity = std::max(1.0, policy.loadsPerSecond_);
    const double refill = seconds(now - residency.loadTokensAt_) * policy.loadsPerSecond_;
    residency.loadTokens_ = std::min(capacity, residency.loadTokens_ + refill);
    residency.loadTokensAt_ = now;
    return residency.loadTokens_ >= 1
        && slotsIn(residency, AdapterStage::Loading) < policy.loadsAtOnce_;
}

AdapterSlot &beginLoad(Residency &residency, const AdapterKey &adapter, Time now)
{
    residency.loadTokens_ -= 1;
    AdapterSlot &slot = residency.slots_[adapter];
    slot.stage_ = AdapterStage::Loading;
    slot.loadStartedAt_ = now;
    return slot;
}

void endLoad(Residency &residency, const AdapterKey &adapter, bool awaited, Time now)
{
    AdapterSlot &slot = residency.slots_[adapter];
    slot.stage_ = AdapterStage::Resident;
    slot.awaited_ = awaited;
    slot.unknown_ = false;
    slot.residentSince_ = now;
    residency.failures_.erase(adapter);
}

bool failLoad(Residency &residency, const AdapterKey &adapter, const LoadPolicy &policy, Time now)
{
    residency.slots_.erase(adapter);
    LoadFailures &failures = residency.failures_[adapter];
    if (failures.givenUp_)
        failures = {};
    ++failures.count_;
    failures.givenUp_ = failures.count_ >= policy.tries_;
    const Duration backoff = policy.backoff_ * (std::int64_t(1) << (failures.count_ - 1));
    failures.retryAt_ = now + (failures.givenUp_ ? policy.giveUp_ : backoff);
    return failures.givenUp_;
}

bool backsOff(const Residency &residency, const AdapterKey &adapter, Time now)
{
    const auto found = residency.failures_.find(adapter);
    return found != residency.failures_.end() && now < found->second.retryAt_;
}

std::optional<Duration> givenUpFor(const Residency &residency, const AdapterKey &adapter, Time now)
{
    const auto found = residency.failures_.find(adapter);
    if (found == residency.failures_.end() || !found->second.givenUp_)
        return std::nullopt;
    if (now >= found->second.retryAt_)
        return std::nullopt;
    return found->second.retryAt_ - now;
}

std::uint32_t slotsKept(const Residency &residency)
{
    const auto kept = [](const auto &entry) {
        return entry.second.stage_ != AdapterStage::Unloading && !entry.second.draining_;
    };
    const auto count = std::count_if(residency.slots_.begin(), residency.slots_.end(), kept);
    return static_cast<std::uint32_t>(count);
}

double usefulness(const Residency &residency, const AdapterKey &adapter, const LoadPolicy &policy,
                  Time now)
{
    const auto found = residency.uses_.find(adapter);
    return found == residency.uses_.end() ? 0 : countOf(found->second, policy, now);
}

void expireFailures(Residency &residency, const LoadPolicy &policy, Time now)
{
    const auto past = [&](const auto &entry) {
        return now - entry.second.retryAt_ > policy.giveUp_ * failureMemory;
    };
    std::erase_if(residency.failures_, past);
}

void expireUses(Residency &residency, const LoadPolicy &policy, Time now)
{
    const auto past = [&](const auto &entry) {
        return countOf(entry.second, policy, now) < leastCount;
    };
    std::erase_if(residency.uses_, past);
}

} // namespace eelgrasscove
