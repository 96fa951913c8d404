#include "Operator/processstatus.h"

#include <nlohmann/json.hpp>
#include <optional>

namespace eelgrasscove {

namespace {

using Json = nlohmann::json;

std::string textField(const Json &json, const char *name)
{
    const auto found = json.find(name);
    return found != json.end() && found->is_string() ? found->get<std::string>() : std::string();
}

template <class Number>
void readField(const Json &json, const char *name, Number &number)
{
    const auto found = json.find(name);
    if (found != json.end() && found->is_number_unsigned())
        number = found->get<Number>();
}

void readFlag(const Json &json, const char *name, bool &flag)
{
    const auto found = json.find(name);
    if (found != json.end() && found->is_boolean())
        flag = found->get<bool>();
}

std::optional<ResidentAdapter> residentOf(const Json &json)
{
    if (!json.is_object())
        return std::nullopt;
    const std::string name = textField(json, "adapter");
    const std::size_t at = name.rfind('@');
    if (at == std::string::npos)
        return std::nullopt;
    ResidentAdapter resident;
    resident.adapter_.adapter_.text_ = name.substr(0, at);
    resident.adapter_.version_.text_ = name.substr(at + 1);
    readField(json, "running", resident.running_);
    return resident;
}

void readResidents(const Json &json, std::vector<ResidentAdapter> &residents)
{
    const auto found = json.find("residents");
    if (found == json.end() || !found->is_array())
        return;
    for (const Json &item : *found) {
        if (const std::optional<ResidentAdapter> resident = residentOf(item))
            residents.push_back(*resident);
    }
}

} // namespace

Result<ProcessStatus, StatusError> decodeStatus(const std::string &body)
{
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object())
        return StatusError{"the status isn't a JSON object"};
    const std::optional<Role> role = valueNamed(roleNames, textField(json, "role"));
    ProcessStatus status;
    status.vm_.text_ = textField(json, "vm");
    if (status.vm_.empty() || !role)
        return StatusError{"the status lacks vm or role"};
    status.role_ = *role;
    status.dataCentre_.text_ = textField(json, "data_centre");
    status.region_.text_ = textField(json, "region");
    status.group_.text_ = textField(json, "group");
    readField(json, "rules_revision", status.rulesRevision_.value_);
    readFlag(json, "leaving", status.leaving_);
    readFlag(json, "engine_up", status.engineUp_);
    readField(json, "queued", status.queued_);
    readField(json, "running", status.running_);
    readField(json, "batch_slots", status.batchSlots_);
    readField(json, "adapter_slots", status.adapterSlots_);
    readResidents(json, status.residents_);
    return status;
}

} // namespace eelgrasscove
