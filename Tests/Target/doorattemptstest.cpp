#define BOOST_TEST_MODULE Target
#include "doorfixture.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrasscove;

BOOST_AUTO_TEST_CASE(offerIsLoadedRunAndAnswered)
{
    DoorFixture door;
    door.up();
    door.say(offerOf("x"));
    BOOST_TEST(door.sent<OfferAccepted>().size() == 1U);
    BOOST_TEST(!door.started("x"));
    BOOST_TEST(door.orders(OrderKind::Load).size() == 1U);
    door.endOrder(OrderOutcome::Done);
    BOOST_TEST(door.started("x"));
    door.event(RunHead{{"x"}, 200, "text/event-stream"});
    door.event(RunBytes{{"x"}, "one", 1});
    door.event(RunBytes{{"x"}, "two", 2});
    door.event(RunEnded{{"x"}, 2});
    const auto chunks = door.sent<AnswerChunk>();
    BOOST_TEST(chunks.size() == 2U);
    BOOST_TEST(chunks.at(1).offset_ == 3U);
    BOOST_TEST(chunks.at(1).tokensRun_ == 12);
    const auto ends = door.sent<AnswerEnd>();
    BOOST_TEST(ends.size() == 1U);
    BOOST_TEST(ends.at(0).length_ == 6U);
    BOOST_TEST(ends.at(0).tokensRun_ == 12);
    door.say(AnswerReceived{{"x"}});
    BOOST_TEST(door.door_.attempts_.inHand_.empty());
}

BOOST_AUTO_TEST_CASE(queryBuriesWhatHasNotStartedAndTheLateOfferMeetsIt)
{
    DoorFixture door;
    door.up();
    door.say(AttemptQuery{{"never"}, doorIncarnation, 0});
    BOOST_TEST(door.refused("never") == Reason::Tombstone);
    door.say(offerOf("never"));
    BOOST_TEST(door.sent<OfferRefused>().size() == 2U);
    BOOST_TEST(door.sent<OfferAccepted>().empty());
    door.say(offerOf("queued"));
    door.say(AttemptQuery{{"queued"}, doorIncarnation, 0});
    BOOST_TEST(door.refused("queued") == Reason::Tombstone);
    BOOST_TEST(door.door_.queue_.size_ == 0U);
}

BOOST_AUTO_TEST_CASE(queryWithoutGivingUpLeavesQueuedWorkAlone)
{
    DoorFixture door;
    door.up();
    door.say(offerOf("x"));
    AttemptQuery query{{"x"}, doorIncarnation, 0};
    query.giveUp_ = false;
    door.say(query);
    BOOST_TEST(door.refused("x") == Reason::None);
    BOOST_TEST(door.sent<OfferAccepted>().size() == 2U);
}

BOOST_AUTO_TEST_CASE(fullTombstonesPromiseNothing)
{
    DoorFixture door;
    door.door_.attempts_.policy_.tombstones_ = 0;
    door.up();
    door.say(AttemptQuery{{"never"}, doorIncarnation, 0});
    BOOST_TEST(door.refused("never") == Reason::None);
    BOOST_TEST(door.failed("never").runState_ == RunState::OutcomeUnknown);
}

BOOST_AUTO_TEST_CASE(otherIncarnations)
{
    DoorFixture door;
    door.up({adapterNamed("a")});
    door.say(AttemptQuery{{"x"}, Incarnation{999}, 0});
    BOOST_TEST(door.failed("x").runState_ == RunState::OutcomeUnknown);
    Offer offer = offerOf("y");
    offer.targetIncarnation_ = Incarnation{999};
    door.say(offer);
    BOOST_TEST(door.refused("y") == Reason::WrongIncarnation);
    BOOST_TEST(!door.started("y"));
}

