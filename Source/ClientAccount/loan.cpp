#include "ClientAccount/loan.h"

#include <fmt/format.h>

#include <algorithm>

namespace eelgrasscove {

namespace {

/// Returns the id of the reservation that represents a loan in the lender's allowance.
AttemptId loanReservationId(const LoanKey &key)
{
    return {
        fmt::format("loan/{}/{}/{}", key.borrower_.text_, key.incarnation_.value_, key.number_)};
}

bool isAssignable(const LoanBook &book, const BorrowedLoan &loan, Time now)
{
    return loan.state_ == LoanState::Held && now < loan.requestedAt_ + book.policy_.usablePeriod_;
}

std::int64_t idleTokens(const LoanBook &book, const AccountName &account, Time now)
{
    std::int64_t tokens = 0;
    for (const auto &[number, loan] : book.borrowed_) {
        if (loan.account_ == account && isAssignable(book, loan, now))
            tokens += loan.idleTokens_;
    }
    return tokens;
}

/// Returns the tokens of open loan requests plus the free tokens last reported by peers.
std::int64_t obtainableTokens(const LoanBook &book, const AccountName &account, Time now)
{
    std::int64_t tokens = 0;
    for (const auto &[number, loan] : book.borrowed_) {
        const bool requested = loan.account_ == account && loan.state_ == LoanState::Requested;
        tokens += requested ? loan.requestedTokens_ : 0;
    }
    for (const PeerFreeTokens &peer : book.peerFreeTokens_) {
        const bool isCandidate =
            peer.account_ == account && now < peer.receivedAt_ + book.policy_.maxHintAge_;
        tokens += isCandidate ? std::max<std::int64_t>(0, peer.tokens_) : 0;
    }
    return tokens;
}

std::vector<LoanPart> assignParts(LoanBook &book, const AccountName &account, std::int64_t tokens,
                                  Time now)
{
    std::vector<LoanPart> parts;
    for (auto &[number, loan] : book.borrowed_) {
        const bool usable = loan.account_ == account && isAssignable(book, loan, now);
        if (!usable || loan.idleTokens_ == 0 || tokens == 0)
            continue;
        const std::int64_t assigned = std::min(tokens, loan.idleTokens_);
        loan.idleTokens_ -= assigned;
        ++loan.openParts_;
        tokens -= assigned;
        parts.push_back({number, assigned, 0});
    }
    return parts;
}

LoanReport loanReport(std::uint64_t number, const BorrowedLoan &loan)
{
    LoanReport report;
    report.account_ = loan.account_;
    report.number_ = number;
    report.tokensRun_ = loan.runTokens_;
    report.tokensReturned_ = loan.returnedTokens_;
    report.closed_ = loan.state_ == LoanState::Closing;
    return report;
}

LoanMessage createReport(const LoanBook &book, std::uint64_t number, BorrowedLoan &loan, Time now)
{
    loan.hasUnreportedChange_ = false;
    loan.resendAt_ = now + book.policy_.resendPeriod_;
    return {loan.lender_, loanReport(number, loan)};
}

/// Returns idle tokens to the lender; closes the loan if no part of it is in use.
void returnIdleTokens(BorrowedLoan &loan)
{
    loan.returnedTokens_ += loan.idleTokens_;
    loan.hasUnreportedChange_ = loan.hasUnreportedChange_ || loan.idleTokens_ > 0;
    loan.idleTokens_ = 0;
    if (loan.openParts_ > 0)
        return;
    loan.state_ = LoanState::Closing;
    loan.hasUnreportedChange_ = true;
}

void recordPartRuns(LoanBook &book, BorrowingAttempt &borrowing, std::int64_t &tokensRun)
{
    for (LoanPart &part : borrowing.parts_) {
        const std::int64_t run = std::min(part.tokens_, tokensRun);
        tokensRun -= run;
        const auto loan = book.borrowed_.find(part.number_);
        if (run <= part.tokensRun_ || loan == book.borrowed_.end())
            continue;
        loan->second.runTokens_ += run - part.tokensRun_;
        loan->second.hasUnreportedChange_ = true;
        part.tokensRun_ = run;
    }
}

void releaseParts(LoanBook &book, const BorrowingAttempt &borrowing, Time now)
{
    for (const LoanPart &part : borrowing.parts_) {
        const auto loan = book.borrowed_.find(part.number_);
        if (loan == book.borrowed_.end())
            continue;
        loan->second.idleTokens_ += part.tokens_ - part.tokensRun_;
        loan->second.idleSince_ = now;
        --loan->second.openParts_;
    }
}

std::uint32_t openLoanRequests(const LoanBook &book, const AccountName &account)
{
    std::uint32_t requests = 0;
    for (const auto &[number, loan] : book.borrowed_)
        requests += loan.account_ == account && loan.state_ == LoanState::Requested ? 1 : 0;
    return requests;
}

bool hasOpenRequest(const LoanBook &book, const AccountName &account, const VmName &peer)
{
    const auto found = std::find_if(book.borrowed_.begin(), book.borrowed_.end(),
                                    [&account, &peer](const auto &entry) {
                                        const BorrowedLoan &loan = entry.second;
                                        return loan.account_ == account && loan.lender_ == peer
                                            && loan.state_ == LoanState::Requested;
                                    });
    return found != book.borrowed_.end();
}

PeerFreeTokens *peerWithMostFreeTokens(LoanBook &book, const AccountName &account, Time now)
{
    PeerFreeTokens *best = nullptr;
    for (PeerFreeTokens &peer : book.peerFreeTokens_) {
        const bool isCandidate = peer.account_ == account && peer.tokens_ > 0
            && now < peer.receivedAt_ + book.policy_.maxHintAge_;
        if (!isCandidate || hasOpenRequest(book, account, peer.vm_))
            continue;
        if (best == nullptr || peer.tokens_ > best->tokens_)
            best = &peer;
    }
    return best;
}

LoanMessage createLoanRequest(LoanBook &book, PeerFreeTokens &peer, std::int64_t tokens, Time now)
{
    BorrowedLoan loan;
    loan.account_ = peer.account_;
    loan.lender_ = peer.vm_;
    loan.requestedTokens_ = tokens;
    loan.requestedAt_ = now;
    loan.resendAt_ = now + book.policy_.resendPeriod_;
    peer.tokens_ -= tokens;
    const std::uint64_t number = book.nextNumber_++;
    book.borrowed_.emplace(number, loan);
    return {loan.lender_, LoanRequest{loan.account_, number, tokens}};
}

LoanMessage createGrant(const VmName &to, const LoanRequest &request, std::int64_t tokens,
                        std::int64_t left)
{
    return {to, LoanGrant{request.account_, request.number_, tokens, left}};
}

/// Returns false for a request of an earlier incarnation, and for a number not above the highest
/// one received. Records the number otherwise.
bool isNewRequest(LoanBook &book, const VmName &from, Incarnation incarnation, std::uint64_t number)
{
    BorrowerSequence &sequence = book.borrowers_[from];
    if (incarnation < sequence.incarnation_)
        return false;
    if (incarnation > sequence.incarnation_)
        sequence = {incarnation, 0};
    if (number <= sequence.highestNumber_)
        return false;
    sequence.highestNumber_ = number;
    return true;
}

std::int64_t lend(Allowance &allowance, LoanBook &book, const LoanKey &key,
                  const LoanRequest &request, Time now)
{
    const std::int64_t unused = freeTokens(allowance, request.account_, now);
    const std::int64_t lendable = unused - unused / book.policy_.retainedDivisor_;
    const std::int64_t tokens = std::min(request.tokens_, lendable);
    if (tokens <= 0)
        return 0;
    const Admission admission =
        reserve(allowance, request.account_, loanReservationId(key), tokens, now);
    if (!std::holds_alternative<Admitted>(admission))
        return 0;
    LentLoan loan;
    loan.account_ = request.account_;
    loan.grantedTokens_ = tokens;
    book.lent_.emplace(key, loan);
    return tokens;
}

/// Returns the idle tokens of a granted loan that is idle or has expired. A request that is not
/// answered before its expiry is closed; a grant that arrives later is ignored.
void closeExpiredLoan(const LoanBook &book, BorrowedLoan &loan, Time now)
{
    const bool hasExpired = now >= loan.requestedAt_ + book.policy_.usablePeriod_;
    const bool idle = loan.openParts_ == 0 && now >= loan.idleSince_ + book.policy_.idleTimeout_;
    const bool isOver = loan.state_ == LoanState::Held && (idle || hasExpired);
    const bool unanswered = loan.state_ == LoanState::Requested && hasExpired;
    if ((isOver && (loan.openParts_ == 0 || loan.idleTokens_ > 0)) || unanswered)
        returnIdleTokens(loan);
}

void writeOffLoans(Allowance &allowance, LoanBook &book, Time now)
{
    for (auto loan = book.lent_.begin(); loan != book.lent_.end();) {
        const auto &[key, lent] = *loan;
        const bool due = lent.borrowerEndedAt_
            && now >= *lent.borrowerEndedAt_ + book.policy_.maxAttemptDuration_;
        if (!due) {
            ++loan;
            continue;
        }
        settle(allowance, lent.account_, loanReservationId(key), lent.grantedTokens_, now);
        loan = book.lent_.erase(loan);
    }
}

} // namespace

Admission admit(Allowance &allowance, LoanBook &book, const AccountName &account,
                const AttemptId &attempt, std::int64_t tokens, std::int64_t contractBurst, Time now)
{
    const Admission own = reserve(allowance, account, attempt, tokens, now);
    if (std::holds_alternative<Admitted>(own))
        return own;
    if (tokens < 0 || tokens > contractBurst)
        return ExceedsBurst();
    const std::int64_t borrowed = std::min(tokens, idleTokens(book, account, now));
    const std::int64_t rest = tokens - borrowed;
    const bool enough = borrowed > 0 && freeTokens(allowance, account, now) >= rest;
    const bool admitted =
        enough && std::holds_alternative<Admitted>(reserve(allowance, account, attempt, rest, now));
    if (admitted) {
        book.attempts_[attempt].parts_ = assignParts(book, account, borrowed, now);
        return Admitted();
    }
    const std::int64_t missing = rest - freeTokens(allowance, account, now);
    const MustWait *notYet = std::get_if<MustWait>(&own);
    if (notYet == nullptr || missing <= obtainableTokens(book, account, now))
        return MustWait{book.policy_.roundTripWait_};
    return *notYet;
}

void recordAttemptRun(Allowance &allowance, LoanBook &book, const AccountName &account,
                      const AttemptId &attempt, std::int64_t tokensRun, Time now)
{
    const auto borrowing = book.attempts_.find(attempt);
    if (borrowing != book.attempts_.end())
        recordPartRuns(book, borrowing->second, tokensRun);
    recordTokensRun(allowance, account, attempt, tokensRun, now);
}

void settleAttempt(Allowance &allowance, LoanBook &book, const AccountName &account,
                   const AttemptId &attempt, std::int64_t tokensRun, Time now)
{
    const auto borrowing = book.attempts_.find(attempt);
    if (borrowing != book.attempts_.end()) {
        recordPartRuns(book, borrowing->second, tokensRun);
        releaseParts(book, borrowing->second, now);
        book.attempts_.erase(borrowing);
    }
    settle(allowance, account, attempt, tokensRun, now);
}

std::vector<LoanMessage> requestLoans(Allowance &allowance, LoanBook &book,
                                      const AccountName &account, std::int64_t tokens, Time now)
{
    std::vector<LoanMessage> messages;
    std::int64_t missing = tokens - freeTokens(allowance, account, now);
    missing -= idleTokens(book, account, now);
    while (missing > 0 && openLoanRequests(book, account) < book.policy_.maxOpenRequests_) {
        PeerFreeTokens *peer = peerWithMostFreeTokens(book, account, now);
        if (peer == nullptr)
            break;
        const std::int64_t requested = std::max(missing, book.policy_.minRequestTokens_);
        missing -= std::min(requested, peer->tokens_);
        messages.push_back(createLoanRequest(book, *peer, requested, now));
    }
    return messages;
}

void updatePeerFreeTokens(LoanBook &book, const VmName &peer, const AccountFreeTokens &freeTokens,
                          Time now)
{
    const auto found =
        std::find_if(book.peerFreeTokens_.begin(), book.peerFreeTokens_.end(),
                     [&peer, &freeTokens](const PeerFreeTokens &row) {
                         return row.vm_ == peer && row.account_ == freeTokens.account_;
                     });
    const PeerFreeTokens row = {peer, freeTokens.account_, freeTokens.tokens_, now};
    if (found == book.peerFreeTokens_.end()) {
        book.peerFreeTokens_.push_back(row);
        return;
    }
    *found = row;
}

std::vector<AccountFreeTokens> freeTokenHints(Allowance &allowance, std::size_t count, Time now)
{
    std::vector<AccountFreeTokens> hints;
    for (const auto &[name, account] : allowance.accounts_)
        hints.push_back({name, freeTokens(allowance, name, now)});
    const auto hasMore = [](const AccountFreeTokens &left, const AccountFreeTokens &right) {
        return left.tokens_ > right.tokens_;
    };
    const std::size_t kept = std::min(count, hints.size());
    std::partial_sort(hints.begin(), hints.begin() + static_cast<std::ptrdiff_t>(kept), hints.end(),
                      hasMore);
    hints.resize(kept);
    return hints;
}

std::vector<LoanMessage> handleLoanRequest(Allowance &allowance, LoanBook &book, const VmName &from,
                                           Incarnation incarnation, const LoanRequest &request,
                                           Time now)
{
    const LoanKey key = {from, incarnation, request.number_};
    const auto known = book.lent_.find(key);
    std::int64_t tokens = 0;
    if (known != book.lent_.end()) {
        tokens = known->second.grantedTokens_;
    } else if (isNewRequest(book, from, incarnation, request.number_)) {
        tokens = lend(allowance, book, key, request, now);
    }
    const std::int64_t left = freeTokens(allowance, request.account_, now);
    return {createGrant(from, request, tokens, left)};
}

std::vector<LoanMessage> handleLoanGrant(LoanBook &book, const VmName &from, const LoanGrant &grant,
                                         Time now)
{
    updatePeerFreeTokens(book, from, {grant.account_, grant.freeTokens_}, now);
    const auto found = book.borrowed_.find(grant.number_);
    const bool expected = found != book.borrowed_.end() && found->second.lender_ == from
        && found->second.state_ == LoanState::Requested;
    if (!expected)
        return {};
    if (grant.tokens_ <= 0) {
        book.borrowed_.erase(found);
        return {};
    }
    BorrowedLoan &loan = found->second;
    loan.state_ = LoanState::Held;
    loan.idleTokens_ = grant.tokens_;
    loan.idleSince_ = now;
    return {};
}

std::vector<LoanMessage> handleLoanReport(Allowance &allowance, LoanBook &book, const VmName &from,
                                          Incarnation incarnation, const LoanReport &report,
                                          Time now)
{
    const LoanKey key = {from, incarnation, report.number_};
    const auto found = book.lent_.find(key);
    if (found != book.lent_.end()) {
        const LentLoan loan = found->second;
        const AttemptId id = loanReservationId(key);
        recordTokensRun(allowance, loan.account_, id, report.tokensRun_, now);
        shrinkReservation(allowance, loan.account_, id,
                          loan.grantedTokens_ - report.tokensReturned_, now);
        if (!report.closed_)
            return {};
        settle(allowance, loan.account_, id, report.tokensRun_, now);
        book.lent_.erase(found);
    }
    if (!report.closed_)
        return {};
    isNewRequest(book, from, incarnation, report.number_);
    return {{from, LoanClosed{report.account_, report.number_}}};
}

void handleLoanClosed(LoanBook &book, const VmName &from, const LoanClosed &closed)
{
    const auto found = book.borrowed_.find(closed.number_);
    const bool isOver = found != book.borrowed_.end() && found->second.lender_ == from
        && found->second.state_ == LoanState::Closing;
    if (isOver)
        book.borrowed_.erase(found);
}

void handleBorrowerEnd(LoanBook &book, const VmName &peer, Incarnation ended, Time now)
{
    for (auto &[key, loan] : book.lent_) {
        const bool concerned = key.borrower_ == peer && key.incarnation_ <= ended;
        if (concerned && !loan.borrowerEndedAt_)
            loan.borrowerEndedAt_ = now;
    }
}

std::vector<LoanMessage> advanceLoans(Allowance &allowance, LoanBook &book, Time now)
{
    std::vector<LoanMessage> messages;
    writeOffLoans(allowance, book, now);
    for (auto &[number, loan] : book.borrowed_) {
        closeExpiredLoan(book, loan, now);
        const bool isResendDue = now >= loan.resendAt_;
        if (loan.state_ == LoanState::Requested) {
            if (!isResendDue)
                continue;
            loan.resendAt_ = now + book.policy_.resendPeriod_;
            messages.push_back(
                {loan.lender_, LoanRequest{loan.account_, number, loan.requestedTokens_}});
            continue;
        }
        const bool closing = loan.state_ == LoanState::Closing;
        if (loan.hasUnreportedChange_ || (closing && isResendDue))
            messages.push_back(createReport(book, number, loan, now));
    }
    return messages;
}

} // namespace eelgrasscove
