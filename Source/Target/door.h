#pragma once

/// The scheduler of a target process, through which all requests to its target pass. It decides
/// which offers to accept, what runs next, which adapters to load and evict, and what to report to
/// entries. Pure functions: no clock, I/O or threads; each step takes an input with its time and
/// returns the actions to perform.

#include "Target/attempts.h"
#include "Target/engineevents.h"
#include "Target/fairqueue.h"
#include "Target/residency.h"
#include "Target/strikes.h"
#include "Vm/settings.h"

#include <eelgrasscove/messages.h>
#include <eelgrasscove/nametable.h>
#include <eelgrasscove/rules.h>
#include <eelgrasscove/time.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace eelgrasscove {

/// The settings, and the limits and periods that are not configurable.
struct DoorPolicy
{
    TargetSettings target_;
    RulesSettings rules_;
    AttemptPolicy attempts_;
    LoadPolicy loads_;
    /// Minimum time between requests to peers for newer rules.
    Duration rulesRequestPeriod_ = std::chrono::milliseconds(200);
    /// Period between readings of the engine's state.
    Duration statePeriod_ = std::chrono::milliseconds(500);
    /// Reading period while foreign runs have yet to end or the residents are uncertain.
    Duration urgentStatePeriod_ = std::chrono::milliseconds(50);
    /// Queued work is refused once the engine has been down for this long.
    Duration engineDownPatience_ = std::chrono::seconds(1);
    /// Interactive work that has waited this long for a load may claim the slot of an adapter in
    /// use; no further run then starts on that adapter.
    Duration loadPatience_ = std::chrono::milliseconds(500);
    /// Minimum time that an adapter in use or with queued work stays resident before its slot can
    /// be claimed.
    Duration visit_ = std::chrono::seconds(1);
    /// A crash suspect that has waited this long blocks other starts until it has run alone. After
    /// a suspect has run, other requests may start for the same period.
    Duration maxSuspectWait_ = std::chrono::seconds(1);
    /// Retention of answers whose receipt no entry has confirmed, while the target is draining.
    Duration leavingAnswerMemory_ = std::chrono::seconds(5);
};

/// A message from another process.
struct MessageReceived
{
    std::string replyAddress_;
    Message message_;
};

/// A revision of the rules, parsed.
struct RulesReceived
{
    Rules rules_;
};

/// A source of rules was contacted, whether or not it had a newer revision.
struct RulesConfirmed
{
};

/// Periodic tick.
struct TimePassed
{
};

/// Start draining: accept no new work and finish the open attempts.
struct Leave
{
};

using DoorInput =
    std::variant<MessageReceived, EngineEvent, RulesReceived, RulesConfirmed, TimePassed, Leave>;

struct MessageToSend
{
    std::string address_;
    Message message_;
};

/// A heartbeat should be sent to peers now.
struct Announce
{
};

/// New crash counts should be sent to peer targets now.
struct AnnounceStrikes
{
};

enum class DoorEventKind {
    AttemptAccepted,
    AttemptRefused,
    AttemptStarted,
    AttemptEnded,
    AttemptFailed,
    AdapterLoadStarted,
    AdapterLoaded,
    AdapterLoadFailed,
    AdapterEvicted,
    EngineUp,
    EngineDown,
    EngineCrashed,
    ForeignRunCancelled,
    RulesAdopted,
    Superseded,
    Leaving,
};

constexpr NameTable<DoorEventKind, 16> doorEventNames = {{
    {DoorEventKind::AttemptAccepted, "attempt_accepted"},
    {DoorEventKind::AttemptRefused, "attempt_refused"},
    {DoorEventKind::AttemptStarted, "attempt_started"},
    {DoorEventKind::AttemptEnded, "attempt_ended"},
    {DoorEventKind::AttemptFailed, "attempt_failed"},
    {DoorEventKind::AdapterLoadStarted, "adapter_load_started"},
    {DoorEventKind::AdapterLoaded, "adapter_loaded"},
    {DoorEventKind::AdapterLoadFailed, "adapter_load_failed"},
    {DoorEventKind::AdapterEvicted, "adapter_evicted"},
    {DoorEventKind::EngineUp, "engine_up"},
    {DoorEventKind::EngineDown, "engine_down"},
    {DoorEventKind::EngineCrashed, "engine_crashed"},
    {DoorEventKind::ForeignRunCancelled, "foreign_run_cancelled"},
    {DoorEventKind::RulesAdopted, "rules_adopted"},
    {DoorEventKind::Superseded, "superseded"},
    {DoorEventKind::Leaving, "leaving"},
}};

