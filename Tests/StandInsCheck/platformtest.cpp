#include "StandIns/platform.h"

#include "StandIns/base64.h"
#include "standinserver.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <future>
#include <nlohmann/json.hpp>

using namespace standins;
using Json = nlohmann::json;

namespace {

struct PlatformServer
{
    StandInServer server_;
    Platform platform_;

    PlatformServer()
        : server_([this](const HttpRequest &request, const ExchangePtr &exchange) {
              platform_.handle(request, exchange);
          }),
          platform_(server_.loop_, 0)
    {
        server_.run();
    }
    ~PlatformServer() { server_.stop(); }

    HttpResult post(const std::string &path, const Json &body)
    {
        return server_.call("POST", path, body.dump());
    }
    Json counters() { return Json::parse(server_.call("GET", "/counters").response_.body_); }
};

Json putCall(const std::string &key, const std::string &value)
{
    return {{"key", encodeBase64(key)}, {"value", encodeBase64(value)}};
}

const Json rangeCall = {{"key", encodeBase64("a")}};

} // namespace

BOOST_AUTO_TEST_CASE(whatWasPutCanBeRead)
{
    PlatformServer platform;
    BOOST_TEST(platform.post("/v3/kv/put", putCall("a", "1")).response_.status_ == 200);
    const Json read = Json::parse(platform.post("/v3/kv/range", rangeCall).response_.body_);
    BOOST_TEST(read["kvs"][0]["value"] == encodeBase64("1"));
    BOOST_TEST(read["kvs"][0]["mod_revision"].is_string());
    BOOST_TEST(platform.post("/v3/kv/range", "text").response_.status_ == 400);
}

BOOST_AUTO_TEST_CASE(aDroppedReplyLeavesItsWriteInEffect)
{
    PlatformServer platform;
    platform.post("/control", {{"drop_next_replies", 1}});
    BOOST_TEST((platform.post("/v3/kv/put", putCall("a", "1")).end_ == CallEnd::NoAnswer));
    const Json read = Json::parse(platform.post("/v3/kv/range", rangeCall).response_.body_);
    BOOST_TEST(read["count"] == "1");
    BOOST_TEST((platform.post("/v3/kv/put", putCall("a", "2")).end_ == CallEnd::Whole));
}

BOOST_AUTO_TEST_CASE(whileDownNothingTakesEffectAndControlAnswers)
{
    PlatformServer platform;
    platform.post("/control", {{"mode", "down"}});
    BOOST_TEST((platform.post("/v3/kv/put", putCall("a", "1")).end_ == CallEnd::NoAnswer));
    BOOST_TEST((platform.server_.call("GET", "/vms").end_ == CallEnd::NoAnswer));
    BOOST_TEST(platform.counters()["refused"] == 2);
    BOOST_TEST(platform.post("/control", {{"mode", "up"}}).response_.status_ == 200);
    const Json read = Json::parse(platform.post("/v3/kv/range", rangeCall).response_.body_);
    BOOST_TEST(read["count"] == "0");
    BOOST_TEST(platform.post("/control", {{"mode", "sideways"}}).response_.status_ == 400);
}

BOOST_AUTO_TEST_CASE(aWatchBeginsAtItsStartRevisionAndEndsWhenThePlatformGoesDown)
{
    PlatformServer platform;
    platform.post("/v3/kv/put", putCall("a", "before"));
    const std::int64_t revision = platform.counters()["revision"];
    platform.post("/v3/kv/put", putCall("a", "after"));
    const Json create = {{"key", encodeBase64("a")},
                         {"start_revision", std::to_string(revision + 1)}};
    auto watch = std::async(std::launch::async, [&] {
        return platform.post("/v3/watch", {{"create_request", create}});
    });
    while (platform.counters()["watches_waiting"] != 1)
        std::this_thread::yield();
    platform.post("/v3/kv/put", putCall("a", "later"));
    platform.post("/v3/kv/put", putCall("b", "other"));
    platform.post("/control", {{"mode", "down"}});
    const HttpResult seen = watch.get();
    BOOST_TEST((seen.end_ == CallEnd::Truncated));
    const std::string &text = seen.response_.body_;
    BOOST_TEST(text.find(encodeBase64("before")) == std::string::npos);
    BOOST_TEST(text.find(encodeBase64("after")) != std::string::npos);
    BOOST_TEST(text.find(encodeBase64("later")) != std::string::npos);
    BOOST_TEST(text.find(encodeBase64("other")) == std::string::npos);
    BOOST_TEST(platform.counters()["watches_waiting"] == 0);
}

BOOST_AUTO_TEST_CASE(theListOfVmsLags)
{
    PlatformServer platform;
    const Json vm = {{"name", "e1"},
                     {"region", "r"},
                     {"data_centre", "d"},
                     {"role", "entry"},
                     {"address", "tcp://127.0.0.1:1"},
                     {"state", "live"}};
    const auto listed = [&] {
        return Json::parse(platform.server_.call("GET", "/vms").response_.body_)["vms"].size();
    };
    platform.post("/control", {{"vms", Json::array()}});
    platform.post("/control", {{"vms", {vm}}, {"list_lag_ms", 3600000}});
    BOOST_TEST(listed() == 0);
    platform.post("/control", {{"list_lag_ms", 0}});
    BOOST_TEST(listed() == 1);
    BOOST_TEST(platform.post("/control", {{"vms", {{{"name", "e1"}}}}}).response_.status_ == 400);
}
