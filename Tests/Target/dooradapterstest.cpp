#include "doorfixture.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrasscove;

namespace {

const AdapterKey a = adapterNamed("a");
const AdapterKey b = adapterNamed("b");
const AdapterKey c = adapterNamed("c");

TargetSettings slots(std::uint32_t adapters, std::uint32_t batch)
{
    TargetSettings target = engineSettings();
    target.adapterSlots_ = adapters;
    target.batchSlots_ = batch;
    return target;
}

} // namespace

BOOST_AUTO_TEST_CASE(loadsAreCoalescedAndBounded)
{
    DoorFixture door(slots(4, 4));
    door.up();
    // The rate starts with one load, lest restarts add up.
    door.advance(std::chrono::seconds(1));
    for (const char *route : {"a", "b", "c"}) {
        door.say(offerOf(std::string(route) + "1", route));
        door.say(offerOf(std::string(route) + "2", route));
    }
    BOOST_TEST(door.orders(OrderKind::Load).size() == 2U);
    const AdapterOrder first = door.orders(OrderKind::Load).at(0);
    door.event(OrderEnded{first.order_, OrderKind::Load, a, OrderOutcome::Done});
    BOOST_TEST(door.started("a1"));
    BOOST_TEST(door.started("a2"));
    BOOST_TEST(door.orders(OrderKind::Load).size() == 3U);
}

BOOST_AUTO_TEST_CASE(loadsKeepToTheirRate)
{
    TargetSettings target = slots(4, 4);
    target.loadsPerSecond_ = 1;
    DoorFixture door(target);
    door.up();
    door.say(offerOf("x", "a"));
    door.say(offerOf("y", "b"));
    BOOST_TEST(door.orders(OrderKind::Load).size() == 1U);
    door.advance(std::chrono::milliseconds(999));
    BOOST_TEST(door.orders(OrderKind::Load).size() == 1U);
    door.advance(std::chrono::milliseconds(1));
    BOOST_TEST(door.orders(OrderKind::Load).size() == 2U);
}

BOOST_AUTO_TEST_CASE(residentWorkPassesWorkThatWaitsForALoad)
{
    DoorFixture door(slots(2, 1));
    door.up({a});
    door.say(offerOf("waits", "b"));
    door.say(offerOf("passes", "a"));
    BOOST_TEST(door.started("passes"));
    BOOST_TEST(!door.started("waits"));
}

BOOST_AUTO_TEST_CASE(adapterInUseIsNotEvicted)
{
    DoorFixture door(slots(1, 2));
    door.up({a});
    door.say(offerOf("x", "a"));
    door.say(offerOf("y", "b"));
    door.advance(std::chrono::seconds(3));
    BOOST_TEST(door.orders(OrderKind::Unload).empty());
    // Nothing more starts on it, so that y has its turn.
    door.say(offerOf("z", "a"));
    BOOST_TEST(!door.started("z"));
    door.event(RunEnded{{"x"}, 1});
    BOOST_TEST(door.orders(OrderKind::Unload).at(0).adapter_.adapter_.text_ == "a");
    door.endOrder(OrderOutcome::Done);
    door.endOrder(OrderOutcome::Done);
    BOOST_TEST(door.started("y"));
}

BOOST_AUTO_TEST_CASE(leastUsedIdleAdapterIsEvicted)
{
    DoorFixture door(slots(2, 1));
    door.up({a, b});
    for (const char *attempt : {"b1", "b2", "b3"}) {
        door.say(offerOf(attempt, "b"));
        door.event(RunEnded{{attempt}, 1});
    }
    door.advance(std::chrono::seconds(1));
    door.say(offerOf("a1", "a"));
    door.event(RunEnded{{"a1"}, 1});
    door.say(offerOf("c1", "c"));
    BOOST_TEST(door.orders(OrderKind::Unload).at(0).adapter_.adapter_.text_ == "a");
}

BOOST_AUTO_TEST_CASE(failedLoadIsRetriedThenGivenUp)
{
    DoorFixture door;
    door.up();
    door.say(offerOf("x"));
    for (int attempt = 1; attempt <= 3; ++attempt) {
        BOOST_TEST(door.orders(OrderKind::Load).size() == static_cast<std::size_t>(attempt));
        BOOST_TEST(door.refused("x") == Reason::None);
        door.endOrder(OrderOutcome::Failed);
        door.state(DoorFixture::stateWith({}));
        door.advance(std::chrono::seconds(1));
    }
    BOOST_TEST(door.refused("x") == Reason::AdapterLoadFailed);
    door.say(offerOf("soon"));
    BOOST_TEST(door.refused("soon") == Reason::AdapterLoadFailed);
    door.advance(std::chrono::seconds(6));
    door.say(offerOf("later"));
    BOOST_TEST(door.orders(OrderKind::Load).size() == 4U);
}

BOOST_AUTO_TEST_CASE(loadOfUnknownOutcomeIsSettledByTheState)
{
    DoorFixture door;
    door.up();
    door.say(offerOf("x"));
    door.endOrder(OrderOutcome::Unknown);
    BOOST_TEST(!door.started("x"));
    door.state(DoorFixture::stateWith({a}));
    BOOST_TEST(door.started("x"));
}

BOOST_AUTO_TEST_CASE(accountsShareInTokens)
{
    TargetSettings target = slots(2, 1);
    target.queue_ = 64;
    DoorFixture door(target);
    door.up({a});
    door.say(offerOf("first"));
    for (int number = 0; number < 20; ++number) {
        Offer large = offerOf("large" + std::to_string(number), "a", "1");
        large.reservedTokens_ = 1000;
        door.say(large);
    }
    for (int number = 0; number < 10; ++number) {
        Offer small = offerOf("small" + std::to_string(number), "a", "2");
        small.reservedTokens_ = 100;
        door.say(small);
    }
    std::string running = "first";
    int larges = 0;
    while (!door.started("small9")) {
        door.event(RunFailed{{running}, false});
        running = door.commands<StartRun>().back().attempt_.text_;
        larges += running.starts_with("large") ? 1 : 0;
    }
    // Ten small ones use no more tokens than one or two large ones.
    BOOST_TEST(larges <= 2);
}

BOOST_AUTO_TEST_CASE(interactiveGoesFirstUntilBatchHasAged)
{
    DoorFixture door(slots(2, 1));
    door.up({a});
    door.say(offerOf("first"));
    Offer batch = offerOf("batch");
    batch.priority_ = Priority::Batch;
    door.say(batch);
    door.say(offerOf("second"));
    door.event(RunEnded{{"first"}, 1});
    BOOST_TEST(door.started("second"));
    BOOST_TEST(!door.started("batch"));
    door.advance(std::chrono::seconds(11));
    door.say(offerOf("third"));
    door.event(RunEnded{{"second"}, 1});
    BOOST_TEST(door.started("batch"));
    BOOST_TEST(!door.started("third"));
}
