#include "Operator/commandline.h"

#include "Operator/commands.h"
#include "Platform/kvcall.h"
#include "Vm/inifile.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <docopt/docopt.h>
#include <fmt/core.h>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>
#include <thread>

namespace eelgrasscove {

const char *const operatorUsage =
    R"(eelgrasscove: the operators' tool.

Usage:
  eelgrasscove rules check FILE [--json]
  eelgrasscove rules apply FILE [--base=REVISION] [--wait=TIME] [--who=TEXT] [--settings=FILE] [--json]
  eelgrasscove rules diff FILE [--settings=FILE] [--json]
  eelgrasscove rules show [--revision=REVISION] [--settings=FILE] [--json]
  eelgrasscove rules history [--settings=FILE] [--json]
  eelgrasscove key issue --account=NAME [--wait=TIME] [--who=TEXT] [--settings=FILE] [--json]
  eelgrasscove key withdraw ID [--wait=TIME] [--who=TEXT] [--settings=FILE] [--json]
  eelgrasscove vm list [--settings=FILE] [--json]
  eelgrasscove vm drain VM [--undo] [--who=TEXT] [--settings=FILE] [--json]
  eelgrasscove status [--account=NAME] [--settings=FILE] [--json]
  eelgrasscove decide --route=NAME [--account=NAME] [--data-centre=NAME] [--settings=FILE] [--json]
  eelgrasscove decide --method=METHOD --path=PATH [--account=NAME] [--data-centre=NAME] [--settings=FILE] [--json]
  eelgrasscove --help
  eelgrasscove --version

Options:
  --account=NAME        Client account.
  --base=REVISION       Revision that the file was made from, or "latest" for whichever is in force.
  --data-centre=NAME    Data centre of the entry that the request would come to.
  --json                Answer as one line of JSON.
  --method=METHOD       HTTP method of a call to a plain service.
  --path=PATH           Path of a call to a plain service.
  --revision=REVISION   Revision to show; the newest where absent.
  --route=NAME          Route of an adapter: the "model" of the request.
  --settings=FILE       Settings of this tool [default: operator.ini].
  --undo                Takes the mark away again.
  --wait=TIME           Time to wait until a change is in force, 0s for none [default: 30s].
  --who=TEXT            Who asks; the settings' name or the user where absent.
  --help                Shows this text.
  --version             Shows the version.

A FILE named "-" is standard input.

Exit codes: 0 done, 1 the rules differ, 2 wrong command line or settings, 3 input refused, 4 another
operator's change came first, 5 the platform or a process doesn't answer, 6 the outcome is unknown,
7 accepted but not yet in force everywhere, 8 not found, 9 what is stored is damaged.
)";

