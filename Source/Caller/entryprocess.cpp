#include "Caller/entryprocess.h"

#include "Caller/callerserver.h"
#include "Caller/entry.h"
#include "Link/linkservice.h"
#include "Observe/log.h"
#include "Observe/metrics.h"
#include "Observe/observeserver.h"
#include "Observe/statusboard.h"
#include "Platform/platformservice.h"
#include "Vm/boundedring.h"
#include "Vm/exitcode.h"
#include "Vm/timerservice.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <deque>
#include <fmt/core.h>
#include <optional>
#include <thread>
#include <type_traits>
#include <variant>

namespace eelgrasscove {

namespace {

constexpr std::size_t inputRingInputs = 16384;
constexpr Duration inputWait = std::chrono::milliseconds(100);
constexpr Duration tickPeriod = std::chrono::milliseconds(20);
/// Time that a leaving entry waits for the platform to take its shares back.
constexpr Duration shareReturnTime = std::chrono::seconds(3);
constexpr Duration statusPeriod = std::chrono::milliseconds(250);

/// Greater for every restart of the process, and so are the ids built on it unique.
Incarnation startIncarnation()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
    return {static_cast<std::uint64_t>(millis)};
}

EntryPolicy policyFrom(const Settings &settings)
{
    EntryPolicy policy;
    policy.requestTimeout_ = settings.callers_.requestTimeout_;
    policy.requests_ = settings.callers_.requests_;
    policy.rulesStaleAfter_ = settings.rules_.staleAfter_;
    policy.strikes_ = settings.target_.strikes_;
    policy.strikeMemory_ = settings.target_.strikeMemory_;
    return policy;
}

class EntryProcess
{
public:
    EntryProcess(const Settings &settings, StopSignal &stop)
        : settings_(settings), stop_(stop),
          entry_(makeEntry(settings.vm_, startIncarnation(), policyFrom(settings), monotonicNow())),
          observe_(settings.observe_.listen_, board_),
          callers_(settings.callers_, settings.keys_, board_,
                   [this](CallerEvent &&event) { return push(std::move(event)); }),
          links_(settings.link_, entry_.identity_,
                 [this](LinkEvent &&event) { return push(std::move(event)); }),
          platform_(settings.platform_,
                    [this](PlatformEvent &&event) { return push(std::move(event)); })
    { }

    int run()
    {
        if (const int code = start(); code != ExitStopped)
            return code;
        decide();
        const bool forced = !idle(entry_);
        callers_.stop();
        timer_.stop();
        platform_.stop();
        links_.stop();
        logEvent(LogLevel::Info, "stopped", {{"forced", forced ? "true" : "false"}});
        return forced ? ExitForced : ExitStopped;
    }

private:
    int start()
    {
        const Result<Done, LinkError> linked = links_.start();
        if (!ok(linked)) {
            logEvent(LogLevel::Error, "start_failed", {{"error", errorOf(linked).message_}});
            return ExitAddress;
        }
        const Result<Done, CallerServerError> serving = callers_.start();
        if (!ok(serving)) {
            logEvent(LogLevel::Error, "start_failed", {{"error", errorOf(serving).message_}});
            return ExitAddress;
        }
        const Result<Done, ObserveError> observing = observe_.start();
        if (!ok(observing)) {
            logEvent(LogLevel::Error, "start_failed", {{"error", errorOf(observing).message_}});
            return ExitAddress;
        }
        // Whether this entry watches the rules is decided once it knows its peers.
        platform_.setWatching(false);
        platform_.start();
        timer_.subscribe(tickPeriod, [this](Time) { inputs_.tryPush(EntryTick()); });
        timer_.subscribe(settings_.link_.heartbeatPeriod_, [this](Time) { heartbeatDue_ = true; });
        timer_.subscribe(statusPeriod, [this](Time) { statusDue_ = true; });
        logEvent(LogLevel::Info, "started", {{"listen", settings_.callers_.listen_}});
        return ExitStopped;
    }

    /// Moves the event's body into the ring; a full ring leaves the event untouched.
    template <class... Bodies>
    bool push(std::variant<Bodies...> &&event)
    {
        return std::visit(
            [this](auto &body) {
                EntryInput input(std::move(body));
                if (inputs_.tryPush(std::move(input)))
                    return true;
                // Untouched by the refusal. NOLINTNEXTLINE(bugprone-use-after-move)
                body = std::get<std::decay_t<decltype(body)>>(std::move(input));
                return false;
            },
            event);
    }

    void decide()
    {
        EntryActions actions;
        while (!finished()) {
            std::optional<EntryInput> input = nextInput();
            const Time now = monotonicNow();
            if (input)
                step(entry_, std::move(*input), now, actions);
            takeStop(now, actions);
            if (heartbeatDue_.exchange(false))
                sendHeartbeats(entry_, now, actions);
            perform(actions);
            if (statusDue_.exchange(false))
                showStatus();
        }
        inputs_.close();
    }

    /// What an action could not do comes first: the ring may be full just then, and a lost outcome
    /// would leave its claim or share waiting for good.
    std::optional<EntryInput> nextInput()
    {
        if (undone_.empty())
            return inputs_.pop(inputWait);
        std::optional<EntryInput> input(std::move(undone_.front()));
        undone_.pop_front();
        return input;
    }

