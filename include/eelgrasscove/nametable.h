#pragma once

/// Tables that join the values of an enum class with their names in files, messages and logs.

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace eelgrasscove {

template <class Enum>
struct NamedValue
{
    Enum value_;
    std::string_view name_;
};

template <class Enum, std::size_t Size>
using NameTable = std::array<NamedValue<Enum>, Size>;

/// The name of a value; "unknown" where the table lacks it.
template <class Enum, std::size_t Size>
constexpr std::string_view nameOf(const NameTable<Enum, Size> &table, Enum value)
{
    for (const NamedValue<Enum> &row : table) {
        if (row.value_ == value)
            return row.name_;
    }
    return "unknown";
}

/// The value with this name, if the table has it.
template <class Enum, std::size_t Size>
constexpr std::optional<Enum> valueNamed(const NameTable<Enum, Size> &table, std::string_view name)
{
    for (const NamedValue<Enum> &row : table) {
        if (row.name_ == name)
            return row.value_;
    }
    return std::nullopt;
}

} // namespace eelgrasscove
