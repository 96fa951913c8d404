#include "Link/messagebatch.h"

#include <cstddef>
#include <cstdint>
#include <utility>

namespace eelgrasscove {

namespace {

constexpr char batchMark = '\xc1';
constexpr std::size_t lengthBytes = 4;
constexpr unsigned byteBits = 8;

void appendWithLength(std::string &batch, std::string_view envelope)
{
    for (std::size_t byte = lengthBytes; byte-- > 0;)
        batch += static_cast<char>(envelope.size() >> (byte * byteBits));
    batch += envelope;
}

std::size_t readLength(std::string_view bytes)
{
    std::size_t length = 0;
    for (const char byte : bytes.substr(0, lengthBytes))
        length = (length << byteBits) | static_cast<unsigned char>(byte);
    return length;
}

} // namespace

void addEnvelope(std::string &message, std::string_view envelope)
{
    if (message.empty()) {
        message = envelope;
        return;
    }
    if (message.front() != batchMark) {
        const std::string first = std::exchange(message, std::string(1, batchMark));
        appendWithLength(message, first);
    }
    appendWithLength(message, envelope);
}

std::vector<std::string_view> splitEnvelopes(std::string_view message)
{
    if (message.empty() || message.front() != batchMark)
        return {message};
    std::vector<std::string_view> envelopes;
    std::string_view rest = message.substr(1);
    while (rest.size() >= lengthBytes) {
        const std::size_t length = readLength(rest);
        rest.remove_prefix(lengthBytes);
        if (length > rest.size())
            break;
        envelopes.push_back(rest.substr(0, length));
        rest.remove_prefix(length);
    }
    return envelopes;
}

} // namespace eelgrasscove
