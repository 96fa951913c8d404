#define BOOST_TEST_MODULE Link
#include "Link/messagecodec.h"

#include <boost/test/unit_test.hpp>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <variant>
#include <vector>

using namespace eelgrasscove;

namespace {

Envelope envelopeOf(Message message)
{
    return {messageVersion, VmName{"entry-1"}, Incarnation{7}, "tcp://127.0.0.1:1",
            std::move(message)};
}

nlohmann::json asJson(const Message &message)
{
    return nlohmann::json::from_msgpack(encodeEnvelope(envelopeOf(message)));
}

Result<Envelope, CodecError> decodeJson(const nlohmann::json &json)
{
    std::string bytes;
    nlohmann::json::to_msgpack(json, bytes);
    return decodeEnvelope(bytes);
}

/// Every kind of message with its defaults, and the kinds with lists once more with one element
/// each.
std::vector<Message> messagesOfEveryKind()
{
    const std::vector<Strike> strikes = {{Fingerprint{"f"}, 1}};
    const std::vector<AccountFreeTokens> freeTokens = {{AccountName{"a"}, 1}};
    Heartbeat heartbeat;
    heartbeat.residents_.emplace_back();
    heartbeat.strikes_ = strikes;
    heartbeat.freeTokens_ = freeTokens;
    RulesDelta delta;
    delta.edits_.emplace_back();
    LoadReport report;
    report.changes_.emplace_back();
    GroupSummary group;
    group.spares_.emplace_back();
    DataCentreSummary summary;
    summary.groups_ = {group};
    summary.strikes_ = strikes;
    summary.freeTokens_ = freeTokens;
    VmNews news;
    news.vms_.emplace_back();
    std::vector<Message> messages = {heartbeat, delta, report, summary, news};
    const auto addDefaults = [&]<std::size_t... Index>(std::index_sequence<Index...>)
    {
        (messages.emplace_back(std::in_place_index<Index>), ...);
    };
    addDefaults(std::make_index_sequence<std::variant_size_v<Message>>());
    return messages;
}

std::vector<nlohmann::json::json_pointer> numbersIn(const nlohmann::json &json)
{
    std::vector<nlohmann::json::json_pointer> numbers;
    const nlohmann::json flat = json.flatten();
    for (const auto &[path, value] : flat.items()) {
        if (value.is_number())
            numbers.emplace_back(path);
    }
    return numbers;
}

template <class T>
T throughCodec(const T &message)
{
    const auto decoded = decodeEnvelope(encodeEnvelope(envelopeOf(message)));
    BOOST_REQUIRE(ok(decoded));
    BOOST_TEST(valueOf(decoded).from_.text_ == "entry-1");
    BOOST_TEST(valueOf(decoded).incarnation_.value_ == 7U);
    return std::get<T>(valueOf(decoded).message_);
}

} // namespace

BOOST_AUTO_TEST_CASE(offerKeepsItsFields)
{
    Offer offer;
    offer.attempt_ = {"entry-1.7.1"};
    offer.adapter_ = {AdapterName{"oak-legs"}, AdapterVersion{"3"}};
    offer.idempotent_ = false;
    offer.priority_ = Priority::Batch;
    offer.reservedTokens_ = 120;
    offer.body_ = std::string("\0\xff\n", 3);
    const Offer decoded = throughCodec(offer);
    BOOST_TEST(decoded.attempt_.text_ == offer.attempt_.text_);
    BOOST_TEST(engineModelName(decoded.adapter_) == "oak-legs@3");
    BOOST_TEST(!decoded.idempotent_);
    BOOST_TEST((decoded.priority_ == Priority::Batch));
    BOOST_TEST(decoded.reservedTokens_ == 120);
    BOOST_TEST(decoded.body_ == offer.body_);
}

