#pragma once

/// Tokens that move between entries within a round trip, without the platform.
///
/// A loan is a reservation that another entry makes: the lender counts the tokens as outstanding
/// until the borrower reports them run or returns them, so that free + own outstanding + lent
/// tokens never exceed the lender's burst. Messages are numbered, sent again until answered, and
/// may be lost, doubled and overtaken: a lost grant costs tokens for a while and never makes any.
/// A borrower assigns lent tokens to attempts only for a stated time after it has asked. A lender
/// that has died is covered by what its next incarnation counts as outstanding; a borrower that
/// has died by the lender, which counts all of the loan as run once no attempt can be running.

#include "ClientAccount/allowance.h"

#include <eelgrasscove/messages.h>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace eelgrasscove {

struct LoanPolicy
{
    /// Loans that one account asks for at a time.
    std::uint32_t openAsks_ = 2;
    /// The least that is asked for.
    std::int64_t leastTokens_ = 64;
    /// The lender keeps one part in so many of its free tokens.
    std::int64_t keptPart_ = 4;
    /// Time after asking within which lent tokens may be assigned to attempts.
    Duration usable_ = std::chrono::seconds(2);
    /// Unassigned tokens go back after so long.
    Duration idle_ = std::chrono::milliseconds(500);
    Duration resend_ = std::chrono::milliseconds(200);
    /// As in LedgerPolicy.
    Duration longestAttempt_ = std::chrono::seconds(150);
    /// An account's free tokens at a peer are believed for so long.
    Duration hintAge_ = std::chrono::seconds(2);
    /// Round trip that a request waits for when only a loan can help.
    Duration roundTrip_ = std::chrono::milliseconds(20);
};

enum class LoanState {
    Asked,
    Held,
    /// Reported as closed, until the lender says so too.
    Closing,
};

/// A loan at its borrower.
struct BorrowedLoan
{
    AccountName account_;
    VmName lender_;
    LoanState state_ = LoanState::Asked;
    std::int64_t askedTokens_ = 0;
    /// Neither assigned to an attempt nor returned.
    std::int64_t idleTokens_ = 0;
    std::int64_t runTokens_ = 0;
    std::int64_t returnedTokens_ = 0;
    std::uint32_t openParts_ = 0;
    Time askedAt_;
    Time idleSince_;
    Time resendAt_;
    /// What has been reported is older than what there is.
    bool unreported_ = false;
};

/// What one loan gives to one attempt.
struct LoanPart
{
    std::uint64_t number_ = 0;
    std::int64_t tokens_ = 0;
    std::int64_t run_ = 0;
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

/// A loan at its lender.
struct LentLoan
{
    AccountName account_;
    std::int64_t grantedTokens_ = 0;
    /// Set while the borrower is known to be gone or restarted.
    std::optional<Time> borrowerEndedAt_;
};

/// Guards against requests that come late or twice.
struct BorrowerMemory
{
    Incarnation incarnation_;
    std::uint64_t highestNumber_ = 0;
};

struct PeerFreeTokens
{
    VmName vm_;
    AccountName account_;
    std::int64_t tokens_ = 0;
    Time heardAt_;
};

struct LoanBook
{
    VmName self_;
    LoanPolicy policy_;
    std::uint64_t nextNumber_ = 1;
    std::map<std::uint64_t, BorrowedLoan> borrowed_;
    std::map<AttemptId, BorrowingAttempt> attempts_;
    std::map<LoanKey, LentLoan> lent_;
    std::map<VmName, BorrowerMemory> borrowers_;
    /// At most one row for each peer and account.
    std::vector<PeerFreeTokens> peersFree_;
};

/// One message to send.
struct LoanMessage
{
    VmName to_;
    Message message_;
};

/// Reserves tokens for an attempt from own and borrowed ones. contractBurst bounds what waiting
/// and borrowing can ever admit.
Admission admit(Allowance &allowance, LoanBook &book, const AccountName &account,
                const AttemptId &attempt, std::int64_t tokens, std::int64_t contractBurst,
                Time now);

/// As noteRun and settle of the allowance, the attempt's loans included.
void noteAttemptRun(Allowance &allowance, LoanBook &book, const AccountName &account,
                    const AttemptId &attempt, std::int64_t tokensRun, Time now);
void settleAttempt(Allowance &allowance, LoanBook &book, const AccountName &account,
                   const AttemptId &attempt, std::int64_t tokensRun, Time now);

/// Asks the peers that say they have most free for what the account lacks for so many tokens.
std::vector<LoanMessage> askForTokens(Allowance &allowance, LoanBook &book,
                                      const AccountName &account, std::int64_t tokens, Time now);

/// What a peer says it has free.
void takePeerFree(LoanBook &book, const VmName &peer, const AccountFreeTokens &freeTokens,
                  Time now);

/// The accounts with most free tokens here, at most so many, for the heartbeat.
std::vector<AccountFreeTokens> freeTokenHints(Allowance &allowance, std::size_t count, Time now);

std::vector<LoanMessage> takeLoanRequest(Allowance &allowance, LoanBook &book, const VmName &from,
                                         Incarnation incarnation, const LoanRequest &request,
                                         Time now);
std::vector<LoanMessage> takeLoanGrant(LoanBook &book, const VmName &from, const LoanGrant &grant,
                                       Time now);
std::vector<LoanMessage> takeLoanReport(Allowance &allowance, LoanBook &book, const VmName &from,
                                        Incarnation incarnation, const LoanReport &report,
                                        Time now);
void takeLoanClosed(LoanBook &book, const VmName &from, const LoanClosed &closed);

/// The peer's process of this and all earlier incarnations has ended, or its VM is gone from the
/// platform's list.
void takeBorrowerEnded(LoanBook &book, const VmName &peer, Incarnation ended, Time now);

/// Returns idle tokens, sends reports and what was not answered again, writes off the loans of
/// borrowers that have ended.
std::vector<LoanMessage> advanceLoans(Allowance &allowance, LoanBook &book, Time now);

} // namespace eelgrasscove
