#include "Peer/storequeries.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>

using namespace eelgrasscove;
using namespace std::chrono_literals;

namespace {

const Time now = Time(100s);

} // namespace

BOOST_AUTO_TEST_CASE(few_entries_lead_store_queries_and_lost_ones_are_replaced)
{
    for (const NameHash count : {1U, 4U, 21U, 68U}) {
        std::vector<NameHash> live;
        for (NameHash entry = 0; entry < count; ++entry)
            live.push_back(entry * 7919 % 1000);
        for (int lost = 0; lost < 2 && !live.empty(); ++lost) {
            const auto leaders = std::count_if(live.begin(), live.end(), [&](NameHash self) {
                std::vector<NameHash> peers = live;
                std::erase(peers, self);
                return leadsStoreQueries(self, peers);
            });
            BOOST_TEST(leaders == std::min<std::ptrdiff_t>(4, std::ssize(live)));
            std::erase(live, *std::min_element(live.begin(), live.end()));
        }
        BOOST_TEST(leadsStoreQueries(5, {}));
    }
}

BOOST_AUTO_TEST_CASE(a_query_is_postponed_only_while_other_entries_know_no_unknown_change)
{
    ListKnowledge knowledge{.revision_ = 50, .queriedAt_ = now - 2s};
    // No report has been received.
    BOOST_TEST(!mayPostponeQuery(knowledge, 2s, now));
    recordPeerReport(knowledge, {40, 0, now - 1s});
    BOOST_TEST(mayPostponeQuery(knowledge, 2s, now));
    // An older statement changes nothing, and a statement ages.
    recordPeerReport(knowledge, {30, 0, now - 5s});
    BOOST_TEST(mayPostponeQuery(knowledge, 2s, now + 900ms));
    BOOST_TEST(!mayPostponeQuery(knowledge, 2s, now + 1100ms));
    // One report of an unknown change is enough, also if other entries don't know it.
    recordPeerReport(knowledge, {51, 0, now});
    recordPeerReport(knowledge, {40, 0, now});
    BOOST_TEST(!mayPostponeQuery(knowledge, 2s, now));
    knowledge.revision_ = 51;
    BOOST_TEST(mayPostponeQuery(knowledge, 2s, now));
    // The store keeps its history for a time only.
    knowledge.queriedAt_ = now - 11s;
    BOOST_TEST(!mayPostponeQuery(knowledge, 2s, now));
}

BOOST_AUTO_TEST_CASE(waiting_watch_is_checked_when_nothing_has_confirmed_the_list_for_long)
{
    // The watch was sent long ago; its connection may be silent.
    ListKnowledge knowledge{.revision_ = 50, .queriedAt_ = now - 9s, .confirmedAt_ = now - 9s};
    BOOST_TEST(isWatchCheckDue(knowledge, 2s, now));
    for (Time ListKnowledge::*proof : {&ListKnowledge::queriedAt_, &ListKnowledge::confirmedAt_,
                                       &ListKnowledge::confirmedByPeerAt_}) {
        ListKnowledge confirmed = knowledge;
        confirmed.*proof = now - 1s;
        BOOST_TEST(!isWatchCheckDue(confirmed, 2s, now));
        BOOST_TEST(isWatchCheckDue(confirmed, 2s, now + 1001ms));
    }
}

BOOST_AUTO_TEST_CASE(one_entry_comes_first_in_querying_the_store)
{
    const std::vector<NameHash> entries = {30, 10, 20};
    std::set<std::size_t> ranks;
    for (const NameHash self : entries) {
        std::vector<NameHash> peers = entries;
        std::erase(peers, self);
        ranks.insert(storeQueryRank(self, peers));
    }
    BOOST_TEST((ranks == std::set<std::size_t>{0, 1, 2}));
    BOOST_TEST(storeQueryRank(30, {}) == 0);
}

BOOST_AUTO_TEST_CASE(report_does_not_cover_removals_before_the_reporters_list)
{
    // The reporter has started, or its history was lost: it read a list at revision 60, in which a
    // target removed at revision 55 is absent.
    ListKnowledge knowledge{.revision_ = 50, .queriedAt_ = now - 2s};
    recordPeerReport(knowledge, {40, 60, now});
    BOOST_TEST(!mayPostponeQuery(knowledge, 2s, now));
    BOOST_TEST(isWatchCheckDue(knowledge, 1s, now));
    // It is no sign of a change either.
    BOOST_TEST(knowledge.peersChangeRevision_ <= knowledge.revision_);
    knowledge.revision_ = 60;
    recordPeerReport(knowledge, {40, 60, now});
    BOOST_TEST(mayPostponeQuery(knowledge, 2s, now));
}
