#include "Target/answermeter.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace eelgrasscove {

namespace {

using Json = nlohmann::json;

/// Longest line or body that is read for its tokens, in bytes.
constexpr std::size_t pendingLimit = 4 * 1024 * 1024;

constexpr std::string_view dataField = "data:";

const Json *member(const Json &json, const char *name)
{
    const auto found = json.is_object() ? json.find(name) : json.end();
    return json.is_object() && found != json.end() ? &*found : nullptr;
}

bool hasText(const Json *json)
{
    return json && json->is_string() && !json->get_ref<const std::string &>().empty();
}

bool choiceHasText(const Json &choice)
{
    if (hasText(member(choice, "text")))
        return true;
    const Json *delta = member(choice, "delta");
    return delta && hasText(member(*delta, "content"));
}

void readUsage(AnswerMeter &meter, const Json &json)
{
    const Json *usage = member(json, "usage");
    const Json *generated = usage ? member(*usage, "completion_tokens") : nullptr;
    if (generated && generated->is_number_integer())
        meter.reported_ = std::max<std::int64_t>(0, generated->get<std::int64_t>());
}

void readEvent(AnswerMeter &meter, std::string_view data)
{
    const Json json = Json::parse(data, nullptr, false);
    const Json *choices = member(json, "choices");
    if (choices && choices->is_array()
        && std::any_of(choices->begin(), choices->end(), choiceHasText)) {
        ++meter.counted_;
    }
    readUsage(meter, json);
}

void readLine(AnswerMeter &meter, std::string_view line)
{
    if (line.starts_with(dataField))
        readEvent(meter, line.substr(dataField.size()));
}

void keep(AnswerMeter &meter, std::string_view bytes)
{
    if (meter.overlong_ || meter.pending_.size() + bytes.size() > pendingLimit) {
        meter.overlong_ = true;
        meter.pending_.clear();
        return;
    }
    meter.pending_ += bytes;
}

void meterLines(AnswerMeter &meter, std::string_view bytes)
{
    while (true) {
        const std::size_t end = bytes.find('\n');
        keep(meter, bytes.substr(0, end));
        if (end == std::string_view::npos)
            return;
        readLine(meter, meter.pending_);
        meter.pending_.clear();
        meter.overlong_ = false;
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
        meterLines(meter, bytes);
    else if (meter.form_ == AnswerForm::Json)
        keep(meter, bytes);
}

void meterEnd(AnswerMeter &meter)
{
    if (meter.form_ == AnswerForm::EventStream)
        readLine(meter, meter.pending_);
    else if (meter.form_ == AnswerForm::Json)
        readUsage(meter, Json::parse(meter.pending_, nullptr, false));
    meter.pending_.clear();
}

std::int64_t generatedTokens(const AnswerMeter &meter)
{
    return meter.reported_.value_or(meter.counted_);
}

} // namespace eelgrasscove
