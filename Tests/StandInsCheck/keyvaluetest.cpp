#define BOOST_TEST_MODULE StandInsCheck
#include "StandIns/keyvalue.h"

#include "StandIns/base64.h"

#include <boost/test/unit_test.hpp>

using namespace standins;

namespace {

constexpr std::int64_t second = 1000000;

StoreOperation put(const std::string &key, const std::string &value, std::int64_t lease = 0)
{
    return {
        .kind_ = StoreOperationKind::Put, .range_ = {key, {}}, .value_ = value, .lease_ = lease};
}

StoreOperation range(const std::string &key, const std::string &end = {})
{
    return {.kind_ = StoreOperationKind::Range, .range_ = {key, end}};
}

TransactionOutcome run(KeyValueStore &store, StoreOperation operation)
{
    return runTransaction(store, {.success_ = {std::move(operation)}});
}

Compare modIs(const std::string &key, std::int64_t revision)
{
    return {.key_ = key,
            .target_ = CompareTarget::Mod,
            .result_ = CompareResult::Equal,
            .number_ = revision};
}

} // namespace

BOOST_AUTO_TEST_CASE(aTransactionRunsOnlyWhereItsConditionsHold)
{
    KeyValueStore store;
    const StoreTransaction create = {.compares_ = {modIs("a", 0)},
                                     .success_ = {put("a", "1"), put("b", "2")}};
    BOOST_TEST(runTransaction(store, create).succeeded_);
    BOOST_TEST(!runTransaction(store, create).succeeded_);
    BOOST_TEST(store.entries_.at("a").modRevision_ == store.entries_.at("b").modRevision_);
    const std::int64_t revision = store.entries_.at("a").modRevision_;
    const StoreTransaction change = {.compares_ = {modIs("a", revision)},
                                     .success_ = {put("a", "3"), range("a")},
                                     .failure_ = {range("a")}};
    const TransactionOutcome changed = runTransaction(store, change);
    BOOST_TEST(changed.succeeded_);
    BOOST_TEST(changed.outcomes_.at(1).entries_.at(0).value_ == "3");
    const TransactionOutcome late = runTransaction(store, change);
    BOOST_TEST(!late.succeeded_);
    BOOST_TEST(!late.wrote_);
    BOOST_TEST(late.outcomes_.at(0).entries_.at(0).version_ == 2);
}

BOOST_AUTO_TEST_CASE(comparesKnowGreaterAndLess)
{
    KeyValueStore store;
    run(store, put("a", "1"));
    run(store, put("a", "2"));
    const auto holds = [&](CompareTarget target, CompareResult result, std::int64_t number) {
        const Compare compare = {
            .key_ = "a", .target_ = target, .result_ = result, .number_ = number};
        return runTransaction(store, {.compares_ = {compare}}).succeeded_;
    };
    BOOST_TEST(holds(CompareTarget::Version, CompareResult::Greater, 1));
    BOOST_TEST(!holds(CompareTarget::Version, CompareResult::Greater, 2));
    BOOST_TEST(holds(CompareTarget::Create, CompareResult::Less, 3));
    BOOST_TEST(!holds(CompareTarget::Create, CompareResult::Less, 2));
    BOOST_TEST(holds(CompareTarget::Mod, CompareResult::NotEqual, 2));
}

BOOST_AUTO_TEST_CASE(aRangeEndsBeforeItsEnd)
{
    KeyValueStore store;
    for (const char *key : {"a/1", "a/2", "a0", "b"})
        run(store, put(key, key));
    BOOST_TEST(run(store, range("a/", "a0")).outcomes_.at(0).count_ == 2);
    BOOST_TEST(run(store, range("a/1")).outcomes_.at(0).count_ == 1);
    BOOST_TEST(run(store, range("a/2", std::string(1, '\0'))).outcomes_.at(0).count_ == 3);
    StoreOperation first = range("a/", "a0");
    first.limit_ = 1;
    const TransactionOutcome limited = run(store, first);
    BOOST_TEST(limited.outcomes_.at(0).entries_.size() == 1);
    BOOST_TEST(limited.outcomes_.at(0).more_);
}

BOOST_AUTO_TEST_CASE(anExpiredLeaseTakesItsKeysAndTellsWatches)
{
    KeyValueStore store;
    const auto lease = grantLease(store, 0, 2, 0);
    BOOST_REQUIRE(lease.has_value());
    run(store, put("held", "x", *lease));
    run(store, put("kept", "y"));
    BOOST_TEST(keepLeaseAlive(store, *lease, second) == 2);
    expireLeases(store, 2 * second);
    BOOST_TEST(store.entries_.count("held") == 1);
    expireLeases(store, 3 * second);
    BOOST_TEST(store.entries_.count("held") == 0);
    BOOST_TEST(store.entries_.count("kept") == 1);
    BOOST_TEST(store.history_.back().deleted_);
    BOOST_TEST(store.history_.back().entry_.modRevision_ == store.revision_);
    BOOST_TEST(keepLeaseAlive(store, *lease, 3 * second) == 0);
    BOOST_TEST(!run(store, put("held", "x", *lease)).error_.empty());
}

BOOST_AUTO_TEST_CASE(aTransactionThatPutsAKeyTwiceIsRefusedWhole)
{
    KeyValueStore store;
    const TransactionOutcome outcome =
        runTransaction(store, {.success_ = {put("a", "1"), put("a", "2")}});
    BOOST_TEST(!outcome.error_.empty());
    BOOST_TEST(store.entries_.empty());
}

BOOST_AUTO_TEST_CASE(base64GoesBothWays)
{
    for (const std::string &text : {std::string(), std::string("a"), std::string("ab"),
                                    std::string("abc"), std::string("\0\xff\x10", 3)})
        BOOST_TEST(*decodeBase64(encodeBase64(text)) == text);
    BOOST_TEST(encodeBase64("ab") == "YWI=");
    BOOST_TEST(!decodeBase64("a*b=").has_value());
}
