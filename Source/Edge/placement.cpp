#include "Edge/placement.h"

#include <algorithm>
#include <limits>
#include <xxhash.h>

namespace eelgrasscove {

namespace {

/// Requests that may wait at a target beyond its slots, as a part of the slots: enough that a slot
/// that falls free is taken at once. A target serves its queue first come, first served, so where
/// more is asked than all can do the rest waits at the entry, which can tell who is still in time.
constexpr double waitingPart = 0.06;
/// The same for plain services, whose runs are short and whose slots are few.
constexpr double plainWaitingPart = 0.25;

/// Load, as a part of the slots, that a target in another data centre must be below one at home.
constexpr double distanceCost = 0.12;

/// Load that a target counts as that fails always.
constexpr double failureCost = 2.0;

/// An adapter has as many copies as keep its requests below this part of each one's slots. A copy
/// more costs a load from the store of weights; one less, and prompts read one after the other hold
/// up the streams beside them.
constexpr double copyLoad = 0.3;
/// A run of average length in a batch of that size.
constexpr double runSeconds = 2.0;

/// Whatever an adapter's own demand, it gets another copy when its best target has more than this
/// load, and a target without it has less than the part given of that load.
constexpr double copyAbove = 0.75;
constexpr double copyBelowPart = 0.6;

/// Load that each adapter counts as that is on its way to a target beyond what it loads at once:
/// the next one waits for a load to end, and its request is late then.
constexpr double pendingLoadCost = 0.5;

/// Used memory beyond which a target counts as full: what runs there would soon be preempted.
constexpr double memoryFull = 0.92;

/// Load that a target counts as whose streams are always late, beyond what is usual at present: a
/// slow one pauses every stream while it reads prompts, at a load that others carry with ease.
constexpr double lateCost = 1.5;

/// Ratios that half of the targets stay below: what all have alike, such as failures of the
/// requests themselves or streams late by overload, speaks against none.
struct UsualRatios
{
    double failures_ = 0;
    double late_ = 0;
};

double medianOf(const std::vector<TargetBelief *> &targets, double TargetBelief::*ratio)
{
    if (targets.empty())
        return 0;
    std::vector<double> ratios;
    ratios.reserve(targets.size());
    for (const TargetBelief *target : targets)
        ratios.push_back(target->*ratio);
    const auto middle = ratios.begin() + static_cast<std::ptrdiff_t>(ratios.size() / 2);
    std::nth_element(ratios.begin(), middle, ratios.end());
    return *middle;
}

UsualRatios usualRatiosOf(const std::vector<TargetBelief *> &targets)
{
    return {medianOf(targets, &TargetBelief::failureRatio_),
            medianOf(targets, &TargetBelief::lateRatio_)};
}

double loadPart(const TargetBelief &target, const PlaceQuery &query, Time now)
{
    double load = estimatedLoad(target, query.entries_, now) / target.listed_.slots_;
    if (target.memoryTokens_ > 0) {
        const double memory =
            static_cast<double>(target.usedTokens_) / static_cast<double>(target.memoryTokens_);
        load = std::max(load, memory / memoryFull);
    }
    return load;
}

/// Load that what is known against the target counts as.
double faultCost(const TargetBelief &target, const UsualRatios &usual)
{
    return failureCost * target.failureRatio_
        + lateCost * std::max(target.lateRatio_ - usual.late_, 0.0);
}

double costOf(const TargetBelief &target, const PlaceQuery &query, const UsualRatios &usual,
              Time now)
{
    double cost = loadPart(target, query, now) + faultCost(target, usual);
    if (target.listed_.dataCentre_ != query.dataCentre_)
        cost += distanceCost;
    return cost;
}

bool holds(const TargetBelief &target, NameMark adapter, std::uint64_t leastVersion)
{
    const auto held = target.adapters_.find(adapter);
    return held != target.adapters_.end() && held->second >= leastVersion;
}

/// The version that new loads are for.
std::uint64_t newestOf(const PlaceQuery &query)
{
    return std::max(query.leastVersion_, query.newestVersion_);
}

bool hasAdapter(const TargetBelief &target, const PlaceQuery &query, NameMark adapter)
{
    return holds(target, adapter, query.leastVersion_);
}

bool hasNewest(const TargetBelief &target, const PlaceQuery &query, NameMark adapter)
{
    return holds(target, adapter, newestOf(query));
}

bool awaitsAdapter(const TargetBelief &target, const PlaceQuery &query, NameMark adapter)
{
    const auto coming = target.incoming_.find(adapter);
    return coming != target.incoming_.end()
        && (coming->second == 0 || coming->second >= newestOf(query));
}

/// The order in which targets are home to an adapter; all entries compute the same. By address, as
/// a target that starts anew has another id and the same copies on its disk.
double homeRank(const TargetBelief &target, XXH64_hash_t adapterHash)
{
    const std::string &place = target.listed_.address_;
    const XXH64_hash_t hash = XXH3_64bits_withSeed(place.data(), place.size(), adapterHash);
    return static_cast<double>(hash)
        / static_cast<double>(std::numeric_limits<XXH64_hash_t>::max());
}

/// Load that an engine counts as that is still loading its model: most adapters find another home,
/// but where all start at once their requests are spread over all of them from the first.
constexpr double startingCost = 1.0;

/// Load that an engine counts as that holds an older version of the adapter: a replacement waits
/// for the runs of the older one, and meanwhile the engine loads nothing else. More than all else
/// together, so that it is chosen only where every engine holds the older one.
constexpr double replacementCost = 1000.0;

/// Load that an engine with an older version counts as while another has the newest.
constexpr double olderVersionCost = 0.5;

/// An agent that was silent for longer can't be asked to load anything.
constexpr Duration agentGoodFor = std::chrono::milliseconds(2500);

/// Weight of the home rank beside a target's load where an adapter is to be loaded, for each
/// target: the next home is then a third of a full load behind, however many targets there are. An
/// adapter that its engine has had before comes from that VM's memory, ten times as fast, so it
/// moves only away from a target that is clearly fuller than the next.
constexpr double homeWeightOfEach = 1.0 / 3;

TargetBelief *bestToLoad(const std::vector<TargetBelief *> &targets, const PlaceQuery &query,
                         const UsualRatios &usual, Time now)
{
    const NameMark adapter = markOf(query.adapter_);
    const NameMark model = markOf(query.model_);
    const XXH64_hash_t adapterHash = XXH3_64bits(query.adapter_.data(), query.adapter_.size());
    const double homeWeight = homeWeightOfEach * static_cast<double>(targets.size());
    TargetBelief *best = nullptr;
    double least = std::numeric_limits<double>::infinity();
    for (TargetBelief *target : targets) {
        if (hasNewest(*target, query, adapter) || awaitsAdapter(*target, query, adapter))
            continue;
        const double starting = target->models_.contains(model) ? 0 : startingCost;
        const double pending = static_cast<double>(
            target->incoming_.size() - std::min(target->incoming_.size(), adapterLoadsAtOnce - 1));
        // Without the distance, on which entries in different data centres wouldn't agree.
        const double replacing = target->adapters_.contains(adapter) ? replacementCost : 0;
        const double cost = starting + replacing + loadPart(*target, query, now)
            + faultCost(*target, usual) + pendingLoadCost * pending
            + homeWeight * homeRank(*target, adapterHash);
        if (cost < least) {
            least = cost;
            best = target;
        }
    }
    return best;
}

/// Whether the list has lost most targets of a service: their entries lapsed together in an outage
/// of the store, and come back. A few that are missing have left.
bool hasListLapsed(const std::vector<TargetBelief *> &targets)
{
    const auto missing = std::count_if(targets.begin(), targets.end(), [](const auto *target) {
        return target->missingSince_.has_value();
    });
    return static_cast<std::size_t>(missing) * 2 > targets.size();
}

struct Candidates
{
    /// Those that may be asked to load the adapter, also while they load the model.
    std::vector<TargetBelief *> loaders_;
    std::vector<TargetBelief *> usable_;
    std::vector<TargetBelief *> able_;
    UsualRatios usual_;
    TargetBelief *awaited_ = nullptr;
    /// How many targets await the adapter.
    std::size_t awaiting_ = 0;
};

Candidates candidatesOf(const std::vector<TargetBelief *> &targets, const PlaceQuery &query,
                        Time now)
{
    Candidates candidates;
    candidates.usual_ = usualRatiosOf(targets);
    const bool lapsed = hasListLapsed(targets);
    const NameMark model = markOf(query.model_);
    const NameMark adapter = markOf(query.adapter_);
    for (TargetBelief *target : targets) {
        if (target->missingSince_ && !lapsed)
            continue;
        if (!isUsable(*target, now) || isShunned(*target, candidates.usual_.failures_, now)
            || query.tried_.contains(target->listed_.id_))
            continue;
        if (target->agentHeard_ && now - target->heardAt_ < agentGoodFor)
            candidates.loaders_.push_back(target);
        if (awaitsAdapter(*target, query, adapter)) {
            candidates.awaited_ = target;
            ++candidates.awaiting_;
        }
        if (!query.model_.empty() && !target->models_.contains(model))
            continue;
        candidates.usable_.push_back(target);
        if (query.adapter_.empty() || hasAdapter(*target, query, adapter))
            candidates.able_.push_back(target);
    }
    return candidates;
}

/// Whether one of the able targets has the newest version of what the request needs.
bool canServeNewest(const Candidates &candidates, const PlaceQuery &query)
{
    const NameMark adapter = markOf(query.adapter_);
    return query.adapter_.empty()
        || std::any_of(candidates.able_.begin(), candidates.able_.end(),
                       [&](const auto *target) { return hasNewest(*target, query, adapter); });
}

/// The best of the able targets; null where there is none. One that is to replace its older version
/// counts like one with an older version, as its runs have to end first.
TargetBelief *cheapestOf(const Candidates &candidates, const PlaceQuery &query, bool newestServes,
                         const TargetBelief *replacing, Time now)
{
    const NameMark adapter = markOf(query.adapter_);
    TargetBelief *cheapest = nullptr;
    double least = std::numeric_limits<double>::infinity();
    for (TargetBelief *target : candidates.able_) {
        double cost = costOf(*target, query, candidates.usual_, now);
        const bool older =
            newestServes && !query.adapter_.empty() && !hasNewest(*target, query, adapter);
        if (older || target == replacing)
            cost += olderVersionCost;
        if (cost < least) {
            least = cost;
            cheapest = target;
        }
    }
    return cheapest;
}

/// Whether the adapter of a request that can be placed needs another copy.
bool needsCopy(const Candidates &candidates, const PlaceQuery &query, const Place &place)
{
    if (query.adapter_.empty())
        return false;
    const double running = query.askedPerSecond_ * runSeconds;
    const double copies = running / (place.target_->listed_.slots_ * copyLoad);
    if (static_cast<double>(candidates.able_.size() + candidates.awaiting_) < copies)
        return true;
    return place.load_ > copyAbove && candidates.awaited_ == nullptr;
}

} // namespace

double roomOf(const TargetBelief &target)
{
    return target.listed_.slots_ * (1 + (target.agentHeard_ ? waitingPart : plainWaitingPart));
}

Place choosePlace(const std::vector<TargetBelief *> &targets, const PlaceQuery &query, Time now)
{
    const Candidates candidates = candidatesOf(targets, query, now);
    Place place;
    if (candidates.usable_.empty() && (query.adapter_.empty() || candidates.loaders_.empty())) {
        const bool any = std::any_of(targets.begin(), targets.end(), [](const auto *target) {
            return !target->replaced_ && !target->listed_.draining_ && !target->draining_;
        });
        place.kind_ = any ? PlaceKind::AwaitTarget : PlaceKind::None;
        return place;
    }
    const bool newestServes = canServeNewest(candidates, query);
    if (!newestServes && candidates.awaited_ == nullptr && !candidates.able_.empty())
        place.copyAt_ = bestToLoad(candidates.loaders_, query, candidates.usual_, now);
    place.target_ = cheapestOf(candidates, query, newestServes, place.copyAt_, now);
    if (place.target_ != nullptr) {
        place.load_ = loadPart(*place.target_, query, now);
        const bool room =
            estimatedLoad(*place.target_, query.entries_, now) < roomOf(*place.target_);
        place.kind_ = room ? PlaceKind::Send : PlaceKind::AwaitRoom;
        if (place.copyAt_ == nullptr && needsCopy(candidates, query, place)) {
            TargetBelief *copy = bestToLoad(candidates.loaders_, query, candidates.usual_, now);
            if (copy != nullptr && loadPart(*copy, query, now) < copyBelowPart * place.load_)
                place.copyAt_ = copy;
        }
        return place;
    }
    place.target_ = candidates.awaited_ != nullptr
        ? candidates.awaited_
        : bestToLoad(candidates.loaders_, query, candidates.usual_, now);
    place.kind_ = place.target_ != nullptr ? PlaceKind::AwaitAdapter : PlaceKind::None;
    return place;
}

} // namespace eelgrasscove