BOOST_AUTO_TEST_CASE(heartbeatKeepsItsLists)
{
    Heartbeat heartbeat;
    heartbeat.role_ = Role::Target;
    heartbeat.residents_ = {{{AdapterName{"a"}, AdapterVersion{"1"}}, 2}};
    heartbeat.strikes_ = {{Fingerprint{"f"}, 1}};
    const Heartbeat decoded = throughCodec(heartbeat);
    BOOST_REQUIRE(decoded.residents_.size() == 1U);
    BOOST_TEST(decoded.residents_[0].running_ == 2U);
    BOOST_REQUIRE(decoded.strikes_.size() == 1U);
    BOOST_TEST(decoded.strikes_[0].fingerprint_.text_ == "f");
}

BOOST_AUTO_TEST_CASE(everyKindSurvives)
{
    throughCodec(OfferAccepted{AttemptId{"x"}});
    throughCodec(OfferRefused{});
    throughCodec(AnswerHead{});
    throughCodec(AnswerChunk{});
    throughCodec(AnswerEnd{});
    throughCodec(AttemptFailed{});
    throughCodec(AttemptQuery{});
    throughCodec(AttemptCancel{});
    throughCodec(AnswerReceived{});
    throughCodec(RulesRequest{});
    throughCodec(RulesText{});
    throughCodec(LoanRequest{});
    throughCodec(LoanGrant{});
    throughCodec(LoanReport{});
    throughCodec(LoanClosed{});
}

BOOST_AUTO_TEST_CASE(aQueryThatGivesNothingUpStaysOne)
{
    AttemptQuery query;
    query.giveUp_ = false;
    BOOST_TEST(!throughCodec(query).giveUp_);
}

BOOST_AUTO_TEST_CASE(whatOnlyANewerVersionKnowsDoesNoHarm)
{
    AttemptFailed failed{AttemptId{"e1.1.1"}, RunState::NotRun, Reason::Cancelled, 5};
    nlohmann::json newer = nlohmann::json::from_msgpack(encodeEnvelope(envelopeOf(failed)));
    newer["v"] = messageVersion + 1;
    newer["colour"] = "green";
    newer["body"]["shape"] = {1, 2, 3};
    newer["body"]["run_state"] = runStateNames.size();
    newer["body"]["reason"] = reasonNames.size();
    std::string bytes;
    nlohmann::json::to_msgpack(newer, bytes);

    const auto decoded = decodeEnvelope(bytes);
    BOOST_REQUIRE(ok(decoded));
    const auto &read = std::get<AttemptFailed>(valueOf(decoded).message_);
    BOOST_TEST(read.attempt_.text_ == "e1.1.1");
    BOOST_TEST(read.tokensRun_ == 5);
    // Not knowing what became of a run is the careful reading.
    BOOST_TEST((read.runState_ == RunState::OutcomeUnknown));
    BOOST_TEST((read.reason_ == Reason::None));

    newer["kind"] = "sing";
    bytes.clear();
    nlohmann::json::to_msgpack(newer, bytes);
    const auto unknownKind = decodeEnvelope(bytes);
    BOOST_REQUIRE(!ok(unknownKind));
    BOOST_TEST(errorOf(unknownKind).message_ == "unknown kind of message 'sing'");
}

BOOST_AUTO_TEST_CASE(whatAnOlderVersionLacksKeepsItsDefault)
{
    nlohmann::json older = nlohmann::json::from_msgpack(encodeEnvelope(envelopeOf(AttemptQuery{})));
    older["body"].erase("give_up");
    std::string bytes;
    nlohmann::json::to_msgpack(older, bytes);
    const auto decoded = decodeEnvelope(bytes);
    BOOST_REQUIRE(ok(decoded));
    BOOST_TEST(std::get<AttemptQuery>(valueOf(decoded).message_).giveUp_);
}

