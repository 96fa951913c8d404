#pragma once

/// What an entry believes of a target, and from whom: the list of targets, the agent beside it, its
/// own answers.

#include "Net/tcpstream.h"
#include "Peer/namemark.h"

#include <eelgrasscove/serving.h>

#include <map>
#include <set>
#include <string>

namespace eelgrasscove {

struct TargetBelief
{
    ListedTarget listed_;
    Endpoint endpoint_;
    /// The list lost the target's entry at this time; it may come back after an outage of the
    /// store.
    std::optional<Time> missingSince_;
    /// Another target has its address now, though the list still has this one.
    bool replaced_ = false;

    // Told by the agent, where there is one.
    bool agentHeard_ = false;
    Time heardAt_;
    std::uint64_t stateNumber_ = 0;
    std::uint64_t startedAt_ = 0;
    bool up_ = true;
    bool draining_ = false;
    std::uint64_t usedTokens_ = 0;
    std::uint64_t memoryTokens_ = 0;
    std::uint32_t loadsWaiting_ = 0;
    std::uint64_t residency_ = 0;
    /// Part of the latest streams of all entries there that were late.
    double lateRatio_ = 0;

    // Told by the agent, or by the list and the target's answers where there is none.
    std::map<NameMark, std::uint64_t> adapters_;
    std::map<NameMark, std::uint64_t> incoming_;
    std::set<NameMark> models_;

    // Told by the agent or by the load in the target's answers.
    std::uint32_t running_ = 0;
    std::uint32_t waiting_ = 0;
    Time loadAt_;

    // Of this entry.
    std::uint32_t outstanding_ = 0;
    std::uint32_t outstandingAtLoad_ = 0;
    /// When the target or its agent last gave any sign of life.
    Time aliveAt_;
    /// Part of the latest answers that were failures.
    double failureRatio_ = 0;
    /// No send before this time.
    Time avoidUntil_;
    Time lastSentAt_;
};

/// Whether new requests may be sent to the target at all.
bool isUsable(const TargetBelief &target, Time now);

/// Whether the target has given no sign of life for longer than one that works would.
bool isSilent(const TargetBelief &target, Time now);

/// Takes note of a request that ended without an answer while its target was silent.
void noteSilence(TargetBelief &target, Time now);

/// Requests running and waiting there, from the last load told and what this entry has sent since.
double estimatedLoad(const TargetBelief &target, std::size_t entries, Time now);

/// Takes note of an answer, or of a failure that speaks against the target; weight is in [0, 1].
void noteOutcome(TargetBelief &target, double weight);

/// Whether the target fails so much more often than usual that it gets trials only, and none is
/// due.
bool isShunned(const TargetBelief &target, double usualRatio, Time now);

/// Takes a load told by the target or its agent.
void noteLoad(TargetBelief &target, std::uint32_t running, std::uint32_t waiting, Time now);

} // namespace eelgrasscove
