#include "ClientAccount/loan.h"
#include "ClientAccount/requestqueue.h"

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
struct LoanPeers
{
    Allowance lender_;
    LoanBook lenderBook_;
    Allowance borrower_;
    LoanBook borrowerBook_;
};

LoanPeers makePeers()
{
    LoanPeers peers;
    setShare(peers.lender_, account, {0, 1000}, start, true);
    setShare(peers.borrower_, account, {0, 0}, start);
    updatePeerFreeTokens(peers.borrowerBook_, north, {account, 1000}, start);
    return peers;
}

LoanRequest requestLoan(LoanPeers &peers, std::int64_t tokens)
{
    const auto messages =
        requestLoans(peers.borrower_, peers.borrowerBook_, account, tokens, start);
    BOOST_REQUIRE(messages.size() == 1U);
    return std::get<LoanRequest>(messages.front().message_);
}

LoanGrant grant(LoanPeers &peers, const LoanRequest &request)
{
    const auto messages =
        handleLoanRequest(peers.lender_, peers.lenderBook_, river, first, request, start);
    return std::get<LoanGrant>(messages.front().message_);
}

bool isAdmitted(LoanPeers &peers, const std::string &attempt, std::int64_t tokens, Time now)
{
    return std::holds_alternative<Admitted>(
        admit(peers.borrower_, peers.borrowerBook_, account, {attempt}, tokens, 1000, now));
}

/// Delivers the borrower's reports to the lender and the replies to the borrower.
void exchange(LoanPeers &peers, Time now)
{
    for (const LoanMessage &message : advanceLoans(peers.borrower_, peers.borrowerBook_, now)) {
        const auto *report = std::get_if<LoanReport>(&message.message_);
        if (report == nullptr)
            continue;
        const auto answers =
            handleLoanReport(peers.lender_, peers.lenderBook_, river, first, *report, now);
        for (const LoanMessage &answer : answers)
            handleLoanClosed(peers.borrowerBook_, north, std::get<LoanClosed>(answer.message_));
    }
}

std::int64_t lenderFree(LoanPeers &peers, Time now = start)
{
    return freeTokens(peers.lender_, account, now);
}

} // namespace

BOOST_AUTO_TEST_CASE(borrower_runs_a_loan_and_returns_unused_tokens)
{
    LoanPeers peers = makePeers();
    handleLoanGrant(peers.borrowerBook_, north, grant(peers, requestLoan(peers, 300)), start);
    BOOST_TEST(lenderFree(peers) == 700);
    BOOST_TEST(isAdmitted(peers, "a", 300, start));
    settleAttempt(peers.borrower_, peers.borrowerBook_, account, {"a"}, 100, start + 1s);
    exchange(peers, start + 1s);
    BOOST_TEST(peers.lender_.accounts_.at(account).outstandingTokens_ == 200);
    exchange(peers, start + 3s);
    BOOST_TEST(lenderFree(peers) == 900);
    BOOST_TEST(peers.lenderBook_.lent_.empty());
    BOOST_TEST(peers.borrowerBook_.borrowed_.empty());
}

BOOST_AUTO_TEST_CASE(duplicate_request_creates_one_loan)
{
    LoanPeers peers = makePeers();
    const LoanRequest request = requestLoan(peers, 300);
    const LoanGrant granted = grant(peers, request);
    BOOST_TEST(grant(peers, request).tokens_ == 300);
    BOOST_TEST(lenderFree(peers) == 700);
    handleLoanGrant(peers.borrowerBook_, north, granted, start);
    handleLoanGrant(peers.borrowerBook_, north, granted, start);
    BOOST_TEST(!isAdmitted(peers, "a", 301, start));
    BOOST_TEST(isAdmitted(peers, "b", 300, start));
}

BOOST_AUTO_TEST_CASE(request_received_after_its_closure_is_not_granted)
{
    LoanPeers peers = makePeers();
    const LoanRequest request = requestLoan(peers, 300);
    exchange(peers, start + 3s);
    BOOST_TEST(grant(peers, request).tokens_ == 0);
    BOOST_TEST(lenderFree(peers) == 1000);
}

BOOST_AUTO_TEST_CASE(grant_received_after_expiry_is_not_used)
{
    LoanPeers peers = makePeers();
    const LoanGrant granted = grant(peers, requestLoan(peers, 300));
    exchange(peers, start + 3s);
    BOOST_TEST(lenderFree(peers) == 1000);
    handleLoanGrant(peers.borrowerBook_, north, granted, start + 3s);
    BOOST_TEST(!isAdmitted(peers, "a", 1, start + 3s));
}

BOOST_AUTO_TEST_CASE(unassigned_tokens_expire)
{
    LoanPeers peers = makePeers();
    handleLoanGrant(peers.borrowerBook_, north, grant(peers, requestLoan(peers, 300)), start);
    BOOST_TEST(!isAdmitted(peers, "a", 300, start + 2s));
}

BOOST_AUTO_TEST_CASE(loan_of_an_ended_borrower_stays_outstanding_for_the_maximum_attempt_duration)
{
    LoanPeers peers = makePeers();
    setShare(peers.lender_, account, {100, 1000}, start);
    grant(peers, requestLoan(peers, 300));
    handleBorrowerEnd(peers.lenderBook_, river, first, start);
    const Duration maxDuration = peers.lenderBook_.policy_.maxAttemptDuration_;
    advanceLoans(peers.lender_, peers.lenderBook_, start + maxDuration - 1us);
    BOOST_TEST(lenderFree(peers, start + maxDuration - 1us) == 700);
    advanceLoans(peers.lender_, peers.lenderBook_, start + maxDuration);
    BOOST_TEST(lenderFree(peers, start + maxDuration) == 700);
    BOOST_TEST(lenderFree(peers, start + maxDuration + 1s) == 800);
}

BOOST_AUTO_TEST_CASE(lender_retains_a_fraction_of_its_free_tokens)
{
    LoanPeers peers = makePeers();
    BOOST_TEST(grant(peers, requestLoan(peers, 1000)).tokens_ == 750);
}

BOOST_AUTO_TEST_CASE(requests_with_short_waits_are_queued_in_order_up_to_the_limit)
{
    RequestQueues queues;
    queues.policy_.maxRequestsPerAccount_ = 2;
    BOOST_TEST(!enqueueRequest(queues, account, {"long"}, 1, MustWait{3s}, start));
    BOOST_TEST(!enqueueRequest(queues, account, {"never"}, 1, ExceedsBurst(), start));
    BOOST_TEST(enqueueRequest(queues, account, {"a"}, 1, MustWait{1s}, start));
    BOOST_TEST(enqueueRequest(queues, account, {"b"}, 1, MustWait{1s}, start + 1s));
    BOOST_TEST(!enqueueRequest(queues, account, {"c"}, 1, MustWait{1s}, start + 1s));
    BOOST_TEST(nextQueuedRequest(queues, account)->request_.text_ == "a");
    BOOST_TEST(removeExpiredRequests(queues, start + 2s).size() == 1U);
    removeQueuedRequest(queues, account, {"b"});
    BOOST_TEST(!hasQueuedRequests(queues, account));
}
