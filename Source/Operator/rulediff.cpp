#include "Operator/rulediff.h"

#include <algorithm>
#include <charconv>
#include <fmt/core.h>
#include <string_view>
#include <unordered_map>

namespace eelgrasscove {

namespace {

constexpr std::string_view baseLineStart = "# revision ";

std::vector<std::string_view> linesOf(std::string_view text)
{
    std::vector<std::string_view> lines;
    std::size_t begin = 0;
    while (begin < text.size()) {
        const std::size_t end = std::min(text.find('\n', begin), text.size());
        lines.push_back(text.substr(begin, end - begin));
        begin = end + 1;
    }
    return lines;
}

/// Lines of text that other lacks, each as often as it is missing there.
void addMissing(std::string_view text, std::string_view other, DiffSide side,
                std::vector<DiffLine> &diff)
{
    std::unordered_map<std::string_view, std::size_t> counts;
    for (const std::string_view line : linesOf(other))
        counts[line] += 1;
    std::uint32_t number = 0;
    for (const std::string_view line : linesOf(text)) {
        number += 1;
        std::size_t &count = counts[line];
        if (count > 0)
            count -= 1;
        else if (!line.empty())
            diff.push_back({side, number, std::string(line)});
    }
}

std::string_view firstLine(const std::string &text)
{
    return std::string_view(text).substr(0, text.find('\n'));
}

} // namespace

std::vector<DiffLine> diffRules(const std::string &before, const std::string &after)
{
    std::vector<DiffLine> diff;
    addMissing(before, after, DiffSide::Removed, diff);
    addMissing(after, before, DiffSide::Added, diff);
    return diff;
}

std::string describeDiff(const std::vector<DiffLine> &diff)
{
    std::string text;
    for (const DiffLine &line : diff) {
        const char sign = line.side_ == DiffSide::Removed ? '-' : '+';
        text += fmt::format("{}{}: {}\n", sign, line.line_, line.text_);
    }
    return text;
}

std::uint64_t baseRevisionOf(const std::string &text)
{
    std::string_view line = firstLine(text);
    if (line.substr(0, baseLineStart.size()) != baseLineStart)
        return 0;
    line.remove_prefix(baseLineStart.size());
    std::uint64_t revision = 0;
    const auto [end, error] = std::from_chars(line.data(), line.data() + line.size(), revision);
    return error == std::errc() && end == line.data() + line.size() ? revision : 0;
}

std::string withoutBaseLine(const std::string &text)
{
    if (baseRevisionOf(text) == 0)
        return text;
    return text.substr(std::min(firstLine(text).size() + 1, text.size()));
}

std::string withBaseLine(const std::string &text, std::uint64_t revision)
{
    return fmt::format("{}{}\n{}", baseLineStart, revision, text);
}

} // namespace eelgrasscove
