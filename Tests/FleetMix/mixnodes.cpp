#include "mixworld.h"

#include "Contract/rulefile.h"

#include <algorithm>
#include <fmt/core.h>

namespace eelgrasscove::mix {

using namespace std::chrono_literals;

namespace {

constexpr Duration heartbeatPeriod = 250ms;
constexpr Duration calmHeartbeatPeriod = 1s;
constexpr Duration speakerMemory = 5s;
constexpr Duration answerMemory = 3s;
/// What a leaving process has beside the longest request.
constexpr Duration stopMargin = 6s;
constexpr Duration shareReturnTime = 3s;

EntryPolicy entryPolicy()
{
    EntryPolicy policy;
    policy.requestTimeout_ = requestTimeout;
    policy.attemptMargin_ = attemptMargin;
    policy.allowanceHold_ = 500ms;
    policy.placementHold_ = 1s;
    policy.answerSilence_ = 300ms;
    policy.strikeMemory_ = 5s;
    return policy;
}

SchedulerPolicy policyOf(const Node &node)
{
    TargetSettings settings;
    settings.group_ = node.group_;
    settings.engine_ = node.isEngine_;
    settings.adapterSlots_ = 2;
    settings.batchSlots_ = 3;
    settings.queue_ = 12;
    settings.loadsPerSecond_ = 10;
    settings.strikeMemory_ = 5s;
    SchedulerPolicy policy = schedulerPolicy(settings, {});
    policy.attempts_.responseRetention_ = answerMemory;
    policy.drainingResponseRetention_ = answerMemory;
    policy.engineDownTimeout_ = 300ms;
    policy.maxLoadWait_ = 100ms;
    policy.minResidencyTime_ = 200ms;
    return policy;
}

} // namespace

// ---- Processes

void World::at(Node &node, Duration delay, Happen happen)
{
    after(delay, [this, &node, run = node.incarnation_, happen = std::move(happen)] {
        if (!node.alive_ || node.incarnation_ != run)
            return;
        if (node.frozen_)
            node.pending_.push_back(happen);
        else
            happen();
    });
}

void World::startNode(Node &node)
{
    if (node.alive_)
        return;
    node.alive_ = true;
    node.frozen_ = false;
    node.pending_.clear();
    node.incarnation_ = {++lastIncarnation_};
    node.stopAt_.reset();
    node.offeredAfterLeave_.clear();
    node.given_ = {};
    node.shown_ = {};
    node.watching_ = true;
    node.read_ = {};
    node.listDueAt_ = now_;
    node.reachable_.reset();
    note(fmt::format("{} starts as {}", node.vm_.text_, node.incarnation_.value_));
    const VmSettings vm{
        node.isEntry_ ? Role::Entry : Role::Target, node.vm_, {"r"}, node.dataCentre_};
    if (node.isEntry_) {
        node.entry_ = makeEntry(vm, node.incarnation_, entryPolicy(), now_);
    } else {
        node.door_ = makeScheduler(policyOf(node), node.incarnation_,
                                   FencingNumber{node.incarnation_.value_}, now_);
        node.fleet_ = {};
        node.fleet_.self_ = node.vm_;
        node.fleet_.dataCentre_ = node.dataCentre_;
        node.rulesText_.clear();
        node.speakers_.clear();
    }
    tick(indexOf(node), node.incarnation_, 0);
}

void World::kill(Node &node)
{
    if (!node.alive_)
        return;
    note(node.vm_.text_ + " is gone");
    node.alive_ = false;
    node.pending_.clear();
    const std::size_t index = indexOf(node);
    for (auto &[id, run] : node.engine_.running_)
        run.door_ = {};
    for (std::size_t other = 0; other < nodeCount; ++other) {
        breakLink(other, index);
        Link &link = links_[index][other];
        const Time last = link.lastArrival_;
        // What it sent before may still arrive.
        const std::uint64_t epoch = link.epoch_ + (chance(0.5) ? 1 : 0);
        const bool cut = link.cut_;
        const bool stuck = link.stuck_;
        link = {.cut_ = cut, .stuck_ = stuck, .epoch_ = epoch, .lastArrival_ = last};
    }
    for (std::size_t call = 0; call < calls_.size(); ++call) {
        if (calls_[call].node_ == index && calls_[call].incarnation_ == node.incarnation_)
            endCall(call, false);
    }
}

void World::freeze(Node &node, Duration time)
{
    if (!node.alive_ || node.frozen_)
        return;
    note(node.vm_.text_ + " freezes");
    node.frozen_ = true;
    after(time, [this, &node, run = node.incarnation_] {
        if (node.incarnation_ == run)
            thaw(node);
    });
}

void World::thaw(Node &node)
{
    if (!node.alive_ || !node.frozen_)
        return;
    note(node.vm_.text_ + " thaws");
    node.frozen_ = false;
    node.thawedAt_ = now_;
    std::deque<Happen> pending = std::move(node.pending_);
    node.pending_.clear();
    for (const Happen &happen : pending)
        at(node, Duration(0), happen);
}

void World::tick(std::size_t index, Incarnation incarnation, std::uint64_t number)
{
    Node &node = nodes_.at(index);
    if (!node.alive_ || node.incarnation_ != incarnation)
        return;
    after(tickPeriod_,
          [this, index, incarnation, number] { tick(index, incarnation, number + 1); });
    if (node.frozen_)
        return;
    const Duration period = tickPeriod_ < heartbeatPeriod ? heartbeatPeriod : calmHeartbeatPeriod;
    const auto every = static_cast<std::uint64_t>(period / tickPeriod_);
    const bool beats = number % every == index % every;
    if (node.isEntry_)
        give(node, EntryTick());
    else
        decide(node, TimePassed{});
    if (!node.alive_)
        return;
    if (beats)
        beat(node);
    watchStop(node);
}

void World::beat(Node &node)
{
    pollPlatform(node);
    if (!node.isEntry_) {
        heartbeatsOfTarget(node);
        strikesOfTarget(node);
        return;
    }
    actions_.clear();
    sendHeartbeats(node.entry_, now_, actions_);
    perform(node, actions_);
}

void World::stopGracefully(Node &node)
{
    if (!node.alive_ || node.frozen_ || node.stopAt_)
        return;
    note(node.vm_.text_ + " is told to stop");
    node.stopAt_ = now_;
    if (node.isEntry_)
        give(node, StopRequested());
    else
        decide(node, Drain{});
}

/// A stopping process ends once nothing is in hand, which must be in time.
void World::watchStop(Node &node)
{
    if (!node.stopAt_)
        return;
    const bool empty = node.isEntry_ ? idle(node.entry_) : isDrained(node.door_);
    if (!empty) {
        if (now_ - *node.stopAt_ > requestTimeout + stopMargin) {
            violate(Property::GracefulStop, node.vm_.text_ + " still has work in hand");
            kill(node);
        }
        return;
    }
    if (node.isEntry_ && !hasReturnedShares(node.entry_.ledger_)
        && now_ - *node.stopAt_ < shareReturnTime)
        return;
    for (const auto &[id, run] : node.engine_.running_) {
        if (run.door_ == node.incarnation_)
            violate(Property::GracefulStop, id.text_ + " was cut off at " + node.vm_.text_);
    }
    for (const Call &call : calls_) {
        const bool here = call.node_ == indexOf(node) && call.incarnation_ == node.incarnation_;
        if (here && call.arrived_ && !call.ended_)
            violate(Property::GracefulStop, "a caller was cut off at " + node.vm_.text_);
    }
    if (!node.isEntry_)
        heartbeatsOfTarget(node);
    kill(node);
}

void World::showRevision(Node &node, Revision revision)
{
    if (revision < node.shown_)
        violate(Property::RevisionsRise, node.vm_.text_);
    node.shown_ = revision;
}

void World::give(Node &node, EntryInput input)
{
    if (sabotaged(Property::RevisionsRise) && std::holds_alternative<StoredRules>(input))
        node.entry_.spread_.revision_ = {};
    actions_.clear();
    step(node.entry_, std::move(input), now_, actions_);
    if (sabotaged(Property::TokenWindow)) {
        for (auto &[name, account] : node.entry_.allowance_.accounts_)
            account.freeMicroTokens_ = account.share_.burstTokens_ * 1'000'000;
    }
    showRevision(node, node.entry_.rules_.revision_);
    perform(node, actions_);
}

void World::perform(Node &node, EntryActions &actions)
{
    for (EntryAction &action : actions) {
        if (auto *message = std::get_if<SendMessage>(&action))
            send(node, message->address_, std::move(message->message_));
        else if (const auto *reply = std::get_if<CallerReply>(&action))
            hear(node, *reply);
        else if (auto *operation = std::get_if<KvOperation>(&action))
            callPlatform(node, std::move(*operation));
        else if (const auto *watch = std::get_if<WatchPlatformRules>(&action))
            node.watching_ = watch->on_;
        else if (std::holds_alternative<ReadPlatformRules>(action))
            readRules(node);
    }
}

void World::sabotageDoor(Node &node)
{
    if (sabotaged(Property::NoUnloadInUse)) {
        for (auto &[adapter, slot] : node.door_.residency_.slots_)
            slot.running_ = 0;
    }
    if (sabotaged(Property::LeavingTakesNone))
        node.door_.isDraining_ = false;
}

void World::decide(Node &node, SchedulerInput input)
{
    const Rules before = sabotaged(Property::WithdrawnKey) ? node.door_.rules_ : Rules();
    if (const auto *rules = std::get_if<RulesReceived>(&input))
        node.given_ = std::max(node.given_, rules->rules_.revision_);
    SchedulerActions actions = step(node.door_, std::move(input), now_);
    if (before.revision_.value_ > 0)
        node.door_.rules_ = before;
    showRevision(node, node.door_.rules_.revision_);
    sabotageDoor(node);
    for (SchedulerAction &action : actions)
        perform(node, action);
}

void World::perform(Node &node, SchedulerAction &action)
{
    if (auto *message = std::get_if<MessageToSend>(&action)) {
        send(node, message->address_, std::move(message->message_));
    } else if (std::holds_alternative<SendHeartbeat>(action)) {
        heartbeatsOfTarget(node);
    } else if (std::holds_alternative<SendCrashCounts>(action)) {
        strikesOfTarget(node);
    } else if (auto *command = std::get_if<EngineCommand>(&action)) {
        if (auto *start = std::get_if<StartRun>(command)) {
            if (sabotaged(Property::KeysAccount))
                start->account_ = {"a0"};
            if (sabotaged(Property::AdapterNamed))
                start->adapter_.version_ = {"999"};
            checkStart(node, *start);
        }
        after(1ms, [this, &node, door = node.incarnation_, sent = std::move(*command)] {
            engineHears(node, door, sent);
        });
    }
}

// ---- A target process around its scheduler

void World::takeAtTarget(Node &node, Envelope &&envelope)
{
    const auto *heartbeat = std::get_if<Heartbeat>(&envelope.message_);
    const auto *offer = std::get_if<Offer>(&envelope.message_);
    if (heartbeat ? heartbeat->role_ == Role::Entry : offer != nullptr)
        node.speakers_[envelope.replyAddress_] = now_;
    if (const auto *request = std::get_if<RulesRequest>(&envelope.message_)) {
        if (node.door_.rules_.revision_ > request->have_)
            send(node, envelope.replyAddress_,
                 RulesText{node.door_.rules_.revision_, node.rulesText_});
        return;
    }
    if (const auto *rules = std::get_if<RulesText>(&envelope.message_)) {
        takeRulesAtTarget(node, rules->revision_, rules->text_);
        return;
    }
    if (heartbeat)
        applyHeartbeat(node.fleet_, envelope, *heartbeat, now_);
    if (offer && node.stopAt_)
        node.offeredAfterLeave_.insert(offer->attempt_);
    decide(node, MessageReceived{envelope.replyAddress_, std::move(envelope.message_)});
}

void World::takeRulesAtTarget(Node &node, Revision revision, const std::string &text)
{
    if (revision <= node.door_.rules_.revision_) {
        decide(node, RulesConfirmed{});
        return;
    }
    Result<Rules, std::vector<RuleError>> rules = parseRules(text, "rules", revision);
    if (!ok(rules)) {
        violate(Property::ComesToRest, describeRuleErrors(errorOf(rules)));
        return;
    }
    node.rulesText_ = text;
    decide(node, RulesReceived{std::move(valueOf(rules))});
    heartbeatsOfTarget(node);
}

void World::heartbeatsOfTarget(Node &node)
{
    Heartbeat report = loadReport(node.door_, now_);
    report.dataCentre_ = node.dataCentre_;
    std::erase_if(node.speakers_,
                  [&](const auto &speaker) { return now_ - speaker.second > speakerMemory; });
    std::set<std::string> addresses;
    for (const auto &[vm, peer] : node.fleet_.peers_) {
        if (peer.listed_.role_ == Role::Entry)
            addresses.insert(peer.listed_.address_);
    }
    for (const auto &[address, heard] : node.speakers_)
        addresses.insert(address);
    for (const std::string &address : addresses)
        send(node, address, report);
}

void World::strikesOfTarget(Node &node)
{
    const Heartbeat report = loadReport(node.door_, now_);
    if (report.strikes_.empty())
        return;
    for (const auto &[vm, peer] : node.fleet_.peers_) {
        if (peer.listed_.role_ == Role::Target && peer.listed_.group_ == node.group_)
            send(node, peer.listed_.address_, report);
    }
}

// ---- Links

Node *World::nodeAt(const std::string &address)
{
    for (Node &node : nodes_) {
        if (node.address_ == address)
            return &node;
    }
    return nullptr;
}

void World::send(Node &from, const std::string &address, Message message)
{
    Node *to = nodeAt(address);
    if (to == nullptr)
        return;
    Link &link = links_.at(indexOf(from)).at(indexOf(*to));
    if (!link.opened_) {
        link.opened_ = true;
        connectLater(indexOf(from), indexOf(*to), from.incarnation_);
    }
    if (const auto *offer = std::get_if<Offer>(&message)) {
        offerRevisions_[offer->attempt_] = offer->rulesRevision_;
        if (!link.up_) {
            at(from, 1ms, [this, &from, failed = SendFailed{address, std::move(message)}] {
                if (from.isEntry_)
                    give(from, failed);
            });
            return;
        }
    }
    if (auto *failed = std::get_if<AttemptFailed>(&message);
        failed && sabotaged(Property::NotRunIsNotRun))
        failed->runState_ = RunState::NotRun;
    Envelope envelope{messageVersion, from.vm_, from.incarnation_, from.address_,
                      std::move(message)};
    if (link.up_)
        transmit(indexOf(from), indexOf(*to), std::move(envelope));
    else
        link.held_.push_back(std::move(envelope));
}

void World::transmit(std::size_t from, std::size_t to, Envelope envelope)
{
    Link &link = links_.at(from).at(to);
    const bool near = nodes_.at(from).dataCentre_ == nodes_.at(to).dataCentre_;
    const Time arrival = std::max(link.lastArrival_, now_ + upTo(near ? 3ms : 20ms));
    link.lastArrival_ = arrival;
    after(arrival - now_,
          [this, from, to, epoch = link.epoch_, envelope = std::move(envelope)]() mutable {
              if (links_.at(from).at(to).epoch_ == epoch)
                  arrive(from, to, std::move(envelope));
          });
}

void World::arrive(std::size_t from, std::size_t to, Envelope envelope)
{
    Link &link = links_.at(from).at(to);
    if (link.stuck_) {
        link.late_.push_back(std::move(envelope));
        return;
    }
    Node &node = nodes_.at(to);
    if (!node.alive_)
        return;
    if (!node.frozen_) {
        deliver(node, std::move(envelope));
        return;
    }
    node.pending_.push_back([this, &node, envelope = std::move(envelope)]() mutable {
        deliver(node, std::move(envelope));
    });
}

void World::deliver(Node &to, Envelope &&envelope)
{
    if (to.isEntry_)
        give(to, std::move(envelope));
    else
        takeAtTarget(to, std::move(envelope));
}

void World::breakLink(std::size_t from, std::size_t to)
{
    Link &link = links_.at(from).at(to);
    ++link.epoch_;
    link.late_.clear();
    if (!link.up_)
        return;
    link.up_ = false;
    Node &node = nodes_.at(from);
    const LinkChanged change{nodes_.at(to).address_, false};
    at(node, upTo(10ms), [this, &node, change] {
        if (node.isEntry_)
            give(node, change);
        else
            applyLinkChange(node.fleet_, change.address_, false);
    });
    connectLater(from, to, node.incarnation_);
}

void World::connectLater(std::size_t from, std::size_t to, Incarnation incarnation)
{
    after(20ms + upTo(100ms), [this, from, to, incarnation] {
        Node &node = nodes_.at(from);
        Link &link = links_.at(from).at(to);
        if (!node.alive_ || node.incarnation_ != incarnation || link.up_)
            return;
        if (!nodes_.at(to).alive_ || link.cut_ || node.frozen_) {
            connectLater(from, to, incarnation);
            return;
        }
        link.up_ = true;
        const LinkChanged change{nodes_.at(to).address_, true};
        at(node, Duration(0), [this, &node, change] {
            if (node.isEntry_)
                give(node, change);
            else
                applyLinkChange(node.fleet_, change.address_, true);
        });
        for (Envelope &envelope : link.held_)
            transmit(from, to, std::move(envelope));
        link.held_.clear();
    });
}

void World::cutBetween(const std::function<bool(const Node &, const Node &)> &chosen, Duration time)
{
    for (std::size_t left = 0; left < nodeCount; ++left) {
        for (std::size_t right = 0; right < nodeCount; ++right) {
            if (left == right
                || !(chosen(nodes_.at(left), nodes_.at(right))
                     || chosen(nodes_.at(right), nodes_.at(left))))
                continue;
            links_.at(left).at(right).cut_ = true;
            breakLink(left, right);
            after(time, [this, left, right] { links_.at(left).at(right).cut_ = false; });
        }
    }
}

void World::stickBetween(std::size_t left, std::size_t right, Duration time)
{
    for (const auto &[from, to] : {std::pair(left, right), std::pair(right, left)}) {
        links_.at(from).at(to).stuck_ = true;
        after(time, [this, from = from, to = to] { unstick(from, to); });
    }
}

void World::unstick(std::size_t from, std::size_t to)
{
    Link &link = links_.at(from).at(to);
    link.stuck_ = false;
    std::deque<Envelope> late = std::move(link.late_);
    link.late_.clear();
    for (Envelope &envelope : late)
        arrive(from, to, std::move(envelope));
}

} // namespace eelgrasscove::mix
