#include "benchsimulation.h"

#include "ClientAccount/loan.h"
#include "ClientAccount/waiting.h"
#include "DataCentre/rendezvous.h"
#include "DataCentre/routing.h"
#include "Target/door.h"
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

/// What an entry has sent to one target since its last report.
struct SentSinceReport
{
    std::vector<AdapterKey> adapters_;
};

struct BenchEntry
{
    VmName vm_;
    std::uint32_t dataCentre_ = 0;
    Allowance allowance_;
    LoanBook book_;
    WaitingRoom waiting_;
    std::vector<Heartbeat> reports_;
    std::vector<SentSinceReport> sent_;
    std::size_t nextTarget_ = 0;
};

struct BenchTarget
{
    VmName vm_;
    std::uint32_t dataCentre_ = 0;
    Door door_;
    BenchEngine engine_;
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

TargetView viewOf(const Bench &bench, const BenchEntry &entry, std::size_t index,
                  const AdapterKey &adapter)
{
    const Heartbeat &report = entry.reports_[index];
    const std::vector<AdapterKey> &sent = entry.sent_[index].adapters_;
    TargetView view;
    view.vm_ = bench.targets_[index].vm_;
    view.sameDataCentre_ = bench.targets_[index].dataCentre_ == entry.dataCentre_;
    view.queued_ = report.queued_;
    view.running_ = report.running_;
    view.batchSlots_ = bench.workload_.batchSlots_;
    view.adapterSlots_ = bench.workload_.adapterSlots_;
    view.residents_ = report.residents_;
    view.sentSinceReport_ = static_cast<std::uint32_t>(sent.size());
    view.sentSameAdapter_ =
        static_cast<std::uint32_t>(std::count(sent.begin(), sent.end(), adapter));
    return view;
}

std::int64_t loadOf(const TargetView &view)
{
    return std::int64_t{view.queued_} + view.running_ + view.sentSinceReport_;
}

const TargetView *leastLoaded(const std::vector<TargetView> &views)
{
    const auto found = std::min_element(views.begin(), views.end(),
                                        [](const TargetView &left, const TargetView &right) {
                                            return loadOf(left) < loadOf(right);
                                        });
    return &*found;
}

std::vector<const TargetView *> byHash(const std::vector<TargetView> &views,
                                       const AdapterKey &adapter)
{
    const std::string subject = engineModelName(adapter);
    std::vector<const TargetView *> ranked;
    ranked.reserve(views.size());
    for (const TargetView &view : views)
        ranked.push_back(&view);
    std::sort(ranked.begin(), ranked.end(), [&](const TargetView *left, const TargetView *right) {
        return rendezvousWeight(subject, left->vm_) > rendezvousWeight(subject, right->vm_);
    });
    return ranked;
}

const TargetView *boundedHash(const std::vector<TargetView> &views, const AdapterKey &adapter)
{
    std::int64_t total = 1;
    for (const TargetView &view : views)
        total += loadOf(view);
    const double mean = static_cast<double>(total) / static_cast<double>(views.size());
    for (const TargetView *view : byHash(views, adapter)) {
        if (static_cast<double>(loadOf(*view)) + 1 <= std::max(1.0, mean * boundedLoadFactor))
            return view;
    }
    return leastLoaded(views);
}

VmName baselineTarget(const Bench &bench, BenchEntry &entry, const std::vector<TargetView> &views,
                      const AdapterKey &adapter)
{
    switch (bench.policy_) {
    case BenchPolicy::RoundRobin:
        return views[entry.nextTarget_++ % views.size()].vm_;
    case BenchPolicy::PlainHash:
        return byHash(views, adapter).front()->vm_;
    case BenchPolicy::BoundedHash:
        return boundedHash(views, adapter)->vm_;
    default:
        return leastLoaded(views)->vm_;
    }
}

std::optional<std::size_t> route(Bench &bench, BenchEntry &entry, std::size_t index)
{
    const AdapterKey adapter = adapterKey(bench.run_.requests_[index].adapter_);
    std::vector<TargetView> views;
    views.reserve(bench.targets_.size());
    const std::vector<VmName> &tried = bench.tried_[index];
    for (std::size_t target = 0; target < bench.targets_.size(); ++target)
        views.push_back(viewOf(bench, entry, target, adapter));
    std::erase_if(views, [&tried](const TargetView &view) {
        return std::find(tried.begin(), tried.end(), view.vm_) != tried.end();
    });
    if (views.empty())
        return std::nullopt;
    VmName chosen;
    const bool own =
        bench.policy_ == BenchPolicy::Chosen || bench.policy_ == BenchPolicy::StaticSplit;
    if (own) {
        RouteNeeds needs;
        needs.adapter_ = adapter;
        needs.priority_ = bench.run_.requests_[index].priority_;
        chosen = chooseTarget(views, needs, RoutingPolicy())->vm_;
    } else {
        chosen = baselineTarget(bench, entry, views, adapter);
    }
    for (std::size_t target = 0; target < bench.targets_.size(); ++target) {
        if (bench.targets_[target].vm_ == chosen)
            return target;
    }
    return std::nullopt;
}

// Targets.

void give(Bench &bench, std::size_t target, DoorInput input);

void performOrder(Bench &bench, std::size_t index, const AdapterOrder &order)
{
    const bool load = order.kind_ == OrderKind::Load;
    const Time end = load ? orderLoad(bench.store_, bench.now_) : bench.now_ + linkTime;
    bench.run_.loads_ += load ? 1 : 0;
    at(bench, end, [&bench, index, order, load]() {
        BenchEngine &engine = bench.targets_[index].engine_;
        std::erase(engine.adapters_, order.adapter_);
        if (load) {
            engine.adapters_.push_back(order.adapter_);
            --bench.store_.inFlight_;
        }
        give(bench, index,
             OrderEnded{order.order_, order.kind_, order.adapter_, OrderOutcome::Done});
    });
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
        give(bench, target, EngineEvent(RunHead{attempt, 200, "text/event-stream"}));
    });
    for (Time time = first; time < end; time += reportedRunPeriod) {
        const std::int64_t generated = 1 + (time - first) / benchStep;
        at(bench, time, [&bench, target, attempt, generated]() {
            give(bench, target, EngineEvent(RunBytes{attempt, "x", generated}));
        });
    }
    const std::int64_t tokens = request.outputTokens_;
    at(bench, end, [&bench, target, attempt, tokens]() {
        endRun(bench.targets_[target].engine_, attempt, bench.now_);
        give(bench, target, EngineEvent(RunEnded{attempt, tokens}));
    });
}

