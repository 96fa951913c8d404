#include "Edge/restoredentries.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrasscove;
using namespace std::chrono_literals;

namespace {

wire::StoreItem itemAt(std::uint64_t revision)
{
    wire::StoreItem item;
    item.key_ = "servers/a";
    item.revision_ = revision;
    return item;
}

} // namespace

BOOST_AUTO_TEST_CASE(entry_of_a_target_removed_before_the_restoration_is_held_until_it_would_expire)
{
    RestoredEntries entries;
    const TargetInstance removed{"a", 7};
    recordRemovedTarget(entries, removed, Time(10s));
    // Without a restoration the target has been listed anew.
    BOOST_TEST(!holdIfRemovedBefore(entries, removed, itemAt(5), 9, Time(11s)));
    recordRestoration(entries, Time(12s));
    BOOST_TEST(holdIfRemovedBefore(entries, removed, itemAt(5), 9, Time(12s)));
    BOOST_TEST(!holdIfRemovedBefore(entries, {"a", 8}, itemAt(5), 9, Time(12s)));
    BOOST_TEST(!holdIfRemovedBefore(entries, {"b", 7}, itemAt(5), 9, Time(12s)));
    // Written since the first list.
    BOOST_TEST(!holdIfRemovedBefore(entries, removed, itemAt(10), 9, Time(13s)));
    BOOST_TEST(takeExpiredEntries(entries, Time(16s)).empty());
    const auto expired = takeExpiredEntries(entries, Time(17s));
    BOOST_REQUIRE(expired.size() == 1U);
    BOOST_TEST(expired.front().revision_ == 5U);
    BOOST_TEST(takeExpiredEntries(entries, Time(18s)).empty());
    BOOST_TEST(!holdIfRemovedBefore(entries, removed, itemAt(5), 9, Time(18s)));
}

BOOST_AUTO_TEST_CASE(held_entry_is_dropped_when_the_store_removes_it)
{
    RestoredEntries entries;
    recordRemovedTarget(entries, {"a", 7}, Time(10s));
    recordRestoration(entries, Time(12s));
    BOOST_TEST(holdIfRemovedBefore(entries, {"a", 7}, itemAt(5), 9, Time(12s)));
    releaseEntry(entries, "a");
    BOOST_TEST(takeExpiredEntries(entries, Time(20s)).empty());
}

BOOST_AUTO_TEST_CASE(removal_after_the_restoration_holds_nothing_back)
{
    RestoredEntries entries;
    recordRestoration(entries, Time(12s));
    recordRemovedTarget(entries, {"a", 7}, Time(13s));
    BOOST_TEST(!holdIfRemovedBefore(entries, {"a", 7}, itemAt(5), 9, Time(14s)));
}

BOOST_AUTO_TEST_CASE(old_removals_are_forgotten)
{
    RestoredEntries entries;
    recordRemovedTarget(entries, {"a", 7}, Time(10s));
    takeExpiredEntries(entries, Time(200s));
    BOOST_TEST(entries.removed_.empty());
}
