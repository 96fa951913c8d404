#include "Target/startnumber.h"

#include <algorithm>
#include <charconv>

namespace eelgrasscove {

std::uint64_t chooseStartNumber(const StartEvidence &evidence)
{
    std::uint64_t number = evidence.wallMillis_;
    if (evidence.engineNumber_)
        number = std::max(number, *evidence.engineNumber_ + 1);
    if (evidence.storedNumber_)
        number = std::max(number, *evidence.storedNumber_ + 1);
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
