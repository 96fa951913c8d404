#pragma once

/// Callers' keys: made once, shown once, kept only as keyed digests.

#include <eelgrasscove/result.h>

#include <string>
#include <string_view>

namespace eelgrasscove {

/// What every key begins with.
constexpr std::string_view keyPrefix = "egc_";

/// Lower-case hex of HMAC-SHA256 over the key.
std::string keyDigest(std::string_view secret, std::string_view key);

/// Lower-case hex of SHA-256 over the text.
std::string textDigest(std::string_view text);

/// The system's random source gave nothing.
struct KeyError
{
    std::string message_;
};

/// A new key with 256 random bits, for example "egc_" and 64 hex digits.
Result<std::string, KeyError> newKey();

/// A new random id of 12 hex digits, for a key or a request.
Result<std::string, KeyError> newId();

} // namespace eelgrasscove
