#pragma once

/// Joins the entry with what it shares with others: rules, claims and its accounts' tokens. Private
/// to the entry's decisions.

#include "Caller/entry.h"

namespace eelgrasscove {

/// Carries out what the spreading of rules asks for; new rules are put in force.
void performSpread(Entry &entry, DistributionActions spread, Time now, EntryActions &actions);

/// Takes in a message about rules; false where it is of another kind.
bool takeRulesMessage(Entry &entry, const Envelope &envelope, Time now, EntryActions &actions);

/// The processes that rules are spread over, as this entry sees them.
DistributionView spreadView(const Entry &entry, Time now);

/// Goes on with the ledger, and makes its calls.
void advanceShares(Entry &entry, Time now, EntryActions &actions);

/// Takes in the accounts of newly adopted rules.
void takeContracts(Entry &entry, Time now);

/// Takes in a reading of the platform's list.
void takeShareList(Entry &entry, const VmList &list, Time now, EntryActions &actions);

/// Sends what the loans ask for.
void sendLoans(const Entry &entry, std::vector<LoanMessage> messages, EntryActions &actions);

/// Takes in a message about a loan; false where it is of another kind.
bool takeLoanMessage(Entry &entry, const Envelope &envelope, Time now, EntryActions &actions);

/// Takes in what another entry has free, and ends the loans of its earlier incarnations.
void takePeerAllowance(Entry &entry, const Envelope &envelope, const Heartbeat &heartbeat,
                       Incarnation before, Time now);

/// Starts to claim the request's idempotency key.
void beginRequestClaim(Entry &entry, const PendingRequest &request, Time now,
                       EntryActions &actions);

/// The request has ended so; its claim, if it holds one, is released or left for good.
void endRequestClaim(Entry &entry, const PendingRequest &request, RunState run, Time now,
                     EntryActions &actions);

/// The request has run; its answer is kept for callers who send it again.
void keepAnswer(Entry &entry, const PendingRequest &request, Time now, EntryActions &actions);

/// Carries out what the claims ask for; decided requests go on or are answered.
void performClaims(Entry &entry, ClaimActions claims, Time now, EntryActions &actions);

/// Takes in the outcome of a key-value call of any part.
void takePartOutcome(Entry &entry, const KvOutcome &outcome, Time now, EntryActions &actions);

} // namespace eelgrasscove
