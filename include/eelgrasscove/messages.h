#pragma once

/// Messages between the system's own processes. Every message travels in an Envelope that names its
/// sender; fields are only ever added, so that old and new processes run side by side.

#include <eelgrasscove/names.h>
#include <eelgrasscove/nametable.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace eelgrasscove {

/// Version of the message set that this build writes; readers take any version up to it and above.
/// From 2 on a process reads several envelopes in one message of the link (Link/messagebatch.h).
constexpr std::uint32_t messageVersion = 2;
/// The first version whose entries take load reports, and whose processes take news of VMs.
constexpr std::uint32_t loadReportVersion = 2;

/// Whether a request was run, as told to callers and between processes.
enum class RunState {
    NotRun,
    Ran,
    OutcomeUnknown,
};

constexpr NameTable<RunState, 3> runStateNames = {{
    {RunState::NotRun, "not_run"},
    {RunState::Ran, "ran"},
    {RunState::OutcomeUnknown, "outcome_unknown"},
}};

/// Why a target process, or an entry, did not run a request or lost its outcome.
enum class Reason {
    None,
    QueueFull,
    Leaving,
    WrongIncarnation,
    KeyWithdrawn,
    UnknownRoute,
    AdapterLoadFailed,
    EngineDown,
    EngineCrashed,
    SuspectedKiller,
    Tombstone,
    DeadlinePassed,
    Cancelled,
    LinkLost,
    RulesStale,
    TargetError,
};

constexpr NameTable<Reason, 16> reasonNames = {{
    {Reason::None, "none"},
    {Reason::QueueFull, "queue_full"},
    {Reason::Leaving, "leaving"},
    {Reason::WrongIncarnation, "wrong_incarnation"},
    {Reason::KeyWithdrawn, "key_withdrawn"},
    {Reason::UnknownRoute, "unknown_route"},
    {Reason::AdapterLoadFailed, "adapter_load_failed"},
    {Reason::EngineDown, "engine_down"},
    {Reason::EngineCrashed, "engine_crashed"},
    {Reason::SuspectedKiller, "suspected_killer"},
    {Reason::Tombstone, "tombstone"},
    {Reason::DeadlinePassed, "deadline_passed"},
    {Reason::Cancelled, "cancelled"},
    {Reason::LinkLost, "link_lost"},
    {Reason::RulesStale, "rules_stale"},
    {Reason::TargetError, "target_error"},
}};

/// How urgent a request is at the target.
enum class Priority {
    Interactive,
    Batch,
};

constexpr NameTable<Priority, 2> priorityNames = {{
    {Priority::Interactive, "interactive"},
    {Priority::Batch, "batch"},
}};

/// Entry -> target process: run this attempt. Carries the account and the key's id, never the key.
struct Offer
{
    AttemptId attempt_;
    RequestId request_;
    /// The target process's run that the entry means; any other refuses as not run.
    Incarnation targetIncarnation_;
    AccountName account_;
    /// Empty on routes open to all.
    KeyId keyId_;
    RouteName route_;
    /// Rules the entry decided by; the target process holds the key and route against its own.
    Revision rulesRevision_;
    /// Empty for a plain service.
    AdapterKey adapter_;
    bool idempotent_ = true;
    Priority priority_ = Priority::Interactive;
    /// Tokens reserved for the attempt: the prompt's and the most it may generate.
    std::int64_t reservedTokens_ = 0;
    /// The prompt's part of them, charged as soon as the attempt runs.
    std::int64_t promptTokens_ = 0;
    /// Time the entry still waits for the end of the answer, in microseconds from its arrival.
    std::int64_t timeLeftMicros_ = 0;
    std::string method_;
    /// Path and query as the target shall see them.
    std::string path_;
    std::string contentType_;
    std::string body_;
    bool stream_ = false;
    Fingerprint fingerprint_;
    std::string traceparent_;
};

/// Target process -> entry: the attempt is queued or running here.
struct OfferAccepted
{
    AttemptId attempt_;
};

/// Target process -> entry: the attempt was not run here and never will be.
struct OfferRefused
{
    AttemptId attempt_;
    Reason reason_ = Reason::None;
    /// When to try again, in milliseconds; 0 where unknown.
    std::int64_t retryAfterMillis_ = 0;
};

/// Target process -> entry: status and type of the answer, before its first byte.
struct AnswerHead
{
    AttemptId attempt_;
    std::uint32_t status_ = 200;
    std::string contentType_;
};

