#include "schedulerfixture.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrasscove;

namespace {

const AdapterKey a = makeAdapter("a");
const AdapterKey b = makeAdapter("b");
const AdapterKey c = makeAdapter("c");

TargetSettings slots(std::uint32_t adapters, std::uint32_t batch)
{
    TargetSettings target = engineSettings();
    target.adapterSlots_ = adapters;
    target.batchSlots_ = batch;
    return target;
}

} // namespace

BOOST_AUTO_TEST_CASE(loads_are_coalesced_and_limited_in_number)
{
    SchedulerFixture scheduler(slots(4, 4));
    scheduler.bringUp();
    // The token bucket starts with one load, so that repeated restarts do not exceed the load rate.
    scheduler.advance(std::chrono::seconds(1));
    for (const char *route : {"a", "b", "c"}) {
        scheduler.receive(makeOffer(std::string(route) + "1", route));
        scheduler.receive(makeOffer(std::string(route) + "2", route));
    }
    BOOST_TEST(scheduler.orders(OrderKind::Load).size() == 2U);
    const AdapterOrder first = scheduler.orders(OrderKind::Load).at(0);
    scheduler.applyEvent(OrderEnded{first.orderNumber_, OrderKind::Load, a, OrderOutcome::Done});
    BOOST_TEST(scheduler.hasStarted("a1"));
    BOOST_TEST(scheduler.hasStarted("a2"));
    BOOST_TEST(scheduler.orders(OrderKind::Load).size() == 3U);
}

BOOST_AUTO_TEST_CASE(loads_are_limited_to_the_configured_rate)
{
    TargetSettings target = slots(4, 4);
    target.loadsPerSecond_ = 1;
    SchedulerFixture scheduler(target);
    scheduler.bringUp();
    scheduler.receive(makeOffer("x", "a"));
    scheduler.receive(makeOffer("y", "b"));
    BOOST_TEST(scheduler.orders(OrderKind::Load).size() == 1U);
    scheduler.advance(std::chrono::milliseconds(999));
    BOOST_TEST(scheduler.orders(OrderKind::Load).size() == 1U);
    scheduler.advance(std::chrono::milliseconds(1));
    BOOST_TEST(scheduler.orders(OrderKind::Load).size() == 2U);
}

BOOST_AUTO_TEST_CASE(work_on_resident_adapter_overtakes_work_waiting_for_a_load)
{
    SchedulerFixture scheduler(slots(2, 1));
    scheduler.bringUp({a});
    scheduler.receive(makeOffer("waits", "b"));
    scheduler.receive(makeOffer("passes", "a"));
    BOOST_TEST(scheduler.hasStarted("passes"));
    BOOST_TEST(!scheduler.hasStarted("waits"));
}

BOOST_AUTO_TEST_CASE(adapter_in_use_is_drained_before_eviction)
{
    SchedulerFixture scheduler(slots(1, 2));
    scheduler.bringUp({a});
    scheduler.receive(makeOffer("x", "a"));
    scheduler.receive(makeOffer("y", "b"));
    scheduler.advance(std::chrono::seconds(3));
    BOOST_TEST(scheduler.orders(OrderKind::Unload).empty());
    // Nothing more starts on the draining adapter, so that y can be loaded and started.
    scheduler.receive(makeOffer("z", "a"));
    BOOST_TEST(!scheduler.hasStarted("z"));
    scheduler.applyEvent(RunEnded{{"x"}, 1});
    BOOST_TEST(scheduler.orders(OrderKind::Unload).at(0).adapter_.adapter_.text_ == "a");
    scheduler.endOrder(OrderOutcome::Done);
    scheduler.endOrder(OrderOutcome::Done);
    BOOST_TEST(scheduler.hasStarted("y"));
}

