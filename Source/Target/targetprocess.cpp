#include "Target/targetprocess.h"

#include "Contract/rulefile.h"
#include "Link/linkservice.h"
#include "Observe/log.h"
#include "Observe/metrics.h"
#include "Observe/observeserver.h"
#include "Observe/statusboard.h"
#include "Observe/trace.h"
#include "Platform/platformservice.h"
#include "Target/door.h"
#include "Target/doorstatus.h"
#include "Target/engineclient.h"
#include "Target/startnumber.h"
#include "Target/targetfleet.h"
#include "Vm/boundedring.h"
#include "Vm/exitcode.h"
#include "Vm/timerservice.h"

#include <algorithm>
#include <chrono>
#include <deque>
#include <optional>
#include <unordered_map>

namespace eelgrasscove {

namespace {

/// Inputs that may wait for the deciding thread.
constexpr std::size_t inputCapacity = 8192;
constexpr Duration tickPeriod = std::chrono::milliseconds(10);
constexpr Duration inputWait = std::chrono::milliseconds(50);
/// Tries to store the start number before going on without.
constexpr int storeTries = 3;
/// How long the start waits for the engine's state.
constexpr Duration engineWait = std::chrono::milliseconds(1500);
/// Strikes are told again to peer targets, for those that have started since.
constexpr Duration strikePeriod = std::chrono::seconds(5);
/// The door learns no more often than this that its rules still stand.
constexpr Duration rulesConfirmPeriod = std::chrono::seconds(1);
/// The engine reading of the start, before the door counts its own.
constexpr std::uint64_t startRead = 0;

struct TickInput
{
};

using ProcessInput = std::variant<LinkEvent, PlatformEvent, EngineEvent, TickInput>;
using InputRing = BoundedRing<ProcessInput>;

std::uint64_t wallMillis()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

/// A function that offers events of one kind to the ring.
template <class Event>
auto deliverTo(InputRing &ring)
{
    return [&ring](Event &&event) {
        ProcessInput input(std::move(event));
        if (ring.tryPush(std::move(input)))
            return true;
        // A refusing ring leaves the item untouched. NOLINTNEXTLINE(bugprone-use-after-move)
        event = std::move(std::get<Event>(input));
        return false;
    };
}

LogLevel levelOf(DoorEventKind kind)
{
    switch (kind) {
    case DoorEventKind::AttemptAccepted:
    case DoorEventKind::AttemptStarted:
    case DoorEventKind::AttemptEnded:
        return LogLevel::Debug;
    case DoorEventKind::EngineDown:
    case DoorEventKind::EngineCrashed:
    case DoorEventKind::AdapterLoadFailed:
    case DoorEventKind::ForeignRunCancelled:
        return LogLevel::Warning;
    case DoorEventKind::Superseded:
        return LogLevel::Error;
    default:
        return LogLevel::Info;
    }
}

class TargetProcess
{
public:
    TargetProcess(const Settings &settings, const TargetAddress &address, StopSignal &stop)
        : settings_(settings), stop_(stop), ring_(inputCapacity),
          platform_(settings.platform_, deliverTo<PlatformEvent>(ring_)),
          engine_({.address_ = address, .engine_ = settings.target_.engine_},
                  deliverTo<EngineEvent>(ring_))
    { }

    int run();

private:
    // Start.
    std::uint64_t startNumber();
    void storeStartNumber(StartEvidence &evidence);
    std::optional<KvOutcome> callKv(KvOperation operation);
    template <class Wanted, class Match>
    std::optional<Wanted> await(Time until, const Match &match);
    bool startLink(std::uint64_t number);

    // The loop.
    void loop();
    void takeEarly(Time now);
    void submitHeld();
    bool finished(Time now);
    void take(ProcessInput &&input, Time now);
    void takeLink(LinkEvent &&event, Time now);
    void takeEnvelope(Envelope &&envelope, Time now);
    void takePlatform(PlatformEvent &&event, Time now);
    void adoptRules(const StoredRules &rules, Time now);
    void confirmRules(Time now);
    void performFleet(TargetFleetActions &&actions, Time now);
    void decide(DoorInput input, Time now);

