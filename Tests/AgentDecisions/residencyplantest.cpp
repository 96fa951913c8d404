#define BOOST_TEST_MODULE AgentDecisions
#include "Agent/residencyplan.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrasscove;
using namespace std::chrono_literals;

namespace {

const Time now = Time(100s);

EngineLimits limitsWith(std::uint32_t places)
{
    EngineLimits limits;
    limits.weightsMb_ = 75900;
    limits.adapterSlots_ = places;
    limits.models_ = {{"base", 72700, 66, 3000}};
    return limits;
}

wire::EngineReport reportWith(const std::vector<std::string> &adapters)
{
    wire::EngineReport report;
    report.models_ = {"base"};
    for (const std::string &adapter : adapters)
        report.adapters_.push_back({adapter, 1});
    report.orders_ = 9;
    return report;
}

} // namespace

BOOST_AUTO_TEST_CASE(an_engine_without_its_model_loads_it_first)
{
    ResidencyPlan plan;
    takeWish(plan, "base/a1", 0, 1, now);
    wire::EngineReport report;
    const auto order = nextOrder(plan, report, limitsWith(26), now);
    BOOST_REQUIRE(order.has_value());
    BOOST_TEST(order->model_ == "base");
    BOOST_TEST(order->adapter_.empty());
    report.busy_ = true;
    BOOST_TEST(!nextOrder(plan, report, limitsWith(26), now).has_value());
}

BOOST_AUTO_TEST_CASE(what_most_requests_wait_for_is_loaded_first)
{
    ResidencyPlan plan;
    takeWish(plan, "base/a1", 0, 1, now);
    takeWish(plan, "base/a2", 0, 5, now + 1ms);
    const auto order = nextOrder(plan, reportWith({}), limitsWith(26), now + 2ms);
    BOOST_REQUIRE(order.has_value());
    BOOST_TEST(order->adapter_ == "a2");
    BOOST_TEST(order->expectedOrders_ == 9);
}

BOOST_AUTO_TEST_CASE(places_are_never_exceeded_counting_what_is_on_its_way)
{
    ResidencyPlan plan;
    takeWish(plan, "base/a9", 0, 1, now);
    wire::EngineReport report = reportWith({"base/a1"});
    report.incoming_.push_back({"base/a2", 1});
    noteUse(plan, markOf("base/a1"), now - 10s);
    const auto order = nextOrder(plan, report, limitsWith(2), now);
    BOOST_REQUIRE(order.has_value());
    BOOST_TEST((order->kind_ == wire::OrderKind::Unload));
    BOOST_TEST(order->adapter_ == "a1");
}

BOOST_AUTO_TEST_CASE(memory_for_weights_bounds_the_places)
{
    EngineLimits limits = limitsWith(100);
    // 3,200 MB beside the model hold 48 adapters of 66 MB.
    BOOST_TEST(adapterCapacity(limits, {"base"}) == 48);
    BOOST_TEST(adapterCapacity(limitsWith(26), {"base"}) == 26);
}

BOOST_AUTO_TEST_CASE(the_place_is_taken_from_what_was_used_longest_ago_and_is_not_in_use)
{
    ResidencyPlan plan;
    takeWish(plan, "base/a9", 0, 1, now);
    noteUse(plan, markOf("base/a1"), now - 100ms);
    noteUse(plan, markOf("base/a2"), now - 5s);
    noteUse(plan, markOf("base/a3"), now - 9s);
    const auto order =
        nextOrder(plan, reportWith({"base/a1", "base/a2", "base/a3"}), limitsWith(3), now);
    BOOST_REQUIRE(order.has_value());
    BOOST_TEST(order->adapter_ == "a3");
}

BOOST_AUTO_TEST_CASE(an_unload_that_waits_for_its_runs_is_not_ordered_again)
{
    ResidencyPlan plan;
    takeWish(plan, "base/a9", 0, 1, now);
    const wire::EngineReport report = reportWith({"base/a1", "base/a2"});
    const auto first = nextOrder(plan, report, limitsWith(2), now);
    BOOST_REQUIRE(first.has_value());
    recordAccepted(plan, *first, report, now);
    BOOST_TEST(!nextOrder(plan, report, limitsWith(2), now + 20ms).has_value());
}

