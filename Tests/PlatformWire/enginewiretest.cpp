#include "platform/enginewire.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrasscove;

BOOST_AUTO_TEST_SUITE(enginewire)

BOOST_AUTO_TEST_CASE(report_is_decoded)
{
    const auto report = wire::decodeReport(
        R"({"stage":"unified","born":17,"models":[{"name":"base","version":1,
        "adapters":["a1@1","a2@4"]}],"incoming":["base/a3@1"],"busy":true,"sequence":2,
        "queue_depth":1,"in_flight":12,"kv_used":41000,"kv_total":90000,"state":"draining"})");
    BOOST_REQUIRE(report.has_value());
    BOOST_TEST(report->orders_ == 2);
    BOOST_TEST(report->startedAt_ == 17);
    BOOST_TEST(report->isDraining_);
    BOOST_TEST(report->isBusy_);
    BOOST_TEST(report->running_ == 12);
    BOOST_TEST(report->waiting_ == 1);
    BOOST_REQUIRE(report->adapters_.size() == 2);
    BOOST_TEST(report->adapters_[1].adapter_ == "base/a2");
    BOOST_TEST(report->adapters_[1].version_ == 4);
    BOOST_TEST(report->incoming_.at(0).adapter_ == "base/a3");
}

BOOST_AUTO_TEST_CASE(order_is_encoded_with_precondition_and_fencing_number)
{
    wire::EngineOrder order;
    order.model_ = "base";
    order.adapter_ = "a3";
    order.version_ = 2;
    order.expectedOrders_ = 5;
    order.holder_ = "side-1";
    order.fencingNumber_ = 41;
    BOOST_TEST(wire::encodeOrder(order)
               == R"({"operation":"load","model":"base","adapter":"a3","version":2,)"
                  R"("precondition":5,"holder":"side-1","fencing_token":41})");
}

BOOST_AUTO_TEST_CASE(report_that_is_not_a_json_object_is_rejected)
{
    BOOST_TEST(!wire::decodeReport("down").has_value());
    BOOST_TEST(!wire::decodeReport("[]").has_value());
}

BOOST_AUTO_TEST_CASE(deeply_nested_report_does_not_exhaust_the_stack)
{
    BOOST_TEST(!wire::decodeReport(std::string(1'000'000, '[')).has_value());
    const auto report =
        wire::decodeReport(R"({"sequence":2,"models":)" + std::string(1'000'000, '[')
                           + std::string(1'000'000, ']') + "}");
    BOOST_REQUIRE(report.has_value());
    BOOST_TEST(report->orders_ == 2);
}

BOOST_AUTO_TEST_CASE(counts_of_a_report_above_their_range_are_limited)
{
    const auto report = wire::decodeReport(R"({"in_flight":4294967296,"queue_depth":1e300})");
    BOOST_REQUIRE(report.has_value());
    BOOST_TEST(report->running_ == 4294967295U);
    BOOST_TEST(report->waiting_ == 0);
}

BOOST_AUTO_TEST_SUITE_END()
