#pragma once

/// Datagrams between the processes of the serving path. Each contains its sender's full current
/// state, so the next datagram makes up for a lost one.

#include "Peer/namehash.h"

#include <eelgrasscove/nametable.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace eelgrasscove {

/// An adapter, by the hash of "MODEL/NAME", with a version.
struct HashedAdapter
{
    NameHash adapter_ = 0;
    std::uint32_t version_ = 0;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(adapter_, version_);
    }
};

/// Sent by an agent to each entry from which it receives messages: the state of its engine.
struct EngineStateMessage
{
    /// 0 while the agent doesn't know the engine's target id.
    NameHash target_ = 0;
    /// Increases with each message, also across restarts of the agent.
    std::uint64_t number_ = 0;
    /// Start of the engine in Unix milliseconds.
    std::uint64_t startedAt_ = 0;
    /// The engine responds to its agent.
    bool isUp_ = false;
    bool isDraining_ = false;
    std::uint32_t running_ = 0;
    std::uint32_t waiting_ = 0;
    /// Requests without a first token: waiting_ and those of running_ whose prompts are being read.
    std::uint32_t unread_ = 0;
    std::uint32_t usedTokens_ = 0;
    std::uint32_t memoryTokens_ = 0;
    /// Number of requested loads that have not begun.
    std::uint32_t pendingLoads_ = 0;
    /// Fraction of the most recent streams at this engine, over all entries, that were late.
    float lateRatio_ = 0;
    /// Typical time between two events of a stream, see encodePace(); 0 while it is not known.
    std::uint8_t pace_ = 0;
    /// Increases whenever the lists below change.
    std::uint64_t residencyNumber_ = 0;
    /// False if the receiver has reported that it knows this residency; the lists are then empty.
    bool hasLists_ = false;
    std::vector<HashedAdapter> adapters_;
    /// Adapters whose load is in progress or requested.
    std::vector<HashedAdapter> incoming_;
    std::vector<NameHash> models_;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(target_, number_, startedAt_, isUp_, isDraining_, running_, waiting_, unread_,
                usedTokens_, memoryTokens_, pendingLoads_, lateRatio_, pace_, residencyNumber_,
                hasLists_, adapters_, incoming_, models_);
    }
};

/// A request to load an adapter for which requests at one entry wait, or for which an additional
/// replica would reduce their wait.
struct AdapterLoadRequest
{
    std::string adapter_;
    /// 0 means any version.
    std::uint64_t version_ = 0;
    std::uint32_t requests_ = 0;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(adapter_, version_, requests_);
    }
};

/// Sum over streams of an engine of the typical time between two of their events.
struct EventIntervalSums
{
    std::uint16_t streams_ = 0;
    float millis_ = 0;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(streams_, millis_);
    }
};

/// Sent by an entry to an agent: adapters to load and adapters in use.
struct EntryLoadRequests
{
    std::string vm_;
    NameHash dataCentre_ = 0;
    /// The id and the start time of the engine in the target list.
    std::string target_;
    std::uint64_t targetStartedAt_ = 0;
    /// The latest residency number that the entry has received from the agent.
    std::uint64_t knownResidencyNumber_ = 0;
    std::vector<AdapterLoadRequest> loadRequests_;
    /// Adapters of the requests sent to this engine since the last message or still running there.
    std::vector<NameHash> usedAdapters_;
    /// Streams of this engine since the last message, and how many of them were late.
    std::uint16_t streams_ = 0;
    std::uint16_t lateStreams_ = 0;
    /// Streams of this engine that ended since the last message; absent if there were none.
    std::optional<EventIntervalSums> eventIntervals_;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(vm_, dataCentre_, target_, targetStartedAt_, knownResidencyNumber_, loadRequests_,
                usedAdapters_, streams_, lateStreams_, eventIntervals_);
    }
};

struct AccountUsage
{
    NameHash account_ = 0;
    /// Tokens used since the sender's start.
    float tokens_ = 0;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(account_, tokens_);
    }
};

/// Identifies the latest message that the sender has received from a peer, by the peer's timestamp.
struct PeerEcho
{
    NameHash vm_ = 0;
    std::int64_t timestampMicros_ = 0;
    /// Time since the sender received it.
    std::int64_t holdTimeMicros_ = 0;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(vm_, timestampMicros_, holdTimeMicros_);
    }
};

/// Recent rate of requests for an adapter at one entry.
struct AdapterRequestRate
{
    NameHash adapter_ = 0;
    float requestsPerSecond_ = 0;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(adapter_, requestsPerSecond_);
    }
};

/// Hash of a target instance that crashed.
using CrashId = std::uint32_t;

