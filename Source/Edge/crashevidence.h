#pragma once

/// Weighs the presence of a prompt part at crashes of targets against how often the part runs. Pure
/// functions: no clock, I/O or threads.
///
/// Crashes of targets within one second are one event: a common cause, such as a loss of power,
/// ends the requests at all of them, and a part that many requests share is present at most of
/// them. How often a part runs is counted in sound responses, not in requests, so that repeated
/// requests of a part that crashes targets don't make its presence look like chance.

#include "Peer/peermessages.h"

#include <eelgrasscove/time.h>

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace eelgrasscove {

/// Sound responses by prompt part over a part of the counting period.
struct PartCounts
{
    std::unordered_map<std::uint64_t, std::uint32_t> responses_;
    /// Sound responses to requests with at least one part.
    std::uint32_t total_ = 0;
    Time since_;
};

/// The crash of a target, as its agent reported it to every entry.
struct FleetCrash
{
    CrashId crash_ = 0;
    /// Requests of all entries at the target when it crashed.
    std::uint32_t requests_ = 0;
    Time at_;
};

struct CrashEvidence
{
    PartCounts current_;
    PartCounts previous_;
    /// Recent crashes of the fleet, in the order in which they became known.
    std::vector<FleetCrash> crashes_;
};

/// An event at which a suspect was present.
struct SuspectEvent
{
    /// Time of the first of its crashes that this entry learned of.
    Time beganAt_;
    /// Probability that the suspect was present by chance: the highest of its crashes.
    double chance_ = 0;
    std::uint32_t crashes_ = 0;
};

/// The events since the suspect was last cleared, as this entry learned of them.
using SuspectEvents = std::vector<SuspectEvent>;

void countSoundParts(CrashEvidence &evidence, const std::vector<std::uint64_t> &parts, Time now);

/// Records the crash of a target once, with the number of requests at it.
void recordFleetCrash(CrashEvidence &evidence, CrashId crash, std::uint32_t requests, Time now);

/// Returns the probability that a part which has no influence on the crash was in at least one of
/// the requests at the crashed target; 0 for a part that no recent response has shown to be sound.
double chanceAtCrash(const CrashEvidence &evidence, std::uint64_t part, CrashId crash);

/// Returns the time at which the crash of the target became known, or now if it isn't known.
Time crashTime(const CrashEvidence &evidence, CrashId crash, Time now);

/// Adds a crash to the event at that time, or begins one. Returns false if the event has as many
/// crashes as are needed to judge a suspect that has been sound, and the crash need not be kept.
bool addCrash(SuspectEvents &events, double chance, Time crashedAt);

/// Returns the probability that the suspect was present at all its events by chance.
double chanceOf(const SuspectEvents &events);

/// Whether the presence at the events is likely to be chance. It never is from the third event on
/// without a sound response between them, which bounds the time for which a part that crashes
/// targets stays unrecognized.
bool isLikelyChance(const SuspectEvents &events);

/// Returns the number of the crashes, in ascending order, that count against a part. Where many
/// targets crashed in one second and the part was present at few of them, those few count once.
std::size_t countedCrashes(const CrashEvidence &evidence, const std::vector<CrashId> &crashes);

} // namespace eelgrasscove
