#include "Target/schedulerstep.h"

#include <algorithm>
#include <unordered_set>

namespace eelgrasscove {

namespace {

std::vector<AttemptId> findAttemptsIn(const TargetScheduler &scheduler, AttemptStage stage)
{
    std::vector<AttemptId> runs;
    for (const auto &[id, attempt] : scheduler.attempts_.open_) {
        if (attempt.stage_ == stage)
            runs.push_back(id);
    }
    return runs;
}

std::vector<AttemptId> findConclusiveLostRuns(const TargetScheduler &scheduler, std::uint64_t read)
{
    std::vector<AttemptId> runs = findAttemptsIn(scheduler, AttemptStage::ConnectionLost);
    std::erase_if(runs, [&](const AttemptId &id) {
        return scheduler.attempts_.open_.at(id).firstConclusiveRead_ > read;
    });
    return runs;
}

void recordCrashOfRuns(SchedulerStep &step, const std::vector<AttemptId> &runs)
{
    TargetScheduler &scheduler = step.scheduler_;
    for (const AttemptId &id : runs) {
        const OpenAttempt &attempt = scheduler.attempts_.open_.at(id);
        if (attempt.stopReason_ == Reason::None)
            recordCrash(scheduler.crashCounts_, attempt.offer_.fingerprint_, step.now_);
    }
    // Sent before the failures, so that an entry's next attempt finds the counts at the peer
    // target.
    step.addAction(SendCrashCounts{});
}

/// Fails the runs that ended with a crash of the engine.
void failCrashedRuns(SchedulerStep &step, const std::vector<AttemptId> &runs)
{
    if (runs.empty())
        return;
    step.addAction(
        SchedulerEvent{.kind_ = SchedulerEventKind::EngineCrashed, .number_ = runs.size()});
    recordCrashOfRuns(step, runs);
    for (const AttemptId &id : runs) {
        OpenAttempt &attempt = step.scheduler_.attempts_.open_.at(id);
        step.addCommand(CancelRun{id});
        releaseRun(step, attempt);
        trackForeignRun(step.scheduler_, id, attempt.offer_.adapter_);
        const bool wasStopped = attempt.stopReason_ != Reason::None;
        failRun(step, attempt, RunState::OutcomeUnknown,
                wasStopped ? attempt.stopReason_ : Reason::EngineCrashed);
    }
}

/// Fails the runs that lost their connection while the engine stayed up.
void failDisconnectedRuns(SchedulerStep &step, std::uint64_t read)
{
    TargetScheduler &scheduler = step.scheduler_;
    for (const AttemptId &id : findConclusiveLostRuns(scheduler, read)) {
        OpenAttempt &attempt = scheduler.attempts_.open_.at(id);
        releaseRun(step, attempt);
        trackForeignRun(scheduler, id, attempt.offer_.adapter_);
        step.addCommand(CancelRun{id});
        failRun(step, attempt, RunState::OutcomeUnknown, Reason::TargetError);
    }
}

void supersede(SchedulerStep &step, FencingNumber other)
{
    TargetScheduler &scheduler = step.scheduler_;
    if (scheduler.isSuperseded_)
        return;
    scheduler.isSuperseded_ = true;
    scheduler.isDraining_ = true;
    scheduler.drainingSince_ = step.now_;
    step.addAction(
        SchedulerEvent{.kind_ = SchedulerEventKind::Superseded, .number_ = other.value_});
    step.addAction(SendHeartbeat{});
    for (const AttemptId &id :
         findQueuedAttempts(scheduler, [](const QueueItem &) { return true; }))
        refuseQueued(step, id, Reason::Leaving);
}

/// Returns whether a run that the engine lists was started by another process.
bool isForeign(const TargetScheduler &scheduler, const AttemptId &id)
{
    if (scheduler.engine_.foreign_.contains(id))
        return false;
    // A tombstone shows only that this process did not start the run.
    const auto closed = scheduler.attempts_.closed_.find(id);
    if (closed != scheduler.attempts_.closed_.end() && closed->second.runState_ != RunState::NotRun)
        return false;
    const auto found = scheduler.attempts_.open_.find(id);
    return found == scheduler.attempts_.open_.end() || found->second.stage_ == AttemptStage::Queued;
}

void cancelForeignRuns(SchedulerStep &step, const EngineState &state)
{
    for (const EngineRun &run : state.running_) {
        if (!isForeign(step.scheduler_, run.attempt_))
            continue;
        trackForeignRun(step.scheduler_, run.attempt_, run.adapter_);
        step.addCommand(CancelRun{run.attempt_});
        step.addAction(SchedulerEvent{.kind_ = SchedulerEventKind::ForeignRunCancelled,
                                      .attempt_ = run.attempt_,
                                      .adapter_ = run.adapter_});
    }
}

void removeEndedForeignRuns(TargetScheduler &scheduler, const EngineStateReceived &read)
{
    EngineView &engine = scheduler.engine_;
    std::unordered_set<AttemptId> present;
    for (const EngineRun &run : read.state_.running_)
        present.insert(run.attempt_);
    std::erase_if(engine.foreign_, [&](const auto &entry) {
        const auto &[id, run] = entry;
        if (present.contains(id) || run.firstConclusiveRead_ > read.readNumber_)
            return false;
        if (run.pinsAdapter_)
            releaseAdapter(scheduler.residency_, run.adapter_);
        return true;
    });
}

void addResident(Residency &residency, const AdapterKey &adapter, Time now)
{
    AdapterSlot &slot = residency.slots_[adapter];
    slot.stage_ = AdapterStage::Resident;
    slot.residentSince_ = now;
}

/// Rebuilds the slots from the engine's state; outstanding orders are dropped.
void rebuildResidents(SchedulerStep &step, const EngineState &state)
{
    Residency &residency = step.scheduler_.residency_;
    residency.slots_.clear();
    for (const AdapterKey &adapter : state.adapters_)
        addResident(residency, adapter, step.now_);
    step.scheduler_.engine_.areResidentsUncertain_ = false;
}

void refuseQueuedFor(SchedulerStep &step, const AdapterKey &adapter)
{
    const auto needsAdapter = [&](const QueueItem &item) { return item.adapter_ == adapter; };
    for (const AttemptId &id : findQueuedAttempts(step.scheduler_, needsAdapter))
        refuseQueued(step, id, Reason::AdapterLoadFailed);
}

void handleFailedLoad(SchedulerStep &step, const AdapterKey &adapter)
{
    TargetScheduler &scheduler = step.scheduler_;
    step.addAction(
        SchedulerEvent{.kind_ = SchedulerEventKind::AdapterLoadFailed, .adapter_ = adapter});
    if (recordFailedLoad(scheduler.residency_, adapter, scheduler.policy_.loads_, step.now_))
        refuseQueuedFor(step, adapter);
}

void handleLoaded(SchedulerStep &step, const AdapterKey &adapter)
{
    TargetScheduler &scheduler = step.scheduler_;
    const AdapterSlot &slot = scheduler.residency_.slots_.at(adapter);
    if (const OpenAttempt *attempt = findAttempt(scheduler.attempts_, slot.loadedFor_)) {
        step.addAction(SchedulerSpan{.kind_ = SchedulerSpanKind::Load,
                                     .traceparent_ = attempt->offer_.traceparent_,
                                     .attempt_ = slot.loadedFor_,
                                     .adapter_ = adapter,
                                     .start_ = slot.loadStartedAt_,
                                     .end_ = step.now_});
    }
    recordLoaded(scheduler.residency_, adapter, true, step.now_);
    step.addAction(SchedulerEvent{.kind_ = SchedulerEventKind::AdapterLoaded, .adapter_ = adapter});
    step.addAction(SendHeartbeat{});
}

/// Updates a slot from a reading of the engine's state. Returns whether the slot is free and is to
/// be removed.
bool reconcileSlot(SchedulerStep &step, const AdapterKey &adapter, bool present)
{
    AdapterSlot &slot = step.scheduler_.residency_.slots_.at(adapter);
    if (slot.stage_ != AdapterStage::Resident && !slot.isOutcomeUnknown_)
        return false;
    if (present) {
        if (slot.stage_ == AdapterStage::Loading)
            handleLoaded(step, adapter);
        else if (slot.stage_ == AdapterStage::Unloading)
            evictAdapter(step, adapter);
        return false;
    }
    if (slot.stage_ == AdapterStage::Loading) {
        handleFailedLoad(step, adapter);
        return false;
    }
    return slot.running_ == 0;
}

/// Updates all slots from a reading that was requested after the residents became uncertain.
void reconcileResidents(SchedulerStep &step, const EngineState &state)
{
    Residency &residency = step.scheduler_.residency_;
    const std::unordered_set<AdapterKey> present(state.adapters_.begin(), state.adapters_.end());
    std::vector<AdapterKey> adapters;
    for (const auto &[adapter, slot] : residency.slots_)
        adapters.push_back(adapter);
    for (const AdapterKey &adapter : adapters) {
        if (reconcileSlot(step, adapter, present.contains(adapter)))
            residency.slots_.erase(adapter);
    }
    for (const AdapterKey &adapter : state.adapters_) {
        if (!residency.slots_.contains(adapter))
            addResident(residency, adapter, step.now_);
    }
    step.scheduler_.engine_.areResidentsUncertain_ = false;
}

void updateSlotCounts(TargetScheduler &scheduler, const EngineState &state)
{
    const TargetSettings &settings = scheduler.policy_.target_;
    const auto limitByReport = [](std::uint32_t configured, std::uint32_t reported) {
        return reported == 0 ? configured : std::min(configured, reported);
    };
    scheduler.residency_.capacity_ = limitByReport(settings.adapterSlots_, state.adapterSlots_);
    scheduler.engine_.batchSlots_ = limitByReport(settings.batchSlots_, state.batchSlots_);
}

/// Returns the runs that a restart of the engine ended: all that the new engine does not list.
std::vector<AttemptId> findRunsEndedByRestart(const TargetScheduler &scheduler,
                                              const EngineState &state)
{
    std::vector<AttemptId> runs = findAttemptsIn(scheduler, AttemptStage::Running);
    const std::vector<AttemptId> lost = findAttemptsIn(scheduler, AttemptStage::ConnectionLost);
    runs.insert(runs.end(), lost.begin(), lost.end());
    std::erase_if(runs, [&](const AttemptId &id) {
        const auto isSameAttempt = [&](const EngineRun &run) { return run.attempt_ == id; };
        return std::any_of(state.running_.begin(), state.running_.end(), isSameAttempt);
    });
    return runs;
}

/// Counts this process's runs on a restarted engine in the slots of their adapters.
void pinAdaptersOfOwnRuns(TargetScheduler &scheduler)
{
    for (const AttemptStage stage : {AttemptStage::Running, AttemptStage::ConnectionLost}) {
        for (const AttemptId &id : findAttemptsIn(scheduler, stage)) {
            const AdapterKey &adapter = scheduler.attempts_.open_.at(id).offer_.adapter_;
            const auto slot = scheduler.residency_.slots_.find(adapter);
            if (slot != scheduler.residency_.slots_.end())
                ++slot->second.running_;
        }
    }
}

void handleRestart(SchedulerStep &step, const EngineState &state)
{
    TargetScheduler &scheduler = step.scheduler_;
    const std::vector<AttemptId> ended = findRunsEndedByRestart(scheduler, state);
    failCrashedRuns(step, ended);
    scheduler.engine_.foreign_.clear();
    rebuildResidents(step, state);
    pinAdaptersOfOwnRuns(scheduler);
    // A run that was sent after the restart may still appear on the new engine.
    for (const AttemptId &id : ended)
        trackForeignRun(scheduler, id, scheduler.attempts_.open_.at(id).offer_.adapter_);
}

/// Handles the first state of an engine incarnation, either the first reading of this process or
/// the first after a restart of the engine.
void handleNewEngine(SchedulerStep &step, const EngineState &state)
{
    TargetScheduler &scheduler = step.scheduler_;
    if (scheduler.engine_.incarnation_) {
        handleRestart(step, state);
    } else {
        if (state.fencingNumber_ >= scheduler.fencingNumber_)
            scheduler.fencingNumber_.value_ = state.fencingNumber_.value_ + 1;
        rebuildResidents(step, state);
    }
    scheduler.engine_.incarnation_ = state.incarnation_;
}

void finishReading(SchedulerStep &step)
{
    EngineView &engine = step.scheduler_.engine_;
    const bool urgent = !engine.foreign_.empty() || engine.areResidentsUncertain_;
    const SchedulerPolicy &policy = step.scheduler_.policy_;
    engine.isReadOutstanding_ = false;
    engine.nextReadAt_ = step.now_ + (urgent ? policy.urgentStatePeriod_ : policy.statePeriod_);
    if (!engine.hasPendingRead_)
        return;
    engine.hasPendingRead_ = false;
    requestEngineState(step);
}

void markEngineUp(SchedulerStep &step)
{
    EngineView &engine = step.scheduler_.engine_;
    if (engine.status_ == EngineStatus::Up)
        return;
    engine.status_ = EngineStatus::Up;
    step.addAction(SchedulerEvent{.kind_ = SchedulerEventKind::EngineUp,
                                  .number_ = engine.incarnation_->value_});
    step.addAction(SendHeartbeat{});
}

} // namespace

void requestEngineState(SchedulerStep &step)
{
    EngineView &engine = step.scheduler_.engine_;
    if (engine.isReadOutstanding_) {
        engine.hasPendingRead_ = true;
        return;
    }
    engine.isReadOutstanding_ = true;
    ++engine.lastRead_;
    step.addCommand(ReadEngineState{engine.lastRead_});
}

void awaitResidents(SchedulerStep &step)
{
    EngineView &engine = step.scheduler_.engine_;
    engine.areResidentsUncertain_ = true;
    engine.firstConclusiveRead_ = engine.lastRead_ + 1;
    requestEngineState(step);
}

void trackForeignRun(TargetScheduler &scheduler, const AttemptId &attempt,
                     const AdapterKey &adapter)
{
    if (scheduler.engine_.foreign_.contains(attempt))
        return;
    const auto slot = scheduler.residency_.slots_.find(adapter);
    const bool pins = slot != scheduler.residency_.slots_.end();
    if (pins)
        ++slot->second.running_;
    scheduler.engine_.foreign_[attempt] = {.adapter_ = adapter,
                                           .pinsAdapter_ = pins,
                                           .firstConclusiveRead_ = scheduler.engine_.lastRead_ + 1};
}

void handleEngineState(SchedulerStep &step, const EngineStateReceived &read)
{
    TargetScheduler &scheduler = step.scheduler_;
    EngineView &engine = scheduler.engine_;
    const EngineState &state = read.state_;
    updateSlotCounts(scheduler, state);
    if (engine.incarnation_ != state.incarnation_)
        handleNewEngine(step, state);
    else if (state.fencingNumber_ > scheduler.fencingNumber_)
        supersede(step, state.fencingNumber_);
    failDisconnectedRuns(step, read.readNumber_);
    removeEndedForeignRuns(scheduler, read);
    if (!scheduler.isSuperseded_)
        cancelForeignRuns(step, state);
    if (engine.areResidentsUncertain_ && read.readNumber_ >= engine.firstConclusiveRead_)
        reconcileResidents(step, state);
    markEngineUp(step);
    finishReading(step);
}

void handleEngineUnreachable(SchedulerStep &step, const EngineUnreachable &unreachable)
{
    TargetScheduler &scheduler = step.scheduler_;
    failCrashedRuns(step, findConclusiveLostRuns(scheduler, unreachable.readNumber_));
    if (scheduler.engine_.status_ != EngineStatus::Down) {
        scheduler.engine_.status_ = EngineStatus::Down;
        scheduler.engine_.downSince_ = step.now_;
        step.addAction(SchedulerEvent{.kind_ = SchedulerEventKind::EngineDown});
        step.addAction(SendHeartbeat{});
    }
    finishReading(step);
}

void handleOrderEnded(SchedulerStep &step, const OrderEnded &ended)
{
    TargetScheduler &scheduler = step.scheduler_;
    const auto found = scheduler.residency_.slots_.find(ended.adapter_);
    if (found == scheduler.residency_.slots_.end() || found->second.order_ != ended.orderNumber_
        || found->second.stage_ == AdapterStage::Resident) {
        return;
    }
    switch (ended.outcome_) {
    case OrderOutcome::Done:
        if (ended.kind_ == OrderKind::Load)
            handleLoaded(step, ended.adapter_);
        else
            scheduler.residency_.slots_.erase(found);
        return;
    case OrderOutcome::Fenced:
        found->second.isOutcomeUnknown_ = true;
        supersede(step, scheduler.fencingNumber_);
        awaitResidents(step);
        return;
    case OrderOutcome::Failed:
        if (ended.kind_ == OrderKind::Load)
            handleFailedLoad(step, ended.adapter_);
        else
            found->second.stage_ = AdapterStage::Resident;
        awaitResidents(step);
        return;
    case OrderOutcome::Unknown:
        // The order may still take effect. With a higher number on the next order, a target that
        // checks fencing numbers refuses the old order after it.
        ++scheduler.fencingNumber_.value_;
        found->second.isOutcomeUnknown_ = true;
        awaitResidents(step);
        return;
    }
}

} // namespace eelgrasscove
