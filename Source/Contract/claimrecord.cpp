#include "Contract/claimrecord.h"

#include "Contract/keydigest.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace eelgrasscove {

namespace {

using Json = nlohmann::json;

bool hasString(const Json &json, const char *name)
{
    return json.contains(name) && json[name].is_string();
}

bool readAnswer(const Json &json, StoredResponse &answer)
{
    const bool isComplete = json.is_object() && json.contains("status")
        && json["status"].is_number_unsigned()
        && std::in_range<std::uint32_t>(json["status"].get<std::uint64_t>())
        && hasString(json, "content_type") && json.contains("body") && json["body"].is_binary()
        && json.contains("body_kept") && json["body_kept"].is_boolean();
    if (!isComplete)
        return false;
    answer.status_ = json["status"].get<std::uint32_t>();
    answer.contentType_ = json["content_type"].get<std::string>();
    const auto &body = json["body"].get_binary();
    answer.body_.assign(body.begin(), body.end());
    answer.isBodyStored_ = json["body_kept"].get<bool>();
    return true;
}

Json toJson(const StoredResponse &answer)
{
    const bool isBodyStored = answer.isBodyStored_ && answer.body_.size() <= maxStoredBodyBytes;
    Json::binary_t::container_type body;
    if (isBodyStored)
        body.assign(answer.body_.begin(), answer.body_.end());
    return {{"status", answer.status_},
            {"content_type", answer.contentType_},
            {"body", Json::binary(std::move(body))},
            {"body_kept", isBodyStored}};
}

} // namespace

std::string encodeClaimRecord(const ClaimRecord &record)
{
    Json json = {{"request", record.request_.text_}, {"fingerprint", record.fingerprint_.text_}};
    if (record.state_ == ClaimState::Answered)
        json["answer"] = toJson(record.response_);
    std::string bytes;
    Json::to_msgpack(json, bytes);
    return bytes;
}

Result<ClaimRecord, ClaimRecordError> decodeClaimRecord(const std::string &bytes)
{
    const Json json = Json::from_msgpack(bytes, true, false);
    if (!json.is_object() || !hasString(json, "request") || !hasString(json, "fingerprint"))
        return ClaimRecordError{"the claim record has no request or fingerprint"};
    ClaimRecord record;
    record.request_.text_ = json["request"].get<std::string>();
    record.fingerprint_.text_ = json["fingerprint"].get<std::string>();
    if (!json.contains("answer"))
        return record;
    record.state_ = ClaimState::Answered;
    if (!readAnswer(json["answer"], record.response_))
        return ClaimRecordError{"the claim record has a malformed answer"};
    return record;
}

std::string claimKey(const AccountName &account, const std::string &idempotencyKey)
{
    return "claims/" + account.text_ + "/" + textDigest(idempotencyKey);
}

} // namespace eelgrasscove
