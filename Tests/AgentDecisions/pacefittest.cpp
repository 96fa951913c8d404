#include "Agent/pacefit.h"
#include "Peer/pacecode.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <limits>
#include <random>

using namespace eelgrasscove;

namespace {

/// First events of an engine that takes this many milliseconds a token.
FirstEventSums sumsOf(std::uint16_t count, double millisPerToken, double tokens = 1000)
{
    const double sum = tokens * count;
    return {count, static_cast<float>(sum), static_cast<float>(sum * millisPerToken)};
}

} // namespace

BOOST_AUTO_TEST_CASE(pace_is_encoded_in_steps_of_four_percent)
{
    for (const double nanos : {100.0, 20'000.0, 34'000.0, 125'000.0, 3'000'000.0}) {
        const double decoded = decodePace(encodePace(nanos));
        BOOST_TEST(decoded == nanos, boost::test_tools::tolerance(0.023));
    }
    BOOST_TEST(encodePace(1) == 1);
    BOOST_TEST(encodePace(1e12) == 255);
    for (const double nanos : {0.0, -1.0, std::nan(""), HUGE_VAL})
        BOOST_TEST(encodePace(nanos) == 0);
    BOOST_TEST(decodePace(0) == 0);
}

BOOST_AUTO_TEST_CASE(pace_is_reported_after_enough_first_events)
{
    // Guards against a pace that moves adapters after a handful of requests.
    PaceFit fit;
    BOOST_TEST(addFirstEvents(fit, sumsOf(20, 0.034)));
    BOOST_TEST(fit.reported_ == 0);
    BOOST_TEST(addFirstEvents(fit, sumsOf(20, 0.034)));
    BOOST_TEST(fit.reported_ == encodePace(34'000));
}

BOOST_AUTO_TEST_CASE(reported_pace_changes_only_when_the_fit_differs_clearly)
{
    // Guards against entries that compute with different paces because the fit varies a little.
    PaceFit fit;
    addFirstEvents(fit, sumsOf(1000, 0.034));
    const std::uint8_t first = fit.reported_;
    std::mt19937 random(5);
    for (int round = 0; round < 1000; ++round) {
        const double factor = std::uniform_real_distribution<double>(0.95, 1.05)(random);
        addFirstEvents(fit, sumsOf(10, 0.034 * factor));
        BOOST_REQUIRE_EQUAL(fit.reported_, first);
    }
    for (int round = 0; round < 1000; ++round)
        addFirstEvents(fit, sumsOf(10, 0.034 * 2.4));
    BOOST_TEST(std::abs(fit.reported_ - encodePace(34'000 * 2.4)) <= 2);
}

BOOST_AUTO_TEST_CASE(sums_that_are_not_those_of_first_events_are_ignored)
{
    // Guards against one entry's wrong message that makes a target unusable for all.
    const float nan = std::numeric_limits<float>::quiet_NaN();
    const float infinite = std::numeric_limits<float>::infinity();
    const float most = std::numeric_limits<float>::max();
    PaceFit fit;
    addFirstEvents(fit, sumsOf(100, 0.034));
    const PaceFit before = fit;
    for (const FirstEventSums &wrong : std::vector<FirstEventSums>{
             {0, 1e3F, 1e2F},
             {1, 0, 1e2F},
             {1, -1e3F, 1e2F},
             {1, 1e3F, -1e2F},
             {1, nan, 1e2F},
             {1, 1e3F, nan},
             {1, infinite, 1e2F},
             {1, 1e3F, infinite},
             {1, -infinite, 1e2F},
             {1, 1e3F, -infinite},
             {1, 2e7F, 1e2F},
             {65'535, most, 1e2F},
             {1, 1e3F, 1e6F},
             {65'535, 1e3F, most},
         }) {
        BOOST_TEST(!addFirstEvents(fit, wrong));
        BOOST_TEST(fit.count_ == before.count_);
        BOOST_TEST(fit.tokens_ == before.tokens_);
        BOOST_TEST(fit.millis_ == before.millis_);
        BOOST_TEST(fit.reported_ == before.reported_);
    }
}
