#include "Edge/crashevidence.h"

#include <algorithm>
#include <cmath>

namespace eelgrasscove {

namespace {

using namespace std::chrono_literals;

/// Crashes within this time are one event: agents report the crashes of one cause within
/// some 100 ms, and a crashed target takes 3 s and more to return.
constexpr Duration eventSpan = 1s;

/// Half of the period over which responses are counted; the counts cover 30 to 60 s.
constexpr Duration countingHalfPeriod = 30s;
/// Parts counted in half a period. With more, the half ends early.
constexpr std::size_t maxCountedParts = 4096;

/// A suspect is held only if the probability of its presence by chance is below this: some
/// ten parts of an account are at the crashes of an event, and events are rare.
constexpr double maxChance = 1e-3;
/// Events without a sound response between them from which on presence is not considered chance.
/// With two, the parts of an account whose targets all crash twice would be held.
constexpr std::size_t maxChanceEvents = 3;
/// Crashes of one event that are kept of a suspect that has been sound: more than those after which
/// it gets no trial. Of the crashes that a record holds, those of one event leave room for others.
constexpr std::uint32_t maxCrashesPerEvent = 6;

/// Number of crashes from which an event may have a common cause, and the share of them at which a
/// part that causes them is present. A third leaves room for two other causes in the same second.
constexpr std::size_t minCrowdCrashes = 4;
constexpr std::size_t crowdShareDivisor = 3;

/// Crashes of the fleet that are kept. More than all targets of the largest known fleet.
constexpr std::size_t maxFleetCrashes = 512;
/// Time for which they are kept. Longer than a crash takes to become known to all entries.
constexpr Duration fleetCrashRetention = 60s;

} // namespace

void countSoundParts(CrashEvidence &evidence, const std::vector<std::uint64_t> &parts, Time now)
{
    if (parts.empty())
        return;
    if (now - evidence.current_.since_ >= countingHalfPeriod
        || evidence.current_.responses_.size() >= maxCountedParts) {
        const bool isRecent = now - evidence.current_.since_ < 2 * countingHalfPeriod;
        evidence.previous_ = isRecent ? std::move(evidence.current_) : PartCounts{};
        evidence.current_ = {};
        evidence.current_.since_ = now;
    }
    ++evidence.current_.total_;
    for (const std::uint64_t part : parts)
        ++evidence.current_.responses_[part];
}

void recordFleetCrash(CrashEvidence &evidence, CrashId crash, std::uint32_t requests, Time now)
{
    std::erase_if(evidence.crashes_, [&](const FleetCrash &each) {
        return now - each.at_ > fleetCrashRetention || each.crash_ == crash;
    });
    if (evidence.crashes_.size() >= maxFleetCrashes)
        evidence.crashes_.erase(evidence.crashes_.begin());
    evidence.crashes_.push_back({crash, requests, now});
}

namespace {

const FleetCrash *findCrash(const CrashEvidence &evidence, CrashId crash)
{
    const auto found =
        std::find_if(evidence.crashes_.begin(), evidence.crashes_.end(),
                     [crash](const FleetCrash &each) { return each.crash_ == crash; });
    return found == evidence.crashes_.end() ? nullptr : &*found;
}

} // namespace

double chanceAtCrash(const CrashEvidence &evidence, std::uint64_t part, CrashId crash)
{
    double responses = 0;
    for (const PartCounts *counts : {&evidence.current_, &evidence.previous_}) {
        if (const auto found = counts->responses_.find(part); found != counts->responses_.end())
            responses += found->second;
    }
    if (responses == 0)
        return 0;
    const double frequency = responses / (evidence.current_.total_ + evidence.previous_.total_);
    const FleetCrash *known = findCrash(evidence, crash);
    const std::uint32_t requests = known == nullptr ? 1 : std::max(known->requests_, 1U);
    return 1 - std::pow(1 - frequency, requests);
}

Time crashTime(const CrashEvidence &evidence, CrashId crash, Time now)
{
    const FleetCrash *known = findCrash(evidence, crash);
    return known == nullptr ? now : known->at_;
}

bool addCrash(SuspectEvents &events, double chance, Time crashedAt)
{
    const auto event = std::find_if(events.begin(), events.end(), [=](const SuspectEvent &each) {
        return crashedAt - each.beganAt_ < eventSpan && each.beganAt_ - crashedAt < eventSpan;
    });
    if (event == events.end()) {
        if (events.size() < maxChanceEvents)
            events.push_back({crashedAt, chance, 1});
        return true;
    }
    event->chance_ = std::max(event->chance_, chance);
    return ++event->crashes_ <= maxCrashesPerEvent;
}

double chanceOf(const SuspectEvents &events)
{
    double chance = 1;
    for (const SuspectEvent &event : events)
        chance *= event.chance_;
    return chance;
}

bool isLikelyChance(const SuspectEvents &events)
{
    return !events.empty() && events.size() < maxChanceEvents && chanceOf(events) >= maxChance;
}

std::size_t countedCrashes(const CrashEvidence &evidence, const std::vector<CrashId> &crashes)
{
    std::size_t count = crashes.size();
    const auto end = evidence.crashes_.end();
    for (auto first = evidence.crashes_.begin(); first != end;) {
        const auto last = std::find_if(first, end, [first](const FleetCrash &each) {
            return each.at_ - first->at_ >= eventSpan;
        });
        const auto size = static_cast<std::size_t>(last - first);
        const auto present =
            static_cast<std::size_t>(std::count_if(first, last, [&](const FleetCrash &each) {
                return std::binary_search(crashes.begin(), crashes.end(), each.crash_);
            }));
        if (size >= minCrowdCrashes && present > 1 && present * crowdShareDivisor < size)
            count -= present - 1;
        first = last;
    }
    return count;
}

} // namespace eelgrasscove
