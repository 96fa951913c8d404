#include "doorfixture.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrasscove;

namespace {

const AdapterKey a = adapterNamed("a");
const AdapterKey b = adapterNamed("b");

EngineState withRun(EngineState state, const std::string &attempt, const AdapterKey &adapter)
{
    state.running_.push_back({.attempt_ = {attempt}, .adapter_ = adapter});
    return state;
}

} // namespace

BOOST_AUTO_TEST_CASE(foreignRunIsCancelledAndAwaitedBeforeItsAdapterGoes)
{
    TargetSettings target = engineSettings();
    target.adapterSlots_ = 1;
    DoorFixture door(target);
    door.give(TimePassed{});
    // The entry has cancelled it here already: that doesn't make it ours.
    door.say(AttemptCancel{{"old"}});
    door.state(withRun(DoorFixture::stateWith({b}), "old", b));
    BOOST_TEST(door.commands<CancelRun>().size() == 1U);
    door.say(offerOf("x", "a"));
    door.advance(std::chrono::seconds(2));
    BOOST_TEST(door.orders(OrderKind::Unload).empty());
    door.state(DoorFixture::stateWith({b}));
    BOOST_TEST(door.orders(OrderKind::Unload).size() == 1U);
}

BOOST_AUTO_TEST_CASE(fencingNumberGoesAboveTheEngines)
{
    DoorFixture door;
    door.give(TimePassed{});
    EngineState state = DoorFixture::stateWith({});
    state.fencingNumber_ = {doorFencing.value_ + 5};
    door.state(state);
    door.say(offerOf("x"));
    BOOST_TEST(door.orders(OrderKind::Load).at(0).fencingNumber_.value_ == doorFencing.value_ + 6);
}

BOOST_AUTO_TEST_CASE(higherFencingNumberLaterMeansAnotherDoor)
{
    DoorFixture door;
    door.up({a});
    door.say(offerOf("x"));
    door.say(offerOf("y", "b"));
    EngineState state = withRun(DoorFixture::stateWith({a}), "x", a);
    state.fencingNumber_ = {doorFencing.value_ + 1};
    door.advance(std::chrono::seconds(1));
    door.state(withRun(state, "theirs", a));
    BOOST_TEST(door.refused("y") == Reason::Leaving);
    BOOST_TEST(door.commands<CancelRun>().empty());
    door.say(offerOf("z"));
    BOOST_TEST(door.refused("z") == Reason::Leaving);
}

BOOST_AUTO_TEST_CASE(crashStrikesAndReportsWhatRan)
{
    DoorFixture door;
    door.up({a});
    door.say(offerOf("x"));
    door.say(offerOf("y"));
    door.event(RunFailed{{"x"}, true});
    BOOST_TEST(door.failed("x").reason_ == Reason::None);
    door.state(DoorFixture::stateWith({}, 2));
    for (const char *attempt : {"x", "y"}) {
        BOOST_TEST(door.failed(attempt).reason_ == Reason::EngineCrashed);
        BOOST_TEST(door.failed(attempt).runState_ == RunState::OutcomeUnknown);
    }
    const Heartbeat report = loadReport(door.door_, door.now_);
    BOOST_TEST(report.strikes_.size() == 2U);
    BOOST_TEST(report.residents_.empty());
}

BOOST_AUTO_TEST_CASE(strikesAreToldBeforeTheFailure)
{
    DoorFixture door;
    door.up({a});
    door.say(offerOf("x"));
    door.clear();
    door.event(RunFailed{{"x"}, true});
    door.unreachable();
    std::size_t strikesAt = door.done_.size();
    std::size_t failureAt = 0;
    for (std::size_t index = 0; index < door.done_.size(); ++index) {
        if (std::holds_alternative<AnnounceStrikes>(door.done_[index]))
            strikesAt = index;
        if (std::holds_alternative<MessageToSend>(door.done_[index]))
            failureAt = index;
    }
    BOOST_TEST(strikesAt < failureAt);
}

BOOST_AUTO_TEST_CASE(brokenConnectionOfALivingEngineIsNoCrash)
{
    DoorFixture door;
    door.up({a});
    door.say(offerOf("x"));
    door.event(RunFailed{{"x"}, true});
    door.state(withRun(DoorFixture::stateWith({a}), "x", a));
    BOOST_TEST(door.failed("x").reason_ == Reason::TargetError);
    BOOST_TEST(door.failed("x").runState_ == RunState::OutcomeUnknown);
    BOOST_TEST(loadReport(door.door_, door.now_).strikes_.empty());
    BOOST_TEST(door.commands<CancelRun>().size() == 1U);
    // It still pins its adapter and holds its slot.
    BOOST_TEST(door.door_.residency_.slots_.at(a).running_ == 1U);
    door.advance(std::chrono::seconds(1));
    door.state(DoorFixture::stateWith({a}));
    BOOST_TEST(door.door_.residency_.slots_.at(a).running_ == 0U);
}