void perform(Bench &bench, std::size_t target, const EngineCommand &command)
{
    if (const auto *read = std::get_if<ReadEngineState>(&command)) {
        const std::uint64_t number = read->read_;
        at(bench, bench.now_ + linkTime, [&bench, target, number]() {
            const EngineState state = stateOf(bench.targets_[target].engine_);
            give(bench, target, EngineEvent(EngineStateRead{number, state}));
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

/// What a target says, at the entry that the request came through.
void hear(Bench &bench, std::size_t target, const Message &message)
{
    if (const auto *chunk = std::get_if<AnswerChunk>(&message)) {
        const std::size_t index = requestOf(chunk->attempt_);
        const BenchRequest &request = bench.run_.requests_[index];
        BenchEntry &entry = bench.entries_[request.entry_];
        noteAttemptRun(entry.allowance_, entry.book_, accountName(request.account_),
                       reservationOf(index), chunk->tokensRun_, bench.now_);
    }
    if (const auto *end = std::get_if<AnswerEnd>(&message)) {
        const std::size_t index = requestOf(end->attempt_);
        BenchEntry &entry = bench.entries_[bench.run_.requests_[index].entry_];
        bench.run_.outcomes_[index].finished_ = true;
        finish(bench, entry, index, end->tokensRun_);
        give(bench, target, MessageReceived{entry.vm_.text_, AnswerReceived{end->attempt_}});
    }
    if (const auto *refused = std::get_if<OfferRefused>(&message))
        offer(bench, requestOf(refused->attempt_));
    if (const auto *failed = std::get_if<AttemptFailed>(&message)) {
        const std::size_t index = requestOf(failed->attempt_);
        BenchEntry &entry = bench.entries_[bench.run_.requests_[index].entry_];
        finish(bench, entry, index, failed->tokensRun_);
    }
}

void give(Bench &bench, std::size_t target, DoorInput input)
{
    const DoorActions actions = step(bench.targets_[target].door_, std::move(input), bench.now_);
    for (const DoorAction &action : actions) {
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
    entry.sent_[target].adapters_.push_back(message.adapter_);
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
        answers = takeLoanRequest(entry.allowance_, entry.book_, from, entryIncarnation, *request,
                                  bench.now_);
    }
    if (const auto *grant = std::get_if<LoanGrant>(&message))
        answers = takeLoanGrant(entry.book_, from, *grant, bench.now_);
    if (const auto *report = std::get_if<LoanReport>(&message)) {
        answers = takeLoanReport(entry.allowance_, entry.book_, from, entryIncarnation, *report,
                                 bench.now_);
    }
    if (const auto *closed = std::get_if<LoanClosed>(&message))
        takeLoanClosed(entry.book_, from, *closed);
    sendLoanMessages(bench, entry, answers);
}

void sendLoanMessages(Bench &bench, const BenchEntry &from,
                      const std::vector<LoanMessage> &messages)
{
    const VmName sender = from.vm_;
    for (const LoanMessage &message : messages) {
        at(bench, bench.now_ + linkTime, [&bench, sender, message]() {
            for (BenchEntry &entry : bench.entries_) {
                if (entry.vm_ == message.to_)
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
                         askForTokens(entry.allowance_, entry.book_, account, tokens, bench.now_));
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
    const BenchRequest &request = bench.run_.requests_[index];
    BenchEntry &entry = bench.entries_[request.entry_];
    const AccountName account = accountName(request.account_);
    comparePerfect(bench, index);
    Admission admission = NotYet{waitingRetry};
    const bool mustQueue = hasWaiting(entry.waiting_, account);
    if (!mustQueue)
        admission = tryAdmit(bench, entry, index);
    if (std::holds_alternative<Admitted>(admission)) {
        start(bench, index);
        return;
    }
    if (bench.policy_ != BenchPolicy::StaticSplit) {
        holdRequest(entry.waiting_, account, requestId(index), worstCase(request), admission,
                    bench.now_);
    }
}

void serveWaiting(Bench &bench, BenchEntry &entry)
{
    takeExpired(entry.waiting_, bench.now_);
    for (std::uint32_t number = 0; number < benchAccounts; ++number) {
        const AccountName account = accountName(number);
        while (const WaitingRequest *next = nextWaiting(entry.waiting_, account)) {
            const std::size_t index = std::stoul(next->request_.text_);
            const RequestId request = next->request_;
            if (!std::holds_alternative<Admitted>(tryAdmit(bench, entry, index)))
                break;
            dropWaiting(entry.waiting_, account, request);
            start(bench, index);
        }
    }
}

// Set-up and the periodic duties.

void retryPeriodically(Bench &bench)
{
    for (BenchEntry &entry : bench.entries_) {
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
            if (to.vm_ == from.vm_)
                continue;
            for (const AccountFreeTokens &hint : hints)
                takePeerFree(to.book_, from.vm_, hint, bench.now_);
        }
    }
}

void heartbeat(Bench &bench)
{
    for (std::size_t target = 0; target < bench.targets_.size(); ++target) {
        const Heartbeat report = loadReport(bench.targets_[target].door_, bench.now_);
        at(bench, bench.now_ + linkTime, [&bench, target, report]() {
            for (BenchEntry &entry : bench.entries_) {
                entry.reports_[target] = report;
                entry.sent_[target].adapters_.clear();
            }
        });
    }
    spreadHints(bench);
    at(bench, bench.now_ + heartbeatPeriod, [&bench]() { heartbeat(bench); });
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
        target.door_ = makeDoor(doorPolicy(settings, {}), doorIncarnation, {1000}, bench.now_);
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
    const auto parts = static_cast<std::int64_t>(workload.entries_);
    for (std::uint32_t number = 0; number < workload.entries_; ++number) {
        BenchEntry entry;
        entry.vm_ = {"entry-" + std::to_string(number)};
        entry.book_.self_ = entry.vm_;
        entry.dataCentre_ = number % workload.dataCentres_;
        entry.reports_.resize(workload.runners_);
        entry.sent_.resize(workload.runners_);
        for (std::uint32_t account = 0; account < benchAccounts; ++account) {
            const AllowanceShare share = {bench.rates_[account] / parts,
                                          contractBurst(bench, account) / parts};
            setShare(entry.allowance_, accountName(account), share, bench.now_, true);
        }
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
    makeEntries(bench);
    makeTargets(bench);
    heartbeat(bench);
    tickDoors(bench);
    retryPeriodically(bench);
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
