/// What callers send, of any bytes: no crash, no completion without its limits, and no error that
/// says anything but "not run".

#include "Caller/completion.h"
#include "Observe/trace.h"

#include <cstdlib>
#include <nlohmann/json.hpp>

using namespace eelgrasscove;

namespace {

constexpr std::int64_t defaultMaxTokens = 256;

void checkCompletion(const std::string &text, bool chat)
{
    const auto parsed = parseCompletion(text, chat, defaultMaxTokens);
    if (!ok(parsed)) {
        const ApiError &error = errorOf(parsed);
        if (error.run_ != RunState::NotRun || error.message_.empty())
            std::abort();
        return;
    }
    const Completion &completion = valueOf(parsed);
    if (completion.maxTokens_ <= 0 || completion.promptTokens_ < 0)
        std::abort();
    const nlohmann::json body =
        nlohmann::json::parse(engineBody(completion, "oak@1"), nullptr, false);
    if (body.is_discarded() || body.value("model", "") != "oak@1")
        std::abort();
}

} // namespace

// libFuzzer demands the name. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const unsigned char *data, std::size_t size)
{
    const std::string text(reinterpret_cast<const char *>(data), size);
    checkCompletion(text, false);
    checkCompletion(text, true);
    const TraceContext trace = parseTraceparent(text);
    if (!trace.empty() && parseTraceparent(formatTraceparent(trace)).spanId_ != trace.spanId_)
        std::abort();
    return 0;
}