/// A request or prompt part that was being started at targets when they crashed; see CrashRecord.
struct ReportedCrashRecord
{
    std::uint64_t suspect_ = 0;
    std::uint32_t clearances_ = 0;
    std::uint32_t trials_ = 0;
    /// Time since the last crash or the last request that was held back for the suspect.
    std::int64_t ageMicros_ = 0;
    std::vector<CrashId> crashes_;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(suspect_, clearances_, trials_, ageMicros_, crashes_);
    }
};

/// Requests of one service and priority that wait for room at one entry.
struct WaitingRow
{
    NameHash service_ = 0;
    /// 0 is the most urgent.
    std::uint8_t priority_ = 0;
    std::uint16_t waiting_ = 0;
    /// Number of them that have waited for longer than the limit from which on they lack room.
    std::uint16_t lacking_ = 0;
    std::uint16_t longestWaitMillis_ = 0;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(service_, priority_, waiting_, lacking_, longestWaitMillis_);
    }
};

/// Sent by an entry to all other entries.
struct EntryState
{
    NameHash vm_ = 0;
    NameHash dataCentre_ = 0;
    /// The sender's boot clock when the message was sent, and at the sender's start.
    std::int64_t timestampMicros_ = 0;
    std::int64_t startedAtMicros_ = 0;
    /// Era of the store to which the sender's revisions belong; 0 if the store states none.
    std::uint64_t storeEra_ = 0;
    std::uint64_t rulesVersion_ = 0;
    /// Age of the sender's last confirmation that no newer rules exist; negative if there is none.
    std::int64_t rulesAgeMicros_ = -1;
    /// Highest store revision among the changes of the operator's keys that the sender knows.
    std::uint64_t operatorRevision_ = 0;
    /// Highest store revision among the changes of the target list that the sender knows, apart
    /// from those of resident adapters, and the age of its knowledge; negative if it has no list.
    std::uint64_t targetsRevision_ = 0;
    std::int64_t targetsAgeMicros_ = -1;
    /// Store revision of the sender's last list of the targets. Of removals up to it the sender
    /// knows no revision.
    std::uint64_t targetsListRevision_ = 0;
    std::vector<AccountUsage> usage_;
    /// The members below are present in some messages only.
    /// Echoes of the messages of peers in the data centre to which this message is sent.
    std::vector<PeerEcho> echoes_;
    std::optional<std::vector<AdapterRequestRate>> topAdapterRates_;
    std::vector<ReportedCrashRecord> crashRecords_;
    /// What waits for room at the sender; empty if nothing does.
    std::vector<WaitingRow> waitingRows_;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(vm_, dataCentre_, timestampMicros_, startedAtMicros_, storeEra_, rulesVersion_,
                rulesAgeMicros_, operatorRevision_, targetsRevision_, targetsAgeMicros_,
                targetsListRevision_, usage_, echoes_, topAdapterRates_, crashRecords_,
                waitingRows_);
    }
};

/// Identifies a stream; see streamHash().
using StreamHash = std::uint64_t;

/// Sent by an entry to the agents that keep the origin of a stream, when it forwards the first
/// event.
struct StreamOriginReport
{
    StreamHash stream_ = 0;
    /// Hash of the software version of the target that began the stream.
    NameHash version_ = 0;
    /// Time within which the client may take the stream up again.
    std::uint32_t validMillis_ = 0;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(stream_, version_, validMillis_);
    }
};

/// Sent by an entry to the agents that keep the origin of a stream.
struct StreamOriginQuery
{
    StreamHash stream_ = 0;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(stream_);
    }
};

/// An agent's response to the query.
struct StreamOriginResponse
{
    StreamHash stream_ = 0;
    /// 0 if the agent doesn't know the stream.
    NameHash version_ = 0;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(stream_, version_);
    }
};

using PeerMessage = std::variant<EngineStateMessage, EntryLoadRequests, EntryState,
                                 StreamOriginReport, StreamOriginQuery, StreamOriginResponse>;

/// How a datagram comes from the sender of its message to the receiver.
enum class DatagramRoute : std::uint8_t {
    /// Without a relay.
    Direct,
    /// The receiver is to relay it to the other members of its data centre.
    ToRelay,
    /// By a relay; the datagram's source address is the relay's.
    Relayed,
};

constexpr NameTable<DatagramRoute, 3> datagramRouteNames = {{
    {DatagramRoute::Direct, "direct"},
    {DatagramRoute::ToRelay, "to_relay"},
    {DatagramRoute::Relayed, "relayed"},
}};

std::string encodePeerMessage(const PeerMessage &message);

/// Returns the route of an encoded message; empty if the bytes are not one of this layout version.
std::optional<DatagramRoute> routeOf(std::string_view bytes);

/// Sets the route of an encoded message, which is Direct at first.
void setRoute(std::string &bytes, DatagramRoute route);

/// Decodes a datagram; empty if the bytes are not a valid message of this layout version.
std::optional<PeerMessage> decodePeerMessage(std::string_view bytes);

} // namespace eelgrasscove
