#pragma once

/// Splits the text of a stream into lines.

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrasscove {

/// Appends a part of the stream to the text, and removes and returns the lines that are complete,
/// without their line ends. Returns nullopt, and drops the text, if the rest is longer than
/// mostLineBytes.
std::optional<std::vector<std::string>> completeLines(std::string &text, std::string_view part,
                                                      std::size_t mostLineBytes);

} // namespace eelgrasscove
