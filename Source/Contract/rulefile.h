#pragma once

/// Parses the rule file: one rule per line, each with a trailing "# comment" that names its
/// requester.
///
///     account NAME rate TOKENS_PER_SECOND burst TOKENS  # who
///     key ID account NAME digest HEX64  # who
///     route NAME (account A[,B...] | open) adapter NAME version V targets GROUP idempotent  # who
///     route NAME (account A[,B...] | open) service METHOD /prefix targets GROUP
///         (idempotent | non-idempotent)  # who

#include <eelgrasscove/result.h>
#include <eelgrasscove/rules.h>

#include <cstdint>
#include <string>
#include <vector>

namespace eelgrasscove {

/// One error in a rule file and how to correct it. Lines and columns count from 1.
struct RuleError
{
    std::string file_;
    std::uint32_t line_ = 0;
    std::uint32_t column_ = 0;
    std::string message_;
    std::string remedy_;
};

/// Parses the whole text and returns all errors, at most 100, in the order of their positions. file
/// is used only in errors.
Result<Rules, std::vector<RuleError>> parseRules(const std::string &text, const std::string &file,
                                                 Revision revision);

/// Formats each error as one line, "file:line:column: message; remedy".
std::string describeRuleErrors(const std::vector<RuleError> &errors);

} // namespace eelgrasscove
