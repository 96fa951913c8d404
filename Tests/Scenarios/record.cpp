#include "record.h"

#include "StandIns/completion.h"

#include <fmt/core.h>
#include <nlohmann/json.hpp>
#include <sstream>

namespace scenarios {

using Json = nlohmann::json;

namespace {

constexpr std::string_view eventPrefix = "data: ";
constexpr std::size_t traceBegin = 3;
constexpr std::size_t traceDigits = 32;

/// The trace id within the traceparent header that a target saw.
std::string traceOf(const Json &line)
{
    for (const Json &header : line.value("headers", Json::array())) {
        std::string name = header.at(0).get<std::string>();
        for (char &letter : name)
            letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
        const auto value = header.at(1).get<std::string>();
        if (name == "traceparent" && value.size() > traceBegin + traceDigits)
            return value.substr(traceBegin, traceDigits);
    }
    return {};
}

void takeStart(ScenarioRecord &record, const std::string &target, const Json &line)
{
    RunRecord run;
    run.target_ = target;
    run.attempt_ = line.value("attempt", "");
    run.model_ = line.value("model", "");
    run.promptDigest_ = line.value("prompt_digest", "");
    run.promptTokens_ = line.value("prompt_tokens", std::int64_t(0));
    run.startedAt_ = line.value("at_us", std::int64_t(0));
    run.trace_ = traceOf(line);
    record.runs_.push_back(run);
}

void takeEnd(ScenarioRecord &record, const std::string &target, const Json &line)
{
    for (auto run = record.runs_.rbegin(); run != record.runs_.rend(); ++run) {
        if (run->target_ != target || run->attempt_ != line.value("attempt", "")
            || run->promptDigest_ != line.value("prompt_digest", "") || !run->outcome_.empty())
            continue;
        run->outcome_ = line.value("outcome", "");
        run->tokenTimes_ = line.value("token_at_us", std::vector<std::int64_t>());
        return;
    }
}

void takeCall(ScenarioRecord &record, const std::string &target, const Json &line)
{
    BookingRecord booking;
    booking.target_ = target;
    booking.attempt_ = line.value("attempt", "");
    booking.method_ = line.value("method", "");
    booking.path_ = line.value("path", "");
    booking.bodyDigest_ = line.value("body_digest", "");
    booking.trace_ = traceOf(line);
    booking.tookEffect_ = line.value("outcome", "") != "failed";
    record.bookings_.push_back(booking);
}

void takeLine(ScenarioRecord &record, const std::string &target, const Json &line)
{
    const std::string event = line.value("event", "");
    if (event == "start")
        takeStart(record, target, line);
    else if (event == "end")
        takeEnd(record, target, line);
    else if (event == "call")
        takeCall(record, target, line);
    else if (event == "unload")
        record.unloads_.push_back({target, line.value("adapter", ""), line.value("in_use", false)});
}

void takeError(CallerRecord &caller, const Json &json)
{
    if (!json.is_object() || !json.contains("error") || !json["error"].is_object())
        return;
    caller.error_.code_ = json["error"].value("code", "");
    caller.error_.run_ = json["error"].value("run", "");
}

std::string choiceText(const Json &choice)
{
    for (const char *part : {"delta", "message"}) {
        if (choice.contains(part))
            return choice[part].value("content", "");
    }
    return choice.value("text", "");
}

void takeChunk(CallerRecord &caller, const Json &json)
{
    takeError(caller, json);
    if (!json.is_object() || !json.contains("choices"))
        return;
    caller.model_ = json.value("model", "");
    for (const Json &choice : json["choices"]) {
        caller.text_ += choiceText(choice);
        caller.parts_ += 1;
    }
}

void readStream(CallerRecord &caller)
{
    std::istringstream lines(caller.raw_);
    for (std::string line; std::getline(lines, line);) {
        if (line.rfind(eventPrefix, 0) != 0)
            continue;
        const std::string data = line.substr(eventPrefix.size());
        if (data.rfind("[DONE]", 0) == 0)
            caller.doneSeen_ = true;
        else
            takeChunk(caller, Json::parse(data, nullptr, false));
    }
}

} // namespace

std::vector<std::string> takeTargetLog(ScenarioRecord &record, const std::string &target,
                                       const std::string &log)
{
    std::vector<std::string> faults;
    std::istringstream lines(log);
    for (std::string text; std::getline(lines, text);) {
        const Json line = Json::parse(text, nullptr, false);
        if (!line.is_object()) {
            faults.push_back(fmt::format("{}: not a JSON line: {}", target, text));
            continue;
        }
        takeLine(record, target, line);
    }
    return faults;
}

void takeProcessLog(ScenarioRecord &record, const std::string &process, const std::string &log)
{
    std::istringstream lines(log);
    for (std::string line; std::getline(lines, line);) {
        const Json json = Json::parse(line, nullptr, false);
        if (!json.is_object() || !json.contains("event"))
            continue;
        const std::string number = json.value("number", "0");
        record.events_.push_back(
            {process, json.value("event", ""), std::strtoll(number.c_str(), nullptr, 10)});
    }
}

void readAnswer(CallerRecord &caller)
{
    if (caller.stream_ && caller.status_ == 200) {
        readStream(caller);
        return;
    }
    const Json json = Json::parse(caller.raw_, nullptr, false);
    if (caller.method_.empty())
        takeChunk(caller, json);
    else
        takeError(caller, json);
}

std::string workDigest(const CallerRecord &caller)
{
    return standins::digestHex(caller.method_.empty() ? caller.prompt_ : caller.body_);
}

} // namespace scenarios
