#define BOOST_TEST_MODULE Store
#include "Store/storefeed.h"
#include "Store/leasedkeys.h"
#include "Store/registration.h"

#include "../Shared/servingstandins.h"

#include <boost/test/unit_test.hpp>

using namespace standins;

namespace {

/// A feed of "op/" against a simulated store, with the keys that it has reported.
struct FeedFixture
{
    explicit FeedFixture(const std::string &address, Duration wait = 300ms)
        : loop_(*new EventLoop), store_(*new Store(loop_, address))
    {
        Endpoint endpoint;
        parseEndpoint(address, endpoint);
        feed_ = new StoreFeed(loop_, endpoint, era_, {"op/", wait, 0ms},
                              {[this](const auto &items) {
                                   reportedItems_.clear();
                                   for (const auto &item : items)
                                       reportedItems_[item.key_] = item.value_;
                                   ++listCount_;
                               },
                               [this](const auto &item) {
                                   if (item.isDeleted_)
                                       reportedItems_.erase(item.key_);
                                   else
                                       reportedItems_[item.key_] = item.value_;
                               },
                               [this](bool reachable) { reachable_ = reachable; }});
    }

    bool waitForValue(const std::string &key, const std::string &value, Duration maxWait = 5s)
    {
        return turnUntil(loop_, maxWait, [&] {
            const auto found = reportedItems_.find(key);
            return found != reportedItems_.end() && found->second == value;
        });
    }

    EventLoop &loop_;
    StoreEra &era_ = *new StoreEra;
    Store &store_;
    StoreFeed *feed_ = nullptr;
    std::map<std::string, std::string> reportedItems_;
    int listCount_ = 0;
    bool reachable_ = false;
};

} // namespace

BOOST_AUTO_TEST_CASE(feed_lists_keys_then_reports_changes)
{
    FeedFixture fixture("127.0.0.1:17311");
    fixture.store_.put("op/config", "one");
    fixture.store_.put("servers/x", "other");
    fixture.feed_->start();
    BOOST_TEST(fixture.waitForValue("op/config", "one"));
    BOOST_TEST(!fixture.reportedItems_.contains("servers/x"));
    fixture.store_.put("op/config", "two");
    BOOST_TEST(fixture.waitForValue("op/config", "two"));
    fixture.store_.remove("op/config");
    BOOST_TEST(turnUntil(fixture.loop_, 2s, [&] { return fixture.reportedItems_.empty(); }));
    BOOST_TEST(fixture.listCount_ == 1);
}

BOOST_AUTO_TEST_CASE(lost_history_is_recovered_by_a_new_list)
{
    FeedFixture fixture("127.0.0.1:17312");
    fixture.store_.put("op/config", "one");
    fixture.feed_->start();
    BOOST_TEST(fixture.waitForValue("op/config", "one"));
    fixture.store_.fault_ = StoreFault::Busy;
    fixture.store_.cutWatches();
    turnFor(fixture.loop_, 200ms);
    fixture.store_.put("op/config", "two");
    fixture.store_.forgetHistory();
    fixture.store_.fault_ = StoreFault::None;
    BOOST_TEST(fixture.waitForValue("op/config", "two"));
    BOOST_TEST(fixture.listCount_ == 2);
}

BOOST_AUTO_TEST_CASE(feed_recovers_from_each_outage_and_confirms_nothing_during_it)
{
    int port = 17313;
    for (const StoreFault fault :
         {StoreFault::Silent, StoreFault::Busy, StoreFault::Reset, StoreFault::Many}) {
        FeedFixture fixture("127.0.0.1:" + std::to_string(port++));
        fixture.store_.put("op/config", "one");
        fixture.feed_->start();
        BOOST_TEST(fixture.waitForValue("op/config", "one"));
        fixture.store_.fault_ = fault;
        fixture.store_.cutWatches();
        BOOST_TEST(turnUntil(fixture.loop_, 4s, [&] { return !fixture.reachable_; }));
        const auto confirmed = fixture.feed_->confirmedAt();
        turnFor(fixture.loop_, 700ms);
        BOOST_TEST((fixture.feed_->confirmedAt() == confirmed));
        fixture.store_.put("op/config", "two");
        fixture.store_.fault_ = StoreFault::None;
        BOOST_TEST(fixture.waitForValue("op/config", "two"));
        BOOST_TEST(fixture.reachable_);
    }
}

