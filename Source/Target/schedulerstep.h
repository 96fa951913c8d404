#pragma once

/// The functions that make up a step of the target scheduler; private to the scheduler.

#include "Target/scheduler.h"

#include <utility>

namespace eelgrasscove {

/// The state of one step: the scheduler, the time and the actions so far.
struct SchedulerStep
{
    TargetScheduler &scheduler_;
    Time now_;
    SchedulerActions actions_;

    /// Actions are built in place, since moving a variant causes false warnings from GCC 12.
    template <class T>
    void addAction(T action)
    {
        actions_.emplace_back(std::in_place_type<T>, std::move(action));
    }

    template <class T>
    void addCommand(T order)
    {
        actions_.emplace_back(std::in_place_type<EngineCommand>, std::in_place_type<T>,
                              std::move(order));
    }

    template <class T>
    void send(const std::string &address, T message)
    {
        actions_.emplace_back(std::in_place_type<MessageToSend>);
        auto &sent = std::get<MessageToSend>(actions_.back());
        sent.address_ = address;
        sent.message_.template emplace<T>(std::move(message));
    }
};

// Offers, queries and other messages of entries and peers.

void handleMessage(SchedulerStep &step, MessageReceived &&received);
void applyRules(SchedulerStep &step, Rules &&rules);

// Progress and end of attempts.

/// Reports to the entry that the attempt was not run and never will be, and records it as closed.
void refuseAttempt(SchedulerStep &step, const AttemptId &attempt, Reason reason);
/// Does the same for a queued attempt, and removes it from its queue.
void refuseQueued(SchedulerStep &step, const AttemptId &attempt, Reason reason);
/// Requests the target to cancel a run; the entry is notified once the run has ended.
void stopRun(SchedulerStep &step, OpenAttempt &attempt, Reason reason);
/// Ends an attempt whose run ended without a complete response.
void failRun(SchedulerStep &step, OpenAttempt &attempt, RunState state, Reason reason);
void handleRunHead(SchedulerStep &step, RunResponseHead &&head);
void handleRunBytes(SchedulerStep &step, RunResponseBytes &&bytes);
void handleRunEnded(SchedulerStep &step, const RunEnded &ended);
void handleRunFailed(SchedulerStep &step, const RunFailed &failed);
/// Refuses queued attempts and cancels running ones whose deadline has passed.
void enforceDeadlines(SchedulerStep &step);
/// Releases the batch slot and the adapter of a run that this process no longer waits for.
void releaseRun(SchedulerStep &step, const OpenAttempt &attempt);

// Engine state, crashes and adapter orders.

/// Requests a reading of the engine's state; at once, or as soon as the outstanding one is
/// answered.
void requestEngineState(SchedulerStep &step);
/// Blocks starts and loads until a reading requested from now on shows which adapters are resident.
void awaitResidents(SchedulerStep &step);
void handleEngineState(SchedulerStep &step, const EngineStateReceived &read);
void handleEngineUnreachable(SchedulerStep &step, const EngineUnreachable &unreachable);
void handleOrderEnded(SchedulerStep &step, const OrderEnded &ended);
/// Tracks a run that may still be on the engine until a reading shows that it has ended.
void trackForeignRun(TargetScheduler &scheduler, const AttemptId &attempt,
                     const AdapterKey &adapter);

// Choice of the next runs, loads and evictions.

void scheduleWork(SchedulerStep &step);
/// Orders the unload of an adapter that is not in use.
void evictAdapter(SchedulerStep &step, const AdapterKey &adapter);
/// Returns the queued attempts that satisfy the condition, in unspecified order.
std::vector<AttemptId> findQueuedAttempts(const TargetScheduler &scheduler,
                                          const CanStart &condition);
/// Removes an attempt from the fair queue or from the queue of crash suspects.
void removeFromQueue(TargetScheduler &scheduler, const OpenAttempt &attempt);
std::uint32_t queuedCount(const TargetScheduler &scheduler);

} // namespace eelgrasscove
