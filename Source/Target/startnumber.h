#pragma once

/// Chooses the start number of a target process, which serves as its incarnation and as its first
/// fencing number. Pure functions: no clock, I/O or threads.

#include <cstdint>
#include <optional>
#include <string>

namespace eelgrasscove {

/// The values from which a start number is chosen: the current time and the known numbers of
/// earlier starts on this VM.
struct StartNumberInputs
{
    /// Wall-clock time, in milliseconds since 1970.
    std::uint64_t wallClockMs_ = 0;
    /// The fencing number that the engine reports; empty if it could not be read.
    std::optional<std::uint64_t> engineFencingNumber_;
    /// The number that the last start stored in the key-value service; empty if it could not be
    /// read.
    std::optional<std::uint64_t> storedNumber_;
};

/// Returns a number above every known earlier one. The wall-clock time is the lower bound, so that
/// the number differs from those of earlier starts when neither the engine nor the key-value
/// service can be reached.
std::uint64_t chooseStartNumber(const StartNumberInputs &inputs);

/// Parses a stored number; returns nullopt if the text is not a decimal number.
std::optional<std::uint64_t> parseStartNumber(const std::string &text);

} // namespace eelgrasscove
