#include "Target/answermeter.h"

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

void parseUsage(AnswerMeter &meter, const Json &json)
{
    const Json *usage = findMember(json, "usage");
    const Json *generated = usage ? findMember(*usage, "completion_tokens") : nullptr;
    if (generated && generated->is_number_integer())
        meter.reportedTokens_ = std::max<std::int64_t>(0, generated->get<std::int64_t>());
}

void parseEvent(AnswerMeter &meter, std::string_view data)
{
    const Json json = Json::parse(data, nullptr, false);
    const Json *choices = findMember(json, "choices");
    if (choices && choices->is_array()
        && std::any_of(choices->begin(), choices->end(), choiceHasText)) {
        ++meter.countedTokens_;
    }
    parseUsage(meter, json);
}

void parseLine(AnswerMeter &meter, std::string_view line)
{
    if (line.starts_with(dataField))
        parseEvent(meter, line.substr(dataField.size()));
}

void appendPending(AnswerMeter &meter, std::string_view bytes)
{
    if (meter.isOverlong_ || meter.pending_.size() + bytes.size() > maxPendingBytes) {
        meter.isOverlong_ = true;
        meter.pending_.clear();
        return;
    }
    meter.pending_ += bytes;
}

void parseLines(AnswerMeter &meter, std::string_view bytes)
{
    while (true) {
        const std::size_t end = bytes.find('\n');
        appendPending(meter, bytes.substr(0, end));
        if (end == std::string_view::npos)
            return;
        parseLine(meter, meter.pending_);
        meter.pending_.clear();
        meter.isOverlong_ = false;
        bytes.remove_prefix(end + 1);
    }
}

} // namespace

AnswerForm answerForm(std::string_view contentType)
{
    if (contentType.starts_with("text/event-stream"))
        return AnswerForm::EventStream;
    if (contentType.starts_with("application/json"))
        return AnswerForm::Json;
    return AnswerForm::Opaque;
}

void meterBytes(AnswerMeter &meter, std::string_view bytes)
{
    if (meter.form_ == AnswerForm::EventStream)
        parseLines(meter, bytes);
    else if (meter.form_ == AnswerForm::Json)
        appendPending(meter, bytes);
}

void meterEnd(AnswerMeter &meter)
{
    if (meter.form_ == AnswerForm::EventStream)
        parseLine(meter, meter.pending_);
    else if (meter.form_ == AnswerForm::Json)
        parseUsage(meter, Json::parse(meter.pending_, nullptr, false));
    meter.pending_.clear();
}

std::int64_t generatedTokens(const AnswerMeter &meter)
{
    return meter.reportedTokens_.value_or(meter.countedTokens_);
}

} // namespace eelgrasscove
