#define BOOST_TEST_MODULE AgentDecisions
#include "Agent/residencyplan.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrasscove;
using namespace std::chrono_literals;

namespace {

const Time now = Time(100s);

EngineLimits limitsWithSlots(std::uint32_t adapterSlots)
{
    EngineLimits limits;
    limits.weightsMb_ = 75900;
    limits.adapterSlots_ = adapterSlots;
    limits.models_ = {{"base", 72700, 66, 3000}};
    return limits;
}

wire::EngineReport reportWithAdapters(const std::vector<std::string> &adapters)
{
    wire::EngineReport report;
    report.models_ = {"base"};
    for (const std::string &adapter : adapters)
        report.adapters_.push_back({adapter, 1});
    report.orders_ = 9;
    return report;
}

} // namespace

BOOST_AUTO_TEST_CASE(engine_without_its_model_loads_the_model_first)
{
    ResidencyPlan plan;
    addLoadRequest(plan, "base/a1", 0, 1, now);
    wire::EngineReport report;
    const auto order = nextOrder(plan, report, limitsWithSlots(26), now);
    BOOST_REQUIRE(order.has_value());
    BOOST_TEST(order->model_ == "base");
    BOOST_TEST(order->adapter_.empty());
    report.isBusy_ = true;
    BOOST_TEST(!nextOrder(plan, report, limitsWithSlots(26), now).has_value());
}

BOOST_AUTO_TEST_CASE(adapter_with_most_waiting_requests_is_loaded_first)
{
    ResidencyPlan plan;
    addLoadRequest(plan, "base/a1", 0, 1, now);
    addLoadRequest(plan, "base/a2", 0, 5, now + 1ms);
    const auto order = nextOrder(plan, reportWithAdapters({}), limitsWithSlots(26), now + 2ms);
    BOOST_REQUIRE(order.has_value());
    BOOST_TEST(order->adapter_ == "a2");
    BOOST_TEST(order->expectedOrders_ == 9);
}

BOOST_AUTO_TEST_CASE(full_engine_unloads_before_loading_and_counts_loads_in_progress)
{
    ResidencyPlan plan;
    addLoadRequest(plan, "base/a9", 0, 1, now);
    wire::EngineReport report = reportWithAdapters({"base/a1"});
    report.incoming_.push_back({"base/a2", 1});
    recordUse(plan, nameHash("base/a1"), now - 10s);
    const auto order = nextOrder(plan, report, limitsWithSlots(2), now);
    BOOST_REQUIRE(order.has_value());
    BOOST_TEST((order->kind_ == wire::EngineOrderKind::Unload));
    BOOST_TEST(order->adapter_ == "a1");
}

BOOST_AUTO_TEST_CASE(adapter_capacity_is_bounded_by_weight_memory_and_slots)
{
    EngineLimits limits = limitsWithSlots(100);
    // 3,200 MB remain beside the model, enough for 48 adapters of 66 MB.
    BOOST_TEST(adapterCapacity(limits, {"base"}) == 48);
    BOOST_TEST(adapterCapacity(limitsWithSlots(26), {"base"}) == 26);
}

BOOST_AUTO_TEST_CASE(least_recently_used_idle_adapter_is_unloaded)
{
    ResidencyPlan plan;
    addLoadRequest(plan, "base/a9", 0, 1, now);
    recordUse(plan, nameHash("base/a1"), now - 100ms);
    recordUse(plan, nameHash("base/a2"), now - 5s);
    recordUse(plan, nameHash("base/a3"), now - 9s);
    const auto order = nextOrder(plan, reportWithAdapters({"base/a1", "base/a2", "base/a3"}),
                                 limitsWithSlots(3), now);
    BOOST_REQUIRE(order.has_value());
    BOOST_TEST(order->adapter_ == "a3");
}

BOOST_AUTO_TEST_CASE(pending_unload_is_not_ordered_again)
{
    ResidencyPlan plan;
    addLoadRequest(plan, "base/a9", 0, 1, now);
    const wire::EngineReport report = reportWithAdapters({"base/a1", "base/a2"});
    const auto first = nextOrder(plan, report, limitsWithSlots(2), now);
    BOOST_REQUIRE(first.has_value());
    recordAccepted(plan, *first, report, now);
    BOOST_TEST(!nextOrder(plan, report, limitsWithSlots(2), now + 20ms).has_value());
}

