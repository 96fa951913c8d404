#pragma once

/// The number that a target process starts under: its incarnation and its first fencing number.
/// Pure.

#include <cstdint>
#include <optional>
#include <string>

namespace eelgrasscove {

/// What is known of earlier starts on this VM.
struct StartEvidence
{
    /// Wall-clock time, in milliseconds since 1970.
    std::uint64_t wallMillis_ = 0;
    /// The engine's fencing number, where it could be read.
    std::optional<std::uint64_t> engineNumber_;
    /// The number stored by the last start, where it could be read.
    std::optional<std::uint64_t> storedNumber_;
};

/// A number above every known earlier one. The wall clock keeps it apart from earlier starts where
/// neither the engine nor the key-value service can tell of them.
std::uint64_t chooseStartNumber(const StartEvidence &evidence);

/// Reads a stored number; empty where the text isn't one.
std::optional<std::uint64_t> parseStartNumber(const std::string &text);

} // namespace eelgrasscove
