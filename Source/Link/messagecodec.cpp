#include "Link/messagecodec.h"

#include "Link/jsoninteger.h"

#include <algorithm>
#include <array>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <fmt/format.h>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <tuple>
#include <type_traits>
#include <utility>

namespace eelgrasscove {

using Json = nlohmann::json;

namespace {

/// Names of the message kinds on the wire, in the order of the Message variant.
constexpr std::array messageNames = {
    "offer",          "offer_accepted",      "offer_refused",       "answer_head",
    "answer_chunk",   "answer_end",          "attempt_failed",      "attempt_query",
    "attempt_cancel", "answer_received",     "heartbeat",           "rules_request",
    "rules_text",     "rules_delta",         "rules_part_request",  "rules_part",
    "loan_request",   "loan_grant",          "loan_report",         "loan_closed",
    "load_report",    "full_report_request", "data_centre_summary", "vm_news",
};
static_assert(messageNames.size() == std::variant_size_v<Message>);

/// A field and its name on the wire, so that each struct is described once for both directions.
template <class Member>
struct Field
{
    const char *name_;
    Member member_;
};

template <class Member>
Field(const char *, Member) -> Field<Member>;

template <class T>
constexpr auto fieldsOf = nullptr;

/// Stands for a value of any type, to try how many members an aggregate takes.
struct AnyValue
{
    template <class T>
    operator T() const;
};

/// The number of members of an aggregate.
template <class T, class... Values>
constexpr std::size_t memberCount()
{
    if constexpr (requires { T{Values()..., AnyValue()}; })
        return memberCount<T, Values..., AnyValue>();
    else
        return sizeof...(Values);
}

/// Whether every member of a message, and of what it holds, is described: one that is left out
/// would arrive with its default.
template <class T>
constexpr bool
    isWhole = std::tuple_size_v<std::remove_cv_t<decltype(fieldsOf<T>)>> == memberCount<T>();

template <class T>
constexpr bool hasFields = !std::is_same_v<std::remove_cv_t<decltype(fieldsOf<T>)>, std::nullptr_t>;

template <>
constexpr auto fieldsOf<Offer> = std::tuple{
    Field{"attempt", &Offer::attempt_},
    Field{"request", &Offer::request_},
    Field{"target_incarnation", &Offer::targetIncarnation_},
    Field{"account", &Offer::account_},
    Field{"key_id", &Offer::keyId_},
    Field{"route", &Offer::route_},
    Field{"rules_revision", &Offer::rulesRevision_},
    Field{"adapter", &Offer::adapter_},
    Field{"idempotent", &Offer::idempotent_},
    Field{"priority", &Offer::priority_},
    Field{"reserved_tokens", &Offer::reservedTokens_},
    Field{"prompt_tokens", &Offer::promptTokens_},
    Field{"time_left_micros", &Offer::timeLeftMicros_},
    Field{"method", &Offer::method_},
    Field{"path", &Offer::path_},
    Field{"content_type", &Offer::contentType_},
    Field{"body", &Offer::body_},
    Field{"stream", &Offer::stream_},
    Field{"fingerprint", &Offer::fingerprint_},
    Field{"traceparent", &Offer::traceparent_},
};

template <>
constexpr auto fieldsOf<OfferAccepted> = std::tuple{Field{"attempt", &OfferAccepted::attempt_}};

template <>
constexpr auto fieldsOf<OfferRefused> = std::tuple{
    Field{"attempt", &OfferRefused::attempt_},
    Field{"reason", &OfferRefused::reason_},
    Field{"retry_after_millis", &OfferRefused::retryAfterMillis_},
};

template <>
constexpr auto fieldsOf<AnswerHead> = std::tuple{
    Field{"attempt", &AnswerHead::attempt_},
    Field{"status", &AnswerHead::status_},
    Field{"content_type", &AnswerHead::contentType_},
};

template <>
constexpr auto fieldsOf<AnswerChunk> = std::tuple{
    Field{"attempt", &AnswerChunk::attempt_},
    Field{"offset", &AnswerChunk::offset_},
    Field{"bytes", &AnswerChunk::bytes_},
    Field{"tokens_run", &AnswerChunk::tokensRun_},
};

template <>
constexpr auto fieldsOf<AnswerEnd> = std::tuple{
    Field{"attempt", &AnswerEnd::attempt_},
    Field{"length", &AnswerEnd::length_},
    Field{"tokens_run", &AnswerEnd::tokensRun_},
};

template <>
constexpr auto fieldsOf<AttemptFailed> = std::tuple{
    Field{"attempt", &AttemptFailed::attempt_},
    Field{"run_state", &AttemptFailed::runState_},
    Field{"reason", &AttemptFailed::reason_},
    Field{"tokens_run", &AttemptFailed::tokensRun_},
};

template <>
constexpr auto fieldsOf<AttemptQuery> = std::tuple{
    Field{"attempt", &AttemptQuery::attempt_},
    Field{"target_incarnation", &AttemptQuery::targetIncarnation_},
    Field{"have_offset", &AttemptQuery::haveOffset_},
    Field{"give_up", &AttemptQuery::giveUp_},
};

template <>
constexpr auto fieldsOf<AttemptCancel> = std::tuple{Field{"attempt", &AttemptCancel::attempt_}};

template <>
constexpr auto fieldsOf<AnswerReceived> = std::tuple{Field{"attempt", &AnswerReceived::attempt_}};

template <>
constexpr auto fieldsOf<AdapterKey> = std::tuple{
    Field{"adapter", &AdapterKey::adapter_},
    Field{"version", &AdapterKey::version_},
};

template <>
constexpr auto fieldsOf<ResidentAdapter> = std::tuple{
    Field{"adapter", &ResidentAdapter::adapter_},
    Field{"running", &ResidentAdapter::running_},
};

template <>
constexpr auto fieldsOf<Strike> = std::tuple{
    Field{"fingerprint", &Strike::fingerprint_},
    Field{"count", &Strike::count_},
};

template <>
constexpr auto fieldsOf<AccountFreeTokens> = std::tuple{
    Field{"account", &AccountFreeTokens::account_},
    Field{"tokens", &AccountFreeTokens::tokens_},
};

template <>
constexpr auto fieldsOf<Heartbeat> = std::tuple{
    Field{"role", &Heartbeat::role_},
    Field{"data_centre", &Heartbeat::dataCentre_},
    Field{"leaving", &Heartbeat::leaving_},
    Field{"rules_revision", &Heartbeat::rulesRevision_},
    Field{"group", &Heartbeat::group_},
    Field{"engine_up", &Heartbeat::engineUp_},
    Field{"queued", &Heartbeat::queued_},
    Field{"running", &Heartbeat::running_},
    Field{"batch_slots", &Heartbeat::batchSlots_},
    Field{"adapter_slots", &Heartbeat::adapterSlots_},
    Field{"residents", &Heartbeat::residents_},
    Field{"strikes", &Heartbeat::strikes_},
    Field{"free_tokens", &Heartbeat::freeTokens_},
    Field{"number", &Heartbeat::number_},
};

template <>
constexpr auto fieldsOf<RulesRequest> = std::tuple{Field{"have", &RulesRequest::have_}};

template <>
constexpr auto fieldsOf<RulesText> = std::tuple{
    Field{"revision", &RulesText::revision_},
    Field{"text", &RulesText::text_},
};

template <>
constexpr auto fieldsOf<RulesEdit> = std::tuple{
    Field{"keep", &RulesEdit::keep_},
    Field{"drop", &RulesEdit::drop_},
    Field{"lines", &RulesEdit::lines_},
};

template <>
constexpr auto fieldsOf<RulesDelta> = std::tuple{
    Field{"from", &RulesDelta::from_},
    Field{"to", &RulesDelta::to_},
    Field{"edits", &RulesDelta::edits_},
    Field{"digest", &RulesDelta::digest_},
};

template <>
constexpr auto fieldsOf<RulesPartRequest> = std::tuple{
    Field{"revision", &RulesPartRequest::revision_},
    Field{"part", &RulesPartRequest::part_},
};

template <>
constexpr auto fieldsOf<RulesPart> = std::tuple{
    Field{"revision", &RulesPart::revision_}, Field{"part", &RulesPart::part_},
    Field{"parts", &RulesPart::parts_},       Field{"digest", &RulesPart::digest_},
    Field{"bytes", &RulesPart::bytes_},
};

template <>
constexpr auto fieldsOf<LoanRequest> = std::tuple{
    Field{"account", &LoanRequest::account_},
    Field{"number", &LoanRequest::number_},
    Field{"tokens", &LoanRequest::tokens_},
};

template <>
constexpr auto fieldsOf<LoanGrant> = std::tuple{
    Field{"account", &LoanGrant::account_},
    Field{"number", &LoanGrant::number_},
    Field{"tokens", &LoanGrant::tokens_},
    Field{"free_tokens", &LoanGrant::freeTokens_},
};

template <>
constexpr auto fieldsOf<LoanReport> = std::tuple{
    Field{"account", &LoanReport::account_},
    Field{"number", &LoanReport::number_},
    Field{"tokens_run", &LoanReport::tokensRun_},
    Field{"tokens_returned", &LoanReport::tokensReturned_},
    Field{"closed", &LoanReport::closed_},
};

template <>
constexpr auto fieldsOf<LoanClosed> = std::tuple{
    Field{"account", &LoanClosed::account_},
    Field{"number", &LoanClosed::number_},
};

template <>
constexpr auto fieldsOf<ResidentChange> = std::tuple{
    Field{"a", &ResidentChange::adapter_},
    Field{"v", &ResidentChange::version_},
    Field{"r", &ResidentChange::running_},
    Field{"g", &ResidentChange::gone_},
};

template <>
constexpr auto fieldsOf<LoadReport> = std::tuple{
    Field{"n", &LoadReport::number_},         Field{"b", &LoadReport::base_},
    Field{"l", &LoadReport::leaving_},        Field{"e", &LoadReport::engineUp_},
    Field{"rr", &LoadReport::rulesRevision_}, Field{"q", &LoadReport::queued_},
    Field{"r", &LoadReport::running_},        Field{"c", &LoadReport::changes_},
};

template <>
constexpr auto fieldsOf<FullReportRequest> = std::tuple{};

template <>
constexpr auto fieldsOf<SpareTarget> = std::tuple{
    Field{"vm", &SpareTarget::vm_},
    Field{"incarnation", &SpareTarget::incarnation_},
    Field{"address", &SpareTarget::address_},
    Field{"free", &SpareTarget::freeSlots_},
};

template <>
constexpr auto fieldsOf<GroupSummary> = std::tuple{
    Field{"group", &GroupSummary::group_},      Field{"targets", &GroupSummary::targets_},
    Field{"slots", &GroupSummary::batchSlots_}, Field{"running", &GroupSummary::running_},
    Field{"queued", &GroupSummary::queued_},    Field{"spares", &GroupSummary::spares_},
};

template <>
constexpr auto fieldsOf<DataCentreSummary> = std::tuple{
    Field{"data_centre", &DataCentreSummary::dataCentre_},
    Field{"rules_revision", &DataCentreSummary::rulesRevision_},
    Field{"groups", &DataCentreSummary::groups_},
    Field{"strikes", &DataCentreSummary::strikes_},
    Field{"free_tokens", &DataCentreSummary::freeTokens_},
};

template <>
constexpr auto fieldsOf<ListedVm> = std::tuple{
    Field{"vm", &ListedVm::vm_},
    Field{"region", &ListedVm::region_},
    Field{"data_centre", &ListedVm::dataCentre_},
    Field{"role", &ListedVm::role_},
    Field{"address", &ListedVm::address_},
    Field{"group", &ListedVm::group_},
    Field{"leaving", &ListedVm::leaving_},
    Field{"drained", &ListedVm::drained_},
};

template <>
constexpr auto fieldsOf<VmNews> = std::tuple{
    Field{"vms", &VmNews::vms_},
    Field{"tells_drained", &VmNews::tellsDrained_},
    Field{"drained", &VmNews::drained_},
};

template <>
constexpr auto fieldsOf<Envelope> = std::tuple{
    Field{"v", &Envelope::version_},
    Field{"from", &Envelope::from_},
    Field{"incarnation", &Envelope::incarnation_},
    Field{"reply", &Envelope::replyAddress_},
};

template <class... Kinds>
constexpr bool areWhole(const std::variant<Kinds...> * /*message*/)
{
    return (isWhole<Kinds> && ...);
}

static_assert(areWhole(static_cast<const Message *>(nullptr)));
static_assert(isWhole<AdapterKey> && isWhole<ResidentAdapter> && isWhole<Strike>);
static_assert(isWhole<AccountFreeTokens> && isWhole<RulesEdit> && isWhole<ResidentChange>);
static_assert(isWhole<SpareTarget> && isWhole<GroupSummary> && isWhole<ListedVm>);

constexpr const auto &tableOf(RunState /*kind*/)
{
    return runStateNames;
}

constexpr const auto &tableOf(Reason /*kind*/)
{
    return reasonNames;
}

constexpr const auto &tableOf(Priority /*kind*/)
{
    return priorityNames;
}

constexpr const auto &tableOf(Role /*kind*/)
{
    return roleNames;
}

template <class Enum>
bool isKnown(Enum value)
{
    const auto &table = tableOf(value);
    return std::any_of(table.begin(), table.end(),
                       [value](const auto &row) { return row.value_ == value; });
}

template <class T>
constexpr bool isName = false;
template <class Tag>
constexpr bool isName<Name<Tag>> = true;
template <class T>
constexpr bool isNumber = false;
template <class Tag>
constexpr bool isNumber<Number<Tag>> = true;
template <class T>
constexpr bool isVector = false;
template <class T>
constexpr bool isVector<std::vector<T>> = true;

template <class T>
Json encode(const T &value);

template <class T>
Json encodeFields(const T &value)
{
    Json object = Json::object();
    std::apply(
        [&](const auto &...field) { ((object[field.name_] = encode(value.*field.member_)), ...); },
        fieldsOf<T>);
    return object;
}

template <class T>
Json encode(const T &value)
{
    if constexpr (isName<T>) {
        return value.text_;
    } else if constexpr (isNumber<T>) {
        return value.value_;
    } else if constexpr (isVector<T>) {
        Json array = Json::array();
        for (const auto &element : value)
            array.push_back(encode(element));
        return array;
    } else if constexpr (std::is_enum_v<T>) {
        return static_cast<std::uint32_t>(value);
    } else if constexpr (hasFields<T>) {
        return encodeFields(value);
    } else {
        return value;
    }
}

template <class T>
void decode(const Json &json, const char *name, T &value);

template <class T>
void decodeFields(const Json &object, T &value)
{
    const auto take = [&](const auto &field) {
        const auto found = object.find(field.name_);
        if (found != object.end())
            decode(*found, field.name_, value.*field.member_);
    };
    std::apply([&](const auto &...field) { (take(field), ...); }, fieldsOf<T>);
}

template <std::integral T>
T decodeInteger(const Json &json, const char *name)
{
    const std::optional<T> number = integerFromJson<T>(json);
    if (!number) {
        throw std::out_of_range(fmt::format("\"{}\" is not an integer from {} to {}", name,
                                            std::numeric_limits<T>::min(),
                                            std::numeric_limits<T>::max()));
    }
    return *number;
}

/// Throws std::out_of_range, which names the field, for a number that the member cannot hold, and
/// exceptions of the JSON library for other wrong types.
template <class T>
void decode(const Json &json, const char *name, T &value)
{
    if constexpr (isName<T>) {
        json.get_to(value.text_);
    } else if constexpr (isNumber<T>) {
        value.value_ = decodeInteger<decltype(value.value_)>(json, name);
    } else if constexpr (isVector<T>) {
        for (const Json &element : json)
            decode(element, name, value.emplace_back());
    } else if constexpr (std::is_enum_v<T>) {
        // A value that only a newer process knows leaves the default, which is the careful one.
        const auto received = static_cast<T>(decodeInteger<std::uint32_t>(json, name));
        if (isKnown(received))
            value = received;
    } else if constexpr (hasFields<T>) {
        decodeFields(json, value);
    } else if constexpr (std::integral<T> && !std::same_as<T, bool>) {
        value = decodeInteger<T>(json, name);
    } else {
        json.get_to(value);
    }
}

template <std::size_t Index = 0>
bool decodeMessage(std::string_view name, const Json &body, Message &message)
{
    if constexpr (Index == std::variant_size_v<Message>) {
        return false;
    } else {
        if (name != messageNames[Index])
            return decodeMessage<Index + 1>(name, body, message);
        decode(body, messageNames[Index], message.template emplace<Index>());
        return true;
    }
}

} // namespace

std::string encodeEnvelope(const Envelope &envelope)
{
    Json json = encodeFields(envelope);
    json["kind"] = messageNames[envelope.message_.index()];
    json["body"] =
        std::visit([](const auto &message) { return encode(message); }, envelope.message_);
    std::string bytes;
    Json::to_msgpack(json, bytes);
    return bytes;
}

// Wrong types are reported by exceptions while decoding; they end here.
Result<Envelope, CodecError> decodeEnvelope(std::string_view bytes)
{
    try {
        const Json json = Json::from_msgpack(bytes, true, true);
        Envelope envelope;
        decodeFields(json, envelope);
        const std::string kind = json.at("kind").get<std::string>();
        if (!decodeMessage(kind, json.at("body"), envelope.message_))
            return CodecError{"unknown kind of message '" + kind + "'"};
        return envelope;
    } catch (const Json::exception &error) {
        return CodecError{error.what()};
    } catch (const std::out_of_range &error) {
        return CodecError{error.what()};
    }
}

} // namespace eelgrasscove
