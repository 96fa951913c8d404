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
