#include "Store/leasedkeys.h"
#include "Store/registration.h"
#include "Store/storefeed.h"

#include "../Shared/servingstandins.h"

#include <boost/test/unit_test.hpp>

using namespace standins;

namespace {

/// A feed of "op/" at a store that is restored from a copy, and the keys that the feed has
/// reported.
struct RestoredStore
{
    explicit RestoredStore(int port, Duration wait = 300ms)
        : loop_(*new EventLoop), store_(*new Store(loop_, fmt::format("127.0.0.1:{}", port)))
    {
        parseEndpoint(fmt::format("127.0.0.1:{}", port), endpoint_);
        store_.era_ = 1;
        store_.put("op/config", "one");
        feed_ = new StoreFeed(loop_, endpoint_, era_, {"op/", wait, 0ms},
                              {[this](const auto &items) {
                                   reported_.clear();
                                   for (const auto &item : items)
                                       reported_[item.key_] = item.value_;
                               },
                               [this](const auto &item) {
                                   if (item.isDeleted_)
                                       reported_.erase(item.key_);
                                   else
                                       reported_[item.key_] = item.value_;
                               },
                               [](bool) {}});
        feed_->start();
        BOOST_REQUIRE(waitForValue("one"));
    }

    bool waitForValue(const std::string &value, Duration most = 2s)
    {
        return turnUntil(loop_, most, [&] {
            const auto found = reported_.find("op/config");
            return found != reported_.end() && found->second == value;
        });
    }

    /// Takes a copy, then writes keys that the feed learns of.
    void takeCopyAndWrite()
    {
        copy_ = store_.copy();
        for (int key = 0; key < 5; ++key)
            store_.put("op/version/" + std::to_string(key), "x");
        store_.put("op/config", "two");
        BOOST_REQUIRE(waitForValue("two"));
    }

    /// Restores the copy; the operator writes a value below the feed's revision, and changes of
    /// other keys take the store past it.
    void restoreAndPass(const std::string &value)
    {
        const std::uint64_t before = store_.revision_;
        store_.restore(copy_);
        store_.put("op/config", value);
        BOOST_REQUIRE(store_.revision_ < before);
        while (store_.revision_ <= before + 5)
            store_.put("servers/x", "beat");
    }

    /// The store is away for the given time, during which it is restored.
    void restoreInOutage(StoreFault fault, Duration span, const std::string &value)
    {
        store_.fault_ = fault;
        store_.cutWatches();
        turnFor(loop_, span);
        restoreAndPass(value);
        store_.fault_ = StoreFault::None;
    }

    EventLoop &loop_;
    Store &store_;
    Endpoint endpoint_;
    StoreEra &era_ = *new StoreEra;
    StoreFeed *feed_ = nullptr;
    Store::Copy copy_;
    std::map<std::string, std::string> reported_;
};

} // namespace

BOOST_AUTO_TEST_CASE(change_written_below_the_known_revision_of_a_restored_store_is_reported)
{
    int port = 17361;
    for (const StoreFault fault : {StoreFault::Silent, StoreFault::Busy, StoreFault::Reset}) {
        RestoredStore restored(port++);
        restored.takeCopyAndWrite();
        restored.restoreInOutage(fault, 600ms, "three");
        BOOST_TEST(restored.waitForValue("three"));
        BOOST_TEST(restored.reported_.size() == 1U);
    }
}

BOOST_AUTO_TEST_CASE(change_is_reported_if_the_watch_goes_on_while_the_store_is_restored)
{
    RestoredStore restored(17364);
    restored.takeCopyAndWrite();
    restored.restoreAndPass("three");
    BOOST_TEST(restored.waitForValue("three"));
}

BOOST_AUTO_TEST_CASE(confirmation_learns_that_the_store_was_restored_during_a_long_watch)
{
    RestoredStore restored(17365, 20s);
    restored.takeCopyAndWrite();
    restored.restoreAndPass("three");
    restored.feed_->confirmNow();
    BOOST_TEST(restored.waitForValue("three"));
}

