#include "Target/schedulerstep.h"

#include <algorithm>
#include <limits>

namespace eelgrasscove {

namespace {

bool canStart(const TargetScheduler &scheduler, const QueueItem &item)
{
    return item.adapter_.empty() || canRunOn(scheduler.residency_, item.adapter_);
}

std::uint32_t countBusySlots(const TargetScheduler &scheduler)
{
    return scheduler.running_ + static_cast<std::uint32_t>(scheduler.engine_.foreign_.size());
}

void startAttempt(SchedulerStep &step, OpenAttempt &attempt)
{
    TargetScheduler &scheduler = step.scheduler_;
    Offer &offer = attempt.offer_;
    attempt.stage_ = AttemptStage::Running;
    attempt.startedAt_ = step.now_;
    attempt.tokensRun_ = offer.promptTokens_;
    ++scheduler.running_;
    if (!offer.adapter_.empty())
        acquireAdapter(scheduler.residency_, offer.adapter_, scheduler.policy_.loads_, step.now_);
    step.addAction(SchedulerSpan{.kind_ = SchedulerSpanKind::Queue,
                                 .traceparent_ = offer.traceparent_,
                                 .attempt_ = offer.attempt_,
                                 .adapter_ = offer.adapter_,
                                 .start_ = attempt.receivedAt_,
                                 .end_ = step.now_});
    step.addAction(SchedulerEvent{.kind_ = SchedulerEventKind::AttemptStarted,
                                  .attempt_ = offer.attempt_,
                                  .request_ = offer.request_,
                                  .adapter_ = offer.adapter_});
    step.addCommand(StartRun{.attempt_ = offer.attempt_,
                             .account_ = offer.account_,
                             .adapter_ = offer.adapter_,
                             .method_ = offer.method_,
                             .path_ = offer.path_,
                             .contentType_ = offer.contentType_,
                             .body_ = std::move(offer.body_),
                             .stream_ = offer.stream_,
                             .idempotent_ = offer.idempotent_,
                             .priority_ = offer.priority_,
                             .traceparent_ = offer.traceparent_});
    offer.body_.clear();
}

/// Starts or refuses an item taken from the queue, or moves it to the queue of crash suspects.
void dispatchItem(SchedulerStep &step, QueueItem item)
{
    TargetScheduler &scheduler = step.scheduler_;
    OpenAttempt &attempt = scheduler.attempts_.open_.at(item.attempt_);
    if (attempt.deadline_ <= step.now_) {
        refuseAttempt(step, item.attempt_, Reason::DeadlinePassed);
        return;
    }
    switch (suspicionFor(scheduler.crashCounts_, attempt.offer_.fingerprint_, step.now_)) {
    case Suspicion::Refuse:
        refuseAttempt(step, item.attempt_, Reason::SuspectedKiller);
        return;
    case Suspicion::RunAlone:
        scheduler.suspectQueue_.push_back(std::move(item));
        return;
    case Suspicion::None:
        startAttempt(step, attempt);
        return;
    }
}

std::deque<QueueItem>::iterator findReadySuspect(TargetScheduler &scheduler)
{
    const auto ready = [&](const QueueItem &item) { return canStart(scheduler, item); };
    return std::find_if(scheduler.suspectQueue_.begin(), scheduler.suspectQueue_.end(), ready);
}

/// Returns whether the next crash suspect may run: the period reserved for other requests after the
/// last suspect is over, or no other request is queued.
bool canRunSuspects(const SchedulerStep &step)
{
    return step.now_ >= step.scheduler_.nextSuspectAt_ || step.scheduler_.queue_.size_ == 0;
}

bool startSuspect(SchedulerStep &step)
{
    TargetScheduler &scheduler = step.scheduler_;
    if (countBusySlots(scheduler) > 0 || !canRunSuspects(step))
        return false;
    const auto found = findReadySuspect(scheduler);
    if (found == scheduler.suspectQueue_.end())
        return false;
    const AttemptId id = found->attempt_;
    scheduler.suspectQueue_.erase(found);
    OpenAttempt &attempt = scheduler.attempts_.open_.at(id);
    if (suspicionFor(scheduler.crashCounts_, attempt.offer_.fingerprint_, step.now_)
        == Suspicion::Refuse) {
        refuseAttempt(step, id, Reason::SuspectedKiller);
        return false;
    }
    scheduler.runningSuspect_ = id;
    startAttempt(step, attempt);
    return true;
}

/// Returns whether a crash suspect has reached its maximum wait, so that nothing else may start
/// before it.
bool mustWaitForSuspect(SchedulerStep &step)
{
    TargetScheduler &scheduler = step.scheduler_;
    if (!canRunSuspects(step))
        return false;
    const auto found = findReadySuspect(scheduler);
    return found != scheduler.suspectQueue_.end()
        && step.now_ - found->queuedAt_ >= scheduler.policy_.maxSuspectWait_;
}

void startRuns(SchedulerStep &step)
{
    TargetScheduler &scheduler = step.scheduler_;
    const auto ready = [&](const QueueItem &item) { return canStart(scheduler, item); };
    while (countBusySlots(scheduler) < scheduler.engine_.batchSlots_) {
        if (!scheduler.runningSuspect_.empty() || startSuspect(step) || mustWaitForSuspect(step))
            return;
        std::optional<QueueItem> item = dequeueNext(scheduler.queue_, ready, step.now_);
        if (!item)
            break;
        dispatchItem(step, std::move(*item));
    }
    // The crash suspect that was moved to its queue last can start if the target is idle.
    if (scheduler.runningSuspect_.empty())
        startSuspect(step);
}

bool hasQueuedWork(const TargetScheduler &scheduler, const AdapterKey &adapter)
{
    const auto needsAdapter = [&](const QueueItem &item) { return item.adapter_ == adapter; };
    return queuedCountFor(scheduler.queue_, adapter) > 0
        || std::any_of(scheduler.suspectQueue_.begin(), scheduler.suspectQueue_.end(),
                       needsAdapter);
}

std::uint64_t sendAdapterOrder(SchedulerStep &step, OrderKind kind, const AdapterKey &adapter)
{
    TargetScheduler &scheduler = step.scheduler_;
    const std::uint64_t order = ++scheduler.engine_.lastOrder_;
    step.addCommand(AdapterOrder{.orderNumber_ = order,
                                 .kind_ = kind,
                                 .adapter_ = adapter,
                                 .fencingNumber_ = scheduler.fencingNumber_});
    return order;
}

void evictDrainedAdapters(SchedulerStep &step)
{
    std::vector<AdapterKey> idleDraining;
    for (const auto &[adapter, slot] : step.scheduler_.residency_.slots_) {
        const bool resident = slot.stage_ == AdapterStage::Resident;
        if (resident && slot.isDraining_ && slot.running_ == 0)
            idleDraining.push_back(adapter);
    }
    for (const AdapterKey &adapter : idleDraining)
        evictAdapter(step, adapter);
}

/// Returns the queued item for which to load an adapter next; null if no load is needed.
const QueueItem *findNextLoadItem(const SchedulerStep &step)
{
    const TargetScheduler &scheduler = step.scheduler_;
    const auto needsLoad = [&](const QueueItem &item) {
        return !item.adapter_.empty() && !hasSlot(scheduler.residency_, item.adapter_)
            && !isBackingOff(scheduler.residency_, item.adapter_, step.now_);
    };
    if (const QueueItem *item =
            findFirstWaiting(scheduler.queue_, scheduler.lastLoadAccount_, needsLoad))
        return item;
    const auto suspect =
        std::find_if(scheduler.suspectQueue_.begin(), scheduler.suspectQueue_.end(), needsLoad);
    return suspect == scheduler.suspectQueue_.end() ? nullptr : &*suspect;
}

/// Returns whether the item has waited long enough to claim the slot of an adapter that is in use
/// or has queued work.
bool canClaimSlot(const SchedulerStep &step, const QueueItem &item)
{
    const TargetScheduler &scheduler = step.scheduler_;
    const bool interactive = item.priority_ == Priority::Interactive;
    const Duration maxWait =
        interactive ? scheduler.policy_.maxLoadWait_ : scheduler.queue_.batchAging_;
    return step.now_ - item.queuedAt_ >= maxWait;
}

/// Returns the cost of evicting an adapter; empty if its slot must not be claimed.
std::optional<double> evictionCost(const SchedulerStep &step, const AdapterKey &adapter,
                                   const AdapterSlot &slot, bool canClaim)
{
    // Added to the use count, so that idle adapters are evicted before those with queued work, and
    // adapters in use last.
    constexpr double requestedCost = 1e6;
    constexpr double runningCost = 1e9;
    const TargetScheduler &scheduler = step.scheduler_;
    if (slot.stage_ != AdapterStage::Resident || slot.isDraining_)
        return std::nullopt;
    const bool isRequested = hasQueuedWork(scheduler, adapter);
    const bool idle = slot.running_ == 0 && !isRequested;
    if (!idle && !canClaim)
        return std::nullopt;
    if (isRequested && slot.awaitsFirstRun_)
        return std::nullopt;
    if (!idle && step.now_ - slot.residentSince_ < scheduler.policy_.minResidencyTime_)
        return std::nullopt;
    const double useCount =
        decayedUseCount(scheduler.residency_, adapter, scheduler.policy_.loads_, step.now_);
    return useCount + (isRequested ? requestedCost : 0) + (slot.running_ > 0 ? runningCost : 0);
}

std::optional<AdapterKey> chooseVictim(const SchedulerStep &step, bool canClaim)
{
    std::optional<AdapterKey> victim;
    double lowestCost = std::numeric_limits<double>::infinity();
    for (const auto &[adapter, slot] : step.scheduler_.residency_.slots_) {
        const std::optional<double> cost = evictionCost(step, adapter, slot, canClaim);
        if (!cost || *cost >= lowestCost)
            continue;
        lowestCost = *cost;
        victim = adapter;
    }
    return victim;
}

/// Evicts an adapter, or drains one in use, unless enough slots are already being freed.
void freeSlot(SchedulerStep &step, const QueueItem &item)
{
    Residency &residency = step.scheduler_.residency_;
    const std::uint32_t loading = countSlots(residency, AdapterStage::Loading);
    const auto occupiedSlots = static_cast<std::uint32_t>(residency.slots_.size());
    const std::uint32_t slotsBeingFreed = occupiedSlots - countKeptSlots(residency);
    if (slotsBeingFreed + loading >= step.scheduler_.policy_.loads_.loadsAtOnce_)
        return;
    const std::optional<AdapterKey> victim = chooseVictim(step, canClaimSlot(step, item));
    if (!victim)
        return;
    AdapterSlot &slot = residency.slots_.at(*victim);
    if (slot.running_ > 0)
        slot.isDraining_ = true;
    else
        evictAdapter(step, *victim);
}

void startLoadFor(SchedulerStep &step, const QueueItem &item)
{
    TargetScheduler &scheduler = step.scheduler_;
    AdapterSlot &slot = startLoad(scheduler.residency_, item.adapter_, step.now_);
    slot.loadedFor_ = item.attempt_;
    slot.order_ = sendAdapterOrder(step, OrderKind::Load, item.adapter_);
    scheduler.lastLoadAccount_ = item.account_;
    step.addAction(
        SchedulerEvent{.kind_ = SchedulerEventKind::AdapterLoadStarted, .adapter_ = item.adapter_});
}

void scheduleLoads(SchedulerStep &step)
{
    TargetScheduler &scheduler = step.scheduler_;
    evictDrainedAdapters(step);
    while (canStartLoad(scheduler.residency_, scheduler.policy_.loads_, step.now_)) {
        const QueueItem *item = findNextLoadItem(step);
        if (!item)
            return;
        if (scheduler.residency_.slots_.size() >= scheduler.residency_.capacity_) {
            freeSlot(step, *item);
            return;
        }
        startLoadFor(step, *item);
    }
}

} // namespace

void evictAdapter(SchedulerStep &step, const AdapterKey &adapter)
{
    AdapterSlot &slot = step.scheduler_.residency_.slots_.at(adapter);
    slot.stage_ = AdapterStage::Unloading;
    slot.isDraining_ = false;
    slot.isOutcomeUnknown_ = false;
    slot.order_ = sendAdapterOrder(step, OrderKind::Unload, adapter);
    step.addAction(
        SchedulerEvent{.kind_ = SchedulerEventKind::AdapterEvicted, .adapter_ = adapter});
    step.addAction(SendHeartbeat{});
}

void scheduleWork(SchedulerStep &step)
{
    TargetScheduler &scheduler = step.scheduler_;
    if (scheduler.engine_.status_ != EngineStatus::Up || scheduler.engine_.areResidentsUncertain_
        || scheduler.isSuperseded_)
        return;
    startRuns(step);
    if (scheduler.policy_.target_.engine_)
        scheduleLoads(step);
}

std::vector<AttemptId> findQueuedAttempts(const TargetScheduler &scheduler,
                                          const CanStart &condition)
{
    std::vector<AttemptId> attempts;
    const auto collect = [&](const std::deque<QueueItem> &items) {
        for (const QueueItem &item : items) {
            if (condition(item))
                attempts.push_back(item.attempt_);
        }
    };
    for (const auto &[name, account] : scheduler.queue_.accounts_) {
        collect(account.interactive_);
        collect(account.batch_);
    }
    collect(scheduler.suspectQueue_);
    return attempts;
}

void removeFromQueue(TargetScheduler &scheduler, const OpenAttempt &attempt)
{
    const AttemptId &id = attempt.offer_.attempt_;
    if (removeQueued(scheduler.queue_, attempt.offer_.account_, id))
        return;
    std::erase_if(scheduler.suspectQueue_,
                  [&](const QueueItem &item) { return item.attempt_ == id; });
}

std::uint32_t queuedCount(const TargetScheduler &scheduler)
{
    return scheduler.queue_.size_ + static_cast<std::uint32_t>(scheduler.suspectQueue_.size());
}

} // namespace eelgrasscove
