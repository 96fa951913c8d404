#include "ClientAccount/loan.h"

#include <fmt/format.h>

#include <algorithm>

namespace eelgrasscove {

namespace {

/// The reservation that stands for a loan in the lender's allowance.
AttemptId reservationOf(const LoanKey &key)
{
    return {
        fmt::format("loan/{}/{}/{}", key.borrower_.text_, key.incarnation_.value_, key.number_)};
}

bool mayAssign(const LoanBook &book, const BorrowedLoan &loan, Time now)
{
    return loan.state_ == LoanState::Held && now < loan.askedAt_ + book.policy_.usable_;
}

std::int64_t idleTokens(const LoanBook &book, const AccountName &account, Time now)
{
    std::int64_t tokens = 0;
    for (const auto &[number, loan] : book.borrowed_) {
        if (loan.account_ == account && mayAssign(book, loan, now))
            tokens += loan.idleTokens_;
    }
    return tokens;
}

/// What has been asked for, and what peers are believed to have free beside it.
std::int64_t obtainableTokens(const LoanBook &book, const AccountName &account, Time now)
{
    std::int64_t tokens = 0;
    for (const auto &[number, loan] : book.borrowed_) {
        const bool asked = loan.account_ == account && loan.state_ == LoanState::Asked;
        tokens += asked ? loan.askedTokens_ : 0;
    }
    for (const PeerFreeTokens &peer : book.peersFree_) {
        const bool fits = peer.account_ == account && now < peer.heardAt_ + book.policy_.hintAge_;
        tokens += fits ? std::max<std::int64_t>(0, peer.tokens_) : 0;
    }
    return tokens;
}

std::vector<LoanPart> assignParts(LoanBook &book, const AccountName &account, std::int64_t tokens,
                                  Time now)
{
    std::vector<LoanPart> parts;
    for (auto &[number, loan] : book.borrowed_) {
        const bool usable = loan.account_ == account && mayAssign(book, loan, now);
        if (!usable || loan.idleTokens_ == 0 || tokens == 0)
            continue;
        const std::int64_t taken = std::min(tokens, loan.idleTokens_);
        loan.idleTokens_ -= taken;
        ++loan.openParts_;
        tokens -= taken;
        parts.push_back({number, taken, 0});
    }
    return parts;
}

LoanReport reportOf(std::uint64_t number, const BorrowedLoan &loan)
{
    LoanReport report;
    report.account_ = loan.account_;
    report.number_ = number;
    report.tokensRun_ = loan.runTokens_;
    report.tokensReturned_ = loan.returnedTokens_;
    report.closed_ = loan.state_ == LoanState::Closing;
    return report;
}

LoanMessage sendReport(const LoanBook &book, std::uint64_t number, BorrowedLoan &loan, Time now)
{
    loan.unreported_ = false;
    loan.resendAt_ = now + book.policy_.resend_;
    return {loan.lender_, reportOf(number, loan)};
}

/// Idle tokens go back; a loan without open parts is over.
void returnIdle(BorrowedLoan &loan)
{
    loan.returnedTokens_ += loan.idleTokens_;
    loan.unreported_ = loan.unreported_ || loan.idleTokens_ > 0;
    loan.idleTokens_ = 0;
    if (loan.openParts_ > 0)
        return;
    loan.state_ = LoanState::Closing;
    loan.unreported_ = true;
}

void noteParts(LoanBook &book, BorrowingAttempt &borrowing, std::int64_t &tokensRun)
{
    for (LoanPart &part : borrowing.parts_) {
        const std::int64_t run = std::min(part.tokens_, tokensRun);
        tokensRun -= run;
        const auto loan = book.borrowed_.find(part.number_);
        if (run <= part.run_ || loan == book.borrowed_.end())
            continue;
        loan->second.runTokens_ += run - part.run_;
        loan->second.unreported_ = true;
        part.run_ = run;
    }
}

void endParts(LoanBook &book, const BorrowingAttempt &borrowing, Time now)
{
    for (const LoanPart &part : borrowing.parts_) {
        const auto loan = book.borrowed_.find(part.number_);
        if (loan == book.borrowed_.end())
            continue;
        loan->second.idleTokens_ += part.tokens_ - part.run_;
        loan->second.idleSince_ = now;
        --loan->second.openParts_;
    }
}

std::uint32_t openAsks(const LoanBook &book, const AccountName &account)
{
    std::uint32_t asks = 0;
    for (const auto &[number, loan] : book.borrowed_)
        asks += loan.account_ == account && loan.state_ == LoanState::Asked ? 1 : 0;
    return asks;
}

bool isAsked(const LoanBook &book, const AccountName &account, const VmName &peer)
{
    const auto found = std::find_if(book.borrowed_.begin(), book.borrowed_.end(),
                                    [&account, &peer](const auto &entry) {
                                        const BorrowedLoan &loan = entry.second;
                                        return loan.account_ == account && loan.lender_ == peer
                                            && loan.state_ == LoanState::Asked;
                                    });
    return found != book.borrowed_.end();
}

PeerFreeTokens *richestPeer(LoanBook &book, const AccountName &account, Time now)
{
    PeerFreeTokens *richest = nullptr;
    for (PeerFreeTokens &peer : book.peersFree_) {
        const bool fits = peer.account_ == account && peer.tokens_ > 0
            && now < peer.heardAt_ + book.policy_.hintAge_;
        if (!fits || isAsked(book, account, peer.vm_))
            continue;
        if (richest == nullptr || peer.tokens_ > richest->tokens_)
            richest = &peer;
    }
    return richest;
}

LoanMessage askPeer(LoanBook &book, PeerFreeTokens &peer, std::int64_t tokens, Time now)
{
    BorrowedLoan loan;
    loan.account_ = peer.account_;
    loan.lender_ = peer.vm_;
    loan.askedTokens_ = tokens;
    loan.askedAt_ = now;
    loan.resendAt_ = now + book.policy_.resend_;
    peer.tokens_ -= tokens;
    const std::uint64_t number = book.nextNumber_++;
    book.borrowed_.emplace(number, loan);
    return {loan.lender_, LoanRequest{loan.account_, number, tokens}};
}

LoanMessage grantOf(const VmName &to, const LoanRequest &request, std::int64_t tokens,
                    std::int64_t left)
{
    return {to, LoanGrant{request.account_, request.number_, tokens, left}};
}

/// False for a request of an ended incarnation, or one that has been answered before.
bool isNewRequest(LoanBook &book, const VmName &from, Incarnation incarnation, std::uint64_t number)
{
    BorrowerMemory &memory = book.borrowers_[from];
    if (incarnation < memory.incarnation_)
        return false;
    if (incarnation > memory.incarnation_)
        memory = {incarnation, 0};
    if (number <= memory.highestNumber_)
        return false;
    memory.highestNumber_ = number;
    return true;
}

std::int64_t lend(Allowance &allowance, LoanBook &book, const LoanKey &key,
                  const LoanRequest &request, Time now)
{
    const std::int64_t unused = freeTokens(allowance, request.account_, now);
    const std::int64_t lendable = unused - unused / book.policy_.keptPart_;
    const std::int64_t tokens = std::min(request.tokens_, lendable);
    if (tokens <= 0)
        return 0;
    const Admission admission =
        reserve(allowance, request.account_, reservationOf(key), tokens, now);
    if (!std::holds_alternative<Admitted>(admission))
        return 0;
    LentLoan loan;
    loan.account_ = request.account_;
    loan.grantedTokens_ = tokens;
    book.lent_.emplace(key, loan);
    return tokens;
}

/// An Asked loan whose time is over is closed; the grant may still come and is then ignored.
void endIdleLoan(const LoanBook &book, BorrowedLoan &loan, Time now)
{
    const bool outOfTime = now >= loan.askedAt_ + book.policy_.usable_;
    const bool idle = loan.openParts_ == 0 && now >= loan.idleSince_ + book.policy_.idle_;
    const bool over = loan.state_ == LoanState::Held && (idle || outOfTime);
    const bool unanswered = loan.state_ == LoanState::Asked && outOfTime;
    if ((over && (loan.openParts_ == 0 || loan.idleTokens_ > 0)) || unanswered)
        returnIdle(loan);
}

void writeOff(Allowance &allowance, LoanBook &book, Time now)
{
    for (auto loan = book.lent_.begin(); loan != book.lent_.end();) {
        const auto &[key, lent] = *loan;
        const bool due =
            lent.borrowerEndedAt_ && now >= *lent.borrowerEndedAt_ + book.policy_.longestAttempt_;
        if (!due) {
            ++loan;
            continue;
        }
        settle(allowance, lent.account_, reservationOf(key), lent.grantedTokens_, now);
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
        return NeverHere();
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
    const NotYet *notYet = std::get_if<NotYet>(&own);
    if (notYet == nullptr || missing <= obtainableTokens(book, account, now))
        return NotYet{book.policy_.roundTrip_};
    return *notYet;
}

void noteAttemptRun(Allowance &allowance, LoanBook &book, const AccountName &account,
                    const AttemptId &attempt, std::int64_t tokensRun, Time now)
{
    const auto borrowing = book.attempts_.find(attempt);
    if (borrowing != book.attempts_.end())
        noteParts(book, borrowing->second, tokensRun);
    noteRun(allowance, account, attempt, tokensRun, now);
}

void settleAttempt(Allowance &allowance, LoanBook &book, const AccountName &account,
                   const AttemptId &attempt, std::int64_t tokensRun, Time now)
{
    const auto borrowing = book.attempts_.find(attempt);
    if (borrowing != book.attempts_.end()) {
        noteParts(book, borrowing->second, tokensRun);
        endParts(book, borrowing->second, now);
        book.attempts_.erase(borrowing);
    }
    settle(allowance, account, attempt, tokensRun, now);
}

std::vector<LoanMessage> askForTokens(Allowance &allowance, LoanBook &book,
                                      const AccountName &account, std::int64_t tokens, Time now)
{
    std::vector<LoanMessage> messages;
    std::int64_t missing = tokens - freeTokens(allowance, account, now);
    missing -= idleTokens(book, account, now);
    while (missing > 0 && openAsks(book, account) < book.policy_.openAsks_) {
        PeerFreeTokens *peer = richestPeer(book, account, now);
        if (peer == nullptr)
            break;
        const std::int64_t asked = std::max(missing, book.policy_.leastTokens_);
        missing -= std::min(asked, peer->tokens_);
        messages.push_back(askPeer(book, *peer, asked, now));
    }
    return messages;
}

void takePeerFree(LoanBook &book, const VmName &peer, const AccountFreeTokens &freeTokens, Time now)
{
    const auto found =
        std::find_if(book.peersFree_.begin(), book.peersFree_.end(),
                     [&peer, &freeTokens](const PeerFreeTokens &row) {
                         return row.vm_ == peer && row.account_ == freeTokens.account_;
                     });
    const PeerFreeTokens row = {peer, freeTokens.account_, freeTokens.tokens_, now};
    if (found == book.peersFree_.end()) {
        book.peersFree_.push_back(row);
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

std::vector<LoanMessage> takeLoanRequest(Allowance &allowance, LoanBook &book, const VmName &from,
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
    return {grantOf(from, request, tokens, left)};
}

std::vector<LoanMessage> takeLoanGrant(LoanBook &book, const VmName &from, const LoanGrant &grant,
                                       Time now)
{
    takePeerFree(book, from, {grant.account_, grant.freeTokens_}, now);
    const auto found = book.borrowed_.find(grant.number_);
    const bool expected = found != book.borrowed_.end() && found->second.lender_ == from
        && found->second.state_ == LoanState::Asked;
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

std::vector<LoanMessage> takeLoanReport(Allowance &allowance, LoanBook &book, const VmName &from,
                                        Incarnation incarnation, const LoanReport &report, Time now)
{
    const LoanKey key = {from, incarnation, report.number_};
    const auto found = book.lent_.find(key);
    if (found != book.lent_.end()) {
        const LentLoan loan = found->second;
        const AttemptId id = reservationOf(key);
        noteRun(allowance, loan.account_, id, report.tokensRun_, now);
        shrink(allowance, loan.account_, id, loan.grantedTokens_ - report.tokensReturned_, now);
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

void takeLoanClosed(LoanBook &book, const VmName &from, const LoanClosed &closed)
{
    const auto found = book.borrowed_.find(closed.number_);
    const bool over = found != book.borrowed_.end() && found->second.lender_ == from
        && found->second.state_ == LoanState::Closing;
    if (over)
        book.borrowed_.erase(found);
}

void takeBorrowerEnded(LoanBook &book, const VmName &peer, Incarnation ended, Time now)
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
    writeOff(allowance, book, now);
    for (auto &[number, loan] : book.borrowed_) {
        endIdleLoan(book, loan, now);
        const bool again = now >= loan.resendAt_;
        if (loan.state_ == LoanState::Asked) {
            if (!again)
                continue;
            loan.resendAt_ = now + book.policy_.resend_;
            messages.push_back(
                {loan.lender_, LoanRequest{loan.account_, number, loan.askedTokens_}});
            continue;
        }
        const bool closing = loan.state_ == LoanState::Closing;
        if (loan.unreported_ || (closing && again))
            messages.push_back(sendReport(book, number, loan, now));
    }
    return messages;
}

} // namespace eelgrasscove
