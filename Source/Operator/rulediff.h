#pragma once

/// How two texts of rules differ. The order of rules has no meaning, so lines are compared as a
/// collection: a line that only moved is no difference.

#include <cstdint>
#include <string>
#include <vector>

namespace eelgrasscove {

enum class DiffSide {
    Removed,
    Added,
};

/// A line that only one text has. line_ counts from 1 in its own text.
struct DiffLine
{
    DiffSide side_ = DiffSide::Removed;
    std::uint32_t line_ = 0;
    std::string text_;
};

/// Lines only in before, then lines only in after.
std::vector<DiffLine> diffRules(const std::string &before, const std::string &after);

/// "-LINE: text" and "+LINE: text", one a line.
std::string describeDiff(const std::vector<DiffLine> &diff);

/// The revision that a text says it was made from, in a line "# revision N" at its beginning; 0
/// where it says none.
std::uint64_t baseRevisionOf(const std::string &text);

/// The text without that line.
std::string withoutBaseLine(const std::string &text);

/// The text with that line.
std::string withBaseLine(const std::string &text, std::uint64_t revision);

} // namespace eelgrasscove
