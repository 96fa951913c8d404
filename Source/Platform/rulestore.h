#pragma once

/// Reads and changes the rule revisions in the key-value service. A change is a compare-and-swap on
/// the head, so that of two operators at once one learns of the other's revision; a lost reply is
/// settled by sending the same change again and reading back.

#include "Platform/rulehead.h"

#include <eelgrasscove/platform.h>
#include <eelgrasscove/result.h>

#include <functional>
#include <string>

namespace eelgrasscove {

/// One call of the key-value service, waiting for its outcome.
using KvCall = std::function<KvOutcome(const KvOperation &)>;

/// Why the store gave or took nothing.
enum class RuleStoreFailure {
    /// The service didn't answer; nothing was changed.
    Unreachable,
    /// The service stopped answering while the change was under way; it may still take effect.
    Unknown,
    /// Another change came first.
    Conflict,
    /// What is stored doesn't hold together.
    Damaged,
    /// The revision isn't kept, or there is none yet.
    NoSuchRevision,
};

constexpr NameTable<RuleStoreFailure, 5> ruleStoreFailureNames = {{
    {RuleStoreFailure::Unreachable, "unreachable"},
    {RuleStoreFailure::Unknown, "unknown"},
    {RuleStoreFailure::Conflict, "conflict"},
    {RuleStoreFailure::Damaged, "damaged"},
    {RuleStoreFailure::NoSuchRevision, "no_such_revision"},
}};

struct RuleStoreError
{
    RuleStoreFailure failure_ = RuleStoreFailure::Unreachable;
    std::string message_;
};

/// The head as it was read.
struct StoredHead
{
    RuleHead head_;
    /// What a change of it is conditioned on; 0 before the first revision.
    std::int64_t modRevision_ = 0;
};

Result<StoredHead, RuleStoreError> readRuleHead(const KvCall &call);

Result<std::string, RuleStoreError> readRuleText(const KvCall &call, const RuleRecord &record);

/// A change of the rule file.
struct RuleChange
{
    /// The head that the text was made from.
    StoredHead base_;
    std::string text_;
    std::string who_;
    /// Seconds since 1970.
    std::int64_t atSeconds_ = 0;
    /// Random and unique to this change.
    std::string writeId_;
};

/// Waits between tries; the try's number counts from 1.
using RetryWait = std::function<void(int retry)>;

/// Writes the next revision; its record on success.
Result<RuleRecord, RuleStoreError> storeRules(const KvCall &call, const RuleChange &change,
                                              const RetryWait &wait);

} // namespace eelgrasscove
