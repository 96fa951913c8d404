#pragma once

/// Decides whether a request may run for the API key that it carries.

#include "Edge/ruleindex.h"

#include <eelgrasscove/nametable.h>

#include <string_view>

namespace eelgrasscove {

enum class KeyVerdict {
    /// The request ended before its key was checked.
    Unchecked,
    /// The route is open to requests without a key.
    OpenRoute,
    /// The request carries no key, and the rules have no list of accounts.
    NotNeeded,
    Known,
    /// Refused: the request carries no key.
    Missing,
    /// Refused: no account has the key.
    Unknown,
};

constexpr NameTable<KeyVerdict, 6> keyVerdictNames = {{
    {KeyVerdict::Unchecked, "unchecked"},
    {KeyVerdict::OpenRoute, "open_route"},
    {KeyVerdict::NotNeeded, "not_needed"},
    {KeyVerdict::Known, "known"},
    {KeyVerdict::Missing, "missing"},
    {KeyVerdict::Unknown, "unknown"},
}};

/// Whether the verdict on a request follows from the keys of the rules, so that rules of unknown
/// age can't give it.
bool dependsOnKeys(const ServingRules &rules, const ServingRoute &route, std::string_view key);

/// An empty key is that of a request without one.
KeyVerdict judgeKey(const RuleIndex &rules, const ServingRoute &route, std::string_view key);

} // namespace eelgrasscove
