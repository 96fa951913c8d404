#include "Edge/targetbelief.h"

#include <algorithm>

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

/// Time for which a target that stands still is left alone.
constexpr Duration avoidTime = 1000ms;

/// Weight of one answer in the ratio of failures: the last dozen count.
constexpr double answerWeight = 0.15;

/// A target that fails by this much more often than the others of its service gets a trial at most
/// this often; a few sound trials bring it back.
constexpr double shunnedAbove = 0.25;
constexpr Duration trialPeriod = 300ms;

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

void noteOutcome(TargetBelief &target, double weight)
{
    target.failureRatio_ += (weight - target.failureRatio_) * answerWeight;
}

bool isShunned(const TargetBelief &target, double usualRatio, Time now)
{
    return target.failureRatio_ > usualRatio + shunnedAbove
        && now - target.lastSentAt_ < trialPeriod;
}

void noteLoad(TargetBelief &target, std::uint32_t running, std::uint32_t waiting, Time now)
{
    target.running_ = running;
    target.waiting_ = waiting;
    target.loadAt_ = now;
    target.outstandingAtLoad_ = target.outstanding_;
}

} // namespace eelgrasscove
