#include "Edge/adapterversions.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrasscove;
using namespace std::chrono_literals;

namespace {

constexpr Duration overlap = 3500ms;

AdapterVersionHistory historyOf(const std::vector<NamedVersion> &names)
{
    AdapterVersionHistory history;
    for (const NamedVersion &named : names)
        BOOST_TEST(recordVersion(history, named, overlap, named.namedAt_));
    return history;
}

} // namespace

BOOST_AUTO_TEST_CASE(an_older_version_may_be_used_for_a_while_after_the_next_is_named)
{
    const AdapterVersionHistory history = historyOf({{2, Time(10s)}});
    BOOST_TEST(minUsableVersion(history, overlap, Time(13s)) == 0U);
    BOOST_TEST(minUsableVersion(history, overlap, Time(14s)) == 2U);
}

BOOST_AUTO_TEST_CASE(a_further_name_does_not_allow_a_replaced_version_again)
{
    const AdapterVersionHistory history = historyOf({{2, Time(10s)}, {3, Time(24s)}});
    BOOST_TEST(minUsableVersion(history, overlap, Time(24s)) == 2U);
    BOOST_TEST(minUsableVersion(history, overlap, Time(28s)) == 3U);
}

BOOST_AUTO_TEST_CASE(versions_named_in_quick_succession_are_required_one_after_the_other)
{
    AdapterVersionHistory history;
    for (std::uint64_t version = 2; version <= 1000; ++version) {
        const Time namedAt(version * 100ms);
        BOOST_TEST(recordVersion(history, {version, namedAt}, overlap, namedAt));
        BOOST_TEST(history.recent_.size() <= overlap / 100ms + 1);
        const Time now = namedAt + 50ms;
        const std::uint64_t expected = version < 37 ? 0 : version - 35;
        BOOST_TEST(minUsableVersion(history, overlap, now) == expected);
    }
}

BOOST_AUTO_TEST_CASE(versions_that_are_not_newer_are_ignored)
{
    AdapterVersionHistory history = historyOf({{4, Time(10s)}});
    BOOST_TEST(!recordVersion(history, {4, Time(20s)}, overlap, Time(20s)));
    BOOST_TEST(!recordVersion(history, {3, Time(20s)}, overlap, Time(20s)));
    BOOST_TEST(history.newest_ == 4U);
    BOOST_TEST(minUsableVersion(history, overlap, Time(14s)) == 4U);
}

BOOST_AUTO_TEST_CASE(a_name_that_dates_back_is_required_before_those_received_earlier)
{
    AdapterVersionHistory history = historyOf({{2, Time(20s)}});
    BOOST_TEST(recordVersion(history, {3, Time(18s)}, overlap, Time(21s)));
    BOOST_TEST(minUsableVersion(history, overlap, Time(22s)) == 3U);
}

BOOST_AUTO_TEST_CASE(requests_may_begin_on_a_version_until_the_bound_of_the_next_one)
{
    AdapterVersionHistory history;
    BOOST_TEST((beginDeadline(history, 1, 4s) == Time::max()));
    recordVersion(history, {2, Time(10s)}, 3s, Time(10s));
    recordVersion(history, {3, Time(12s)}, 3s, Time(12s));
    BOOST_TEST((beginDeadline(history, 3, 4s) == Time::max()));
    BOOST_TEST((beginDeadline(history, 2, 4s) == Time(16s)));
    BOOST_TEST((beginDeadline(history, 1, 4s) == Time(14s)));
    // Version 3 has become the required one.
    recordVersion(history, {4, Time(20s)}, 3s, Time(20s));
    BOOST_TEST((beginDeadline(history, 2, 4s) == Time{}));
}