BOOST_AUTO_TEST_CASE(slow_response_confirms_only_changes_before_the_call)
{
    FeedFixture fixture("127.0.0.1:17318");
    fixture.store_.put("op/config", "one");
    fixture.feed_->start();
    BOOST_TEST(fixture.waitForValue("op/config", "one"));
    fixture.store_.delay_ = 500ms;
    turnFor(fixture.loop_, 1500ms);
    // The change acknowledged here is not known to the feed yet, so confirmedAt() must stay before
    // it.
    const Time acknowledged = bootNow();
    fixture.store_.put("op/config", "two");
    while (fixture.reportedItems_["op/config"] == "one") {
        BOOST_REQUIRE((*fixture.feed_->confirmedAt() <= acknowledged));
        uv_run(&fixture.loop_.uv(), UV_RUN_ONCE);
    }
}

BOOST_AUTO_TEST_CASE(longer_wait_set_during_a_watch_does_not_confirm_changes_after_its_end)
{
    FeedFixture fixture("127.0.0.1:17323", 400ms);
    fixture.store_.put("op/config", "one");
    fixture.feed_->start();
    BOOST_TEST(fixture.waitForValue("op/config", "one"));
    fixture.store_.delay_ = 800ms;
    const std::size_t watches = fixture.store_.calls("kv-watch");
    BOOST_REQUIRE(
        turnUntil(fixture.loop_, 3s, [&] { return fixture.store_.calls("kv-watch") > watches; }));
    fixture.feed_->setMaxWatchWait(700ms);
    // The store has ended the watch, without a change, and its response is on the way.
    turnFor(fixture.loop_, 500ms);
    const Time acknowledged = bootNow();
    fixture.store_.put("op/config", "two");
    while (fixture.reportedItems_["op/config"] == "one") {
        BOOST_REQUIRE((*fixture.feed_->confirmedAt() <= acknowledged));
        uv_run(&fixture.loop_.uv(), UV_RUN_ONCE);
    }
}

BOOST_AUTO_TEST_CASE(confirm_now_confirms_during_a_long_watch)
{
    FeedFixture fixture("127.0.0.1:17319", 20s);
    fixture.store_.put("op/config", "one");
    fixture.feed_->start();
    BOOST_TEST(fixture.waitForValue("op/config", "one"));
    turnFor(fixture.loop_, 100ms);
    const Time before = bootNow();
    fixture.feed_->confirmNow();
    BOOST_TEST(
        turnUntil(fixture.loop_, 2s, [&] { return *fixture.feed_->confirmedAt() >= before; }));
}

BOOST_AUTO_TEST_CASE(change_that_a_silent_watch_missed_is_delivered_by_a_confirmation)
{
    FeedFixture fixture("127.0.0.1:17321", 20s);
    fixture.store_.put("op/config", "one");
    fixture.feed_->start();
    BOOST_TEST(fixture.waitForValue("op/config", "one"));
    fixture.feed_->confirmNow();
    turnFor(fixture.loop_, 100ms);
    fixture.store_.silenceConnections();
    const Time changedAt = bootNow();
    fixture.store_.put("op/config", "two");
    turnFor(fixture.loop_, 300ms);
    fixture.feed_->confirmNow();
    BOOST_TEST(fixture.waitForValue("op/config", "two", 1s));
    BOOST_TEST((fixture.feed_->earliestChangeAt() <= changedAt));
    // A new watch delivers the next change without a call of confirmNow().
    fixture.store_.put("op/config", "three");
    BOOST_TEST(fixture.waitForValue("op/config", "three", 1s));
    BOOST_TEST(fixture.listCount_ == 1);
}

