#pragma once

/// Datagrams between the processes of the serving path. Each contains its sender's full current
/// state, so the next datagram makes up for a lost one.

#include "Peer/namemark.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace eelgrasscove {

/// An adapter, by the hash of "MODEL/NAME", with a version.
struct MarkedAdapter
{
    NameMark adapter_ = 0;
    std::uint32_t version_ = 0;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(adapter_, version_);
    }
};

/// Sent by an agent to each entry from which it receives messages: the state of its engine.
struct EngineState
{
    /// 0 while the agent doesn't know the engine's target id.
    NameMark target_ = 0;
    /// Increases with each message, also across restarts of the agent.
    std::uint64_t number_ = 0;
    /// Start of the engine in Unix milliseconds.
    std::uint64_t startedAt_ = 0;
    /// The engine responds to its agent.
    bool up_ = false;
    bool draining_ = false;
    std::uint32_t running_ = 0;
    std::uint32_t waiting_ = 0;
    std::uint64_t usedTokens_ = 0;
    std::uint64_t memoryTokens_ = 0;
    /// Number of requested loads that have not begun.
    std::uint32_t loadsWaiting_ = 0;
    /// Fraction of late streams among the latest streams of all entries at this engine.
    float lateRatio_ = 0;
    /// Increases whenever the lists below change.
    std::uint64_t residency_ = 0;
    /// False if the receiver has reported that it knows this residency; the lists are then empty.
    bool hasLists_ = false;
    std::vector<MarkedAdapter> adapters_;
    /// Adapters whose load is in progress or requested.
    std::vector<MarkedAdapter> incoming_;
    std::vector<NameMark> models_;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(target_, number_, startedAt_, up_, draining_, running_, waiting_, usedTokens_,
                memoryTokens_, loadsWaiting_, lateRatio_, residency_, hasLists_, adapters_,
                incoming_, models_);
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

/// Sent by an entry to an agent: adapters to load and adapters in use.
struct EntryWishes
{
    std::string vm_;
    /// The id and the start time of the engine in the target list.
    std::string target_;
    std::uint64_t targetStartedAt_ = 0;
    /// The latest residency number that the entry has received from the agent.
    std::uint64_t knownResidency_ = 0;
    std::vector<AdapterLoadRequest> wishes_;
    /// Adapters of the requests sent to this engine since the last message or still running there.
    std::vector<NameMark> inUse_;
    /// Number of streams of this engine since the last message, and number of late ones among them.
    std::uint32_t streams_ = 0;
    std::uint32_t lateStreams_ = 0;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(vm_, target_, targetStartedAt_, knownResidency_, wishes_, inUse_, streams_,
                lateStreams_);
    }
};

struct AccountUsage
{
    NameMark account_ = 0;
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
    NameMark vm_ = 0;
    std::int64_t stampMicros_ = 0;
    /// Time since the sender received it.
    std::int64_t heldMicros_ = 0;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(vm_, stampMicros_, heldMicros_);
    }
};

/// Recent rate of requests for an adapter at one entry.
struct AdapterRate
{
    NameMark adapter_ = 0;
    float perSecond_ = 0;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(adapter_, perSecond_);
    }
};

/// A crash suspect: a request that was running when its target crashed, with the number of crashes.
struct SuspectCount
{
    std::uint64_t request_ = 0;
    std::uint32_t crashes_ = 0;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(request_, crashes_);
    }
};

/// Sent by an entry to each other entry.
struct EntryState
{
    NameMark vm_ = 0;
    /// The sender's boot clock when the message was sent, and at the sender's start.
    std::int64_t stampMicros_ = 0;
    std::int64_t startedMicros_ = 0;
    std::uint64_t rulesVersion_ = 0;
    /// Age of the sender's last confirmation that no newer rules exist; negative if there is none.
    std::int64_t rulesAgeMicros_ = -1;
    std::vector<AccountUsage> usage_;
    /// The next two members are present in some messages only.
    std::vector<PeerEcho> echoes_;
    std::optional<std::vector<AdapterRate>> mostAsked_;
    std::vector<SuspectCount> suspects_;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(vm_, stampMicros_, startedMicros_, rulesVersion_, rulesAgeMicros_, usage_, echoes_,
                mostAsked_, suspects_);
    }
};

using PeerMessage = std::variant<EngineState, EntryWishes, EntryState>;

std::string encodePeerMessage(const PeerMessage &message);

/// Decodes a datagram; empty if the bytes are not a valid message of this layout version.
std::optional<PeerMessage> decodePeerMessage(std::string_view bytes);

} // namespace eelgrasscove
