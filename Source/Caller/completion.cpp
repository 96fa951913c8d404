#include "Caller/completion.h"

#include "Observe/log.h"

#include <fmt/core.h>
#include <nlohmann/json.hpp>
#include <optional>

namespace eelgrasscove {

using Json = nlohmann::json;

namespace {

constexpr std::int64_t largestMaxTokens = 1'000'000;

ApiError badRequest(std::string message)
{
    return {ApiErrorCode::BadRequest, RunState::NotRun, std::move(message), 0};
}

/// Bytes of one message's content: a text, or a list of parts with texts.
std::int64_t contentBytes(const Json &content)
{
    if (content.is_string())
        return static_cast<std::int64_t>(content.get_ref<const std::string &>().size());
    std::int64_t bytes = 0;
    for (const Json &part : content) {
        const auto text = part.is_object() ? part.find("text") : part.end();
        if (part.is_object() && text != part.end() && text->is_string())
            bytes += static_cast<std::int64_t>(text->get_ref<const std::string &>().size());
    }
    return bytes;
}

std::optional<std::int64_t> chatBytes(const Json &body)
{
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array() || messages->empty())
        return std::nullopt;
    std::int64_t bytes = 0;
    for (const Json &message : *messages) {
        if (!message.is_object() || !message.contains("content"))
            return std::nullopt;
        bytes += contentBytes(message["content"]);
    }
    return bytes;
}

std::optional<std::int64_t> promptBytes(const Json &body, bool chat)
{
    if (chat)
        return chatBytes(body);
    const auto prompt = body.find("prompt");
    if (prompt == body.end() || !prompt->is_string())
        return std::nullopt;
    return contentBytes(*prompt);
}

std::optional<ApiError> checkFields(const Json &body)
{
    if (!body.is_object())
        return badRequest("the body is not a JSON object; send one with \"model\"");
    const auto model = body.find("model");
    if (model == body.end() || !model->is_string())
        return badRequest("\"model\" is missing; name a route of GET /v1/models");
    if (body.contains("stream") && !body["stream"].is_boolean())
        return badRequest("\"stream\" is not true or false");
    for (const char *count : {"n", "best_of"}) {
        if (body.contains(count) && body[count] != 1)
            return badRequest(fmt::format("\"{}\" other than 1 is not served", count));
    }
    return std::nullopt;
}

std::optional<std::int64_t> maxTokensOf(const Json &body, std::int64_t defaultMaxTokens)
{
    for (const char *name : {"max_completion_tokens", "max_tokens"}) {
        const auto found = body.find(name);
        if (found == body.end())
            continue;
        if (!found->is_number_integer())
            return std::nullopt;
        const auto value = found->get<std::int64_t>();
        if (value < 1 || value > largestMaxTokens)
            return std::nullopt;
        return value;
    }
    return defaultMaxTokens;
}

Result<Completion, ApiError> readCompletion(Json body, bool chat, std::int64_t defaultMaxTokens)
{
    if (std::optional<ApiError> error = checkFields(body))
        return *error;
    const std::optional<std::int64_t> bytes = promptBytes(body, chat);
    if (!bytes)
        return badRequest(chat ? "\"messages\" is not a list of messages with \"content\""
                               : "\"prompt\" is not a text");
    const std::optional<std::int64_t> maxTokens = maxTokensOf(body, defaultMaxTokens);
    if (!maxTokens)
        return badRequest(
            fmt::format("\"max_tokens\" is not a whole number from 1 to {}", largestMaxTokens));
    Completion completion;
    completion.route_ = {body["model"].get<std::string>()};
    completion.stream_ = body.value("stream", false);
    completion.promptTokens_ = (*bytes + promptBytesPerToken - 1) / promptBytesPerToken;
    completion.maxTokens_ = *maxTokens;
    body.erase("model");
    body.erase("max_completion_tokens");
    body["max_tokens"] = *maxTokens;
    completion.bodyWithoutModel_ = body.dump();
    return completion;
}

} // namespace

// The JSON library reports what it can't read or write by exceptions; they end here.
Result<Completion, ApiError> parseCompletion(std::string_view body, bool chat,
                                             std::int64_t defaultMaxTokens)
{
    try {
        return readCompletion(Json::parse(body), chat, defaultMaxTokens);
    } catch (const Json::exception &error) {
        return badRequest(std::string("the body is not JSON: ") + error.what());
    }
}

std::string engineBody(const Completion &completion, std::string_view model)
{
    return fmt::format(R"({{"model":"{}",{})", escapeJson(model),
                       std::string_view(completion.bodyWithoutModel_).substr(1));
}

} // namespace eelgrasscove
