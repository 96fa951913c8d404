#define BOOST_TEST_MODULE EdgeDecisions
#include "Edge/placement.h"

#include <boost/test/unit_test.hpp>

#include <deque>

using namespace eelgrasscove;
using namespace std::chrono_literals;

namespace {

const Time now = Time(100s);

struct Fleet
{
    std::deque<TargetBelief> beliefs_;

    TargetBelief &add(const std::string &id, const std::string &dataCentre = "here")
    {
        TargetBelief &belief = beliefs_.emplace_back();
        belief.listed_.id_ = id;
        belief.listed_.dataCentre_ = dataCentre;
        belief.listed_.slots_ = 10;
        belief.agentHeard_ = true;
        belief.heardAt_ = now;
        belief.listed_.address_ = "10.0.0.1:" + id;
        belief.models_ = {markOf("base")};
        belief.aliveAt_ = now;
        belief.loadAt_ = now;
        return belief;
    }

    std::vector<TargetBelief *> all()
    {
        std::vector<TargetBelief *> targets;
        for (TargetBelief &belief : beliefs_)
            targets.push_back(&belief);
        return targets;
    }
};

PlaceQuery queryFor(const std::string &adapter)
{
    PlaceQuery query;
    query.dataCentre_ = "here";
    query.model_ = "base";
    query.adapter_ = adapter;
    return query;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_request_goes_where_its_adapter_is)
{
    Fleet fleet;
    fleet.add("a");
    fleet.add("b").adapters_[markOf("base/x")] = 1;
    const Place place = choosePlace(fleet.all(), queryFor("base/x"), now);
    BOOST_TEST((place.kind_ == PlaceKind::Send));
    BOOST_TEST(place.target_->listed_.id_ == "b");
}

BOOST_AUTO_TEST_CASE(entries_agree_on_the_home_of_a_rare_adapter_whatever_their_data_centre)
{
    Fleet fleet;
    for (int number = 0; number < 12; ++number)
        fleet.add("t" + std::to_string(number), number < 6 ? "here" : "there");
    for (int number = 0; number < 50; ++number) {
        PlaceQuery query = queryFor("base/a" + std::to_string(number));
        const Place here = choosePlace(fleet.all(), query, now);
        query.dataCentre_ = "there";
        const Place there = choosePlace(fleet.all(), query, now);
        BOOST_TEST((here.kind_ == PlaceKind::AwaitAdapter));
        BOOST_TEST(here.target_ == there.target_);
    }
}

BOOST_AUTO_TEST_CASE(an_adapter_on_its_way_is_not_asked_for_elsewhere)
{
    Fleet fleet;
    fleet.add("a");
    fleet.add("b");
    fleet.add("c").incoming_[markOf("base/x")] = 0;
    const Place place = choosePlace(fleet.all(), queryFor("base/x"), now);
    BOOST_TEST((place.kind_ == PlaceKind::AwaitAdapter));
    BOOST_TEST(place.target_->listed_.id_ == "c");
}

BOOST_AUTO_TEST_CASE(a_frequent_adapter_gets_a_copy_before_its_target_is_full)
{
    Fleet fleet;
    TargetBelief &full = fleet.add("a");
    full.adapters_[markOf("base/x")] = 1;
    full.running_ = 8;
    fleet.add("b").running_ = 1;
    const Place place = choosePlace(fleet.all(), queryFor("base/x"), now);
    BOOST_TEST((place.kind_ == PlaceKind::Send));
    BOOST_REQUIRE(place.copyAt_ != nullptr);
    BOOST_TEST(place.copyAt_->listed_.id_ == "b");
}

BOOST_AUTO_TEST_CASE(adapters_are_spread_over_engines_that_start_at_once)
{
    Fleet fleet;
    for (int number = 0; number < 8; ++number)
        fleet.add("t" + std::to_string(number)).models_.clear();
    std::map<std::string, int> homes;
    for (int number = 0; number < 80; ++number) {
        const Place place =
            choosePlace(fleet.all(), queryFor("base/a" + std::to_string(number)), now);
        BOOST_REQUIRE(place.target_ != nullptr);
        ++homes[place.target_->listed_.id_];
    }
    BOOST_TEST(homes.size() == 8);
    // Once one of them is up, an adapter that isn't asked for anywhere goes there.
    fleet.beliefs_[3].models_ = {markOf("base")};
    BOOST_TEST(choosePlace(fleet.all(), queryFor("base/b"), now).target_->listed_.id_ == "t3");
}

BOOST_AUTO_TEST_CASE(an_older_version_is_not_used_once_a_newer_is_due)
{
    Fleet fleet;
    fleet.add("a").adapters_[markOf("base/x")] = 1;
    PlaceQuery query = queryFor("base/x");
    query.leastVersion_ = 2;
    BOOST_TEST((choosePlace(fleet.all(), query, now).kind_ != PlaceKind::Send));
    fleet.beliefs_[0].adapters_[markOf("base/x")] = 2;
    BOOST_TEST((choosePlace(fleet.all(), query, now).kind_ == PlaceKind::Send));
}

BOOST_AUTO_TEST_CASE(an_adapter_has_as_many_copies_as_its_requests_fill)
{
    Fleet fleet;
    for (int number = 0; number < 12; ++number)
        fleet.add("t" + std::to_string(number)).running_ = 1;
    fleet.beliefs_[0].adapters_[markOf("base/x")] = 1;
    fleet.beliefs_[0].running_ = 4;
    PlaceQuery query = queryFor("base/x");
    // Rare, whatever else runs beside it.
    query.askedPerSecond_ = 0.3;
    BOOST_TEST((choosePlace(fleet.all(), query, now).copyAt_ == nullptr));
    // Two seconds a run: six run at a time, where a copy is to have three of ten slots.
    query.askedPerSecond_ = 3.1;
    std::size_t copies = 1;
    for (;;) {
        const Place place = choosePlace(fleet.all(), query, now);
        if (place.copyAt_ == nullptr)
            break;
        place.copyAt_->incoming_[markOf("base/x")] = 1;
        ++copies;
        BOOST_REQUIRE(copies < 12);
    }
    BOOST_TEST(copies == 3);
}

BOOST_AUTO_TEST_CASE(a_target_that_makes_streams_late_gets_less_than_the_others)
{
    Fleet fleet;
    for (int number = 0; number < 3; ++number) {
        TargetBelief &target = fleet.add("t" + std::to_string(number));
        target.adapters_[markOf("base/x")] = 1;
        target.running_ = number == 0 ? 2 : 5;
    }
    TargetBelief &slow = fleet.beliefs_[0];
    BOOST_TEST(choosePlace(fleet.all(), queryFor("base/x"), now).target_ == &slow);
    slow.lateRatio_ = 0.4;
    BOOST_TEST(choosePlace(fleet.all(), queryFor("base/x"), now).target_ != &slow);
    // Where all are late alike, as by overload, that speaks against none.
    for (TargetBelief &target : fleet.beliefs_)
        target.lateRatio_ = 0.4;
    BOOST_TEST(choosePlace(fleet.all(), queryFor("base/x"), now).target_ == &slow);
}

BOOST_AUTO_TEST_CASE(a_newer_version_is_loaded_beside_the_one_that_serves)
{
    Fleet fleet;
    for (const char *id : {"a", "b", "c"})
        fleet.add(id);
    TargetBelief &older = fleet.beliefs_[0];
    TargetBelief &newer = fleet.beliefs_[1];
    older.adapters_[markOf("base/x")] = 1;
    older.outstanding_ = 1;
    PlaceQuery query = queryFor("base/x");
    query.newestVersion_ = 2;
    // A replacement would wait for the runs there, and hold up every other load meanwhile.
    const Place first = choosePlace(fleet.all(), query, now);
    BOOST_TEST((first.kind_ == PlaceKind::Send));
    BOOST_TEST(first.target_ == &older);
    BOOST_REQUIRE(first.copyAt_ != nullptr);
    BOOST_TEST(first.copyAt_ != &older);
    // It is asked for once.
    newer.incoming_[markOf("base/x")] = 2;
    BOOST_TEST((choosePlace(fleet.all(), query, now).copyAt_ == nullptr));
    // All go to it once it is there, also where it is the fuller one.
    newer.incoming_.clear();
    newer.adapters_[markOf("base/x")] = 2;
    newer.outstanding_ = 3;
    const Place then = choosePlace(fleet.all(), query, now);
    BOOST_TEST(then.target_ == &newer);
    BOOST_TEST((then.copyAt_ == nullptr));
}

BOOST_AUTO_TEST_CASE(a_newer_version_replaces_the_older_only_where_all_hold_that)
{
    Fleet fleet;
    for (const char *id : {"a", "b"})
        fleet.add(id).adapters_[markOf("base/x")] = 1;
    PlaceQuery query = queryFor("base/x");
    query.newestVersion_ = 2;
    const Place place = choosePlace(fleet.all(), query, now);
    BOOST_TEST((place.kind_ == PlaceKind::Send));
    BOOST_REQUIRE(place.copyAt_ != nullptr);
    // Its runs have to end before it can be replaced.
    BOOST_TEST(place.target_ != place.copyAt_);
}

BOOST_AUTO_TEST_CASE(a_target_that_the_list_lost_is_left_alone_while_most_others_are_listed)
{
    Fleet fleet;
    for (const char *id : {"a", "b", "c", "d"})
        fleet.add(id).outstanding_ = 5;
    fleet.beliefs_.front().outstanding_ = 0;
    fleet.beliefs_.front().missingSince_ = now - 100ms;
    const Place place = choosePlace(fleet.all(), queryFor(""), now);
    BOOST_TEST((place.kind_ == PlaceKind::Send));
    BOOST_TEST(place.target_->listed_.id_ != "a");
}

BOOST_AUTO_TEST_CASE(a_list_that_lost_most_targets_is_not_believed)
{
    Fleet fleet;
    for (const char *id : {"a", "b", "c", "d"}) {
        TargetBelief &belief = fleet.add(id);
        belief.missingSince_ = now - 100ms;
        belief.outstanding_ = 5;
    }
    // One is back; the others' entries lapsed with its own and are on their way back.
    fleet.beliefs_.back().missingSince_.reset();
    fleet.beliefs_.back().outstanding_ = 9;
    const Place place = choosePlace(fleet.all(), queryFor(""), now);
    BOOST_TEST((place.kind_ == PlaceKind::Send));
    BOOST_TEST(place.target_->listed_.id_ != "d");
}

BOOST_AUTO_TEST_CASE(nothing_is_sent_to_targets_that_leave_are_down_or_were_replaced)
{
    for (int fault = 0; fault < 4; ++fault) {
        Fleet fleet;
        TargetBelief &target = fleet.add("a");
        target.listed_.draining_ = fault == 0;
        target.draining_ = fault == 1;
        target.up_ = fault != 2;
        target.replaced_ = fault == 3;
        PlaceQuery query = queryFor("");
        BOOST_TEST((choosePlace(fleet.all(), query, now).kind_ != PlaceKind::Send), fault);
    }
}

BOOST_AUTO_TEST_CASE(requests_wait_for_an_engine_that_loads_its_model)
{
    Fleet fleet;
    fleet.add("a").models_.clear();
    BOOST_TEST((choosePlace(fleet.all(), queryFor(""), now).kind_ == PlaceKind::AwaitTarget));
    BOOST_TEST(
        (choosePlace(fleet.all(), queryFor("base/x"), now).kind_ == PlaceKind::AwaitAdapter));
    BOOST_TEST((choosePlace({}, queryFor("base/x"), now).kind_ == PlaceKind::None));
}

BOOST_AUTO_TEST_CASE(a_silent_target_with_work_gets_nothing_more)
{
    Fleet fleet;
    TargetBelief &silent = fleet.add("a");
    silent.outstanding_ = 1;
    silent.aliveAt_ = now - 600ms;
    BOOST_TEST((choosePlace(fleet.all(), queryFor(""), now).kind_ == PlaceKind::AwaitTarget));
    silent.aliveAt_ = now - 100ms;
    BOOST_TEST((choosePlace(fleet.all(), queryFor(""), now).kind_ == PlaceKind::Send));
}

BOOST_AUTO_TEST_CASE(a_target_that_fails_more_than_the_others_gets_trials_until_it_is_mended)
{
    Fleet fleet;
    TargetBelief &grey = fleet.add("a");
    fleet.add("b").running_ = 9;
    fleet.add("c").running_ = 9;
    for (int failure = 0; failure < 4; ++failure)
        noteOutcome(grey, 1);
    grey.lastSentAt_ = now;
    BOOST_TEST(choosePlace(fleet.all(), queryFor(""), now).target_ != &grey);
    BOOST_TEST(!isShunned(grey, 0, now + 400ms));
    for (int trial = 0; trial < 8; ++trial)
        noteOutcome(grey, 0);
    BOOST_TEST(!isShunned(grey, 0, now));
}

BOOST_AUTO_TEST_CASE(failures_that_all_targets_have_alike_shut_none_out)
{
    Fleet fleet;
    for (const char *id : {"a", "b", "c"}) {
        TargetBelief &target = fleet.add(id);
        for (int failure = 0; failure < 10; ++failure)
            noteOutcome(target, 1);
        target.lastSentAt_ = now;
    }
    BOOST_TEST((choosePlace(fleet.all(), queryFor(""), now).kind_ == PlaceKind::Send));
}
