#include "Target/enginecodec.h"

#include <nlohmann/json.hpp>

namespace eelgrasscove {

namespace {

using Json = nlohmann::json;

std::string dumpJson(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

EngineState engineStateFromJson(const Json &json)
{
    EngineState state;
    state.incarnation_.value_ = json.at("incarnation").get<std::uint64_t>();
    state.fencingNumber_.value_ = json.value("fencing_number", std::uint64_t(0));
    state.adapterSlots_ = json.value("adapter_slots", std::uint32_t(0));
    state.batchSlots_ = json.value("batch_slots", std::uint32_t(0));
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
