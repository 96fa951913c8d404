#include "Agent/pacefit.h"
#include "Peer/pacecode.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <limits>
#include <random>

using namespace eelgrasscove;

namespace {

EventIntervalSums sumsOf(std::uint16_t streams, double millis)
{
    return {streams, static_cast<float>(streams * millis)};
}

} // namespace

BOOST_AUTO_TEST_CASE(pace_is_encoded_in_steps_of_four_percent)
{
    for (const double micros : {20.0, 5'000.0, 34'000.0, 125'000.0, 900'000.0}) {
        const double decoded = decodePace(encodePace(micros));
        BOOST_TEST(decoded == micros, boost::test_tools::tolerance(0.023));
    }
    BOOST_TEST(encodePace(1) == 1);
    BOOST_TEST(encodePace(1e12) == 255);
    for (const double micros : {0.0, -1.0, std::nan(""), HUGE_VAL})
        BOOST_TEST(encodePace(micros) == 0);
    BOOST_TEST(decodePace(0) == 0);
}

BOOST_AUTO_TEST_CASE(pace_is_reported_after_enough_streams)
{
    // Guards against a pace that moves adapters after a handful of streams.
    PaceFit fit;
    BOOST_TEST(addEventIntervals(fit, sumsOf(6, 34)));
    BOOST_TEST(fit.reported_ == 0);
    BOOST_TEST(addEventIntervals(fit, sumsOf(6, 34)));
    BOOST_TEST(fit.reported_ == encodePace(34'000));
}

BOOST_AUTO_TEST_CASE(reported_pace_changes_only_when_the_average_differs_clearly)
{
    // Guards against entries that compute with different paces because the average varies a little.
    PaceFit fit;
    addEventIntervals(fit, sumsOf(1000, 34));
    const std::uint8_t first = fit.reported_;
    std::mt19937 random(5);
    for (int round = 0; round < 1000; ++round) {
        const double factor = std::uniform_real_distribution<double>(0.95, 1.05)(random);
        addEventIntervals(fit, sumsOf(10, 34 * factor));
        BOOST_REQUIRE_EQUAL(fit.reported_, first);
    }
    for (int round = 0; round < 1000; ++round)
        addEventIntervals(fit, sumsOf(10, 34 * 2.4));
    BOOST_TEST(std::abs(fit.reported_ - encodePace(34'000 * 2.4)) <= 2);
}

BOOST_AUTO_TEST_CASE(sums_that_are_not_those_of_streams_are_ignored)
{
    // Guards against one entry's wrong message that makes a target unusable for all.
    const float nan = std::numeric_limits<float>::quiet_NaN();
    const float infinite = std::numeric_limits<float>::infinity();
    const float most = std::numeric_limits<float>::max();
    PaceFit fit;
    addEventIntervals(fit, sumsOf(100, 34));
    const PaceFit before = fit;
    for (const EventIntervalSums &wrong : std::vector<EventIntervalSums>{
             {0, 1e2F},
             {1, 0},
             {1, -1e2F},
             {1, nan},
             {1, infinite},
             {1, -infinite},
             {1, 1e6F},
             {65'535, most},
         }) {
        BOOST_TEST(!addEventIntervals(fit, wrong));
        BOOST_TEST(fit.streams_ == before.streams_);
        BOOST_TEST(fit.millis_ == before.millis_);
        BOOST_TEST(fit.reported_ == before.reported_);
    }
}
