#include "ClientAccount/ledger.h"

#include <fmt/format.h>

#include <algorithm>
#include <sstream>

namespace eelgrasscove {

namespace {

constexpr std::string_view contractKeyword = "contract";
constexpr std::string_view shareKeyword = "share";

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

/// Returns amount * numerator / denominator, rounded down. Never scales up: the amount is unchanged
/// if numerator >= denominator or denominator <= 0.
std::int64_t scaledDown(std::int64_t amount, std::int64_t numerator, std::int64_t denominator)
{
    if (numerator >= denominator || denominator <= 0)
        return amount;
    const auto product = static_cast<__int128>(amount) * numerator;
    return static_cast<std::int64_t>(product / denominator);
}

AllowanceShare scaledToContract(AllowanceShare share, AllowanceShare contract, AllowanceShare basis)
{
    return {scaledDown(share.tokensPerSecond_, contract.tokensPerSecond_, basis.tokensPerSecond_),
            scaledDown(share.burstTokens_, contract.burstTokens_, basis.burstTokens_)};
}

AllowanceShare smallestPossibleShare(const AccountLedger &account)
{
    AllowanceShare share = account.held_;
    if (account.unsettledRevision_)
        share = smallerOf(share, account.unsettledShare_);
    if (account.step_ == LedgerStep::Writing)
        share = smallerOf(share, account.writeShare_);
    return share;
}

std::string keyOf(const Ledger &ledger, const AccountName &account)
{
    return ledger.policy_.keyPrefix_ + account.text_;
}

std::optional<std::size_t> entryIndex(const Ledger &ledger)
{
    const auto found = std::find(ledger.entries_.begin(), ledger.entries_.end(), ledger.self_);
    if (found == ledger.entries_.end())
        return std::nullopt;
    return static_cast<std::size_t>(found - ledger.entries_.begin());
}

/// Returns an equal share of the total; the remainder goes to the first VMs in name order.
std::int64_t equalShare(std::int64_t total, std::size_t index, std::size_t count)
{
    const auto divisor = static_cast<std::int64_t>(count);
    const bool getsRemainder = static_cast<std::int64_t>(index) < total % divisor;
    return total / divisor + (getsRemainder ? 1 : 0);
}

AllowanceShare entitlementOf(const Ledger &ledger, AllowanceShare contract)
{
    const std::optional<std::size_t> index = entryIndex(ledger);
    if (!index || ledger.isDraining_)
        return {};
    const std::size_t count = ledger.entries_.size();
    return {equalShare(contract.tokensPerSecond_, *index, count),
            equalShare(contract.burstTokens_, *index, count)};
}

/// Tokens of the account that are reserved and not yet run, including tokens inherited from an
/// earlier incarnation. They stay in the VM's share.
std::int64_t outstandingTokens(const Allowance &allowance, const AccountName &account)
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

/// Returns whether the VM had been missing from the platform's list for the maximum attempt
/// duration when the list was last read. None of its attempts can still be running then.
bool hasStopped(const Ledger &ledger, const VmName &vm)
{
    const auto missing = ledger.missingSince_.find(vm);
    if (missing == ledger.missingSince_.end() || !ledger.listedAt_)
        return false;
    return *ledger.listedAt_ - missing->second >= ledger.policy_.maxAttemptDuration_;
}

bool isListed(const Ledger &ledger, const VmName &vm)
{
    return std::find(ledger.listed_.begin(), ledger.listed_.end(), vm) != ledger.listed_.end();
}

/// Records VMs that hold a share but are not listed. Such a VM was on the list when it acquired its
/// share, even if this process has never seen it there.
void recordMissing(Ledger &ledger, const ShareRecord &record)
{
    if (!ledger.listedAt_)
        return;
    for (const HeldShare &held : record.shares_) {
        if (!isListed(ledger, held.vm_))
            ledger.missingSince_.try_emplace(held.vm_, *ledger.listedAt_);
    }
}

bool removeStopped(const Ledger &ledger, ShareRecord &record)
{
    const auto removed = std::erase_if(record.shares_, [&ledger](const HeldShare &held) {
        return held.vm_ != ledger.self_ && hasStopped(ledger, held.vm_);
    });
    return removed > 0;
}

AllowanceShare unallottedShare(const ShareRecord &record)
{
    AllowanceShare unallotted = record.contract_;
    for (const HeldShare &held : record.shares_) {
        unallotted.tokensPerSecond_ -= held.share_.tokensPerSecond_;
        unallotted.burstTokens_ -= held.share_.burstTokens_;
    }
    return {std::max<std::int64_t>(0, unallotted.tokensPerSecond_),
            std::max<std::int64_t>(0, unallotted.burstTokens_)};
}

std::int64_t movedToward(std::int64_t held, std::int64_t desired, std::int64_t available)
{
    if (desired <= held)
        return desired;
    return held + std::min(desired - held, available);
}

/// Scales the share down to a lowered contract, then moves it towards the entitlement. The recorded
/// burst stays large enough for the outstanding tokens. If that prevents scaling it down, the basis
/// keeps the burst of the former contract, so that the share in use is still scaled down.
void updateOwnShare(const Ledger &ledger, ShareRecord &desired, HeldShare &own,
                    std::int64_t outstanding)
{
    const HeldShare before = own;
    own.share_ = scaledToContract(before.share_, desired.contract_, before.basis_);
    own.basis_ = desired.contract_;
    const AllowanceShare unallotted = unallottedShare(desired);
    const AllowanceShare target = entitlementOf(ledger, desired.contract_);
    own.share_.tokensPerSecond_ = movedToward(own.share_.tokensPerSecond_, target.tokensPerSecond_,
                                              unallotted.tokensPerSecond_);
    own.share_.burstTokens_ =
        movedToward(own.share_.burstTokens_, target.burstTokens_, unallotted.burstTokens_);
    const std::int64_t kept = std::min(before.share_.burstTokens_, outstanding);
    if (kept <= own.share_.burstTokens_)
        return;
    own.share_.burstTokens_ = kept;
    own.basis_.burstTokens_ = std::max(before.basis_.burstTokens_, desired.contract_.burstTokens_);
}

/// Returns the record that this process would write; equal to the current one if nothing
/// changes.
ShareRecord desiredRecord(const Ledger &ledger, const AccountLedger &account,
                          const ShareRecord &current, std::int64_t outstanding)
{
    ShareRecord desired = current;
    if (current.rulesRevision_ < account.rulesRevision_) {
        desired.rulesRevision_ = account.rulesRevision_;
        desired.contract_ = account.contract_;
    }
    removeStopped(ledger, desired);
    HeldShare *own = findShare(desired, ledger.self_);
    if (own == nullptr) {
        desired.shares_.push_back({ledger.self_, ledger.incarnation_, {}, {}});
        own = &desired.shares_.back();
    }
    const bool inherited = own->incarnation_ != ledger.incarnation_;
    own->incarnation_ = ledger.incarnation_;
    if (inherited)
        return desired;
    updateOwnShare(ledger, desired, *own, outstanding);
    return desired;
}

bool sameRecord(const ShareRecord &left, const ShareRecord &right)
{
    return shareRecordText(left) == shareRecordText(right);
}

KvOperation startRead(Ledger &ledger, const AccountName &name, AccountLedger &account)
{
    KvOperation operation;
    operation.tag_ = ledger.nextTag_++;
    operation.reads_.push_back({keyOf(ledger, name), false});
    account.step_ = LedgerStep::Reading;
    account.tag_ = operation.tag_;
    return operation;
}

KvOperation startWrite(Ledger &ledger, const AccountName &name, AccountLedger &account,
                       const ShareRecord &desired, std::int64_t modRevision)
{
    KvOperation operation;
    operation.tag_ = ledger.nextTag_++;
    const std::string key = keyOf(ledger, name);
    operation.conditions_.push_back({key, modRevision});
    operation.writes_.push_back({key, shareRecordText(desired), 0});
    operation.reads_.push_back({key, false});
    ShareRecord copy = desired;
    account.step_ = LedgerStep::Writing;
    account.tag_ = operation.tag_;
    account.writeRevision_ = modRevision;
    account.writeShare_ = findShare(copy, ledger.self_)->share_;
    return operation;
}

/// Records a write with an unknown outcome. It may still take effect, so its share limits the
/// usable share.
void recordUnsettled(AccountLedger &account)
{
    const bool isSameRevision =
        account.unsettledRevision_ && *account.unsettledRevision_ == account.writeRevision_;
    const AllowanceShare previous = isSameRevision ? account.unsettledShare_ : account.writeShare_;
    account.unsettledShare_ = smallerOf(previous, account.writeShare_);
    account.unsettledRevision_ = account.writeRevision_;
}

void applyOwnShare(const Ledger &ledger, AccountLedger &account, const HeldShare *own, Time now)
{
    const bool isOwnIncarnation = own != nullptr && own->incarnation_ == ledger.incarnation_;
    if (!isOwnIncarnation) {
        account.claimed_ = false;
        account.held_ = {};
        if (own != nullptr)
            account.inheritedTokens_ = own->share_.burstTokens_;
        return;
    }
    if (!account.claimed_ && account.inheritedTokens_ > 0)
        account.inheritedUntil_ = now + ledger.policy_.maxAttemptDuration_;
    account.claimed_ = true;
    account.basis_ = own->basis_;
    account.held_ = own->share_;
}

/// Drops writes with unknown outcomes once the key has a later revision than the one they
/// require: none of them can take effect any more.
void clearUnsettled(AccountLedger &account, std::int64_t modRevision)
{
    if (account.unsettledRevision_ && modRevision > *account.unsettledRevision_)
        account.unsettledRevision_.reset();
}

/// Returns the next write, or nothing if the record needs no change.
std::vector<KvOperation> planWrite(Ledger &ledger, const AccountName &name, AccountLedger &account,
                                   const ShareRecord &current, std::int64_t modRevision,
                                   const Allowance &allowance)
{
    const std::int64_t outstanding = outstandingTokens(allowance, name);
    const ShareRecord desired = desiredRecord(ledger, account, current, outstanding);
    const bool mayHoldShare = entryIndex(ledger).has_value() || account.claimed_;
    const bool needsWrite = !sameRecord(desired, current) || account.unsettledRevision_;
    if (!mayHoldShare || !needsWrite)
        return {};
    account.idleReads_ = 0;
    return {startWrite(ledger, name, account, desired, modRevision)};
}

bool isSettled(const Ledger &ledger, const AccountLedger &account)
{
    if (!account.claimed_ || account.unsettledRevision_)
        return false;
    if (!sameShare(account.basis_, account.contract_))
        return false;
    return sameShare(account.held_, entitlementOf(ledger, account.contract_));
}

void scheduleNextRead(const Ledger &ledger, AccountLedger &account, Time now)
{
    account.consecutiveConflicts_ = 0;
    account.nextReadAt_ = now + ledger.policy_.retryPeriod_ * (1 << account.idleReads_);
    if (account.idleReads_ < ledger.policy_.maxDoublings_)
        ++account.idleReads_;
}

/// Resets the back-off after a change of the contract or of the entry list.
void resetBackoff(AccountLedger &account, Time now)
{
    account.idleReads_ = 0;
    account.nextReadAt_ = now;
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

/// Parses the record that was read; a missing key gives an empty record. A record that cannot be
/// parsed is an error and is not overwritten.
Result<ShareRecord, ShareRecordError> parseOutcome(const KvOutcome &outcome)
{
    if (outcome.reads_.empty())
        return ShareRecord();
    return parseShareRecord(outcome.reads_.front().value_);
}

/// Counts consecutive write conflicts. Returns false once the limit is reached and the next read
/// must wait for the retry period.
bool countConflict(const Ledger &ledger, AccountLedger &account, KvStatus status)
{
    account.consecutiveConflicts_ =
        status == KvStatus::ConditionFailed ? account.consecutiveConflicts_ + 1 : 0;
    return account.consecutiveConflicts_ < ledger.policy_.maxConsecutiveConflicts_;
}

AttemptId inheritedAttempt(const AccountName &account)
{
    return {"inherited/" + account.text_};
}

/// Streams of the terminated incarnation may still be running, so its whole burst counts as
/// outstanding.
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
    if (word == contractKeyword) {
        line >> record.rulesRevision_.value_;
        return parseAmounts(line, record.contract_);
    }
    HeldShare held;
    line >> held.vm_.text_ >> held.incarnation_.value_;
    const bool isShare = word == shareKeyword && !line.fail();
    if (!isShare || !parseAmounts(line, held.share_) || !parseAmounts(line, held.basis_))
        return false;
    record.shares_.push_back(held);
    return true;
}

} // namespace

std::string shareRecordText(const ShareRecord &record)
{
    std::string text =
        fmt::format("{} {} {} {}\n", contractKeyword, record.rulesRevision_.value_,
                    record.contract_.tokensPerSecond_, record.contract_.burstTokens_);
    for (const HeldShare &held : record.shares_) {
        text += fmt::format("{} {} {} {} {} {} {}\n", shareKeyword, held.vm_.text_,
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
            return ShareRecordError{number, "malformed line in share record: " + line};
    }
    return record;
}

void applyContract(Ledger &ledger, const AccountName &account, AllowanceShare contract,
                   Revision rulesRevision, Time now)
{
    AccountLedger &held = ledger.accounts_[account];
    if (rulesRevision < held.rulesRevision_)
        return;
    held.rulesRevision_ = rulesRevision;
    held.contract_ = contract;
    resetBackoff(held, now);
}

void applyEntryList(Ledger &ledger, const VmList &list, Time now)
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
        resetBackoff(account, now);
}

AllowanceShare usableShare(const AccountLedger &account)
{
    if (!account.claimed_)
        return {};
    const AllowanceShare share = smallestPossibleShare(account);
    return scaledToContract(share, account.contract_, account.basis_);
}

bool hasReturnedShares(const Ledger &ledger)
{
    return std::all_of(ledger.accounts_.begin(), ledger.accounts_.end(), [](const auto &entry) {
        const AccountLedger &account = entry.second;
        const bool settled = account.step_ == LedgerStep::Idle && !account.unsettledRevision_;
        return !account.claimed_ || (settled && sameShare(account.held_, {}));
    });
}

std::vector<KvOperation> advanceLedger(Ledger &ledger, const Allowance &allowance, Time now)
{
    std::vector<KvOperation> operations;
    for (auto &[name, account] : ledger.accounts_) {
        const bool busy = account.step_ != LedgerStep::Idle || now < account.nextReadAt_;
        const bool awaitsOutstanding = ledger.isDraining_ && outstandingTokens(allowance, name) > 0;
        if (busy || awaitsOutstanding || isSettled(ledger, account))
            continue;
        scheduleNextRead(ledger, account, now);
        operations.push_back(startRead(ledger, name, account));
    }
    return operations;
}

std::vector<KvOperation> handleKvOutcome(Ledger &ledger, const KvOutcome &outcome,
                                         const Allowance &allowance, Time now)
{
    AccountName name;
    AccountLedger *account = findByTag(ledger, outcome.tag_, name);
    if (account == nullptr)
        return {};
    const bool wasWriting = account->step_ == LedgerStep::Writing;
    account->step_ = LedgerStep::Idle;
    if (wasWriting && outcome.status_ == KvStatus::Unknown)
        recordUnsettled(*account);
    if (outcome.status_ == KvStatus::Unknown || outcome.status_ == KvStatus::NotSent)
        return {};
    const auto parsed = parseOutcome(outcome);
    if (!ok(parsed))
        return {};
    ShareRecord current = valueOf(parsed);
    const std::int64_t modRevision =
        outcome.reads_.empty() ? 0 : outcome.reads_.front().modRevision_;
    clearUnsettled(*account, modRevision);
    recordMissing(ledger, current);
    applyOwnShare(ledger, *account, findShare(current, ledger.self_), now);
    if (!countConflict(ledger, *account, outcome.status_))
        return {};
    return planWrite(ledger, name, *account, current, modRevision, allowance);
}

void applyShares(Ledger &ledger, Allowance &allowance, Time now)
{
    for (auto &[name, account] : ledger.accounts_) {
        if (account.claimed_ && !account.appliedToAllowance_ && account.inheritedUntil_)
            reserveInherited(name, account, allowance, now);
        account.appliedToAllowance_ = account.appliedToAllowance_ || account.claimed_;
        const bool hasExpired = account.inheritedUntil_ && now >= *account.inheritedUntil_;
        if (hasExpired) {
            settle(allowance, name, inheritedAttempt(name), account.inheritedTokens_, now);
            account.inheritedUntil_.reset();
        }
        setShare(allowance, name, usableShare(account), now);
    }
}

} // namespace eelgrasscove
