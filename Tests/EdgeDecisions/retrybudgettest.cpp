#include "Edge/retrybudget.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrasscove;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(retrybudget)

BOOST_AUTO_TEST_CASE(retries_of_all_entries_stay_within_the_share_and_the_slack)
{
    constexpr std::size_t count = 4;
    std::vector<RetryBudget> entries(count);
    for (RetryBudget &entry : entries) {
        entry.settings_ = {0.2, 52, 10s};
        entry.entries_ = count;
    }
    double requests = 0;
    double retries = 0;
    for (Time now = Time(1s); now < Time(11s); now += 10ms) {
        for (RetryBudget &entry : entries) {
            countRequest(entry, "mind", now);
            ++requests;
            retries += tryAcquireRetry(entry, "mind", now) ? 1 : 0;
        }
    }
    BOOST_TEST(retries <= 0.2 * requests + 52);
    BOOST_TEST(retries >= 0.1 * requests);
}

BOOST_AUTO_TEST_CASE(services_do_not_share_a_budget)
{
    RetryBudget budget;
    budget.settings_ = {0.0, 2, 10s};
    BOOST_TEST(tryAcquireRetry(budget, "mind", Time(1s)));
    BOOST_TEST(!tryAcquireRetry(budget, "mind", Time(1s)));
    BOOST_TEST(tryAcquireRetry(budget, "ledger", Time(1s)));
    BOOST_TEST(tryAcquireRetry(budget, "mind", Time(13s)));
}

BOOST_AUTO_TEST_SUITE_END()
