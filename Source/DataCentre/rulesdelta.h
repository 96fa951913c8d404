#pragma once

/// Differences between two texts of the rule file, by line.

#include <eelgrasscove/messages.h>
#include <eelgrasscove/result.h>

#include <cstddef>
#include <string>

namespace eelgrasscove {

enum class DeltaError {
    /// The edits reach beyond the base's lines.
    WrongBase,
    /// The result isn't the text that the delta was made for.
    WrongDigest,
};

constexpr NameTable<DeltaError, 2> deltaErrorNames = {{
    {DeltaError::WrongBase, "wrong_base"},
    {DeltaError::WrongDigest, "wrong_digest"},
}};

/// Digest that tells damaged or mismatched texts; it doesn't protect against forgery.
std::string textDigest(const std::string &text);

/// The delta that turns before into after. Its size grows with the changed lines, not the file.
RulesDelta makeRulesDelta(const std::string &before, const std::string &after, Revision from,
                          Revision to);

Result<std::string, DeltaError> applyRulesDelta(const std::string &before, const RulesDelta &delta);

/// Bytes that the delta takes on the wire, by estimate of the codec's overhead.
std::size_t rulesDeltaBytes(const RulesDelta &delta);

} // namespace eelgrasscove