/// An event for the log and the metrics.
struct DoorEvent
{
    DoorEventKind kind_ = DoorEventKind::AttemptAccepted;
    AttemptId attempt_;
    RequestId request_;
    AdapterKey adapter_;
    Reason reason_ = Reason::None;
    /// Incarnation, revision, fencing number or number of crashed runs, depending on kind_.
    std::uint64_t number_ = 0;
};

enum class DoorSpanKind {
    Queue,
    Load,
    Target,
};

constexpr NameTable<DoorSpanKind, 3> doorSpanNames = {{
    {DoorSpanKind::Queue, "target.queue"},
    {DoorSpanKind::Load, "target.load"},
    {DoorSpanKind::Target, "target.run"},
}};

/// A completed trace span of an attempt.
struct DoorSpan
{
    DoorSpanKind kind_ = DoorSpanKind::Queue;
    std::string traceparent_;
    AttemptId attempt_;
    AdapterKey adapter_;
    Time start_;
    Time end_;
};

using DoorAction =
    std::variant<MessageToSend, EngineCommand, Announce, AnnounceStrikes, DoorEvent, DoorSpan>;
using DoorActions = std::vector<DoorAction>;

enum class EngineStatus {
    /// The engine's state has not been read yet.
    Unknown,
    Up,
    Down,
};

/// A run on the engine that this process did not start, or whose connection it has lost. It
/// occupies a batch slot and pins its adapter until a reading of the engine's state no longer lists
/// it.
struct ForeignRun
{
    AdapterKey adapter_;
    /// Whether the run is counted in the adapter's slot.
    bool pinsAdapter_ = false;
    /// Number of the first reading that can show that the run has ended.
    std::uint64_t firstConclusiveRead_ = 0;
};

/// The scheduler's view of its engine.
struct EngineView
{
    EngineStatus status_ = EngineStatus::Unknown;
    /// Unset until the first state has been read.
    std::optional<Incarnation> incarnation_;
    std::uint32_t batchSlots_ = 1;
    /// Number of the last reading that was requested, and whether its reply is outstanding.
    std::uint64_t lastRead_ = 0;
    bool isReadOutstanding_ = false;
    /// Another reading is to be requested as soon as the outstanding one is answered.
    bool hasPendingRead_ = false;
    Time nextReadAt_;
    Time downSince_;
    /// It is not certain which adapters are resident; nothing starts until a reading shows it.
    bool areResidentsUncertain_ = false;
    /// Number of the first reading that shows which adapters are resident.
    std::uint64_t firstConclusiveRead_ = 0;
    /// Number of the last adapter order sent.
    std::uint64_t lastOrder_ = 0;
    std::unordered_map<AttemptId, ForeignRun> foreign_;
};

struct Door
{
    DoorPolicy policy_;
    Incarnation incarnation_;
    FencingNumber fencingNumber_;
    bool leaving_ = false;
    Time drainingSince_;
    /// Another target process with a higher fencing number sends orders to this engine.
    bool isSuperseded_ = false;
    Rules rules_;
    Time rulesConfirmedAt_;
    /// When rules were last requested from a peer; unset before the first request.
    std::optional<Time> rulesRequestedAt_;
    EngineView engine_;
    Attempts attempts_;
    FairQueue queue_;
    /// Crash suspects that wait to run alone, in the order in which they left the queue.
    std::deque<QueueItem> suspects_;
    CrashCounts crashCounts_;
    Residency residency_;
    /// Number of attempts that are running or whose connection is lost.
    std::uint32_t running_ = 0;
    /// The crash suspect that runs alone now; empty if none does.
    AttemptId runningSuspect_;
    /// No crash suspect starts before this time while other work is queued, so that other requests
    /// run between two suspects.
    Time nextSuspectAt_;
    /// The account for which the last load was started.
    AccountName lastLoadAccount_;
    /// Exponentially smoothed duration of a run.
    Duration smoothedRunTime_ = std::chrono::seconds(1);
};

/// Returns the policy for the settings.
DoorPolicy doorPolicy(const TargetSettings &target, const RulesSettings &rules);

/// Returns a scheduler that has not read its engine's state yet. A plain service counts as up.
Door makeDoor(const DoorPolicy &policy, Incarnation incarnation, FencingNumber fencingNumber,
              Time now);

/// Applies an input at the given time and returns the actions to perform.
DoorActions step(Door &scheduler, DoorInput input, Time now);

/// Returns whether the scheduler is draining and has no open attempts left.
bool drained(const Door &scheduler);

/// Returns the load that a heartbeat reports; the caller fills in the names of the VM and the data
/// centre.
Heartbeat loadReport(const Door &scheduler, Time now);

} // namespace eelgrasscove
