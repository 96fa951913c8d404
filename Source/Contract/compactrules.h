#pragma once

/// Stores the rules of a large number of adapters compactly: the text of the rule file with an
/// index over its lines. A rule is parsed on each lookup. The whole text must have been checked by
/// parseRules() before, as the operators' tool does before it accepts a file.

#include <eelgrasscove/rules.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrasscove {

/// Byte offset of a line, and the low half of the hash of the word that it is indexed by.
struct IndexedLine
{
    std::uint32_t hash_ = 0;
    std::uint32_t offset_ = 0;
};

/// A hash table of lines with open addressing; its size is a power of two.
struct LineIndex
{
    std::vector<IndexedLine> slots_;
    std::size_t lineCount_ = 0;
};

struct CompactRules
{
    Revision revision_;
    std::shared_ptr<const std::string> text_;
    std::map<AccountName, AccountRule> accounts_;
    LineIndex routes_;
    LineIndex keysByDigest_;
    LineIndex keysById_;
    /// Service routes are looked up by path and are therefore kept parsed; there are few of them.
    std::vector<RouteRule> services_;
};

/// Builds the index over the lines of a checked rule file.
CompactRules indexRules(std::shared_ptr<const std::string> text, Revision revision);

std::optional<RouteRule> findRoute(const CompactRules &rules, const RouteName &route);
std::optional<KeyRule> findKey(const CompactRules &rules, const KeyId &key);
std::optional<KeyRule> findKeyByDigest(const CompactRules &rules, const std::string &digest);

/// Returns the approximate memory use of the rules in bytes, including the text.
std::size_t compactRulesBytes(const CompactRules &rules);

} // namespace eelgrasscove
