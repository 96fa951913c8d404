#include "Edge/buffers.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace eelgrasscove;

namespace {

constexpr std::size_t limit = 1000;

std::vector<Buffer> buffersOf(const std::vector<std::size_t> &sizes)
{
    std::vector<Buffer> buffers;
    buffers.reserve(sizes.size());
    for (const std::size_t size : sizes)
        buffers.push_back({BufferKind::Response, size});
    return buffers;
}

} // namespace

BOOST_AUTO_TEST_CASE(no_buffer_is_given_up_within_the_limit)
{
    BOOST_TEST(buffersToGiveUp({}, limit).empty());
    BOOST_TEST(buffersToGiveUp(buffersOf({400, 600}), limit).empty());
}

BOOST_AUTO_TEST_CASE(largest_buffers_are_given_up_and_small_ones_go_on)
{
    const std::vector<std::size_t> expected = {1, 3};
    BOOST_TEST(buffersToGiveUp(buffersOf({10, 900, 20, 700, 400}), limit) == expected,
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(buffers_that_are_left_fit_the_limit_and_no_more_than_needed_are_given_up)
{
    for (unsigned seed = 1; seed <= 200; ++seed) {
        std::mt19937 random(seed);
        std::vector<std::size_t> sizes(std::uniform_int_distribution<std::size_t>(0, 40)(random));
        for (std::size_t &size : sizes)
            size = std::uniform_int_distribution<std::size_t>(0, 300)(random);
        const std::vector<Buffer> buffers = buffersOf(sizes);
        std::size_t left = totalBytes(buffers);
        std::size_t smallestGivenUp = limit;
        for (const std::size_t index : buffersToGiveUp(buffers, limit)) {
            BOOST_TEST(left > limit, "seed " << seed);
            left -= sizes[index];
            smallestGivenUp = std::min(smallestGivenUp, sizes[index]);
            sizes[index] = 0;
        }
        BOOST_TEST(left <= limit, "seed " << seed);
        for (const std::size_t size : sizes)
            BOOST_TEST(size <= smallestGivenUp, "seed " << seed);
    }
}
