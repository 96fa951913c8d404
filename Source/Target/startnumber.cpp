#include "Target/startnumber.h"

#include <algorithm>
#include <charconv>

namespace eelgrasscove {

std::uint64_t chooseStartNumber(const StartNumberInputs &inputs)
{
    std::uint64_t number = inputs.wallClockMs_;
    if (inputs.engineFencingNumber_)
        number = std::max(number, *inputs.engineFencingNumber_ + 1);
    if (inputs.storedNumber_)
        number = std::max(number, *inputs.storedNumber_ + 1);
    return number;
}

std::optional<std::uint64_t> parseStartNumber(const std::string &text)
{
    std::uint64_t number = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return number;
}

} // namespace eelgrasscove
