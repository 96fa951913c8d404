#pragma once

/// What stands in the key-value service for one idempotency key of one client account.

#include <eelgrasscove/names.h>
#include <eelgrasscove/result.h>

#include <cstdint>
#include <string>

namespace eelgrasscove {

/// Largest body that is kept to be answered again, in bytes.
constexpr std::size_t mostKeptBody = 256ULL * 1024;

/// The answer of a call that has run.
struct StoredAnswer
{
    std::uint32_t status_ = 0;
    std::string contentType_;
    std::string body_;
    /// False where the body was over mostKeptBody and isn't there.
    bool bodyKept_ = true;
};

enum class ClaimState {
    /// Its request may be running, or was when its entry died.
    Running,
    Answered,
};

struct ClaimRecord
{
    /// The request that made the claim.
    RequestId request_;
    /// Digest of the call's method, path and body.
    Fingerprint fingerprint_;
    ClaimState state_ = ClaimState::Running;
    /// Set where answered.
    StoredAnswer answer_;
};

struct ClaimRecordError
{
    std::string message_;
};

/// MessagePack, as bodies may hold any bytes.
std::string encodeClaimRecord(const ClaimRecord &record);
Result<ClaimRecord, ClaimRecordError> decodeClaimRecord(const std::string &bytes);

/// "claims/ACCOUNT/DIGEST": callers' keys may be long and hold any bytes.
std::string claimKey(const AccountName &account, const std::string &idempotencyKey);

} // namespace eelgrasscove
