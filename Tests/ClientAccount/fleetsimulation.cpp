#include "fleetsimulation.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <queue>
#include <random>

namespace eelgrasscove {

namespace {

using namespace std::chrono_literals;

const AccountName account = {"growers"};
constexpr Time start = Time(1000h);
constexpr Duration horizon = 16s;
constexpr Duration tickPeriod = 100ms;
constexpr Duration heartbeatPeriod = 400ms;
constexpr Duration listPeriod = 300ms;
constexpr Duration callTimeout = 400ms;
constexpr Duration maxRunTime = 2400ms;
constexpr Duration loanUsable = 500ms;
/// maxRunTime + loanUsable, plus a margin for the delays of the simulation.
constexpr Duration maxAttemptDuration = 3s;
constexpr std::int64_t microTokensPerToken = 1'000'000;

struct Event
{
    Time at_;
    std::uint64_t order_ = 0;
    std::function<void()> action_;
};

struct LaterEvent
{
    bool operator()(const Event &left, const Event &right) const
    {
        return left.at_ != right.at_ ? left.at_ > right.at_ : left.order_ > right.order_;
    }
};

/// One incarnation of an entry process.
struct Entry
{
    VmName vm_;
    Incarnation incarnation_;
    bool alive_ = true;
    Time frozenUntil_ = start;
    Ledger ledger_;
    Allowance allowance_;
    LoanBook book_;
    Revision rules_;
};

using EntryPointer = std::shared_ptr<Entry>;

/// The correct VM list at one point in time.
struct ListSnapshot
{
    Time at_;
    VmList list_;
};

struct Simulation
{
    std::mt19937_64 random_;
    Defect defect_ = Defect::None;
    Time now_ = start;
    std::uint64_t nextOrder_ = 0;
    std::uint64_t nextAttempt_ = 0;
    std::uint64_t nextVm_ = 0;
    std::uint64_t nextIncarnation_ = 1;
    std::priority_queue<Event, std::vector<Event>, LaterEvent> events_;
    std::vector<EntryPointer> entries_;
    std::vector<ListSnapshot> snapshots_;
    Duration listLag_ = 0ms;
    /// Contents of the simulated key-value service.
    std::map<std::string, KvPair> values_;
    std::int64_t kvRevision_ = 0;
    Time kvDownUntil_ = start;
    Time partitionUntil_ = start;
    double lossRate_ = 0;
    double duplicateRate_ = 0;
    double lostReplyRate_ = 0;
    /// Targets hold tokens back and run them all at one time: the worst case for the limit.
    bool runsTokensTogether_ = false;
    /// Requests arrive in bursts, after pauses in which the token buckets fill up.
    bool hasRequestBursts_ = false;
    AllowanceShare contract_;
    AllowanceShare lowered_;
    Revision rules_ = {1};
    SimulationResult result_;
};

std::int64_t randomInteger(Simulation &simulation, std::int64_t low, std::int64_t high)
{
    return std::uniform_int_distribution<std::int64_t>(low, high)(simulation.random_);
}

bool randomBool(Simulation &simulation, double probability)
{
    return std::bernoulli_distribution(probability)(simulation.random_);
}

Duration randomDuration(Simulation &simulation, Duration low, Duration high)
{
    return Duration(randomInteger(simulation, low.count(), high.count()));
}

void scheduleAt(Simulation &simulation, Time time, std::function<void()> action)
{
    simulation.events_.push({time, simulation.nextOrder_++, std::move(action)});
}

/// Schedules an action of an entry. It is dropped if the entry has terminated, and postponed to the
/// end of the freeze if the entry is frozen.
void scheduleOnEntry(Simulation &simulation, const EntryPointer &entry, Time time,
                     std::function<void()> action)
{
    scheduleAt(simulation, time, [&simulation, entry, action = std::move(action)]() {
        if (!entry->alive_)
            return;
        if (entry->frozenUntil_ > simulation.now_) {
            scheduleOnEntry(simulation, entry, entry->frozenUntil_, action);
            return;
        }
        action();
    });
}

EntryPointer findEntry(const Simulation &simulation, const VmName &vm)
{
    for (const EntryPointer &entry : simulation.entries_) {
        if (entry->alive_ && entry->vm_ == vm)
            return entry;
    }
    return nullptr;
}

void recordSnapshot(Simulation &simulation)
{
    VmList list;
    for (const EntryPointer &entry : simulation.entries_) {
        if (!entry->alive_)
            continue;
        ListedVm vm;
        vm.vm_ = entry->vm_;
        list.vms_.push_back(vm);
    }
    simulation.snapshots_.push_back({simulation.now_, list});
}

const VmList &delayedList(const Simulation &simulation)
{
    const Time seen = simulation.now_ - simulation.listLag_;
    const ListSnapshot *latest = &simulation.snapshots_.front();
    for (const ListSnapshot &shot : simulation.snapshots_) {
        if (shot.at_ <= seen)
            latest = &shot;
    }
    return latest->list_;
}

void submit(Simulation &simulation, const EntryPointer &entry,
            const std::vector<KvOperation> &operations);

void deliverOutcome(Simulation &simulation, const EntryPointer &entry, KvOutcome outcome)
{
    const bool unknown = outcome.status_ == KvStatus::Unknown;
    simulation.result_.unknownOutcomes_ += unknown ? 1 : 0;
    if (unknown && simulation.defect_ == Defect::UnknownTreatedAsNotSent)
        outcome.status_ = KvStatus::NotSent;
    const auto operations =
        handleKvOutcome(entry->ledger_, outcome, entry->allowance_, simulation.now_);
    for (auto &[name, held] : entry->ledger_.accounts_) {
        if (simulation.defect_ == Defect::InheritedTokensIgnored)
            held.inheritedTokens_ = 0;
    }
    applyShares(entry->ledger_, entry->allowance_, simulation.now_);
    submit(simulation, entry, operations);
}

KvOutcome execute(Simulation &simulation, const KvOperation &operation)
{
    KvOutcome outcome;
    outcome.tag_ = operation.tag_;
    outcome.status_ = KvStatus::Succeeded;
    for (const KvCondition &condition : operation.conditions_) {
        const auto found = simulation.values_.find(condition.key_);
        const std::int64_t revision =
            found == simulation.values_.end() ? 0 : found->second.modRevision_;
        if (revision != condition.modRevision_)
            outcome.status_ = KvStatus::ConditionFailed;
    }
    if (outcome.status_ == KvStatus::Succeeded && !operation.writes_.empty()) {
        ++simulation.kvRevision_;
        for (const KvWrite &write : operation.writes_)
            simulation.values_[write.key_] = {write.key_, *write.value_, simulation.kvRevision_};
    }
    for (const KvRead &read : operation.reads_) {
        const auto found = simulation.values_.find(read.key_);
        if (found != simulation.values_.end())
            outcome.reads_.push_back(found->second);
    }
    outcome.revision_ = simulation.kvRevision_;
    return outcome;
}

/// Simulates one call. A call without a reply may take effect before or after its timeout, or
/// never.
void submitOne(Simulation &simulation, const EntryPointer &entry, const KvOperation &operation)
{
    const Time now = simulation.now_;
    if (now < simulation.kvDownUntil_ && randomBool(simulation, 0.7)) {
        scheduleOnEntry(simulation, entry, now + 1ms, [&simulation, entry, operation]() {
            deliverOutcome(simulation, entry, {operation.tag_, KvStatus::NotSent, {}, 0});
        });
        return;
    }
    const bool lost =
        now < simulation.kvDownUntil_ || randomBool(simulation, simulation.lostReplyRate_);
    const bool takesEffect = !lost || randomBool(simulation, 0.7);
    const Duration longest = lost ? Duration(3 * callTimeout) : Duration(20ms);
    const Time arrival = now + randomDuration(simulation, 1ms, longest);
    if (takesEffect) {
        scheduleAt(simulation, arrival, [&simulation, entry, operation, lost]() {
            const KvOutcome outcome = execute(simulation, operation);
            if (lost)
                return;
            const Time reply = simulation.now_ + randomDuration(simulation, 1ms, 20ms);
            scheduleOnEntry(simulation, entry, reply, [&simulation, entry, outcome]() {
                deliverOutcome(simulation, entry, outcome);
            });
        });
    }
    if (lost) {
        scheduleOnEntry(simulation, entry, now + callTimeout, [&simulation, entry, operation]() {
            deliverOutcome(simulation, entry, {operation.tag_, KvStatus::Unknown, {}, 0});
        });
    }
}

void submit(Simulation &simulation, const EntryPointer &entry,
            const std::vector<KvOperation> &operations)
{
    for (const KvOperation &operation : operations)
        submitOne(simulation, entry, operation);
}

void send(Simulation &simulation, const EntryPointer &from,
          const std::vector<LoanMessage> &messages);

void creditGrantTwice(Entry &entry, const LoanGrant &grant)
{
    const auto loan = entry.book_.borrowed_.find(grant.number_);
    if (loan != entry.book_.borrowed_.end() && loan->second.state_ == LoanState::Held)
        loan->second.idleTokens_ += grant.tokens_;
}

/// Handles a message; incarnation is the sender's at the time of sending.
void receive(Simulation &simulation, const EntryPointer &entry, const VmName &from,
             Incarnation incarnation, const Message &message)
{
    const Time now = simulation.now_;
    Entry &self = *entry;
    std::vector<LoanMessage> answers;
    if (const auto *request = std::get_if<LoanRequest>(&message)) {
        answers = handleLoanRequest(self.allowance_, self.book_, from, incarnation, *request, now);
    }
    if (const auto *grant = std::get_if<LoanGrant>(&message)) {
        if (simulation.defect_ == Defect::LoanCreditedTwice)
            creditGrantTwice(self, *grant);
        answers = handleLoanGrant(self.book_, from, *grant, now);
    }
    if (const auto *report = std::get_if<LoanReport>(&message))
        answers = handleLoanReport(self.allowance_, self.book_, from, incarnation, *report, now);
    if (const auto *closed = std::get_if<LoanClosed>(&message))
        handleLoanClosed(self.book_, from, *closed);
    if (const auto *heartbeat = std::get_if<Heartbeat>(&message)) {
        for (const AccountFreeTokens &hint : heartbeat->freeTokens_)
            updatePeerFreeTokens(self.book_, from, hint, now);
        handleBorrowerEnd(self.book_, from, {incarnation.value_ - 1}, now);
    }
    send(simulation, entry, answers);
}

void sendOnce(Simulation &simulation, const EntryPointer &from, const LoanMessage &message)
{
    const Time arrival = simulation.now_ + randomDuration(simulation, 1ms, 60ms);
    const VmName sender = from->vm_;
    const Incarnation incarnation = from->incarnation_;
    scheduleAt(simulation, arrival, [&simulation, sender, incarnation, message]() {
        const EntryPointer to = findEntry(simulation, message.to_);
        if (to == nullptr)
            return;
        scheduleOnEntry(simulation, to, simulation.now_,
                        [&simulation, to, sender, incarnation, message]() {
                            receive(simulation, to, sender, incarnation, message.message_);
                        });
    });
}

void send(Simulation &simulation, const EntryPointer &from,
          const std::vector<LoanMessage> &messages)
{
    for (const LoanMessage &message : messages) {
        const bool isPartitioned = simulation.now_ < simulation.partitionUntil_;
        if (isPartitioned || randomBool(simulation, simulation.lossRate_))
            continue;
        sendOnce(simulation, from, message);
        if (randomBool(simulation, simulation.duplicateRate_))
            sendOnce(simulation, from, message);
    }
}

/// Returns when the last token of one part of an attempt runs, at most maxRunTime from now.
Time randomRunTime(Simulation &simulation)
{
    const Duration since = simulation.now_ - start;
    const Duration untilNext = maxRunTime - since % maxRunTime;
    const bool together = simulation.runsTokensTogether_ && randomBool(simulation, 0.9);
    return simulation.now_ + (together ? untilNext : randomDuration(simulation, 0ms, maxRunTime));
}

/// Runs the tokens at the target, even if the entry fails; the entry receives the reports with a
/// delay.
void runAttempt(Simulation &simulation, const EntryPointer &entry, const AttemptId &attempt,
                std::int64_t tokens)
{
    const std::int64_t total =
        randomBool(simulation, 0.5) ? tokens : randomInteger(simulation, 0, tokens);
    const std::int64_t parts = randomInteger(simulation, 1, 4);
    Time last = simulation.now_;
    for (std::int64_t part = 1; part <= parts; ++part) {
        const std::int64_t before = total * (part - 1) / parts;
        const std::int64_t after = total * part / parts;
        last = std::max(last, randomRunTime(simulation));
        simulation.result_.runs_.push_back({last, after - before});
        if (randomBool(simulation, 0.3))
            continue;
        const Time reportedAt = last + randomDuration(simulation, 1ms, 100ms);
        scheduleOnEntry(simulation, entry, reportedAt, [&simulation, entry, attempt, after]() {
            recordAttemptRun(entry->allowance_, entry->book_, account, attempt, after,
                             simulation.now_);
        });
    }
    const Time settled = last + randomDuration(simulation, 1ms, 600ms);
    scheduleOnEntry(simulation, entry, settled, [&simulation, entry, attempt, total]() {
        settleAttempt(entry->allowance_, entry->book_, account, attempt, total, simulation.now_);
    });
}

void tryRequest(Simulation &simulation, const EntryPointer &entry, const AttemptId &attempt,
                std::int64_t tokens, int triesLeft)
{
    const Time now = simulation.now_;
    const std::int64_t burst = simulation.contract_.burstTokens_;
    const Admission admission =
        admit(entry->allowance_, entry->book_, account, attempt, tokens, burst, now);
    if (std::holds_alternative<Admitted>(admission)) {
        ++simulation.result_.admitted_;
        simulation.result_.withLoans_ += entry->book_.attempts_.contains(attempt) ? 1 : 0;
        runAttempt(simulation, entry, attempt, tokens);
        return;
    }
    if (triesLeft == 0)
        return;
    send(simulation, entry, requestLoans(entry->allowance_, entry->book_, account, tokens, now));
    const Time next = now + randomDuration(simulation, 20ms, 300ms);
    scheduleOnEntry(simulation, entry, next, [&simulation, entry, attempt, tokens, triesLeft]() {
        tryRequest(simulation, entry, attempt, tokens, triesLeft - 1);
    });
}

/// Defect: refills like a plain token bucket, ignoring outstanding tokens.
void refillIgnoringOutstanding(Simulation &simulation, Entry &entry)
{
    for (auto &[name, held] : entry.allowance_.accounts_) {
        const std::int64_t gained = held.share_.tokensPerSecond_ * tickPeriod.count();
        const std::int64_t room =
            held.share_.burstTokens_ * microTokensPerToken - held.freeMicroTokens_;
        held.freeMicroTokens_ += std::max<std::int64_t>(0, std::min(gained, room));
        held.refilledAt_ = simulation.now_;
    }
}

void reportRemovedBorrowers(Simulation &simulation, Entry &entry)
{
    for (const auto &[vm, since] : entry.ledger_.missingSince_)
        handleBorrowerEnd(entry.book_, vm, {UINT64_MAX}, simulation.now_);
}

/// Defect: the lender settles its loans and reuses the tokens before the borrower has run them.
void settleLoansEarly(Simulation &simulation, Entry &entry)
{
    for (const auto &[key, loan] : entry.book_.lent_) {
        const AttemptId id = {"loan/" + key.borrower_.text_ + "/"
                              + std::to_string(key.incarnation_.value_) + "/"
                              + std::to_string(key.number_)};
        settle(entry.allowance_, loan.account_, id, 0, simulation.now_);
    }
}

void tick(Simulation &simulation, const EntryPointer &entry)
{
    const Time now = simulation.now_;
    Entry &self = *entry;
    if (simulation.defect_ == Defect::RefillIgnoresOutstanding)
        refillIgnoringOutstanding(simulation, self);
    if (simulation.defect_ == Defect::LoanSettledEarly)
        settleLoansEarly(simulation, self);
    const auto operations = advanceLedger(self.ledger_, self.allowance_, now);
    applyShares(self.ledger_, self.allowance_, now);
    submit(simulation, entry, operations);
    send(simulation, entry, advanceLoans(self.allowance_, self.book_, now));
    scheduleOnEntry(simulation, entry, now + tickPeriod,
                    [&simulation, entry]() { tick(simulation, entry); });
}

void sendHeartbeats(Simulation &simulation, const EntryPointer &entry)
{
    Heartbeat heartbeat;
    heartbeat.freeTokens_ = freeTokenHints(entry->allowance_, 4, simulation.now_);
    std::vector<LoanMessage> messages;
    for (const VmName &peer : entry->ledger_.entries_) {
        if (peer != entry->vm_)
            messages.push_back({peer, heartbeat});
    }
    send(simulation, entry, messages);
    scheduleOnEntry(simulation, entry, simulation.now_ + heartbeatPeriod,
                    [&simulation, entry]() { sendHeartbeats(simulation, entry); });
}

void readList(Simulation &simulation, const EntryPointer &entry)
{
    if (simulation.now_ >= simulation.kvDownUntil_) {
        applyEntryList(entry->ledger_, delayedList(simulation), simulation.now_);
        reportRemovedBorrowers(simulation, *entry);
        applyShares(entry->ledger_, entry->allowance_, simulation.now_);
    }
    scheduleOnEntry(simulation, entry, simulation.now_ + listPeriod,
                    [&simulation, entry]() { readList(simulation, entry); });
}

void applyContractUpdate(Simulation &simulation, const EntryPointer &entry)
{
    const bool lowered = simulation.rules_.value_ > 1;
    const AllowanceShare contract = lowered ? simulation.lowered_ : simulation.contract_;
    entry->rules_ = simulation.rules_;
    applyContract(entry->ledger_, account, contract, simulation.rules_, simulation.now_);
    applyShares(entry->ledger_, entry->allowance_, simulation.now_);
}

void startEntry(Simulation &simulation, const VmName &vm)
{
    const auto entry = std::make_shared<Entry>();
    entry->vm_ = vm;
    entry->incarnation_ = {simulation.nextIncarnation_++};
    entry->ledger_.self_ = vm;
    entry->ledger_.incarnation_ = entry->incarnation_;
    entry->ledger_.policy_.maxAttemptDuration_ = maxAttemptDuration;
    entry->ledger_.policy_.retryPeriod_ = 200ms;
    entry->ledger_.policy_.maxDoublings_ = 2;
    if (simulation.defect_ == Defect::ReclaimedImmediately)
        entry->ledger_.policy_.maxAttemptDuration_ = 0s;
    entry->book_.self_ = vm;
    entry->book_.policy_.usablePeriod_ = loanUsable;
    entry->book_.policy_.idleTimeout_ = 200ms;
    entry->book_.policy_.minRequestTokens_ = 16;
    entry->book_.policy_.maxAttemptDuration_ = maxAttemptDuration;
    simulation.entries_.push_back(entry);
    recordSnapshot(simulation);
    scheduleOnEntry(simulation, entry, simulation.now_, [&simulation, entry]() {
        applyContractUpdate(simulation, entry);
        readList(simulation, entry);
        tick(simulation, entry);
        sendHeartbeats(simulation, entry);
    });
}

void startNewVm(Simulation &simulation)
{
    startEntry(simulation, {"entry-" + std::to_string(simulation.nextVm_++)});
}

std::vector<EntryPointer> aliveEntries(const Simulation &simulation)
{
    std::vector<EntryPointer> entries;
    for (const EntryPointer &entry : simulation.entries_) {
        if (entry->alive_)
            entries.push_back(entry);
    }
    return entries;
}

EntryPointer randomEntry(Simulation &simulation)
{
    const std::vector<EntryPointer> entries = aliveEntries(simulation);
    if (entries.empty())
        return nullptr;
    const auto place = randomInteger(simulation, 0, static_cast<std::int64_t>(entries.size()) - 1);
    return entries[static_cast<std::size_t>(place)];
}

/// Terminates the entry; either the process restarts on its VM, or a new VM replaces the VM.
void killEntry(Simulation &simulation, const EntryPointer &entry)
{
    if (!entry->alive_)
        return;
    entry->alive_ = false;
    ++simulation.result_.kills_;
    const bool restarts = randomBool(simulation, 0.5);
    const Time back = simulation.now_ + randomDuration(simulation, 10ms, 1500ms);
    const VmName vm = entry->vm_;
    if (!restarts) {
        recordSnapshot(simulation);
        scheduleAt(simulation, back, [&simulation]() { startNewVm(simulation); });
        return;
    }
    scheduleAt(simulation, back, [&simulation, vm]() { startEntry(simulation, vm); });
}

void injectFailure(Simulation &simulation)
{
    const EntryPointer entry = randomEntry(simulation);
    const Duration length = randomDuration(simulation, 100ms, 4s);
    if (entry == nullptr)
        return;
    switch (randomInteger(simulation, -1, 4)) {
    case -1:
    case 0:
        killEntry(simulation, entry);
        break;
    case 1:
        entry->frozenUntil_ = simulation.now_ + length;
        break;
    case 2:
        simulation.partitionUntil_ = simulation.now_ + length;
        break;
    case 3:
        simulation.kvDownUntil_ = simulation.now_ + length;
        break;
    default:
        entry->frozenUntil_ = simulation.now_ + length;
        startNewVm(simulation);
        break;
    }
}

void lowerContract(Simulation &simulation)
{
    simulation.rules_ = {2};
    for (const EntryPointer &entry : aliveEntries(simulation)) {
        const Time appliedAt = simulation.now_ + randomDuration(simulation, 0ms, 800ms);
        scheduleOnEntry(simulation, entry, appliedAt,
                        [&simulation, entry]() { applyContractUpdate(simulation, entry); });
    }
}

bool allEntriesUseLoweredContract(const Simulation &simulation)
{
    const std::vector<EntryPointer> entries = aliveEntries(simulation);
    return simulation.rules_.value_ > 1
        && std::all_of(entries.begin(), entries.end(),
                       [](const EntryPointer &entry) { return entry->rules_.value_ > 1; });
}

AllowanceShare sharesInUse(const Simulation &simulation)
{
    AllowanceShare sum;
    for (const EntryPointer &entry : aliveEntries(simulation)) {
        for (const auto &[name, held] : entry->ledger_.accounts_) {
            const AllowanceShare share = usableShare(held);
            sum.tokensPerSecond_ += share.tokensPerSecond_;
            sum.burstTokens_ += share.burstTokens_;
        }
    }
    return sum;
}

void checkShares(Simulation &simulation)
{
    const AllowanceShare sum = sharesInUse(simulation);
    const bool over = sum.tokensPerSecond_ > simulation.contract_.tokensPerSecond_
        || sum.burstTokens_ > simulation.contract_.burstTokens_;
    simulation.result_.overAllotted_ += over ? 1 : 0;
    const bool isLoweredInEffect =
        simulation.result_.loweredFrom_ == Time::max() && allEntriesUseLoweredContract(simulation);
    if (isLoweredInEffect)
        simulation.result_.loweredFrom_ = simulation.now_ + maxAttemptDuration;
    scheduleAt(simulation, simulation.now_ + 50ms, [&simulation]() { checkShares(simulation); });
}

void scheduleRequests(Simulation &simulation)
{
    const std::int64_t burst = simulation.contract_.burstTokens_;
    Time time = start;
    const Duration spacing =
        simulation.hasRequestBursts_ ? Duration(10ms) : randomDuration(simulation, 30ms, 160ms);
    while (time < start + horizon - 1s) {
        const bool pause = simulation.hasRequestBursts_ && randomBool(simulation, 0.04);
        time += pause ? randomDuration(simulation, 500ms, 3s)
                      : randomDuration(simulation, 0ms, 2 * spacing);
        const std::int64_t tokens =
            randomInteger(simulation, 1, burst / randomInteger(simulation, 2, 12));
        scheduleAt(simulation, time, [&simulation, tokens]() {
            const EntryPointer entry = randomEntry(simulation);
            ++simulation.result_.requests_;
            if (entry == nullptr)
                return;
            const AttemptId attempt = {"attempt-" + std::to_string(simulation.nextAttempt_++)};
            scheduleOnEntry(simulation, entry, simulation.now_,
                            [&simulation, entry, attempt, tokens]() {
                                tryRequest(simulation, entry, attempt, tokens, 4);
                            });
        });
    }
}

void scheduleFailures(Simulation &simulation)
{
    const std::int64_t failures = randomInteger(simulation, 0, 10);
    for (std::int64_t number = 0; number < failures; ++number) {
        const Time time = start + randomDuration(simulation, 500ms, horizon - 3s);
        scheduleAt(simulation, time, [&simulation]() { injectFailure(simulation); });
    }
    if (!randomBool(simulation, 0.4))
        return;
    const Time time = start + randomDuration(simulation, 2s, horizon - 8s);
    scheduleAt(simulation, time, [&simulation]() { lowerContract(simulation); });
}

void setUp(Simulation &simulation, std::uint64_t seed)
{
    simulation.random_.seed(seed);
    simulation.listLag_ = randomDuration(simulation, 0ms, 1s);
    simulation.lossRate_ = randomBool(simulation, 0.5) ? 0.0 : 0.2;
    simulation.duplicateRate_ = randomBool(simulation, 0.5) ? 0.0 : 0.2;
    simulation.lostReplyRate_ = randomBool(simulation, 0.5) ? 0.0 : 0.2;
    simulation.runsTokensTogether_ = randomBool(simulation, 0.6);
    simulation.hasRequestBursts_ = randomBool(simulation, 0.5);
    simulation.contract_ = {randomInteger(simulation, 50, 2000),
                            randomInteger(simulation, 200, 2000)};
    const std::int64_t part = randomInteger(simulation, 10, 90);
    simulation.lowered_ = {simulation.contract_.tokensPerSecond_ * part / 100,
                           simulation.contract_.burstTokens_ * part / 100};
    recordSnapshot(simulation);
    const std::int64_t entries = randomInteger(simulation, 2, 4);
    for (std::int64_t number = 0; number < entries; ++number)
        startNewVm(simulation);
    scheduleRequests(simulation);
    scheduleFailures(simulation);
    checkShares(simulation);
}

std::vector<TokenRun> runsFrom(const std::vector<TokenRun> &runs, Time from)
{
    std::vector<TokenRun> later;
    std::copy_if(runs.begin(), runs.end(), std::back_inserter(later),
                 [from](const TokenRun &run) { return run.at_ >= from; });
    return later;
}

bool exceeds(const std::vector<TokenRun> &runs, AllowanceShare contract)
{
    return worstBurstMicroTokens(runs, contract.tokensPerSecond_)
        > contract.burstTokens_ * microTokensPerToken;
}

} // namespace

SimulationResult simulateFleet(std::uint64_t seed, Defect defect)
{
    Simulation simulation;
    simulation.defect_ = defect;
    setUp(simulation, seed);
    while (!simulation.events_.empty() && simulation.events_.top().at_ < start + horizon) {
        const Event event = simulation.events_.top();
        simulation.events_.pop();
        simulation.now_ = event.at_;
        event.action_();
    }
    simulation.result_.contract_ = simulation.contract_;
    simulation.result_.loweredContract_ = simulation.lowered_;
    return simulation.result_;
}

std::string violatedInvariant(const SimulationResult &result)
{
    if (result.overAllotted_ > 0)
        return "the shares in use add up to more than the contract";
    if (exceeds(result.runs_, result.contract_))
        return "a window has more tokens run than burst + rate * window";
    if (result.loweredFrom_ == Time::max())
        return {};
    if (exceeds(runsFrom(result.runs_, result.loweredFrom_), result.loweredContract_))
        return "a window has more tokens run than the lowered contract allows";
    return {};
}

} // namespace eelgrasscove