BOOST_AUTO_TEST_CASE(two_restorations_in_a_row_lose_no_change)
{
    RestoredStore restored(17366);
    restored.takeCopyAndWrite();
    restored.restoreInOutage(StoreFault::Reset, 300ms, "three");
    turnFor(restored.loop_, 400ms);
    restored.restoreInOutage(StoreFault::Silent, 300ms, "four");
    BOOST_TEST(restored.waitForValue("four", 4s));
}

BOOST_AUTO_TEST_CASE(late_response_of_the_era_before_changes_nothing)
{
    RestoredStore restored(17367);
    restored.takeCopyAndWrite();
    // The answer to the waiting watch stays on its way while the store is restored.
    restored.store_.delay_ = 700ms;
    restored.store_.put("op/config", "lost");
    restored.store_.delay_ = 0ms;
    restored.restoreAndPass("three");
    restored.feed_->confirmNow();
    BOOST_REQUIRE(restored.waitForValue("three"));
    turnFor(restored.loop_, 1s);
    BOOST_TEST(restored.reported_["op/config"] == "three");
}

BOOST_AUTO_TEST_CASE(restored_store_confirms_nothing_until_lost_changes_can_be_written_again)
{
    RestoredStore restored(17368);
    restored.takeCopyAndWrite();
    const Time acknowledged = bootNow();
    restored.store_.put("op/config", "acknowledged and lost");
    restored.store_.cutWatches();
    restored.store_.restore(restored.copy_);
    turnFor(restored.loop_, 1500ms);
    BOOST_TEST((*restored.feed_->confirmedAt() <= acknowledged));
    restored.store_.put("op/config", "three");
    BOOST_TEST(restored.waitForValue("three"));
    BOOST_TEST(turnUntil(restored.loop_, 3s,
                         [&] { return *restored.feed_->confirmedAt() > acknowledged; }));
}

BOOST_AUTO_TEST_CASE(pages_of_two_eras_make_up_no_list)
{
    RestoredStore restored(17369);
    restored.store_.pageItems_ = 1;
    for (const char *key : {"op/a", "op/b", "op/c"})
        restored.store_.put(key, "x");
    restored.copy_ = restored.store_.copy();
    restored.store_.remove("op/a");
    BOOST_REQUIRE(
        turnUntil(restored.loop_, 2s, [&] { return !restored.reported_.contains("op/a"); }));
    // A second reader's list, whose first page comes before the restoration.
    std::vector<std::string> listed;
    auto &keys = *new LeasedKeys(restored.loop_, restored.endpoint_, restored.era_, "op/", 60s);
    keys.list([&](const auto &items) {
        for (const wire::StoreItem &item : items)
            listed.push_back(item.key_);
    });
    const std::size_t calls = restored.store_.calls("kv-range");
    restored.store_.delay_ = 50ms;
    BOOST_REQUIRE(turnUntil(restored.loop_, 2s,
                            [&] { return restored.store_.calls("kv-range") == calls + 1; }));
    restored.store_.restore(restored.copy_);
    restored.store_.delay_ = 0ms;
    BOOST_TEST(turnUntil(restored.loop_, 3s, [&] { return !listed.empty(); }));
    BOOST_TEST(listed == (std::vector<std::string>{"op/a", "op/b", "op/c", "op/config"}),
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(registration_lost_by_a_restored_store_is_written_again)
{
    RestoredStore restored(17370);
    restored.copy_ = restored.store_.copy();
    const std::string key = "eelgrasscove/entry/a";
    auto &registration =
        *new Registration(restored.loop_, restored.endpoint_, restored.era_, key, "10.0.0.1:7600");
    registration.start();
    BOOST_REQUIRE(
        turnUntil(restored.loop_, 2s, [&] { return restored.store_.items_.contains(key); }));
    restored.store_.restore(restored.copy_);
    // Another process gets the number of the lost lease.
    StoreClient other(restored.loop_, restored.endpoint_, *new StoreEra);
    bool isGranted = false;
    other.call(wire::leaseCall(6000), 1s, [&](const auto &) { isGranted = true; });
    BOOST_REQUIRE(turnUntil(restored.loop_, 1s, [&] { return isGranted; }));
    BOOST_TEST(turnUntil(restored.loop_, 3s, [&] { return restored.store_.items_.contains(key); }));
}
