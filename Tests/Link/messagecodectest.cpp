#define BOOST_TEST_MODULE Link
#include "Link/messagecodec.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace eelgrasscove;

namespace {

Envelope envelopeOf(Message message)
{
    return {messageVersion, VmName{"entry-1"}, Incarnation{7}, "tcp://127.0.0.1:1",
            std::move(message)};
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
