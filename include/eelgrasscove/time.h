#pragma once

/// Time as the decisions see it. Nothing in a decision reads a clock: the caller passes the time
/// in.

#include <chrono>

namespace eelgrasscove {

/// A span of time in microseconds.
using Duration = std::chrono::microseconds;

/// A point on the monotonic clock, in microseconds.
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// The monotonic clock's present reading; for threads that do I/O, never for decisions.
inline Time monotonicNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

} // namespace eelgrasscove
