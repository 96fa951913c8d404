#pragma once

/// Simulates a target scheduler with a minimal engine and an entry in virtual time, driven by a
/// seed: offers, queries, cancels, repeats, lost messages, crashes, failed loads, restarts, rule
/// changes and a drain.

#include "Target/scheduler.h"

#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace eelgrasscove {

/// The invariants that the simulation checks.
enum class Property {
    NoEvictionInUse,
    StartsAtMostOnce,
    RefusedNeverRuns,
    BatchSlots,
    RightAdapter,
    WithdrawnKey,
    CompleteResponse,
    AcceptedEnds,
    DrainsEmpty,
};

constexpr NameTable<Property, 9> propertyNames = {{
    {Property::NoEvictionInUse, "an adapter in use is never evicted"},
    {Property::StartsAtMostOnce, "an attempt starts at most once"},
    {Property::RefusedNeverRuns, "an attempt reported as not run neither ran nor runs later"},
    {Property::BatchSlots, "concurrent runs never exceed the batch slots"},
    {Property::RightAdapter, "a request runs on the adapter of its route"},
    {Property::WithdrawnKey, "no run starts with a withdrawn key"},
    {Property::CompleteResponse, "answers arrive complete, without gaps or duplicates"},
    {Property::AcceptedEnds, "every accepted attempt ends exactly once"},
    {Property::DrainsEmpty, "a drained scheduler has no open attempts"},
}};

struct Violation
{
    Property property_ = Property::NoEvictionInUse;
    std::string details_;
};

/// A fault injected into the scheduler, to show that the check of the corresponding property can
/// fail.
enum class InjectedFault {
    None,
    ClearPins,
    RaiseBatchSlots,
    ClearClosedAttempts,
    SwapAdapters,
    KeepOldRules,
    CorruptResponses,
    DropRunEnds,
    DropRunEndsWhileDraining,
};

struct SimAttempt
{
    Offer offer_;
    bool isAccepted_ = false;
    bool isReportedNotRun_ = false;
    bool hasEnded_ = false;
    bool isComplete_ = false;
    std::uint32_t engineStarts_ = 0;
    std::uint64_t receivedBytes_ = 0;
    std::uint64_t schedulerNumber_ = 0;
    /// Number of the scheduler that received the offer first; 0 before that.
    std::uint64_t firstReceiver_ = 0;
};

struct SimRun
{
    AdapterKey adapter_;
    std::uint32_t tokensLeft_ = 0;
    std::uint64_t sent_ = 0;
    /// Number of the scheduler whose connection carries the response; 0 if the connection has
    /// broken.
    std::uint64_t schedulerNumber_ = 0;
    /// Sent by a scheduler that has since been replaced; a later one cannot know of the run in
    /// advance.
    bool isFromReplacedScheduler_ = false;
};

struct SimEngine
{
    bool isUp_ = true;
    std::uint64_t incarnation_ = 1;
    std::uint64_t fencing_ = 0;
    std::set<AdapterKey> adapters_;
    std::map<AttemptId, SimRun> running_;
};

/// An event at a point in time; number_ orders events of the same time.
struct SimEvent
{
    Time at_;
    std::uint64_t number_ = 0;
    std::function<void()> callback_;
};

struct LaterEvent
{
    bool operator()(const SimEvent &a, const SimEvent &b) const
    {
        return a.at_ != b.at_ ? a.at_ > b.at_ : a.number_ > b.number_;
    }
};

class SchedulerSim
{
public:
    explicit SchedulerSim(std::uint64_t seed, InjectedFault fault = InjectedFault::None);

    /// Runs the whole scenario and returns the violations of the properties.
    std::vector<Violation> run();

    /// Counts the situations that the scenario reaches, so that a test can check that it does.
    struct Counts
    {
        std::uint64_t offers_ = 0;
        std::uint64_t completeResponses_ = 0;
        std::uint64_t refusals_ = 0;
        std::uint64_t failures_ = 0;
        std::uint64_t loads_ = 0;
        std::uint64_t evictions_ = 0;
        std::uint64_t crashes_ = 0;
        std::uint64_t restarts_ = 0;
    };
    const Counts &counts() const { return counts_; }

private:
    bool chance(double probability);
    std::uint64_t below(std::uint64_t bound);
    Duration upTo(Duration longest);
    void after(Duration delay, std::function<void()> callback);
    void runUntil(Time end, Duration tickPeriod);
    void recordViolation(Property property, const std::string &details);

    void startScheduler();
    void apply(SchedulerInput input);
    void injectStateFault();
    void perform(SchedulerAction &&action);
    void sendToScheduler(const Message &message);
    /// Returns whether the message can be delivered. An entry never repeats an offer to a scheduler
    /// that has started since the offer was received first.
    bool canDeliver(const Message &message);
    void sendEventToScheduler(std::uint64_t schedulerNumber, EngineEvent event);

    void scheduleFaults();
    void performEntryAction();
    void makeOffer();
    void repeatOffer();
    void sendQuery(SimAttempt &attempt, bool giveUp);
    SimAttempt *pickRecentAttempt();
    void changeRules();
    Rules currentRules() const;

    void handleAtEntry(const Message &message);
    void handleChunkAtEntry(SimAttempt &attempt, const AnswerChunk &chunk);
    void handleEndAtEntry(SimAttempt &attempt, const AnswerEnd &end);
    void recordNotRun(SimAttempt &attempt);

    void handleAtEngine(std::uint64_t schedulerNumber, const EngineCommand &command);
    void startRunOnEngine(std::uint64_t schedulerNumber, const StartRun &start);
    void advanceRun(const AttemptId &attempt);
    void cancelRunOnEngine(const AttemptId &attempt);
    void receiveOrderOnEngine(std::uint64_t schedulerNumber, const AdapterOrder &order);
    void executeOrderOnEngine(std::uint64_t schedulerNumber, const AdapterOrder &order);
    void crashEngine();
    void breakConnection();
    bool isInUse(const AdapterKey &adapter) const;
    EngineState engineState() const;
    void checkBatchSlots();
    void checkAllEnded();

    std::mt19937_64 random_;
    InjectedFault fault_;
    Time now_{Duration(1'000'000)};
    std::priority_queue<SimEvent, std::vector<SimEvent>, LaterEvent> events_;
    std::uint64_t eventNumber_ = 0;
    SchedulerPolicy policy_;
    TargetScheduler scheduler_;
    std::uint64_t schedulerNumber_ = 0;
    SimEngine engine_;
    std::map<AttemptId, SimAttempt> attempts_;
    std::vector<AttemptId> attemptOrder_;
    std::uint64_t revision_ = 1;
    bool hasFaults_ = true;
    bool leaving_ = false;
    Counts counts_;
    std::vector<Violation> violations_;
};

} // namespace eelgrasscove
