#include "Edge/peercontact.h"

#include <boost/test/unit_test.hpp>

#include <limits>
#include <random>

using namespace eelgrasscove;
using namespace std::chrono_literals;

namespace {

EntryState messageOf(std::int64_t startedAt, std::int64_t timestamp)
{
    EntryState message;
    message.dataCentre_ = 7;
    message.startedAtMicros_ = startedAt;
    message.timestampMicros_ = timestamp;
    return message;
}

} // namespace

// Guards against rules that are confirmed in the future by a stamp from before a loss of power.
BOOST_AUTO_TEST_CASE(stamp_of_an_earlier_process_confirms_nothing)
{
    std::minstd_rand random(5);
    const auto draw = [&](std::int64_t most) {
        return std::uniform_int_distribution<std::int64_t>(0, most)(random);
    };
    for (int round = 0; round < 1000; ++round) {
        // The clock of the later process is lower, equal or higher than that of the earlier one.
        const Time earlierStart{Duration(draw(100'000'000))};
        const Time laterStart{Duration(draw(100'000'000))};
        const StampClock earlier{earlierStart, draw(maxStampOffsetMicros)};
        const StampClock later{laterStart, draw(maxStampOffsetMicros)};
        const Time sentAt = earlierStart + Duration(draw(100'000'000));
        const Time now = laterStart + Duration(draw(100'000'000));
        const PeerEcho echo{1, stampOf(earlier, sentAt), draw(10'000'000)};
        BOOST_REQUIRE(!sentAfter(later, echo, now));
    }
}

BOOST_AUTO_TEST_CASE(own_stamp_bounds_when_the_peer_sent_its_message)
{
    const StampClock clock{Time(10s), 123'456'789'012'345};
    const PeerEcho echo{1, stampOf(clock, Time(20s)), 500'000};
    BOOST_TEST((sentAfter(clock, echo, Time(21s)) == Time(20s) + 500ms));
    // The peer can't have held it for longer than it took, and not for less than no time.
    BOOST_TEST(!sentAfter(clock, {1, echo.timestampMicros_, 1'000'001}, Time(21s)));
    BOOST_TEST(!sentAfter(clock, {1, echo.timestampMicros_, -1}, Time(21s)));
    BOOST_TEST(!sentAfter(clock, echo, Time(19s)));
    constexpr std::int64_t most = std::numeric_limits<std::int64_t>::max();
    constexpr std::int64_t least = std::numeric_limits<std::int64_t>::min();
    for (const std::int64_t stamp : {most, least, std::int64_t{0}}) {
        for (const std::int64_t hold : {most, least, std::int64_t{0}})
            BOOST_TEST(!sentAfter(clock, {1, stamp, hold}, Time(21s)));
    }
}

// Guards against a restarted peer whose messages are ignored until its clock has caught up.
BOOST_AUTO_TEST_CASE(peer_that_started_anew_is_heard_whatever_its_clock_shows)
{
    PeerContact contact;
    BOOST_TEST(recordMessage(contact, messageOf(1000, 9000), Time(1s)));
    BOOST_TEST(recordMessage(contact, messageOf(1000, 9500), Time(2s)));
    BOOST_TEST(!recordMessage(contact, messageOf(1000, 9500), Time(2s)));
    contact.peerReceivedOursAt_ = Time(2s);
    BOOST_TEST(recordMessage(contact, messageOf(30, 40), Time(3s)));
    BOOST_TEST((contact.receivedAt_ == Time(3s)));
    BOOST_TEST((contact.peerReceivedOursAt_ == Time{}));
    // A late message of the process before.
    BOOST_TEST(!recordMessage(contact, messageOf(1000, 9900), Time(4s)));
    BOOST_TEST(recordMessage(contact, messageOf(30, 50), Time(5s)));
}
