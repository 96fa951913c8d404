#pragma once

/// The scenario language: one declaration, step or expectation a line, "#" begins a comment.
///
/// Declarations, before the first step:
///     entry NAME [data-centre DC]
///     engine NAME group GROUP [adapter-slots N] [batch-slots N] [token TIME] [load TIME]
///            [restart TIME] [crash-marker TEXT] [check-fencing] [data-centre DC]
///     service NAME group GROUP [delay TIME] [data-centre DC]
///     setting PROCESS SECTION KEY VALUE
///     rules NAME ... end      (rule-file lines; {KEY} stands for the digest of the key KEY)
///     rules NAME from FILE    (the same from a file beside the scenario)
///
/// An engine or service is a VM: NAME is the system's process beside the target.
///
/// Steps:
///     start|stop|kill|freeze|thaw|restart NAME...      ("all" for every process of the system)
///     cut|heal|blackhole|delay|lose-replies link|platform|target NAME [TIME]
///     platform up|down|slow TIME|drop-replies N|list-lag TIME
///     platform remember|stale-reads|fresh-reads   (stale: as at the moment remembered)
///     list leaving|live|removed NAME
///     target NAME crash|fail-loads N|freeze TIME|keep-runs|close-before-reply N|fail-calls N
///     apply RULES [expecting conflict|partly]   (partly: accepted, not in force everywhere yet)
///     withdraw KEY [expecting partly]
///     drain NAME
///     send NAME [count N] via ENTRY[,ENTRY] [key KEY] route ROUTE [tokens N] [stream] [chat]
///          [stop-after N] [prompt TEXT] [idempotency-key TEXT]
///     send NAME [count N] via ENTRY[,ENTRY] [key KEY] METHOD /path [idempotency-key TEXT]
///     resend NAME of NAME via ENTRY
///     repeat NAME ... until status N|code CODE   (as send; sent anew until the answer comes)
///     cancel NAME
///     await answers NAME...|started NAME|tokens NAME N|ready NAME...|exited NAME
///     await adapter ENGINE ADAPTER@VERSION
///
/// Expectations; NAME stands for all requests of a send with a count:
///     expect NAME status N|N
///     expect NAME run not_run|ran|outcome_unknown
///     expect NAME code CODE
///     expect NAME whole
///     expect NAME from ADAPTER@VERSION
///     expect NAME at-least N whole
///     expect exit NAME N
///     expect loads|unloads|runs|bookings TARGET at-most|at-least|exactly N
///     expect platform writes|reads at-most N
///
/// TIME is a number with us, ms or s.

#include <eelgrasscove/nametable.h>
#include <eelgrasscove/result.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace scenarios {

using Micros = std::chrono::microseconds;

/// A fault of a scenario file, with what to do about it.
struct ScenarioError
{
    std::string file_;
    std::uint32_t line_ = 0;
    std::string message_;
    std::string remedy_;
};

/// "file:line: message; remedy".
std::string describe(const ScenarioError &error);

enum class VmKind {
    Entry,
    Engine,
    Service,
};

struct VmDeclaration
{
    VmKind kind_ = VmKind::Entry;
    std::string name_;
    std::string dataCentre_ = "north";
    std::string group_;
    std::int64_t adapterSlots_ = 8;
    std::int64_t batchSlots_ = 16;
    Micros tokenTime_ = std::chrono::milliseconds(2);
    Micros loadTime_ = std::chrono::milliseconds(20);
    Micros restartTime_ = std::chrono::milliseconds(200);
    Micros delay_ = Micros(0);
    std::string crashMarker_;
    bool checkFencing_ = false;
};

/// One INI setting of one process, over the runner's own.
struct SettingDeclaration
{
    std::string process_;
    std::string section_;
    std::string key_;
    std::string value_;
};

struct RulesDeclaration
{
    std::string name_;
    std::string text_;
    /// Where the text is still to be read from; empty where it stands in the scenario.
    std::string file_;
};

enum class ProcessAction {
    Start,
    Stop,
    Kill,
    Freeze,
    Thaw,
    Restart,
};

constexpr eelgrasscove::NameTable<ProcessAction, 6> processActionNames = {{
    {ProcessAction::Start, "start"},
    {ProcessAction::Stop, "stop"},
    {ProcessAction::Kill, "kill"},
    {ProcessAction::Freeze, "freeze"},
    {ProcessAction::Thaw, "thaw"},
    {ProcessAction::Restart, "restart"},
}};

