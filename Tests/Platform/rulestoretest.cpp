#include "Platform/rulestore.h"

#include "fakekeyvalue.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrasscove;

namespace {

constexpr std::uint64_t seeds = 2000;

void noWait(int /*retry*/) { }

KvCall callOf(FakeKeyValue &store)
{
    return [&store](const KvOperation &operation) { return callFake(store, operation); };
}

KvCall exactCallOf(FakeKeyValue &store)
{
    return [&store](const KvOperation &operation) { return applyOperation(store, operation); };
}

StoredHead headOf(FakeKeyValue &store)
{
    auto head = readRuleHead(exactCallOf(store));
    BOOST_REQUIRE(ok(head));
    return valueOf(std::move(head));
}

RuleChange changeOf(FakeKeyValue &store, const std::string &text, const std::string &writeId)
{
    RuleChange change;
    change.base_ = headOf(store);
    change.text_ = text;
    change.who_ = "K. Vos";
    change.writeId_ = writeId;
    return change;
}

/// A text of three chunks that tells its writer in each.
std::string longText(char filling)
{
    return std::string(2 * chunkBytes + 5, filling);
}

std::string newestText(FakeKeyValue &store)
{
    const StoredHead head = headOf(store);
    const RuleRecord *newest = newestRecord(head.head_);
    BOOST_REQUIRE(newest != nullptr);
    const auto text = readRuleText(exactCallOf(store), *newest);
    BOOST_REQUIRE_MESSAGE(ok(text), "the stored text is damaged");
    return valueOf(text);
}

} // namespace

BOOST_AUTO_TEST_CASE(storesAndReadsBackShortAndLongTexts)
{
    FakeKeyValue store;
    for (const std::string &text : {std::string("a"), longText('b'), std::string()}) {
        const RuleChange change = changeOf(store, text, "w" + std::to_string(text.size()));
        BOOST_REQUIRE(ok(storeRules(exactCallOf(store), change, noWait)));
        BOOST_TEST((newestText(store) == text));
    }
    BOOST_TEST(newestRecord(headOf(store).head_)->revision_.value_ == 3U);
}

BOOST_AUTO_TEST_CASE(oneOfTwoOperatorsGetsAConflict)
{
    FakeKeyValue store;
    const RuleChange first = changeOf(store, longText('a'), "first");
    const RuleChange second = changeOf(store, longText('b'), "second");
    BOOST_TEST(ok(storeRules(exactCallOf(store), first, noWait)));
    const auto refused = storeRules(exactCallOf(store), second, noWait);
    BOOST_REQUIRE(!ok(refused));
    BOOST_TEST((errorOf(refused).failure_ == RuleStoreFailure::Conflict));
    BOOST_TEST(errorOf(refused).message_ == "revision 1 by K. Vos came first");
    BOOST_TEST((newestText(store) == first.text_));
    for (const auto &[key, pair] : store.pairs_)
        BOOST_TEST(key.find("second") == std::string::npos, key);
}

BOOST_AUTO_TEST_CASE(keepsTheLastRevisionsAndDropsTheChunksOfOlderOnes)
{
    FakeKeyValue store;
    for (int number = 1; number <= 25; ++number) {
        const std::string text = std::to_string(number);
        const RuleChange change = changeOf(store, text, "w" + text);
        BOOST_REQUIRE(ok(storeRules(exactCallOf(store), change, noWait)));
    }
    const StoredHead stored = headOf(store);
    BOOST_TEST(stored.head_.records_.size() == revisionsKept);
    BOOST_TEST(store.pairs_.size() == revisionsKept + 1);
    BOOST_TEST(recordOf(stored.head_, {5}) == nullptr);
    const RuleRecord *oldest = recordOf(stored.head_, {6});
    BOOST_REQUIRE(oldest != nullptr);
    BOOST_TEST(valueOf(readRuleText(exactCallOf(store), *oldest)) == "6");
}

BOOST_AUTO_TEST_CASE(lostRepliesAreSettled)
{
    FakeKeyValue store;
    store.faults_.lostAfter_ = 60;
    int settled = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        store.random_.seed(seed);
        const std::string text = "text " + std::to_string(seed);
        const RuleChange change = changeOf(store, text, "w" + std::to_string(seed));
        const auto result = storeRules(callOf(store), change, noWait);
        if (ok(result)) {
            settled += 1;
        } else {
            BOOST_TEST((errorOf(result).failure_ == RuleStoreFailure::Unknown), seed);
        }
        BOOST_TEST(newestText(store) == text, seed);
    }
    BOOST_TEST(settled > 0);
}

BOOST_AUTO_TEST_CASE(ofTwoOperatorsAtMostOneWinsUnderEveryFault)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            FakeKeyValue store;
            store.random_.seed(seed);
            store.faults_ = {10, 15, 15, 20};
            const bool isLong = seed % 50 == 0;
            const RuleChange first = changeOf(store, isLong ? longText('a') : "a", "first");
            const RuleChange second = changeOf(store, isLong ? longText('b') : "b", "second");
            const auto one = storeRules(callOf(store), first, noWait);
            const auto two = storeRules(callOf(store), second, noWait);
            applyLate(store, 100);
            BOOST_TEST(!(ok(one) && ok(two)));
            const StoredHead stored = headOf(store);
            BOOST_TEST(stored.head_.records_.size() <= 1U);
            if (ok(one))
                BOOST_TEST((newestText(store) == first.text_));
            if (ok(two))
                BOOST_TEST((newestText(store) == second.text_));
            if (!stored.head_.records_.empty())
                newestText(store);
            // Told that nothing was changed, or that it lost, an operator's text never appears.
            for (const auto *result : {&one, &two}) {
                const bool refused =
                    !ok(*result) && errorOf(*result).failure_ != RuleStoreFailure::Unknown;
                const std::string writer = result == &one ? "first" : "second";
                for (const RuleRecord &record : stored.head_.records_)
                    BOOST_TEST(!(refused && record.writeId_ == writer));
            }
        }
    }
}
