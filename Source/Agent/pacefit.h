#pragma once

/// Averages the pace of an engine, the typical time between two events of a stream, over the
/// streams of all entries. Pure functions: no clock, I/O or threads.
///
/// One entry of many sees too few streams of an engine. The agent has the sums of all of them, and
/// as all entries get the pace from it, they compute the same placement of adapters.

#include "Peer/peermessages.h"

namespace eelgrasscove {

struct PaceFit
{
    // Sums with exponentially decreasing weights, as in EventIntervalSums.
    double streams_ = 0;
    double millis_ = 0;
    /// The pace that is reported to entries, see encodePace(); 0 while too little is known.
    std::uint8_t reported_ = 0;
};

/// Adds an entry's sums and updates the reported pace. Returns false, without a change, if the sums
/// can't be those of streams.
bool addEventIntervals(PaceFit &fit, const EventIntervalSums &sums);

} // namespace eelgrasscove
