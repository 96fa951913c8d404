#include "Edge/targetbelief.h"

#include <algorithm>
#include <cmath>

namespace eelgrasscove {

namespace {

using namespace std::chrono_literals;

/// A target that was silent for so long, with requests in work, may stand still. It gets no more
/// than the number of trials below, since what waits for it can't be called back.
constexpr Duration silenceLimit = 1000ms;
constexpr std::uint32_t silentTrials = 2;

/// The same for a target with an agent, which tells its state every 200 ms while it has work: two
/// of its messages may be lost.
constexpr Duration agentSilenceLimit = 450ms;
constexpr std::uint32_t agentSilentTrials = 1;

/// A load told longer ago says less than what this entry has there itself.
constexpr Duration loadGoodFor = 1000ms;

/// Distrust halves in this time, so that a target that was mended is back within seconds.
constexpr Duration distrustHalfLife = 2000ms;

/// Beyond this distrust a target gets no work but trials, for the time below.
constexpr double distrustLimit = 3.0;
constexpr Duration avoidTime = 1000ms;

/// An answer takes this part of the distrust away.
constexpr double successFactor = 0.7;

} // namespace

bool isUsable(const TargetBelief &target, Time now)
{
    if (target.replaced_ || target.listed_.draining_ || target.draining_ || !target.up_)
        return false;
    const std::uint32_t trials = target.agentHeard_ ? agentSilentTrials : silentTrials;
    if (target.outstanding_ >= trials && isSilent(target, now))
        return false;
    return now >= target.avoidUntil_;
}

bool isSilent(const TargetBelief &target, Time now)
{
    return now - target.aliveAt_ > (target.agentHeard_ ? agentSilenceLimit : silenceLimit);
}

void noteSilence(TargetBelief &target, Time now)
{
    if (isSilent(target, now))
        target.avoidUntil_ = std::max(target.avoidUntil_, now + avoidTime);
}

double estimatedLoad(const TargetBelief &target, std::size_t entries, Time now)
{
    const double own = target.outstanding_;
    if (now - target.loadAt_ > loadGoodFor)
        return own * static_cast<double>(entries);
    const double sinceLoad = own - target.outstandingAtLoad_;
    return std::max(own, target.running_ + target.waiting_ + sinceLoad);
}

double distrustOf(const TargetBelief &target, Time now)
{
    if (target.distrust_ == 0)
        return 0;
    const double halfLives = std::chrono::duration<double>(now - target.distrustAt_)
        / std::chrono::duration<double>(distrustHalfLife);
    return target.distrust_ * std::exp2(-halfLives);
}

void noteFailure(TargetBelief &target, double weight, Time now)
{
    target.distrust_ = distrustOf(target, now) + weight;
    target.distrustAt_ = now;
    if (target.distrust_ >= distrustLimit)
        target.avoidUntil_ = now + avoidTime;
}

void noteSuccess(TargetBelief &target, Time now)
{
    if (target.distrust_ == 0)
        return;
    target.distrust_ = distrustOf(target, now) * successFactor;
    target.distrustAt_ = now;
}

void noteLoad(TargetBelief &target, std::uint32_t running, std::uint32_t waiting, Time now)
{
    target.running_ = running;
    target.waiting_ = waiting;
    target.loadAt_ = now;
    target.outstandingAtLoad_ = target.outstanding_;
}

} // namespace eelgrasscove
