#include "../Shared/oddnames.h"
#include "../Shared/servingstandins.h"
#include "Store/leasedkeys.h"
#include "Store/storefeed.h"

#include <array>
#include <boost/test/unit_test.hpp>

using namespace standins;

namespace {

constexpr const char *prefix = "op/";

enum class Reader {
    Feed,
    LeasedKeys,
};

constexpr std::array readers = {Reader::Feed, Reader::LeasedKeys};

/// A store and one of the readers of its lists.
struct ListFixture
{
    ListFixture(Reader reader, int number)
        : loop_(*new EventLoop), address_("127.0.0.1:" + std::to_string(19900 + number)),
          store_(*new Store(loop_, address_)), reader_(reader)
    { }

    /// Puts the keys op/a to op/d, a page each.
    void putFourPages()
    {
        store_.pageItems_ = 1;
        for (const char *key : {"op/a", "op/b", "op/c", "op/d"})
            store_.put(key, "x");
    }

    void start()
    {
        Endpoint endpoint;
        parseEndpoint(address_, endpoint);
        const auto record = [this](const std::vector<wire::StoreItem> &items) {
            ++listCount_;
            keys_.clear();
            for (const wire::StoreItem &item : items)
                keys_.insert(item.key_);
        };
        if (reader_ == Reader::Feed) {
            const auto change = [this](const wire::StoreItem &item) { changed_.insert(item.key_); };
            auto *feed = new StoreFeed(loop_, endpoint, era_, {prefix, 300ms, 0ms},
                                       {record, change, [](bool) {}});
            feed->start();
        } else {
            (new LeasedKeys(loop_, endpoint, era_, prefix, 60s))->list(record);
        }
    }

    bool waitForList(Duration most = 3s)
    {
        return turnUntil(loop_, most, [this] { return listCount_ > 0; });
    }

    /// Returns the number of list calls, or of those whose query continues with this text.
    std::size_t listCalls(const std::string &query = "") const
    {
        return store_.calls("kv-range?path_prefix=op/" + query);
    }

    EventLoop &loop_;
    StoreEra &era_ = *new StoreEra;
    std::string address_;
    Store &store_;
    Reader reader_;
    int listCount_ = 0;
    /// Keys of the last list.
    std::set<std::string> keys_;
    std::set<std::string> changed_;
};

const std::set<std::string> fourKeys = {"op/a", "op/b", "op/c", "op/d"};

/// Answers every list call with this body.
Store::CallHandler answerWith(const std::string &body)
{
    return [body](const auto &from, const Query &) {
        from->answer(200, "", body);
        return true;
    };
}

} // namespace

BOOST_AUTO_TEST_SUITE(storelist)

BOOST_AUTO_TEST_CASE(list_of_many_pages_is_complete_with_an_odd_name_and_an_item_longer_than_a_page)
{
    constexpr std::size_t itemCount = 1200;
    constexpr std::size_t pageItems = 500;
    int number = 0;
    for (const Reader reader : readers) {
        ListFixture fixture(reader, number++);
        std::set<std::string> keys;
        for (std::size_t item = 0; item < itemCount; ++item)
            keys.insert(fmt::format("op/{:04}{}", item, item + 1 == pageItems ? " &+#%" : ""));
        for (const std::string &key : keys)
            fixture.store_.put(key, "x");
        fixture.store_.put("op/0700", std::string(1048576, 'x'));
        fixture.start();
        BOOST_TEST(fixture.waitForList());
        BOOST_TEST(fixture.keys_ == keys, boost::test_tools::per_element());
        // The long item ends a page before it and fills one.
        BOOST_TEST(fixture.listCalls() == 4);
    }
}

