#include "Target/doorstep.h"

#include <algorithm>
#include <unordered_set>

namespace eelgrasscove {

namespace {

std::vector<AttemptId> runsIn(const Door &door, AttemptStage stage)
{
    std::vector<AttemptId> runs;
    for (const auto &[id, attempt] : door.attempts_.inHand_) {
        if (attempt.stage_ == stage)
            runs.push_back(id);
    }
    return runs;
}

std::vector<AttemptId> lostRunsJudgedBy(const Door &door, std::uint64_t read)
{
    std::vector<AttemptId> runs = runsIn(door, AttemptStage::Lost);
    std::erase_if(runs, [&](const AttemptId &id) {
        return door.attempts_.inHand_.at(id).judgedByRead_ > read;
    });
    return runs;
}

void strikeRuns(DoorStep &step, const std::vector<AttemptId> &runs)
{
    Door &door = step.door_;
    for (const AttemptId &id : runs) {
        const AttemptInHand &attempt = door.attempts_.inHand_.at(id);
        if (attempt.stopping_ == Reason::None)
            strike(door.strikes_, attempt.offer_.fingerprint_, step.now_);
    }
    // Ahead of the answers: an entry's next try then meets a door that knows.
    step.act(AnnounceStrikes{});
}

/// Ends runs that the engine's crash took with it.
void crashRuns(DoorStep &step, const std::vector<AttemptId> &runs)
{
    if (runs.empty())
        return;
    step.act(DoorEvent{.kind_ = DoorEventKind::EngineCrashed, .number_ = runs.size()});
    strikeRuns(step, runs);
    for (const AttemptId &id : runs) {
        AttemptInHand &attempt = step.door_.attempts_.inHand_.at(id);
        step.command(CancelRun{id});
        releaseRun(step, attempt);
        awaitGone(step.door_, id, attempt.offer_.adapter_);
        const bool stopped = attempt.stopping_ != Reason::None;
        failRun(step, attempt, RunState::OutcomeUnknown,
                stopped ? attempt.stopping_ : Reason::EngineCrashed);
    }
}

/// The engine lives: these runs lost no more than their connection.
void endLostRuns(DoorStep &step, std::uint64_t read)
{
    Door &door = step.door_;
    for (const AttemptId &id : lostRunsJudgedBy(door, read)) {
        AttemptInHand &attempt = door.attempts_.inHand_.at(id);
        releaseRun(step, attempt);
        awaitGone(door, id, attempt.offer_.adapter_);
        step.command(CancelRun{id});
        failRun(step, attempt, RunState::OutcomeUnknown, Reason::TargetError);
    }
}

void supersede(DoorStep &step, FencingNumber other)
{
    Door &door = step.door_;
    if (door.superseded_)
        return;
    door.superseded_ = true;
    door.leaving_ = true;
    door.leavingSince_ = step.now_;
    step.act(DoorEvent{.kind_ = DoorEventKind::Superseded, .number_ = other.value_});
    step.act(Announce{});
    for (const AttemptId &id : queuedAttempts(door, [](const QueueItem &) { return true; }))
        refuseQueued(step, id, Reason::Leaving);
}

/// Whether a run that the engine shows was started by someone else.
bool isForeign(const Door &door, const AttemptId &id)
{
    if (door.engine_.foreign_.contains(id))
        return false;
    // A tombstone says only that this process didn't start it.
    const auto closed = door.attempts_.closed_.find(id);
    if (closed != door.attempts_.closed_.end() && closed->second.runState_ != RunState::NotRun)
        return false;
    const auto found = door.attempts_.inHand_.find(id);
    return found == door.attempts_.inHand_.end() || found->second.stage_ == AttemptStage::Queued;
}

void cancelForeignRuns(DoorStep &step, const EngineState &state)
{
    for (const EngineRun &run : state.running_) {
        if (!isForeign(step.door_, run.attempt_))
            continue;
        awaitGone(step.door_, run.attempt_, run.adapter_);
        step.command(CancelRun{run.attempt_});
        step.act(DoorEvent{.kind_ = DoorEventKind::ForeignRunCancelled,
                           .attempt_ = run.attempt_,
                           .adapter_ = run.adapter_});
    }
}

void forgetGoneRuns(Door &door, const EngineStateRead &read)
{
    EngineView &engine = door.engine_;
    std::unordered_set<AttemptId> present;
    for (const EngineRun &run : read.state_.running_)
        present.insert(run.attempt_);
    std::erase_if(engine.foreign_, [&](const auto &entry) {
        const auto &[id, run] = entry;
        if (present.contains(id) || run.goneByRead_ > read.read_)
            return false;
        if (run.pins_)
            releaseAdapter(door.residency_, run.adapter_);
        return true;
    });
}

void addResident(Residency &residency, const AdapterKey &adapter, Time now)
{
    AdapterSlot &slot = residency.slots_[adapter];
    slot.stage_ = AdapterStage::Resident;
    slot.residentSince_ = now;
}

/// Starts over from what the engine holds; orders under way are forgotten.
void rebuildResidents(DoorStep &step, const EngineState &state)
{
    Residency &residency = step.door_.residency_;
    residency.slots_.clear();
    for (const AdapterKey &adapter : state.adapters_)
        addResident(residency, adapter, step.now_);
    step.door_.engine_.uncertain_ = false;
}

void refuseWaitingFor(DoorStep &step, const AdapterKey &adapter)
{
    const auto needsIt = [&](const QueueItem &item) { return item.adapter_ == adapter; };
    for (const AttemptId &id : queuedAttempts(step.door_, needsIt))
        refuseQueued(step, id, Reason::AdapterLoadFailed);
}

void takeFailedLoad(DoorStep &step, const AdapterKey &adapter)
{
    Door &door = step.door_;
    step.act(DoorEvent{.kind_ = DoorEventKind::AdapterLoadFailed, .adapter_ = adapter});
    if (failLoad(door.residency_, adapter, door.policy_.loads_, step.now_))
        refuseWaitingFor(step, adapter);
}

void takeLoaded(DoorStep &step, const AdapterKey &adapter)
{
    Door &door = step.door_;
    const AdapterSlot &slot = door.residency_.slots_.at(adapter);
    if (const AttemptInHand *waiter = findAttempt(door.attempts_, slot.loadedFor_)) {
        step.act(DoorSpan{.kind_ = DoorSpanKind::Load,
                          .traceparent_ = waiter->offer_.traceparent_,
                          .attempt_ = slot.loadedFor_,
                          .adapter_ = adapter,
                          .start_ = slot.loadStartedAt_,
                          .end_ = step.now_});
    }
    endLoad(door.residency_, adapter, true, step.now_);
    step.act(DoorEvent{.kind_ = DoorEventKind::AdapterLoaded, .adapter_ = adapter});
    step.act(Announce{});
}

/// Whether a reading shows that the slot no longer holds what the door thinks.
bool settleSlot(DoorStep &step, const AdapterKey &adapter, bool present)
{
    AdapterSlot &slot = step.door_.residency_.slots_.at(adapter);
    if (slot.stage_ != AdapterStage::Resident && !slot.unknown_)
        return false;
    if (present) {
        if (slot.stage_ == AdapterStage::Loading)
            takeLoaded(step, adapter);
        else if (slot.stage_ == AdapterStage::Unloading)
            evict(step, adapter);
        return false;
    }
    if (slot.stage_ == AdapterStage::Loading) {
        takeFailedLoad(step, adapter);
        return false;
    }
    return slot.running_ == 0;
}

/// Holds the slots against a reading that was asked for after the doubt arose.
void reconcileResidents(DoorStep &step, const EngineState &state)
{
    Residency &residency = step.door_.residency_;
    const std::unordered_set<AdapterKey> present(state.adapters_.begin(), state.adapters_.end());
    std::vector<AdapterKey> known;
    for (const auto &[adapter, slot] : residency.slots_)
        known.push_back(adapter);
    for (const AdapterKey &adapter : known) {
        if (settleSlot(step, adapter, present.contains(adapter)))
            residency.slots_.erase(adapter);
    }
    for (const AdapterKey &adapter : state.adapters_) {
        if (!residency.slots_.contains(adapter))
            addResident(residency, adapter, step.now_);
    }
    step.door_.engine_.uncertain_ = false;
}

void takeSlots(Door &door, const EngineState &state)
{
    const TargetSettings &settings = door.policy_.target_;
    const auto fewer = [](std::uint32_t configured, std::uint32_t reported) {
        return reported == 0 ? configured : std::min(configured, reported);
    };
    door.residency_.capacity_ = fewer(settings.adapterSlots_, state.adapterSlots_);
    door.engine_.batchSlots_ = fewer(settings.batchSlots_, state.batchSlots_);
}

/// The runs that an engine's restart ended: all that the new engine doesn't show.
std::vector<AttemptId> runsEndedByRestart(const Door &door, const EngineState &state)
{
    std::vector<AttemptId> runs = runsIn(door, AttemptStage::Running);
    const std::vector<AttemptId> lost = runsIn(door, AttemptStage::Lost);
    runs.insert(runs.end(), lost.begin(), lost.end());
    std::erase_if(runs, [&](const AttemptId &id) {
        const auto same = [&](const EngineRun &run) { return run.attempt_ == id; };
        return std::any_of(state.running_.begin(), state.running_.end(), same);
    });
    return runs;
}

/// Pins what our runs on a restarted engine use.
void pinOwnRuns(Door &door)
{
    for (const AttemptStage stage : {AttemptStage::Running, AttemptStage::Lost}) {
        for (const AttemptId &id : runsIn(door, stage)) {
            const AdapterKey &adapter = door.attempts_.inHand_.at(id).offer_.adapter_;
            const auto slot = door.residency_.slots_.find(adapter);
            if (slot != door.residency_.slots_.end())
                ++slot->second.running_;
        }
    }
}

void takeRestart(DoorStep &step, const EngineState &state)
{
    Door &door = step.door_;
    const std::vector<AttemptId> ended = runsEndedByRestart(door, state);
    crashRuns(step, ended);
    door.engine_.foreign_.clear();
    rebuildResidents(step, state);
    pinOwnRuns(door);
    // One that began after the restart may yet appear on the new engine.
    for (const AttemptId &id : ended)
        awaitGone(door, id, door.attempts_.inHand_.at(id).offer_.adapter_);
}

/// The first state of this run of the engine, the door's first or one after a restart.
void takeNewEngine(DoorStep &step, const EngineState &state)
{
    Door &door = step.door_;
    if (door.engine_.incarnation_) {
        takeRestart(step, state);
    } else {
        if (state.fencingNumber_ >= door.fencingNumber_)
            door.fencingNumber_.value_ = state.fencingNumber_.value_ + 1;
        rebuildResidents(step, state);
    }
    door.engine_.incarnation_ = state.incarnation_;
}

void takeReading(DoorStep &step)
{
    EngineView &engine = step.door_.engine_;
    const bool urgent = !engine.foreign_.empty() || engine.uncertain_;
    const DoorPolicy &policy = step.door_.policy_;
    engine.reading_ = false;
    engine.nextReadAt_ = step.now_ + (urgent ? policy.urgentStatePeriod_ : policy.statePeriod_);
    if (!engine.readAgain_)
        return;
    engine.readAgain_ = false;
    readState(step);
}

void takeUp(DoorStep &step)
{
    EngineView &engine = step.door_.engine_;
    if (engine.status_ == EngineStatus::Up)
        return;
    engine.status_ = EngineStatus::Up;
    step.act(DoorEvent{.kind_ = DoorEventKind::EngineUp, .number_ = engine.incarnation_->value_});
    step.act(Announce{});
}

} // namespace

void readState(DoorStep &step)
{
    EngineView &engine = step.door_.engine_;
    if (engine.reading_) {
        engine.readAgain_ = true;
        return;
    }
    engine.reading_ = true;
    ++engine.lastRead_;
    step.command(ReadEngineState{engine.lastRead_});
}

void settleResidents(DoorStep &step)
{
    EngineView &engine = step.door_.engine_;
    engine.uncertain_ = true;
    engine.settledByRead_ = engine.lastRead_ + 1;
    readState(step);
}

void awaitGone(Door &door, const AttemptId &attempt, const AdapterKey &adapter)
{
    if (door.engine_.foreign_.contains(attempt))
        return;
    const auto slot = door.residency_.slots_.find(adapter);
    const bool pins = slot != door.residency_.slots_.end();
    if (pins)
        ++slot->second.running_;
    door.engine_.foreign_[attempt] = {
        .adapter_ = adapter, .pins_ = pins, .goneByRead_ = door.engine_.lastRead_ + 1};
}

void takeEngineState(DoorStep &step, const EngineStateRead &read)
{
    Door &door = step.door_;
    EngineView &engine = door.engine_;
    const EngineState &state = read.state_;
    takeSlots(door, state);
    if (engine.incarnation_ != state.incarnation_)
        takeNewEngine(step, state);
    else if (state.fencingNumber_ > door.fencingNumber_)
        supersede(step, state.fencingNumber_);
    endLostRuns(step, read.read_);
    forgetGoneRuns(door, read);
    if (!door.superseded_)
        cancelForeignRuns(step, state);
    if (engine.uncertain_ && read.read_ >= engine.settledByRead_)
        reconcileResidents(step, state);
    takeUp(step);
    takeReading(step);
}

void takeUnreachable(DoorStep &step, const EngineUnreachable &unreachable)
{
    Door &door = step.door_;
    crashRuns(step, lostRunsJudgedBy(door, unreachable.read_));
    if (door.engine_.status_ != EngineStatus::Down) {
        door.engine_.status_ = EngineStatus::Down;
        door.engine_.downSince_ = step.now_;
        step.act(DoorEvent{.kind_ = DoorEventKind::EngineDown});
        step.act(Announce{});
    }
    takeReading(step);
}

void takeOrderEnded(DoorStep &step, const OrderEnded &ended)
{
    Door &door = step.door_;
    const auto found = door.residency_.slots_.find(ended.adapter_);
    if (found == door.residency_.slots_.end() || found->second.order_ != ended.order_
        || found->second.stage_ == AdapterStage::Resident) {
        return;
    }
    switch (ended.outcome_) {
    case OrderOutcome::Done:
        if (ended.kind_ == OrderKind::Load)
            takeLoaded(step, ended.adapter_);
        else
            door.residency_.slots_.erase(found);
        return;
    case OrderOutcome::Fenced:
        found->second.unknown_ = true;
        supersede(step, door.fencingNumber_);
        settleResidents(step);
        return;
    case OrderOutcome::Failed:
        if (ended.kind_ == OrderKind::Load)
            takeFailedLoad(step, ended.adapter_);
        else
            found->second.stage_ = AdapterStage::Resident;
        settleResidents(step);
        return;
    case OrderOutcome::Unknown:
        // The order may yet take effect: a target that checks numbers must refuse it after the
        // next.
        ++door.fencingNumber_.value_;
        found->second.unknown_ = true;
        settleResidents(step);
        return;
    }
}

} // namespace eelgrasscove
