#include "StandIns/keyvalue.h"

#include <set>

namespace standins {

namespace {

constexpr std::int64_t microsPerSecond = 1000000;

std::int64_t comparedNumber(const KvEntry &entry, CompareTarget target)
{
    switch (target) {
    case CompareTarget::Create:
        return entry.createRevision_;
    case CompareTarget::Mod:
        return entry.modRevision_;
    case CompareTarget::Version:
    case CompareTarget::Value:
        break;
    }
    return entry.version_;
}

template <class T>
bool compareValues(const T &have, const T &want, CompareResult result)
{
    switch (result) {
    case CompareResult::Equal:
        return have == want;
    case CompareResult::Greater:
        return have > want;
    case CompareResult::Less:
        return have < want;
    case CompareResult::NotEqual:
        break;
    }
    return have != want;
}

bool holds(const KeyValueStore &store, const Compare &compare)
{
    const auto found = store.entries_.find(compare.key_);
    const bool exists = found != store.entries_.end();
    if (compare.target_ == CompareTarget::Value)
        return exists && compareValues(found->second.value_, compare.value_, compare.result_);
    const std::int64_t have = exists ? comparedNumber(found->second, compare.target_) : 0;
    return compareValues(have, compare.number_, compare.result_);
}

std::vector<KvEntry> entriesIn(const KeyValueStore &store, const KeyRange &range)
{
    std::vector<KvEntry> entries;
    for (auto at = store.entries_.lower_bound(range.key_); at != store.entries_.end(); ++at) {
        if (!contains(range, at->first))
            break;
        entries.push_back(at->second);
    }
    return entries;
}

StoreOutcome readRange(const KeyValueStore &store, const StoreOperation &operation)
{
    StoreOutcome outcome;
    outcome.entries_ = entriesIn(store, operation.range_);
    outcome.count_ = static_cast<std::int64_t>(outcome.entries_.size());
    if (operation.limit_ > 0 && outcome.count_ > operation.limit_) {
        outcome.entries_.resize(static_cast<std::size_t>(operation.limit_));
        outcome.more_ = true;
    }
    if (operation.countOnly_)
        outcome.entries_.clear();
    for (KvEntry &entry : outcome.entries_) {
        if (operation.keysOnly_)
            entry.value_.clear();
    }
    return outcome;
}

void putEntry(KeyValueStore &store, const StoreOperation &operation, std::int64_t revision)
{
    KvEntry &entry = store.entries_[operation.range_.key_];
    if (entry.version_ == 0)
        entry.createRevision_ = revision;
    entry.key_ = operation.range_.key_;
    entry.value_ = operation.value_;
    entry.modRevision_ = revision;
    entry.version_ += 1;
    entry.lease_ = operation.lease_;
    store.history_.push_back({false, entry});
}

std::int64_t deleteEntries(KeyValueStore &store, const KeyRange &range, std::int64_t revision)
{
    const std::vector<KvEntry> entries = entriesIn(store, range);
    for (const KvEntry &entry : entries) {
        store.entries_.erase(entry.key_);
        KvEntry gone;
        gone.key_ = entry.key_;
        gone.modRevision_ = revision;
        store.history_.push_back({true, gone});
    }
    return static_cast<std::int64_t>(entries.size());
}

std::string refusal(const KeyValueStore &store, const std::vector<StoreOperation> &operations)
{
    std::set<std::string> puts;
    for (const StoreOperation &operation : operations) {
        if (operation.range_.key_.empty())
            return "etcdserver: key is not provided";
        if (operation.kind_ != StoreOperationKind::Put)
            continue;
        if (!puts.insert(operation.range_.key_).second)
            return "etcdserver: duplicate key given in txn request";
        if (operation.lease_ != 0 && store.leases_.count(operation.lease_) == 0)
            return "etcdserver: requested lease not found";
    }
    return {};
}

StoreOutcome runOperation(KeyValueStore &store, const StoreOperation &operation,
                          std::int64_t writeRevision, bool &wrote)
{
    if (operation.kind_ == StoreOperationKind::Range)
        return readRange(store, operation);
    StoreOutcome outcome;
    outcome.kind_ = operation.kind_;
    if (operation.kind_ == StoreOperationKind::Put) {
        putEntry(store, operation, writeRevision);
        wrote = true;
        return outcome;
    }
    outcome.count_ = deleteEntries(store, operation.range_, writeRevision);
    wrote = wrote || outcome.count_ > 0;
    return outcome;
}

} // namespace

bool contains(const KeyRange &range, const std::string &key)
{
    if (range.end_.empty())
        return key == range.key_;
    if (range.end_ == std::string(1, '\0'))
        return key >= range.key_;
    return key >= range.key_ && key < range.end_;
}

TransactionOutcome runTransaction(KeyValueStore &store, const StoreTransaction &transaction)
{
    TransactionOutcome result;
    result.succeeded_ = true;
    for (const Compare &compare : transaction.compares_)
        result.succeeded_ = result.succeeded_ && holds(store, compare);
    const auto &operations = result.succeeded_ ? transaction.success_ : transaction.failure_;
    result.error_ = refusal(store, operations);
    if (!result.error_.empty())
        return result;
    const std::int64_t writeRevision = store.revision_ + 1;
    for (const StoreOperation &operation : operations)
        result.outcomes_.push_back(runOperation(store, operation, writeRevision, result.wrote_));
    if (result.wrote_)
        store.revision_ = writeRevision;
    return result;
}

std::optional<std::int64_t> grantLease(KeyValueStore &store, std::int64_t id,
                                       std::int64_t ttlSeconds, std::int64_t nowMicros)
{
    if (id == 0)
        id = store.nextLease_++;
    if (store.leases_.count(id) != 0)
        return std::nullopt;
    store.leases_[id] = {ttlSeconds, nowMicros + ttlSeconds * microsPerSecond};
    return id;
}

std::int64_t keepLeaseAlive(KeyValueStore &store, std::int64_t id, std::int64_t nowMicros)
{
    const auto found = store.leases_.find(id);
    if (found == store.leases_.end())
        return 0;
    Lease &lease = found->second;
    lease.expiresAtMicros_ = nowMicros + lease.ttlSeconds_ * microsPerSecond;
    return lease.ttlSeconds_;
}

bool revokeLease(KeyValueStore &store, std::int64_t id)
{
    if (store.leases_.erase(id) == 0)
        return false;
    std::vector<std::string> keys;
    for (const auto &[key, entry] : store.entries_) {
        if (entry.lease_ == id)
            keys.push_back(key);
    }
    if (keys.empty())
        return true;
    store.revision_ += 1;
    for (const std::string &key : keys)
        deleteEntries(store, {key, {}}, store.revision_);
    return true;
}

void expireLeases(KeyValueStore &store, std::int64_t nowMicros)
{
    std::vector<std::int64_t> expired;
    for (const auto &[id, lease] : store.leases_) {
        if (lease.expiresAtMicros_ <= nowMicros)
            expired.push_back(id);
    }
    for (const std::int64_t id : expired)
        revokeLease(store, id);
}

} // namespace standins
