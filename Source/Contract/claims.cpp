#include "Contract/claims.h"

#include <algorithm>
#include <utility>

namespace eelgrasscove {

namespace {

std::string guardKey(const Claims &claims)
{
    return "claimguards/" + claims.vm_.text_;
}

std::string keyOfClaim(const Claim &claim)
{
    return claimKey(claim.request_.account_, claim.request_.idempotencyKey_);
}

Duration nextBackoff(Duration backoff, const ClaimPolicy &policy)
{
    return std::clamp(backoff * 2, policy.leastBackoff_, policy.mostBackoff_);
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
    claims.byTag_[claim.tag_] = claim.request_.request_;
    actions.emplace_back(std::move(operation));
}

void tell(Claim &claim, ClaimVerdict verdict, ClaimActions &actions)
{
    if (claim.told_)
        return;
    claim.told_ = true;
    actions.emplace_back(ClaimDecided{claim.request_.request_, std::move(verdict)});
}

ClaimRefused refusal(const Claims &claims)
{
    return {claims.policy_.retryAfter_};
}

void drop(Claims &claims, const RequestId &request)
{
    claims.claims_.erase(request);
}

void retryLater(const Claims &claims, Claim &claim, Time now)
{
    claim.backoff_ = nextBackoff(claim.backoff_, claims.policy_);
    claim.retryAt_ = now + claim.backoff_;
}

/// Moves on without waiting; the step itself is taken by advance().
void enter(Claim &claim, ClaimStage stage, Time now)
{
    claim.stage_ = stage;
    claim.backoff_ = Duration(0);
    claim.retryAt_ = now;
}

/// The request won't run: its record, present or to come, has to go.
void startRelease(Claim &claim, Time now)
{
    enter(claim, claim.createUnknown_ ? ClaimStage::Fencing : ClaimStage::Deleting, now);
}

// What claims need first.

void submitLease(Claims &claims, ClaimActions &actions)
{
    KvOperation operation;
    // Records of the lease's last minute are kept as long as any.
    const Duration life = claims.policy_.keep_ + 2 * claims.policy_.leasePeriod_;
    operation.grantLeaseSeconds_ = std::chrono::duration_cast<std::chrono::seconds>(life).count();
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

bool mayTry(const ClaimNeed &need, Time now)
{
    return need.wanted_ && need.tag_ == 0 && need.retryAt_ <= now;
}

void advanceNeeds(Claims &claims, Time now, ClaimActions &actions)
{
    if (claims.claims_.empty())
        return;
    ClaimNeed &lease = claims.lease_;
    if (lease.value_ != 0 && now - lease.since_ >= claims.policy_.leasePeriod_)
        lease.wanted_ = true;
    if (mayTry(lease, now))
        submitLease(claims, actions);
    if (lease.value_ != 0 && mayTry(claims.guard_, now))
        submitGuard(claims, actions);
}

void takeNeed(const Claims &claims, ClaimNeed &need, bool got, std::int64_t value, Time now)
{
    need.tag_ = 0;
    if (!got) {
        need.backoff_ = nextBackoff(need.backoff_, claims.policy_);
        need.retryAt_ = now + need.backoff_;
        return;
    }
    need.value_ = value;
    need.since_ = now;
    need.wanted_ = false;
    need.backoff_ = Duration(0);
}

/// A lease too old can run out while its records should stand.
bool leaseUsable(const Claims &claims, Time now)
{
    return claims.lease_.value_ != 0
        && now - claims.lease_.since_ < 2 * claims.policy_.leasePeriod_;
}

bool guardUsable(const Claims &claims)
{
    return claims.guard_.value_ != 0 && !claims.guard_.wanted_;
}

/// The service is away: claims that have left nothing behind are refused at once.
void refuseWaiting(Claims &claims, ClaimActions &actions)
{
    for (auto next = claims.claims_.begin(); next != claims.claims_.end();) {
        const auto current = next++;
        Claim &claim = current->second;
        const bool untouched =
            claim.stage_ == ClaimStage::Creating && claim.tag_ == 0 && !claim.createUnknown_;
        if (!untouched)
            continue;
        tell(claim, refusal(claims), actions);
        claims.claims_.erase(current);
    }
}

// One claim's next operation.

void submitCreate(Claims &claims, Claim &claim, ClaimActions &actions)
{
    ClaimRecord record;
    record.request_ = claim.request_.request_;
    record.fingerprint_ = claim.request_.fingerprint_;
    claim.guardUsed_ = claims.guard_.value_;
    KvOperation operation;
    operation.conditions_ = {{keyOfClaim(claim), 0}, {guardKey(claims), claim.guardUsed_}};
    operation.writes_ = {{keyOfClaim(claim), encodeClaimRecord(record), claims.lease_.value_}};
    operation.reads_ = {{keyOfClaim(claim), false}};
    submit(claims, claim, std::move(operation), actions);
}

void submitFinish(Claims &claims, Claim &claim, ClaimActions &actions)
{
    ClaimRecord record;
    record.request_ = claim.request_.request_;
    record.fingerprint_ = claim.request_.fingerprint_;
    record.state_ = ClaimState::Answered;
    record.answer_ = claim.answer_;
    KvOperation operation;
    operation.conditions_ = {{keyOfClaim(claim), claim.modRevision_}};
    operation.writes_ = {{keyOfClaim(claim), encodeClaimRecord(record), claims.lease_.value_}};
    submit(claims, claim, std::move(operation), actions);
}

void submitDelete(Claims &claims, Claim &claim, ClaimActions &actions)
{
    KvOperation operation;
    if (claim.modRevision_ == 0) {
        operation.reads_ = {{keyOfClaim(claim), false}};
    } else {
        operation.conditions_ = {{keyOfClaim(claim), claim.modRevision_}};
        operation.writes_ = {{keyOfClaim(claim), std::nullopt}};
    }
    submit(claims, claim, std::move(operation), actions);
}

/// A request past its deadline is refused; what it left behind is tidied up. False where nothing
/// is left to do.
bool refuseLate(Claims &claims, Claim &claim, Time now, ClaimActions &actions)
{
    tell(claim, refusal(claims), actions);
    if (claim.tag_ != 0)
        return true;
    if (!claim.createUnknown_)
        return false;
    startRelease(claim, now);
    return true;
}

/// Fenced once the guard is newer than the one that the last create was conditioned on.
void advanceFencing(Claims &claims, Claim &claim, Time now)
{
    if (claims.guard_.value_ == claim.guardUsed_ && !claims.guard_.wanted_) {
        claims.guard_.wanted_ = true;
        claims.guard_.retryAt_ = now;
    }
    if (guardUsable(claims) && claims.guard_.value_ > claim.guardUsed_) {
        claim.createUnknown_ = false;
        enter(claim, ClaimStage::Deleting, now);
    }
}

/// Takes the claim's next step, if one is due. False where the claim is done with.
bool advance(Claims &claims, Claim &claim, Time now, ClaimActions &actions)
{
    if (claim.stage_ == ClaimStage::Creating && now >= claim.request_.deadline_
        && !refuseLate(claims, claim, now, actions))
        return false;
    if (claim.tag_ != 0 || claim.retryAt_ > now)
        return true;
    if (claim.stage_ == ClaimStage::Fencing)
        advanceFencing(claims, claim, now);
    switch (claim.stage_) {
    case ClaimStage::Creating:
        claim.waitsForNeeds_ = !leaseUsable(claims, now) || !guardUsable(claims);
        if (!claim.waitsForNeeds_)
            submitCreate(claims, claim, actions);
        return true;
    case ClaimStage::Finishing:
        if (now >= claim.storeUntil_)
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
    advanceNeeds(claims, now, actions);
    for (auto next = claims.claims_.begin(); next != claims.claims_.end();) {
        const auto current = next++;
        if (!advance(claims, current->second, now, actions))
            claims.claims_.erase(current);
    }
    // A claim may have asked for a newer guard.
    advanceNeeds(claims, now, actions);
}

void takeNeedOutcome(Claims &claims, ClaimNeed &need, std::int64_t value, const KvOutcome &outcome,
                     Time now, ClaimActions &actions)
{
    takeNeed(claims, need, outcome.status_ == KvStatus::Succeeded, value, now);
    // The lease that the guard is written under may be gone.
    if (outcome.status_ == KvStatus::NotSent)
        claims.lease_.wanted_ = true;
    if (outcome.status_ == KvStatus::NotSent && !(leaseUsable(claims, now) && guardUsable(claims)))
        refuseWaiting(claims, actions);
    advanceAll(claims, now, actions);
}

void advanceOne(Claims &claims, const RequestId &request, Time now, ClaimActions &actions)
{
    advanceNeeds(claims, now, actions);
    const auto found = claims.claims_.find(request);
    if (found == claims.claims_.end())
        return;
    if (!advance(claims, found->second, now, actions))
        claims.claims_.erase(found);
    advanceNeeds(claims, now, actions);
}

// Outcomes.

/// The record found under the claim's key; empty where none stands. A malformed one counts as
/// another request's.
std::optional<ClaimRecord> recordIn(const KvOutcome &outcome)
{
    if (outcome.reads_.empty())
        return std::nullopt;
    const auto record = decodeClaimRecord(outcome.reads_.front().value_);
    return ok(record) ? valueOf(record) : ClaimRecord{};
}

/// The record in force is this request's.
void hold(const Claims &claims, Claim &claim, const KvOutcome &outcome, Time now,
          ClaimActions &actions)
{
    claim.modRevision_ =
        outcome.reads_.empty() ? outcome.revision_ : outcome.reads_.front().modRevision_;
    // A process that was stopped meanwhile finds out only now that it is too late.
    if (now >= claim.request_.deadline_)
        tell(claim, refusal(claims), actions);
    if (claim.told_) {
        startRelease(claim, now);
        return;
    }
    enter(claim, ClaimStage::Held, now);
    tell(claim, ClaimMine{}, actions);
}

ClaimVerdict verdictOn(const Claims &claims, const Claim &claim, const ClaimRecord &record)
{
    if (record.request_.empty())
        return ClaimInProgress{claims.policy_.retryAfter_};
    if (record.fingerprint_ != claim.request_.fingerprint_)
        return ClaimBodyDiffers{};
    if (record.state_ == ClaimState::Answered)
        return ClaimReplay{record.answer_};
    return ClaimInProgress{claims.policy_.retryAfter_};
}

/// A create met a record or a newer guard. False where the claim is done with.
bool takeRefusedCreate(Claims &claims, Claim &claim, const KvOutcome &outcome, Time now,
                       ClaimActions &actions)
{
    const std::optional<ClaimRecord> record = recordIn(outcome);
    if (!record) {
        if (claims.guard_.value_ == claim.guardUsed_)
            claims.guard_.wanted_ = true;
        if (claim.told_)
            startRelease(claim, now);
        else
            retryLater(claims, claim, now);
        return !claim.told_ || claim.createUnknown_;
    }
    if (record->request_ == claim.request_.request_) {
        hold(claims, claim, outcome, now, actions);
        return true;
    }
    tell(claim, verdictOn(claims, claim, *record), actions);
    // A create of this request could still take effect once the other's record has gone.
    if (claim.createUnknown_)
        startRelease(claim, now);
    return claim.createUnknown_;
}

bool takeCreate(Claims &claims, Claim &claim, const KvOutcome &outcome, Time now,
                ClaimActions &actions)
{
    switch (outcome.status_) {
    case KvStatus::Succeeded:
        hold(claims, claim, outcome, now, actions);
        return true;
    case KvStatus::ConditionFailed:
        return takeRefusedCreate(claims, claim, outcome, now, actions);
    case KvStatus::NotSent:
        // The service may have lost its leases.
        claims.lease_.wanted_ = true;
        if (!claim.createUnknown_) {
            tell(claim, refusal(claims), actions);
            return false;
        }
        break;
    case KvStatus::Unknown:
        claim.createUnknown_ = true;
        break;
    }
    if (claim.told_)
        startRelease(claim, now);
    else
        retryLater(claims, claim, now);
    return true;
}

bool isSettled(const KvOutcome &outcome)
{
    return outcome.status_ == KvStatus::Succeeded || outcome.status_ == KvStatus::ConditionFailed;
}

bool takeDelete(const Claims &claims, Claim &claim, const KvOutcome &outcome, Time now,
                ClaimActions &actions)
{
    if (!isSettled(outcome)) {
        retryLater(claims, claim, now);
        return true;
    }
    const bool wasReading = claim.modRevision_ == 0;
    if (wasReading) {
        const std::optional<ClaimRecord> record = recordIn(outcome);
        if (record && record->request_ == claim.request_.request_) {
            claim.modRevision_ = outcome.reads_.front().modRevision_;
            return true;
        }
    }
    actions.emplace_back(ClaimReleased{claim.request_.request_});
    return false;
}

/// False where the claim is done with.
bool takeStep(Claims &claims, Claim &claim, const KvOutcome &outcome, Time now,
              ClaimActions &actions)
{
    claim.tag_ = 0;
    switch (claim.stage_) {
    case ClaimStage::Creating:
        return takeCreate(claims, claim, outcome, now, actions);
    case ClaimStage::Finishing:
        // A condition that fails says that an earlier try stored the answer.
        if (isSettled(outcome))
            return false;
        claims.lease_.wanted_ = claims.lease_.wanted_ || outcome.status_ == KvStatus::NotSent;
        retryLater(claims, claim, now);
        return true;
    case ClaimStage::Deleting:
        return takeDelete(claims, claim, outcome, now, actions);
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
    if (claims.claims_.size() >= claims.policy_.mostClaims_) {
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

ClaimActions finishClaim(Claims &claims, const RequestId &request, StoredAnswer answer, Time now)
{
    ClaimActions actions;
    const auto found = claims.claims_.find(request);
    if (found == claims.claims_.end() || found->second.stage_ != ClaimStage::Held)
        return actions;
    Claim &claim = found->second;
    claim.answer_ = std::move(answer);
    claim.storeUntil_ = now + claims.policy_.storeFor_;
    enter(claim, ClaimStage::Finishing, now);
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
        claim.told_ = true;
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
    drop(claims, request);
    return {};
}

ClaimActions takeClaimOutcome(Claims &claims, const KvOutcome &outcome, Time now)
{
    ClaimActions actions;
    if (outcome.tag_ == claims.lease_.tag_ || outcome.tag_ == claims.guard_.tag_) {
        const bool isLease = outcome.tag_ == claims.lease_.tag_;
        takeNeedOutcome(claims, isLease ? claims.lease_ : claims.guard_,
                        isLease ? outcome.leaseId_ : outcome.revision_, outcome, now, actions);
        return actions;
    }
    const auto tag = claims.byTag_.find(outcome.tag_);
    if (tag == claims.byTag_.end())
        return actions;
    const RequestId request = tag->second;
    claims.byTag_.erase(tag);
    const auto found = claims.claims_.find(request);
    if (found == claims.claims_.end() || found->second.tag_ != outcome.tag_)
        return actions;
    if (!takeStep(claims, found->second, outcome, now, actions))
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
    const auto take = [&next](Time at) { next = next ? std::min(*next, at) : at; };
    if (claims.claims_.empty())
        return next;
    if (claims.lease_.wanted_ && claims.lease_.tag_ == 0)
        take(claims.lease_.retryAt_);
    if (claims.lease_.value_ != 0 && claims.guard_.wanted_ && claims.guard_.tag_ == 0)
        take(claims.guard_.retryAt_);
    for (const auto &[request, claim] : claims.claims_) {
        const bool waits = claim.tag_ != 0 || claim.stage_ == ClaimStage::Held
            || claim.stage_ == ClaimStage::Fencing
            || (claim.stage_ == ClaimStage::Creating && claim.waitsForNeeds_);
        if (!waits)
            take(claim.retryAt_);
        if (claim.stage_ == ClaimStage::Creating && !claim.told_)
            take(claim.request_.deadline_);
    }
    return next;
}

} // namespace eelgrasscove
