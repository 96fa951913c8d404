#include "Contract/keydigest.h"

#include <array>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <vector>

namespace eelgrasscove {

namespace {

constexpr std::size_t keyBytes = 32;
constexpr std::size_t idBytes = 6;

std::string toHex(const unsigned char *bytes, std::size_t count)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string hex;
    hex.reserve(count * 2);
    for (std::size_t index = 0; index < count; ++index) {
        hex += digits[bytes[index] >> 4U];
        hex += digits[bytes[index] & 15U];
    }
    return hex;
}

const unsigned char *bytesOf(std::string_view text)
{
    return reinterpret_cast<const unsigned char *>(text.data());
}

Result<std::string, KeyError> randomHex(std::size_t count)
{
    std::vector<unsigned char> bytes(count);
    if (RAND_bytes(bytes.data(), static_cast<int>(count)) != 1)
        return KeyError{"the system's random source failed to return random bytes"};
    return toHex(bytes.data(), count);
}

} // namespace

std::string keyDigest(std::string_view secret, std::string_view key)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest = {};
    unsigned int length = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()), bytesOf(key), key.size(),
         digest.data(), &length);
    return toHex(digest.data(), length);
}

std::string textDigest(std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest = {};
    unsigned int length = 0;
    EVP_Digest(text.data(), text.size(), digest.data(), &length, EVP_sha256(), nullptr);
    return toHex(digest.data(), length);
}

Result<std::string, KeyError> generateKey()
{
    Result<std::string, KeyError> hex = randomHex(keyBytes);
    if (!ok(hex))
        return hex;
    return std::string(keyPrefix) + valueOf(hex);
}

Result<std::string, KeyError> generateId()
{
    return randomHex(idBytes);
}

} // namespace eelgrasscove
