#pragma once

/// Code of an engine's pace in messages: one byte for the time in which it reads a prompt token.

#include <cstdint>

namespace eelgrasscove {

/// Returns a code from 1 to 255 in steps of a sixteenth of a doubling, that is 4 %, from 64 ns to
/// 4 ms a token; 0, which stands for unknown, if the time is not a positive number.
std::uint8_t encodePace(double nanosPerToken);

/// Returns the nanoseconds for each token; 0 if unknown.
double decodePace(std::uint8_t pace);

} // namespace eelgrasscove
