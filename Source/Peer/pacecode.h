#pragma once

/// Code of an engine's pace in messages: one byte for the typical time between two events of a
/// stream.

#include <cstdint>

namespace eelgrasscove {

/// Returns a code from 1 to 255 in steps of a sixteenth of a doubling, that is 4 %, from 16 us to
/// 1 s between events; 0, which stands for unknown, if the time is not a positive number.
std::uint8_t encodePace(double microsPerEvent);

/// Returns the microseconds between two events; 0 if unknown.
double decodePace(std::uint8_t pace);

} // namespace eelgrasscove
