#include "scenario.h"

#include "words.h"

#include <algorithm>
#include <array>
#include <fmt/core.h>
#include <sstream>

namespace scenarios {

namespace {

// ---- Declarations

void parseVmOption(Words &words, VmDeclaration &vm)
{
    if (takeIf(words, "data-centre"))
        vm.dataCentre_ = takeWord(words, "a data centre");
    else if (takeIf(words, "group"))
        vm.group_ = takeWord(words, "a target group");
    else if (takeIf(words, "adapter-slots"))
        vm.adapterSlots_ = takeNumber(words, "a number of slots");
    else if (takeIf(words, "batch-slots"))
        vm.batchSlots_ = takeNumber(words, "a number of slots");
    else if (takeIf(words, "token"))
        vm.tokenTime_ = takeTime(words, "the time of a token");
    else if (takeIf(words, "load"))
        vm.loadTime_ = takeTime(words, "the time of a load");
    else if (takeIf(words, "restart"))
        vm.restartTime_ = takeTime(words, "the time of a restart");
    else if (takeIf(words, "delay"))
        vm.delay_ = takeTime(words, "the time of a call");
    else if (takeIf(words, "crash-marker"))
        vm.crashMarker_ = takeWord(words, "a text");
    else if (takeIf(words, "check-fencing"))
        vm.checkFencing_ = true;
    else
        fail(words, "\"" + peek(words) + "\" isn't an option of a VM",
             "see scenario.h for those there are");
}

VmDeclaration parseVm(Words &words, VmKind kind)
{
    VmDeclaration vm;
    vm.kind_ = kind;
    vm.name_ = takeWord(words, "the VM's name");
    while (!atEnd(words))
        parseVmOption(words, vm);
    if (kind != VmKind::Entry && vm.group_.empty())
        fail(words, "a target needs a group", "add \"group NAME\"");
    return vm;
}

SettingDeclaration parseSetting(Words &words)
{
    SettingDeclaration setting;
    setting.process_ = takeWord(words, "a process");
    setting.section_ = takeWord(words, "a section");
    setting.key_ = takeWord(words, "a key");
    setting.value_ = takeWord(words, "a value");
    expectEnd(words);
    return setting;
}

RulesDeclaration parseRulesDeclaration(Words &words)
{
    RulesDeclaration rules;
    rules.name_ = takeWord(words, "the rules' name");
    if (takeIf(words, "from"))
        rules.file_ = takeWord(words, "a file");
    expectEnd(words);
    return rules;
}

// ---- Steps

StepAction parseProcessStep(Words &words, ProcessAction action)
{
    return ProcessStep{action, takeRest(words, "a process")};
}

StepAction parseLinkStep(Words &words, LinkAction action)
{
    LinkStep step;
    step.action_ = action;
    step.kind_ = takeNamed(words, linkKindNames, "a kind of link");
    step.name_ = takeWord(words, "a process");
    if (action == LinkAction::Delay)
        step.delay_ = takeTime(words, "a delay");
    expectEnd(words);
    return step;
}

StepAction parsePlatformStep(Words &words)
{
    PlatformStep step;
    step.action_ = takeNamed(words, platformActionNames, "an action on the platform");
    if (step.action_ == PlatformAction::Slow || step.action_ == PlatformAction::ListLag)
        step.time_ = takeTime(words, "a time");
    if (step.action_ == PlatformAction::DropReplies)
        step.count_ = takeNumber(words, "a number of replies");
    expectEnd(words);
    return step;
}

StepAction parseListStep(Words &words)
{
    ListStep step;
    step.action_ = takeNamed(words, listActionNames, "a state on the list");
    step.name_ = takeWord(words, "a VM");
    expectEnd(words);
    return step;
}

StepAction parseTargetStep(Words &words)
{
    TargetStep step;
    step.name_ = takeWord(words, "a target");
    step.action_ = takeNamed(words, targetActionNames, "an action on a target");
    if (step.action_ == TargetAction::Freeze)
        step.time_ = takeTime(words, "a time");
    else if (step.action_ != TargetAction::Crash && step.action_ != TargetAction::KeepRuns)
        step.count_ = takeNumber(words, "a number");
    expectEnd(words);
    return step;
}

ApplyOutcome parseApplyOutcome(Words &words)
{
    if (!takeIf(words, "expecting"))
        return ApplyOutcome::Everywhere;
    return takeNamed(words, applyOutcomeNames, "an outcome");
}

StepAction parseApplyStep(Words &words)
{
    ApplyStep step;
    step.rules_ = takeWord(words, "the name of rules");
    step.outcome_ = parseApplyOutcome(words);
    expectEnd(words);
    return step;
}

StepAction parseWithdrawStep(Words &words)
{
    WithdrawStep step;
    step.key_ = takeWord(words, "a key");
    step.outcome_ = parseApplyOutcome(words);
    expectEnd(words);
    return step;
}

StepAction parseDrainStep(Words &words)
{
    DrainStep step{takeWord(words, "a VM")};
    expectEnd(words);
    return step;
}

void parseCompletionOption(Words &words, SendStep &step)
{
    if (takeIf(words, "tokens"))
        step.maxTokens_ = takeNumber(words, "a number of tokens");
    else if (takeIf(words, "stop-after"))
        step.stopAfter_ = takeNumber(words, "a number of tokens");
    else if (takeIf(words, "stream"))
        step.stream_ = true;
    else if (takeIf(words, "chat"))
        step.chat_ = true;
    else if (takeIf(words, "prompt"))
        step.prompt_ = takeWord(words, "a prompt");
    else if (takeIf(words, "route"))
        step.route_ = takeWord(words, "a route");
    else
        fail(words, "\"" + peek(words) + "\" isn't an option of a request",
             "see scenario.h for those there are");
}

bool isMethod(const std::string &word)
{
    constexpr std::array<std::string_view, 5> methods = {"GET", "POST", "PUT", "PATCH", "DELETE"};
    return std::find(methods.begin(), methods.end(), word) != methods.end();
}

void parseUntil(Words &words, SendStep &step)
{
    if (takeIf(words, "status"))
        step.untilStatus_ = takeNumber(words, "a status");
    else if (takeIf(words, "code"))
        step.untilCode_ = takeWord(words, "an error's code");
    else
        fail(words, "only a status or a code can be waited for", "write \"until status N\"");
}

void parseSendOption(Words &words, SendStep &step)
{
    if (takeIf(words, "count")) {
        step.count_ = takeNumber(words, "a number of requests");
    } else if (takeIf(words, "via")) {
        step.entries_ = splitAt(takeWord(words, "an entry"), ',');
    } else if (takeIf(words, "key")) {
        step.key_ = takeWord(words, "a key");
    } else if (takeIf(words, "idempotency-key")) {
        step.idempotencyKey_ = takeWord(words, "an Idempotency-Key");
    } else if (takeIf(words, "until")) {
        parseUntil(words, step);
    } else if (isMethod(peek(words))) {
        step.method_ = takeWord(words, "a method");
        step.path_ = takeWord(words, "a path");
    } else {
        parseCompletionOption(words, step);
    }
}

SendStep parseSend(Words &words)
{
    SendStep step;
    step.name_ = takeWord(words, "the request's name");
    while (!atEnd(words))
        parseSendOption(words, step);
    if (step.entries_.empty())
        fail(words, "nobody to send it to", "add \"via ENTRY\"");
    if (step.route_.empty() == step.method_.empty())
        fail(words, "a request goes to a route or to a path",
             "add \"route NAME\" or \"METHOD /path\"");
    if (step.count_ < 1)
        fail(words, "the count must be one or more", "correct it");
    return step;
}

StepAction parseSendStep(Words &words)
{
    return parseSend(words);
}

StepAction parseRepeatStep(Words &words)
{
    SendStep step = parseSend(words);
    if (step.untilStatus_ == 0 && step.untilCode_.empty())
        fail(words, "what ends the repeating isn't said", "add \"until status N\"");
    return step;
}

StepAction parseResendStep(Words &words)
{
    SendStep step;
    step.name_ = takeWord(words, "the request's name");
    if (!takeIf(words, "of"))
        fail(words, "what is sent again isn't said", "write \"resend NAME of NAME via ENTRY\"");
    step.resendOf_ = takeWord(words, "the earlier request's name");
    if (!takeIf(words, "via"))
        fail(words, "nobody to send it to", "add \"via ENTRY\"");
    step.entries_ = splitAt(takeWord(words, "an entry"), ',');
    expectEnd(words);
    return step;
}

StepAction parseCancelStep(Words &words)
{
    CancelStep step{takeWord(words, "a request")};
    expectEnd(words);
    return step;
}

StepAction parseAwaitStep(Words &words)
{
    AwaitStep step;
    step.kind_ = takeNamed(words, awaitKindNames, "something to wait for");
    if (step.kind_ == AwaitKind::Tokens) {
        step.names_ = {takeWord(words, "a request")};
        step.count_ = takeNumber(words, "a number of tokens");
    } else if (step.kind_ == AwaitKind::Adapter) {
        step.names_ = {takeWord(words, "an engine")};
        step.adapter_ = takeWord(words, "an adapter");
    } else {
        step.names_ = takeRest(words, "a name");
    }
    expectEnd(words);
    return step;
}

// ---- Expectations

StepAction parseExpectCount(Words &words, Counted counted, std::string name)
{
    ExpectCount expectation;
    expectation.counted_ = counted;
    expectation.name_ = std::move(name);
    expectation.bound_ = takeNamed(words, boundNames, "a bound");
    expectation.count_ = takeNumber(words, "a number");
    expectEnd(words);
    return expectation;
}

StepAction parseExpectExit(Words &words)
{
    ExpectExit expectation;
    expectation.name_ = takeWord(words, "a process");
    expectation.code_ = takeNumber(words, "an exit code");
    expectEnd(words);
    return expectation;
}

StepAction parseExpectAnswer(Words &words)
{
    ExpectAnswer expectation;
    expectation.name_ = takeWord(words, "a request");
    expectation.property_ = takeNamed(words, answerPropertyNames, "a property of an answer");
    if (expectation.property_ == AnswerProperty::AtLeastWhole) {
        expectation.count_ = takeNumber(words, "a number of answers");
        if (!takeIf(words, "whole"))
            fail(words, "only whole answers are counted", "write \"at-least N whole\"");
    } else if (expectation.property_ != AnswerProperty::Whole) {
        expectation.values_ = splitAt(takeWord(words, "a value"), '|');
    }
    expectEnd(words);
    return expectation;
}

StepAction parseExpectStep(Words &words)
{
    if (takeIf(words, "exit"))
        return parseExpectExit(words);
    if (takeIf(words, "platform")) {
        const Counted counted = takeNamed(words, platformCountNames, "a count of the platform");
        return parseExpectCount(words, counted, {});
    }
    if (const auto counted = eelgrasscove::valueNamed(targetCountNames, peek(words))) {
        takeWord(words, "a count");
        const std::string name = takeWord(words, "a target");
        return parseExpectCount(words, *counted, name);
    }
    return parseExpectAnswer(words);
}

struct StepWord
{
    std::string_view word_;
    StepAction (*parse_)(Words &words);
};

constexpr std::array<StepWord, 12> stepWords = {{
    {"platform", parsePlatformStep},
    {"list", parseListStep},
    {"target", parseTargetStep},
    {"apply", parseApplyStep},
    {"withdraw", parseWithdrawStep},
    {"drain", parseDrainStep},
    {"send", parseSendStep},
    {"repeat", parseRepeatStep},
    {"resend", parseResendStep},
    {"cancel", parseCancelStep},
    {"await", parseAwaitStep},
    {"expect", parseExpectStep},
}};

StepAction parseStep(Words &words)
{
    const std::string word = takeWord(words, "a step");
    if (const auto action = eelgrasscove::valueNamed(processActionNames, word))
        return parseProcessStep(words, *action);
    if (const auto action = eelgrasscove::valueNamed(linkActionNames, word))
        return parseLinkStep(words, *action);
    for (const StepWord &step : stepWords) {
        if (step.word_ == word)
            return step.parse_(words);
    }
    fail(words, "\"" + word + "\" isn't a step", "see scenario.h for those there are");
    return ProcessStep{};
}

// ---- Names that a step uses

/// What is known when a step's names are looked at.
struct KnownNames
{
    const Scenario &scenario_;
    std::vector<std::string> requests_;
};

bool isRequest(const KnownNames &known, const std::string &name)
{
    return std::find(known.requests_.begin(), known.requests_.end(), name) != known.requests_.end();
}

void needVm(Words &words, const KnownNames &known, const std::string &name)
{
    if (name != "all" && findVm(known.scenario_, name) == nullptr)
        fail(words, "no VM is called \"" + name + "\"", "declare it before the first step");
}

void needTarget(Words &words, const KnownNames &known, const std::string &name)
{
    const VmDeclaration *vm = findVm(known.scenario_, name);
    if (vm == nullptr || vm->kind_ == VmKind::Entry)
        fail(words, "no target is called \"" + name + "\"", "declare an engine or a service");
}

void needEntry(Words &words, const KnownNames &known, const std::string &name)
{
    const VmDeclaration *vm = findVm(known.scenario_, name);
    if (vm == nullptr || vm->kind_ != VmKind::Entry)
        fail(words, "no entry is called \"" + name + "\"", "declare it before the first step");
}

/// Requests of a send with a count are also known one by one, as NAME.N.
void needRequest(Words &words, const KnownNames &known, const std::string &name)
{
    if (!isRequest(known, name) && !isRequest(known, name.substr(0, name.rfind('.'))))
        fail(words, "no request is called \"" + name + "\"", "send it in a line before");
}

void needRules(Words &words, const KnownNames &known, const std::string &name)
{
    const auto &rules = known.scenario_.rules_;
    const auto named = [&](const RulesDeclaration &declared) { return declared.name_ == name; };
    if (std::none_of(rules.begin(), rules.end(), named))
        fail(words, "no rules are called \"" + name + "\"",
             "declare them with \"rules NAME ... end\"");
}

void checkNames(Words &words, KnownNames &known, const SendStep &step)
{
    for (const std::string &entry : step.entries_)
        needEntry(words, known, entry);
    if (!step.resendOf_.empty())
        needRequest(words, known, step.resendOf_);
    if (isRequest(known, step.name_))
        fail(words, "a request is already called \"" + step.name_ + "\"", "give it another name");
    known.requests_.push_back(step.name_);
}

void checkNames(Words &words, KnownNames &known, const AwaitStep &step)
{
    for (const std::string &name : step.names_) {
        if (step.kind_ == AwaitKind::Ready || step.kind_ == AwaitKind::Exited)
            needVm(words, known, name);
        else if (step.kind_ == AwaitKind::Adapter)
            needTarget(words, known, name);
        else
            needRequest(words, known, name);
    }
}

void checkNames(Words &words, KnownNames &known, const ProcessStep &step)
{
    for (const std::string &name : step.names_)
        needVm(words, known, name);
}

void checkNames(Words &words, KnownNames &known, const LinkStep &step)
{
    if (step.kind_ == LinkKind::Target)
        needTarget(words, known, step.name_);
    else
        needVm(words, known, step.name_);
}

void checkNames(Words & /*words*/, KnownNames & /*known*/, const PlatformStep & /*step*/) { }
void checkNames(Words & /*words*/, KnownNames & /*known*/, const WithdrawStep & /*step*/) { }

void checkNames(Words &words, KnownNames &known, const ListStep &step)
{
    needVm(words, known, step.name_);
}

void checkNames(Words &words, KnownNames &known, const TargetStep &step)
{
    needTarget(words, known, step.name_);
}

void checkNames(Words &words, KnownNames &known, const ApplyStep &step)
{
    needRules(words, known, step.rules_);
}

void checkNames(Words &words, KnownNames &known, const DrainStep &step)
{
    needVm(words, known, step.name_);
}

void checkNames(Words &words, KnownNames &known, const CancelStep &step)
{
    needRequest(words, known, step.name_);
}

void checkNames(Words &words, KnownNames &known, const ExpectAnswer &step)
{
    needRequest(words, known, step.name_);
}

void checkNames(Words &words, KnownNames &known, const ExpectExit &step)
{
    needVm(words, known, step.name_);
}

void checkNames(Words &words, KnownNames &known, const ExpectCount &step)
{
    if (!step.name_.empty())
        needTarget(words, known, step.name_);
}

// ---- The file

/// A file being read line by line.
struct Reading
{
    Scenario scenario_;
    std::vector<std::string> requests_;
    /// Inside "rules NAME ... end".
    bool inRules_ = false;
};

void parseLine(Reading &reading, Words &words, std::uint32_t line, const std::string &text)
{
    Scenario &scenario = reading.scenario_;
    if (takeIf(words, "entry")) {
        scenario.vms_.push_back(parseVm(words, VmKind::Entry));
    } else if (takeIf(words, "engine")) {
        scenario.vms_.push_back(parseVm(words, VmKind::Engine));
    } else if (takeIf(words, "service")) {
        scenario.vms_.push_back(parseVm(words, VmKind::Service));
    } else if (takeIf(words, "setting")) {
        scenario.settings_.push_back(parseSetting(words));
    } else if (takeIf(words, "rules")) {
        scenario.rules_.push_back(parseRulesDeclaration(words));
        reading.inRules_ = scenario.rules_.back().file_.empty();
    } else {
        Step step{line, text, parseStep(words)};
        KnownNames known{scenario, reading.requests_};
        std::visit([&](const auto &action) { checkNames(words, known, action); }, step.action_);
        reading.requests_ = known.requests_;
        scenario.steps_.push_back(std::move(step));
    }
}

std::string trimmed(const std::string &text)
{
    const std::size_t begin = text.find_first_not_of(" \t\r");
    if (begin == std::string::npos)
        return {};
    return text.substr(begin, text.find_last_not_of(" \t\r") - begin + 1);
}

/// True where the line belonged to a block of rules.
bool takeRulesLine(Reading &reading, const std::string &line)
{
    if (!reading.inRules_)
        return false;
    if (line == "end")
        reading.inRules_ = false;
    else
        reading.scenario_.rules_.back().text_ += line + "\n";
    return true;
}

} // namespace

std::string describe(const ScenarioError &error)
{
    return fmt::format("{}:{}: {}; {}", error.file_, error.line_, error.message_, error.remedy_);
}

const VmDeclaration *findVm(const Scenario &scenario, const std::string &name)
{
    for (const VmDeclaration &vm : scenario.vms_) {
        if (vm.name_ == name)
            return &vm;
    }
    return nullptr;
}

eelgrasscove::Result<Scenario, ScenarioError> parseScenario(const std::string &text,
                                                            const std::string &file)
{
    Reading reading;
    reading.scenario_.file_ = file;
    std::istringstream lines(text);
    std::uint32_t number = 0;
    for (std::string raw; std::getline(lines, raw);) {
        number += 1;
        const std::string line = trimmed(raw);
        if (takeRulesLine(reading, line))
            continue;
        Words words = splitWords(line);
        if (words.words_.empty() && !words.fault_)
            continue;
        if (!words.fault_)
            parseLine(reading, words, number, line);
        if (words.fault_)
            return ScenarioError{file, number, words.fault_->message_, words.fault_->remedy_};
    }
    if (reading.inRules_)
        return ScenarioError{file, number, "the last rules have no end", "add a line \"end\""};
    return std::move(reading.scenario_);
}

} // namespace scenarios
