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

/// First byte of every datagram; changed whenever the layout of a message changes.
constexpr char layoutVersion = 9;

// Header before the message: layout version, route, message type and checksum of the message.
constexpr std::size_t routeAt = 1;
constexpr std::size_t typeAt = 2;
constexpr std::size_t checksumAt = 3;
constexpr std::size_t headerBytes = checksumAt + sizeof(std::uint32_t);

std::uint32_t checksumOf(std::string_view body)
{
    return XXH32(body.data(), body.size(), 0);
}

template <class Message>
PeerMessage deserialize(std::string_view body)
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
    const std::uint32_t checksum = checksumOf(body);
    std::string bytes;
    bytes.reserve(headerBytes + body.size());
    bytes += layoutVersion;
    bytes += static_cast<char>(DatagramRoute::Direct);
    bytes += static_cast<char>(message.index());
    bytes.append(reinterpret_cast<const char *>(&checksum), sizeof checksum);
    bytes += body;
    return bytes;
}

std::optional<DatagramRoute> routeOf(std::string_view bytes)
{
    if (bytes.size() < headerBytes || bytes[0] != layoutVersion)
        return std::nullopt;
    const auto route = static_cast<DatagramRoute>(bytes[routeAt]);
    for (const auto &[known, name] : datagramRouteNames) {
        if (route == known)
            return route;
    }
    return std::nullopt;
}

void setRoute(std::string &bytes, DatagramRoute route)
{
    bytes.at(routeAt) = static_cast<char>(route);
}

std::optional<PeerMessage> decodePeerMessage(std::string_view bytes)
{
    if (!routeOf(bytes))
        return std::nullopt;
    const std::string_view body = bytes.substr(headerBytes);
    std::uint32_t checksum = 0;
    std::memcpy(&checksum, bytes.data() + checksumAt, sizeof checksum);
    // Verified before parsing, as a corrupted length would make the archive allocate an arbitrary
    // amount of memory.
    if (checksum != checksumOf(body))
        return std::nullopt;
    try {
        switch (bytes[typeAt]) {
        case 0:
            return deserialize<EngineStateMessage>(body);
        case 1:
            return deserialize<EntryLoadRequests>(body);
        case 2:
            return deserialize<EntryState>(body);
        case 3:
            return deserialize<StreamOriginReport>(body);
        case 4:
            return deserialize<StreamOriginQuery>(body);
        case 5:
            return deserialize<StreamOriginResponse>(body);
        default:
            return std::nullopt;
        }
    } catch (const std::exception &) {
        // Also errors of the containers: of another layout, any number may be read as a length.
        return std::nullopt;
    }
}

} // namespace eelgrasscove
