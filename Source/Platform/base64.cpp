#include "Platform/base64.h"

// Of libsodium and not OpenSSL, which takes several MB in each small process.
#include <sodium.h>

namespace eelgrasscove {

std::string encodeBase64(std::string_view bytes)
{
    std::string text(sodium_base64_ENCODED_LEN(bytes.size(), sodium_base64_VARIANT_ORIGINAL), '\0');
    sodium_bin2base64(text.data(), text.size(),
                      reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(),
                      sodium_base64_VARIANT_ORIGINAL);
    // The library adds a terminating zero.
    text.pop_back();
    return text;
}

std::optional<std::string> decodeBase64(std::string_view text)
{
    std::string bytes(text.size() / 4 * 3, '\0');
    std::size_t length = 0;
    const int failed = sodium_base642bin(reinterpret_cast<unsigned char *>(bytes.data()),
                                         bytes.size(), text.data(), text.size(), nullptr, &length,
                                         nullptr, sodium_base64_VARIANT_ORIGINAL);
    if (failed != 0)
        return std::nullopt;
    bytes.resize(length);
    return bytes;
}

} // namespace eelgrasscove
