#pragma once

/// Integers in JSON and MessagePack from other processes. The JSON library converts a number to any
/// type: one out of range wraps around, and converting a floating-point number out of range is
/// undefined.

#include <cmath>
#include <concepts>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace eelgrasscove {

template <std::integral T>
std::optional<T> narrowInteger(std::integral auto number)
{
    return std::in_range<T>(number) ? std::optional(static_cast<T>(number)) : std::nullopt;
}

/// Returns the integer, or nullopt if the value is none or T cannot hold it. Some encoders write
/// integers as floating-point numbers; these are taken up to the largest that a double holds
/// exactly.
template <std::integral T>
std::optional<T> integerFromJson(const nlohmann::json &json)
{
    constexpr double largestExact = 9007199254740992.0;
    if (json.is_number_unsigned())
        return narrowInteger<T>(json.get<std::uint64_t>());
    if (json.is_number_integer())
        return narrowInteger<T>(json.get<std::int64_t>());
    if (!json.is_number_float())
        return std::nullopt;
    const auto number = json.get<double>();
    if (std::abs(number) > largestExact || std::trunc(number) != number)
        return std::nullopt;
    return narrowInteger<T>(static_cast<std::int64_t>(number));
}

} // namespace eelgrasscove
