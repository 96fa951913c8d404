#pragma once

/// The state of one mix: processes, links, the platform, engines, and the record of what happened.

#include "fleetmix.h"

#include "../Platform/fakekeyvalue.h"
#include "../Shared/tokenwindow.h"
#include "Caller/entry.h"
#include "Target/scheduler.h"

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>

namespace eelgrasscove::mix {

using Happen = std::function<void()>;

/// Something that happens at a time; order_ keeps the order among equals, and happen_ says where
/// it is kept, since the queue moves its items often.
struct Event
{
    Time at_;
    std::uint64_t order_ = 0;
    std::size_t happen_ = 0;
};

struct LaterEvent
{
    bool operator()(const Event &left, const Event &right) const
    {
        return left.at_ != right.at_ ? left.at_ > right.at_ : left.order_ > right.order_;
    }
};

/// Tokens of every prompt.
constexpr std::int64_t promptTokens = 2;
/// What the entries have for a request, and what its attempts may run beyond.
constexpr Duration requestTimeout = std::chrono::seconds(3);
constexpr Duration attemptMargin = std::chrono::seconds(5);

/// What a revision of the rules says, as the operators meant it.
struct RulesTruth
{
    std::int64_t rate_ = 0;
    std::int64_t burst_ = 0;
    std::set<std::string> withdrawnKeys_;
    std::map<std::string, std::uint64_t> versions_;
    std::string text_;
};

/// What a caller wants; sent again under the same Idempotency-Key it is another call of the same.
struct Job
{
    std::size_t id_ = 0;
    std::size_t key_ = 0;
    std::string route_;
    bool service_ = false;
    bool idempotent_ = true;
    bool stream_ = false;
    bool killer_ = false;
    std::string idempotencyKey_;
    std::int64_t maxTokens_ = 0;
    std::int64_t tokens_ = 0;
    std::uint32_t starts_ = 0;
    std::uint32_t sends_ = 0;
    /// Adapters that its answers were made with.
    std::set<AdapterKey> ranWith_;
};

/// One request of a caller at one entry process.
struct Call
{
    std::size_t job_ = 0;
    std::size_t node_ = 0;
    Incarnation incarnation_;
    Time deadline_;
    std::string body_;
    std::uint32_t status_ = 0;
    std::uint32_t starts_ = 0;
    /// It has reached its entry.
    bool arrived_ = false;
    bool gone_ = false;
    bool ended_ = false;
    bool toldNotRun_ = false;
};

struct Run
{
    AdapterKey adapter_;
    std::size_t job_ = 0;
    std::int64_t sentTokens_ = 0;
    /// The target scheduler whose connection carries the answer; 0 where it has broken.
    Incarnation door_;
};

struct Engine
{
    bool up_ = true;
    /// Its runs stand still until then.
    Time stalledUntil_;
    std::uint64_t incarnation_ = 1;
    std::uint64_t fencing_ = 0;
    std::set<AdapterKey> adapters_;
    std::map<AttemptId, Run> running_;
};

/// One process and its VM; a target's engine goes on without it.
struct Node
{
    VmName vm_;
    std::string address_;
    DataCentreName dataCentre_;
    TargetGroup group_;
    bool isEntry_ = false;
    bool isEngine_ = false;
    /// On the platform's list, and there shown as leaving.
    bool listed_ = true;
    bool listedLeaving_ = false;

    bool alive_ = false;
    bool frozen_ = false;
    Time thawedAt_;
    Incarnation incarnation_;
    std::deque<Happen> pending_;
    std::optional<Time> stopAt_;
    std::set<AttemptId> offeredAfterLeave_;
    /// The highest revision that was handed to it, and the last that it showed.
    Revision given_;
    Revision shown_;
    bool watching_ = true;
    /// What the platform showed it last, and when it gets the list again.
    Revision read_;
    Time listDueAt_;
    std::optional<bool> reachable_;
    bool platformCut_ = false;

    Entry entry_;
    TargetScheduler door_;
    Fleet fleet_;
    std::string rulesText_;
    std::map<std::string, Time> speakers_;
    Engine engine_;
};

/// One direction between two processes.
struct Link
{
    bool opened_ = false;
    bool up_ = false;
    bool cut_ = false;
    /// Nothing arrives, and neither end notices.
    bool stuck_ = false;
    std::uint64_t epoch_ = 0;
    Time lastArrival_;
    /// Sent while the link was down.
    std::deque<Envelope> held_;
    /// Arrived while it was stuck.
    std::deque<Envelope> late_;
};

enum class LinkFailure {
    OneCut,
    OneStuck,
    DataCentresCut,
    AllCut,
};

struct ListSnapshot
{
    Time at_;
    VmList list_;
};

constexpr std::size_t entryNodes = 3;
constexpr std::size_t targetNodes = 4;
/// A place for the successor of a frozen entry.
constexpr std::size_t successorNode = entryNodes + targetNodes;
constexpr std::size_t nodeCount = successorNode + 1;

class World
{
public:
    World(std::uint64_t seed, const Property *sabotage, bool log);
    MixResult run();

private:
    // Chance and time.
    bool chance(double probability);
    std::size_t below(std::size_t bound);
    Duration upTo(Duration longest);
    void after(Duration delay, Happen happen);
    void at(Node &node, Duration delay, Happen happen);
    void runUntil(Time end);
    bool sabotaged(Property property) const { return sabotage_ && *sabotage_ == property; }
    void violate(Property property, const std::string &what);
    void note(const std::string &what) const;