BOOST_AUTO_TEST_CASE(list_whose_pages_do_not_advance_is_not_complete_and_is_asked_for_with_pauses)
{
    const std::vector<std::string> bodies = {
        R"({"items":[{"key":"op/a","value":"","revision":1}],"has_more":true,"at":9})",
        R"({"items":[],"has_more":true,"at":9})",
        R"({"items":[{"value":"","revision":1},{"key":1,"value":""}],"has_more":true,"at":9})",
    };
    int number = 10;
    for (const Reader reader : readers) {
        for (const std::string &body : bodies) {
            BOOST_TEST_CONTEXT(body)
            {
                ListFixture fixture(reader, number++);
                fixture.putFourPages();
                fixture.store_.listHandler_ = answerWith(body);
                fixture.start();
                turnFor(fixture.loop_, 1s);
                BOOST_TEST(fixture.listCount_ == 0);
                // At most two calls in each of the pauses of 100 ms or more.
                BOOST_TEST(fixture.listCalls() > 1);
                BOOST_TEST(fixture.listCalls() <= 20);
                fixture.store_.listHandler_ = {};
                BOOST_TEST(fixture.waitForList());
                BOOST_TEST(fixture.keys_ == fourKeys, boost::test_tools::per_element());
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(list_whose_pages_begin_again_is_not_complete)
{
    int number = 20;
    for (const Reader reader : readers) {
        ListFixture fixture(reader, number++);
        fixture.putFourPages();
        fixture.store_.listHandler_ = [](const auto &from, const Query &query) {
            const auto after = query.find("after");
            const bool isSecond = after != query.end() && after->second == "op/a";
            from->answer(200, "",
                         fmt::format(R"({{"items":[{}],"has_more":true,"at":9}})",
                                     Store::itemText(isSecond ? "op/b" : "op/a", "", 1)));
            return true;
        };
        fixture.start();
        turnFor(fixture.loop_, 1s);
        BOOST_TEST(fixture.listCount_ == 0);
        BOOST_TEST(fixture.listCalls() <= 30);
        fixture.store_.listHandler_ = {};
        BOOST_TEST(fixture.waitForList());
        BOOST_TEST(fixture.keys_ == fourKeys, boost::test_tools::per_element());
    }
}

BOOST_AUTO_TEST_CASE(page_that_fails_is_requested_again_without_those_before_it)
{
    struct Failure
    {
        const char *description_;
        std::function<void(const std::shared_ptr<ServerConnection> &)> answer_;
    };
    const std::vector<Failure> failures = {
        {"503", [](const auto &from) { from->answer(503, "", ""); }},
        {"429", [](const auto &from) { from->answer(429, "", ""); }},
        {"reset", [](const auto &from) { from->stream_->close(true); }},
        {"no list", [](const auto &from) { from->answer(200, "", "{}"); }},
    };
    int number = 30;
    for (const Reader reader : readers) {
        for (const Failure &failure : failures) {
            BOOST_TEST_CONTEXT(failure.description_)
            {
                ListFixture fixture(reader, number++);
                fixture.putFourPages();
                int failed = 0;
                fixture.store_.listHandler_ = [&](const auto &from, const Query &query) {
                    const auto after = query.find("after");
                    if (after == query.end() || after->second != "op/b" || failed == 2)
                        return false;
                    ++failed;
                    failure.answer_(from);
                    return true;
                };
                fixture.start();
                BOOST_TEST(fixture.waitForList());
                BOOST_TEST(fixture.keys_ == fourKeys, boost::test_tools::per_element());
                BOOST_TEST(fixture.listCalls("&after=op/a") == 1);
                BOOST_TEST(fixture.listCalls("&after=op/b") == 3);
            }
        }
    }
}

/// The key after which it begins may be the cause of the refusal, so repeating it doesn't help.
BOOST_AUTO_TEST_CASE(list_begins_anew_after_a_page_that_the_store_refuses)
{
    int number = 40;
    for (const Reader reader : readers) {
        ListFixture fixture(reader, number++);
        fixture.putFourPages();
        fixture.store_.listHandler_ = [&](const auto &from, const Query &query) {
            const auto after = query.find("after");
            if (after == query.end() || after->second != "op/b")
                return false;
            from->answer(400, "", "");
            return true;
        };
        fixture.start();
        turnFor(fixture.loop_, 1s);
        BOOST_TEST(fixture.listCount_ == 0);
        fixture.store_.remove("op/b");
        BOOST_TEST(fixture.waitForList());
        BOOST_TEST(fixture.keys_ == std::set<std::string>({"op/a", "op/c", "op/d"}),
                   boost::test_tools::per_element());
    }
}

BOOST_AUTO_TEST_CASE(item_without_a_key_at_the_end_of_a_page_does_not_end_the_list)
{
    int number = 50;
    for (const Reader reader : readers) {
        ListFixture fixture(reader, number++);
        fixture.store_.listHandler_ = [](const auto &from, const Query &query) {
            const bool isFirst = !query.contains("after");
            const std::string keyless = R"({"value":"","revision":1})";
            const std::string items = isFirst ? Store::itemText("op/a", "", 1) + "," + keyless
                                              : keyless + "," + Store::itemText("op/b", "", 2);
            from->answer(200, "",
                         fmt::format(R"({{"items":[{}],"has_more":{},"at":9}})", items, isFirst));
            return true;
        };
        fixture.start();
        BOOST_TEST(fixture.waitForList());
        BOOST_TEST(fixture.keys_ == std::set<std::string>({"op/a", "op/b"}),
                   boost::test_tools::per_element());
        BOOST_TEST(fixture.listCalls("&after=op/a") == 1);
    }
}

BOOST_AUTO_TEST_CASE(item_with_another_prefix_is_left_out_of_lists_and_changes)
{
    const auto foreignItems = [] {
        return Store::itemText("x", "", 1) + "," + Store::itemText("other/op/a", "", 2) + ","
            + Store::itemText("op", "", 3);
    };
    int number = 80;
    for (const Reader reader : readers) {
        ListFixture fixture(reader, number++);
        fixture.putFourPages();
        fixture.store_.listHandler_ = [&](const auto &from, const Query &query) {
            if (query.contains("after"))
                return false;
            from->answer(200, "",
                         fmt::format(R"({{"items":[{},{}],"has_more":true,"at":9}})",
                                     Store::itemText("op/a", "", 4), foreignItems()));
            return true;
        };
        fixture.start();
        BOOST_TEST(fixture.waitForList());
        BOOST_TEST(fixture.keys_ == fourKeys, boost::test_tools::per_element());
        if (reader != Reader::Feed)
            continue;
        fixture.store_.watchHandler_ = [&](const auto &from, const Query &) {
            from->answer(200, "",
                         fmt::format(R"({{"events":[{},{}],"at":99}})", foreignItems(),
                                     Store::itemText("op/e", "", 98)));
            fixture.store_.watchHandler_ = {};
            return true;
        };
        BOOST_TEST(turnUntil(fixture.loop_, 3s, [&] { return !fixture.changed_.empty(); }));
        BOOST_TEST(fixture.changed_ == std::set<std::string>({"op/e"}),
                   boost::test_tools::per_element());
    }
}

BOOST_AUTO_TEST_CASE(response_without_a_list_is_not_an_empty_list)
{
    const std::vector<std::string> bodies = {
        R"({"at":9})",
        R"({"at":9,"has_more":false})",
        R"({"at":9,"items":null,"has_more":false})",
        R"({"at":9,"items":{},"has_more":false})",
        R"({"at":9,"items":"","has_more":false})",
        R"({"at":9,"items":[],"has_more":"true"})",
        R"({"at":9,"items":[],"has_more":1})",
        R"({"at":9,"items":[],"has_more":null})",
    };
    int number = 60;
    for (const Reader reader : readers) {
        for (const std::string &body : bodies) {
            BOOST_TEST_CONTEXT(body)
            {
                ListFixture fixture(reader, number++);
                fixture.putFourPages();
                fixture.store_.listHandler_ = answerWith(body);
                fixture.start();
                turnFor(fixture.loop_, 200ms);
                BOOST_TEST(fixture.listCount_ == 0);
                fixture.store_.listHandler_ = {};
                BOOST_TEST(fixture.waitForList());
                BOOST_TEST(fixture.keys_ == fourKeys, boost::test_tools::per_element());
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
