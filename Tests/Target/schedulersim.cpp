#include "schedulersim.h"

#include <algorithm>

namespace eelgrasscove {

namespace {

constexpr std::uint32_t adapterCount = 6;
constexpr std::uint32_t accountCount = 3;
constexpr std::uint64_t scenarioOffers = 40;
constexpr Duration scenarioDuration = std::chrono::seconds(4);
constexpr Duration settleDuration = std::chrono::seconds(12);
constexpr Duration drainDuration = std::chrono::seconds(40);
constexpr Duration defaultTickPeriod = std::chrono::milliseconds(50);
constexpr Duration slowTickPeriod = std::chrono::milliseconds(250);
constexpr Duration maxHopDelay = std::chrono::milliseconds(3);

std::string letter(std::uint64_t index)
{
    return {static_cast<char>('a' + index)};
}

/// Returns the byte at the given offset of an attempt's response.
char responseByte(const AttemptId &attempt, std::uint64_t offset)
{
    return static_cast<char>('a' + (offset * 7 + attempt.text_.size() + attempt.text_.back()) % 26);
}

std::string responseBytes(const AttemptId &attempt, std::uint64_t from, std::uint64_t count)
{
    std::string bytes;
    for (std::uint64_t offset = from; offset < from + count; ++offset)
        bytes += responseByte(attempt, offset);
    return bytes;
}

bool crashesEngine(const Offer &offer)
{
    return offer.fingerprint_.text_ == "killer";
}

} // namespace

SchedulerSim::SchedulerSim(std::uint64_t seed, InjectedFault fault) : random_(seed), fault_(fault)
{
    TargetSettings target;
    target.group_ = {"runners"};
    target.adapterSlots_ = 1 + static_cast<std::uint32_t>(below(3));
    target.batchSlots_ = 1 + static_cast<std::uint32_t>(below(4));
    target.queue_ = 4 + static_cast<std::uint32_t>(below(20));
    target.loadsAtOnce_ = 1 + static_cast<std::uint32_t>(below(2));
    target.loadsPerSecond_ = 20;
    target.answerBytes_ = chance(0.2) ? 64 : 65536;
    target.strikes_ = 2;
    policy_ = schedulerPolicy(target, {});
    policy_.attempts_.maxTombstones_ = chance(0.1) ? 2 : 1000;
}

bool SchedulerSim::chance(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

std::uint64_t SchedulerSim::below(std::uint64_t bound)
{
    return random_() % bound;
}

Duration SchedulerSim::upTo(Duration longest)
{
    return Duration(1 + static_cast<std::int64_t>(below(longest.count())));
}

void SchedulerSim::after(Duration delay, std::function<void()> callback)
{
    events_.push({now_ + delay, eventNumber_++, std::move(callback)});
}

void SchedulerSim::recordViolation(Property property, const std::string &details)
{
    violations_.push_back({property, details});
}

void SchedulerSim::runUntil(Time end, Duration tickPeriod)
{
    Time nextTick = now_ + tickPeriod;
    while (true) {
        const bool due = !events_.empty() && events_.top().at_ <= std::min(nextTick, end);
        if (due) {
            const SimEvent event = events_.top();
            events_.pop();
            now_ = std::max(now_, event.at_);
            event.callback_();
            continue;
        }
        if (nextTick > end)
            break;
        now_ = nextTick;
        nextTick += tickPeriod;
        apply(TimePassed{});
        if (leaving_ && isDrained(scheduler_))
            return;
    }
    now_ = end;
}

// ---- The scheduler

void SchedulerSim::startScheduler()
{
    ++schedulerNumber_;
    const std::uint64_t number = 1000 + schedulerNumber_;
    scheduler_ = makeScheduler(policy_, Incarnation{number}, FencingNumber{number}, now_);
    apply(RulesReceived{currentRules()});
    apply(TimePassed{});
}

void SchedulerSim::apply(SchedulerInput input)
{
    const Rules before = fault_ == InjectedFault::KeepOldRules ? scheduler_.rules_ : Rules{};
    SchedulerActions actions = step(scheduler_, std::move(input), now_);
    if (fault_ == InjectedFault::KeepOldRules && before.revision_.value_ > 0)
        scheduler_.rules_ = before;
    injectStateFault();
    for (SchedulerAction &action : actions)
        perform(std::move(action));
}

void SchedulerSim::injectStateFault()
{
    if (fault_ == InjectedFault::ClearPins) {
        for (auto &[adapter, slot] : scheduler_.residency_.slots_)
            slot.running_ = 0;
    } else if (fault_ == InjectedFault::RaiseBatchSlots) {
        // Raises the limit instead of lowering the count of runs, which would underflow.
        scheduler_.engine_.batchSlots_ = policy_.target_.batchSlots_ + 1;
    } else if (fault_ == InjectedFault::ClearClosedAttempts) {
        scheduler_.attempts_.closed_.clear();
    } else if (fault_ == InjectedFault::SwapAdapters) {
        for (auto &[id, attempt] : scheduler_.attempts_.open_) {
            if (!scheduler_.residency_.slots_.empty())
                attempt.offer_.adapter_ = scheduler_.residency_.slots_.begin()->first;
        }
    }
}

void SchedulerSim::perform(SchedulerAction &&action)
{
    if (auto *message = std::get_if<MessageToSend>(&action)) {
        // A refusal counts from when it is sent, whether or not the entry receives it.
        if (const auto *refused = std::get_if<OfferRefused>(&message->message_))
            recordNotRun(attempts_.at(refused->attempt_));
        if (chance(hasFaults_ ? 0.03 : 0))
            return;
        after(upTo(maxHopDelay), [this, sent = message->message_] { handleAtEntry(sent); });
        return;
    }
    auto *command = std::get_if<EngineCommand>(&action);
    if (!command)
        return;
    if (const auto *start = std::get_if<StartRun>(command)) {
        const Offer &offer = attempts_.at(start->attempt_).offer_;
        const Rules rules = currentRules();
        if (!rules.keys_.contains(offer.keyId_))
            recordViolation(Property::WithdrawnKey, start->attempt_.text_);
        const AdapterKey &routed = rules.routes_.at(offer.route_).adapter_;
        if (start->adapter_ != routed)
            recordViolation(Property::RightAdapter, start->attempt_.text_);
    }
    after(upTo(maxHopDelay),
          [this, sent = *command, number = schedulerNumber_] { handleAtEngine(number, sent); });
}

void SchedulerSim::sendToScheduler(const Message &message)
{
    const int count = hasFaults_ && chance(0.04) ? 2 : 1;
    if (hasFaults_ && chance(0.03))
        return;
    for (int copy = 0; copy < count; ++copy) {
        after(upTo(maxHopDelay * 10), [this, message] {
            if (canDeliver(message))
                apply(MessageReceived{"entry", message});
        });
    }
}

bool SchedulerSim::canDeliver(const Message &message)
{
    const auto *offer = std::get_if<Offer>(&message);
    if (!offer)
        return true;
    SimAttempt &attempt = attempts_.at(offer->attempt_);
    if (attempt.firstReceiver_ == 0)
        attempt.firstReceiver_ = schedulerNumber_;
    return attempt.firstReceiver_ == schedulerNumber_;
}

void SchedulerSim::sendEventToScheduler(std::uint64_t schedulerNumber, EngineEvent event)
{
    const bool ends =
        std::holds_alternative<RunEnded>(event) || std::holds_alternative<RunFailed>(event);
    const bool dropsEvent = fault_ == InjectedFault::DropRunEnds
        || (fault_ == InjectedFault::DropRunEndsWhileDraining && leaving_);
    if (ends && dropsEvent)
        return;
    // The constant delay keeps the events of one connection in order.
    after(maxHopDelay, [this, schedulerNumber, event = std::move(event)] {
        if (schedulerNumber == schedulerNumber_)
            apply(event);
    });
}

// ---- The entry

Rules SchedulerSim::currentRules() const
{
    Rules rules;
    rules.revision_ = {revision_};
    for (std::uint64_t account = 0; account < accountCount; ++account) {
        const KeyId key{"k" + std::to_string(account)};
        // From the second revision on, each revision withdraws one key in rotation.
        if (revision_ > 1 && account == revision_ % accountCount)
            continue;
        rules.keys_[key] = {.id_ = key, .account_ = {std::to_string(account)}};
    }
    for (std::uint64_t adapter = 0; adapter < adapterCount; ++adapter) {
        const RouteName route{letter(adapter)};
        const std::uint64_t version = adapter == revision_ % adapterCount ? revision_ : 1;
        rules.routes_[route] = {.route_ = route,
                                .accounts_ = {{"0"}, {"1"}, {"2"}},
                                .targets_ = {"runners"},
                                .adapter_ = {{letter(adapter)}, {std::to_string(version)}}};
    }
    return rules;
}

void SchedulerSim::changeRules()
{
    ++revision_;
    apply(RulesReceived{currentRules()});
}

void SchedulerSim::makeOffer()
{
    const std::uint64_t account = below(accountCount);
    const std::string route = letter(std::min(below(adapterCount), below(adapterCount)));
    Offer offer;
    offer.attempt_ = {"x" + std::to_string(attempts_.size())};
    offer.targetIncarnation_ = scheduler_.incarnation_;
    offer.account_ = {std::to_string(account)};
    offer.keyId_ = {"k" + std::to_string(account)};
    offer.route_ = {route};
    offer.rulesRevision_ = {revision_};
    offer.adapter_ = currentRules().routes_.at(offer.route_).adapter_;
    offer.priority_ = chance(0.3) ? Priority::Batch : Priority::Interactive;
    offer.reservedTokens_ = 10 + static_cast<std::int64_t>(below(500));
    offer.timeLeftMicros_ = 100'000 + static_cast<std::int64_t>(below(6'000'000));
    offer.fingerprint_ = {chance(0.04) ? "killer" : "print" + std::to_string(below(1000))};
    SimAttempt attempt;
    attempt.offer_ = offer;
    attempt.schedulerNumber_ = schedulerNumber_;
    attemptOrder_.push_back(offer.attempt_);
    attempts_.emplace(offer.attempt_, attempt);
    ++counts_.offers_;
    sendToScheduler(offer);
}

SimAttempt *SchedulerSim::pickRecentAttempt()
{
    if (attemptOrder_.empty())
        return nullptr;
    const std::uint64_t recent = std::min<std::uint64_t>(attemptOrder_.size(), 12);
    return &attempts_.at(attemptOrder_[attemptOrder_.size() - 1 - below(recent)]);
}

void SchedulerSim::sendQuery(SimAttempt &attempt, bool giveUp)
{
    AttemptQuery query;
    query.attempt_ = attempt.offer_.attempt_;
    query.targetIncarnation_ = attempt.offer_.targetIncarnation_;
    query.haveOffset_ = attempt.receivedBytes_;
    query.giveUp_ = giveUp;
    sendToScheduler(query);
}

void SchedulerSim::performEntryAction()
{
    SimAttempt *attempt = pickRecentAttempt();
    const std::uint64_t kind = below(10);
    if (kind < 6 || !attempt)
        makeOffer();
    else if (kind < 7)
        sendToScheduler(attempt->offer_);
    else if (kind < 9)
        sendQuery(*attempt, chance(0.5));
    else
        sendToScheduler(AttemptCancel{attempt->offer_.attempt_});
}

void SchedulerSim::recordNotRun(SimAttempt &attempt)
{
    ++counts_.refusals_;
    attempt.isReportedNotRun_ = true;
    attempt.hasEnded_ = true;
    if (attempt.engineStarts_ > 0)
        recordViolation(Property::RefusedNeverRuns,
                        attempt.offer_.attempt_.text_ + " was refused after it had started");
    if (attempt.isComplete_)
        recordViolation(Property::AcceptedEnds,
                        attempt.offer_.attempt_.text_ + " was refused after a complete answer");
}

void SchedulerSim::handleChunkAtEntry(SimAttempt &attempt, const AnswerChunk &chunk)
{
    const std::string expected = responseBytes(chunk.attempt_, chunk.offset_, chunk.bytes_.size());
    if (chunk.bytes_ != expected)
        recordViolation(Property::CompleteResponse,
                        chunk.attempt_.text_ + " has an answer with wrong bytes");
    const std::uint64_t end = chunk.offset_ + chunk.bytes_.size();
    if (chunk.offset_ <= attempt.receivedBytes_)
        attempt.receivedBytes_ = std::max(attempt.receivedBytes_, end);
    else
        sendQuery(attempt, false);
}

void SchedulerSim::handleEndAtEntry(SimAttempt &attempt, const AnswerEnd &end)
{
    if (attempt.receivedBytes_ < end.length_) {
        sendQuery(attempt, false);
        return;
    }
    if (attempt.receivedBytes_ > end.length_)
        recordViolation(Property::CompleteResponse,
                        end.attempt_.text_ + " received more bytes than the answer has");
    if (!attempt.isComplete_)
        ++counts_.completeResponses_;
    attempt.isComplete_ = true;
    attempt.hasEnded_ = true;
    if (attempt.isReportedNotRun_)
        recordViolation(Property::RefusedNeverRuns,
                        end.attempt_.text_ + " was answered after it was refused");
    sendToScheduler(AnswerReceived{end.attempt_});
}

void SchedulerSim::handleAtEntry(const Message &message)
{
    if (const auto *accepted = std::get_if<OfferAccepted>(&message)) {
        attempts_.at(accepted->attempt_).isAccepted_ = true;
    } else if (const auto *chunk = std::get_if<AnswerChunk>(&message)) {
        handleChunkAtEntry(attempts_.at(chunk->attempt_), *chunk);
    } else if (const auto *end = std::get_if<AnswerEnd>(&message)) {
        handleEndAtEntry(attempts_.at(end->attempt_), *end);
    } else if (const auto *failed = std::get_if<AttemptFailed>(&message)) {
        SimAttempt &attempt = attempts_.at(failed->attempt_);
        attempt.hasEnded_ = true;
        ++counts_.failures_;
        if (failed->runState_ == RunState::NotRun)
            recordNotRun(attempt);
        sendToScheduler(AnswerReceived{failed->attempt_});
    }
}

// ---- The engine

bool SchedulerSim::isInUse(const AdapterKey &adapter) const
{
    return std::any_of(engine_.running_.begin(), engine_.running_.end(),
                       [&](const auto &entry) { return entry.second.adapter_ == adapter; });
}

EngineState SchedulerSim::engineState() const
{
    EngineState state;
    state.incarnation_ = {engine_.incarnation_};
    state.fencingNumber_ = {engine_.fencing_};
    state.adapterSlots_ = policy_.target_.adapterSlots_;
    state.batchSlots_ = policy_.target_.batchSlots_;
    state.adapters_.assign(engine_.adapters_.begin(), engine_.adapters_.end());
    for (const auto &[id, run] : engine_.running_)
        state.running_.push_back({.attempt_ = id, .adapter_ = run.adapter_});
    return state;
}

void SchedulerSim::handleAtEngine(std::uint64_t schedulerNumber, const EngineCommand &command)
{
    if (const auto *read = std::get_if<ReadEngineState>(&command)) {
        if (engine_.isUp_)
            sendEventToScheduler(schedulerNumber,
                                 EngineStateReceived{read->readNumber_, engineState()});
        else
            sendEventToScheduler(schedulerNumber, EngineUnreachable{read->readNumber_});
    } else if (const auto *start = std::get_if<StartRun>(&command)) {
        startRunOnEngine(schedulerNumber, *start);
    } else if (const auto *cancel = std::get_if<CancelRun>(&command)) {
        cancelRunOnEngine(cancel->attempt_);
    } else {
        receiveOrderOnEngine(schedulerNumber, std::get<AdapterOrder>(command));
    }
}

void SchedulerSim::checkBatchSlots()
{
    const auto counted =
        std::count_if(engine_.running_.begin(), engine_.running_.end(),
                      [](const auto &entry) { return !entry.second.isFromReplacedScheduler_; });
    if (counted > policy_.target_.batchSlots_)
        recordViolation(Property::BatchSlots, std::to_string(counted) + " concurrent runs");
}

void SchedulerSim::startRunOnEngine(std::uint64_t schedulerNumber, const StartRun &start)
{
    const AttemptId &id = start.attempt_;
    SimAttempt &attempt = attempts_.at(id);
    if (!engine_.isUp_) {
        sendEventToScheduler(schedulerNumber, RunFailed{id, false});
        return;
    }
    if (!engine_.adapters_.contains(start.adapter_)) {
        sendEventToScheduler(schedulerNumber, RunResponseHead{id, 404, "application/json"});
        sendEventToScheduler(schedulerNumber, RunEnded{id, 0});
        return;
    }
    if (++attempt.engineStarts_ > 1)
        recordViolation(Property::StartsAtMostOnce, id.text_);
    if (attempt.isReportedNotRun_)
        recordViolation(Property::RefusedNeverRuns, id.text_ + " started after it was refused");
    SimRun run;
    run.adapter_ = start.adapter_;
    run.tokensLeft_ = 1 + static_cast<std::uint32_t>(below(12));
    run.schedulerNumber_ = schedulerNumber;
    run.isFromReplacedScheduler_ = schedulerNumber != schedulerNumber_;
    engine_.running_[id] = run;
    checkBatchSlots();
    if (crashesEngine(attempt.offer_)) {
        crashEngine();
        return;
    }
    sendEventToScheduler(schedulerNumber, RunResponseHead{id, 200, "text/event-stream"});
    after(upTo(maxHopDelay * 10), [this, id] { advanceRun(id); });
}

void SchedulerSim::advanceRun(const AttemptId &attempt)
{
    const auto found = engine_.running_.find(attempt);
    if (found == engine_.running_.end())
        return;
    SimRun &run = found->second;
    const std::uint64_t count = 1 + below(9);
    std::string bytes = responseBytes(attempt, run.sent_, count);
    if (fault_ == InjectedFault::CorruptResponses)
        bytes.back() = '!';
    run.sent_ += count;
    sendEventToScheduler(run.schedulerNumber_, RunResponseBytes{attempt, std::move(bytes), 1});
    if (--run.tokensLeft_ > 0) {
        after(upTo(maxHopDelay * 20), [this, attempt] { advanceRun(attempt); });
        return;
    }
    sendEventToScheduler(run.schedulerNumber_, RunEnded{attempt, 1});
    engine_.running_.erase(found);
}

void SchedulerSim::cancelRunOnEngine(const AttemptId &attempt)
{
    const auto found = engine_.running_.find(attempt);
    if (found == engine_.running_.end() || !engine_.isUp_)
        return;
    sendEventToScheduler(found->second.schedulerNumber_, RunFailed{attempt, true});
    engine_.running_.erase(found);
}

void SchedulerSim::receiveOrderOnEngine(std::uint64_t schedulerNumber, const AdapterOrder &order)
{
    if (!engine_.isUp_ || chance(hasFaults_ ? 0.03 : 0)) {
        sendEventToScheduler(
            schedulerNumber,
            OrderEnded{order.orderNumber_, order.kind_, order.adapter_, OrderOutcome::Unknown});
        return;
    }
    const bool load = order.kind_ == OrderKind::Load;
    const std::uint64_t incarnation = engine_.incarnation_;
    if (!load) {
        executeOrderOnEngine(schedulerNumber, order);
        return;
    }
    after(upTo(maxHopDelay * 50), [this, schedulerNumber, order, incarnation] {
        if (engine_.isUp_ && engine_.incarnation_ == incarnation)
            executeOrderOnEngine(schedulerNumber, order);
        else
            sendEventToScheduler(
                schedulerNumber,
                OrderEnded{order.orderNumber_, order.kind_, order.adapter_, OrderOutcome::Unknown});
    });
}

void SchedulerSim::executeOrderOnEngine(std::uint64_t schedulerNumber, const AdapterOrder &order)
{
    engine_.fencing_ = std::max(engine_.fencing_, order.fencingNumber_.value_);
    OrderOutcome outcome = OrderOutcome::Done;
    if (order.kind_ == OrderKind::Unload) {
        ++counts_.evictions_;
        if (isInUse(order.adapter_))
            recordViolation(Property::NoEvictionInUse, engineModelName(order.adapter_));
        engine_.adapters_.erase(order.adapter_);
    } else if (engine_.adapters_.contains(order.adapter_)) {
        outcome = OrderOutcome::Done;
    } else if (engine_.adapters_.size() >= policy_.target_.adapterSlots_
               || chance(hasFaults_ ? 0.15 : 0)) {
        outcome = OrderOutcome::Failed;
    } else {
        ++counts_.loads_;
        engine_.adapters_.insert(order.adapter_);
    }
    const bool isReplyLost = chance(hasFaults_ ? 0.05 : 0);
    sendEventToScheduler(schedulerNumber,
                         OrderEnded{order.orderNumber_, order.kind_, order.adapter_,
                                    isReplyLost ? OrderOutcome::Unknown : outcome});
}

void SchedulerSim::crashEngine()
{
    ++counts_.crashes_;
    for (const auto &[id, run] : engine_.running_)
        sendEventToScheduler(run.schedulerNumber_, RunFailed{id, true});
    engine_.running_.clear();
    engine_.adapters_.clear();
    engine_.isUp_ = false;
    ++engine_.incarnation_;
    after(upTo(std::chrono::milliseconds(900)), [this] { engine_.isUp_ = true; });
}

void SchedulerSim::breakConnection()
{
    if (engine_.running_.empty())
        return;
    auto &[id, run] = *engine_.running_.begin();
    sendEventToScheduler(run.schedulerNumber_, RunFailed{id, true});
    run.schedulerNumber_ = 0;
}

// ---- The scenario

void SchedulerSim::scheduleFaults()
{
    const auto at = [this](double probability, const std::function<void()> &callback) {
        for (int times = 0; times < 3; ++times) {
            if (chance(probability))
                after(upTo(scenarioDuration), callback);
        }
    };
    at(0.3, [this] { crashEngine(); });
    at(0.3, [this] { breakConnection(); });
    at(0.4, [this] { changeRules(); });
    at(0.2, [this] {
        ++counts_.restarts_;
        startScheduler();
    });
    for (std::uint64_t index = 0; index < scenarioOffers; ++index)
        after(upTo(scenarioDuration), [this] { performEntryAction(); });
}

void SchedulerSim::checkAllEnded()
{
    for (const auto &[id, attempt] : attempts_) {
        const bool mustHaveEnded =
            attempt.schedulerNumber_ == schedulerNumber_ && attempt.isAccepted_;
        if (mustHaveEnded && !attempt.hasEnded_)
            recordViolation(Property::AcceptedEnds, id.text_ + " was accepted but never ended");
    }
}

std::vector<Violation> SchedulerSim::run()
{
    startScheduler();
    scheduleFaults();
    runUntil(now_ + scenarioDuration, defaultTickPeriod);
    hasFaults_ = false;
    // Queries the attempts that have not ended, since the faults may have dropped their messages.
    after(settleDuration - std::chrono::seconds(1), [this] {
        for (auto &[id, attempt] : attempts_) {
            if (!attempt.hasEnded_)
                sendQuery(attempt, false);
        }
    });
    runUntil(now_ + settleDuration, slowTickPeriod);
    checkAllEnded();
    for (int offers = 0; offers < 6; ++offers)
        makeOffer();
    runUntil(now_ + maxHopDelay * 20, defaultTickPeriod);
    leaving_ = true;
    apply(Drain{});
    runUntil(now_ + drainDuration, slowTickPeriod);
    if (!isDrained(scheduler_))
        recordViolation(Property::DrainsEmpty,
                        std::to_string(scheduler_.attempts_.open_.size())
                            + " open attempts left after draining");
    return std::move(violations_);
}

} // namespace eelgrasscove