BOOST_AUTO_TEST_CASE(least_used_idle_adapter_is_evicted)
{
    SchedulerFixture scheduler(slots(2, 1));
    scheduler.bringUp({a, b});
    for (const char *attempt : {"b1", "b2", "b3"}) {
        scheduler.receive(makeOffer(attempt, "b"));
        scheduler.applyEvent(RunEnded{{attempt}, 1});
    }
    scheduler.advance(std::chrono::seconds(1));
    scheduler.receive(makeOffer("a1", "a"));
    scheduler.applyEvent(RunEnded{{"a1"}, 1});
    scheduler.receive(makeOffer("c1", "c"));
    BOOST_TEST(scheduler.orders(OrderKind::Unload).at(0).adapter_.adapter_.text_ == "a");
}

BOOST_AUTO_TEST_CASE(failed_load_is_retried_up_to_the_limit_then_refused)
{
    SchedulerFixture scheduler;
    scheduler.bringUp();
    scheduler.receive(makeOffer("x"));
    for (int attempt = 1; attempt <= 3; ++attempt) {
        BOOST_TEST(scheduler.orders(OrderKind::Load).size() == static_cast<std::size_t>(attempt));
        BOOST_TEST(scheduler.refusalReason("x") == Reason::None);
        scheduler.endOrder(OrderOutcome::Failed);
        scheduler.reportEngineState(SchedulerFixture::makeEngineState({}));
        scheduler.advance(std::chrono::seconds(1));
    }
    BOOST_TEST(scheduler.refusalReason("x") == Reason::AdapterLoadFailed);
    scheduler.receive(makeOffer("soon"));
    BOOST_TEST(scheduler.refusalReason("soon") == Reason::AdapterLoadFailed);
    scheduler.advance(std::chrono::seconds(6));
    scheduler.receive(makeOffer("later"));
    BOOST_TEST(scheduler.orders(OrderKind::Load).size() == 4U);
}

BOOST_AUTO_TEST_CASE(load_with_unknown_outcome_is_resolved_by_engine_state)
{
    SchedulerFixture scheduler;
    scheduler.bringUp();
    scheduler.receive(makeOffer("x"));
    scheduler.endOrder(OrderOutcome::Unknown);
    BOOST_TEST(!scheduler.hasStarted("x"));
    scheduler.reportEngineState(SchedulerFixture::makeEngineState({a}));
    BOOST_TEST(scheduler.hasStarted("x"));
}

BOOST_AUTO_TEST_CASE(accounts_share_the_target_by_tokens)
{
    TargetSettings target = slots(2, 1);
    target.queue_ = 64;
    SchedulerFixture scheduler(target);
    scheduler.bringUp({a});
    scheduler.receive(makeOffer("first"));
    for (int number = 0; number < 20; ++number) {
        Offer large = makeOffer("large" + std::to_string(number), "a", "1");
        large.reservedTokens_ = 1000;
        scheduler.receive(large);
    }
    for (int number = 0; number < 10; ++number) {
        Offer small = makeOffer("small" + std::to_string(number), "a", "2");
        small.reservedTokens_ = 100;
        scheduler.receive(small);
    }
    std::string running = "first";
    int startedLarge = 0;
    while (!scheduler.hasStarted("small9")) {
        scheduler.applyEvent(RunFailed{{running}, false});
        running = scheduler.commands<StartRun>().back().attempt_.text_;
        startedLarge += running.starts_with("large") ? 1 : 0;
    }
    // Ten small requests use no more tokens than one or two large ones.
    BOOST_TEST(startedLarge <= 2);
}

BOOST_AUTO_TEST_CASE(interactive_work_precedes_batch_work_until_aging)
{
    SchedulerFixture scheduler(slots(2, 1));
    scheduler.bringUp({a});
    scheduler.receive(makeOffer("first"));
    Offer batch = makeOffer("batch");
    batch.priority_ = Priority::Batch;
    scheduler.receive(batch);
    scheduler.receive(makeOffer("second"));
    scheduler.applyEvent(RunEnded{{"first"}, 1});
    BOOST_TEST(scheduler.hasStarted("second"));
    BOOST_TEST(!scheduler.hasStarted("batch"));
    scheduler.advance(std::chrono::seconds(11));
    scheduler.receive(makeOffer("third"));
    scheduler.applyEvent(RunEnded{{"second"}, 1});
    BOOST_TEST(scheduler.hasStarted("batch"));
    BOOST_TEST(!scheduler.hasStarted("third"));
}
