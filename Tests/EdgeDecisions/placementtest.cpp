#define BOOST_TEST_MODULE EdgeDecisions
#include "Edge/placement.h"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <functional>

using namespace eelgrasscove;
using namespace std::chrono_literals;

namespace {

const Time now = Time(100s);

struct Fleet
{
    std::deque<TargetState> states_;

    TargetState &add(const std::string &id, const std::string &dataCentre = "here")
    {
        TargetState &state = states_.emplace_back();
        state.listed_.id_ = id;
        state.listed_.dataCentre_ = dataCentre;
        state.listed_.slots_ = 10;
        state.hasAgentReport_ = true;
        state.agentReportedAt_ = now;
        state.listed_.address_ = "10.0.0.1:" + id;
        state.models_ = {nameHash("base")};
        state.lastContactAt_ = now;
        state.loadReportedAt_ = now;
        return state;
    }

    std::vector<TargetState *> all()
    {
        std::vector<TargetState *> targets;
        for (TargetState &state : states_)
            targets.push_back(&state);
        return targets;
    }
};

PlacementQuery queryFor(const std::string &adapter)
{
    PlacementQuery query;
    query.dataCentre_ = "here";
    query.model_ = "base";
    query.adapter_ = adapter;
    return query;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_request_is_sent_to_the_target_with_its_adapter)
{
    Fleet fleet;
    fleet.add("a");
    fleet.add("b").adapters_[nameHash("base/x")] = 1;
    const Placement place = choosePlacement(fleet.all(), queryFor("base/x"), now);
    BOOST_TEST((place.kind_ == PlacementKind::Send));
    BOOST_TEST(place.target_->listed_.id_ == "b");
}

BOOST_AUTO_TEST_CASE(entries_in_different_data_centres_choose_the_same_target_for_a_rare_adapter)
{
    Fleet fleet;
    for (int number = 0; number < 12; ++number)
        fleet.add("t" + std::to_string(number), number < 6 ? "here" : "there");
    for (int number = 0; number < 50; ++number) {
        PlacementQuery query = queryFor("base/a" + std::to_string(number));
        const Placement here = choosePlacement(fleet.all(), query, now);
        query.dataCentre_ = "there";
        const Placement there = choosePlacement(fleet.all(), query, now);
        BOOST_TEST((here.kind_ == PlacementKind::AwaitAdapter));
        BOOST_TEST(here.target_ == there.target_);
    }
}

BOOST_AUTO_TEST_CASE(an_adapter_with_a_pending_load_is_not_requested_from_another_target)
{
    Fleet fleet;
    fleet.add("a");
    fleet.add("b");
    fleet.add("c").incoming_[nameHash("base/x")] = 0;
    const Placement place = choosePlacement(fleet.all(), queryFor("base/x"), now);
    BOOST_TEST((place.kind_ == PlacementKind::AwaitAdapter));
    BOOST_TEST(place.target_->listed_.id_ == "c");
}

BOOST_AUTO_TEST_CASE(a_frequent_adapter_gets_another_replica_before_its_target_is_full)
{
    Fleet fleet;
    TargetState &full = fleet.add("a");
    full.adapters_[nameHash("base/x")] = 1;
    full.running_ = 8;
    fleet.add("b").running_ = 1;
    const Placement place = choosePlacement(fleet.all(), queryFor("base/x"), now);
    BOOST_TEST((place.kind_ == PlacementKind::Send));
    BOOST_REQUIRE(place.replicaTarget_ != nullptr);
    BOOST_TEST(place.replicaTarget_->listed_.id_ == "b");
}

BOOST_AUTO_TEST_CASE(adapters_are_distributed_over_engines_that_start_simultaneously)
{
    Fleet fleet;
    for (int number = 0; number < 8; ++number)
        fleet.add("t" + std::to_string(number)).models_.clear();
    std::map<std::string, int> loadsByTarget;
    for (int number = 0; number < 80; ++number) {
        const Placement place =
            choosePlacement(fleet.all(), queryFor("base/a" + std::to_string(number)), now);
        BOOST_REQUIRE(place.target_ != nullptr);
        ++loadsByTarget[place.target_->listed_.id_];
    }
    BOOST_TEST(loadsByTarget.size() == 8);
    // Once one of them has its model, an adapter without a pending load is loaded there.
    fleet.states_[3].models_ = {nameHash("base")};
    BOOST_TEST(choosePlacement(fleet.all(), queryFor("base/b"), now).target_->listed_.id_ == "t3");
}

BOOST_AUTO_TEST_CASE(a_version_older_than_the_minimum_is_not_used)
{
    Fleet fleet;
    fleet.add("a").adapters_[nameHash("base/x")] = 1;
    PlacementQuery query = queryFor("base/x");
    query.minVersion_ = 2;
    BOOST_TEST((choosePlacement(fleet.all(), query, now).kind_ != PlacementKind::Send));
    fleet.states_[0].adapters_[nameHash("base/x")] = 2;
    BOOST_TEST((choosePlacement(fleet.all(), query, now).kind_ == PlacementKind::Send));
}

BOOST_AUTO_TEST_CASE(the_number_of_replicas_follows_the_request_rate_of_the_adapter)
{
    Fleet fleet;
    for (int number = 0; number < 12; ++number)
        fleet.add("t" + std::to_string(number)).running_ = 1;
    fleet.states_[0].adapters_[nameHash("base/x")] = 1;
    fleet.states_[0].running_ = 4;
    PlacementQuery query = queryFor("base/x");
    // Rarely requested, irrespective of the other load on its target.
    query.requestsPerSecond_ = 0.3;
    BOOST_TEST((choosePlacement(fleet.all(), query, now).replicaTarget_ == nullptr));
    // At two seconds per run, six requests run concurrently; a replica uses three of ten slots.
    query.requestsPerSecond_ = 3.1;
    std::size_t replicas = 1;
    for (;;) {
        const Placement place = choosePlacement(fleet.all(), query, now);
        if (place.replicaTarget_ == nullptr)
            break;
        place.replicaTarget_->incoming_[nameHash("base/x")] = 1;
        ++replicas;
        BOOST_REQUIRE(replicas < 12);
    }
    BOOST_TEST(replicas == 3);
}

BOOST_AUTO_TEST_CASE(a_target_with_more_late_streams_than_the_others_is_avoided)
{
    Fleet fleet;
    for (int number = 0; number < 3; ++number) {
        TargetState &target = fleet.add("t" + std::to_string(number));
        target.adapters_[nameHash("base/x")] = 1;
        target.running_ = number == 0 ? 2 : 5;
    }
    TargetState &slow = fleet.states_[0];
    BOOST_TEST(choosePlacement(fleet.all(), queryFor("base/x"), now).target_ == &slow);
    slow.lateRatio_ = 0.4;
    BOOST_TEST(choosePlacement(fleet.all(), queryFor("base/x"), now).target_ != &slow);
    // If the late ratio is the same at all targets, as in overload, none is avoided.
    for (TargetState &target : fleet.states_)
        target.lateRatio_ = 0.4;
    BOOST_TEST(choosePlacement(fleet.all(), queryFor("base/x"), now).target_ == &slow);
}

BOOST_AUTO_TEST_CASE(a_newer_version_is_loaded_on_another_target_than_the_serving_one)
{
    Fleet fleet;
    for (const char *id : {"a", "b", "c"})
        fleet.add(id);
    TargetState &older = fleet.states_[0];
    TargetState &newer = fleet.states_[1];
    older.adapters_[nameHash("base/x")] = 1;
    older.outstanding_ = 1;
    PlacementQuery query = queryFor("base/x");
    query.newestVersion_ = 2;
    // A replacement would wait for the requests running there and meanwhile block every other load.
    const Placement first = choosePlacement(fleet.all(), query, now);
    BOOST_TEST((first.kind_ == PlacementKind::Send));
    BOOST_TEST(first.target_ == &older);
    BOOST_REQUIRE(first.replicaTarget_ != nullptr);
    BOOST_TEST(first.replicaTarget_ != &older);
    // The load is requested once.
    newer.incoming_[nameHash("base/x")] = 2;
    BOOST_TEST((choosePlacement(fleet.all(), query, now).replicaTarget_ == nullptr));
    // Once it is loaded, all requests are sent there, even if that target has the higher load.
    newer.incoming_.clear();
    newer.adapters_[nameHash("base/x")] = 2;
    newer.outstanding_ = 3;
    const Placement second = choosePlacement(fleet.all(), query, now);
    BOOST_TEST(second.target_ == &newer);
    BOOST_TEST((second.replicaTarget_ == nullptr));
}

BOOST_AUTO_TEST_CASE(a_newer_version_replaces_the_older_one_if_all_targets_have_that)
{
    Fleet fleet;
    for (const char *id : {"a", "b"})
        fleet.add(id).adapters_[nameHash("base/x")] = 1;
    PlacementQuery query = queryFor("base/x");
    query.newestVersion_ = 2;
    const Placement place = choosePlacement(fleet.all(), query, now);
    BOOST_TEST((place.kind_ == PlacementKind::Send));
    BOOST_REQUIRE(place.replicaTarget_ != nullptr);
    // Requests running on the older version have to end before it can be replaced.
    BOOST_TEST(place.target_ != place.replicaTarget_);
}

BOOST_AUTO_TEST_CASE(a_target_missing_from_the_list_gets_no_requests_while_most_others_are_listed)
{
    Fleet fleet;
    for (const char *id : {"a", "b", "c", "d"})
        fleet.add(id).outstanding_ = 5;
    fleet.states_.front().outstanding_ = 0;
    fleet.states_.front().missingSince_ = now - 100ms;
    const Placement place = choosePlacement(fleet.all(), queryFor(""), now);
    BOOST_TEST((place.kind_ == PlacementKind::Send));
    BOOST_TEST(place.target_->listed_.id_ != "a");
}

BOOST_AUTO_TEST_CASE(targets_stay_in_use_when_most_are_missing_from_the_list)
{
    Fleet fleet;
    for (const char *id : {"a", "b", "c", "d"}) {
        TargetState &state = fleet.add(id);
        state.missingSince_ = now - 100ms;
        state.outstanding_ = 5;
    }
    // One is listed again; the entries of the others expired with its own and will reappear.
    fleet.states_.back().missingSince_.reset();
    fleet.states_.back().outstanding_ = 9;
    const Placement place = choosePlacement(fleet.all(), queryFor(""), now);
    BOOST_TEST((place.kind_ == PlacementKind::Send));
    BOOST_TEST(place.target_->listed_.id_ != "d");
}

BOOST_AUTO_TEST_CASE(nothing_is_sent_to_targets_that_are_draining_down_or_replaced)
{
    for (int fault = 0; fault < 4; ++fault) {
        Fleet fleet;
        TargetState &target = fleet.add("a");
        target.listed_.draining_ = fault == 0;
        target.isDraining_ = fault == 1;
        target.isUp_ = fault != 2;
        target.isReplaced_ = fault == 3;
        PlacementQuery query = queryFor("");
        BOOST_TEST((choosePlacement(fleet.all(), query, now).kind_ != PlacementKind::Send), fault);
    }
}

BOOST_AUTO_TEST_CASE(a_target_that_leaves_gets_no_requests_or_loads)
{
    for (const LeavingSource source :
         {LeavingSource::List, LeavingSource::Report, LeavingSource::Response}) {
        BOOST_TEST_CONTEXT(nameOf(leavingSourceNames, source))
        {
            Fleet fleet;
            TargetState &leaving = fleet.add("a");
            leaving.adapters_[nameHash("base/x")] = 1;
            BOOST_TEST(recordLeaving(leaving.notice_, source));
            // Later states of the same instance that do not say so change nothing.
            leaving.listed_.draining_ = false;
            leaving.isDraining_ = false;
            BOOST_TEST((choosePlacement(fleet.all(), queryFor("base/x"), now).kind_
                        == PlacementKind::None));
            // It is idle, and preferred for some of the adapters.
            TargetState &busy = fleet.add("b");
            busy.running_ = 9;
            for (int number = 0; number < 20; ++number) {
                const auto query = queryFor("base/a" + std::to_string(number));
                BOOST_TEST(choosePlacement(fleet.all(), query, now).target_ == &busy);
            }
            busy.adapters_[nameHash("base/x")] = 1;
            const Placement place = choosePlacement(fleet.all(), queryFor("base/x"), now);
            BOOST_TEST((place.kind_ == PlacementKind::Send));
            BOOST_TEST(place.target_ == &busy);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_target_that_pauses_gets_no_requests_or_loads)
{
    Fleet fleet;
    TargetState &paused = fleet.add("a");
    paused.adapters_[nameHash("base/x")] = 1;
    recordPause(paused.notice_, 5s, 0, now);
    TargetState &busy = fleet.add("b");
    busy.running_ = 9;
    for (int number = 0; number < 20; ++number) {
        const auto query = queryFor("base/a" + std::to_string(number));
        BOOST_TEST(choosePlacement(fleet.all(), query, now).target_ == &busy);
    }
    busy.adapters_[nameHash("base/x")] = 1;
    const Placement place = choosePlacement(fleet.all(), queryFor("base/x"), now);
    BOOST_TEST((place.kind_ == PlacementKind::Send));
    BOOST_TEST(place.target_ == &busy);
    for (TargetState &target : fleet.states_) {
        target.lastContactAt_ = now + 5s;
        target.agentReportedAt_ = now + 5s;
    }
    BOOST_TEST(choosePlacement(fleet.all(), queryFor("base/x"), now + 5s).target_ == &paused);
}

BOOST_AUTO_TEST_CASE(a_target_that_leaves_or_pauses_gets_no_replica_of_a_frequent_adapter)
{
    for (const bool leaves : {true, false}) {
        Fleet fleet;
        TargetState &full = fleet.add("a");
        full.adapters_[nameHash("base/x")] = 1;
        full.running_ = 8;
        TargetState &idle = fleet.add("b");
        if (leaves)
            recordLeaving(idle.notice_, LeavingSource::Response);
        else
            recordPause(idle.notice_, 5s, 0, now);
        const Placement place = choosePlacement(fleet.all(), queryFor("base/x"), now);
        BOOST_TEST(place.target_ == &full);
        BOOST_TEST((place.replicaTarget_ == nullptr), leaves);
    }
}

BOOST_AUTO_TEST_CASE(a_request_learns_when_the_first_of_the_pausing_targets_is_back)
{
    Fleet fleet;
    recordPause(fleet.add("a").notice_, 5s, 0, now);
    recordPause(fleet.add("b").notice_, 2s, 0, now);
    recordPause(fleet.add("c").notice_, 9s, 0, now);
    recordLeaving(fleet.add("d").notice_, LeavingSource::Response);
    const Placement place = choosePlacement(fleet.all(), queryFor(""), now);
    BOOST_TEST((place.kind_ == PlacementKind::AwaitPauseEnd));
    BOOST_TEST((place.pauseLeft_ == 2s));
    // One that was tried, or is in trouble for a moment, takes the request sooner.
    fleet.add("e").avoidUntil_ = now + 100ms;
    BOOST_TEST(
        (choosePlacement(fleet.all(), queryFor(""), now).kind_ == PlacementKind::AwaitTarget));
}

BOOST_AUTO_TEST_CASE(a_target_that_leaves_while_it_pauses_is_not_awaited)
{
    Fleet fleet;
    TargetState &target = fleet.add("a");
    recordPause(target.notice_, 2s, 0, now);
    recordLeaving(target.notice_, LeavingSource::Response);
    BOOST_TEST((choosePlacement(fleet.all(), queryFor(""), now).kind_ == PlacementKind::None));
}

BOOST_AUTO_TEST_CASE(only_targets_that_take_no_requests_have_theirs_withdrawn)
{
    for (const auto &[exclusion, name] : targetExclusionNames) {
        const bool isWithdrawn = name == "replaced" || name == "evacuated" || name == "paused"
            || name.ends_with("leaving");
        BOOST_TEST(declinesRequests(exclusion) == isWithdrawn, name);
    }
}

BOOST_AUTO_TEST_CASE(each_reason_to_exclude_a_target_has_its_name)
{
    const auto nameFor = [](const std::function<void(TargetState &)> &change) {
        Fleet fleet;
        TargetState &target = fleet.add("a");
        change(target);
        return nameOf(targetExclusionNames, exclusionOf(target, now));
    };
    BOOST_TEST(nameFor([](auto &) {}) == "none");
    BOOST_TEST(nameFor([](auto &target) { target.isReplaced_ = true; }) == "replaced");
    // No request waits for the end of a pause of an evacuated target.
    BOOST_TEST(nameFor([](auto &target) {
                   target.isEvacuated_ = true;
                   recordPause(target.notice_, 1s, 0, now);
               })
               == "evacuated");
    BOOST_TEST(nameFor([](auto &target) { target.listed_.draining_ = true; })
               == "listed_as_leaving");
    BOOST_TEST(nameFor([](auto &target) { target.isDraining_ = true; }) == "reported_as_leaving");
    BOOST_TEST(nameFor([](auto &target) { recordLeaving(target.notice_, LeavingSource::Response); })
               == "responded_as_leaving");
    BOOST_TEST(nameFor([](auto &target) { recordPause(target.notice_, 1s, 0, now); }) == "paused");
    BOOST_TEST(nameFor([](auto &target) {
                   recordPause(target.notice_, 1s, 0, now - 1s);
                   recordSend(target.notice_, now);
                   recordSend(target.notice_, now);
               })
               == "on_trial");
    BOOST_TEST(nameFor([](auto &target) { target.isUp_ = false; }) == "down");
    BOOST_TEST(nameFor([](auto &target) {
                   target.outstanding_ = 1;
                   target.lastContactAt_ = now - 1s;
               })
               == "silent");
    BOOST_TEST(nameFor([](auto &target) { target.avoidUntil_ = now + 1s; }) == "avoided");
}

BOOST_AUTO_TEST_CASE(requests_wait_for_an_engine_that_is_loading_its_model)
{
    Fleet fleet;
    fleet.add("a").models_.clear();
    BOOST_TEST(
        (choosePlacement(fleet.all(), queryFor(""), now).kind_ == PlacementKind::AwaitTarget));
    BOOST_TEST((choosePlacement(fleet.all(), queryFor("base/x"), now).kind_
                == PlacementKind::AwaitAdapter));
    BOOST_TEST((choosePlacement({}, queryFor("base/x"), now).kind_ == PlacementKind::None));
}

BOOST_AUTO_TEST_CASE(a_silent_target_with_outstanding_requests_gets_no_more)
{
    Fleet fleet;
    TargetState &silent = fleet.add("a");
    silent.outstanding_ = 1;
    silent.lastContactAt_ = now - 600ms;
    BOOST_TEST(
        (choosePlacement(fleet.all(), queryFor(""), now).kind_ == PlacementKind::AwaitTarget));
    silent.lastContactAt_ = now - 100ms;
    BOOST_TEST((choosePlacement(fleet.all(), queryFor(""), now).kind_ == PlacementKind::Send));
}

BOOST_AUTO_TEST_CASE(a_target_that_fails_more_than_the_others_gets_trials_until_it_has_recovered)
{
    Fleet fleet;
    TargetState &failing = fleet.add("a");
    fleet.add("b").running_ = 9;
    fleet.add("c").running_ = 9;
    for (int failure = 0; failure < 4; ++failure)
        recordOutcome(failing, 1);
    failing.lastSentAt_ = now;
    BOOST_TEST(choosePlacement(fleet.all(), queryFor(""), now).target_ != &failing);
    BOOST_TEST(!isExcludedForFailures(failing, 0, now + 400ms));
    for (int trial = 0; trial < 8; ++trial)
        recordOutcome(failing, 0);
    BOOST_TEST(!isExcludedForFailures(failing, 0, now));
}

BOOST_AUTO_TEST_CASE(failures_common_to_all_targets_exclude_none)
{
    Fleet fleet;
    for (const char *id : {"a", "b", "c"}) {
        TargetState &target = fleet.add(id);
        for (int failure = 0; failure < 10; ++failure)
            recordOutcome(target, 1);
        target.lastSentAt_ = now;
    }
    BOOST_TEST((choosePlacement(fleet.all(), queryFor(""), now).kind_ == PlacementKind::Send));
}

namespace {

/// The model of an engine that reads ten prompt tokens in a millisecond.
EngineModel modelOfTenTokensPerMilli()
{
    EngineModel model;
    for (int sample = 0; sample < 40; ++sample) {
        const int thousands = 1 + sample % 3;
        recordFirstEvent(model, 1000.0 * thousands, 100ms * thousands);
    }
    model.meanPromptTokens_ = 2000;
    return model;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_request_goes_to_the_engine_that_can_read_its_prompt_soonest)
{
    const EngineModel model = modelOfTenTokensPerMilli();
    Fleet fleet;
    TargetState &busy = fleet.add("a");
    TargetState &free = fleet.add("b");
    for (TargetState *target : {&busy, &free}) {
        target->listed_.slots_ = 64;
        target->adapters_[nameHash("base/x")] = 1;
    }
    // Fewer requests run at the engine that still has to read two prompts.
    busy.running_ = 2;
    recordUnread(busy.promptBacklog_, 2, now);
    free.running_ = 6;
    PlacementQuery query = queryFor("base/x");
    query.promptTokens_ = 2000;
    query.serviceModel_ = &model;
    const Placement placement = choosePlacement(fleet.all(), query, now);
    BOOST_TEST(placement.target_->listed_.id_ == "b");
    BOOST_TEST((placement.firstEvent_ > 180ms && placement.firstEvent_ < 220ms));
}

BOOST_AUTO_TEST_CASE(a_request_waits_at_the_entry_while_its_engine_has_enough_prompts_to_read)
{
    const EngineModel model = modelOfTenTokensPerMilli();
    Fleet fleet;
    TargetState &target = fleet.add("a");
    target.listed_.slots_ = 64;
    target.adapters_[nameHash("base/x")] = 1;
    PlacementQuery query = queryFor("base/x");
    query.promptTokens_ = 500;
    query.pauseObjective_ = 500ms;
    query.serviceModel_ = &model;
    // 0.25 s of reading with its own is within 0.6 of the objective for pauses, 0.45 s is not.
    recordUnread(target.promptBacklog_, 1, now);
    BOOST_TEST((choosePlacement(fleet.all(), query, now).kind_ == PlacementKind::Send));
    recordUnread(target.promptBacklog_, 2, now);
    BOOST_TEST((choosePlacement(fleet.all(), query, now).kind_ == PlacementKind::AwaitReading));
    // A prompt that is long by itself is read at an engine that has none.
    recordUnread(target.promptBacklog_, 0, now);
    query.promptTokens_ = 6000;
    BOOST_TEST((choosePlacement(fleet.all(), query, now).kind_ == PlacementKind::Send));
}

BOOST_AUTO_TEST_CASE(a_request_that_would_be_late_does_not_wait_for_the_pauses_of_others)
{
    const EngineModel model = modelOfTenTokensPerMilli();
    Fleet fleet;
    TargetState &target = fleet.add("a");
    target.listed_.slots_ = 64;
    target.adapters_[nameHash("base/x")] = 1;
    PlacementQuery query = queryFor("base/x");
    query.promptTokens_ = 2000;
    query.serviceModel_ = &model;
    query.objectiveLeft_ = 300ms;
    // 0.4 s of reading is within half of an objective of 1 s, 0.6 s is not.
    recordUnread(target.promptBacklog_, 2, now);
    BOOST_TEST((choosePlacement(fleet.all(), query, now).kind_ == PlacementKind::Send));
    recordUnread(target.promptBacklog_, 3, now);
    BOOST_TEST((choosePlacement(fleet.all(), query, now).kind_ == PlacementKind::AwaitRoom));
    // An idle engine gets a replica of the adapter.
    fleet.add("b").listed_.slots_ = 64;
    const Placement placement = choosePlacement(fleet.all(), query, now);
    BOOST_REQUIRE(placement.replicaTarget_ != nullptr);
    BOOST_TEST(placement.replicaTarget_->listed_.id_ == "b");
}

BOOST_AUTO_TEST_CASE(a_replaced_version_is_not_used_where_the_request_would_begin_past_its_bound)
{
    const EngineModel model = modelOfTenTokensPerMilli();
    Fleet fleet;
    TargetState &target = fleet.add("a");
    target.listed_.slots_ = 64;
    target.adapters_[nameHash("base/x")] = 1;
    AdapterVersionHistory versions;
    recordVersion(versions, {1, now - 20s}, 3500ms, now);
    recordVersion(versions, {2, now - 3s}, 3500ms, now);
    PlacementQuery query = queryFor("base/x");
    query.promptTokens_ = 2000;
    query.objective_ = 10s;
    query.serviceModel_ = &model;
    query.versions_ = &versions;
    query.versionBound_ = 4600ms;
    recordUnread(target.promptBacklog_, 6, now);
    BOOST_TEST((choosePlacement(fleet.all(), query, now).kind_ == PlacementKind::Send));
    recordUnread(target.promptBacklog_, 8, now);
    BOOST_TEST((choosePlacement(fleet.all(), query, now).kind_ != PlacementKind::Send));
    target.adapters_[nameHash("base/x")] = 2;
    BOOST_TEST((choosePlacement(fleet.all(), query, now).kind_ == PlacementKind::Send));
}

BOOST_AUTO_TEST_CASE(an_engine_that_was_slow_is_tried_again_once_it_has_no_prompts_to_read)
{
    EngineModel model;
    for (int sample = 0; sample < 40; ++sample)
        recordFirstEvent(model, 1000.0 * (1 + sample % 3), 3s);
    model.meanPromptTokens_ = 2000;
    Fleet fleet;
    TargetState &target = fleet.add("a");
    target.listed_.slots_ = 64;
    target.engineModel_ = model;
    target.adapters_[nameHash("base/x")] = 1;
    PlacementQuery query = queryFor("base/x");
    query.promptTokens_ = 2000;
    query.serviceModel_ = &model;
    BOOST_TEST((choosePlacement(fleet.all(), query, now).kind_ == PlacementKind::Send));
}

BOOST_AUTO_TEST_CASE(a_target_that_states_slow_work_gets_no_prompt_that_would_delay_its_streams)
{
    // Guards against predictions that ignore what the target has just stated.
    EngineModel model;
    for (int sample = 0; sample < 40; ++sample)
        recordFirstEvent(model, 1000.0 * (1 + sample % 3), 30ms * (1 + sample % 3));
    model.meanPromptTokens_ = 2000;
    Fleet fleet;
    TargetState &slow = fleet.add("a");
    TargetState &usual = fleet.add("b");
    for (TargetState *target : {&slow, &usual}) {
        target->engineModel_ = model;
        target->adapters_[nameHash("base/x")] = 1;
    }
    usual.running_ = 1;
    PlacementQuery query = queryFor("base/x");
    query.promptTokens_ = 2000;
    query.serviceModel_ = &model;
    BOOST_TEST(choosePlacement(fleet.all(), query, now).target_->listed_.id_ == "a");
    slow.workTime_ = {250, now};
    BOOST_TEST(choosePlacement(fleet.all(), query, now).target_->listed_.id_ == "b");
    // A second later hardly anything of the statement is left.
    slow.workTime_ = {250, now - 1s};
    BOOST_TEST(choosePlacement(fleet.all(), query, now).target_->listed_.id_ == "a");
}
