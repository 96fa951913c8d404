#pragma once

/// The cold time of a target: for some time after its start it can handle only few requests a
/// second and crashes well above that rate. Keeps what an entry knows of it, and decides whether
/// the entry may send a request now. Pure functions: no clock, I/O or threads.

#include "Edge/sharedlimit.h"

#include <eelgrasscove/serving.h>

#include <cstdint>
#include <optional>

namespace eelgrasscove {

/// Why an entry counts a target as cold.
enum class ColdSource {
    /// The target list states a remaining time or a later start.
    List,
    /// A response of the target states a remaining time.
    Response,
    /// Its agent reports another start.
    Start,
    /// Its agent reports that it responds again.
    Up,
    /// It refused a connection, so what accepts one later has started since.
    Refusal,
    /// The evacuation of its data centre has ended.
    Evacuation,
};

constexpr NameTable<ColdSource, 6> coldSourceNames = {{
    {ColdSource::List, "list"},
    {ColdSource::Response, "response"},
    {ColdSource::Start, "start"},
    {ColdSource::Up, "up"},
    {ColdSource::Refusal, "refusal"},
    {ColdSource::Evacuation, "evacuation"},
}};

struct ColdMark
{
    ColdSource source_ = ColdSource::List;
    Time markedAt_;
    /// Cold time from markedAt_ on; that of the service if not set.
    std::optional<Duration> left_;
};

struct ColdTarget
{
    /// perSecond_ is 0 if the service has no cold targets.
    ColdLimits limits_;
    LimitShare share_;
    /// Recorded also while the target is not known to be cold.
    RecentSends sends_;
    /// The entry has no quota before this time: its sends before its own restart, or before the
    /// target was listed again, are not in sends_.
    Time quotaFrom_;
    /// Latest known start of the target in Unix milliseconds; 0 where not known.
    std::uint64_t startedAt_ = 0;
    /// Not set before the target was first marked as cold.
    std::optional<ColdMark> mark_;
    /// Revision of the list entry that was applied last.
    std::uint64_t listRevision_ = 0;
    /// An invalid cold time of this start has been counted as cold.
    bool hasInvalidStatement_ = false;
};

/// End of the cold time; Time{} if there was none.
Time coldUntil(const ColdTarget &cold);

bool isCold(const ColdTarget &cold, Time now);

/// Limit on the requests per second of all entries, during the cold time and the ramp-up after it;
/// nullopt if there is none.
std::optional<double> coldLimitAt(const ColdTarget &cold, Time now);

/// Earliest time from now on at which this entry may send a request. It may become later with the
/// list of entries and with a new cold time.
Time coldSendAt(const ColdTarget &cold, Time now);

/// Whether the entry has no quota at the target or has used it up.
inline bool isColdLimited(const ColdTarget &cold, Time now)
{
    return cold.limits_.perSecond_ > 0 && coldSendAt(cold, now) > now;
}

/// Records a send to a target of a service with cold targets.
void recordColdSend(ColdTarget &cold, Time now);

/// Counts the target as cold from now on for the cold time of its service, or for longer if that
/// was known.
void markCold(ColdTarget &cold, ColdSource source, Time now);

/// Applies the list entry written at the revision. The entry may have been written before the last
/// start of the target.
void applyListedCold(ColdTarget &cold, const ListedTarget &listed, std::uint64_t revision,
                     Time now);

/// Applies what a response to a request states that was sent at sentAt.
void applyStatedCold(ColdTarget &cold, const ColdStatement &statement, Time sentAt, Time now);

/// What an agent reports of its target.
struct ReportedStart
{
    std::uint64_t startedAt_ = 0;
    bool isUp_ = true;
};

/// Applies a report; before is the report before it, if there was one.
void applyReportedStart(ColdTarget &cold, const std::optional<ReportedStart> &before,
                        const ReportedStart &report, Time now);

} // namespace eelgrasscove
