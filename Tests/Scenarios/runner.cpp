#include "runner.h"

#include "callers.h"
#include "checker.h"
#include "fleet.h"

#include "Contract/keydigest.h"
#include "Contract/rulefile.h"
#include "StandIns/base64.h"
#include "StandIns/completion.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fmt/core.h>
#include <functional>
#include <nlohmann/json.hpp>
#include <thread>

namespace scenarios {

using Json = nlohmann::json;
using standins::HostPort;
using standins::HttpRequest;
using standins::HttpResult;

namespace {

constexpr std::chrono::seconds awaitTimeout(60);
/// For a graceful stop with requests still running, and for callers' last answers.
constexpr std::chrono::seconds endTimeout(150);
constexpr std::chrono::milliseconds pollPeriod(5);
constexpr std::chrono::milliseconds repeatPeriod(20);
constexpr standins::Micros controlTimeout = std::chrono::seconds(30);
/// Time by which an accepted revision must be in force even where the tool doesn't wait for it.
constexpr std::int64_t inForceWithinMicros = 18 * 1000 * 1000;
constexpr int exitConflict = 4;
constexpr int exitNotInForce = 7;
const std::string operatorProgram = std::string(PROGRAM_FOLDER) + "/eelgrasscove";

/// A scenario under way.
struct Run
{
    const Scenario &scenario_;
    Fleet fleet_;
    Callers callers_;
    ScenarioRecord record_;
    std::vector<std::string> faults_;
    std::int64_t toolRuns_ = 0;
};

void fault(Run &run, const Step &step, const std::string &text)
{
    run.faults_.push_back(
        fmt::format("{}:{}: {}: {}", run.scenario_.file_, step.line_, step.text_, text));
}

bool awaitState(const std::function<bool()> &reached, std::chrono::seconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!reached()) {
        if (std::chrono::steady_clock::now() > deadline)
            return false;
        std::this_thread::sleep_for(pollPeriod);
    }
    return true;
}

HttpResult get(const HostPort &where, const std::string &path)
{
    const HttpRequest request = {.method_ = "GET", .target_ = path};
    return standins::callAndWait(where, request, controlTimeout);
}

void control(Run &run, const Step &step, unsigned short port, const Json &call)
{
    const HttpRequest request = {.method_ = "POST", .target_ = "/control", .body_ = call.dump()};
    const HttpResult result = standins::callAndWait({.port_ = port}, request, controlTimeout);
    if (result.end_ != standins::CallEnd::Whole || result.response_.status_ != 200)
        fault(run, step, "the stand-in didn't take the order: " + result.response_.body_);
}

HostPort targetOf(const Run &run, const std::string &name)
{
    return {.port_ = run.fleet_.ports_.at(name).target_};
}

std::vector<std::string> vmNames(const Run &run, const std::vector<std::string> &names)
{
    if (names != std::vector<std::string>{"all"})
        return names;
    std::vector<std::string> all;
    for (const VmDeclaration &vm : run.scenario_.vms_)
        all.push_back(vm.name_);
    return all;
}

// ---- Processes

void killDaemon(Run &run, ChildProcess &process, const std::string &name)
{
    run.callers_.excuseOpenAt(name);
    killProcess(process);
}

void actOnProcess(Run &run, const Step &step, ProcessAction action, const std::string &name)
{
    ChildProcess *process = daemonOf(run.fleet_, name);
    if (action == ProcessAction::Restart && process != nullptr)
        killDaemon(run, *process, name);
    if (action == ProcessAction::Start || action == ProcessAction::Restart) {
        const std::string error = startDaemon(run.fleet_, name);
        if (!error.empty())
            fault(run, step, error);
        return;
    }
    if (process == nullptr || !isRunning(*process)) {
        fault(run, step, name + " doesn't run");
        return;
    }
    if (action == ProcessAction::Kill)
        killDaemon(run, *process, name);
    else if (action == ProcessAction::Stop)
        sendSignal(*process, SIGTERM);
    else
        sendSignal(*process, action == ProcessAction::Freeze ? SIGSTOP : SIGCONT);
}

void perform(Run &run, const Step &step, const ProcessStep &action)
{
    for (const std::string &name : vmNames(run, action.names_))
        actOnProcess(run, step, action.action_, name);
}

// ---- Faults of the surroundings

Json linkControl(const LinkStep &action)
{
    switch (action.action_) {
    case LinkAction::Cut:
        return {{"cut", true}};
    case LinkAction::Blackhole:
        return {{"blackhole", true}};
    case LinkAction::Delay:
        return {{"delay_ms", action.delay_.count() / 1000}};
    case LinkAction::LoseReplies:
        return {{"drop_to_client", true}};
    case LinkAction::Heal:
        break;
    }
    return {{"cut", false}, {"blackhole", false}, {"delay_ms", 0}, {"drop_to_client", false}};
}

void perform(Run &run, const Step &step, const LinkStep &action)
{
    for (const std::string &name : vmNames(run, {action.name_})) {
        const RelayPorts *relay = relayOn(run.fleet_, action.kind_, name);
        control(run, step, relay->control_, linkControl(action));
    }
}

void perform(Run &run, const Step &step, const PlatformStep &action)
{
    Json call;
    switch (action.action_) {
    case PlatformAction::Up:
        call = {{"mode", "up"}};
        break;
    case PlatformAction::Down:
        call = {{"mode", "down"}};
        break;
    case PlatformAction::Slow:
        call = {{"mode", "slow"}, {"delay_ms", action.time_.count() / 1000}};
        break;
    case PlatformAction::DropReplies:
        call = {{"drop_next_replies", action.count_}};
        break;
    case PlatformAction::ListLag:
        call = {{"list_lag_ms", action.time_.count() / 1000}};
        break;
    case PlatformAction::Remember:
        call = {{"remember", true}};
        break;
    case PlatformAction::StaleReads:
    case PlatformAction::FreshReads:
        call = {{"stale_reads", action.action_ == PlatformAction::StaleReads}};
        break;
    }
    control(run, step, run.fleet_.platform_, call);
}

void perform(Run &run, const Step &step, const ListStep &action)
{
    if (action.action_ == ListAction::Removed)
        run.fleet_.listStates_.erase(action.name_);
    else
        run.fleet_.listStates_[action.name_] =
            eelgrasscove::nameOf(listActionNames, action.action_);
    control(run, step, run.fleet_.platform_, Json::parse(vmListText(run.fleet_)));
}

void perform(Run &run, const Step &step, const TargetStep &action)
{
    Json call;
    switch (action.action_) {
    case TargetAction::Crash:
        call = {{"restart", true}};
        break;
    case TargetAction::FailLoads:
        call = {{"fail_loads", action.count_}};
        break;
    case TargetAction::Freeze:
        call = {{"freeze_ms", action.time_.count() / 1000}};
        break;
    case TargetAction::KeepRuns:
        call = {{"keep_on_disconnect", true}};
        break;
    case TargetAction::CloseBeforeReply:
        call = {{"close_before_reply_next", action.count_}};
        break;
    case TargetAction::FailCalls:
        call = {{"fail_next", action.count_}};
        break;
    }
    control(run, step, targetOf(run, action.name_).port_, call);
}

// ---- Rules

std::string keyText(const std::string &key)
{
    return "egc_scenario_key_" + key + "_0123456789abcdef";
}

/// The rule file with {KEY} replaced by digests.
std::string ruleFileText(const std::string &text)
{
    std::string result;
    std::size_t at = 0;
    while (true) {
        const std::size_t open = text.find('{', at);
        const std::size_t close = text.find('}', open);
        if (open == std::string::npos || close == std::string::npos)
            return result + text.substr(at);
        const std::string key = text.substr(open + 1, close - open - 1);
        result += text.substr(at, open - at);
        result += eelgrasscove::keyDigest(digestSecret(), keyText(key));
        at = close + 1;
    }
}

RouteTerms routeTerms(const eelgrasscove::RouteRule &rule)
{
    RouteTerms terms;
    terms.route_ = rule.route_.text_;
    for (const auto &account : rule.accounts_)
        terms.accounts_.push_back(account.text_);
    terms.openToAll_ = rule.openToAll_;
    terms.idempotent_ = rule.idempotent_;
    if (rule.kind_ == eelgrasscove::RouteKind::Adapter)
        terms.model_ = eelgrasscove::engineModelName(rule.adapter_);
    terms.method_ = rule.method_;
    terms.pathPrefix_ = rule.pathPrefix_;
    return terms;
}

RulesRecord rulesRecord(const eelgrasscove::Rules &rules)
{
    RulesRecord record;
    for (const auto &[name, route] : rules.routes_)
        record.routes_.push_back(routeTerms(route));
    for (const auto &[name, account] : rules.accounts_)
        record.accounts_.push_back({name.text_, account.tokensPerSecond_, account.burstTokens_});
    for (const auto &[id, key] : rules.keys_)
        record.keys_.push_back({id.text_, key.account_.text_});
    return record;
}

struct ToolOutcome
{
    int exit_ = -1;
    std::string output_;
};

ToolOutcome runTool(Run &run, std::vector<std::string> arguments)
{
    const std::string settings = run.fleet_.folder_ + "/operator.ini";
    writeWholeFile(settings, operatorSettingsText(run.fleet_));
    arguments.push_back("--settings=" + settings);
    run.toolRuns_ += 1;
    const std::string name = fmt::format("tool-{}", run.toolRuns_);
    auto tool = startProcess({operatorProgram, arguments, run.fleet_.folder_, name});
    if (!tool)
        return {-1, operatorProgram + " can't be started"};
    const bool ended = awaitState([&] { return !isRunning(*tool); }, awaitTimeout);
    killProcess(*tool);
    const std::string output =
        readWholeFile(tool->standardOutput_) + readWholeFile(tool->standardError_);
    return {ended ? *tool->exit_ : -1, output};
}

int exitFor(ApplyOutcome outcome)
{
    switch (outcome) {
    case ApplyOutcome::Partly:
        return exitNotInForce;
    case ApplyOutcome::Conflict:
        return exitConflict;
    case ApplyOutcome::Everywhere:
        break;
    }
    return 0;
}

/// Runs the tool to change the rules; record says what they are then.
void changeRules(Run &run, const Step &step, const std::vector<std::string> &arguments,
                 ApplyOutcome expected, RulesRecord record)
{
    record.appliedAt_ = standins::monotonicMicros();
    const ToolOutcome outcome = runTool(run, arguments);
    if (outcome.exit_ != exitFor(expected)) {
        fault(run, step, fmt::format("the tool ended with {}: {}", outcome.exit_, outcome.output_));
        return;
    }
    if (expected == ApplyOutcome::Conflict)
        return;
    const std::int64_t now = standins::monotonicMicros();
    if (!run.record_.rules_.empty()) {
        run.record_.rules_.back().replacedAt_ =
            expected == ApplyOutcome::Everywhere ? now : now + inForceWithinMicros;
    }
    run.record_.rules_.push_back(std::move(record));
}

const RulesDeclaration &rulesNamed(const Scenario &scenario, const std::string &name)
{
    return *std::find_if(scenario.rules_.begin(), scenario.rules_.end(),
                         [&](const RulesDeclaration &rules) { return rules.name_ == name; });
}

void perform(Run &run, const Step &step, const ApplyStep &action)
{
    const std::string text = ruleFileText(rulesNamed(run.scenario_, action.rules_).text_);
    const auto rules = eelgrasscove::parseRules(text, action.rules_, {});
    if (!eelgrasscove::ok(rules)) {
        fault(run, step, eelgrasscove::describeRuleErrors(eelgrasscove::errorOf(rules)));
        return;
    }
    const std::string file = fmt::format("{}/{}.rules", run.fleet_.folder_, action.rules_);
    writeWholeFile(file, text);
    // A conflict is made by an operator who hasn't seen the latest revision.
    const std::string base = action.outcome_ == ApplyOutcome::Conflict
        ? std::to_string(std::max<std::size_t>(1, run.record_.rules_.size()) - 1)
        : "latest";
    const RulesRecord record = rulesRecord(eelgrasscove::valueOf(rules));
    changeRules(run, step, {"rules", "apply", file, "--base=" + base, "--wait=20s"},
                action.outcome_, record);
}

void perform(Run &run, const Step &step, const WithdrawStep &action)
{
    if (run.record_.rules_.empty()) {
        fault(run, step, "no rules are in force yet");
        return;
    }
    RulesRecord record = run.record_.rules_.back();
    record.replacedAt_ = RulesRecord().replacedAt_;
    std::erase_if(record.keys_, [&](const KeyTerms &key) { return key.key_ == action.key_; });
    changeRules(run, step, {"key", "withdraw", action.key_, "--wait=20s"}, action.outcome_, record);
}

void perform(Run &run, const Step &step, const DrainStep &action)
{
    const ToolOutcome outcome = runTool(run, {"vm", "drain", action.name_});
    if (outcome.exit_ != 0)
        fault(run, step, fmt::format("the tool ended with {}: {}", outcome.exit_, outcome.output_));
}

// ---- Requests

std::string traceFor(const Run &run, const std::string &name)
{
    return standins::digestHex(run.scenario_.file_ + "|" + name) + standins::digestHex(name);
}

CallerRecord requestFor(const Run &run, const SendStep &action, const std::string &name,
                        std::size_t turn)
{
    CallerRecord request;
    request.name_ = name;
    request.entry_ = action.entries_[turn % action.entries_.size()];
    request.key_ = action.key_;
    request.keyText_ = action.key_.empty() ? "" : keyText(action.key_);
    request.trace_ = traceFor(run, name);
    request.route_ = action.route_;
    request.maxTokens_ = action.maxTokens_;
    request.stream_ = action.stream_;
    request.chat_ = action.chat_;
    request.method_ = action.method_;
    request.path_ = action.path_;
    request.idempotencyKey_ = action.idempotencyKey_;
    request.prompt_ = action.prompt_ + " request " + name;
    if (action.stopAfter_ > 0)
        request.prompt_ += fmt::format(" stop_after={}", action.stopAfter_);
    if (!action.method_.empty() && action.method_ != "GET")
        request.body_ = Json({{"booking", name}}).dump();
    return request;
}

/// The body and the key of the earlier request, as a request of its own.
CallerRecord resendFor(const Run &run, const SendStep &action)
{
    const CallerRecord earlier = run.callers_.named(action.resendOf_).front();
    CallerRecord request;
    request.name_ = action.name_;
    request.entry_ = action.entries_.front();
    request.key_ = earlier.key_;
    request.keyText_ = earlier.keyText_;
    request.trace_ = traceFor(run, action.name_);
    request.route_ = earlier.route_;
    request.maxTokens_ = earlier.maxTokens_;
    request.stream_ = earlier.stream_;
    request.chat_ = earlier.chat_;
    request.method_ = earlier.method_;
    request.path_ = earlier.path_;
    request.prompt_ = earlier.prompt_;
    request.body_ = earlier.body_;
    request.idempotencyKey_ = earlier.idempotencyKey_;
    return request;
}

void send(Run &run, const CallerRecord &request)
{
    run.callers_.send(request, callersOf(run.fleet_, request.entry_));
}

bool isAwaited(const SendStep &action, const CallerRecord &answer)
{
    return action.untilCode_.empty() ? answer.status_ == action.untilStatus_
                                     : answer.error_.code_ == action.untilCode_;
}

void repeatUntil(Run &run, const Step &step, const SendStep &action)
{
    const auto deadline = std::chrono::steady_clock::now() + awaitTimeout;
    for (std::size_t turn = 0;; ++turn) {
        const std::string name = fmt::format("{}.{}", action.name_, turn + 1);
        send(run, requestFor(run, action, name, turn));
        if (!awaitState([&] { return run.callers_.ended(name); }, endTimeout)) {
            fault(run, step, "no answer to " + name);
            return;
        }
        if (isAwaited(action, run.callers_.named(name).front()))
            return;
        if (std::chrono::steady_clock::now() > deadline) {
            fault(run, step,
                  fmt::format("the last status was {}: {}",
                              run.callers_.named(name).front().status_,
                              run.callers_.named(name).front().raw_));
            return;
        }
        std::this_thread::sleep_for(repeatPeriod);
    }
}

void perform(Run &run, const Step &step, const SendStep &action)
{
    if (!action.resendOf_.empty()) {
        send(run, resendFor(run, action));
        return;
    }
    if (action.untilStatus_ != 0 || !action.untilCode_.empty()) {
        repeatUntil(run, step, action);
        return;
    }
    for (std::int64_t turn = 0; turn < action.count_; ++turn) {
        const std::string name =
            action.count_ == 1 ? action.name_ : fmt::format("{}.{}", action.name_, turn + 1);
        send(run, requestFor(run, action, name, static_cast<std::size_t>(turn)));
    }
}

void perform(Run &run, const Step & /*step*/, const CancelStep &action)
{
    run.callers_.cancel(action.name_);
}

// ---- Waiting

bool startedSomewhere(const Run &run, const std::string &name)
{
    const std::vector<CallerRecord> callers = run.callers_.named(name);
    ScenarioRecord seen;
    for (const VmDeclaration &vm : run.scenario_.vms_) {
        if (vm.kind_ != VmKind::Entry)
            takeTargetLog(seen, vm.name_, get(targetOf(run, vm.name_), "/log").response_.body_);
    }
    return std::all_of(callers.begin(), callers.end(), [&](const CallerRecord &caller) {
        const std::string digest = workDigest(caller);
        const auto ran = [&](const RunRecord &work) { return work.promptDigest_ == digest; };
        const auto booked = [&](const BookingRecord &work) { return work.bodyDigest_ == digest; };
        return std::any_of(seen.runs_.begin(), seen.runs_.end(), ran)
            || std::any_of(seen.bookings_.begin(), seen.bookings_.end(), booked);
    });
}

bool hasTokens(const Run &run, const std::string &name, std::int64_t count)
{
    for (const CallerRecord &caller : run.callers_.named(name)) {
        std::int64_t tokens = 0;
        for (std::size_t at = caller.raw_.find("data: {"); at != std::string::npos;
             at = caller.raw_.find("data: {", at + 1))
            tokens += 1;
        if (tokens < count)
            return false;
    }
    return true;
}

bool isReady(const Run &run, const std::string &name)
{
    const HttpResult result = get(observeOf(run.fleet_, name), "/readyz");
    return result.end_ == standins::CallEnd::Whole && result.response_.status_ == 200;
}

bool holdsAdapter(const Run &run, const std::string &engine, const std::string &adapter)
{
    const HttpResult result = get(targetOf(run, engine), "/state");
    const Json state = Json::parse(result.response_.body_, nullptr, false);
    if (!state.is_object())
        return false;
    const auto adapters = state.value("adapters", std::vector<std::string>());
    return std::find(adapters.begin(), adapters.end(), adapter) != adapters.end();
}

bool isReached(Run &run, const AwaitStep &action, const std::string &name)
{
    switch (action.kind_) {
    case AwaitKind::Answers:
        return run.callers_.ended(name);
    case AwaitKind::Started:
        return startedSomewhere(run, name);
    case AwaitKind::Tokens:
        return hasTokens(run, name, action.count_);
    case AwaitKind::Ready:
        return isReady(run, name);
    case AwaitKind::Exited:
        return daemonOf(run.fleet_, name) != nullptr && !isRunning(*daemonOf(run.fleet_, name));
    case AwaitKind::Adapter:
        break;
    }
    return holdsAdapter(run, name, action.adapter_);
}

void perform(Run &run, const Step &step, const AwaitStep &action)
{
    const bool ofVms = action.kind_ == AwaitKind::Ready || action.kind_ == AwaitKind::Exited;
    const auto timeout = action.kind_ == AwaitKind::Answers || action.kind_ == AwaitKind::Exited
        ? endTimeout
        : awaitTimeout;
    for (const std::string &name : ofVms ? vmNames(run, action.names_) : action.names_) {
        if (awaitState([&] { return isReached(run, action, name); }, timeout))
            continue;
        fault(run, step, name + ": waited in vain");
        return;
    }
}

// ---- Expectations

bool isWhole(const CallerRecord &caller)
{
    return caller.ended_ && caller.end_ == standins::CallEnd::Whole && caller.status_ == 200
        && caller.error_.run_.empty();
}

std::string describeAnswer(const CallerRecord &caller)
{
    constexpr std::size_t shown = 300;
    return fmt::format("{} got {} {}", caller.name_, caller.status_, caller.raw_.substr(0, shown));
}

bool fits(const CallerRecord &caller, const ExpectAnswer &expected)
{
    const auto oneOf = [&](const std::string &value) {
        const auto &values = expected.values_;
        return std::find(values.begin(), values.end(), value) != values.end();
    };
    switch (expected.property_) {
    case AnswerProperty::Status:
        return oneOf(std::to_string(caller.status_));
    case AnswerProperty::Run:
        return oneOf(caller.error_.run_);
    case AnswerProperty::Code:
        return oneOf(caller.error_.code_);
    case AnswerProperty::From:
        return isWhole(caller) && !expected.values_.empty()
            && caller.text_
            == standins::completionText(
                   expected.values_.front(), caller.prompt_,
                   standins::generatedTokens(caller.prompt_, caller.maxTokens_));
    case AnswerProperty::Whole:
    case AnswerProperty::AtLeastWhole:
        break;
    }
    return isWhole(caller);
}

void perform(Run &run, const Step &step, const ExpectAnswer &expected)
{
    if (!awaitState([&] { return run.callers_.ended(expected.name_); }, endTimeout))
        fault(run, step, "not all answers came");
    std::int64_t whole = 0;
    for (const CallerRecord &caller : run.callers_.named(expected.name_)) {
        const bool good = fits(caller, expected);
        whole += good ? 1 : 0;
        if (!good && expected.property_ != AnswerProperty::AtLeastWhole)
            fault(run, step, describeAnswer(caller));
    }
    if (expected.property_ == AnswerProperty::AtLeastWhole && whole < expected.count_)
        fault(run, step, fmt::format("{} were whole", whole));
}

void perform(Run &run, const Step &step, const ExpectExit &expected)
{
    ChildProcess *process = daemonOf(run.fleet_, expected.name_);
    const auto ended = [&] { return process != nullptr && !isRunning(*process); };
    if (!awaitState(ended, endTimeout))
        fault(run, step, "it still runs");
    else if (*process->exit_ != expected.code_)
        fault(run, step, fmt::format("it ended with {}", *process->exit_));
}

std::int64_t countOn(const Run &run, const ExpectCount &expected)
{
    if (expected.name_.empty()) {
        const HttpResult result = get({.port_ = run.fleet_.platform_}, "/counters");
        const Json counters = Json::parse(result.response_.body_, nullptr, false);
        return counters.value(expected.counted_ == Counted::PlatformReads ? "reads" : "writes",
                              std::int64_t(-1));
    }
    const std::string log = get(targetOf(run, expected.name_), "/log").response_.body_;
    ScenarioRecord seen;
    takeTargetLog(seen, expected.name_, log);
    switch (expected.counted_) {
    case Counted::Unloads:
        return static_cast<std::int64_t>(seen.unloads_.size());
    case Counted::Runs:
        return static_cast<std::int64_t>(seen.runs_.size());
    case Counted::Bookings:
        return std::count_if(seen.bookings_.begin(), seen.bookings_.end(),
                             [](const BookingRecord &booking) {
                                 return booking.tookEffect_ && booking.method_ == "POST";
                             });
    default:
        break;
    }
    std::int64_t loads = 0;
    for (std::size_t at = log.find(R"("event":"load_start")"); at != std::string::npos;
         at = log.find(R"("event":"load_start")", at + 1))
        loads += 1;
    return loads;
}

void perform(Run &run, const Step &step, const ExpectCount &expected)
{
    const std::int64_t count = countOn(run, expected);
    const bool fitsBound = expected.bound_ == Bound::AtMost ? count <= expected.count_
        : expected.bound_ == Bound::AtLeast                 ? count >= expected.count_
                                                            : count == expected.count_;
    if (!fitsBound)
        fault(run, step, fmt::format("counted {}", count));
}

// ---- The end

/// Every request must have come to an end before the last stop.
void awaitAnswers(Run &run)
{
    const auto all = [&] {
        const auto callers = run.callers_.all();
        return std::all_of(callers.begin(), callers.end(),
                           [](const CallerRecord &caller) { return caller.ended_; });
    };
    if (!awaitState(all, endTimeout))
        run.faults_.push_back(run.scenario_.file_ + ": some requests never ended");
}

void collectTexts(Run &run)
{
    for (const VmDeclaration &vm : run.scenario_.vms_) {
        ChildProcess *process = daemonOf(run.fleet_, vm.name_);
        if (process == nullptr || !isRunning(*process) || process->frozen_)
            continue;
        for (const char *path : {"/metrics", "/status"}) {
            const HttpResult result = get(observeOf(run.fleet_, vm.name_), path);
            run.record_.texts_.push_back({vm.name_ + path, result.response_.body_});
        }
    }
    for (const auto &[name, process] : run.fleet_.processes_) {
        run.record_.texts_.push_back({name + "'s output", readWholeFile(process.standardOutput_)});
        run.record_.texts_.push_back({name + "'s errors", readWholeFile(process.standardError_)});
    }
}

/// All that run get SIGTERM and must end with 0.
void stopGracefully(Run &run)
{
    for (const VmDeclaration &vm : run.scenario_.vms_) {
        ChildProcess *process = daemonOf(run.fleet_, vm.name_);
        if (process == nullptr || !isRunning(*process))
            continue;
        sendSignal(*process, SIGCONT);
        sendSignal(*process, SIGTERM);
    }
    for (const VmDeclaration &vm : run.scenario_.vms_) {
        ChildProcess *process = daemonOf(run.fleet_, vm.name_);
        if (process == nullptr)
            continue;
        const bool ended = awaitState([&] { return !isRunning(*process); }, awaitTimeout);
        if (!ended)
            run.faults_.push_back(vm.name_ + " didn't stop after SIGTERM");
        else if (*process->exit_ != 0 && *process->exit_ != -SIGKILL)
            run.faults_.push_back(fmt::format("{} ended with {}", vm.name_, *process->exit_));
    }
}

/// All keys and values that the platform keeps, in the clear.
std::string storeText(const Run &run)
{
    const HostPort platform = {.port_ = run.fleet_.platform_};
    const HttpRequest backUp = {
        .method_ = "POST", .target_ = "/control", .body_ = R"({"mode":"up"})"};
    standins::callAndWait(platform, backUp, controlTimeout);
    // From the first key on, without an end.
    const HttpRequest everything = {.method_ = "POST",
                                    .target_ = "/v3/kv/range",
                                    .body_ = R"({"key":"AA==","range_end":"AA=="})"};
    const HttpResult kept = standins::callAndWait(platform, everything, controlTimeout);
    const Json answer = Json::parse(kept.response_.body_, nullptr, false);
    std::string text;
    for (const Json &pair : answer.value("kvs", Json::array())) {
        for (const char *part : {"key", "value"})
            text += standins::decodeBase64(pair.value(part, "")).value_or("") + "\n";
    }
    return text;
}

void collectLogs(Run &run)
{
    for (const VmDeclaration &vm : run.scenario_.vms_) {
        if (const ChildProcess *process = daemonOf(run.fleet_, vm.name_))
            takeProcessLog(run.record_, vm.name_, readWholeFile(process->standardError_));
    }
    for (const VmDeclaration &vm : run.scenario_.vms_) {
        if (vm.kind_ == VmKind::Entry)
            continue;
        const std::string log = get(targetOf(run, vm.name_), "/log").response_.body_;
        for (const std::string &text : takeTargetLog(run.record_, vm.name_, log))
            run.faults_.push_back(text);
        run.record_.texts_.push_back({vm.name_ + ".target's log", log});
    }
    run.record_.texts_.push_back({"the platform's store", storeText(run)});
}

void finish(Run &run)
{
    awaitAnswers(run);
    collectTexts(run);
    stopGracefully(run);
    collectLogs(run);
    run.record_.callers_ = run.callers_.all();
    for (const Violation &violation : checkRecord(run.record_))
        run.faults_.push_back(describe({violation}));
}

} // namespace

std::vector<std::string> runScenario(const Scenario &scenario)
{
    std::string folder = (std::filesystem::temp_directory_path() / "scenario-XXXXXX").string();
    if (::mkdtemp(folder.data()) == nullptr)
        return {"no folder for the scenario's files can be made"};
    Run run{scenario};
    run.fleet_.scenario_ = &scenario;
    run.fleet_.folder_ = folder;
    const std::string error = startStandIns(run.fleet_);
    if (!error.empty())
        run.faults_.push_back(error);
    for (const Step &step : scenario.steps_) {
        // What comes after a failed step tells nothing more.
        if (!run.faults_.empty())
            break;
        std::visit([&](const auto &action) { perform(run, step, action); }, step.action_);
    }
    if (error.empty())
        finish(run);
    killAll(run.fleet_);
    if (run.faults_.empty())
        std::filesystem::remove_all(folder);
    else
        run.faults_.push_back("its files are kept in " + folder);
    return run.faults_;
}

} // namespace scenarios
