#pragma once

/// INI text as a list of entries with their lines, and checked reading of single values. Shared by
/// the daemon's settings and the operators' tool's.

#include <eelgrasscove/nametable.h>
#include <eelgrasscove/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrasscove {

/// One "key = value" of an INI file. line_ counts from 1.
struct IniEntry
{
    std::string section_;
    std::string key_;
    std::string value_;
    std::uint32_t line_ = 0;
};

/// A line that is neither a section, a comment nor "key = value", or one that is too long.
struct IniFault
{
    std::uint32_t line_ = 0;
    std::string message_;
};

struct IniFile
{
    std::vector<IniEntry> entries_;
    std::vector<IniFault> faults_;
};

/// Longest line that is read, in bytes.
constexpr std::size_t iniLineBytes = 4096;

/// Reads the whole text; never fails, but lists its faults.
IniFile parseIni(const std::string &text);

/// Why a value was refused, and what would be taken.
struct ValueFault
{
    std::string message_;
    std::string remedy_;
};

/// Empty where the value was read into the place given.
using ValueResult = std::optional<ValueFault>;

/// A whole number from least to most.
ValueResult readNumber(const std::string &value, std::uint32_t least, std::uint32_t most,
                       std::uint32_t &number);

/// A number of bytes with an optional unit KB or MB, from least to most bytes.
ValueResult readSize(const std::string &value, std::uint32_t least, std::uint32_t most,
                     std::uint32_t &bytes);

/// A whole number with a unit (us, ms, s, m, h), from least to most.
ValueResult readDuration(const std::string &value, Duration least, Duration most,
                         Duration &duration);

/// A decimal number from least to most.
ValueResult readDecimal(const std::string &value, double least, double most, double &number);

/// "true" or "false".
ValueResult readBool(const std::string &value, bool &flag);

/// Letters, digits, dots, hyphens and underscores, 1 to 64 of them.
ValueResult readIdentifier(const std::string &value, std::string &identifier);

/// "A.B.C.D:PORT".
ValueResult readEndpoint(const std::string &value, std::string &endpoint);

/// scheme, then "A.B.C.D:PORT", then a path where one is allowed.
ValueResult readUrl(const std::string &value, std::string_view scheme, bool pathAllowed,
                    std::string &url);

/// A prefix of keys, "/name/".
ValueResult readKeyPrefix(const std::string &value, std::string &prefix);

/// A secret of at least 16 characters; faults don't repeat it.
ValueResult readSecret(const std::string &value, std::string &secret);

/// A name of the table.
template <class Enum, std::size_t Size>
ValueResult readNamed(const std::string &value, const NameTable<Enum, Size> &table, Enum &named)
{
    const std::optional<Enum> found = valueNamed(table, value);
    if (found) {
        named = *found;
        return std::nullopt;
    }
    std::string names;
    for (const NamedValue<Enum> &row : table)
        names += (names.empty() ? "" : ", ") + std::string(row.name_);
    return ValueFault{"\"" + value + "\" isn't one of the names allowed", "write one of " + names};
}

} // namespace eelgrasscove
