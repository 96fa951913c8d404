#include "Target/doorstep.h"

#include <algorithm>

namespace eelgrasscove {

namespace {

/// Weight of the newest run in the smoothed run time, as one part in so many.
constexpr int runTimeParts = 8;

constexpr std::uint32_t statusNotFound = 404;

void noteRunTime(Door &door, const AttemptInHand &attempt, Time now)
{
    const Duration taken = now - attempt.startedAt_;
    door.runTime_ += (taken - door.runTime_) / runTimeParts;
}

void noteEvent(DoorStep &step, DoorEventKind kind, const AttemptInHand &attempt, Reason reason)
{
    step.act(DoorEvent{.kind_ = kind,
                       .attempt_ = attempt.offer_.attempt_,
                       .request_ = attempt.offer_.request_,
                       .adapter_ = attempt.offer_.adapter_,
                       .reason_ = reason});
}

void noteRunSpan(DoorStep &step, const AttemptInHand &attempt)
{
    step.act(DoorSpan{.kind_ = DoorSpanKind::Target,
                      .traceparent_ = attempt.offer_.traceparent_,
                      .attempt_ = attempt.offer_.attempt_,
                      .adapter_ = attempt.offer_.adapter_,
                      .start_ = attempt.startedAt_,
                      .end_ = step.now_});
}

/// The run's adapter has gone from the engine behind our back; the engine refused to run it.
void takeMissingAdapter(DoorStep &step, const AttemptInHand &attempt)
{
    const AttemptId id = attempt.offer_.attempt_;
    step.command(CancelRun{id});
    releaseRun(step, attempt);
    refuseAttempt(step, id, Reason::AdapterLoadFailed);
    settleResidents(step);
}

/// What to say of a run that was told to stop.
RunState stoppedState(const Door &door)
{
    return door.policy_.target_.engine_ ? RunState::Ran : RunState::OutcomeUnknown;
}

AttemptInHand *runOf(Door &door, const AttemptId &id)
{
    AttemptInHand *attempt = findAttempt(door.attempts_, id);
    return attempt && attempt->stage_ == AttemptStage::Running ? attempt : nullptr;
}

void takeLostConnection(DoorStep &step, AttemptInHand &attempt)
{
    Door &door = step.door_;
    if (!door.policy_.target_.engine_) {
        const bool stopped = attempt.stopping_ != Reason::None;
        releaseRun(step, attempt);
        failRun(step, attempt, RunState::OutcomeUnknown,
                stopped ? attempt.stopping_ : Reason::TargetError);
        return;
    }
    if (attempt.stopping_ != Reason::None) {
        releaseRun(step, attempt);
        awaitGone(door, attempt.offer_.attempt_, attempt.offer_.adapter_);
        failRun(step, attempt, stoppedState(door), attempt.stopping_);
        readState(step);
        return;
    }
    attempt.stage_ = AttemptStage::Lost;
    attempt.judgedByRead_ = door.engine_.lastRead_ + 1;
    readState(step);
}

} // namespace

void refuseAttempt(DoorStep &step, const AttemptId &attempt, Reason reason)
{
    Door &door = step.door_;
    const AttemptInHand &known = door.attempts_.inHand_.at(attempt);
    step.send(known.replyAddress_, OfferRefused{attempt, reason, 0});
    noteEvent(step, DoorEventKind::AttemptRefused, known, reason);
    const ClosedAttempt outcome{.runState_ = RunState::NotRun, .reason_ = reason};
    closeAttempt(door.attempts_, attempt, outcome, step.now_);
}

void refuseQueued(DoorStep &step, const AttemptId &attempt, Reason reason)
{
    unqueue(step.door_, step.door_.attempts_.inHand_.at(attempt));
    refuseAttempt(step, attempt, reason);
}

void stopRun(DoorStep &step, AttemptInHand &attempt, Reason reason)
{
    if (attempt.stopping_ != Reason::None)
        return;
    attempt.stopping_ = reason;
    step.command(CancelRun{attempt.offer_.attempt_});
}

void releaseRun(DoorStep &step, const AttemptInHand &attempt)
{
    Door &door = step.door_;
    --door.running_;
    releaseAdapter(door.residency_, attempt.offer_.adapter_);
    if (door.runningSuspect_ != attempt.offer_.attempt_)
        return;
    door.runningSuspect_ = {};
    door.suspectsHeldUntil_ = step.now_ + door.policy_.suspectPatience_;
}

void failRun(DoorStep &step, AttemptInHand &attempt, RunState state, Reason reason)
{
    attempt.failure_ = AttemptFailed{attempt.offer_.attempt_, state, reason, attempt.tokensRun_};
    step.send(attempt.replyAddress_, *attempt.failure_);
    noteEvent(step, DoorEventKind::AttemptFailed, attempt, reason);
    noteRunSpan(step, attempt);
    markEnded(step.door_.attempts_, attempt, step.now_);
}

void takeRunHead(DoorStep &step, RunHead &&head)
{
    AttemptInHand *attempt = runOf(step.door_, head.attempt_);
    if (!attempt)
        return;
    if (head.status_ == statusNotFound && !attempt->offer_.adapter_.empty()) {
        takeMissingAdapter(step, *attempt);
        return;
    }
    AnswerLog &answer = attempt->answer_;
    answer.headKnown_ = true;
    answer.status_ = head.status_;
    answer.contentType_ = std::move(head.contentType_);
    step.send(attempt->replyAddress_,
              AnswerHead{head.attempt_, answer.status_, answer.contentType_});
}

void takeRunBytes(DoorStep &step, RunBytes &&bytes)
{
    AttemptInHand *attempt = runOf(step.door_, bytes.attempt_);
    if (!attempt)
        return;
    attempt->tokensRun_ = attempt->offer_.promptTokens_ + bytes.generatedTokens_;
    const std::uint64_t offset = attempt->answer_.length();
    appendAnswer(step.door_.attempts_, *attempt, bytes.bytes_, step.now_);
    step.send(attempt->replyAddress_,
              AnswerChunk{bytes.attempt_, offset, std::move(bytes.bytes_), attempt->tokensRun_});
}

void takeRunEnded(DoorStep &step, const RunEnded &ended)
{
    Door &door = step.door_;
    AttemptInHand *attempt = runOf(door, ended.attempt_);
    if (!attempt)
        return;
    if (!attempt->offer_.adapter_.empty())
        attempt->tokensRun_ = attempt->offer_.promptTokens_ + ended.generatedTokens_;
    releaseRun(step, *attempt);
    noteRunTime(door, *attempt, step.now_);
    clearSuspicion(door.strikes_, attempt->offer_.fingerprint_);
    refund(door.queue_, attempt->offer_.account_,
           attempt->offer_.reservedTokens_ - attempt->tokensRun_);
    if (attempt->stopping_ != Reason::None && attempt->stopping_ != Reason::LinkLost) {
        failRun(step, *attempt, stoppedState(door), attempt->stopping_);
        return;
    }
    step.send(attempt->replyAddress_,
              AnswerEnd{ended.attempt_, attempt->answer_.length(), attempt->tokensRun_});
    noteEvent(step, DoorEventKind::AttemptEnded, *attempt, Reason::None);
    noteRunSpan(step, *attempt);
    markEnded(door.attempts_, *attempt, step.now_);
}

void takeRunFailed(DoorStep &step, const RunFailed &failed)
{
    Door &door = step.door_;
    AttemptInHand *attempt = runOf(door, failed.attempt_);
    if (!attempt)
        return;
    if (failed.sent_) {
        takeLostConnection(step, *attempt);
        return;
    }
    releaseRun(step, *attempt);
    const bool stopped = attempt->stopping_ != Reason::None;
    refuseAttempt(step, failed.attempt_, stopped ? attempt->stopping_ : Reason::EngineDown);
    if (door.policy_.target_.engine_)
        readState(step);
}

void enforceDeadlines(DoorStep &step)
{
    Door &door = step.door_;
    std::vector<AttemptId> late;
    for (auto &[id, attempt] : door.attempts_.inHand_) {
        if (attempt.deadline_ > step.now_)
            continue;
        if (attempt.stage_ == AttemptStage::Queued)
            late.push_back(id);
        else if (attempt.stage_ == AttemptStage::Running)
            stopRun(step, attempt, Reason::DeadlinePassed);
    }
    for (const AttemptId &id : late)
        refuseQueued(step, id, Reason::DeadlinePassed);
}

} // namespace eelgrasscove
