#include "ClientAccount/loan.h"
#include "ClientAccount/waiting.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrasscove;
using namespace std::chrono_literals;

namespace {

const AccountName account = {"growers"};
const VmName north = {"north"};
const VmName river = {"river"};
constexpr Incarnation first = {1};
constexpr Time start = Time(1h);

/// A lender with a full token bucket and a borrower without tokens of its own.
struct Pair
{
    Allowance lender_;
    LoanBook lenderBook_;
    Allowance borrower_;
    LoanBook borrowerBook_;
};

Pair makePair()
{
    Pair pair;
    setShare(pair.lender_, account, {0, 1000}, start, true);
    setShare(pair.borrower_, account, {0, 0}, start);
    takePeerFree(pair.borrowerBook_, north, {account, 1000}, start);
    return pair;
}

LoanRequest ask(Pair &pair, std::int64_t tokens)
{
    const auto messages = askForTokens(pair.borrower_, pair.borrowerBook_, account, tokens, start);
    BOOST_REQUIRE(messages.size() == 1U);
    return std::get<LoanRequest>(messages.front().message_);
}

LoanGrant grant(Pair &pair, const LoanRequest &request)
{
    const auto messages =
        takeLoanRequest(pair.lender_, pair.lenderBook_, river, first, request, start);
    return std::get<LoanGrant>(messages.front().message_);
}

bool runs(Pair &pair, const std::string &attempt, std::int64_t tokens, Time now)
{
    return std::holds_alternative<Admitted>(
        admit(pair.borrower_, pair.borrowerBook_, account, {attempt}, tokens, 1000, now));
}

/// Delivers the borrower's reports to the lender and the replies to the borrower.
void exchange(Pair &pair, Time now)
{
    for (const LoanMessage &message : advanceLoans(pair.borrower_, pair.borrowerBook_, now)) {
        const auto *report = std::get_if<LoanReport>(&message.message_);
        if (report == nullptr)
            continue;
        const auto answers =
            takeLoanReport(pair.lender_, pair.lenderBook_, river, first, *report, now);
        for (const LoanMessage &answer : answers)
            takeLoanClosed(pair.borrowerBook_, north, std::get<LoanClosed>(answer.message_));
    }
}

std::int64_t lenderFree(Pair &pair, Time now = start)
{
    return freeTokens(pair.lender_, account, now);
}

} // namespace

BOOST_AUTO_TEST_CASE(borrowerRunsALoanAndReturnsUnusedTokens)
{
    Pair pair = makePair();
    takeLoanGrant(pair.borrowerBook_, north, grant(pair, ask(pair, 300)), start);
    BOOST_TEST(lenderFree(pair) == 700);
    BOOST_TEST(runs(pair, "a", 300, start));
    settleAttempt(pair.borrower_, pair.borrowerBook_, account, {"a"}, 100, start + 1s);
    exchange(pair, start + 1s);
    BOOST_TEST(pair.lender_.accounts_.at(account).outstandingTokens_ == 200);
    exchange(pair, start + 3s);
    BOOST_TEST(lenderFree(pair) == 900);
    BOOST_TEST(pair.lenderBook_.lent_.empty());
    BOOST_TEST(pair.borrowerBook_.borrowed_.empty());
}

BOOST_AUTO_TEST_CASE(duplicateRequestCreatesOneLoan)
{
    Pair pair = makePair();
    const LoanRequest request = ask(pair, 300);
    const LoanGrant granted = grant(pair, request);
    BOOST_TEST(grant(pair, request).tokens_ == 300);
    BOOST_TEST(lenderFree(pair) == 700);
    takeLoanGrant(pair.borrowerBook_, north, granted, start);
    takeLoanGrant(pair.borrowerBook_, north, granted, start);
    BOOST_TEST(!runs(pair, "a", 301, start));
    BOOST_TEST(runs(pair, "b", 300, start));
}

BOOST_AUTO_TEST_CASE(requestReceivedAfterItsClosureIsNotGranted)
{
    Pair pair = makePair();
    const LoanRequest request = ask(pair, 300);
    exchange(pair, start + 3s);
    BOOST_TEST(grant(pair, request).tokens_ == 0);
    BOOST_TEST(lenderFree(pair) == 1000);
}

BOOST_AUTO_TEST_CASE(grantReceivedAfterExpiryIsNotUsed)
{
    Pair pair = makePair();
    const LoanGrant granted = grant(pair, ask(pair, 300));
    exchange(pair, start + 3s);
    BOOST_TEST(lenderFree(pair) == 1000);
    takeLoanGrant(pair.borrowerBook_, north, granted, start + 3s);
    BOOST_TEST(!runs(pair, "a", 1, start + 3s));
}

BOOST_AUTO_TEST_CASE(unassignedTokensExpire)
{
    Pair pair = makePair();
    takeLoanGrant(pair.borrowerBook_, north, grant(pair, ask(pair, 300)), start);
    BOOST_TEST(!runs(pair, "a", 300, start + 2s));
}

BOOST_AUTO_TEST_CASE(loanOfAnEndedBorrowerStaysOutstandingForTheMaximumAttemptDuration)
{
    Pair pair = makePair();
    setShare(pair.lender_, account, {100, 1000}, start);
    grant(pair, ask(pair, 300));
    takeBorrowerEnded(pair.lenderBook_, river, first, start);
    const Duration longest = pair.lenderBook_.policy_.longestAttempt_;
    advanceLoans(pair.lender_, pair.lenderBook_, start + longest - 1us);
    BOOST_TEST(lenderFree(pair, start + longest - 1us) == 700);
    advanceLoans(pair.lender_, pair.lenderBook_, start + longest);
    BOOST_TEST(lenderFree(pair, start + longest) == 700);
    BOOST_TEST(lenderFree(pair, start + longest + 1s) == 800);
}

BOOST_AUTO_TEST_CASE(lenderRetainsAFractionOfItsFreeTokens)
{
    Pair pair = makePair();
    BOOST_TEST(grant(pair, ask(pair, 1000)).tokens_ == 750);
}

BOOST_AUTO_TEST_CASE(requestsWithShortWaitsAreQueuedInOrderUpToTheLimit)
{
    WaitingRoom room;
    room.policy_.maxRequestsPerAccount_ = 2;
    BOOST_TEST(!holdRequest(room, account, {"long"}, 1, NotYet{3s}, start));
    BOOST_TEST(!holdRequest(room, account, {"never"}, 1, NeverHere(), start));
    BOOST_TEST(holdRequest(room, account, {"a"}, 1, NotYet{1s}, start));
    BOOST_TEST(holdRequest(room, account, {"b"}, 1, NotYet{1s}, start + 1s));
    BOOST_TEST(!holdRequest(room, account, {"c"}, 1, NotYet{1s}, start + 1s));
    BOOST_TEST(nextWaiting(room, account)->request_.text_ == "a");
    BOOST_TEST(takeExpired(room, start + 2s).size() == 1U);
    dropWaiting(room, account, {"b"});
    BOOST_TEST(!hasWaiting(room, account));
}