BOOST_AUTO_TEST_CASE(repeatedOfferNeverStartsASecondRun)
{
    DoorFixture door;
    door.up({adapterNamed("a")});
    door.say(offerOf("x"));
    door.say(offerOf("x"));
    door.event(RunEnded{{"x"}, 1});
    door.say(offerOf("x"));
    door.say(AnswerReceived{{"x"}});
    door.say(offerOf("x"));
    BOOST_TEST(door.commands<StartRun>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(startedAttemptResumesAtTheOffset)
{
    DoorFixture door;
    door.up({adapterNamed("a")});
    door.say(offerOf("x"));
    door.event(RunHead{{"x"}, 200, "text/event-stream"});
    door.event(RunBytes{{"x"}, "abcdef", 1});
    door.event(RunEnded{{"x"}, 1});
    door.clear();
    door.say(AttemptQuery{{"x"}, doorIncarnation, 4});
    BOOST_TEST(door.sent<AnswerHead>().size() == 1U);
    BOOST_TEST(door.sent<AnswerChunk>().at(0).offset_ == 4U);
    BOOST_TEST(door.sent<AnswerChunk>().at(0).bytes_ == "ef");
    BOOST_TEST(door.sent<AnswerEnd>().at(0).length_ == 6U);
}

BOOST_AUTO_TEST_CASE(answerThatIsNoLongerKeptIsSaidToHaveRun)
{
    TargetSettings target = engineSettings();
    target.answerBytes_ = 4;
    DoorFixture door(target);
    door.up({adapterNamed("a")});
    door.say(offerOf("x"));
    door.event(RunBytes{{"x"}, "abcdef", 1});
    door.say(AttemptQuery{{"x"}, doorIncarnation, 0});
    BOOST_TEST(door.failed("x").runState_ == RunState::Ran);
    BOOST_TEST(door.commands<CancelRun>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(cancelStopsQueuedAndRunningWork)
{
    DoorFixture door;
    door.up({adapterNamed("a")});
    door.say(offerOf("x"));
    door.say(offerOf("y"));
    door.say(offerOf("z"));
    door.say(AttemptCancel{{"z"}});
    BOOST_TEST(door.refused("z") == Reason::Cancelled);
    door.say(AttemptCancel{{"x"}});
    BOOST_TEST(door.commands<CancelRun>().size() == 1U);
    door.event(RunFailed{{"x"}, true});
    BOOST_TEST(door.failed("x").reason_ == Reason::Cancelled);
    BOOST_TEST(door.failed("x").tokensRun_ == 10);
    // The engine has yet to say that the run is gone.
    door.say(offerOf("next"));
    BOOST_TEST(!door.started("next"));
    door.state(DoorFixture::stateWith({adapterNamed("a")}));
    BOOST_TEST(door.started("next"));
}

BOOST_AUTO_TEST_CASE(deadlines)
{
    DoorFixture door;
    door.up({adapterNamed("a")});
    Offer offer = offerOf("x");
    offer.timeLeftMicros_ = 1'000'000;
    door.say(offer);
    offer = offerOf("queued", "b");
    offer.timeLeftMicros_ = 1'000'000;
    door.say(offer);
    offer = offerOf("late");
    offer.timeLeftMicros_ = 0;
    door.say(offer);
    BOOST_TEST(door.refused("late") == Reason::DeadlinePassed);
    door.advance(std::chrono::seconds(2));
    BOOST_TEST(door.refused("queued") == Reason::DeadlinePassed);
    BOOST_TEST(door.commands<CancelRun>().size() == 1U);
    door.event(RunFailed{{"x"}, true});
    BOOST_TEST(door.failed("x").reason_ == Reason::DeadlinePassed);
}

BOOST_AUTO_TEST_CASE(leavingDoorFinishesWhatItAccepted)
{
    DoorFixture door;
    door.up({adapterNamed("a")});
    door.say(offerOf("x"));
    door.say(offerOf("queued", "b"));
    door.clear();
    door.give(Leave{});
    BOOST_TEST(std::holds_alternative<Announce>(door.done_.at(0)));
    door.say(offerOf("new"));
    BOOST_TEST(door.refused("new") == Reason::Leaving);
    door.event(RunEnded{{"x"}, 1});
    door.event(OrderEnded{1, OrderKind::Load, adapterNamed("b"), OrderOutcome::Done});
    BOOST_TEST(door.started("queued"));
    door.event(RunEnded{{"queued"}, 1});
    door.say(AnswerReceived{{"x"}});
    BOOST_TEST(!drained(door.door_));
    door.advance(std::chrono::seconds(6));
    BOOST_TEST(drained(door.door_));
}

BOOST_AUTO_TEST_CASE(keysAndRoutesAreHeldAgainstOwnRules)
{
    DoorFixture door;
    door.up({adapterNamed("a")});
    Offer newer = offerOf("newer");
    newer.rulesRevision_ = {2};
    newer.keyId_ = {"k9"};
    door.say(newer);
    BOOST_TEST(door.refused("newer") == Reason::RulesStale);
    BOOST_TEST(door.sent<RulesRequest>().size() == 1U);
    Offer gone = offerOf("gone");
    gone.keyId_ = {"k9"};
    door.say(gone);
    BOOST_TEST(door.refused("gone") == Reason::KeyWithdrawn);
    Offer other = offerOf("other");
    other.account_ = {"account2"};
    door.say(other);
    BOOST_TEST(door.refused("other") == Reason::KeyWithdrawn);
    Offer keyless = offerOf("keyless");
    keyless.keyId_ = {};
    door.say(keyless);
    BOOST_TEST(door.refused("keyless") == Reason::UnknownRoute);
    Offer open = offerOf("open", "open");
    open.keyId_ = {};
    open.adapter_ = adapterNamed("a");
    door.say(open);
    BOOST_TEST(door.started("open"));
    Offer version = offerOf("version");
    version.adapter_ = adapterNamed("a", "2");
    door.say(version);
    BOOST_TEST(door.refused("version") == Reason::RulesStale);
}

BOOST_AUTO_TEST_CASE(queuedWorkOfAWithdrawnKeyIsRefusedAndRunningWorkFinishes)
{
    DoorFixture door;
    door.up({adapterNamed("a")});
    door.say(offerOf("running"));
    door.say(offerOf("queued", "b"));
    door.say(offerOf("moved", "c", "2"));
    Rules rules = rulesAt(2);
    rules.keys_.erase({"k1"});
    rules.routes_.at({"c"}).adapter_ = adapterNamed("c", "2");
    door.give(RulesReceived{rules});
    BOOST_TEST(door.refused("queued") == Reason::KeyWithdrawn);
    BOOST_TEST(door.refused("moved") == Reason::RulesStale);
    BOOST_TEST(door.refused("running") == Reason::None);
    door.give(RulesReceived{rulesAt(1)});
    BOOST_TEST(door.door_.rules_.revision_.value_ == 2U);
}

BOOST_AUTO_TEST_CASE(longSilenceOfAllRuleSourcesStopsKeyedRoutes)
{
    DoorFixture door;
    door.up({adapterNamed("a")});
    door.now_ += std::chrono::hours(5);
    door.say(offerOf("x"));
    BOOST_TEST(door.refused("x") == Reason::RulesStale);
    door.give(RulesConfirmed{});
    door.say(offerOf("y"));
    BOOST_TEST(door.refused("y") == Reason::None);
}

BOOST_AUTO_TEST_CASE(fullQueueRefusesWithATimeToWait)
{
    DoorFixture door;
    door.up();
    for (int number = 0; number < 9; ++number)
        door.say(offerOf("x" + std::to_string(number)));
    BOOST_TEST(door.refused("x8") == Reason::QueueFull);
    BOOST_TEST(door.sent<OfferRefused>().at(0).retryAfterMillis_ > 0);
}
