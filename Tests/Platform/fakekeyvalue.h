#pragma once

/// A key-value service in memory, with the faults that the real one has: calls that don't arrive,
/// and replies that are lost before or after the call took effect, also much later.

#include <eelgrasscove/platform.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>

namespace eelgrasscove {

/// Chances of each fault per call, in percent.
struct FakeFaults
{
    int notSent_ = 0;
    int lostBefore_ = 0;
    int lostAfter_ = 0;
    /// The reply is lost and the call takes effect at some later call.
    int late_ = 0;
};

struct FakeKeyValue
{
    std::map<std::string, KvPair> pairs_;
    std::int64_t revision_ = 1;
    std::deque<KvOperation> late_;
    std::mt19937_64 random_{1};
    FakeFaults faults_;
};

inline bool conditionsHold(const FakeKeyValue &store, const KvOperation &operation)
{
    for (const KvCondition &condition : operation.conditions_) {
        const auto found = store.pairs_.find(condition.key_);
        const std::int64_t present = found == store.pairs_.end() ? 0 : found->second.modRevision_;
        if (present != condition.modRevision_)
            return false;
    }
    return true;
}

inline void addRead(const FakeKeyValue &store, const KvRead &read, KvOutcome &outcome)
{
    for (const auto &[key, pair] : store.pairs_) {
        const bool asked =
            read.prefix_ ? key.compare(0, read.key_.size(), read.key_) == 0 : key == read.key_;
        if (asked)
            outcome.reads_.push_back(pair);
    }
}

/// What the service does with a call that reaches it.
inline KvOutcome applyOperation(FakeKeyValue &store, const KvOperation &operation)
{
    KvOutcome outcome;
    outcome.tag_ = operation.tag_;
    const bool holds = conditionsHold(store, operation);
    outcome.status_ = holds ? KvStatus::Succeeded : KvStatus::ConditionFailed;
    if (operation.grantLeaseSeconds_ > 0)
        outcome.leaseId_ = ++store.revision_;
    if (holds && !operation.writes_.empty()) {
        store.revision_ += 1;
        for (const KvWrite &write : operation.writes_) {
            if (write.value_) {
                store.pairs_[write.key_] = {write.key_, *write.value_, store.revision_};
            } else {
                store.pairs_.erase(write.key_);
            }
        }
    }
    for (const KvRead &read : operation.reads_)
        addRead(store, read, outcome);
    outcome.revision_ = store.revision_;
    return outcome;
}

inline bool chance(FakeKeyValue &store, int percent)
{
    return std::uniform_int_distribution<int>(1, 100)(store.random_) <= percent;
}

/// Lets some calls that were held back take effect.
inline void applyLate(FakeKeyValue &store, int percent)
{
    std::deque<KvOperation> kept;
    for (const KvOperation &operation : store.late_) {
        if (chance(store, percent)) {
            applyOperation(store, operation);
        } else {
            kept.push_back(operation);
        }
    }
    store.late_ = kept;
}

/// One call with the store's faults.
inline KvOutcome callFake(FakeKeyValue &store, const KvOperation &operation)
{
    KvOutcome lost;
    lost.tag_ = operation.tag_;
    lost.status_ = KvStatus::Unknown;
    applyLate(store, 30);
    if (chance(store, store.faults_.notSent_)) {
        lost.status_ = KvStatus::NotSent;
        return lost;
    }
    if (chance(store, store.faults_.lostBefore_))
        return lost;
    if (chance(store, store.faults_.late_)) {
        store.late_.push_back(operation);
        return lost;
    }
    const KvOutcome outcome = applyOperation(store, operation);
    return chance(store, store.faults_.lostAfter_) ? lost : outcome;
}

} // namespace eelgrasscove
