#define BOOST_TEST_MODULE Routing
#include "DataCentre/routing.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace eelgrasscove;
using namespace std::chrono_literals;

namespace {

const AdapterKey oakLegs = {{"oak-legs"}, {"3"}};

TargetView target(const std::string &vm, bool holdsOakLegs = false)
{
    TargetView view;
    view.vm_ = {vm};
    view.batchSlots_ = 4;
    view.adapterSlots_ = 2;
    if (holdsOakLegs)
        view.residents_ = {{oakLegs, 0}};
    return view;
}

std::vector<TargetView> targets(int count)
{
    std::vector<TargetView> views;
    views.reserve(count);
    for (int number = 0; number < count; ++number)
        views.push_back(target("runner-" + std::to_string(number)));
    return views;
}

RouteNeeds needsOakLegs()
{
    RouteNeeds needs;
    needs.adapter_ = oakLegs;
    return needs;
}

} // namespace

BOOST_AUTO_TEST_CASE(residentCopyIsPreferredWhileItsWaitIsShort)
{
    const std::vector<TargetView> views = {target("a"), target("b", true), target("c")};
    const auto decision = chooseTarget(views, needsOakLegs(), RoutingPolicy());
    BOOST_TEST(decision->vm_.text_ == "b");
    BOOST_TEST((decision->choice_ == RoutingChoice::Resident));
}

BOOST_AUTO_TEST_CASE(anotherCopyIsLoadedWhenTheWaitSavedExceedsTheLoad)
{
    std::vector<TargetView> views = {target("a"), target("b", true)};
    views[1].running_ = 4;
    views[1].queued_ = 8;
    const auto decision = chooseTarget(views, needsOakLegs(), RoutingPolicy());
    BOOST_TEST(decision->vm_.text_ == "a");
    BOOST_TEST((decision->choice_ == RoutingChoice::Load));
}

BOOST_AUTO_TEST_CASE(ownAttemptsSinceTheReportCount)
{
    std::vector<TargetView> views = {target("a", true), target("b", true)};
    views[0].sentSinceReport_ = 6;
    BOOST_TEST(chooseTarget(views, needsOakLegs(), RoutingPolicy())->vm_.text_ == "b");
    views[1].sentSinceReport_ = 9;
    BOOST_TEST(chooseTarget(views, needsOakLegs(), RoutingPolicy())->vm_.text_ == "a");
}

BOOST_AUTO_TEST_CASE(loadUnderWayIsJoinedRatherThanDoubled)
{
    std::vector<TargetView> views = targets(6);
    views[4].sentSinceReport_ = 1;
    views[4].sentSameAdapter_ = 1;
    BOOST_TEST(chooseTarget(views, needsOakLegs(), RoutingPolicy())->vm_.text_ == "runner-4");
}

BOOST_AUTO_TEST_CASE(triedTargetsAreLeftOut)
{
    const std::vector<TargetView> views = targets(3);
    RouteNeeds needs = needsOakLegs();
    std::set<std::string> chosen;
    for (int attempt = 0; attempt < 3; ++attempt) {
        const auto decision = chooseTarget(views, needs, RoutingPolicy());
        chosen.insert(decision->vm_.text_);
        needs.tried_.push_back(decision->vm_);
    }
    BOOST_TEST(chosen.size() == 3U);
    BOOST_TEST(!chooseTarget(views, needs, RoutingPolicy()).has_value());
}

BOOST_AUTO_TEST_CASE(lostTargetMovesOnlyItsOwnAdapters)
{
    const std::vector<TargetView> all = targets(8);
    const std::vector<TargetView> fewer(all.begin(), all.end() - 1);
    int lostHomes = 0;
    for (int number = 0; number < 800; ++number) {
        RouteNeeds needs;
        needs.adapter_ = {{"adapter-" + std::to_string(number)}, {"1"}};
        const VmName before = chooseTarget(all, needs, RoutingPolicy())->vm_;
        const VmName after = chooseTarget(fewer, needs, RoutingPolicy())->vm_;
        if (before == all.back().vm_) {
            ++lostHomes;
            continue;
        }
        BOOST_TEST(before.text_ == after.text_);
    }
    BOOST_TEST(lostHomes > 60);
    BOOST_TEST(lostHomes < 140);
}

BOOST_AUTO_TEST_CASE(plainServiceGoesToTheLeastLoaded)
{
    std::vector<TargetView> views = targets(3);
    views[0].running_ = 5;
    views[2].running_ = 6;
    const auto decision = chooseTarget(views, RouteNeeds(), RoutingPolicy());
    BOOST_TEST(decision->vm_.text_ == "runner-1");
    BOOST_TEST((decision->choice_ == RoutingChoice::Resident));
}