struct ProcessStep
{
    ProcessAction action_ = ProcessAction::Start;
    std::vector<std::string> names_;
};

enum class LinkAction {
    Cut,
    Heal,
    Blackhole,
    Delay,
    LoseReplies,
};

constexpr eelgrasscove::NameTable<LinkAction, 5> linkActionNames = {{
    {LinkAction::Cut, "cut"},
    {LinkAction::Heal, "heal"},
    {LinkAction::Blackhole, "blackhole"},
    {LinkAction::Delay, "delay"},
    {LinkAction::LoseReplies, "lose-replies"},
}};

/// Which way a relay stands in: before a process's inbox, between a process and the platform, or
/// between a process and its target.
enum class LinkKind {
    Link,
    Platform,
    Target,
};

constexpr eelgrasscove::NameTable<LinkKind, 3> linkKindNames = {{
    {LinkKind::Link, "link"},
    {LinkKind::Platform, "platform"},
    {LinkKind::Target, "target"},
}};

struct LinkStep
{
    LinkAction action_ = LinkAction::Cut;
    LinkKind kind_ = LinkKind::Link;
    std::string name_;
    Micros delay_ = Micros(0);
};

enum class PlatformAction {
    Up,
    Down,
    Slow,
    DropReplies,
    ListLag,
    Remember,
    StaleReads,
    FreshReads,
};

constexpr eelgrasscove::NameTable<PlatformAction, 8> platformActionNames = {{
    {PlatformAction::Up, "up"},
    {PlatformAction::Down, "down"},
    {PlatformAction::Slow, "slow"},
    {PlatformAction::DropReplies, "drop-replies"},
    {PlatformAction::ListLag, "list-lag"},
    {PlatformAction::Remember, "remember"},
    {PlatformAction::StaleReads, "stale-reads"},
    {PlatformAction::FreshReads, "fresh-reads"},
}};

struct PlatformStep
{
    PlatformAction action_ = PlatformAction::Up;
    Micros time_ = Micros(0);
    std::int64_t count_ = 0;
};

enum class ListAction {
    Leaving,
    Live,
    Removed,
};

constexpr eelgrasscove::NameTable<ListAction, 3> listActionNames = {{
    {ListAction::Leaving, "leaving"},
    {ListAction::Live, "live"},
    {ListAction::Removed, "removed"},
}};

struct ListStep
{
    ListAction action_ = ListAction::Leaving;
    std::string name_;
};

enum class TargetAction {
    Crash,
    FailLoads,
    Freeze,
    KeepRuns,
    CloseBeforeReply,
    FailCalls,
};

constexpr eelgrasscove::NameTable<TargetAction, 6> targetActionNames = {{
    {TargetAction::Crash, "crash"},
    {TargetAction::FailLoads, "fail-loads"},
    {TargetAction::Freeze, "freeze"},
    {TargetAction::KeepRuns, "keep-runs"},
    {TargetAction::CloseBeforeReply, "close-before-reply"},
    {TargetAction::FailCalls, "fail-calls"},
}};

struct TargetStep
{
    TargetAction action_ = TargetAction::Crash;
    std::string name_;
    Micros time_ = Micros(0);
    std::int64_t count_ = 0;
};

/// How an applied change of the rules ends.
enum class ApplyOutcome {
    /// In force on every running process.
    Everywhere,
    /// Accepted, but not everywhere in force within the tool's wait.
    Partly,
    /// Refused, for it was made from an older revision.
    Conflict,
};

constexpr eelgrasscove::NameTable<ApplyOutcome, 3> applyOutcomeNames = {{
    {ApplyOutcome::Everywhere, "everywhere"},
    {ApplyOutcome::Partly, "partly"},
    {ApplyOutcome::Conflict, "conflict"},
}};

struct ApplyStep
{
    std::string rules_;
    ApplyOutcome outcome_ = ApplyOutcome::Everywhere;
};

struct WithdrawStep
{
    std::string key_;
    ApplyOutcome outcome_ = ApplyOutcome::Everywhere;
};

struct DrainStep
{
    std::string name_;
};

