#include "Target/rulecheck.h"
#include "Target/schedulerstep.h"

#include <algorithm>
#include <type_traits>

namespace eelgrasscove {

namespace {

/// Minimum retry delay reported when the queue is full.
constexpr std::int64_t minRetryMillis = 100;
/// Retry delay after a refusal that the entry can resolve itself, with newer rules or another
/// target.
constexpr std::int64_t quickRetryMillis = 50;

std::int64_t millis(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

std::int64_t estimateQueueMillis(const TargetScheduler &scheduler)
{
    const std::uint32_t slots = std::max(scheduler.engine_.batchSlots_, 1U);
    return std::max(minRetryMillis,
                    millis(scheduler.smoothedRunTime_) * queuedCount(scheduler) / slots);
}

std::int64_t retryAfterMillis(const SchedulerStep &step, const Offer &offer, Reason reason)
{
    const TargetScheduler &scheduler = step.scheduler_;
    switch (reason) {
    case Reason::QueueFull:
        return estimateQueueMillis(scheduler);
    case Reason::AdapterLoadFailed:
        return millis(
            timeUntilRetry(scheduler.residency_, offer.adapter_, step.now_).value_or(Duration(0)));
    case Reason::SuspectedKiller:
        return millis(refusalTimeLeft(scheduler.crashCounts_, offer.fingerprint_, step.now_));
    case Reason::RulesStale:
    case Reason::EngineDown:
        return quickRetryMillis;
    default:
        return 0;
    }
}

bool areRulesStale(const SchedulerStep &step, const Offer &offer)
{
    const TargetScheduler &scheduler = step.scheduler_;
    return !offer.keyId_.empty()
        && step.now_ - scheduler.rulesConfirmedAt_ > scheduler.policy_.rules_.staleAfter_;
}

Reason checkTargetState(const SchedulerStep &step, const Offer &offer)
{
    const TargetScheduler &scheduler = step.scheduler_;
    if (scheduler.engine_.status_ == EngineStatus::Down)
        return Reason::EngineDown;
    if (suspicionFor(scheduler.crashCounts_, offer.fingerprint_, step.now_) == Suspicion::Refuse)
        return Reason::SuspectedKiller;
    if (timeUntilRetry(scheduler.residency_, offer.adapter_, step.now_))
        return Reason::AdapterLoadFailed;
    if (queuedCount(scheduler) >= scheduler.policy_.target_.queue_)
        return Reason::QueueFull;
    return Reason::None;
}

Reason checkAdmission(const SchedulerStep &step, const Offer &offer)
{
    const TargetScheduler &scheduler = step.scheduler_;
    if (scheduler.isDraining_)
        return Reason::Leaving;
    if (offer.timeLeftMicros_ <= 0)
        return Reason::DeadlinePassed;
    if (areRulesStale(step, offer))
        return Reason::RulesStale;
    const Reason reason = checkOffer(scheduler.rules_, offer, scheduler.policy_.target_.group_);
    return reason == Reason::None ? checkTargetState(step, offer) : reason;
}

void sendRefusal(SchedulerStep &step, const std::string &address, const AttemptId &attempt,
                 Reason reason, std::int64_t retryMillis)
{
    step.send(address, OfferRefused{attempt, reason, retryMillis});
}

void sendClosed(SchedulerStep &step, const std::string &address, const AttemptId &attempt,
                const ClosedAttempt &closed)
{
    if (closed.runState_ == RunState::NotRun) {
        sendRefusal(step, address, attempt, closed.reason_, 0);
        return;
    }
    step.send(address, AttemptFailed{attempt, closed.runState_, closed.reason_, closed.tokensRun_});
}

void acceptOffer(SchedulerStep &step, const std::string &address, Offer &&offer)
{
    TargetScheduler &scheduler = step.scheduler_;
    QueueItem item{.attempt_ = offer.attempt_,
                   .account_ = offer.account_,
                   .adapter_ = offer.adapter_,
                   .priority_ = offer.priority_,
                   .cost_ = std::max<std::int64_t>(offer.reservedTokens_, 1),
                   .queuedAt_ = step.now_};
    OpenAttempt attempt;
    attempt.replyAddress_ = address;
    attempt.receivedAt_ = step.now_;
    attempt.deadline_ = step.now_ + Duration(offer.timeLeftMicros_);
    attempt.offer_ = std::move(offer);
    step.send(address, OfferAccepted{item.attempt_});
    step.addAction(SchedulerEvent{.kind_ = SchedulerEventKind::AttemptAccepted,
                                  .attempt_ = item.attempt_,
                                  .request_ = attempt.offer_.request_,
                                  .adapter_ = item.adapter_});
    scheduler.attempts_.open_.emplace(item.attempt_, std::move(attempt));
    enqueue(scheduler.queue_, std::move(item));
}

void requestRules(SchedulerStep &step, const std::string &address)
{
    TargetScheduler &scheduler = step.scheduler_;
    if (scheduler.rulesRequestedAt_
        && step.now_ - *scheduler.rulesRequestedAt_ < scheduler.policy_.rulesRequestPeriod_)
        return;
    scheduler.rulesRequestedAt_ = step.now_;
    step.send(address, RulesRequest{scheduler.rules_.revision_});
}

void refuseOffer(SchedulerStep &step, const std::string &address, const Offer &offer, Reason reason)
{
    TargetScheduler &scheduler = step.scheduler_;
    const ClosedAttempt outcome{.runState_ = RunState::NotRun, .reason_ = reason};
    closeAttempt(scheduler.attempts_, offer.attempt_, outcome, step.now_);
    sendRefusal(step, address, offer.attempt_, reason, retryAfterMillis(step, offer, reason));
    step.addAction(SchedulerEvent{.kind_ = SchedulerEventKind::AttemptRefused,
                                  .attempt_ = offer.attempt_,
                                  .request_ = offer.request_,
                                  .adapter_ = offer.adapter_,
                                  .reason_ = reason});
}

void handleOffer(SchedulerStep &step, const std::string &address, Offer &&offer)
{
    TargetScheduler &scheduler = step.scheduler_;
    if (offer.targetIncarnation_ != scheduler.incarnation_) {
        sendRefusal(step, address, offer.attempt_, Reason::WrongIncarnation, 0);
        return;
    }
    if (OpenAttempt *open = findAttempt(scheduler.attempts_, offer.attempt_)) {
        open->replyAddress_ = address;
        step.send(address, OfferAccepted{offer.attempt_});
        return;
    }
    const auto closed = scheduler.attempts_.closed_.find(offer.attempt_);
    if (closed != scheduler.attempts_.closed_.end()) {
        sendClosed(step, address, offer.attempt_, closed->second);
        return;
    }
    if (scheduler.rules_.revision_ < offer.rulesRevision_)
        requestRules(step, address);
    const Reason reason = checkAdmission(step, offer);
    if (reason == Reason::None)
        acceptOffer(step, address, std::move(offer));
    else
        refuseOffer(step, address, offer, reason);
}

void tombstoneQueued(SchedulerStep &step, const OpenAttempt &attempt)
{
    TargetScheduler &scheduler = step.scheduler_;
    const AttemptId id = attempt.offer_.attempt_;
    const std::string address = attempt.replyAddress_;
    if (!writeTombstone(scheduler.attempts_, id, Reason::Tombstone, step.now_)) {
        step.send(address, OfferAccepted{id});
        return;
    }
    removeFromQueue(scheduler, attempt);
    closeAttempt(scheduler.attempts_, id, {}, step.now_);
    sendRefusal(step, address, id, Reason::Tombstone, 0);
}

void sendEnd(SchedulerStep &step, const OpenAttempt &attempt)
{
    if (attempt.failure_) {
        step.send(attempt.replyAddress_, *attempt.failure_);
        return;
    }
    step.send(attempt.replyAddress_,
              AnswerEnd{attempt.offer_.attempt_, attempt.response_.length(), attempt.tokensRun_});
}

void abandonResponse(SchedulerStep &step, OpenAttempt &attempt)
{
    step.send(attempt.replyAddress_,
              AttemptFailed{attempt.offer_.attempt_, RunState::Ran, Reason::LinkLost,
                            attempt.tokensRun_});
    if (attempt.stage_ == AttemptStage::Running)
        stopRun(step, attempt, Reason::LinkLost);
}

void resumeResponse(SchedulerStep &step, OpenAttempt &attempt, std::uint64_t haveOffset)
{
    const ResponseBuffer &answer = attempt.response_;
    const AttemptId &id = attempt.offer_.attempt_;
    if (haveOffset < answer.firstOffset_) {
        abandonResponse(step, attempt);
        return;
    }
    step.send(attempt.replyAddress_, OfferAccepted{id});
    if (answer.hasHead_)
        step.send(attempt.replyAddress_, AnswerHead{id, answer.status_, answer.contentType_});
    if (haveOffset < answer.length()) {
        const std::size_t from = haveOffset - answer.firstOffset_;
        step.send(attempt.replyAddress_,
                  AnswerChunk{id, haveOffset, answer.bytes_.substr(from), attempt.tokensRun_});
    }
    if (attempt.stage_ == AttemptStage::Ended)
        sendEnd(step, attempt);
}

void replyToUnknownQuery(SchedulerStep &step, const std::string &address, const AttemptId &attempt)
{
    const bool hasTombstone =
        writeTombstone(step.scheduler_.attempts_, attempt, Reason::Tombstone, step.now_);
    if (hasTombstone)
        sendRefusal(step, address, attempt, Reason::Tombstone, 0);
    else
        step.send(address, AttemptFailed{attempt, RunState::OutcomeUnknown, Reason::LinkLost, 0});
}

void handleQuery(SchedulerStep &step, const std::string &address, const AttemptQuery &query)
{
    TargetScheduler &scheduler = step.scheduler_;
    if (query.targetIncarnation_ != scheduler.incarnation_) {
        step.send(
            address,
            AttemptFailed{query.attempt_, RunState::OutcomeUnknown, Reason::WrongIncarnation, 0});
        return;
    }
    OpenAttempt *attempt = findAttempt(scheduler.attempts_, query.attempt_);
    if (!attempt) {
        const auto closed = scheduler.attempts_.closed_.find(query.attempt_);
        if (closed == scheduler.attempts_.closed_.end())
            replyToUnknownQuery(step, address, query.attempt_);
        else
            sendClosed(step, address, query.attempt_, closed->second);
        return;
    }
    attempt->replyAddress_ = address;
    if (attempt->stage_ != AttemptStage::Queued)
        resumeResponse(step, *attempt, query.haveOffset_);
    else if (query.giveUp_)
        tombstoneQueued(step, *attempt);
    else
        step.send(address, OfferAccepted{query.attempt_});
}

void handleCancel(SchedulerStep &step, const AttemptCancel &cancel)
{
    TargetScheduler &scheduler = step.scheduler_;
    OpenAttempt *attempt = findAttempt(scheduler.attempts_, cancel.attempt_);
    if (!attempt) {
        if (!scheduler.attempts_.closed_.contains(cancel.attempt_))
            writeTombstone(scheduler.attempts_, cancel.attempt_, Reason::Cancelled, step.now_);
        return;
    }
    if (attempt->stage_ == AttemptStage::Queued)
        refuseQueued(step, cancel.attempt_, Reason::Cancelled);
    else if (attempt->stage_ == AttemptStage::Running)
        stopRun(step, *attempt, Reason::Cancelled);
}

void handleAnswerReceived(SchedulerStep &step, const AnswerReceived &received)
{
    TargetScheduler &scheduler = step.scheduler_;
    const OpenAttempt *attempt = findAttempt(scheduler.attempts_, received.attempt_);
    if (!attempt || attempt->stage_ != AttemptStage::Ended)
        return;
    ClosedAttempt outcome{
        .runState_ = RunState::Ran, .reason_ = Reason::LinkLost, .tokensRun_ = attempt->tokensRun_};
    if (attempt->failure_) {
        outcome.runState_ = attempt->failure_->runState_;
        outcome.reason_ = attempt->failure_->reason_;
    }
    closeAttempt(scheduler.attempts_, received.attempt_, outcome, step.now_);
}

void handlePeerHeartbeat(SchedulerStep &step, const std::string &address,
                         const Heartbeat &heartbeat)
{
    TargetScheduler &scheduler = step.scheduler_;
    scheduler.rulesConfirmedAt_ = step.now_;
    if (heartbeat.role_ == Role::Target)
        mergeCrashCounts(scheduler.crashCounts_, heartbeat.strikes_, step.now_);
    if (heartbeat.rulesRevision_ > scheduler.rules_.revision_)
        requestRules(step, address);
}

} // namespace

void handleMessage(SchedulerStep &step, MessageReceived &&received)
{
    const std::string &address = received.replyAddress_;
    const auto handle = [&](auto &&message) {
        using T = std::decay_t<decltype(message)>;
        if constexpr (std::is_same_v<T, Offer>)
            handleOffer(step, address, std::forward<decltype(message)>(message));
        else if constexpr (std::is_same_v<T, AttemptQuery>)
            handleQuery(step, address, message);
        else if constexpr (std::is_same_v<T, AttemptCancel>)
            handleCancel(step, message);
        else if constexpr (std::is_same_v<T, AnswerReceived>)
            handleAnswerReceived(step, message);
        else if constexpr (std::is_same_v<T, Heartbeat>)
            handlePeerHeartbeat(step, address, message);
    };
    std::visit(handle, std::move(received.message_));
}

void applyRules(SchedulerStep &step, Rules &&rules)
{
    TargetScheduler &scheduler = step.scheduler_;
    scheduler.rulesConfirmedAt_ = step.now_;
    if (rules.revision_ <= scheduler.rules_.revision_)
        return;
    scheduler.rules_ = std::move(rules);
    step.addAction(SchedulerEvent{.kind_ = SchedulerEventKind::RulesAdopted,
                                  .number_ = scheduler.rules_.revision_.value_});
    for (const AttemptId &id :
         findQueuedAttempts(scheduler, [](const QueueItem &) { return true; })) {
        const Offer &offer = scheduler.attempts_.open_.at(id).offer_;
        const Reason reason = checkOffer(scheduler.rules_, offer, scheduler.policy_.target_.group_);
        if (reason != Reason::None)
            refuseQueued(step, id, reason);
    }
}

} // namespace eelgrasscove
