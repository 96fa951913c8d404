#include "Contract/claims.h"

#include <algorithm>
#include <utility>

namespace eelgrasscove {

namespace {

std::string guardKey(const Claims &claims)
{
    return "claimguards/" + claims.vm_.text_;
}

std::string recordKey(const Claim &claim)
{
    return claimKey(claim.request_.account_, claim.request_.idempotencyKey_);
}

Duration nextBackoff(Duration backoff, const ClaimPolicy &policy)
{
    return std::clamp(backoff * 2, policy.minBackoff_, policy.maxBackoff_);
}

std::uint64_t newTag(Claims &claims)
{
    claims.lastTag_ += 1;
    return claimTagBase + claims.lastTag_;
}

void submit(Claims &claims, Claim &claim, KvOperation operation, ClaimActions &actions)
{
    claim.tag_ = newTag(claims);
    operation.tag_ = claim.tag_;
    claims.requestByTag_[claim.tag_] = claim.request_.request_;
    actions.emplace_back(std::move(operation));
}

void addVerdict(Claim &claim, ClaimVerdict verdict, ClaimActions &actions)
{
    if (claim.hasVerdict_)
        return;
    claim.hasVerdict_ = true;
    actions.emplace_back(ClaimDecided{claim.request_.request_, std::move(verdict)});
}

ClaimRefused refusal(const Claims &claims)
{
    return {claims.policy_.retryAfter_};
}

void eraseClaim(Claims &claims, const RequestId &request)
{
    claims.claims_.erase(request);
}

void retryLater(const Claims &claims, Claim &claim, Time now)
{
    claim.backoff_ = nextBackoff(claim.backoff_, claims.policy_);
    claim.retryAt_ = now + claim.backoff_;
}

/// Changes the stage and makes its first step due at once; advance() performs the step.
void enterStage(Claim &claim, ClaimStage stage, Time now)
{
    claim.stage_ = stage;
    claim.backoff_ = Duration(0);
    claim.retryAt_ = now;
}

/// Starts to remove the record of a request that will not run, including one that a pending create
/// may still write.
void startRelease(Claim &claim, Time now)
{
    enterStage(claim, claim.hasUnknownCreate_ ? ClaimStage::Fencing : ClaimStage::Deleting, now);
}

// Prerequisites: the lease and the guard.

void submitLease(Claims &claims, ClaimActions &actions)
{
    KvOperation operation;
    // A lease is used for up to two periods, so a record created at the end is still kept for the
    // full retention time.
    const Duration timeToLive = claims.policy_.retention_ + 2 * claims.policy_.leasePeriod_;
    operation.grantLeaseSeconds_ =
        std::chrono::duration_cast<std::chrono::seconds>(timeToLive).count();
    operation.tag_ = claims.lease_.tag_ = newTag(claims);
    actions.emplace_back(std::move(operation));
}

void submitGuard(Claims &claims, ClaimActions &actions)
{
    KvOperation operation;
    operation.writes_ = {{guardKey(claims), "", claims.lease_.value_}};
    operation.tag_ = claims.guard_.tag_ = newTag(claims);
    actions.emplace_back(std::move(operation));
}

bool canRequest(const ClaimPrerequisite &prerequisite, Time now)
{
    return prerequisite.mustObtain_ && prerequisite.tag_ == 0 && prerequisite.retryAt_ <= now;
}

void requestPrerequisites(Claims &claims, Time now, ClaimActions &actions)
{
    if (claims.claims_.empty())
        return;
    ClaimPrerequisite &lease = claims.lease_;
    if (lease.value_ != 0 && now - lease.obtainedAt_ >= claims.policy_.leasePeriod_)
        lease.mustObtain_ = true;
    if (canRequest(lease, now))
        submitLease(claims, actions);
    if (lease.value_ != 0 && canRequest(claims.guard_, now))
        submitGuard(claims, actions);
}

void updatePrerequisite(const Claims &claims, ClaimPrerequisite &prerequisite, bool succeeded,
                        std::int64_t value, Time now)
{
    prerequisite.tag_ = 0;
    if (!succeeded) {
        prerequisite.backoff_ = nextBackoff(prerequisite.backoff_, claims.policy_);
        prerequisite.retryAt_ = now + prerequisite.backoff_;
        return;
    }
    prerequisite.value_ = value;
    prerequisite.obtainedAt_ = now;
    prerequisite.mustObtain_ = false;
    prerequisite.backoff_ = Duration(0);
}

/// False for a lease so old that it could expire before the retention time of a new record ends.
bool leaseUsable(const Claims &claims, Time now)
{
    return claims.lease_.value_ != 0
        && now - claims.lease_.obtainedAt_ < 2 * claims.policy_.leasePeriod_;
}

bool guardUsable(const Claims &claims)
{
    return claims.guard_.value_ != 0 && !claims.guard_.mustObtain_;
}

/// Refuses the claims without a pending or unknown create, because the service is unavailable.
void refuseUnsubmitted(Claims &claims, ClaimActions &actions)
{
    for (auto next = claims.claims_.begin(); next != claims.claims_.end();) {
        const auto current = next++;
        Claim &claim = current->second;
        const bool isUnsubmitted =
            claim.stage_ == ClaimStage::Creating && claim.tag_ == 0 && !claim.hasUnknownCreate_;
        if (!isUnsubmitted)
            continue;
        addVerdict(claim, refusal(claims), actions);
        claims.claims_.erase(current);
    }
}

// Operations of one claim.

void submitCreate(Claims &claims, Claim &claim, ClaimActions &actions)
{
    ClaimRecord record;
    record.request_ = claim.request_.request_;
    record.fingerprint_ = claim.request_.fingerprint_;
    claim.createGuardRevision_ = claims.guard_.value_;
    KvOperation operation;
    operation.conditions_ = {{recordKey(claim), 0}, {guardKey(claims), claim.createGuardRevision_}};
    operation.writes_ = {{recordKey(claim), encodeClaimRecord(record), claims.lease_.value_}};
    operation.reads_ = {{recordKey(claim), false}};
    submit(claims, claim, std::move(operation), actions);
}

void submitFinish(Claims &claims, Claim &claim, ClaimActions &actions)
{
    ClaimRecord record;
    record.request_ = claim.request_.request_;
    record.fingerprint_ = claim.request_.fingerprint_;
    record.state_ = ClaimState::Answered;
    record.response_ = claim.response_;
    KvOperation operation;
    operation.conditions_ = {{recordKey(claim), claim.modRevision_}};
    operation.writes_ = {{recordKey(claim), encodeClaimRecord(record), claims.lease_.value_}};
    submit(claims, claim, std::move(operation), actions);
}

void submitDelete(Claims &claims, Claim &claim, ClaimActions &actions)
{
    KvOperation operation;
    if (claim.modRevision_ == 0) {
        operation.reads_ = {{recordKey(claim), false}};
    } else {
        operation.conditions_ = {{recordKey(claim), claim.modRevision_}};
        operation.writes_ = {{recordKey(claim), std::nullopt}};
    }
    submit(claims, claim, std::move(operation), actions);
}

/// Refuses a request past its deadline and starts to clean up its creates. Returns false where
/// nothing is left to do.
bool refuseExpired(Claims &claims, Claim &claim, Time now, ClaimActions &actions)
{
    addVerdict(claim, refusal(claims), actions);
    if (claim.tag_ != 0)
        return true;
    if (!claim.hasUnknownCreate_)
        return false;
    startRelease(claim, now);
    return true;
}

/// Requests a newer guard than the one that the last create was conditioned on; once it is written,
/// no create of the claim can take effect.
void advanceFencing(Claims &claims, Claim &claim, Time now)
{
    if (claims.guard_.value_ == claim.createGuardRevision_ && !claims.guard_.mustObtain_) {
        claims.guard_.mustObtain_ = true;
        claims.guard_.retryAt_ = now;
    }
    if (guardUsable(claims) && claims.guard_.value_ > claim.createGuardRevision_) {
        claim.hasUnknownCreate_ = false;
        enterStage(claim, ClaimStage::Deleting, now);
    }
}

/// Performs the claim's next step if one is due. Returns false where the claim has ended.
bool advance(Claims &claims, Claim &claim, Time now, ClaimActions &actions)
{
    if (claim.stage_ == ClaimStage::Creating && now >= claim.request_.deadline_
        && !refuseExpired(claims, claim, now, actions))
        return false;
    if (claim.tag_ != 0 || claim.retryAt_ > now)
        return true;
    if (claim.stage_ == ClaimStage::Fencing)
        advanceFencing(claims, claim, now);
    switch (claim.stage_) {
    case ClaimStage::Creating:
        claim.waitsForPrerequisites_ = !leaseUsable(claims, now) || !guardUsable(claims);
        if (!claim.waitsForPrerequisites_)
            submitCreate(claims, claim, actions);
        return true;
    case ClaimStage::Finishing:
        if (now >= claim.storeDeadline_)
            return false;
        submitFinish(claims, claim, actions);
        return true;
    case ClaimStage::Deleting:
        submitDelete(claims, claim, actions);
        return true;
    case ClaimStage::Held:
    case ClaimStage::Fencing:
        return true;
    }
    return true;
}

void advanceAll(Claims &claims, Time now, ClaimActions &actions)
{
    requestPrerequisites(claims, now, actions);
    for (auto next = claims.claims_.begin(); next != claims.claims_.end();) {
        const auto current = next++;
        if (!advance(claims, current->second, now, actions))
            claims.claims_.erase(current);
    }
    // A claim may have requested a newer guard.
    requestPrerequisites(claims, now, actions);
}

void handlePrerequisiteOutcome(Claims &claims, ClaimPrerequisite &prerequisite, std::int64_t value,
                               const KvOutcome &outcome, Time now, ClaimActions &actions)
{
    updatePrerequisite(claims, prerequisite, outcome.status_ == KvStatus::Succeeded, value, now);
    // The lease that the guard is written under may have expired.
    if (outcome.status_ == KvStatus::NotSent)
        claims.lease_.mustObtain_ = true;
    if (outcome.status_ == KvStatus::NotSent && !(leaseUsable(claims, now) && guardUsable(claims)))
        refuseUnsubmitted(claims, actions);
    advanceAll(claims, now, actions);
}

void advanceOne(Claims &claims, const RequestId &request, Time now, ClaimActions &actions)
{
    requestPrerequisites(claims, now, actions);
    const auto found = claims.claims_.find(request);
    if (found == claims.claims_.end())
        return;
    if (!advance(claims, found->second, now, actions))
        claims.claims_.erase(found);
    requestPrerequisites(claims, now, actions);
}

// Handling of outcomes.

/// Returns the record read under the claim's key, or nothing where none exists. A malformed record
/// is treated as one of another request.
std::optional<ClaimRecord> storedRecord(const KvOutcome &outcome)
{
    if (outcome.reads_.empty())
        return std::nullopt;
    const auto record = decodeClaimRecord(outcome.reads_.front().value_);
    return ok(record) ? valueOf(record) : ClaimRecord{};
}

/// Handles the finding that the stored record belongs to this request.
void handleOwnRecord(const Claims &claims, Claim &claim, const KvOutcome &outcome, Time now,
                     ClaimActions &actions)
{
    claim.modRevision_ =
        outcome.reads_.empty() ? outcome.revision_ : outcome.reads_.front().modRevision_;
    // A process that was paused may receive the outcome after the deadline.
    if (now >= claim.request_.deadline_)
        addVerdict(claim, refusal(claims), actions);
    if (claim.hasVerdict_) {
        startRelease(claim, now);
        return;
    }
    enterStage(claim, ClaimStage::Held, now);
    addVerdict(claim, ClaimGranted{}, actions);
}

ClaimVerdict verdictFor(const Claims &claims, const Claim &claim, const ClaimRecord &record)
{
    if (record.request_.empty())
        return ClaimInProgress{claims.policy_.retryAfter_};
    if (record.fingerprint_ != claim.request_.fingerprint_)
        return ClaimFingerprintMismatch{};
    if (record.state_ == ClaimState::Answered)
        return ClaimReplay{record.response_};
    return ClaimInProgress{claims.policy_.retryAfter_};
}

/// Handles a create that failed because of an existing record or a newer guard. Returns false where
/// the claim has ended.
bool handleFailedCreate(Claims &claims, Claim &claim, const KvOutcome &outcome, Time now,
                        ClaimActions &actions)
{
    const std::optional<ClaimRecord> record = storedRecord(outcome);
    if (!record) {
        if (claims.guard_.value_ == claim.createGuardRevision_)
            claims.guard_.mustObtain_ = true;
        if (claim.hasVerdict_)
            startRelease(claim, now);
        else
            retryLater(claims, claim, now);
        return !claim.hasVerdict_ || claim.hasUnknownCreate_;
    }
    if (record->request_ == claim.request_.request_) {
        handleOwnRecord(claims, claim, outcome, now, actions);
        return true;
    }
    addVerdict(claim, verdictFor(claims, claim, *record), actions);
    // A create of this request could still take effect once the other record is removed.
    if (claim.hasUnknownCreate_)
        startRelease(claim, now);
    return claim.hasUnknownCreate_;
}

bool handleCreateOutcome(Claims &claims, Claim &claim, const KvOutcome &outcome, Time now,
                         ClaimActions &actions)
{
    switch (outcome.status_) {
    case KvStatus::Succeeded:
        handleOwnRecord(claims, claim, outcome, now, actions);
        return true;
    case KvStatus::ConditionFailed:
        return handleFailedCreate(claims, claim, outcome, now, actions);
    case KvStatus::NotSent:
        // The service may have lost its leases.
        claims.lease_.mustObtain_ = true;
        if (!claim.hasUnknownCreate_) {
            addVerdict(claim, refusal(claims), actions);
            return false;
        }
        break;
    case KvStatus::Unknown:
        claim.hasUnknownCreate_ = true;
        break;
    }
    if (claim.hasVerdict_)
        startRelease(claim, now);
    else
        retryLater(claims, claim, now);
    return true;
}

bool isSettled(const KvOutcome &outcome)
{
    return outcome.status_ == KvStatus::Succeeded || outcome.status_ == KvStatus::ConditionFailed;
}

bool handleDeleteOutcome(const Claims &claims, Claim &claim, const KvOutcome &outcome, Time now,
                         ClaimActions &actions)
{
    if (!isSettled(outcome)) {
        retryLater(claims, claim, now);
        return true;
    }
    const bool wasReading = claim.modRevision_ == 0;
    if (wasReading) {
        const std::optional<ClaimRecord> record = storedRecord(outcome);
        if (record && record->request_ == claim.request_.request_) {
            claim.modRevision_ = outcome.reads_.front().modRevision_;
            return true;
        }
    }
    actions.emplace_back(ClaimReleased{claim.request_.request_});
    return false;
}

/// Returns false where the claim has ended.
bool handleStepOutcome(Claims &claims, Claim &claim, const KvOutcome &outcome, Time now,
                       ClaimActions &actions)
{
    claim.tag_ = 0;
    switch (claim.stage_) {
    case ClaimStage::Creating:
        return handleCreateOutcome(claims, claim, outcome, now, actions);
    case ClaimStage::Finishing:
        // A failed condition means that an earlier attempt stored the answer.
        if (isSettled(outcome))
            return false;
        claims.lease_.mustObtain_ =
            claims.lease_.mustObtain_ || outcome.status_ == KvStatus::NotSent;
        retryLater(claims, claim, now);
        return true;
    case ClaimStage::Deleting:
        return handleDeleteOutcome(claims, claim, outcome, now, actions);
    case ClaimStage::Held:
    case ClaimStage::Fencing:
        return true;
    }
    return true;
}

} // namespace

ClaimActions beginClaim(Claims &claims, const ClaimRequest &request, Time now)
{
    ClaimActions actions;
    if (claims.claims_.size() >= claims.policy_.maxClaims_) {
        actions.emplace_back(ClaimDecided{request.request_, refusal(claims)});
        return actions;
    }
    Claim claim;
    claim.request_ = request;
    claim.retryAt_ = now;
    claims.claims_.emplace(request.request_, std::move(claim));
    advanceOne(claims, request.request_, now, actions);
    return actions;
}

ClaimActions finishClaim(Claims &claims, const RequestId &request, StoredResponse answer, Time now)
{
    ClaimActions actions;
    const auto found = claims.claims_.find(request);
    if (found == claims.claims_.end() || found->second.stage_ != ClaimStage::Held)
        return actions;
    Claim &claim = found->second;
    claim.response_ = std::move(answer);
    claim.storeDeadline_ = now + claims.policy_.storeTimeout_;
    enterStage(claim, ClaimStage::Finishing, now);
    advanceOne(claims, request, now, actions);
    return actions;
}

ClaimActions releaseClaim(Claims &claims, const RequestId &request, Time now)
{
    ClaimActions actions;
    const auto found = claims.claims_.find(request);
    if (found == claims.claims_.end())
        return actions;
    Claim &claim = found->second;
    if (claim.stage_ == ClaimStage::Creating) {
        claim.hasVerdict_ = true;
        claim.request_.deadline_ = now;
    } else if (claim.stage_ == ClaimStage::Held) {
        startRelease(claim, now);
    }
    advanceOne(claims, request, now, actions);
    return actions;
}

ClaimActions abandonClaim(Claims &claims, const RequestId &request, Time now)
{
    const auto found = claims.claims_.find(request);
    if (found == claims.claims_.end())
        return {};
    if (found->second.stage_ != ClaimStage::Held)
        return releaseClaim(claims, request, now);
    eraseClaim(claims, request);
    return {};
}

ClaimActions handleClaimOutcome(Claims &claims, const KvOutcome &outcome, Time now)
{
    ClaimActions actions;
    if (outcome.tag_ == claims.lease_.tag_ || outcome.tag_ == claims.guard_.tag_) {
        const bool isLease = outcome.tag_ == claims.lease_.tag_;
        handlePrerequisiteOutcome(claims, isLease ? claims.lease_ : claims.guard_,
                                  isLease ? outcome.leaseId_ : outcome.revision_, outcome, now,
                                  actions);
        return actions;
    }
    const auto tag = claims.requestByTag_.find(outcome.tag_);
    if (tag == claims.requestByTag_.end())
        return actions;
    const RequestId request = tag->second;
    claims.requestByTag_.erase(tag);
    const auto found = claims.claims_.find(request);
    if (found == claims.claims_.end() || found->second.tag_ != outcome.tag_)
        return actions;
    if (!handleStepOutcome(claims, found->second, outcome, now, actions))
        claims.claims_.erase(found);
    advanceOne(claims, request, now, actions);
    return actions;
}

ClaimActions tickClaims(Claims &claims, Time now)
{
    ClaimActions actions;
    advanceAll(claims, now, actions);
    return actions;
}

std::optional<Time> nextClaimTick(const Claims &claims)
{
    std::optional<Time> next;
    const auto considerTime = [&next](Time at) { next = next ? std::min(*next, at) : at; };
    if (claims.claims_.empty())
        return next;
    if (claims.lease_.mustObtain_ && claims.lease_.tag_ == 0)
        considerTime(claims.lease_.retryAt_);
    if (claims.lease_.value_ != 0 && claims.guard_.mustObtain_ && claims.guard_.tag_ == 0)
        considerTime(claims.guard_.retryAt_);
    for (const auto &[request, claim] : claims.claims_) {
        const bool isWaiting = claim.tag_ != 0 || claim.stage_ == ClaimStage::Held
            || claim.stage_ == ClaimStage::Fencing
            || (claim.stage_ == ClaimStage::Creating && claim.waitsForPrerequisites_);
        if (!isWaiting)
            considerTime(claim.retryAt_);
        if (claim.stage_ == ClaimStage::Creating && !claim.hasVerdict_)
            considerTime(claim.request_.deadline_);
    }
    return next;
}

} // namespace eelgrasscove
