#include "Target/doorstep.h"
#include "Target/rulecheck.h"

#include <algorithm>
#include <type_traits>

namespace eelgrasscove {

namespace {

/// Least time told to a caller to wait.
constexpr std::int64_t leastRetryMillis = 100;
/// After a refusal that the entry can mend by itself, with newer rules or another target.
constexpr std::int64_t quickRetryMillis = 50;

std::int64_t millis(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

std::int64_t queueMillis(const Door &door)
{
    const std::uint32_t slots = std::max(door.engine_.batchSlots_, 1U);
    return std::max(leastRetryMillis, millis(door.runTime_) * queuedCount(door) / slots);
}

std::int64_t retryAfterMillis(const DoorStep &step, const Offer &offer, Reason reason)
{
    const Door &door = step.door_;
    switch (reason) {
    case Reason::QueueFull:
        return queueMillis(door);
    case Reason::AdapterLoadFailed:
        return millis(givenUpFor(door.residency_, offer.adapter_, step.now_).value_or(Duration(0)));
    case Reason::SuspectedKiller:
        return millis(refusedFor(door.strikes_, offer.fingerprint_, step.now_));
    case Reason::RulesStale:
    case Reason::EngineDown:
        return quickRetryMillis;
    default:
        return 0;
    }
}

bool rulesTooOld(const DoorStep &step, const Offer &offer)
{
    const Door &door = step.door_;
    return !offer.keyId_.empty()
        && step.now_ - door.rulesHeardAt_ > door.policy_.rules_.staleAfter_;
}

Reason checkLoad(const DoorStep &step, const Offer &offer)
{
    const Door &door = step.door_;
    if (door.engine_.status_ == EngineStatus::Down)
        return Reason::EngineDown;
    if (suspicionOf(door.strikes_, offer.fingerprint_, step.now_) == Suspicion::Refuse)
        return Reason::SuspectedKiller;
    if (givenUpFor(door.residency_, offer.adapter_, step.now_))
        return Reason::AdapterLoadFailed;
    if (queuedCount(door) >= door.policy_.target_.queue_)
        return Reason::QueueFull;
    return Reason::None;
}

Reason checkAdmission(const DoorStep &step, const Offer &offer)
{
    const Door &door = step.door_;
    if (door.leaving_)
        return Reason::Leaving;
    if (offer.timeLeftMicros_ <= 0)
        return Reason::DeadlinePassed;
    if (rulesTooOld(step, offer))
        return Reason::RulesStale;
    const Reason reason = checkOffer(door.rules_, offer, door.policy_.target_.group_);
    return reason == Reason::None ? checkLoad(step, offer) : reason;
}

void sendRefusal(DoorStep &step, const std::string &address, const AttemptId &attempt,
                 Reason reason, std::int64_t retryMillis)
{
    step.send(address, OfferRefused{attempt, reason, retryMillis});
}

void sendClosed(DoorStep &step, const std::string &address, const AttemptId &attempt,
                const ClosedAttempt &closed)
{
    if (closed.runState_ == RunState::NotRun) {
        sendRefusal(step, address, attempt, closed.reason_, 0);
        return;
    }
    step.send(address, AttemptFailed{attempt, closed.runState_, closed.reason_, closed.tokensRun_});
}

void acceptOffer(DoorStep &step, const std::string &address, Offer &&offer)
{
    Door &door = step.door_;
    QueueItem item{.attempt_ = offer.attempt_,
                   .account_ = offer.account_,
                   .adapter_ = offer.adapter_,
                   .priority_ = offer.priority_,
                   .cost_ = std::max<std::int64_t>(offer.reservedTokens_, 1),
                   .since_ = step.now_};
    AttemptInHand attempt;
    attempt.replyAddress_ = address;
    attempt.receivedAt_ = step.now_;
    attempt.deadline_ = step.now_ + Duration(offer.timeLeftMicros_);
    attempt.offer_ = std::move(offer);
    step.send(address, OfferAccepted{item.attempt_});
    step.act(DoorEvent{.kind_ = DoorEventKind::AttemptAccepted,
                       .attempt_ = item.attempt_,
                       .request_ = attempt.offer_.request_,
                       .adapter_ = item.adapter_});
    door.attempts_.inHand_.emplace(item.attempt_, std::move(attempt));
    enqueue(door.queue_, std::move(item));
}

void askForRules(DoorStep &step, const std::string &address)
{
    Door &door = step.door_;
    if (door.rulesAskedAt_ && step.now_ - *door.rulesAskedAt_ < door.policy_.rulesAskPeriod_)
        return;
    door.rulesAskedAt_ = step.now_;
    step.send(address, RulesRequest{door.rules_.revision_});
}

void refuseOffer(DoorStep &step, const std::string &address, const Offer &offer, Reason reason)
{
    Door &door = step.door_;
    const ClosedAttempt outcome{.runState_ = RunState::NotRun, .reason_ = reason};
    closeAttempt(door.attempts_, offer.attempt_, outcome, step.now_);
    sendRefusal(step, address, offer.attempt_, reason, retryAfterMillis(step, offer, reason));
    step.act(DoorEvent{.kind_ = DoorEventKind::AttemptRefused,
                       .attempt_ = offer.attempt_,
                       .request_ = offer.request_,
                       .adapter_ = offer.adapter_,
                       .reason_ = reason});
}

void takeOffer(DoorStep &step, const std::string &address, Offer &&offer)
{
    Door &door = step.door_;
    if (offer.targetIncarnation_ != door.incarnation_) {
        sendRefusal(step, address, offer.attempt_, Reason::WrongIncarnation, 0);
        return;
    }
    if (AttemptInHand *known = findAttempt(door.attempts_, offer.attempt_)) {
        known->replyAddress_ = address;
        step.send(address, OfferAccepted{offer.attempt_});
        return;
    }
    const auto closed = door.attempts_.closed_.find(offer.attempt_);
    if (closed != door.attempts_.closed_.end()) {
        sendClosed(step, address, offer.attempt_, closed->second);
        return;
    }
    if (door.rules_.revision_ < offer.rulesRevision_)
        askForRules(step, address);
    const Reason reason = checkAdmission(step, offer);
    if (reason == Reason::None)
        acceptOffer(step, address, std::move(offer));
    else
        refuseOffer(step, address, offer, reason);
}

void buryQueued(DoorStep &step, const AttemptInHand &attempt)
{
    Door &door = step.door_;
    const AttemptId id = attempt.offer_.attempt_;
    const std::string address = attempt.replyAddress_;
    if (!writeTombstone(door.attempts_, id, Reason::Tombstone, step.now_)) {
        step.send(address, OfferAccepted{id});
        return;
    }
    unqueue(door, attempt);
    closeAttempt(door.attempts_, id, {}, step.now_);
    sendRefusal(step, address, id, Reason::Tombstone, 0);
}

void sendEnd(DoorStep &step, const AttemptInHand &attempt)
{
    if (attempt.failure_) {
        step.send(attempt.replyAddress_, *attempt.failure_);
        return;
    }
    step.send(attempt.replyAddress_,
              AnswerEnd{attempt.offer_.attempt_, attempt.answer_.length(), attempt.tokensRun_});
}

void giveUpAnswer(DoorStep &step, AttemptInHand &attempt)
{
    step.send(attempt.replyAddress_,
              AttemptFailed{attempt.offer_.attempt_, RunState::Ran, Reason::LinkLost,
                            attempt.tokensRun_});
    if (attempt.stage_ == AttemptStage::Running)
        stopRun(step, attempt, Reason::LinkLost);
}

void resumeAnswer(DoorStep &step, AttemptInHand &attempt, std::uint64_t haveOffset)
{
    const AnswerLog &answer = attempt.answer_;
    const AttemptId &id = attempt.offer_.attempt_;
    if (haveOffset < answer.firstOffset_) {
        giveUpAnswer(step, attempt);
        return;
    }
    step.send(attempt.replyAddress_, OfferAccepted{id});
    if (answer.headKnown_)
        step.send(attempt.replyAddress_, AnswerHead{id, answer.status_, answer.contentType_});
    if (haveOffset < answer.length()) {
        const std::size_t from = haveOffset - answer.firstOffset_;
        step.send(attempt.replyAddress_,
                  AnswerChunk{id, haveOffset, answer.bytes_.substr(from), attempt.tokensRun_});
    }
    if (attempt.stage_ == AttemptStage::Ended)
        sendEnd(step, attempt);
}

void answerUnknown(DoorStep &step, const std::string &address, const AttemptId &attempt)
{
    const bool buried = writeTombstone(step.door_.attempts_, attempt, Reason::Tombstone, step.now_);
    if (buried)
        sendRefusal(step, address, attempt, Reason::Tombstone, 0);
    else
        step.send(address, AttemptFailed{attempt, RunState::OutcomeUnknown, Reason::LinkLost, 0});
}

void takeQuery(DoorStep &step, const std::string &address, const AttemptQuery &query)
{
    Door &door = step.door_;
    if (query.targetIncarnation_ != door.incarnation_) {
        step.send(
            address,
            AttemptFailed{query.attempt_, RunState::OutcomeUnknown, Reason::WrongIncarnation, 0});
        return;
    }
    AttemptInHand *attempt = findAttempt(door.attempts_, query.attempt_);
    if (!attempt) {
        const auto closed = door.attempts_.closed_.find(query.attempt_);
        if (closed == door.attempts_.closed_.end())
            answerUnknown(step, address, query.attempt_);
        else
            sendClosed(step, address, query.attempt_, closed->second);
        return;
    }
    attempt->replyAddress_ = address;
    if (attempt->stage_ != AttemptStage::Queued)
        resumeAnswer(step, *attempt, query.haveOffset_);
    else if (query.giveUp_)
        buryQueued(step, *attempt);
    else
        step.send(address, OfferAccepted{query.attempt_});
}

void takeCancel(DoorStep &step, const AttemptCancel &cancel)
{
    Door &door = step.door_;
    AttemptInHand *attempt = findAttempt(door.attempts_, cancel.attempt_);
    if (!attempt) {
        if (!door.attempts_.closed_.contains(cancel.attempt_))
            writeTombstone(door.attempts_, cancel.attempt_, Reason::Cancelled, step.now_);
        return;
    }
    if (attempt->stage_ == AttemptStage::Queued)
        refuseQueued(step, cancel.attempt_, Reason::Cancelled);
    else if (attempt->stage_ == AttemptStage::Running)
        stopRun(step, *attempt, Reason::Cancelled);
}

void takeReceived(DoorStep &step, const AnswerReceived &received)
{
    Door &door = step.door_;
    const AttemptInHand *attempt = findAttempt(door.attempts_, received.attempt_);
    if (!attempt || attempt->stage_ != AttemptStage::Ended)
        return;
    ClosedAttempt outcome{
        .runState_ = RunState::Ran, .reason_ = Reason::LinkLost, .tokensRun_ = attempt->tokensRun_};
    if (attempt->failure_) {
        outcome.runState_ = attempt->failure_->runState_;
        outcome.reason_ = attempt->failure_->reason_;
    }
    closeAttempt(door.attempts_, received.attempt_, outcome, step.now_);
}

void takePeerHeartbeat(DoorStep &step, const std::string &address, const Heartbeat &heartbeat)
{
    Door &door = step.door_;
    door.rulesHeardAt_ = step.now_;
    if (heartbeat.role_ == Role::Target)
        takeStrikes(door.strikes_, heartbeat.strikes_, step.now_);
    if (heartbeat.rulesRevision_ > door.rules_.revision_)
        askForRules(step, address);
}

} // namespace

void takeMessage(DoorStep &step, MessageReceived &&received)
{
    const std::string &address = received.replyAddress_;
    const auto take = [&](auto &&message) {
        using T = std::decay_t<decltype(message)>;
        if constexpr (std::is_same_v<T, Offer>)
            takeOffer(step, address, std::forward<decltype(message)>(message));
        else if constexpr (std::is_same_v<T, AttemptQuery>)
            takeQuery(step, address, message);
        else if constexpr (std::is_same_v<T, AttemptCancel>)
            takeCancel(step, message);
        else if constexpr (std::is_same_v<T, AnswerReceived>)
            takeReceived(step, message);
        else if constexpr (std::is_same_v<T, Heartbeat>)
            takePeerHeartbeat(step, address, message);
    };
    std::visit(take, std::move(received.message_));
}

void takeRules(DoorStep &step, Rules &&rules)
{
    Door &door = step.door_;
    door.rulesHeardAt_ = step.now_;
    if (rules.revision_ <= door.rules_.revision_)
        return;
    door.rules_ = std::move(rules);
    step.act(
        DoorEvent{.kind_ = DoorEventKind::RulesAdopted, .number_ = door.rules_.revision_.value_});
    for (const AttemptId &id : queuedAttempts(door, [](const QueueItem &) { return true; })) {
        const Offer &offer = door.attempts_.inHand_.at(id).offer_;
        const Reason reason = checkOffer(door.rules_, offer, door.policy_.target_.group_);
        if (reason != Reason::None)
            refuseQueued(step, id, reason);
    }
}

} // namespace eelgrasscove
