#pragma once

/// Counts the generated tokens of an engine's HTTP response while its body is being forwarded. Pure
/// functions: no clock, I/O or threads.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace eelgrasscove {

enum class ResponseFormat {
    /// Any other content type; its tokens are not counted.
    Opaque,
    /// One JSON object whose "usage" member states the number of tokens.
    Json,
    /// Server-sent events, each counted as one token if it contains text; the last one states the
    /// usage.
    EventStream,
};

struct ResponseTokenCounter
{
    ResponseFormat format_ = ResponseFormat::Opaque;
    /// The bytes of the current line (EventStream) or of the body (Json) received so far.
    std::string pending_;
    /// The line or body exceeds the size limit and is not parsed.
    bool isOverlong_ = false;
    /// Events that contain text.
    std::int64_t countedTokens_ = 0;
    /// The count that the engine reported in "usage"; empty until it is received.
    std::optional<std::int64_t> reportedTokens_;
};

/// Returns the format for a Content-Type header field.
ResponseFormat responseFormat(std::string_view contentType);

/// Processes the next bytes of the body.
void countTokens(ResponseTokenCounter &counter, std::string_view bytes);

/// Parses what is pending; called once the response is complete.
void finishTokenCount(ResponseTokenCounter &counter);

/// Returns the tokens generated so far: the engine's own count if it has reported one.
std::int64_t generatedTokens(const ResponseTokenCounter &counter);

} // namespace eelgrasscove
