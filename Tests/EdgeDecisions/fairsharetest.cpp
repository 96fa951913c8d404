#include "Edge/fairshare.h"
#include "Edge/waitingorder.h"

#include <boost/test/unit_test.hpp>

#include <limits>

using namespace eelgrasscove;
using namespace std::chrono_literals;

namespace {

const Time start = Time(100s);

/// Uses of three accounts, of which the first has used seven times as much as the others.
AccountUses unequalUses()
{
    AccountUses uses;
    recordAccountUse(uses, "chat", 0, "large", 7000, start);
    recordAccountUse(uses, "chat", 0, "small", 1000, start);
    recordAccountUse(uses, "chat", 0, "other", 1000, start);
    return uses;
}

using Accounts = std::set<std::string>;

} // namespace

BOOST_AUTO_TEST_CASE(account_with_seven_times_the_use_is_above_its_share)
{
    AccountUses uses = unequalUses();
    const std::map<std::string, double> weights = {{"large", 1}, {"small", 1}};
    BOOST_TEST((accountsAboveShare(uses, "chat", 0, weights, start) == Accounts{"large"}));
    // Other priorities and services have shares of their own.
    BOOST_TEST(accountsAboveShare(uses, "chat", 1, weights, start).empty());
    BOOST_TEST(accountsAboveShare(uses, "draw", 0, weights, start).empty());
}

BOOST_AUTO_TEST_CASE(share_follows_the_weights)
{
    AccountUses uses = unequalUses();
    BOOST_TEST(
        accountsAboveShare(uses, "chat", 0, {{"large", 70}, {"small", 10}, {"other", 10}}, start)
            .empty());
    // Without a weight an account counts as the mean.
    BOOST_TEST(
        (accountsAboveShare(uses, "chat", 0, {{"large", 0}, {"small", 10}, {"other", 10}}, start)
         == Accounts{"large"}));
}

BOOST_AUTO_TEST_CASE(account_is_not_above_its_share_alone_or_among_equals)
{
    AccountUses uses;
    recordAccountUse(uses, "chat", 0, "a", 7000, start);
    BOOST_TEST(accountsAboveShare(uses, "chat", 0, {{"a", 1}}, start).empty());
    recordAccountUse(uses, "chat", 0, "b", 6000, start);
    BOOST_TEST(accountsAboveShare(uses, "chat", 0, {{"a", 1}, {"b", 1}}, start).empty());
    // A waiting account that has used nothing has a share.
    BOOST_TEST(accountsAboveShare(uses, "chat", 0, {{"a", 1}, {"b", 1}, {"c", 1}}, start).size()
               == 2U);
}

BOOST_AUTO_TEST_CASE(use_ends_to_count_after_the_window)
{
    AccountUses uses = unequalUses();
    const std::map<std::string, double> weights = {{"large", 1}, {"small", 1}};
    BOOST_TEST(!accountsAboveShare(uses, "chat", 0, weights, start + 1900ms).empty());
    BOOST_TEST(accountsAboveShare(uses, "chat", 0, weights, start + 2100ms).empty());
    removeExpiredUses(uses, start + 2100ms);
    BOOST_TEST(uses.uses_.empty());
}

BOOST_AUTO_TEST_CASE(tokens_that_are_no_number_leave_the_shares_unchanged)
{
    AccountUses uses = unequalUses();
    for (const double tokens : {-1.0, -1e300, std::numeric_limits<double>::infinity(),
                                std::numeric_limits<double>::quiet_NaN()})
        recordAccountUse(uses, "chat", 0, "small", tokens, start);
    BOOST_TEST((accountsAboveShare(uses, "chat", 0, {{"large", 1}, {"small", 1}}, start)
                == Accounts{"large"}));
}

BOOST_AUTO_TEST_CASE(request_of_an_account_above_its_share_goes_last_within_its_priority)
{
    const WaitingRequest below{1, start + 400ms, start + 2s, false};
    const WaitingRequest above{1, start + 300ms, start + 2s, true};
    const WaitingRequest urgentAbove{0, start + 300ms, start + 2s, true};
    BOOST_TEST(isOrderedBefore(below, above, start));
    BOOST_TEST(!isOrderedBefore(above, below, start));
    BOOST_TEST(isOrderedBefore(urgentAbove, below, start));
    // A late response gains little from going first.
    const WaitingRequest lateBelow{1, start + 50ms, start + 2s, false};
    BOOST_TEST(isOrderedBefore(above, lateBelow, start));
    BOOST_TEST(isOrderedBefore(lateBelow, {1, start + 20ms, start + 2s, true}, start));
}
