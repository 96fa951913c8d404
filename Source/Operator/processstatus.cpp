#include "Operator/processstatus.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <type_traits>

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
    if (found == json.end() || !found->is_number_integer())
        return;
    if (std::is_signed_v<Number> || found->is_number_unsigned())
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

std::optional<ShareStatus> shareOf(const Json &json)
{
    ShareStatus share;
    share.account_.text_ = textField(json, "account");
    if (share.account_.empty())
        return std::nullopt;
    readField(json, "rate", share.rate_);
    readField(json, "burst", share.burst_);
    readField(json, "free", share.free_);
    readField(json, "outstanding", share.outstanding_);
    return share;
}

std::optional<QueueStatus> queueOf(const Json &json)
{
    QueueStatus queue;
    queue.account_.text_ = textField(json, "account");
    readField(json, "interactive", queue.interactive_);
    readField(json, "batch", queue.batch_);
    return queue;
}

/// The items of a list that can be read; none where there is no such list.
template <class Item>
void readList(const Json &json, const char *name, std::optional<Item> (*read)(const Json &),
              std::vector<Item> &items)
{
    const auto found = json.find(name);
    if (found == json.end() || !found->is_array())
        return;
    for (const Json &one : *found) {
        if (!one.is_object())
            continue;
        if (const std::optional<Item> item = read(one))
            items.push_back(*item);
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
    readField(json, "requests", status.requests_);
    readList(json, "residents", residentOf, status.residents_);
    readList(json, "queues", queueOf, status.queues_);
    readList(json, "accounts", shareOf, status.shares_);
    return status;
}

} // namespace eelgrasscove
