#pragma once

/// The key-value store behind the platform stand-in: revisions, conditions, leases and the history
/// that watches read. Pure: time comes in, in microseconds of the monotonic clock.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace standins {

struct KvEntry
{
    std::string key_;
    std::string value_;
    std::int64_t createRevision_ = 0;
    std::int64_t modRevision_ = 0;
    std::int64_t version_ = 0;
    std::int64_t lease_ = 0;
};

/// One key, or where end_ is set the keys from key_ up to but without end_; "\0" has no upper end.
struct KeyRange
{
    std::string key_;
    std::string end_;
};

bool contains(const KeyRange &range, const std::string &key);

/// One change, as watches see it.
struct KvEvent
{
    bool deleted_ = false;
    KvEntry entry_;
};

struct Lease
{
    std::int64_t ttlSeconds_ = 0;
    std::int64_t expiresAtMicros_ = 0;
};

struct KeyValueStore
{
    std::int64_t revision_ = 1;
    std::map<std::string, KvEntry> entries_;
    std::vector<KvEvent> history_;
    std::map<std::int64_t, Lease> leases_;
    std::int64_t nextLease_ = 1000;
};

enum class CompareTarget {
    Version,
    Create,
    Mod,
    Value,
};

enum class CompareResult {
    Equal,
    Greater,
    Less,
    NotEqual,
};

struct Compare
{
    std::string key_;
    CompareTarget target_ = CompareTarget::Version;
    CompareResult result_ = CompareResult::Equal;
    std::int64_t number_ = 0;
    std::string value_;
};

enum class StoreOperationKind {
    Range,
    Put,
    Delete,
};

struct StoreOperation
{
    StoreOperationKind kind_ = StoreOperationKind::Range;
    KeyRange range_;
    std::string value_;
    std::int64_t lease_ = 0;
    /// Most keys a range returns; 0 for all.
    std::int64_t limit_ = 0;
    bool keysOnly_ = false;
    bool countOnly_ = false;
};

struct StoreTransaction
{
    std::vector<Compare> compares_;
    std::vector<StoreOperation> success_;
    std::vector<StoreOperation> failure_;
};

struct StoreOutcome
{
    StoreOperationKind kind_ = StoreOperationKind::Range;
    std::vector<KvEntry> entries_;
    /// Keys found by a range, or deleted.
    std::int64_t count_ = 0;
    bool more_ = false;
};

struct TransactionOutcome
{
    bool succeeded_ = false;
    /// Whether anything was changed.
    bool wrote_ = false;
    std::vector<StoreOutcome> outcomes_;
    /// Set where the call is refused as a whole; nothing was changed.
    std::string error_;
};

/// Runs one transaction; all its changes share one revision.
TransactionOutcome runTransaction(KeyValueStore &store, const StoreTransaction &transaction);

/// id 0 picks one. The lease's id; empty where the id is taken.
std::optional<std::int64_t> grantLease(KeyValueStore &store, std::int64_t id,
                                       std::int64_t ttlSeconds, std::int64_t nowMicros);

/// Extends the lease; its time to live in seconds, 0 where there is no such lease.
std::int64_t keepLeaseAlive(KeyValueStore &store, std::int64_t id, std::int64_t nowMicros);

/// Deletes the lease and its keys; false where there is none.
bool revokeLease(KeyValueStore &store, std::int64_t id);

/// Revokes what has run out.
void expireLeases(KeyValueStore &store, std::int64_t nowMicros);

} // namespace standins
