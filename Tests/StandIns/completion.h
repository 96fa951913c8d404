#pragma once

/// What a model stand-in answers: a function of model and prompt, so that a checker can match an
/// answer to its request and its adapter.

#include <cstdint>
#include <string>
#include <string_view>

namespace standins {

/// XXH64 as 16 lower-case hex digits.
std::string digestHex(std::string_view text);

/// Token number index of the completion: a space and six hex digits.
std::string tokenText(std::string_view model, std::string_view prompt, std::int64_t index);

/// The first count tokens.
std::string completionText(std::string_view model, std::string_view prompt, std::int64_t count);

/// Tokens a prompt counts for: a quarter of its bytes, rounded up.
std::int64_t promptTokens(std::string_view prompt);

/// Tokens generated for a prompt: maxTokens, or fewer where the prompt holds "stop_after=N".
std::int64_t generatedTokens(std::string_view prompt, std::int64_t maxTokens);

} // namespace standins