    /// First unready but serving, then refusing, then gone once nothing is in hand.
    void takeStop(Time now, EntryActions &actions)
    {
        if (!stop_.requested())
            return;
        if (!leavingSince_) {
            leavingSince_ = now;
            board_.setReady(false);
            callers_.beginLeaving();
            logEvent(LogLevel::Info, "leaving");
        }
        if (!entry_.leaving_ && now - *leavingSince_ >= settings_.stop_.announce_)
            step(entry_, StopRequested(), now, actions);
    }

    /// Nothing is in hand, and what the accounts' ledgers hold for this VM has been given back, for
    /// as long as the platform may be waited for.
    bool leftInOrder()
    {
        if (!entry_.leaving_ || !idle(entry_)) {
            idleSince_.reset();
            return false;
        }
        const Time now = monotonicNow();
        if (!idleSince_)
            idleSince_ = now;
        return hasReturnedShares(entry_.ledger_) || now - *idleSince_ > shareReturnTime;
    }

    bool finished()
    {
        if (!leavingSince_)
            return false;
        const bool overdue = monotonicNow() - *leavingSince_ > settings_.stop_.graceful_;
        return leftInOrder() || overdue || stop_.forced();
    }

    void perform(EntryActions &actions)
    {
        for (EntryAction &action : actions)
            std::visit([this](auto &body) { performOne(std::move(body)); }, action);
        actions.clear();
    }

    void performOne(SendMessage &&send)
    {
        if (links_.send(send.address_, send.message_))
            return;
        // The links' ring is full: the message was not sent, as if its link were down.
        countMetric("eelgrasscove_link_ring_full_total");
        undone_.emplace_back(SendFailed{send.address_, std::move(send.message_)});
    }

    void performOne(CallerReply &&reply) { callers_.reply(std::move(reply)); }

    void performOne(KvOperation &&operation)
    {
        const std::uint64_t tag = operation.tag_;
        if (!platform_.submit(std::move(operation)))
            undone_.emplace_back(KvOutcome{tag, KvStatus::NotSent, {}, 0});
    }

    void performOne(WatchPlatformRules &&watch) { platform_.setWatching(watch.on_); }

    void performOne(ReadPlatformRules && /*read*/) { platform_.readRules(); }

    void performOne(RulesTaken &&taken)
    {
        logEvent(LogLevel::Info, "rules_adopted",
                 {{"number", std::to_string(taken.revision_.value_)}});
    }

    void performOne(OpenLink &&open) { links_.connect(open.address_); }

    void performOne(SetVmListPeriod &&stretch)
    {
        platform_.setVmListPeriod(std::max(stretch.period_, settings_.platform_.vmListPeriod_));
    }

    void performOne(RulesUnreadable &&unreadable)
    {
        logEvent(LogLevel::Error, "stored_rules_unreadable",
                 {{"revision", std::to_string(unreadable.revision_.value_)},
                  {"errors", unreadable.errors_}});
    }

    void performOne(RequestRecord &&record)
    {
        const Time now = monotonicNow();
        const std::string code = record.code_.empty() ? "ok" : record.code_;
        const std::string labels =
            fmt::format(R"(route="{}",code="{}")", escapeJson(record.route_.text_), code);
        countMetric("eelgrasscove_requests_total", labels);
        observeDuration("eelgrasscove_request_seconds", {}, now - record.arrivedAt_);
        emitSpan({"entry",
                  record.trace_,
                  record.parentSpanId_,
                  record.arrivedAt_,
                  now,
                  {{"request", record.id_.text_},
                   {"route", record.route_.text_},
                   {"account", record.account_.text_},
                   {"target", record.target_.text_},
                   {"code", code},
                   {"run", std::string(nameOf(runStateNames, record.run_))}}});
        if (!record.code_.empty())
            logEvent(LogLevel::Info, "request_failed",
                     {{"request", record.id_.text_},
                      {"route", record.route_.text_},
                      {"code", code},
                      {"run", std::string(nameOf(runStateNames, record.run_))}});
    }

    void showStatus()
    {
        board_.setStatus(entryStatusJson(entry_));
        board_.setReady(entry_.haveRules_ && areRulesSettled(entry_.spread_) && !leavingSince_);
        setGauge("eelgrasscove_requests_in_hand", {}, static_cast<double>(entry_.requests_.size()));
        setGauge("eelgrasscove_rules_revision", {},
                 static_cast<double>(entry_.rules_.revision_.value_));
    }

    const Settings settings_;
    StopSignal &stop_;
    Entry entry_;
    StatusBoard board_;
    ObserveServer observe_;
    BoundedRing<EntryInput> inputs_{inputRingInputs};
    /// Inputs that stand for actions that could not be carried out.
    std::deque<EntryInput> undone_;
    std::atomic<bool> heartbeatDue_ = true;
    std::atomic<bool> statusDue_ = true;
    std::optional<Time> leavingSince_;
    std::optional<Time> idleSince_;
    CallerServer callers_;
    LinkService links_;
    PlatformService platform_;
    TimerService timer_;
};

} // namespace

int runEntryProcess(const Settings &settings, StopSignal &stop)
{
    return EntryProcess(settings, stop).run();
}

} // namespace eelgrasscove