BOOST_AUTO_TEST_CASE(bytesThatAreNoEnvelopeAreRefused)
{
    BOOST_TEST(!ok(decodeEnvelope("")));
    BOOST_TEST(!ok(decodeEnvelope("\x81\xa1v\x01")));
    std::string cut = encodeEnvelope(envelopeOf(Offer{}));
    cut.resize(cut.size() / 2);
    BOOST_TEST(!ok(decodeEnvelope(cut)));
}

// Guards against numbers that are converted without a check of their range, which is undefined for
// floating-point numbers and wraps around for integers.
BOOST_AUTO_TEST_CASE(numberThatItsFieldCannotHoldIsRefused)
{
    const std::vector<nlohmann::json> numbers = {
        1e38,
        -1e38,
        1.8446744073709552e19,
        0.5,
        std::numeric_limits<double>::infinity(),
        std::numeric_limits<double>::quiet_NaN(),
    };
    std::size_t refused = 0;
    for (const Message &message : messagesOfEveryKind()) {
        const nlohmann::json sound = asJson(message);
        BOOST_TEST(ok(decodeJson(sound)));
        for (const auto &path : numbersIn(sound)) {
            for (const nlohmann::json &number : numbers) {
                nlohmann::json changed = sound;
                changed[path] = number;
                const auto decoded = decodeJson(changed);
                BOOST_TEST_CONTEXT(path.to_string() << " = " << number.dump())
                {
                    BOOST_REQUIRE(!ok(decoded));
                    BOOST_TEST(errorOf(decoded).message_.starts_with('"' + path.back() + '"'));
                }
                ++refused;
            }
        }
    }
    BOOST_TEST(refused > numbers.size() * std::variant_size_v<Message>);
}

// Guards against a number of a wider or signed type that wraps around to a sound one.
BOOST_AUTO_TEST_CASE(integersAreReadUpToTheBoundsOfTheirFields)
{
    constexpr auto largest32 = std::numeric_limits<std::uint32_t>::max();
    constexpr auto largest64 = std::numeric_limits<std::uint64_t>::max();
    constexpr auto largestSigned = std::numeric_limits<std::int64_t>::max();
    constexpr auto smallestSigned = std::numeric_limits<std::int64_t>::min();
    struct Row
    {
        Message message_;
        const char *field_;
        std::vector<nlohmann::json> read_;
        std::vector<nlohmann::json> refused_;
    };
    const std::vector<Row> rows = {
        {AnswerHead{}, "status", {0, largest32, 200.0}, {-1, std::uint64_t(largest32) + 1, -1.0}},
        {AnswerChunk{}, "offset", {0, largest64}, {-1}},
        {AnswerChunk{},
         "tokens_run",
         {0, smallestSigned, largestSigned, -5.0},
         {std::uint64_t(largestSigned) + 1, largest64}},
        {RulesText{}, "revision", {0, largest64}, {-1, smallestSigned}},
        {AttemptFailed{}, "reason", {0, largest32}, {-1, std::uint64_t(largest32) + 1, true, "0"}},
    };
    for (const Row &row : rows) {
        nlohmann::json json = asJson(row.message_);
        for (const nlohmann::json &number : row.read_) {
            json["body"][row.field_] = number;
            BOOST_TEST(ok(decodeJson(json)), row.field_ << " = " << number);
        }
        for (const nlohmann::json &number : row.refused_) {
            json["body"][row.field_] = number;
            BOOST_TEST(!ok(decodeJson(json)), row.field_ << " = " << number);
        }
    }
}

// Guards against the input that the message fuzzer found.
BOOST_AUTO_TEST_CASE(revisionThatNoIntegerHoldsIsRefused)
{
    nlohmann::json json = asJson(RulesDelta{});
    json["body"]["to"] = nlohmann::json::parse("99999999999999999999999999999999999992");
    const auto decoded = decodeJson(json);
    BOOST_REQUIRE(!ok(decoded));
    BOOST_TEST(errorOf(decoded).message_
               == "\"to\" is not an integer from 0 to 18446744073709551615");
}
