#include "StandIns/base64.h"

#include <cstdint>

namespace standins {

namespace {

constexpr std::string_view alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr unsigned bitsPerDigit = 6;
constexpr unsigned bitsPerByte = 8;
constexpr std::size_t digitsPerGroup = 4;

} // namespace

std::string encodeBase64(std::string_view bytes)
{
    std::string text;
    std::uint32_t held = 0;
    unsigned bits = 0;
    for (const char byte : bytes) {
        held = (held << bitsPerByte) | static_cast<unsigned char>(byte);
        bits += bitsPerByte;
        while (bits >= bitsPerDigit) {
            bits -= bitsPerDigit;
            text += alphabet[(held >> bits) & 63U];
        }
    }
    if (bits > 0)
        text += alphabet[(held << (bitsPerDigit - bits)) & 63U];
    while (text.size() % digitsPerGroup != 0)
        text += '=';
    return text;
}

std::optional<std::string> decodeBase64(std::string_view text)
{
    while (!text.empty() && text.back() == '=')
        text.remove_suffix(1);
    std::string bytes;
    std::uint32_t held = 0;
    unsigned bits = 0;
    for (const char digit : text) {
        const std::size_t value = alphabet.find(digit);
        if (value == std::string_view::npos)
            return std::nullopt;
        held = (held << bitsPerDigit) | static_cast<std::uint32_t>(value);
        bits += bitsPerDigit;
        if (bits >= bitsPerByte) {
            bits -= bitsPerByte;
            bytes += static_cast<char>((held >> bits) & 255U);
        }
    }
    return bytes;
}

} // namespace standins
