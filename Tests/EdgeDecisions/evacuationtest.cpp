#include "Edge/evacuation.h"

#include <boost/test/unit_test.hpp>

#include <random>
#include <set>

using namespace eelgrasscove;
using namespace std::chrono_literals;

namespace {

const Time now = Time(100s);

/// The names of the data centres that the changes begin or end.
std::set<std::string> namesOf(const std::vector<EvacuationChange> &changes, bool isBegun)
{
    std::set<std::string> names;
    for (const EvacuationChange &change : changes) {
        if (change.isBegun_ == isBegun)
            names.insert(change.dataCentre_);
    }
    return names;
}

} // namespace

BOOST_AUTO_TEST_CASE(list_without_an_evacuation_ends_it)
{
    // After lost history the removal is never delivered as an event.
    Evacuations known;
    BOOST_TEST(namesOf(applyEvacuationList(known, {{"a", 5}, {"b", 6}}, 6, now), true).size() == 2);
    const auto changes = applyEvacuationList(known, {{"b", 6}, {"c", 9}}, 9, now + 1s);
    BOOST_TEST((namesOf(changes, true) == std::set<std::string>{"c"}));
    BOOST_TEST((namesOf(changes, false) == std::set<std::string>{"a"}));
    BOOST_TEST(!isEvacuated(known, "a"));
    BOOST_TEST((known.at("b").learnedAt_ == now));
    BOOST_TEST(applyEvacuationList(known, {{"b", 6}, {"c", 9}}, 9, now + 2s).empty());
}

BOOST_AUTO_TEST_CASE(repeated_older_event_does_not_end_an_evacuation)
{
    // A watch that follows a list of several pages repeats what the later pages contain.
    Evacuations known;
    applyEvacuationList(known, {{"a", 9}}, 7, now);
    BOOST_TEST(!applyEvacuationEvent(known, {"a", 8, true}, now).has_value());
    BOOST_TEST(isEvacuated(known, "a"));
    BOOST_TEST(!applyEvacuationEvent(known, {"a", 9, false}, now).has_value());
    const auto ended = applyEvacuationEvent(known, {"a", 10, true}, now);
    BOOST_REQUIRE(ended.has_value());
    BOOST_TEST(!ended->isBegun_);
    BOOST_TEST(!applyEvacuationEvent(known, {"a", 11, true}, now).has_value());
}

BOOST_AUTO_TEST_CASE(targets_without_a_data_centre_are_never_evacuated)
{
    // A key without a name would otherwise exclude every target whose list entry names none.
    Evacuations known;
    applyEvacuationList(known, {{"", 5}, {"no such", 5}}, 5, now);
    BOOST_TEST(known.size() == 2);
    BOOST_TEST(!isEvacuated(known, ""));
    BOOST_TEST(!isEvacuated(known, "such"));
    BOOST_TEST(isEvacuated(known, "no such"));
}

BOOST_AUTO_TEST_CASE(confirmation_is_used_no_longer_than_the_lower_bound)
{
    BOOST_TEST((confirmationBound(5s, std::nullopt) == 5s));
    BOOST_TEST((confirmationBound(5s, 2s) == 2s));
    BOOST_TEST((confirmationBound(5s, 9s) == 5s));
}

BOOST_AUTO_TEST_CASE(known_evacuations_are_those_of_the_store_after_lists_and_events_in_any_mixture)
{
    const unsigned seed = std::random_device{}();
    BOOST_TEST_MESSAGE("seed " << seed);
    std::minstd_rand random(seed);
    std::map<std::string, std::uint64_t> store;
    std::vector<EvacuationItem> history;
    std::uint64_t revision = 10;
    std::size_t delivered = 0;
    Evacuations known;
    const auto deliver = [&] {
        for (; delivered < history.size(); ++delivered)
            applyEvacuationEvent(known, history[delivered], now);
    };
    for (int step = 0; step < 5000; ++step) {
        const std::string name(1, static_cast<char>('a' + random() % 4));
        const bool isRemoval = random() % 2 == 0;
        if (!isRemoval || store.contains(name)) {
            history.push_back({name, ++revision, isRemoval});
            if (isRemoval)
                store.erase(name);
            else
                store[name] = revision;
        }
        const auto action = random() % 8;
        if (action == 0) {
            // A list whose first page was read some events ago; the watch starts from there.
            std::vector<EvacuationItem> listed;
            listed.reserve(store.size());
            for (const auto &[dataCentre, writtenAt] : store)
                listed.push_back({dataCentre, writtenAt});
            applyEvacuationList(known, listed, revision, now);
            delivered = history.size() - std::min<std::size_t>(history.size(), random() % 4);
            deliver();
        } else if (action < 4) {
            deliver();
        } else {
            continue;
        }
        BOOST_REQUIRE_MESSAGE(known.size() == store.size(), "seed " << seed << " step " << step);
        for (const auto &[dataCentre, writtenAt] : store)
            BOOST_REQUIRE_MESSAGE(isEvacuated(known, dataCentre), "seed " << seed);
    }
}

// Guards against an evacuation that ends because a restored store has lost its key.
BOOST_AUTO_TEST_CASE(evacuation_outlasts_a_restored_store_that_lacks_it)
{
    Evacuations known = {{"east", {Time(1s), 90}}, {"west", {Time(2s), 95}}};
    forgetRevisions(known);
    std::vector<EvacuationItem> listed = {{"west", 40, false}};
    addUnlisted(listed, known);
    BOOST_TEST(applyEvacuationList(known, listed, 41, Time(5s)).empty());
    BOOST_TEST(isEvacuated(known, "east"));
    BOOST_TEST((known.at("east").learnedAt_ == Time(1s)));
    // Revisions are given out again, so a lower one than before ends it.
    BOOST_TEST(applyEvacuationEvent(known, {"east", 42, true}, Time(6s)).has_value());
    BOOST_TEST(!isEvacuated(known, "east"));
    BOOST_TEST(applyEvacuationEvent(known, {"west", 43, true}, Time(6s)).has_value());
}
