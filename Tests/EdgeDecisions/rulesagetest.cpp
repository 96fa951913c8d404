#include "Edge/rulesage.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrasscove;
using namespace std::chrono_literals;

// Guards against rules being taken for the newest because a call to the store succeeded.
BOOST_AUTO_TEST_CASE(rules_are_not_confirmed_while_newer_ones_cannot_be_decoded)
{
    RulesAge age;
    BOOST_TEST((confirmedAt(age, std::nullopt) == Time{}));
    BOOST_TEST((confirmedAt(age, Time(10s)) == Time(10s)));
    age.confirmedByPeerAt_ = Time(12s);
    BOOST_TEST((confirmedAt(age, Time(10s)) == Time(12s)));
    BOOST_TEST((confirmedByStoreAt(age, Time(10s)) == Time(10s)));

    recordUnreadableRules(age, Time(11s));
    // A confirmation from before stays as it is.
    BOOST_TEST((confirmedByStoreAt(age, Time(10s)) == Time(10s)));
    BOOST_TEST((confirmedByStoreAt(age, Time(20s)) == Time(11s)));
    age.confirmedByPeerAt_ = Time(21s);
    BOOST_TEST((confirmedAt(age, Time(10s)) == Time(11s)));
    BOOST_TEST((confirmedAt(age, Time(20s)) == Time(11s)));
    // The same value in a list, or another one that can't be decoded.
    recordUnreadableRules(age, Time(18s));
    BOOST_TEST((confirmedAt(age, Time(20s)) == Time(11s)));

    recordReadableRules(age);
    BOOST_TEST((confirmedAt(age, Time(20s)) == Time(21s)));
}

// Guards against withdrawn keys that pass again as the store was restored from an older copy.
BOOST_AUTO_TEST_CASE(rules_are_not_confirmed_while_a_restored_store_lacks_known_ones)
{
    RulesAge age;
    recordRestoredStore(age, Time(10s));
    age.confirmedByPeerAt_ = Time(14s);
    BOOST_TEST((confirmedAt(age, Time(15s)) == Time(10s)));
    recordRulesWrittenAgain(age);
    BOOST_TEST((confirmedAt(age, Time(15s)) == Time(15s)));
    // A peer knows newer ones. They may have been adopted right after the last confirmation.
    recordLostRules(age);
    BOOST_TEST((confirmedAt(age, Time(16s)) == Time(10s)));
    // The store is restored once more, before they were written again.
    recordRestoredStore(age, Time(16s));
    BOOST_TEST((confirmedAt(age, Time(17s)) == Time(10s)));
    recordRulesWrittenAgain(age);
    BOOST_TEST((confirmedByStoreAt(age, Time(18s)) == Time(18s)));

    RulesAge ofNewEntry;
    recordLostRules(ofNewEntry);
    BOOST_TEST((confirmedAt(ofNewEntry, Time(20s)) == Time{}));
}
