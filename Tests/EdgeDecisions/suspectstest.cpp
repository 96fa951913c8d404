#include "Edge/suspects.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrasscove;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(suspects)

BOOST_AUTO_TEST_CASE(a_request_is_known_again_by_path_caller_and_body)
{
    const std::uint64_t first = suspectHash("/ask/1", "key", "body");
    BOOST_TEST(first == suspectHash("/ask/1", "key", "body"));
    BOOST_TEST(first != suspectHash("/ask/2", "key", "body"));
    BOOST_TEST(first != suspectHash("/ask/1", "other", "body"));
    BOOST_TEST(first != suspectHash("/ask/1", "key", "other"));
}

BOOST_AUTO_TEST_CASE(crashes_count_over_entries_and_one_alone_refuses_nothing)
{
    Suspects suspects;
    countCrash(suspects, 7, Time(1s));
    BOOST_TEST(!isCrasher(suspects, 7));
    hearCrashes(suspects, 7, 1, Time(2s));
    BOOST_TEST(isCrasher(suspects, 7));
    BOOST_TEST(!isCrasher(suspects, 8));
    expireSuspects(suspects, Time(100s));
    BOOST_TEST(!isCrasher(suspects, 7));
}

BOOST_AUTO_TEST_SUITE_END()
