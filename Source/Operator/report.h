#pragma once

/// What a command of the operators' tool says: for people as text, for scripts as JSON and an exit
/// code.

#include <eelgrasscove/nametable.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace eelgrasscove {

/// Exit codes of the operators' tool; scripts rely on them.
enum class ExitCode {
    Done = 0,
    /// "rules diff" found differences.
    Differs = 1,
    /// The command line or the settings are wrong.
    Usage = 2,
    /// The input, for example a rule file, is refused; nothing was changed.
    Refused = 3,
    /// Another operator's change came first; nothing was changed.
    Conflict = 4,
    /// The platform doesn't answer; nothing was changed.
    Unreachable = 5,
    /// The change may or may not have taken effect.
    Unknown = 6,
    /// The change is accepted, but some processes hadn't confirmed it in time.
    NotInForce = 7,
    /// What the command names doesn't exist.
    NotFound = 8,
    /// What is stored on the platform is damaged.
    Damaged = 9,
};

constexpr NameTable<ExitCode, 10> exitCodeNames = {{
    {ExitCode::Done, "done"},
    {ExitCode::Differs, "differs"},
    {ExitCode::Usage, "usage"},
    {ExitCode::Refused, "refused"},
    {ExitCode::Conflict, "conflict"},
    {ExitCode::Unreachable, "unreachable"},
    {ExitCode::Unknown, "unknown"},
    {ExitCode::NotInForce, "not_in_force"},
    {ExitCode::NotFound, "not_found"},
    {ExitCode::Damaged, "damaged"},
}};

using FieldValue = std::variant<std::string, std::int64_t, bool>;

struct ReportField
{
    std::string name_;
    FieldValue value_;
};

struct ReportRow
{
    std::vector<ReportField> fields_;
};

/// Rows of another kind than the report's own.
struct ReportTable
{
    std::string name_;
    std::vector<ReportRow> rows_;
};

struct Report
{
    ExitCode code_ = ExitCode::Done;
    /// For people, on standard output; the rows as a table follow unless textOnly_.
    std::string text_;
    bool textOnly_ = false;
    /// For people, on standard error.
    std::string error_;
    std::vector<ReportRow> rows_;
    /// After the rows, each under its name.
    std::vector<ReportTable> more_;
};

/// A report that only says what went wrong.
Report failedReport(ExitCode code, std::string error);

/// The rows as columns with a heading.
std::string tableOf(const std::vector<ReportRow> &rows);

/// The report's rows, then its other tables that have any, each under its name.
std::string tablesOf(const Report &report);

/// {"result":…,"exit_code":…,"message":…,"rows":[…]}, and a list for each other table.
std::string jsonOf(const Report &report);

} // namespace eelgrasscove
