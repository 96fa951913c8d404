#include "Caller/entryrequests.h"

#include "Caller/entryload.h"
#include "Caller/entryparts.h"
#include "Caller/entryrouting.h"

#include <algorithm>
#include <optional>

namespace eelgrasscove {

namespace {

Offer offerFor(const PendingRequest &request, const EntryAttempt &attempt, Time now)
{
    Offer offer;
    offer.attempt_ = attempt.id_;
    offer.request_ = request.id_;
    offer.targetIncarnation_ = attempt.incarnation_;
    offer.account_ = request.account_;
    offer.keyId_ = request.keyId_;
    offer.route_ = request.route_.route_;
    offer.rulesRevision_ = request.rulesRevision_;
    offer.adapter_ = request.route_.adapter_;
    offer.idempotent_ = request.route_.idempotent_;
    offer.priority_ = request.call_.priority_;
    offer.reservedTokens_ = attempt.reservedTokens_;
    offer.promptTokens_ = request.call_.completion_.promptTokens_;
    offer.timeLeftMicros_ = (request.deadline_ - now).count();
    offer.method_ = request.call_.method_;
    offer.path_ = request.call_.path_;
    offer.contentType_ = request.call_.contentType_;
    offer.fingerprint_ = request.fingerprint_;
    offer.traceparent_ = formatTraceparent(request.call_.trace_);
    if (request.call_.kind_ == CallKind::Completion) {
        offer.body_ = engineBody(request.call_.completion_, engineModelName(offer.adapter_));
        offer.stream_ = request.call_.completion_.stream_;
    } else {
        offer.body_ = request.call_.body_;
    }
    return offer;
}

/// A refused try's reservation serves the next one, so that a retry can't lose its tokens.
void moveReservation(Entry &entry, const PendingRequest &request, const AttemptId &to)
{
    auto borrowed = entry.loans_.attempts_.extract(request.attempt_);
    if (!borrowed.empty()) {
        borrowed.key() = to;
        entry.loans_.attempts_.insert(std::move(borrowed));
    }
    const auto account = entry.allowance_.accounts_.find(request.account_);
    if (account == entry.allowance_.accounts_.end())
        return;
    auto reservation = account->second.reservations_.extract(request.attempt_);
    if (reservation.empty())
        return;
    reservation.key() = to;
    account->second.reservations_.insert(std::move(reservation));
}

PendingRequest *requestOf(Entry &entry, const EntryAttempt &attempt)
{
    if (attempt.abandoned_)
        return nullptr;
    const auto found = entry.requests_.find(attempt.request_);
    return found == entry.requests_.end() ? nullptr : &found->second;
}

void closeAttempt(Entry &entry, const EntryAttempt &attempt, std::int64_t tokensRun, Time now)
{
    settleAttempt(entry.allowance_, entry.loans_, attempt.account_, attempt.id_, tokensRun, now);
    entry.attempts_.erase(AttemptId(attempt.id_));
}

void ask(const EntryAttempt &attempt, std::uint64_t haveOffset, bool giveUp, EntryActions &actions)
{
    AttemptQuery query;
    query.attempt_ = attempt.id_;
    query.targetIncarnation_ = attempt.incarnation_;
    query.haveOffset_ = haveOffset;
    query.giveUp_ = giveUp;
    actions.emplace_back(SendMessage{attempt.address_, query});
}

/// The try wasn't run and never will be: the request may go elsewhere.
void takeNotRun(Entry &entry, const EntryAttempt &attempt, Reason reason,
                std::int64_t retryAfterMillis, Time now, EntryActions &actions)
{
    PendingRequest *request = requestOf(entry, attempt);
    if (request == nullptr) {
        closeAttempt(entry, attempt, 0, now);
        return;
    }
    request->lastReason_ = reason;
    request->retryAfter_ = static_cast<std::uint32_t>((retryAfterMillis + 999) / 1000);
    request->tried_.push_back(attempt.vm_);
    const RequestId id = request->id_;
    entry.attempts_.erase(AttemptId(attempt.id_));
    if (reason == Reason::KeyWithdrawn) {
        failRequest(entry, id,
                    {ApiErrorCode::KeyUnknown, RunState::NotRun, "the key was withdrawn", 0}, now,
                    actions);
        return;
    }
    if (reason == Reason::SuspectedKiller) {
        failRequest(entry, id,
                    {ApiErrorCode::SuspectedKiller, RunState::NotRun,
                     "targets crashed while they ran this request; it isn't run again for now", 0},
                    now, actions);
        return;
    }
    request->stage_ = Stage::AwaitingTarget;
    request->nextTry_ = now;
    advance(entry, *request, now, actions);
}

void loseOutcome(Entry &entry, const RequestId &id, Time now, EntryActions &actions)
{
    failRequest(entry, id,
                {ApiErrorCode::OutcomeUnknown, RunState::OutcomeUnknown,
                 "the request was handed to a target and its outcome isn't known", 0},
                now, actions);
}

/// Whether the run is still to end, whatever has become of the request.
enum class RunEnd {
    Over,
    Unseen,
};

/// Where a failure is told by another process than the one that ran it, or while the engine has yet
/// to stop it, the run may go on.
RunEnd endTold(const AttemptFailed &failed)
{
    const bool unseen = failed.reason_ == Reason::WrongIncarnation
        || failed.reason_ == Reason::TargetError || failed.reason_ == Reason::LinkLost;
    return unseen ? RunEnd::Unseen : RunEnd::Over;
}

/// The try may have run. Only an idempotent request of which nothing was passed on is run again.
void takeUnknown(Entry &entry, EntryAttempt &attempt, RunEnd runEnd, Time now,
                 EntryActions &actions)
{
    PendingRequest *request = requestOf(entry, attempt);
    const VmName vm = attempt.vm_;
    if (runEnd == RunEnd::Unseen) {
        attempt.abandoned_ = true;
        attempt.lost_ = true;
    } else {
        // What it ran isn't known: the whole reservation counts as run.
        closeAttempt(entry, attempt, attempt.reservedTokens_, now);
    }
    if (request == nullptr)
        return;
    const bool passedOn = request->headReceived_ && request->call_.completion_.stream_;
    if (!request->route_.idempotent_ || passedOn || request->reruns_ >= entry.policy_.reruns_) {
        loseOutcome(entry, request->id_, now, actions);
        return;
    }
    ++request->reruns_;
    request->tried_.push_back(vm);
    request->attempt_ = nextAttempt(entry);
    request->headReceived_ = false;
    request->received_ = 0;
    request->answer_.clear();
    request->stage_ = Stage::AwaitingAllowance;
    request->heldUntil_ = std::min(request->deadline_, now + entry.policy_.allowanceHold_);
    advance(entry, *request, now, actions);
}

void takeHead(Entry &entry, const EntryAttempt &attempt, const AnswerHead &head,
              EntryActions &actions)
{
    PendingRequest *request = requestOf(entry, attempt);
    if (request == nullptr || request->headReceived_)
        return;
    request->stage_ = Stage::Accepted;
    request->headReceived_ = true;
    request->head_ = head;
    if (!request->call_.completion_.stream_ || request->callerGone_)
        return;
    ReplyHead reply{request->call_.handle_, head.status_, head.contentType_,
                    replyId(request->call_, request->id_)};
    actions.emplace_back(CallerReply{std::move(reply)});
}

void passOn(PendingRequest &request, std::string bytes, EntryActions &actions)
{
    request.received_ += bytes.size();
    if (request.call_.completion_.stream_)
        actions.emplace_back(CallerReply{ReplyPart{request.call_.handle_, std::move(bytes)}});
    else
        request.answer_ += bytes;
}

void takeChunk(Entry &entry, const EntryAttempt &attempt, const AnswerChunk &chunk, Time now,
               EntryActions &actions)
{
    recordAttemptRun(entry.allowance_, entry.loans_, attempt.account_, attempt.id_,
                     chunk.tokensRun_, now);
    PendingRequest *request = requestOf(entry, attempt);
    if (request == nullptr)
        return;
    const std::uint64_t end = chunk.offset_ + chunk.bytes_.size();
    if (chunk.offset_ > request->received_ || !request->headReceived_) {
        ask(attempt, request->received_, false, actions);
        return;
    }
    if (end <= request->received_)
        return;
    passOn(*request, chunk.bytes_.substr(request->received_ - chunk.offset_), actions);
}

void replyAnswer(PendingRequest &request, EntryActions &actions)
{
    if (request.call_.completion_.stream_) {
        actions.emplace_back(std::in_place_type<CallerReply>, ReplyEnd{request.call_.handle_});
        return;
    }
    ReplyWhole reply;
    reply.handle_ = request.call_.handle_;
    reply.status_ = request.head_.status_;
    reply.contentType_ = request.head_.contentType_;
    reply.body_ = std::move(request.answer_);
    reply.requestId_ = replyId(request.call_, request.id_);
    actions.emplace_back(CallerReply{std::move(reply)});
}

void takeEnd(Entry &entry, const EntryAttempt &attempt, const AnswerEnd &end, Time now,
             EntryActions &actions)
{
    PendingRequest *request = requestOf(entry, attempt);
    if (request != nullptr && (request->received_ < end.length_ || !request->headReceived_)) {
        ask(attempt, request->received_, false, actions);
        return;
    }
    actions.emplace_back(SendMessage{attempt.address_, AnswerReceived{attempt.id_}});
    if (request != nullptr) {
        RequestRecord record = recordOf(entry, *request);
        record.status_ = request->head_.status_;
        keepAnswer(entry, *request, now, actions);
        if (!request->callerGone_)
            replyAnswer(*request, actions);
        endRequest(entry, RequestId(request->id_), actions, std::move(record));
    }
    closeAttempt(entry, attempt, end.tokensRun_, now);
}

void takeFailed(Entry &entry, EntryAttempt &attempt, const AttemptFailed &failed, Time now,
                EntryActions &actions)
{
    if (failed.runState_ == RunState::NotRun)
        takeNotRun(entry, attempt, failed.reason_, 0, now, actions);
    else if (attempt.abandoned_ && failed.reason_ == Reason::Cancelled)
        closeAttempt(entry, attempt, failed.tokensRun_, now);
    else
        takeUnknown(entry, attempt, endTold(failed), now, actions);
}

/// The attempt a message speaks of; empty for messages of other kinds.
std::optional<AttemptId> attemptNamed(const Message &message)
{
    return std::visit(
        [](const auto &body) -> std::optional<AttemptId> {
            if constexpr (requires { body.attempt_; })
                return body.attempt_;
            else
                return std::nullopt;
        },
        message);
}

void takeFor(Entry &entry, EntryAttempt &attempt, const Message &message, Time now,
             EntryActions &actions)
{
    attempt.heardAt_ = now;
    attempt.questions_ = 0;
    if (const auto *head = std::get_if<AnswerHead>(&message)) {
        takeHead(entry, attempt, *head, actions);
    } else if (const auto *chunk = std::get_if<AnswerChunk>(&message)) {
        takeChunk(entry, attempt, *chunk, now, actions);
    } else if (const auto *end = std::get_if<AnswerEnd>(&message)) {
        takeEnd(entry, attempt, *end, now, actions);
    } else if (const auto *failed = std::get_if<AttemptFailed>(&message)) {
        takeFailed(entry, attempt, *failed, now, actions);
    } else if (const auto *refused = std::get_if<OfferRefused>(&message)) {
        takeNotRun(entry, attempt, refused->reason_, refused->retryAfterMillis_, now, actions);
    } else if (PendingRequest *request = requestOf(entry, attempt)) {
        request->stage_ = Stage::Accepted;
    }
}

bool vanished(const Entry &entry, const EntryAttempt &attempt, Time now)
{
    const auto found = entry.fleet_.peers_.find(attempt.vm_);
    if (found == entry.fleet_.peers_.end())
        return true;
    const Peer &peer = found->second;
    return !peer.linkUp_ || !isKnownLive(entry.fleet_, peer, now);
}

/// Also where its heartbeats arrive but what is sent to it doesn't, or the reverse.
bool unreachable(const Entry &entry, const EntryAttempt &attempt, Time now)
{
    return attempt.questions_ > entry.policy_.unansweredQuestions_ || vanished(entry, attempt, now);
}

/// An idempotent request needn't wait for a target process that can't be reached.
void leaveVanished(Entry &entry, EntryAttempt &attempt, Time now, EntryActions &actions)
{
    PendingRequest *request = requestOf(entry, attempt);
    const bool passedOn =
        request != nullptr && request->headReceived_ && request->call_.completion_.stream_;
    if (request == nullptr || !request->route_.idempotent_ || passedOn || request->callerGone_)
        return;
    actions.emplace_back(SendMessage{attempt.address_, AttemptCancel{attempt.id_}});
    takeUnknown(entry, attempt, RunEnd::Unseen, now, actions);
}

void giveUp(Entry &entry, EntryAttempt &attempt, Time now, EntryActions &actions)
{
    actions.emplace_back(SendMessage{attempt.address_, AttemptCancel{attempt.id_}});
    const PendingRequest *request = requestOf(entry, attempt);
    attempt.abandoned_ = true;
    attempt.lost_ = true;
    if (request == nullptr)
        return;
    failRequest(
        entry, RequestId(request->id_),
        {ApiErrorCode::RequestTimeout, RunState::OutcomeUnknown, "no whole answer came in time", 0},
        now, actions);
}

/// Nobody waits for it: once its run must have ended, its whole reservation counts as run.
void watchLost(Entry &entry, const EntryAttempt &attempt, Time now)
{
    if (now >= attempt.deadline_ + entry.policy_.attemptMargin_)
        closeAttempt(entry, attempt, attempt.reservedTokens_, now);
}

void watchAttempt(Entry &entry, EntryAttempt &attempt, Time now, EntryActions &actions)
{
    if (attempt.lost_) {
        watchLost(entry, attempt, now);
        return;
    }
    if (now >= attempt.deadline_) {
        giveUp(entry, attempt, now, actions);
        return;
    }
    if (now - attempt.heardAt_ < entry.policy_.answerSilence_)
        return;
    attempt.heardAt_ = now;
    const PendingRequest *request = requestOf(entry, attempt);
    const bool unanswered = request != nullptr && request->stage_ == Stage::Offered;
    ask(attempt, request == nullptr ? 0 : request->received_, unanswered, actions);
    ++attempt.questions_;
    if (unreachable(entry, attempt, now))
        leaveVanished(entry, attempt, now, actions);
}

} // namespace

bool offerRequest(Entry &entry, PendingRequest &request, Time now, EntryActions &actions)
{
    const std::optional<RoutingDecision> decision = routeRequest(entry, request, now);
    if (!decision) {
        linkToSpares(entry, request.route_.targets_, now, actions);
        return false;
    }
    const Peer &peer = entry.fleet_.peers_.at(decision->vm_);
    EntryAttempt attempt;
    attempt.id_ = nextAttempt(entry);
    attempt.request_ = request.id_;
    attempt.vm_ = decision->vm_;
    attempt.address_ = peer.listed_.address_;
    attempt.incarnation_ = peer.incarnation_;
    attempt.account_ = request.account_;
    attempt.reservedTokens_ = tokensOf(request);
    attempt.heardAt_ = now;
    attempt.deadline_ = request.deadline_;
    moveReservation(entry, request, attempt.id_);
    request.attempt_ = attempt.id_;
    request.stage_ = Stage::Offered;
    recordSentAttempt(entry.routing_.at(request.route_.targets_), attempt.vm_,
                      request.route_.adapter_);
    actions.emplace_back(SendMessage{attempt.address_, offerFor(request, attempt, now)});
    entry.attempts_.emplace(attempt.id_, std::move(attempt));
    return true;
}

void takeAttemptMessage(Entry &entry, const Envelope &envelope, Time now, EntryActions &actions)
{
    const std::optional<AttemptId> id = attemptNamed(envelope.message_);
    if (!id)
        return;
    const auto found = entry.attempts_.find(*id);
    if (found == entry.attempts_.end() || found->second.vm_ != envelope.from_) {
        ++entry.unmatchedMessages_;
        return;
    }
    takeFor(entry, found->second, envelope.message_, now, actions);
}

void takeSendFailed(Entry &entry, const SendFailed &failed, Time now, EntryActions &actions)
{
    const auto *offer = std::get_if<Offer>(&failed.message_);
    if (offer == nullptr)
        return;
    const auto found = entry.attempts_.find(offer->attempt_);
    if (found == entry.attempts_.end())
        return;
    const EntryAttempt attempt = found->second;
    takeNotRun(entry, attempt, Reason::LinkLost, 0, now, actions);
}

void watchAttempts(Entry &entry, Time now, EntryActions &actions)
{
    std::vector<AttemptId> ids;
    for (const auto &[id, attempt] : entry.attempts_)
        ids.push_back(id);
    for (const AttemptId &id : ids) {
        const auto found = entry.attempts_.find(id);
        if (found != entry.attempts_.end())
            watchAttempt(entry, found->second, now, actions);
    }
}

void askAfterLinkUp(Entry &entry, const std::string &address, EntryActions &actions)
{
    for (auto &[id, attempt] : entry.attempts_) {
        if (attempt.address_ != address)
            continue;
        const PendingRequest *request = requestOf(entry, attempt);
        ask(attempt, request == nullptr ? 0 : request->received_, false, actions);
    }
}

void abandonAttempt(Entry &entry, const AttemptId &id, EntryActions &actions)
{
    const auto found = entry.attempts_.find(id);
    if (found == entry.attempts_.end())
        return;
    found->second.abandoned_ = true;
    actions.emplace_back(SendMessage{found->second.address_, AttemptCancel{id}});
}

} // namespace eelgrasscove
