#include "Edge/placement.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <xxhash.h>

namespace eelgrasscove {

namespace {

/// Requests that may be queued at a target beyond its slots, as a fraction of the slots: enough to
/// fill a free slot at once. A target serves its queue first come, first served, so during overload
/// the remaining requests wait at the entry, which knows which of them can still meet their
/// objectives.
constexpr double queueFraction = 0.06;
/// The same for plain services, which have short run times and few slots.
constexpr double plainQueueFraction = 0.25;

// Costs are in units of load, as a fraction of the target's slots.

/// Additional cost of a target in another data centre: it is chosen only if its load is lower by
/// this much than that of a target in the entry's own.
constexpr double remoteDataCentreCost = 0.12;

/// Additional cost of a target whose failure ratio is 1.
constexpr double failureCost = 2.0;

/// Maximum fraction of each replica's slots that an adapter's requests occupy; it determines the
/// number of replicas. One replica more costs a load from the weight store; with one fewer,
/// consecutive prefills delay the other streams on the engine.
constexpr double maxReplicaLoad = 0.3;
/// Run time of an average request in a batch of that size.
constexpr double meanRunSeconds = 2.0;

/// Irrespective of its request rate, an adapter gets another replica when the load of its best
/// target exceeds this threshold and the load of a target without the adapter is below the second
/// constant times that load.
constexpr double replicaLoadThreshold = 0.75;
constexpr double replicaTargetLoadFraction = 0.6;

/// Additional cost of each pending adapter load at a target beyond those that it performs
/// concurrently: a further load has to wait for another to end, which makes its request late.
constexpr double pendingLoadCost = 0.5;

/// Fraction of used memory at which a target counts as full, as running requests would soon be
/// preempted beyond it.
constexpr double fullMemoryFraction = 0.92;

/// Additional cost of a target whose streams are all late, in proportion to its excess over the
/// median: a slow target pauses all its streams during prefill at a load that others sustain.
constexpr double lateStreamCost = 1.5;

/// Time for which an engine may have prompts to read, as a fraction of the objective for pauses.
/// The events of its streams wait while it reads, so a second prompt right after another delays
/// them by both. Further requests wait at the entry, where they can still be sent elsewhere or be
/// passed by more urgent ones.
constexpr double pauseFraction = 0.6;

/// The same for a request that would be late if it waited for longer: time for which an engine may
/// have prompts to read before this one, so that it does not run dry between two reports, and as a
/// fraction of the objective for the first event.
constexpr Duration minPromptsAhead = std::chrono::milliseconds(300);
constexpr double promptsAheadFraction = 0.5;
/// Such a request has less than this part of its objective left.
constexpr double urgentFraction = 0.4;

/// Weight of the term for pauses of running streams.
constexpr double pauseCost = 1.0;

/// Median ratios of a service's targets. Faults that all targets have in common, such as failing
/// requests or streams that are late from overload, are not attributed to a single target.
struct MedianRatios
{
    double failures_ = 0;
    double late_ = 0;
    /// Targets are known to differ in pace, or one states that its work takes longer than usual.
    bool isUneven_ = false;
};

double medianOf(const std::vector<TargetState *> &targets, double TargetState::*ratio)
{
    if (targets.empty())
        return 0;
    std::vector<double> ratios;
    ratios.reserve(targets.size());
    for (const TargetState *target : targets)
        ratios.push_back(target->*ratio);
    const auto middle = ratios.begin() + static_cast<std::ptrdiff_t>(ratios.size() / 2);
    std::nth_element(ratios.begin(), middle, ratios.end());
    return *middle;
}

MedianRatios medianRatiosOf(const std::vector<TargetState *> &targets, Time now)
{
    const bool isUneven = std::any_of(targets.begin(), targets.end(), [now](const auto *target) {
        return target->relativePace_ != 1 || transientFactor(target->workTime_, now) != 1;
    });
    return {medianOf(targets, &TargetState::failureRatio_),
            medianOf(targets, &TargetState::lateRatio_), isUneven};
}

/// Returns the target's load as a fraction of its slots or of its usable memory, whichever is
/// higher. share is the part of the slots that counts.
double loadFraction(const TargetState &target, const PlacementQuery &query, Time now,
                    double share = 1)
{
    double load = estimatedLoad(target, query.entries_, now) / (target.listed_.slots_ * share);
    if (target.memoryTokens_ > 0) {
        const double memory =
            static_cast<double>(target.usedTokens_) / static_cast<double>(target.memoryTokens_);
        load = std::max(load, memory / fullMemoryFraction);
    }
    return load;
}

Duration scaled(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(duration * factor);
}

/// Returns the model of the target's first events. That of a target whose pace differs from the
/// others' is its service's, to which paceFactor() applies: its own fit takes the prompts that wait
/// there for a fast target.
const EngineModel &modelOf(const TargetState &target, const EngineModel &serviceModel)
{
    return target.relativePace_ == 1 ? target.engineModel_ : serviceModel;
}

/// Returns the factor of predictions for the target.
double paceFactor(const TargetState &target, Time now)
{
    return target.relativePace_ * transientFactor(target.workTime_, now);
}

/// Predicts the time to the first event at the target of a request with that many prompt tokens.
Duration predictedFirstEvent(const TargetState &target, const PlacementQuery &query, double tokens,
                             Time now)
{
    if (query.serviceModel_ == nullptr)
        return Duration::zero();
    const double unread =
        unreadTokens(target.promptBacklog_, query.serviceModel_->meanPromptTokens_, now);
    return scaled(predictFirstEvent(modelOf(target, *query.serviceModel_), *query.serviceModel_,
                                    unread + tokens),
                  paceFactor(target, now));
}

/// Predicts the time for which the target still reads prompts that it has got. Without any it is
/// zero, whatever has been learned of the target, so that it is tried again after a slow time.
Duration predictedReading(const TargetState &target, const PlacementQuery &query, Time now)
{
    if (query.serviceModel_ == nullptr)
        return Duration::zero();
    const double unread =
        unreadTokens(target.promptBacklog_, query.serviceModel_->meanPromptTokens_, now);
    return scaled(
        predictReading(modelOf(target, *query.serviceModel_), *query.serviceModel_, unread),
        paceFactor(target, now));
}

/// Returns the predicted time to the first event at the target as a part of the objective for
/// pauses or for first events, whichever is shorter: the prompts that the request waits for, and
/// its own, delay the target's streams as well.
double waitFraction(const TargetState &target, const PlacementQuery &query, Time now)
{
    const Duration objective = std::min(query.objective_, query.pauseObjective_);
    if (objective <= Duration::zero())
        return 0;
    const Duration wait = predictedFirstEvent(target, query, query.promptTokens_, now);
    return std::chrono::duration<double>(wait) / std::chrono::duration<double>(objective);
}

/// Whether the request's first event will be late if the request waits for much longer.
bool isUrgent(const PlacementQuery &query)
{
    return query.objectiveLeft_ < query.objective_ * urgentFraction;
}

/// Whether the target may get another prompt before it has read those that it has.
bool mayReadNext(const TargetState &target, const PlacementQuery &query, Time now)
{
    const Duration reading = predictedReading(target, query, now);
    if (query.serviceModel_ == nullptr || reading <= Duration::zero())
        return true;
    const auto part = [](Duration whole, double fraction) {
        return std::chrono::duration_cast<Duration>(whole * fraction);
    };
    if (isUrgent(query))
        return reading <= std::max(minPromptsAhead, part(query.objective_, promptsAheadFraction));
    const Duration own = scaled(predictReading(modelOf(target, *query.serviceModel_),
                                               *query.serviceModel_, query.promptTokens_),
                                paceFactor(target, now));
    return reading + own <= part(query.pauseObjective_, pauseFraction);
}

/// Returns the load of slots and memory, or the part of the objective that passes until the first
/// event, whichever is higher.
double engineLoad(const TargetState &target, const PlacementQuery &query, Time now)
{
    const double slots = loadFraction(target, query, now, capacityShare(target.relativePace_));
    if (query.objective_ <= Duration::zero())
        return slots;
    const Duration wait = predictedFirstEvent(target, query, query.promptTokens_, now);
    return std::max(slots,
                    std::chrono::duration<double>(wait)
                        / std::chrono::duration<double>(query.objective_));
}

/// Whether a request sent now fills capacity of the target rather than waits there.
bool hasRoom(const TargetState &target, const PlacementQuery &query, Time now)
{
    return estimatedLoad(target, query.entries_, now) < requestCapacity(target)
        && mayReadNext(target, query, now);
}

/// Returns whether a request is to be sent to the target, which has its adapter, or for what it
/// waits.
PlacementKind kindOfReady(const TargetState &target, const PlacementQuery &query, Time now)
{
    if (hasRoom(target, query, now))
        return PlacementKind::Send;
    const bool isFull = estimatedLoad(target, query.entries_, now) >= requestCapacity(target);
    return isFull || isUrgent(query) ? PlacementKind::AwaitRoom : PlacementKind::AwaitReading;
}

/// Returns the additional cost of the target for its failures and late streams.
double faultCost(const TargetState &target, const MedianRatios &medians)
{
    return failureCost * target.failureRatio_
        + lateStreamCost * std::max(target.lateRatio_ - medians.late_, 0.0);
}

/// Returns the cost of the pauses that the prompt causes to the streams that run at the target:
/// those streams as a fraction of the slots, times the excess of the time for which the target
/// reads over the part of the objective that reading may take.
double pauseTerm(const TargetState &target, const PlacementQuery &query, Time now)
{
    const auto allowed = std::chrono::duration<double>(query.pauseObjective_) * pauseFraction;
    if (query.serviceModel_ == nullptr || allowed.count() <= 0)
        return 0;
    const std::chrono::duration<double> reading = predictedReading(target, query, now)
        + scaled(predictReading(modelOf(target, *query.serviceModel_), *query.serviceModel_,
                                query.promptTokens_),
                 paceFactor(target, now));
    const double running = static_cast<double>(target.running_) / target.listed_.slots_;
    return pauseCost * running * std::max(reading / allowed - 1, 0.0);
}

double placementCost(const TargetState &target, const PlacementQuery &query,
                     const MedianRatios &medians, Time now)
{
    double cost = loadFraction(target, query, now, capacityShare(target.relativePace_))
        + waitFraction(target, query, now) + faultCost(target, medians);
    if (medians.isUneven_)
        cost += pauseTerm(target, query, now);
    if (target.listed_.dataCentre_ != query.dataCentre_)
        cost += remoteDataCentreCost;
    return cost;
}

bool hasVersion(const TargetState &target, NameHash adapter, std::uint64_t minVersion)
{
    const auto resident = target.adapters_.find(adapter);
    return resident != target.adapters_.end() && resident->second >= minVersion;
}

/// Returns the version that new loads request.
std::uint64_t newestVersion(const PlacementQuery &query)
{
    return std::max(query.minVersion_, query.newestVersion_);
}

/// Whether a request sent now begins on a version that may be used then.
bool hasUsableVersion(const TargetState &target, const PlacementQuery &query, NameHash adapter,
                      Time now)
{
    const auto resident = target.adapters_.find(adapter);
    if (resident == target.adapters_.end() || resident->second < query.minVersion_)
        return false;
    if (query.versions_ == nullptr || resident->second >= query.versions_->newest_)
        return true;
    const Time begin = now + predictedFirstEvent(target, query, query.promptTokens_, now);
    return begin <= beginDeadline(*query.versions_, resident->second, query.versionBound_);
}

bool hasNewestVersion(const TargetState &target, const PlacementQuery &query, NameHash adapter)
{
    return hasVersion(target, adapter, newestVersion(query));
}

bool isLoadPending(const TargetState &target, const PlacementQuery &query, NameHash adapter)
{
    const auto pending = target.incoming_.find(adapter);
    return pending != target.incoming_.end()
        && (pending->second == 0 || pending->second >= newestVersion(query));
}

/// Returns the target's rendezvous hash for an adapter in [0, 1]; the target with the lowest one is
/// preferred, and all entries compute the same. Uses the address, as a restarted target has another
/// id but the same adapters on its disk.
double rendezvousRank(const TargetState &target, XXH64_hash_t adapterHash)
{
    const std::string &address = target.listed_.address_;
    const XXH64_hash_t hash = XXH3_64bits_withSeed(address.data(), address.size(), adapterHash);
    return static_cast<double>(hash)
        / static_cast<double>(std::numeric_limits<XXH64_hash_t>::max());
}

/// Returns the rank of a target that is to get the part share of the adapters that a usual target
/// gets: the lowest of all with a probability in proportion to its share.
double weightedRank(const TargetState &target, XXH64_hash_t adapterHash, double share)
{
    const double rank = rendezvousRank(target, adapterHash);
    return share == 1 ? rank : 1 - std::pow(1 - rank, 1 / share);
}

/// Additional cost of an engine that is still loading its model: most adapters are loaded
/// elsewhere, but when all engines start at once, requests are distributed over all of them from
/// the beginning.
constexpr double modelLoadCost = 1.0;

/// Additional cost of an engine with an older version of the adapter resident: the replacement
/// waits for the requests running on the older version, and meanwhile the engine loads nothing
/// else. Exceeds the sum of all other costs, so that such an engine is chosen only if every engine
/// has the older version.
constexpr double replacementCost = 1000.0;

/// Additional cost of an engine with an older version while another engine has the newest.
constexpr double olderVersionCost = 0.5;

/// Time without a message after which no load requests are sent to an agent.
constexpr Duration agentTimeout = std::chrono::milliseconds(2500);

/// Weight of the rendezvous hash relative to the load in the choice of the target that loads an
/// adapter, per target. Consecutive targets in the rendezvous order are then a third of a full load
/// apart, irrespective of the number of targets. An adapter that its engine has loaded before comes
/// from that VM's memory, ten times as fast, so it moves only from a target that is clearly fuller
/// than the next.
constexpr double rankWeightPerTarget = 1.0 / 3;

TargetState *cheapestLoader(const std::vector<TargetState *> &targets, const PlacementQuery &query,
                            const MedianRatios &medians, Time now)
{
    const NameHash adapter = nameHash(query.adapter_);
    const NameHash model = nameHash(query.model_);
    const XXH64_hash_t adapterHash = XXH3_64bits(query.adapter_.data(), query.adapter_.size());
    const double rankWeight = rankWeightPerTarget * static_cast<double>(targets.size());
    TargetState *best = nullptr;
    double lowestCost = std::numeric_limits<double>::infinity();
    for (TargetState *target : targets) {
        if (hasNewestVersion(*target, query, adapter) || isLoadPending(*target, query, adapter))
            continue;
        const double starting = target->models_.contains(model) ? 0 : modelLoadCost;
        const double pending = static_cast<double>(
            target->incoming_.size() - std::min(target->incoming_.size(), adapterLoadsAtOnce - 1));
        const double replacing = target->adapters_.contains(adapter) ? replacementCost : 0;
        const double share = capacityShare(target->relativePace_);
        // Without remoteDataCentreCost, on which entries in different data centres do not agree.
        const double cost = starting + replacing + loadFraction(*target, query, now, share)
            + waitFraction(*target, query, now) + faultCost(*target, medians)
            + pendingLoadCost * pending + rankWeight * weightedRank(*target, adapterHash, share);
        if (cost < lowestCost) {
            lowestCost = cost;
            best = target;
        }
    }
    return best;
}

/// Whether most targets of a service are missing from the target list: their entries expired
/// together in an outage of the store and will reappear. If only a few are missing, they have shut
/// down.
bool hasListLapsed(const std::vector<TargetState *> &targets)
{
    const auto missing = std::count_if(targets.begin(), targets.end(), [](const auto *target) {
        return target->missingSince_.has_value();
    });
    return static_cast<std::size_t>(missing) * 2 > targets.size();
}

/// Whether the request may run at the target at all, now or later.
bool isPermitted(const TargetState &target, const PlacementQuery &query)
{
    static const RegionTable noRegions;
    return isInHomes(query.homes_, query.regions_ != nullptr ? *query.regions_ : noRegions,
                     target.listed_.dataCentre_);
}

struct Candidates
{
    /// Targets whose agents can be requested to load the adapter, even while the target loads the
    /// model.
    std::vector<TargetState *> loaders_;
    /// Targets with the model.
    std::vector<TargetState *> usable_;
    /// Targets with the model and a usable version of the adapter.
    std::vector<TargetState *> ready_;
    MedianRatios medians_;
    /// A target on which a load of the adapter is pending.
    TargetState *pendingTarget_ = nullptr;
    /// Number of targets on which a load of the adapter is pending.
    std::size_t pendingCount_ = 0;
};

Candidates collectCandidates(const std::vector<TargetState *> &targets, const PlacementQuery &query,
                             Time now)
{
    Candidates candidates;
    candidates.medians_ = medianRatiosOf(targets, now);
    const bool hasLapsed = hasListLapsed(targets);
    const NameHash model = nameHash(query.model_);
    const NameHash adapter = nameHash(query.adapter_);
    for (TargetState *target : targets) {
        if ((target->missingSince_ && !hasLapsed) || !isPermitted(*target, query))
            continue;
        if (!isUsable(*target, now)
            || isExcludedForFailures(*target, candidates.medians_.failures_, now)
            || query.tried_.contains(target->listed_.id_))
            continue;
        if (target->hasAgentReport_ && now - target->agentReportedAt_ < agentTimeout)
            candidates.loaders_.push_back(target);
        if (isLoadPending(*target, query, adapter)) {
            candidates.pendingTarget_ = target;
            ++candidates.pendingCount_;
        }
        if (!query.model_.empty() && !target->models_.contains(model))
            continue;
        candidates.usable_.push_back(target);
        if (query.adapter_.empty() || hasUsableVersion(*target, query, adapter, now))
            candidates.ready_.push_back(target);
    }
    return candidates;
}

/// Decides for a request without a candidate whether one is to be expected.
Placement placeWithoutCandidates(const std::vector<TargetState *> &targets,
                                 const PlacementQuery &query, Time now)
{
    Placement placement;
    const bool hasLapsed = hasListLapsed(targets);
    for (const TargetState *target : targets) {
        if ((target->missingSince_ && !hasLapsed) || !isPermitted(*target, query))
            continue;
        const TargetExclusion exclusion = exclusionOf(*target, now);
        const bool isPaused = exclusion == TargetExclusion::Paused;
        if (isPaused || exclusion == TargetExclusion::ColdLimited) {
            const Duration left =
                (isPaused ? target->notice_.pausedUntil_ : coldSendAt(target->cold_, now)) - now;
            if (placement.kind_ != PlacementKind::None && left >= placement.pauseLeft_)
                continue;
            placement.pauseLeft_ = left;
            placement.kind_ = isPaused ? PlacementKind::AwaitPauseEnd : PlacementKind::AwaitQuota;
        } else if (!declinesRequests(exclusion)) {
            return {.kind_ = PlacementKind::AwaitTarget};
        }
    }
    return placement;
}

/// Whether one of the ready targets has the newest version of the request's adapter.
bool isNewestReady(const Candidates &candidates, const PlacementQuery &query)
{
    const NameHash adapter = nameHash(query.adapter_);
    return query.adapter_.empty()
        || std::any_of(candidates.ready_.begin(), candidates.ready_.end(), [&](const auto *target) {
               return hasNewestVersion(*target, query, adapter);
           });
}

/// Returns the ready target with the lowest cost, one with room before any without; null if there
/// is none. The target that is to replace its older version costs as much as one with an older
/// version, as the requests running there have to end first.
TargetState *cheapestReady(const Candidates &candidates, const PlacementQuery &query,
                           bool hasReadyNewest, const TargetState *replacing, Time now)
{
    const NameHash adapter = nameHash(query.adapter_);
    TargetState *cheapest = nullptr;
    bool hasCheapestRoom = false;
    double lowestCost = std::numeric_limits<double>::infinity();
    for (TargetState *target : candidates.ready_) {
        const bool isRoomy = hasRoom(*target, query, now);
        double cost = placementCost(*target, query, candidates.medians_, now);
        const bool isOutdated =
            hasReadyNewest && !query.adapter_.empty() && !hasNewestVersion(*target, query, adapter);
        if (isOutdated || target == replacing)
            cost += olderVersionCost;
        if (isRoomy != hasCheapestRoom ? isRoomy : cost < lowestCost) {
            lowestCost = cost;
            cheapest = target;
            hasCheapestRoom = isRoomy;
        }
    }
    return cheapest;
}

/// Whether the adapter of a request that can be placed needs another replica.
bool needsReplica(const Candidates &candidates, const PlacementQuery &query,
                  const Placement &placement)
{
    if (query.adapter_.empty())
        return false;
    const double running = query.requestsPerSecond_ * meanRunSeconds;
    const TargetState &target = *placement.target_;
    const double capacity = target.listed_.slots_ * capacityShare(target.relativePace_);
    const double replicas = running / (capacity * maxReplicaLoad);
    if (static_cast<double>(candidates.ready_.size() + candidates.pendingCount_) < replicas)
        return true;
    return (placement.load_ > replicaLoadThreshold || placement.kind_ == PlacementKind::AwaitRoom)
        && candidates.pendingTarget_ == nullptr;
}

} // namespace

double requestCapacity(const TargetState &target)
{
    return target.listed_.slots_
        * (1 + (target.hasAgentReport_ ? queueFraction : plainQueueFraction));
}

Placement choosePlacement(const std::vector<TargetState *> &targets, const PlacementQuery &query,
                          Time now)
{
    const Candidates candidates = collectCandidates(targets, query, now);
    if (candidates.usable_.empty() && (query.adapter_.empty() || candidates.loaders_.empty()))
        return placeWithoutCandidates(targets, query, now);
    Placement placement;
    const bool hasReadyNewest = isNewestReady(candidates, query);
    if (!hasReadyNewest && candidates.pendingTarget_ == nullptr && !candidates.ready_.empty())
        placement.replicaTarget_ =
            cheapestLoader(candidates.loaders_, query, candidates.medians_, now);
    placement.target_ =
        cheapestReady(candidates, query, hasReadyNewest, placement.replicaTarget_, now);
    if (placement.target_ != nullptr) {
        placement.load_ = engineLoad(*placement.target_, query, now);
        placement.firstEvent_ =
            predictedFirstEvent(*placement.target_, query, query.promptTokens_, now);
        placement.kind_ = kindOfReady(*placement.target_, query, now);
        if (placement.replicaTarget_ == nullptr && needsReplica(candidates, query, placement)) {
            TargetState *replica =
                cheapestLoader(candidates.loaders_, query, candidates.medians_, now);
            if (replica != nullptr
                && engineLoad(*replica, query, now) < replicaTargetLoadFraction * placement.load_)
                placement.replicaTarget_ = replica;
        }
        return placement;
    }
    placement.target_ = candidates.pendingTarget_ != nullptr
        ? candidates.pendingTarget_
        : cheapestLoader(candidates.loaders_, query, candidates.medians_, now);
    placement.kind_ =
        placement.target_ != nullptr ? PlacementKind::AwaitAdapter : PlacementKind::None;
    return placement;
}

} // namespace eelgrasscove
