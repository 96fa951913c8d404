#pragma once

/// Counts the tokens of an engine's answer while its bytes pass by. Pure.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace eelgrasscove {

enum class AnswerForm {
    /// Nothing to count.
    Opaque,
    /// One JSON object with its usage.
    Json,
    /// Server-sent events, one token each; the last carries the usage.
    EventStream,
};

struct AnswerMeter
{
    AnswerForm form_ = AnswerForm::Opaque;
    /// The line, or the body, so far.
    std::string pending_;
    /// The line or body is too long to be read.
    bool overlong_ = false;
    std::int64_t counted_ = 0;
    /// The engine's own count, once it has told it.
    std::optional<std::int64_t> reported_;
};

AnswerForm answerForm(std::string_view contentType);

void meterBytes(AnswerMeter &meter, std::string_view bytes);

/// The answer is whole.
void meterEnd(AnswerMeter &meter);

/// Tokens generated so far, by the engine's count where it is known.
std::int64_t generatedTokens(const AnswerMeter &meter);

} // namespace eelgrasscove