    // Actions.
    void perform(DoorAction &&action, Time now);
    void performCommand(EngineCommand &&command);
    void refuseCommand(const EngineCommand &command);
    void performEvent(const DoorEvent &event);
    void performSpan(const DoorSpan &span);
    void sendHeartbeats(Time now);
    void sendStrikes(Time now);
    Heartbeat heartbeat(Time now) const;

    const Settings &settings_;
    StopSignal &stop_;
    InputRing ring_;
    PlatformService platform_;
    EngineClient engine_;
    std::unique_ptr<LinkService> link_;
    StatusBoard board_;
    Door door_;
    TargetFleet fleet_;
    std::uint64_t nextTag_ = 1;
    /// Inputs that came while the start waited for others, or that stand for refused commands.
    std::deque<ProcessInput> early_;
    /// Cancels that the engine's ring had no room for; one a run at most.
    std::deque<CancelRun> heldCancels_;
    /// When the door last learned that its rules still stand.
    Time rulesConfirmedAt_;
    std::unordered_map<AttemptId, TraceContext> runContexts_;
    Time nextHeartbeat_;
    Time nextStrikes_;
    bool announce_ = false;
    std::optional<Time> stopAt_;
    bool cutOff_ = false;
};

// ---- Start

template <class Wanted, class Match>
std::optional<Wanted> TargetProcess::await(Time until, const Match &match)
{
    for (Time now = monotonicNow(); now < until && !stop_.forced(); now = monotonicNow()) {
        std::optional<ProcessInput> input = ring_.pop(std::min<Duration>(until - now, inputWait));
        if (!input)
            continue;
        if (std::optional<Wanted> wanted = match(*input))
            return wanted;
        early_.push_back(std::move(*input));
    }
    return std::nullopt;
}

std::optional<KvOutcome> TargetProcess::callKv(KvOperation operation)
{
    const std::uint64_t tag = nextTag_++;
    operation.tag_ = tag;
    if (!platform_.submit(std::move(operation)))
        return std::nullopt;
    const auto match = [tag](const ProcessInput &input) -> std::optional<KvOutcome> {
        const auto *event = std::get_if<PlatformEvent>(&input);
        const auto *outcome = event ? std::get_if<KvOutcome>(event) : nullptr;
        if (!outcome || outcome->tag_ != tag)
            return std::nullopt;
        return *outcome;
    };
    // The service gives up by itself after its own time.
    const Duration patience = settings_.platform_.callTimeout_ + std::chrono::seconds(1);
    return await<KvOutcome>(monotonicNow() + patience, match);
}

/// Chooses the number and stores it. Where the service is away, or another start gets in between
/// too often, the number stands without.
void TargetProcess::storeStartNumber(StartEvidence &evidence)
{
    const std::string key = "fence/" + settings_.vm_.vm_.text_;
    for (int attempt = 0; attempt < storeTries; ++attempt) {
        const std::optional<KvOutcome> read = callKv({.reads_ = {{.key_ = key}}});
        if (!read || read->status_ != KvStatus::Succeeded)
            return;
        std::int64_t modRevision = 0;
        for (const KvPair &pair : read->reads_) {
            modRevision = pair.modRevision_;
            evidence.storedNumber_ = parseStartNumber(pair.value_);
        }
        const std::string number = std::to_string(chooseStartNumber(evidence));
        const std::optional<KvOutcome> written =
            callKv({.conditions_ = {{.key_ = key, .modRevision_ = modRevision}},
                    .writes_ = {{.key_ = key, .value_ = number}}});
        if (!written || written->status_ != KvStatus::ConditionFailed)
            return;
    }
}

std::uint64_t TargetProcess::startNumber()
{
    StartEvidence evidence{.wallMillis_ = wallMillis()};
    if (settings_.target_.engine_ && engine_.submit(ReadEngineState{startRead})) {
        const auto match = [](const ProcessInput &input) -> std::optional<EngineEvent> {
            const auto *event = std::get_if<EngineEvent>(&input);
            return event ? std::optional<EngineEvent>(*event) : std::nullopt;
        };
        const auto event = await<EngineEvent>(monotonicNow() + engineWait, match);
        const auto *read = event ? std::get_if<EngineStateRead>(&*event) : nullptr;
        if (read)
            evidence.engineNumber_ = read->state_.fencingNumber_.value_;
    }
    storeStartNumber(evidence);
    return chooseStartNumber(evidence);
}

bool TargetProcess::startLink(std::uint64_t number)
{
    const LinkIdentity identity{settings_.vm_.vm_, Incarnation{number}};
    link_ = std::make_unique<LinkService>(settings_.link_, identity, deliverTo<LinkEvent>(ring_));
    const Result<Done, LinkError> started = link_->start();
    if (ok(started))
        return true;
    logEvent(LogLevel::Error, "link_not_started",
             {{"address", settings_.link_.listen_}, {"message", errorOf(started).message_}});
    return false;
}

int TargetProcess::run()
{
    // Whether this process watches the rules is decided once it knows its peers.
    platform_.setWatching(false);
    platform_.start();
    engine_.start();
    const std::uint64_t number = startNumber();
    if (!startLink(number)) {
        platform_.stop();
        engine_.stop();
        return ExitAddress;
    }
    fleet_ = makeTargetFleet(settings_, Incarnation{number}, monotonicNow());
    door_ = makeDoor(doorPolicy(settings_.target_, settings_.rules_), Incarnation{number},
                     FencingNumber{number}, monotonicNow());
    logEvent(LogLevel::Info, "target_started", {{"incarnation", std::to_string(number)}});
    ObserveServer observe(settings_.observe_.listen_, board_);
    if (const auto observing = observe.start(); !ok(observing)) {
        logEvent(
            LogLevel::Error, "observe_not_started",
            {{"address", settings_.observe_.listen_}, {"message", errorOf(observing).message_}});
    }
    TimerService timers;
    timers.subscribe(tickPeriod, [this](Time) { ring_.tryPush(TickInput{}); });
    loop();
    timers.stop();
    observe.stop();
    platform_.stop();
    engine_.stop();
    link_->stop();
    logEvent(LogLevel::Info, "target_stopped", {{"cut_off", cutOff_ ? "true" : "false"}});
    return cutOff_ ? ExitForced : ExitStopped;
}

// ---- The loop

void TargetProcess::takeEarly(Time now)
{
    while (!early_.empty()) {
        ProcessInput input = std::move(early_.front());
        early_.pop_front();
        take(std::move(input), now);
    }
}

void TargetProcess::submitHeld()
{
    while (!heldCancels_.empty() && engine_.submit(heldCancels_.front()))
        heldCancels_.pop_front();
}

bool TargetProcess::finished(Time now)
{
    if (stop_.requested() && !stopAt_) {
        stopAt_ = now + settings_.stop_.graceful_;
        decide(Leave{}, now);
    }
    if (drained(door_))
        return true;
    cutOff_ = stop_.forced() || (stopAt_ && now >= *stopAt_);
    return cutOff_;
}

void TargetProcess::loop()
{
    for (Time now = monotonicNow(); !finished(now); now = monotonicNow()) {
        takeEarly(now);
        submitHeld();
        std::optional<ProcessInput> input = ring_.pop(inputWait);
        now = monotonicNow();
        if (input)
            take(std::move(*input), now);
        TargetFleetActions actions;
        tickTargetFleet(fleet_, now, actions);
        performFleet(std::move(actions), now);
        if (now >= nextStrikes_)
            sendStrikes(now);
        if (announce_ || now >= nextHeartbeat_)
            sendHeartbeats(now);
    }
    sendHeartbeats(monotonicNow());
}

void TargetProcess::take(ProcessInput &&input, Time now)
{
    if (auto *link = std::get_if<LinkEvent>(&input))
        takeLink(std::move(*link), now);
    else if (auto *platform = std::get_if<PlatformEvent>(&input))
        takePlatform(std::move(*platform), now);
    else if (auto *engine = std::get_if<EngineEvent>(&input))
        decide(std::move(*engine), now);
    else
        decide(TimePassed{}, now);
}

void TargetProcess::takeLink(LinkEvent &&event, Time now)
{
    if (auto *envelope = std::get_if<Envelope>(&event))
        takeEnvelope(std::move(*envelope), now);
    else if (const auto *changed = std::get_if<LinkChanged>(&event))
        takeLinkChange(fleet_.fleet_, changed->address_, changed->up_);
    else
        countMetric("eelgrasscove_target_messages_unsent_total");
}

void TargetProcess::takeEnvelope(Envelope &&envelope, Time now)
{
    TargetFleetActions actions;
    const bool reportAsked = std::holds_alternative<FullReportRequest>(envelope.message_);
    if (reportAsked)
        answerFullReportRequest(fleet_, envelope, heartbeat(now), actions);
    const bool taken = reportAsked || takeFleetMessage(fleet_, envelope, now, actions);
    performFleet(std::move(actions), now);
    if (!taken)
        decide(MessageReceived{envelope.replyAddress_, std::move(envelope.message_)}, now);
}

void TargetProcess::takePlatform(PlatformEvent &&event, Time now)
{
    TargetFleetActions actions;
    if (const auto *list = std::get_if<VmList>(&event))
        takeFleetVmList(fleet_, *list, now, actions);
    else if (const auto *rules = std::get_if<StoredRules>(&event))
        takeFleetRules(fleet_, *rules, now, actions);
    else if (const auto *reachable = std::get_if<PlatformReachable>(&event))
        takePlatformReachable(fleet_.spread_, reachable->reachable_, now);
    performFleet(std::move(actions), now);
}

void TargetProcess::performFleet(TargetFleetActions &&actions, Time now)
{
    for (TargetFleetAction &action : actions) {
        if (auto *message = std::get_if<AddressedMessage>(&action))
            link_->send(message->address_, std::move(message->message_));
        else if (const auto *adopt = std::get_if<AdoptRules>(&action))
            adoptRules(adopt->rules_, now);
        else if (const auto *watch = std::get_if<WatchPlatformRules>(&action))
            platform_.setWatching(watch->on_);
        else if (const auto *stretch = std::get_if<StretchVmList>(&action))
            platform_.setVmListPeriod(
                std::max(stretch->period_, settings_.platform_.vmListPeriod_));
        else
            platform_.readRules();
    }
    confirmRules(now);
}

void TargetProcess::adoptRules(const StoredRules &rules, Time now)
{
    Result<Rules, std::vector<RuleError>> parsed =
        parseRules(rules.text_, "rules", rules.revision_);
    if (!ok(parsed)) {
        logEvent(LogLevel::Error, "rules_unreadable",
                 {{"revision", std::to_string(rules.revision_.value_)},
                  {"errors", describeRuleErrors(errorOf(parsed))}});
        return;
    }
    decide(RulesReceived{std::move(valueOf(parsed))}, now);
    announce_ = true;
}

/// The rules held still stand as long as the platform or any peer is heard.
void TargetProcess::confirmRules(Time now)
{
    const Time heard = fleet_.spread_.lastSource_;
    if (heard - rulesConfirmedAt_ < rulesConfirmPeriod)
        return;
    rulesConfirmedAt_ = heard;
    decide(RulesConfirmed{}, now);
}

void TargetProcess::decide(DoorInput input, Time now)
{
    for (DoorAction &action : step(door_, std::move(input), now))
        perform(std::move(action), now);
}

// ---- Actions

void TargetProcess::perform(DoorAction &&action, Time now)
{
    if (auto *message = std::get_if<MessageToSend>(&action)) {
        // What isn't sent shows as a gap, and the entry asks.
        if (!link_->send(message->address_, std::move(message->message_)))
            countMetric("eelgrasscove_target_messages_unsent_total");
    } else if (auto *command = std::get_if<EngineCommand>(&action)) {
        performCommand(std::move(*command));
    } else if (std::holds_alternative<Announce>(action)) {
        announce_ = true;
    } else if (std::holds_alternative<AnnounceStrikes>(action)) {
        // Ahead of the messages that follow.
        sendStrikes(now);
    } else if (const auto *event = std::get_if<DoorEvent>(&action)) {
        performEvent(*event);
    } else {
        performSpan(std::get<DoorSpan>(action));
    }
}

void TargetProcess::performCommand(EngineCommand &&command)
{
    if (auto *start = std::get_if<StartRun>(&command)) {
        const TraceContext context = childOf(parseTraceparent(start->traceparent_));
        start->traceparent_ = formatTraceparent(context);
        runContexts_[start->attempt_] = context;
    }
    if (!engine_.submit(command))
        refuseCommand(command);
}

/// A full ring: the command was not sent, which the door learns at once.
void TargetProcess::refuseCommand(const EngineCommand &command)
{
    countMetric("eelgrasscove_target_commands_refused_total");
    if (const auto *start = std::get_if<StartRun>(&command))
        early_.emplace_back(EngineEvent(RunFailed{start->attempt_, false}));
    else if (const auto *read = std::get_if<ReadEngineState>(&command))
        early_.emplace_back(EngineEvent(EngineUnreachable{read->read_}));
    else if (const auto *order = std::get_if<AdapterOrder>(&command))
        early_.emplace_back(EngineEvent(
            OrderEnded{order->order_, order->kind_, order->adapter_, OrderOutcome::Unknown}));
    else
        heldCancels_.push_back(std::get<CancelRun>(command));
}

void TargetProcess::performEvent(const DoorEvent &event)
{
    if (event.kind_ == DoorEventKind::AttemptRefused)
        runContexts_.erase(event.attempt_);
    const std::string_view name = nameOf(doorEventNames, event.kind_);
    const std::string label = "event=\"" + std::string(name) + "\"";
    countMetric("eelgrasscove_target_events_total", label);
    const std::string adapter =
        event.adapter_.empty() ? std::string() : engineModelName(event.adapter_);
    logEvent(levelOf(event.kind_), name,
             {{"attempt", event.attempt_.text_},
              {"request", event.request_.text_},
              {"adapter", adapter},
              {"reason", std::string(nameOf(reasonNames, event.reason_))},
              {"number", std::to_string(event.number_)}});
}

void TargetProcess::performSpan(const DoorSpan &span)
{
    const std::string_view name = nameOf(doorSpanNames, span.kind_);
    observeDuration("eelgrasscove_target_seconds", "hop=\"" + std::string(name) + "\"",
                    span.end_ - span.start_);
    const TraceContext parent = parseTraceparent(span.traceparent_);
    TraceContext context;
    const auto run = runContexts_.find(span.attempt_);
    if (span.kind_ == DoorSpanKind::Target && run != runContexts_.end()) {
        context = run->second;
        runContexts_.erase(run);
    } else {
        context = childOf(parent);
    }
    emitSpan(
        {.name_ = name,
         .context_ = context,
         .parentSpanId_ = parent.spanId_,
         .start_ = span.start_,
         .end_ = span.end_,
         .attributes_ = {
             {"attempt", span.attempt_.text_},
             {"adapter", span.adapter_.empty() ? std::string() : engineModelName(span.adapter_)}}});
}

Heartbeat TargetProcess::heartbeat(Time now) const
{
    Heartbeat report = loadReport(door_, now);
    report.dataCentre_ = settings_.vm_.dataCentre_;
    return report;
}

void TargetProcess::sendHeartbeats(Time now)
{
    announce_ = false;
    nextHeartbeat_ = now + settings_.link_.heartbeatPeriod_;
    const Heartbeat report = heartbeat(now);
    TargetFleetActions actions;
    tellLoad(fleet_, report, now, actions);
    performFleet(std::move(actions), now);
    board_.setReady(report.engineUp_ && !report.leaving_ && report.rulesRevision_.value_ > 0);
    board_.setStatus(doorStatusJson(door_, settings_.vm_, now));
}

void TargetProcess::sendStrikes(Time now)
{
    nextStrikes_ = now + strikePeriod;
    const Heartbeat report = heartbeat(now);
    if (report.strikes_.empty())
        return;
    TargetFleetActions actions;
    tellStrikes(fleet_, report, actions);
    performFleet(std::move(actions), now);
}

} // namespace

int runTargetProcess(const Settings &settings, StopSignal &stop)
{
    const Result<TargetAddress, EngineError> address = parseTargetUrl(settings.target_.url_);
    if (!ok(address)) {
        logEvent(LogLevel::Error, "target_url_unreadable",
                 {{"message", errorOf(address).message_}});
        return ExitUsage;
    }
    return TargetProcess(settings, valueOf(address), stop).run();
}

} // namespace eelgrasscove
