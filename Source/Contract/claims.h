#pragma once

/// Manages the idempotency claims of one entry: a non-idempotent call with an Idempotency-Key runs
/// only after its entry has claimed the key in the platform's key-value service. Pure functions:
/// the caller passes the time and the operations' outcomes, and carries out the returned actions.
///
/// A call runs at most once: a claim is created only where no record exists, and it is removed only
/// when its request certainly did not run, or by the expiry of its lease after at least a day. The
/// record of an entry that crashed stays and shows that the outcome is unknown.
///
/// A create whose reply is lost may take effect at any later time, even after its request was
/// refused. Every create is therefore also conditioned on the revision of the entry's guard key. To
/// clean up such a create, the entry first rewrites the guard, so that the create can no longer
/// take effect, and only then looks up the record and removes it.

#include "Contract/claimrecord.h"

#include <eelgrasscove/platform.h>
#include <eelgrasscove/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace eelgrasscove {

struct ClaimPolicy
{
    /// Minimum time for which a record is kept.
    Duration retention_ = std::chrono::hours(24);
    /// Time for which new claims use the same lease.
    Duration leasePeriod_ = std::chrono::hours(1);
    Duration minBackoff_ = std::chrono::milliseconds(50);
    Duration maxBackoff_ = std::chrono::seconds(2);
    /// Maximum time for attempts to store an answer.
    Duration storeTimeout_ = std::chrono::minutes(10);
    /// Wait before a retry that is suggested to callers.
    Duration retryAfter_ = std::chrono::seconds(1);
    /// Maximum number of open claims, including those being cleaned up.
    std::size_t maxClaims_ = 16384;
};

struct ClaimRequest
{
    /// Unique across all entries and their restarts.
    RequestId request_;
    AccountName account_;
    std::string idempotencyKey_;
    Fingerprint fingerprint_;
    /// A claim that is undecided at this time is refused as not run.
    Time deadline_;
};

/// The request holds the claim: make the call, then finish, release or abandon the claim.
struct ClaimGranted
{
};

/// The call has already run with this answer.
struct ClaimReplay
{
    StoredResponse response_;
};

/// Another request holds the claim; this entry does not know whether its call has run.
struct ClaimInProgress
{
    Duration retryAfter_ = Duration(0);
};

/// The key was already used for a call with a different method, path or body.
struct ClaimFingerprintMismatch
{
};

/// The claim was not obtained before the deadline, because the service is unavailable, or because
/// the entry has too many claims; the call must not be made.
struct ClaimRefused
{
    Duration retryAfter_ = Duration(0);
};

using ClaimVerdict = std::variant<ClaimGranted, ClaimReplay, ClaimInProgress,
                                  ClaimFingerprintMismatch, ClaimRefused>;

/// The verdict on a request; returned at most once per request.
struct ClaimDecided
{
    RequestId request_;
    ClaimVerdict verdict_;
};

/// The claim of a released request no longer exists; the same call may be claimed again. Also
/// returned for requests that never held their claim.
struct ClaimReleased
{
    RequestId request_;
};

/// The caller submits each KvOperation; one that cannot be submitted is returned as an outcome with
/// KvStatus::NotSent.
using ClaimAction = std::variant<KvOperation, ClaimDecided, ClaimReleased>;
using ClaimActions = std::vector<ClaimAction>;

enum class ClaimStage {
    Creating,
    /// The call may run.
    Held,
    /// The answer is being stored.
    Finishing,
    /// Waiting until no create of this request can take effect any more.
    Fencing,
    /// The record is being looked up and removed.
    Deleting,
};

/// The state of one open claim.
struct Claim
{
    ClaimRequest request_;
    ClaimStage stage_ = ClaimStage::Creating;
    /// Tag of the pending operation; 0 for none.
    std::uint64_t tag_ = 0;
    /// Earliest time of the next operation when none is pending.
    Time retryAt_;
    Duration backoff_ = Duration(0);
    /// The create waits until the lease and the guard are usable.
    bool waitsForPrerequisites_ = false;
    /// The verdict has been returned, or the caller has disconnected.
    bool hasVerdict_ = false;
    /// A create with an unknown outcome may still take effect.
    bool hasUnknownCreate_ = false;
    /// Mod revision of the guard that the last create was conditioned on.
    std::int64_t createGuardRevision_ = 0;
    /// Mod revision of the record; 0 while unknown.
    std::int64_t modRevision_ = 0;
    StoredResponse response_;
    Time storeDeadline_;
};

/// A value that creates require: the lease of the records, or the guard.
struct ClaimPrerequisite
{
    /// The lease's ID or the guard's mod revision; 0 for none.
    std::int64_t value_ = 0;
    Time obtainedAt_;
    bool mustObtain_ = true;
    std::uint64_t tag_ = 0;
    Time retryAt_;
    Duration backoff_ = Duration(0);
};

struct Claims
{
    ClaimPolicy policy_;
    /// Part of the guard's key; at most one entry process runs on a VM at a time.
    VmName vm_;
    std::uint64_t lastTag_ = 0;
    ClaimPrerequisite lease_;
    ClaimPrerequisite guard_;
    std::map<RequestId, Claim> claims_;
    std::map<std::uint64_t, RequestId> requestByTag_;
};

/// Tags of claim operations are greater than this value, which distinguishes their outcomes from
/// those of other operations.
constexpr std::uint64_t claimTagBase = 1ULL << 62U;

inline bool isClaimTag(std::uint64_t tag)
{
    return tag > claimTagBase;
}

/// Starts a claim; the verdict is among the returned actions or those of a later call.
ClaimActions beginClaim(Claims &claims, const ClaimRequest &request, Time now);

/// Stores the answer of a call that has run, for replay to callers that repeat the call.
ClaimActions finishClaim(Claims &claims, const RequestId &request, StoredResponse answer, Time now);

/// Removes the claim of a call that certainly did not run, or whose caller disconnected before the
/// verdict.
ClaimActions releaseClaim(Claims &claims, const RequestId &request, Time now);

/// Ends a claim when it is unknown whether the call has run. The record of a held claim is kept
/// unchanged; a claim that is still being created is released.
ClaimActions abandonClaim(Claims &claims, const RequestId &request, Time now);

/// Handles the outcome of an operation for which isClaimTag() holds.
ClaimActions handleClaimOutcome(Claims &claims, const KvOutcome &outcome, Time now);

/// Performs the steps that are due.
ClaimActions tickClaims(Claims &claims, Time now);

/// Returns when tickClaims() is next due if no outcome arrives before.
std::optional<Time> nextClaimTick(const Claims &claims);

} // namespace eelgrasscove
