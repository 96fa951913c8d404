#pragma once

/// Generates callers' keys and computes digests. A key is shown once when it is issued; only its
/// keyed digest is stored.

#include <eelgrasscove/result.h>

#include <string>
#include <string_view>

namespace eelgrasscove {

/// Prefix of every key.
constexpr std::string_view keyPrefix = "egc_";

/// Returns the HMAC-SHA256 of the key in lower-case hex.
std::string keyDigest(std::string_view secret, std::string_view key);

/// Returns the SHA-256 of the text in lower-case hex.
std::string textDigest(std::string_view text);

/// The system's random source failed.
struct KeyError
{
    std::string message_;
};

/// Returns a new key with 256 random bits: "egc_" and 64 hex digits.
Result<std::string, KeyError> generateKey();

/// Returns a new random ID of 12 hex digits, for a key or a request.
Result<std::string, KeyError> generateId();

} // namespace eelgrasscove
