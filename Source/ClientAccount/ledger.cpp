#include "ClientAccount/ledger.h"

#include <fmt/format.h>

#include <algorithm>
#include <sstream>

namespace eelgrasscove {

namespace {

constexpr std::string_view contractWord = "contract";
constexpr std::string_view shareWord = "share";

AllowanceShare smallerOf(AllowanceShare left, AllowanceShare right)
{
    return {std::min(left.tokensPerSecond_, right.tokensPerSecond_),
            std::min(left.burstTokens_, right.burstTokens_)};
}

bool sameShare(AllowanceShare left, AllowanceShare right)
{
    return left.tokensPerSecond_ == right.tokensPerSecond_
        && left.burstTokens_ == right.burstTokens_;
}

/// part / whole of the amount, rounded down; the whole amount unless part is smaller.
std::int64_t scaledDown(std::int64_t amount, std::int64_t part, std::int64_t whole)
{
    if (part >= whole || whole <= 0)
        return amount;
    const auto product = static_cast<__int128>(amount) * part;
    return static_cast<std::int64_t>(product / whole);
}

AllowanceShare scaledToContract(AllowanceShare share, AllowanceShare contract, AllowanceShare basis)
{
    return {scaledDown(share.tokensPerSecond_, contract.tokensPerSecond_, basis.tokensPerSecond_),
            scaledDown(share.burstTokens_, contract.burstTokens_, basis.burstTokens_)};
}

AllowanceShare settledOrSmaller(const AccountLedger &account)
{
    AllowanceShare share = account.held_;
    if (account.unsettledAt_)
        share = smallerOf(share, account.unsettledShare_);
    if (account.step_ == LedgerStep::Writing)
        share = smallerOf(share, account.writingShare_);
    return share;
}

std::string keyOf(const Ledger &ledger, const AccountName &account)
{
    return ledger.policy_.keyPrefix_ + account.text_;
}

std::optional<std::size_t> placeAmongEntries(const Ledger &ledger)
{
    const auto found = std::find(ledger.entries_.begin(), ledger.entries_.end(), ledger.self_);
    if (found == ledger.entries_.end())
        return std::nullopt;
    return static_cast<std::size_t>(found - ledger.entries_.begin());
}

/// An equal part; the first VMs by name have what doesn't divide.
std::int64_t equalPart(std::int64_t whole, std::size_t place, std::size_t count)
{
    const auto parts = static_cast<std::int64_t>(count);
    const bool hasRest = static_cast<std::int64_t>(place) < whole % parts;
    return whole / parts + (hasRest ? 1 : 0);
}

AllowanceShare entitlementOf(const Ledger &ledger, AllowanceShare contract)
{
    const std::optional<std::size_t> place = placeAmongEntries(ledger);
    if (!place || ledger.leaving_)
        return {};
    const std::size_t count = ledger.entries_.size();
    return {equalPart(contract.tokensPerSecond_, *place, count),
            equalPart(contract.burstTokens_, *place, count)};
}

/// Reserved tokens, and whatever an overrun or a lowered contract has left to be repaid.
std::int64_t boundTokens(const Allowance &allowance, const AccountName &account)
{
    const auto found = allowance.accounts_.find(account);
    return found == allowance.accounts_.end() ? 0 : found->second.outstandingTokens_;
}

HeldShare *findShare(ShareRecord &record, const VmName &vm)
{
    const auto found = std::find_if(record.shares_.begin(), record.shares_.end(),
                                    [&vm](const HeldShare &held) { return held.vm_ == vm; });
    return found == record.shares_.end() ? nullptr : &*found;
}

/// Gone from the platform's list, by its latest reading, for the longest attempt.
bool surelyStopped(const Ledger &ledger, const VmName &vm)
{
    const auto missing = ledger.missingSince_.find(vm);
    if (missing == ledger.missingSince_.end() || !ledger.listedAt_)
        return false;
    return *ledger.listedAt_ - missing->second >= ledger.policy_.longestAttempt_;
}

bool isListed(const Ledger &ledger, const VmName &vm)
{
    return std::find(ledger.listed_.begin(), ledger.listed_.end(), vm) != ledger.listed_.end();
}

/// A VM in the record was on the list when it took its share; here it may never have been seen.
void noteMissing(Ledger &ledger, const ShareRecord &record)
{
    if (!ledger.listedAt_)
        return;
    for (const HeldShare &held : record.shares_) {
        if (!isListed(ledger, held.vm_))
            ledger.missingSince_.try_emplace(held.vm_, *ledger.listedAt_);
    }
}

bool dropStopped(const Ledger &ledger, ShareRecord &record)
{
    const auto removed = std::erase_if(record.shares_, [&ledger](const HeldShare &held) {
        return held.vm_ != ledger.self_ && surelyStopped(ledger, held.vm_);
    });
    return removed > 0;
}

AllowanceShare unallotted(const ShareRecord &record)
{
    AllowanceShare rest = record.contract_;
    for (const HeldShare &held : record.shares_) {
        rest.tokensPerSecond_ -= held.share_.tokensPerSecond_;
        rest.burstTokens_ -= held.share_.burstTokens_;
    }
    return {std::max<std::int64_t>(0, rest.tokensPerSecond_),
            std::max<std::int64_t>(0, rest.burstTokens_)};
}

std::int64_t movedTowards(std::int64_t held, std::int64_t wanted, std::int64_t available)
{
    if (wanted <= held)
        return wanted;
    return held + std::min(wanted - held, available);
}

/// Scales the share down to a lowered contract, then moves it towards the entitlement. Tokens
/// that are outstanding stay in the record; the share in use is scaled all the same as long as
/// the former contract is its basis.
void moveOwnShare(const Ledger &ledger, ShareRecord &wanted, HeldShare &own, std::int64_t bound)
{
    const HeldShare before = own;
    own.share_ = scaledToContract(before.share_, wanted.contract_, before.basis_);
    own.basis_ = wanted.contract_;
    const AllowanceShare rest = unallotted(wanted);
    const AllowanceShare target = entitlementOf(ledger, wanted.contract_);
    own.share_.tokensPerSecond_ =
        movedTowards(own.share_.tokensPerSecond_, target.tokensPerSecond_, rest.tokensPerSecond_);
    own.share_.burstTokens_ =
        movedTowards(own.share_.burstTokens_, target.burstTokens_, rest.burstTokens_);
    const std::int64_t kept = std::min(before.share_.burstTokens_, bound);
    if (kept <= own.share_.burstTokens_)
        return;
    own.share_.burstTokens_ = kept;
    own.basis_.burstTokens_ = std::max(before.basis_.burstTokens_, wanted.contract_.burstTokens_);
}

/// The record as this process wants it; the same as before where nothing is to be changed.
ShareRecord wantedRecord(const Ledger &ledger, const AccountLedger &account,
                         const ShareRecord &present, std::int64_t bound)
{
    ShareRecord wanted = present;
    if (present.rulesRevision_ < account.rulesRevision_) {
        wanted.rulesRevision_ = account.rulesRevision_;
        wanted.contract_ = account.contract_;
    }
    dropStopped(ledger, wanted);
    HeldShare *own = findShare(wanted, ledger.self_);
    if (own == nullptr) {
        wanted.shares_.push_back({ledger.self_, ledger.incarnation_, {}, {}});
        own = &wanted.shares_.back();
    }
    const bool inherited = own->incarnation_ != ledger.incarnation_;
    own->incarnation_ = ledger.incarnation_;
    if (inherited)
        return wanted;
    moveOwnShare(ledger, wanted, *own, bound);
    return wanted;
}

bool sameRecord(const ShareRecord &left, const ShareRecord &right)
{
    return shareRecordText(left) == shareRecordText(right);
}

KvOperation readingOf(Ledger &ledger, const AccountName &name, AccountLedger &account)
{
    KvOperation operation;
    operation.tag_ = ledger.nextTag_++;
    operation.reads_.push_back({keyOf(ledger, name), false});
    account.step_ = LedgerStep::Reading;
    account.tag_ = operation.tag_;
    return operation;
}

KvOperation writingOf(Ledger &ledger, const AccountName &name, AccountLedger &account,
                      const ShareRecord &wanted, std::int64_t modRevision)
{
    KvOperation operation;
    operation.tag_ = ledger.nextTag_++;
    const std::string key = keyOf(ledger, name);
    operation.conditions_.push_back({key, modRevision});
    operation.writes_.push_back({key, shareRecordText(wanted), 0});
    operation.reads_.push_back({key, false});
    ShareRecord copy = wanted;
    account.step_ = LedgerStep::Writing;
    account.tag_ = operation.tag_;
    account.writingAt_ = modRevision;
    account.writingShare_ = findShare(copy, ledger.self_)->share_;
    return operation;
}

/// The write may still take effect; its share bounds what is usable.
void rememberUnsettled(AccountLedger &account)
{
    const bool again = account.unsettledAt_ && *account.unsettledAt_ == account.writingAt_;
    const AllowanceShare other = again ? account.unsettledShare_ : account.writingShare_;
    account.unsettledShare_ = smallerOf(other, account.writingShare_);
    account.unsettledAt_ = account.writingAt_;
}

void takeOwnShare(const Ledger &ledger, AccountLedger &account, const HeldShare *own, Time now)
{
    const bool ours = own != nullptr && own->incarnation_ == ledger.incarnation_;
    if (!ours) {
        account.claimed_ = false;
        account.held_ = {};
        if (own != nullptr)
            account.inheritedTokens_ = own->share_.burstTokens_;
        return;
    }
    if (!account.claimed_ && account.inheritedTokens_ > 0)
        account.inheritedUntil_ = now + ledger.policy_.longestAttempt_;
    account.claimed_ = true;
    account.basis_ = own->basis_;
    account.held_ = own->share_;
}

/// A reading later than what the unknown writes demanded: none of them can take effect any more.
void settleUnknown(AccountLedger &account, std::int64_t modRevision)
{
    if (account.unsettledAt_ && modRevision > *account.unsettledAt_)
        account.unsettledAt_.reset();
}

/// What is to be written next, if anything.
std::vector<KvOperation> planWrite(Ledger &ledger, const AccountName &name, AccountLedger &account,
                                   const ShareRecord &present, std::int64_t modRevision,
                                   const Allowance &allowance)
{
    const std::int64_t bound = boundTokens(allowance, name);
    const ShareRecord wanted = wantedRecord(ledger, account, present, bound);
    const bool mayTake = placeAmongEntries(ledger).has_value() || account.claimed_;
    const bool changes = !sameRecord(wanted, present) || account.unsettledAt_;
    if (!mayTake || !changes)
        return {};
    account.idleTries_ = 0;
    return {writingOf(ledger, name, account, wanted, modRevision)};
}

bool isSettled(const Ledger &ledger, const AccountLedger &account)
{
    if (!account.claimed_ || account.unsettledAt_)
        return false;
    if (!sameShare(account.basis_, account.contract_))
        return false;
    return sameShare(account.held_, entitlementOf(ledger, account.contract_));
}

void scheduleNextTry(const Ledger &ledger, AccountLedger &account, Time now)
{
    account.lostRaces_ = 0;
    account.nextTry_ = now + ledger.policy_.retryPeriod_ * (1 << account.idleTries_);
    if (account.idleTries_ < ledger.policy_.doublings_)
        ++account.idleTries_;
}

/// Something may be changed again now.
void tryAgain(AccountLedger &account, Time now)
{
    account.idleTries_ = 0;
    account.nextTry_ = now;
}

AccountLedger *findByTag(Ledger &ledger, std::uint64_t tag, AccountName &name)
{
    for (auto &[account, held] : ledger.accounts_) {
        if (held.step_ != LedgerStep::Idle && held.tag_ == tag) {
            name = account;
            return &held;
        }
    }
    return nullptr;
}

/// What was read; an absent key is an empty record, an unreadable one is left alone.
Result<ShareRecord, ShareRecordError> recordFrom(const KvOutcome &outcome)
{
    if (outcome.reads_.empty())
        return ShareRecord();
    return parseShareRecord(outcome.reads_.front().value_);
}

/// Whether to go on at once: others may have changed the key so often that it is better to wait.
bool countRace(const Ledger &ledger, AccountLedger &account, KvStatus status)
{
    account.lostRaces_ = status == KvStatus::ConditionFailed ? account.lostRaces_ + 1 : 0;
    return account.lostRaces_ < ledger.policy_.triesAtOnce_;
}

AttemptId inheritedAttempt(const AccountName &account)
{
    return {"inherited/" + account.text_};
}

/// Streams of the dead incarnation may still run, so its whole burst counts as outstanding.
void reserveInherited(const AccountName &name, const AccountLedger &account, Allowance &allowance,
                      Time now)
{
    setShare(allowance, name, usableShare(account), now);
    countOutstanding(allowance, name, inheritedAttempt(name), account.inheritedTokens_, now);
}

bool parseAmounts(std::istringstream &line, AllowanceShare &share)
{
    line >> share.tokensPerSecond_ >> share.burstTokens_;
    return !line.fail() && share.tokensPerSecond_ >= 0 && share.burstTokens_ >= 0;
}

bool parseRecordLine(const std::string &text, ShareRecord &record)
{
    std::istringstream line(text);
    std::string word;
    line >> word;
    if (word == contractWord) {
        line >> record.rulesRevision_.value_;
        return parseAmounts(line, record.contract_);
    }
    HeldShare held;
    line >> held.vm_.text_ >> held.incarnation_.value_;
    const bool isShare = word == shareWord && !line.fail();
    if (!isShare || !parseAmounts(line, held.share_) || !parseAmounts(line, held.basis_))
        return false;
    record.shares_.push_back(held);
    return true;
}

} // namespace

std::string shareRecordText(const ShareRecord &record)
{
    std::string text =
        fmt::format("{} {} {} {}\n", contractWord, record.rulesRevision_.value_,
                    record.contract_.tokensPerSecond_, record.contract_.burstTokens_);
    for (const HeldShare &held : record.shares_) {
        text += fmt::format("{} {} {} {} {} {} {}\n", shareWord, held.vm_.text_,
                            held.incarnation_.value_, held.share_.tokensPerSecond_,
                            held.share_.burstTokens_, held.basis_.tokensPerSecond_,
                            held.basis_.burstTokens_);
    }
    return text;
}

Result<ShareRecord, ShareRecordError> parseShareRecord(const std::string &text)
{
    ShareRecord record;
    std::istringstream lines(text);
    std::string line;
    std::uint32_t number = 0;
    while (std::getline(lines, line)) {
        ++number;
        if (!parseRecordLine(line, record))
            return ShareRecordError{number, "not a line of a share record: " + line};
    }
    return record;
}

void takeContract(Ledger &ledger, const AccountName &account, AllowanceShare contract,
                  Revision rulesRevision, Time now)
{
    AccountLedger &held = ledger.accounts_[account];
    if (rulesRevision < held.rulesRevision_)
        return;
    held.rulesRevision_ = rulesRevision;
    held.contract_ = contract;
    tryAgain(held, now);
}

void takeEntryList(Ledger &ledger, const VmList &list, Time now)
{
    const std::vector<VmName> before = std::move(ledger.listed_);
    const std::vector<VmName> entriesBefore = std::move(ledger.entries_);
    ledger.listed_.clear();
    ledger.entries_.clear();
    ledger.listedAt_ = now;
    for (const ListedVm &vm : list.vms_) {
        ledger.listed_.push_back(vm.vm_);
        ledger.missingSince_.erase(vm.vm_);
        if (vm.role_ == Role::Entry && !vm.leaving_)
            ledger.entries_.push_back(vm.vm_);
    }
    std::sort(ledger.entries_.begin(), ledger.entries_.end());
    for (const VmName &vm : before) {
        if (!isListed(ledger, vm))
            ledger.missingSince_.try_emplace(vm, now);
    }
    if (ledger.entries_ == entriesBefore)
        return;
    for (auto &[name, account] : ledger.accounts_)
        tryAgain(account, now);
}

AllowanceShare usableShare(const AccountLedger &account)
{
    if (!account.claimed_)
        return {};
    const AllowanceShare share = settledOrSmaller(account);
    return scaledToContract(share, account.contract_, account.basis_);
}

bool sharesReturned(const Ledger &ledger)
{
    return std::all_of(ledger.accounts_.begin(), ledger.accounts_.end(), [](const auto &entry) {
        const AccountLedger &account = entry.second;
        const bool settled = account.step_ == LedgerStep::Idle && !account.unsettledAt_;
        return !account.claimed_ || (settled && sameShare(account.held_, {}));
    });
}

std::vector<KvOperation> advanceLedger(Ledger &ledger, const Allowance &allowance, Time now)
{
    std::vector<KvOperation> operations;
    for (auto &[name, account] : ledger.accounts_) {
        const bool busy = account.step_ != LedgerStep::Idle || now < account.nextTry_;
        const bool idleLeaver = ledger.leaving_ && boundTokens(allowance, name) > 0;
        if (busy || idleLeaver || isSettled(ledger, account))
            continue;
        scheduleNextTry(ledger, account, now);
        operations.push_back(readingOf(ledger, name, account));
    }
    return operations;
}

std::vector<KvOperation> takeKvOutcome(Ledger &ledger, const KvOutcome &outcome,
                                       const Allowance &allowance, Time now)
{
    AccountName name;
    AccountLedger *account = findByTag(ledger, outcome.tag_, name);
    if (account == nullptr)
        return {};
    const bool wasWriting = account->step_ == LedgerStep::Writing;
    account->step_ = LedgerStep::Idle;
    if (wasWriting && outcome.status_ == KvStatus::Unknown)
        rememberUnsettled(*account);
    if (outcome.status_ == KvStatus::Unknown || outcome.status_ == KvStatus::NotSent)
        return {};
    const auto parsed = recordFrom(outcome);
    if (!ok(parsed))
        return {};
    ShareRecord present = valueOf(parsed);
    const std::int64_t modRevision =
        outcome.reads_.empty() ? 0 : outcome.reads_.front().modRevision_;
    settleUnknown(*account, modRevision);
    noteMissing(ledger, present);
    takeOwnShare(ledger, *account, findShare(present, ledger.self_), now);
    if (!countRace(ledger, *account, outcome.status_))
        return {};
    return planWrite(ledger, name, *account, present, modRevision, allowance);
}

void applyShares(Ledger &ledger, Allowance &allowance, Time now)
{
    for (auto &[name, account] : ledger.accounts_) {
        if (account.claimed_ && !account.appliedToAllowance_ && account.inheritedUntil_)
            reserveInherited(name, account, allowance, now);
        account.appliedToAllowance_ = account.appliedToAllowance_ || account.claimed_;
        const bool over = account.inheritedUntil_ && now >= *account.inheritedUntil_;
        if (over) {
            settle(allowance, name, inheritedAttempt(name), account.inheritedTokens_, now);
            account.inheritedUntil_.reset();
        }
        setShare(allowance, name, usableShare(account), now);
    }
}

} // namespace eelgrasscove
