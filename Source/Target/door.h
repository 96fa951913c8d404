#pragma once

/// The decisions of a target process, the one door of its target: which offers it takes, what runs
/// next, which adapters are loaded and evicted, and what entries are told. Pure: inputs with their
/// time come in, actions come out.

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

/// What the door is told to do, beside the settings.
struct DoorPolicy
{
    TargetSettings target_;
    RulesSettings rules_;
    AttemptPolicy attempts_;
    LoadPolicy loads_;
    /// Least time between questions to peers for newer rules.
    Duration rulesAskPeriod_ = std::chrono::milliseconds(200);
    /// Time between readings of the engine's state.
    Duration statePeriod_ = std::chrono::milliseconds(500);
    /// The same while the end of a run that isn't ours is awaited.
    Duration urgentStatePeriod_ = std::chrono::milliseconds(50);
    /// Queued work is refused once the engine has been down for so long.
    Duration engineDownPatience_ = std::chrono::seconds(1);
    /// Work that has waited so long for a load may claim the slot of an adapter in use, by letting
    /// nothing more start on it.
    Duration loadPatience_ = std::chrono::milliseconds(500);
    /// Shortest time that an adapter with queued work stays before its slot is claimed.
    Duration visit_ = std::chrono::seconds(1);
    /// A suspect that has waited so long holds back other starts until it has run alone.
    Duration suspectPatience_ = std::chrono::seconds(1);
    /// Answers that no entry has confirmed are kept so long by a door that leaves.
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

/// A source of rules was heard from, whether or not it had news.
struct RulesConfirmed
{
};

/// Time has passed.
struct TimePassed
{
};

/// Take no new work, and finish what is in hand.
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

/// Peers should hear a heartbeat now.
struct Announce
{
};

/// Peer targets should hear of new strikes now.
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

/// Something that happened, for the log and the metrics.
struct DoorEvent
{
    DoorEventKind kind_ = DoorEventKind::AttemptAccepted;
    AttemptId attempt_;
    RequestId request_;
    AdapterKey adapter_;
    Reason reason_ = Reason::None;
    /// Incarnation, revision or fencing number that the event is about.
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

/// One hop of an attempt that is over.
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
    /// Its state has yet to be read.
    Unknown,
    Up,
    Down,
};

/// A run on the engine that this process didn't start, or has lost sight of. It holds a batch slot
/// and pins its adapter until a reading no longer shows it.
struct ForeignRun
{
    AdapterKey adapter_;
    /// Whether it is counted in the adapter's slot.
    bool pins_ = false;
    /// Only this reading or a later one can tell that it is gone.
    std::uint64_t goneByRead_ = 0;
};

/// What the door knows of its target.
struct EngineView
{
    EngineStatus status_ = EngineStatus::Unknown;
    /// Unset until the first state has been read.
    std::optional<Incarnation> incarnation_;
    std::uint32_t batchSlots_ = 1;
    /// Number of the last reading that was asked for, and whether its answer is awaited.
    std::uint64_t lastRead_ = 0;
    bool reading_ = false;
    /// Another reading is wanted as soon as this one is answered.
    bool readAgain_ = false;
    Time nextReadAt_;
    Time downSince_;
    /// What is resident is in doubt, and nothing starts until a reading settles it.
    bool uncertain_ = false;
    /// Only this reading or a later one settles it.
    std::uint64_t settledByRead_ = 0;
    /// Number of the last order given.
    std::uint64_t lastOrder_ = 0;
    std::unordered_map<AttemptId, ForeignRun> foreign_;
};

struct Door
{
    DoorPolicy policy_;
    Incarnation incarnation_;
    FencingNumber fencingNumber_;
    bool leaving_ = false;
    Time leavingSince_;
    /// Another door gives orders to this engine.
    bool superseded_ = false;
    Rules rules_;
    Time rulesHeardAt_;
    /// When a peer was last asked for its rules; unset before the first time.
    std::optional<Time> rulesAskedAt_;
    EngineView engine_;
    Attempts attempts_;
    FairQueue queue_;
    /// Suspects that wait to run alone, oldest first.
    std::deque<QueueItem> suspects_;
    Strikes strikes_;
    Residency residency_;
    /// Attempts in stage Running or Lost.
    std::uint32_t running_ = 0;
    /// The suspect that runs alone now; empty where none does.
    AttemptId runningSuspect_;
    /// Others may start until then, between two suspects.
    Time suspectsHeldUntil_;
    /// The account that the last load was for.
    AccountName loadCursor_;
    /// Time a run takes, smoothed.
    Duration runTime_ = std::chrono::seconds(1);
};

/// The policy that settings ask for.
DoorPolicy doorPolicy(const TargetSettings &target, const RulesSettings &rules);

/// A door that has yet to read its engine's state. A plain service counts as up.
Door makeDoor(const DoorPolicy &policy, Incarnation incarnation, FencingNumber fencingNumber,
              Time now);

/// The one step of the door: an input and its time in, actions out.
DoorActions step(Door &door, DoorInput input, Time now);

/// Whether a door that leaves has nothing left in hand.
bool drained(const Door &door);

/// The load that a heartbeat reports; names of VM and data centre are the caller's to fill in.
Heartbeat loadReport(const Door &door, Time now);

} // namespace eelgrasscove