BOOST_AUTO_TEST_CASE(newer_version_replaces_older_version_without_unload)
{
    ResidencyPlan plan;
    addLoadRequest(plan, "base/a1", 2, 1, now);
    const wire::EngineReport report = reportWithAdapters({"base/a1", "base/a2"});
    expirePlan(plan, report, now);
    const auto order = nextOrder(plan, report, limitsWithSlots(2), now);
    BOOST_REQUIRE(order.has_value());
    BOOST_TEST((order->kind_ == wire::EngineOrderKind::Load));
    BOOST_TEST(order->version_ == 2);
}

BOOST_AUTO_TEST_CASE(adapter_in_use_is_not_replaced_while_other_loads_are_requested)
{
    ResidencyPlan plan;
    addLoadRequest(plan, "base/a1", 2, 9, now);
    addLoadRequest(plan, "base/a9", 0, 1, now);
    const wire::EngineReport report = reportWithAdapters({"base/a1"});
    recordUse(plan, nameHash("base/a1"), now - 100ms);
    const auto order = nextOrder(plan, report, limitsWithSlots(26), now);
    BOOST_REQUIRE(order.has_value());
    BOOST_TEST(order->adapter_ == "a9");
    // Its last use is now long enough ago.
    const auto later = nextOrder(plan, report, limitsWithSlots(26), now + 1s);
    BOOST_REQUIRE(later.has_value());
    BOOST_TEST(later->adapter_ == "a1");
}

BOOST_AUTO_TEST_CASE(pending_replacement_is_neither_repeated_nor_unloaded)
{
    ResidencyPlan plan;
    addLoadRequest(plan, "base/a1", 2, 1, now);
    const wire::EngineReport report = reportWithAdapters({"base/a1", "base/a2"});
    const auto replacement = nextOrder(plan, report, limitsWithSlots(2), now);
    BOOST_REQUIRE(replacement.has_value());
    recordAccepted(plan, *replacement, report, now);
    BOOST_TEST(!nextOrder(plan, report, limitsWithSlots(2), now + 20ms).has_value());
    // The load request is no longer repeated and a third adapter needs a slot: base/a2 is unloaded,
    // not the adapter with the pending replacement.
    addLoadRequest(plan, "base/a9", 0, 1, now + 900ms);
    recordUse(plan, nameHash("base/a2"), now);
    expirePlan(plan, report, now + 900ms);
    const auto unload = nextOrder(plan, report, limitsWithSlots(2), now + 900ms);
    BOOST_REQUIRE(unload.has_value());
    BOOST_TEST(unload->adapter_ == "a2");
}

BOOST_AUTO_TEST_CASE(adapter_with_pending_unload_is_not_replaced)
{
    ResidencyPlan plan;
    addLoadRequest(plan, "base/a9", 0, 1, now);
    const wire::EngineReport report = reportWithAdapters({"base/a1", "base/a2"});
    recordUse(plan, nameHash("base/a2"), now);
    const auto unload = nextOrder(plan, report, limitsWithSlots(2), now);
    BOOST_REQUIRE(unload.has_value());
    BOOST_TEST(unload->adapter_ == "a1");
    recordAccepted(plan, *unload, report, now);
    addLoadRequest(plan, "base/a1", 2, 5, now);
    BOOST_TEST(!nextOrder(plan, report, limitsWithSlots(2), now + 20ms).has_value());
}

BOOST_AUTO_TEST_CASE(at_most_four_loads_are_in_progress)
{
    ResidencyPlan plan;
    addLoadRequest(plan, "base/a9", 0, 1, now);
    wire::EngineReport report = reportWithAdapters({});
    for (const char *adapter : {"base/b1", "base/b2", "base/b3", "base/b4"})
        report.incoming_.push_back({adapter, 1});
    BOOST_TEST(!nextOrder(plan, report, limitsWithSlots(26), now).has_value());
}

BOOST_AUTO_TEST_CASE(load_request_that_is_fulfilled_or_not_repeated_expires)
{
    ResidencyPlan plan;
    addLoadRequest(plan, "base/a1", 0, 1, now);
    addLoadRequest(plan, "base/a2", 0, 1, now);
    expirePlan(plan, reportWithAdapters({"base/a1"}), now);
    BOOST_TEST(plan.requestedAdapters_.size() == 1);
    expirePlan(plan, reportWithAdapters({"base/a1"}), now + 1s);
    BOOST_TEST(plan.requestedAdapters_.empty());
}