namespace {

constexpr const char *versionText = "eelgrasscove 0.1.0";
constexpr Duration longestWait = std::chrono::hours(1);

using Arguments = std::map<std::string, docopt::value>;

std::string textOf(const Arguments &arguments, const std::string &name)
{
    const auto found = arguments.find(name);
    return found != arguments.end() && found->second.isString() ? found->second.asString() : "";
}

bool isSet(const Arguments &arguments, const std::string &name)
{
    const auto found = arguments.find(name);
    return found != arguments.end() && found->second.isBool() && found->second.asBool();
}

Result<std::string, Report> readFile(const std::string &name)
{
    if (name == "-") {
        return std::string(std::istreambuf_iterator<char>(std::cin),
                           std::istreambuf_iterator<char>());
    }
    std::ifstream file(name, std::ios::binary);
    if (!file) {
        return failedReport(ExitCode::Usage,
                            name + ": the file can't be read; check its name and rights");
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

Result<OperatorSettings, Report> loadSettings(const std::string &name)
{
    const Result<std::string, Report> text = readFile(name);
    if (!ok(text))
        return errorOf(text);
    auto settings = parseOperatorSettings(valueOf(text), name);
    if (!ok(settings))
        return failedReport(ExitCode::Usage, describeSettingsErrors(errorOf(settings)));
    return valueOf(std::move(settings));
}

std::string whoOf(const Arguments &arguments, const OperatorSettings &settings)
{
    std::string given = textOf(arguments, "--who");
    if (!given.empty())
        return given;
    if (!settings.who_.empty())
        return settings.who_;
    const char *user = std::getenv("USER");
    return user == nullptr ? "unknown" : user;
}

FetchedPage fetchPage(BlockingClient &client, const std::string &url)
{
    HttpCall call;
    call.method_ = "GET";
    call.url_ = url;
    call.timeout_ = client.settings().callTimeout_;
    call.repeatable_ = true;
    const HttpReply reply = client.http(std::move(call));
    return {reply.end_ == HttpEnd::Replied ? reply.status_ : 0, reply.body_, reply.error_};
}

Desk openDesk(const Arguments &arguments, const OperatorSettings &settings)
{
    const auto client = std::make_shared<BlockingClient>(settings.platform_);
    Desk desk;
    desk.settings_ = settings;
    desk.who_ = whoOf(arguments, settings);
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    desk.nowSeconds_ = std::chrono::duration_cast<std::chrono::seconds>(sinceEpoch).count();
    desk.keyValue_ = [client](const KvOperation &operation) { return client->keyValue(operation); };
    desk.fetch_ = [client](const std::string &url) { return fetchPage(*client, url); };
    desk.wait_ = [](Duration wait) { std::this_thread::sleep_for(wait); };
    return desk;
}

/// A wrong value of an option.
Report usageReport(const std::string &option, const ValueFault &fault)
{
    return failedReport(ExitCode::Usage,
                        fmt::format("{}: {}; {}", option, fault.message_, fault.remedy_));
}

Result<std::uint64_t, Report> revisionOption(const Arguments &arguments, const std::string &name)
{
    std::uint32_t revision = 0;
    const ValueResult refused = readNumber(textOf(arguments, name), 1, UINT32_MAX, revision);
    if (refused)
        return usageReport(name, *refused);
    return std::uint64_t{revision};
}

Result<Duration, Report> waitOption(const Arguments &arguments)
{
    Duration wait = Duration(0);
    const ValueResult refused =
        readDuration(textOf(arguments, "--wait"), Duration(0), longestWait, wait);
    if (refused)
        return usageReport("--wait", *refused);
    return wait;
}

Report runRulesApply(const Arguments &arguments, const Desk &desk, const RuleInput &input)
{
    ApplyOptions options;
    const Result<Duration, Report> wait = waitOption(arguments);
    if (!ok(wait))
        return errorOf(wait);
    options.wait_ = valueOf(wait);
    options.onLatest_ = textOf(arguments, "--base") == "latest";
    if (!options.onLatest_ && !textOf(arguments, "--base").empty()) {
        const Result<std::uint64_t, Report> base = revisionOption(arguments, "--base");
        if (!ok(base))
            return errorOf(base);
        options.base_ = valueOf(base);
    }
    return rulesApply(desk, input, options);
}

Report runRulesShow(const Arguments &arguments, const Desk &desk)
{
    if (textOf(arguments, "--revision").empty())
        return rulesShow(desk, std::nullopt);
    const Result<std::uint64_t, Report> revision = revisionOption(arguments, "--revision");
    return ok(revision) ? rulesShow(desk, valueOf(revision)) : errorOf(revision);
}

Report runRules(const Arguments &arguments, const Desk &desk)
{
    if (isSet(arguments, "show"))
        return runRulesShow(arguments, desk);
    if (isSet(arguments, "history"))
        return rulesHistory(desk);
    const std::string file = textOf(arguments, "FILE");
    const Result<std::string, Report> text = readFile(file);
    if (!ok(text))
        return errorOf(text);
    const RuleInput input{file, valueOf(text)};
    return isSet(arguments, "diff") ? rulesDiff(desk, input)
                                    : runRulesApply(arguments, desk, input);
}

Report runKey(const Arguments &arguments, const Desk &desk)
{
    const Result<Duration, Report> wait = waitOption(arguments);
    if (!ok(wait))
        return errorOf(wait);
    if (isSet(arguments, "withdraw"))
        return keyWithdraw(desk, {textOf(arguments, "ID")}, valueOf(wait));
    return keyIssue(desk, {textOf(arguments, "--account")}, valueOf(wait));
}

Report runDecide(const Arguments &arguments, const Desk &desk)
{
    DecideQuestion question;
    question.account_.text_ = textOf(arguments, "--account");
    question.route_.text_ = textOf(arguments, "--route");
    question.method_ = textOf(arguments, "--method");
    question.path_ = textOf(arguments, "--path");
    question.dataCentre_.text_ = textOf(arguments, "--data-centre");
    return decide(desk, question);
}

Report runCheck(const Arguments &arguments)
{
    const std::string file = textOf(arguments, "FILE");
    const Result<std::string, Report> text = readFile(file);
    return ok(text) ? rulesCheck({file, valueOf(text)}) : errorOf(text);
}

Report runCommand(const Arguments &arguments)
{
    if (isSet(arguments, "check"))
        return runCheck(arguments);
    const Result<OperatorSettings, Report> settings = loadSettings(textOf(arguments, "--settings"));
    if (!ok(settings))
        return errorOf(settings);
    const Desk desk = openDesk(arguments, valueOf(settings));
    if (isSet(arguments, "rules"))
        return runRules(arguments, desk);
    if (isSet(arguments, "key"))
        return runKey(arguments, desk);
    if (isSet(arguments, "drain"))
        return vmDrain(desk, {textOf(arguments, "VM")}, isSet(arguments, "--undo"));
    if (isSet(arguments, "vm"))
        return vmListing(desk);
    return isSet(arguments, "decide") ? runDecide(arguments, desk)
                                      : statusOfAll(desk, {textOf(arguments, "--account")});
}

void print(const Report &report, bool asJson)
{
    if (asJson) {
        fmt::print("{}", jsonOf(report));
        return;
    }
    fmt::print("{}", report.text_);
    if (!report.textOnly_)
        fmt::print("{}", tablesOf(report));
    fmt::print(stderr, "{}", report.error_);
}

} // namespace

int runOperatorTool(const std::vector<std::string> &arguments)
{
    Arguments parsed;
    try {
        parsed = docopt::docopt_parse(operatorUsage, arguments, true, true);
    } catch (const docopt::DocoptExitHelp &) {
        fmt::print("{}", operatorUsage);
        return static_cast<int>(ExitCode::Done);
    } catch (const docopt::DocoptExitVersion &) {
        fmt::print("{}\n", versionText);
        return static_cast<int>(ExitCode::Done);
    } catch (const std::exception &error) {
        const bool asJson =
            std::find(arguments.begin(), arguments.end(), "--json") != arguments.end();
        print(failedReport(ExitCode::Usage,
                           fmt::format("the command line doesn't fit: {}; see eelgrasscove --help",
                                       error.what())),
              asJson);
        return static_cast<int>(ExitCode::Usage);
    }
    const Report report = runCommand(parsed);
    print(report, isSet(parsed, "--json"));
    return static_cast<int>(report.code_);
}

} // namespace eelgrasscove
