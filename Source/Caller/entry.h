#pragma once

/// The decisions of an entry, pure: state, one input and its time go in, actions come out.

#include "Caller/callermessages.h"
#include "ClientAccount/allowance.h"
#include "ClientAccount/ledger.h"
#include "ClientAccount/loan.h"
#include "Contract/claims.h"
#include "DataCentre/fleet.h"
#include "DataCentre/loadreport.h"
#include "DataCentre/routing.h"
#include "DataCentre/ruledistribution.h"
#include "DataCentre/vmnews.h"
#include "Link/linkservice.h"

#include <eelgrasscove/platform.h>
#include <eelgrasscove/rules.h>
#include <eelgrasscove/time.h>

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace eelgrasscove {

struct EntryPolicy
{
    Duration requestTimeout_ = std::chrono::seconds(120);
    /// Time an attempt may still run after its entry has given it up.
    Duration attemptMargin_ = std::chrono::seconds(30);
    /// Longest time a request waits for its account's tokens before it is refused.
    Duration allowanceHold_ = std::chrono::seconds(2);
    /// Longest time a request waits until some target process accepts it.
    Duration placementHold_ = std::chrono::seconds(5);
    /// Wait before the next try after a refusal that a little time may cure.
    Duration retryPause_ = std::chrono::milliseconds(50);
    /// Silence of an attempt after which its target process is asked about it.
    Duration answerSilence_ = std::chrono::seconds(1);
    /// Questions without an answer after which an idempotent request goes elsewhere.
    std::uint32_t unansweredQuestions_ = 3;
    /// Runs of an idempotent request whose earlier run came to no answer.
    std::uint32_t reruns_ = 2;
    std::uint32_t requests_ = 4096;
    /// Largest answer collected before it is passed on, and the largest that is resumed, in bytes.
    std::uint32_t answerBytes_ = 4 * 1024 * 1024;
    /// Keyed routes stop being served after so long without any source of rules.
    Duration rulesStaleAfter_ = std::chrono::hours(4);
    /// Crashes after which a request is refused here without asking a target, and for how long.
    std::uint32_t strikes_ = 2;
    Duration strikeMemory_ = std::chrono::minutes(10);
    RoutingPolicy routing_;
    LoadReportPolicy load_;
};

/// Where a request stands.
enum class Stage {
    /// Its idempotency key is being claimed.
    AwaitingClaim,
    AwaitingAllowance,
    AwaitingTarget,
    /// Offered; whether it was taken isn't known yet.
    Offered,
    /// Taken by a target process.
    Accepted,
};

/// A request in hand.
struct PendingRequest
{
    CallerRequest call_;
    RequestId id_;
    RouteRule route_;
    AccountName account_;
    KeyId keyId_;
    Revision rulesRevision_;
    Fingerprint fingerprint_;
    Stage stage_ = Stage::AwaitingAllowance;
    Time deadline_;
    /// When the present wait, for tokens or for a target, is given up.
    Time heldUntil_;
    Time nextTry_;
    std::vector<VmName> tried_;
    std::uint32_t reruns_ = 0;
    AttemptId attempt_;
    /// Why the latest try wasn't run.
    Reason lastReason_ = Reason::None;
    std::uint32_t retryAfter_ = 0;
    /// Its idempotency key is claimed for it.
    bool claimHeld_ = false;
    bool callerGone_ = false;
    bool headReceived_ = false;
    AnswerHead head_;
    /// Bytes of the answer received, without gap.
    std::uint64_t received_ = 0;
    /// The answer so far where it isn't streamed.
    std::string answer_;
};

/// One try at one target.
struct EntryAttempt
{
    AttemptId id_;
    RequestId request_;
    VmName vm_;
    std::string address_;
    Incarnation incarnation_;
    AccountName account_;
    std::int64_t reservedTokens_ = 0;
    Time heardAt_;
    /// Questions asked since the target process was last heard on this attempt.
    std::uint32_t questions_ = 0;
    Time deadline_;
    /// The request goes on elsewhere, or has ended; only the account is still to be settled.
    bool abandoned_ = false;
    /// Its target process is gone, or out of reach: its run may go on unseen. Its tokens stay
    /// reserved until it must have ended, or until the target tells that it has.
    bool lost_ = false;
};

/// A request's strikes as the target processes told them.
struct KnownStrike
{
    std::uint32_t count_ = 0;
    Time heardAt_;
};

/// When this entry of a large fleet next tells others of itself and of its data centre.
struct EntryLoad
{
    Time nextHeartbeats_;
    Time nextSummary_;
    Time createdAt_;
    bool spreadStarted_ = false;
    Time nextSpreadTick_;
    /// It has told that it leaves.
    bool toldLeaving_ = false;
    /// Time between readings of the VM list that its size asks for.
    Duration listPeriod_ = Duration(0);
};

struct Entry
{
    LinkIdentity identity_;
    EntryPolicy policy_;
    Rules rules_;
    bool haveRules_ = false;
    bool leaving_ = false;
    Allowance allowance_;
    Ledger ledger_;
    LoanBook loans_;
    Claims claims_;
    RuleDistribution spread_;
    Fleet fleet_;
    EntryLoad load_;
    std::map<RequestId, PendingRequest> requests_;
    std::map<CallerHandle, RequestId> requestByHandle_;
    std::map<AttemptId, EntryAttempt> attempts_;
    std::map<TargetGroup, RoutingTable> routing_;
    std::map<Fingerprint, KnownStrike> strikes_;
    std::uint64_t lastRequestNumber_ = 0;
    std::uint64_t lastAttemptNumber_ = 0;
    /// Messages that matched no attempt.
    std::uint64_t unmatchedMessages_ = 0;
};

struct EntryTick
{
};

/// No new requests; those in hand are finished.
struct StopRequested
{
};

using EntryInput =
    std::variant<CallerRequest, CallerGone, Envelope, LinkChanged, SendFailed, VmList, StoredRules,
                 KvOutcome, PlatformReachable, EntryTick, StopRequested>;

struct SendMessage
{
    std::string address_;
    Message message_;
};

/// Open the link to a peer ahead of its first message.
struct OpenLink
{
    std::string address_;
};

/// How a request ended, for logs, metrics and traces.
struct RequestRecord
{
    RequestId id_;
    RouteName route_;
    AccountName account_;
    VmName target_;
    std::uint32_t status_ = 0;
    std::string code_;
    RunState run_ = RunState::Ran;
    TraceContext trace_;
    std::string parentSpanId_;
    Time arrivedAt_;
};

/// A later revision of the rules is in force here.
struct RulesTaken
{
    Revision revision_;
};

/// Stored rules that can't be read; the former ones stay in force.
struct RulesUnreadable
{
    Revision revision_;
    std::string errors_;
};

using EntryAction =
    std::variant<SendMessage, CallerReply, RequestRecord, KvOperation, WatchPlatformRules,
                 ReadPlatformRules, RulesTaken, RulesUnreadable, OpenLink, SetVmListPeriod>;
using EntryActions = std::vector<EntryAction>;

/// An entry of this VM and incarnation that knows nothing yet.
Entry makeEntry(const VmSettings &vm, Incarnation incarnation, const EntryPolicy &policy, Time now);

void step(Entry &entry, EntryInput &&input, Time now, EntryActions &actions);

/// Sends this entry's heartbeat to its peers.
void sendHeartbeats(Entry &entry, Time now, EntryActions &actions);

/// Whether nothing is in hand any more.
bool idle(const Entry &entry);

/// The entry's state for operators, as a JSON object.
std::string entryStatusJson(const Entry &entry);

} // namespace eelgrasscove