/// Target process -> entry: a part of the answer's body. offset_ is in bytes from the body's start.
struct AnswerChunk
{
    AttemptId attempt_;
    std::uint64_t offset_ = 0;
    std::string bytes_;
    /// Tokens run for the attempt so far, the prompt's included.
    std::int64_t tokensRun_ = 0;
};

/// Target process -> entry: the answer is whole when the caller has length_ bytes.
struct AnswerEnd
{
    AttemptId attempt_;
    std::uint64_t length_ = 0;
    /// Tokens run in all, the prompt's included; 0 for plain services.
    std::int64_t tokensRun_ = 0;
};

/// Target process -> entry: the accepted attempt came to no answer.
struct AttemptFailed
{
    AttemptId attempt_;
    RunState runState_ = RunState::OutcomeUnknown;
    Reason reason_ = Reason::None;
    std::int64_t tokensRun_ = 0;
};

/// Entry -> target process: what became of this attempt? A started one resumes its answer at
/// haveOffset_. One that has not started is tombstoned and answered with OfferRefused if the entry
/// gives it up; else a queued one is answered with OfferAccepted.
struct AttemptQuery
{
    AttemptId attempt_;
    Incarnation targetIncarnation_;
    std::uint64_t haveOffset_ = 0;
    bool giveUp_ = true;
};

/// Entry -> target process: the caller has gone; stop the attempt.
struct AttemptCancel
{
    AttemptId attempt_;
};

/// Entry -> target process: the answer has arrived whole; its log may be dropped.
struct AnswerReceived
{
    AttemptId attempt_;
};

/// Role of a process of the system.
enum class Role {
    Entry,
    Target,
};

constexpr NameTable<Role, 2> roleNames = {{
    {Role::Entry, "entry"},
    {Role::Target, "target"},
}};

/// How one resident adapter stands at a target.
struct ResidentAdapter
{
    AdapterKey adapter_;
    std::uint32_t running_ = 0;
};

/// A strike against a request that was running when its target crashed.
struct Strike
{
    Fingerprint fingerprint_;
    std::uint32_t count_ = 0;
};

/// Free tokens of a client account at an entry, as a hint for who is short of them.
struct AccountFreeTokens
{
    AccountName account_;
    std::int64_t tokens_ = 0;
};

/// Process -> peers, periodically and at once when leaving.
struct Heartbeat
{
    Role role_ = Role::Entry;
    DataCentreName dataCentre_;
    bool leaving_ = false;
    Revision rulesRevision_;
    /// Only from target processes, below.
    TargetGroup group_;
    bool engineUp_ = true;
    std::uint32_t queued_ = 0;
    std::uint32_t running_ = 0;
    std::uint32_t batchSlots_ = 0;
    std::uint32_t adapterSlots_ = 0;
    std::vector<ResidentAdapter> residents_;
    std::vector<Strike> strikes_;
    /// Only from entries: the accounts with most free tokens, a bounded number of them.
    std::vector<AccountFreeTokens> freeTokens_;
    /// Counts this run's reports; load reports name the full one that they change. 0: unnumbered.
    std::uint64_t number_ = 0;
};

/// Process -> peer: send me the rules above this revision.
struct RulesRequest
{
    Revision have_;
};

/// Process -> peer: one whole revision of the rule file's text.
struct RulesText
{
    Revision revision_;
    std::string text_;
};

/// One change of a rule file's text: keep lines, then drop lines, then add lines.
struct RulesEdit
{
    std::uint32_t keep_ = 0;
    std::uint32_t drop_ = 0;
    std::vector<std::string> lines_;
};

/// Process -> peer: what turns one revision of the rule file's text into the next.
struct RulesDelta
{
    Revision from_;
    Revision to_;
    std::vector<RulesEdit> edits_;
    /// Digest of the resulting text, 16 lower-case hex digits.
    std::string digest_;
};

/// Process -> peer: send me this part of the rule file.
struct RulesPartRequest
{
    Revision revision_;
    std::uint32_t part_ = 0;
};

/// Process -> peer: one part of a rule file's text. Revision 0 with no parts: the sender has none.
struct RulesPart
{
    Revision revision_;
    std::uint32_t part_ = 0;
    std::uint32_t parts_ = 0;
    /// Digest of the whole text, 16 lower-case hex digits.
    std::string digest_;
    std::string bytes_;
};

/// Entry -> entry: lend me tokens. number_ grows with every request of the borrower's incarnation;
/// a repeated number means the same loan.
struct LoanRequest
{
    AccountName account_;
    std::uint64_t number_ = 0;
    std::int64_t tokens_ = 0;
};

