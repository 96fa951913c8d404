#include "Target/schedulerstep.h"

#include <algorithm>

namespace eelgrasscove {

namespace {

/// Reciprocal of the weight of the newest run in the smoothed run time.
constexpr int runTimeSmoothingDivisor = 8;

constexpr std::uint32_t statusNotFound = 404;

void recordRunTime(TargetScheduler &scheduler, const OpenAttempt &attempt, Time now)
{
    const Duration runDuration = now - attempt.startedAt_;
    scheduler.smoothedRunTime_ +=
        (runDuration - scheduler.smoothedRunTime_) / runTimeSmoothingDivisor;
}

void recordEvent(SchedulerStep &step, SchedulerEventKind kind, const OpenAttempt &attempt,
                 Reason reason)
{
    step.addAction(SchedulerEvent{.kind_ = kind,
                                  .attempt_ = attempt.offer_.attempt_,
                                  .request_ = attempt.offer_.request_,
                                  .adapter_ = attempt.offer_.adapter_,
                                  .reason_ = reason});
}

void recordRunSpan(SchedulerStep &step, const OpenAttempt &attempt)
{
    step.addAction(SchedulerSpan{.kind_ = SchedulerSpanKind::Target,
                                 .traceparent_ = attempt.offer_.traceparent_,
                                 .attempt_ = attempt.offer_.attempt_,
                                 .adapter_ = attempt.offer_.adapter_,
                                 .start_ = attempt.startedAt_,
                                 .end_ = step.now_});
}

/// Handles a run that the engine refused because its adapter is no longer resident, although this
/// process did not unload it.
void handleMissingAdapter(SchedulerStep &step, const OpenAttempt &attempt)
{
    const AttemptId id = attempt.offer_.attempt_;
    step.addCommand(CancelRun{id});
    releaseRun(step, attempt);
    refuseAttempt(step, id, Reason::AdapterLoadFailed);
    awaitResidents(step);
}

/// Returns the run state to report for a cancelled run.
RunState cancelledRunState(const TargetScheduler &scheduler)
{
    return scheduler.policy_.target_.engine_ ? RunState::Ran : RunState::OutcomeUnknown;
}

OpenAttempt *findRunningAttempt(TargetScheduler &scheduler, const AttemptId &id)
{
    OpenAttempt *attempt = findAttempt(scheduler.attempts_, id);
    return attempt && attempt->stage_ == AttemptStage::Running ? attempt : nullptr;
}

void handleLostConnection(SchedulerStep &step, OpenAttempt &attempt)
{
    TargetScheduler &scheduler = step.scheduler_;
    if (!scheduler.policy_.target_.engine_) {
        const bool wasStopped = attempt.stopReason_ != Reason::None;
        releaseRun(step, attempt);
        failRun(step, attempt, RunState::OutcomeUnknown,
                wasStopped ? attempt.stopReason_ : Reason::TargetError);
        return;
    }
    if (attempt.stopReason_ != Reason::None) {
        releaseRun(step, attempt);
        trackForeignRun(scheduler, attempt.offer_.attempt_, attempt.offer_.adapter_);
        failRun(step, attempt, cancelledRunState(scheduler), attempt.stopReason_);
        requestEngineState(step);
        return;
    }
    attempt.stage_ = AttemptStage::ConnectionLost;
    attempt.firstConclusiveRead_ = scheduler.engine_.lastRead_ + 1;
    requestEngineState(step);
}

} // namespace

void refuseAttempt(SchedulerStep &step, const AttemptId &attempt, Reason reason)
{
    TargetScheduler &scheduler = step.scheduler_;
    const OpenAttempt &open = scheduler.attempts_.open_.at(attempt);
    step.send(open.replyAddress_, OfferRefused{attempt, reason, 0});
    recordEvent(step, SchedulerEventKind::AttemptRefused, open, reason);
    const ClosedAttempt outcome{.runState_ = RunState::NotRun, .reason_ = reason};
    closeAttempt(scheduler.attempts_, attempt, outcome, step.now_);
}

void refuseQueued(SchedulerStep &step, const AttemptId &attempt, Reason reason)
{
    removeFromQueue(step.scheduler_, step.scheduler_.attempts_.open_.at(attempt));
    refuseAttempt(step, attempt, reason);
}

void stopRun(SchedulerStep &step, OpenAttempt &attempt, Reason reason)
{
    if (attempt.stopReason_ != Reason::None)
        return;
    attempt.stopReason_ = reason;
    step.addCommand(CancelRun{attempt.offer_.attempt_});
}

void releaseRun(SchedulerStep &step, const OpenAttempt &attempt)
{
    TargetScheduler &scheduler = step.scheduler_;
    --scheduler.running_;
    releaseAdapter(scheduler.residency_, attempt.offer_.adapter_);
    if (scheduler.runningSuspect_ != attempt.offer_.attempt_)
        return;
    scheduler.runningSuspect_ = {};
    scheduler.nextSuspectAt_ = step.now_ + scheduler.policy_.maxSuspectWait_;
}

void failRun(SchedulerStep &step, OpenAttempt &attempt, RunState state, Reason reason)
{
    attempt.failure_ = AttemptFailed{attempt.offer_.attempt_, state, reason, attempt.tokensRun_};
    step.send(attempt.replyAddress_, *attempt.failure_);
    recordEvent(step, SchedulerEventKind::AttemptFailed, attempt, reason);
    recordRunSpan(step, attempt);
    markEnded(step.scheduler_.attempts_, attempt, step.now_);
}

void handleRunHead(SchedulerStep &step, RunResponseHead &&head)
{
    OpenAttempt *attempt = findRunningAttempt(step.scheduler_, head.attempt_);
    if (!attempt)
        return;
    if (head.status_ == statusNotFound && !attempt->offer_.adapter_.empty()) {
        handleMissingAdapter(step, *attempt);
        return;
    }
    ResponseBuffer &answer = attempt->response_;
    answer.hasHead_ = true;
    answer.status_ = head.status_;
    answer.contentType_ = std::move(head.contentType_);
    step.send(attempt->replyAddress_,
              AnswerHead{head.attempt_, answer.status_, answer.contentType_});
}

void handleRunBytes(SchedulerStep &step, RunResponseBytes &&bytes)
{
    OpenAttempt *attempt = findRunningAttempt(step.scheduler_, bytes.attempt_);
    if (!attempt)
        return;
    attempt->tokensRun_ = attempt->offer_.promptTokens_ + bytes.generatedTokens_;
    const std::uint64_t offset = attempt->response_.length();
    appendResponse(step.scheduler_.attempts_, *attempt, bytes.bytes_, step.now_);
    step.send(attempt->replyAddress_,
              AnswerChunk{bytes.attempt_, offset, std::move(bytes.bytes_), attempt->tokensRun_});
}

void handleRunEnded(SchedulerStep &step, const RunEnded &ended)
{
    TargetScheduler &scheduler = step.scheduler_;
    OpenAttempt *attempt = findRunningAttempt(scheduler, ended.attempt_);
    if (!attempt)
        return;
    if (!attempt->offer_.adapter_.empty())
        attempt->tokensRun_ = attempt->offer_.promptTokens_ + ended.generatedTokens_;
    releaseRun(step, *attempt);
    recordRunTime(scheduler, *attempt, step.now_);
    clearSuspicion(scheduler.crashCounts_, attempt->offer_.fingerprint_);
    refundTokens(scheduler.queue_, attempt->offer_.account_,
                 attempt->offer_.reservedTokens_ - attempt->tokensRun_);
    if (attempt->stopReason_ != Reason::None && attempt->stopReason_ != Reason::LinkLost) {
        failRun(step, *attempt, cancelledRunState(scheduler), attempt->stopReason_);
        return;
    }
    step.send(attempt->replyAddress_,
              AnswerEnd{ended.attempt_, attempt->response_.length(), attempt->tokensRun_});
    recordEvent(step, SchedulerEventKind::AttemptEnded, *attempt, Reason::None);
    recordRunSpan(step, *attempt);
    markEnded(scheduler.attempts_, *attempt, step.now_);
}

void handleRunFailed(SchedulerStep &step, const RunFailed &failed)
{
    TargetScheduler &scheduler = step.scheduler_;
    OpenAttempt *attempt = findRunningAttempt(scheduler, failed.attempt_);
    if (!attempt)
        return;
    if (failed.mayHaveBeenSent_) {
        handleLostConnection(step, *attempt);
        return;
    }
    releaseRun(step, *attempt);
    const bool wasStopped = attempt->stopReason_ != Reason::None;
    refuseAttempt(step, failed.attempt_, wasStopped ? attempt->stopReason_ : Reason::EngineDown);
    if (scheduler.policy_.target_.engine_)
        requestEngineState(step);
}

void enforceDeadlines(SchedulerStep &step)
{
    TargetScheduler &scheduler = step.scheduler_;
    std::vector<AttemptId> expired;
    for (auto &[id, attempt] : scheduler.attempts_.open_) {
        if (attempt.deadline_ > step.now_)
            continue;
        if (attempt.stage_ == AttemptStage::Queued)
            expired.push_back(id);
        else if (attempt.stage_ == AttemptStage::Running)
            stopRun(step, attempt, Reason::DeadlinePassed);
    }
    for (const AttemptId &id : expired)
        refuseQueued(step, id, Reason::DeadlinePassed);
}

} // namespace eelgrasscove