/// One request, or count_ equal ones named NAME.1, NAME.2 and so on, entries taken in turn.
struct SendStep
{
    std::string name_;
    std::int64_t count_ = 1;
    std::vector<std::string> entries_;
    /// Name of the key; empty to send none.
    std::string key_;
    /// Set for completions.
    std::string route_;
    /// Set for plain services.
    std::string method_;
    std::string path_;
    std::int64_t maxTokens_ = 16;
    std::int64_t stopAfter_ = 0;
    bool stream_ = false;
    bool chat_ = false;
    std::string prompt_;
    std::string idempotencyKey_;
    /// The request whose body and Idempotency-Key are sent again; empty for a new one.
    std::string resendOf_;
    /// Sent anew until this status comes; 0 to send once.
    std::int64_t untilStatus_ = 0;
    /// The same for an error's code; empty for none.
    std::string untilCode_;
};

struct CancelStep
{
    std::string name_;
};

enum class AwaitKind {
    Answers,
    Started,
    Tokens,
    Ready,
    Exited,
    Adapter,
};

constexpr eelgrasscove::NameTable<AwaitKind, 6> awaitKindNames = {{
    {AwaitKind::Answers, "answers"},
    {AwaitKind::Started, "started"},
    {AwaitKind::Tokens, "tokens"},
    {AwaitKind::Ready, "ready"},
    {AwaitKind::Exited, "exited"},
    {AwaitKind::Adapter, "adapter"},
}};

struct AwaitStep
{
    AwaitKind kind_ = AwaitKind::Answers;
    std::vector<std::string> names_;
    std::int64_t count_ = 0;
    std::string adapter_;
};

enum class AnswerProperty {
    Status,
    Run,
    Code,
    Whole,
    From,
    AtLeastWhole,
};

constexpr eelgrasscove::NameTable<AnswerProperty, 6> answerPropertyNames = {{
    {AnswerProperty::Status, "status"},
    {AnswerProperty::Run, "run"},
    {AnswerProperty::Code, "code"},
    {AnswerProperty::Whole, "whole"},
    {AnswerProperty::From, "from"},
    {AnswerProperty::AtLeastWhole, "at-least"},
}};

struct ExpectAnswer
{
    std::string name_;
    AnswerProperty property_ = AnswerProperty::Status;
    /// Any of these fits; statuses as numbers.
    std::vector<std::string> values_;
    std::int64_t count_ = 0;
};

struct ExpectExit
{
    std::string name_;
    std::int64_t code_ = 0;
};

enum class Counted {
    Loads,
    Unloads,
    Runs,
    Bookings,
    PlatformReads,
    PlatformWrites,
};

constexpr eelgrasscove::NameTable<Counted, 4> targetCountNames = {{
    {Counted::Loads, "loads"},
    {Counted::Unloads, "unloads"},
    {Counted::Runs, "runs"},
    {Counted::Bookings, "bookings"},
}};

constexpr eelgrasscove::NameTable<Counted, 2> platformCountNames = {{
    {Counted::PlatformReads, "reads"},
    {Counted::PlatformWrites, "writes"},
}};

enum class Bound {
    AtMost,
    AtLeast,
    Exactly,
};

constexpr eelgrasscove::NameTable<Bound, 3> boundNames = {{
    {Bound::AtMost, "at-most"},
    {Bound::AtLeast, "at-least"},
    {Bound::Exactly, "exactly"},
}};

struct ExpectCount
{
    Counted counted_ = Counted::Runs;
    /// The target; empty for the platform's counts.
    std::string name_;
    Bound bound_ = Bound::AtMost;
    std::int64_t count_ = 0;
};

using StepAction =
    std::variant<ProcessStep, LinkStep, PlatformStep, ListStep, TargetStep, ApplyStep, WithdrawStep,
                 DrainStep, SendStep, CancelStep, AwaitStep, ExpectAnswer, ExpectExit, ExpectCount>;

struct Step
{
    std::uint32_t line_ = 0;
    std::string text_;
    StepAction action_;
};

struct Scenario
{
    std::string file_;
    std::vector<VmDeclaration> vms_;
    std::vector<SettingDeclaration> settings_;
    std::vector<RulesDeclaration> rules_;
    std::vector<Step> steps_;
};

/// The declared VM; null where there is none.
const VmDeclaration *findVm(const Scenario &scenario, const std::string &name);

/// Reads a scenario file's text, or says what is wrong with its first bad line.
eelgrasscove::Result<Scenario, ScenarioError> parseScenario(const std::string &text,
                                                            const std::string &file);

} // namespace scenarios
