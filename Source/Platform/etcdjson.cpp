#include "Platform/etcdjson.h"

#include "Platform/base64.h"

#include <charconv>
#include <fmt/core.h>
#include <nlohmann/json.hpp>
#include <optional>

namespace eelgrasscove {

namespace {

using Json = nlohmann::json;

/// Codes of the service that say that a call was turned down before it did anything.
constexpr std::int64_t invalidArgument = 3;
constexpr std::int64_t notFound = 5;
constexpr std::int64_t failedPrecondition = 9;
constexpr std::int64_t outOfRange = 11;

Json keyJson(const std::string &prefix, const std::string &key)
{
    return encodeBase64(prefix + key);
}

Json rangeJson(const KvRead &read, const std::string &prefix)
{
    Json range = {{"key", keyJson(prefix, read.key_)}};
    if (read.prefix_)
        range["range_end"] = encodeBase64(endOfPrefix(prefix + read.key_));
    return {{"request_range", range}};
}

Json writeJson(const KvWrite &write, const std::string &prefix)
{
    const Json key = keyJson(prefix, write.key_);
    if (!write.value_)
        return {{"request_delete_range", {{"key", key}}}};
    Json put = {{"key", key}, {"value", encodeBase64(*write.value_)}};
    if (write.leaseId_ != 0)
        put["lease"] = std::to_string(write.leaseId_);
    return {{"request_put", put}};
}

Json compareJson(const KvCondition &condition, const std::string &prefix)
{
    return {{"key", keyJson(prefix, condition.key_)},
            {"target", "MOD"},
            {"result", "EQUAL"},
            {"mod_revision", std::to_string(condition.modRevision_)}};
}

/// Null where the object lacks the field.
const Json *fieldOf(const Json &object, const char *name)
{
    if (!object.is_object())
        return nullptr;
    const auto found = object.find(name);
    return found == object.end() ? nullptr : &*found;
}

/// A field left out is 0, as the gateway leaves out what is 0.
std::optional<std::int64_t> integerOf(const Json &object, const char *name)
{
    const Json *field = fieldOf(object, name);
    if (field == nullptr)
        return 0;
    if (field->is_number_integer())
        return field->get<std::int64_t>();
    if (!field->is_string())
        return std::nullopt;
    const auto &text = field->get_ref<const std::string &>();
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

std::string textOf(const Json &object, const char *name)
{
    const Json *field = fieldOf(object, name);
    return field != nullptr && field->is_string() ? field->get<std::string>() : std::string();
}

bool flagOf(const Json &object, const char *name)
{
    const Json *field = fieldOf(object, name);
    return field != nullptr && field->is_boolean() && field->get<bool>();
}

std::int64_t headerRevision(const Json &reply)
{
    const Json *header = fieldOf(reply, "header");
    return header == nullptr ? 0 : integerOf(*header, "revision").value_or(0);
}

std::optional<KvPair> pairOf(const Json &json, const std::string &prefix)
{
    const std::optional<std::string> key = decodeBase64(textOf(json, "key"));
    const std::optional<std::string> value = decodeBase64(textOf(json, "value"));
    const std::optional<std::int64_t> modRevision = integerOf(json, "mod_revision");
    if (!key || !value || !modRevision || key->compare(0, prefix.size(), prefix) != 0)
        return std::nullopt;
    KvPair pair;
    pair.key_ = key->substr(prefix.size());
    pair.value_ = *value;
    pair.modRevision_ = *modRevision;
    return pair;
}

/// Adds the pairs of one range; false where one is malformed.
bool addPairs(const Json &range, const std::string &prefix, std::vector<KvPair> &pairs)
{
    const Json *list = fieldOf(range, "kvs");
    if (list == nullptr)
        return true;
    for (const Json &json : *list) {
        std::optional<KvPair> pair = pairOf(json, prefix);
        if (!pair)
            return false;
        pairs.push_back(std::move(*pair));
    }
    return true;
}

Result<KvOutcome, EtcdError> decodeLease(const KvOperation &operation, const Json &reply)
{
    KvOutcome outcome;
    outcome.tag_ = operation.tag_;
    outcome.leaseId_ = integerOf(reply, "ID").value_or(0);
    outcome.revision_ = headerRevision(reply);
    if (outcome.leaseId_ == 0)
        return EtcdError{"the reply names no lease"};
    outcome.status_ = KvStatus::Succeeded;
    return outcome;
}

std::optional<ListedVm> vmOf(const Json &json)
{
    const std::optional<Role> role = valueNamed(roleNames, textOf(json, "role"));
    ListedVm vm;
    vm.vm_.text_ = textOf(json, "name");
    vm.region_.text_ = textOf(json, "region");
    vm.dataCentre_.text_ = textOf(json, "data_centre");
    vm.address_ = textOf(json, "address");
    vm.group_.text_ = textOf(json, "group");
    vm.leaving_ = textOf(json, "state") == "leaving";
    if (!role || vm.vm_.empty() || vm.address_.empty())
        return std::nullopt;
    vm.role_ = *role;
    return vm;
}

} // namespace

EtcdCall encodeOperation(const KvOperation &operation, const std::string &prefix)
{
    if (operation.grantLeaseSeconds_ > 0) {
        const Json body = {{"TTL", std::to_string(operation.grantLeaseSeconds_)}};
        return {"/v3/lease/grant", body.dump()};
    }
    Json body = {
        {"compare", Json::array()}, {"success", Json::array()}, {"failure", Json::array()}};
    for (const KvCondition &condition : operation.conditions_)
        body["compare"].push_back(compareJson(condition, prefix));
    for (const KvWrite &write : operation.writes_)
        body["success"].push_back(writeJson(write, prefix));
    for (const KvRead &read : operation.reads_) {
        body["success"].push_back(rangeJson(read, prefix));
        body["failure"].push_back(rangeJson(read, prefix));
    }
    return {"/v3/kv/txn", body.dump()};
}

Result<KvOutcome, EtcdError> decodeOutcome(const KvOperation &operation, const std::string &prefix,
                                           const std::string &body)
{
    const Json reply = Json::parse(body, nullptr, false);
    if (!reply.is_object())
        return EtcdError{"the reply isn't a JSON object"};
    if (operation.grantLeaseSeconds_ > 0)
        return decodeLease(operation, reply);
    KvOutcome outcome;
    outcome.tag_ = operation.tag_;
    outcome.revision_ = headerRevision(reply);
    const bool succeeded = flagOf(reply, "succeeded");
    if (!succeeded && operation.conditions_.empty())
        return EtcdError{"the reply says that no condition failed"};
    outcome.status_ = succeeded ? KvStatus::Succeeded : KvStatus::ConditionFailed;
    const Json *responses = fieldOf(reply, "responses");
    if (responses == nullptr)
        return outcome;
    for (const Json &response : *responses) {
        const Json *range = fieldOf(response, "response_range");
        if (range != nullptr && !addPairs(*range, prefix, outcome.reads_))
            return EtcdError{"the reply holds a malformed key or value"};
    }
    return outcome;
}

EtcdRefusal decodeRefusal(std::uint32_t status, const std::string &body)
{
    const Json reply = Json::parse(body, nullptr, false);
    const std::int64_t code = reply.is_object() ? integerOf(reply, "code").value_or(0) : 0;
    EtcdRefusal refusal;
    refusal.nothingWritten_ = code == invalidArgument || code == notFound
        || code == failedPrecondition || code == outOfRange;
    refusal.message_ = fmt::format("status {}: {}", status, textOf(reply, "message"));
    return refusal;
}

std::string endOfPrefix(std::string prefix)
{
    while (!prefix.empty()) {
        const auto last = static_cast<unsigned char>(prefix.back());
        if (last < 0xff) {
            prefix.back() = static_cast<char>(last + 1);
            return prefix;
        }
        prefix.pop_back();
    }
    return std::string(1, '\0');
}

std::string encodeWatch(const KeyInterval &interval, std::int64_t startRevision,
                        const std::string &prefix)
{
    const Json create = {{"key", keyJson(prefix, interval.first_)},
                         {"range_end", keyJson(prefix, interval.end_)},
                         {"start_revision", std::to_string(startRevision)}};
    return Json({{"create_request", create}}).dump();
}

Result<WatchLine, EtcdError> decodeWatchLine(const std::string &line, const std::string &prefix)
{
    const Json json = Json::parse(line, nullptr, false);
    const Json *result = fieldOf(json, "result");
    if (result == nullptr)
        return EtcdError{"the watch says: " + line.substr(0, 200)};
    WatchLine watch;
    watch.revision_ = headerRevision(*result);
    watch.cancelled_ = flagOf(*result, "canceled");
    const Json *events = fieldOf(*result, "events");
    if (events == nullptr)
        return watch;
    for (const Json &event : *events) {
        const Json *pairJson = fieldOf(event, "kv");
        std::optional<KvPair> pair = pairJson == nullptr ? std::nullopt : pairOf(*pairJson, prefix);
        if (!pair)
            return EtcdError{"the watch holds a malformed event"};
        if (textOf(event, "type") == "DELETE") {
            watch.deleted_.push_back(std::move(pair->key_));
        } else {
            watch.written_.push_back(std::move(*pair));
        }
    }
    return watch;
}

Result<VmList, EtcdError> decodeVmList(const std::string &body)
{
    const Json reply = Json::parse(body, nullptr, false);
    const Json *vms = fieldOf(reply, "vms");
    if (vms == nullptr || !vms->is_array())
        return EtcdError{"the reply holds no list of VMs"};
    VmList list;
    for (const Json &json : *vms) {
        if (std::optional<ListedVm> vm = vmOf(json))
            list.vms_.push_back(std::move(*vm));
    }
    return list;
}

} // namespace eelgrasscove