BOOST_AUTO_TEST_CASE(history_lost_during_a_silent_watch_is_recovered_by_a_confirmation)
{
    FeedFixture fixture("127.0.0.1:17322", 20s);
    fixture.store_.put("op/config", "one");
    fixture.feed_->start();
    BOOST_TEST(fixture.waitForValue("op/config", "one"));
    turnFor(fixture.loop_, 100ms);
    fixture.store_.silenceConnections();
    fixture.store_.put("op/config", "two");
    fixture.store_.forgetHistory();
    fixture.feed_->confirmNow();
    BOOST_TEST(fixture.waitForValue("op/config", "two", 1s));
    fixture.store_.put("op/config", "three");
    BOOST_TEST(fixture.waitForValue("op/config", "three", 1s));
}

BOOST_AUTO_TEST_CASE(confirmation_without_an_answer_counts_as_a_loss_of_the_store)
{
    FeedFixture fixture("127.0.0.1:17324", 20s);
    fixture.store_.put("op/config", "one");
    fixture.feed_->start();
    BOOST_TEST(fixture.waitForValue("op/config", "one"));
    turnFor(fixture.loop_, 100ms);
    fixture.store_.fault_ = StoreFault::Silent;
    fixture.feed_->confirmNow();
    BOOST_TEST(turnUntil(fixture.loop_, 2s, [&] { return !fixture.feed_->isReachable(); }));
    fixture.store_.fault_ = StoreFault::None;
    const Time regainedAfter = bootNow();
    fixture.feed_->confirmNow();
    BOOST_TEST(turnUntil(fixture.loop_, 1s, [&] { return fixture.feed_->isReachable(); }));
    BOOST_TEST((fixture.feed_->reachableSince() >= regainedAfter));
}

BOOST_AUTO_TEST_CASE(registration_is_written_after_an_outage)
{
    auto &loop = *new EventLoop;
    auto &store = *new Store(loop, "127.0.0.1:17320");
    Endpoint endpoint;
    parseEndpoint("127.0.0.1:17320", endpoint);
    store.fault_ = StoreFault::Busy;
    auto &registration =
        *new Registration(loop, endpoint, *new StoreEra, "eelgrasscove/entry/a", "10.0.0.1:7600");
    registration.start();
    turnFor(loop, 300ms);
    store.fault_ = StoreFault::None;
    BOOST_TEST(turnUntil(loop, 3s, [&] { return store.items_.contains("eelgrasscove/entry/a"); }));
    BOOST_TEST(store.items_["eelgrasscove/entry/a"].first == "10.0.0.1:7600");
}

/// Guards against a list that is given up after a failure of the store, and against a write whose
/// failure isn't reported.
BOOST_AUTO_TEST_CASE(leased_keys_are_listed_when_the_store_recovers_then_written_and_removed)
{
    EventLoop &loop = *new EventLoop;
    Store &store = *new Store(loop, "127.0.0.1:17341");
    Endpoint endpoint;
    parseEndpoint("127.0.0.1:17341", endpoint);
    store.put("held/a", "one");
    store.put("other/b", "two");
    store.fault_ = StoreFault::Busy;
    auto &keys = *new LeasedKeys(loop, endpoint, *new StoreEra, "held/", 60s);
    std::vector<std::string> listed;
    keys.list([&](const auto &items) {
        for (const wire::StoreItem &item : items)
            listed.push_back(item.key_ + "=" + item.value_);
    });
    std::optional<bool> isWritten;
    keys.write("held/c", "three", [&](bool isDone) { isWritten = isDone; });
    BOOST_TEST(turnUntil(loop, 2s, [&] { return isWritten == false; }));
    store.fault_ = StoreFault::None;
    BOOST_TEST(turnUntil(loop, 2s, [&] { return !listed.empty(); }));
    BOOST_TEST(listed == std::vector<std::string>{"held/a=one"}, boost::test_tools::per_element());
    keys.write("held/c", "three", [&](bool isDone) { isWritten = isDone; });
    BOOST_TEST(turnUntil(loop, 2s, [&] { return isWritten == true; }));
    BOOST_TEST(store.items_["held/c"].first == "three");
    bool isRemoved = false;
    keys.remove("held/c", [&](bool isDone) { isRemoved = isDone; });
    BOOST_TEST(turnUntil(loop, 2s, [&] { return isRemoved; }));
    BOOST_TEST(!store.items_.contains("held/c"));
    BOOST_TEST(!keys.isBusy());
}
