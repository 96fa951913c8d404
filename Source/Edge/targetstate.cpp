#include "Edge/targetstate.h"

#include "Peer/streamorigin.h"

#include <algorithm>
#include <xxhash.h>

namespace eelgrasscove {

namespace {

using namespace std::chrono_literals;

/// A target that has been silent for this long with requests outstanding may be frozen.
constexpr Duration silenceLimit = 1000ms;
/// Maximum number of outstanding requests at a silent target, since requests sent to it cannot be
/// recalled.
constexpr std::uint32_t maxRequestsWhileSilent = 2;

/// The same limits for a target with an agent, which reports its state every 200 ms while it has
/// work: two consecutive reports may be lost.
constexpr Duration agentSilenceLimit = 450ms;
constexpr std::uint32_t agentMaxRequestsWhileSilent = 1;

/// A load report older than this is less accurate than an estimate from this entry's own
/// outstanding requests.
constexpr Duration loadReportTimeout = 1000ms;

/// Period for which a frozen target gets no requests.
constexpr Duration avoidancePeriod = 1000ms;

/// Weight of one response in the moving average of failures: about the last dozen responses count.
constexpr double outcomeWeight = 0.15;

/// A target whose failure ratio exceeds the median of its service by this much gets at most one
/// trial request per period, until a few successful trials have lowered its ratio again.
constexpr double maxExcessFailureRatio = 0.25;
constexpr Duration trialPeriod = 300ms;

} // namespace

TargetExclusion exclusionOf(const TargetState &target, Time now)
{
    if (target.isReplaced_)
        return TargetExclusion::Replaced;
    if (target.isEvacuated_)
        return TargetExclusion::Evacuated;
    if (target.listed_.draining_ || target.notice_.leaving_ == LeavingSource::List)
        return TargetExclusion::ListedAsLeaving;
    if (target.isDraining_ || target.notice_.leaving_ == LeavingSource::Report)
        return TargetExclusion::ReportedAsLeaving;
    if (target.notice_.leaving_)
        return TargetExclusion::RespondedAsLeaving;
    if (isPaused(target.notice_, now))
        return TargetExclusion::Paused;
    if (!target.isUp_)
        return TargetExclusion::Down;
    if (isTrialPending(target.notice_, now))
        return TargetExclusion::OnTrial;
    const std::uint32_t maxRequests =
        target.hasAgentReport_ ? agentMaxRequestsWhileSilent : maxRequestsWhileSilent;
    if (target.outstanding_ >= maxRequests && isSilent(target, now))
        return TargetExclusion::Silent;
    if (now < target.avoidUntil_)
        return TargetExclusion::Avoided;
    return isColdLimited(target.cold_, now) ? TargetExclusion::ColdLimited : TargetExclusion::None;
}

bool isUsable(const TargetState &target, Time now)
{
    return exclusionOf(target, now) == TargetExclusion::None;
}

bool declinesRequests(TargetExclusion exclusion)
{
    switch (exclusion) {
    case TargetExclusion::Replaced:
    case TargetExclusion::Evacuated:
    case TargetExclusion::ListedAsLeaving:
    case TargetExclusion::ReportedAsLeaving:
    case TargetExclusion::RespondedAsLeaving:
    case TargetExclusion::Paused:
        return true;
    case TargetExclusion::None:
    case TargetExclusion::OnTrial:
    case TargetExclusion::Down:
    case TargetExclusion::Silent:
    case TargetExclusion::Avoided:
    case TargetExclusion::ColdLimited:
        return false;
    }
    return false;
}

bool isSilent(const TargetState &target, Time now)
{
    return now - target.lastContactAt_
        > (target.hasAgentReport_ ? agentSilenceLimit : silenceLimit);
}

bool isAgentSilent(const TargetState &target, Time now)
{
    return !target.hasAgentReport_ || now - target.agentReportedAt_ > agentSilenceLimit;
}

void recordSilence(TargetState &target, Time now)
{
    if (isSilent(target, now))
        target.avoidUntil_ = std::max(target.avoidUntil_, now + avoidancePeriod);
}

double estimatedLoad(const TargetState &target, std::size_t entries, Time now)
{
    const double own = target.outstanding_;
    if (now - target.loadReportedAt_ > loadReportTimeout)
        return own * static_cast<double>(entries);
    const double sentSinceReport = own - target.outstandingAtReport_;
    return std::max(own, target.running_ + target.waiting_ + sentSinceReport);
}

void recordOutcome(TargetState &target, double weight)
{
    target.failureRatio_ += (weight - target.failureRatio_) * outcomeWeight;
}

bool isExcludedForFailures(const TargetState &target, double medianRatio, Time now)
{
    return target.failureRatio_ > medianRatio + maxExcessFailureRatio
        && now - target.lastSentAt_ < trialPeriod;
}

NameHash softwareVersionOf(const TargetState &target)
{
    const bool isListOutdated = target.hasAgentReport_ && target.startedAt_ != 0
        && target.listed_.startedAt_ != 0 && target.startedAt_ != target.listed_.startedAt_;
    if (isListOutdated || target.isReplaced_)
        return 0;
    return softwareVersionHash(target.listed_.service_, target.listed_.softwareVersion_);
}

CrashId crashIdOf(const TargetState &target)
{
    // Both are the target's own start time; the list lags behind the agent.
    const std::uint64_t startedAt = std::max(target.listed_.startedAt_, target.startedAt_);
    return XXH32(&startedAt, sizeof startedAt, nameHash(target.listed_.id_));
}

void recordLoad(TargetState &target, std::uint32_t running, std::uint32_t waiting, Time now)
{
    target.running_ = running;
    target.waiting_ = waiting;
    target.loadReportedAt_ = now;
    target.outstandingAtReport_ = target.outstanding_;
}

} // namespace eelgrasscove
