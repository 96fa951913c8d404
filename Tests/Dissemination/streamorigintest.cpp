#include "Peer/streamorigin.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>
#include <set>

using namespace eelgrasscove;
using namespace std::chrono_literals;

namespace {

std::vector<std::string> hostsFrom(int first, int count)
{
    std::vector<std::string> hosts;
    for (int host = first; host < first + count; ++host)
        hosts.push_back("10.1.0." + std::to_string(host));
    return hosts;
}

} // namespace

BOOST_AUTO_TEST_CASE(keepers_are_the_same_for_any_order_of_the_hosts)
{
    std::vector<std::string> hosts = hostsFrom(1, 18);
    std::minstd_rand random(7);
    for (StreamHash stream = 0; stream < 50; ++stream) {
        const auto expected = originKeepers(hosts, stream, originCopies);
        BOOST_TEST(expected.size() == originCopies);
        std::shuffle(hosts.begin(), hosts.end(), random);
        std::vector<std::string> repeated = hosts;
        repeated.push_back(hosts.front());
        BOOST_TEST(originKeepers(repeated, stream, originCopies) == expected,
                   boost::test_tools::per_element());
    }
    BOOST_TEST(originKeepers(hostsFrom(1, 2), 9, originCopies).size() == 2U);
    BOOST_TEST(originKeepers({}, 9, originCopies).empty());
}

// Guards against streams that can't go on since half of the targets were replaced.
BOOST_AUTO_TEST_CASE(most_streams_have_a_queried_keeper_after_half_of_the_hosts_were_replaced)
{
    constexpr int streams = 1000;
    int found = 0;
    for (StreamHash stream = 1; stream <= streams; ++stream) {
        const auto reported = originKeepers(hostsFrom(1, 18), stream * 0x9e3779b97f4a7c15, 3);
        const auto queried =
            originKeepers(hostsFrom(10, 18), stream * 0x9e3779b97f4a7c15, queriedKeepers);
        found +=
            std::any_of(reported.begin(), reported.end(),
                        [&](const std::string &host) {
                            return std::find(queried.begin(), queried.end(), host) != queried.end();
                        })
            ? 1
            : 0;
    }
    // Of the hosts that kept an origin, an eighth of the streams has lost all.
    BOOST_TEST(found > streams * 3 / 4);
}

BOOST_AUTO_TEST_CASE(names_that_differ_in_their_parts_give_other_hashes)
{
    std::set<StreamHash> streams = {streamHash("shed", "r1"), streamHash("barn", "r1"),
                                    streamHash("shed", "r2"), streamHash("shedr", "1"),
                                    streamHash("", "shedr1")};
    BOOST_TEST(streams.size() == 5U);
    BOOST_TEST(softwareVersionHash("mind", "v1") != softwareVersionHash("ledger", "v1"));
    BOOST_TEST(softwareVersionHash("mind", "v1") != softwareVersionHash("mind", "v1.1"));
    BOOST_TEST(softwareVersionHash("mind", "") == 0U);
}

BOOST_AUTO_TEST_CASE(origin_is_kept_for_the_time_that_the_report_says)
{
    KeptOrigins kept;
    BOOST_TEST(keepOrigin(kept, {1, 7, 2000}, Time(10s)));
    BOOST_TEST(originOf(kept, 1, Time(11s)) == 7U);
    BOOST_TEST(originOf(kept, 2, Time(11s)) == 0U);
    BOOST_TEST(originOf(kept, 1, Time(12s)) == 0U);
    removeExpiredOrigins(kept, Time(12s));
    BOOST_TEST(kept.origins_.empty());
    // However long a client says that it waits.
    BOOST_TEST(keepOrigin(kept, {3, 7, ~0U}, Time(20s)));
    BOOST_TEST(originOf(kept, 3, Time(20s) + 6min) == 0U);
}

BOOST_AUTO_TEST_CASE(stream_reported_with_two_versions_is_not_known)
{
    KeptOrigins kept;
    BOOST_TEST(keepOrigin(kept, {1, 7, 2000}, Time(10s)));
    BOOST_TEST(keepOrigin(kept, {1, 7, 2000}, Time(10s)));
    BOOST_TEST(originOf(kept, 1, Time(11s)) == 7U);
    BOOST_TEST(keepOrigin(kept, {1, 8, 2000}, Time(11s)));
    BOOST_TEST(originOf(kept, 1, Time(11s)) == 0U);
    BOOST_TEST(keepOrigin(kept, {1, 7, 2000}, Time(11s)));
    BOOST_TEST(originOf(kept, 1, Time(12s)) == 0U);
}

BOOST_AUTO_TEST_CASE(kept_origins_are_bounded)
{
    KeptOrigins kept;
    StreamHash stream = 0;
    while (stream < 1'000'000 && keepOrigin(kept, {++stream, 7, 60'000}, Time(10s))) { }
    BOOST_TEST(kept.origins_.size() < 100'000U);
    BOOST_TEST(!keepOrigin(kept, {++stream, 7, 60'000}, Time(10s)));
    BOOST_TEST(originOf(kept, 1, Time(11s)) == 7U);
}

BOOST_AUTO_TEST_CASE(lookup_ends_when_all_keepers_have_answered_or_its_time_has_passed)
{
    OriginLookup lookup{{"a", "b"}, Time(10s), Time(10s)};
    BOOST_TEST((progressOf(lookup, Time(10s)) == LookupProgress::Open));
    BOOST_TEST((progressOf(lookup, Time(10s) + 100ms) == LookupProgress::QueryDue));
    BOOST_TEST((progressOf(lookup, Time(10s) + 300ms) == LookupProgress::Unknown));
    recordUnknownAt(lookup, "a");
    recordUnknownAt(lookup, "c");
    BOOST_TEST((progressOf(lookup, Time(10s)) == LookupProgress::Open));
    recordUnknownAt(lookup, "b");
    BOOST_TEST((progressOf(lookup, Time(10s)) == LookupProgress::Unknown));
}

BOOST_AUTO_TEST_CASE(messages_about_origins_are_read_as_they_were_written)
{
    const auto report = decodePeerMessage(encodePeerMessage(StreamOriginReport{~0ULL, 7, 900}));
    BOOST_REQUIRE((report && std::holds_alternative<StreamOriginReport>(*report)));
    BOOST_TEST(std::get<StreamOriginReport>(*report).stream_ == ~0ULL);
    BOOST_TEST(std::get<StreamOriginReport>(*report).version_ == 7U);
    BOOST_TEST(std::get<StreamOriginReport>(*report).validMillis_ == 900U);
    const auto query = decodePeerMessage(encodePeerMessage(StreamOriginQuery{5}));
    BOOST_REQUIRE((query && std::holds_alternative<StreamOriginQuery>(*query)));
    BOOST_TEST(std::get<StreamOriginQuery>(*query).stream_ == 5U);
    const auto response = decodePeerMessage(encodePeerMessage(StreamOriginResponse{5, 9}));
    BOOST_REQUIRE((response && std::holds_alternative<StreamOriginResponse>(*response)));
    BOOST_TEST(std::get<StreamOriginResponse>(*response).version_ == 9U);
}
