#include "Contract/compactrules.h"

#include "Contract/rulefile.h"

#include <xxhash.h>

#include <array>
#include <bit>
#include <limits>

namespace eelgrasscove {

namespace {

constexpr std::uint32_t emptySlot = std::numeric_limits<std::uint32_t>::max();
constexpr std::size_t minTableSize = 16;

/// Positions in a line of the words that rules are indexed by.
constexpr std::size_t kindWord = 0;
constexpr std::size_t nameWord = 1;
constexpr std::size_t usersWord = 2;
constexpr std::size_t accountsWord = 3;
constexpr std::size_t digestWord = 5;
constexpr std::size_t indexedWords = 6;

using Words = std::array<std::string_view, indexedWords>;

std::string_view lineAt(std::string_view text, std::size_t offset)
{
    const std::size_t end = text.find('\n', offset);
    return text.substr(offset, end - offset);
}

/// Returns the first words of a line, up to its comment.
Words firstWords(std::string_view line)
{
    constexpr std::string_view blanks = " \t\r";
    Words words;
    std::size_t at = 0;
    for (std::string_view &word : words) {
        at = line.find_first_not_of(blanks, at);
        if (at == std::string_view::npos || line[at] == '#')
            break;
        const std::size_t end = std::min(line.find_first_of(blanks, at), line.size());
        word = line.substr(at, end - at);
        at = end;
    }
    return words;
}

std::uint32_t hashWord(std::string_view word)
{
    return static_cast<std::uint32_t>(XXH64(word.data(), word.size(), 0));
}

void insertLine(LineIndex &index, IndexedLine line)
{
    const std::size_t mask = index.slots_.size() - 1;
    std::size_t at = line.hash_ & mask;
    while (index.slots_[at].offset_ != emptySlot)
        at = (at + 1) & mask;
    index.slots_[at] = line;
}

void reserveLines(LineIndex &index, std::size_t lines)
{
    const std::size_t size = std::max(minTableSize, std::bit_ceil(lines + lines / 3 + 1));
    index.slots_.assign(size, {0, emptySlot});
}

void addLine(LineIndex &index, std::string_view word, std::size_t offset)
{
    insertLine(index, {hashWord(word), static_cast<std::uint32_t>(offset)});
    ++index.lineCount_;
}

/// Returns the line that has the given word at the given position.
std::optional<std::string_view> findLine(const CompactRules &rules, const LineIndex &index,
                                         std::size_t wordPosition, std::string_view word)
{
    if (index.slots_.empty())
        return std::nullopt;
    const std::size_t mask = index.slots_.size() - 1;
    const std::uint32_t hash = hashWord(word);
    for (std::size_t at = hash & mask; index.slots_[at].offset_ != emptySlot;
         at = (at + 1) & mask) {
        if (index.slots_[at].hash_ != hash)
            continue;
        const std::string_view line = lineAt(*rules.text_, index.slots_[at].offset_);
        if (firstWords(line)[wordPosition] == word)
            return line;
    }
    return std::nullopt;
}

/// Returns lines that declare the accounts a rule refers to, so that its line can be parsed alone.
std::string accountDeclarations(const Words &words)
{
    std::string text;
    if (words[usersWord] != "account")
        return text;
    std::string_view remaining = words[accountsWord];
    while (!remaining.empty()) {
        const std::size_t end = std::min(remaining.find(','), remaining.size());
        text += "account ";
        text += remaining.substr(0, end);
        text += " rate 1 burst 1 # declared elsewhere\n";
        remaining.remove_prefix(std::min(end + 1, remaining.size()));
    }
    return text;
}

std::optional<Rules> parseLine(std::string_view line)
{
    std::string text = accountDeclarations(firstWords(line));
    text += line;
    text += '\n';
    auto parsed = parseRules(text, "", {});
    if (!ok(parsed))
        return std::nullopt;
    return valueOf(std::move(parsed));
}

std::optional<KeyRule> parseKey(std::optional<std::string_view> line)
{
    if (!line)
        return std::nullopt;
    std::optional<Rules> rules = parseLine(*line);
    if (!rules || rules->keys_.empty())
        return std::nullopt;
    return rules->keys_.begin()->second;
}

std::optional<RouteRule> parseRoute(std::string_view line)
{
    std::optional<Rules> rules = parseLine(line);
    if (!rules || rules->routes_.empty())
        return std::nullopt;
    return rules->routes_.begin()->second;
}

bool isService(const Words &words)
{
    constexpr std::size_t openKindWord = 3;
    constexpr std::size_t accountKindWord = 4;
    const std::size_t at = words[usersWord] == "open" ? openKindWord : accountKindWord;
    return words[at] == "service";
}

void addRule(CompactRules &rules, std::string_view line, std::size_t offset)
{
    const Words words = firstWords(line);
    if (words[kindWord] == "route") {
        addLine(rules.routes_, words[nameWord], offset);
        if (isService(words)) {
            if (std::optional<RouteRule> service = parseRoute(line))
                rules.services_.push_back(std::move(*service));
        }
    } else if (words[kindWord] == "key") {
        addLine(rules.keysById_, words[nameWord], offset);
        addLine(rules.keysByDigest_, words[digestWord], offset);
    } else if (words[kindWord] == "account") {
        if (std::optional<Rules> parsed = parseLine(line))
            rules.accounts_.merge(parsed->accounts_);
    }
}

template <class Visit>
void forEachLine(std::string_view text, const Visit &visit)
{
    for (std::size_t offset = 0; offset < text.size();) {
        const std::string_view line = lineAt(text, offset);
        visit(line, offset);
        offset += line.size() + 1;
    }
}

} // namespace

CompactRules indexRules(std::shared_ptr<const std::string> text, Revision revision)
{
    CompactRules rules;
    rules.revision_ = revision;
    std::size_t routes = 0;
    std::size_t keys = 0;
    forEachLine(*text, [&](std::string_view line, std::size_t /*offset*/) {
        const std::string_view kind = firstWords(line)[kindWord];
        routes += kind == "route" ? 1 : 0;
        keys += kind == "key" ? 1 : 0;
    });
    reserveLines(rules.routes_, routes);
    reserveLines(rules.keysById_, keys);
    reserveLines(rules.keysByDigest_, keys);
    forEachLine(*text,
                [&](std::string_view line, std::size_t offset) { addRule(rules, line, offset); });
    rules.text_ = std::move(text);
    return rules;
}

std::optional<RouteRule> findRoute(const CompactRules &rules, const RouteName &route)
{
    const auto line = findLine(rules, rules.routes_, nameWord, route.text_);
    return line ? parseRoute(*line) : std::nullopt;
}

std::optional<KeyRule> findKey(const CompactRules &rules, const KeyId &key)
{
    return parseKey(findLine(rules, rules.keysById_, nameWord, key.text_));
}

std::optional<KeyRule> findKeyByDigest(const CompactRules &rules, const std::string &digest)
{
    return parseKey(findLine(rules, rules.keysByDigest_, digestWord, digest));
}

std::size_t compactRulesBytes(const CompactRules &rules)
{
    const std::size_t slotCount = rules.routes_.slots_.size() + rules.keysById_.slots_.size()
        + rules.keysByDigest_.slots_.size();
    return rules.text_->size() + slotCount * sizeof(IndexedLine)
        + rules.services_.size() * sizeof(RouteRule)
        + rules.accounts_.size() * (sizeof(AccountName) + sizeof(AccountRule));
}

} // namespace eelgrasscove