/// Entry -> entry: what is lent; 0 where nothing is. The lender counts it as outstanding.
struct LoanGrant
{
    AccountName account_;
    std::uint64_t number_ = 0;
    std::int64_t tokens_ = 0;
    /// What the lender still has free.
    std::int64_t freeTokens_ = 0;
};

/// Entry -> entry: what has become of a loan so far. Both counts are totals and only grow.
struct LoanReport
{
    AccountName account_;
    std::uint64_t number_ = 0;
    std::int64_t tokensRun_ = 0;
    std::int64_t tokensReturned_ = 0;
    /// No token of the loan will be run any more.
    bool closed_ = false;
};

/// Entry -> entry: the lender has taken in the last report; the loan is over.
struct LoanClosed
{
    AccountName account_;
    std::uint64_t number_ = 0;
};

/// A resident adapter that is new, has another number of running requests, or is gone.
struct ResidentChange
{
    AdapterName adapter_;
    AdapterVersion version_;
    std::uint32_t running_ = 0;
    bool gone_ = false;
};

/// Target process -> entries of its data centre: what changed since a full heartbeat. Changes are
/// cumulative since that heartbeat, so that a lost report does no harm.
struct LoadReport
{
    std::uint64_t number_ = 0;
    /// Number of the heartbeat that this report changes.
    std::uint64_t base_ = 0;
    bool leaving_ = false;
    bool engineUp_ = true;
    Revision rulesRevision_;
    std::uint32_t queued_ = 0;
    std::uint32_t running_ = 0;
    std::vector<ResidentChange> changes_;
};

/// Entry -> target process: your latest load report names a heartbeat that never came here.
struct FullReportRequest
{
};

/// A target process of another data centre that can take work.
struct SpareTarget
{
    VmName vm_;
    Incarnation incarnation_;
    std::string address_;
    std::uint32_t freeSlots_ = 0;
};

/// Load of one target group in one data centre.
struct GroupSummary
{
    TargetGroup group_;
    std::uint32_t targets_ = 0;
    std::uint32_t batchSlots_ = 0;
    std::uint32_t running_ = 0;
    std::uint32_t queued_ = 0;
    /// Those with the most free slots.
    std::vector<SpareTarget> spares_;
};

/// Entry -> entries of other data centres: the load of its whole data centre.
struct DataCentreSummary
{
    DataCentreName dataCentre_;
    Revision rulesRevision_;
    std::vector<GroupSummary> groups_;
    /// The most recent strikes known there, a bounded number of them.
    std::vector<Strike> strikes_;
    /// What the sender itself has free, as in its heartbeats, of fewer accounts.
    std::vector<AccountFreeTokens> freeTokens_;
};

/// One VM as the platform lists it. The list lags behind the truth.
struct ListedVm
{
    VmName vm_;
    RegionName region_;
    DataCentreName dataCentre_;
    Role role_ = Role::Entry;
    /// Where the system's process on the VM receives messages, for example "tcp://127.0.0.1:7401".
    std::string address_;
    /// Empty for entry VMs.
    TargetGroup group_;
    bool leaving_ = false;
    /// Operators have drained it, which counts as leaving. Only seen by who reads the marks.
    bool drained_ = false;
};

/// Process -> processes of its data centre: what it has just read of the platform.
struct VmNews
{
    /// VMs that are newly listed, or newly listed as leaving.
    std::vector<ListedVm> vms_;
    /// Whether drained_ below is told; it is then the whole set of drained VMs.
    bool tellsDrained_ = false;
    std::vector<VmName> drained_;
};

using Message = std::variant<Offer, OfferAccepted, OfferRefused, AnswerHead, AnswerChunk, AnswerEnd,
                             AttemptFailed, AttemptQuery, AttemptCancel, AnswerReceived, Heartbeat,
                             RulesRequest, RulesText, RulesDelta, RulesPartRequest, RulesPart,
                             LoanRequest, LoanGrant, LoanReport, LoanClosed, LoadReport,
                             FullReportRequest, DataCentreSummary, VmNews>;

/// A message with its sender.
struct Envelope
{
    std::uint32_t version_ = messageVersion;
    VmName from_;
    Incarnation incarnation_;
    /// Where the sender receives, for example "tcp://127.0.0.1:7401".
    std::string replyAddress_;
    Message message_;
};

} // namespace eelgrasscove
