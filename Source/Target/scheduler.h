#pragma once

/// The scheduler of a target process, through which all requests to its target pass. It decides
/// which offers to accept, what runs next, which adapters to load and evict, and what to report to
/// entries. Pure functions: no clock, I/O or threads; each step takes an input with its time and
/// returns the actions to perform.

#include "Target/attempts.h"
#include "Target/crashcounts.h"
#include "Target/engineevents.h"
#include "Target/fairqueue.h"
#include "Target/residency.h"
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
struct SchedulerPolicy
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
    Duration engineDownTimeout_ = std::chrono::seconds(1);
    /// Interactive work that has waited this long for a load may claim the slot of an adapter in
    /// use; no further run then starts on that adapter.
    Duration maxLoadWait_ = std::chrono::milliseconds(500);
    /// Minimum time that an adapter in use or with queued work stays resident before its slot can
    /// be claimed.
    Duration minResidencyTime_ = std::chrono::seconds(1);
    /// A crash suspect that has waited this long blocks other starts until it has run alone. After
    /// a suspect has run, other requests may start for the same period.
    Duration maxSuspectWait_ = std::chrono::seconds(1);
    /// Retention of responses that no entry has confirmed as received, while the target is
    /// draining.
    Duration drainingResponseRetention_ = std::chrono::seconds(5);
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
struct Drain
{
};

using SchedulerInput =
    std::variant<MessageReceived, EngineEvent, RulesReceived, RulesConfirmed, TimePassed, Drain>;

struct MessageToSend
{
    std::string address_;
    Message message_;
};

/// A heartbeat should be sent to peers now.
struct SendHeartbeat
{
};

/// New crash counts should be sent to peer targets now.
struct SendCrashCounts
{
};

enum class SchedulerEventKind {
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
    Draining,
};

constexpr NameTable<SchedulerEventKind, 16> schedulerEventNames = {{
    {SchedulerEventKind::AttemptAccepted, "attempt_accepted"},
    {SchedulerEventKind::AttemptRefused, "attempt_refused"},
    {SchedulerEventKind::AttemptStarted, "attempt_started"},
    {SchedulerEventKind::AttemptEnded, "attempt_ended"},
    {SchedulerEventKind::AttemptFailed, "attempt_failed"},
    {SchedulerEventKind::AdapterLoadStarted, "adapter_load_started"},
    {SchedulerEventKind::AdapterLoaded, "adapter_loaded"},
    {SchedulerEventKind::AdapterLoadFailed, "adapter_load_failed"},
    {SchedulerEventKind::AdapterEvicted, "adapter_evicted"},
    {SchedulerEventKind::EngineUp, "engine_up"},
    {SchedulerEventKind::EngineDown, "engine_down"},
    {SchedulerEventKind::EngineCrashed, "engine_crashed"},
    {SchedulerEventKind::ForeignRunCancelled, "foreign_run_cancelled"},
    {SchedulerEventKind::RulesAdopted, "rules_adopted"},
    {SchedulerEventKind::Superseded, "superseded"},
    {SchedulerEventKind::Draining, "leaving"},
}};

/// An event for the log and the metrics.
struct SchedulerEvent
{
    SchedulerEventKind kind_ = SchedulerEventKind::AttemptAccepted;
    AttemptId attempt_;
    RequestId request_;
    AdapterKey adapter_;
    Reason reason_ = Reason::None;
    /// Incarnation, revision, fencing number or number of crashed runs, depending on kind_.
    std::uint64_t number_ = 0;
};

enum class SchedulerSpanKind {
    Queue,
    Load,
    Target,
};

constexpr NameTable<SchedulerSpanKind, 3> schedulerSpanNames = {{
    {SchedulerSpanKind::Queue, "target.queue"},
    {SchedulerSpanKind::Load, "target.load"},
    {SchedulerSpanKind::Target, "target.run"},
}};

/// A completed trace span of an attempt.
struct SchedulerSpan
{
    SchedulerSpanKind kind_ = SchedulerSpanKind::Queue;
    std::string traceparent_;
    AttemptId attempt_;
    AdapterKey adapter_;
    Time start_;
    Time end_;
};

using SchedulerAction = std::variant<MessageToSend, EngineCommand, SendHeartbeat, SendCrashCounts,
                                     SchedulerEvent, SchedulerSpan>;
using SchedulerActions = std::vector<SchedulerAction>;

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
    /// Another reading is to be requested as soon as the outstanding one has a result.
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

struct TargetScheduler
{
    SchedulerPolicy policy_;
    Incarnation incarnation_;
    FencingNumber fencingNumber_;
    bool isDraining_ = false;
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
    std::deque<QueueItem> suspectQueue_;
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
SchedulerPolicy schedulerPolicy(const TargetSettings &target, const RulesSettings &rules);

/// Returns a scheduler that has not read its engine's state yet. A plain service counts as up.
TargetScheduler makeScheduler(const SchedulerPolicy &policy, Incarnation incarnation,
                              FencingNumber fencingNumber, Time now);

/// Applies an input at the given time and returns the actions to perform.
SchedulerActions step(TargetScheduler &scheduler, SchedulerInput input, Time now);

/// Returns whether the scheduler is draining and has no open attempts left.
bool isDrained(const TargetScheduler &scheduler);

/// Returns the load that a heartbeat reports; the caller fills in the names of the VM and the data
/// centre.
Heartbeat loadReport(const TargetScheduler &scheduler, Time now);

} // namespace eelgrasscove
