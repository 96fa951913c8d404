#pragma once

/// The durable split of a client account's contract into shares of the entry VMs, one key of the
/// key-value service for each account, changed by compare-and-swap only.
///
/// Guarantee: at any time the shares in use add up to no more than the contract, because
/// - a process uses more than before only after its write has taken effect, and less from before
///   its write is sent;
/// - a process uses its VM's share only after a write of its own incarnation, so that no delayed
///   write of an earlier one can change it any more;
/// - a write without a known outcome counts with the smaller of its possible shares until a
///   reading shows a later revision of the key;
/// - the share of a VM that has gone is taken back only after the platform's list has been without
///   it for the longest attempt; a VM takes a share only while it is itself on the list.
/// A contract that is lowered binds each process from the moment it knows of it; one that can't be
/// reached keeps its share of the former contract until it does. Tokens reserved before then are
/// still run.

#include "ClientAccount/allowance.h"

#include <eelgrasscove/platform.h>
#include <eelgrasscove/result.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace eelgrasscove {

/// One VM's share as the key-value service holds it.
struct HeldShare
{
    VmName vm_;
    Incarnation incarnation_;
    AllowanceShare share_;
    /// The contract that it is a share of; a lower one scales it down in use at once.
    AllowanceShare basis_;
};

/// The value of one account's key.
struct ShareRecord
{
    /// Revision of the rules that the contract comes from.
    Revision rulesRevision_;
    AllowanceShare contract_;
    std::vector<HeldShare> shares_;
};

/// Why a record could not be read.
struct ShareRecordError
{
    std::uint32_t line_ = 0;
    std::string message_;
};

/// One line for the contract, one for each share.
std::string shareRecordText(const ShareRecord &record);

Result<ShareRecord, ShareRecordError> parseShareRecord(const std::string &text);

struct LedgerPolicy
{
    /// Longest time from a reservation to the last token run for it, the use of a loan included.
    Duration longestAttempt_ = std::chrono::seconds(150);
    /// Time between tries while something is to be changed.
    Duration retryPeriod_ = std::chrono::seconds(1);
    /// The period doubles up to so often while nothing can be changed.
    std::uint32_t doublings_ = 5;
    /// Tries at once, one upon the other, while other processes change the key in between.
    std::uint32_t triesAtOnce_ = 8;
    std::string keyPrefix_ = "/eelgrasscove/shares/";
};

enum class LedgerStep {
    Idle,
    Reading,
    Writing,
};

/// One account as this process knows it.
struct AccountLedger
{
    Revision rulesRevision_;
    AllowanceShare contract_;
    /// The contract that held_ was a share of.
    AllowanceShare basis_;
    /// This VM's share by the last settled reading.
    AllowanceShare held_;
    /// This incarnation has written its share.
    bool claimed_ = false;
    LedgerStep step_ = LedgerStep::Idle;
    std::uint64_t tag_ = 0;
    /// Writes whose outcome isn't known demand this revision; held_ counts no more than the least
    /// share of any of them.
    std::optional<std::int64_t> unsettledAt_;
    AllowanceShare unsettledShare_;
    /// Revision that the write in flight demands.
    std::int64_t writingAt_ = 0;
    AllowanceShare writingShare_;
    Time nextTry_;
    std::uint32_t idleTries_ = 0;
    std::uint32_t lostRaces_ = 0;
    /// The share of a dead incarnation counts as outstanding until then.
    std::optional<Time> inheritedUntil_;
    std::int64_t inheritedTokens_ = 0;
    bool appliedToAllowance_ = false;
};

struct Ledger
{
    VmName self_;
    Incarnation incarnation_;
    LedgerPolicy policy_;
    bool leaving_ = false;
    std::map<AccountName, AccountLedger> accounts_;
    /// Entry VMs on the latest list that aren't leaving, in the order of their names.
    std::vector<VmName> entries_;
    /// When a VM was first missing from the list; dropped when it is back.
    std::map<VmName, Time> missingSince_;
    std::vector<VmName> listed_;
    std::optional<Time> listedAt_;
    std::uint64_t nextTag_ = 1;
};

/// Takes in the account's contract as the rules of this revision state it; an older one is ignored.
void takeContract(Ledger &ledger, const AccountName &account, AllowanceShare contract,
                  Revision rulesRevision, Time now);

/// Takes in a reading of the platform's list.
void takeEntryList(Ledger &ledger, const VmList &list, Time now);

/// What this process may use now, whatever becomes of the writes in flight.
AllowanceShare usableShare(const AccountLedger &account);

/// Whether a leaving process holds nothing any more, so that its VM's next incarnation has nothing
/// to wait for.
bool sharesReturned(const Ledger &ledger);

/// The calls to make now. What is outstanding in the allowance is never given away.
std::vector<KvOperation> advanceLedger(Ledger &ledger, const Allowance &allowance, Time now);

/// Takes in the outcome of one of those calls; may lead to another at once.
std::vector<KvOperation> takeKvOutcome(Ledger &ledger, const KvOutcome &outcome,
                                       const Allowance &allowance, Time now);

/// Brings the allowance up to the usable shares. Called after each of the functions above, before
/// their calls are made, so that a share is debited here before it is given.
void applyShares(Ledger &ledger, Allowance &allowance, Time now);

} // namespace eelgrasscove
