#include "platform/responsewire.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrasscove;

namespace {

HttpHead responseWith(const std::vector<HttpHeader> &headers)
{
    HttpHead head;
    head.status_ = 503;
    head.headers_ = headers;
    return head;
}

} // namespace

BOOST_AUTO_TEST_SUITE(responsewire)

BOOST_AUTO_TEST_CASE(only_the_value_1_says_that_a_target_leaves)
{
    for (const char *value : {"1", " 1", "1\t"})
        BOOST_TEST(wire::isLeaving(responseWith({{"server-leaving", value}})), value);
    for (const char *value : {"", "0", "2", "11", "1.0", "-1", "true", "yes", "1, 0"})
        BOOST_TEST(!wire::isLeaving(responseWith({{"Server-Leaving", value}})), value);
    BOOST_TEST(!wire::isLeaving(responseWith({{"Server", "1"}, {"Leaving", "1"}})));
    BOOST_TEST(!wire::isLeaving(responseWith({})));
}

BOOST_AUTO_TEST_CASE(one_of_several_headers_is_enough_to_say_that_a_target_leaves)
{
    BOOST_TEST(wire::isLeaving(responseWith({{"Server-Leaving", "0"}, {"Server-Leaving", "1"}})));
}

BOOST_AUTO_TEST_SUITE_END()
