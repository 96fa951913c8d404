#include "Target/doorstep.h"

#include <algorithm>
#include <limits>

namespace eelgrasscove {

namespace {

bool canStart(const Door &door, const QueueItem &item)
{
    return item.adapter_.empty() || canRunOn(door.residency_, item.adapter_);
}

std::uint32_t busySlots(const Door &door)
{
    return door.running_ + static_cast<std::uint32_t>(door.engine_.foreign_.size());
}

void startAttempt(DoorStep &step, AttemptInHand &attempt)
{
    Door &door = step.door_;
    Offer &offer = attempt.offer_;
    attempt.stage_ = AttemptStage::Running;
    attempt.startedAt_ = step.now_;
    attempt.tokensRun_ = offer.promptTokens_;
    ++door.running_;
    if (!offer.adapter_.empty())
        useAdapter(door.residency_, offer.adapter_, door.policy_.loads_, step.now_);
    step.act(DoorSpan{.kind_ = DoorSpanKind::Queue,
                      .traceparent_ = offer.traceparent_,
                      .attempt_ = offer.attempt_,
                      .adapter_ = offer.adapter_,
                      .start_ = attempt.receivedAt_,
                      .end_ = step.now_});
    step.act(DoorEvent{.kind_ = DoorEventKind::AttemptStarted,
                       .attempt_ = offer.attempt_,
                       .request_ = offer.request_,
                       .adapter_ = offer.adapter_});
    step.command(StartRun{.attempt_ = offer.attempt_,
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

/// Starts, refuses or sets aside an item whose turn has come.
void serveItem(DoorStep &step, QueueItem item)
{
    Door &door = step.door_;
    AttemptInHand &attempt = door.attempts_.inHand_.at(item.attempt_);
    if (attempt.deadline_ <= step.now_) {
        refuseAttempt(step, item.attempt_, Reason::DeadlinePassed);
        return;
    }
    switch (suspicionOf(door.strikes_, attempt.offer_.fingerprint_, step.now_)) {
    case Suspicion::Refuse:
        refuseAttempt(step, item.attempt_, Reason::SuspectedKiller);
        return;
    case Suspicion::RunAlone:
        door.suspects_.push_back(std::move(item));
        return;
    case Suspicion::None:
        startAttempt(step, attempt);
        return;
    }
}

std::deque<QueueItem>::iterator readySuspect(Door &door)
{
    const auto ready = [&](const QueueItem &item) { return canStart(door, item); };
    return std::find_if(door.suspects_.begin(), door.suspects_.end(), ready);
}

/// Others have had their time since the last suspect.
bool suspectsMayRun(const DoorStep &step)
{
    return step.now_ >= step.door_.suspectsHeldUntil_ || step.door_.queue_.size_ == 0;
}

bool startSuspect(DoorStep &step)
{
    Door &door = step.door_;
    if (busySlots(door) > 0 || !suspectsMayRun(step))
        return false;
    const auto found = readySuspect(door);
    if (found == door.suspects_.end())
        return false;
    const AttemptId id = found->attempt_;
    door.suspects_.erase(found);
    AttemptInHand &attempt = door.attempts_.inHand_.at(id);
    if (suspicionOf(door.strikes_, attempt.offer_.fingerprint_, step.now_) == Suspicion::Refuse) {
        refuseAttempt(step, id, Reason::SuspectedKiller);
        return false;
    }
    door.runningSuspect_ = id;
    startAttempt(step, attempt);
    return true;
}

/// Whether a suspect has waited so long that nothing else may start before it.
bool heldForSuspect(DoorStep &step)
{
    Door &door = step.door_;
    if (!suspectsMayRun(step))
        return false;
    const auto found = readySuspect(door);
    return found != door.suspects_.end()
        && step.now_ - found->since_ >= door.policy_.suspectPatience_;
}

void startRuns(DoorStep &step)
{
    Door &door = step.door_;
    const auto ready = [&](const QueueItem &item) { return canStart(door, item); };
    while (busySlots(door) < door.engine_.batchSlots_) {
        if (!door.runningSuspect_.empty() || startSuspect(step) || heldForSuspect(step))
            return;
        std::optional<QueueItem> item = takeNext(door.queue_, ready, step.now_);
        if (!item)
            break;
        serveItem(step, std::move(*item));
    }
    // A suspect that was set aside last may find the target idle.
    if (door.runningSuspect_.empty())
        startSuspect(step);
}

bool wanted(const Door &door, const AdapterKey &adapter)
{
    const auto needsIt = [&](const QueueItem &item) { return item.adapter_ == adapter; };
    return demandFor(door.queue_, adapter) > 0
        || std::any_of(door.suspects_.begin(), door.suspects_.end(), needsIt);
}

std::uint64_t orderAdapter(DoorStep &step, OrderKind kind, const AdapterKey &adapter)
{
    Door &door = step.door_;
    const std::uint64_t order = ++door.engine_.lastOrder_;
    step.command(AdapterOrder{.order_ = order,
                              .kind_ = kind,
                              .adapter_ = adapter,
                              .fencingNumber_ = door.fencingNumber_});
    return order;
}

void evictDrained(DoorStep &step)
{
    std::vector<AdapterKey> done;
    for (const auto &[adapter, slot] : step.door_.residency_.slots_) {
        const bool resident = slot.stage_ == AdapterStage::Resident;
        if (resident && slot.draining_ && slot.running_ == 0)
            done.push_back(adapter);
    }
    for (const AdapterKey &adapter : done)
        evict(step, adapter);
}

/// The queued item that the next load is for; null where no load is wanted.
const QueueItem *nextToLoadFor(const DoorStep &step)
{
    const Door &door = step.door_;
    const auto needsLoad = [&](const QueueItem &item) {
        return !item.adapter_.empty() && !holdsOrLoads(door.residency_, item.adapter_)
            && !backsOff(door.residency_, item.adapter_, step.now_);
    };
    if (const QueueItem *item = firstWaiting(door.queue_, door.loadCursor_, needsLoad))
        return item;
    const auto suspect = std::find_if(door.suspects_.begin(), door.suspects_.end(), needsLoad);
    return suspect == door.suspects_.end() ? nullptr : &*suspect;
}

/// Whether the item has waited so long that it may claim the slot of an adapter that is wanted.
bool mayClaim(const DoorStep &step, const QueueItem &item)
{
    const Door &door = step.door_;
    const bool interactive = item.priority_ == Priority::Interactive;
    const Duration patience = interactive ? door.policy_.loadPatience_ : door.queue_.batchAging_;
    return step.now_ - item.since_ >= patience;
}

/// How dear an adapter's slot is; empty where it must not be taken.
std::optional<double> priceOf(const DoorStep &step, const AdapterKey &adapter,
                              const AdapterSlot &slot, bool claim)
{
    // Any adapter in use or with queued work is dearer than any that is idle.
    constexpr double wantedPrice = 1e6;
    constexpr double runningPrice = 1e9;
    const Door &door = step.door_;
    if (slot.stage_ != AdapterStage::Resident || slot.draining_)
        return std::nullopt;
    const bool isWanted = wanted(door, adapter);
    const bool idle = slot.running_ == 0 && !isWanted;
    if (!idle && !claim)
        return std::nullopt;
    if (isWanted && slot.awaited_)
        return std::nullopt;
    if (!idle && step.now_ - slot.residentSince_ < door.policy_.visit_)
        return std::nullopt;
    const double used = usefulness(door.residency_, adapter, door.policy_.loads_, step.now_);
    return used + (isWanted ? wantedPrice : 0) + (slot.running_ > 0 ? runningPrice : 0);
}

std::optional<AdapterKey> chooseVictim(const DoorStep &step, bool claim)
{
    std::optional<AdapterKey> victim;
    double least = std::numeric_limits<double>::infinity();
    for (const auto &[adapter, slot] : step.door_.residency_.slots_) {
        const std::optional<double> price = priceOf(step, adapter, slot, claim);
        if (!price || *price >= least)
            continue;
        least = *price;
        victim = adapter;
    }
    return victim;
}

/// Evicts an adapter, or lets one in use run dry, unless enough slots are coming free.
void makeRoom(DoorStep &step, const QueueItem &item)
{
    Residency &residency = step.door_.residency_;
    const std::uint32_t loading = slotsIn(residency, AdapterStage::Loading);
    const auto held = static_cast<std::uint32_t>(residency.slots_.size());
    const std::uint32_t comingFree = held - slotsKept(residency);
    if (comingFree + loading >= step.door_.policy_.loads_.loadsAtOnce_)
        return;
    const std::optional<AdapterKey> victim = chooseVictim(step, mayClaim(step, item));
    if (!victim)
        return;
    AdapterSlot &slot = residency.slots_.at(*victim);
    if (slot.running_ > 0)
        slot.draining_ = true;
    else
        evict(step, *victim);
}

void loadFor(DoorStep &step, const QueueItem &item)
{
    Door &door = step.door_;
    AdapterSlot &slot = beginLoad(door.residency_, item.adapter_, step.now_);
    slot.loadedFor_ = item.attempt_;
    slot.order_ = orderAdapter(step, OrderKind::Load, item.adapter_);
    door.loadCursor_ = item.account_;
    step.act(DoorEvent{.kind_ = DoorEventKind::AdapterLoadStarted, .adapter_ = item.adapter_});
}

void moveAdapters(DoorStep &step)
{
    Door &door = step.door_;
    evictDrained(step);
    while (mayLoad(door.residency_, door.policy_.loads_, step.now_)) {
        const QueueItem *item = nextToLoadFor(step);
        if (!item)
            return;
        if (door.residency_.slots_.size() >= door.residency_.capacity_) {
            makeRoom(step, *item);
            return;
        }
        loadFor(step, *item);
    }
}

} // namespace

void evict(DoorStep &step, const AdapterKey &adapter)
{
    AdapterSlot &slot = step.door_.residency_.slots_.at(adapter);
    slot.stage_ = AdapterStage::Unloading;
    slot.draining_ = false;
    slot.unknown_ = false;
    slot.order_ = orderAdapter(step, OrderKind::Unload, adapter);
    step.act(DoorEvent{.kind_ = DoorEventKind::AdapterEvicted, .adapter_ = adapter});
    step.act(Announce{});
}

void scheduleWork(DoorStep &step)
{
    Door &door = step.door_;
    if (door.engine_.status_ != EngineStatus::Up || door.engine_.uncertain_ || door.superseded_)
        return;
    startRuns(step);
    if (door.policy_.target_.engine_)
        moveAdapters(step);
}

std::vector<AttemptId> queuedAttempts(const Door &door, const CanStart &condition)
{
    std::vector<AttemptId> attempts;
    const auto collect = [&](const std::deque<QueueItem> &items) {
        for (const QueueItem &item : items) {
            if (condition(item))
                attempts.push_back(item.attempt_);
        }
    };
    for (const auto &[name, account] : door.queue_.accounts_) {
        collect(account.interactive_);
        collect(account.batch_);
    }
    collect(door.suspects_);
    return attempts;
}

void unqueue(Door &door, const AttemptInHand &attempt)
{
    const AttemptId &id = attempt.offer_.attempt_;
    if (removeQueued(door.queue_, attempt.offer_.account_, id))
        return;
    std::erase_if(door.suspects_, [&](const QueueItem &item) { return item.attempt_ == id; });
}

std::uint32_t queuedCount(const Door &door)
{
    return door.queue_.size_ + static_cast<std::uint32_t>(door.suspects_.size());
}

} // namespace eelgrasscove
