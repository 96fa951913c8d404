#include "doorsim.h"

#include <algorithm>

namespace eelgrasscove {

namespace {

constexpr std::uint32_t adapterCount = 6;
constexpr std::uint32_t accountCount = 3;
constexpr std::uint64_t scenarioOffers = 40;
constexpr Duration scenarioTime = std::chrono::seconds(4);
constexpr Duration settleTime = std::chrono::seconds(12);
constexpr Duration drainTime = std::chrono::seconds(40);
constexpr Duration tick = std::chrono::milliseconds(50);
constexpr Duration slowTick = std::chrono::milliseconds(250);
constexpr Duration hop = std::chrono::milliseconds(3);

std::string letter(std::uint64_t index)
{
    return {static_cast<char>('a' + index)};
}

/// Byte number offset of an attempt's answer.
char answerByte(const AttemptId &attempt, std::uint64_t offset)
{
    return static_cast<char>('a' + (offset * 7 + attempt.text_.size() + attempt.text_.back()) % 26);
}

std::string answerBytes(const AttemptId &attempt, std::uint64_t from, std::uint64_t count)
{
    std::string bytes;
    for (std::uint64_t offset = from; offset < from + count; ++offset)
        bytes += answerByte(attempt, offset);
    return bytes;
}

bool isKiller(const Offer &offer)
{
    return offer.fingerprint_.text_ == "killer";
}

} // namespace

DoorSim::DoorSim(std::uint64_t seed, Sabotage sabotage) : random_(seed), sabotage_(sabotage)
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
    policy_ = doorPolicy(target, {});
    policy_.attempts_.tombstones_ = chance(0.1) ? 2 : 1000;
}

