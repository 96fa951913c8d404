#include "StandIns/relay.h"

#include "StandIns/service.h"
#include "StandIns/weightstore.h"
#include "standinserver.h"

#include <boost/test/unit_test.hpp>
#include <future>
#include <nlohmann/json.hpp>

using namespace standins;
using Json = nlohmann::json;

namespace {

constexpr Micros generous = std::chrono::seconds(30);

/// A plain service with a relay in front, all on one loop.
struct RelayedService
{
    StandInServer server_;
    PlainService service_;
    Relay relay_;
    HttpServer control_;

    RelayedService()
        : server_([this](const HttpRequest &request, const ExchangePtr &exchange) {
              service_.handle(request, exchange);
          }),
          service_(server_.loop_, {.name_ = "ledger"}), relay_(server_.loop_, {}, server_.to_),
          control_(server_.loop_, [this](const HttpRequest &request, const ExchangePtr &exchange) {
              relay_.handle(request, exchange);
          })
    {
        control_.listen(0);
        relay_.start();
        server_.run();
    }
    ~RelayedService() { server_.stop(); }

    HttpResult book(const std::string &body)
    {
        const HttpRequest request = {.method_ = "POST", .target_ = "/ledger/lots", .body_ = body};
        return callAndWait({.port_ = relay_.port()}, request, generous);
    }
    void control(const Json &call)
    {
        const HttpRequest request = {
            .method_ = "POST", .target_ = "/control", .body_ = call.dump()};
        callAndWait({.port_ = control_.port()}, request, generous);
    }
    Json counters()
    {
        const HttpRequest request = {.method_ = "GET", .target_ = "/counters"};
        const HttpResult result = callAndWait({.port_ = control_.port()}, request, generous);
        return Json::parse(result.response_.body_);
    }
    std::string log() { return server_.call("GET", "/log").response_.body_; }
};

} // namespace

BOOST_AUTO_TEST_CASE(aCutRefusesAndAHealedLinkServes)
{
    RelayedService service;
    BOOST_TEST((service.book("1").end_ == CallEnd::Whole));
    service.control({{"cut", true}});
    BOOST_TEST((service.book("2").end_ == CallEnd::Refused));
    service.control({{"cut", false}});
    BOOST_TEST((service.book("3").end_ == CallEnd::Whole));
    BOOST_TEST(service.log().find(R"("body_head":"2")") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(aReplyDroppedByTheLinkLeavesItsBooking)
{
    RelayedService service;
    service.control({{"drop_to_client", true}});
    auto booking = std::async(std::launch::async, [&] { return service.book("1"); });
    while (service.counters()["bytes_dropped"] == 0)
        std::this_thread::yield();
    BOOST_TEST(service.log().find(R"("booking":1)") != std::string::npos);
    service.control({{"drop_to_client", false}});
    BOOST_TEST((booking.get().end_ == CallEnd::NoAnswer));
    const Json answer = Json::parse(service.book("2").response_.body_);
    BOOST_TEST(answer["booking"] == 2);
}

BOOST_AUTO_TEST_CASE(aBlackHoleHoldsWhatItIsGivenUntilItHeals)
{
    RelayedService service;
    service.control({{"blackhole", true}});
    auto booking = std::async(std::launch::async, [&] { return service.book("1"); });
    while (service.counters()["connections"] == 0)
        std::this_thread::yield();
    BOOST_TEST(service.log().empty());
    service.control({{"blackhole", false}});
    BOOST_TEST((booking.get().end_ == CallEnd::Whole));
}

BOOST_AUTO_TEST_CASE(aServiceFailsAndClosesOnCommand)
{
    RelayedService service;
    service.server_.call("POST", "/control", R"({"fail_next":1,"close_before_reply_next":1})");
    BOOST_TEST(service.book("1").response_.status_ == 500);
    BOOST_TEST((service.book("2").end_ == CallEnd::NoAnswer));
    const HttpResult third =
        service.server_.call("POST", "/ledger/lots", "3", {{"X-Client-Account", "fig"}});
    const Json answer = Json::parse(third.response_.body_);
    BOOST_TEST(answer["booking"] == 2);
    BOOST_TEST(answer["served_for"] == "fig");
}

BOOST_AUTO_TEST_CASE(theWeightStoreCountsItsLoads)
{
    WeightStore *store = nullptr;
    StandInServer served([&](const HttpRequest &request, const ExchangePtr &exchange) {
        store->handle(request, exchange);
    });
    WeightStore weights(served.loop_, {.loadsPerSecond_ = 0, .fetchMillis_ = 1});
    store = &weights;
    served.run();
    BOOST_TEST(served.call("GET", "/weights/a/1?load_ms=1").response_.status_ == 200);
    BOOST_TEST(Json::parse(served.call("GET", "/counters").response_.body_)["loads"] == 1);
    served.stop();
}
