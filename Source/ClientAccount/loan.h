#pragma once

/// Lends tokens between entries within one round trip, without using the platform.
///
/// A loan is a reservation made on behalf of another entry: the lender counts the tokens as
/// outstanding until the borrower reports them as run or returns them, so that free, own
/// outstanding and lent tokens together never exceed the lender's burst. Messages are numbered and
/// resent until answered; they may be lost, duplicated or reordered. A lost grant makes tokens
/// unavailable for a while but never creates any. A borrower assigns lent tokens to attempts only
/// for a limited period after its request. If a lender terminates, its next incarnation counts the
/// tokens as outstanding; if a borrower terminates, the lender counts the whole loan as run once no
/// attempt can be running.

#include "ClientAccount/allowance.h"

#include <eelgrasscove/messages.h>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace eelgrasscove {

struct LoanPolicy
{
    /// Maximum number of unanswered loan requests for one account.
    std::uint32_t maxOpenRequests_ = 2;
    /// Minimum number of tokens in a loan request.
    std::int64_t minRequestTokens_ = 64;
    /// A lender retains 1 / retainedDivisor_ of its free tokens.
    std::int64_t retainedDivisor_ = 4;
    /// Period after the request within which lent tokens may be assigned to attempts.
    Duration usablePeriod_ = std::chrono::seconds(2);
    /// Time after which unassigned tokens are returned.
    Duration idleTimeout_ = std::chrono::milliseconds(500);
    Duration resendPeriod_ = std::chrono::milliseconds(200);
    /// Maximum attempt duration, as in LedgerPolicy.
    Duration maxAttemptDuration_ = std::chrono::seconds(150);
    /// Maximum age at which a peer's report of free tokens is used.
    Duration maxHintAge_ = std::chrono::seconds(2);
    /// Expected time of one round trip; the wait returned to requests that only a loan can admit.
    Duration roundTripWait_ = std::chrono::milliseconds(20);
};

enum class LoanState {
    Requested,
    Held,
    /// The borrower has closed the loan; the lender has not yet confirmed it.
    Closing,
};

/// The borrower's state of a loan.
struct BorrowedLoan
{
    AccountName account_;
    VmName lender_;
    LoanState state_ = LoanState::Requested;
    std::int64_t requestedTokens_ = 0;
    /// Tokens neither assigned to an attempt nor returned.
    std::int64_t idleTokens_ = 0;
    std::int64_t runTokens_ = 0;
    std::int64_t returnedTokens_ = 0;
    std::uint32_t openParts_ = 0;
    Time requestedAt_;
    Time idleSince_;
    Time resendAt_;
    /// Whether the loan has changed since the last report.
    bool hasUnreportedChange_ = false;
};

/// Tokens of one loan that are assigned to one attempt.
struct LoanPart
{
    std::uint64_t number_ = 0;
    std::int64_t tokens_ = 0;
    std::int64_t tokensRun_ = 0;
};

struct BorrowingAttempt
{
    std::vector<LoanPart> parts_;
};

struct LoanKey
{
    VmName borrower_;
    Incarnation incarnation_;
    std::uint64_t number_ = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const LoanKey &) const = default;
};

/// The lender's state of a loan.
struct LentLoan
{
    AccountName account_;
    std::int64_t grantedTokens_ = 0;
    /// Time at which the borrower was found to be removed or restarted.
    std::optional<Time> borrowerEndedAt_;
};

/// Highest request number of a borrower, used to reject delayed and duplicate requests.
struct BorrowerSequence
{
    Incarnation incarnation_;
    std::uint64_t highestNumber_ = 0;
};

struct PeerFreeTokens
{
    VmName vm_;
    AccountName account_;
    std::int64_t tokens_ = 0;
    Time receivedAt_;
};

struct LoanBook
{
    VmName self_;
    LoanPolicy policy_;
    std::uint64_t nextNumber_ = 1;
    std::map<std::uint64_t, BorrowedLoan> borrowed_;
    std::map<AttemptId, BorrowingAttempt> attempts_;
    std::map<LoanKey, LentLoan> lent_;
    std::map<VmName, BorrowerSequence> borrowers_;
    /// At most one row for each peer and account.
    std::vector<PeerFreeTokens> peerFreeTokens_;
};

/// One message to send.
struct LoanMessage
{
    VmName to_;
    Message message_;
};

/// Reserves own and borrowed tokens for an attempt. Requests above contractBurst can never be
/// admitted, by waiting or by borrowing.
Admission admit(Allowance &allowance, LoanBook &book, const AccountName &account,
                const AttemptId &attempt, std::int64_t tokens, std::int64_t contractBurst,
                Time now);

/// Like recordTokensRun() and settle() of the allowance, but also cover the tokens that the attempt
/// borrowed.
void recordAttemptRun(Allowance &allowance, LoanBook &book, const AccountName &account,
                      const AttemptId &attempt, std::int64_t tokensRun, Time now);
void settleAttempt(Allowance &allowance, LoanBook &book, const AccountName &account,
                   const AttemptId &attempt, std::int64_t tokensRun, Time now);

/// Requests loans for the tokens that the account lacks, from the peers that reported the most free
/// tokens.
std::vector<LoanMessage> requestLoans(Allowance &allowance, LoanBook &book,
                                      const AccountName &account, std::int64_t tokens, Time now);

/// Stores the free tokens reported by a peer.
void updatePeerFreeTokens(LoanBook &book, const VmName &peer, const AccountFreeTokens &freeTokens,
                          Time now);

/// Returns at most count accounts with the most free tokens in this process, for the heartbeat.
std::vector<AccountFreeTokens> freeTokenHints(Allowance &allowance, std::size_t count, Time now);

std::vector<LoanMessage> handleLoanRequest(Allowance &allowance, LoanBook &book, const VmName &from,
                                           Incarnation incarnation, const LoanRequest &request,
                                           Time now);
std::vector<LoanMessage> handleLoanGrant(LoanBook &book, const VmName &from, const LoanGrant &grant,
                                         Time now);
std::vector<LoanMessage> handleLoanReport(Allowance &allowance, LoanBook &book, const VmName &from,
                                          Incarnation incarnation, const LoanReport &report,
                                          Time now);
void handleLoanClosed(LoanBook &book, const VmName &from, const LoanClosed &closed);

/// Records that the peer's process has ended in this and all earlier incarnations, or that its VM
/// is missing from the platform's list.
void handleBorrowerEnd(LoanBook &book, const VmName &peer, Incarnation ended, Time now);

/// Returns idle tokens, creates reports, resends unanswered messages, and writes off the loans of
/// borrowers that have ended.
std::vector<LoanMessage> advanceLoans(Allowance &allowance, LoanBook &book, Time now);

} // namespace eelgrasscove
