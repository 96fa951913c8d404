#include "Target/responsetokencounter.h"
#include "Target/enginecodec.h"
#include "Target/startnumber.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <string>

using namespace eelgrasscove;

BOOST_AUTO_TEST_CASE(stream_counts_one_token_per_event_until_usage_is_reported)
{
    ResponseTokenCounter meter;
    meter.format_ = responseFormat("text/event-stream; charset=utf-8");
    const std::string_view stream = "data: {\"choices\":[{\"text\":\" a\"}]}\n\n"
                                    "data: {\"choices\":[{\"delta\":{\"content\":\"b\"}}]}\r\n\r\n";
    for (const char byte : stream)
        countTokens(meter, std::string_view(&byte, 1));
    BOOST_TEST(generatedTokens(meter) == 2);
    countTokens(meter, "data: {\"choices\":[],\"usage\":{\"completion_tokens\":7}}\n\n");
    countTokens(meter, "data: [DONE]\n\n");
    finishTokenCount(meter);
    BOOST_TEST(generatedTokens(meter) == 7);
}

BOOST_AUTO_TEST_CASE(json_answer_counts_the_reported_usage)
{
    ResponseTokenCounter meter;
    meter.format_ = responseFormat("application/json");
    countTokens(meter, "{\"usage\":{\"completion");
    countTokens(meter, "_tokens\":5}}");
    BOOST_TEST(generatedTokens(meter) == 0);
    finishTokenCount(meter);
    BOOST_TEST(generatedTokens(meter) == 5);
}

BOOST_AUTO_TEST_CASE(malformed_stream_events_count_no_tokens)
{
    ResponseTokenCounter meter;
    meter.format_ = ResponseFormat::EventStream;
    countTokens(meter,
                "data: [1]\ndata: {\"choices\":3}\ndata: {\"usage\":{\"completion_tokens\":-4}}\n");
    finishTokenCount(meter);
    BOOST_TEST(generatedTokens(meter) == 0);
}

BOOST_AUTO_TEST_CASE(run_body_overrides_the_model_with_the_adapter)
{
    StartRun run;
    run.adapter_ = {.adapter_ = {"oak"}, .version_ = {"3"}};
    run.body_ = R"({"model":"base","prompt":"x"})";
    BOOST_TEST(runBody(run)->find(R"("model":"oak@3")") != std::string::npos);
    run.body_ = "[]";
    BOOST_TEST(!runBody(run).has_value());
}

BOOST_AUTO_TEST_CASE(engine_state_is_parsed_completely_or_rejected)
{
    const auto state = parseEngineState(
        R"({"incarnation":4,"fencing_number":9,"adapters":["a@1"],"running":[{"attempt":"x","model":"a@1"}]})");
    BOOST_TEST(state.has_value());
    BOOST_TEST(state->incarnation_.value_ == 4U);
    BOOST_TEST(state->running_.at(0).adapter_.version_.text_ == "1");
    BOOST_TEST(!parseEngineState(R"({"incarnation":"x"})").has_value());
    BOOST_TEST(!parseEngineState("").has_value());
}

// Guards against numbers of an engine that are converted without a check of their range.
BOOST_AUTO_TEST_CASE(engine_state_with_a_number_out_of_range_is_rejected)
{
    const auto stateWith = [](const std::string &field, const std::string &number) {
        nlohmann::json state = nlohmann::json::parse(
            R"({"incarnation":4,"fencing_number":9,"adapter_slots":8,"batch_slots":4,"adapters":[],"running":[]})");
        state[field] = nlohmann::json::parse(number);
        return parseEngineState(state.dump());
    };
    for (const char *field : {"incarnation", "fencing_number", "adapter_slots", "batch_slots"}) {
        for (const char *number : {"1e38", "-1", "0.5", "null"})
            BOOST_TEST(!stateWith(field, number).has_value(), field << " = " << number);
        BOOST_TEST(stateWith(field, "7.0").has_value());
    }
    BOOST_TEST(!stateWith("batch_slots", "4294967296").has_value());
    BOOST_TEST(stateWith("batch_slots", "4294967295")->batchSlots_ == 4294967295U);
}

BOOST_AUTO_TEST_CASE(start_number_exceeds_all_known_numbers)
{
    BOOST_TEST(chooseStartNumber({.wallClockMs_ = 10}) == 10U);
    BOOST_TEST(chooseStartNumber({.wallClockMs_ = 10, .engineFencingNumber_ = 10}) == 11U);
    BOOST_TEST(
        chooseStartNumber({.wallClockMs_ = 10, .engineFencingNumber_ = 3, .storedNumber_ = 20})
        == 21U);
    BOOST_TEST(!parseStartNumber("12x").has_value());
}
