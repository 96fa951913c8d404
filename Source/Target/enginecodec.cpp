#include "Target/enginecodec.h"

#include "Link/jsoninteger.h"

#include <nlohmann/json.hpp>

namespace eelgrasscove {

namespace {

using Json = nlohmann::json;

std::string dumpJson(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

/// Whether the member took the number; one that is left out keeps the member as it is.
template <class T>
bool takeInteger(const Json &object, const char *name, T &member)
{
    const auto found = object.find(name);
    if (found == object.end())
        return true;
    const std::optional<T> number = integerFromJson<T>(*found);
    member = number.value_or(member);
    return number.has_value();
}

std::optional<EngineState> engineStateFromJson(const Json &json)
{
    EngineState state;
    const bool hasNumbers = json.contains("incarnation")
        && takeInteger(json, "incarnation", state.incarnation_.value_)
        && takeInteger(json, "fencing_number", state.fencingNumber_.value_)
        && takeInteger(json, "adapter_slots", state.adapterSlots_)
        && takeInteger(json, "batch_slots", state.batchSlots_);
    if (!hasNumbers)
        return std::nullopt;
    for (const Json &adapter : json.at("adapters"))
        state.adapters_.push_back(adapterFromModelName(adapter.get<std::string>()));
    for (const Json &run : json.at("running")) {
        state.running_.push_back(
            {.attempt_ = {run.at("attempt").get<std::string>()},
             .adapter_ = adapterFromModelName(run.at("model").get<std::string>())});
    }
    return state;
}

} // namespace

std::optional<EngineState> parseEngineState(const std::string &text)
{
    try {
        return engineStateFromJson(Json::parse(text));
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

std::string adapterOrderBody(const AdapterOrder &order)
{
    const std::string name = engineModelName(order.adapter_);
    return dumpJson({{"lora_name", name},
                     {"lora_path", name},
                     {"fencing_number", order.fencingNumber_.value_}});
}

std::string cancelBody(const AttemptId &attempt)
{
    return dumpJson({{"attempt", attempt.text_}});
}

std::optional<std::string> runBody(const StartRun &run)
{
    Json body = Json::parse(run.body_, nullptr, false);
    if (!body.is_object())
        return std::nullopt;
    body["model"] = engineModelName(run.adapter_);
    // The engine schedules lower values first.
    body["priority"] = run.priority_ == Priority::Interactive ? 0 : 1;
    return dumpJson(body);
}

} // namespace eelgrasscove
