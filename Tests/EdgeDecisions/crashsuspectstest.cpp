#include "Edge/crashsuspects.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrasscove;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(crashcounts)

BOOST_AUTO_TEST_CASE(the_request_hash_depends_on_path_caller_and_body)
{
    const std::uint64_t first = requestHash("/ask/1", "key", "body");
    BOOST_TEST(first == requestHash("/ask/1", "key", "body"));
    BOOST_TEST(first != requestHash("/ask/2", "key", "body"));
    BOOST_TEST(first != requestHash("/ask/1", "other", "body"));
    BOOST_TEST(first != requestHash("/ask/1", "key", "other"));
}

BOOST_AUTO_TEST_CASE(a_request_is_refused_at_two_crashes_over_all_entries_until_they_expire)
{
    CrashSuspects counts;
    recordCrash(counts, 7, Time(1s));
    BOOST_TEST(!hasReachedCrashLimit(counts, 7));
    recordPeerCrashes(counts, 7, 1, Time(2s));
    BOOST_TEST(hasReachedCrashLimit(counts, 7));
    BOOST_TEST(!hasReachedCrashLimit(counts, 8));
    removeExpiredCrashSuspects(counts, Time(100s));
    BOOST_TEST(!hasReachedCrashLimit(counts, 7));
}

BOOST_AUTO_TEST_SUITE_END()
