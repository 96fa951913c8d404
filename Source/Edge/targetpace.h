#pragma once

/// Estimates how long a target's work takes compared with others and with its own usual time. Pure
/// functions: no clock, I/O or threads.
///
/// The pace of a target is the typical time between two events of a stream. Its agent averages it
/// over the streams of all entries, so that all entries compute the same placement of adapters. It
/// is not taken from the times to first events: these depend on prompts of other entries, and where
/// many are known to wait, an overloaded target appears fast.
///
/// A target that shares its machine is slower for a few hundred milliseconds at a time and states
/// so in its responses. An entry sees few responses of each target, so what one states is
/// discounted by its age.

#include "Peer/peermessages.h"

#include <eelgrasscove/time.h>

#include <cstdint>
#include <vector>

namespace eelgrasscove {

/// The last statement of a target on how long its work takes.
struct WorkTime
{
    /// Percent of the usual time; 0 where the target has stated nothing.
    std::uint32_t percent_ = 0;
    Time statedAt_;
};

/// Returns the factor by which work takes longer now than usual; 1 if nothing has been stated.
double transientFactor(const WorkTime &workTime, Time now);

/// Returns the time that work which ended now would usually have taken.
Duration usualTime(Duration elapsed, const WorkTime &workTime, Time now);

/// Returns the pace of each target of a service, as its agent reports it (see encodePace()),
/// relative to the median of the known ones. It is 1 where unknown or close to the median.
std::vector<double> relativePaces(const std::vector<std::uint8_t> &reported);

/// Returns the part of a usual target's load that a target with this relative pace sustains.
double capacityShare(double relativePace);

/// Adds a stream to the sums for the target's agent, by the lower quartile of the milliseconds
/// between its events: prompts that the target reads meanwhile and slow spans lengthen the others.
/// A stream with few events is not counted.
void addStream(EventIntervalSums &sums, std::vector<float> intervals);

} // namespace eelgrasscove
