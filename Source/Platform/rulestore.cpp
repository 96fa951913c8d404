#include "Platform/rulestore.h"

#include "Contract/keydigest.h"

#include <fmt/core.h>
#include <optional>

namespace eelgrasscove {

namespace {

/// Times a change is sent again to settle a lost reply.
constexpr int mostRetries = 8;

/// Most operations in one transaction of the service; pruned chunks have to fit.
constexpr std::size_t mostPrunedChunks = 64;

RuleStoreError unreachable(const KvOutcome &outcome)
{
    return {RuleStoreFailure::Unreachable,
            "the key-value service doesn't answer: " + outcome.error_};
}

RuleRecord recordFor(const RuleChange &change)
{
    const RuleRecord *newest = newestRecord(change.base_.head_);
    RuleRecord record;
    record.revision_.value_ = newest == nullptr ? 1 : newest->revision_.value_ + 1;
    record.chunks_ = splitChunks(change.text_).size();
    record.bytes_ = change.text_.size();
    record.digest_ = textDigest(change.text_);
    record.writeId_ = change.writeId_;
    record.who_ = change.who_;
    record.atSeconds_ = change.atSeconds_;
    return record;
}

KvCondition headUnchanged(const RuleChange &change)
{
    return {ruleHeadKey, change.base_.modRevision_};
}

/// Drops the oldest records beyond those kept, and their chunks.
void prune(RuleHead &head, std::vector<KvWrite> &writes)
{
    while (head.records_.size() > revisionsKept) {
        const RuleRecord &oldest = head.records_.front();
        for (std::uint64_t number = 0; number < oldest.chunks_; ++number) {
            if (writes.size() < mostPrunedChunks)
                writes.push_back({chunkKey(oldest, number), std::nullopt});
        }
        head.records_.erase(head.records_.begin());
    }
}

/// The transaction that puts the revision in force.
KvOperation headWrite(const RuleChange &change, const RuleRecord &record)
{
    KvOperation operation;
    operation.conditions_.push_back(headUnchanged(change));
    RuleHead head = change.base_.head_;
    head.records_.push_back(record);
    if (record.chunks_ == 1)
        operation.writes_.push_back({chunkKey(record, 0), change.text_});
    prune(head, operation.writes_);
    operation.writes_.push_back({ruleHeadKey, encodeRuleHead(head)});
    return operation;
}

/// Whether the change stands in the head as it is now.
bool isStored(const RuleHead &head, const RuleChange &change)
{
    for (const RuleRecord &record : head.records_) {
        if (record.writeId_ == change.writeId_)
            return true;
    }
    return false;
}

RuleStoreError conflictWith(const RuleHead &head)
{
    const RuleRecord *newest = newestRecord(head);
    const std::string made = newest == nullptr
        ? std::string("another change")
        : fmt::format("revision {} by {}", newest->revision_.value_, newest->who_);
    return {RuleStoreFailure::Conflict, made + " came first"};
}

/// Sends an operation until it surely took effect or failed; a lost reply leaves both open, and the
/// operation's conditions keep a second effect out.
KvOutcome callUntilSettled(const KvCall &call, const KvOperation &operation, const RetryWait &wait)
{
    bool maybeWritten = false;
    KvOutcome outcome = call(operation);
    for (int retry = 1; retry <= mostRetries; ++retry) {
        const bool settled =
            outcome.status_ == KvStatus::Succeeded || outcome.status_ == KvStatus::ConditionFailed;
        if (settled)
            return outcome;
        maybeWritten = maybeWritten || outcome.status_ == KvStatus::Unknown;
        wait(retry);
        outcome = call(operation);
    }
    if (maybeWritten && outcome.status_ == KvStatus::NotSent)
        outcome.status_ = KvStatus::Unknown;
    return outcome;
}

/// Chunks of a text that doesn't fit into one transaction go ahead of the head. Nobody reads them
/// before the head names them.
std::optional<RuleStoreError> writeChunks(const KvCall &call, const RuleChange &change,
                                          const RuleRecord &record, const RetryWait &wait)
{
    const std::vector<std::string> chunks = splitChunks(change.text_);
    for (std::size_t number = 0; number < chunks.size(); ++number) {
        KvOperation operation;
        operation.conditions_.push_back(headUnchanged(change));
        operation.writes_.push_back({chunkKey(record, number), chunks[number]});
        const KvOutcome outcome = callUntilSettled(call, operation, wait);
        if (outcome.status_ == KvStatus::ConditionFailed)
            return RuleStoreError{RuleStoreFailure::Conflict, "another change came first"};
        if (outcome.status_ != KvStatus::Succeeded)
            return unreachable(outcome);
    }
    return std::nullopt;
}

/// Removes the chunks of a change that lost; they are known to nobody.
void removeChunks(const KvCall &call, const RuleRecord &record)
{
    for (std::uint64_t number = 0; number < record.chunks_; ++number) {
        KvOperation operation;
        operation.writes_.push_back({chunkKey(record, number), std::nullopt});
        call(operation);
    }
}

Result<RuleRecord, RuleStoreError> settleRefused(const KvCall &call, const RuleChange &change,
                                                 const RuleRecord &record)
{
    const Result<StoredHead, RuleStoreError> stored = readRuleHead(call);
    if (!ok(stored)) {
        return RuleStoreError{RuleStoreFailure::Unknown,
                              "the outcome can't be read back: " + errorOf(stored).message_};
    }
    // An earlier sending of the same change, whose reply was lost, may be what came first.
    if (isStored(valueOf(stored).head_, change))
        return record;
    removeChunks(call, record);
    return conflictWith(valueOf(stored).head_);
}

} // namespace

Result<StoredHead, RuleStoreError> readRuleHead(const KvCall &call)
{
    KvOperation operation;
    operation.reads_ = {{ruleHeadKey, false}};
    const KvOutcome outcome = call(operation);
    if (outcome.status_ != KvStatus::Succeeded)
        return unreachable(outcome);
    StoredHead stored;
    if (outcome.reads_.empty())
        return stored;
    Result<RuleHead, RuleHeadError> head = decodeRuleHead(outcome.reads_.front().value_);
    if (!ok(head))
        return RuleStoreError{RuleStoreFailure::Damaged, errorOf(head).message_};
    stored.head_ = valueOf(std::move(head));
    stored.modRevision_ = outcome.reads_.front().modRevision_;
    return stored;
}

Result<std::string, RuleStoreError> readRuleText(const KvCall &call, const RuleRecord &record)
{
    std::vector<KvPair> chunks;
    for (const KvRead &read : chunkReads(record)) {
        KvOperation operation;
        operation.reads_ = {read};
        const KvOutcome outcome = call(operation);
        if (outcome.status_ != KvStatus::Succeeded)
            return unreachable(outcome);
        chunks.insert(chunks.end(), outcome.reads_.begin(), outcome.reads_.end());
    }
    Result<std::string, RuleHeadError> text = joinChunks(record, chunks);
    if (!ok(text))
        return RuleStoreError{RuleStoreFailure::Damaged, errorOf(text).message_};
    return valueOf(std::move(text));
}

Result<RuleRecord, RuleStoreError> storeRules(const KvCall &call, const RuleChange &change,
                                              const RetryWait &wait)
{
    const RuleRecord record = recordFor(change);
    if (record.chunks_ > 1) {
        const std::optional<RuleStoreError> refused = writeChunks(call, change, record, wait);
        if (refused && refused->failure_ == RuleStoreFailure::Conflict)
            return settleRefused(call, change, record);
        if (refused)
            return *refused;
    }
    const KvOutcome outcome = callUntilSettled(call, headWrite(change, record), wait);
    if (outcome.status_ == KvStatus::Succeeded)
        return record;
    if (outcome.status_ == KvStatus::ConditionFailed)
        return settleRefused(call, change, record);
    if (outcome.status_ == KvStatus::NotSent)
        return unreachable(outcome);
    return RuleStoreError{RuleStoreFailure::Unknown,
                          "the reply was lost and the outcome can't be read back: "
                              + outcome.error_};
}

} // namespace eelgrasscove
