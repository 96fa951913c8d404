#include "Target/door.h"

#include "Target/doorstep.h"

#include <algorithm>
#include <type_traits>

namespace eelgrasscove {

namespace {

void takeEngineEvent(DoorStep &step, EngineEvent &&event)
{
    const auto take = [&step](auto &&taken) {
        using T = std::decay_t<decltype(taken)>;
        if constexpr (std::is_same_v<T, EngineStateRead>)
            takeEngineState(step, taken);
        else if constexpr (std::is_same_v<T, EngineUnreachable>)
            takeUnreachable(step, taken);
        else if constexpr (std::is_same_v<T, RunHead>)
            takeRunHead(step, std::forward<decltype(taken)>(taken));
        else if constexpr (std::is_same_v<T, RunBytes>)
            takeRunBytes(step, std::forward<decltype(taken)>(taken));
        else if constexpr (std::is_same_v<T, RunEnded>)
            takeRunEnded(step, taken);
        else if constexpr (std::is_same_v<T, RunFailed>)
            takeRunFailed(step, taken);
        else
            takeOrderEnded(step, taken);
    };
    std::visit(take, std::move(event));
}

void refuseForDownEngine(DoorStep &step)
{
    const Door &door = step.door_;
    if (door.engine_.status_ != EngineStatus::Down
        || step.now_ - door.engine_.downSince_ < door.policy_.engineDownPatience_)
        return;
    for (const AttemptId &attempt : queuedAttempts(door, [](const QueueItem &) { return true; }))
        refuseQueued(step, attempt, Reason::EngineDown);
}

void takeTick(DoorStep &step)
{
    Door &door = step.door_;
    enforceDeadlines(step);
    refuseForDownEngine(step);
    if (door.policy_.target_.engine_ && !door.engine_.reading_
        && step.now_ >= door.engine_.nextReadAt_) {
        readState(step);
    }
    expireAttempts(door.attempts_, step.now_);
    expireStrikes(door.strikes_, step.now_);
    expireFailures(door.residency_, door.policy_.loads_, step.now_);
    expireUses(door.residency_, door.policy_.loads_, step.now_);
}

void takeLeave(DoorStep &step)
{
    Door &door = step.door_;
    if (door.leaving_)
        return;
    door.leaving_ = true;
    door.leavingSince_ = step.now_;
    door.attempts_.policy_.answerMemory_ =
        std::min(door.attempts_.policy_.answerMemory_, door.policy_.leavingAnswerMemory_);
    step.act(Announce{});
    step.act(DoorEvent{.kind_ = DoorEventKind::Leaving});
}

/// Whether the input can change what may start or be loaded.
bool movesWork(const DoorInput &input)
{
    const auto *event = std::get_if<EngineEvent>(&input);
    if (!event)
        return true;
    return !std::holds_alternative<RunBytes>(*event) && !std::holds_alternative<RunHead>(*event);
}

void takeInput(DoorStep &step, DoorInput &&input)
{
    const auto take = [&step](auto &&taken) {
        using T = std::decay_t<decltype(taken)>;
        if constexpr (std::is_same_v<T, MessageReceived>)
            takeMessage(step, std::forward<decltype(taken)>(taken));
        else if constexpr (std::is_same_v<T, EngineEvent>)
            takeEngineEvent(step, std::forward<decltype(taken)>(taken));
        else if constexpr (std::is_same_v<T, RulesReceived>)
            takeRules(step, std::move(taken.rules_));
        else if constexpr (std::is_same_v<T, RulesConfirmed>)
            step.door_.rulesHeardAt_ = step.now_;
        else if constexpr (std::is_same_v<T, TimePassed>)
            takeTick(step);
        else
            takeLeave(step);
    };
    std::visit(take, std::move(input));
}

} // namespace

DoorPolicy doorPolicy(const TargetSettings &target, const RulesSettings &rules)
{
    DoorPolicy policy;
    policy.target_ = target;
    policy.rules_ = rules;
    policy.attempts_.answerBytes_ = target.answerBytes_;
    policy.loads_.loadsPerSecond_ = target.loadsPerSecond_;
    policy.loads_.loadsAtOnce_ = std::max(target.loadsAtOnce_, 1U);
    return policy;
}

Door makeDoor(const DoorPolicy &policy, Incarnation incarnation, FencingNumber fencingNumber,
              Time now)
{
    Door door;
    door.policy_ = policy;
    door.incarnation_ = incarnation;
    door.fencingNumber_ = fencingNumber;
    door.rulesHeardAt_ = now;
    door.engine_.status_ = policy.target_.engine_ ? EngineStatus::Unknown : EngineStatus::Up;
    door.engine_.batchSlots_ = policy.target_.batchSlots_;
    door.engine_.nextReadAt_ = now;
    door.engine_.downSince_ = now;
    door.attempts_.policy_ = policy.attempts_;
    door.strikes_.limit_ = policy.target_.strikes_;
    door.strikes_.memory_ = policy.target_.strikeMemory_;
    door.residency_.capacity_ = policy.target_.adapterSlots_;
    door.residency_.loadTokensAt_ = now;
    return door;
}

DoorActions step(Door &door, DoorInput input, Time now)
{
    DoorStep step{door, now, {}};
    const bool schedules = movesWork(input);
    takeInput(step, std::move(input));
    if (schedules)
        scheduleWork(step);
    return std::move(step.actions_);
}

bool drained(const Door &door)
{
    return door.leaving_ && door.attempts_.inHand_.empty();
}

Heartbeat loadReport(const Door &door, Time now)
{
    Heartbeat report;
    report.role_ = Role::Target;
    report.leaving_ = door.leaving_;
    report.rulesRevision_ = door.rules_.revision_;
    report.group_ = door.policy_.target_.group_;
    report.engineUp_ = door.engine_.status_ == EngineStatus::Up;
    report.queued_ = queuedCount(door);
    report.running_ = door.running_ + static_cast<std::uint32_t>(door.engine_.foreign_.size());
    report.batchSlots_ = door.engine_.batchSlots_;
    report.adapterSlots_ = door.residency_.capacity_;
    for (const auto &[adapter, slot] : door.residency_.slots_) {
        if (slot.stage_ == AdapterStage::Resident && !slot.draining_)
            report.residents_.push_back({.adapter_ = adapter, .running_ = slot.running_});
    }
    report.strikes_ = reportStrikes(door.strikes_, now);
    return report;
}

} // namespace eelgrasscove
