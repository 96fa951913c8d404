#include "DataCentre/rulesdelta.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <optional>
#include <string_view>
#include <utility>

namespace eelgrasscove {

namespace {

using Lines = std::vector<std::string_view>;

/// Maximum look-ahead for the next common line; a longer change is sent as one block.
constexpr std::size_t lookAheadLines = 512;

constexpr std::size_t deltaOverheadBytes = 96;
constexpr std::size_t editOverheadBytes = 24;
constexpr std::size_t lineOverheadBytes = 5;

/// Splits the text at line ends; joining the lines with line ends restores the same text.
Lines splitLines(std::string_view text)
{
    Lines lines;
    lines.reserve(static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n')) + 1);
    std::size_t start = 0;
    for (;;) {
        const std::size_t end = text.find('\n', start);
        lines.push_back(text.substr(start, end - start));
        if (end == std::string_view::npos)
            return lines;
        start = end + 1;
    }
}

std::size_t commonEnd(const Lines &before, const Lines &after, std::size_t from)
{
    const std::size_t most = std::min(before.size(), after.size()) - from;
    std::size_t count = 0;
    while (count < most && before[before.size() - 1 - count] == after[after.size() - 1 - count])
        ++count;
    return count;
}

struct Cursor
{
    std::size_t before_ = 0;
    std::size_t after_ = 0;
};

/// Returns the nearest position after the cursor at which both texts have the same line.
std::optional<Cursor> nextCommonLine(const Lines &before, const Lines &after, Cursor at, Cursor end)
{
    for (std::size_t distance = 1; distance <= lookAheadLines; ++distance) {
        for (std::size_t dropped = 0; dropped <= distance; ++dropped) {
            const Cursor place = {at.before_ + dropped, at.after_ + distance - dropped};
            if (place.before_ >= end.before_ || place.after_ >= end.after_)
                continue;
            if (before[place.before_] == after[place.after_])
                return place;
        }
    }
    return std::nullopt;
}

RulesEdit editTo(const Lines &after, std::size_t kept, Cursor at, Cursor next)
{
    RulesEdit edit;
    edit.keep_ = static_cast<std::uint32_t>(kept);
    edit.drop_ = static_cast<std::uint32_t>(next.before_ - at.before_);
    for (std::size_t line = at.after_; line < next.after_; ++line)
        edit.lines_.emplace_back(after[line]);
    return edit;
}

std::vector<RulesEdit> editsBetween(const Lines &before, const Lines &after)
{
    std::vector<RulesEdit> edits;
    Cursor at;
    Cursor end = {before.size(), after.size()};
    std::size_t kept = 0;
    bool endFound = false;
    while (at.before_ < end.before_ || at.after_ < end.after_) {
        const bool bothLeft = at.before_ < end.before_ && at.after_ < end.after_;
        if (bothLeft && before[at.before_] == after[at.after_]) {
            ++at.before_;
            ++at.after_;
            ++kept;
            continue;
        }
        if (!std::exchange(endFound, true)) {
            const std::size_t same = commonEnd(before, after, std::max(at.before_, at.after_));
            end = {before.size() - same, after.size() - same};
        }
        const Cursor next = nextCommonLine(before, after, at, end).value_or(end);
        edits.push_back(editTo(after, kept, at, next));
        kept = 0;
        at = next;
    }
    return edits;
}

void append(std::string &text, std::string_view line)
{
    text += line;
    text += '\n';
}

} // namespace

std::string textDigest(const std::string &text)
{
    return fmt::format("{:016x}", XXH64(text.data(), text.size(), 0));
}

RulesDelta makeRulesDelta(const std::string &before, const std::string &after, Revision from,
                          Revision to)
{
    RulesDelta delta;
    delta.from_ = from;
    delta.to_ = to;
    delta.edits_ = editsBetween(splitLines(before), splitLines(after));
    delta.digest_ = textDigest(after);
    return delta;
}

Result<std::string, DeltaError> applyRulesDelta(const std::string &before, const RulesDelta &delta)
{
    const Lines lines = splitLines(before);
    std::string text;
    text.reserve(before.size() + rulesDeltaBytes(delta));
    std::size_t at = 0;
    for (const RulesEdit &edit : delta.edits_) {
        const std::size_t needed = std::size_t(edit.keep_) + edit.drop_;
        if (needed > lines.size() - at)
            return DeltaError::WrongBase;
        for (std::size_t line = at; line < at + edit.keep_; ++line)
            append(text, lines[line]);
        for (const std::string &line : edit.lines_)
            append(text, line);
        at += needed;
    }
    for (; at < lines.size(); ++at)
        append(text, lines[at]);
    if (!text.empty())
        text.pop_back();
    if (textDigest(text) != delta.digest_)
        return DeltaError::WrongDigest;
    return text;
}

std::size_t rulesDeltaBytes(const RulesDelta &delta)
{
    std::size_t bytes = deltaOverheadBytes;
    for (const RulesEdit &edit : delta.edits_) {
        bytes += editOverheadBytes;
        for (const std::string &line : edit.lines_)
            bytes += line.size() + lineOverheadBytes;
    }
    return bytes;
}

} // namespace eelgrasscove
