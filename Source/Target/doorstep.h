#pragma once

/// The parts of the door's step. Private to the door.

#include "Target/door.h"

#include <utility>

namespace eelgrasscove {

/// One step under way.
struct DoorStep
{
    Door &door_;
    Time now_;
    DoorActions actions_;

    /// Actions are built in place: a variant that is moved draws false warnings from GCC 12.
    template <class T>
    void act(T action)
    {
        actions_.emplace_back(std::in_place_type<T>, std::move(action));
    }

    template <class T>
    void command(T order)
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

// Offers and questions of entries: dooroffers.cpp.

void takeMessage(DoorStep &step, MessageReceived &&received);
void takeRules(DoorStep &step, Rules &&rules);

// How attempts go on and end: doorattempts.cpp.

/// Tells the entry that the attempt was not run and never will be, and remembers it.
void refuseAttempt(DoorStep &step, const AttemptId &attempt, Reason reason);
/// The same for a queued attempt, which is taken out of its queue.
void refuseQueued(DoorStep &step, const AttemptId &attempt, Reason reason);
/// Asks the target to stop a run; its end is told when it is gone.
void stopRun(DoorStep &step, AttemptInHand &attempt, Reason reason);
/// A run ended without a whole answer.
void failRun(DoorStep &step, AttemptInHand &attempt, RunState state, Reason reason);
void takeRunHead(DoorStep &step, RunHead &&head);
void takeRunBytes(DoorStep &step, RunBytes &&bytes);
void takeRunEnded(DoorStep &step, const RunEnded &ended);
void takeRunFailed(DoorStep &step, const RunFailed &failed);
/// Refuses what is queued past its deadline and stops what runs past it.
void enforceDeadlines(DoorStep &step);
/// Counts of a run that is no longer ours to wait for.
void releaseRun(DoorStep &step, const AttemptInHand &attempt);

// The engine's state, crashes and orders: doorengine.cpp.

/// Asks for a reading; at once, or as soon as the one under way is answered.
void readState(DoorStep &step);
/// Nothing starts or loads until a reading from now on says what is resident.
void settleResidents(DoorStep &step);
void takeEngineState(DoorStep &step, const EngineStateRead &read);
void takeUnreachable(DoorStep &step, const EngineUnreachable &unreachable);
void takeOrderEnded(DoorStep &step, const OrderEnded &ended);
/// Keeps a run that may still be on the engine as one to wait for.
void awaitGone(Door &door, const AttemptId &attempt, const AdapterKey &adapter);

// What starts and what is loaded next: doorschedule.cpp.

void scheduleWork(DoorStep &step);
/// Orders an unload; the slot is not to be in use.
void evict(DoorStep &step, const AdapterKey &adapter);
/// Every queued attempt that satisfies the condition, in no stated order.
std::vector<AttemptId> queuedAttempts(const Door &door, const CanStart &condition);
/// Takes an attempt out of whichever queue holds it.
void unqueue(Door &door, const AttemptInHand &attempt);
std::uint32_t queuedCount(const Door &door);

} // namespace eelgrasscove
