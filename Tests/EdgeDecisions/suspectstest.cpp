#include "Edge/suspects.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrasscove;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(crashcounts)

BOOST_AUTO_TEST_CASE(the_request_hash_depends_on_path_caller_and_body)
{
    const std::uint64_t first = suspectHash("/ask/1", "key", "body");
    BOOST_TEST(first == suspectHash("/ask/1", "key", "body"));
    BOOST_TEST(first != suspectHash("/ask/2", "key", "body"));
    BOOST_TEST(first != suspectHash("/ask/1", "other", "body"));
    BOOST_TEST(first != suspectHash("/ask/1", "key", "other"));
}

BOOST_AUTO_TEST_CASE(a_request_is_refused_at_two_crashes_over_all_entries_until_they_expire)
{
    Suspects counts;
    countCrash(counts, 7, Time(1s));
    BOOST_TEST(!isCrasher(counts, 7));
    hearCrashes(counts, 7, 1, Time(2s));
    BOOST_TEST(isCrasher(counts, 7));
    BOOST_TEST(!isCrasher(counts, 8));
    expireSuspects(counts, Time(100s));
    BOOST_TEST(!isCrasher(counts, 7));
}

BOOST_AUTO_TEST_SUITE_END()
