#include "Agent/agent.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrasscove;

// Guards against a fencing number below that of the agent before, taken from a restored store.
BOOST_AUTO_TEST_CASE(fencing_number_rises_although_a_restored_store_gives_revisions_out_again)
{
    BOOST_TEST(fencingNumberOf(0, 41) == 41U);
    BOOST_TEST(fencingNumberOf(0, 42) > fencingNumberOf(0, 41));
    BOOST_TEST(fencingNumberOf(1, 12) > fencingNumberOf(0, 1'000'000'000));
    BOOST_TEST(fencingNumberOf(8, 3) > fencingNumberOf(7, 2'000'000'000));
    constexpr std::uint64_t maxExactDouble = 1ULL << 53U;
    BOOST_TEST(fencingNumberOf(~0ULL, (1ULL << 40U) - 1) < maxExactDouble);
}
