#include "Target/targetprocess.h"

#include "Contract/rulefile.h"
#include "Link/linkservice.h"
#include "Observe/log.h"
#include "Observe/metrics.h"
#include "Observe/observeserver.h"
#include "Observe/statusboard.h"
#include "Observe/trace.h"
#include "Platform/platformservice.h"
#include "Target/engineclient.h"
#include "Target/scheduler.h"
#include "Target/schedulerstatus.h"
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

/// Maximum number of inputs queued for the main loop.
constexpr std::size_t inputCapacity = 8192;
constexpr Duration tickPeriod = std::chrono::milliseconds(10);
constexpr Duration maxInputWait = std::chrono::milliseconds(50);
/// Maximum number of attempts to store the start number; the process then starts without storing
/// it.
constexpr int maxStoreAttempts = 3;
/// Maximum time that the start waits for the engine's state.
constexpr Duration engineStateTimeout = std::chrono::milliseconds(1500);
/// Crash counts are sent again at this interval, for peer targets that have started since.
constexpr Duration crashCountPeriod = std::chrono::seconds(5);
/// Minimum time between confirmations to the scheduler that its rules are still current.
constexpr Duration rulesConfirmPeriod = std::chrono::seconds(1);
/// Number of the engine state reading at start; the scheduler's own readings have higher ones.
constexpr std::uint64_t startupReadNumber = 0;

struct TickInput
{
};

using ProcessInput = std::variant<LinkEvent, PlatformEvent, EngineEvent, TickInput>;
using InputRing = BoundedRing<ProcessInput>;

std::uint64_t wallClockMs()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

/// Returns a function that pushes events of one type to the ring; it returns false if the ring is
/// full or closed.
template <class Event>
auto deliverTo(InputRing &ring)
{
    return [&ring](Event &&event) {
        ProcessInput input(std::move(event));
        if (ring.tryPush(std::move(input)))
            return true;
        // A ring that refuses an item leaves it unchanged. NOLINTNEXTLINE(bugprone-use-after-move)
        event = std::move(std::get<Event>(input));
        return false;
    };
}

