#pragma once

/// Fits the pace of an engine, the time in which it reads a prompt token, to the first events that
/// all entries have seen. Pure functions: no clock, I/O or threads.
///
/// One entry of many sees too few first events of an engine. The agent has the sums of all of them,
/// and as all entries get the pace from it, they compute the same placement of adapters. The pace is
/// the ratio of the sums, the slope of a line through the origin: most of the variation is waiting
/// for prompts that an entry doesn't know of, and the slope of a line with an intercept differs by
/// half between engines of the same pace.

#include "Peer/peermessages.h"

namespace eelgrasscove {

struct PaceFit
{
    // Sums with exponentially decreasing weights, as in FirstEventSums.
    double count_ = 0;
    double tokens_ = 0;
    double millis_ = 0;
    /// The pace that is reported to entries, see encodePace(); 0 while too little is known.
    std::uint8_t reported_ = 0;
};

/// Adds an entry's sums and updates the reported pace. Returns false, without a change, if the sums
/// can't be those of first events.
bool addFirstEvents(PaceFit &fit, const FirstEventSums &sums);

} // namespace eelgrasscove
