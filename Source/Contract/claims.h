#pragma once

/// Claims of one entry: a non-idempotent call with an Idempotency-Key runs only after its entry has
/// claimed the key in the platform's key-value service. Pure: time and outcomes come in, operations
/// and verdicts go out.
///
/// At most one run: a claim is created only where no record stands, and it goes away only when its
/// request surely didn't run, or a day later with its lease. A record of an entry that died says
/// for good that the outcome is unknown.
///
/// A create whose reply is lost may take effect at any later time, also after its request was
/// refused. So every create is conditioned on the entry's guard key as well. A request that leaves
/// such a create behind first has the guard rewritten, which keeps the create from ever taking
/// effect, and only then looks for the record and removes it.

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
    /// A record is kept at least so long.
    Duration keep_ = std::chrono::hours(24);
    /// A lease serves the claims of so long a time.
    Duration leasePeriod_ = std::chrono::hours(1);
    Duration leastBackoff_ = std::chrono::milliseconds(50);
    Duration mostBackoff_ = std::chrono::seconds(2);
    /// Time in which an answer is tried to be stored.
    Duration storeFor_ = std::chrono::minutes(10);
    /// What callers are told to wait.
    Duration retryAfter_ = std::chrono::seconds(1);
    /// Claims in hand, those being tidied up included.
    std::size_t mostClaims_ = 16384;
};

struct ClaimRequest
{
    /// Unique over all entries and their restarts.
    RequestId request_;
    AccountName account_;
    std::string idempotencyKey_;
    Fingerprint fingerprint_;
    /// A claim not decided by then is refused as not run.
    Time deadline_;
};

/// The claim is this request's: make the call, then finish, release or abandon it.
struct ClaimMine
{
};

/// The call has run; this was its answer.
struct ClaimReplay
{
    StoredAnswer answer_;
};

/// Another request holds the claim; whether its call has run is unknown here.
struct ClaimInProgress
{
    Duration retryAfter_ = Duration(0);
};

/// The key was used for another call.
struct ClaimBodyDiffers
{
};

/// Not claimed in time; the call must not be made.
struct ClaimRefused
{
    Duration retryAfter_ = Duration(0);
};

using ClaimVerdict =
    std::variant<ClaimMine, ClaimReplay, ClaimInProgress, ClaimBodyDiffers, ClaimRefused>;

/// What is to become of a request; given once for each.
struct ClaimDecided
{
    RequestId request_;
    ClaimVerdict verdict_;
};

/// The claim of a released request is gone; the same call may be claimed anew. It can also come for
/// requests that never held their claim.
struct ClaimReleased
{
    RequestId request_;
};

/// Operations are to be submitted; one that can't be is to come back as KvStatus::NotSent.
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
    /// The record is looked for and removed.
    Deleting,
};

/// One claim in hand.
struct Claim
{
    ClaimRequest request_;
    ClaimStage stage_ = ClaimStage::Creating;
    /// The operation under way; 0 for none.
    std::uint64_t tag_ = 0;
    /// Without an operation under way, nothing is done before.
    Time retryAt_;
    Duration backoff_ = Duration(0);
    /// Its create waits for the lease or the guard.
    bool waitsForNeeds_ = false;
    /// The caller has its verdict, or has gone.
    bool told_ = false;
    /// Some create may take effect later; the guard it was conditioned on.
    bool createUnknown_ = false;
    std::int64_t guardUsed_ = 0;
    /// The record's, once known.
    std::int64_t modRevision_ = 0;
    StoredAnswer answer_;
    Time storeUntil_;
};

/// A thing that claims need first: the lease of their records, and the guard.
struct ClaimNeed
{
    /// The lease's id or the guard's mod revision; 0 where there is none.
    std::int64_t value_ = 0;
    Time since_;
    bool wanted_ = true;
    std::uint64_t tag_ = 0;
    Time retryAt_;
    Duration backoff_ = Duration(0);
};

struct Claims
{
    ClaimPolicy policy_;
    /// Names the guard; one entry process runs on a VM at a time.
    VmName vm_;
    std::uint64_t lastTag_ = 0;
    ClaimNeed lease_;
    ClaimNeed guard_;
    std::map<RequestId, Claim> claims_;
    std::map<std::uint64_t, RequestId> byTag_;
};

/// Tags of claims' operations lie above it, so that outcomes can be told from others'.
constexpr std::uint64_t claimTagBase = 1ULL << 62U;

inline bool isClaimTag(std::uint64_t tag)
{
    return tag > claimTagBase;
}

/// Starts to claim; the verdict comes now or later.
ClaimActions beginClaim(Claims &claims, const ClaimRequest &request, Time now);

/// The call has run: stores its answer for callers who send it again.
ClaimActions finishClaim(Claims &claims, const RequestId &request, StoredAnswer answer, Time now);

/// The call surely didn't run, or its caller has gone before the verdict: gives the claim back.
ClaimActions releaseClaim(Claims &claims, const RequestId &request, Time now);

/// Whether the call has run is unknown; the record stays as it is.
ClaimActions abandonClaim(Claims &claims, const RequestId &request, Time now);

/// Takes an outcome with a tag of claims.
ClaimActions takeClaimOutcome(Claims &claims, const KvOutcome &outcome, Time now);

/// Does what is due by now.
ClaimActions tickClaims(Claims &claims, Time now);

/// When tickClaims() has something to do next, if no outcome comes before.
std::optional<Time> nextClaimTick(const Claims &claims);

} // namespace eelgrasscove
