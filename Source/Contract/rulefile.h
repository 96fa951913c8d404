#pragma once

/// The rule file: one rule a line, each with a trailing "# comment" that names who asked for it.
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

/// One fault of a rule file, with what to do about it. Lines and columns count from 1.
struct RuleError
{
    std::string file_;
    std::uint32_t line_ = 0;
    std::uint32_t column_ = 0;
    std::string message_;
    std::string remedy_;
};

/// Reads the whole text and reports all faults at once, in the order of their lines. file is only
/// named in errors.
Result<Rules, std::vector<RuleError>> parseRules(const std::string &text, const std::string &file,
                                                 Revision revision);

/// "file:line:column: message; remedy" for each error, a line each.
std::string describeRuleErrors(const std::vector<RuleError> &errors);

} // namespace eelgrasscove
