#pragma once

/// A completion request in the OpenAI form, read once and kept ready for any engine.

#include "Caller/apierror.h"

#include <eelgrasscove/names.h>
#include <eelgrasscove/result.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace eelgrasscove {

/// Bytes of prompt that the contract counts as one token.
constexpr std::int64_t promptBytesPerToken = 4;

struct Completion
{
    /// The request's "model".
    RouteName route_;
    bool stream_ = false;
    /// Prompt bytes / 4, rounded up: the contract's own count, the same for every engine.
    std::int64_t promptTokens_ = 0;
    /// The most tokens that may be generated.
    std::int64_t maxTokens_ = 0;
    /// The body as a JSON object without "model", and with "max_tokens".
    std::string bodyWithoutModel_;
};

/// Reads the body of /v1/completions (chat false) or /v1/chat/completions (chat true).
Result<Completion, ApiError> parseCompletion(std::string_view body, bool chat,
                                             std::int64_t defaultMaxTokens);

/// The body for an engine that knows the adapter as model.
std::string engineBody(const Completion &completion, std::string_view model);

} // namespace eelgrasscove
