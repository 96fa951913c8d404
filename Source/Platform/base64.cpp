#include "Platform/base64.h"

#include <openssl/evp.h>

namespace eelgrasscove {

namespace {

constexpr std::string_view alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::size_t paddingOf(std::string_view text)
{
    std::size_t padding = 0;
    while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=')
        ++padding;
    return padding;
}

} // namespace

std::string encodeBase64(std::string_view bytes)
{
    // The library adds a terminating zero.
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                       reinterpret_cast<const unsigned char *>(bytes.data()),
                                       static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

std::optional<std::string> decodeBase64(std::string_view text)
{
    if (text.size() % 4 != 0)
        return std::nullopt;
    const std::size_t padding = paddingOf(text);
    const std::string_view digits = text.substr(0, text.size() - padding);
    if (digits.find_first_not_of(alphabet) != std::string_view::npos)
        return std::nullopt;
    std::string bytes(text.size() / 4 * 3, '\0');
    const int length = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()),
                                       reinterpret_cast<const unsigned char *>(text.data()),
                                       static_cast<int>(text.size()));
    if (length < 0)
        return std::nullopt;
    bytes.resize(static_cast<std::size_t>(length) - padding);
    return bytes;
}

} // namespace eelgrasscove
