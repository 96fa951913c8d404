#define BOOST_TEST_MODULE ClientAccount
#include "ClientAccount/allowance.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrasscove;
using namespace std::chrono_literals;

namespace {

const AccountName account = {"workshops"};
constexpr Time start = Time(1h);

AttemptId attempt(int number)
{
    return {"attempt-" + std::to_string(number)};
}

Allowance fullAllowance(std::int64_t rate, std::int64_t burst)
{
    Allowance allowance;
    setShare(allowance, account, {rate, burst}, start, true);
    return allowance;
}

bool admitted(Allowance &allowance, int number, std::int64_t tokens, Time now)
{
    const Admission admission = reserve(allowance, account, attempt(number), tokens, now);
    return std::holds_alternative<Admitted>(admission);
}

std::int64_t signedFreeTokens(const Allowance &allowance)
{
    return allowance.accounts_.at(account).freeMicroTokens_ / 1'000'000;
}

} // namespace

BOOST_AUTO_TEST_CASE(new_account_starts_empty_and_refills_at_its_rate)
{
    Allowance allowance;
    setShare(allowance, account, {100, 1000}, start);
    const Admission first = reserve(allowance, account, attempt(1), 50, start);
    BOOST_TEST(std::get<MustWait>(first).wait_.count() == Duration(500ms).count());
    BOOST_TEST(!admitted(allowance, 2, 50, start + 499'999us));
    BOOST_TEST(admitted(allowance, 3, 50, start + 500ms));
}

BOOST_AUTO_TEST_CASE(request_above_the_burst_is_never_admitted)
{
    Allowance allowance = fullAllowance(100, 1000);
    const Admission admission = reserve(allowance, account, attempt(1), 1001, start);
    BOOST_TEST(std::holds_alternative<ExceedsBurst>(admission));
    BOOST_TEST(admitted(allowance, 2, 1000, start));
}

BOOST_AUTO_TEST_CASE(outstanding_tokens_prevent_refill)
{
    Allowance allowance = fullAllowance(100, 1000);
    BOOST_TEST(admitted(allowance, 1, 1000, start));
    BOOST_TEST(!admitted(allowance, 2, 1, start + 1h));
    recordTokensRun(allowance, account, attempt(1), 300, start + 1h);
    BOOST_TEST(!admitted(allowance, 2, 1, start + 1h));
    BOOST_TEST(admitted(allowance, 2, 100, start + 1h + 1s));
}

BOOST_AUTO_TEST_CASE(settling_twice_returns_unused_tokens_once)
{
    Allowance allowance = fullAllowance(0, 1000);
    BOOST_TEST(admitted(allowance, 1, 600, start));
    settle(allowance, account, attempt(1), 200, start);
    BOOST_TEST(signedFreeTokens(allowance) == 800);
    settle(allowance, account, attempt(1), 0, start);
    BOOST_TEST(signedFreeTokens(allowance) == 800);
}

BOOST_AUTO_TEST_CASE(delayed_or_duplicate_run_reports_are_ignored)
{
    Allowance allowance = fullAllowance(0, 1000);
    BOOST_TEST(admitted(allowance, 1, 600, start));
    recordTokensRun(allowance, account, attempt(1), 200, start);
    recordTokensRun(allowance, account, attempt(1), 200, start);
    recordTokensRun(allowance, account, attempt(1), 100, start);
    BOOST_TEST(allowance.accounts_.at(account).outstandingTokens_ == 400);
}

BOOST_AUTO_TEST_CASE(overrun_is_deducted_from_the_free_tokens)
{
    Allowance allowance = fullAllowance(100, 1000);
    BOOST_TEST(admitted(allowance, 1, 1000, start));
    settle(allowance, account, attempt(1), 1200, start);
    BOOST_TEST(signedFreeTokens(allowance) == -200);
    BOOST_TEST(!admitted(allowance, 2, 1, start + 2s));
    BOOST_TEST(admitted(allowance, 2, 100, start + 3s));
}

BOOST_AUTO_TEST_CASE(smaller_share_reduces_free_tokens_until_outstanding_tokens_are_settled)
{
    Allowance allowance = fullAllowance(100, 1000);
    BOOST_TEST(admitted(allowance, 1, 800, start));
    setShare(allowance, account, {50, 500}, start);
    BOOST_TEST(signedFreeTokens(allowance) == -300);
    settle(allowance, account, attempt(1), 0, start);
    BOOST_TEST(signedFreeTokens(allowance) == 500);
}

BOOST_AUTO_TEST_CASE(shrinking_a_reservation_returns_only_tokens_not_run)
{
    Allowance allowance = fullAllowance(0, 1000);
    BOOST_TEST(admitted(allowance, 1, 600, start));
    recordTokensRun(allowance, account, attempt(1), 250, start);
    shrinkReservation(allowance, account, attempt(1), 400, start);
    BOOST_TEST(freeTokens(allowance, account, start) == 600);
    shrinkReservation(allowance, account, attempt(1), 100, start);
    BOOST_TEST(freeTokens(allowance, account, start) == 750);
    settle(allowance, account, attempt(1), 250, start);
    BOOST_TEST(freeTokens(allowance, account, start) == 750);
}
