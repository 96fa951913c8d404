#include "Platform/rulehead.h"

#include "Contract/keydigest.h"

#include <algorithm>
#include <fmt/core.h>
#include <nlohmann/json.hpp>

namespace eelgrasscove {

namespace {

using Json = nlohmann::json;

/// Form of the head that this build writes.
constexpr std::uint64_t headVersion = 1;

/// Most chunks of a revision that is believed, and most bytes.
constexpr std::uint64_t mostChunks = 1024;
constexpr std::uint64_t mostBytes = mostChunks * chunkBytes;

Json recordJson(const RuleRecord &record)
{
    return {{"revision", record.revision_.value_},
            {"chunks", record.chunks_},
            {"bytes", record.bytes_},
            {"digest", record.digest_},
            {"write_id", record.writeId_},
            {"who", record.who_},
            {"at", record.atSeconds_}};
}

bool isUnsigned(const Json &json, const char *name)
{
    return json.contains(name) && json[name].is_number_unsigned();
}

bool isText(const Json &json, const char *name)
{
    return json.contains(name) && json[name].is_string();
}

bool isRecord(const Json &json)
{
    return json.is_object() && isUnsigned(json, "revision") && isUnsigned(json, "chunks")
        && isUnsigned(json, "bytes") && isText(json, "digest") && isText(json, "write_id");
}

RuleRecord recordFrom(const Json &json)
{
    RuleRecord record;
    record.revision_.value_ = json["revision"].get<std::uint64_t>();
    record.chunks_ = json["chunks"].get<std::uint64_t>();
    record.bytes_ = json["bytes"].get<std::uint64_t>();
    record.digest_ = json["digest"].get<std::string>();
    record.writeId_ = json["write_id"].get<std::string>();
    if (isText(json, "who"))
        record.who_ = json["who"].get<std::string>();
    if (json.contains("at") && json["at"].is_number_integer())
        record.atSeconds_ = json["at"].get<std::int64_t>();
    return record;
}

} // namespace

std::string encodeRuleHead(const RuleHead &head)
{
    Json records = Json::array();
    for (const RuleRecord &record : head.records_)
        records.push_back(recordJson(record));
    const Json json = {{"version", headVersion}, {"records", records}};
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<RuleHead, RuleHeadError> decodeRuleHead(const std::string &text)
{
    const Json json = Json::parse(text, nullptr, false);
    if (!json.is_object() || !json.contains("records") || !json["records"].is_array())
        return RuleHeadError{"the head holds no records"};
    RuleHead head;
    for (const Json &record : json["records"]) {
        if (!isRecord(record))
            return RuleHeadError{"the head holds a malformed record"};
        head.records_.push_back(recordFrom(record));
        if (newestRecord(head)->chunks_ > mostChunks || newestRecord(head)->bytes_ > mostBytes)
            return RuleHeadError{"the head names a revision that is too large"};
    }
    return head;
}

const RuleRecord *newestRecord(const RuleHead &head)
{
    return head.records_.empty() ? nullptr : &head.records_.back();
}

const RuleRecord *recordOf(const RuleHead &head, Revision revision)
{
    for (const RuleRecord &record : head.records_) {
        if (record.revision_ == revision)
            return &record;
    }
    return nullptr;
}

std::string chunkKey(const RuleRecord &record, std::uint64_t number)
{
    return fmt::format("rules/{}/{}-{}", record.revision_.value_, record.writeId_, number);
}

std::vector<std::string> splitChunks(const std::string &text)
{
    std::vector<std::string> chunks;
    for (std::size_t begin = 0; begin < text.size(); begin += chunkBytes)
        chunks.push_back(text.substr(begin, chunkBytes));
    return chunks;
}

std::vector<KvRead> chunkReads(const RuleRecord &record)
{
    std::vector<KvRead> reads;
    for (std::uint64_t number = 0; number < record.chunks_; ++number)
        reads.push_back({chunkKey(record, number), false});
    return reads;
}

Result<std::string, RuleHeadError> joinChunks(const RuleRecord &record,
                                              const std::vector<KvPair> &chunks)
{
    std::string text;
    for (const KvPair &chunk : chunks)
        text += chunk.value_;
    if (chunks.size() != record.chunks_ || text.size() != record.bytes_)
        return RuleHeadError{fmt::format("revision {} lacks a chunk", record.revision_.value_)};
    if (textDigest(text) != record.digest_) {
        return RuleHeadError{
            fmt::format("revision {} doesn't have its digest", record.revision_.value_)};
    }
    return text;
}

} // namespace eelgrasscove
