#include "StandIns/engine.h"

#include "StandIns/completion.h"
#include "standinserver.h"

#include <boost/test/unit_test.hpp>
#include <future>
#include <nlohmann/json.hpp>

using namespace standins;
using Json = nlohmann::json;

namespace {

EngineOptions quickOptions()
{
    EngineOptions options;
    options.adapterSlots_ = 2;
    options.stepTime_ = Micros(500);
    options.loadMillis_ = 1;
    options.restartTime_ = Micros(1);
    options.checkFencing_ = true;
    options.crashMarker_ = "CRASH";
    return options;
}

struct EngineServer
{
    StandInServer server_;
    Engine engine_;

    explicit EngineServer(const EngineOptions &options = quickOptions())
        : server_([this](const HttpRequest &request, const ExchangePtr &exchange) {
              engine_.handle(request, exchange);
          }),
          engine_(server_.loop_, options)
    {
        engine_.onCrash(
            [this](const ExchangePtr &keep) { server_.server_.closeConnections(keep); });
        server_.run();
    }
    ~EngineServer() { server_.stop(); }

    HttpResult post(const std::string &path, const Json &body)
    {
        return server_.call("POST", path, body.dump(), {{"X-Attempt-Id", "t1"}});
    }
    unsigned load(const std::string &adapter, int fencingNumber = 1)
    {
        return post("/v1/load_lora_adapter",
                    {{"lora_name", adapter}, {"fencing_number", fencingNumber}})
            .response_.status_;
    }
    unsigned unload(const std::string &adapter)
    {
        return post("/v1/unload_lora_adapter", {{"lora_name", adapter}, {"fencing_number", 9}})
            .response_.status_;
    }
    Json state() { return Json::parse(server_.call("GET", "/state").response_.body_); }
    std::string log() { return server_.call("GET", "/log").response_.body_; }
};

Json completion(const std::string &model, const std::string &prompt, int maxTokens,
                bool stream = false)
{
    return {{"model", model}, {"prompt", prompt}, {"max_tokens", maxTokens}, {"stream", stream}};
}

} // namespace

BOOST_AUTO_TEST_CASE(anAnswerIsAFunctionOfModelAndPrompt)
{
    EngineServer engine;
    BOOST_TEST(engine.load("a@1") == 200);
    BOOST_TEST(engine.load("a@2") == 200);
    const auto text = [&](const std::string &model, const std::string &prompt) {
        const HttpResult result = engine.post("/v1/completions", completion(model, prompt, 4));
        return Json::parse(result.response_.body_)["choices"][0]["text"].get<std::string>();
    };
    BOOST_TEST(text("a@1", "hi") == completionText("a@1", "hi", 4));
    BOOST_TEST(text("a@1", "hi") == text("a@1", "hi"));
    BOOST_TEST(text("a@1", "hi") != text("a@2", "hi"));
    BOOST_TEST(text("a@1", "hi") != text("a@1", "ho"));
}

BOOST_AUTO_TEST_CASE(aStreamCarriesEachTokenOnceAndItsUsageLast)
{
    EngineServer engine;
    engine.load("a@1");
    const HttpResult result = engine.post("/v1/completions", completion("a@1", "hello", 3, true));
    BOOST_TEST((result.end_ == CallEnd::Whole));
    std::string text;
    Json last;
    std::istringstream lines(result.response_.body_);
    for (std::string line; std::getline(lines, line);) {
        if (line.rfind("data: {", 0) != 0)
            continue;
        last = Json::parse(line.substr(6));
        text += last["choices"][0]["text"].get<std::string>();
    }
    BOOST_TEST(text == completionText("a@1", "hello", 3));
    BOOST_TEST(last["usage"]["prompt_tokens"] == 2);
    BOOST_TEST(last["usage"]["completion_tokens"] == 3);
    BOOST_TEST(result.response_.body_.find("data: [DONE]") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(adaptersNeedASlotAndAFreshFencingNumber)
{
    EngineServer engine;
    BOOST_TEST(engine.post("/v1/completions", completion("a@1", "x", 1)).response_.status_ == 404);
    BOOST_TEST(engine.load("a@1", 5) == 200);
    BOOST_TEST(engine.load("b@1", 4) == 409);
    BOOST_TEST(engine.load("b@1", 5) == 200);
    BOOST_TEST(engine.load("c@1", 5) == 507);
    BOOST_TEST(engine.unload("a@1") == 200);
    BOOST_TEST(engine.load("c@1", 9) == 200);
    BOOST_TEST(engine.state()["adapters"] == Json({"b@1", "c@1"}));
    BOOST_TEST(engine.state()["fencing_number"] == 9);
    engine.unload("b@1");
    engine.post("/control", {{"fail_loads", 1}});
    BOOST_TEST(engine.load("b@1", 9) == 500);
    BOOST_TEST(engine.load("b@1", 9) == 200);
}

BOOST_AUTO_TEST_CASE(anUnloadInUseIsRecordedAndACancelledRunStops)
{
    EngineServer engine;
    engine.load("a@1");
    auto run = std::async(std::launch::async, [&] {
        return engine.post("/v1/completions", completion("a@1", "long", 1000000));
    });
    while (engine.state()["running"].empty())
        std::this_thread::yield();
    BOOST_TEST(engine.unload("a@1") == 200);
    BOOST_TEST(engine.log().find(R"("in_use":true)") != std::string::npos);
    engine.post("/cancel", {{"attempt", "t1"}});
    BOOST_TEST((run.get().end_ == CallEnd::NoAnswer));
    BOOST_TEST(engine.state()["running"].empty());
    BOOST_TEST(engine.log().find(R"("outcome":"cancelled")") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(aMarkedRequestCrashesTheEngineWhichComesBackEmpty)
{
    EngineServer engine;
    engine.load("a@1");
    const std::uint64_t before = engine.state()["incarnation"];
    BOOST_TEST((engine.post("/v1/completions", completion("a@1", "a CRASH b", 5)).end_
                == CallEnd::NoAnswer));
    HttpResult state;
    while (state.end_ != CallEnd::Whole)
        state = engine.server_.call("GET", "/state");
    const Json after = Json::parse(state.response_.body_);
    BOOST_TEST(after["incarnation"] == before + 1);
    BOOST_TEST(after["adapters"].empty());
    BOOST_TEST(after["running"].empty());
    BOOST_TEST(engine.log().find(R"("outcome":"crashed")") != std::string::npos);
}
