#pragma once

/// Decides whether a connection that broke under a request was ended by a crash of its target. Pure
/// functions: no clock, I/O or threads.
///
/// A process that crashes ends its connections and refuses new ones until it is started again. A
/// planned end does the same, but is announced. A proxy, or a target that has too many connections,
/// ends single ones while the target goes on listening. A lost link lets nothing through, so that
/// the connection times out.

#include "Edge/targetstate.h"

#include <eelgrasscove/nametable.h>
#include <eelgrasscove/time.h>

#include <cstdint>
#include <string_view>

namespace eelgrasscove {

/// What an attempt to connect to a target has shown.
enum class ProbeResult {
    Listening,
    Refused,
    /// Nothing was received within the time limit, or no connection could be attempted.
    NoAnswer,
};

constexpr NameTable<ProbeResult, 3> probeResultNames = {{
    {ProbeResult::Listening, "listening"},
    {ProbeResult::Refused, "refused"},
    {ProbeResult::NoAnswer, "no_answer"},
}};

struct BrokenConnection
{
    Time brokenAt_;
    /// The target is to be probed from this time on.
    Time probeAfter_;
    /// Probes since the break that found the target listening.
    std::uint32_t answeredProbes_ = 0;
};

enum class BreakCause {
    /// To be judged again later.
    Unknown,
    Crash,
    /// The target had announced that it leaves.
    PlannedEnd,
    /// The target went on listening.
    ConnectionOnly,
    /// Nothing has shown within the time limit that the target has ended.
    NoEvidence,
};

constexpr NameTable<BreakCause, 5> breakCauseNames = {{
    {BreakCause::Unknown, "unknown"},
    {BreakCause::Crash, "crash"},
    {BreakCause::PlannedEnd, "planned_end"},
    {BreakCause::ConnectionOnly, "connection_only"},
    {BreakCause::NoEvidence, "no_evidence"},
}};

/// Whether a connection that ended for this reason, "closed" or libuv's name of the error, may have
/// been ended by the target's process rather than by the loss of a link.
bool mayBeCrash(std::string_view reason);

/// Whether the target has announced that it leaves.
bool hasAnnouncedEnd(const TargetState &target);

/// Whether the target is to be probed now. One whose agent is in contact isn't: the agent reports a
/// crash.
bool isProbeDue(const BrokenConnection &broken, const TargetState &target, Time now);

/// Records the result of a probe that was started at startedAt.
void recordProbe(BrokenConnection &broken, ProbeResult result, Time startedAt, Time now);

/// Judges the break. crashedAt is the time of the last sign that the target's process had ended.
BreakCause judgeBreak(const BrokenConnection &broken, const TargetState &target, Time crashedAt,
                      Time now);

} // namespace eelgrasscove
