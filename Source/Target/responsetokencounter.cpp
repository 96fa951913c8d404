#include "Target/responsetokencounter.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace eelgrasscove {

namespace {

using Json = nlohmann::json;

/// Maximum size of a line or body that is parsed for tokens; longer ones are not counted.
constexpr std::size_t maxPendingBytes = 4 * 1024 * 1024;

constexpr std::string_view dataField = "data:";

const Json *findMember(const Json &json, const char *name)
{
    const auto found = json.is_object() ? json.find(name) : json.end();
    return json.is_object() && found != json.end() ? &*found : nullptr;
}

bool isNonEmptyString(const Json *json)
{
    return json && json->is_string() && !json->get_ref<const std::string &>().empty();
}

bool choiceHasText(const Json &choice)
{
    if (isNonEmptyString(findMember(choice, "text")))
        return true;
    const Json *delta = findMember(choice, "delta");
    return delta && isNonEmptyString(findMember(*delta, "content"));
}

void parseUsage(ResponseTokenCounter &counter, const Json &json)
{
    const Json *usage = findMember(json, "usage");
    const Json *generated = usage ? findMember(*usage, "completion_tokens") : nullptr;
    if (generated && generated->is_number_integer())
        counter.reportedTokens_ = std::max<std::int64_t>(0, generated->get<std::int64_t>());
}

void parseEvent(ResponseTokenCounter &counter, std::string_view data)
{
    const Json json = Json::parse(data, nullptr, false);
    const Json *choices = findMember(json, "choices");
    if (choices && choices->is_array()
        && std::any_of(choices->begin(), choices->end(), choiceHasText)) {
        ++counter.countedTokens_;
    }
    parseUsage(counter, json);
}

void parseLine(ResponseTokenCounter &counter, std::string_view line)
{
    if (line.starts_with(dataField))
        parseEvent(counter, line.substr(dataField.size()));
}

void appendPending(ResponseTokenCounter &counter, std::string_view bytes)
{
    if (counter.isOverlong_ || counter.pending_.size() + bytes.size() > maxPendingBytes) {
        counter.isOverlong_ = true;
        counter.pending_.clear();
        return;
    }
    counter.pending_ += bytes;
}

void parseLines(ResponseTokenCounter &counter, std::string_view bytes)
{
    while (true) {
        const std::size_t end = bytes.find('\n');
        appendPending(counter, bytes.substr(0, end));
        if (end == std::string_view::npos)
            return;
        parseLine(counter, counter.pending_);
        counter.pending_.clear();
        counter.isOverlong_ = false;
        bytes.remove_prefix(end + 1);
    }
}

} // namespace

ResponseFormat responseFormat(std::string_view contentType)
{
    if (contentType.starts_with("text/event-stream"))
        return ResponseFormat::EventStream;
    if (contentType.starts_with("application/json"))
        return ResponseFormat::Json;
    return ResponseFormat::Opaque;
}

void countTokens(ResponseTokenCounter &counter, std::string_view bytes)
{
    if (counter.format_ == ResponseFormat::EventStream)
        parseLines(counter, bytes);
    else if (counter.format_ == ResponseFormat::Json)
        appendPending(counter, bytes);
}

void finishTokenCount(ResponseTokenCounter &counter)
{
    if (counter.format_ == ResponseFormat::EventStream)
        parseLine(counter, counter.pending_);
    else if (counter.format_ == ResponseFormat::Json)
        parseUsage(counter, Json::parse(counter.pending_, nullptr, false));
    counter.pending_.clear();
}

std::int64_t generatedTokens(const ResponseTokenCounter &counter)
{
    return counter.reportedTokens_.value_or(counter.countedTokens_);
}

} // namespace eelgrasscove
