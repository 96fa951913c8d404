#include "benchsimulation.h"

#include "ClientAccount/loan.h"
#include "ClientAccount/requestqueue.h"
#include "DataCentre/rendezvous.h"
#include "DataCentre/routing.h"
#include "Target/scheduler.h"
#include "benchengine.h"

#include <algorithm>
#include <functional>
#include <queue>

namespace eelgrasscove {

namespace {

using namespace std::chrono_literals;

constexpr Duration linkTime = 1ms;
constexpr Duration heartbeatPeriod = 250ms;
constexpr Duration tickPeriod = 50ms;
constexpr Duration waitingRetry = 10ms;
constexpr Duration reportedRunPeriod = 300ms;
/// Runs on after the last request, so that all can finish.
constexpr Duration drainTime = 60s;
constexpr std::size_t hintedAccounts = 16;
/// A hash with bounded load passes targets above so many times the mean load.
constexpr double boundedLoadFactor = 1.25;
constexpr Incarnation doorIncarnation = {1000};
constexpr Incarnation entryIncarnation = {1};
/// One engine of the fleet restarts so often.
constexpr Duration restartPeriod = 30s;
/// When a data centre is lost and when an outage begins and ends, in parts of the length.
constexpr double lossAt = 0.6;
constexpr double outageFrom = 0.3;
constexpr double outageUntil = 0.8;
/// As in FleetPolicy: a target that is silent for so long gets no new work.
constexpr Duration silentAfter = 2s;

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

struct BenchEntry
{
    VmName vm_;
    std::uint32_t dataCentre_ = 0;
    Allowance allowance_;
    LoanBook book_;
    RequestQueues waiting_;
    std::vector<Heartbeat> reports_;
    /// Attempts sent to each target since its report.
    std::vector<std::uint32_t> sent_;
    RoutingTable routing_;
    /// When each target's report came.
    std::vector<Time> heardAt_;
    Time startedAt_ = benchStart;
    bool lost_ = false;
    std::size_t nextTarget_ = 0;
};

struct BenchTarget
{
    VmName vm_;
    std::uint32_t dataCentre_ = 0;
    TargetScheduler door_;
    BenchEngine engine_;
    bool lost_ = false;
};

struct Bench
{
    Workload workload_;
    BenchPolicy policy_ = BenchPolicy::Chosen;
    Time now_ = benchStart;
    std::uint64_t nextOrder_ = 0;
    std::priority_queue<Event, std::vector<Event>, LaterEvent> events_;
    std::vector<BenchEntry> entries_;
    std::vector<BenchTarget> targets_;
    WeightStore store_;
    /// The whole fleet's bucket, for comparison only.
    Allowance perfect_;
    std::vector<std::int64_t> rates_;
    /// Targets that each request has tried.
    std::vector<std::vector<VmName>> tried_;
    BenchRun run_;
};

void at(Bench &bench, Time time, std::function<void()> action)
{
    bench.events_.push({time, bench.nextOrder_++, std::move(action)});
}

AccountName accountName(std::uint32_t account)
{
    return {"account-" + std::to_string(account)};
}

AdapterKey adapterKey(std::uint32_t adapter)
{
    return {{"adapter-" + std::to_string(adapter)}, {"1"}};
}

RequestId requestId(std::size_t index)
{
    return {std::to_string(index)};
}

/// "request/try"; the try tells a second target from the first.
AttemptId attemptId(std::size_t index, std::size_t tries)
{
    return {std::to_string(index) + "/" + std::to_string(tries)};
}

std::size_t requestOf(const AttemptId &attempt)
{
    return std::stoul(attempt.text_);
}

AttemptId reservationOf(std::size_t index)
{
    return {std::to_string(index)};
}

std::int64_t worstCase(const BenchRequest &request)
{
    return request.promptTokens_ + request.maxTokens_;
}

std::int64_t actualTokens(const BenchRequest &request)
{
    return request.promptTokens_ + request.outputTokens_;
}

std::int64_t contractBurst(const Bench &bench, std::uint32_t account)
{
    const auto seconds =
        std::chrono::duration_cast<std::chrono::seconds>(bench.workload_.burstLength_).count();
    return bench.rates_[account] * seconds;
}

// Routing.

TargetView viewOf(const Bench &bench, const BenchEntry &entry, std::size_t index)
{
    const Heartbeat &report = entry.reports_[index];
    TargetView view;
    view.vm_ = bench.targets_[index].vm_;
    view.sameDataCentre_ = bench.targets_[index].dataCentre_ == entry.dataCentre_;
    view.queued_ = report.queued_;
    view.running_ = report.running_;
    view.batchSlots_ = bench.workload_.batchSlots_;
    view.adapterSlots_ = bench.workload_.adapterSlots_;
    view.residents_ = report.residents_;
    return view;
}

/// What the baselines know of a target.
struct TargetLoad
{
    VmName vm_;
    std::int64_t load_ = 0;
};

std::vector<TargetLoad> loadsFor(const Bench &bench, const BenchEntry &entry,
                                 const std::vector<VmName> &tried)
{
    std::vector<TargetLoad> loads;
    for (std::size_t target = 0; target < bench.targets_.size(); ++target) {
        const VmName &vm = bench.targets_[target].vm_;
        const bool silent = bench.now_ - entry.heardAt_[target] > silentAfter;
        if (silent || std::find(tried.begin(), tried.end(), vm) != tried.end())
            continue;
        const Heartbeat &report = entry.reports_[target];
        const std::int64_t load =
            std::int64_t{report.queued_} + report.running_ + entry.sent_[target];
        loads.push_back({vm, load});
    }
    return loads;
}

const TargetLoad *leastLoaded(const std::vector<TargetLoad> &loads)
{
    const auto found = std::min_element(
        loads.begin(), loads.end(),
        [](const TargetLoad &left, const TargetLoad &right) { return left.load_ < right.load_; });
    return &*found;
}

std::vector<const TargetLoad *> byHash(const std::vector<TargetLoad> &loads,
                                       const AdapterKey &adapter)
{
    const std::string subject = engineModelName(adapter);
    std::vector<const TargetLoad *> ranked;
    ranked.reserve(loads.size());
    for (const TargetLoad &load : loads)
        ranked.push_back(&load);
    std::sort(ranked.begin(), ranked.end(), [&](const TargetLoad *left, const TargetLoad *right) {
        return rendezvousWeight(subject, left->vm_) > rendezvousWeight(subject, right->vm_);
    });
    return ranked;
}

const TargetLoad *boundedHash(const std::vector<TargetLoad> &loads, const AdapterKey &adapter)
{
    std::int64_t total = 1;
    for (const TargetLoad &load : loads)
        total += load.load_;
    const double mean = static_cast<double>(total) / static_cast<double>(loads.size());
    for (const TargetLoad *load : byHash(loads, adapter)) {
        if (static_cast<double>(load->load_) + 1 <= std::max(1.0, mean * boundedLoadFactor))
            return load;
    }
    return leastLoaded(loads);
}

VmName baselineTarget(const Bench &bench, BenchEntry &entry, const std::vector<TargetLoad> &loads,
                      const AdapterKey &adapter)
{
    switch (bench.policy_) {
    case BenchPolicy::RoundRobin:
        return loads[entry.nextTarget_++ % loads.size()].vm_;
    case BenchPolicy::PlainHash:
        return byHash(loads, adapter).front()->vm_;
    case BenchPolicy::BoundedHash:
        return boundedHash(loads, adapter)->vm_;
    default:
        return leastLoaded(loads)->vm_;
    }
}

VmName ownTarget(Bench &bench, BenchEntry &entry, std::size_t index, const AdapterKey &adapter)
{
    for (std::size_t target = 0; target < bench.targets_.size(); ++target) {
        if (bench.now_ - entry.heardAt_[target] > silentAfter)
            removeTarget(entry.routing_, bench.targets_[target].vm_);
    }
    RouteRequirements needs;
    needs.adapter_ = adapter;
    needs.priority_ = bench.run_.requests_[index].priority_;
    needs.tried_ = bench.tried_[index];
    const auto decision = chooseTarget(entry.routing_, needs);
    if (!decision)
        return {};
    recordSentAttempt(entry.routing_, decision->vm_, adapter);
    return decision->vm_;
}

std::optional<std::size_t> route(Bench &bench, BenchEntry &entry, std::size_t index)
{
    const AdapterKey adapter = adapterKey(bench.run_.requests_[index].adapter_);
    const bool own =
        bench.policy_ == BenchPolicy::Chosen || bench.policy_ == BenchPolicy::StaticSplit;
    VmName chosen;
    if (own) {
        chosen = ownTarget(bench, entry, index, adapter);
    } else {
        const std::vector<TargetLoad> loads = loadsFor(bench, entry, bench.tried_[index]);
        if (!loads.empty())
            chosen = baselineTarget(bench, entry, loads, adapter);
    }
    for (std::size_t target = 0; target < bench.targets_.size(); ++target) {
        if (bench.targets_[target].vm_ == chosen)
            return target;
    }
    return std::nullopt;
}

// Targets.

void give(Bench &bench, std::size_t target, SchedulerInput input);

void performOrder(Bench &bench, std::size_t index, const AdapterOrder &order)
{
    const bool load = order.kind_ == OrderKind::Load;
    const Time end = load ? orderLoad(bench.store_, bench.now_) : bench.now_ + linkTime;
    bench.run_.loads_ += load ? 1 : 0;
    const std::uint32_t incarnation = bench.targets_[index].engine_.incarnation_;
    at(bench, end, [&bench, index, order, load, incarnation]() {
        BenchEngine &engine = bench.targets_[index].engine_;
        const bool broken = engine.incarnation_ != incarnation;
        bench.store_.inFlight_ -= load ? 1 : 0;
        if (!broken) {
            std::erase(engine.adapters_, order.adapter_);
            if (load)
                engine.adapters_.push_back(order.adapter_);
        }
        const OrderOutcome outcome = broken ? OrderOutcome::Unknown : OrderOutcome::Done;
        give(bench, index, OrderEnded{order.orderNumber_, order.kind_, order.adapter_, outcome});
    });
}

bool isRunning(const Bench &bench, std::size_t target, const AttemptId &attempt)
{
    const BenchTarget &runner = bench.targets_[target];
    return !runner.lost_ && runner.engine_.running_.contains(attempt);
}

/// Nothing more comes of a run that a restart has broken off.
void giveOfRun(Bench &bench, std::size_t target, const AttemptId &attempt, EngineEvent event)
{
    if (isRunning(bench, target, attempt))
        give(bench, target, std::move(event));
}

void performRun(Bench &bench, std::size_t target, const StartRun &start)
{
    startRun(bench.targets_[target].engine_, start, bench.now_);
    const std::size_t index = requestOf(start.attempt_);
    const BenchRequest &request = bench.run_.requests_[index];
    RequestOutcome &outcome = bench.run_.outcomes_[index];
    const Time first = bench.now_ + promptTime(request.promptTokens_) + benchStep;
    const Time end = first + benchStep * (request.outputTokens_ - 1);
    outcome.firstTokenAt_ = first;
    outcome.loadedAt_ = bench.now_;
    const AttemptId attempt = start.attempt_;
    at(bench, first, [&bench, target, attempt]() {
        giveOfRun(bench, target, attempt, RunResponseHead{attempt, 200, "text/event-stream"});
    });
    for (Time time = first; time < end; time += reportedRunPeriod) {
        const std::int64_t generated = 1 + (time - first) / benchStep;
        at(bench, time, [&bench, target, attempt, generated]() {
            giveOfRun(bench, target, attempt, RunResponseBytes{attempt, "x", generated});
        });
    }
    const std::int64_t tokens = request.outputTokens_;
    at(bench, end, [&bench, target, attempt, tokens]() {
        if (!isRunning(bench, target, attempt))
            return;
        endRun(bench.targets_[target].engine_, attempt, bench.now_);
        give(bench, target, EngineEvent(RunEnded{attempt, tokens}));
    });
}

void perform(Bench &bench, std::size_t target, const EngineCommand &command)
{
    if (const auto *read = std::get_if<ReadEngineState>(&command)) {
        const std::uint64_t number = read->readNumber_;
        at(bench, bench.now_ + linkTime, [&bench, target, number]() {
            const EngineState state = stateOf(bench.targets_[target].engine_);
            give(bench, target, EngineEvent(EngineStateReceived{number, state}));
        });
    }
    if (const auto *order = std::get_if<AdapterOrder>(&command))
        performOrder(bench, target, *order);
    if (const auto *start = std::get_if<StartRun>(&command))
        performRun(bench, target, *start);
}

void offer(Bench &bench, std::size_t index);

void finish(Bench &bench, BenchEntry &entry, std::size_t index, std::int64_t tokens)
{
    const BenchRequest &request = bench.run_.requests_[index];
    settleAttempt(entry.allowance_, entry.book_, accountName(request.account_),
                  reservationOf(index), tokens, bench.now_);
}

/// Whether the process that the request came to is still there.
bool callerIsServed(const Bench &bench, std::size_t index)
{
    const BenchRequest &request = bench.run_.requests_[index];
    const BenchEntry &entry = bench.entries_[request.entry_];
    return !entry.lost_ && request.at_ >= entry.startedAt_;
}

/// All requests here may run again, but not once a caller has part of an answer.
void tryAgain(Bench &bench, std::size_t index, Time brokeAt)
{
    const RequestOutcome &outcome = bench.run_.outcomes_[index];
    const bool passedOn = outcome.firstTokenAt_ != Time() && outcome.firstTokenAt_ <= brokeAt;
    if (!passedOn) {
        offer(bench, index);
        return;
    }
    const BenchRequest &request = bench.run_.requests_[index];
    finish(bench, bench.entries_[request.entry_], index, worstCase(request));
}

/// What a target says, at the entry that the request came through.
void hear(Bench &bench, std::size_t target, const Message &message)
{
    if (const auto *chunk = std::get_if<AnswerChunk>(&message)) {
        const std::size_t index = requestOf(chunk->attempt_);
        const BenchRequest &request = bench.run_.requests_[index];
        BenchEntry &entry = bench.entries_[request.entry_];
        recordAttemptRun(entry.allowance_, entry.book_, accountName(request.account_),
                         reservationOf(index), chunk->tokensRun_, bench.now_);
    }
    if (const auto *end = std::get_if<AnswerEnd>(&message)) {
        const std::size_t index = requestOf(end->attempt_);
        if (!callerIsServed(bench, index))
            return;
        BenchEntry &entry = bench.entries_[bench.run_.requests_[index].entry_];
        bench.run_.outcomes_[index].finished_ = true;
        finish(bench, entry, index, end->tokensRun_);
        give(bench, target, MessageReceived{entry.vm_.text_, AnswerReceived{end->attempt_}});
    }
    if (const auto *refused = std::get_if<OfferRefused>(&message)) {
        const std::size_t index = requestOf(refused->attempt_);
        if (callerIsServed(bench, index))
            offer(bench, index);
    }
    if (const auto *failed = std::get_if<AttemptFailed>(&message)) {
        const std::size_t index = requestOf(failed->attempt_);
        if (callerIsServed(bench, index))
            tryAgain(bench, index, bench.now_);
    }
}

void give(Bench &bench, std::size_t target, SchedulerInput input)
{
    if (bench.targets_[target].lost_)
        return;
    const SchedulerActions actions =
        step(bench.targets_[target].door_, std::move(input), bench.now_);
    for (const SchedulerAction &action : actions) {
        if (const auto *command = std::get_if<EngineCommand>(&action))
            perform(bench, target, *command);
        if (const auto *send = std::get_if<MessageToSend>(&action)) {
            const Message message = send->message_;
            at(bench, bench.now_ + linkTime,
               [&bench, target, message]() { hear(bench, target, message); });
        }
    }
}

bool holdsNow(const Bench &bench, std::size_t target, const AdapterKey &adapter)
{
    return canRunOn(bench.targets_[target].door_.residency_, adapter);
}

Offer offerFor(const Bench &bench, std::size_t index)
{
    const BenchRequest &request = bench.run_.requests_[index];
    Offer message;
    message.attempt_ = attemptId(index, bench.tried_[index].size());
    message.request_ = requestId(index);
    message.targetIncarnation_ = doorIncarnation;
    message.account_ = accountName(request.account_);
    message.adapter_ = adapterKey(request.adapter_);
    message.route_ = {message.adapter_.adapter_.text_};
    message.rulesRevision_ = {1};
    message.priority_ = request.priority_;
    message.reservedTokens_ = worstCase(request);
    message.promptTokens_ = request.promptTokens_;
    message.timeLeftMicros_ = Duration(120s).count();
    message.method_ = "POST";
    message.path_ = "/v1/completions";
    message.stream_ = true;
    message.fingerprint_ = {message.request_.text_};
    return message;
}

/// Sends an admitted request to a target, or gives it up where none is left.
void offer(Bench &bench, std::size_t index)
{
    BenchEntry &entry = bench.entries_[bench.run_.requests_[index].entry_];
    const std::optional<std::size_t> chosen = route(bench, entry, index);
    if (!chosen) {
        bench.run_.outcomes_[index].refusedByTarget_ = true;
        finish(bench, entry, index, 0);
        return;
    }
    const std::size_t target = *chosen;
    const Offer message = offerFor(bench, index);
    ++entry.sent_[target];
    bench.tried_[index].push_back(bench.targets_[target].vm_);
    const std::string address = entry.vm_.text_;
    at(bench, bench.now_ + linkTime, [&bench, target, index, address, message]() {
        RequestOutcome &outcome = bench.run_.outcomes_[index];
        outcome.stalled_ = !holdsNow(bench, target, message.adapter_);
        outcome.queuedAt_ = bench.now_;
        give(bench, target, MessageReceived{address, message});
    });
}

// Admission.

void sendLoanMessages(Bench &bench, const BenchEntry &from,
                      const std::vector<LoanMessage> &messages);

void hearLoanMessage(Bench &bench, BenchEntry &entry, const VmName &from, const Message &message)
{
    std::vector<LoanMessage> answers;
    if (const auto *request = std::get_if<LoanRequest>(&message)) {
        answers = handleLoanRequest(entry.allowance_, entry.book_, from, entryIncarnation, *request,
                                    bench.now_);
    }
    if (const auto *grant = std::get_if<LoanGrant>(&message))
        answers = handleLoanGrant(entry.book_, from, *grant, bench.now_);
    if (const auto *report = std::get_if<LoanReport>(&message)) {
        answers = handleLoanReport(entry.allowance_, entry.book_, from, entryIncarnation, *report,
                                   bench.now_);
    }
    if (const auto *closed = std::get_if<LoanClosed>(&message))
        handleLoanClosed(entry.book_, from, *closed);
    sendLoanMessages(bench, entry, answers);
}

void sendLoanMessages(Bench &bench, const BenchEntry &from,
                      const std::vector<LoanMessage> &messages)
{
    const VmName sender = from.vm_;
    for (const LoanMessage &message : messages) {
        at(bench, bench.now_ + linkTime, [&bench, sender, message]() {
            for (BenchEntry &entry : bench.entries_) {
                if (entry.vm_ == message.to_ && !entry.lost_)
                    hearLoanMessage(bench, entry, sender, message.message_);
            }
        });
    }
}

Admission tryAdmit(Bench &bench, BenchEntry &entry, std::size_t index)
{
    const BenchRequest &request = bench.run_.requests_[index];
    const AccountName account = accountName(request.account_);
    const std::int64_t tokens = worstCase(request);
    if (bench.policy_ == BenchPolicy::StaticSplit)
        return reserve(entry.allowance_, account, reservationOf(index), tokens, bench.now_);
    const Admission admission = admit(entry.allowance_, entry.book_, account, reservationOf(index),
                                      tokens, contractBurst(bench, request.account_), bench.now_);
    if (!std::holds_alternative<Admitted>(admission)) {
        sendLoanMessages(bench, entry,
                         requestLoans(entry.allowance_, entry.book_, account, tokens, bench.now_));
    }
    return admission;
}

void start(Bench &bench, std::size_t index)
{
    bench.run_.outcomes_[index].admitted_ = true;
    offer(bench, index);
}

/// The same request at the perfect bucket, whose runs take the time they would alone.
void comparePerfect(Bench &bench, std::size_t index)
{
    const BenchRequest &request = bench.run_.requests_[index];
    const AccountName account = accountName(request.account_);
    const AttemptId attempt = reservationOf(index);
    const Admission admission =
        reserve(bench.perfect_, account, attempt, worstCase(request), bench.now_);
    if (!std::holds_alternative<Admitted>(admission))
        return;
    bench.run_.outcomes_[index].entitled_ = true;
    const Time end =
        bench.now_ + promptTime(request.promptTokens_) + benchStep * request.outputTokens_;
    const std::int64_t tokens = actualTokens(request);
    at(bench, end, [&bench, account, attempt, tokens]() {
        settle(bench.perfect_, account, attempt, tokens, bench.now_);
    });
}

void arrive(Bench &bench, std::size_t index)
{
    BenchRequest &request = bench.run_.requests_[index];
    // The platform's balancer passes over an entry that is gone.
    if (bench.entries_[request.entry_].lost_)
        request.entry_ = (request.entry_ + 1) % bench.workload_.entries_;
    BenchEntry &entry = bench.entries_[request.entry_];
    const AccountName account = accountName(request.account_);
    comparePerfect(bench, index);
    Admission admission = MustWait{waitingRetry};
    const bool mustQueue = hasQueuedRequests(entry.waiting_, account);
    if (!mustQueue)
        admission = tryAdmit(bench, entry, index);
    if (std::holds_alternative<Admitted>(admission)) {
        start(bench, index);
        return;
    }
    if (bench.policy_ != BenchPolicy::StaticSplit) {
        enqueueRequest(entry.waiting_, account, requestId(index), worstCase(request), admission,
                       bench.now_);
    }
}

void serveWaiting(Bench &bench, BenchEntry &entry)
{
    removeExpiredRequests(entry.waiting_, bench.now_);
    for (std::uint32_t number = 0; number < benchAccounts; ++number) {
        const AccountName account = accountName(number);
        while (const QueuedRequest *next = nextQueuedRequest(entry.waiting_, account)) {
            const std::size_t index = std::stoul(next->request_.text_);
            const RequestId request = next->request_;
            if (!std::holds_alternative<Admitted>(tryAdmit(bench, entry, index)))
                break;
            removeQueuedRequest(entry.waiting_, account, request);
            start(bench, index);
        }
    }
}

// Set-up and the periodic duties.

void retryPeriodically(Bench &bench)
{
    for (BenchEntry &entry : bench.entries_) {
        if (entry.lost_)
            continue;
        serveWaiting(bench, entry);
        sendLoanMessages(bench, entry, advanceLoans(entry.allowance_, entry.book_, bench.now_));
    }
    at(bench, bench.now_ + waitingRetry, [&bench]() { retryPeriodically(bench); });
}

void tickDoors(Bench &bench)
{
    for (std::size_t target = 0; target < bench.targets_.size(); ++target)
        give(bench, target, TimePassed());
    at(bench, bench.now_ + tickPeriod, [&bench]() { tickDoors(bench); });
}

void spreadHints(Bench &bench)
{
    for (BenchEntry &from : bench.entries_) {
        const auto hints = freeTokenHints(from.allowance_, hintedAccounts, bench.now_);
        for (BenchEntry &to : bench.entries_) {
            if (to.vm_ == from.vm_ || from.lost_)
                continue;
            for (const AccountFreeTokens &hint : hints)
                updatePeerFreeTokens(to.book_, from.vm_, hint, bench.now_);
        }
    }
}

void heartbeat(Bench &bench)
{
    for (std::size_t target = 0; target < bench.targets_.size(); ++target) {
        if (bench.targets_[target].lost_)
            continue;
        const Heartbeat report = loadReport(bench.targets_[target].door_, bench.now_);
        at(bench, bench.now_ + linkTime, [&bench, target, report]() {
            for (BenchEntry &entry : bench.entries_) {
                entry.reports_[target] = report;
                entry.heardAt_[target] = bench.now_;
                entry.sent_[target] = 0;
                addOrUpdateTarget(entry.routing_, viewOf(bench, entry, target));
            }
        });
    }
    spreadHints(bench);
    at(bench, bench.now_ + heartbeatPeriod, [&bench]() { heartbeat(bench); });
}

// Faults.

void restartEngine(Bench &bench, std::size_t target)
{
    const std::vector<AttemptId> broken = restart(bench.targets_[target].engine_, bench.now_);
    for (const AttemptId &attempt : broken)
        give(bench, target, EngineEvent(RunFailed{attempt, true}));
    const std::size_t next = (target + 1) % bench.targets_.size();
    at(bench, bench.now_ + restartPeriod, [&bench, next]() { restartEngine(bench, next); });
}

/// The entries notice that the targets are silent, and offer their requests elsewhere.
void leaveLostTargets(Bench &bench, Time lostAt)
{
    for (std::size_t index = 0; index < bench.tried_.size(); ++index) {
        if (bench.tried_[index].empty() || bench.run_.outcomes_[index].finished_)
            continue;
        const VmName &last = bench.tried_[index].back();
        const auto lost = [&last](const BenchTarget &target) {
            return target.lost_ && target.vm_ == last;
        };
        const bool gone = std::any_of(bench.targets_.begin(), bench.targets_.end(), lost);
        if (gone && callerIsServed(bench, index))
            tryAgain(bench, index, lostAt);
    }
}

void endBorrower(Bench &bench, const VmName &borrower)
{
    for (BenchEntry &entry : bench.entries_)
        handleBorrowerEnd(entry.book_, borrower, entryIncarnation, bench.now_);
}

void loseDataCentre(Bench &bench)
{
    for (BenchTarget &target : bench.targets_)
        target.lost_ = target.dataCentre_ == 0;
    bench.entries_.front().lost_ = true;
    endBorrower(bench, bench.entries_.front().vm_);
    const Time lostAt = bench.now_;
    at(bench, lostAt + silentAfter + heartbeatPeriod,
       [&bench, lostAt]() { leaveLostTargets(bench, lostAt); });
}

/// Another VM takes the entry's place; its shares are lost while the ledger can't be written.
void replaceEntry(Bench &bench)
{
    BenchEntry &entry = bench.entries_.front();
    endBorrower(bench, entry.vm_);
    entry.vm_ = {entry.vm_.text_ + "-replaced"};
    entry.allowance_ = {};
    entry.book_ = {};
    entry.book_.self_ = entry.vm_;
    entry.waiting_ = {};
    entry.startedAt_ = bench.now_;
    for (std::uint32_t account = 0; account < benchAccounts; ++account)
        setShare(entry.allowance_, accountName(account), AllowanceShare(), bench.now_);
}

AllowanceShare equalShare(const Bench &bench, std::uint32_t account)
{
    const auto parts = static_cast<std::int64_t>(bench.workload_.entries_);
    return {bench.rates_[account] / parts, contractBurst(bench, account) / parts};
}

void giveShares(Bench &bench, BenchEntry &entry, bool full)
{
    for (std::uint32_t account = 0; account < benchAccounts; ++account) {
        const AllowanceShare share = equalShare(bench, account);
        setShare(entry.allowance_, accountName(account), share, bench.now_, full);
    }
}

void planFault(Bench &bench)
{
    const auto partOfLength = [&bench](double part) {
        const double micros = static_cast<double>(bench.workload_.length_.count()) * part;
        return benchStart + Duration(static_cast<std::int64_t>(micros));
    };
    switch (bench.workload_.fault_) {
    case BenchFault::None:
        return;
    case BenchFault::EngineRestarts:
        at(bench, benchStart + restartPeriod, [&bench]() { restartEngine(bench, 0); });
        return;
    case BenchFault::DataCentreLost:
        at(bench, partOfLength(lossAt), [&bench]() { loseDataCentre(bench); });
        return;
    case BenchFault::PlatformOutage:
        at(bench, partOfLength(outageFrom), [&bench]() { replaceEntry(bench); });
        at(bench, partOfLength(outageUntil),
           [&bench]() { giveShares(bench, bench.entries_.front(), false); });
        return;
    }
}

/// Open routes, one for each adapter: keys are not what is measured.
Rules makeRules(const Workload &workload)
{
    Rules rules;
    rules.revision_ = {1};
    for (std::uint32_t adapter = 0; adapter < workload.adapters_; ++adapter) {
        RouteRule rule;
        rule.adapter_ = adapterKey(adapter);
        rule.route_ = {rule.adapter_.adapter_.text_};
        rule.openToAll_ = true;
        rule.targets_ = {"runners"};
        rules.routes_.emplace(rule.route_, rule);
    }
    return rules;
}

void makeTargets(Bench &bench)
{
    const Workload &workload = bench.workload_;
    TargetSettings settings;
    settings.group_ = {"runners"};
    settings.adapterSlots_ = workload.adapterSlots_;
    settings.batchSlots_ = workload.batchSlots_;
    const Rules rules = makeRules(workload);
    for (std::uint32_t number = 0; number < workload.runners_; ++number) {
        BenchTarget target;
        target.vm_ = {"runner-" + std::to_string(number)};
        target.dataCentre_ = number % workload.dataCentres_;
        target.door_ =
            makeScheduler(schedulerPolicy(settings, {}), doorIncarnation, {1000}, bench.now_);
        bench.targets_.push_back(std::move(target));
    }
    for (std::size_t target = 0; target < bench.targets_.size(); ++target) {
        give(bench, target, RulesReceived{rules});
        give(bench, target, TimePassed());
    }
}

void makeEntries(Bench &bench)
{
    const Workload &workload = bench.workload_;
    for (std::uint32_t number = 0; number < workload.entries_; ++number) {
        BenchEntry entry;
        entry.vm_ = {"entry-" + std::to_string(number)};
        entry.book_.self_ = entry.vm_;
        entry.dataCentre_ = number % workload.dataCentres_;
        entry.reports_.resize(workload.runners_);
        entry.sent_.resize(workload.runners_);
        entry.heardAt_.resize(workload.runners_, bench.now_);
        for (std::size_t target = 0; target < workload.runners_; ++target)
            addOrUpdateTarget(entry.routing_, viewOf(bench, entry, target));
        giveShares(bench, entry, true);
        bench.entries_.push_back(std::move(entry));
    }
    for (std::uint32_t account = 0; account < benchAccounts; ++account) {
        const AllowanceShare contract = {bench.rates_[account], contractBurst(bench, account)};
        setShare(bench.perfect_, accountName(account), contract, bench.now_, true);
    }
}

std::vector<BenchRequest> entitledRequests(const BenchRun &run)
{
    std::vector<BenchRequest> requests;
    for (std::size_t index = 0; index < run.requests_.size(); ++index) {
        if (run.outcomes_[index].entitled_)
            requests.push_back(run.requests_[index]);
    }
    return requests;
}

} // namespace

BenchRun runBench(const Workload &workload, BenchPolicy policy, std::uint64_t seed)
{
    Bench bench;
    bench.workload_ = workload;
    bench.policy_ = policy;
    bench.store_.loadsPerSecond_ = workload.loadsPerSecond_;
    bench.run_.requests_ = makeRequests(workload, seed);
    bench.run_.outcomes_.resize(bench.run_.requests_.size());
    bench.tried_.resize(bench.run_.requests_.size());
    bench.rates_ = contractRates(workload, bench.run_.requests_);
    makeTargets(bench);
    makeEntries(bench);
    heartbeat(bench);
    tickDoors(bench);
    retryPeriodically(bench);
    planFault(bench);
    for (std::size_t index = 0; index < bench.run_.requests_.size(); ++index)
        at(bench, bench.run_.requests_[index].at_, [&bench, index]() { arrive(bench, index); });
    const Time end = benchStart + workload.length_ + drainTime;
    while (bench.events_.top().at_ < end) {
        const Event event = bench.events_.top();
        bench.events_.pop();
        bench.now_ = event.at_;
        event.action_();
    }
    for (const BenchTarget &target : bench.targets_) {
        bench.run_.runningTime_ += target.engine_.runningTime_;
        bench.run_.busyTime_ += target.engine_.busyTime_;
    }
    bench.run_.batchSlots_ = workload.batchSlots_;
    bench.run_.bounds_ = fleetBounds(workload, seed, bench.run_.requests_);
    bench.run_.entitledBounds_ = fleetBounds(workload, seed, entitledRequests(bench.run_));
    return bench.run_;
}

} // namespace eelgrasscove