    // Processes.
    void startNode(Node &node);
    void kill(Node &node);
    void freeze(Node &node, Duration time);
    void thaw(Node &node);
    void tick(std::size_t index, Incarnation incarnation, std::uint64_t number);
    void beat(Node &node);
    void stopGracefully(Node &node);
    void watchStop(Node &node);
    void showRevision(Node &node, Revision revision);
    void give(Node &node, EntryInput input);
    void perform(Node &node, EntryActions &actions);
    void decide(Node &node, SchedulerInput input);
    void perform(Node &node, SchedulerAction &action);
    void sabotageDoor(Node &node);
    void takeAtTarget(Node &node, Envelope &&envelope);
    void takeRulesAtTarget(Node &node, Revision revision, const std::string &text);
    void heartbeatsOfTarget(Node &node);
    void strikesOfTarget(Node &node);

    // Links.
    Node *nodeAt(const std::string &address);
    std::size_t indexOf(const Node &node) const { return &node - nodes_.data(); }
    void send(Node &from, const std::string &address, Message message);
    void transmit(std::size_t from, std::size_t to, Envelope envelope);
    void arrive(std::size_t from, std::size_t to, Envelope envelope);
    void deliver(Node &to, Envelope &&envelope);
    void breakLink(std::size_t from, std::size_t to);
    void connectLater(std::size_t from, std::size_t to, Incarnation incarnation);
    void cutBetween(const std::function<bool(const Node &, const Node &)> &chosen, Duration time);
    void stickBetween(std::size_t left, std::size_t right, Duration time);
    void unstick(std::size_t from, std::size_t to);

    // The platform.
    bool reaches(const Node &node) const { return !platformDown_ && !node.platformCut_; }
    void callPlatform(Node &node, KvOperation operation);
    void pollPlatform(Node &node);
    void readRules(Node &node);
    void givePlatform(Node &node, const PlatformEvent &event);
    void snapshotList();
    const VmList &laggingList() const;
    void firstRules();
    RulesTruth &latest() { return truths_.back(); }

    // Engines.
    void engineHears(Node &node, Incarnation door, const EngineCommand &command);
    void engineStarts(Node &node, Incarnation door, const StartRun &start);
    void engineStep(Node &node, const AttemptId &attempt);
    void engineOrders(Node &node, Incarnation door, const AdapterOrder &order);
    void toDoor(Node &node, Incarnation door, EngineEvent event);
    void crashEngine(Node &node);
    void checkStart(Node &node, const StartRun &start);

    // Callers.
    void newJob();
    void sendCall(std::size_t job);
    CallerRequest callerRequest(const Job &job, std::size_t call) const;
    void hear(const Node &node, const CallerReply &reply);
    void endCall(std::size_t call, bool final);
    void hearWhole(std::size_t call);
    void hearError(std::size_t call);
    void checkCallsInTime();

    // The scenario.
    void startListed();
    void schedule();
    void rest();
    void drain();
    void failOnce();
    void restartLater(Node &node, Duration time);
    void killFor(Node &node, Duration time, bool targetToo);
    void loseDataCentre(const DataCentreName &dataCentre, Duration time);
    void leaveAndReturn(Node &node, Duration time);
    void cutOff(const Node &node, Duration time);
    void failLinks(LinkFailure kind, Node &node, Duration time);
    void failPlatform(bool down, Duration time);
    void stall(Node &node, Duration time);
    void changeRules();
    void replaceFrozen();
    void heal();
    void checkRest();
    void checkWindows();

    std::mt19937_64 random_;
    const Property *sabotage_;
    bool log_;
    Time now_;
    std::uint64_t eventOrder_ = 0;
    std::priority_queue<Event, std::vector<Event>, LaterEvent> events_;
    std::vector<Happen> happens_;
    /// Kept for its room; performing an action never makes another step at once.
    EntryActions actions_;
    std::vector<std::size_t> freeHappens_;
    std::array<Node, nodeCount> nodes_;
    std::array<std::array<Link, nodeCount>, nodeCount> links_;
    std::uint64_t lastIncarnation_ = 1000;
    bool calm_ = false;
    Duration tickPeriod_;
    FakeKeyValue store_;
    bool platformDown_ = false;
    bool staleReads_ = false;
    Duration listLag_;
    /// One account presses on one group, whose targets stall and can't be reached.
    bool narrow_ = false;
    std::deque<ListSnapshot> snapshots_;
    std::vector<RulesTruth> truths_;
    std::vector<Job> jobs_;
    std::vector<Call> calls_;
    std::map<AttemptId, Revision> offerRevisions_;
    std::array<std::vector<TokenRun>, 2> tokens_;
    MixResult result_;
};

/// The answer to a job by an adapter, or by a plain service.
std::string answerOf(const Job &job, const AdapterKey &adapter);
std::string answerPart(const Job &job, const AdapterKey &adapter, std::int64_t token);
/// The account that a key stands for, as the number in its name.
std::size_t accountOfKey(std::size_t key);

} // namespace eelgrasscove::mix
