#include "Caller/entryparts.h"

#include "Caller/entryrequests.h"
#include "Contract/rulefile.h"

#include <algorithm>
#include <optional>

namespace eelgrasscove {

namespace {

std::optional<std::string> addressOf(const Entry &entry, const VmName &vm)
{
    const auto found = entry.fleet_.peers_.find(vm);
    if (found == entry.fleet_.peers_.end() || found->second.listed_.address_.empty())
        return std::nullopt;
    return found->second.listed_.address_;
}

void sendTo(const Entry &entry, const VmName &vm, Message message, EntryActions &actions)
{
    if (const std::optional<std::string> address = addressOf(entry, vm))
        actions.emplace_back(SendMessage{*address, std::move(message)});
}

void adopt(Entry &entry, const StoredRules &stored, Time now, EntryActions &actions)
{
    Result<Rules, std::vector<RuleError>> rules =
        parseRules(stored.text_, "stored rules", stored.revision_);
    if (!ok(rules)) {
        actions.emplace_back(RulesUnreadable{stored.revision_, describeRuleErrors(errorOf(rules))});
        return;
    }
    entry.rules_ = valueOf(std::move(rules));
    entry.haveRules_ = true;
    actions.emplace_back(RulesTaken{stored.revision_});
    takeContracts(entry, now);
    recheckWaiting(entry, now, actions);
}

void replayAnswer(Entry &entry, const PendingRequest &request, const StoredResponse &answer,
                  EntryActions &actions)
{
    ReplyWhole reply;
    reply.handle_ = request.call_.handle_;
    reply.status_ = answer.status_;
    reply.contentType_ = answer.contentType_;
    reply.body_ = answer.body_;
    reply.requestId_ = replyId(request.call_, request.id_);
    RequestRecord record = recordOf(entry, request);
    record.status_ = answer.status_;
    record.code_ = "replayed";
    if (!request.callerGone_)
        actions.emplace_back(CallerReply{std::move(reply)});
    endRequest(entry, RequestId(request.id_), actions, std::move(record));
}

std::optional<ApiError> errorOf(const ClaimVerdict &verdict)
{
    if (const auto *busy = std::get_if<ClaimInProgress>(&verdict))
        return ApiError{ApiErrorCode::RequestInProgress, RunState::OutcomeUnknown,
                        "a request with this Idempotency-Key is running or its outcome was lost",
                        retrySeconds(busy->retryAfter_)};
    if (std::holds_alternative<ClaimFingerprintMismatch>(verdict))
        return ApiError{ApiErrorCode::IdempotencyKeyReused, RunState::NotRun,
                        "this Idempotency-Key was used for another request; choose a new one", 0};
    if (const auto *refused = std::get_if<ClaimRefused>(&verdict))
        return ApiError{ApiErrorCode::ClaimUnavailable, RunState::NotRun,
                        "the Idempotency-Key can't be recorded now",
                        retrySeconds(refused->retryAfter_)};
    return std::nullopt;
}

void takeVerdict(Entry &entry, const ClaimDecided &decided, Time now, EntryActions &actions)
{
    const auto found = entry.requests_.find(decided.request_);
    if (found == entry.requests_.end()) {
        performClaims(entry, releaseClaim(entry.claims_, decided.request_, now), now, actions);
        return;
    }
    PendingRequest &request = found->second;
    if (const auto *replay = std::get_if<ClaimReplay>(&decided.verdict_)) {
        replayAnswer(entry, request, replay->response_, actions);
        return;
    }
    if (const std::optional<ApiError> error = errorOf(decided.verdict_)) {
        failRequest(entry, request.id_, *error, now, actions);
        return;
    }
    request.claimHeld_ = true;
    request.stage_ = Stage::AwaitingAllowance;
    request.heldUntil_ = std::min(request.deadline_, now + entry.policy_.allowanceHold_);
    advance(entry, request, now, actions);
}

} // namespace

DistributionView spreadView(const Entry &entry, Time now)
{
    return makeDistributionView(entry.fleet_, Role::Entry, now);
}

void performSpread(Entry &entry, DistributionActions spread, Time now, EntryActions &actions)
{
    for (DistributionAction &action : spread) {
        if (auto *send = std::get_if<SendToPeer>(&action))
            sendTo(entry, send->peer_, std::move(send->message_), actions);
        else if (const auto *rules = std::get_if<AdoptRules>(&action))
            adopt(entry, rules->rules_, now, actions);
        else if (const auto *watch = std::get_if<WatchPlatformRules>(&action))
            actions.emplace_back(*watch);
        else
            actions.emplace_back(ReadPlatformRules());
    }
}

bool takeRulesMessage(Entry &entry, const Envelope &envelope, Time now, EntryActions &actions)
{
    std::optional<DistributionActions> spread =
        handleDistributionMessage(entry.spread_, entry.fleet_, envelope, now);
    if (spread)
        performSpread(entry, std::move(*spread), now, actions);
    return spread.has_value();
}

void takeContracts(Entry &entry, Time now)
{
    for (const auto &[name, account] : entry.rules_.accounts_)
        applyContract(entry.ledger_, name, {account.tokensPerSecond_, account.burstTokens_},
                      entry.rules_.revision_, now);
    applyShares(entry.ledger_, entry.allowance_, now);
}

/// Shares are debited here before the calls that give them away are made.
void performLedger(Entry &entry, std::vector<KvOperation> operations, Time now,
                   EntryActions &actions)
{
    applyShares(entry.ledger_, entry.allowance_, now);
    for (KvOperation &operation : operations)
        actions.emplace_back(std::move(operation));
}

void advanceShares(Entry &entry, Time now, EntryActions &actions)
{
    performLedger(entry, advanceLedger(entry.ledger_, entry.allowance_, now), now, actions);
    sendLoans(entry, advanceLoans(entry.allowance_, entry.loans_, now), actions);
}

void takeShareList(Entry &entry, const VmList &list, Time now, EntryActions &actions)
{
    applyEntryList(entry.ledger_, list, now);
    for (const auto &[vm, peer] : entry.fleet_.peers_) {
        if (!peer.isListed_)
            handleBorrowerEnd(entry.loans_, vm, peer.incarnation_, now);
    }
    advanceShares(entry, now, actions);
}

void sendLoans(const Entry &entry, std::vector<LoanMessage> messages, EntryActions &actions)
{
    for (LoanMessage &message : messages)
        sendTo(entry, message.to_, std::move(message.message_), actions);
}

bool takeLoanMessage(Entry &entry, const Envelope &envelope, Time now, EntryActions &actions)
{
    const VmName &from = envelope.from_;
    const Incarnation run = envelope.incarnation_;
    if (const auto *request = std::get_if<LoanRequest>(&envelope.message_))
        sendLoans(entry,
                  handleLoanRequest(entry.allowance_, entry.loans_, from, run, *request, now),
                  actions);
    else if (const auto *grant = std::get_if<LoanGrant>(&envelope.message_))
        sendLoans(entry, handleLoanGrant(entry.loans_, from, *grant, now), actions);
    else if (const auto *report = std::get_if<LoanReport>(&envelope.message_))
        sendLoans(entry, handleLoanReport(entry.allowance_, entry.loans_, from, run, *report, now),
                  actions);
    else if (const auto *closed = std::get_if<LoanClosed>(&envelope.message_))
        handleLoanClosed(entry.loans_, from, *closed);
    else
        return false;
    return true;
}

void takePeerAllowance(Entry &entry, const Envelope &envelope, const Heartbeat &heartbeat,
                       Incarnation before, Time now)
{
    if (heartbeat.role_ != Role::Entry)
        return;
    if (before.value_ != 0 && before < envelope.incarnation_)
        handleBorrowerEnd(entry.loans_, envelope.from_, before, now);
    for (const AccountFreeTokens &free : heartbeat.freeTokens_)
        updatePeerFreeTokens(entry.loans_, envelope.from_, free, now);
}

void beginRequestClaim(Entry &entry, const PendingRequest &request, Time now, EntryActions &actions)
{
    ClaimRequest claim;
    claim.request_ = request.id_;
    claim.account_ = request.account_;
    claim.idempotencyKey_ = request.call_.idempotencyKey_;
    claim.fingerprint_ = request.fingerprint_;
    claim.deadline_ = std::min(request.deadline_, now + entry.policy_.placementHold_);
    performClaims(entry, beginClaim(entry.claims_, claim, now), now, actions);
}

void endRequestClaim(Entry &entry, const PendingRequest &request, RunState run, Time now,
                     EntryActions &actions)
{
    const bool undecided = request.stage_ == Stage::AwaitingClaim;
    if (!request.claimHeld_ && !undecided)
        return;
    const RequestId id = request.id_;
    const bool notRun = undecided || run == RunState::NotRun;
    performClaims(
        entry, notRun ? releaseClaim(entry.claims_, id, now) : abandonClaim(entry.claims_, id, now),
        now, actions);
}

void keepAnswer(Entry &entry, const PendingRequest &request, Time now, EntryActions &actions)
{
    if (!request.claimHeld_)
        return;
    StoredResponse answer;
    answer.status_ = request.head_.status_;
    answer.contentType_ = request.head_.contentType_;
    answer.isBodyStored_ = request.answer_.size() <= maxStoredBodyBytes;
    if (answer.isBodyStored_)
        answer.body_ = request.answer_;
    performClaims(entry, finishClaim(entry.claims_, request.id_, std::move(answer), now), now,
                  actions);
}

void performClaims(Entry &entry, ClaimActions claims, Time now, EntryActions &actions)
{
    for (ClaimAction &action : claims) {
        if (auto *operation = std::get_if<KvOperation>(&action))
            actions.emplace_back(std::move(*operation));
        else if (const auto *decided = std::get_if<ClaimDecided>(&action))
            takeVerdict(entry, *decided, now, actions);
    }
}

void takePartOutcome(Entry &entry, const KvOutcome &outcome, Time now, EntryActions &actions)
{
    if (isClaimTag(outcome.tag_))
        performClaims(entry, handleClaimOutcome(entry.claims_, outcome, now), now, actions);
    else
        performLedger(entry, handleKvOutcome(entry.ledger_, outcome, entry.allowance_, now), now,
                      actions);
}

} // namespace eelgrasscove
