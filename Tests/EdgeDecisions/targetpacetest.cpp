#include "Edge/targetpace.h"
#include "Edge/placement.h"
#include "Peer/pacecode.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrasscove;
using namespace std::chrono_literals;

namespace {

const Time now = Time(100s);

} // namespace

BOOST_AUTO_TEST_CASE(a_stated_slow_time_counts_less_the_older_it_is)
{
    // Guards against a slow span that keeps requests away long after it has passed.
    struct Row
    {
        std::uint32_t percent_;
        Duration age_;
        double factor_;
    };
    const std::vector<Row> rows = {
        {250, 0ms, 2.5},   {250, 200ms, 1.75}, {250, 400ms, 1.375}, {100, 0ms, 1},
        {50, 0ms, 0.5},    {1, 0ms, 0.5},      {1, 200ms, 0.505},   {0, 0ms, 1},
        {250, -50ms, 2.5}, {10000, 0ms, 100},
    };
    for (const Row &row : rows) {
        const double factor = transientFactor({row.percent_, now - row.age_}, now);
        BOOST_TEST(factor == row.factor_, boost::test_tools::tolerance(1e-9));
    }
    BOOST_TEST(transientFactor({10000, now - 1h}, now) == 1);
}

BOOST_AUTO_TEST_CASE(pace_is_relative_to_the_median_of_the_known_ones)
{
    const std::uint8_t usual = encodePace(24'000);
    const std::uint8_t slow = encodePace(58'000);
    const std::uint8_t near = encodePace(30'000);
    const std::vector<double> relative = relativePaces({usual, slow, usual, 0, near, usual, 0});
    BOOST_TEST(relative[1] == 58.0 / 24, boost::test_tools::tolerance(0.05));
    for (const std::size_t at : {0U, 2U, 3U, 4U, 5U, 6U})
        BOOST_TEST(relative[at] == 1);
    for (const double each : relativePaces({0, 0, 0}))
        BOOST_TEST(each == 1);
    BOOST_TEST(relativePaces({}).empty());
    BOOST_TEST(capacityShare(1) == 1);
    BOOST_TEST(capacityShare(2) < 0.5);
}

BOOST_AUTO_TEST_CASE(
    prompts_that_are_read_meanwhile_and_slow_spans_do_not_change_the_typical_interval)
{
    // Guards against an overloaded target that appears slower, or a queue that makes it appear
    // faster, than it is.
    EventIntervalSums sums;
    std::vector<float> intervals(20, 30);
    std::fill(intervals.begin(), intervals.begin() + 12, 400);
    addStream(sums, intervals);
    BOOST_TEST(sums.streams_ == 1);
    BOOST_TEST(sums.millis_ == 30);
    addStream(sums, {5, 5, 5});
    BOOST_TEST(sums.streams_ == 1);
}

BOOST_AUTO_TEST_CASE(a_target_that_is_twice_as_slow_hosts_well_under_half_as_many_adapters)
{
    std::vector<TargetState> states(12);
    std::vector<TargetState *> targets;
    for (std::size_t at = 0; at < states.size(); ++at) {
        TargetState &state = states[at];
        state.listed_.id_ = "i-" + std::to_string(at);
        state.listed_.address_ = "10.0.0." + std::to_string(at) + ":80";
        state.listed_.slots_ = 64;
        state.hasAgentReport_ = true;
        state.agentReportedAt_ = state.lastContactAt_ = state.loadReportedAt_ = now;
        state.models_ = {nameHash("base")};
        targets.push_back(&state);
    }
    const auto countOf = [&] {
        std::size_t count = 0;
        for (int number = 0; number < 4000; ++number) {
            PlacementQuery query;
            query.model_ = "base";
            query.adapter_ = "base/a" + std::to_string(number);
            const Placement place = choosePlacement(targets, query, now);
            BOOST_REQUIRE((place.kind_ == PlacementKind::AwaitAdapter));
            count += place.target_ == targets[0] ? 1 : 0;
        }
        return count;
    };
    const std::size_t usual = countOf();
    states[0].relativePace_ = 2;
    const std::size_t slow = countOf();
    BOOST_TEST(usual > 250);
    BOOST_TEST(slow < usual * 0.45);
    BOOST_TEST(slow > usual * 0.25);
}

BOOST_AUTO_TEST_CASE(a_long_prompt_goes_where_it_pauses_fewer_streams)
{
    // Guards against long prompts at targets whose many streams would pause for too long.
    EngineModel model;
    for (int sample = 0; sample < 40; ++sample)
        recordFirstEvent(model, 1000.0 * (1 + sample % 3), 60ms * (1 + sample % 3));
    model.meanPromptTokens_ = 2000;
    std::vector<TargetState> states(3);
    std::vector<TargetState *> targets;
    for (std::size_t at = 0; at < states.size(); ++at) {
        TargetState &state = states[at];
        state.listed_.id_ = "i-" + std::to_string(at);
        state.listed_.slots_ = 64;
        state.hasAgentReport_ = true;
        state.agentReportedAt_ = state.lastContactAt_ = state.loadReportedAt_ = now;
        state.models_ = {nameHash("base")};
        state.adapters_[nameHash("base/x")] = 1;
        state.engineModel_ = model;
        targets.push_back(&state);
    }
    // The second target has fewer streams and more late ones, so that it costs a little more.
    states[0].running_ = 30;
    states[1].running_ = 10;
    states[1].lateRatio_ = 0.25;
    states[2].running_ = 64;
    PlacementQuery query;
    query.model_ = "base";
    query.adapter_ = "base/x";
    query.promptTokens_ = 6000;
    query.serviceModel_ = &model;
    BOOST_TEST(choosePlacement(targets, query, now).target_ == targets[0]);
    // Targets of uneven pace: the prompt's 360 ms are twice what the objective for pauses allows.
    states[2].relativePace_ = 2;
    BOOST_TEST(choosePlacement(targets, query, now).target_ == targets[1]);
    query.promptTokens_ = 1000;
    BOOST_TEST(choosePlacement(targets, query, now).target_ == targets[0]);
}
