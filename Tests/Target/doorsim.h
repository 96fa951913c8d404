#pragma once

/// A door, a tiny engine and an entry in virtual time, driven by a seed: offers, queries, cancels,
/// repeats, lost messages, crashes, failed loads, restarts, rule changes and a drain.

#include "Target/door.h"

#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace eelgrasscove {

/// What must always hold.
enum class Property {
    NeverEvictInUse,
    StartsAtMostOnce,
    NotRunIsNotRun,
    BatchSlots,
    RightAdapter,
    WithdrawnKey,
    WholeAnswer,
    AcceptedEnds,
    DrainsEmpty,
};

constexpr NameTable<Property, 9> propertyNames = {{
    {Property::NeverEvictInUse, "an adapter in use is never evicted"},
    {Property::StartsAtMostOnce, "an attempt starts at most once"},
    {Property::NotRunIsNotRun, "what was told not run never ran and never does"},
    {Property::BatchSlots, "no more runs than batch slots"},
    {Property::RightAdapter, "the route's adapter runs the request"},
    {Property::WithdrawnKey, "a withdrawn key starts nothing"},
    {Property::WholeAnswer, "answers arrive whole, without gap or double"},
    {Property::AcceptedEnds, "every accepted attempt comes to one end"},
    {Property::DrainsEmpty, "a door that leaves ends empty"},
}};

struct Violation
{
    Property property_ = Property::NeverEvictInUse;
    std::string what_;
};

/// A fault put into the door on purpose, to show that its property can fail.
enum class Sabotage {
    None,
    ForgetPins,
    ForgetRunning,
    ForgetClosed,
    SwapAdapters,
    KeepOldRules,
    CorruptAnswers,
    LoseEnds,
    LoseEndsWhileLeaving,
};

struct SimAttempt
{
    Offer offer_;
    bool accepted_ = false;
    bool toldNotRun_ = false;
    bool ended_ = false;
    bool whole_ = false;
    std::uint32_t engineStarts_ = 0;
    std::uint64_t have_ = 0;
    std::uint64_t doorNumber_ = 0;
    /// The door that the offer reached first; 0 before.
    std::uint64_t reachedDoor_ = 0;
};

struct SimRun
{
    AdapterKey adapter_;
    std::uint32_t tokensLeft_ = 0;
    std::uint64_t sent_ = 0;
    /// The door whose connection carries the answer; 0 where it has broken.
    std::uint64_t doorNumber_ = 0;
    /// Sent by a door that is gone by now; no later door can foresee it.
    bool late_ = false;
};

struct SimEngine
{
    bool up_ = true;
    std::uint64_t incarnation_ = 1;
    std::uint64_t fencing_ = 0;
    std::set<AdapterKey> adapters_;
    std::map<AttemptId, SimRun> running_;
};

/// Something that happens at a time; number_ keeps the order among equals.
struct SimEvent
{
    Time at_;
    std::uint64_t number_ = 0;
    std::function<void()> happen_;
};

struct LaterEvent
{
    bool operator()(const SimEvent &a, const SimEvent &b) const
    {
        return a.at_ != b.at_ ? a.at_ > b.at_ : a.number_ > b.number_;
    }
};

class DoorSim
{
public:
    explicit DoorSim(std::uint64_t seed, Sabotage sabotage = Sabotage::None);

    /// Runs the whole scenario and returns what didn't hold.
    std::vector<Violation> run();

    /// How often the scenario's parts came up, to see that they do.
    struct Counts
    {
        std::uint64_t offers_ = 0;
        std::uint64_t wholeAnswers_ = 0;
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
    void after(Duration delay, std::function<void()> happen);
    void runUntil(Time end, Duration tickPeriod);
    void violate(Property property, const std::string &what);

    void startDoor();
    void give(DoorInput input);
    void sabotageState();
    void perform(DoorAction &&action);
    void toDoor(const Message &message);
    /// An entry never repeats an offer to a door that has started since.
    bool mayArrive(const Message &message);
    void eventToDoor(std::uint64_t doorNumber, EngineEvent event);

    void scheduleFaults();
    void someEntryAction();
    void makeOffer();
    void repeatOffer();
    void ask(SimAttempt &attempt, bool giveUp);
    SimAttempt *someAttempt();
    void changeRules();
    Rules currentRules() const;

    void entryHears(const Message &message);
    void entryHearsChunk(SimAttempt &attempt, const AnswerChunk &chunk);
    void entryHearsEnd(SimAttempt &attempt, const AnswerEnd &end);
    void noteNotRun(SimAttempt &attempt);

    void engineHears(std::uint64_t doorNumber, const EngineCommand &command);
    void engineStarts(std::uint64_t doorNumber, const StartRun &start);
    void engineStep(const AttemptId &attempt);
    void engineCancels(const AttemptId &attempt);
    void engineOrders(std::uint64_t doorNumber, const AdapterOrder &order);
    void engineTakesOrder(std::uint64_t doorNumber, const AdapterOrder &order);
    void crashEngine();
    void breakConnection();
    bool inUse(const AdapterKey &adapter) const;
    EngineState engineState() const;
    void checkSlots();
    void checkEnds();

    std::mt19937_64 random_;
    Sabotage sabotage_;
    Time now_{Duration(1'000'000)};
    std::priority_queue<SimEvent, std::vector<SimEvent>, LaterEvent> events_;
    std::uint64_t eventNumber_ = 0;
    DoorPolicy policy_;
    Door door_;
    std::uint64_t doorNumber_ = 0;
    SimEngine engine_;
    std::map<AttemptId, SimAttempt> attempts_;
    std::vector<AttemptId> attemptOrder_;
    std::uint64_t revision_ = 1;
    bool faulty_ = true;
    bool leaving_ = false;
    Counts counts_;
    std::vector<Violation> violations_;
};

} // namespace eelgrasscove
