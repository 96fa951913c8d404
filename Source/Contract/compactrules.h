#pragma once

/// The rules of very many adapters in little memory: the rule file's text with an index over its
/// lines. A rule is parsed when it is asked for. The text must have been checked whole by
/// parseRules, as the operators' tool does before it is accepted.

#include <eelgrasscove/rules.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrasscove {

/// Where a line begins, and the low half of the hash of the word that it is found by.
struct IndexedLine
{
    std::uint32_t hash_ = 0;
    std::uint32_t offset_ = 0;
};

/// A hash table with open addressing over lines; its size is a power of two.
struct LineIndex
{
    std::vector<IndexedLine> places_;
    std::size_t used_ = 0;
};

struct CompactRules
{
    Revision revision_;
    std::shared_ptr<const std::string> text_;
    std::map<AccountName, AccountRule> accounts_;
    LineIndex routes_;
    LineIndex keysByDigest_;
    LineIndex keysById_;
    /// Service routes are found by path, so they stay parsed; they are few.
    std::vector<RouteRule> services_;
};

CompactRules indexRules(std::shared_ptr<const std::string> text, Revision revision);

std::optional<RouteRule> findRoute(const CompactRules &rules, const RouteName &route);
std::optional<KeyRule> findKey(const CompactRules &rules, const KeyId &key);
std::optional<KeyRule> findKeyByDigest(const CompactRules &rules, const std::string &digest);

/// Bytes that the rules take, the text included.
std::size_t compactBytes(const CompactRules &rules);

} // namespace eelgrasscove