BOOST_AUTO_TEST_CASE(suspectRunsAloneAndIsRefusedAtTheLimit)
{
    DoorFixture door;
    door.up({a});
    Heartbeat peer;
    peer.role_ = Role::Target;
    peer.strikes_ = {{.fingerprint_ = {"print-x"}, .count_ = 1}};
    door.say(peer);
    door.say(offerOf("y"));
    door.say(offerOf("x"));
    BOOST_TEST(door.started("y"));
    BOOST_TEST(!door.started("x"));
    door.event(RunEnded{{"y"}, 1});
    BOOST_TEST(door.started("x"));
    door.say(offerOf("z"));
    BOOST_TEST(!door.started("z"));
    door.event(RunFailed{{"x"}, true});
    door.state(DoorFixture::stateWith({a}, 2));
    Offer again = offerOf("x2");
    again.fingerprint_ = {"print-x"};
    door.say(again);
    BOOST_TEST(door.refused("x2") == Reason::SuspectedKiller);
    door.advance(door.door_.strikes_.memory_ + std::chrono::seconds(1));
    again.attempt_ = {"x3"};
    door.say(again);
    BOOST_TEST(door.refused("x3") == Reason::None);
}

BOOST_AUTO_TEST_CASE(suspectThatRanToItsEndIsCleared)
{
    DoorFixture door;
    door.up({a});
    Heartbeat peer;
    peer.role_ = Role::Target;
    peer.strikes_ = {{.fingerprint_ = {"print-x"}, .count_ = 1}};
    door.say(peer);
    door.say(offerOf("x"));
    door.event(RunEnded{{"x"}, 1});
    door.say(peer);
    BOOST_TEST((suspicionOf(door.door_.strikes_, {"print-x"}, door.now_) == Suspicion::None));
}

BOOST_AUTO_TEST_CASE(adapterGoneBehindOurBackIsNotRun)
{
    DoorFixture door;
    door.up({a});
    door.say(offerOf("x"));
    door.event(RunHead{{"x"}, 404, "application/json"});
    BOOST_TEST(door.refused("x") == Reason::AdapterLoadFailed);
    door.say(offerOf("y"));
    BOOST_TEST(!door.started("y"));
    door.state(DoorFixture::stateWith({}));
    BOOST_TEST(door.orders(OrderKind::Load).size() == 1U);
    door.endOrder(OrderOutcome::Done);
    BOOST_TEST(door.started("y"));
}

BOOST_AUTO_TEST_CASE(downEngineRefusesAtOnceAndQueuedWorkAfterAWhile)
{
    DoorFixture door;
    door.up({a});
    door.say(offerOf("r1"));
    door.say(offerOf("r2"));
    door.say(offerOf("q"));
    door.advance(std::chrono::seconds(1));
    door.unreachable();
    door.say(offerOf("late"));
    BOOST_TEST(door.refused("late") == Reason::EngineDown);
    BOOST_TEST(door.refused("q") == Reason::None);
    door.advance(std::chrono::seconds(2));
    BOOST_TEST(door.refused("q") == Reason::EngineDown);
    BOOST_TEST(!door.started("q"));
}

BOOST_AUTO_TEST_CASE(unsentRunIsNotRun)
{
    DoorFixture door;
    door.up({a});
    door.say(offerOf("x"));
    door.event(RunFailed{{"x"}, false});
    BOOST_TEST(door.refused("x") == Reason::EngineDown);
    BOOST_TEST(door.door_.running_ == 0U);
}

BOOST_AUTO_TEST_CASE(brokenServiceCallIsUnknownOnceSent)
{
    DoorFixture door(serviceSettings());
    door.say(bookingOf("x"));
    BOOST_TEST(door.started("x"));
    door.event(RunFailed{{"x"}, true});
    BOOST_TEST(door.failed("x").runState_ == RunState::OutcomeUnknown);
    door.say(bookingOf("x"));
    BOOST_TEST(door.commands<StartRun>().size() == 1U);
    BOOST_TEST(door.commands<ReadEngineState>().empty());
}

BOOST_AUTO_TEST_CASE(unknownUnloadIsOrderedAgainUnderAHigherNumber)
{
    TargetSettings target = engineSettings();
    target.adapterSlots_ = 1;
    DoorFixture door(target);
    door.up({b});
    door.say(offerOf("x", "a"));
    BOOST_TEST(door.orders(OrderKind::Unload).size() == 1U);
    door.endOrder(OrderOutcome::Unknown);
    door.state(DoorFixture::stateWith({b}));
    const auto unloads = door.orders(OrderKind::Unload);
    BOOST_TEST(unloads.size() == 2U);
    BOOST_TEST(unloads.at(1).fencingNumber_.value_ > unloads.at(0).fencingNumber_.value_);
}
