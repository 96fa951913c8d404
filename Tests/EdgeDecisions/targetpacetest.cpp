#include "Edge/targetpace.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrasscove;
using namespace std::chrono_literals;

namespace {

const Time now = Time(100s);

} // namespace

BOOST_AUTO_TEST_CASE(a_stated_slow_time_counts_less_the_older_it_is)
{
    // Guards against a slow span that keeps requests away long after it has passed.
    struct Row
    {
        std::uint32_t percent_;
        Duration age_;
        double factor_;
    };
    const std::vector<Row> rows = {
        {250, 0ms, 2.5},   {250, 200ms, 1.75}, {250, 400ms, 1.375}, {100, 0ms, 1},
        {50, 0ms, 0.5},    {1, 0ms, 0.5},      {1, 200ms, 0.505},   {0, 0ms, 1},
        {250, -50ms, 2.5}, {10000, 0ms, 100},
    };
    for (const Row &row : rows) {
        const double factor = transientFactor({row.percent_, now - row.age_}, now);
        BOOST_TEST(factor == row.factor_, boost::test_tools::tolerance(1e-9));
    }
    BOOST_TEST(transientFactor({10000, now - 1h}, now) == 1);
}
