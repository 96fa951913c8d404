#pragma once

/// Computes and applies line-based differences between two texts of the rule file.

#include <eelgrasscove/messages.h>
#include <eelgrasscove/result.h>

#include <cstddef>
#include <string>

namespace eelgrasscove {

enum class DeltaError {
    /// The edits extend beyond the last line of the base text.
    WrongBase,
    /// The digest of the result differs from that of the text that the delta was made for.
    WrongDigest,
};

constexpr NameTable<DeltaError, 2> deltaErrorNames = {{
    {DeltaError::WrongBase, "wrong_base"},
    {DeltaError::WrongDigest, "wrong_digest"},
}};

/// Returns a digest that detects damaged or mismatched texts; it does not protect against forgery.
std::string textDigest(const std::string &text);

/// Returns the delta that turns before into after. Its size grows with the number of changed lines,
/// not with the file.
RulesDelta makeRulesDelta(const std::string &before, const std::string &after, Revision from,
                          Revision to);

Result<std::string, DeltaError> applyRulesDelta(const std::string &before, const RulesDelta &delta);

/// Returns the size of the delta on the wire, with an estimate of the overhead of the codec.
std::size_t rulesDeltaBytes(const RulesDelta &delta);

} // namespace eelgrasscove
