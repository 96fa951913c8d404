#define BOOST_TEST_MODULE Store
#include "Store/storefeed.h"
#include "Store/registration.h"

#include "../Shared/servingstandins.h"

#include <boost/test/unit_test.hpp>

using namespace standins;

namespace {

/// A feed of "op/" and what it has told.
struct Feeding
{
    explicit Feeding(const std::string &address, Duration wait = 300ms)
        : loop_(*new EventLoop), store_(*new Store(loop_, address))
    {
        Endpoint endpoint;
        parseEndpoint(address, endpoint);
        feed_ = new StoreFeed(loop_, endpoint, {"op/", wait, 0ms},
                              {[this](const auto &items) {
                                   known_.clear();
                                   for (const auto &item : items)
                                       known_[item.key_] = item.value_;
                                   ++lists_;
                               },
                               [this](const auto &item) {
                                   if (item.deleted_)
                                       known_.erase(item.key_);
                                   else
                                       known_[item.key_] = item.value_;
                               },
                               [this](bool reachable) { reachable_ = reachable; }});
    }

    bool knows(const std::string &key, const std::string &value, Duration most = 5s)
    {
        return turnUntil(loop_, most, [&] {
            const auto found = known_.find(key);
            return found != known_.end() && found->second == value;
        });
    }

    EventLoop &loop_;
    Store &store_;
    StoreFeed *feed_ = nullptr;
    std::map<std::string, std::string> known_;
    int lists_ = 0;
    bool reachable_ = false;
};

} // namespace

BOOST_AUTO_TEST_CASE(a_feed_lists_then_follows)
{
    Feeding feeding("127.0.0.1:17311");
    feeding.store_.put("op/config", "one");
    feeding.store_.put("servers/x", "other");
    feeding.feed_->start();
    BOOST_TEST(feeding.knows("op/config", "one"));
    BOOST_TEST(!feeding.known_.contains("servers/x"));
    feeding.store_.put("op/config", "two");
    BOOST_TEST(feeding.knows("op/config", "two"));
    feeding.store_.remove("op/config");
    BOOST_TEST(turnUntil(feeding.loop_, 2s, [&] { return feeding.known_.empty(); }));
    BOOST_TEST(feeding.lists_ == 1);
}

BOOST_AUTO_TEST_CASE(a_lost_history_is_made_good_by_a_new_list)
{
    Feeding feeding("127.0.0.1:17312");
    feeding.store_.put("op/config", "one");
    feeding.feed_->start();
    BOOST_TEST(feeding.knows("op/config", "one"));
    feeding.store_.fault_ = StoreFault::Busy;
    feeding.store_.cutWatches();
    turnFor(feeding.loop_, 200ms);
    feeding.store_.put("op/config", "two");
    feeding.store_.forgetHistory();
    feeding.store_.fault_ = StoreFault::None;
    BOOST_TEST(feeding.knows("op/config", "two"));
    BOOST_TEST(feeding.lists_ == 2);
}

BOOST_AUTO_TEST_CASE(every_kind_of_outage_is_got_over_and_confirms_nothing)
{
    int port = 17313;
    for (const StoreFault fault :
         {StoreFault::Silent, StoreFault::Busy, StoreFault::Reset, StoreFault::Many}) {
        Feeding feeding("127.0.0.1:" + std::to_string(port++));
        feeding.store_.put("op/config", "one");
        feeding.feed_->start();
        BOOST_TEST(feeding.knows("op/config", "one"));
        feeding.store_.fault_ = fault;
        feeding.store_.cutWatches();
        BOOST_TEST(turnUntil(feeding.loop_, 4s, [&] { return !feeding.reachable_; }));
        const auto confirmed = feeding.feed_->confirmedAt();
        turnFor(feeding.loop_, 700ms);
        BOOST_TEST((feeding.feed_->confirmedAt() == confirmed));
        feeding.store_.put("op/config", "two");
        feeding.store_.fault_ = StoreFault::None;
        BOOST_TEST(feeding.knows("op/config", "two"));
        BOOST_TEST(feeding.reachable_);
    }
}

BOOST_AUTO_TEST_CASE(a_slow_answer_confirms_no_more_than_what_was_asked_before)
{
    Feeding feeding("127.0.0.1:17318");
    feeding.store_.put("op/config", "one");
    feeding.feed_->start();
    BOOST_TEST(feeding.knows("op/config", "one"));
    feeding.store_.delay_ = 500ms;
    turnFor(feeding.loop_, 1500ms);
    // A change that is acknowledged now is not known; no confirmation may cover it.
    const Time acknowledged = bootNow();
    feeding.store_.put("op/config", "two");
    while (feeding.known_["op/config"] == "one") {
        BOOST_REQUIRE((*feeding.feed_->confirmedAt() <= acknowledged));
        uv_run(&feeding.loop_.uv(), UV_RUN_ONCE);
    }
}

BOOST_AUTO_TEST_CASE(a_confirmation_can_be_had_beside_a_long_watch)
{
    Feeding feeding("127.0.0.1:17319", 20s);
    feeding.store_.put("op/config", "one");
    feeding.feed_->start();
    BOOST_TEST(feeding.knows("op/config", "one"));
    turnFor(feeding.loop_, 100ms);
    const Time before = bootNow();
    feeding.feed_->confirmNow();
    BOOST_TEST(
        turnUntil(feeding.loop_, 2s, [&] { return *feeding.feed_->confirmedAt() >= before; }));
}

BOOST_AUTO_TEST_CASE(a_registration_is_written_again_after_an_outage)
{
    auto &loop = *new EventLoop;
    auto &store = *new Store(loop, "127.0.0.1:17320");
    Endpoint endpoint;
    parseEndpoint("127.0.0.1:17320", endpoint);
    store.fault_ = StoreFault::Busy;
    auto &registration = *new Registration(loop, endpoint, "eelgrasscove/entry/a", "10.0.0.1:7600");
    registration.start();
    turnFor(loop, 300ms);
    store.fault_ = StoreFault::None;
    BOOST_TEST(turnUntil(loop, 3s, [&] { return store.items_.contains("eelgrasscove/entry/a"); }));
    BOOST_TEST(store.items_["eelgrasscove/entry/a"].first == "10.0.0.1:7600");
}
