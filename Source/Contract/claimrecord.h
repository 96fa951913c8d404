#pragma once

/// The record that the key-value service stores for one idempotency key of one client account, with
/// its encoding and its key.

#include <eelgrasscove/names.h>
#include <eelgrasscove/result.h>

#include <cstdint>
#include <string>

namespace eelgrasscove {

/// Largest response body that is stored for replay, in bytes.
constexpr std::size_t maxStoredBodyBytes = 256ULL * 1024;

/// The response to a call that has run.
struct StoredResponse
{
    std::uint32_t status_ = 0;
    std::string contentType_;
    std::string body_;
    /// False where the body was larger than the limit and was not stored.
    bool isBodyStored_ = true;
};

enum class ClaimState {
    /// The call may be running, or may have been running when its entry crashed.
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
    /// Set in state Answered only.
    StoredResponse response_;
};

struct ClaimRecordError
{
    std::string message_;
};

/// Encodes as MessagePack, because bodies may contain arbitrary bytes.
std::string encodeClaimRecord(const ClaimRecord &record);
Result<ClaimRecord, ClaimRecordError> decodeClaimRecord(const std::string &bytes);

/// Returns "claims/ACCOUNT/DIGEST". The idempotency key is hashed because callers' keys may be long
/// and contain arbitrary bytes.
std::string claimKey(const AccountName &account, const std::string &idempotencyKey);

} // namespace eelgrasscove