BOOST_AUTO_TEST_CASE(a_newer_version_takes_the_place_of_the_older)
{
    ResidencyPlan plan;
    takeWish(plan, "base/a1", 2, 1, now);
    const wire::EngineReport report = reportWith({"base/a1", "base/a2"});
    expirePlan(plan, report, now);
    const auto order = nextOrder(plan, report, limitsWith(2), now);
    BOOST_REQUIRE(order.has_value());
    BOOST_TEST((order->kind_ == wire::OrderKind::Load));
    BOOST_TEST(order->version_ == 2);
}

BOOST_AUTO_TEST_CASE(an_adapter_in_use_is_not_replaced_as_that_would_hold_up_the_others)
{
    ResidencyPlan plan;
    takeWish(plan, "base/a1", 2, 9, now);
    takeWish(plan, "base/a9", 0, 1, now);
    const wire::EngineReport report = reportWith({"base/a1"});
    noteUse(plan, markOf("base/a1"), now - 100ms);
    const auto order = nextOrder(plan, report, limitsWith(26), now);
    BOOST_REQUIRE(order.has_value());
    BOOST_TEST(order->adapter_ == "a9");
    // Its last run ended a while ago.
    const auto later = nextOrder(plan, report, limitsWith(26), now + 1s);
    BOOST_REQUIRE(later.has_value());
    BOOST_TEST(later->adapter_ == "a1");
}

BOOST_AUTO_TEST_CASE(a_replacement_that_waits_is_neither_repeated_nor_crossed_by_an_unload)
{
    ResidencyPlan plan;
    takeWish(plan, "base/a1", 2, 1, now);
    const wire::EngineReport report = reportWith({"base/a1", "base/a2"});
    const auto replacement = nextOrder(plan, report, limitsWith(2), now);
    BOOST_REQUIRE(replacement.has_value());
    recordAccepted(plan, *replacement, report, now);
    BOOST_TEST(!nextOrder(plan, report, limitsWith(2), now + 20ms).has_value());
    // Its wish is no longer repeated and another adapter needs a place: the other one has to give
    // it.
    takeWish(plan, "base/a9", 0, 1, now + 900ms);
    noteUse(plan, markOf("base/a2"), now);
    expirePlan(plan, report, now + 900ms);
    const auto unload = nextOrder(plan, report, limitsWith(2), now + 900ms);
    BOOST_REQUIRE(unload.has_value());
    BOOST_TEST(unload->adapter_ == "a2");
}

BOOST_AUTO_TEST_CASE(an_adapter_that_is_being_unloaded_is_not_replaced_meanwhile)
{
    ResidencyPlan plan;
    takeWish(plan, "base/a9", 0, 1, now);
    const wire::EngineReport report = reportWith({"base/a1", "base/a2"});
    noteUse(plan, markOf("base/a2"), now);
    const auto unload = nextOrder(plan, report, limitsWith(2), now);
    BOOST_REQUIRE(unload.has_value());
    BOOST_TEST(unload->adapter_ == "a1");
    recordAccepted(plan, *unload, report, now);
    takeWish(plan, "base/a1", 2, 5, now);
    BOOST_TEST(!nextOrder(plan, report, limitsWith(2), now + 20ms).has_value());
}

BOOST_AUTO_TEST_CASE(at_most_four_are_on_their_way)
{
    ResidencyPlan plan;
    takeWish(plan, "base/a9", 0, 1, now);
    wire::EngineReport report = reportWith({});
    for (const char *adapter : {"base/b1", "base/b2", "base/b3", "base/b4"})
        report.incoming_.push_back({adapter, 1});
    BOOST_TEST(!nextOrder(plan, report, limitsWith(26), now).has_value());
}

BOOST_AUTO_TEST_CASE(a_wish_that_is_fulfilled_or_no_longer_repeated_is_forgotten)
{
    ResidencyPlan plan;
    takeWish(plan, "base/a1", 0, 1, now);
    takeWish(plan, "base/a2", 0, 1, now);
    expirePlan(plan, reportWith({"base/a1"}), now);
    BOOST_TEST(plan.wishes_.size() == 1);
    expirePlan(plan, reportWith({"base/a1"}), now + 1s);
    BOOST_TEST(plan.wishes_.empty());
}
