#pragma once

/// Divides a client account's contract durably into shares of the entry VMs. Each account has one
/// key in the key-value service, which is changed by compare-and-swap only.
///
/// Invariant: at any time the shares in use add up to no more than the contract, because
/// - a process uses a larger share only after the write has taken effect, and reduces its share in
///   use before the write is sent;
/// - a process uses its VM's share only after a write of its own incarnation, so that no delayed
///   write of an earlier incarnation can change the share any more;
/// - a write with an unknown outcome counts with the smallest of its possible shares until a read
///   returns a later revision of the key;
/// - the share of a removed VM is reclaimed only after the VM has been missing from the platform's
///   list for the maximum attempt duration; a VM acquires a share only while it is on the list.
/// A lowered contract applies to each process as soon as the process receives it; an unreachable
/// process keeps its share of the former contract until then. Tokens reserved before that are still
/// run.

#include "ClientAccount/allowance.h"

#include <eelgrasscove/platform.h>
#include <eelgrasscove/result.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace eelgrasscove {

/// One VM's share as stored in the key-value service.
struct HeldShare
{
    VmName vm_;
    Incarnation incarnation_;
    AllowanceShare share_;
    /// The contract that the share was computed from. A lowered contract scales the share in use
    /// down immediately.
    AllowanceShare basis_;
};

/// The value stored under one account's key.
struct ShareRecord
{
    /// Revision of the rules that state the contract.
    Revision rulesRevision_;
    AllowanceShare contract_;
    std::vector<HeldShare> shares_;
};

/// Parse error of a record, with its line number (from 1).
struct ShareRecordError
{
    std::uint32_t line_ = 0;
    std::string message_;
};

/// Returns the stored text: one line for the contract and one line for each share.
std::string shareRecordText(const ShareRecord &record);

Result<ShareRecord, ShareRecordError> parseShareRecord(const std::string &text);

struct LedgerPolicy
{
    /// Maximum time from a reservation to the last token run for it, including the use of a loan.
    Duration maxAttemptDuration_ = std::chrono::seconds(150);
    /// Time between reads while a change is needed.
    Duration retryPeriod_ = std::chrono::seconds(1);
    /// Number of times that the retry period may double while no change is possible.
    std::uint32_t maxDoublings_ = 5;
    /// Consecutive write conflicts with other processes after which the next read waits for the
    /// retry period.
    std::uint32_t maxConsecutiveConflicts_ = 8;
    std::string keyPrefix_ = "/eelgrasscove/shares/";
};

enum class LedgerStep {
    Idle,
    Reading,
    Writing,
};

/// This process's state of one account.
struct AccountLedger
{
    Revision rulesRevision_;
    AllowanceShare contract_;
    /// The contract that held_ was computed from.
    AllowanceShare basis_;
    /// This VM's share according to the latest read with a known outcome.
    AllowanceShare held_;
    /// Whether this incarnation has written its share.
    bool claimed_ = false;
    LedgerStep step_ = LedgerStep::Idle;
    std::uint64_t tag_ = 0;
    /// Revision required by writes with unknown outcomes; while set, the usable share is at most
    /// the smallest share of any of them.
    std::optional<std::int64_t> unsettledRevision_;
    AllowanceShare unsettledShare_;
    /// Revision required by the write in flight.
    std::int64_t writeRevision_ = 0;
    AllowanceShare writeShare_;
    Time nextReadAt_;
    std::uint32_t idleReads_ = 0;
    std::uint32_t consecutiveConflicts_ = 0;
    /// Until this time the share of a terminated incarnation counts as outstanding.
    std::optional<Time> inheritedUntil_;
    std::int64_t inheritedTokens_ = 0;
    bool appliedToAllowance_ = false;
};

struct Ledger
{
    VmName self_;
    Incarnation incarnation_;
    LedgerPolicy policy_;
    bool isDraining_ = false;
    std::map<AccountName, AccountLedger> accounts_;
    /// Entry VMs on the latest list that are not draining, in name order.
    std::vector<VmName> entries_;
    /// Time at which a VM was first missing from the list; erased when the VM is listed again.
    std::map<VmName, Time> missingSince_;
    std::vector<VmName> listed_;
    std::optional<Time> listedAt_;
    std::uint64_t nextTag_ = 1;
};

/// Applies the account's contract from the given revision of the rules; older revisions are
/// ignored.
void applyContract(Ledger &ledger, const AccountName &account, AllowanceShare contract,
                   Revision rulesRevision, Time now);

/// Applies a reading of the platform's list.
void applyEntryList(Ledger &ledger, const VmList &list, Time now);

/// Returns the share that this process may use now, for any outcome of the writes in flight.
AllowanceShare usableShare(const AccountLedger &account);

/// Returns whether a draining process no longer holds any share, so that the next incarnation on
/// its VM need not wait for inherited tokens.
bool hasReturnedShares(const Ledger &ledger);

/// Returns the key-value calls that are due. Outstanding tokens of the allowance are never given
/// up.
std::vector<KvOperation> advanceLedger(Ledger &ledger, const Allowance &allowance, Time now);

/// Handles the outcome of one of those calls; may return a call to be made immediately.
std::vector<KvOperation> handleKvOutcome(Ledger &ledger, const KvOutcome &outcome,
                                         const Allowance &allowance, Time now);

/// Sets the allowance to the usable shares. Must be called after each of the functions above and
/// before their calls are sent, so that a share is reduced here before it is given up.
void applyShares(Ledger &ledger, Allowance &allowance, Time now);

} // namespace eelgrasscove
