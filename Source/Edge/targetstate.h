#pragma once

/// Holds what an entry knows of a target from the target list, the agent on the target's VM and the
/// target's responses, and decides whether requests may be sent to the target. Pure functions: no
/// clock, I/O or threads.

#include "Edge/coldtarget.h"
#include "Edge/enginemodel.h"
#include "Edge/targetnotice.h"
#include "Edge/targetpace.h"
#include "Net/tcpstream.h"
#include "Peer/namehash.h"
#include "Peer/peermessages.h"

#include <eelgrasscove/serving.h>

#include <map>
#include <set>
#include <string>

namespace eelgrasscove {

struct TargetState
{
    ListedTarget listed_;
    Endpoint endpoint_;
    /// Time at which the target disappeared from the target list; it may reappear after an outage
    /// of the store.
    std::optional<Time> missingSince_;
    /// Another target has taken over its address, though the list still contains this one.
    bool isReplaced_ = false;
    /// Its data centre is evacuated, as the operators' keys say.
    bool isEvacuated_ = false;
    /// What this instance has said about the requests that it wants.
    TargetNotice notice_;
    /// The cold time, this entry's share of the limit in it, and its recent sends.
    ColdTarget cold_;

    // Reported by the agent, where there is one.
    /// A report of the agent has been received.
    bool hasAgentReport_ = false;
    /// Time of the agent's last report.
    Time agentReportedAt_;
    std::uint64_t stateNumber_ = 0;
    std::uint64_t startedAt_ = 0;
    bool isUp_ = true;
    bool isDraining_ = false;
    std::uint32_t usedTokens_ = 0;
    std::uint32_t memoryTokens_ = 0;
    std::uint32_t pendingLoads_ = 0;
    std::uint64_t residencyNumber_ = 0;
    /// Fraction of the target's most recent streams, over all entries, that were late.
    double lateRatio_ = 0;
    /// Typical time between two events of a stream, see encodePace(); 0 while it is not known.
    std::uint8_t pace_ = 0;
    /// The same relative to the other targets of the service.
    double relativePace_ = 1;
    /// The relative pace has been set as a metric.
    bool hasPaceMetric_ = false;

    // Reported by the agent; without an agent, by the target list and the target's responses.
    /// Versions of the resident adapters, by name hash.
    std::map<NameHash, std::uint64_t> adapters_;
    /// Versions of the adapters being loaded or requested, by name hash; 0 where not known.
    std::map<NameHash, std::uint64_t> incoming_;
    std::set<NameHash> models_;

    // Reported by the agent, or as the load in the target's responses.
    std::uint32_t running_ = 0;
    std::uint32_t waiting_ = 0;
    Time loadReportedAt_;
    /// How long work takes at present; from the target's responses only.
    WorkTime workTime_;

    // Recorded by this entry.
    /// Requests of this entry that were sent to the target and have not ended.
    std::uint32_t outstanding_ = 0;
    /// outstanding_ at the time of the last load report.
    std::uint32_t outstandingAtReport_ = 0;
    /// Engines only: the learned speed, and the prompts that the engine has not read.
    EngineModel engineModel_;
    PromptBacklog promptBacklog_;
    /// Time of the last message from the target or its agent.
    Time lastContactAt_;
    /// Fraction of failures among the most recent responses.
    double failureRatio_ = 0;
    /// No request is sent before this time.
    Time avoidUntil_;
    Time lastSentAt_;
};

/// Why a target gets no requests.
enum class TargetExclusion {
    /// It may get requests.
    None,
    /// Another target has taken over its address.
    Replaced,
    /// Its data centre is evacuated.
    Evacuated,
    /// The target list says that it leaves.
    ListedAsLeaving,
    /// Its agent says that it leaves.
    ReportedAsLeaving,
    /// It has said in a response that it leaves.
    RespondedAsLeaving,
    /// It has said in a response that it wants no requests for a time, which has not passed.
    Paused,
    /// Its pause has ended, and it has not responded to the first requests since.
    OnTrial,
    /// Its agent says that it doesn't respond.
    Down,
    /// Nothing has been received from it for longer than is possible while it works on requests.
    Silent,
    /// It was silent recently.
    Avoided,
    /// It is cold, and this entry has no quota or has used it up.
    ColdLimited,
};

constexpr NameTable<TargetExclusion, 12> targetExclusionNames = {{
    {TargetExclusion::None, "none"},
    {TargetExclusion::Replaced, "replaced"},
    {TargetExclusion::Evacuated, "evacuated"},
    {TargetExclusion::ListedAsLeaving, "listed_as_leaving"},
    {TargetExclusion::ReportedAsLeaving, "reported_as_leaving"},
    {TargetExclusion::RespondedAsLeaving, "responded_as_leaving"},
    {TargetExclusion::Paused, "paused"},
    {TargetExclusion::OnTrial, "on_trial"},
    {TargetExclusion::Down, "down"},
    {TargetExclusion::Silent, "silent"},
    {TargetExclusion::Avoided, "avoided"},
    {TargetExclusion::ColdLimited, "cold_limited"},
}};

/// Returns why the target may get no requests, irrespective of its load and failures. Requests,
/// queued ones and load requests are all sent by this decision.
TargetExclusion exclusionOf(const TargetState &target, Time now);

/// Whether new requests may be sent to the target, irrespective of its load and failures.
bool isUsable(const TargetState &target, Time now);

/// Whether the target is sound but takes no requests, so that one that has not gone out to it yet
/// is to be placed anew.
bool declinesRequests(TargetExclusion exclusion);

/// Whether nothing has been received from the target or its agent for longer than is possible while
/// the target works.
bool isSilent(const TargetState &target, Time now);

/// Whether the target has no agent, or its agent hasn't reported for longer than is possible while
/// the target works.
bool isAgentSilent(const TargetState &target, Time now);

/// Records that a request ended without a response; avoids the target for a while if it is silent.
void recordSilence(TargetState &target, Time now);

/// Estimates the requests running and waiting at the target from its last load report and the
/// requests that this entry has sent since. entries is the number of entries.
double estimatedLoad(const TargetState &target, std::size_t entries, Time now);

/// Records a response (weight 0) or a failure attributed to the target (weight up to 1).
void recordOutcome(TargetState &target, double weight);

/// Whether the target fails so much more often than usual that it gets trial requests only, and no
/// trial is due. medianRatio is the median failure ratio of the service's targets.
bool isExcludedForFailures(const TargetState &target, double medianRatio, Time now);

/// Returns the hash of the software version of the target's present process; 0 if it isn't known,
/// as while the list shows an earlier process than the agent.
NameHash softwareVersionOf(const TargetState &target);

/// Identifies the target instance in reports of its crash; equal at all entries.
CrashId crashIdOf(const TargetState &target);

/// Records a load reported by the target or its agent.
void recordLoad(TargetState &target, std::uint32_t running, std::uint32_t waiting, Time now);

} // namespace eelgrasscove
