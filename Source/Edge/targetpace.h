#pragma once

/// Estimates how long a target's work takes compared with others and with its own usual time. Pure
/// functions: no clock, I/O or threads.
///
/// A target that shares its machine is slower for a few hundred milliseconds at a time and states
/// so in its responses. An entry sees few responses of each target, so what one states is
/// discounted by its age.

#include <eelgrasscove/time.h>

#include <cstdint>

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

} // namespace eelgrasscove
