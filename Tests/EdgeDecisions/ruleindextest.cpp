#include "Edge/ruleindex.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrasscove;

namespace {

ServingRoute makeRoute(const std::string &name, const std::string &prefix)
{
    ServingRoute route;
    route.name_ = name;
    route.host_ = "desk.example";
    route.pathPrefix_ = prefix;
    route.services_ = {{"one", 3}, {"two", 1}};
    return route;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ruleindex)

BOOST_AUTO_TEST_CASE(the_route_with_the_longest_matching_prefix_of_the_host_is_found)
{
    ServingRules rules;
    rules.routes_ = {makeRoute("short", "/a/"), makeRoute("long", "/a/b/")};
    const RuleIndex index(std::move(rules));
    BOOST_REQUIRE(index.findRoute("Desk.Example:8080", "/a/b/c?x=/a/") != nullptr);
    BOOST_TEST(index.findRoute("desk.example", "/a/b/c")->name_ == "long");
    BOOST_TEST(index.findRoute("desk.example", "/a/c/b/")->name_ == "short");
    BOOST_TEST(index.findRoute("desk.example", "/a?/a/b/") == nullptr);
    BOOST_TEST(index.findRoute("other.example", "/a/b/") == nullptr);
}

BOOST_AUTO_TEST_CASE(an_account_is_found_by_each_of_its_keys)
{
    ServingRules rules;
    ServingAccount account;
    account.name_ = "shed";
    account.keys_ = {"k1", "k2"};
    rules.accounts_.push_back(account);
    const RuleIndex index(std::move(rules));
    BOOST_TEST(index.findAccountByKey("k2")->name_ == "shed");
    BOOST_TEST(index.findAccountByKey("k3") == nullptr);
    BOOST_TEST(index.findAccountByKey("") == nullptr);
}

BOOST_AUTO_TEST_CASE(services_are_selected_by_weight)
{
    const ServingRoute route = makeRoute("r", "/a/");
    BOOST_TEST(selectService(route, 0.0) == "one");
    BOOST_TEST(selectService(route, 0.74) == "one");
    BOOST_TEST(selectService(route, 0.76) == "two");
    BOOST_TEST(selectService(route, 0.9999999) == "two");
}

BOOST_AUTO_TEST_SUITE_END()
