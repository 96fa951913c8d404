#include "Peer/peermessages.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstring>
#include <sstream>
#include <xxhash.h>

namespace eelgrasscove {

namespace {

/// First byte of every datagram: changes with the layout of the messages.
constexpr char layoutVersion = 2;

/// Bytes before the message: layout, kind and check sum.
constexpr std::size_t headBytes = 2 + sizeof(std::uint32_t);

std::uint32_t checkSum(std::string_view body)
{
    return XXH32(body.data(), body.size(), 0);
}

template <class Message>
PeerMessage unpacked(std::string_view body)
{
    std::istringstream stream{std::string(body)};
    cereal::PortableBinaryInputArchive archive(stream);
    Message message;
    archive(message);
    return message;
}

} // namespace

std::string encodePeerMessage(const PeerMessage &message)
{
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        std::visit([&](const auto &each) { archive(each); }, message);
    }
    const std::string body = stream.str();
    const std::uint32_t sum = checkSum(body);
    std::string bytes;
    bytes.reserve(headBytes + body.size());
    bytes += layoutVersion;
    bytes += static_cast<char>(message.index());
    bytes.append(reinterpret_cast<const char *>(&sum), sizeof sum);
    bytes += body;
    return bytes;
}

std::optional<PeerMessage> decodePeerMessage(std::string_view bytes)
{
    if (bytes.size() < headBytes || bytes[0] != layoutVersion)
        return std::nullopt;
    const std::string_view body = bytes.substr(headBytes);
    std::uint32_t sum = 0;
    std::memcpy(&sum, bytes.data() + 2, sizeof sum);
    // A length that was damaged on the way would have the archive reserve any amount of memory.
    if (sum != checkSum(body))
        return std::nullopt;
    try {
        switch (bytes[1]) {
        case 0:
            return unpacked<EngineState>(body);
        case 1:
            return unpacked<EntryWishes>(body);
        case 2:
            return unpacked<EntryState>(body);
        default:
            return std::nullopt;
        }
    } catch (const cereal::Exception &) {
        return std::nullopt;
    }
}

} // namespace eelgrasscove