LogLevel logLevelOf(SchedulerEventKind kind)
{
    switch (kind) {
    case SchedulerEventKind::AttemptAccepted:
    case SchedulerEventKind::AttemptStarted:
    case SchedulerEventKind::AttemptEnded:
        return LogLevel::Debug;
    case SchedulerEventKind::EngineDown:
    case SchedulerEventKind::EngineCrashed:
    case SchedulerEventKind::AdapterLoadFailed:
    case SchedulerEventKind::ForeignRunCancelled:
        return LogLevel::Warning;
    case SchedulerEventKind::Superseded:
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
          engine_({.address_ = address, .isModelEngine_ = settings.target_.engine_},
                  deliverTo<EngineEvent>(ring_))
    { }

    int run();

private:
    // Startup.
    std::uint64_t determineStartNumber();
    void storeStartNumber(StartNumberInputs &inputs);
    std::optional<KvOutcome> callKv(KvOperation operation);
    /// Waits for an input that match() accepts, and defers the others to the main loop.
    template <class Value, class Match>
    std::optional<Value> awaitInput(Time until, const Match &match);
    bool startLink(std::uint64_t number);

    // Main loop.
    void runLoop();
    void handlePendingInputs(Time now);
    void submitPendingCancels();
    /// Starts to drain if a stop is requested. Returns whether the loop has to end: drained, forced
    /// to stop, or the graceful period is over.
    bool updateStopState(Time now);
    void handleInput(ProcessInput &&input, Time now);
    void handleLinkEvent(LinkEvent &&event, Time now);
    void handleEnvelope(Envelope &&envelope, Time now);
    void handlePlatformEvent(PlatformEvent &&event, Time now);
    void adoptRules(const StoredRules &rules, Time now);
    void confirmRules(Time now);
    void performFleetActions(TargetFleetActions &&actions, Time now);
    void runScheduler(SchedulerInput input, Time now);

    // Actions.
    void performAction(SchedulerAction &&action, Time now);
    void submitCommand(EngineCommand &&command);
    void handleRefusedCommand(const EngineCommand &command);
    void recordEvent(const SchedulerEvent &event);
    void recordSpan(const SchedulerSpan &span);
    void sendHeartbeats(Time now);
    void sendCrashCounts(Time now);
    Heartbeat heartbeat(Time now) const;

    const Settings &settings_;
    StopSignal &stop_;
    InputRing ring_;
    PlatformService platform_;
    EngineClient engine_;
    std::unique_ptr<LinkService> link_;
    StatusBoard board_;
    TargetScheduler scheduler_;
    TargetFleet fleet_;
    std::uint64_t nextTag_ = 1;
    /// Inputs handled before those of the ring: received while the start waited for others, or
    /// failure events of commands that the engine client refused.
    std::deque<ProcessInput> pendingInputs_;
    /// Cancellations to submit again, because the engine client's queue was full; at most one per
    /// run.
    std::deque<CancelRun> pendingCancels_;
    /// Last contact with a source of rules that was confirmed to the scheduler.
    Time rulesConfirmedAt_;
    std::unordered_map<AttemptId, TraceContext> runContexts_;
    Time nextHeartbeatAt_;
    Time nextCrashCountsAt_;
    bool isHeartbeatDue_ = false;
    /// End of the graceful period; unset until a stop is requested.
    std::optional<Time> stopDeadline_;
    bool isCutOff_ = false;
};

// ---- Startup

template <class Value, class Match>
std::optional<Value> TargetProcess::awaitInput(Time until, const Match &match)
{
    for (Time now = monotonicNow(); now < until && !stop_.forced(); now = monotonicNow()) {
        std::optional<ProcessInput> input =
            ring_.pop(std::min<Duration>(until - now, maxInputWait));
        if (!input)
            continue;
        if (std::optional<Value> found = match(*input))
            return found;
        pendingInputs_.push_back(std::move(*input));
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
    // Longer than the platform service's own timeout, so that its outcome is received.
    const Duration timeout = settings_.platform_.callTimeout_ + std::chrono::seconds(1);
    return awaitInput<KvOutcome>(monotonicNow() + timeout, match);
}

/// Chooses the start number and stores it. If the key-value service can't be reached, or concurrent
/// starts change the stored number on every attempt, the number is used although it may not be
/// stored.
void TargetProcess::storeStartNumber(StartNumberInputs &inputs)
{
    const std::string key = "fence/" + settings_.vm_.vm_.text_;
    for (int attempt = 0; attempt < maxStoreAttempts; ++attempt) {
        const std::optional<KvOutcome> read = callKv({.reads_ = {{.key_ = key}}});
        if (!read || read->status_ != KvStatus::Succeeded)
            return;
        std::int64_t modRevision = 0;
        for (const KvPair &pair : read->reads_) {
            modRevision = pair.modRevision_;
            inputs.storedNumber_ = parseStartNumber(pair.value_);
        }
        const std::string number = std::to_string(chooseStartNumber(inputs));
        const std::optional<KvOutcome> written =
            callKv({.conditions_ = {{.key_ = key, .modRevision_ = modRevision}},
                    .writes_ = {{.key_ = key, .value_ = number}}});
        if (!written || written->status_ != KvStatus::ConditionFailed)
            return;
    }
}

std::uint64_t TargetProcess::determineStartNumber()
{
    StartNumberInputs inputs{.wallClockMs_ = wallClockMs()};
    if (settings_.target_.engine_ && engine_.submit(ReadEngineState{startupReadNumber})) {
        const auto match = [](const ProcessInput &input) -> std::optional<EngineEvent> {
            const auto *event = std::get_if<EngineEvent>(&input);
            return event ? std::optional<EngineEvent>(*event) : std::nullopt;
        };
        const auto event = awaitInput<EngineEvent>(monotonicNow() + engineStateTimeout, match);
        const auto *read = event ? std::get_if<EngineStateReceived>(&*event) : nullptr;
        if (read)
            inputs.engineFencingNumber_ = read->state_.fencingNumber_.value_;
    }
    storeStartNumber(inputs);
    return chooseStartNumber(inputs);
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
    // Whether this process watches the platform's rules is decided once its peers are known.
    platform_.setWatching(false);
    platform_.start();
    engine_.start();
    const std::uint64_t number = determineStartNumber();
    if (!startLink(number)) {
        platform_.stop();
        engine_.stop();
        return ExitAddress;
    }
    fleet_ = makeTargetFleet(settings_, Incarnation{number}, monotonicNow());
    scheduler_ = makeScheduler(schedulerPolicy(settings_.target_, settings_.rules_),
                               Incarnation{number}, FencingNumber{number}, monotonicNow());
    logEvent(LogLevel::Info, "target_started", {{"incarnation", std::to_string(number)}});
    ObserveServer observe(settings_.observe_.listen_, board_);
    if (const auto observing = observe.start(); !ok(observing)) {
        logEvent(
            LogLevel::Error, "observe_not_started",
            {{"address", settings_.observe_.listen_}, {"message", errorOf(observing).message_}});
    }
    TimerService timers;
    timers.subscribe(tickPeriod, [this](Time) { ring_.tryPush(TickInput{}); });
    runLoop();
    timers.stop();
    observe.stop();
    platform_.stop();
    engine_.stop();
    link_->stop();
    logEvent(LogLevel::Info, "target_stopped", {{"cut_off", isCutOff_ ? "true" : "false"}});
    return isCutOff_ ? ExitForced : ExitStopped;
}

// ---- Main loop

void TargetProcess::handlePendingInputs(Time now)
{
    while (!pendingInputs_.empty()) {
        ProcessInput input = std::move(pendingInputs_.front());
        pendingInputs_.pop_front();
        handleInput(std::move(input), now);
    }
}

void TargetProcess::submitPendingCancels()
{
    while (!pendingCancels_.empty() && engine_.submit(pendingCancels_.front()))
        pendingCancels_.pop_front();
}

bool TargetProcess::updateStopState(Time now)
{
    if (stop_.requested() && !stopDeadline_) {
        stopDeadline_ = now + settings_.stop_.graceful_;
        runScheduler(Drain{}, now);
    }
    if (isDrained(scheduler_))
        return true;
    isCutOff_ = stop_.forced() || (stopDeadline_ && now >= *stopDeadline_);
    return isCutOff_;
}

void TargetProcess::runLoop()
{
    for (Time now = monotonicNow(); !updateStopState(now); now = monotonicNow()) {
        handlePendingInputs(now);
        submitPendingCancels();
        std::optional<ProcessInput> input = ring_.pop(maxInputWait);
        now = monotonicNow();
        if (input)
            handleInput(std::move(*input), now);
        TargetFleetActions actions;
        tickTargetFleet(fleet_, now, actions);
        performFleetActions(std::move(actions), now);
        if (now >= nextCrashCountsAt_)
            sendCrashCounts(now);
        if (isHeartbeatDue_ || now >= nextHeartbeatAt_)
            sendHeartbeats(now);
    }
    sendHeartbeats(monotonicNow());
}

void TargetProcess::handleInput(ProcessInput &&input, Time now)
{
    if (auto *link = std::get_if<LinkEvent>(&input))
        handleLinkEvent(std::move(*link), now);
    else if (auto *platform = std::get_if<PlatformEvent>(&input))
        handlePlatformEvent(std::move(*platform), now);
    else if (auto *engine = std::get_if<EngineEvent>(&input))
        runScheduler(std::move(*engine), now);
    else
        runScheduler(TimePassed{}, now);
}

void TargetProcess::handleLinkEvent(LinkEvent &&event, Time now)
{
    if (auto *envelope = std::get_if<Envelope>(&event))
        handleEnvelope(std::move(*envelope), now);
    else if (const auto *changed = std::get_if<LinkChanged>(&event))
        applyLinkChange(fleet_.fleet_, changed->address_, changed->up_);
    else
        countMetric("eelgrasscove_target_messages_unsent_total");
}

void TargetProcess::handleEnvelope(Envelope &&envelope, Time now)
{
    TargetFleetActions actions;
    const bool isReportRequest = std::holds_alternative<FullReportRequest>(envelope.message_);
    if (isReportRequest)
        sendRequestedFullReport(fleet_, envelope, heartbeat(now), actions);
    const bool isHandled = isReportRequest || handleFleetMessage(fleet_, envelope, now, actions);
    performFleetActions(std::move(actions), now);
    if (!isHandled)
        runScheduler(MessageReceived{envelope.replyAddress_, std::move(envelope.message_)}, now);
}

void TargetProcess::handlePlatformEvent(PlatformEvent &&event, Time now)
{
    TargetFleetActions actions;
    if (const auto *list = std::get_if<VmList>(&event))
        applyFleetVmList(fleet_, *list, now, actions);
    else if (const auto *rules = std::get_if<StoredRules>(&event))
        applyFleetRules(fleet_, *rules, now, actions);
    else if (const auto *reachable = std::get_if<PlatformReachable>(&event))
        recordPlatformReachable(fleet_.ruleDistribution_, reachable->reachable_, now);
    performFleetActions(std::move(actions), now);
}

void TargetProcess::performFleetActions(TargetFleetActions &&actions, Time now)
{
    for (TargetFleetAction &action : actions) {
        if (auto *message = std::get_if<AddressedMessage>(&action))
            link_->send(message->address_, std::move(message->message_));
        else if (const auto *adopt = std::get_if<AdoptRules>(&action))
            adoptRules(adopt->rules_, now);
        else if (const auto *watch = std::get_if<WatchPlatformRules>(&action))
            platform_.setWatching(watch->on_);
        else if (const auto *stretch = std::get_if<SetVmListPeriod>(&action))
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
    runScheduler(RulesReceived{std::move(valueOf(parsed))}, now);
    isHeartbeatDue_ = true;
}

/// Reports to the scheduler that its rules are still current, if the platform or a peer was in
/// contact since the last report.
void TargetProcess::confirmRules(Time now)
{
    const Time lastContact = fleet_.ruleDistribution_.lastSourceContactAt_;
    if (lastContact - rulesConfirmedAt_ < rulesConfirmPeriod)
        return;
    rulesConfirmedAt_ = lastContact;
    runScheduler(RulesConfirmed{}, now);
}

void TargetProcess::runScheduler(SchedulerInput input, Time now)
{
    for (SchedulerAction &action : step(scheduler_, std::move(input), now))
        performAction(std::move(action), now);
}

// ---- Actions

void TargetProcess::performAction(SchedulerAction &&action, Time now)
{
    if (auto *message = std::get_if<MessageToSend>(&action)) {
        // The entry detects the gap that an unsent message leaves, and requests the missing part.
        if (!link_->send(message->address_, std::move(message->message_)))
            countMetric("eelgrasscove_target_messages_unsent_total");
    } else if (auto *command = std::get_if<EngineCommand>(&action)) {
        submitCommand(std::move(*command));
    } else if (std::holds_alternative<SendHeartbeat>(action)) {
        isHeartbeatDue_ = true;
    } else if (std::holds_alternative<SendCrashCounts>(action)) {
        // Must be sent before the messages of the following actions.
        sendCrashCounts(now);
    } else if (const auto *event = std::get_if<SchedulerEvent>(&action)) {
        recordEvent(*event);
    } else {
        recordSpan(std::get<SchedulerSpan>(action));
    }
}

void TargetProcess::submitCommand(EngineCommand &&command)
{
    if (auto *start = std::get_if<StartRun>(&command)) {
        const TraceContext context = childOf(parseTraceparent(start->traceparent_));
        start->traceparent_ = formatTraceparent(context);
        runContexts_[start->attempt_] = context;
    }
    if (!engine_.submit(command))
        handleRefusedCommand(command);
}

/// Handles a command that was not sent because the engine client's queue was full: the scheduler
/// gets the failure event as the next input; a cancellation is submitted again instead.
void TargetProcess::handleRefusedCommand(const EngineCommand &command)
{
    countMetric("eelgrasscove_target_commands_refused_total");
    if (const auto *start = std::get_if<StartRun>(&command))
        pendingInputs_.emplace_back(EngineEvent(RunFailed{start->attempt_, false}));
    else if (const auto *read = std::get_if<ReadEngineState>(&command))
        pendingInputs_.emplace_back(EngineEvent(EngineUnreachable{read->readNumber_}));
    else if (const auto *order = std::get_if<AdapterOrder>(&command))
        pendingInputs_.emplace_back(EngineEvent(
            OrderEnded{order->orderNumber_, order->kind_, order->adapter_, OrderOutcome::Unknown}));
    else
        pendingCancels_.push_back(std::get<CancelRun>(command));
}

void TargetProcess::recordEvent(const SchedulerEvent &event)
{
    if (event.kind_ == SchedulerEventKind::AttemptRefused)
        runContexts_.erase(event.attempt_);
    const std::string_view name = nameOf(schedulerEventNames, event.kind_);
    const std::string label = "event=\"" + std::string(name) + "\"";
    countMetric("eelgrasscove_target_events_total", label);
    const std::string adapter =
        event.adapter_.empty() ? std::string() : engineModelName(event.adapter_);
    logEvent(logLevelOf(event.kind_), name,
             {{"attempt", event.attempt_.text_},
              {"request", event.request_.text_},
              {"adapter", adapter},
              {"reason", std::string(nameOf(reasonNames, event.reason_))},
              {"number", std::to_string(event.number_)}});
}

void TargetProcess::recordSpan(const SchedulerSpan &span)
{
    const std::string_view name = nameOf(schedulerSpanNames, span.kind_);
    observeDuration("eelgrasscove_target_seconds", "hop=\"" + std::string(name) + "\"",
                    span.end_ - span.start_);
    const TraceContext parent = parseTraceparent(span.traceparent_);
    TraceContext context;
    const auto run = runContexts_.find(span.attempt_);
    if (span.kind_ == SchedulerSpanKind::Target && run != runContexts_.end()) {
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
    Heartbeat report = loadReport(scheduler_, now);
    report.dataCentre_ = settings_.vm_.dataCentre_;
    return report;
}

void TargetProcess::sendHeartbeats(Time now)
{
    isHeartbeatDue_ = false;
    nextHeartbeatAt_ = now + settings_.link_.heartbeatPeriod_;
    const Heartbeat report = heartbeat(now);
    TargetFleetActions actions;
    sendLoad(fleet_, report, now, actions);
    performFleetActions(std::move(actions), now);
    board_.setReady(report.engineUp_ && !report.leaving_ && report.rulesRevision_.value_ > 0);
    board_.setStatus(schedulerStatusJson(scheduler_, settings_.vm_, now));
}

void TargetProcess::sendCrashCounts(Time now)
{
    nextCrashCountsAt_ = now + crashCountPeriod;
    const Heartbeat report = heartbeat(now);
    if (report.strikes_.empty())
        return;
    TargetFleetActions actions;
    sendCrashCountsToPeers(fleet_, report, actions);
    performFleetActions(std::move(actions), now);
}

} // namespace

int runTargetProcess(const Settings &settings, StopSignal &stop)
{
    const Result<TargetAddress, TargetUrlError> address = parseTargetUrl(settings.target_.url_);
    if (!ok(address)) {
        logEvent(LogLevel::Error, "target_url_unreadable",
                 {{"message", errorOf(address).message_}});
        return ExitUsage;
    }
    return TargetProcess(settings, valueOf(address), stop).run();
}

} // namespace eelgrasscove
