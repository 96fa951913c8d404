#include "Edge/placement.h"

#include <array>
#include <boost/test/unit_test.hpp>

using namespace eelgrasscove;
using namespace std::chrono_literals;

namespace {

const Time now = Time(100s);

const RegionTable regions = {{"east-1", "east"}, {"east-2", "east"}, {"west-1", "west"}};

} // namespace

BOOST_AUTO_TEST_CASE(request_may_run_only_in_the_homes_of_its_route_and_its_account)
{
    const std::optional<AllowedRegions> none;
    const std::optional<AllowedRegions> east = AllowedRegions{"east"};
    const std::optional<AllowedRegions> west = AllowedRegions{"west"};
    const std::optional<AllowedRegions> both = AllowedRegions{"east", "west"};
    const std::optional<AllowedRegions> nowhere = AllowedRegions{};
    struct Case
    {
        std::optional<AllowedRegions> route_;
        std::optional<AllowedRegions> account_;
        bool isEast_;
        bool isWest_;
        /// A target whose data centre has no known region.
        bool isUnknown_;
    };
    for (const Case &each : std::vector<Case>{{none, none, true, true, true},
                                              {east, none, true, false, false},
                                              {none, west, false, true, false},
                                              {both, west, false, true, false},
                                              {both, none, true, true, false},
                                              {east, west, false, false, false},
                                              {nowhere, none, false, false, false},
                                              {none, nowhere, false, false, false}}) {
        ServingRoute route;
        route.allowedRegions_ = each.route_;
        ServingAccount account;
        account.allowedRegions_ = each.account_;
        const RequestHomes homes = homesOf(route, &account);
        BOOST_TEST(isInHomes(homes, regions, "east-2") == each.isEast_);
        BOOST_TEST(isInHomes(homes, regions, "west-1") == each.isWest_);
        BOOST_TEST(isInHomes(homes, regions, "north-1") == each.isUnknown_);
        BOOST_TEST(isInHomes(homes, regions, "") == each.isUnknown_);
    }
}

BOOST_AUTO_TEST_CASE(targets_outside_the_homes_are_no_candidates_and_not_awaited)
{
    std::array<TargetState, 2> states;
    states[0].listed_ = {.id_ = "a", .dataCentre_ = "east-1"};
    states[1].listed_ = {.id_ = "b", .dataCentre_ = "west-1"};
    const std::vector<TargetState *> targets = {states.data(), &states[1]};
    ServingRoute route;
    route.allowedRegions_ = AllowedRegions{"west"};
    PlacementQuery query;
    query.dataCentre_ = "east-1";
    query.homes_ = homesOf(route, nullptr);
    BOOST_TEST((choosePlacement(targets, query, now).kind_ == PlacementKind::None));
    query.regions_ = &regions;
    BOOST_TEST(choosePlacement(targets, query, now).target_ == &states[1]);
    // One of two missing targets does not look as if the list had lapsed.
    states[1].missingSince_ = now;
    recordPause(states[0].notice_, 1s, 0, now);
    BOOST_TEST((choosePlacement(targets, query, now).kind_ == PlacementKind::None));
    states[1].missingSince_.reset();
    states[1].isUp_ = false;
    BOOST_TEST((choosePlacement(targets, query, now).kind_ == PlacementKind::AwaitTarget));
}
