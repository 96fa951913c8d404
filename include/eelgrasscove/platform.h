#pragma once

/// What the platform gives: its list of VMs and its key-value service.

#include <eelgrasscove/messages.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace eelgrasscove {

/// One reading of the platform's list.
struct VmList
{
    std::vector<ListedVm> vms_;
};

/// Keys are written without the system's prefix, for example "rules/head"; the platform service
/// adds and removes it.

/// Holds where the key's last change has this revision; 0 demands that the key doesn't exist.
struct KvCondition
{
    std::string key_;
    std::int64_t modRevision_ = 0;
};

/// A change of one key; no value deletes it. leaseId_ 0 keeps the value for good.
struct KvWrite
{
    std::string key_;
    std::optional<std::string> value_;
    std::int64_t leaseId_ = 0;
};

/// A reading of one key, or of all keys that begin with it.
struct KvRead
{
    std::string key_;
    bool prefix_ = false;
};

/// One call of the key-value service: the writes take effect together if all conditions hold; the
/// reads are answered after them in either case. tag_ comes back with the outcome.
struct KvOperation
{
    std::uint64_t tag_ = 0;
    std::vector<KvCondition> conditions_;
    std::vector<KvWrite> writes_;
    std::vector<KvRead> reads_;
    /// Above 0, the call grants a lease of so many seconds and does nothing else.
    std::int64_t grantLeaseSeconds_ = 0;
};

struct KvPair
{
    std::string key_;
    std::string value_;
    std::int64_t modRevision_ = 0;
};

enum class KvStatus {
    Succeeded,
    /// A condition didn't hold; nothing was written.
    ConditionFailed,
    /// The call never reached the service, or was turned down by it; nothing was written.
    NotSent,
    /// No reply came; the writes may have taken effect.
    Unknown,
};

constexpr NameTable<KvStatus, 4> kvStatusNames = {{
    {KvStatus::Succeeded, "succeeded"},
    {KvStatus::ConditionFailed, "condition_failed"},
    {KvStatus::NotSent, "not_sent"},
    {KvStatus::Unknown, "unknown"},
}};

struct KvOutcome
{
    std::uint64_t tag_ = 0;
    KvStatus status_ = KvStatus::Unknown;
    std::vector<KvPair> reads_;
    /// The service's revision when it answered.
    std::int64_t revision_ = 0;
    /// The lease granted, if one was asked for.
    std::int64_t leaseId_ = 0;
    /// What went wrong, for logs; empty on success.
    std::string error_;
};

/// The platform's key-value service holds a rule file of this revision.
struct StoredRules
{
    Revision revision_;
    std::string text_;
};

/// The platform answers, or has stopped answering.
struct PlatformReachable
{
    bool reachable_ = false;
};

/// What a process hears from the platform.
using PlatformEvent = std::variant<VmList, StoredRules, KvOutcome, PlatformReachable>;

} // namespace eelgrasscove