bool DoorSim::chance(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

std::uint64_t DoorSim::below(std::uint64_t bound)
{
    return random_() % bound;
}

Duration DoorSim::upTo(Duration longest)
{
    return Duration(1 + static_cast<std::int64_t>(below(longest.count())));
}

void DoorSim::after(Duration delay, std::function<void()> happen)
{
    events_.push({now_ + delay, eventNumber_++, std::move(happen)});
}

void DoorSim::violate(Property property, const std::string &what)
{
    violations_.push_back({property, what});
}

void DoorSim::runUntil(Time end, Duration tickPeriod)
{
    Time nextTick = now_ + tickPeriod;
    while (true) {
        const bool due = !events_.empty() && events_.top().at_ <= std::min(nextTick, end);
        if (due) {
            const SimEvent event = events_.top();
            events_.pop();
            now_ = std::max(now_, event.at_);
            event.happen_();
            continue;
        }
        if (nextTick > end)
            break;
        now_ = nextTick;
        nextTick += tickPeriod;
        give(TimePassed{});
        if (leaving_ && drained(door_))
            return;
    }
    now_ = end;
}

// ---- The door

void DoorSim::startDoor()
{
    ++doorNumber_;
    const std::uint64_t number = 1000 + doorNumber_;
    door_ = makeDoor(policy_, Incarnation{number}, FencingNumber{number}, now_);
    give(RulesReceived{currentRules()});
    give(TimePassed{});
}

void DoorSim::give(DoorInput input)
{
    const Rules before = sabotage_ == Sabotage::KeepOldRules ? door_.rules_ : Rules{};
    DoorActions actions = step(door_, std::move(input), now_);
    if (sabotage_ == Sabotage::KeepOldRules && before.revision_.value_ > 0)
        door_.rules_ = before;
    sabotageState();
    for (DoorAction &action : actions)
        perform(std::move(action));
}

void DoorSim::sabotageState()
{
    if (sabotage_ == Sabotage::ForgetPins) {
        for (auto &[adapter, slot] : door_.residency_.slots_)
            slot.running_ = 0;
    } else if (sabotage_ == Sabotage::ForgetRunning) {
        // One that runs stays counted, so that the count doesn't fall below none.
        door_.engine_.batchSlots_ = policy_.target_.batchSlots_ + 1;
    } else if (sabotage_ == Sabotage::ForgetClosed) {
        door_.attempts_.closed_.clear();
    } else if (sabotage_ == Sabotage::SwapAdapters) {
        for (auto &[id, attempt] : door_.attempts_.inHand_) {
            if (!door_.residency_.slots_.empty())
                attempt.offer_.adapter_ = door_.residency_.slots_.begin()->first;
        }
    }
}

void DoorSim::perform(DoorAction &&action)
{
    if (auto *message = std::get_if<MessageToSend>(&action)) {
        // Told counts from when it is said, heard or not.
        if (const auto *refused = std::get_if<OfferRefused>(&message->message_))
            noteNotRun(attempts_.at(refused->attempt_));
        if (chance(faulty_ ? 0.03 : 0))
            return;
        after(upTo(hop), [this, heard = message->message_] { entryHears(heard); });
        return;
    }
    auto *command = std::get_if<EngineCommand>(&action);
    if (!command)
        return;
    if (const auto *start = std::get_if<StartRun>(command)) {
        const Offer &offer = attempts_.at(start->attempt_).offer_;
        const Rules rules = currentRules();
        if (!rules.keys_.contains(offer.keyId_))
            violate(Property::WithdrawnKey, start->attempt_.text_);
        const AdapterKey &routed = rules.routes_.at(offer.route_).adapter_;
        if (start->adapter_ != routed)
            violate(Property::RightAdapter, start->attempt_.text_);
    }
    after(upTo(hop), [this, sent = *command, number = doorNumber_] { engineHears(number, sent); });
}

void DoorSim::toDoor(const Message &message)
{
    const int copies = faulty_ && chance(0.04) ? 2 : 1;
    if (faulty_ && chance(0.03))
        return;
    for (int copy = 0; copy < copies; ++copy) {
        after(upTo(hop * 10), [this, message] {
            if (mayArrive(message))
                give(MessageReceived{"entry", message});
        });
    }
}

bool DoorSim::mayArrive(const Message &message)
{
    const auto *offer = std::get_if<Offer>(&message);
    if (!offer)
        return true;
    SimAttempt &attempt = attempts_.at(offer->attempt_);
    if (attempt.reachedDoor_ == 0)
        attempt.reachedDoor_ = doorNumber_;
    return attempt.reachedDoor_ == doorNumber_;
}

void DoorSim::eventToDoor(std::uint64_t doorNumber, EngineEvent event)
{
    const bool ends =
        std::holds_alternative<RunEnded>(event) || std::holds_alternative<RunFailed>(event);
    const bool lose = sabotage_ == Sabotage::LoseEnds
        || (sabotage_ == Sabotage::LoseEndsWhileLeaving && leaving_);
    if (ends && lose)
        return;
    // One connection keeps its order.
    after(hop, [this, doorNumber, event = std::move(event)] {
        if (doorNumber == doorNumber_)
            give(event);
    });
}

// ---- The entry

Rules DoorSim::currentRules() const
{
    Rules rules;
    rules.revision_ = {revision_};
    for (std::uint64_t account = 0; account < accountCount; ++account) {
        const KeyId key{"k" + std::to_string(account)};
        // From the second revision on, one key is withdrawn in turn.
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

void DoorSim::changeRules()
{
    ++revision_;
    give(RulesReceived{currentRules()});
}

void DoorSim::makeOffer()
{
    const std::uint64_t account = below(accountCount);
    const std::string route = letter(std::min(below(adapterCount), below(adapterCount)));
    Offer offer;
    offer.attempt_ = {"x" + std::to_string(attempts_.size())};
    offer.targetIncarnation_ = door_.incarnation_;
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
    attempt.doorNumber_ = doorNumber_;
    attemptOrder_.push_back(offer.attempt_);
    attempts_.emplace(offer.attempt_, attempt);
    ++counts_.offers_;
    toDoor(offer);
}

SimAttempt *DoorSim::someAttempt()
{
    if (attemptOrder_.empty())
        return nullptr;
    const std::uint64_t recent = std::min<std::uint64_t>(attemptOrder_.size(), 12);
    return &attempts_.at(attemptOrder_[attemptOrder_.size() - 1 - below(recent)]);
}

void DoorSim::ask(SimAttempt &attempt, bool giveUp)
{
    AttemptQuery query;
    query.attempt_ = attempt.offer_.attempt_;
    query.targetIncarnation_ = attempt.offer_.targetIncarnation_;
    query.haveOffset_ = attempt.have_;
    query.giveUp_ = giveUp;
    toDoor(query);
}

void DoorSim::someEntryAction()
{
    SimAttempt *attempt = someAttempt();
    const std::uint64_t kind = below(10);
    if (kind < 6 || !attempt)
        makeOffer();
    else if (kind < 7)
        toDoor(attempt->offer_);
    else if (kind < 9)
        ask(*attempt, chance(0.5));
    else
        toDoor(AttemptCancel{attempt->offer_.attempt_});
}

void DoorSim::noteNotRun(SimAttempt &attempt)
{
    ++counts_.refusals_;
    attempt.toldNotRun_ = true;
    attempt.ended_ = true;
    if (attempt.engineStarts_ > 0)
        violate(Property::NotRunIsNotRun, attempt.offer_.attempt_.text_ + " had started");
    if (attempt.whole_)
        violate(Property::AcceptedEnds,
                attempt.offer_.attempt_.text_ + " was answered and refused");
}

void DoorSim::entryHearsChunk(SimAttempt &attempt, const AnswerChunk &chunk)
{
    const std::string expected = answerBytes(chunk.attempt_, chunk.offset_, chunk.bytes_.size());
    if (chunk.bytes_ != expected)
        violate(Property::WholeAnswer, chunk.attempt_.text_ + " carries other bytes");
    const std::uint64_t end = chunk.offset_ + chunk.bytes_.size();
    if (chunk.offset_ <= attempt.have_)
        attempt.have_ = std::max(attempt.have_, end);
    else
        ask(attempt, false);
}

void DoorSim::entryHearsEnd(SimAttempt &attempt, const AnswerEnd &end)
{
    if (attempt.have_ < end.length_) {
        ask(attempt, false);
        return;
    }
    if (attempt.have_ > end.length_)
        violate(Property::WholeAnswer, end.attempt_.text_ + " got too much");
    if (!attempt.whole_)
        ++counts_.wholeAnswers_;
    attempt.whole_ = true;
    attempt.ended_ = true;
    if (attempt.toldNotRun_)
        violate(Property::NotRunIsNotRun, end.attempt_.text_ + " was answered");
    toDoor(AnswerReceived{end.attempt_});
}

void DoorSim::entryHears(const Message &message)
{
    if (const auto *accepted = std::get_if<OfferAccepted>(&message)) {
        attempts_.at(accepted->attempt_).accepted_ = true;
    } else if (const auto *chunk = std::get_if<AnswerChunk>(&message)) {
        entryHearsChunk(attempts_.at(chunk->attempt_), *chunk);
    } else if (const auto *end = std::get_if<AnswerEnd>(&message)) {
        entryHearsEnd(attempts_.at(end->attempt_), *end);
    } else if (const auto *failed = std::get_if<AttemptFailed>(&message)) {
        SimAttempt &attempt = attempts_.at(failed->attempt_);
        attempt.ended_ = true;
        ++counts_.failures_;
        if (failed->runState_ == RunState::NotRun)
            noteNotRun(attempt);
        toDoor(AnswerReceived{failed->attempt_});
    }
}

// ---- The engine

bool DoorSim::inUse(const AdapterKey &adapter) const
{
    return std::any_of(engine_.running_.begin(), engine_.running_.end(),
                       [&](const auto &entry) { return entry.second.adapter_ == adapter; });
}

EngineState DoorSim::engineState() const
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

void DoorSim::engineHears(std::uint64_t doorNumber, const EngineCommand &command)
{
    if (const auto *read = std::get_if<ReadEngineState>(&command)) {
        if (engine_.up_)
            eventToDoor(doorNumber, EngineStateRead{read->read_, engineState()});
        else
            eventToDoor(doorNumber, EngineUnreachable{read->read_});
    } else if (const auto *start = std::get_if<StartRun>(&command)) {
        engineStarts(doorNumber, *start);
    } else if (const auto *cancel = std::get_if<CancelRun>(&command)) {
        engineCancels(cancel->attempt_);
    } else {
        engineOrders(doorNumber, std::get<AdapterOrder>(command));
    }
}

void DoorSim::checkSlots()
{
    const auto counted = std::count_if(engine_.running_.begin(), engine_.running_.end(),
                                       [](const auto &entry) { return !entry.second.late_; });
    if (counted > policy_.target_.batchSlots_)
        violate(Property::BatchSlots, std::to_string(counted) + " run");
}

void DoorSim::engineStarts(std::uint64_t doorNumber, const StartRun &start)
{
    const AttemptId &id = start.attempt_;
    SimAttempt &attempt = attempts_.at(id);
    if (!engine_.up_) {
        eventToDoor(doorNumber, RunFailed{id, false});
        return;
    }
    if (!engine_.adapters_.contains(start.adapter_)) {
        eventToDoor(doorNumber, RunHead{id, 404, "application/json"});
        eventToDoor(doorNumber, RunEnded{id, 0});
        return;
    }
    if (++attempt.engineStarts_ > 1)
        violate(Property::StartsAtMostOnce, id.text_);
    if (attempt.toldNotRun_)
        violate(Property::NotRunIsNotRun, id.text_ + " starts after all");
    SimRun run;
    run.adapter_ = start.adapter_;
    run.tokensLeft_ = 1 + static_cast<std::uint32_t>(below(12));
    run.doorNumber_ = doorNumber;
    run.late_ = doorNumber != doorNumber_;
    engine_.running_[id] = run;
    checkSlots();
    if (isKiller(attempt.offer_)) {
        crashEngine();
        return;
    }
    eventToDoor(doorNumber, RunHead{id, 200, "text/event-stream"});
    after(upTo(hop * 10), [this, id] { engineStep(id); });
}

void DoorSim::engineStep(const AttemptId &attempt)
{
    const auto found = engine_.running_.find(attempt);
    if (found == engine_.running_.end())
        return;
    SimRun &run = found->second;
    const std::uint64_t count = 1 + below(9);
    std::string bytes = answerBytes(attempt, run.sent_, count);
    if (sabotage_ == Sabotage::CorruptAnswers)
        bytes.back() = '!';
    run.sent_ += count;
    eventToDoor(run.doorNumber_, RunBytes{attempt, std::move(bytes), 1});
    if (--run.tokensLeft_ > 0) {
        after(upTo(hop * 20), [this, attempt] { engineStep(attempt); });
        return;
    }
    eventToDoor(run.doorNumber_, RunEnded{attempt, 1});
    engine_.running_.erase(found);
}

void DoorSim::engineCancels(const AttemptId &attempt)
{
    const auto found = engine_.running_.find(attempt);
    if (found == engine_.running_.end() || !engine_.up_)
        return;
    eventToDoor(found->second.doorNumber_, RunFailed{attempt, true});
    engine_.running_.erase(found);
}

void DoorSim::engineOrders(std::uint64_t doorNumber, const AdapterOrder &order)
{
    if (!engine_.up_ || chance(faulty_ ? 0.03 : 0)) {
        eventToDoor(doorNumber,
                    OrderEnded{order.order_, order.kind_, order.adapter_, OrderOutcome::Unknown});
        return;
    }
    const bool load = order.kind_ == OrderKind::Load;
    const std::uint64_t incarnation = engine_.incarnation_;
    if (!load) {
        engineTakesOrder(doorNumber, order);
        return;
    }
    after(upTo(hop * 50), [this, doorNumber, order, incarnation] {
        if (engine_.up_ && engine_.incarnation_ == incarnation)
            engineTakesOrder(doorNumber, order);
        else
            eventToDoor(
                doorNumber,
                OrderEnded{order.order_, order.kind_, order.adapter_, OrderOutcome::Unknown});
    });
}

void DoorSim::engineTakesOrder(std::uint64_t doorNumber, const AdapterOrder &order)
{
    engine_.fencing_ = std::max(engine_.fencing_, order.fencingNumber_.value_);
    OrderOutcome outcome = OrderOutcome::Done;
    if (order.kind_ == OrderKind::Unload) {
        ++counts_.evictions_;
        if (inUse(order.adapter_))
            violate(Property::NeverEvictInUse, engineModelName(order.adapter_));
        engine_.adapters_.erase(order.adapter_);
    } else if (engine_.adapters_.contains(order.adapter_)) {
        outcome = OrderOutcome::Done;
    } else if (engine_.adapters_.size() >= policy_.target_.adapterSlots_
               || chance(faulty_ ? 0.15 : 0)) {
        outcome = OrderOutcome::Failed;
    } else {
        ++counts_.loads_;
        engine_.adapters_.insert(order.adapter_);
    }
    const bool lost = chance(faulty_ ? 0.05 : 0);
    eventToDoor(doorNumber,
                OrderEnded{order.order_, order.kind_, order.adapter_,
                           lost ? OrderOutcome::Unknown : outcome});
}

void DoorSim::crashEngine()
{
    ++counts_.crashes_;
    for (const auto &[id, run] : engine_.running_)
        eventToDoor(run.doorNumber_, RunFailed{id, true});
    engine_.running_.clear();
    engine_.adapters_.clear();
    engine_.up_ = false;
    ++engine_.incarnation_;
    after(upTo(std::chrono::milliseconds(900)), [this] { engine_.up_ = true; });
}

void DoorSim::breakConnection()
{
    if (engine_.running_.empty())
        return;
    auto &[id, run] = *engine_.running_.begin();
    eventToDoor(run.doorNumber_, RunFailed{id, true});
    run.doorNumber_ = 0;
}

// ---- The scenario

void DoorSim::scheduleFaults()
{
    const auto at = [this](double probability, const std::function<void()> &happen) {
        for (int times = 0; times < 3; ++times) {
            if (chance(probability))
                after(upTo(scenarioTime), happen);
        }
    };
    at(0.3, [this] { crashEngine(); });
    at(0.3, [this] { breakConnection(); });
    at(0.4, [this] { changeRules(); });
    at(0.2, [this] {
        ++counts_.restarts_;
        startDoor();
    });
    for (std::uint64_t index = 0; index < scenarioOffers; ++index)
        after(upTo(scenarioTime), [this] { someEntryAction(); });
}

void DoorSim::checkEnds()
{
    for (const auto &[id, attempt] : attempts_) {
        const bool known = attempt.doorNumber_ == doorNumber_ && attempt.accepted_;
        if (known && !attempt.ended_)
            violate(Property::AcceptedEnds, id.text_ + " never ended");
    }
}

std::vector<Violation> DoorSim::run()
{
    startDoor();
    scheduleFaults();
    runUntil(now_ + scenarioTime, tick);
    faulty_ = false;
    // What the faults swallowed is asked for again.
    after(settleTime - std::chrono::seconds(1), [this] {
        for (auto &[id, attempt] : attempts_) {
            if (!attempt.ended_)
                ask(attempt, false);
        }
    });
    runUntil(now_ + settleTime, slowTick);
    checkEnds();
    for (int offers = 0; offers < 6; ++offers)
        makeOffer();
    runUntil(now_ + hop * 20, tick);
    leaving_ = true;
    give(Leave{});
    runUntil(now_ + drainTime, slowTick);
    if (!drained(door_))
        violate(Property::DrainsEmpty, std::to_string(door_.attempts_.inHand_.size()) + " left");
    return std::move(violations_);
}

} // namespace eelgrasscove
