#include "Target/scheduler.h"

#include "Target/schedulerstep.h"

#include <algorithm>
#include <type_traits>

namespace eelgrasscove {

namespace {

void handleEngineEvent(SchedulerStep &step, EngineEvent &&event)
{
    const auto handle = [&step](auto &&value) {
        using T = std::decay_t<decltype(value)>;
        if constexpr (std::is_same_v<T, EngineStateReceived>)
            handleEngineState(step, value);
        else if constexpr (std::is_same_v<T, EngineUnreachable>)
            handleEngineUnreachable(step, value);
        else if constexpr (std::is_same_v<T, RunResponseHead>)
            handleRunHead(step, std::forward<decltype(value)>(value));
        else if constexpr (std::is_same_v<T, RunResponseBytes>)
            handleRunBytes(step, std::forward<decltype(value)>(value));
        else if constexpr (std::is_same_v<T, RunEnded>)
            handleRunEnded(step, value);
        else if constexpr (std::is_same_v<T, RunFailed>)
            handleRunFailed(step, value);
        else
            handleOrderEnded(step, value);
    };
    std::visit(handle, std::move(event));
}

void refuseQueuedWhileEngineDown(SchedulerStep &step)
{
    const TargetScheduler &scheduler = step.scheduler_;
    if (scheduler.engine_.status_ != EngineStatus::Down
        || step.now_ - scheduler.engine_.downSince_ < scheduler.policy_.engineDownTimeout_)
        return;
    for (const AttemptId &attempt :
         findQueuedAttempts(scheduler, [](const QueueItem &) { return true; }))
        refuseQueued(step, attempt, Reason::EngineDown);
}

void handleTick(SchedulerStep &step)
{
    TargetScheduler &scheduler = step.scheduler_;
    enforceDeadlines(step);
    refuseQueuedWhileEngineDown(step);
    if (scheduler.policy_.target_.engine_ && !scheduler.engine_.isReadOutstanding_
        && step.now_ >= scheduler.engine_.nextReadAt_) {
        requestEngineState(step);
    }
    expireAttempts(scheduler.attempts_, step.now_);
    removeExpiredCrashCounts(scheduler.crashCounts_, step.now_);
    removeExpiredFailures(scheduler.residency_, scheduler.policy_.loads_, step.now_);
    removeExpiredUses(scheduler.residency_, scheduler.policy_.loads_, step.now_);
}

void startDraining(SchedulerStep &step)
{
    TargetScheduler &scheduler = step.scheduler_;
    if (scheduler.isDraining_)
        return;
    scheduler.isDraining_ = true;
    scheduler.drainingSince_ = step.now_;
    scheduler.attempts_.policy_.responseRetention_ =
        std::min(scheduler.attempts_.policy_.responseRetention_,
                 scheduler.policy_.drainingResponseRetention_);
    step.addAction(SendHeartbeat{});
    step.addAction(SchedulerEvent{.kind_ = SchedulerEventKind::Draining});
}

/// Returns whether the input can change which runs or loads may start.
bool affectsScheduling(const SchedulerInput &input)
{
    const auto *event = std::get_if<EngineEvent>(&input);
    if (!event)
        return true;
    return !std::holds_alternative<RunResponseBytes>(*event)
        && !std::holds_alternative<RunResponseHead>(*event);
}

void handleInput(SchedulerStep &step, SchedulerInput &&input)
{
    const auto handle = [&step](auto &&value) {
        using T = std::decay_t<decltype(value)>;
        if constexpr (std::is_same_v<T, MessageReceived>)
            handleMessage(step, std::forward<decltype(value)>(value));
        else if constexpr (std::is_same_v<T, EngineEvent>)
            handleEngineEvent(step, std::forward<decltype(value)>(value));
        else if constexpr (std::is_same_v<T, RulesReceived>)
            applyRules(step, std::move(value.rules_));
        else if constexpr (std::is_same_v<T, RulesConfirmed>)
            step.scheduler_.rulesConfirmedAt_ = step.now_;
        else if constexpr (std::is_same_v<T, TimePassed>)
            handleTick(step);
        else
            startDraining(step);
    };
    std::visit(handle, std::move(input));
}

} // namespace

SchedulerPolicy schedulerPolicy(const TargetSettings &target, const RulesSettings &rules)
{
    SchedulerPolicy policy;
    policy.target_ = target;
    policy.rules_ = rules;
    policy.attempts_.maxResponseBytes_ = target.answerBytes_;
    policy.loads_.loadsPerSecond_ = target.loadsPerSecond_;
    policy.loads_.loadsAtOnce_ = std::max(target.loadsAtOnce_, 1U);
    return policy;
}

TargetScheduler makeScheduler(const SchedulerPolicy &policy, Incarnation incarnation,
                              FencingNumber fencingNumber, Time now)
{
    TargetScheduler scheduler;
    scheduler.policy_ = policy;
    scheduler.incarnation_ = incarnation;
    scheduler.fencingNumber_ = fencingNumber;
    scheduler.rulesConfirmedAt_ = now;
    scheduler.engine_.status_ = policy.target_.engine_ ? EngineStatus::Unknown : EngineStatus::Up;
    scheduler.engine_.batchSlots_ = policy.target_.batchSlots_;
    scheduler.engine_.nextReadAt_ = now;
    scheduler.engine_.downSince_ = now;
    scheduler.attempts_.policy_ = policy.attempts_;
    scheduler.crashCounts_.refusalThreshold_ = policy.target_.strikes_;
    scheduler.crashCounts_.retention_ = policy.target_.strikeMemory_;
    scheduler.residency_.capacity_ = policy.target_.adapterSlots_;
    scheduler.residency_.loadTokensAt_ = now;
    return scheduler;
}

SchedulerActions step(TargetScheduler &scheduler, SchedulerInput input, Time now)
{
    SchedulerStep step{scheduler, now, {}};
    const bool mayScheduleWork = affectsScheduling(input);
    handleInput(step, std::move(input));
    if (mayScheduleWork)
        scheduleWork(step);
    return std::move(step.actions_);
}

bool isDrained(const TargetScheduler &scheduler)
{
    return scheduler.isDraining_ && scheduler.attempts_.open_.empty();
}

Heartbeat loadReport(const TargetScheduler &scheduler, Time now)
{
    Heartbeat report;
    report.role_ = Role::Target;
    report.leaving_ = scheduler.isDraining_;
    report.rulesRevision_ = scheduler.rules_.revision_;
    report.group_ = scheduler.policy_.target_.group_;
    report.engineUp_ = scheduler.engine_.status_ == EngineStatus::Up;
    report.queued_ = queuedCount(scheduler);
    report.running_ =
        scheduler.running_ + static_cast<std::uint32_t>(scheduler.engine_.foreign_.size());
    report.batchSlots_ = scheduler.engine_.batchSlots_;
    report.adapterSlots_ = scheduler.residency_.capacity_;
    for (const auto &[adapter, slot] : scheduler.residency_.slots_) {
        if (slot.stage_ == AdapterStage::Resident && !slot.isDraining_)
            report.residents_.push_back({.adapter_ = adapter, .running_ = slot.running_});
    }
    report.strikes_ = crashCountsToReport(scheduler.crashCounts_, now);
    return report;
}

} // namespace eelgrasscove
