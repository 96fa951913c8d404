#include "StandIns/completion.h"

#include <algorithm>
#include <charconv>
#include <fmt/core.h>
#include <xxhash.h>

namespace standins {

namespace {

constexpr std::int64_t bytesPerToken = 4;
constexpr std::size_t tokenDigits = 6;
constexpr std::string_view stopMarker = "stop_after=";

} // namespace

std::string digestHex(std::string_view text)
{
    return fmt::format("{:016x}", XXH64(text.data(), text.size(), 0));
}

std::string tokenText(std::string_view model, std::string_view prompt, std::int64_t index)
{
    const std::string digest = digestHex(fmt::format("{}|{}|{}", model, prompt, index));
    return " " + digest.substr(0, tokenDigits);
}

std::string completionText(std::string_view model, std::string_view prompt, std::int64_t count)
{
    std::string text;
    for (std::int64_t index = 0; index < count; ++index)
        text += tokenText(model, prompt, index);
    return text;
}

std::int64_t promptTokens(std::string_view prompt)
{
    return (static_cast<std::int64_t>(prompt.size()) + bytesPerToken - 1) / bytesPerToken;
}

std::int64_t generatedTokens(std::string_view prompt, std::int64_t maxTokens)
{
    const std::size_t marker = prompt.find(stopMarker);
    if (marker == std::string_view::npos)
        return maxTokens;
    const std::string_view digits = prompt.substr(marker + stopMarker.size());
    std::int64_t count = 0;
    const auto [stop, error] = std::from_chars(digits.data(), digits.data() + digits.size(), count);
    return error == std::errc() ? std::clamp<std::int64_t>(count, 1, maxTokens) : maxTokens;
}

} // namespace standins
