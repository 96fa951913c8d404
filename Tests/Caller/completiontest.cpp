#define BOOST_TEST_MODULE Caller
#include "Caller/completion.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrasscove;

namespace {

constexpr std::int64_t defaultMaxTokens = 64;

Completion parsed(std::string_view body, bool chat = false)
{
    Result<Completion, ApiError> completion = parseCompletion(body, chat, defaultMaxTokens);
    BOOST_REQUIRE(ok(completion));
    return valueOf(std::move(completion));
}

void refused(std::string_view body, std::string_view words, bool chat = false)
{
    const Result<Completion, ApiError> completion = parseCompletion(body, chat, defaultMaxTokens);
    BOOST_REQUIRE(!ok(completion));
    BOOST_TEST(errorOf(completion).message_.find(words) != std::string::npos,
               errorOf(completion).message_);
    BOOST_TEST((errorOf(completion).run_ == RunState::NotRun));
}

} // namespace

BOOST_AUTO_TEST_CASE(completionIsReadAndItsModelReplaced)
{
    const Completion completion =
        parsed(R"({"model":"advice","prompt":"nine byte","max_tokens":7,"stream":true})");
    BOOST_TEST(completion.route_.text_ == "advice");
    BOOST_TEST(completion.stream_);
    BOOST_TEST(completion.promptTokens_ == 3);
    BOOST_TEST(completion.maxTokens_ == 7);
    BOOST_TEST(engineBody(completion, "oak@2")
               == R"({"model":"oak@2","max_tokens":7,"prompt":"nine byte","stream":true})");
}

BOOST_AUTO_TEST_CASE(chatCountsEveryMessage)
{
    const Completion completion = parsed(
        R"({"model":"m","messages":[{"role":"system","content":"abcd"},
               {"role":"user","content":[{"type":"text","text":"efghi"}]}]})",
        true);
    BOOST_TEST(completion.promptTokens_ == 3);
    BOOST_TEST(completion.maxTokens_ == defaultMaxTokens);
}

BOOST_AUTO_TEST_CASE(badBodiesAreRefusedWithTheirFault)
{
    refused("{", "not JSON");
    refused("[]", "not a JSON object");
    refused(R"({"prompt":"x"})", "\"model\" is missing");
    refused(R"({"model":"m"})", "\"prompt\"");
    refused(R"({"model":"m","prompt":"x","n":2})", "\"n\"");
    refused(R"({"model":"m","prompt":"x","max_tokens":0})", "max_tokens");
    refused(R"({"model":"m","prompt":"x","stream":"yes"})", "stream");
    refused(R"({"model":"m","messages":[{"role":"user"}]})", "messages", true);
}
