#pragma once

/// Datagrams between the VMs of the serving path. Each is a full statement of its sender, so a lost
/// one is made good by the next.

#include "Peer/namemark.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace eelgrasscove {

/// An adapter, by the mark of "MODEL/NAME", with a version.
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

/// From an agent to each entry that it hears: the state of its engine.
struct EngineState
{
    /// 0 where the engine doesn't tell its id.
    NameMark target_ = 0;
    /// Rises with each message and over restarts of the agent.
    std::uint64_t number_ = 0;
    /// Unix milliseconds of the engine's start.
    std::uint64_t startedAt_ = 0;
    /// The engine answers its agent.
    bool up_ = false;
    bool draining_ = false;
    std::uint32_t running_ = 0;
    std::uint32_t waiting_ = 0;
    std::uint64_t usedTokens_ = 0;
    std::uint64_t memoryTokens_ = 0;
    /// Loads asked for and not begun.
    std::uint32_t loadsWaiting_ = 0;
    /// Part of the latest streams of all entries there that were late.
    float lateRatio_ = 0;
    /// Rises whenever the two lists below change.
    std::uint64_t residency_ = 0;
    /// False where the receiver has said that it knows residency_; the lists are empty then.
    bool hasLists_ = false;
    std::vector<MarkedAdapter> adapters_;
    /// On their way, and asked for.
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

/// An adapter that requests of one entry wait for, or would do better with another copy of.
struct AdapterWish
{
    std::string adapter_;
    /// 0 for any.
    std::uint64_t version_ = 0;
    std::uint32_t requests_ = 0;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(adapter_, version_, requests_);
    }
};

/// From an entry to an agent: what to load, and what is in use.
struct EntryWishes
{
    std::string vm_;
    /// The id of the engine in the list of targets, and its start there.
    std::string target_;
    std::uint64_t targetStartedAt_ = 0;
    /// The newest residency_ of the agent that the entry holds.
    std::uint64_t knownResidency_ = 0;
    std::vector<AdapterWish> wishes_;
    /// Adapters sent to this engine since the last message, or still running there.
    std::vector<NameMark> inUse_;
    /// Streams of this engine since the last message, and how many of them were late.
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
    /// Since the sender's start.
    float tokens_ = 0;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(account_, tokens_);
    }
};

/// The newest message of a peer that the sender has, by the peer's own stamp.
struct PeerEcho
{
    NameMark vm_ = 0;
    std::int64_t stampMicros_ = 0;
    /// How long the sender has had it.
    std::int64_t heldMicros_ = 0;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(vm_, stampMicros_, heldMicros_);
    }
};

/// How often an adapter was asked for at one entry of late.
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

/// A request that was running when its target broke off.
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

/// From an entry to each other entry.
struct EntryState
{
    NameMark vm_ = 0;
    /// The sender's boot clock, and its reading at the sender's start.
    std::int64_t stampMicros_ = 0;
    std::int64_t startedMicros_ = 0;
    std::uint64_t rulesVersion_ = 0;
    /// Age of the sender's last confirmation that no newer rules exist; negative for none.
    std::int64_t rulesAgeMicros_ = -1;
    std::vector<AccountUsage> usage_;
    /// The next two are in some messages only.
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

/// Empty where the bytes aren't a message of this version.
std::optional<PeerMessage> decodePeerMessage(std::string_view bytes);

} // namespace eelgrasscove
